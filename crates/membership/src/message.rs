//! What controllers say to each other about membership.

use std::net::SocketAddrV4;

use crate::Update;

/// Each message carries news of members; the first update is about the sender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Are you there?
    Probe { number: u64, updates: Vec<Update> },
    /// I am; in answer to the probe of that number.
    Answer { number: u64, updates: Vec<Update> },
    /// Please probe `target` for me.
    ProbeFor { number: u64, target: SocketAddrV4, updates: Vec<Update> },
    /// The probe of that number that you asked for got no answer so far; I, at least, am here.
    NoAnswer { number: u64, updates: Vec<Update> },
    /// All that I know; `reply` asks for the same in return.
    Exchange { reply: bool, updates: Vec<Update> },
}

impl Message {
    /// The news that the message carries.
    pub fn updates(&self) -> &[Update] {
        match self {
            Message::Probe { updates, .. }
            | Message::Answer { updates, .. }
            | Message::ProbeFor { updates, .. }
            | Message::NoAnswer { updates, .. }
            | Message::Exchange { updates, .. } => updates,
        }
    }
}
