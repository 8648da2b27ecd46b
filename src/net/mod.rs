//! Sockets: the loop gathers what is ready, makes one step of the core and carries out its effects.

pub mod admin;
pub mod client;
mod fault;
pub mod figures;
mod listen;
pub mod node;
mod server;
pub mod shared;
pub mod trail;

pub use ::http;
pub use fault::{PeerError, ServeError};
pub use server::{Ending, Server, Sockets};

use crate::core::{Counters, Failure, NewQuery, Send};
use crate::interface::*;
use crate::settings::{ConfigError, Tuned};
use admin::Admin;
use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use figures::{Figures, Results};
use placement::{Favour, Placement};
use std::collections::BTreeMap;
use std::io::{self, Read};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsFd;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What a front makes of a client's request.
#[derive(Debug)]
pub enum Take {
    /// A query for the core.
    Query(NewQuery),
    /// An answer at once.
    Answer(http::Response),
}

/// A reply of a book node.
#[derive(Debug)]
pub enum NodeReply<V> {
    /// How an attempt ended, with score and value if it was served. No name: the oldest that is out.
    /// Also whether the node takes nothing more on this connection.
    Part(Option<String>, Result<(i64, V), Outcome>, bool),
    /// Answer to a probe for load.
    Load(Outcome, Report),
}

/// A language for clients and book nodes. The core's rules are the same for each.
pub trait Dialect {
    /// What a part brings.
    type Value: Clone;

    /// Takes a whole request, received at `at`. The query keeps `id` until its final answer.
    fn take(&mut self, id: RequestId, request: &http::Request, at: Ms, can_serve: bool) -> Take;
    /// The final answer of a query from the values that are in.
    fn answer(
        &mut self,
        query: RequestId,
        whole: bool,
        values: Vec<(usize, Self::Value)>,
        now: Ms,
    ) -> http::Response;
    /// The final answer of a refused query.
    fn refuse(&mut self, query: RequestId, after: Option<Ms>) -> http::Response;
    /// The final answer of a failed query.
    fn fail(&mut self, query: RequestId, why: Failure, after: Option<Ms>) -> http::Response;
    /// What the client calls a query that is open, for whoever reads the log.
    fn name(&self, query: RequestId) -> String {
        query.0.to_string()
    }
    /// Nobody waits for the query any more.
    fn gone(&mut self, query: RequestId);
    /// The answer to a request that can't be read.
    fn bad(&self, bad: http::Bad) -> http::Response;

    /// The frame of an attempt, and the name that its reply will bear.
    fn frame(&mut self, send: &Send, now: Ms) -> (String, Vec<u8>);
    /// The frame that calls an attempt off, where there is one.
    fn cancel(&self, name: &str) -> Option<Vec<u8>>;
    /// The frame of a probe for load, where there is one.
    fn probe(&self) -> Option<Vec<u8>>;
    /// How requests ended, by class.
    fn results(&self) -> BTreeMap<String, Results> {
        BTreeMap::new()
    }

    /// Takes in a new text of the front's file.
    ///
    /// # Errors
    /// Tells what makes no sense; then nothing has changed.
    fn reload(&mut self, _text: &str, _now: Ms) -> Result<Reload, ConfigError> {
        Ok(Reload::default())
    }
    /// The settings, where they have changed since they were asked for last.
    fn retuned(&mut self, _now: Ms) -> Option<Tuned> {
        None
    }

    /// Reads one reply off the front of `input`.
    ///
    /// # Errors
    /// Tells why the connection can't go on.
    fn reply(&self, input: &mut Vec<u8>) -> Result<Option<NodeReply<Self::Value>>, PeerError>;
}

/// What a new text of a front's file says to the rest of the front.
#[derive(Debug, Default)]
pub struct Reload {
    /// Where news of the list comes from.
    pub roster: Option<SocketAddr>,
}

/// News of the list of replicas.
#[derive(Debug)]
pub struct News {
    /// What the entries are.
    pub kind: ListKind,
    /// The entries.
    pub entries: Vec<Listed>,
    /// Where the replicas listen.
    pub addrs: Vec<(ReplicaId, SocketAddr)>,
    /// What they are called where placements are made.
    pub names: Vec<(ReplicaId, String)>,
}

/// Where news comes from: a stream that is asked once for each connection.
pub trait Roster {
    /// Where it is.
    fn address(&self) -> SocketAddr;
    /// What to write on a new connection.
    fn request(&mut self) -> Vec<u8>;
    /// Takes bytes in and appends the news in them, also those before what can't be read. Tells whether something whole
    /// came, which shows that the stream lives: bytes alone may trickle in for ever.
    ///
    /// # Errors
    /// Tells why the connection can't go on.
    fn received(&mut self, bytes: &[u8], now: Ms, news: &mut Vec<News>) -> Result<bool, PeerError>;
    /// It is there from now on; tells whether it was elsewhere.
    fn move_to(&mut self, address: SocketAddr) -> bool;
}

