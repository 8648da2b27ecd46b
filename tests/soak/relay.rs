//! Relays between the processes of a run: each controller is told one address, listens at another, and a relay passes on what
//! comes to the first. It learns from the dialler's first message who that is, and cuts, delays, slows or resets links.

use crate::record::Millis;
use peer::{FrameReader, Message};
use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// How far above its told address a controller of the test build listens, in the third byte.
const BOUND_ABOVE: u8 = 100;
/// Bytes that a cut holds up are lost after this, with their connection: a system gives up what is not acknowledged.
const CUT_ENDS_A_LINK: Duration = Duration::from_millis(1_500);
/// How often a link that is cut looks whether it is whole again.
const LOOK_EVERY: Duration = Duration::from_millis(10);
/// Bytes taken at a time, and by a slow reader.
const CHUNK: usize = 16 * 1024;
const SLOW_CHUNK: usize = 512;
/// Pause of a slow reader between chunks.
const SLOW_PAUSE: Duration = Duration::from_millis(20);
/// Delay of a link that is delayed.
const DELAY: Duration = Duration::from_millis(80);

/// What is done to links of one controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing passes.
    Cut,
    /// Nothing passes to the controller; what it says does.
    CutTo,
    /// Nothing passes from it.
    CutFrom,
    Delayed,
    /// Its peers are read slowly.
    Slow,
    /// Connections end at once, and new ones come.
    Reset,
}

/// Whose links to a controller are in trouble.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Dialers {
    All,
    Controllers,
    Agents,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    To,
    From,
}

/// The relay before one controller.
#[derive(Debug, Default)]
pub struct Relay {
    trouble: Cell<Option<(Trouble, Dialers)>>,
    resets: Notify,
}

/// Where a controller of the test build listens that is told this address.
pub fn bound_at(told: SocketAddrV4) -> SocketAddrV4 {
    let [first, second, third, fourth] = told.ip().octets();
    SocketAddrV4::new([first, second, third + BOUND_ABOVE, fourth].into(), told.port())
}

impl Relay {
    /// A relay at the address that a controller is told.
    pub fn start(told: SocketAddrV4) -> Rc<Relay> {
        let relay = Rc::new(Relay::default());
        let listener = std::net::TcpListener::bind(told).expect("an address of the run's own");
        listener.set_nonblocking(true).expect("a socket");
        spawn_local(relay.clone().serve(TcpListener::from_std(listener).expect("a runtime"), bound_at(told)));
        relay
    }

    /// Puts links into trouble for so long.
    pub async fn disturb(self: Rc<Relay>, trouble: Trouble, dialers: Dialers, time: Millis) {
        if trouble == Trouble::Reset {
            self.resets.notify_waiters();
            return;
        }
        self.trouble.set(Some((trouble, dialers)));
        sleep(Duration::from_millis(time)).await;
        self.trouble.set(None);
    }

    async fn serve(self: Rc<Relay>, listener: TcpListener, bound: SocketAddrV4) {
        while let Ok((dialer, _)) = listener.accept().await {
            spawn_local(self.clone().pass(dialer, bound));
        }
    }

    async fn pass(self: Rc<Relay>, dialer: TcpStream, bound: SocketAddrV4) {
        // While the controller is not there, whoever dials is turned away, as by its system.
        let Ok(controller) = TcpStream::connect(bound).await else { return };
        let _ = (dialer.set_nodelay(true), controller.set_nodelay(true));
        let (from_dialer, to_dialer) = dialer.into_split();
        let (from_controller, to_controller) = controller.into_split();
        let link = Link { relay: self.clone(), role: RefCell::new(None) };
        tokio::select! {
            () = link.pump(from_dialer, to_controller, Direction::To) => {}
            () = link.pump(from_controller, to_dialer, Direction::From) => {}
            () = self.resets.notified() => {}
        }
    }
}

/// One connection.
struct Link {
    relay: Rc<Relay>,
    /// Who dialled, once it has said so.
    role: RefCell<Option<peer::Role>>,
}

impl Link {
    async fn pump(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, direction: Direction) {
        let mut hello = FrameReader::default();
        let mut bytes = vec![0; CHUNK];
        loop {
            let is_slow = self.trouble(direction) == Some(Trouble::Slow);
            let most = if is_slow { SLOW_CHUNK } else { CHUNK };
            let Ok(count) = from.read(&mut bytes[..most]).await else { return };
            if count == 0 {
                return;
            }
            if direction == Direction::To && self.role.borrow().is_none() {
                hello.push(&bytes[..count]);
                if let Ok(Some(Message::Hello(hello))) = hello.next_message() {
                    *self.role.borrow_mut() = Some(hello.role);
                }
            }
            if !self.passes(direction).await || to.write_all(&bytes[..count]).await.is_err() {
                return;
            }
        }
    }

    /// Waits until bytes may pass; `false` if their connection is given up.
    async fn passes(&self, direction: Direction) -> bool {
        let since = Instant::now();
        loop {
            match self.trouble(direction) {
                Some(Trouble::Cut | Trouble::CutTo | Trouble::CutFrom)
                    if since.elapsed() >= CUT_ENDS_A_LINK =>
                {
                    return false;
                }
                Some(Trouble::Cut | Trouble::CutTo | Trouble::CutFrom) => sleep(LOOK_EVERY).await,
                Some(Trouble::Delayed) => {
                    sleep(DELAY).await;
                    return true;
                }
                Some(Trouble::Slow) => {
                    sleep(SLOW_PAUSE).await;
                    return true;
                }
                Some(Trouble::Reset) | None => return true,
            }
        }
    }

    fn trouble(&self, direction: Direction) -> Option<Trouble> {
        let (trouble, dialers) = self.relay.trouble.get()?;
        let is_meant = match (dialers, *self.role.borrow()) {
            (Dialers::All, _) => true,
            (Dialers::Controllers, role) => role == Some(peer::Role::Controller),
            (Dialers::Agents, role) => role == Some(peer::Role::Agent),
        };
        let is_on_its_way = match trouble {
            Trouble::CutTo => direction == Direction::To,
            Trouble::CutFrom => direction == Direction::From,
            _ => true,
        };
        (is_meant && is_on_its_way).then_some(trouble)
    }
}
