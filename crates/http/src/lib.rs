//! The one HTTP/1.1 codec, without I/O.
//!
//! [`request`] and its kin read whole messages for the coordinator in service. The proxy reads heads within limits
//! ([`RequestHead`], [`ResponseHead`]), passes bodies on piece by piece ([`BodyReader`], [`BodyWriter`]) and finds
//! where the events of a stream end ([`Events`]).

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod body;
mod events;
mod head;
mod message;

pub use body::{BodyReader, BodyWriter};
pub use events::{EventError, Events};
pub use head::{HeadError, Lines, RequestHead, ResponseFraming, ResponseHead};
pub use message::*;
