//! Connections between the processes of the router fleet: messages in frames over TCP, kept up by whoever dials.
//!
//! A link hands what happens to it to one queue of [`LinkEvent`]s. What is to be sent goes into its [`Outbox`],
//! which is bounded: whoever feeds a slow peer sees that it is full, and sends a snapshot later.

mod dial;
mod link;

pub use dial::{dial, Dialer};
pub use link::{accept, LinkError, LinkEvent, LinkId, LinkTiming, Outbox, OutboxFull};
