//! Joins the state machine to sockets, the disk and the clock.

use process::Event;
use std::collections::BTreeMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use links::{accept, dial, Dialer, LinkEvent, LinkId, LinkTiming, Outbox};
use membership::{Member, Membership};
use peer::{Hello, Message, Role, PROTOCOL};
use process::Control;
use register::{Identity, RegisterNode};
use settings::ProcessSettings;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep_until, timeout};

use crate::command::Reply;
use crate::control_api::{serve, Issued};
use crate::disk::{Disk, DiskDone, Opened, Writer};
use crate::error::ControllerError;
use crate::event::ControllerEvent;
use crate::kv_events::reader::{read, Reader};
use crate::machine::{CallId, Effect, Input, Machine, Moment, Timing};
use crate::replica_calls::call;
use crate::surroundings::Surroundings;

/// Time between looks at which replicas are at home here.
const READERS_EVERY_MS: u64 = 200;
/// Events that may wait for the machine.
const QUEUE: usize = 256;
/// Longest time that a process takes to end. Calls end sooner; another machine that takes its place in the acceptor set
/// may have to read large configurations from it.
const ENDING: Duration = Duration::from_millis(3_000);
/// Time left for answers to reach their callers.
const LAST_ANSWERS: Duration = Duration::from_millis(30);
/// Times of links with other processes. No link has to be heard on: a controller only sends on the links that it dials
/// to other controllers, and agents have little to say. What is sent and not acknowledged ends a link, and so do
/// keep-alive probes without an answer.
pub const LINKS: LinkTiming = LinkTiming { unacknowledged: Duration::from_millis(1_500), silence: None };

/// Where a link leads.
#[derive(Debug)]
enum Link {
    /// Nobody has said who they are yet.
    Unknown(Outbox),
    /// Another controller dialled. Nothing is sent on this link, but the outbox keeps it up.
    Peer {
        address: SocketAddrV4,
        _outbox: Outbox,
    },
    Agent(Outbox),
    /// This side dialled.
    Dialed(SocketAddrV4),
}

/// One controller with its sockets.
struct Program {
    settings: ProcessSettings,
    me: Member,
    incarnation: u64,
    started: Instant,
    machine: Machine,
    effects: Vec<Effect>,
    links: BTreeMap<LinkId, Link>,
    outboxes: BTreeMap<SocketAddrV4, (LinkId, Outbox)>,
    dialers: BTreeMap<SocketAddrV4, Dialer>,
    readers: BTreeMap<String, Reader>,
    /// How many there are, for the readers.
    sources: Arc<AtomicUsize>,
    next_readers: u64,
    calls: BTreeMap<CallId, oneshot::Sender<Reply>>,
    last_call: u64,
    /// Not there before it is opened.
    disk: Option<Disk>,
    ends_disk: Option<Disk>,
    link_events: mpsc::Sender<LinkEvent>,
    replica_answers: mpsc::Sender<Input>,
}

