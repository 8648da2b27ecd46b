//! Acknowledged ends of replicas, kept on disk.
//!
//! A replica that says that it leaves may go on with its heartbeats for a while. Its word binds once it is acknowledged, also
//! when all machines lose power and nobody remembers it. So the controller that takes it has the other controllers keep it on
//! their disks, and acknowledges it when a majority does. Whoever has contact with a majority after a restart hears of it
//! from one of these: a machine that lost its disk is another acceptor, and does not count before it was replaced.
//!
//! [`Ends`] is a state machine without I/O. All ends are written together, one write at a time; what comes meanwhile goes
//! into the next one.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

use deku::{DekuContainerWrite, DekuRead, DekuWrite};
use peer::Text;
use register::record::Entry;
use register::{Record, Value, WriteToken};

use crate::values::{read, ValueError};
use crate::Millis;

/// Ends are kept for so long by the time of day, ms: longer than any replica serves on or is late.
pub const REMEMBERED_MS: u64 = 600_000;
/// Most ends kept; the oldest go first.
pub const MOST_ENDS: usize = 2_000;
/// The slot of the list in its store.
const SLOT: u16 = 0;
/// Time after a write that failed until the next.
const RETRY_MS: Millis = 400;
/// Time between requests to the same controllers to keep an end.
const ASK_EVERY_MS: Millis = 200;

/// A replica that has ended.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
struct EndedReplica {
    id: Text,
    /// Time of day, milliseconds since 1970.
    #[deku(endian = "little")]
    ended_at_ms: u64,
}

/// What the disk holds.
#[derive(Debug, Clone, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct StoredEnds {
    #[deku(endian = "little", update = "self.replicas.len()")]
    count: u32,
    #[deku(count = "count")]
    replicas: Vec<EndedReplica>,
}

impl StoredEnds {
    /// Reads what [`Ends::write`] wrote; nothing from an empty store.
    ///
    /// # Errors
    /// It is something else.
    pub fn from_entries(entries: impl IntoIterator<Item = Entry>) -> Result<StoredEnds, ValueError> {
        let list = entries.into_iter().find(|entry| entry.slot == SLOT);
        list.map_or_else(|| Ok(StoredEnds::default()), |entry| read("ends", entry.bytes.bytes()))
    }
}

#[derive(Debug)]
struct InFlight {
    token: WriteToken,
    ids: BTreeSet<String>,
}

/// An end that is to be acknowledged here, with the other controllers whose disks hold it.
#[derive(Debug, Default)]
struct Wanted {
    keepers: BTreeSet<SocketAddrV4>,
}

/// The ends that one controller keeps.
#[derive(Debug, Default)]
pub struct Ends {
    /// Ended replicas, with the time of day of each.
    ended: BTreeMap<String, u64>,
    /// Those that the disk holds.
    on_disk: BTreeSet<String>,
    is_open: bool,
    in_flight: Option<InFlight>,
    last_token: u64,
    retry_at: Millis,
    /// Controllers that wait for this disk to hold an end.
    askers: BTreeMap<String, BTreeSet<SocketAddrV4>>,
    wanted: BTreeMap<String, Wanted>,
    ask_at: Millis,
}

impl Ends {
    /// Takes over what the disk holds; the replicas that have ended.
    pub fn open(&mut self, wall_ms: u64, stored: StoredEnds) -> Vec<String> {
        self.is_open = true;
        for EndedReplica { id, ended_at_ms } in stored.replicas {
            if wall_ms.abs_diff(ended_at_ms) < REMEMBERED_MS {
                self.on_disk.insert(id.as_str().to_string());
                self.ended.insert(id.as_str().to_string(), ended_at_ms);
            }
        }
        self.on_disk.iter().cloned().collect()
    }

    /// A replica has ended.
    pub fn take(&mut self, wall_ms: u64, id: &str) {
        self.take_all(wall_ms, [id]);
    }

