//! Heads of messages, kept as they came: every header line in order, none copied into a string of its own.

use crate::Framing;
use quick_error::quick_error;
use std::ops::Range;

/// Most header lines of a head.
const MOST_LINES: usize = 128;
/// Longest head of a response, bytes.
const RESPONSE_HEAD_LIMIT: usize = 64 * 1024;
/// Headers that concern only one connection, besides those that `Connection` names.
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];
/// Headers that a `Connection` line may not take away: they carry the request's identity and framing.
const END_TO_END: [&str; 5] = ["attempt-id", "server-seal", "content-length", "host", "last-event-id"];

quick_error! {
    /// Why a head can't be read; its connection can't go on.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum HeadError {
        /// Not HTTP/1.1 as it should be.
        Malformed(what: &'static str) {
            display("malformed head: {what}; send HTTP/1.1 with lines that end in CR LF")
        }
        /// The head is longer than is taken.
        TooLarge {
            display("head over the limit; send fewer or shorter header lines")
        }
    }
}

/// A header line as places in the bytes of its head.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Line {
    name: Range<usize>,
    value: Range<usize>,
}

/// The bytes of a head and where its header lines are.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Lines {
    bytes: Vec<u8>,
    lines: Vec<Line>,
}

impl Lines {
    fn new(head: &[u8], parsed: &[httparse::Header]) -> Lines {
        let place = |part: &[u8]| {
            let start = part.as_ptr() as usize - head.as_ptr() as usize;
            start..start + part.len()
        };
        let line = |header: &httparse::Header| Line {
            name: place(header.name.as_bytes()),
            value: place(header.value.trim_ascii()),
        };
        Lines { bytes: head.to_vec(), lines: parsed.iter().map(line).collect() }
    }

    /// The lines in order: name and value.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.lines.iter().map(|line| (self.text(&line.name), &self.bytes[line.value.clone()]))
    }

    /// The values of a header, in order.
    pub fn all<'a, 'n>(&'a self, name: &'n str) -> impl Iterator<Item = &'a [u8]> + use<'a, 'n> {
        self.iter().filter(move |(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    /// The first value of a header, if it is text.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.all(name).next().and_then(|value| std::str::from_utf8(value).ok())
    }

    /// The number of lines with this name.
    pub fn count(&self, name: &str) -> usize {
        self.all(name).count()
    }

    /// Whether a `Connection` line lists this token.
    pub fn connection_lists(&self, token: &str) -> bool {
        let lists = |value: &[u8]| {
            value
                .split(|byte| *byte == b',')
                .any(|item| item.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
        };
        self.all("connection").any(lists)
    }

    /// The lines that go on to the next party: all but those that concern only one connection.
    pub fn end_to_end(&self) -> impl Iterator<Item = (&str, &[u8])> {
        let listing = self.all("connection").next().is_some();
        self.iter().filter(move |(name, _)| !self.is_hop_by_hop(name, listing))
    }

    fn is_hop_by_hop(&self, name: &str, listing: bool) -> bool {
        let is = |known: &&str| name.eq_ignore_ascii_case(known);
        HOP_BY_HOP.iter().any(is) || (listing && !END_TO_END.iter().any(is) && self.connection_lists(name))
    }

    fn text(&self, range: &Range<usize>) -> &str {
        std::str::from_utf8(&self.bytes[range.clone()]).unwrap_or("")
    }

    /// How the body is framed; `None` where nothing tells. Strict: anything that two readers could take in two ways
    /// is malformed, because that is how requests are smuggled past a proxy.
    fn framing(&self) -> Result<Option<Framing>, HeadError> {
        let mut lengths = self.all("content-length");
        let mut codings = self.all("transfer-encoding");
        let (length, coding) = (lengths.next(), codings.next());
        if lengths.next().is_some() {
            return Err(HeadError::Malformed("several Content-Length lines"));
        }
        if let Some(coding) = coding {
            if length.is_some() {
                return Err(HeadError::Malformed("both Content-Length and Transfer-Encoding"));
            }
            if codings.next().is_some() || !coding.eq_ignore_ascii_case(b"chunked") {
                return Err(HeadError::Malformed("a Transfer-Encoding other than chunked"));
            }
            return Ok(Some(Framing::Chunked));
        }
        let Some(length) = length else { return Ok(None) };
        if length.is_empty() || !length.iter().all(u8::is_ascii_digit) {
            return Err(HeadError::Malformed("Content-Length is not a number"));
        }
        let digits = std::str::from_utf8(length).unwrap_or("");
        let length = digits.parse().map_err(|_| HeadError::Malformed("Content-Length is out of range"))?;
        Ok(Some(Framing::Length(length)))
    }
}

/// The head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// The header lines.
    pub lines: Lines,
    /// How the body is framed; a request without a word on it has none.
    pub framing: Framing,
    /// The client closes the connection after the answer.
    pub close: bool,
    /// Spoken in HTTP/1.0: chunks and streams without end can't be answered.
    pub is_http_10: bool,
    method: Range<usize>,
    target: Range<usize>,
}

