//! One server: a listener with its clients, the pool of node connections, the roster's stream and a core.

mod beside;
mod clients;
mod nodes;
mod roster;

use super::client::{ClientConn, ClientState};
use super::figures::Figures;
use super::node::{Called, NodeConn, NodeState, Purpose};
use super::trail::Trail;
use super::{Dialect, Gathered, Key, Loop, News, Roster, Served, Watched};
use crate::core::{AttemptId, Core, Counters, Effect, Input};
use crate::favours::Favours;
use crate::interface::*;
use crate::members::clock::Standing;
use crate::net;
use crate::settings::{ConfigError, Transport, Tuned};
use calloop::LoopHandle;
use placement::Favour;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};

/// Share of the idle time after which a connection is retired: well before the other side closes it.
const RETIRE_SHARE: f64 = 0.8;
/// Descriptors kept free for the loop itself, logs, signals and the roster.
const RESERVE: usize = 64;
/// After the order to end: how long idle connections stay, and how long the program does, at least, ms. Clients may go on
/// opening connections for 0.4 s; one that comes after the longer time holds up the end by a whole request only.
const LINGER_IDLE: Ms = 500.0;
const LINGER: Ms = 800.0;
/// The platform kills a program so long after the longest deadline from the order to end, ms, and counts a
/// longer deadline as this one.
const KILL_SLACK: Ms = 700.0;
const KILL_DEADLINE: Ms = 3000.0;
/// Kept back from that kill, ms: the last answers must leave before it.
const KILL_SPARE: Ms = 100.0;
/// A connection without a request for so long, ms, is not about to bring one: a client writes as it connects.
const QUIET: Ms = 100.0;
/// A request that has not come in whole for so long does not hold up the end, ms; after the longer time it
/// makes room for other clients.
const STALE_REQUEST: Ms = 1000.0;
const STALE_CLIENT: Ms = 10_000.0;
/// A client's connection may be closed when it has stood so long without a request, ms; a request that is not
/// whole after so long is given up: its client is owed an answer 3 s after it connected.
const IDLE_CLIENT: Ms = 2000.0;
const SLOW_REQUEST: Ms = 2500.0;
/// Share of the clients' descriptors that connections without a request may take up. Clients that ask once and
/// keep their connection would shut out all others.
const IDLE_SHARE: f64 = 0.25;
/// How long a connection lingers for the client to end it, ms.
const LINGER_CLOSE: Ms = 1000.0;
/// Time for the answer to a probe, ms: one that a hung node never answers must not keep its connection in use.
const PROBE_TIME: Ms = 1000.0;
/// Usual answers' times after which a connection that carries something is held for silent. The connections to
/// one node beyond which its silent ones are used again.
const SILENCE: f64 = 4.0;
const MOST_SILENT: usize = 3;
/// Share of that time which an overtaken connection has left to speak: after a pause of the node, the answers
/// on all its connections come at about the same time.
const OVERTAKEN: f64 = 0.25;
/// Bytes taken from one connection in a turn: whoever sends without end must not keep the loop from the others.
const TURN_READ: usize = 64 * 1024;

struct Client {
    link: Watched<TcpStream>,
    conn: ClientConn,
}

impl Client {
    /// When its connection has stood without a request, with a part of one, or with an answer that is not read, for
    /// too long.
    fn time_limit(&self, crowded: bool, slow_reader: Ms) -> Option<Ms> {
        if let Some(since) = self.conn.unwritten_since() {
            return Some(since + slow_reader);
        }
        let idle = self.conn.is_idle() && (crowded || !self.conn.has_asked());
        let idle = idle.then_some(self.conn.active_at + IDLE_CLIENT);
        idle.or(self.conn.incomplete_since().map(|since| since + SLOW_REQUEST))
    }
}

struct Node {
    link: Watched<TcpStream>,
    conn: NodeConn,
    replica: ReplicaId,
    addr: SocketAddr,
}

/// The roster's stream: how it stands, its connection unless it is down, and whether its loss has been logged.
struct Stream {
    standing: Standing,
    link: Option<Watched<TcpStream>>,
    said_lost: bool,
}

/// How an orderly end runs, in time from the order to end.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ending {
    /// Until then clients' connections are kept and served as ever: nobody else may be there to serve them
    /// while coordinators are restarted in turn.
    pub last_call: Ms,
    /// By then every query that is taken meanwhile has its final answer.
    pub last_answer: Ms,
}

