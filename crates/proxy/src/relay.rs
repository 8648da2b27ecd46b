//! The passage of one answer to a client: what has been passed on, and what may still follow. No I/O.

use crate::answer::passed_head;
use http::{BodyWriter, EventError, Events, ResponseHead};

/// The passage of an answer. Several sends may follow each other in it where the stream may be resumed.
#[derive(Debug)]
pub(crate) struct Passage {
    close: bool,
    writer: Option<BodyWriter>,
    events: Option<Events>,
}

impl Passage {
    /// Nothing has been passed on. The connection closes after the answer if `close`. Streams that may be resumed are
    /// passed on in whole events, after the event that the client has.
    pub fn new(close: bool, resumable: bool, last_event_id: Option<&str>) -> Passage {
        let events = resumable.then(|| Events::after(last_event_id.map(str::to_string)));
        Passage { close, writer: None, events }
    }

    /// Whether the head of the answer has been passed on.
    pub fn has_begun(&self) -> bool {
        self.writer.is_some()
    }

    /// Whether another replica's stream can go on in this answer.
    pub fn can_go_on(&self) -> bool {
        match (&self.writer, &self.events) {
            (None, _) => true,
            // A stream of a told length would not keep to it.
            (Some(writer), Some(events)) => {
                *writer == BodyWriter::Chunked && (events.count() == 0 || events.last_id().is_some())
            }
            (Some(_), None) => false,
        }
    }

    /// The last whole event that has been passed on.
    pub fn last_event_id(&self) -> Option<&str> {
        self.events.as_ref()?.last_id()
    }

    /// The send broke off; what follows comes from another, and begins with a whole event. Where nothing has been passed
    /// on, it is another answer from its start.
    pub fn go_on_elsewhere(&mut self) {
        let has_begun = self.has_begun();
        match &mut self.events {
            Some(events) if has_begun => events.resume(),
            Some(events) => events.forget_partial(),
            None => {}
        }
    }

    /// Appends what goes to the client now for a piece of a body.
    ///
    /// # Errors
    /// The stream can't go on.
    pub fn piece(
        &mut self,
        head: &ResponseHead,
        data: &[u8],
        is_last: bool,
        output: &mut Vec<u8>,
    ) -> Result<(), EventError> {
        let mut whole = Vec::new();
        let data = match &mut self.events {
            Some(events) if head.is_success() => {
                events.read(data, &mut whole)?;
                if is_last {
                    whole.extend(events.take_rest());
                }
                &whole
            }
            _ => data,
        };
        if data.is_empty() && !is_last {
            return Ok(());
        }
        if !head.is_success() {
            // What says that there is no stream is passed on as it is, and no stream can go on in it.
            self.events = None;
        }
        let close = self.close;
        let writer = *self.writer.get_or_insert_with(|| passed_head(head, close, output));
        writer.piece(data, output);
        if is_last {
            writer.end(output);
        }
        Ok(())
    }
}