    /// Replicas have ended; those that are known count from before.
    pub fn take_all<'a>(&mut self, wall_ms: u64, ids: impl IntoIterator<Item = &'a str>) {
        let known = self.ended.len();
        for id in ids {
            self.ended.entry(id.to_string()).or_insert(wall_ms);
        }
        if self.ended.len() > known {
            self.forget(wall_ms);
        }
    }

    fn forget(&mut self, wall_ms: u64) {
        self.ended.retain(|_, ended_at| wall_ms.abs_diff(*ended_at) < REMEMBERED_MS);
        while self.ended.len() > MOST_ENDS {
            let Some(oldest) = self.ended.iter().min_by_key(|(_, at)| **at).map(|(id, _)| id.clone()) else {
                break;
            };
            self.ended.remove(&oldest);
        }
        self.on_disk.retain(|id| self.ended.contains_key(id));
        self.askers.retain(|id, _| self.ended.contains_key(id));
    }

    /// Another controller asks that an end be kept.
    pub fn asked(&mut self, from: SocketAddrV4, wall_ms: u64, id: &str) {
        self.take(wall_ms, id);
        self.askers.entry(id.to_string()).or_default().insert(from);
    }

    /// An end is to be acknowledged here.
    pub fn want(&mut self, now: Millis, wall_ms: u64, id: &str) {
        self.take(wall_ms, id);
        self.wanted.entry(id.to_string()).or_default();
        self.ask_at = now;
    }

    /// Nobody waits here for an end any more.
    pub fn unwant(&mut self, id: &str) {
        self.wanted.remove(id);
    }

    /// Another controller's disk holds an end.
    pub fn kept_by(&mut self, from: SocketAddrV4, id: &str) {
        if let Some(wanted) = self.wanted.get_mut(id) {
            wanted.keepers.insert(from);
        }
    }

    /// Whether this disk holds an end.
    pub fn is_on_disk(&self, id: &str) -> bool {
        self.on_disk.contains(id)
    }

    /// Whether another controller has said that its disk holds an end.
    pub fn is_kept_by(&self, peer: SocketAddrV4, id: &str) -> bool {
        self.wanted.get(id).is_some_and(|wanted| wanted.keepers.contains(&peer))
    }

    /// The ends that each of `peers` is to be asked to keep now.
    pub fn requests(&mut self, now: Millis, peers: &[SocketAddrV4]) -> Vec<(SocketAddrV4, Vec<String>)> {
        if self.wanted.is_empty() || now < self.ask_at {
            return Vec::new();
        }
        self.ask_at = now + ASK_EVERY_MS;
        let lacking = |peer: &SocketAddrV4| {
            let lacking = self.wanted.iter().filter(|(_, wanted)| !wanted.keepers.contains(peer));
            lacking.map(|(id, _)| id.clone()).collect::<Vec<_>>()
        };
        let requests = peers.iter().map(|peer| (*peer, lacking(peer)));
        requests.filter(|(_, ids)| !ids.is_empty()).collect()
    }

    /// What other controllers asked for and the disk holds now, by controller.
    pub fn answers(&mut self) -> BTreeMap<SocketAddrV4, Vec<String>> {
        let mut answers: BTreeMap<SocketAddrV4, Vec<String>> = BTreeMap::new();
        let on_disk = &self.on_disk;
        self.askers.retain(|id, askers| {
            let is_kept = on_disk.contains(id);
            if is_kept {
                askers.iter().for_each(|asker| answers.entry(*asker).or_default().push(id.clone()));
            }
            !is_kept
        });
        answers
    }

    /// The next write, if there is something to be written and none is under way.
    pub fn write(&mut self, now: Millis) -> Option<(WriteToken, Record)> {
        if !self.is_behind() || now < self.retry_at {
            return None;
        }
        self.last_token += 1;
        let token = WriteToken(self.last_token);
        self.in_flight = Some(InFlight { token, ids: self.ended.keys().cloned().collect() });
        let entry = Entry { slot: SLOT, bytes: Value::from(self.bytes()) };
        Some((token, Record { entries: vec![entry] }))
    }

    fn bytes(&self) -> Vec<u8> {
        let ended = |(id, at): (&String, &u64)| EndedReplica { id: id.as_str().into(), ended_at_ms: *at };
        let replicas: Vec<EndedReplica> = self.ended.iter().map(ended).collect();
        let stored = StoredEnds { count: replicas.len() as u32, replicas };
        stored.to_bytes().unwrap_or_default()
    }

    /// A write came to its end.
    pub fn written(&mut self, now: Millis, token: WriteToken, is_done: bool) {
        let Some(in_flight) = self.in_flight.take_if(|in_flight| in_flight.token == token) else { return };
        if is_done {
            self.on_disk = in_flight.ids.into_iter().filter(|id| self.ended.contains_key(id)).collect();
        } else {
            self.retry_at = now + RETRY_MS;
        }
    }

    /// Whether a write is to begin. All that the disk holds is among what is known.
    fn is_behind(&self) -> bool {
        self.is_open && self.in_flight.is_none() && self.on_disk.len() < self.ended.len()
    }

    /// When something is to be written or asked for again.
    pub fn deadline(&self) -> Millis {
        let writes = if self.is_behind() { self.retry_at } else { Millis::MAX };
        let asks = if self.wanted.is_empty() { Millis::MAX } else { self.ask_at };
        writes.min(asks)
    }
}