impl Ending {
    /// A query that comes before the last call still has its whole wanted time before the kill.
    pub fn of(classes: &[Class]) -> Ending {
        let longest = |time: fn(&Class) -> Ms| classes.iter().map(time).fold(0.0, f64::max);
        let last_answer = longest(|class| class.deadline).min(KILL_DEADLINE) + KILL_SLACK - KILL_SPARE;
        let last_call = (last_answer - longest(|class| class.aim)).max(LINGER_IDLE);
        Ending { last_call, last_answer }
    }
}

/// How many descriptors a server may hold.
#[derive(Debug, Clone, Copy)]
pub struct Sockets {
    /// Clients' connections.
    pub clients: usize,
    /// Connections to nodes.
    pub nodes: usize,
}

impl Sockets {
    /// Shares out a limit on descriptors among so many fronts of a process: most go to clients, who can't be
    /// told to be fewer.
    pub fn of(limit: usize, fronts: usize) -> Sockets {
        let free = (limit.saturating_sub(RESERVE) / fronts.max(1)).max(8);
        Sockets { clients: free * 3 / 4, nodes: free / 4 }
    }
}

/// The longest time that any client waits.
fn longest_deadline(settings: &Settings) -> Ms {
    settings.classes.iter().map(|class| class.deadline).fold(0.0, f64::max)
}

/// One front with its core and its sockets.
pub struct Server<D: Dialect> {
    number: usize,
    handle: LoopHandle<'static, Gathered>,
    dialect: D,
    core: Core<D::Value>,
    limits: Transport,
    sockets: Sockets,
    /// Where clients connect, and what listens there until a process that was replaced has emptied its queue.
    address: SocketAddr,
    listener: Option<Watched<TcpListener>>,
    is_directed: bool,
    accept_again: bool,
    clients: BTreeMap<u64, Client>,
    asked: HashMap<RequestId, u64>,
    nodes: BTreeMap<u64, Node>,
    addrs: HashMap<ReplicaId, SocketAddr>,
    /// On which connection an attempt is, and of which query.
    placed: HashMap<AttemptId, (u64, RequestId)>,
    trail: Trail,
    favours: Favours,
    roster: Option<Box<dyn Roster>>,
    stream: Stream,
    /// Sockets that had more to read than one turn takes: the loop tells of readiness once.
    unread: Vec<Key>,
    /// How long an answer may take to be read, ms: the longest time that any client waits.
    slow_reader: Ms,
    /// The system refused a client's connection, and that was logged.
    refused: bool,
    inputs: Vec<Input<D::Value>>,
    next_key: u64,
    ending: Ending,
    ending_since: Option<Ms>,
    beside: Option<beside::Beside>,
    /// It was ordered to end, and another process has taken its place.
    is_replaced: bool,
}

