//! What the world asks of a machine.

use std::net::SocketAddrV4;
use std::sync::Arc;

use crate::Millis;

/// Entries of a disk by slot.
pub type Entries = Vec<(u16, Arc<[u8]>)>;

/// What a machine starts with.
pub struct Boot {
    /// Its address.
    pub address: SocketAddrV4,
    /// What its disk holds.
    pub stored: Entries,
    /// The seed of this life of the process.
    pub seed: u64,
    /// The time of the start.
    pub now: Millis,
}

/// What happens to a machine.
pub enum Event<M: Machine + ?Sized> {
    /// A message came in.
    Message { from: SocketAddrV4, message: M::Message },
    /// A write came to its end; `false` if the disk refused it.
    Written { token: u64, is_done: bool },
    /// Something from outside.
    Request(M::Request),
    /// The time that the machine named has come.
    Wake,
}

/// What a machine does.
pub enum Action<M: Machine + ?Sized> {
    /// Sends a message.
    Send { to: SocketAddrV4, message: M::Message },
    /// Writes these entries, all or none.
    Write { token: u64, entries: Entries },
    /// Tells the test something.
    Report(M::Report),
}

/// A state machine that can live in a world.
pub trait Machine {
    /// What machines send to each other.
    type Message: Clone;
    /// What comes from outside.
    type Request;
    /// What the test sees.
    type Report;
    /// What all machines of a test have in common.
    type Settings;

    /// A machine that starts now.
    fn start(settings: &Self::Settings, boot: Boot) -> Self;

    /// When it wants [`Event::Wake`].
    fn wake_at(&self) -> Millis;

    /// Takes an event; pushes what follows from it.
    fn step(&mut self, now: Millis, event: Event<Self>, actions: &mut Vec<Action<Self>>);
}
