//! Replicated registers without a leader and without a log.
//!
//! A small fixed set of registers ([`RegisterKey`]) is kept by a group of acceptors. A change runs in two
//! rounds at a majority, in the manner of CASPaxos: the first round learns the newest accepted value, a
//! function of the caller decides what follows it, the second round has it accepted. The acceptor set is
//! replaceable: set `e + 1` is decided by the acceptors of set `e`, which are sealed by knowing it ([`set`], [`acceptor`],
//! [`transfer`]).
//!
//! Everything here is a state machine. [`RegisterNode::step`] takes an [`Input`] with the time of a
//! monotonic clock and returns [`Effect`]s: messages to send, records to write, answers. Nothing reads a
//! clock, a file or a random number that was not handed in.
//!
//! These points differ from the textbook, or from the first design; `docs/register.md` gives the reasons:
//!
//! * A value carries the ballot of the round that first proposed it (its `origin`, the version that callers
//!   compare with) and the origins of the values before it (its `lineage`). A proposer that lost track of an
//!   attempt can so tell, in a later round, whether that attempt took effect.
//! * A member of a new set installs itself: it pulls the registers from a sealed majority of the previous
//!   set, or from one active member of its own set, and takes part only after its own disk holds them.
//! * Knowing the decided next set seals an acceptor; having accepted one that may never be decided does not.
//! * Sets grow to odd sizes only: one machine more would bear no more losses.

pub mod acceptor;
pub mod ballot;
mod codec;
pub mod contact;
pub mod durability;
pub mod error;
pub mod key;
pub mod learner;
mod leaving;
pub mod message;
pub mod node;
pub mod proposal;
pub mod random;
pub mod record;
pub mod rules;
pub mod set;
mod step;
pub mod transfer;
mod upkeep;
pub mod value;

pub use ballot::Ballot;
pub use contact::DigestNumber;
pub use error::{DecodeError, RecordError};
pub use key::RegisterKey;
pub use message::RegisterMessage;
pub use node::{Effect, Identity, Input, RegisterNode, RequestId, WriteFailed, WriteToken};
pub use proposal::{Decide, Decision, Outcome};
pub use record::{Record, StoredState};
pub use set::{AcceptorId, AcceptorSet, KnownSet, Member};
pub use value::{Accepted, Value};

/// Milliseconds of a monotonic clock that the caller hands in.
pub type Millis = u64;