impl<D: Dialect> Server<D> {
    /// Listens and takes in the list as it was known last.
    ///
    /// # Errors
    /// Tells why the address can't be listened on.
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        event_loop: &Loop,
        number: usize,
        dialect: D,
        core: Core<D::Value>,
        limits: Transport,
        sockets: Sockets,
        listen: SocketAddr,
        known: Option<News>,
        roster: Option<Box<dyn Roster>>,
    ) -> io::Result<Self> {
        let handle = event_loop.handle();
        let slow_reader = longest_deadline(core.settings());
        let listening = net::listen::listen(listen)?;
        let address = listening.socket.local_addr()?;
        let listener = Some(Watched::new(&handle, number, Key::Listener, listening.socket)?);
        let mut server = Server {
            number,
            handle,
            dialect,
            ending: Ending::of(&core.settings().classes),
            core,
            limits,
            sockets,
            address,
            listener,
            is_directed: listening.is_directed,
            accept_again: true,
            clients: BTreeMap::new(),
            asked: HashMap::new(),
            nodes: BTreeMap::new(),
            addrs: HashMap::new(),
            placed: HashMap::new(),
            trail: Trail::default(),
            favours: Favours::default(),
            roster,
            stream: Stream { standing: Standing::Down(f64::NEG_INFINITY), link: None, said_lost: false },
            unread: Vec::new(),
            slow_reader,
            refused: false,
            inputs: Vec::new(),
            next_key: 1,
            ending_since: None,
            beside: None,
            is_replaced: false,
        };
        known.into_iter().for_each(|news| server.take_news(news));
        // Whoever connects first finds a server that knows its nodes.
        server.step(0.0);
        Ok(server)
    }

    /// Where clients connect.
    pub fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Whether an orderly end has come to the point where clients' connections are let go.
    fn is_closing(&self, now: Ms) -> bool {
        self.is_replaced || self.ending_since.is_some_and(|since| now - since >= self.ending.last_call)
    }

    fn retire_after(&self) -> Ms {
        self.limits.idle_close * RETIRE_SHARE
    }

    fn watch_time(&mut self, now: Ms) {
        let (dial, retire) = (self.limits.dial_timeout, self.retire_after());
        let spared = OVERTAKEN * self.silence_limit();
        let lost = |node: &Node| node.conn.overtaken.is_some_and(|at| now - at >= spared);
        let lost: Vec<u64> = self.nodes.iter().filter(|(_, node)| lost(node)).map(|(key, _)| *key).collect();
        lost.into_iter().for_each(|key| self.close_node(key, "silent while the node answers elsewhere"));
        let due = |node: &Node| match node.conn.state() {
            NodeState::Connecting(since) => now - since >= dial,
            state => {
                node.conn.is_idle() && (state == NodeState::Retired || now - node.conn.active_at >= retire)
            }
        };
        let due: Vec<u64> = self.nodes.iter().filter(|(_, node)| due(node)).map(|(key, _)| *key).collect();
        due.into_iter().for_each(|key| self.close_node(key, "its time is over"));
        let mut begun = Vec::new();
        for (key, node) in &mut self.nodes {
            for _ in 0..node.conn.expire_probes(now - PROBE_TIME, now) {
                self.inputs.push(Input::Probed(node.replica, Outcome::TooSlow, Report::default()));
            }
            if node.conn.leave_by().is_none_or(|at| at > now) {
                continue;
            }
            let late = node.conn.expire_frames(now);
            begun.extend(late.is_none().then_some(*key));
            for id in late.into_iter().flatten() {
                self.placed.remove(&id);
                self.inputs.push(Input::Ended(id, Outcome::NotSent));
            }
        }
        begun.into_iter().for_each(|key| self.close_node(key, "a repeat would outlast its window"));
        if self.is_closing(now) {
            let quiet = |client: &Client| client.conn.is_quiet(now - QUIET);
            let quiet: Vec<u64> =
                self.clients.iter().filter(|(_, c)| quiet(c)).map(|(key, _)| *key).collect();
            quiet.into_iter().for_each(|key| self.close_idle(key, now));
        }
        self.watch_clients(now);
        self.keep_to_share(now);
        let lingers = |client: &Client| match client.conn.state() {
            ClientState::Lingering(since) => now - since < LINGER_CLOSE,
            _ => true,
        };
        self.clients.retain(|_, client| lingers(client));
        if self.roster.is_some() && now >= self.stream.standing.ask_again_at() {
            self.dial_roster(now);
        }
    }

    /// Takes in settings that have changed.
    fn retune(&mut self, now: Ms) {
        let Some(Tuned { settings, limits }) = self.dialect.retuned(now) else { return };
        self.ending = Ending::of(&settings.classes);
        self.slow_reader = longest_deadline(&settings);
        self.limits = limits;
        self.core.retune(settings, limits);
    }

    /// Takes in news of the list of replicas.
    pub fn take_news(&mut self, news: News) {
        let on = news.entries.iter().filter(|entry| entry.lifecycle == Lifecycle::On).count();
        tracing::info!("{:?} list: {} replicas, {on} in service", news.kind, news.entries.len());
        self.addrs.extend(news.addrs);
        if self.favours.listed(&news.names) && self.favours.is_placed() {
            self.follow();
        }
        self.inputs.push(Input::List(news.kind, news.entries));
    }

    /// Puts the placement in the terms of the list as it is now.
    fn follow(&mut self) {
        let (weights, fit) = self.favours.resolve();
        let (count, unlisted, unplaced) = (weights.len(), fit.unlisted.join(" "), fit.unplaced.join(" "));
        tracing::info!(count, unlisted, unplaced, "placement followed");
        self.core.favour(weights);
    }

    /// Opens one connection that the placement wants warm, where a node in service has none.
    fn warm_up(&mut self, now: Ms) {
        let (nodes, core) = (&self.nodes, &self.core);
        let lacks = |id: ReplicaId| core.may_send_to(id) && !nodes.values().any(|node| node.replica == id);
        if let Some(replica) = self.favours.next_warm(now, lacks) {
            self.core.counters.warmed += u64::from(self.node_for(replica, now).is_some());
        }
    }

    /// Lets the core make one step with all that was gathered, and carries out what it says.
    fn step(&mut self, now: Ms) {
        let mut effects = Vec::new();
        let inputs = std::mem::take(&mut self.inputs);
        self.core.step(now, inputs, &mut effects);
        let mut touched = BTreeSet::new();
        for effect in effects {
            self.carry_out(effect, now, &mut touched);
        }
        for key in touched {
            self.write_node(key, now);
        }
    }

    fn carry_out(&mut self, effect: Effect<D::Value>, now: Ms, touched: &mut BTreeSet<u64>) {
        match effect {
            Effect::Send(send) => {
                let (id, replica) = (send.attempt, send.replica);
                if send.late && self.is_late(id, now) {
                    self.core.counters.copies_spared += 1;
                    return self.inputs.push(Input::Ended(id, Outcome::NotSent));
                }
                let (name, bytes) = self.dialect.frame(&send, now);
                if let Some(key) = self.push(replica, Purpose::Part(id, name), bytes, now, touched) {
                    self.placed.insert(id, (key, send.query));
                }
                // The earlier attempts too: whichever of them leaves last must not leave outside the window.
                for number in send.leave_by.iter().flat_map(|_| 0..=id.number) {
                    let earlier = AttemptId { number, ..id };
                    let node = self.placed.get(&earlier).and_then(|(key, _)| self.nodes.get_mut(key));
                    node.into_iter().zip(send.leave_by).for_each(|(n, at)| n.conn.must_leave_by(earlier, at));
                }
            }
            Effect::Probe(replica) => {
                if let Some(bytes) = self.dialect.probe() {
                    self.push(replica, Purpose::Probe(now), bytes, now, touched);
                }
            }
            Effect::Cancel(id, _) => {
                let Some((key, _)) = self.placed.remove(&id) else { return };
                let Some(node) = self.nodes.get_mut(&key) else { return };
                // A connection that bears one call has a notice wait unread behind it, until that call has run.
                let notice = |name: &str| self.dialect.cancel(name).filter(|_| self.limits.streams > 1);
                match node.conn.cancel(id, notice, now) {
                    Called::MustClose => self.close_node(key, "an attempt was called off"),
                    Called::Told | Called::Removed => {
                        touched.insert(key);
                    }
                }
            }
            Effect::Withdraw(id) => {
                let node = self.placed.get(&id).and_then(|(key, _)| self.nodes.get_mut(key));
                if node.is_some_and(|node| node.conn.withdraw(id, now)) {
                    self.placed.remove(&id);
                    self.inputs.push(Input::Ended(id, Outcome::NotSent));
                }
            }
            Effect::DropUnsent(replica) => {
                let mut dropped = Vec::new();
                for node in self.nodes.values_mut().filter(|node| node.replica == replica) {
                    dropped.extend(node.conn.drop_unsent(now));
                }
                for purpose in dropped {
                    self.end_call(replica, purpose, Outcome::NotSent);
                }
            }
            Effect::Answer(query, whole, values) => {
                let response = self.dialect.answer(query, whole, values, now);
                self.final_answer(query, response, now);
            }
            Effect::Refuse(query, after) => {
                let response = self.dialect.refuse(query, after);
                self.final_answer(query, response, now);
            }
            Effect::Fail(query, why, after) => {
                let response = self.dialect.fail(query, why, after);
                self.final_answer(query, response, now);
            }
            Effect::Log(line) => tracing::info!("{line}"),
        }
    }
}

