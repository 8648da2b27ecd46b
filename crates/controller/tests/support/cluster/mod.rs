//! The group, its links and its clock.

mod agents;
mod calls;
mod told;

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};

use catalog::State;
use controller::command::Reply;
use controller::duty::moves::ReplicaCall;
use controller::machine::{Effect, Input, Machine, Moment, Timing};
use links::LinkId;
use membership::{Member, Membership};
use peer::{Message, KEEPS_ENDS, PROTOCOL};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use register::{Identity, RegisterMessage, RegisterNode};

use super::disk::Disk;
use super::replicas::Replicas;
use told::Told;

const SEEDS: usize = 3;
const WALL_START_MS: u64 = 1_700_000_000_000;
/// The time for which a quota of the processor is given.
const QUOTA_PERIOD_MS: u64 = 100;
/// How much later each machine's period begins than that of the one before.
const QUOTA_SHIFT_MS: u64 = 37;

/// Ticks in a row, one each ms, after which a machine that is due again at once counts as one that spins.
const MOST_RESTLESS_TICKS: u32 = 3;

#[derive(Default)]
struct Host {
    machine: Option<Machine>,
    disk: Disk,
    ends_disk: Disk,
    started: u64,
    /// Ticks in a row after each of which it was due again at once.
    restless_ticks: u32,
    /// How far its time of day is off the true one, ms.
    wall_error_ms: i64,
}

struct Flight {
    sent: u64,
    arrives: u64,
    from: usize,
    to: usize,
    message: Message,
}

struct AgentState {
    host: usize,
    link: LinkId,
    batches: Vec<Vec<Message>>,
    reads: bool,
    /// When the batch under way is flushed.
    flush_at: Option<u64>,
}

/// What parties outside see, in order.
enum Seen {
    Replied(CallHandle),
    Told { agent: usize, batch: usize },
}

/// A call that was issued.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallHandle(u64);

/// A simulated agent.
#[derive(Debug, Clone, Copy)]
pub struct Agent(usize);

pub struct Cluster {
    pub now: u64,
    random: SmallRng,
    hosts: Vec<Host>,
    cut: BTreeSet<(usize, usize)>,
    /// Machines whose messages are lost from now on; what is on its way arrives.
    muted: BTreeSet<usize>,
    up: BTreeSet<(usize, usize)>,
    flights: Vec<Flight>,
    last_arrival: BTreeMap<(usize, usize), u64>,
    pub told: Told,
    agents: Vec<AgentState>,
    seen: Vec<Seen>,
    replies: BTreeMap<CallHandle, Reply>,
    next_call: u64,
    pub replicas: Replicas,
    /// Calls to replicas that are on their way, with when they arrive and who made them.
    replica_calls: Vec<(u64, usize, ReplicaCall)>,
    /// Bytes of other controllers' messages that arrived at each controller.
    arrived: BTreeMap<usize, usize>,
    /// Of each tenth of a second a machine runs so many ms, and stands still for the rest; machines begin at different times.
    quota_ms: u64,
    /// The version of the protocol that controllers speak.
    pub protocol: u16,
}

fn address(host: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, host as u8 + 1), 7640)
}

impl Cluster {
    /// A group that starts for the first time.
    pub fn new(seed: u64, size: usize) -> Cluster {
        let mut cluster = Cluster {
            now: 0,
            random: SmallRng::seed_from_u64(seed),
            hosts: Vec::new(),
            cut: BTreeSet::new(),
            muted: BTreeSet::new(),
            up: BTreeSet::new(),
            flights: Vec::new(),
            last_arrival: BTreeMap::new(),
            told: Told::default(),
            agents: Vec::new(),
            seen: Vec::new(),
            replies: BTreeMap::new(),
            next_call: 1,
            replicas: Replicas { load_ms: 300, ..Replicas::default() },
            replica_calls: Vec::new(),
            arrived: BTreeMap::new(),
            quota_ms: QUOTA_PERIOD_MS,
            protocol: PROTOCOL,
        };
        for host in 0..size {
            cluster.hosts.push(Host::default());
            cluster.start(host, true);
        }
        cluster
    }

    /// Adds an empty machine at another address.
    pub fn add(&mut self) -> usize {
        self.hosts.push(Host::default());
        self.start(self.hosts.len() - 1, false);
        self.hosts.len() - 1
    }

