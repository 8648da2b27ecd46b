//! One send of a request to one replica, up to the beginning of its answer.

use crate::connection::{Connection, Written};
use crate::event::ProxyEvent;
use crate::plan::Plan;
use crate::shared::Shared;
use crate::upstream::{meaning, version, Meaning};
use dispatch::{Outcome, Target};
use http::{BodyReader, Framing, ResponseFraming, ResponseHead};
use std::rc::Rc;
use tokio::time::{sleep_until, Instant};

/// A send whose answer has begun and may be passed on.
#[derive(Debug)]
pub(crate) struct Opened {
    pub replica: Connection,
    pub head: ResponseHead,
    /// The answer says that the replica failed.
    pub is_failure: bool,
}

/// What is sent, and where.
pub(crate) struct Sending<'a> {
    pub shared: &'a Rc<Shared>,
    pub plan: &'a Plan,
    pub target: &'a Target,
    /// The whole request.
    pub bytes: Vec<u8>,
    pub deadline: Instant,
    /// The request is a `HEAD`: its answer has no body.
    pub is_head: bool,
}

impl Sending<'_> {
    /// Sends the request and waits for the beginning of its answer; of a stream, for its first piece. Takes it back
    /// when it may not begin any more on the weights that the replica has.
    ///
    /// # Errors
    /// Tells how the send ended.
    pub async fn open(self) -> Result<Opened, Outcome> {
        let outdated = self.outdated();
        tokio::select! {
            biased;
            opened = self.answered() => opened,
            () = outdated => Err(Outcome::Outdated),
        }
    }

    /// Returns when a request that has not begun may not begin any more where it was sent.
    async fn outdated(&self) {
        let (Some(model), Some(version)) = (&self.plan.ask.model, self.target.version) else {
            return std::future::pending().await;
        };
        loop {
            let named = self.shared.weights_named.notified();
            let now = self.shared.now();
            let begin_by = self.shared.view.borrow().dispatcher.begin_by(model, version, now);
            if begin_by <= now {
                return;
            }
            if begin_by >= self.plan.ask.deadline {
                // Only another naming can make it earlier.
                named.await;
                continue;
            }
            tokio::select! {
                () = named => {}
                () = sleep_until(self.shared.instant(begin_by)) => {}
            }
        }
    }

    async fn answered(&self) -> Result<Opened, Outcome> {
        let Some((mut replica, fresh)) = self.send().await else {
            self.warn(
                ProxyEvent::Unreached,
                format_args!("replica {} at {}", self.target.id, self.target.address),
            );
            return Err(Outcome::Unreached);
        };
        let head = self.head(&mut replica).await?;
        let (shared, target) = (self.shared, self.target);
        let meaning = meaning(&head, self.plan, target, fresh);
        // What another replica at this address has says nothing of the one that was meant.
        let is_of_another = meaning == Meaning::Over(Outcome::Elsewhere);
        if let (Some(model), Some(version), false) = (&self.plan.ask.model, version(&head), is_of_another) {
            shared.view.borrow_mut().dispatcher.hear_version(target.replica, model, version);
        }
        match meaning {
            Meaning::Over(outcome) => {
                if outcome == Outcome::Broken {
                    self.warn(
                        ProxyEvent::BadAnswer,
                        format_args!("replica {} with status {}", target.id, head.status),
                    );
                } else {
                    recycle_if_whole(shared, target, &head, replica);
                }
                Err(outcome)
            }
            Meaning::Failure => Ok(Opened { replica, head, is_failure: true }),
            Meaning::Answer => {
                let opened = Opened { replica, head, is_failure: false };
                self.first_piece(opened).await
            }
        }
    }

    /// Waits for the first piece of a stream.
    async fn first_piece(&self, mut opened: Opened) -> Result<Opened, Outcome> {
        let has_piece = opened.head.framing != ResponseFraming::Framed(Framing::Length(0));
        if self.plan.is_stream && opened.head.is_success() && has_piece && opened.replica.input.is_empty() {
            more(&mut opened.replica).await?;
        }
        Ok(opened)
    }

    /// Writes the request; tells whether the connection is a new one. `None`: no byte of it was written.
    async fn send(&self) -> Option<(Connection, bool)> {
        let rested = self.shared.pool.borrow_mut().take(self.target.replica, self.shared.now());
        if let Some(mut rested) = rested {
            match rested.write_request(&self.bytes, self.deadline).await {
                Written::Nothing => {}
                // The answer, or its absence, decides.
                Written::Begun => return Some((rested, false)),
            }
        }
        let mut fresh = Connection::dial(self.target.address).await.ok()?;
        match fresh.write_request(&self.bytes, self.deadline).await {
            Written::Nothing => None,
            Written::Begun => Some((fresh, true)),
        }
    }

    /// The head of the replica's answer.
    async fn head(&self, replica: &mut Connection) -> Result<ResponseHead, Outcome> {
        loop {
            match ResponseHead::read(&replica.input) {
                Ok(Some((mut head, length))) => {
                    replica.used(length);
                    // An interim answer promises the real one.
                    if (100..=199).contains(&head.status) && head.status != 101 {
                        continue;
                    }
                    if self.is_head {
                        head.framing = ResponseFraming::Framed(Framing::Length(0));
                    }
                    return Ok(head);
                }
                Ok(None) => more(replica).await?,
                Err(_) => return Err(Outcome::Broken),
            }
        }
    }

    fn warn(&self, event: ProxyEvent, what: std::fmt::Arguments) {
        self.shared.event_limit.warn(self.shared.now(), event, what);
    }
}

/// Waits for more from a replica.
async fn more(replica: &mut Connection) -> Result<(), Outcome> {
    match replica.fill().await {
        Ok(count) if count > 0 => Ok(()),
        _ => Err(Outcome::Broken),
    }
}

/// Lays a connection to rest after a whole answer, unless something else came on it.
pub(crate) fn recycle(shared: &Shared, target: &Target, head: &ResponseHead, replica: Connection) {
    if head.close || !replica.may_go_on() {
        return;
    }
    let now = shared.now();
    shared.pool.borrow_mut().put(target.replica, replica, head.keep_alive_seconds(), now);
}

/// Lays a connection to rest if the rest of its answer is here; it is not waited for.
fn recycle_if_whole(shared: &Shared, target: &Target, head: &ResponseHead, mut replica: Connection) {
    let ResponseFraming::Framed(framing) = head.framing else { return };
    let (mut reader, mut body) = (BodyReader::new(framing), Vec::new());
    if let Ok(used) = reader.read(&replica.input, &mut body) {
        replica.used(used);
        if reader.is_done() {
            recycle(shared, target, head, replica);
        }
    }
}
