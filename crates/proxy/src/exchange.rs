//! One client's request from its plan to its final answer.

use crate::answer::{own, passed_head};
use crate::attempt::{Answer, Raced, Taken};
use crate::connection::Connection;
use crate::ending::Ending;
use crate::event::ProxyEvent;
use crate::executor::Task;
use crate::plan::Plan;
use crate::relay::Passage;
use crate::shared::Shared;
use dispatch::{Call, Final, Next, Outcome, Target};
use http::RequestHead;
use std::rc::Rc;
use tokio::time::Instant;

/// A request on its way.
pub(crate) struct Exchange<'a> {
    pub shared: &'a Rc<Shared>,
    pub client: &'a mut Connection,
    pub head: &'a RequestHead,
    pub body: &'a [u8],
    pub plan: &'a Plan,
    pub call: Call,
    pub passage: Passage,
    pub task: &'a Task,
    close: bool,
}

impl<'a> Exchange<'a> {
    /// A request that has just been read. The connection closes after its answer if `close`.
    pub fn new(
        shared: &'a Rc<Shared>,
        client: &'a mut Connection,
        (head, body): (&'a RequestHead, &'a [u8]),
        plan: &'a Plan,
        task: &'a Task,
        close: bool,
    ) -> Exchange<'a> {
        let call = shared.view.borrow_mut().dispatcher.begin(plan.ask.clone(), shared.now());
        let resumable = plan.is_stream && plan.ask.rules.is_idempotent;
        let passage = Passage::new(close, resumable, head.lines.get("last-event-id"));
        Exchange { shared, client, head, body, plan, call, passage, task, close }
    }

    /// When the request is given up.
    pub fn deadline(&self) -> Instant {
        self.shared.instant(self.plan.ask.deadline)
    }

    /// Sends the request until it is answered or given up; tells how it ended for the client.
    pub async fn run(&mut self) -> Ending {
        loop {
            let sent = self.shared.view.borrow_mut().dispatcher.send(&mut self.call, self.shared.now());
            let target = match sent {
                Ok(target) => target,
                Err(last) => return self.give_up(last).await,
            };
            if self.passage.has_begun() {
                self.log_resumed(&target);
            }
            let twin = self.twin();
            let next = match self.race(&target, twin.as_ref()).await {
                Raced::Over(next) => next,
                Raced::Opened(is_twin, opened) => {
                    let winner = twin.as_ref().filter(|_| is_twin).unwrap_or(&target);
                    match self.take(winner, *opened).await {
                        Taken::Passed => {
                            self.ended(winner, Outcome::Answered);
                            return Ending::Answered;
                        }
                        Taken::Held(answer) => match self.ended(winner, answer.outcome()) {
                            Next::Repeat => Next::Repeat,
                            Next::GiveUp(_) | Next::Nothing => return self.pass_on(answer).await,
                        },
                        Taken::Over(outcome) => self.ended(winner, outcome),
                    }
                }
            };
            match next {
                Next::Repeat => self.passage.go_on_elsewhere(),
                Next::GiveUp(last) => return self.give_up(last).await,
                Next::Nothing => return Ending::ClientGone,
            }
        }
    }

    /// Logs where a stream that has begun goes on.
    fn log_resumed(&self, target: &Target) {
        let after = self.passage.last_event_id().unwrap_or("none");
        let salt = target.salt.as_deref().unwrap_or("none");
        let (attempt, id) = (&self.plan.attempt_id, &target.id);
        let what = format_args!("attempt {attempt} after event {after} at replica {id}, salt {salt}");
        self.shared.event_limit.warn(self.shared.now(), ProxyEvent::Resumed, what);
    }

    /// Where a twin of the first send goes, if there is to be one.
    fn twin(&mut self) -> Option<Target> {
        if self.passage.has_begun() {
            return None;
        }
        self.shared.view.borrow_mut().dispatcher.twin(&mut self.call, self.shared.now())
    }

    /// Passes on a whole answer of which nothing has been passed on.
    async fn pass_on(&mut self, answer: Answer) -> Ending {
        let mut bytes = Vec::with_capacity(512 + answer.body.len());
        let writer = passed_head(&answer.head, self.close, &mut bytes);
        writer.piece(&answer.body, &mut bytes);
        writer.end(&mut bytes);
        self.write(&bytes, Ending::Answered).await
    }

    /// Tells the client that the request is given up.
    async fn give_up(&mut self, last: Final) -> Ending {
        let (status, cause, sends) = (last.status, last.cause, self.call.sends());
        self.shared.view.borrow_mut().dispatcher.given_up(cause);
        let what = format_args!("attempt {} with {status}: {cause}, {sends} sends", self.plan.attempt_id);
        self.shared.event_limit.warn(self.shared.now(), ProxyEvent::GivenUp, what);
        if self.passage.has_begun() {
            return self.cut_off();
        }
        let bytes = own(status, last.retry_after, Some(&self.plan.attempt_id), self.close);
        self.write(&bytes, Ending::Refused).await
    }

    /// Ends an answer that has begun so that it does not look whole.
    fn cut_off(&mut self) -> Ending {
        let what = format_args!("attempt {}", self.plan.attempt_id);
        self.shared.event_limit.warn(self.shared.now(), ProxyEvent::CutOff, what);
        self.client.reset_on_close();
        Ending::CutOff
    }

    /// Writes a whole answer, with which the request ends so.
    async fn write(&mut self, bytes: &[u8], ending: Ending) -> Ending {
        let idle = self.shared.limits().idle_ms.0 as f64;
        let until = self.shared.instant(self.shared.now() + idle);
        self.client.write_by(bytes, until).await.map_or(Ending::ClientGone, |()| ending)
    }
}
