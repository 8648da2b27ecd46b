//! One send of a request to one replica, up to the end of its answer.

use crate::connection::Connection;
use crate::event::Event;
use crate::exchange::Exchange;
use crate::outgoing::request_bytes;
use crate::upstream::{meaning, version, Meaning};
use dispatch::{Outcome, Target};
use http::{BodyReader, Framing, ResponseFraming, ResponseHead};
use tokio::time::{sleep_until, Instant};

/// Longest answer that is held until it is whole, bytes; a longer one is passed on as it comes.
const HELD: usize = 64 * 1024;

/// How a send ended, with the answer that may be passed on if it was held.
#[derive(Debug)]
pub(crate) struct Ended {
    pub outcome: Outcome,
    pub answer: Option<Answer>,
}

impl From<Outcome> for Ended {
    fn from(outcome: Outcome) -> Ended {
        Ended { outcome, answer: None }
    }
}

/// A whole answer of a replica.
#[derive(Debug)]
pub(crate) struct Answer {
    pub head: ResponseHead,
    pub body: Vec<u8>,
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
        () = sleep_until(deadline) => Wait::Deadline,
    }
}

impl Exchange<'_> {
    /// Sends the request to `target` and takes its answer.
    pub(crate) async fn attempt(&mut self, target: &Target) -> Ended {
        let Some((mut replica, fresh)) = self.send(target).await else {
            let what = format_args!("replica {} at {}", target.id, target.address);
            self.shared.event_limit.warn(self.shared.now(), Event::Unreached, what);
            return Outcome::Unreached.into();
        };
        let head = match self.head(&mut replica).await {
            Ok(head) => head,
            Err(outcome) => return outcome.into(),
        };
        let meaning = meaning(&head, self.plan, target, fresh);
        if let (Some(model), Some(version)) = (&self.plan.ask.model, version(&head)) {
            self.shared.view.borrow_mut().dispatcher.hear_version(target.replica, model, version);
        }
        match meaning {
            Meaning::Over(outcome) => {
                if outcome == Outcome::Broken {
                    let what = format_args!("replica {} with status {}", target.id, head.status);
                    self.shared.event_limit.warn(self.shared.now(), Event::BadAnswer, what);
                } else {
                    self.recycle_if_whole(target, &head, replica);
                }
                outcome.into()
            }
            // A stream that goes on must be a stream again.
            _ if self.passage.has_begun() && !(200..=299).contains(&head.status) => Outcome::Failed.into(),
            Meaning::Answer if self.plan.is_stream && (200..=299).contains(&head.status) => {
                self.pass_stream(target, head, replica).await.into()
            }
            Meaning::Answer => self.pass_or_hold(target, head, replica, Outcome::Answered).await,
            Meaning::Failure => self.pass_or_hold(target, head, replica, Outcome::Failed).await,
        }
    }

    /// Writes the request; tells whether the connection is a new one. `None`: no byte of it was written.
    async fn send(&mut self, target: &Target) -> Option<(Connection, bool)> {
        let now = self.shared.now();
        let left = self.plan.ask.deadline - now;
        let resumed = self.passage.last_event_id().filter(|_| self.passage.has_begun());
        let bytes = request_bytes(self.head, self.body, self.plan, target, left, resumed);
        let deadline = self.deadline();
        let rested = self.shared.pool.borrow_mut().take(target.replica, now);
        if let Some(mut rested) = rested {
            match rested.write_by(&bytes, deadline).await {
                // It had ended; nothing was written.
                Err(0) => {}
                // A part may have been read: the answer, or its absence, decides.
                _ => return Some((rested, false)),
            }
        }
        let mut fresh = Connection::dial(target.address).await.ok()?;
        match fresh.write_by(&bytes, deadline).await {
            Err(0) => None,
            _ => Some((fresh, true)),
        }
    }

    /// The head of the replica's answer.
    async fn head(&mut self, replica: &mut Connection) -> Result<ResponseHead, Outcome> {
        loop {
            match ResponseHead::read(&replica.input) {
                Ok(Some((mut head, length))) => {
                    replica.used(length);
                    // An interim answer promises the real one.
                    if (100..=199).contains(&head.status) && head.status != 101 {
                        continue;
                    }
                    if self.head.method() == "HEAD" {
                        head.framing = ResponseFraming::Framed(Framing::Length(0));
                    }
                    return Ok(head);
                }
                Ok(None) => self.more(replica).await?,
                Err(_) => return Err(Outcome::Broken),
            }
        }
    }

    /// Waits for more from the replica.
    async fn more(&mut self, replica: &mut Connection) -> Result<(), Outcome> {
        let deadline = self.deadline();
        match wait(self.client, replica, deadline).await {
            Wait::Data => Ok(()),
            Wait::Closed => Err(Outcome::Broken),
            Wait::ClientLeft => Err(Outcome::Abandoned),
            Wait::Deadline => Err(Outcome::Expired),
        }
    }

    /// Passes a stream on as it comes.
    async fn pass_stream(&mut self, target: &Target, head: ResponseHead, mut replica: Connection) -> Outcome {
        let ResponseFraming::Framed(framing) = head.framing else { return Outcome::Broken };
        let mut reader = BodyReader::new(framing);
        match self.pass(target, &head, &mut replica, &mut reader, Vec::new()).await {
            Ok(()) => {
                self.recycle(target, &head, replica);
                Outcome::Answered
            }
            Err(outcome) => outcome,
        }
    }

    /// Passes on `held` and then what comes, to the body's end.
    async fn pass(
        &mut self,
        target: &Target,
        head: &ResponseHead,
        replica: &mut Connection,
        reader: &mut BodyReader,
        held: Vec<u8>,
    ) -> Result<(), Outcome> {
        let (mut data, mut output) = (held, Vec::new());
        loop {
            let used = reader.read(&replica.input, &mut data).map_err(|_| Outcome::Broken)?;
            replica.used(used);
            if !data.is_empty() {
                self.began(target);
            }
            let is_last = reader.is_done();
            self.passage.piece(head, &data, is_last, &mut output).map_err(|_| Outcome::Broken)?;
            data.clear();
            if !output.is_empty() {
                let deadline = self.deadline();
                self.client.write_by(&output, deadline).await.map_err(|_| Outcome::Abandoned)?;
                output.clear();
            }
            if is_last {
                return Ok(());
            }
            self.more(replica).await?;
        }
    }

    /// Holds a short answer until it is whole; passes a long one on as it comes.
    async fn pass_or_hold(
        &mut self,
        target: &Target,
        head: ResponseHead,
        mut replica: Connection,
        outcome: Outcome,
    ) -> Ended {
        let ResponseFraming::Framed(framing) = head.framing else { return Outcome::Broken.into() };
        self.began(target);
        let mut reader = BodyReader::new(framing);
        let mut body = Vec::new();
        loop {
            match reader.read(&replica.input, &mut body) {
                Ok(used) => replica.used(used),
                Err(_) => return Outcome::Broken.into(),
            }
            if reader.is_done() {
                self.recycle(target, &head, replica);
                return Ended { outcome, answer: Some(Answer { head, body }) };
            }
            if body.len() > HELD {
                break;
            }
            if let Err(outcome) = self.more(&mut replica).await {
                return outcome.into();
            }
        }
        match self.pass(target, &head, &mut replica, &mut reader, body).await {
            Ok(()) => {
                self.recycle(target, &head, replica);
                Outcome::Answered.into()
            }
            Err(outcome) => outcome.into(),
        }
    }

    /// The first piece of an answer has come.
    fn began(&mut self, target: &Target) {
        let now = self.shared.now();
        self.shared.view.borrow_mut().dispatcher.began(&mut self.call, target.replica, now);
    }

    /// Lays a connection to rest after a whole answer, unless something else came on it.
    fn recycle(&self, target: &Target, head: &ResponseHead, replica: Connection) {
        if head.close || !replica.input.is_empty() {
            return;
        }
        let now = self.shared.now();
        self.shared.pool.borrow_mut().put(target.replica, replica, head.keep_alive_seconds(), now);
    }

    /// Lays a connection to rest if the rest of its answer is here; it is not waited for.
    fn recycle_if_whole(&self, target: &Target, head: &ResponseHead, mut replica: Connection) {
        let ResponseFraming::Framed(framing) = head.framing else { return };
        let (mut reader, mut body) = (BodyReader::new(framing), Vec::new());
        if let Ok(used) = reader.read(&replica.input, &mut body) {
            replica.used(used);
            if reader.is_done() {
                self.recycle(target, head, replica);
            }
        }
    }
}
