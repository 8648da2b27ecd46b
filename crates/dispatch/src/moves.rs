//! Where a replica fetches kept blocks from that it lacks: another replica, or a store.
//!
//! A move is taken where it brings more than it costs: reading tokens again takes the replica's time, moving them takes
//! its link's. A store is asked also where nobody knows whether it has the blocks, since a miss costs about a
//! millisecond.

use crate::choose::REREAD_WEIGHT;
use evidence::Ms;
use prefix_index::{Part, ReplicaNumber};
use std::collections::HashMap;
use std::net::SocketAddrV4;

/// Time that a move takes before its first byte, ms.
const SETUP: Ms = 2.0;
/// Fewest tokens that are worth a move. A replica's moves go one by one: a short one waits for the long ones before it,
/// which takes longer than reading its tokens.
pub(crate) const FEWEST_TOKENS: u32 = 512;
/// Odd numbers that spread addresses and weights over 64 bits.
const ADDRESS_MIX: u64 = 0x9e37_79b9_7f4a_7c15;
const WEIGHT_MIX: u64 = 0xd6e8_feb8_6659_fd93;
/// How many times as long a move between zones takes.
const ZONE_FACTOR: f64 = 2.0;

/// What the replicas of a service need for moves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Engine {
    /// Bytes that a token's block takes.
    pub token_bytes: f64,
    /// Bandwidth of a replica's link for moves, Mbit/s.
    pub link_mbps: f64,
}

impl Engine {
    /// Time to move tokens, ms.
    fn moving(&self, tokens: u32, mbps: f64, is_same_zone: bool) -> Ms {
        let factor = if is_same_zone { 1.0 } else { ZONE_FACTOR };
        let bits = f64::from(tokens) * self.token_bytes * 8.0;
        SETUP + factor * bits / (mbps.min(self.link_mbps).max(1.0) * 1_000.0)
    }
}

/// A store of kept blocks.
#[derive(Debug, Clone, PartialEq)]
pub struct Store {
    /// Its address.
    pub address: SocketAddrV4,
    /// Its zone.
    pub zone: String,
    /// Its bandwidth, Mbit/s.
    pub link_mbps: f64,
}

/// Who keeps a start of a prompt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Holder<'a> {
    pub address: SocketAddrV4,
    pub zone: &'a str,
    /// Tokens from the prompt's start on.
    pub tokens: u32,
    /// Its bandwidth where it is not that of the service's replicas, Mbit/s.
    pub link_mbps: Option<f64>,
}

/// A move that pays.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Move {
    pub from: SocketAddrV4,
    /// Tokens from the prompt's start on that the replica has then.
    pub tokens: u32,
    /// Time until they are there, ms.
    pub takes: Ms,
}

/// The best move to a replica in `zone` that keeps `kept` tokens and would read `rate` tokens in a ms.
pub(crate) fn best<'a>(
    engine: &Engine,
    holders: impl Iterator<Item = Holder<'a>>,
    zone: &str,
    kept: u32,
    rate: f64,
) -> Option<Move> {
    let worth = |holder: Holder<'a>| {
        let gained = holder.tokens.checked_sub(kept).filter(|gained| *gained >= FEWEST_TOKENS)?;
        let mbps = holder.link_mbps.unwrap_or(engine.link_mbps);
        let takes = engine.moving(gained, mbps, holder.zone == zone);
        // Tokens read again cost more than their time: a move that takes longer than reading still pays.
        let saved = (1.0 + REREAD_WEIGHT) * f64::from(gained) / rate - takes;
        (saved > 0.0).then_some((saved, Move { from: holder.address, tokens: holder.tokens, takes }))
    };
    let moves = holders.filter_map(worth);
    moves.max_by(|(one, _), (other, _)| one.total_cmp(other)).map(|(_, best)| best)
}

/// The stores, with their numbers in the index.
#[derive(Debug, Clone, Default)]
pub(crate) struct Stores {
    stores: Vec<(ReplicaNumber, Store)>,
    /// Those that are told to be down: a fetch from there would cost a wait and bring nothing.
    down: Vec<ReplicaNumber>,
}

impl Stores {
    pub fn set(&mut self, stores: Vec<(ReplicaNumber, Store)>) {
        self.stores = stores;
    }

    /// A store was heard, or can't be reached.
    pub fn set_down(&mut self, number: ReplicaNumber, is_down: bool) {
        self.down.retain(|known| *known != number);
        if is_down {
            self.down.push(number);
        }
    }

    /// The store with this number, unless it is down.
    pub fn numbered(&self, number: ReplicaNumber) -> Option<&Store> {
        let is_this = |(known, _): &&(ReplicaNumber, Store)| *known == number && !self.down.contains(known);
        self.stores.iter().find(is_this).map(|(_, store)| store)
    }

    /// The store for prompts that begin with this part: the same at every proxy (rendezvous hashing). `None` while it
    /// is down.
    pub fn home(&self, first: &Part) -> Option<(ReplicaNumber, SocketAddrV4)> {
        let weight = |(_, store): &&(ReplicaNumber, Store)| {
            let address = u64::from(u32::from(*store.address.ip())) << 16 | u64::from(store.address.port());
            (first.key.0 ^ address.wrapping_mul(ADDRESS_MIX)).wrapping_mul(WEIGHT_MIX)
        };
        let (number, store) = self.stores.iter().max_by_key(weight)?;
        (!self.down.contains(number)).then_some((*number, store.address))
    }
}

/// What replicas need for moves, by service.
pub type Engines = HashMap<String, Engine>;
