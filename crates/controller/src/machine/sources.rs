//! Whose events on kept parts of prompts are read here.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use catalog::{home_of, Controller, Record};
use configuration::Configuration;

use crate::kv_events::reader::Source;
use crate::machine::Machine;
use crate::Millis;

/// A replica whose heartbeats stay away for so many is not at home here any more.
const HOME_BEATS: Millis = 3;

/// A store of kept blocks, as the configuration names it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Store {
    address: SocketAddrV4,
    zone: String,
}

impl Machine {
    /// The replicas with models that send their heartbeats here, and the stores that are at home here, by name.
    pub fn wanted_readers(&self, now: Millis) -> BTreeMap<String, Source> {
        let replicas = self.view.replicas.live().filter(|record| !record.models.is_empty());
        let replicas = replicas.filter(|record| self.is_at_home(now, record));
        let replicas =
            replicas.map(|record| Source::Replica { id: record.id.clone(), address: record.address });
        let controllers = self.live_controllers();
        let stores = self.stores.iter().filter(|store| {
            let home = home_of(&store.address.to_string(), &store.zone, &controllers);
            home.is_some_and(|home| home.control == self.me.control)
        });
        let stores = stores.map(|store| Source::Store { address: store.address });
        replicas.chain(stores).map(|source| (source.name(), source)).collect()
    }

    fn is_at_home(&self, now: Millis, record: &Record) -> bool {
        let heard = self.view.replicas.heard_here(&record.id);
        heard.is_some_and(|at| now < at + HOME_BEATS * self.timing.beat_every_ms)
    }

    /// This controller and those that are alive.
    pub(crate) fn live_controllers(&self) -> Vec<Controller> {
        let me = Controller { control: self.me.control, zone: self.me.zone.clone() };
        let others = self.membership.alive();
        let others = others.map(|one| Controller { control: one.control, zone: one.zone.clone() });
        others.chain([me]).collect()
    }

    /// Notes the stores that a configuration names.
    pub(crate) fn note_stores(&mut self, body: &[u8]) {
        let Ok(configuration) = Configuration::read(body) else { return };
        let stores = configuration.services.iter().filter_map(|service| {
            let address = service.cache_store.as_ref()?.parse().ok()?;
            Some(Store { address, zone: service.zone.clone().unwrap_or_default() })
        });
        self.stores = stores.collect();
    }
}
