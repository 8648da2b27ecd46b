//! Joins the state machine to sockets and the clock.

use process::Event;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use catalog::Limits;
use links::{accept, dial, Dialer, LinkEvent, LinkId, LinkTiming, Outbox};
use peer::{Address, Hello, Message, Role, PROTOCOL};
use process::Control;
use settings::ProcessSettings;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::sleep_until;

use crate::ending::Ending;
use crate::error::AgentError;
use crate::event::AgentEvent;
use crate::machine::{Effect, Input, Machine, Place};
use crate::Millis;

/// Events that may wait for the machine.
const QUEUE: usize = 256;
/// Times of links with controllers, which say every half second that they live.
const CONTROLLERS: LinkTiming =
    LinkTiming { unacknowledged: Duration::from_millis(1_500), silence: Some(Duration::from_millis(2_000)) };
/// Times of links with proxies on this machine, which have little to say.
const PROXIES: LinkTiming = LinkTiming { unacknowledged: Duration::from_secs(10), silence: None };

/// How long before the platform's SIGKILL the agent ends, whether or not its proxy has ended.
const END_MARGIN: Duration = Duration::from_millis(300);

/// Where a link leads.
#[derive(Debug)]
enum Link {
    /// Nobody has said who they are yet.
    Unknown(Outbox),
    Proxy(Outbox),
    Controller(SocketAddrV4),
}

struct Program {
    settings: ProcessSettings,
    incarnation: u64,
    started: Instant,
    machine: Machine,
    links: BTreeMap<LinkId, Link>,
    ending: Ending,
    controllers: BTreeMap<SocketAddrV4, (LinkId, Outbox)>,
    dialers: BTreeMap<SocketAddrV4, Dialer>,
    link_events: mpsc::Sender<LinkEvent>,
}

/// Runs an agent until it is told to end and its proxy, which ends with it, needs it no more.
///
/// A proxy that is told to end serves for seconds; without its agent it would hear neither of drainings nor of
/// configurations meanwhile.
///
/// # Errors
/// The port for proxies can't be had.
pub async fn run(settings: ProcessSettings, mut control: mpsc::Receiver<Control>) -> Result<(), AgentError> {
    let address = settings.agent_address();
    let listener = TcpListener::bind(address).await.map_err(|why| AgentError::Listen(address, why))?;
    let (link_events, mut link_news) = mpsc::channel(QUEUE);
    tokio::spawn(accept_proxies(listener, link_events.clone()));
    AgentEvent::Started.info(format_args!("agent of {} serves {address}", settings.node));
    let mut program = Program::new(settings, link_events);
    program.step(Input::Tick);
    loop {
        let wake = tokio::time::Instant::from_std(program.next_wake());
        tokio::select! {
            Some(event) = link_news.recv() => program.link_event(event),
            told = control.recv(), if !program.ending.is_ending() => match told {
                Some(Control::Reload(settings)) => program.reload(*settings),
                Some(Control::Terminate) | None => program.end_after_proxy(),
            },
            () = sleep_until(wake) => program.step(Input::Tick),
        }
        if program.ending.is_over(program.now()) {
            AgentEvent::Ended.info(format_args!("agent has ended"));
            return Ok(());
        }
    }
}

