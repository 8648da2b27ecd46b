//! One server: a listener with its clients, the pool of node connections, the roster's stream and a core.

use super::client::{ClientConn, ClientState};
use super::node::{Called, NodeConn, NodeState, Purpose};
use super::{connect, read_all, Dialect, Gathered, Key, Loop, News, NodeReply, Roster, Take, Watched};
use crate::core::{AttemptId, Core, Effect, Input};
use crate::interface::*;
use crate::settings::Transport;
use calloop::LoopHandle;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};

/// Share of the idle time after which a connection is retired: well before the other side closes it.
const RETIRE_SHARE: f64 = 0.8;
/// Descriptors kept free for the loop itself, logs, signals and the roster.
const RESERVE: usize = 64;
/// Silence after which the roster's stream counts as broken, ms: its heartbeat comes every 2 s.
const ROSTER_SILENCE: Ms = 3000.0;
/// Time for the roster's connection to come up, and pause before the next one, ms.
const ROSTER_DIAL: Ms = 1000.0;
const ROSTER_PAUSE: Ms = 200.0;
/// After the order to end: how long idle connections stay, and how long the program does at least, ms.
/// Clients may go on opening connections for 0.4 s.
const LINGER_IDLE: Ms = 500.0;
const LINGER: Ms = 800.0;
/// A request that has not come in whole for so long does not hold up the end, ms; after the longer time it
/// makes room for other clients.
const STALE_REQUEST: Ms = 1000.0;
const STALE_CLIENT: Ms = 10_000.0;
/// How long a connection lingers for the client to end it, ms.
const LINGER_CLOSE: Ms = 1000.0;
/// Time for the answer to a probe, ms: one that a hung node never answers must not keep its connection in use.
const PROBE_TIME: Ms = 1000.0;
/// Bytes taken from a node's connection at a time.
const NODE_READ: usize = 1 << 20;

struct Client {
    link: Watched<TcpStream>,
    conn: ClientConn,
}

struct Node {
    link: Watched<TcpStream>,
    conn: NodeConn,
    replica: ReplicaId,
    addr: SocketAddr,
}

enum Stream {
    /// Not there; tried again then.
    Down(Ms),
    Connecting(Ms, Watched<TcpStream>),
    /// Up, last heard of then.
    Up(Ms, Watched<TcpStream>),
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

/// One front with its core and its sockets.
pub struct Server<D: Dialect> {
    number: usize,
    handle: LoopHandle<'static, Gathered>,
    dialect: D,
    core: Core<D::Value>,
    limits: Transport,
    sockets: Sockets,
    listener: Watched<TcpListener>,
    accept_again: bool,
    clients: BTreeMap<u64, Client>,
    asked: HashMap<RequestId, u64>,
    nodes: BTreeMap<u64, Node>,
    addrs: HashMap<ReplicaId, SocketAddr>,
    placed: HashMap<AttemptId, u64>,
    roster: Option<Box<dyn Roster>>,
    stream: Stream,
    inputs: Vec<Input<D::Value>>,
    next_key: u64,
    ending_since: Option<Ms>,
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
        let socket = TcpListener::bind(listen)?;
        socket.set_nonblocking(true)?;
        let listener = Watched::new(&handle, number, Key::Listener, socket)?;
        let mut server = Server {
            number,
            handle,
            dialect,
            core,
            limits,
            sockets,
            listener,
            accept_again: true,
            clients: BTreeMap::new(),
            asked: HashMap::new(),
            nodes: BTreeMap::new(),
            addrs: HashMap::new(),
            placed: HashMap::new(),
            roster,
            stream: Stream::Down(0.0),
            inputs: Vec::new(),
            next_key: 1,
            ending_since: None,
        };
        known.into_iter().for_each(|news| server.take_news(news));
        Ok(server)
    }

