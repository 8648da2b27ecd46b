//! Which parts of prompts replicas keep, and the changes that subscribers have not heard.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

use peer::{Message, PartChange, Prefixes, UNREACHABLE};

use crate::interest::Wanted;
use crate::Millis;

/// Changes that are kept for subscribers; one that is further behind takes a snapshot.
const MOST_CHANGES: usize = 20_000;
/// Parts that are kept of one replica; of a replica that keeps more, the others are not told.
const MOST_PARTS: usize = 60_000;
/// Replicas whose parts are kept.
const MOST_REPLICAS: usize = 2_000;

/// What one life of a replica keeps.
#[derive(Debug, Clone, Default)]
struct Kept {
    /// Changes with each restart of the replica.
    epoch: u64,
    parts: HashMap<u64, u32>,
}

impl Kept {
    /// Takes a change in; tells whether it is news. Parts beyond the limit are left out.
    fn take(&mut self, change: PartChange) -> bool {
        if change.tokens == 0 {
            return self.parts.remove(&change.part).is_some();
        }
        let has_room = self.parts.len() < MOST_PARTS || self.parts.contains_key(&change.part);
        has_room && self.parts.insert(change.part, change.tokens) != Some(change.tokens)
    }
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Change(PartChange),
    /// All that was known is dropped first.
    Reset,
}

/// Parts by replica, with the newest changes in order.
#[derive(Debug, Clone, Default)]
pub struct PrefixTable {
    replicas: BTreeMap<String, Kept>,
    steps: VecDeque<(String, Step)>,
    /// Number of the last step.
    last: u64,
    /// The parts that are told; `None`: all.
    wanted: Option<Wanted>,
}

/// How far one receiver has got in the changes of parts.
#[derive(Debug, Clone, Default)]
pub struct PrefixFeed {
    /// Number of the last step that was sent; `None` before the snapshot.
    seen: Option<u64>,
    /// The parts that this receiver wants to hear of.
    own: OwnInterest,
    /// Whether it hears of no others.
    is_narrow: bool,
}

/// What one receiver wants to hear of.
#[derive(Debug, Clone, Default)]
struct OwnInterest {
    wanted: Wanted,
    /// Parts that are wanted since the last messages: who keeps them now is to be told.
    asked: Vec<u64>,
    /// Parts that are wanted no more since then: the receiver is to drop what it was told of them.
    dropped: Vec<u64>,
    /// The replicas of which anything was told. In a large fleet, that another one keeps nothing is not told: a controller
    /// that starts would tell every agent of every replica. What another feeder told is dropped with the first news.
    told: HashSet<String>,
    /// The receiver heard of all until now: each replica is told of once, whatever it keeps.
    was_wide: bool,
}

impl OwnInterest {
    fn concerns(&self, part: u64) -> bool {
        self.wanted.has(part) || self.dropped.contains(&part)
    }

    fn is_new(&self) -> bool {
        !self.asked.is_empty() || !self.dropped.is_empty()
    }
}

impl PrefixTable {
    /// A table that tells of parts that were asked for, and of no others.
    pub fn of_wanted_parts() -> PrefixTable {
        PrefixTable { wanted: Some(Wanted::default()), ..PrefixTable::default() }
    }

    /// From now on all parts are told: a receiver can't ask for what it wants.
    pub fn tell_all(&mut self) {
        if self.wanted.take().is_some() {
            // Receivers are further behind than the changes that are kept: they take a snapshot.
            self.steps.clear();
            self.last += 1;
        }
    }

    /// Number of the last step.
    pub(crate) fn last_step(&self) -> u64 {
        self.last
    }

    /// Receivers want to hear of these parts; who keeps them is told at once.
    pub fn ask(&mut self, now: Millis, parts: &[u64]) {
        let Some(wanted) = &mut self.wanted else { return };
        let new: Vec<u64> = parts.iter().copied().filter(|part| wanted.ask(now, *part)).collect();
        for part in new {
            self.note_holders(part, |tokens| tokens);
        }
    }

