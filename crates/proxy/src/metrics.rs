//! What the proxy tells of its requests, as text in lines of `name{label="value"} number`. No I/O.

use crate::ending::EndingCounts;
use dispatch::Figures;
use std::fmt::Write;

/// The figures of a process.
pub fn text(figures: &Figures, endings: &EndingCounts) -> String {
    let mut text = format!("steppick_requests_taken_total {}\n", endings.taken());
    let ended = endings.ended().map(|(ending, count)| (ending.into(), count));
    lines(&mut text, "steppick_requests_ended_total", "end", ended);
    // Writing into a string can't fail.
    let _ = writeln!(text, "steppick_requests_in_time_total {}", figures.in_time());
    let late = figures.late().map(|(reason, count)| (reason.into(), count));
    lines(&mut text, "steppick_requests_late_total", "reason", late);
    let given_up = figures.given_up().map(|(cause, count)| (cause.into(), count));
    lines(&mut text, "steppick_requests_given_up_total", "cause", given_up);
    let tokens = figures.tokens().map(|(what, count)| (what.into(), count));
    lines(&mut text, "steppick_prompt_tokens_total", "use", tokens);
    text
}

fn lines(text: &mut String, name: &str, label: &str, counts: impl Iterator<Item = (&'static str, u64)>) {
    for (value, count) in counts {
        // Writing into a string can't fail.
        let _ = writeln!(text, "{name}{{{label}=\"{value}\"}} {count}");
    }
}
