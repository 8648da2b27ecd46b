//! What must hold in a run, read from what parties outside saw.

use crate::fleet::{APPLY_MS, DRAIN_MS, LEASE_MS, LOST_SLACK_MS, VERSION_MS};
use crate::record::{Disturbance, Ending, Event, Kind, Millis, Process, Seen};
use std::collections::{BTreeMap, BTreeSet};

/// What is known of a client's request.
#[derive(Debug, Default)]
struct Request {
    sent: Option<(Millis, usize, Kind)>,
    ended: Option<(Millis, Ending)>,
    arrived: Vec<(Millis, String)>,
    ran: Vec<(Millis, String, u64)>,
}

/// Everything that was seen, in order of what it is about.
pub struct Checker<'a> {
    pub(crate) events: &'a [Event],
    requests: BTreeMap<u64, Request>,
    probes: BTreeSet<u64>,
    crashed: BTreeMap<&'a str, Millis>,
}

/// All faults of a run, one line each.
pub fn faults(events: &[Event]) -> Vec<String> {
    let checker = Checker::new(events);
    let mut faults = Vec::new();
    checker.processes(&mut faults);
    checker.answers(&mut faults);
    checker.lost(&mut faults);
    checker.versions(&mut faults);
    checker.drained(&mut faults);
    checker.configurations(&mut faults);
    checker.orders(&mut faults);
    checker.fences(&mut faults);
    faults
}

