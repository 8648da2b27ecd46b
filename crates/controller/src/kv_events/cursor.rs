//! How far the events of one replica have been read. No I/O.

use std::borrow::Cow;

use peer::{part_key, PartChange, Prefixes, UNREACHABLE};
use serde::Deserialize;

use crate::Millis;

/// After a gap all that a replica keeps is asked for, at most so often: that call stops the replica's work.
const LIST_EVERY_MS: Millis = 10_000;

/// What is to be asked next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Question {
    /// Events after this number.
    Events { since: u64 },
    /// All that is kept.
    List,
}

/// `[number, + or -, salt, id, tokens kept now, model]`
#[derive(Deserialize)]
struct Event<'a>(
    u64,
    #[allow(dead_code)]
    #[serde(borrow)]
    Cow<'a, str>,
    #[serde(borrow)] Cow<'a, str>,
    #[serde(borrow)] Cow<'a, str>,
    f64,
    #[serde(borrow)] Cow<'a, str>,
);

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Events<'a> {
    boot_epoch: u64,
    next_token: u64,
    #[serde(default)]
    lost: bool,
    #[serde(borrow, default)]
    events: Vec<Event<'a>>,
}

/// `[salt, id, tokens, model]`
#[derive(Deserialize)]
struct Held<'a>(
    #[serde(borrow)] Cow<'a, str>,
    #[serde(borrow)] Cow<'a, str>,
    f64,
    #[serde(borrow)] Cow<'a, str>,
);

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct List<'a> {
    boot_epoch: u64,
    next_token: u64,
    #[serde(borrow, default)]
    held: Vec<Held<'a>>,
}

/// The place reached in one replica's events.
#[derive(Debug, Clone)]
pub struct Cursor {
    replica: String,
    since: u64,
    epoch: Option<u64>,
    /// All that is kept is to be asked for.
    has_gap: bool,
    listed: Option<Millis>,
}

impl Cursor {
    pub fn new(replica: &str) -> Cursor {
        Cursor { replica: replica.to_string(), since: 0, epoch: None, has_gap: false, listed: None }
    }

    /// What to ask now.
    pub fn question(&self, now: Millis) -> Question {
        let listed_lately = self.listed.is_some_and(|at| now < at + LIST_EVERY_MS);
        if self.has_gap && !listed_lately {
            Question::List
        } else {
            Question::Events { since: self.since }
        }
    }

    /// Takes the answer to a question for events; what is new, if it can be read.
    ///
    /// # Errors
    /// Says that the body is none.
    pub fn take_events(&mut self, body: &[u8]) -> Result<Option<Prefixes>, serde_json::Error> {
        let answer: Events = serde_json::from_slice(body)?;
        let first = self.epoch.is_none();
        if self.epoch.is_some_and(|known| known != answer.boot_epoch) {
            // The replica started anew: its events are read from the beginning.
            let epoch = answer.boot_epoch;
            let mut prefixes = self.start_again();
            prefixes.epoch = epoch;
            return Ok(Some(prefixes));
        }
        if answer.next_token < self.since {
            // The answer to an earlier question, come late: it would bring back parts that were dropped since.
            return Ok(None);
        }
        let since = std::mem::replace(&mut self.since, answer.next_token);
        self.epoch = Some(answer.boot_epoch);
        self.has_gap |= answer.lost;
        let news = answer.events.iter().filter(|event| event.0 >= since);
        let changes: Vec<PartChange> =
            news.map(|event| change(&event.5, &event.2, &event.3, event.4)).collect();
        if changes.is_empty() && !first {
            return Ok(None);
        }
        Ok(Some(Prefixes::new(&self.replica, answer.boot_epoch, first, changes)))
    }

    /// Takes the answer to a question for all that is kept.
    ///
    /// # Errors
    /// Says that the body is none.
    pub fn take_list(&mut self, now: Millis, body: &[u8]) -> Result<Prefixes, serde_json::Error> {
        self.listed = Some(now);
        let answer: List = serde_json::from_slice(body)?;
        self.epoch = Some(answer.boot_epoch);
        self.since = answer.next_token;
        self.has_gap = false;
        let changes = answer.held.iter().map(|held| change(&held.3, &held.0, &held.1, held.2)).collect();
        Ok(Prefixes::new(&self.replica, answer.boot_epoch, true, changes))
    }

    /// The source is taken for empty, and read from the beginning when it answers again.
    pub fn start_again(&mut self) -> Prefixes {
        *self = Cursor { listed: self.listed, ..Cursor::new(&self.replica) };
        Prefixes::new(&self.replica, UNREACHABLE, true, Vec::new())
    }

    /// The question for all that is kept got no answer; it is not asked again at once.
    pub fn list_failed(&mut self, now: Millis) {
        self.listed = Some(now);
    }
}

fn change(model: &str, salt: &str, part: &str, tokens: f64) -> PartChange {
    PartChange { part: part_key(model, salt, part), tokens: tokens.clamp(0.0, f64::from(u32::MAX)) as u32 }
}
