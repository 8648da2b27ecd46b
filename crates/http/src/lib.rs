//! The one HTTP/1.1 codec, without I/O.
//!
//! [`message`](request) reads whole messages for the coordinator in service. The proxy reads heads within limits
//! ([`RequestHead`], [`ResponseHead`]), passes bodies on piece by piece ([`BodyReader`], [`BodyWriter`]) and finds
//! where the events of a stream end ([`Events`]).

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod message;

pub use message::*;
