//! Which processes were disturbed when: what excuses a machine that did not keep a promise in time.

use crate::check::Checker;
use crate::fleet::{name, IN_TOUCH_MS, THAW_MS};
use crate::record::{Disturbance, Event, Millis, Process, Seen};
use std::collections::BTreeMap;

impl Checker<'_> {
    pub(crate) fn was_killed(&self, wanted: Process, from: Millis, to: Millis) -> bool {
        self.events.iter().any(|Event { at, seen }| {
            let Seen::Process { process, what: Disturbance::Killed } = seen else { return false };
            *process == wanted && (from..=to).contains(at)
        })
    }

    /// Whether a process was killed and is not gone yet: its sockets take connections until the kernel closes them.
    pub(crate) fn is_being_killed(&self, wanted: Process, at: Millis) -> bool {
        let last =
            self.events.iter().filter(|event| event.at <= at).rev().find_map(|event| match event.seen {
                Seen::Process { process, what } if process == wanted => match what {
                    Disturbance::Killed | Disturbance::Started | Disturbance::Ended { .. } => Some(what),
                    _ => None,
                },
                _ => None,
            });
        last == Some(Disturbance::Killed)
    }

    /// Whether an edge machine heard what is new when it got a request, and could act on it until `at`, as far as is
    /// known: none of its processes was killed or frozen and is not back for a while, nor came up lately, and the
    /// controllers were not frozen. An end by itself, or by SIGTERM, is no excuse.
    pub(crate) fn is_in_touch(&self, edge: usize, sent: Millis, at: Millis) -> bool {
        let machine = [Process::Agent(edge), Process::Proxy(edge)];
        let heard = machine.iter().all(|process| self.is_steady(*process, sent));
        let stood = self.freezes(sent, at).any(|(_, process, _)| machine.contains(&process));
        heard && !stood && !self.ends_without_agent(edge, sent) && self.are_controllers_calm(sent, at)
    }

    /// Whether the proxy of an edge machine was told to end when its agent, told to end alone before, had ended: a
    /// machine that stops starts nothing any more.
    pub(crate) fn ends_without_agent(&self, edge: usize, at: Millis) -> bool {
        let mut of_machine = self.events.iter().filter(|event| event.at <= at);
        let told = of_machine.rfind(|event| {
            matches!(event.seen, Seen::Process { process, what: Disturbance::Terminated } if process == Process::Proxy(edge))
        });
        let Some(told) = told else { return false };
        self.life_of(Process::Agent(edge), told.at) == Some(Disturbance::Ended { expected: true })
            && self.life_of(Process::Agent(edge), at) != Some(Disturbance::Started)
    }

    /// The last start or end of a process by a time.
    pub(crate) fn life_of(&self, wanted: Process, at: Millis) -> Option<Disturbance> {
        self.events.iter().filter(|event| event.at <= at).rev().find_map(|event| match event.seen {
            Seen::Process { process, what: what @ (Disturbance::Started | Disturbance::Ended { .. }) }
                if process == wanted =>
            {
                Some(what)
            }
            _ => None,
        })
    }

    /// Freezes and thaws within a span, and troubles of links: a process that nothing reaches stands still for the others.
    pub(crate) fn freezes(
        &self,
        from: Millis,
        to: Millis,
    ) -> impl Iterator<Item = (Millis, Process, Disturbance)> + '_ {
        self.events.iter().filter_map(move |event| match event.seen {
            Seen::Process { process, what }
                if (what.stops() || what.goes_on()) && (from..=to).contains(&event.at) =>
            {
                Some((event.at, process, what))
            }
            _ => None,
        })
    }

    /// Whether no controller was frozen or thawed in a span or shortly before it, and most of them were not frozen then.
    pub(crate) fn are_controllers_calm(&self, from: Millis, to: Millis) -> bool {
        let is_controller = |process: &Process| matches!(process, Process::Controller(_));
        let changed =
            self.freezes(from.saturating_sub(IN_TOUCH_MS), to).any(|(_, process, _)| is_controller(&process));
        let mut running: BTreeMap<Process, bool> = BTreeMap::new();
        for event in self.events.iter().filter(|event| event.at <= from) {
            let Seen::Process { process, what } = event.seen else { continue };
            let goes = match what {
                Disturbance::Started | Disturbance::Thawed | Disturbance::LinksWhole => true,
                Disturbance::Killed | Disturbance::Frozen | Disturbance::LinksTroubled => false,
                Disturbance::Ended { .. } | Disturbance::Terminated | Disturbance::Reloaded => continue,
            };
            if is_controller(&process) {
                running.insert(process, goes);
            }
        }
        let most_run = 2 * running.values().filter(|goes| **goes).count() > running.len();
        let any_frozen = self.freezes(0, from).any(|(_, process, _)| is_controller(&process));
        !changed && (most_run || !any_frozen)
    }

    pub(crate) fn is_steady(&self, wanted: Process, at: Millis) -> bool {
        let mut of_process = self.events.iter().filter_map(|event| match event.seen {
            Seen::Process { process, what } if process == wanted && event.at <= at => Some((event.at, what)),
            _ => None,
        });
        let disturbed = |what: &Disturbance| {
            matches!(
                what,
                Disturbance::Killed | Disturbance::Started | Disturbance::Frozen | Disturbance::Thawed
            )
        };
        match of_process.rfind(|(_, what)| disturbed(what)) {
            Some((_, Disturbance::Killed | Disturbance::Frozen)) | None => false,
            Some((started, _)) => at > started + IN_TOUCH_MS,
        }
    }

    /// Whether some controller was killed, ended or started within this span.
    pub(crate) fn were_controllers_down(&self, from: Millis, to: Millis) -> bool {
        self.events.iter().any(|Event { at, seen }| {
            matches!(seen, Seen::Process { process: Process::Controller(_), what }
                if *what != Disturbance::Reloaded)
                && (from..=to).contains(at)
        })
    }

    /// Whether a controller was thawed so lately that its orders don't count.
    pub(crate) fn has_just_thawed(&self, holder: &str, at: Millis) -> bool {
        self.freezes(at.saturating_sub(THAW_MS), at)
            .any(|(_, process, what)| what.goes_on() && name(process) == holder)
    }
}
