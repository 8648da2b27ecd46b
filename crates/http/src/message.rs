//! Whole messages: fronts, the discovery watch and HTTP book nodes of the coordinator share them.

/// Longest head of a message, bytes.
const HEAD_LIMIT: usize = 16 * 1024;
/// Longest body of a message, bytes.
pub const BODY_LIMIT: usize = 64 * 1024;
/// Most header lines of a message.
const HEADERS: usize = 64;
/// Most trailer lines after the last chunk.
const TRAILERS: usize = 64;
/// Longest line that gives the size of a chunk, and longest trailer, bytes.
const LINE_LIMIT: usize = 1024;

/// Why a message can't be read; its connection can't go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Bad {
    /// Not HTTP/1.1 as it should be.
    Malformed,
    /// The body is longer than is taken.
    TooLarge,
    /// The rest of the message did not come.
    TooSlow,
}

/// Header lines in order; names are compared without case.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    /// The first value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.0.iter().filter(move |(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    fn read(lines: &[httparse::Header]) -> Result<Headers, Bad> {
        let line = |header: &httparse::Header| {
            let value = std::str::from_utf8(header.value).map_err(|_| Bad::Malformed)?;
            Ok((header.name.to_string(), value.trim().to_string()))
        };
        Ok(Headers(lines.iter().map(line).collect::<Result<_, Bad>>()?))
    }

    fn closes(&self) -> bool {
        let listed = |value: &str| value.split(',').any(|token| token.trim().eq_ignore_ascii_case("close"));
        self.all("connection").any(listed)
    }

    /// How the body is framed; `None` where nothing tells.
    fn framing(&self) -> Result<Option<Framing>, Bad> {
        let length = self.all("content-length").next();
        if let Some(coding) = self.all("transfer-encoding").next() {
            // Both at once is how requests are smuggled past a proxy.
            let sound = coding.eq_ignore_ascii_case("chunked") && length.is_none();
            return if sound { Ok(Some(Framing::Chunked)) } else { Err(Bad::Malformed) };
        }
        let Some(length) = length else { return Ok(None) };
        if self.all("content-length").any(|other| other != length)
            || length.is_empty()
            || !length.bytes().all(|b| b.is_ascii_digit())
        {
            return Err(Bad::Malformed);
        }
        length.parse().map(|length| Some(Framing::Length(length))).map_err(|_| Bad::TooLarge)
    }
}

/// How a body ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// After so many bytes.
    Length(usize),
    /// With the last chunk.
    Chunked,
}

/// A whole request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The method.
    pub method: String,
    /// The path without its query.
    pub path: String,
    /// What follows the question mark.
    pub query: String,
    /// The header lines.
    pub headers: Headers,
    /// The body.
    pub body: Vec<u8>,
    /// The client closes the connection after the answer.
    pub close: bool,
}

/// A response's head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// The status code.
    pub status: u16,
    /// How the body is framed.
    pub framing: Option<Framing>,
    /// The server closes the connection after it.
    pub close: bool,
    /// Length of the head, bytes.
    pub length: usize,
}

/// Reads one request off the front of `buffer`; also its length. `None`: more bytes are needed.
///
/// # Errors
/// Tells what can't be taken.
pub fn request(buffer: &[u8]) -> Result<Option<(Request, usize)>, Bad> {
    let mut lines = [httparse::EMPTY_HEADER; HEADERS];
    let mut head = httparse::Request::new(&mut lines);
    let length = match head.parse(buffer).map_err(|_| Bad::Malformed)? {
        httparse::Status::Complete(length) if length <= HEAD_LIMIT => length,
        httparse::Status::Partial if buffer.len() <= HEAD_LIMIT => return Ok(None),
        _ => return Err(Bad::Malformed),
    };
    let headers = Headers::read(head.headers)?;
    let framing = headers.framing()?.unwrap_or(Framing::Length(0));
    let Some((body, used)) = body(framing, &buffer[length..], BODY_LIMIT)? else { return Ok(None) };
    let target = head.path.unwrap_or("/");
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let close = headers.closes() || head.version == Some(0);
    let method = head.method.unwrap_or_default().to_string();
    let (path, query) = (path.to_string(), query.to_string());
    Ok(Some((Request { method, path, query, headers, body, close }, length + used)))
}

/// Reads the head of a response off the front of `buffer`. `None`: more bytes are needed.
///
/// # Errors
/// Tells that it is no response.
pub fn response_head(buffer: &[u8]) -> Result<Option<Head>, Bad> {
    let mut lines = [httparse::EMPTY_HEADER; HEADERS];
    let mut head = httparse::Response::new(&mut lines);
    let length = match head.parse(buffer).map_err(|_| Bad::Malformed)? {
        httparse::Status::Complete(length) => length,
        httparse::Status::Partial if buffer.len() <= HEAD_LIMIT => return Ok(None),
        httparse::Status::Partial => return Err(Bad::Malformed),
    };
    let headers = Headers::read(head.headers)?;
    let framing = headers.framing()?;
    let close = headers.closes() || head.version == Some(0);
    Ok(Some(Head { status: head.code.unwrap_or(0), framing, close, length }))
}