impl<'a> Checker<'a> {
    fn new(events: &'a [Event]) -> Checker<'a> {
        let mut checker =
            Checker { events, requests: BTreeMap::new(), probes: BTreeSet::new(), crashed: BTreeMap::new() };
        for Event { at, seen } in events {
            match seen {
                Seen::Sent { request, edge, kind } => {
                    checker.request(*request).sent = Some((*at, *edge, *kind))
                }
                Seen::Probing { request } => drop(checker.probes.insert(*request)),
                Seen::Ended { request, ending } => {
                    checker.request(*request).ended = Some((*at, ending.clone()))
                }
                Seen::Arrived { request, replica } => {
                    checker.request(*request).arrived.push((*at, replica.clone()))
                }
                Seen::Ran { request, replica, version, .. } => {
                    checker.request(*request).ran.push((*at, replica.clone(), *version));
                }
                Seen::Crashed { replica } => {
                    checker.crashed.insert(replica, *at);
                }
                _ => {}
            }
        }
        checker
    }

    fn request(&mut self, id: u64) -> &mut Request {
        self.requests.entry(id).or_default()
    }

    fn processes(&self, faults: &mut Vec<String>) {
        for Event { at, seen } in self.events {
            match seen {
                Seen::Process { process, what: Disturbance::Ended { expected: false } } => {
                    faults.push(format!("FAULT at {at}: {process:?} ended by itself"));
                }
                Seen::Unrecovered { what } => faults.push(format!("RECOVER at {at}: {what}")),
                _ => {}
            }
        }
    }

    /// Answers are those of the replicas, promises are kept, nothing that may not run twice does.
    fn answers(&self, faults: &mut Vec<String>) {
        for (id, request) in &self.requests {
            let Some((_, _, kind)) = request.sent else {
                if !request.ran.is_empty() && !self.probes.contains(id) {
                    faults.push(format!("UNASKED: request {id} ran and was never sent"));
                }
                continue;
            };
            if kind == Kind::Writing && request.ran.len() > 1 {
                faults.push(format!("TWICE: writing request {id} ran {} times", request.ran.len()));
            }
            match &request.ended {
                Some((at, Ending::Answered { status: 200..=299, sound: false })) => {
                    faults.push(format!("MIXED at {at}: a success for request {id} is not its replica's"));
                }
                Some((at, Ending::Answered { status: 408 | 421 | 429 | 503, .. }))
                    if kind == Kind::Writing && !request.ran.is_empty() =>
                {
                    faults.push(format!("REFUSED at {at}: request {id} was promised not to run, and ran"));
                }
                Some((
                    at,
                    Ending::Answered {
                        status: status @ (300..=407 | 409..=420 | 422..=428 | 430..=499), ..
                    },
                )) => {
                    faults.push(format!("DENIED at {at}: request {id} got {status}"));
                }
                _ => {}
            }
        }
    }

    /// A request that was read whole is answered whole, unless something unplanned took it.
    fn lost(&self, faults: &mut Vec<String>) {
        for (id, request) in &self.requests {
            let (Some((sent, edge, _)), Some((ended, Ending::Cut { began }))) =
                (request.sent, &request.ended)
            else {
                continue;
            };
            let killed = self.was_killed(Process::Proxy(edge), sent.saturating_sub(50), *ended + 50)
                || self.is_being_killed(Process::Proxy(edge), sent);
            let crossed = request.arrived.is_empty() && *ended <= sent + LOST_SLACK_MS;
            let froze = self.freezes(sent, *ended).any(|(_, process, _)| process == Process::Proxy(edge));
            let crashed = request.arrived.iter().any(|(_, replica)| {
                self.crashed.get(replica.as_str()).is_some_and(|at| *at + 50 >= sent && *at <= *ended + 50)
            });
            if !killed && !crossed && !crashed && !froze {
                faults.push(format!(
                    "LOST at {ended}: request {id} at edge {edge}, sent at {sent}, began {began}, arrived at {:?}",
                    request.arrived
                ));
            }
        }
    }

    /// Nothing begins on weights whose bound is over, and no kept part is shared by two versions.
    fn versions(&self, faults: &mut Vec<String>) {
        let named: Vec<(Millis, u64)> = self
            .events
            .iter()
            .filter_map(|event| match event.seen {
                Seen::Named { version } => Some((event.at, version)),
                _ => None,
            })
            .collect();
        let mut salts: BTreeMap<&str, u64> = BTreeMap::new();
        for Event { at, seen } in self.events {
            let Seen::Ran { request, replica, version, salt } = seen else { continue };
            // Requests that name no model have no salt.
            if !salt.is_empty() && *salts.entry(salt).or_insert(*version) != *version {
                faults.push(format!(
                    "STALE at {at}: request {request} at {replica} shares its salt with other weights"
                ));
            }
            let Some((sent, edge, _)) = self.requests.get(request).and_then(|one| one.sent) else { continue };
            let overdue = named.iter().find(|(acked, newer)| newer > version && *at > acked + VERSION_MS);
            if let Some((acked, newer)) = overdue.filter(|_| self.is_in_touch(edge, sent, *at)) {
                faults.push(format!(
                    "VERSION at {at}: request {request} at edge {edge} began on version {version} at {replica}, {} ms \
                     after version {newer} was acknowledged",
                    at - acked
                ));
            }
        }
    }

    /// What was acknowledged to drain gets nothing more.
    fn drained(&self, faults: &mut Vec<String>) {
        let mut drained: BTreeMap<&str, Millis> = BTreeMap::new();
        for Event { at, seen } in self.events {
            match seen {
                Seen::Drained { replica } => {
                    drained.entry(replica).or_insert(*at);
                }
                Seen::Arrived { request, replica } => {
                    let Some(acked) = drained.get(replica.as_str()) else { continue };
                    let Some((sent, edge, _)) = self.requests.get(request).and_then(|one| one.sent) else {
                        continue;
                    };
                    if *at > acked + DRAIN_MS && self.is_in_touch(edge, sent, *at) {
                        faults.push(format!(
                            "DRAIN at {at}: request {request} reached {replica} from edge {edge}, {} ms after the \
                             acknowledgement",
                            at - acked
                        ));
                    }
                }
                _ => {}
            }
        }
    }

    /// Nothing acknowledged is lost, shown older, or taken twice; edges follow in time.
    fn configurations(&self, faults: &mut Vec<String>) {
        let mut taken: Vec<(Millis, u64, u64, u64)> = Vec::new();
        let mut bases: BTreeMap<u64, u64> = BTreeMap::new();
        for Event { at, seen } in self.events {
            match seen {
                Seen::Configured { order, based_on, version } => {
                    if *bases.entry(*based_on).or_insert(*order) != *order {
                        faults.push(format!(
                            "CONFIG at {at}: two changes of version {based_on} were acknowledged"
                        ));
                    }
                    taken.push((*at, *order, *based_on, *version));
                }
                Seen::Refused { order, version, status, .. } => {
                    let was_taken = taken.iter().any(|(_, known, _, _)| known == order);
                    if was_taken {
                        faults.push(format!(
                            "CONFIG at {at}: version {version} was acknowledged, then refused with {status}"
                        ));
                    }
                }
                Seen::Read { sent, version } => {
                    let newest =
                        taken.iter().filter(|(acked, ..)| acked < sent).map(|(.., version)| *version).max();
                    if newest.is_some_and(|newest| *version < newest) {
                        faults.push(format!(
                            "CONFIG at {at}: version {version} was read after {newest:?} was acknowledged"
                        ));
                    }
                }
                _ => {}
            }
        }
        self.probes(&taken, faults);
    }

    /// A route of the newest configuration is known in time, at machines in touch.
    fn probes(&self, taken: &[(Millis, u64, u64, u64)], faults: &mut Vec<String>) {
        for Event { at, seen } in self.events {
            let Seen::Probed { edge, sent, version, status } = seen else { continue };
            let Some((acked, ..)) = taken.iter().find(|(.., known)| known == version) else { continue };
            // A newer change may be in force from its sending on, before anybody knows that it was taken.
            let newer = self.events.iter().any(|event| {
                event.at <= *at && matches!(event.seen, Seen::Ordering { version: other } if other > *version)
            });
            let is_due = *sent > acked + APPLY_MS && !newer;
            let is_calm = self.is_in_touch(*edge, *sent, *at) && !self.were_controllers_down(*acked, *sent);
            if is_due && is_calm && matches!(status, 401 | 403 | 404) {
                faults.push(format!("CONFIG at {at}: edge {edge} answers {status} for a route of version {version}, {} ms after", sent - acked));
            }
        }
    }

    /// Orders to replicas come from one holder at a time.
    fn orders(&self, faults: &mut Vec<String>) {
        let mut last: Option<(Millis, &str, u64)> = None;
        let mut holders: BTreeMap<u64, BTreeSet<&str>> = BTreeMap::new();
        for Event { at, seen } in self.events {
            let Seen::Ordered { replica, holder, fence, .. } = seen else { continue };
            if self.has_just_thawed(holder, *at) {
                continue;
            }
            holders.entry(*fence).or_default().insert(holder);
            if holders[fence].len() > 1 {
                faults.push(format!("ONE at {at}: fence {fence} is used by {:?}", holders[fence]));
            }
            if let Some((before, former, former_fence)) = last {
                if former != holder && *at < before + LEASE_MS {
                    faults.push(format!(
                        "ONE at {at}: {holder} orders {replica} {} ms after {former}",
                        at - before
                    ));
                }
                if *fence < former_fence {
                    faults.push(format!("ONE at {at}: fence {fence} after {former_fence}"));
                }
            }
            last = Some((*at, holder, *fence));
        }
    }

    /// A fence that a replica refused is not used again by the same holder.
    fn fences(&self, faults: &mut Vec<String>) {
        let mut refused: BTreeMap<&str, (Millis, u64)> = BTreeMap::new();
        for Event { at, seen } in self.events {
            let Seen::Ordered { replica, holder, fence, status } = seen else { continue };
            if let Some((since, highest)) = refused.get(holder.as_str()) {
                if fence <= highest && *at > since + LEASE_MS {
                    faults.push(format!(
                        "FENCE at {at}: {holder} orders {replica} under {fence}, refused at {since}"
                    ));
                }
            }
            if *status == 412 {
                refused.insert(holder, (*at, *fence));
            }
        }
    }
}
