//! What follows from how a send went.

use crate::call::{Call, Next, Out, Outcome, COME_BACK, LEAST_TIME};
use crate::cause::Cause;
use crate::dispatcher::Dispatcher;
use crate::figures::Work;
use evidence::Ms;
use prefix_index::ReplicaNumber;

/// Replicas of one request that may fail to be reached.
const MOST_UNREACHED: u32 = 4;

impl Dispatcher {
    /// The first piece of a send's answer has come.
    pub fn began(&mut self, call: &mut Call, replica: ReplicaNumber, now: Ms) {
        let Some(out) = call.out.iter_mut().find(|out| out.replica == replica && out.is_pending) else {
            return;
        };
        out.is_pending = false;
        let (after, work) = (now - out.at, out.work);
        self.count_first_piece(call, &work, after, now);
        let unread = work.unread();
        if let Some(replica) = self.replicas.get_mut(&replica) {
            replica.pending_tokens = (replica.pending_tokens - unread).max(0.0);
        }
        if let Some(service) = self.services.get_mut(&*call.ask.service) {
            service.speed.began(unread, after);
            let reading = unread / service.speed.rate().0;
            if let Some(replica) = self.replicas.get_mut(&replica) {
                // What other calls explain is counted with them.
                replica.health.delayed((after - reading - work.wait).max(0.0), now);
            }
        }
    }

    fn count_first_piece(&mut self, call: &mut Call, work: &Work, after: Ms, now: Ms) {
        if std::mem::replace(&mut call.has_begun, true) {
            return;
        }
        if call.ask.target.is_none_or(|target| now <= target) {
            return self.figures.count_in_time();
        }
        let rate = self.read_rate(&call.ask.service).0;
        let reason = call.setback.unwrap_or_else(|| work.longest_part(after, rate));
        self.figures.count_late(reason);
    }

    /// The client is told that a request is given up.
    pub fn given_up(&mut self, cause: Cause) {
        self.figures.count_given_up(cause);
    }

    /// A send has ended; tells what follows.
    pub fn ended(&mut self, call: &mut Call, number: ReplicaNumber, outcome: Outcome, now: Ms) -> Next {
        let out = self.release(call, number, outcome, now);
        if let Some(out) = &out {
            let rate = self.read_rate(&call.ask.service);
            let explained = rate.reading(out.work.unread() as u32) + out.work.moving;
            self.note_release(call, number, outcome, now - out.at - explained);
        }
        let expected = out.and_then(|out| out.version);
        self.judge(call, number, expected, outcome, now);
        call.note(outcome);
        match outcome {
            Outcome::Answered | Outcome::Abandoned => return Next::Nothing,
            _ if !call.out.is_empty() => return Next::Nothing,
            _ => {}
        }
        match self.obstacle(call, outcome, now) {
            None => Next::Repeat,
            Some(cause) => Next::GiveUp(call.give_up(cause, COME_BACK)),
        }
    }

    /// What forbids another send.
    fn obstacle(&mut self, call: &Call, outcome: Outcome, now: Ms) -> Option<Cause> {
        if outcome == Outcome::Expired || call.ask.deadline - now < LEAST_TIME {
            return Some(Cause::Expired);
        }
        if call.is_unrepeatable() {
            return Some(Cause::InDoubt);
        }
        if call.unreached >= MOST_UNREACHED {
            return Some(Cause::Unreached);
        }
        if call.sends >= call.ask.rules.tries.max(1) {
            return Some(Cause::NoTries);
        }
        (call.sends > 0 && !self.budget_allows(call, now)).then_some(Cause::NoBudget)
    }

    /// Takes a send out of the records of calls that are out.
    fn release(&mut self, call: &mut Call, number: ReplicaNumber, outcome: Outcome, now: Ms) -> Option<Out> {
        let at = call.out.iter().position(|out| out.replica == number)?;
        let out = call.out.swap_remove(at);
        if let Some(replica) = self.replicas.get_mut(&number) {
            replica.out = replica.out.saturating_sub(1);
            if out.is_pending {
                replica.pending_tokens = (replica.pending_tokens - out.work.unread()).max(0.0);
            }
        }
        if matches!(outcome, Outcome::Answered) {
            if let Some(service) = self.services.get_mut(&*call.ask.service) {
                service.speed.ended(now - out.at);
            }
        } else if out.is_pending {
            for part in &out.parts {
                self.index.take_back(number, *part, out.at);
            }
        }
        Some(out)
    }

    /// Takes the evidence on a replica in.
    fn judge(
        &mut self,
        call: &Call,
        number: ReplicaNumber,
        expected: Option<u64>,
        outcome: Outcome,
        now: Ms,
    ) {
        let Some(replica) = self.replicas.get_mut(&number) else { return };
        match outcome {
            Outcome::Unreached => replica.health.unreached(now),
            Outcome::Full { retry_after } => replica.health.full(now, retry_after),
            Outcome::Elsewhere => replica.health.elsewhere(now),
            Outcome::Broken | Outcome::Expired => replica.health.broken(now),
            Outcome::Failed | Outcome::Answered => replica.health.sound(),
            Outcome::Abandoned | Outcome::Outdated => {}
            Outcome::OtherVersion => {
                if let (Some(model), Some(expected)) = (call.ask.model.as_deref(), expected) {
                    let is_believed = replica.version(model) == Some(expected);
                    // Its beat is old news: it has at least the version named after, unless the refusal told another. If
                    // none was named after it, what answers told of it was too new.
                    match self.weights.first_above(model, expected).filter(|_| is_believed) {
                        Some(next) => replica.hear_version(model, next.version),
                        None if is_believed => replica.forget_heard(model),
                        None => {}
                    }
                }
                replica.health.full(now, None);
            }
        }
    }
}
