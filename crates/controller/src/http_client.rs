//! Calls to replicas over a connection that is kept between calls.
//!
//! One call is under way on a connection at a time, and the next may begin only on one that is [`Quiet`]: the answer before
//! was whole and framed, and nothing has come since. So a late second answer, an interim answer or bytes behind the end
//! never become the answer to another call. No call is sent twice here: whoever calls decides what may be repeated.

use std::mem::MaybeUninit;
use std::net::SocketAddrV4;
use std::time::Duration;

use http::{BodyReader, ResponseFraming, ResponseHead};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Room for bytes read at a time.
const READ_BYTES: usize = 16 * 1024;

/// A call to a replica.
#[derive(Debug, Clone, Copy)]
pub struct HttpCall<'a> {
    pub method: &'a str,
    pub path: &'a str,
    /// Id of the replica that is meant, if it has one; another one at its address does not take the call.
    pub replica: Option<&'a str>,
    /// How long the replica may hold the call, if that is to be said.
    pub wait_ms: Option<u64>,
    pub body: &'a [u8],
    /// The connection is not needed any more after the call.
    pub last: bool,
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpAnswer {
    pub status: u16,
    pub body: Vec<u8>,
}

/// How long things may take, and how long an answer may be.
#[derive(Debug, Clone, Copy)]
pub struct Patience {
    pub connect: Duration,
    pub answer: Duration,
    pub answer_bytes: usize,
}

/// One caller of one replica.
#[derive(Debug)]
pub struct HttpClient {
    address: SocketAddrV4,
    patience: Patience,
    rested: Option<Quiet>,
}

/// A connection on which nothing is due.
#[derive(Debug)]
struct Quiet(TcpStream);

impl Quiet {
    /// The connection, unless something came while it rested, be it its end.
    fn wake(self) -> Option<TcpStream> {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = socket2::SockRef::from(&self.0).peek(&mut byte);
        let is_quiet = matches!(peeked, Err(why) if why.kind() == std::io::ErrorKind::WouldBlock);
        is_quiet.then_some(self.0)
    }
}

impl HttpClient {
    pub fn new(address: SocketAddrV4, patience: Patience) -> HttpClient {
        HttpClient { address, patience, rested: None }
    }

    /// Comes to its end when something has come on the connection that rests, or none rests. For tests.
    pub async fn rested_has_news(&self) {
        if let Some(Quiet(stream)) = &self.rested {
            // Only that there is something counts here; the next call looks what.
            let _ = stream.readable().await;
        }
    }

    /// Makes a call; `None` if no whole answer came. A connection on which that happens is reset, so that what has
    /// not arrived does not arrive later.
    pub async fn call(&mut self, call: HttpCall<'_>) -> Option<HttpAnswer> {
        let mut stream = match self.rested.take().and_then(Quiet::wake) {
            Some(stream) => stream,
            None => timeout(self.patience.connect, TcpStream::connect(self.address)).await.ok()?.ok()?,
        };
        let exchange = timeout(self.patience.answer, self.exchange(&mut stream, call));
        match exchange.await.ok().flatten() {
            Some((answer, true)) => {
                self.rested = Some(Quiet(stream));
                Some(answer)
            }
            Some((answer, false)) => Some(answer),
            None => {
                let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                None
            }
        }
    }

    /// The answer, and whether the connection can be used again.
    async fn exchange(&self, stream: &mut TcpStream, call: HttpCall<'_>) -> Option<(HttpAnswer, bool)> {
        stream.set_nodelay(true).ok()?;
        stream.write_all(&self.request(call)).await.ok()?;
        let mut buffer = Vec::new();
        let head = loop {
            if let Some((head, length)) = ResponseHead::read(&buffer).ok()? {
                buffer.drain(..length);
                break head;
            }
            read_some(stream, &mut buffer).await?;
        };
        // Nothing was asked for that an interim answer could answer, so what follows it can't be told apart either.
        if head.status < 200 {
            return None;
        }
        let ResponseFraming::Framed(framing) = head.framing else {
            return Some((HttpAnswer { status: head.status, body: Vec::new() }, false));
        };
        let mut reader = BodyReader::new(framing);
        let mut body = Vec::new();
        loop {
            let used = reader.read(&buffer, &mut body).ok()?;
            buffer.drain(..used);
            if reader.is_done() {
                let reusable = !head.close && !call.last && buffer.is_empty();
                return Some((HttpAnswer { status: head.status, body }, reusable));
            }
            if body.len() > self.patience.answer_bytes {
                return None;
            }
            read_some(stream, &mut buffer).await?;
        }
    }

    fn request(&self, call: HttpCall) -> Vec<u8> {
        let mut text = format!("{} {} HTTP/1.1\r\nHost: {}\r\n", call.method, call.path, self.address);
        if let Some(replica) = call.replica {
            text += &format!("Expected-Node: {replica}\r\n");
        }
        if let Some(wait_ms) = call.wait_ms {
            text += &format!("Wait-Ms: {wait_ms}\r\n");
        }
        if call.last {
            text += "Connection: close\r\n";
        }
        if call.method != "GET" {
            text += &format!("Content-Type: application/json\r\nContent-Length: {}\r\n", call.body.len());
        }
        text += "\r\n";
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(call.body);
        bytes
    }
}

async fn read_some(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    buffer.reserve(READ_BYTES);
    (stream.read_buf(buffer).await.ok()? > 0).then_some(())
}
