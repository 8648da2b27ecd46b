//! Joins replicas, index, budgets and weights into decisions.

use crate::budget::{BudgetLimits, RetryBudget};
use crate::call::{Ask, Call};
use crate::figures::Figures;
use crate::fleet_load::FleetLoad;
use crate::mechanisms::Mechanisms;
use crate::moves::{Engines, Store, Stores};
use crate::replica::Replica;
use crate::salt::Salts;
use crate::speed::Speed;
use crate::twins::Twins;
use crate::versions::Versions;
use evidence::Ms;
use peer::{Prefixes, ReplicaRecord, ReplicaState, UNREACHABLE};
use prefix_index::{Part, PartKey, PrefixIndex, ReplicaNumber, Source};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::collections::{HashMap, VecDeque};
use weights::{due_after, NamedWeights, Naming};

/// Parts seen that are kept for whoever asks; nobody does while the agent is away.
const MOST_SEEN: usize = 50_000;

/// Most replicas that are lost and kept in mind.
const MOST_LOST: usize = 256;
/// What has not begun on an older version so long before its bound ends is taken back: the close has to reach the
/// replica, ms.
const BEGIN_MARGIN: Ms = 200.0;

/// The number of proxies until the fleet tells.
pub(crate) const FIRST_PROXIES: u32 = 64;

/// Bounds from the process's settings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Sends after the first for each request of a service.
    pub retry_ratio: f64,
    /// The sliding window of the retry budget, ms.
    pub retry_window: Ms,
    /// Sends after the first that the fleet may make besides, in a window.
    pub extra_tries: f64,
    /// Time to move to a named version of a model, ms.
    pub version: Ms,
    /// The part of a service's requests that a bad version of its software may get.
    pub bad_share: f64,
}

/// What is known of a service.
#[derive(Debug)]
pub(crate) struct Service {
    pub replicas: Vec<ReplicaNumber>,
    pub speed: Speed,
    pub twins: Twins,
}

/// Decides for one proxy.
#[derive(Debug)]
pub struct Dispatcher {
    pub(crate) bounds: Bounds,
    pub(crate) proxies: u32,
    pub(crate) started: Ms,
    pub(crate) replicas: HashMap<ReplicaNumber, Replica>,
    numbers: HashMap<String, ReplicaNumber>,
    /// Replicas in the order in which they were told lost; some may be back.
    lost: VecDeque<ReplicaNumber>,
    next_number: u32,
    pub(crate) services: HashMap<String, Service>,
    budgets: HashMap<String, RetryBudget>,
    pub(crate) weights: NamedWeights,
    pub(crate) salts: Salts,
    pub(crate) index: PrefixIndex,
    pub(crate) engines: Engines,
    pub(crate) stores: Stores,
    pub(crate) fleet_load: FleetLoad,
    /// Shared parts of prompts that were sent since they were asked about last.
    pub(crate) seen_parts: Vec<PartKey>,
    pub(crate) random: SmallRng,
    pub(crate) mechanisms: Mechanisms,
    pub(crate) versions: Versions,
    pub(crate) figures: Figures,
    twin_part: f64,
}

impl Dispatcher {
    /// A dispatcher of a process that started at `started`; `index_bytes` bounds its index.
    pub fn new(bounds: Bounds, index_bytes: usize, seed: u64, started: Ms) -> Dispatcher {
        Dispatcher {
            bounds,
            proxies: FIRST_PROXIES,
            started,
            replicas: HashMap::new(),
            numbers: HashMap::new(),
            lost: VecDeque::new(),
            next_number: 0,
            services: HashMap::new(),
            budgets: HashMap::new(),
            weights: NamedWeights::default(),
            salts: Salts::default(),
            index: PrefixIndex::new(index_bytes),
            engines: Engines::new(),
            stores: Stores::default(),
            fleet_load: FleetLoad::default(),
            seen_parts: Vec::new(),
            random: SmallRng::seed_from_u64(seed),
            mechanisms: Mechanisms::default(),
            versions: Versions::default(),
            figures: Figures::default(),
            twin_part: 0.0,
        }
    }

