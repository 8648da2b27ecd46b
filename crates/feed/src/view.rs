//! What a process knows of the fleet.

use std::net::SocketAddrV4;

use catalog::{Catalog, Limits, Merged, Record, State};
use configuration::ConfigurationError;
use peer::{Address, Fleet, NamedVersion, Weights};

use crate::held::{ConfigurationTaken, HeldConfiguration};
use crate::prefixes::PrefixTable;
use crate::records::record_from_wire;
use crate::Millis;

/// The newest named version of a model's weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NamedWeights {
    pub model: String,
    pub version: u64,
    /// When it was named, by this process's clock. May lie before the clock's start.
    pub named_at: i64,
}

/// Named versions as a line of a log. Times count from `now`.
pub fn describe_weights(named: &[NamedWeights], now: Millis) -> String {
    let of_model = |one: &NamedWeights| {
        let age = now as i64 - one.named_at;
        format!("{} version {} named {age} ms ago", one.model, one.version)
    };
    named.iter().map(of_model).collect::<Vec<_>>().join("; ")
}

/// What became of records that came.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReplicasTaken {
    /// Whether any of it is news.
    pub news: bool,
    /// Records that are lost, as news.
    pub lost: Vec<Record>,
}

/// How far a view has got in what subscribers must hear at once.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UrgentChange {
    replicas: u64,
    configuration: u64,
    weights: u64,
}

/// Knowledge of the fleet, merged from whoever tells it. Never goes back within the life of the process.
#[derive(Debug)]
pub struct View {
    pub replicas: Catalog,
    pub prefixes: PrefixTable,
    configuration: Option<HeldConfiguration>,
    weights: Vec<NamedWeights>,
    pub(crate) weights_change: u64,
    controllers: Vec<SocketAddrV4>,
    proxies: u32,
    pub(crate) fleet_change: u64,
}

impl View {
    pub fn new(limits: Limits) -> View {
        View {
            replicas: Catalog::new(limits),
            prefixes: PrefixTable::default(),
            configuration: None,
            weights: Vec::new(),
            weights_change: 0,
            controllers: Vec::new(),
            proxies: 0,
            fleet_change: 0,
        }
    }

    pub fn configuration(&self) -> Option<&HeldConfiguration> {
        self.configuration.as_ref()
    }

    /// How far this view has got in what subscribers must hear at once: configurations, named weights, and replicas that
    /// drain or have ended.
    pub fn urgent_change(&self) -> UrgentChange {
        UrgentChange {
            replicas: self.replicas.last_urgent_change(),
            configuration: self.configuration_version(),
            weights: self.weights_change,
        }
    }

    /// A number that goes up with everything that subscribers may hear.
    pub fn newest_change(&self) -> u64 {
        let replicas = self.replicas.last_change();
        let others = self.prefixes.last_step() + self.weights_change + self.fleet_change;
        replicas + others + self.configuration_version()
    }

    /// Version of the configuration held, 0 for none.
    pub fn configuration_version(&self) -> u64 {
        self.configuration.as_ref().map_or(0, HeldConfiguration::version)
    }

    /// Takes a decided configuration, whole.
    ///
    /// # Errors
    /// It can't be read.
    pub fn take_configuration(
        &mut self,
        version: u64,
        body: Vec<u8>,
    ) -> Result<ConfigurationTaken, ConfigurationError> {
        if version <= self.configuration_version() {
            return Ok(ConfigurationTaken::Known);
        }
        self.configuration = Some(HeldConfiguration::read(body, self.configuration.as_ref())?);
        Ok(ConfigurationTaken::News)
    }

    /// Takes a decided configuration, or changes, as they came.
    ///
    /// # Errors
    /// They can't be read.
    pub fn take_configuration_message(
        &mut self,
        message: peer::Configuration,
    ) -> Result<ConfigurationTaken, ConfigurationError> {
        if message.version <= self.configuration_version() {
            return Ok(ConfigurationTaken::Known);
        }
        if message.base == 0 {
            return self.take_configuration(message.version, message.body.bytes);
        }
        match self.configuration.as_ref().filter(|held| held.version() == message.base) {
            Some(held) => {
                self.configuration = Some(held.changed(&message.body.bytes)?);
                Ok(ConfigurationTaken::News)
            }
            None => Ok(ConfigurationTaken::OtherBase),
        }
    }

    /// Takes records of replicas. Where this view knows better than the sender, it is told again to all.
    pub fn take_replicas(&mut self, now: Millis, replicas: &peer::Replicas) -> ReplicasTaken {
        let mut taken = ReplicasTaken::default();
        for record in &replicas.records {
            let record = record_from_wire(record);
            let (id, lost) = (record.id.clone(), record.state == State::Lost);
            match self.replicas.merge(now, record) {
                Merged::News => {
                    taken.news = true;
                    taken.lost.extend(self.replicas.get(&id).filter(|_| lost).cloned());
                }
                Merged::Older => {
                    self.replicas.tell_again(&id);
                    taken.news = true;
                }
                Merged::Same => {}
            }
        }
        taken
    }

    /// Drops what ended replicas kept.
    pub fn forget_prefixes_of_ended(&mut self) {
        let ended = |id: &str| self.replicas.get(id).is_some_and(|record| record.state == State::Gone);
        self.prefixes.retain(|id| !ended(id));
    }

    pub fn weights(&self) -> &[NamedWeights] {
        &self.weights
    }

    /// Takes named versions; a version never goes back. Whether any is news.
    pub fn take_weights(&mut self, named: Vec<NamedWeights>) -> bool {
        let before = self.weights_change;
        for one in named {
            match self.weights.iter_mut().find(|known| known.model == one.model) {
                Some(known) if known.version >= one.version => continue,
                Some(known) => *known = one,
                None => self.weights.push(one),
            }
            self.weights_change = before + 1;
        }
        self.weights_change != before
    }

    /// Takes named versions as they came. Whether any is news.
    pub fn take_weights_message(&mut self, now: Millis, weights: &Weights) -> bool {
        let named = weights.versions.iter().map(|one| NamedWeights {
            model: one.model.as_str().to_string(),
            version: one.version,
            named_at: now as i64 - i64::from(one.age_ms),
        });
        self.take_weights(named.collect())
    }

    pub(crate) fn weights_message(&self, now: Millis) -> Weights {
        let version = |one: &NamedWeights| NamedVersion {
            model: one.model.as_str().into(),
            version: one.version,
            age_ms: (now as i64 - one.named_at).clamp(0, i64::from(u32::MAX)) as u32,
        };
        Weights::from(self.weights.iter().map(version).collect::<Vec<_>>())
    }

    /// Inner addresses of the controllers.
    pub fn controllers(&self) -> &[SocketAddrV4] {
        &self.controllers
    }

    /// Number of proxies; 0 while nobody knows.
    pub fn proxies(&self) -> u32 {
        self.proxies
    }

    /// Takes who there is. Whether it is news.
    pub fn set_fleet(&mut self, controllers: Vec<SocketAddrV4>, proxies: u32) -> bool {
        if self.controllers == controllers && self.proxies == proxies {
            return false;
        }
        self.controllers = controllers;
        self.proxies = proxies;
        self.fleet_change += 1;
        true
    }

    pub(crate) fn fleet_message(&self) -> Fleet {
        Fleet::new(self.controllers.iter().copied().map(Address::from).collect(), self.proxies)
    }
}