/// Runs a controller until it is told to end.
pub async fn run(
    surroundings: Surroundings,
    settings: ProcessSettings,
    mut control: mpsc::Receiver<Control>,
) -> Result<(), ControllerError> {
    let me = member(&settings)?;
    let control_listener = listen(me.control).await?;
    let peer_listener = listen((surroundings.bound_at)(me.peer)).await?;
    let (issue, mut issued) = mpsc::channel(QUEUE);
    let (link_events, mut link_news) = mpsc::channel(QUEUE);
    let (replica_answers, mut replica_news) = mpsc::channel(QUEUE);
    let (disk_done, mut disk_news) = mpsc::unbounded_channel();
    let mut opening = Disk::open(settings.data_dir.clone(), surroundings.open_medium, disk_done);
    let api = tokio::spawn(serve(control_listener, issue));
    let inner = tokio::spawn(accept_links(peer_listener, link_events.clone()));
    ControllerEvent::Started
        .info(format_args!("controller {} serves {} and {}", me.node, me.control, me.peer));
    let mut program = Program::new(settings, me, link_events, replica_answers);
    let mut ending: Option<Instant> = None;
    loop {
        let wake = tokio::time::Instant::from_std(program.next_wake());
        tokio::select! {
            Some(call) = issued.recv() => program.issued(call),
            Some(event) = link_news.recv() => program.link_event(event),
            opened = &mut opening, if !program.is_open() => program.opened(opened.unwrap_or_else(|_| Err(ControllerError::NotOpened))?),
            Some(done) = disk_news.recv() => program.written(done),
            Some(answer) = replica_news.recv() => program.step(answer),
            told = control.recv() => match told {
                Some(Control::Reload(settings)) => program.reload(*settings),
                Some(Control::Terminate) | None if ending.is_none() => {
                    ControllerEvent::Ending.info(format_args!("controller ends"));
                    ending = Some(Instant::now());
                    api.abort();
                    inner.abort();
                    program.step(Input::Terminate);
                }
                _ => tokio::time::sleep(Duration::from_millis(5)).await,
            },
            () = sleep_until(wake) => program.step(Input::Tick),
        }
        if ending.is_some_and(|since| program.machine.is_idle() || since.elapsed() >= ENDING) {
            let _ = timeout(LAST_ANSWERS, std::future::pending::<()>()).await;
            return Ok(());
        }
    }
}

fn member(settings: &ProcessSettings) -> Result<Member, ControllerError> {
    let control = match settings.listen_on.control {
        Some(SocketAddr::V4(control)) => control,
        _ => return Err(ControllerError::Setting("listen-on.control")),
    };
    Ok(Member {
        node: settings.node.clone(),
        peer: settings.controller_address(settings.ip),
        control,
        zone: settings.zone.clone(),
    })
}

async fn listen(address: SocketAddrV4) -> Result<TcpListener, ControllerError> {
    TcpListener::bind(address).await.map_err(|why| ControllerError::Listen(address, why))
}

