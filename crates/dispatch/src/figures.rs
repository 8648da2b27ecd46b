//! What became of requests and of their prompts, counted for operators: each late answer has one reason, the part of its
//! time that was longest.

use crate::cause::Cause;
use evidence::Ms;
use strum::{EnumCount, EnumIter, IntoEnumIterator, IntoStaticStr};

/// Why an answer came after its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum LateReason {
    /// Reading the part of the prompt that is the request's own.
    OwnPrompt,
    /// Reading a start that nobody was known to have read.
    FirstReading,
    /// Reading a start that somebody had read before.
    Rereading,
    /// Fetching kept blocks.
    Move,
    /// Waiting for other requests at the replica.
    Queue,
    /// A replica turned it away before.
    TurnedAway,
    /// A replica had other weights, or was to have others, before.
    Weights,
    /// A replica could not be reached, broke off or failed before.
    ReplicaFailed,
}

/// What became of the tokens of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum TokenUse {
    /// The replica was known to keep them.
    Kept,
    /// It was told to fetch them.
    Fetched,
    /// The request's own part.
    Own,
    /// A start that nobody was known to have read.
    FirstReading,
    /// A start that somebody had read before.
    Rereading,
}

/// What a replica has to do for a request before its first piece.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Work {
    /// Tokens of the request's own part.
    pub own: u32,
    /// Tokens of the start that it keeps.
    pub kept: u32,
    /// Tokens of the start that it fetches.
    pub fetched: u32,
    /// Tokens of the start that it has to read.
    pub start: u32,
    /// Somebody had read the start before.
    pub was_read: bool,
    /// How long the calls before it take, as far as they are known, ms.
    pub wait: Ms,
    /// How long the move takes, ms.
    pub moving: Ms,
}

impl Work {
    /// Prompt tokens that it has to read.
    pub fn unread(&self) -> f64 {
        f64::from(self.own) + f64::from(self.start)
    }

    /// The longest part of the time until the first piece, for a replica that reads so many tokens in a ms.
    pub fn longest_part(&self, took: Ms, rate: f64) -> LateReason {
        let start_reason = if self.was_read { LateReason::Rereading } else { LateReason::FirstReading };
        let (own, start) = (f64::from(self.own) / rate, f64::from(self.start) / rate);
        let queue = took - own - start - self.moving;
        let parts = [
            (own, LateReason::OwnPrompt),
            (start, start_reason),
            (self.moving, LateReason::Move),
            (queue, LateReason::Queue),
        ];
        let longest = parts.into_iter().max_by(|(one, _), (other, _)| one.total_cmp(other));
        longest.map_or(LateReason::Queue, |(_, reason)| reason)
    }
}

/// The counts of one process.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Figures {
    in_time: u64,
    late: [u64; LateReason::COUNT],
    given_up: [u64; Cause::COUNT],
    tokens: [u64; TokenUse::COUNT],
}

impl Figures {
    /// Answers that began within their route's target, or whose route has none.
    pub fn in_time(&self) -> u64 {
        self.in_time
    }

    /// Answers that began later, by reason.
    pub fn late(&self) -> impl Iterator<Item = (LateReason, u64)> + '_ {
        LateReason::iter().map(|reason| (reason, self.late[reason as usize]))
    }

    /// Requests that were given up, by cause.
    pub fn given_up(&self) -> impl Iterator<Item = (Cause, u64)> + '_ {
        Cause::iter().map(|cause| (cause, self.given_up[cause as usize]))
    }

    /// Prompt tokens of sends, by what became of them.
    pub fn tokens(&self) -> impl Iterator<Item = (TokenUse, u64)> + '_ {
        TokenUse::iter().map(|what| (what, self.tokens[what as usize]))
    }

    pub(crate) fn count_in_time(&mut self) {
        self.in_time += 1;
    }

    pub(crate) fn count_late(&mut self, reason: LateReason) {
        self.late[reason as usize] += 1;
    }

    pub(crate) fn count_given_up(&mut self, cause: Cause) {
        self.given_up[cause as usize] += 1;
    }

    pub(crate) fn count_send(&mut self, work: &Work) {
        let start = if work.was_read { TokenUse::Rereading } else { TokenUse::FirstReading };
        let counts = [
            (TokenUse::Kept, work.kept),
            (TokenUse::Fetched, work.fetched),
            (TokenUse::Own, work.own),
            (start, work.start),
        ];
        for (what, tokens) in counts {
            self.tokens[what as usize] += u64::from(tokens);
        }
    }
}