    /// Forgets which parts were wanted long ago; receivers are told that nobody keeps them.
    pub fn forget_unwanted(&mut self, now: Millis) {
        let Some(wanted) = &mut self.wanted else { return };
        for part in wanted.forget_old(now) {
            self.note_holders(part, |_| 0);
        }
    }

    /// Notes a change of a part at each of its holders.
    fn note_holders(&mut self, part: u64, tokens: impl Fn(u32) -> u32) {
        let holders: Vec<(String, u32)> =
            self.holders(part).map(|(replica, _, kept)| (replica.to_string(), kept)).collect();
        for (replica, kept) in holders {
            self.note(&replica, Step::Change(PartChange { part, tokens: tokens(kept) }));
        }
    }

    /// Who keeps a part: replica, epoch, tokens.
    fn holders(&self, part: u64) -> impl Iterator<Item = (&str, u64, u32)> {
        self.replicas
            .iter()
            .filter_map(move |(replica, kept)| Some((replica.as_str(), kept.epoch, *kept.parts.get(&part)?)))
    }

    fn is_told(&self, part: u64) -> bool {
        self.wanted.as_ref().is_none_or(|wanted| wanted.has(part))
    }

    /// Takes changes of what a replica keeps.
    pub fn take(&mut self, prefixes: &Prefixes) {
        self.take_of(prefixes, false);
    }

    /// The same where the replica `is_new` to the whole fleet: nobody told anything of it, so that it keeps nothing is no
    /// news to anybody.
    pub fn take_of(&mut self, prefixes: &Prefixes, is_new: bool) {
        let replica = prefixes.replica.as_str();
        let known = self.replicas.contains_key(replica);
        if !known && self.replicas.len() >= MOST_REPLICAS {
            return;
        }
        let kept = self.replicas.entry(replica.to_string()).or_default();
        if prefixes.reset != 0 || !known || kept.epoch != prefixes.epoch {
            kept.parts.clear();
            kept.epoch = prefixes.epoch;
            let is_quiet = is_new && !known && prefixes.epoch != UNREACHABLE;
            if !is_quiet {
                self.note(replica, Step::Reset);
            }
        }
        for change in &prefixes.changes {
            self.change(replica, *change);
        }
    }

    fn change(&mut self, replica: &str, change: PartChange) {
        let Some(kept) = self.replicas.get_mut(replica) else { return };
        if kept.take(change) && self.is_told(change.part) {
            self.note(replica, Step::Change(change));
        }
    }

    /// Forgets replicas, with what they kept. Receivers learn of their end elsewhere.
    pub(crate) fn retain(&mut self, stays: impl Fn(&str) -> bool) {
        self.replicas.retain(|replica, _| stays(replica));
    }

    fn note(&mut self, replica: &str, step: Step) {
        self.last += 1;
        self.steps.push_back((replica.to_string(), step));
        if self.steps.len() > MOST_CHANGES {
            self.steps.pop_front();
        }
    }

    /// Everything, each replica from the beginning.
    fn snapshot(&self) -> Vec<Prefixes> {
        let whole = self.replicas.iter().map(|(replica, kept)| {
            let parts = kept.parts.iter().filter(|(part, _)| self.is_told(**part));
            let changes = parts.map(|(part, tokens)| PartChange { part: *part, tokens: *tokens }).collect();
            Prefixes::new(replica, kept.epoch, true, changes)
        });
        whole.collect()
    }

    /// The steps after number `seen`, if they are all still kept; steps of one replica that follow each other are
    /// one message.
    fn since(&self, seen: u64) -> Option<Vec<Prefixes>> {
        let behind = usize::try_from(self.last.checked_sub(seen)?).ok()?;
        let first = self.steps.len().checked_sub(behind)?;
        let mut runs: BTreeMap<&str, (bool, Vec<PartChange>)> = BTreeMap::new();
        for (replica, step) in self.steps.range(first..) {
            let run = runs.entry(replica).or_default();
            match step {
                Step::Change(change) => run.1.push(*change),
                Step::Reset => *run = (true, Vec::new()),
            }
        }
        let message = |(replica, (reset, changes)): (&str, (bool, Vec<PartChange>))| {
            let epoch = self.replicas.get(replica)?.epoch;
            Some(Prefixes::new(replica, epoch, reset, changes))
        };
        Some(runs.into_iter().filter_map(message).collect())
    }
}

