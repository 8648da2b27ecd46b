//! One call of a controller, over a connection of its own.

use http::{response_head, Framing};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Longest wait for a connection or an answer.
const PATIENCE: Duration = Duration::from_secs(10);
/// Longest answer, bytes.
const LONGEST_ANSWER: usize = 64 << 20;

/// A call.
pub struct Call<'call> {
    /// Method and path.
    pub line: &'call str,
    /// The version that a change builds on.
    pub based_on: Option<u64>,
    /// The body, JSON.
    pub body: &'call [u8],
}

/// What a controller answered.
pub struct Reply {
    /// The status.
    pub status: u16,
    /// The body.
    pub body: String,
}

/// Makes a call.
///
/// # Errors
/// The connection does not come up, breaks, or brings what is no answer.
pub fn call(controller: SocketAddr, call: &Call) -> io::Result<Reply> {
    let mut stream = TcpStream::connect_timeout(&controller, PATIENCE)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    stream.set_write_timeout(Some(PATIENCE))?;
    let based_on = call.based_on.map(|version| format!("Based-On: {version}\r\n")).unwrap_or_default();
    let head = format!(
        "{} HTTP/1.1\r\nHost: {controller}\r\nConnection: close\r\n{based_on}Content-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n",
        call.line,
        call.body.len()
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(call.body)?;
    let mut answer = Vec::new();
    stream.take(LONGEST_ANSWER as u64).read_to_end(&mut answer)?;
    read(&answer).ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, "the answer is not whole"))
}

fn read(answer: &[u8]) -> Option<Reply> {
    let head = response_head(answer).ok()??;
    let rest = &answer[head.length..];
    let framing = head.framing.unwrap_or(Framing::Length(rest.len()));
    let (body, _) = http::body(framing, rest, LONGEST_ANSWER).ok()??;
    Some(Reply { status: head.status, body: String::from_utf8_lossy(&body).into_owned() })
}
