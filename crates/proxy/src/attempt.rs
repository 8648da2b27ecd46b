//! The sends of a request that are out at one time, and the passage of the answer that wins.

use crate::connection::Connection;
use crate::deadline::reached;
use crate::exchange::Exchange;
use crate::opening::{recycle, Opened, Sending};
use crate::outgoing::{request_bytes, SendFacts};
use crate::run_queue::Stage;
use dispatch::{Next, Outcome, Target};
use http::{BodyReader, ResponseFraming, ResponseHead};
use std::pin::pin;
use tokio::time::Instant;

/// Longest answer that is held until it is whole, bytes; a longer one is passed on as it comes.
const HELD: usize = 64 * 1024;

/// What became of an answer that had begun.
#[derive(Debug)]
pub(crate) enum Taken {
    /// It was passed on to its end, as it came.
    Passed,
    /// It is whole, and nothing of it has been passed on.
    Held(Answer),
    /// It can't be passed on to its end: the send is over.
    Over(Outcome),
}

/// A whole answer of a replica.
#[derive(Debug)]
pub(crate) struct Answer {
    pub head: ResponseHead,
    pub body: Vec<u8>,
    /// It says that the replica failed.
    is_failure: bool,
}

impl Answer {
    /// How the send ended that brought it.
    pub fn outcome(&self) -> Outcome {
        if self.is_failure {
            Outcome::Failed
        } else {
            Outcome::Answered
        }
    }
}

/// What became of the sends that were out at one time.
pub(crate) enum Raced {
    /// The answer of the first send (`false`) or of its twin (`true`) has begun; no other send is out.
    Opened(bool, Box<Opened>),
    /// All have ended.
    Over(Next),
}

/// What came while waiting for a replica.
enum Wait {
    Data,
    Closed,
    ClientLeft,
    Deadline,
}

async fn wait(client: &mut Connection, replica: &mut Connection, deadline: Instant) -> Wait {
    tokio::select! {
        biased;
        read = replica.fill() => match read {
            Ok(count) if count > 0 => Wait::Data,
            _ => Wait::Closed,
        },
        () = client.left() => Wait::ClientLeft,
        () = reached(deadline) => Wait::Deadline,
    }
}