impl PrefixFeed {
    /// Whether the receiver hears of the parts that it asks for itself only, or of all that the table tells. A change
    /// begins with a snapshot.
    pub fn set_narrow(&mut self, is_narrow: bool) {
        if is_narrow != self.is_narrow {
            self.is_narrow = is_narrow;
            self.own.was_wide = is_narrow && self.seen.is_some();
            self.seen = None;
        }
    }

    /// The receiver wants to hear of these parts. The table has to be asked for them, too.
    pub fn ask(&mut self, now: Millis, parts: &[u64]) {
        let OwnInterest { wanted, asked, .. } = &mut self.own;
        asked.extend(parts.iter().copied().filter(|part| wanted.ask(now, *part)));
    }

    /// Forgets which parts the receiver wanted long ago.
    pub fn forget_old(&mut self, now: Millis) {
        let old = self.own.wanted.forget_old(now);
        self.own.dropped.extend(old);
    }

    /// Whether there is something that the receiver has not got yet.
    pub fn is_behind(&self, table: &PrefixTable) -> bool {
        self.seen != Some(table.last) || (self.is_narrow && self.own.is_new())
    }

    /// What the receiver has not got yet; what is returned counts as sent.
    pub fn messages(&mut self, table: &PrefixTable) -> Vec<Message> {
        let changes = self.seen.and_then(|seen| table.since(seen));
        self.seen = Some(table.last);
        let mut news = changes.unwrap_or_else(|| table.snapshot());
        if self.is_narrow {
            narrow(&mut news, &mut self.own, table);
        } else {
            self.own.asked.clear();
            self.own.dropped.clear();
        }
        news.into_iter().map(Message::Prefixes).collect()
    }
}

/// Leaves of the news what one receiver wants, and adds who keeps what it has newly asked for or given up.
fn narrow(news: &mut Vec<Prefixes>, own: &mut OwnInterest, table: &PrefixTable) {
    // Of parts that are newly asked for the present state is told below.
    let asked: HashSet<u64> = own.asked.iter().copied().collect();
    let is_mine = |change: &PartChange| own.concerns(change.part) && !asked.contains(&change.part);
    let mine = news.drain(..).filter_map(|prefixes| {
        let reset = prefixes.reset != 0;
        let changes: Vec<PartChange> = prefixes.changes.into_iter().filter(is_mine).collect();
        let is_any = reset || !changes.is_empty();
        is_any.then(|| Prefixes::new(prefixes.replica.as_str(), prefixes.epoch, reset, changes))
    });
    let (told, was_wide) = (&own.told, own.was_wide);
    let is_news = |prefixes: &Prefixes| {
        let is_empty = prefixes.changes.is_empty() && prefixes.epoch != UNREACHABLE;
        !is_empty || was_wide || told.contains(prefixes.replica.as_str())
    };
    let mut mine: Vec<Prefixes> = mine.filter(is_news).collect();
    let mut added: BTreeMap<(&str, u64), Vec<PartChange>> = BTreeMap::new();
    for part in own.dropped.drain(..) {
        for (replica, epoch, _) in table.holders(part) {
            added.entry((replica, epoch)).or_default().push(PartChange { part, tokens: 0 });
        }
    }
    for part in own.asked.drain(..) {
        for (replica, epoch, tokens) in table.holders(part) {
            added.entry((replica, epoch)).or_default().push(PartChange { part, tokens });
        }
    }
    mine.extend(
        added.into_iter().map(|((replica, epoch), changes)| Prefixes::new(replica, epoch, false, changes)),
    );
    own.was_wide = false;
    for prefixes in &mut mine {
        if own.told.insert(prefixes.replica.as_str().to_string()) {
            prefixes.reset = 1;
        }
    }
    if own.told.len() > 2 * MOST_REPLICAS {
        own.told.retain(|replica| table.replicas.contains_key(replica));
    }
    *news = mine;
}