    /// By when a request has to begin on this version of a model: the bound of the first version above it, less a
    /// margin. If there is none yet, one may be named at any moment.
    pub fn begin_by(&self, model: &str, version: u64, now: Ms) -> Ms {
        let first = self.weights.first_above(model, version);
        let named_at = first.map_or(now, |first| first.named_at as f64);
        named_at + self.bounds.version - BEGIN_MARGIN
    }

    /// The bounds in force.
    pub fn bounds(&self) -> Bounds {
        self.bounds
    }

    /// The bounds have changed.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// So many proxies share the fixed part of the retry budget.
    pub fn set_proxies(&mut self, proxies: u32) {
        self.proxies = proxies.max(1);
    }

    /// The part of requests that may get a twin, [`crate::MOST_TWINS`] at most; none at first.
    pub fn set_twin_part(&mut self, part: f64) {
        self.twin_part = part;
        self.services.values_mut().for_each(|service| service.twins = Twins::new(part));
    }

    /// What became of this proxy's requests.
    pub fn figures(&self) -> &Figures {
        &self.figures
    }

    /// Which mechanisms are on.
    pub fn set_mechanisms(&mut self, mechanisms: Mechanisms) {
        self.mechanisms = mechanisms;
    }

    /// The tenants of the configuration, or who of them shares, have changed.
    pub fn set_salts(&mut self, salts: Salts) {
        self.salts = salts;
    }

    /// The services' engines and the stores of kept blocks have changed.
    pub fn set_moves(&mut self, engines: Engines, stores: Vec<Store>) {
        self.engines = engines;
        let numbered = stores.into_iter().map(|store| (self.number_of_store(&store), store)).collect();
        self.stores.set(numbered);
    }

    /// The number of a store in the index, under its address.
    fn number_of_store(&mut self, store: &Store) -> ReplicaNumber {
        let next = ReplicaNumber(self.next_number);
        let number = *self.numbers.entry(store.address.to_string()).or_insert(next);
        self.next_number += u32::from(number == next);
        number
    }

    /// A version of a model was named. Whether that is news.
    pub fn name_version(&mut self, model: &str, naming: Naming) -> bool {
        self.weights.name(model, naming)
    }

    /// The named versions of models.
    pub fn named_weights(&self) -> &NamedWeights {
        &self.weights
    }

    /// The least version that a request for a model may be sent to, if there is one.
    pub(crate) fn least_version(&self, model: &str, now: Ms) -> Option<u64> {
        self.weights.floor(model, now as i64, due_after(self.bounds.version as i64))
    }

    /// Takes news of a replica.
    pub fn update_replica(&mut self, record: ReplicaRecord) {
        let id = record.id.as_str();
        if let Some(number) = self.numbers.get(id).copied() {
            if record.state == ReplicaState::Gone {
                return self.remove(number);
            }
            self.update_known(number, record);
            return;
        }
        if matches!(record.state, ReplicaState::Gone | ReplicaState::Lost) {
            return;
        }
        let number = ReplicaNumber(self.next_number);
        let (id, service) = (id.to_string(), record.service.to_string());
        let software = self.versions.software_of(&id, &service);
        let Some(replica) = Replica::new(number, record, software) else { return };
        self.next_number += 1;
        self.numbers.insert(id, number);
        let twins = Twins::new(self.twin_part);
        let new = || Service { replicas: Vec::new(), speed: Speed::default(), twins };
        self.services.entry(service).or_insert_with(new).replicas.push(number);
        self.replicas.insert(number, replica);
    }

    fn update_known(&mut self, number: ReplicaNumber, record: ReplicaRecord) {
        let Some(replica) = self.replicas.get_mut(&number) else { return };
        let was_lost = replica.is_lost();
        replica.update(record);
        if replica.is_lost() && !was_lost {
            self.lost.retain(|known| *known != number);
            self.lost.push_back(number);
            self.forget_lost();
        }
    }

