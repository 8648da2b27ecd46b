//! What a replica's head means for the request that it answers. No I/O.

use crate::plan::Plan;
use dispatch::{Outcome, Target};
use http::{ResponseFraming, ResponseHead};

/// What a head means.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Meaning {
    /// The answer to pass on.
    Answer,
    /// The replica failed; its answer may be passed on.
    Failure,
    /// The send is over, and nothing of it is passed on.
    Over(Outcome),
}

/// Reads a head that came for a request sent to `target`. On a connection that is `fresh` nothing else can be due.
pub(crate) fn meaning(head: &ResponseHead, plan: &Plan, target: &Target, fresh: bool) -> Meaning {
    let id = head.lines.get("attempt-id");
    if id.is_some_and(|id| id != plan.attempt_id) {
        return Meaning::Over(Outcome::Broken);
    }
    let proves = (id.is_some() || fresh) && (head.status == 421 || head.lines.count("not-run") > 0);
    match head.status {
        421 if proves => Meaning::Over(misdirected(head, target)),
        429 | 503 if proves => Meaning::Over(Outcome::Full { retry_after: retry_after(head) }),
        408 | 421 | 429 | 503 => Meaning::Over(Outcome::Broken),
        _ if id.is_none() && !(proves && head.status == 400) => Meaning::Over(Outcome::Broken),
        200..=299 if !is_sound_success(head) => Meaning::Over(Outcome::Broken),
        100..=199 => Meaning::Over(Outcome::Broken),
        500..=599 if head.framing != ResponseFraming::UntilClose => Meaning::Failure,
        _ if head.framing == ResponseFraming::UntilClose => Meaning::Over(Outcome::Broken),
        _ => Meaning::Answer,
    }
}

/// A success is the replica's only with its seal, in a framing that shows its end, and unencoded.
fn is_sound_success(head: &ResponseHead) -> bool {
    head.lines.count("server-seal") == 1
        && head.framing != ResponseFraming::UntilClose
        && head.lines.count("content-encoding") == 0
}

fn misdirected(head: &ResponseHead, target: &Target) -> Outcome {
    match head.lines.get("node-id") {
        Some(id) if id != &*target.id => Outcome::Elsewhere,
        _ if target.version.is_some() => Outcome::OtherVersion,
        _ => Outcome::Elsewhere,
    }
}

fn retry_after(head: &ResponseHead) -> Option<f64> {
    let seconds: f64 = head.lines.get("retry-after")?.parse().ok()?;
    (seconds.is_finite() && seconds >= 0.0).then_some(seconds * 1000.0)
}

/// The version of the weights that an answer tells.
pub(crate) fn version(head: &ResponseHead) -> Option<u64> {
    head.lines.get("versions")?.trim().parse().ok()
}