    pub fn start(&mut self, host: usize, first_start: bool) {
        let seeds: Vec<SocketAddrV4> = (0..SEEDS).map(address).collect();
        let me = Member {
            node: format!("core-{host}"),
            peer: address(host),
            control: SocketAddrV4::new(*address(host).ip(), 8169),
            zone: format!("zone-{host}"),
        };
        let stored = self.hosts[host].disk.stored();
        let identity = Identity { address: me.peer };
        let register = RegisterNode::recover(stored, identity, &seeds, first_start, self.random.random());
        let incarnation = WALL_START_MS + self.now;
        let timing = membership::Timing::default();
        let membership = Membership::new(0, me.clone(), incarnation, &seeds, timing, self.random.random());
        let timing =
            Timing { beat_every_ms: 1_200, lease_ms: 3_000, reuse_after_ms: 2_000, version_ms: 8_000 };
        self.hosts[host].started = self.now;
        let mut machine = Machine::new(0, timing, me, membership);
        if !self.hosts[host].disk.hangs {
            let stored_ends = self.hosts[host].ends_disk.stored_ends();
            machine.attach(self.moment(host), register, stored_ends);
        }
        self.hosts[host].machine = Some(machine);
    }

    /// Ends a machine without a word.
    pub fn stop(&mut self, host: usize) {
        self.hosts[host].machine = None;
        self.flights.retain(|flight| flight.from != host && flight.to != host);
        self.agents.iter_mut().filter(|agent| agent.host == host).for_each(|agent| agent.flush_at = None);
    }

    /// All end without a word; those of `wiped` lose their disks; after a while all start again.
    pub fn restart_all(&mut self, pause_ms: u64, wiped: &[usize]) {
        let hosts = 0..self.hosts.len();
        hosts.clone().for_each(|host| self.stop(host));
        wiped.iter().for_each(|host| self.wipe(*host));
        self.play(pause_ms);
        hosts.for_each(|host| self.start(host, false));
    }

    pub fn wipe(&mut self, host: usize) {
        self.hosts[host].disk.wipe();
        self.hosts[host].ends_disk.wipe();
    }

    pub fn hang_disk(&mut self, host: usize) {
        self.hosts[host].disk.hangs = true;
        self.hosts[host].ends_disk.hangs = true;
    }

    /// The file of ends takes no more writes, as on a disk that is slow or full; the register's does.
    pub fn hang_ends_disk(&mut self, host: usize) {
        self.hosts[host].ends_disk.hangs = true;
    }

    /// Cuts a machine off from all other controllers.
    pub fn cut_off(&mut self, host: usize) {
        for other in (0..self.hosts.len()).filter(|other| *other != host) {
            self.cut.insert((host, other));
            self.cut.insert((other, host));
        }
    }

    /// Loses all that a machine sends from now on to other controllers; what is on its way arrives, and so do answers.
    pub fn mute(&mut self, host: usize) {
        self.muted.insert(host);
    }

    /// Whether a machine has sent a digest to each of the others in this millisecond.
    pub fn has_just_sent_digests(&self, host: usize) -> bool {
        let is_digest = |flight: &&Flight| {
            let Message::Register(blob) = &flight.message else { return false };
            let decoded = register::message::decode(&blob.bytes);
            let is_digest = matches!(decoded, Ok((RegisterMessage::Digest { .. }, _)));
            is_digest && flight.from == host && flight.sent == self.now
        };
        let receivers: BTreeSet<usize> =
            self.flights.iter().filter(is_digest).map(|flight| flight.to).collect();
        receivers.len() + 1 == self.hosts.len()
    }

    /// Joins two machines that were cut off from each other.
    pub fn heal_between(&mut self, one: usize, other: usize) {
        self.cut.remove(&(one, other));
        self.cut.remove(&(other, one));
    }

    pub fn heal(&mut self) {
        self.cut.clear();
    }

    pub fn play(&mut self, for_ms: u64) {
        for _ in 0..for_ms {
            self.now += 1;
            self.update_links();
            self.deliver();
            self.end_writes();
            self.flush_agents();
            self.play_replicas();
            self.tick();
        }
    }

