//! The agent as a state machine.

use process::Event;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

use catalog::Limits;
use feed::{record_to_wire, ConfigurationTaken, Subscriber, View, Wanted};
use links::LinkId;
use peer::{replica_key, Alive, Fleet, Hello, Interest, Message, Replicas, Subscription, NEVER};

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

/// What a controller said of itself and of the fleet.
#[derive(Debug, Default)]
struct Controller {
    up: bool,
    zone: String,
    /// When it was up last.
    seen: Millis,
    fleet: Option<(BTreeSet<SocketAddrV4>, u32)>,
    /// When it was in step with the majority, by its own word.
    majority_at: Option<Millis>,
    /// Whether it said anything of that yet.
    told_contact: bool,
}

impl Controller {
    /// Whether what it tells was the majority's a moment ago.
    fn has_contact(&self, now: Millis) -> bool {
        self.majority_at.is_some_and(|at| now.saturating_sub(at) < HOME_CONTACT_MS)
    }
}

#[derive(Debug)]
struct Proxy {
    subscriber: Subscriber,
    /// A batch is on its way; the next one waits for its end.
    busy: bool,
}

/// Controllers that are linked at most.
const MOST_CONTROLLERS: usize = 9;
/// What a controller said counts for so long after its link went down.
const REMEMBER_MS: Millis = 30_000;
/// A controller whose newest proof of contact with a majority is older is no home while there is another one: its view
/// of the fleet may be old.
const HOME_CONTACT_MS: Millis = 1_500;
/// An agent that has just found controllers waits so long for one of its own zone, before it makes another its home.
const HOME_SETTLES_MS: Millis = 300;
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
    controllers: BTreeMap<SocketAddrV4, Controller>,
    proxies: BTreeMap<LinkId, Proxy>,
    /// The controller that was told that it is the home.
    subscribed: Option<SocketAddrV4>,
    /// What that one has told of.
    review: HomeReview,
    /// Since when some controller is linked.
    linked_since: Option<Millis>,
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
            controllers: BTreeMap::new(),
            proxies: BTreeMap::new(),
            subscribed: None,
            linked_since: None,
            next_upkeep: now + UPKEEP_EVERY_MS,
        }
    }

    /// Takes one input; what is to be done is pushed to `out`.
    pub fn step(&mut self, now: Millis, input: Input, out: &mut Vec<Effect>) {
        match input {
            Input::ControllerUp { controller } => {
                self.linked_since.get_or_insert(now);
                let entry = self.controllers.entry(controller).or_default();
                (entry.up, entry.seen) = (true, now);
                let parts: Vec<u64> = self.wanted.all().collect();
                if !parts.is_empty() {
                    let message = Message::Interest(Interest::from(parts));
                    out.push(Effect::SendController { to: controller, message });
                }
            }
            Input::ControllerDown { controller } => {
                if let Some(entry) = self.controllers.get_mut(&controller) {
                    (entry.up, entry.seen) = (false, now);
                }
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
        // While nobody is linked there is nobody to choose, and the time for it has long gone by.
        let chooses = self.subscribed.is_none() && self.controllers.values().any(|one| one.up);
        let settles = self.linked_since.filter(|_| chooses);
        let settles = settles.map(|since| since + HOME_SETTLES_MS);
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
        let knows_fleet =
            |one: &Controller| one.up && one.fleet.is_some() && (one.has_contact(now) || !one.told_contact);
        let linked = self.controllers.values().any(knows_fleet);
        let seeds = self.seeds.iter().copied().filter(|_| !linked);
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
        self.controllers.retain(|_, one| one.up || now.saturating_sub(one.seen) < REMEMBER_MS);
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
            Message::Replicas(replicas) => self.replicas(now, from, &replicas, out),
            Message::Weights(weights) => self.weights(now, from, &weights),
            Message::Fleet(fleet) => self.fleet(from, &fleet),
            Message::Alive(alive) => self.alive(now, from, alive),
            Message::Prefixes(prefixes) => self.view.prefixes.take(&prefixes),
            Message::Hello(hello) => {
                if let Some(controller) = self.controllers.get_mut(&from) {
                    controller.zone = hello.zone.as_str().to_string();
                }
            }
            Message::Loads(loads) if self.home_controller(now) == Some(from) => self.pass_loads(&loads, out),
            _ => {}
        }
    }

    /// The controller that hears what this machine's proxy has out, and tells it what all have and which replicas are
    /// ready: one in contact with a majority where there is one, then one of this zone; agents spread over several.
    pub fn home_controller(&self, now: Millis) -> Option<SocketAddrV4> {
        let up = self.controllers.iter().filter(|(_, one)| one.up);
        let weight = |(address, one): &(&SocketAddrV4, &Controller)| {
            let spread = replica_key(&format!("{} {address}", self.place.machine));
            (one.has_contact(now), one.zone == self.place.zone, spread, **address)
        };
        up.max_by_key(weight).map(|(address, _)| *address)
    }

    /// Tells the home that it is, and the former one that it is no more.
    fn subscribe(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let home = self.home_controller(now);
        if home == self.subscribed {
            return;
        }
        let is_near =
            home.and_then(|home| self.controllers.get(&home)).is_some_and(|one| one.zone == self.place.zone);
        let has_settled = self.linked_since.is_some_and(|since| now >= since + HOME_SETTLES_MS);
        if !is_near && !has_settled {
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
        let has_contact = self.controllers.get(&to).is_some_and(|home| home.has_contact(now));
        let untold = self.review.report(now, has_contact, &self.view.replicas);
        if untold.is_empty() {
            return;
        }
        AgentEvent::ReplicasReported.info(format_args!("{} replicas to controller {to}", untold.len()));
        let records: Vec<_> = untold.iter().map(record_to_wire).collect();
        out.push(Effect::SendController { to, message: Message::Replicas(Replicas::from(records)) });
    }

    /// Each controller tells of the replicas that it reads: all of them are asked.
    fn pass_interest(&mut self, now: Millis, interest: &Interest, out: &mut Vec<Effect>) {
        for part in &interest.parts {
            self.wanted.ask(now, *part);
        }
        for (to, _) in self.controllers.iter().filter(|(_, one)| one.up) {
            let message = Message::Interest(interest.clone());
            out.push(Effect::SendController { to: *to, message });
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
        for (to, _) in self.controllers.iter().filter(|(_, one)| one.up) {
            let message = Message::Alive(Alive { majority_age_ms: NEVER, configuration });
            out.push(Effect::SendController { to: *to, message });
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
        let others = self
            .controllers
            .iter()
            .filter(|(address, one)| one.up && **address != from && !one.has_contact(now));
        for (to, _) in others {
            let message = Message::Replicas(Replicas::from(lost.clone()));
            out.push(Effect::SendController { to: *to, message });
        }
    }

    fn fleet(&mut self, from: SocketAddrV4, fleet: &Fleet) {
        let told = fleet.controllers.iter().filter_map(|address| address.socket()).collect();
        if let Some(controller) = self.controllers.get_mut(&from) {
            controller.fleet = Some((told, fleet.proxies));
        }
        self.update_fleet();
    }

    /// All controllers that anyone names, and the greatest number of proxies: too small a share of a fixed
    /// allowance wastes little, too large a one breaks it.
    fn update_fleet(&mut self) {
        let told = self.controllers.values().filter_map(|controller| controller.fleet.as_ref());
        let (mut controllers, mut proxies) = (BTreeSet::new(), 0);
        for (named, count) in told {
            controllers.extend(named.iter().copied());
            proxies = proxies.max(*count);
        }
        self.view.set_fleet(controllers.into_iter().collect(), proxies);
    }

    fn alive(&mut self, now: Millis, from: SocketAddrV4, alive: Alive) {
        let Some(controller) = self.controllers.get_mut(&from) else { return };
        controller.told_contact = true;
        let proved =
            (alive.majority_age_ms != NEVER).then(|| now.saturating_sub(alive.majority_age_ms.into()));
        controller.majority_at = controller.majority_at.max(proved);
    }

    /// Age of the newest proof of any controller that what it tells is the majority's.
    fn majority_age(&self, now: Millis) -> u32 {
        let newest = self.controllers.values().filter_map(|controller| controller.majority_at).max();
        newest.map_or(NEVER, |at| now.saturating_sub(at).min(Millis::from(NEVER)) as u32)
    }

    fn feed(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let age = self.majority_age(now);
        for (link, proxy) in self.proxies.iter_mut().filter(|(_, proxy)| !proxy.busy) {
            let messages = proxy.subscriber.messages(now, &self.view, age);
            if !messages.is_empty() {
                proxy.busy = true;
                out.push(Effect::SendProxy { link: *link, messages });
            }
        }
    }
}
