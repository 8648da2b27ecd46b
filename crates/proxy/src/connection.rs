//! A TCP connection with the bytes that were read from it and not used.

use crate::deadline::by;
use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddrV4;
use std::os::fd::AsFd;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep_until, timeout, timeout_at, Instant};

/// Room for one read, bytes.
const READ_ROOM: usize = 8 * 1024;
/// Room that a resting connection gives back, bytes.
const RESTING_ROOM: usize = 16 * 1024;
/// Bytes of a client's next requests that are taken in while one is served.
const READ_AHEAD: usize = 64 * 1024;
/// Longest time for a connection to a replica to come up.
const DIAL_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest time that sent bytes may go without acknowledgement.
const UNACKNOWLEDGED: Duration = Duration::from_millis(2_500);
/// Silence after which a peer is probed, and the pause between probes.
const PROBE: Duration = Duration::from_secs(1);
/// Probes without answer after which a peer is given up.
const PROBES: u32 = 3;
/// Longest time and most bytes for which a client is listened to after its connection has ended here.
const LINGER: (Duration, usize) = (Duration::from_secs(1), 256 * 1024);

/// A connection.
#[derive(Debug)]
pub(crate) struct Connection {
    stream: TcpStream,
    /// What was read and not used.
    pub input: Vec<u8>,
    /// A request was written in part: what is written next would be taken for its rest.
    is_half_written: bool,
}

/// How much of a request was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Written {
    /// Not a byte: the connection had ended.
    Nothing,
    /// Some of it or all; an answer may come. Only a connection that has all of it may bear another request.
    Begun,
}

/// Sets the options of a connection, or of a listener: the connections that it accepts have them from it.
pub(crate) fn tune(socket: &impl AsFd) -> io::Result<()> {
    let socket = SockRef::from(socket);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
    let probes = TcpKeepalive::new().with_time(PROBE).with_interval(PROBE).with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)
}

impl Connection {
    /// A connection that a client made. It has the options of its listener, see [`tune`].
    pub fn accepted(stream: TcpStream) -> Connection {
        Connection { stream, input: Vec::new(), is_half_written: false }
    }

    /// Makes a connection.
    pub async fn dial(address: SocketAddrV4) -> io::Result<Connection> {
        let socket = TcpSocket::new_v4()?;
        let connected = timeout(DIAL_TIMEOUT, socket.connect(address.into())).await;
        let stream = connected.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        tune(&stream)?;
        Ok(Connection { stream, input: Vec::new(), is_half_written: false })
    }

    /// Reads what is there; 0 at the end. May be dropped at any time without loss.
    pub async fn fill(&mut self) -> io::Result<usize> {
        self.input.reserve(READ_ROOM);
        self.stream.read_buf(&mut self.input).await
    }

    /// When the last data came that the kernel has received on this connection, however late it is read.
    pub fn received_at(&self) -> Instant {
        let now = Instant::now();
        let age = tcp_info::since_last_received(&self.stream).unwrap_or_default();
        now.checked_sub(age).unwrap_or(now)
    }

    /// Drops the first bytes of the input: they are used.
    pub fn used(&mut self, count: usize) {
        self.input.drain(..count);
    }

    /// Writes all bytes.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Writes all bytes by a time; tells how many were taken if it fails.
    pub async fn write_by(&mut self, bytes: &[u8], until: Instant) -> Result<(), usize> {
        let mut taken = 0;
        while taken < bytes.len() {
            match by(until, self.stream.write(&bytes[taken..])).await {
                Some(Ok(count)) if count > 0 => taken += count,
                _ => return Err(taken),
            }
        }
        Ok(())
    }

    /// Writes a request until all of it is taken, an answer to it begins (the peer may turn a long one away before it is
    /// in), the connection ends or the time is over.
    pub async fn write_request(&mut self, bytes: &[u8], until: Instant) -> Written {
        self.is_half_written = true;
        let (mut reader, mut writer) = self.stream.split();
        let mut taken = 0;
        while taken < bytes.len() {
            let begun = if taken > 0 { Written::Begun } else { Written::Nothing };
            tokio::select! {
                biased;
                wrote = writer.write(&bytes[taken..]) => match wrote {
                    Ok(count) if count > 0 => taken += count,
                    _ => return begun,
                },
                _ = reader.read_buf(&mut self.input), if taken > 0 => return begun,
                () = sleep_until(until) => return begun,
            }
        }
        self.is_half_written = false;
        Written::Begun
    }

    /// Whether another request may follow on this connection once its answer is whole.
    pub fn may_go_on(&self) -> bool {
        !self.is_half_written && self.input.is_empty()
    }

    /// Ends once the peer has closed or broken the connection; what it sends before is taken in, up to a bound.
    pub async fn left(&mut self) {
        loop {
            if self.input.len() > READ_AHEAD {
                return std::future::pending().await;
            }
            if !matches!(self.fill().await, Ok(count) if count > 0) {
                return;
            }
        }
    }

    /// Whether nothing has come since the last answer, not even the connection's end.
    pub fn is_quiet(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.stream).peek(&mut byte);
        self.input.is_empty() && matches!(peeked, Err(why) if why.kind() == io::ErrorKind::WouldBlock)
    }

    /// Gives back room that a resting connection does not need.
    pub fn rest(&mut self) {
        if self.input.is_empty() && self.input.capacity() > RESTING_ROOM {
            self.input = Vec::new();
        }
    }

    /// Makes the coming close a reset, so that no answer looks whole that is not.
    pub fn reset_on_close(&self) {
        // If it can't be set, the close alone has to tell.
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// Ends the connection and listens on for a while: closing with unread bytes would reset it, and the client would
    /// not see its answer.
    pub async fn close_gently(mut self) {
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let (time, most) = LINGER;
        let until = Instant::now() + time;
        let mut heard = 0;
        self.input = Vec::new();
        while heard < most {
            match timeout_at(until, self.fill()).await {
                Ok(Ok(count)) if count > 0 => heard += count,
                _ => return,
            }
            self.input.clear();
        }
    }
}
