//! Membership of the controllers, after SWIM with Lifeguard's additions: each probes a few others in turn,
//! asks third parties for a second opinion, suspects before it gives a member up, and a member that hears
//! itself suspected refutes that with a higher incarnation.
//!
//! A state machine: messages and the time go in, messages to send come out. It reads no clock and draws
//! random numbers only from the seed that it was given.

mod errands;
mod gossip;
mod member;
mod message;
mod probing;
mod table;
mod timing;
mod wire;

pub use member::{Member, Status, Update};
pub use message::Message;
pub use probing::{Membership, Send};
pub use timing::Timing;
pub use wire::{decode, encode, WireError};

/// Milliseconds of the caller's steady clock.
pub type Millis = u64;
