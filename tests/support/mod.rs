//! The helper of the tests that check a model against random steps, and of those that run the program
//! against stand-ins. Seeds are fixed, ports are the system's choice, nothing asserts a speed.
#![allow(dead_code)]

#[path = "../common/mod.rs"]
mod common;
pub mod driven;
pub mod front;
pub mod hand;
pub mod site;
pub mod traffic;

use quickcheck::{Gen, QuickCheck, Testable};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use steppick::core::Core;
use steppick::settings::Transport;
use steppick::*;

/// A random step: what to do and two arguments, each read as the test likes.
pub type Step = (u8, u8, u8);

/// Checks a property on the same random inputs each time.
pub fn check(property: impl Testable) {
    QuickCheck::new().rng(Gen::from_size_and_seed(80, 20_261_201)).tests(400).quickcheck(property);
}

pub fn transport() -> Transport {
    Transport { dial_timeout: 250.0, idle_close: 15_000.0, streams: 8, max_open: 40, shards: 4 }
}

pub fn class(effect: Effect, fetch: usize) -> Class {
    Class { deadline: 2000.0, late_share: 0.3, effect, fetch, ..common::class() }
}

pub fn settings() -> Settings {
    Settings {
        classes: vec![
            class(Effect::Safe, 0),
            class(Effect::Keyed(400.0), 0),
            class(Effect::Unsafe, 0),
            class(Effect::Safe, 2),
        ],
        siblings: 1,
        cells: 4,
        reach: 2,
        advice_limit: 500.0,
        cold_from: 0.28,
        fall_multiple: 2.5,
        overload_time: 1000.0,
        ..common::settings()
    }
}

pub fn listed(id: u32, lifecycle: Lifecycle) -> Listed {
    let (zone, model) = ("a".to_string(), "m".to_string());
    Listed { id: ReplicaId(id), cell: id as usize % 4, zone, model, size: 1.0, born: None, lifecycle }
}

pub fn core() -> Core<u32> {
    Core::new(settings(), transport(), 7)
}

/// A folder that is gone with the test.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("steppick-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a temporary folder");
        Folder(path)
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("a temporary file");
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The real program; ended with the test.
pub struct Program {
    child: Child,
    lines: Receiver<String>,
}

impl Program {
    pub fn start(arguments: &[&str], config: Option<&PathBuf>) -> Program {
        Program::start_with(arguments, config, None)
    }

    /// The same with `STEPPICK_LOG` set to `level`.
    pub fn start_with(arguments: &[&str], config: Option<&PathBuf>, level: Option<&str>) -> Program {
        let mut command = Command::new(env!("CARGO_BIN_EXE_steppick"));
        command.args(arguments);
        Program::spawn(command, config, level)
    }

    fn spawn(mut command: Command, config: Option<&PathBuf>, level: Option<&str>) -> Program {
        command
            .env_remove("LB_CONFIG")
            .env_remove("LB_ADMIN_ADDR")
            .env_remove("STEPPICK_LOG")
            .stderr(Stdio::piped());
        if let Some(level) = level {
            command.env("STEPPICK_LOG", level);
        }
        if let Some(path) = config {
            command.env("LB_CONFIG", path);
        }
        let mut child = command.spawn().expect("the program starts");
        let log = BufReader::new(child.stderr.take().expect("piped"));
        let (tell, lines) = channel();
        std::thread::spawn(move || log.lines().map_while(Result::ok).try_for_each(|line| tell.send(line)));
        Program { child, lines }
    }

    /// The same with a folder for temporary files that other processes of the same coordinator share.
    pub fn start_beside(folder: &Folder, config: &PathBuf) -> Program {
        let mut command = Command::new(env!("CARGO_BIN_EXE_steppick"));
        command.env("TMPDIR", &folder.0);
        Program::spawn(command, Some(config), None)
    }

    /// The same with a limit on descriptors that the system holds it to.
    pub fn start_limited(config: &PathBuf, descriptors: usize) -> Program {
        let mut command = Command::new("sh");
        command.args([
            "-c",
            &format!("ulimit -n {descriptors}; exec \"$0\""),
            env!("CARGO_BIN_EXE_steppick"),
        ]);
        Program::spawn(command, Some(config), None)
    }

    /// The next log line that holds `text`.
    pub fn line(&self, text: &str) -> String {
        loop {
            let line = self.lines.recv_timeout(Duration::from_secs(60)).expect("a line of the log");
            if line.contains(text) {
                return line;
            }
        }
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        let line = self.line(" on 127.0.0.1:");
        line.rsplit(' ').next().expect("an address").parse().expect("an address")
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        Command::new("kill").args([&format!("-{name}"), &id]).status().expect("kill runs");
    }

