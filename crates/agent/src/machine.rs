//! The agent as a state machine.

use process::Event;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

use catalog::Limits;
use feed::{messages_of_records, record_to_wire, ConfigurationTaken, Releases, Subscriber, View, Wanted};
use links::LinkId;
use peer::{Alive, Fleet, Hello, Interest, Message, Replicas, Subscription, NEVER};

use crate::controllers::{Controllers, MOST_CONTROLLERS};
use crate::event::AgentEvent;
use crate::home_review::HomeReview;
use crate::Millis;

/// What an agent is told.
#[derive(Debug)]
pub enum Input {
    /// The link to a controller is up.
    ControllerUp {
        controller: SocketAddrV4,
    },
    ControllerDown {
        controller: SocketAddrV4,
    },
    ControllerMessage {
        controller: SocketAddrV4,
        message: Message,
    },
    /// A proxy connected and said who it is.
    ProxyUp {
        link: LinkId,
        hello: Hello,
    },
    ProxyMessage {
        link: LinkId,
        message: Message,
    },
    /// What was sent to a proxy is on its way.
    ProxyFlushed {
        link: LinkId,
    },
    ProxyDown {
        link: LinkId,
    },
    /// Time went by.
    Tick,
}

/// What an agent wants done.
#[derive(Debug)]
pub enum Effect {
    SendController { to: SocketAddrV4, message: Message },
    SendProxy { link: LinkId, messages: Vec<Message> },
}

/// Where an agent runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    /// Name of its machine.
    pub machine: String,
    /// Zone of its machine.
    pub zone: String,
}

#[derive(Debug)]
struct Proxy {
    subscriber: Subscriber,
    /// A batch is on its way; the next one waits for its end.
    busy: bool,
}

/// Time between clean-ups.
const UPKEEP_EVERY_MS: Millis = 5_000;

/// One agent.
#[derive(Debug)]
pub struct Machine {
    place: Place,
    seeds: Vec<SocketAddrV4>,
    view: View,
    /// Parts of prompts that the proxy wants to hear of.
    wanted: Wanted,
    controllers: Controllers,
    proxies: BTreeMap<LinkId, Proxy>,
    /// The controller that was told that it is the home.
    subscribed: Option<SocketAddrV4>,
    /// What that one has told of.
    review: HomeReview,
    next_upkeep: Millis,
}

impl Machine {
    /// An agent that knows the inner addresses of a few controllers.
    pub fn new(now: Millis, place: Place, seeds: Vec<SocketAddrV4>, limits: Limits) -> Machine {
        let review = HomeReview::new(limits.lost_after_ms);
        Machine {
            place,
            seeds,
            view: View::new(limits),
            review,
            wanted: Wanted::default(),
            controllers: Controllers::default(),
            proxies: BTreeMap::new(),
            subscribed: None,
            next_upkeep: now + UPKEEP_EVERY_MS,
        }
    }

    /// Takes one input; what is to be done is pushed to `out`.
    pub fn step(&mut self, now: Millis, input: Input, out: &mut Vec<Effect>) {
        match input {
            Input::ControllerUp { controller } => {
                self.controllers.up(now, controller);
                let parts: Vec<u64> = self.wanted.all().collect();
                if !parts.is_empty() {
                    let message = Message::Interest(Interest::from(parts));
                    out.push(Effect::SendController { to: controller, message });
                }
            }
            Input::ControllerDown { controller } => {
                self.controllers.down(now, controller);
                if self.subscribed.take_if(|home| *home == controller).is_some() {
                    self.review.stop();
                }
            }
            Input::ControllerMessage { controller, message } => {
                self.controller_message(now, controller, message, out);
            }
            Input::ProxyUp { link, hello } => {
                let subscriber = Subscriber::new(hello.configuration);
                self.proxies.insert(link, Proxy { subscriber, busy: false });
            }
            Input::ProxyMessage { link, message: Message::WantConfiguration } => {
                if let Some(proxy) = self.proxies.get_mut(&link) {
                    proxy.subscriber.wants_configuration();
                }
            }
            Input::ProxyMessage { message: Message::Loads(loads), .. } => {
                let message = Message::Loads(loads);
                out.extend(self.home_controller(now).map(|to| Effect::SendController { to, message }));
            }
            // All controllers judge releases, whichever is the home.
            Input::ProxyMessage { message: Message::ReleaseReport(report), .. } => {
                for to in self.controllers.linked() {
                    let message = Message::ReleaseReport(report.clone());
                    out.push(Effect::SendController { to, message });
                }
            }
            Input::ProxyMessage { message: Message::Interest(interest), .. } => {
                self.pass_interest(now, &interest, out);
            }
            Input::ProxyMessage { .. } => {}
            Input::ProxyFlushed { link } => {
                if let Some(proxy) = self.proxies.get_mut(&link) {
                    proxy.busy = false;
                }
            }
            Input::ProxyDown { link } => {
                self.proxies.remove(&link);
            }
            Input::Tick => self.tick(now),
        }
        self.subscribe(now, out);
        self.report_untold(now, out);
        self.feed(now, out);
    }