    /// Lost replicas are kept for what is known of them, should they be back; of too many, those go that were lost first.
    fn forget_lost(&mut self) {
        while self.lost.len() > MOST_LOST {
            let Some(first) = self.lost.pop_front() else { return };
            if self.replicas.get(&first).is_some_and(Replica::is_lost) {
                self.remove(first);
            }
        }
    }

    fn remove(&mut self, number: ReplicaNumber) {
        let Some(replica) = self.replicas.remove(&number) else { return };
        self.numbers.remove(&*replica.id);
        if let Some(service) = self.services.get_mut(replica.record.service.as_str()) {
            service.replicas.retain(|known| *known != number);
        }
        self.index.forget(number);
    }

    /// The number of a replica in the index.
    pub fn replica_number(&self, id: &str) -> Option<ReplicaNumber> {
        self.numbers.get(id).copied()
    }

    /// Takes news of what a replica keeps.
    pub fn take_prefixes(&mut self, replica: ReplicaNumber, news: &Prefixes) {
        if news.reset != 0 {
            self.index.forget(replica);
        }
        self.stores.set_down(replica, news.epoch == UNREACHABLE);
        self.index.epoch(replica, news.epoch);
        for change in &news.changes {
            let part = PartKey(change.part);
            match change.tokens {
                0 => self.index.drop_part(replica, part),
                tokens => self.index.keep(replica, part, tokens, Source::Reported),
            }
        }
    }

    /// Takes news of what all proxies together have out at replicas.
    pub fn take_loads(&mut self, news: &peer::Loads, now: Ms) {
        self.fleet_load.take(news, now);
    }

    /// When [`Dispatcher::tell_loads`] may have something to tell.
    pub fn loads_due(&self) -> Ms {
        self.fleet_load.deadline()
    }

    /// What the fleet is to hear now of what this proxy has out at replicas.
    pub fn tell_loads(&mut self, now: Ms) -> Option<peer::Loads> {
        let out = self.replicas.values().filter(|replica| replica.out > 0);
        let own = out.map(|replica| (replica.key, replica.load())).collect();
        self.fleet_load.tell(&own, now)
    }

    /// Notes the parts of a prompt that was sent. The last one belongs to the request or its session: nobody else asks
    /// for it.
    pub(crate) fn see(&mut self, parts: &[Part]) {
        let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
        let room = MOST_SEEN.saturating_sub(self.seen_parts.len());
        self.seen_parts.extend(shared.iter().take(room).map(|part| part.key));
    }

    /// The shared parts of prompts sent since this was asked last.
    pub fn take_seen_parts(&mut self) -> Vec<PartKey> {
        std::mem::take(&mut self.seen_parts)
    }

    /// Replicas that take requests, of all services.
    pub fn ready_replicas(&self) -> usize {
        self.replicas.values().filter(|replica| replica.is_ready()).count()
    }

    /// Whether the replica with this number still takes requests.
    pub fn is_ready(&self, replica: ReplicaNumber) -> bool {
        self.replicas.get(&replica).is_some_and(Replica::is_ready)
    }

    /// A client's request has come.
    pub fn begin(&mut self, ask: Ask, now: Ms) -> Call {
        self.budget(&ask.service).request(now);
        self.count_route(&ask.service, ask.route);
        if let Some(service) = self.services.get_mut(&*ask.service) {
            service.twins.request();
        }
        Call::new(ask)
    }

    pub(crate) fn budget(&mut self, service: &str) -> &mut RetryBudget {
        if !self.budgets.contains_key(service) {
            self.budgets.insert(service.to_string(), RetryBudget::new(self.started));
        }
        self.budgets.get_mut(service).expect("just put there")
    }

    pub(crate) fn budget_limits(&self) -> BudgetLimits {
        BudgetLimits {
            ratio: self.bounds.retry_ratio,
            window: self.bounds.retry_window,
            extra: self.bounds.extra_tries,
            proxies: self.proxies,
        }
    }

    /// An answer told the version of the weights that its request ran on.
    pub fn hear_version(&mut self, replica: ReplicaNumber, model: &str, version: u64) {
        if let Some(replica) = self.replicas.get_mut(&replica) {
            replica.hear_version(model, version);
        }
    }
}
