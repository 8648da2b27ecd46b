//! Hosts many aggregators on the simulator's wire: standard input to standard output. Translation only.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;
use std::sync::Arc;
use steppick::wire::{self, Line, WireError};
use steppick::{Action, Aggregator, Event, Listed, ReplicaId};

struct Instance {
    aggregator: Aggregator,
    classes: Vec<String>,
    names: wire::ReportNames,
    events: Vec<Event>,
    touched: bool,
}

#[derive(Default)]
struct Host {
    now: f64,
    sheets: BTreeMap<u64, Arc<[Listed]>>,
    instances: BTreeMap<u64, Instance>,
}

impl Host {
    /// Takes in one line; true when a reply is due.
    fn take(&mut self, line: Line) -> Result<bool, WireError> {
        let (i, event) = match line {
            Line::Tick { clock_ms } => {
                self.now = clock_ms;
                return Ok(false);
            }
            Line::End {} => return Ok(true),
            Line::Sheet { bank, records } => {
                let list = records.iter().map(|record| record.listed()).collect::<Result<_, _>>()?;
                self.sheets.insert(bank, list);
                return Ok(false);
            }
            Line::Attach(attach) => {
                let aggregator = Aggregator::new(attach.profile_data.settings()?, attach.random_seed);
                let classes = attach.profile_data.classes.iter().map(|class| class.name.clone()).collect();
                let names = attach.profile_data.report.unwrap_or_default();
                let instance = Instance { aggregator, classes, names, events: Vec::new(), touched: true };
                self.instances.insert(attach.i, instance);
                return Ok(false);
            }
            Line::Kill { i } => {
                self.instances.remove(&i);
                return Ok(false);
            }
            Line::BackendsChanged { i, kind, bank } => {
                let sheet = match kind {
                    wire::Change::Unavailable => None,
                    _ => {
                        let sheet = bank.and_then(|bank| self.sheets.get(&bank));
                        Some(sheet.ok_or(WireError::Bank)?)
                    }
                };
                (i, Some(wire::list_event(kind, sheet)))
            }
            Line::Incoming(incoming) => {
                let names = match self.instances.get(&incoming.i) {
                    Some(instance) => &instance.classes,
                    None => return Ok(false),
                };
                (incoming.i, Some(incoming.event(names)?))
            }
            Line::DeadlineHit { i } => (i, Some(Event::Woken)),
            Line::Started { i } | Line::Inbox { i } => (i, None),
            Line::Sampled { i, server, rc, stats } => {
                let names = match self.instances.get(&i) {
                    Some(instance) => &instance.names,
                    None => return Ok(false),
                };
                let report = names.report(stats.as_deref());
                let (replica, outcome) = (ReplicaId(server), wire::outcome(&rc)?);
                (i, Some(Event::Probed { replica, outcome, report }))
            }
            Line::Withdrawn { i, ticket } => (i, Some(Event::Withdrawn { id: wire::request_id(&ticket)? })),
            Line::Done { i, ticket, hop, server, rc, elapsed_ms } => {
                let done = Event::Done {
                    part: wire::request_id(&ticket)?,
                    attempt: hop,
                    replica: ReplicaId(server),
                    outcome: wire::outcome(&rc)?,
                    elapsed: elapsed_ms,
                };
                (i, Some(done))
            }
        };
        if let Some(instance) = self.instances.get_mut(&i) {
            instance.touched = true;
            instance.events.extend(event);
        }
        Ok(false)
    }

    fn reply(&mut self, out: &mut impl Write) -> io::Result<()> {
        let mut actions: Vec<Action> = Vec::new();
        for (i, instance) in &mut self.instances {
            if !std::mem::take(&mut instance.touched) {
                continue;
            }
            actions.clear();
            instance.aggregator.step(self.now, &instance.events, &mut actions);
            instance.events.clear();
            for action in &actions {
                writeln!(out, "{}", wire::action_line(*i, action))?;
            }
        }
        writeln!(out, "{}", wire::end_line())?;
        out.flush()
    }
}

/// Serves the wire; a fault comes with the number of its line.
fn run() -> Result<(), (usize, WireError)> {
    let mut out = BufWriter::new(io::stdout().lock());
    let mut host = Host::default();
    for (number, line) in io::stdin().lock().lines().enumerate() {
        let take = || {
            let line = line?;
            if !line.trim().is_empty() && host.take(wire::read_line(&line)?)? {
                host.reply(&mut out)?;
            }
            Ok(())
        };
        take().map_err(|error| (number + 1, error))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err((line, error)) => {
            eprintln!("steppick-drill: line {line}: {error}");
            ExitCode::FAILURE
        }
    }
}