    /// Where clients connect.
    ///
    /// # Errors
    /// Passes on what the system says.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.socket.local_addr()
    }

    /// What is counted.
    pub fn counters(&self) -> &crate::core::Counters {
        &self.core.counters
    }

    /// Begins an orderly end: what was taken is answered, and new connections are still served for a while.
    pub fn end(&mut self, now: Ms) {
        self.ending_since.get_or_insert(now);
    }

    /// Whether the orderly end is complete.
    pub fn has_ended(&self, now: Ms) -> bool {
        let settled = |client: &Client| client.conn.may_go(now - STALE_REQUEST);
        self.ending_since.is_some_and(|since| now - since >= LINGER) && self.clients.values().all(settled)
    }

    /// When this server has something to do without any socket being ready.
    pub fn next_due(&self, now: Ms) -> Option<Ms> {
        if !self.inputs.is_empty() {
            return Some(now);
        }
        let roster = self.roster.as_ref().map(|_| match &self.stream {
            Stream::Down(at) => *at,
            Stream::Connecting(since, _) => since + ROSTER_DIAL,
            Stream::Up(heard, _) => heard + ROSTER_SILENCE,
        });
        let nodes = self.nodes.values().filter_map(|node| match node.conn.state() {
            NodeState::Connecting(since) => Some(since + self.limits.dial_timeout),
            _ if node.conn.is_idle() => Some(node.conn.active_at + self.retire_after()),
            _ => node.conn.oldest_probe().map(|sent| sent + PROBE_TIME),
        });
        let ending = self.ending_since.map(|_| now + 50.0);
        let lingering = self.clients.values().filter_map(|client| match client.conn.state() {
            ClientState::Lingering(since) => Some(since + LINGER_CLOSE),
            _ => None,
        });
        nodes.chain(lingering).chain(roster).chain(ending).chain(self.core.next_step()).min_by(f64::total_cmp)
    }

    fn retire_after(&self) -> Ms {
        self.limits.idle_close * RETIRE_SHARE
    }

    /// One turn: reads what is ready, lets the core make one step and carries out what it says.
    pub fn turn(&mut self, now: Ms, ready: &[(usize, Key)]) {
        let mine = self.number;
        for (_, key) in ready.iter().filter(|(number, _)| *number == mine) {
            match key {
                Key::Listener => self.accept_again = true,
                Key::Client(key) => self.serve_client(*key, now),
                Key::Node(key) => self.serve_node(*key, now),
                Key::Roster(_) => self.serve_roster(now),
            }
        }
        if self.accept_again {
            self.accept(now);
        }
        self.watch_time(now);
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

    // ---- Clients ----------------------------------------------------------------------------------------

    fn accept(&mut self, now: Ms) {
        loop {
            if self.clients.len() >= self.sockets.clients {
                // Closing between requests is allowed: the longest idle client makes room.
                let idle = self.clients.iter().filter(|(_, client)| client.conn.may_go(now - STALE_CLIENT));
                let oldest = idle.min_by(|a, b| a.1.conn.active_at.total_cmp(&b.1.conn.active_at));
                let Some(key) = oldest.map(|(key, _)| *key) else { return };
                self.clients.remove(&key);
            }
            match self.listener.socket.accept() {
                Ok((socket, _)) => {
                    let _ = socket.set_nonblocking(true);
                    let _ = socket.set_nodelay(true);
                    let key = self.new_key();
                    match Watched::new(&self.handle, self.number, Key::Client(key), socket) {
                        Ok(link) => {
                            self.core.counters.connections += 1;
                            self.clients.insert(key, Client { link, conn: ClientConn::new(now) });
                            self.serve_client(key, now);
                        }
                        Err(error) => tracing::warn!("a client's connection can't be watched: {error}"),
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.accept_again = false;
                    return;
                }
                Err(error) => {
                    tracing::warn!("accept: {error}");
                    return;
                }
            }
        }
    }

    fn new_key(&mut self) -> u64 {
        self.next_key += 1;
        self.next_key
    }

    fn serve_client(&mut self, key: u64, now: Ms) {
        loop {
            let Some(client) = self.clients.get_mut(&key) else { return };
            let mut bytes = Vec::new();
            let wanted = client.conn.wants_input();
            let ended = wanted && read_all(&client.link.socket, super::http::BODY_LIMIT, &mut bytes);
            if !bytes.is_empty() {
                client.conn.received(&bytes, now);
            }
            self.take_requests(key, now);
            self.write_client(key, ended, now);
            if ended || bytes.is_empty() {
                return;
            }
        }
    }

    fn take_requests(&mut self, key: u64, now: Ms) {
        let closing = self.ending_since.is_some();
        while let Some(client) = self.clients.get_mut(&key) {
            let Some(request) = client.conn.next_request() else { return };
            let request = match request {
                Ok(request) => request,
                Err(bad) => {
                    self.core.counters.bad_requests += 1;
                    client.conn.answer(&self.dialect.bad(bad), true, now);
                    return;
                }
            };
            let id = self.core.new_id();
            let at = client.conn.request_at;
            let can_serve = self.core.can_serve() && !closing;
            match self.dialect.take(id, &request, at, can_serve) {
                Take::Query(query) => {
                    client.conn.asked(id);
                    self.asked.insert(id, key);
                    self.inputs.push(Input::Query(id, query));
                }
                Take::Answer(response) => {
                    self.core.counters.bad_requests += u64::from((400..429).contains(&response.status));
                    client.conn.answer(&response, closing, now);
                }
            }
        }
    }

    /// Writes what a client's connection has for it; `ended` tells that the client has gone.
    fn write_client(&mut self, key: u64, mut ended: bool, now: Ms) {
        let Some(client) = self.clients.get_mut(&key) else { return };
        while !ended && !client.conn.output().is_empty() {
            match (&*client.link.socket).write(client.conn.output()) {
                Ok(0) => ended = true,
                Ok(count) => client.conn.wrote(count),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => ended = true,
            }
        }
        if client.conn.linger(now) {
            let _ = client.link.socket.shutdown(Shutdown::Write);
        }
        if ended {
            if let ClientState::Asked(id) = client.conn.state() {
                self.asked.remove(&id);
                self.dialect.gone(id);
                self.inputs.push(Input::Gone(id));
            }
            self.clients.remove(&key);
        }
    }

    fn final_answer(&mut self, id: RequestId, response: super::http::Response, now: Ms) {
        let Some(key) = self.asked.remove(&id) else { return };
        let Some(client) = self.clients.get_mut(&key) else { return };
        client.conn.answer(&response, self.ending_since.is_some(), now);
        self.write_client(key, false, now);
        // A further request may have come while this one was being answered.
        self.serve_client(key, now);
    }

    // ---- Nodes ------------------------------------------------------------------------------------------

    /// A connection to the replica with room for one more call; opens one where there is none.
    fn node_for(&mut self, replica: ReplicaId, now: Ms) -> Option<u64> {
        let addr = *self.addrs.get(&replica)?;
        let (streams, retire) = (self.limits.streams, self.retire_after());
        let fits = |node: &Node| {
            node.replica == replica && node.addr == addr && node.conn.has_room(streams, retire, now)
        };
        let fit = self.nodes.iter().filter(|(_, node)| fits(node));
        let best = fit.min_by_key(|(_, node)| (node.conn.state() != NodeState::Open, node.conn.load()));
        if let Some((key, _)) = best {
            return Some(*key);
        }
        if self.nodes.len() >= self.sockets.nodes {
            let idle = self.nodes.iter().find(|(_, node)| node.conn.is_idle()).map(|(key, _)| *key)?;
            self.close_node(idle, "making room");
        }
        let key = self.new_key();
        let socket = connect(addr).ok()?;
        let link = Watched::new(&self.handle, self.number, Key::Node(key), socket).ok()?;
        self.nodes.insert(key, Node { link, conn: NodeConn::new(now), replica, addr });
        Some(key)
    }

    fn serve_node(&mut self, key: u64, now: Ms) {
        let Some(node) = self.nodes.get_mut(&key) else { return };
        if let NodeState::Connecting(_) = node.conn.state() {
            match node.link.socket.take_error() {
                Ok(None) if node.link.socket.peer_addr().is_ok() => node.conn.connected(now),
                Ok(None) => return,
                _ => return self.close_node(key, "could not connect"),
            }
        }
        let mut bytes = Vec::new();
        let ended = read_all(&node.link.socket, NODE_READ, &mut bytes);
        if !bytes.is_empty() {
            node.conn.active_at = now;
            node.conn.input.extend_from_slice(&bytes);
        }
        loop {
            let Some(node) = self.nodes.get_mut(&key) else { return };
            match self.dialect.reply(&mut node.conn.input) {
                Ok(None) => break,
                Ok(Some(NodeReply::Load(outcome, report))) => {
                    if node.conn.probe_answered() {
                        self.inputs.push(Input::Probed(node.replica, outcome, report));
                    }
                }
                Ok(Some(NodeReply::Part(name, end, last))) => {
                    if last {
                        node.conn.retire();
                    }
                    let Some(Purpose::Part(id, _)) = node.conn.answered(name.as_deref()) else { continue };
                    self.placed.remove(&id);
                    self.inputs.push(match end {
                        Ok((score, value)) => Input::Served(id, score, value),
                        Err(outcome) => Input::Ended(id, outcome),
                    });
                }
                Err(why) => {
                    self.core.counters.bad_frames += 1;
                    return self.close_node(key, &why);
                }
            }
        }
        if ended {
            return self.close_node(key, "closed by the node");
        }
        self.write_node(key, now);
    }

    fn write_node(&mut self, key: u64, now: Ms) {
        let Some(node) = self.nodes.get_mut(&key) else { return };
        if !self.core.may_send_to(node.replica) {
            // The loop may have slept past the end of a grace: its effect is then still to come.
            let (replica, dropped) = (node.replica, node.conn.drop_unsent());
            dropped.into_iter().for_each(|purpose| self.end_call(replica, purpose, Outcome::NotSent));
        }
        let Some(node) = self.nodes.get_mut(&key) else { return };
        while !matches!(node.conn.state(), NodeState::Connecting(_)) && !node.conn.output().is_empty() {
            match (&*node.link.socket).write(node.conn.output()) {
                Ok(count) if count > 0 => node.conn.wrote(count, now),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                _ => return self.close_node(key, "broke while writing"),
            }
        }
    }

    /// Closes a node's connection; what was on it ends by whether its last byte was written.
    fn close_node(&mut self, key: u64, why: &str) {
        let Some(mut node) = self.nodes.remove(&key) else { return };
        let lost = node.conn.broken();
        if !lost.is_empty() {
            tracing::debug!("node {}: {why}, {} calls lost", node.replica.0, lost.len());
        }
        for (purpose, outcome) in lost {
            self.end_call(node.replica, purpose, outcome);
        }
    }

    fn end_call(&mut self, replica: ReplicaId, purpose: Purpose, outcome: Outcome) {
        match purpose {
            Purpose::Part(id, _) => {
                self.placed.remove(&id);
                self.inputs.push(Input::Ended(id, outcome));
            }
            Purpose::Probe(_) => self.inputs.push(Input::Probed(replica, outcome, Report::default())),
            Purpose::Other => {}
        }
    }

    // ---- Time and the roster ----------------------------------------------------------------------------

    fn watch_time(&mut self, now: Ms) {
        let (dial, retire) = (self.limits.dial_timeout, self.retire_after());
        let due = |node: &Node| match node.conn.state() {
            NodeState::Connecting(since) => now - since >= dial,
            state => {
                node.conn.is_idle() && (state == NodeState::Retired || now - node.conn.active_at >= retire)
            }
        };
        let due: Vec<u64> = self.nodes.iter().filter(|(_, node)| due(node)).map(|(key, _)| *key).collect();
        due.into_iter().for_each(|key| self.close_node(key, "its time is over"));
        for node in self.nodes.values_mut() {
            for _ in 0..node.conn.expire_probes(now - PROBE_TIME) {
                self.inputs.push(Input::Probed(node.replica, Outcome::TooSlow, Report::default()));
            }
        }
        if self.ending_since.is_some_and(|since| now - since >= LINGER_IDLE) {
            self.clients.retain(|_, client| !client.conn.is_idle());
        }
        let lingers = |client: &Client| match client.conn.state() {
            ClientState::Lingering(since) => now - since < LINGER_CLOSE,
            _ => true,
        };
        self.clients.retain(|_, client| lingers(client));
        let lost = match &self.stream {
            Stream::Down(at) => now >= *at,
            Stream::Connecting(since, _) => now - since >= ROSTER_DIAL,
            Stream::Up(heard, _) => now - heard >= ROSTER_SILENCE,
        };
        if lost && self.roster.is_some() {
            self.dial_roster(now);
        }
    }

    fn dial_roster(&mut self, now: Ms) {
        let Some(roster) = &self.roster else { return };
        let key = Key::Roster(0);
        let link =
            connect(roster.address()).and_then(|socket| Watched::new(&self.handle, self.number, key, socket));
        self.stream = match link {
            Ok(link) => Stream::Connecting(now, link),
            Err(_) => Stream::Down(now + ROSTER_PAUSE),
        };
    }

    fn serve_roster(&mut self, now: Ms) {
        let Some(roster) = &mut self.roster else { return };
        let ended = match std::mem::replace(&mut self.stream, Stream::Down(now + ROSTER_PAUSE)) {
            Stream::Down(at) => {
                self.stream = Stream::Down(at);
                return;
            }
            Stream::Connecting(since, link) => match link.socket.take_error() {
                Ok(None) if link.socket.peer_addr().is_err() => {
                    self.stream = Stream::Connecting(since, link);
                    return;
                }
                // The request is short: a fresh connection takes it in one piece.
                Ok(None) if (&*link.socket).write_all(&roster.request()).is_ok() => {
                    self.stream = Stream::Up(now, link);
                    return;
                }
                _ => true,
            },
            Stream::Up(heard, link) => {
                let mut bytes = Vec::new();
                let ended = read_all(&link.socket, NODE_READ, &mut bytes);
                let mut news = Vec::new();
                let read = roster.received(&bytes, &mut news);
                let heard = if bytes.is_empty() { heard } else { now };
                news.into_iter().for_each(|news| self.take_news(news));
                match read {
                    Ok(()) if !ended => self.stream = Stream::Up(heard, link),
                    Ok(()) => {}
                    Err(why) => tracing::warn!("roster: {why}"),
                }
                ended
            }
        };
        if ended {
            tracing::info!("roster: connection lost, asking again");
        }
    }

    /// Takes in news of the list of replicas.
    pub fn take_news(&mut self, news: News) {
        let on = news.entries.iter().filter(|entry| entry.lifecycle == Lifecycle::On).count();
        tracing::info!("{:?} list: {} replicas, {on} in service", news.kind, news.entries.len());
        self.addrs.extend(news.addrs);
        self.inputs.push(Input::List(news.kind, news.entries));
    }

    // ---- Effects ----------------------------------------------------------------------------------------

    fn carry_out(&mut self, effect: Effect<D::Value>, now: Ms, touched: &mut BTreeSet<u64>) {
        match effect {
            Effect::Send(send) => {
                let (id, replica) = (send.attempt, send.replica);
                let (name, bytes) = self.dialect.frame(&send, now);
                self.push(replica, Purpose::Part(id, name), bytes, now, touched);
            }
            Effect::Probe(replica) => {
                if let Some(bytes) = self.dialect.probe() {
                    self.push(replica, Purpose::Probe(now), bytes, now, touched);
                }
            }
            Effect::Cancel(id, _) => {
                let Some(key) = self.placed.remove(&id) else { return };
                let Some(node) = self.nodes.get_mut(&key) else { return };
                match node.conn.cancel(id, |name| self.dialect.cancel(name)) {
                    Called::MustClose => self.close_node(key, "an attempt was called off"),
                    Called::Told | Called::Removed => {
                        touched.insert(key);
                    }
                }
            }
            Effect::DropUnsent(replica) => {
                let mut dropped = Vec::new();
                for node in self.nodes.values_mut().filter(|node| node.replica == replica) {
                    dropped.extend(node.conn.drop_unsent());
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

    fn push(
        &mut self,
        replica: ReplicaId,
        purpose: Purpose,
        bytes: Vec<u8>,
        now: Ms,
        touched: &mut BTreeSet<u64>,
    ) {
        let Some(key) = self.node_for(replica, now) else {
            return self.end_call(replica, purpose, Outcome::NoRoute);
        };
        if let Purpose::Part(id, _) = &purpose {
            self.placed.insert(*id, key);
        }
        if let Some(node) = self.nodes.get_mut(&key) {
            node.conn.push(purpose, bytes);
            touched.insert(key);
        }
    }
}