async fn accept_links(listener: TcpListener, events: mpsc::Sender<LinkEvent>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(accept(stream, LINKS, events.clone()));
            }
            Err(why) => {
                ControllerEvent::LinkRefused.warn(format_args!("inner listener: no connection taken: {why}"));
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

impl Program {
    fn new(
        settings: ProcessSettings,
        me: Member,
        link_events: mpsc::Sender<LinkEvent>,
        replica_answers: mpsc::Sender<Input>,
    ) -> Program {
        let seeds = settings.seed_controllers();
        let incarnation = wall_ms();
        let timing = membership::Timing::default();
        let membership = Membership::new(0, me.clone(), incarnation, &seeds, timing, rand::random());
        let timing = Timing {
            beat_every_ms: settings.beat_every_ms,
            lease_ms: settings.bounds.lease_ms,
            reuse_after_ms: (settings.bounds.reuse_after_s * 1_000.0) as u64,
            version_ms: settings.bounds.version_ms,
        };
        Program {
            machine: Machine::new(0, timing, me.clone(), membership),
            settings,
            me,
            incarnation,
            started: Instant::now(),
            effects: Vec::new(),
            links: BTreeMap::new(),
            outboxes: BTreeMap::new(),
            dialers: BTreeMap::new(),
            readers: BTreeMap::new(),
            sources: Arc::default(),
            next_readers: 0,
            calls: BTreeMap::new(),
            last_call: 0,
            disk: None,
            ends_disk: None,
            link_events,
            replica_answers,
        }
    }

    fn is_open(&self) -> bool {
        self.disk.is_some()
    }

    /// The disk is open: the register takes part from now on.
    fn opened(&mut self, opened: Opened) {
        let Opened { register, ends, stored, stored_ends, was_damaged } = opened;
        (self.disk, self.ends_disk) = (Some(register), Some(ends));
        let identity = Identity { address: self.me.peer };
        let first_start = self.settings.first_start && !was_damaged;
        let seeds = self.settings.seed_controllers();
        let register = RegisterNode::recover(stored, identity, &seeds, first_start, rand::random());
        self.machine.attach(self.moment(), register, stored_ends);
        self.step(Input::Tick);
    }

    fn written(&mut self, DiskDone { writer, token, result }: DiskDone) {
        self.step(match writer {
            Writer::Register => Input::DiskDone { token, result },
            Writer::Ends => Input::EndsWritten { token, result },
        });
    }

    fn moment(&self) -> Moment {
        Moment { now: self.started.elapsed().as_millis() as u64, wall_ms: wall_ms() }
    }

    fn next_wake(&self) -> Instant {
        self.started + Duration::from_millis(self.machine.deadline())
    }

    fn step(&mut self, input: Input) {
        let at = self.moment();
        let mut effects = std::mem::take(&mut self.effects);
        self.machine.step(at, input, &mut effects);
        for effect in effects.drain(..) {
            self.run(effect);
        }
        self.effects = effects;
        self.keep_dialers();
        if at.now >= self.next_readers {
            self.next_readers = at.now + READERS_EVERY_MS;
            self.keep_readers(at.now);
        }
    }

    fn run(&mut self, effect: Effect) {
        match effect {
            Effect::Reply { call, reply } => {
                if let Some(answer) = self.calls.remove(&call) {
                    let _ = answer.send(reply);
                }
            }
            Effect::SendPeer { to, message } => self.send_peer(to, message),
            Effect::SendAgent { link, messages } => self.send_agent(link, &messages),
            Effect::Write { token, record } => {
                if let Some(disk) = &mut self.disk {
                    disk.write(token, record);
                }
            }
            Effect::WriteEnds { token, record } => {
                if let Some(disk) = &mut self.ends_disk {
                    disk.write(token, record);
                }
            }
            Effect::CallReplica(replica_call) => {
                let (answers, holder) = (self.replica_answers.clone(), self.settings.node.clone());
                tokio::spawn(async move {
                    let _ = answers.send(call(replica_call, &holder).await).await;
                });
            }
        }
    }

    /// A peer that does not read loses its link; when it is up again, it gets a snapshot.
    fn send_peer(&mut self, to: SocketAddrV4, message: Message) {
        let Some((_, outbox)) = self.outboxes.get(&to) else { return };
        if outbox.send(&[message]).is_err() {
            ControllerEvent::ControllerSlow
                .warn(format_args!("controller {to} does not read; its link is dialled anew"));
            self.outboxes.remove(&to);
        }
    }

    fn send_agent(&mut self, link: LinkId, messages: &[Message]) {
        let Some(Link::Agent(outbox)) = self.links.get(&link) else { return };
        // An outbox takes nothing only where the link has ended; that is told by an event of its own.
        let _ = outbox.send(messages);
    }

    fn issued(&mut self, issued: Issued) {
        self.last_call += 1;
        let call = CallId(self.last_call);
        self.calls.insert(call, issued.answer);
        self.step(Input::Call { call, command: issued.command });
    }

    fn link_event(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Up { link, dialed: Some(peer), outbox } => {
                let _ = outbox.send(&[Message::Hello(self.hello())]);
                self.links.insert(link, Link::Dialed(peer));
                self.outboxes.insert(peer, (link, outbox));
                self.step(Input::PeerUp { peer });
            }
            LinkEvent::Up { link, dialed: None, outbox } => {
                self.links.insert(link, Link::Unknown(outbox));
            }
            LinkEvent::Message { link, message } => self.message(link, *message),
            LinkEvent::Flushed { link } => {
                if matches!(self.links.get(&link), Some(Link::Agent(_))) {
                    self.step(Input::AgentFlushed { link });
                }
            }
            LinkEvent::Down { link, why } => self.down(link, &why),
        }
    }

    fn message(&mut self, link: LinkId, message: Message) {
        match (self.links.get(&link), message) {
            (Some(Link::Peer { address: from, .. }), message) => {
                let from = *from;
                self.step(Input::PeerMessage { from, message });
            }
            (Some(Link::Agent(_)), message) => self.step(Input::AgentMessage { link, message }),
            (Some(Link::Unknown(_)), Message::Hello(hello)) => self.introduced(link, hello),
            _ => {}
        }
    }

    fn introduced(&mut self, link: LinkId, hello: Hello) {
        let Some(Link::Unknown(outbox)) = self.links.remove(&link) else { return };
        match (hello.role, hello.address.socket()) {
            (Role::Controller, Some(address)) => {
                self.links.insert(link, Link::Peer { address, _outbox: outbox });
                // Whoever could dial can be dialled; answers go out on the own link only.
                if let Some(dialer) =
                    self.dialers.get(&address).filter(|_| !self.outboxes.contains_key(&address))
                {
                    dialer.dial_now();
                }
                self.step(Input::PeerHello { peer: address, protocol: hello.protocol });
            }
            (Role::Agent, _) => {
                let _ = outbox.send(&[Message::Hello(self.hello())]);
                self.links.insert(link, Link::Agent(outbox));
                self.step(Input::AgentUp { link, hello });
            }
            _ => ControllerEvent::Stranger
                .warn(format_args!("a process that is neither controller nor agent was turned away")),
        }
    }

    fn down(&mut self, link: LinkId, why: &links::LinkError) {
        match self.links.remove(&link) {
            Some(Link::Dialed(peer)) => {
                if self.outboxes.get(&peer).is_some_and(|(current, _)| *current == link) {
                    self.outboxes.remove(&peer);
                }
                ControllerEvent::ControllerLink.info(format_args!("link to controller {peer}: {why}"));
                self.step(Input::PeerDown { peer });
            }
            Some(Link::Agent(_)) => {
                ControllerEvent::AgentLink.info(format_args!("link from an agent: {why}"));
                self.step(Input::AgentDown { link });
            }
            _ => {}
        }
    }

    /// Reads the events of the replicas that are at home here, and of no others.
    fn keep_readers(&mut self, now: u64) {
        let wanted = self.machine.wanted_readers(now);
        self.readers.retain(|name, _| wanted.contains_key(name));
        for (name, source) in wanted {
            let (news, sources) = (&self.replica_answers, &self.sources);
            self.readers.entry(name).or_insert_with(|| read(source, Arc::clone(sources), news.clone()));
        }
        self.sources.store(self.readers.len(), Ordering::Relaxed);
    }

    /// Dials the controllers that are known now, and no others.
    fn keep_dialers(&mut self) {
        let wanted = self.machine.wanted_peers();
        let unwanted: Vec<SocketAddrV4> =
            self.dialers.keys().copied().filter(|address| !wanted.contains(address)).collect();
        for address in unwanted {
            self.dialers.remove(&address);
            if let Some((link, _)) = self.outboxes.remove(&address) {
                self.links.remove(&link);
                self.step(Input::PeerDown { peer: address });
            }
        }
        for address in wanted {
            let events = self.link_events.clone();
            self.dialers.entry(address).or_insert_with(|| dial(address, LINKS, rand::random(), events));
        }
    }

    fn hello(&self) -> Hello {
        Hello {
            protocol: PROTOCOL,
            role: Role::Controller,
            machine: self.me.node.as_str().into(),
            zone: self.me.zone.as_str().into(),
            incarnation: self.incarnation,
            address: self.me.peer.into(),
            configuration: self.machine.view().configuration_version(),
        }
    }

    fn reload(&mut self, settings: ProcessSettings) {
        ControllerEvent::SettingsRead.info(format_args!("settings were read anew"));
        self.settings = settings;
        self.step(Input::Seeds { seeds: self.settings.seed_controllers() });
    }
}

fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
