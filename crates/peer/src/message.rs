//! The messages. Numbers and fields are only ever added.

use crate::release::ReleaseReport;
use crate::replica::{Beats, Ends, Replicas, Software, WeightsReports};
use crate::{Address, Text};
use deku::prelude::*;

/// The version of the protocol that this program speaks.
pub const PROTOCOL: u16 = 5;
/// From this version on, agents tell which parts of prompts they want to hear of ([`Interest`]).
pub const TELLS_INTEREST: u16 = 2;

/// From this version on, agents tell which controller is their home ([`Subscription`]).
pub const TELLS_HOME: u16 = 3;

/// From this version on, controllers keep ends of replicas on disk for each other ([`Message::KeepEnds`]).
pub const KEEPS_ENDS: u16 = 4;

/// From this version on, processes know releases of services' software ([`Message::Releases`]).
pub const TELLS_RELEASES: u16 = 5;

/// An age that means: not yet, or longer ago than can be said.
pub const NEVER: u32 = u32::MAX;

/// Most records or beats in one message; more go in further messages. Room for a list is made before it is read, so
/// each count has a limit.
pub const MOST_RECORDS: u32 = 8192;
/// Most changes or names of kept parts in one message.
pub const MOST_CHANGES: u32 = 262_144;

/// The epoch of a replica or store whose events can't be read: nothing is to be fetched from there.
pub const UNREACHABLE: u64 = 0;

/// Which program a peer is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8")]
pub enum Role {
    /// `steppick controller`.
    #[deku(id = "1")]
    Controller,
    /// `steppick agent`.
    #[deku(id = "2")]
    Agent,
    /// `steppick proxy`.
    #[deku(id = "3")]
    Proxy,
}

/// Who connects; the first message of each side that has something to say of itself.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct Hello {
    /// Version of the protocol.
    #[deku(endian = "little")]
    pub protocol: u16,
    /// The program.
    pub role: Role,
    /// Name of its machine.
    pub machine: Text,
    /// Zone of its machine.
    pub zone: Text,
    /// Drawn at the start of the process.
    #[deku(endian = "little")]
    pub incarnation: u64,
    /// Where it listens for its peers.
    pub address: Address,
    /// Version of the configuration that it has, 0 for none.
    #[deku(endian = "little")]
    pub configuration: u64,
}

/// A configuration, or changes on top of one.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct Configuration {
    /// The version that the changes build on; 0 where the body is whole.
    #[deku(endian = "little")]
    pub base: u64,
    /// The version that it makes.
    #[deku(endian = "little")]
    pub version: u64,
    /// JSON: a whole configuration, or changes as operators send them.
    pub body: Blob,
}

/// Bytes with their length.
#[derive(Debug, Clone, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct Blob {
    #[deku(
        assert = "*length <= crate::LONGEST_FRAME as u32",
        endian = "little",
        update = "self.bytes.len()"
    )]
    length: u32,
    /// The bytes.
    #[deku(count = "length")]
    pub bytes: Vec<u8>,
}

impl From<Vec<u8>> for Blob {
    fn from(bytes: Vec<u8>) -> Blob {
        Blob { length: bytes.len() as u32, bytes }
    }
}

/// The version of a model's weights that operators named last.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct NamedVersion {
    /// Name of the model.
    pub model: Text,
    /// Its version.
    #[deku(endian = "little")]
    pub version: u64,
    /// How long ago it was acknowledged, ms.
    #[deku(endian = "little")]
    pub age_ms: u32,
}

/// The named versions of all models.
#[derive(Debug, Clone, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct Weights {
    #[deku(endian = "little", update = "self.versions.len()")]
    count: u16,
    /// One for each model that was ever named.
    #[deku(count = "count")]
    pub versions: Vec<NamedVersion>,
}

impl From<Vec<NamedVersion>> for Weights {
    fn from(versions: Vec<NamedVersion>) -> Weights {
        Weights { count: versions.len() as u16, versions }
    }
}

/// Who there is in the fleet.
#[derive(Debug, Clone, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct Fleet {
    #[deku(endian = "little", update = "self.controllers.len()")]
    count: u16,
    /// Inner addresses of the controllers that are in service.
    #[deku(count = "count")]
    pub controllers: Vec<Address>,
    /// Number of proxies, for shares of fixed allowances.
    #[deku(endian = "little")]
    pub proxies: u32,
}

impl Fleet {
    /// The controllers and the number of proxies.
    pub fn new(controllers: Vec<Address>, proxies: u32) -> Fleet {
        Fleet { count: controllers.len() as u16, controllers, proxies }
    }
}

/// A change of what a replica keeps.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct PartChange {
    /// The part, by [`crate::part_key`].
    #[deku(endian = "little")]
    pub part: u64,
    /// Tokens of it that are kept now; 0 for none.
    #[deku(endian = "little")]
    pub tokens: u32,
}

