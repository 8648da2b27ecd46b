//! The events of a stream (`text/event-stream`): where each ends, and the id of the last whole one.

/// Longest event that is held back until it is whole, bytes.
const EVENT_LIMIT: usize = 256 * 1024;

/// Cuts a stream into whole events.
#[derive(Debug, Clone, Default)]
pub struct Events {
    /// The part of an event that has come.
    partial: Vec<u8>,
    /// The id of the last whole event.
    last_id: Option<String>,
    /// Whole events that have come.
    count: u64,
    /// The id that the next event must have: the stream was taken up anew.
    must_be: Option<u64>,
}

/// Why a stream can't be cut into events, or not be joined to the one before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventError {
    /// An event grew past the limit.
    TooLong,
    /// The stream does not go on with the event that is due.
    NotNext,
}

impl Events {
    /// A stream that goes on after the event with this id.
    pub fn after(last_id: Option<String>) -> Events {
        Events { last_id, ..Events::default() }
    }

    /// Takes bytes in and appends the events that are whole now.
    ///
    /// # Errors
    /// Tells that an event is longer than is held, or not the one that is due.
    pub fn read(&mut self, data: &[u8], whole: &mut Vec<u8>) -> Result<(), EventError> {
        let searched = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(data);
        let mut start = 0;
        let mut from = searched;
        while let Some(end) = event_end(&self.partial, from) {
            if let Some(id) = event_id(&self.partial[start..end]) {
                let must_be = self.must_be.take();
                if must_be.is_some_and(|due| id.parse() != Ok(due)) {
                    return Err(EventError::NotNext);
                }
                self.last_id = Some(id.to_string());
            }
            self.count += 1;
            (start, from) = (end, end);
        }
        whole.extend_from_slice(&self.partial[..start]);
        self.partial.drain(..start);
        if self.partial.len() > EVENT_LIMIT {
            return Err(EventError::TooLong);
        }
        Ok(())
    }

    /// The id of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// The number of whole events.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Whether a part of an event has come that is not whole.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// The stream broke off and another one goes on after the last whole event: forgets the part of an event that has
    /// come. Where ids are numbers, the next must be one more than the last.
    pub fn resume(&mut self) {
        self.forget_partial();
        self.must_be = self.last_id.as_ref().and_then(|id| id.parse().ok()).map(|last: u64| last + 1);
    }

    /// Forgets the part of an event that has come: what follows does not go on with it.
    pub fn forget_partial(&mut self) {
        self.partial.clear();
    }

    /// The bytes behind the last whole event: the stream ended with them.
    pub fn take_rest(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.partial)
    }
}

/// Where the first event that ends at or after `from` ends: behind its empty line.
fn event_end(bytes: &[u8], from: usize) -> Option<usize> {
    for at in memchr::memchr_iter(b'\n', &bytes[from..]) {
        let at = from + at;
        let rest = &bytes[at + 1..];
        if rest.starts_with(b"\n") {
            return Some(at + 2);
        }
        if rest.starts_with(b"\r\n") {
            return Some(at + 3);
        }
    }
    None
}

/// The id that an event carries.
fn event_id(event: &[u8]) -> Option<&str> {
    let lines = event.split(|byte| *byte == b'\n');
    let mut values = lines.rev().filter_map(|line| line.strip_prefix(b"id:"));
    values.next().and_then(|value| std::str::from_utf8(value.trim_ascii()).ok())
}