    /// When the next [`Input::Tick`] is due.
    pub fn deadline(&self) -> Millis {
        let idle = self.proxies.values().filter(|proxy| !proxy.busy);
        let feeds = idle.map(|proxy| proxy.subscriber.deadline(&self.view));
        let settles = self.controllers.settles_at().filter(|_| self.subscribed.is_none());
        feeds
            .chain(settles)
            .chain(self.review.due())
            .chain([self.next_upkeep])
            .min()
            .unwrap_or(self.next_upkeep)
    }

    /// The controllers to which links should be up: those that the linked ones name, and the seeds while none of those
    /// is in contact with a majority: all that are linked may be cut off.
    pub fn wanted_controllers(&self, now: Millis) -> BTreeSet<SocketAddrV4> {
        let told = self.view.controllers().iter().copied();
        let is_known = self.controllers.know_fleet(now);
        let seeds = self.seeds.iter().copied().filter(|_| !is_known);
        told.chain(seeds).take(MOST_CONTROLLERS).collect()
    }

    /// The settings name other seeds.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        self.seeds = seeds;
    }

    /// What is known of the fleet.
    pub fn view(&self) -> &View {
        &self.view
    }

    fn tick(&mut self, now: Millis) {
        if now < self.next_upkeep {
            return;
        }
        self.next_upkeep = now + UPKEEP_EVERY_MS;
        // Only controllers pass judgement on silent replicas; here old ends are forgotten.
        self.view.replicas.tick(now, false);
        self.view.forget_prefixes_of_ended();
        self.wanted.forget_old(now);
        self.controllers.forget_old(now);
        self.update_fleet();
    }

    fn controller_message(
        &mut self,
        now: Millis,
        from: SocketAddrV4,
        message: Message,
        out: &mut Vec<Effect>,
    ) {
        match message {
            Message::Configuration(configuration) => self.configuration(from, configuration, out),
            Message::Software(software) => self.view.take_software(&software),
            Message::Releases(releases) => self.releases(from, &releases),
            Message::Replicas(replicas) => self.replicas(now, from, &replicas, out),
            Message::Weights(weights) => self.weights(now, from, &weights),
            Message::Fleet(fleet) => self.fleet(from, &fleet),
            Message::Alive(alive) => self.controllers.alive(now, from, alive),
            Message::Prefixes(prefixes) => self.view.prefixes.take(&prefixes),
            Message::Hello(hello) => self.controllers.introduced(from, hello.zone.as_str()),
            Message::Loads(loads) if self.home_controller(now) == Some(from) => self.pass_loads(&loads, out),
            _ => {}
        }
    }

    /// The controller that hears what this machine's proxy has out, and tells it what all have and which replicas are
    /// ready.
    pub fn home_controller(&self, now: Millis) -> Option<SocketAddrV4> {
        self.controllers.home(now, &self.place)
    }

    /// Tells the home that it is, and the former one that it is no more.
    fn subscribe(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let home = self.home_controller(now);
        if home == self.subscribed {
            return;
        }
        let is_near = home.is_some_and(|home| self.controllers.is_in_zone(home, &self.place.zone));
        if !is_near && !self.controllers.has_settled(now) {
            return;
        }
        let say = |to, is_home| Effect::SendController {
            to,
            message: Message::Subscription(Subscription { is_home }),
        };
        out.extend(self.subscribed.map(|former| say(former, 0)));
        out.extend(home.map(|home| say(home, 1)));
        self.subscribed = home;
        match home {
            Some(_) => self.review.begin(now),
            None => self.review.stop(),
        }
    }

    /// Reports replicas to the home that it has not told of, as it may know nothing of them.
    fn report_untold(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let Some(to) = self.subscribed else { return };
        let has_contact = self.controllers.has_contact(now, to);
        let untold = self.review.report(now, has_contact, &self.view.replicas);
        if untold.is_empty() {
            return;
        }
        AgentEvent::ReplicasReported.info(format_args!("{} replicas to controller {to}", untold.len()));
        let messages = messages_of_records(&untold).into_iter();
        out.extend(messages.map(|message| Effect::SendController { to, message }));
    }

    /// Each controller tells of the replicas that it reads: all of them are asked.
    fn pass_interest(&mut self, now: Millis, interest: &Interest, out: &mut Vec<Effect>) {
        for part in &interest.parts {
            self.wanted.ask(now, *part);
        }
        for to in self.controllers.linked() {
            let message = Message::Interest(interest.clone());
            out.push(Effect::SendController { to, message });
        }
    }

    /// Passes the load of the fleet on. A proxy that is still busy with its last batch misses this; the next whole makes
    /// up for it.
    fn pass_loads(&mut self, loads: &peer::Loads, out: &mut Vec<Effect>) {
        for (link, proxy) in self.proxies.iter_mut().filter(|(_, proxy)| !proxy.busy) {
            proxy.busy = true;
            out.push(Effect::SendProxy { link: *link, messages: vec![Message::Loads(loads.clone())] });
        }
    }

    fn weights(&mut self, now: Millis, from: SocketAddrV4, weights: &peer::Weights) {
        if self.view.take_weights_message(now, weights) {
            let named = self.view.weights().describe(now as i64);
            AgentEvent::WeightsNamed.info(format_args!("from {from}: {named}"));
        }
    }

    fn releases(&mut self, from: SocketAddrV4, releases: &peer::Blob) {
        match Releases::read(&releases.bytes) {
            Ok(releases) => {
                if self.view.take_releases(releases) {
                    let revision = self.view.releases().revision;
                    AgentEvent::ReleasesTaken.info(format_args!("revision {revision} from {from}"));
                }
            }
            Err(why) => AgentEvent::ReleasesUnusable.error(format_args!("from {from}: {why}")),
        }
    }

    fn configuration(
        &mut self,
        from: SocketAddrV4,
        configuration: peer::Configuration,
        out: &mut Vec<Effect>,
    ) {
        let version = configuration.version;
        match self.view.take_configuration_message(configuration) {
            Ok(ConfigurationTaken::News) => {
                AgentEvent::ConfigurationTaken.info(format_args!("configuration {version} is in force"));
                self.tell_configuration(version, out);
            }
            Ok(ConfigurationTaken::Known) => {}
            Ok(ConfigurationTaken::OtherBase) => {
                out.push(Effect::SendController { to: from, message: Message::WantConfiguration });
            }
            Err(why) => {
                AgentEvent::ConfigurationUnusable
                    .error(format_args!("configuration {version} from {from}: {why}"));
                out.push(Effect::SendController { to: from, message: Message::WantConfiguration });
            }
        }
    }

    /// Tells all controllers which configuration is held: those that did not bring it need not.
    fn tell_configuration(&self, configuration: u64, out: &mut Vec<Effect>) {
        for to in self.controllers.linked() {
            let message = Message::Alive(Alive { majority_age_ms: NEVER, configuration });
            out.push(Effect::SendController { to, message });
        }
    }

    /// What one controller calls lost is told to those that have no contact with a majority: they hear nothing of it
    /// from the other controllers, and may hear the replica.
    fn replicas(&mut self, now: Millis, from: SocketAddrV4, replicas: &Replicas, out: &mut Vec<Effect>) {
        if self.subscribed == Some(from) {
            self.review.heard(replicas);
        }
        let taken = self.view.take_replicas(now, replicas);
        if taken.lost.is_empty() {
            return;
        }
        let lost: Vec<_> = taken.lost.iter().map(record_to_wire).collect();
        let without_contact = |to: &SocketAddrV4| *to != from && !self.controllers.has_contact(now, *to);
        for to in self.controllers.linked().filter(without_contact) {
            let message = Message::Replicas(Replicas::from(lost.clone()));
            out.push(Effect::SendController { to, message });
        }
    }

    fn fleet(&mut self, from: SocketAddrV4, fleet: &Fleet) {
        self.controllers.told_fleet(from, fleet);
        self.update_fleet();
    }

    fn update_fleet(&mut self) {
        let (controllers, proxies) = self.controllers.fleet();
        self.view.set_fleet(controllers.into_iter().collect(), proxies);
    }

    fn feed(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let age = self.controllers.majority_age(now);
        for (link, proxy) in self.proxies.iter_mut().filter(|(_, proxy)| !proxy.busy) {
            let messages = proxy.subscriber.messages(now, &self.view, age);
            if !messages.is_empty() {
                proxy.busy = true;
                out.push(Effect::SendProxy { link: *link, messages });
            }
        }
    }
}