impl<D: Dialect> Served for Server<D> {
    fn reload(&mut self, text: &str, now: Ms) -> Result<(), ConfigError> {
        // All of the file is judged before anything of it is used.
        let reload = self.dialect.reload(text, now)?;
        let moved = self.roster.as_mut().zip(reload.roster).is_some_and(|(roster, at)| roster.move_to(at));
        if moved {
            // The old place may take connections no more and end this one: the new one is asked at once.
            self.dial_roster(now);
        }
        Ok(())
    }

    fn favour(&mut self, favour: Option<Favour>) {
        self.favours.placed(favour);
        self.follow();
    }

    fn takes_clients(&self) -> bool {
        // Where another process has taken its place, the coordinator does not end.
        self.core.can_serve() && (self.ending_since.is_none() || self.is_replaced)
    }

    fn end(&mut self, now: Ms) {
        if self.ending_since.replace(self.ending_since.unwrap_or(now)).is_none() {
            // What is not answered when the platform kills the program is lost.
            self.core.end_by(now + self.ending.last_answer);
            self.exchange(now);
        }
    }

    fn has_ended(&self, now: Ms) -> bool {
        let Some(since) = self.ending_since else { return false };
        // Who has not read its answer by then can tell that it is not whole; the kill would be no better.
        if now >= since + self.ending.last_answer + KILL_SPARE / 2.0 {
            return true;
        }
        let fresh = |client: &Client| client.conn.is_idle() && !client.conn.is_quiet(now - QUIET);
        // The end of the process closes over what a client still sends, and that reset may cost it the answer.
        let leaves = |client: &Client| matches!(client.conn.state(), ClientState::Lingering(_));
        let settled = |c: &Client| {
            let late = c.conn.came_without_request(since + LINGER);
            late || c.conn.may_go(now - STALE_REQUEST) && !fresh(c) && !leaves(c)
        };
        let over = self.clients.is_empty() || self.is_closing(now) && self.clients.values().all(settled);
        over && if self.is_replaced { self.listener.is_none() } else { now - since >= LINGER }
    }

