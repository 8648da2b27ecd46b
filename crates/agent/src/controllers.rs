//! The controllers that an agent is linked to, and what each said of itself and of the fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

use peer::{replica_key, Alive, Fleet, NEVER};

use crate::machine::Place;
use crate::Millis;

/// Controllers that are linked at most.
pub(crate) const MOST_CONTROLLERS: usize = 9;
/// What a controller said counts for so long after its link went down.
const REMEMBER_MS: Millis = 30_000;
/// A controller whose newest proof of contact with a majority is older is no home while there is another one: its view
/// of the fleet may be old.
const HOME_CONTACT_MS: Millis = 1_500;
/// An agent that has just found controllers waits so long for one of its own zone, before it makes another its home.
const HOME_SETTLES_MS: Millis = 300;

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

/// All controllers that are linked, or were lately.
#[derive(Debug, Default)]
pub(crate) struct Controllers {
    all: BTreeMap<SocketAddrV4, Controller>,
    /// Since when some controller is linked.
    linked_since: Option<Millis>,
}

impl Controllers {
    /// The link to a controller is up.
    pub fn up(&mut self, now: Millis, controller: SocketAddrV4) {
        self.linked_since.get_or_insert(now);
        let entry = self.all.entry(controller).or_default();
        (entry.up, entry.seen) = (true, now);
    }

    /// It ended.
    pub fn down(&mut self, now: Millis, controller: SocketAddrV4) {
        if let Some(entry) = self.all.get_mut(&controller) {
            (entry.up, entry.seen) = (false, now);
        }
    }

    /// A controller says where it is.
    pub fn introduced(&mut self, controller: SocketAddrV4, zone: &str) {
        if let Some(entry) = self.all.get_mut(&controller) {
            entry.zone = zone.to_string();
        }
    }

    /// A controller says who there is.
    pub fn told_fleet(&mut self, controller: SocketAddrV4, fleet: &Fleet) {
        let told = fleet.controllers.iter().filter_map(|address| address.socket()).collect();
        if let Some(entry) = self.all.get_mut(&controller) {
            entry.fleet = Some((told, fleet.proxies));
        }
    }

    /// A controller says that it lives, and how far it is in step with the majority.
    pub fn alive(&mut self, now: Millis, controller: SocketAddrV4, alive: Alive) {
        let Some(entry) = self.all.get_mut(&controller) else { return };
        entry.told_contact = true;
        let proved =
            (alive.majority_age_ms != NEVER).then(|| now.saturating_sub(alive.majority_age_ms.into()));
        entry.majority_at = entry.majority_at.max(proved);
    }

    /// The controllers to which links are up.
    pub fn linked(&self) -> impl Iterator<Item = SocketAddrV4> + '_ {
        self.all.iter().filter(|(_, one)| one.up).map(|(address, _)| *address)
    }

    /// Whether what a controller tells was the majority's a moment ago.
    pub fn has_contact(&self, now: Millis, controller: SocketAddrV4) -> bool {
        self.all.get(&controller).is_some_and(|one| one.has_contact(now))
    }

    /// Whether a controller is in a zone.
    pub fn is_in_zone(&self, controller: SocketAddrV4, zone: &str) -> bool {
        self.all.get(&controller).is_some_and(|one| one.zone == zone)
    }

    /// Whether one that is linked knows the others, and has not said that it is cut off from them.
    pub fn know_fleet(&self, now: Millis) -> bool {
        let knows =
            |one: &Controller| one.up && one.fleet.is_some() && (one.has_contact(now) || !one.told_contact);
        self.all.values().any(knows)
    }

    /// The home: one in contact with a majority where there is one, then one of this zone; agents spread over several.
    pub fn home(&self, now: Millis, place: &Place) -> Option<SocketAddrV4> {
        let up = self.all.iter().filter(|(_, one)| one.up);
        let weight = |(address, one): &(&SocketAddrV4, &Controller)| {
            let spread = replica_key(&format!("{} {address}", place.machine));
            (one.has_contact(now), one.zone == place.zone, spread, **address)
        };
        up.max_by_key(weight).map(|(address, _)| *address)
    }

    /// When one of another zone may become the home. While nobody is linked there is nobody to choose, and the time for
    /// it has long gone by.
    pub fn settles_at(&self) -> Option<Millis> {
        let is_linked = self.all.values().any(|one| one.up);
        self.linked_since.filter(|_| is_linked).map(|since| since + HOME_SETTLES_MS)
    }

    /// Whether one of another zone may become the home.
    pub fn has_settled(&self, now: Millis) -> bool {
        self.linked_since.is_some_and(|since| now >= since + HOME_SETTLES_MS)
    }

    /// Drops those whose links ended long ago.
    pub fn forget_old(&mut self, now: Millis) {
        self.all.retain(|_, one| one.up || now.saturating_sub(one.seen) < REMEMBER_MS);
    }

    /// All controllers that anyone names, and the greatest number of proxies: too small a share of a fixed
    /// allowance wastes little, too large a one breaks it.
    pub fn fleet(&self) -> (BTreeSet<SocketAddrV4>, u32) {
        let told = self.all.values().filter_map(|controller| controller.fleet.as_ref());
        let (mut controllers, mut proxies) = (BTreeSet::new(), 0);
        for (named, count) in told {
            controllers.extend(named.iter().copied());
            proxies = proxies.max(*count);
        }
        (controllers, proxies)
    }

    /// Age of the newest proof of any controller that what it tells is the majority's.
    pub fn majority_age(&self, now: Millis) -> u32 {
        let newest = self.all.values().filter_map(|controller| controller.majority_at).max();
        newest.map_or(NEVER, |at| now.saturating_sub(at).min(Millis::from(NEVER)) as u32)
    }
}
