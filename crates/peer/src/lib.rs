//! The protocol between the processes of the router fleet: typed messages in length-prefixed frames.
//!
//! A frame is a length (u32, little-endian), then a [`Message`], whose first byte is its number. A number that is not
//! known is read as [`Message::Unknown`] and skipped by the receiver, and bytes behind the fields that are known are
//! ignored: so two versions can run side by side, as long as numbers and fields are only ever added. No I/O.
#![warn(missing_docs)]

mod frame;
mod message;
mod parts;
mod release;
mod replica;
mod text;

pub use frame::{encode, FrameError, FrameReader, LONGEST_FRAME};
pub use message::{
    Alive, Blob, Configuration, Fleet, Hello, Interest, Loads, Message, NamedVersion, PartChange, Prefixes,
    ReplicaLoad, Role, Subscription, Weights, KEEPS_ENDS, MOST_CHANGES, MOST_RECORDS, NEVER, PROTOCOL,
    TELLS_HOME, TELLS_INTEREST, TELLS_RELEASES, UNREACHABLE,
};
pub use parts::{part_key, replica_key};
pub use release::{BucketCount, ReleaseAnswers, ReleaseReport};
pub use replica::{
    Beat, Beats, Ends, ModelVersion, ReplicaRecord, ReplicaSoftware, ReplicaState, Replicas, Software,
    WeightsReport, WeightsReports,
};
pub use text::{Address, Text};