/// The clock of the core: monotonic, from the start of the program.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix_start: Ms,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix_start: unix.as_secs_f64() * 1000.0 }
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> Ms {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// Unix time at the start, ms: takes wall-clock times to this clock, always to the same value.
    pub fn unix_start(&self) -> Ms {
        self.unix_start
    }
}

/// Names a socket of one server of the program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Key {
    /// Where clients connect.
    Listener,
    /// A client's connection.
    Client(u64),
    /// A connection to a book node.
    Node(u64),
    /// A connection to discovery.
    Roster(u64),
}

/// What the loop has gathered.
#[derive(Debug, Default)]
pub struct Gathered {
    /// Sockets on which something can be done: which server, which socket, and whether it can be written.
    pub ready: Vec<(usize, Key)>,
    /// Signals that came.
    pub signals: Vec<Signal>,
}

/// The event loop of the program.
pub type Loop = EventLoop<'static, Gathered>;

/// What the loop drives.
pub trait Served {
    /// When it has something to do without any socket being ready.
    fn next_due(&self, now: Ms) -> Option<Ms>;
    /// One turn: reads what is ready, lets the core make one step and carries out what it says.
    fn turn(&mut self, now: Ms, ready: &[(usize, Key)]);
    /// A turn has ended: what was written in it had left by then.
    fn turned(&mut self, now: Ms);
    /// Lines about what happened lately, for whoever looks for a cause.
    fn trail(&self) -> Vec<String>;
    /// Takes in a new text of its file, while it goes on serving.
    ///
    /// # Errors
    /// Tells what makes no sense; then nothing has changed.
    fn reload(&mut self, text: &str, now: Ms) -> Result<(), ConfigError>;
    /// Takes in what a placement says of this coordinator, or that there is none any more.
    fn favour(&mut self, favour: Option<Favour>);
    /// Whether clients that connect now are served.
    fn takes_clients(&self) -> bool;
    /// Begins an orderly end: what was taken is answered, and new connections are still served for a while.
    fn end(&mut self, now: Ms);
    /// Whether the orderly end is complete.
    fn has_ended(&self, now: Ms) -> bool;
    /// What is counted.
    fn counters(&self) -> &Counters;
    /// What operators read, but for the files taken in.
    fn figures(&self) -> Figures;
}

/// A front of the program.
pub struct Front {
    /// Its name in log lines.
    pub name: &'static str,
    /// The file that configures it.
    pub path: PathBuf,
    /// What this coordinator is called in placements.
    pub coordinator: String,
    /// The placement that it follows, if any.
    pub placement: Option<PathBuf>,
    /// What the loop drives.
    pub served: Box<dyn Served>,
    /// Files at `SIGHUP`.
    pub reloads: Reloads,
}

/// Files taken in and turned down at `SIGHUP`.
#[derive(Debug, Default, Clone, Copy)]
#[allow(missing_docs)]
pub struct Reloads {
    pub applied: u64,
    pub rejected: u64,
}

impl Front {
    /// Reads the file anew. A file that can't be read or makes no sense must not end a program that serves:
    /// what held before goes on.
    fn reload(&mut self, now: Ms) {
        let read = std::fs::read_to_string(&self.path)
            .map_err(|why| ServeError::File { path: self.path.clone(), why })
            .and_then(|text| {
                let named = |why| ServeError::Config { path: self.path.clone(), why };
                self.served.reload(&text, now).map_err(named)
            });
        self.reloads.applied += u64::from(read.is_ok());
        self.reloads.rejected += u64::from(read.is_err());
        match read {
            Ok(()) => tracing::info!("{}: {} taken in", self.name, self.path.display()),
            Err(why) => tracing::warn!("{}: {why}; what was read before is served on", self.name),
        }
        if let Err(why) = self.place() {
            tracing::warn!("{}: {why}; the placement read before is followed on", self.name);
        }
    }

    /// What operators read.
    pub fn figures(&self) -> Figures {
        let Reloads { applied: sighup_applied, rejected: sighup_rejected } = self.reloads;
        Figures { sighup_applied, sighup_rejected, ..self.served.figures() }
    }

    /// Reads the placement, where there is one, and follows it.
    ///
    /// # Errors
    /// Names the file and what is wrong with it; then nothing has changed.
    pub fn place(&mut self) -> Result<(), ServeError> {
        let Some(path) = &self.placement else { return Ok(()) };
        let text =
            std::fs::read_to_string(path).map_err(|why| ServeError::File { path: path.clone(), why })?;
        let mut placement =
            Placement::read(&text).map_err(|why| ServeError::Placement { path: path.clone(), why })?;
        let favour = placement.coordinators.remove(&self.coordinator);
        let found = if favour.is_some() { "placed" } else { "not named" };
        tracing::info!("{}: placement {}: {} is {found}", self.name, placement.version, self.coordinator);
        self.served.favour(favour);
        Ok(())
    }
}