    fn update_links(&mut self) {
        for from in 0..self.hosts.len() {
            let wanted = self.hosts[from].machine.as_ref().map(Machine::wanted_peers).unwrap_or_default();
            for to in (0..self.hosts.len()).filter(|to| *to != from) {
                let alive = self.hosts[from].machine.is_some() && self.hosts[to].machine.is_some();
                let cut = self.cut.contains(&(from, to));
                let reachable = alive && !cut && wanted.contains(&address(to));
                let peer = address(to);
                if reachable && self.up.insert((from, to)) {
                    self.told.forget(from, to);
                    self.step(from, Input::PeerUp { peer });
                    let protocol = self.protocol;
                    self.step(to, Input::PeerHello { peer: address(from), protocol });
                } else if !reachable && self.up.remove(&(from, to)) {
                    self.step(from, Input::PeerDown { peer });
                }
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later): (Vec<Flight>, Vec<Flight>) = std::mem::take(&mut self.flights)
            .into_iter()
            .partition(|flight| flight.arrives <= now && !self.stands_still(flight.to));
        self.flights = later;
        for flight in due {
            if self.cut.contains(&(flight.from, flight.to)) {
                continue;
            }
            let is_skipped = self.protocol < KEEPS_ENDS
                && matches!(flight.message, Message::KeepEnds(_) | Message::EndsKept(_));
            if is_skipped {
                continue;
            }
            let from = address(flight.from);
            *self.arrived.entry(flight.to).or_default() +=
                peer::encode(&flight.message).map_or(0, |it| it.len());
            self.step(flight.to, Input::PeerMessage { from, message: flight.message });
        }
    }

    fn end_writes(&mut self) {
        for host in self.going() {
            for token in self.hosts[host].disk.end(self.now) {
                self.step(host, Input::DiskDone { token, result: Ok(()) });
            }
            for token in self.hosts[host].ends_disk.end(self.now) {
                self.step(host, Input::EndsWritten { token, result: Ok(()) });
            }
        }
    }

    fn flush_agents(&mut self) {
        for agent in 0..self.agents.len() {
            let due = self.agents[agent].flush_at.is_some_and(|at| at <= self.now);
            if due && self.agents[agent].reads {
                self.agents[agent].flush_at = None;
                let (host, link) = (self.agents[agent].host, self.agents[agent].link);
                self.step(host, Input::AgentFlushed { link });
            }
        }
    }

    /// Heartbeats go to the first controller that acknowledges them; calls are answered after a moment.
    fn play_replicas(&mut self) {
        for (id, last, beat, version) in self.replicas.due(self.now) {
            let is_kept_waiting = (0..self.hosts.len()).all(|host| self.stands_still(host));
            if is_kept_waiting {
                self.replicas.beat_again(&id, self.now + 1);
            }
            for host in 0..self.hosts.len() {
                let hears = self.hosts[host].machine.is_some() && !self.stands_still(host);
                if !hears || self.replicas.is_cut(host, &id) {
                    continue;
                }
                let call = self.issue_heartbeat_with(host, &id, last, "ready", beat, version);
                if self.reply(call).is_some_and(|reply| reply.status == 200) {
                    break;
                }
            }
        }
        let now = self.now;
        let calls = std::mem::take(&mut self.replica_calls);
        let (due, later) =
            calls.into_iter().partition(|(arrives, host, _)| *arrives <= now && !self.stands_still(*host));
        self.replica_calls = later;
        let due: Vec<(u64, usize, ReplicaCall)> = due;
        for (_, host, call) in due {
            let answer = self.replicas.take(now, host, &call);
            self.step(host, answer);
        }
    }

    /// All machines run so many ms of each tenth of a second.
    pub fn set_quota(&mut self, quota_ms: u64) {
        self.quota_ms = quota_ms;
    }

    /// Whether a machine's quota is spent.
    fn stands_still(&self, host: usize) -> bool {
        (self.now + host as u64 * QUOTA_SHIFT_MS) % QUOTA_PERIOD_MS >= self.quota_ms
    }

    /// The machines whose quota is not spent.
    fn going(&self) -> Vec<usize> {
        (0..self.hosts.len()).filter(|host| !self.stands_still(*host)).collect()
    }

    /// Steps the time of day of a machine.
    pub fn set_wall_error(&mut self, host: usize, error_ms: i64) {
        self.hosts[host].wall_error_ms = error_ms;
    }

    /// Whether a machine runs.
    pub fn is_running(&self, host: usize) -> bool {
        self.hosts[host].machine.is_some()
    }

    fn tick(&mut self) {
        for host in self.going() {
            let local = self.now - self.hosts[host].started;
            if self.hosts[host].machine.as_ref().is_some_and(|machine| machine.deadline() <= local) {
                self.step(host, Input::Tick);
                self.check_rest(host, local);
            }
        }
    }

    /// What was due has been done: a machine that is due again at once would take a whole core.
    fn check_rest(&mut self, host: usize, local: u64) {
        let Some(machine) = self.hosts[host].machine.as_ref() else { return };
        let is_restless = machine.deadline() <= local;
        self.hosts[host].restless_ticks = if is_restless { self.hosts[host].restless_ticks + 1 } else { 0 };
        let ticks = self.hosts[host].restless_ticks;
        assert!(
            ticks < MOST_RESTLESS_TICKS,
            "host {host} is due again after each of {ticks} ticks at {local} ms"
        );
    }

    fn moment(&self, host: usize) -> Moment {
        let wall_ms = (WALL_START_MS + self.now).saturating_add_signed(self.hosts[host].wall_error_ms);
        Moment { now: self.now - self.hosts[host].started, wall_ms }
    }

    pub fn step(&mut self, host: usize, input: Input) {
        let at = self.moment(host);
        let Some(machine) = self.hosts[host].machine.as_mut() else { return };
        let mut effects = Vec::new();
        machine.step(at, input, &mut effects);
        for effect in effects {
            self.run(host, effect);
        }
    }

    fn run(&mut self, host: usize, effect: Effect) {
        match effect {
            Effect::Reply { call, reply } => {
                self.seen.push(Seen::Replied(CallHandle(call.0)));
                self.replies.insert(CallHandle(call.0), reply);
            }
            Effect::SendPeer { to, message } => self.send(host, to, message),
            Effect::SendAgent { link, messages } => self.tell(link, messages),
            Effect::Write { token, record } => {
                let done_at = self.now + self.random.random_range(1..4);
                self.hosts[host].disk.start(token, record, done_at);
            }
            Effect::WriteEnds { token, record } => {
                let done_at = self.now + self.random.random_range(1..4);
                self.hosts[host].ends_disk.start(token, record, done_at);
            }
            Effect::CallReplica(call) => self.replica_calls.push((self.now + 2, host, call)),
        }
    }

    fn send(&mut self, from: usize, to: SocketAddrV4, message: Message) {
        let to = usize::from(to.ip().octets()[3] - 1);
        self.told.check(from, to, self.hosts[from].machine.as_ref(), &message);
        let last = self.last_arrival.entry((from, to)).or_default();
        let arrives = (*last).max(self.now + self.random.random_range(1..4));
        *last = arrives;
        if !self.muted.contains(&from) {
            self.flights.push(Flight { sent: self.now, arrives, from, to, message });
        }
    }

    fn tell(&mut self, link: LinkId, messages: Vec<Message>) {
        let place = self.agents.iter().position(|agent| agent.link == link).expect("an agent's link");
        let agent = &mut self.agents[place];
        assert!(agent.flush_at.is_none(), "one batch at a time");
        agent.flush_at = Some(self.now + 1);
        agent.batches.push(messages);
        self.seen.push(Seen::Told { agent: place, batch: agent.batches.len() - 1 });
    }

    /// The controllers to which a controller wants links.
    pub fn wanted_peers(&self, host: usize) -> BTreeSet<SocketAddrV4> {
        self.hosts[host].machine.as_ref().map(Machine::wanted_peers).unwrap_or_default()
    }

    /// Whose events a controller reads.
    pub fn readers(&self, host: usize) -> Vec<String> {
        let local = self.now - self.hosts[host].started;
        let machine = self.hosts[host].machine.as_ref();
        machine.map(|machine| machine.wanted_readers(local).into_keys().collect()).unwrap_or_default()
    }

    pub fn state_at(&self, host: usize, id: &str) -> Option<State> {
        let machine = self.hosts[host].machine.as_ref()?;
        machine.view().replicas.get(id).map(|record| record.state)
    }

    /// Bytes of other controllers' messages that arrived at a controller so far.
    pub fn bytes_to(&self, host: usize) -> usize {
        self.arrived.get(&host).copied().unwrap_or_default()
    }

    /// The slots that a controller's disk holds.
    pub fn slots_on_disk(&self, host: usize) -> BTreeSet<u16> {
        self.hosts[host].disk.slots().collect()
    }

    /// Bytes that a controller's disk holds.
    pub fn bytes_on_disk(&self, host: usize) -> usize {
        self.hosts[host].disk.bytes()
    }

    /// The version of the configuration that a controller holds, 0 for none.
    pub fn version_at(&self, host: usize) -> u64 {
        self.hosts[host].machine.as_ref().map_or(0, |machine| machine.view().configuration_version())
    }
}
