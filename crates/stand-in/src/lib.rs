//! One side of an HTTP connection, for stand-ins of replicas, clients and operators in tests. It reads whatever comes and
//! decides nothing: what a test expects is the test's.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod damage;
pub mod ports;

use http::{BodyReader, Framing, RequestHead, ResponseFraming, ResponseHead};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longest head that is read, bytes.
const HEAD_LIMIT: usize = 1 << 20;
/// How long a connection may take to come up.
const CONNECT: Duration = Duration::from_millis(1_000);

/// A request as it came.
#[derive(Debug)]
pub struct Request {
    /// Its head.
    pub head: RequestHead,
    /// Its whole body.
    pub body: Vec<u8>,
}

impl Request {
    /// The value of a header that came once.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines.get(name)
    }
}

/// An answer as it came.
#[derive(Debug)]
pub struct Answer {
    /// Its head.
    pub head: ResponseHead,
    /// Its body; `None` if it was cut off or has no framing.
    pub body: Option<Vec<u8>>,
}

/// A connection.
#[derive(Debug)]
pub struct Wire {
    stream: TcpStream,
    input: Vec<u8>,
}

impl Wire {
    /// A connection that was accepted.
    pub fn new(stream: TcpStream) -> Wire {
        let _ = stream.set_nodelay(true);
        Wire { stream, input: Vec::new() }
    }

    /// A new connection; `None` if nobody takes it within a second.
    pub async fn connect(address: SocketAddr) -> Option<Wire> {
        let stream = timeout(CONNECT, TcpStream::connect(address)).await.ok()?.ok()?;
        Some(Wire::new(stream))
    }

    /// The socket, to be used on another thread; what has come and was not taken is lost.
    pub fn into_std(self) -> io::Result<std::net::TcpStream> {
        self.stream.into_std()
    }

    /// A connection that was used on another thread.
    pub fn from_std(stream: std::net::TcpStream) -> io::Result<Wire> {
        Ok(Wire::new(TcpStream::from_std(stream)?))
    }

    /// Whether all was written.
    pub async fn write(&mut self, bytes: impl AsRef<[u8]>) -> bool {
        self.stream.write_all(bytes.as_ref()).await.is_ok()
    }

    /// Reads more; false at the end, however it came.
    pub async fn more(&mut self) -> bool {
        matches!(self.stream.read_buf(&mut self.input).await, Ok(count) if count > 0)
    }

    /// What has come and was not taken.
    pub fn input(&self) -> &[u8] {
        &self.input
    }

    /// Takes so many bytes of what has come.
    pub fn take(&mut self, count: usize) -> Vec<u8> {
        self.input.drain(..count).collect()
    }

    /// Resets the connection.
    pub fn reset(self) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// The head of the next request, if one comes whole and sound; its body stays unread.
    pub async fn request_head(&mut self) -> Option<RequestHead> {
        loop {
            if let Some((head, length)) = RequestHead::read(&self.input, HEAD_LIMIT).ok()? {
                self.take(length);
                return Some(head);
            }
            if !self.more().await {
                return None;
            }
        }
    }

    /// The next request, if one comes whole.
    pub async fn request(&mut self) -> Option<Request> {
        let head = self.request_head().await?;
        let body = self.whole_body(head.framing).await?;
        Some(Request { head, body })
    }

    /// The head of the next answer, if one comes.
    pub async fn head(&mut self) -> Option<ResponseHead> {
        loop {
            if let Some((head, length)) = ResponseHead::read(&self.input).ok()? {
                self.take(length);
                return Some(head);
            }
            if !self.more().await {
                return None;
            }
        }
    }

    /// The next answer, if its head comes.
    pub async fn answer(&mut self) -> Option<Answer> {
        let head = self.head().await?;
        let body = match head.framing {
            ResponseFraming::Framed(framing) => self.whole_body(framing).await,
            ResponseFraming::UntilClose => None,
        };
        Some(Answer { head, body })
    }

    /// The body behind a head, if it comes whole.
    pub async fn whole_body(&mut self, framing: Framing) -> Option<Vec<u8>> {
        let (mut reader, mut body) = (BodyReader::new(framing), Vec::new());
        loop {
            let used = reader.read(&self.input, &mut body).ok()?;
            self.take(used);
            if reader.is_done() {
                return Some(body);
            }
            if !self.more().await {
                return None;
            }
        }
    }
}
