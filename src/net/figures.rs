//! What operators read: one figure a line, in the text form that Prometheus scrapes.

use std::collections::BTreeMap;
use std::fmt;

/// How the requests of one class ended, since the process started.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Results {
    /// Answered 200.
    pub succeeded: u64,
    /// Refused: trying again is harmless.
    pub declined: u64,
    /// Failed.
    pub aborted: u64,
}

/// The figures of a front, or of the whole program.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Figures {
    /// Results by class.
    pub results: BTreeMap<String, Results>,
    /// Attempts written whole to data nodes.
    pub forwards: u64,
    /// Requests taken whose client waits for the final answer.
    pub outstanding: usize,
    /// Data nodes in the list.
    pub discovered: usize,
    /// Data nodes in service that are left alone for what was seen of them.
    pub ejected: usize,
    /// Files taken in at `SIGHUP`.
    pub sighup_applied: u64,
    /// Files turned down at `SIGHUP`.
    pub sighup_rejected: u64,
}

impl Figures {
    /// Adds those of another front.
    pub fn add(&mut self, other: Figures) {
        for (class, results) in other.results {
            let sum = self.results.entry(class).or_default();
            sum.succeeded += results.succeeded;
            sum.declined += results.declined;
            sum.aborted += results.aborted;
        }
        self.forwards += other.forwards;
        self.outstanding += other.outstanding;
        self.discovered += other.discovered;
        self.ejected += other.ejected;
        self.sighup_applied += other.sighup_applied;
        self.sighup_rejected += other.sighup_rejected;
    }
}

/// A label's value as the text form wants it.
fn escaped(value: &str) -> String {
    value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let mut line =
            |name: &str, labels: &str, value: u64| writeln!(f, "coordinator_{name}{labels} {value}");
        for (class, results) in &self.results {
            let dispositions = [
                ("succeeded", results.succeeded),
                ("declined", results.declined),
                ("aborted", results.aborted),
            ];
            for (disposition, count) in dispositions {
                let labels = format!("{{service=\"{}\",disposition=\"{disposition}\"}}", escaped(class));
                line("results_total", &labels, count)?;
            }
        }
        line("forwards_total", "", self.forwards)?;
        line("outstanding", "", self.outstanding as u64)?;
        line("discovered", "", self.discovered as u64)?;
        line("ejected", "", self.ejected as u64)?;
        line("sighup_applied_total", "", self.sighup_applied)?;
        line("sighup_rejected_total", "", self.sighup_rejected)
    }
}