/// Changes of what one replica or store keeps.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct Prefixes {
    /// Id of the replica, or address of the store.
    pub replica: Text,
    /// Changes with every restart of the replica; [`UNREACHABLE`] while it can't be read.
    #[deku(endian = "little")]
    pub epoch: u64,
    /// 1 where all that was known of the replica is to be dropped first.
    pub reset: u8,
    #[deku(assert = "*count <= MOST_CHANGES", endian = "little", update = "self.changes.len()")]
    count: u32,
    /// The changes in order.
    #[deku(count = "count")]
    pub changes: Vec<PartChange>,
}

impl Prefixes {
    /// Changes of one replica.
    pub fn new(replica: &str, epoch: u64, reset: bool, changes: Vec<PartChange>) -> Prefixes {
        Prefixes { replica: replica.into(), epoch, reset: reset.into(), count: changes.len() as u32, changes }
    }
}

/// What is out at one replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct ReplicaLoad {
    /// The replica, by [`crate::replica_key`].
    #[deku(endian = "little")]
    pub replica: u32,
    /// Prompt tokens of calls that have not begun to answer.
    #[deku(endian = "little")]
    pub tokens: u32,
    /// Calls without a whole answer.
    #[deku(endian = "little")]
    pub calls: u16,
}

/// What the sender, and those it speaks for, have out at replicas.
#[derive(Debug, Clone, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct Loads {
    /// 1 where nothing is out at replicas that are not named; 0 where what is not named is as it was.
    pub is_whole: u8,
    #[deku(assert = "*count <= MOST_RECORDS", endian = "little", update = "self.loads.len()")]
    count: u32,
    /// Loads by replica.
    #[deku(count = "count")]
    pub loads: Vec<ReplicaLoad>,
}

impl Loads {
    /// All loads, or those that changed.
    pub fn new(is_whole: bool, loads: Vec<ReplicaLoad>) -> Loads {
        Loads { is_whole: is_whole.into(), count: loads.len() as u32, loads }
    }
}

/// Parts of prompts that the sender wants to hear of; it says so again while it does.
#[derive(Debug, Clone, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct Interest {
    #[deku(assert = "*count <= MOST_CHANGES", endian = "little", update = "self.parts.len()")]
    count: u32,
    /// The parts, by [`crate::part_key`].
    #[deku(count = "count", endian = "little")]
    pub parts: Vec<u64>,
}

impl From<Vec<u64>> for Interest {
    fn from(parts: Vec<u64>) -> Interest {
        Interest { count: parts.len() as u32, parts }
    }
}

/// The sender lives, and how far it is in step with the majority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct Alive {
    /// Age of its latest proof that it reaches a majority, ms.
    #[deku(endian = "little")]
    pub majority_age_ms: u32,
    /// Version of the configuration that it has.
    #[deku(endian = "little")]
    pub configuration: u64,
}

/// What the sender wants to hear from the receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct Subscription {
    /// 1 where the receiver is the sender's home: it tells of all replicas. The others tell only of those that drain or have
    /// ended.
    pub is_home: u8,
}

/// One message.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8")]
pub enum Message {
    /// Who connects.
    #[deku(id = "1")]
    Hello(Hello),
    /// A configuration or changes of it.
    #[deku(id = "2")]
    Configuration(Configuration),
    /// News of replicas.
    #[deku(id = "3")]
    Replicas(Replicas),
    /// Named versions of weights.
    #[deku(id = "4")]
    Weights(Weights),
    /// Who there is.
    #[deku(id = "5")]
    Fleet(Fleet),
    /// What a replica keeps.
    #[deku(id = "6")]
    Prefixes(Prefixes),
    /// Replicas heard.
    #[deku(id = "7")]
    Beats(Beats),
    /// The sender lives.
    #[deku(id = "8")]
    Alive(Alive),
    /// A message of the register group, in its own encoding.
    #[deku(id = "9")]
    Register(Blob),
    /// A message of the controllers' membership, in its own encoding.
    #[deku(id = "10")]
    Membership(Blob),
    /// The sender has a configuration other than the one that changes build on, and asks for the whole.
    #[deku(id = "11")]
    WantConfiguration,
    /// What is out at replicas.
    #[deku(id = "12")]
    Loads(Loads),
    /// Parts of prompts that the sender wants to hear of.
    #[deku(id = "13")]
    Interest(Interest),
    /// What the sender wants to hear.
    #[deku(id = "14")]
    Subscription(Subscription),
    /// The receiver is to keep on disk that these replicas have ended, and to say when it does.
    #[deku(id = "15")]
    KeepEnds(Ends),
    /// The sender's disk holds that these replicas have ended.
    #[deku(id = "16")]
    EndsKept(Ends),
    /// Weights that replicas were seen to hold between two beats.
    #[deku(id = "17")]
    WeightsReports(WeightsReports),
    /// All releases, in their own encoding.
    #[deku(id = "18")]
    Releases(Blob),
    /// What a proxy saw of a release.
    #[deku(id = "19")]
    ReleaseReport(ReleaseReport),
    /// The software of replicas, before their records.
    #[deku(id = "20")]
    Software(Software),
    /// A message of a later version; to be skipped.
    #[deku(id_pat = "_")]
    Unknown {
        /// Its number.
        number: u8,
    },
}