async fn accept_proxies(listener: TcpListener, events: mpsc::Sender<LinkEvent>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(accept(stream, PROXIES, events.clone()));
            }
            Err(why) => {
                AgentEvent::LinkRefused.warn(format_args!("no connection taken: {why}"));
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

impl Program {
    fn new(settings: ProcessSettings, link_events: mpsc::Sender<LinkEvent>) -> Program {
        let reuse_after_ms = (settings.bounds.reuse_after_s * 1_000.0) as u64;
        let limits = Limits::for_beats(settings.beat_every_ms, reuse_after_ms);
        let place = Place { machine: settings.node.clone(), zone: settings.zone.clone() };
        Program {
            machine: Machine::new(0, place, settings.seed_controllers(), limits),
            settings,
            incarnation: rand::random(),
            started: Instant::now(),
            links: BTreeMap::new(),
            ending: Ending::default(),
            controllers: BTreeMap::new(),
            dialers: BTreeMap::new(),
            link_events,
        }
    }

    fn now(&self) -> Millis {
        self.started.elapsed().as_millis() as Millis
    }

    fn next_wake(&self) -> Instant {
        let due = self.machine.deadline();
        let due = self.ending.deadline().map_or(due, |ends_by| ends_by.min(due));
        self.started + Duration::from_millis(due)
    }

    fn end_after_proxy(&mut self) {
        AgentEvent::Ending.info(format_args!("agent ends after its proxy"));
        let patience = self.settings.bounds.grace().saturating_sub(END_MARGIN);
        self.ending.told_to_end(self.now(), patience.as_millis() as Millis);
    }

    fn step(&mut self, input: Input) {
        let now = self.now();
        let mut effects = Vec::new();
        self.machine.step(now, input, &mut effects);
        for effect in effects {
            self.run(effect);
        }
        self.keep_dialers();
    }

    fn run(&mut self, effect: Effect) {
        match effect {
            Effect::SendController { to, message } => {
                let Some((_, outbox)) = self.controllers.get(&to) else { return };
                if outbox.send(&[message]).is_err() {
                    self.controllers.remove(&to);
                }
            }
            Effect::SendProxy { link, messages } => {
                if let Some(Link::Proxy(outbox)) = self.links.get(&link) {
                    // An outbox takes nothing only where the link has ended; that is told by an event of its own.
                    let _ = outbox.send(&messages);
                }
            }
        }
    }

    fn link_event(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Up { link, dialed: Some(controller), outbox } => {
                AgentEvent::ControllerLinked.info(format_args!("link to controller {controller} is up"));
                let _ = outbox.send(&[Message::Hello(self.hello())]);
                self.links.insert(link, Link::Controller(controller));
                self.controllers.insert(controller, (link, outbox));
                self.step(Input::ControllerUp { controller });
            }
            LinkEvent::Up { link, dialed: None, outbox } => {
                self.links.insert(link, Link::Unknown(outbox));
            }
            LinkEvent::Message { link, message } => self.message(link, *message),
            LinkEvent::Flushed { link } => {
                if matches!(self.links.get(&link), Some(Link::Proxy(_))) {
                    self.step(Input::ProxyFlushed { link });
                }
            }
            LinkEvent::Down { link, why } => self.down(link, &why),
        }
    }

    fn message(&mut self, link: LinkId, message: Message) {
        match (self.links.get(&link), message) {
            (Some(Link::Controller(controller)), message) => {
                let controller = *controller;
                self.step(Input::ControllerMessage { controller, message });
            }
            (Some(Link::Proxy(_)), message) => self.step(Input::ProxyMessage { link, message }),
            (Some(Link::Unknown(_)), Message::Hello(hello)) if hello.role == Role::Proxy => {
                if let Some(Link::Unknown(outbox)) = self.links.remove(&link) {
                    self.links.insert(link, Link::Proxy(outbox));
                    AgentEvent::ProxyLinked.info(format_args!("the proxy is linked"));
                    self.ending.proxy_linked(link);
                    self.step(Input::ProxyUp { link, hello });
                }
            }
            (Some(Link::Unknown(_)), _) => {
                AgentEvent::Stranger.warn(format_args!("a process that is no proxy was turned away"));
                self.links.remove(&link);
            }
            (None, _) => {}
        }
    }

    fn down(&mut self, link: LinkId, why: &links::LinkError) {
        match self.links.remove(&link) {
            Some(Link::Controller(controller)) => {
                if self.controllers.get(&controller).is_some_and(|(current, _)| *current == link) {
                    self.controllers.remove(&controller);
                }
                AgentEvent::ControllerLost.info(format_args!("link to controller {controller}: {why}"));
                self.step(Input::ControllerDown { controller });
            }
            Some(Link::Proxy(_)) => {
                AgentEvent::ProxyLost.info(format_args!("link to the proxy: {why}"));
                self.ending.proxy_lost(link, why.is_by_peer());
                self.step(Input::ProxyDown { link });
            }
            _ => {}
        }
    }

    /// Dials the controllers that are known now, and no others.
    fn keep_dialers(&mut self) {
        let now = self.now();
        let wanted = self.machine.wanted_controllers(now);
        let unwanted: Vec<SocketAddrV4> =
            self.dialers.keys().copied().filter(|address| !wanted.contains(address)).collect();
        for controller in unwanted {
            self.dialers.remove(&controller);
            if let Some((link, _)) = self.controllers.remove(&controller) {
                self.links.remove(&link);
                self.step(Input::ControllerDown { controller });
            }
        }
        for address in wanted {
            let events = self.link_events.clone();
            self.dialers.entry(address).or_insert_with(|| dial(address, CONTROLLERS, rand::random(), events));
        }
    }

    fn hello(&self) -> Hello {
        Hello {
            protocol: PROTOCOL,
            role: Role::Agent,
            machine: self.settings.node.as_str().into(),
            zone: self.settings.zone.as_str().into(),
            incarnation: self.incarnation,
            address: Address::NONE,
            configuration: self.machine.view().configuration_version(),
        }
    }

    fn reload(&mut self, settings: ProcessSettings) {
        AgentEvent::SettingsRead.info(format_args!("settings were read anew"));
        self.machine.set_seeds(settings.seed_controllers());
        self.settings = settings;
        self.keep_dialers();
    }
}
