//! What the proxy tells of its requests, as text in lines of `name{label="value"} number`. No I/O.

use crate::ending::EndingCounts;
use crate::histogram::Histogram;
use crate::lags::Lags;
use dispatch::Figures;
use std::fmt::Write;
use std::time::Duration;

/// What is told of a process.
#[derive(Debug)]
pub struct Metrics<'process> {
    /// What became of requests and prompts.
    pub figures: &'process Figures,
    /// How requests have ended.
    pub endings: &'process EndingCounts,
    /// How far behind it was.
    pub lags: &'process Lags,
    /// From deadlines to the polls of their tasks.
    pub deadline_lag: Histogram,
    /// How long it could have run and had no processor, if the kernel tells.
    pub run_delay: Option<Duration>,
}

impl Metrics<'_> {
    /// The metrics as text.
    pub fn text(&self) -> String {
        let mut text = requests(self.figures, self.endings);
        histogram(&mut text, "steppick_read_lag_ms", "", self.lags.of_reads());
        histogram(&mut text, "steppick_deadline_lag_ms", "", &self.deadline_lag);
        for (ending, lag) in self.lags.of_ends() {
            let label = format!("end=\"{}\"", <&str>::from(ending));
            histogram(&mut text, "steppick_end_lag_ms", &label, lag);
        }
        if let Some(delay) = self.run_delay {
            // Writing into a string can't fail.
            let _ = writeln!(text, "steppick_process_run_delay_seconds_total {:.3}", delay.as_secs_f64());
        }
        // Writing into a string can't fail.
        let _ = writeln!(text, "steppick_build_info{{sources=\"{}\"}} 1", process::SOURCE_DIGEST);
        text
    }
}

fn requests(figures: &Figures, endings: &EndingCounts) -> String {
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

/// A histogram in cumulative buckets; `label` stands before `le`.
fn histogram(text: &mut String, name: &str, label: &str, lag: &Histogram) {
    let separator = if label.is_empty() { "" } else { "," };
    let mut bucket = |bound: &str, count: u64| {
        // Writing into a string can't fail.
        let _ = writeln!(text, "{name}_bucket{{{label}{separator}le=\"{bound}\"}} {count}");
    };
    lag.cumulative().for_each(|(bound, count)| bucket(&bound.to_string(), count));
    bucket("+Inf", lag.count());
    let labels = if label.is_empty() { String::new() } else { format!("{{{label}}}") };
    // Writing into a string can't fail.
    let _ = writeln!(text, "{name}_sum{labels} {:.3}", lag.sum().as_secs_f64() * 1000.0);
    let _ = writeln!(text, "{name}_count{labels} {}", lag.count());
}
