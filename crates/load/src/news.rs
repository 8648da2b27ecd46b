//! What a group of receivers has been told of loads, and what is news to them.

use peer::ReplicaLoad;

use crate::{Load, Loads, Millis};

/// The whole is told so often, whatever was told before.
const WHOLE_EVERY_MS: Millis = 1_000;
/// Loads are told at most and at least so often while they change.
const EVERY_MS: (Millis, Millis) = (40, 400);
/// Replicas that each lengthen the time between two messages by a millisecond: so that a large fleet's links carry no
/// more bytes than a small one's.
const REPLICAS_A_MS: usize = 2;
/// A change of tokens by less than this part, or by fewer than this many, is no news.
const TOKENS_PART: u32 = 4;
const TOKENS_LEAST: u32 = 512;
/// A change of calls by so many and this part at most is no news.
const CALLS_LEAST: u16 = 1;
const CALLS_PART: u16 = 8;

/// Time between messages on the load of so many replicas.
pub fn told_every(replicas: usize) -> Millis {
    let (most_often, least_often) = EVERY_MS;
    ((replicas / REPLICAS_A_MS) as Millis).clamp(most_often, least_often)
}

/// What has been told.
#[derive(Debug, Clone, Default)]
pub struct LoadNews {
    told: Loads,
    next: Millis,
    next_whole: Millis,
}

impl LoadNews {
    /// When the next message may leave.
    pub fn deadline(&self) -> Millis {
        self.next
    }

    /// What was told last of a replica.
    pub fn told(&self, replica: u32) -> Load {
        self.told.get(&replica).copied().unwrap_or_default()
    }

    /// The message that is due, if any; what is returned counts as told.
    pub fn message(&mut self, now: Millis, loads: &Loads) -> Option<peer::Loads> {
        if now < self.next {
            return None;
        }
        self.next = now + told_every(loads.len());
        if now >= self.next_whole {
            self.next_whole = now + WHOLE_EVERY_MS;
            self.told.clone_from(loads);
            return Some(peer::Loads::new(true, loads.iter().map(wire).collect()));
        }
        let ended = self.told.keys().filter(|replica| !loads.contains_key(replica));
        let mut changed: Vec<(u32, Load)> = ended.map(|replica| (*replica, Load::default())).collect();
        let news = loads.iter().filter(|(replica, load)| is_news(self.told(**replica), **load));
        changed.extend(news.map(|(replica, load)| (*replica, *load)));
        for (replica, load) in &changed {
            if load.is_none() {
                self.told.remove(replica);
            } else {
                self.told.insert(*replica, *load);
            }
        }
        let loads: Vec<ReplicaLoad> = changed.iter().map(|(replica, load)| wire((replica, load))).collect();
        (!loads.is_empty()).then(|| peer::Loads::new(false, loads))
    }
}

fn wire((replica, load): (&u32, &Load)) -> ReplicaLoad {
    ReplicaLoad { replica: *replica, tokens: load.tokens, calls: load.calls }
}

fn is_news(told: Load, load: Load) -> bool {
    let tokens = told.tokens.abs_diff(load.tokens);
    let calls = told.calls.abs_diff(load.calls);
    tokens >= TOKENS_LEAST.max(told.tokens / TOKENS_PART) || calls > CALLS_LEAST + told.calls / CALLS_PART
}