/// Longest sleep of the loop, ms: bounds what a lost wake-up could cost.
const LONGEST_SLEEP: Ms = 1000.0;

/// A loop that takes signals from now on. It is made before anything listens: a signal that came earlier would end the
/// process, and whoever sees an address answer may send one.
///
/// # Errors
/// Tells what the system refused.
pub fn new_loop() -> Result<Loop, ServeError> {
    let refused = |what| move |error: calloop::Error| ServeError::System { what, why: error.to_string() };
    let event_loop = Loop::try_new().map_err(refused("an event loop"))?;
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP, Signal::SIGUSR1])
        .map_err(refused("signals"))?;
    event_loop
        .handle()
        .insert_source(signals, |event, _, gathered: &mut Gathered| gathered.signals.push(event.signal()))
        .map_err(|error| ServeError::System { what: "signals", why: error.to_string() })?;
    Ok(event_loop)
}

/// Runs the loop over all fronts until they have ended in order. `SIGTERM` and `SIGINT` begin the end;
/// `SIGHUP` has the files read anew; `SIGUSR1` prints the counters. Operators' calls are answered until the end.
///
/// # Errors
/// Tells what the system refused.
pub fn run(
    mut event_loop: Loop,
    clock: Clock,
    mut fronts: Vec<Front>,
    mut admin: Option<Admin>,
) -> Result<(), ServeError> {
    let system = |what| move |error: calloop::Error| ServeError::System { what, why: error.to_string() };
    let mut gathered = Gathered::default();
    loop {
        let now = clock.now();
        let due = fronts.iter().filter_map(|front| front.served.next_due(now));
        let due = due.chain(admin.as_ref().and_then(Admin::next_due));
        let due = due.fold(now + LONGEST_SLEEP, f64::min);
        let sleep = Duration::from_micros(((due - now).max(0.0) * 1000.0).ceil() as u64);
        event_loop.dispatch(sleep, &mut gathered).map_err(system("the event loop"))?;
        let now = clock.now();
        let signals = std::mem::take(&mut gathered.signals);
        for front in &mut fronts {
            if signals.contains(&Signal::SIGHUP) {
                front.reload(now);
            }
            if signals.iter().any(|signal| matches!(signal, Signal::SIGTERM | Signal::SIGINT)) {
                front.served.end(now);
            }
            front.served.turn(now, &gathered.ready);
            front.served.turned(clock.now());
        }
        if let Some(admin) = &mut admin {
            admin.turn(now, &gathered.ready, &fronts);
        }
        gathered.ready.clear();
        let ended = fronts.iter().all(|front| front.served.has_ended(now));
        if ended || signals.contains(&Signal::SIGUSR1) {
            for front in &fronts {
                tracing::info!("{}: {}", front.name, front.served.counters());
                front.served.trail().iter().for_each(|line| tracing::info!("{}: trail: {line}", front.name));
            }
        }
        if ended {
            return Ok(());
        }
    }
}

/// A socket and its place in the loop.
struct Watched<S: AsFd + 'static> {
    socket: Rc<S>,
    token: RegistrationToken,
    handle: LoopHandle<'static, Gathered>,
}

impl<S: AsFd + 'static> Watched<S> {
    /// Watches a socket, edge by edge: it is read and written until it would block.
    fn new(handle: &LoopHandle<'static, Gathered>, server: usize, key: Key, socket: S) -> io::Result<Self> {
        let socket = Rc::new(socket);
        let source = Generic::new(socket.clone(), Interest::BOTH, Mode::Edge);
        let token = handle
            .insert_source(source, move |_, _, gathered: &mut Gathered| {
                gathered.ready.push((server, key));
                Ok(PostAction::Continue)
            })
            .map_err(|error| io::Error::other(error.to_string()))?;
        Ok(Watched { socket, token, handle: handle.clone() })
    }
}

impl<S: AsFd + 'static> Drop for Watched<S> {
    fn drop(&mut self) {
        self.handle.remove(self.token);
    }
}

/// Reads what is there, up to `limit` bytes; tells whether the other side has ended the connection.
fn read_all(mut socket: &TcpStream, limit: usize, into: &mut Vec<u8>) -> bool {
    let mut buffer = [0; 16 * 1024];
    while into.len() < limit {
        match socket.read(&mut buffer) {
            Ok(0) => return true,
            Ok(count) => into.extend_from_slice(&buffer[..count]),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return false,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(_) => return true,
        }
    }
    false
}

/// Opens a connection without waiting for it.
fn connect(to: SocketAddr) -> io::Result<TcpStream> {
    let socket = socket2::Socket::new(socket2::Domain::for_address(to), socket2::Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    match socket.connect(&to.into()) {
        Ok(()) => {}
        Err(error) if error.raw_os_error() == Some(115) || error.kind() == io::ErrorKind::WouldBlock => {}
        Err(error) => return Err(error),
    }
    Ok(socket.into())
}