impl RequestHead {
    /// Reads a head of at most `limit` bytes off the front of `buffer`; also its length. `None`: more bytes are
    /// needed.
    ///
    /// # Errors
    /// Tells what can't be taken.
    pub fn read(buffer: &[u8], limit: usize) -> Result<Option<(RequestHead, usize)>, HeadError> {
        let mut space = [httparse::EMPTY_HEADER; MOST_LINES];
        let mut parsed = httparse::Request::new(&mut space);
        let length = match parsed.parse(buffer) {
            Ok(httparse::Status::Complete(length)) if length <= limit => length,
            Ok(httparse::Status::Partial) if buffer.len() < limit => return Ok(None),
            Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(HeadError::TooLarge),
            Err(_) => return Err(HeadError::Malformed("not a request")),
        };
        let head = &buffer[..length];
        check_line_ends(head)?;
        let lines = Lines::new(head, parsed.headers);
        let is_http_10 = parsed.version == Some(0);
        if lines.count("host") != 1 && !(is_http_10 && lines.count("host") == 0) {
            return Err(HeadError::Malformed("no Host or several"));
        }
        let framing = lines.framing()?;
        if is_http_10 && framing == Some(Framing::Chunked) {
            return Err(HeadError::Malformed("chunks in HTTP/1.0"));
        }
        let place = |part: &str| {
            let start = part.as_ptr() as usize - head.as_ptr() as usize;
            start..start + part.len()
        };
        let (method, target) = (parsed.method.unwrap_or(""), parsed.path.unwrap_or(""));
        if !target.starts_with('/') {
            return Err(HeadError::Malformed("the target is not a path"));
        }
        let close = lines.connection_lists("close") || is_http_10;
        let (method, target) = (place(method), place(target));
        let framing = framing.unwrap_or(Framing::Length(0));
        Ok(Some((RequestHead { lines, framing, close, is_http_10, method, target }, length)))
    }

    /// The method.
    pub fn method(&self) -> &str {
        self.lines.text(&self.method)
    }

    /// Path and query, as sent.
    pub fn target(&self) -> &str {
        self.lines.text(&self.target)
    }

    /// The path without its query.
    pub fn path(&self) -> &str {
        self.target().split_once('?').map_or(self.target(), |(path, _)| path)
    }

    /// The `Host` without its port.
    pub fn host(&self) -> &str {
        let host = self.lines.get("host").unwrap_or("");
        match host.rsplit_once(':') {
            Some((name, port)) if !name.is_empty() && port.bytes().all(|b| b.is_ascii_digit()) => name,
            _ => host,
        }
    }
}

/// How the body of a response ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseFraming {
    /// By a length or by chunks.
    Framed(Framing),
    /// With the connection: nobody can tell a whole body from one that was cut off.
    UntilClose,
}

/// The head of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// The header lines.
    pub lines: Lines,
    /// The status code.
    pub status: u16,
    /// How the body is framed.
    pub framing: ResponseFraming,
    /// The server closes the connection after it.
    pub close: bool,
    reason: Range<usize>,
}

impl ResponseHead {
    /// Reads a head off the front of `buffer`; also its length. `None`: more bytes are needed.
    ///
    /// # Errors
    /// Tells that it is no response.
    pub fn read(buffer: &[u8]) -> Result<Option<(ResponseHead, usize)>, HeadError> {
        let mut space = [httparse::EMPTY_HEADER; MOST_LINES];
        let mut parsed = httparse::Response::new(&mut space);
        let length = match parsed.parse(buffer) {
            Ok(httparse::Status::Complete(length)) if length <= RESPONSE_HEAD_LIMIT => length,
            Ok(httparse::Status::Partial) if buffer.len() < RESPONSE_HEAD_LIMIT => return Ok(None),
            Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(HeadError::TooLarge),
            Err(_) => return Err(HeadError::Malformed("not a response")),
        };
        let head = &buffer[..length];
        check_line_ends(head)?;
        let lines = Lines::new(head, parsed.headers);
        let status = parsed.code.unwrap_or(0);
        let framing = match (status, lines.framing()?) {
            (100..=199 | 204 | 304, _) => ResponseFraming::Framed(Framing::Length(0)),
            (_, Some(framing)) => ResponseFraming::Framed(framing),
            (_, None) => ResponseFraming::UntilClose,
        };
        let reason = place_in(head, parsed.reason.unwrap_or_default());
        let close = lines.connection_lists("close")
            || parsed.version == Some(0)
            || framing == ResponseFraming::UntilClose;
        Ok(Some((ResponseHead { lines, status, framing, close, reason }, length)))
    }

    /// Whether the status says that the request was done.
    pub fn is_success(&self) -> bool {
        (200..=299).contains(&self.status)
    }

    /// The words after the status.
    pub fn reason(&self) -> &str {
        self.lines.text(&self.reason)
    }

    /// Whole seconds after which the server closes the idle connection, from `Keep-Alive: timeout=N`.
    pub fn keep_alive_seconds(&self) -> Option<u64> {
        let value = self.lines.get("keep-alive")?;
        let timeout = |item: &str| {
            let (name, seconds) = item.trim().split_once('=')?;
            name.trim().eq_ignore_ascii_case("timeout").then(|| seconds.trim().parse().ok())?
        };
        value.split(',').find_map(timeout).or_else(|| value.trim().parse().ok())
    }
}

/// Where a text stands in the head. The parser gives an empty one that stands elsewhere for a reason that is not ASCII.
fn place_in(head: &[u8], text: &str) -> Range<usize> {
    if text.is_empty() {
        return 0..0;
    }
    let start = text.as_ptr() as usize - head.as_ptr() as usize;
    start..start + text.len()
}

/// A line feed alone ends no line here, though some parsers take it.
fn check_line_ends(head: &[u8]) -> Result<(), HeadError> {
    let sound = |at: usize| at > 0 && head[at - 1] == b'\r';
    if memchr::memchr_iter(b'\n', head).all(sound) && !head.starts_with(b"\r") {
        Ok(())
    } else {
        Err(HeadError::Malformed("a line without CR LF"))
    }
}