/// Reads a whole body of at most `limit` bytes off the front of `buffer`; also how many bytes it took.
///
/// # Errors
/// Tells what can't be taken.
pub fn body(framing: Framing, buffer: &[u8], limit: usize) -> Result<Option<(Vec<u8>, usize)>, Bad> {
    match framing {
        Framing::Length(length) if length > limit => Err(Bad::TooLarge),
        Framing::Length(length) => Ok(buffer.get(..length).map(|body| (body.to_vec(), length))),
        Framing::Chunked => {
            let (mut chunks, mut body) = (Chunks::default(), Vec::new());
            let used = chunks.read(buffer, &mut body)?;
            if body.len() > limit {
                return Err(Bad::TooLarge);
            }
            Ok(chunks.is_done().then_some((body, used)))
        }
    }
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum ChunkState {
    #[default]
    Size,
    Data(usize),
    DataEnd,
    Trailer,
    Done,
}

/// Decodes chunks that may be split anywhere.
#[derive(Debug, Default, Clone)]
pub struct Chunks {
    state: ChunkState,
    /// The part of a line that has come.
    line: Vec<u8>,
    trailers: usize,
}

impl Chunks {
    /// Whether the last chunk has come.
    pub fn is_done(&self) -> bool {
        self.state == ChunkState::Done
    }

    /// Takes bytes in and appends the data in them; tells how many it used.
    ///
    /// # Errors
    /// Tells that these are no chunks.
    pub fn read(&mut self, bytes: &[u8], data: &mut Vec<u8>) -> Result<usize, Bad> {
        let mut used = 0;
        while used < bytes.len() && self.state != ChunkState::Done {
            if let ChunkState::Data(left) = self.state {
                let take = left.min(bytes.len() - used);
                data.extend_from_slice(&bytes[used..used + take]);
                used += take;
                self.state = if take == left { ChunkState::DataEnd } else { ChunkState::Data(left - take) };
                continue;
            }
            let byte = bytes[used];
            used += 1;
            self.line.push(byte);
            if self.line.len() > LINE_LIMIT {
                return Err(Bad::Malformed);
            }
            if byte == b'\n' {
                let line = std::mem::take(&mut self.line);
                self.end_line(&line)?;
            }
        }
        Ok(used)
    }

    fn end_line(&mut self, line: &[u8]) -> Result<(), Bad> {
        self.state = match self.state {
            // The parser takes a line without digits for the last chunk.
            ChunkState::Size if !line[0].is_ascii_hexdigit() => return Err(Bad::Malformed),
            ChunkState::Size => match httparse::parse_chunk_size(line) {
                Ok(httparse::Status::Complete((_, 0))) => ChunkState::Trailer,
                Ok(httparse::Status::Complete((_, size))) => {
                    ChunkState::Data(usize::try_from(size).map_err(|_| Bad::TooLarge)?)
                }
                _ => return Err(Bad::Malformed),
            },
            ChunkState::DataEnd if line == b"\r\n" => ChunkState::Size,
            ChunkState::Trailer if line == b"\r\n" => ChunkState::Done,
            ChunkState::Trailer if self.trailers < TRAILERS => {
                self.trailers += 1;
                ChunkState::Trailer
            }
            _ => return Err(Bad::Malformed),
        };
        Ok(())
    }
}

/// A response to be written.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// Whole or decimal seconds of `Retry-After`.
    pub retry_after: Option<String>,
    /// The methods that the path allows, with status 405.
    pub allow: Option<&'static str>,
    /// The body, JSON unless `plain_text` says otherwise.
    pub body: String,
    /// The body is plain text.
    pub plain_text: bool,
}

impl Response {
    /// A response with a JSON body.
    pub fn new(status: u16, body: impl Into<String>) -> Response {
        Response { status, body: body.into(), ..Response::default() }
    }

    /// Adds advice when to come back, in milliseconds.
    pub fn after(mut self, advice: Option<f64>) -> Response {
        self.retry_after = advice.map(|ms| format!("{:.3}", ms / 1000.0));
        self
    }

    /// The response as bytes.
    pub fn bytes(&self, close: bool) -> Vec<u8> {
        let reason = match self.status {
            200 => "OK",
            400 => "Bad Request",
            403 => "Forbidden",
            404 => "Not Found",
            405 => "Method Not Allowed",
            408 => "Request Timeout",
            413 => "Content Too Large",
            429 => "Too Many Requests",
            503 => "Service Unavailable",
            504 => "Gateway Timeout",
            _ => "Error",
        };
        let mut text =
            format!("HTTP/1.1 {} {reason}\r\nContent-Length: {}\r\n", self.status, self.body.len());
        if !self.body.is_empty() {
            let kind = if self.plain_text { "text/plain; version=0.0.4" } else { "application/json" };
            text += &format!("Content-Type: {kind}\r\n");
        }
        if let Some(after) = &self.retry_after {
            text += &format!("Retry-After: {after}\r\n");
        }
        if let Some(allow) = self.allow {
            text += &format!("Allow: {allow}\r\n");
        }
        text += if close { "Connection: close\r\n\r\n" } else { "\r\n" };
        text += &self.body;
        text.into_bytes()
    }
}
