//! One side of an HTTP connection, for stand-ins and clients.

use http::{BodyReader, RequestHead, ResponseFraming, ResponseHead};
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longest head that is read, bytes.
const HEAD_LIMIT: usize = 1 << 20;
/// How long a connection may take to come up.
const CONNECT: Duration = Duration::from_millis(1_000);

/// A request as it came.
pub struct Request {
    pub head: RequestHead,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines.get(name)
    }
}

/// An answer as it came; no body if it was cut off.
pub struct Answer {
    pub head: ResponseHead,
    pub body: Option<Vec<u8>>,
}

/// A connection.
pub struct Wire {
    stream: TcpStream,
    input: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Wire {
        let _ = stream.set_nodelay(true);
        Wire { stream, input: Vec::new() }
    }

    pub async fn connect(address: SocketAddrV4) -> Option<Wire> {
        let stream = timeout(CONNECT, TcpStream::connect(address)).await.ok()?.ok()?;
        Some(Wire::new(stream))
    }

    /// Whether all was written.
    pub async fn write(&mut self, bytes: impl AsRef<[u8]>) -> bool {
        self.stream.write_all(bytes.as_ref()).await.is_ok()
    }

    /// Reads more; false at the end, however it came.
    async fn more(&mut self) -> bool {
        matches!(self.stream.read_buf(&mut self.input).await, Ok(count) if count > 0)
    }

    /// Waits until the other side closes or sends what is not asked for.
    pub async fn ended(&mut self) {
        self.more().await;
    }

    /// The next request, if one comes whole.
    pub async fn request(&mut self) -> Option<Request> {
        loop {
            if let Some((head, length)) = RequestHead::read(&self.input, HEAD_LIMIT).ok()? {
                self.input.drain(..length);
                let body = self.body(head.framing).await?;
                return Some(Request { head, body });
            }
            if !self.more().await {
                return None;
            }
        }
    }

    /// The next answer, if its head comes.
    pub async fn answer(&mut self) -> Option<Answer> {
        loop {
            if let Some((head, length)) = ResponseHead::read(&self.input).ok()? {
                self.input.drain(..length);
                let ResponseFraming::Framed(framing) = head.framing else { return None };
                let body = self.body(framing).await;
                return Some(Answer { head, body });
            }
            if !self.more().await {
                return None;
            }
        }
    }

    async fn body(&mut self, framing: http::Framing) -> Option<Vec<u8>> {
        let (mut reader, mut body) = (BodyReader::new(framing), Vec::new());
        loop {
            let used = reader.read(&self.input, &mut body).ok()?;
            self.input.drain(..used);
            if reader.is_done() {
                return Some(body);
            }
            if !self.more().await {
                return None;
            }
        }
    }
}

/// A call on a connection of its own; `None` without a whole answer in time.
pub async fn call(
    address: SocketAddrV4,
    head: &str,
    body: &str,
    patience: Duration,
) -> Option<(u16, Vec<u8>)> {
    let exchange = async {
        let mut wire = Wire::connect(address).await?;
        let length = body.len();
        let request =
            format!("{head}Host: {address}\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}");
        if !wire.write(request).await {
            return None;
        }
        let answer = wire.answer().await?;
        Some((answer.head.status, answer.body?))
    };
    timeout(patience, exchange).await.ok()?
}
