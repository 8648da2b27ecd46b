//! Peers under the test's own hand: nothing happens on their sockets before the test says so.

use super::site;
use socket2::{Domain, Socket, Type};
use stand_in::ports::Refusing;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// What has to come comes well within this time; what must not come is waited for for as long as each test says.
pub const SOON: Duration = Duration::from_secs(20);

/// A listener that accepts when the test does.
pub struct Hand {
    listener: TcpListener,
    pub address: SocketAddr,
}

impl Hand {
    pub fn new() -> Hand {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        Hand { listener, address }
    }

    /// Listens where connections were refused until now.
    pub fn at(refusing: Refusing) -> Hand {
        let address = refusing.address().into();
        Hand { listener: refusing.listen(), address }
    }

    /// One whose queue of connections is full: a further one does not come up before [`Jammed::open`].
    pub fn jammed() -> Jammed {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().expect("an address").into()).expect("a port");
        socket.listen(0).expect("it listens");
        let listener: TcpListener = socket.into();
        let address = listener.local_addr().expect("an address");
        let mut queued = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(200)) {
            queued.push(stream);
        }
        Jammed { hand: Hand { listener, address }, queued }
    }

    /// The next connection.
    pub fn accept(&self) -> Peer {
        self.accept_within(SOON).expect("a connection")
    }

    /// The next connection, where one comes in that time.
    pub fn accept_within(&self, time: Duration) -> Option<Peer> {
        self.listener.set_nonblocking(true).expect("set");
        let until = Instant::now() + time;
        loop {
            if let Ok((stream, _)) = self.listener.accept() {
                stream.set_nonblocking(false).expect("set");
                stream.set_nodelay(true).expect("set");
                stream.set_read_timeout(Some(SOON)).expect("set");
                return Some(Peer(stream));
            }
            if Instant::now() >= until {
                return None;
            }
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}

pub struct Jammed {
    hand: Hand,
    queued: Vec<TcpStream>,
}

impl Jammed {
    pub fn address(&self) -> SocketAddr {
        self.hand.address
    }

    /// Makes room: connections that were asked for come up when the system asks again, after a second or more.
    pub fn open(self) -> Hand {
        for _ in &self.queued {
            drop(self.hand.accept());
        }
        self.hand
    }
}

/// The head of the answer to a watch.
const WATCH_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// One chunk of a body.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// One connection under the test's hand.
pub struct Peer(pub TcpStream);

impl Peer {
    /// The next frame: its letter and the rest. `None` at the end.
    pub fn frame(&mut self) -> Option<(u8, String)> {
        site::frame(&mut self.0)
    }

    /// Whether something has come that was not read yet.
    pub fn has_more(&self) -> bool {
        self.0.set_nonblocking(true).expect("set");
        let more = self.0.peek(&mut [0]).is_ok_and(|count| count > 0);
        self.0.set_nonblocking(false).expect("set");
        more
    }

    /// The id in the next frame of a part.
    pub fn part(&mut self) -> String {
        loop {
            let (letter, text) = self.frame().expect("a frame");
            if letter == b'Q' {
                return text.split(' ').next().expect("an id").to_string();
            }
        }
    }

    pub fn write(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).expect("written");
    }

    /// Answers a watch with the beginning of a body, where the other side has not left yet.
    pub fn try_watch(&mut self, body: &str) -> std::io::Result<()> {
        self.0.write_all(&[WATCH_HEAD, body.as_bytes()].concat())
    }

    /// Serves a part.
    pub fn serve(&mut self, id: &str) {
        let rest = format!("A{id} ok 100 -\nvalue");
        self.write(&[&(rest.len() as u32).to_le_bytes()[..], rest.as_bytes()].concat());
    }

    /// Reads the head of an HTTP request.
    pub fn head(&mut self) -> String {
        let (mut head, mut byte) = (Vec::new(), [0]);
        while !head.ends_with(b"\r\n\r\n") && self.0.read(&mut byte).is_ok_and(|count| count > 0) {
            head.push(byte[0]);
        }
        String::from_utf8(head).expect("ASCII")
    }

    /// Begins to answer a watch.
    pub fn watch_head(&mut self) {
        self.write(WATCH_HEAD);
    }

    pub fn chunk(&mut self, text: &str) {
        self.write(chunk(text).as_bytes());
    }

    /// Ends its side; the other side's system knows.
    pub fn end(&self) {
        self.0.shutdown(std::net::Shutdown::Write).expect("shut down");
        settle(&self.0);
    }

    /// Ends the connection with a reset.
    pub fn reset(self) {
        socket2::SockRef::from(&self.0).set_linger(Some(Duration::ZERO)).expect("set");
    }

    /// Whether the other side ends the connection in that time.
    pub fn ends_within(&mut self, time: Duration) -> bool {
        let until = Instant::now() + time;
        let mut buffer = [0; 4096];
        while let Some(left) = until.checked_duration_since(Instant::now()).filter(|left| !left.is_zero()) {
            self.0.set_read_timeout(Some(left)).expect("set");
            match self.0.read(&mut buffer) {
                Ok(0) => return true,
                Ok(_) => {}
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => return true,
            }
        }
        false
    }
}

/// Waits until the other side's system has all that was written, and the end if there was one: on a busy machine that is
/// not so at once, also on loopback.
pub fn settle(stream: &TcpStream) {
    let hex = |at: std::io::Result<SocketAddr>| format!("0100007F:{:04X}", at.expect("an address").port());
    let ends = format!("{} {} ", hex(stream.local_addr()), hex(stream.peer_addr()));
    let until = Instant::now() + SOON;
    while Instant::now() < until {
        let table = std::fs::read_to_string("/proc/net/tcp").expect("the table of connections");
        let line = table.lines().find_map(|line| line.split_once(&ends).map(|(_, rest)| rest.to_string()));
        // The state, 04 while the end is not acknowledged, and the bytes that are not.
        if line.is_some_and(|rest| !rest.starts_with("04") && rest[3..].starts_with("00000000:")) {
            return;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    panic!("the other side's system does not take it");
}
