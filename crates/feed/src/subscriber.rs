//! How far a subscriber has got.

use peer::{Alive, Message};

use crate::prefixes::PrefixFeed;
use crate::replicas::ReplicaFeed;
use crate::view::View;
use crate::Millis;

/// Every subscriber hears at least so often that its feeder lives.
const ALIVE_EVERY_MS: Millis = 500;
/// Changes of what replicas keep are sent at most so often: each message costs its receivers a wake-up.
const PREFIXES_EVERY_MS: Millis = 100;

/// Namings of weights that are younger are told again with each sign of life, ms. A message tells ages: one that is read
/// late, by a receiver that stood still or behind a full link, makes a naming look younger, and the next one corrects
/// that. Longer than the bounds of deployments, after which no proxy sends to older weights anyway.
const AGES_AGAIN_MS: i64 = 30_000;

/// A receiver hears of a configuration from its home feeder; the others wait for so long, and tell it only if it has not
/// heard by then.
pub const HOME_FIRST_MS: Millis = 500;

/// What one subscriber has been sent.
#[derive(Debug, Clone)]
pub struct Subscriber {
    configuration: u64,
    /// Whether this feeder is the one that tells the receiver first.
    is_home: bool,
    /// Since when the receiver has been seen to lack the newest configuration, whichever that was meanwhile.
    lacks_since: Option<Millis>,
    replicas: ReplicaFeed,
    weights: u64,
    /// Revision of the releases that were sent.
    releases: u64,
    fleet: u64,
    alive_at: Option<Millis>,
    prefixes: PrefixFeed,
    prefixes_at: Millis,
}

impl Subscriber {
    /// A subscriber that has this version of the configuration, 0 for none.
    pub fn new(configuration: u64) -> Subscriber {
        Subscriber {
            configuration,
            is_home: true,
            lacks_since: None,
            replicas: ReplicaFeed::of_home(0),
            weights: 0,
            releases: 0,
            fleet: 0,
            alive_at: None,
            prefixes: PrefixFeed::default(),
            prefixes_at: 0,
        }
    }

    /// The subscriber says that it needs the whole configuration.
    pub fn wants_configuration(&mut self) {
        self.configuration = 0;
    }

    /// Ready replicas are told at most so often.
    #[must_use]
    pub fn with_pause(mut self, pause: Millis) -> Subscriber {
        self.replicas = ReplicaFeed::of_home(pause);
        self
    }

    /// Whether the receiver hears of the kept parts that it asks for itself only.
    pub fn set_narrow(&mut self, is_narrow: bool) {
        self.prefixes.set_narrow(is_narrow);
    }

    /// The receiver wants to hear of these parts. The view has to be asked for them, too.
    pub fn ask_parts(&mut self, now: Millis, parts: &[u64]) {
        self.prefixes.ask(now, parts);
    }

    /// Forgets which parts the receiver wanted long ago.
    pub fn forget_parts(&mut self, now: Millis) {
        self.prefixes.forget_old(now);
    }

    /// Whether this feeder tells the receiver of ready replicas; the only one does, unless it is said.
    pub fn set_tells_ready(&mut self, tells_ready: bool) {
        self.replicas.set_home(tells_ready);
    }

    /// Whether this feeder is the one that tells the receiver of configurations first; the only one is, unless it is
    /// said.
    pub fn set_home(&mut self, is_home: bool) {
        self.is_home = is_home;
    }

    /// The subscriber says that it has this version of the configuration, whoever told it.
    pub fn has_configuration(&mut self, version: u64) {
        if version > self.configuration {
            self.configuration = version;
            // The home tells it. What it lacks now is newer.
            self.lacks_since = None;
        }
    }

    /// When the subscriber is to hear something even if there is no news.
    pub fn deadline(&self, view: &View) -> Millis {
        let alive = self.alive_deadline().min(self.configuration_deadline());
        let alive = alive.min(self.replicas.deadline(view));
        if self.prefixes.is_behind(&view.prefixes) {
            alive.min(self.prefixes_at)
        } else {
            alive
        }
    }

    fn configuration_deadline(&self) -> Millis {
        self.lacks_since.map_or(Millis::MAX, |since| since + HOME_FIRST_MS)
    }

    fn alive_deadline(&self) -> Millis {
        self.alive_at.map_or(0, |at| at + ALIVE_EVERY_MS)
    }

    /// What the subscriber has not heard yet. What is returned counts as sent. `majority_age_ms`: age of the
    /// newest proof that the feeder's knowledge is the majority's.
    pub fn messages(&mut self, now: Millis, view: &View, majority_age_ms: u32) -> Vec<Message> {
        let mut messages = Vec::new();
        // Before all that they decide on.
        messages.extend(self.releases(view));
        messages.extend(self.replicas.messages(now, view));
        messages.extend(self.configuration(now, view));
        messages.extend(self.weights(now, view));
        messages.extend(self.fleet(view));
        messages.extend(self.prefixes(now, view));
        if now >= self.alive_deadline() {
            self.alive_at = Some(now);
            messages
                .push(Message::Alive(Alive { majority_age_ms, configuration: view.configuration_version() }));
        }
        messages
    }

    fn prefixes(&mut self, now: Millis, view: &View) -> Vec<Message> {
        if now < self.prefixes_at || !self.prefixes.is_behind(&view.prefixes) {
            return Vec::new();
        }
        self.prefixes_at = now + PREFIXES_EVERY_MS;
        self.prefixes.messages(&view.prefixes)
    }

    fn configuration(&mut self, now: Millis, view: &View) -> Option<Message> {
        let Some(held) = view.configuration().filter(|held| held.version() > self.configuration) else {
            self.lacks_since = None;
            return None;
        };
        let since = *self.lacks_since.get_or_insert(now);
        if !self.is_home && now < since + HOME_FIRST_MS {
            return None;
        }
        self.lacks_since = None;
        let message = held.message_for(self.configuration);
        self.configuration = held.version();
        Some(Message::Configuration(message))
    }

    fn weights(&mut self, now: Millis, view: &View) -> Option<Message> {
        let is_news = self.weights != view.weights_change;
        let tells_again = now >= self.alive_deadline() && has_young_naming(now, view);
        (is_news || tells_again).then(|| {
            self.weights = view.weights_change;
            Message::Weights(view.weights_message(now))
        })
    }

    fn releases(&mut self, view: &View) -> Option<Message> {
        let newest = view.releases().revision;
        (self.releases < newest).then(|| {
            self.releases = newest;
            Message::Releases(view.releases().bytes().into())
        })
    }

    fn fleet(&mut self, view: &View) -> Option<Message> {
        (self.fleet != view.fleet_change).then(|| {
            self.fleet = view.fleet_change;
            Message::Fleet(view.fleet_message())
        })
    }
}

/// Whether some naming is so young that its age matters.
fn has_young_naming(now: Millis, view: &View) -> bool {
    view.weights().iter().any(|(_, naming)| (now as i64).saturating_sub(naming.named_at) < AGES_AGAIN_MS)
}