impl<'a> Exchange<'a> {
    /// What is sent to a target.
    fn sending<'s>(&self, target: &'s Target) -> Sending<'s>
    where
        'a: 's,
    {
        let facts = SendFacts {
            target,
            priority: self.shared.view.borrow().priority(self.plan.ranks),
            time_left: self.plan.ask.deadline - self.shared.now(),
            last_event_id: self.passage.last_event_id().filter(|_| self.passage.has_begun()),
        };
        let bytes = request_bytes(self.head, self.body, self.plan, facts);
        let is_head = self.head.method() == "HEAD";
        Sending { shared: self.shared, plan: self.plan, target, bytes, deadline: self.deadline(), is_head }
    }

    /// Sends the request to `first` and to `twin`, if there is one, at the same moment; the first answer that is a
    /// success wins, and the other send is closed.
    pub(crate) async fn race(&mut self, first: &Target, twin: Option<&Target>) -> Raced {
        let deadline = self.deadline();
        let mut first_send = pin!(self.sending(first).open());
        let twin_sending = twin.map(|twin| self.sending(twin));
        let mut twin_send = pin!(async {
            match twin_sending {
                Some(sending) => sending.open().await,
                None => std::future::pending().await,
            }
        });
        let mut out = [Some(first), twin];
        loop {
            let (which, opened) = tokio::select! {
                biased;
                opened = &mut first_send, if out[0].is_some() => (0, opened),
                opened = &mut twin_send, if out[1].is_some() => (1, opened),
                () = self.client.left() => return Raced::Over(self.end_all(out, Outcome::Abandoned)),
                () = reached(deadline) => return Raced::Over(self.end_all(out, Outcome::Expired)),
            };
            let Some(target) = out[which].take() else { continue };
            let is_last = out.iter().all(Option::is_none);
            let next = match opened {
                Ok(opened) if is_last || opened.head.is_success() => {
                    self.end_all(out, Outcome::Abandoned);
                    return Raced::Opened(which == 1, Box::new(opened));
                }
                Ok(_) => self.ended(target, Outcome::Failed),
                Err(outcome) => self.ended(target, outcome),
            };
            if is_last {
                return Raced::Over(next);
            }
        }
    }

    /// Ends the sends that are out; tells what follows.
    fn end_all(&mut self, out: [Option<&Target>; 2], outcome: Outcome) -> Next {
        out.into_iter().flatten().fold(Next::Nothing, |_, target| self.ended(target, outcome))
    }

    /// A send has ended; tells what follows.
    pub(crate) fn ended(&mut self, target: &Target, mut outcome: Outcome) -> Next {
        // What was passed on in part, and can't go on in the same answer, is over.
        if !self.passage.can_go_on() && !matches!(outcome, Outcome::Answered | Outcome::Abandoned) {
            outcome = Outcome::Expired;
        }
        let now = self.shared.now();
        self.shared.view.borrow_mut().dispatcher.ended(&mut self.call, target.replica, outcome, now)
    }

    /// Takes the answer that has begun, to its end.
    pub(crate) async fn take(&mut self, target: &Target, opened: Opened) -> Taken {
        let taken = if self.plan.is_stream && opened.head.is_success() {
            self.pass_stream(target, opened).await
        } else if self.passage.has_begun() {
            // Only a stream can go on in an answer that has begun.
            Err(Outcome::Failed)
        } else {
            self.pass_or_hold(target, opened).await
        };
        taken.unwrap_or_else(Taken::Over)
    }

    /// Waits for more from the replica. What came by the deadline, or beside it, has been passed on by then.
    async fn more(&mut self, replica: &mut Connection) -> Result<(), Outcome> {
        let deadline = self.deadline();
        if Instant::now() >= deadline {
            return Err(Outcome::Expired);
        }
        match wait(self.client, replica, deadline).await {
            Wait::Data => Ok(()),
            Wait::Closed => Err(Outcome::Broken),
            Wait::ClientLeft => Err(Outcome::Abandoned),
            Wait::Deadline => Err(Outcome::Expired),
        }
    }

    /// Passes a stream on as it comes.
    async fn pass_stream(&mut self, target: &Target, opened: Opened) -> Result<Taken, Outcome> {
        let ResponseFraming::Framed(framing) = opened.head.framing else { return Err(Outcome::Broken) };
        self.pass(target, opened, BodyReader::new(framing), Vec::new()).await
    }

    /// Passes on `held` and then what comes, to the body's end.
    async fn pass(
        &mut self,
        target: &Target,
        opened: Opened,
        mut reader: BodyReader,
        held: Vec<u8>,
    ) -> Result<Taken, Outcome> {
        let Opened { mut replica, head, .. } = opened;
        let (mut data, mut output) = (held, Vec::new());
        loop {
            let used = reader.read(&replica.input, &mut data).map_err(|_| Outcome::Broken)?;
            replica.used(used);
            if !data.is_empty() {
                self.began(target);
            }
            let is_last = reader.is_done();
            self.passage.piece(&head, &data, is_last, &mut output).map_err(|_| Outcome::Broken)?;
            data.clear();
            if !output.is_empty() {
                let deadline = self.deadline();
                self.client.write_by(&output, deadline).await.map_err(|_| Outcome::Abandoned)?;
                output.clear();
            }
            if is_last {
                recycle(self.shared, target, &head, replica);
                return Ok(Taken::Passed);
            }
            self.more(&mut replica).await?;
        }
    }

    /// Holds a short answer until it is whole; passes a long one on as it comes.
    async fn pass_or_hold(&mut self, target: &Target, mut opened: Opened) -> Result<Taken, Outcome> {
        let ResponseFraming::Framed(framing) = opened.head.framing else { return Err(Outcome::Broken) };
        self.began(target);
        let mut reader = BodyReader::new(framing);
        let mut body = Vec::new();
        loop {
            let used = reader.read(&opened.replica.input, &mut body).map_err(|_| Outcome::Broken)?;
            opened.replica.used(used);
            if reader.is_done() {
                let Opened { replica, head, is_failure } = opened;
                recycle(self.shared, target, &head, replica);
                return Ok(Taken::Held(Answer { head, body, is_failure }));
            }
            if body.len() > HELD {
                return self.pass(target, opened, reader, body).await;
            }
            self.more(&mut opened.replica).await?;
        }
    }

    /// The first piece of an answer has come.
    fn began(&mut self, target: &Target) {
        self.task.set_stage(Stage::Passing);
        let now = self.shared.now();
        self.shared.view.borrow_mut().dispatcher.began(&mut self.call, target.replica, now);
    }
}