    fn next_due(&self, now: Ms) -> Option<Ms> {
        // A client that waits to be accepted, in a turn that has made room since it last looked.
        let room = || self.clients.len() < self.allowed().clients || self.spare_client(now).is_some();
        let waits = self.accept_again && !self.refused && room();
        if !self.inputs.is_empty() || !self.unread.is_empty() || waits {
            return Some(now);
        }
        let roster = self.roster.as_ref().map(|_| self.stream.standing.ask_again_at());
        let nodes = self.nodes.values().filter_map(|node| match node.conn.state() {
            NodeState::Connecting(since) => Some(since + self.limits.dial_timeout),
            _ if node.conn.is_idle() => Some(node.conn.active_at + self.retire_after()),
            _ => node.conn.oldest_probe().map(|sent| sent + PROBE_TIME),
        });
        let leave_by = self.nodes.values().filter_map(|node| node.conn.leave_by());
        let overtaken = self.nodes.values().filter_map(|node| node.conn.overtaken);
        let overtaken = overtaken.map(|at| at + OVERTAKEN * self.silence_limit());
        let nodes = nodes.chain(overtaken);
        let ending = self.ending_since.map(|_| now + 50.0);
        let crowded = self.is_crowded();
        let lingering = self.clients.values().filter_map(|client| match client.conn.state() {
            ClientState::Lingering(since) => Some(since + LINGER_CLOSE),
            _ => client.time_limit(crowded, self.slow_reader),
        });
        let warm = self.favours.next_due();
        nodes
            .chain(leave_by)
            .chain(warm)
            .chain(lingering)
            .chain(roster)
            .chain(ending)
            .chain(self.exchange_due())
            .chain(self.core.next_step())
            .min_by(f64::total_cmp)
    }

    fn turn(&mut self, now: Ms, ready: &[(usize, Key)]) {
        self.retune(now);
        let mine = self.number;
        let ready = ready.iter().filter(|(number, _)| *number == mine).map(|(_, key)| *key);
        let unread = std::mem::take(&mut self.unread);
        for key in unread.into_iter().chain(ready) {
            match key {
                Key::Listener => self.accept_again = true,
                Key::Client(key) => self.serve_client(key, now),
                Key::Node(key) => self.serve_node(key, now),
                Key::Roster(_) => self.serve_roster(now),
            }
        }
        if self.exchange_due().is_some_and(|at| at <= now) {
            self.exchange(now);
        }
        if self.accept_again {
            self.accept(now);
        }
        self.close_listener(now);
        self.watch_time(now);
        if self.ending_since.is_none() {
            self.warm_up(now);
        }
        self.step(now);
    }

    fn turned(&mut self, now: Ms) {
        self.trail.turned(now);
    }

    fn trail(&self) -> Vec<String> {
        self.trail.near().map(ToString::to_string).collect()
    }

    fn counters(&self) -> &Counters {
        &self.core.counters
    }

    fn figures(&self) -> Figures {
        Figures {
            results: self.dialect.results(),
            forwards: self.core.counters.written,
            outstanding: self.asked.len(),
            discovered: self.core.listed(),
            ejected: self.core.avoided(),
            ..Figures::default()
        }
    }
}