    /// Memory that it holds now.
    pub fn memory_kb(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("it runs");
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("its memory");
        line.trim().trim_end_matches(" kB").parse().expect("a number")
    }

    /// Asks it to end and tells whether it ended well.
    pub fn terminate(&mut self) -> bool {
        self.signal("TERM");
        self.child.wait().expect("it ends").success()
    }

    /// Whether it ends by itself in that time; it is killed otherwise, as the platform does.
    pub fn ends_by(&mut self, time: Duration) -> bool {
        let until = std::time::Instant::now() + time;
        while std::time::Instant::now() < until {
            if self.child.try_wait().expect("it can be waited for").is_some() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        let _ = self.child.kill();
        false
    }

    /// Waits for its end without asking.
    pub fn ends(&mut self) -> Option<i32> {
        self.child.wait().expect("it ends").code()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Reads one HTTP message that has a Content-Length: its head and its body.
pub fn message(stream: &mut impl BufRead) -> Option<(String, String)> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if stream.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let lower = head.to_ascii_lowercase();
    let length = lower.split("content-length: ").nth(1).and_then(|rest| rest.split("\r\n").next());
    let mut body = vec![0; length.map_or(0, |length| length.parse().expect("a length"))];
    stream.read_exact(&mut body).ok()?;
    Some((head, String::from_utf8(body).expect("UTF-8")))
}

/// A client with one connection.
pub struct Client(BufReader<TcpStream>);

impl Client {
    pub fn new(to: SocketAddr) -> Client {
        Client::connect(to).expect("a connection")
    }

    /// The same, where nobody may be listening any more.
    pub fn connect(to: SocketAddr) -> std::io::Result<Client> {
        let stream = TcpStream::connect(to)?;
        stream.set_read_timeout(Some(Duration::from_secs(60)))?;
        Ok(Client(BufReader::new(stream)))
    }

    /// Sends a request; its status and whether the connection stays open, or none where it ends without an answer.
    pub fn try_ask(&mut self, path: &str, headers: &str, body: &str) -> Option<(u16, bool)> {
        let length = body.len();
        let text =
            format!("POST {path} HTTP/1.1\r\nHost: x\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
        self.0.get_mut().write_all(text.as_bytes()).ok()?;
        let (head, _) = message(&mut self.0)?;
        Some((head[9..12].parse().ok()?, !head.contains("Connection: close")))
    }

    pub fn write(&mut self, bytes: &[u8]) {
        self.0.get_mut().write_all(bytes).expect("written");
    }

    /// The same; the other side's system has it then.
    pub fn write_through(&mut self, bytes: &[u8]) {
        self.write(bytes);
        hand::settle(self.0.get_ref());
    }

    /// The same, where the other side may have gone.
    pub fn try_write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.0.get_mut().write_all(bytes)
    }

    /// Whether something has come that was not read yet.
    pub fn has_more(&mut self) -> bool {
        self.0.get_ref().set_nonblocking(true).expect("set");
        let more = self.0.fill_buf().is_ok_and(|bytes| !bytes.is_empty());
        self.0.get_ref().set_nonblocking(false).expect("set");
        more
    }

    /// The status, head and body of the next answer.
    pub fn read(&mut self) -> (u16, String, String) {
        let (head, body) = message(&mut self.0).expect("an answer");
        (head[9..12].parse().expect("a status"), head, body)
    }

    /// Ends its own side and goes on reading.
    pub fn half_close(&self) {
        self.0.get_ref().shutdown(Shutdown::Write).expect("shut down");
    }

    /// Whether the other side has ended the connection without a further byte.
    pub fn is_ended(&mut self) -> bool {
        let waits = |error: std::io::Error| error.kind() == std::io::ErrorKind::WouldBlock;
        self.0.fill_buf().map_or_else(|error| !waits(error), <[u8]>::is_empty)
    }

    /// Whether it has done so in order, without a reset.
    pub fn ends_cleanly(&mut self) -> bool {
        self.0.fill_buf().is_ok_and(<[u8]>::is_empty)
    }

    pub fn ask(&mut self, method: &str, path: &str, headers: &str, body: &str) -> (u16, String, String) {
        let length = body.len();
        let text =
            format!("{method} {path} HTTP/1.1\r\nHost: x\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
        self.write(text.as_bytes());
        self.read()
    }
}

/// Listens on loopback and serves each connection in a thread of its own.
pub fn stand_in(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let serve = Arc::new(serve);
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
    address
}

/// Counts and notes shared between a stand-in and its test.
pub type Notes = Arc<Mutex<Vec<String>>>;

/// Runs `work` in a thread and returns a handle; for requests that must overlap.
pub fn apart<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> std::thread::JoinHandle<T> {
    std::thread::spawn(work)
}
