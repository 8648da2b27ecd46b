//! Which replica keeps which parts of prompts, by salt and model. It learns from the owner's own sends, which are
//! believed for a while, and from the replicas' events, which are believed until they are taken back. No I/O.
//!
//! Memory is bounded: entries live in two generations; when the young one is full, the old one is dropped. A part
//! that is looked up or kept again moves to the young generation, so what is asked for stays.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod part;

pub use part::{Part, PartKey, PromptError};

use evidence::Ms;
use std::collections::hash_map::DefaultHasher;
use std::collections::HashMap;
use std::hash::BuildHasherDefault;

/// Bytes that a part costs in the index, without its holders.
const PART_BYTES: usize = 80;
/// Bytes that each holder of a part costs.
const HOLDER_BYTES: usize = 24;
/// How long a part that was sent to a replica is believed to be kept there without news, ms.
pub const SENT_AGE: Ms = 10_000.0;

/// A replica's number, unique to one life of the replica; given by the index's owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaNumber(pub u32);

/// How it is known that a replica keeps a part.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Source {
    /// The part was sent there at this time.
    Sent(Ms),
    /// The replica said so.
    Reported,
}

/// A replica that keeps the start of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Kept {
    /// The replica.
    pub replica: ReplicaNumber,
    /// Tokens from the prompt's start on.
    pub tokens: u32,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Holder {
    replica: ReplicaNumber,
    tokens: u32,
    source: Source,
}

impl Holder {
    fn is_believed(&self, now: Ms) -> bool {
        match self.source {
            Source::Sent(at) => now - at < SENT_AGE,
            Source::Reported => true,
        }
    }
}

/// The holders of a part, sorted by replica.
type Holders = Vec<Holder>;
type Generation = HashMap<PartKey, Holders, BuildHasherDefault<DefaultHasher>>;

/// The index.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    young: Generation,
    old: Generation,
    young_bytes: usize,
    byte_limit: usize,
    epochs: HashMap<ReplicaNumber, u64, BuildHasherDefault<DefaultHasher>>,
}

impl PrefixIndex {
    /// An index that takes about `byte_limit` bytes at most.
    pub fn new(byte_limit: usize) -> PrefixIndex {
        PrefixIndex { byte_limit, ..PrefixIndex::default() }
    }

    /// A replica keeps so many tokens of a part.
    pub fn keep(&mut self, replica: ReplicaNumber, part: PartKey, tokens: u32, source: Source) {
        self.make_young(part);
        let is_new = !self.young.contains_key(&part);
        let holders = self.young.entry(part).or_default();
        let holder = Holder { replica, tokens, source };
        let mut added = if is_new { PART_BYTES } else { 0 };
        match holders.binary_search_by_key(&replica, |known| known.replica) {
            Ok(at) if holders[at].source == Source::Reported && source != Source::Reported => {
                holders[at].tokens = holders[at].tokens.max(tokens);
            }
            Ok(at) => holders[at] = holder,
            Err(at) => {
                holders.insert(at, holder);
                added += HOLDER_BYTES;
            }
        }
        self.young_bytes += added;
        self.turn_if_full();
    }

    /// A replica no longer keeps a part. That it did stays known, see [`PrefixIndex::was_kept`].
    pub fn drop_part(&mut self, replica: ReplicaNumber, part: PartKey) {
        self.remove(replica, part, |_| true);
    }

    /// What was sent at this time did not get there.
    pub fn take_back(&mut self, replica: ReplicaNumber, part: PartKey, at: Ms) {
        self.remove(replica, part, |holder| holder.source == Source::Sent(at));
        for generation in [&mut self.young, &mut self.old] {
            if generation.get(&part).is_some_and(Vec::is_empty) {
                generation.remove(&part);
            }
        }
    }

    /// Whether a part is known to be kept by somebody, or to have been.
    pub fn was_kept(&self, part: PartKey) -> bool {
        self.young.contains_key(&part) || self.old.contains_key(&part)
    }

    /// All that was known of a replica is void: it is gone, or events of it were lost.
    pub fn forget(&mut self, replica: ReplicaNumber) {
        for generation in [&mut self.young, &mut self.old] {
            for holders in generation.values_mut() {
                holders.retain(|holder| holder.replica != replica);
            }
        }
        self.young_bytes = bytes(&self.young);
        self.epochs.remove(&replica);
    }

    /// News of a replica come from this boot epoch; a new one voids what was known before.
    pub fn epoch(&mut self, replica: ReplicaNumber, epoch: u64) {
        if self.epochs.get(&replica).is_some_and(|known| *known != epoch) {
            self.forget(replica);
        }
        self.epochs.insert(replica, epoch);
    }

    /// Appends the replicas that keep a start of the prompt made of these parts, with the tokens that each keeps.
    /// A part counts only if all before it are kept whole.
    pub fn lookup(&mut self, prompt: &[Part], now: Ms, kept: &mut Vec<Kept>) {
        kept.clear();
        // Replicas that keep all parts so far, sorted; the first part is open to all.
        let mut whole: Option<Vec<ReplicaNumber>> = None;
        for part in prompt {
            self.make_young(part.key);
            let Some(holders) = self.young.get(&part.key) else { return };
            let mut still_whole = Vec::new();
            let mut before = whole.as_deref();
            for holder in holders.iter().filter(|holder| holder.is_believed(now)) {
                if let Some(numbers) = &mut before {
                    let behind = numbers.partition_point(|number| *number < holder.replica);
                    *numbers = &numbers[behind..];
                    if numbers.first() != Some(&holder.replica) {
                        continue;
                    }
                }
                add(kept, holder.replica, holder.tokens.min(part.tokens));
                if holder.tokens >= part.tokens {
                    still_whole.push(holder.replica);
                }
            }
            if still_whole.is_empty() {
                return;
            }
            whole = Some(still_whole);
        }
    }

    /// The bytes that the index takes, about.
    pub fn bytes(&self) -> usize {
        bytes(&self.young) + bytes(&self.old)
    }

    fn remove(&mut self, replica: ReplicaNumber, part: PartKey, is_void: impl Fn(&Holder) -> bool) {
        for generation in [&mut self.young, &mut self.old] {
            let Some(holders) = generation.get_mut(&part) else { continue };
            holders.retain(|holder| holder.replica != replica || !is_void(holder));
        }
    }

    fn make_young(&mut self, part: PartKey) {
        if let Some(holders) = self.old.remove(&part) {
            self.young_bytes += PART_BYTES + HOLDER_BYTES * holders.len();
            self.young.insert(part, holders);
        }
    }

    fn turn_if_full(&mut self) {
        if self.young_bytes > self.byte_limit / 2 {
            self.old = std::mem::take(&mut self.young);
            self.young_bytes = 0;
        }
    }
}

/// Adds tokens to what a replica keeps; `kept` is sorted by replica.
fn add(kept: &mut Vec<Kept>, replica: ReplicaNumber, tokens: u32) {
    match kept.binary_search_by_key(&replica, |known| known.replica) {
        Ok(at) => kept[at].tokens = kept[at].tokens.saturating_add(tokens),
        Err(at) => kept.insert(at, Kept { replica, tokens }),
    }
}

fn bytes(generation: &Generation) -> usize {
    generation.values().map(|holders| PART_BYTES + HOLDER_BYTES * holders.len()).sum()
}
