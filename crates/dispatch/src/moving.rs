//! Which kept blocks a send has fetched and saved.

use crate::call::Call;
use crate::choose::ReadRate;
use crate::dispatcher::Dispatcher;
use crate::mechanisms::Mechanism;
use crate::moves::{best, Holder, Move, FEWEST_TOKENS};
use evidence::Ms;
use prefix_index::{Kept, Part, ReplicaNumber, Source};
use std::net::SocketAddrV4;

/// What is known of a prompt before its replica is chosen.
#[derive(Debug, Default)]
pub(crate) struct Known {
    /// Tokens of the prompt's start that each of the candidates keeps.
    pub kept: Vec<u32>,
    /// The same, with what is expected at the prompt's home.
    pub expected: Vec<u32>,
    /// The same start under each version for which it may be asked.
    pub by_version: Vec<KnownVersion>,
}

/// What is known of a prompt's start under one version.
#[derive(Debug)]
pub(crate) struct KnownVersion {
    pub version: u64,
    /// Who keeps a start of it.
    pub holders: Vec<Kept>,
    /// Somebody keeps the last shared part, or did.
    pub was_read: bool,
}

impl Known {
    /// The most tokens of the prompt's start that anyone keeps under a version.
    pub fn longest(&self, version: u64) -> u32 {
        self.holders(version).iter().map(|kept| kept.tokens).max().unwrap_or_default()
    }

    /// Whether somebody has read the start under a version.
    pub fn was_read(&self, version: u64) -> bool {
        self.under(version).is_some_and(|known| known.was_read)
    }

    fn holders(&self, version: u64) -> &[Kept] {
        self.under(version).map_or(&[], |known| &known.holders)
    }

    fn under(&self, version: u64) -> Option<&KnownVersion> {
        self.by_version.iter().find(|known| known.version == version)
    }
}

/// Addresses for `Kv-Fetch` and `Kv-Save`.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Errands {
    pub fetch: Option<SocketAddrV4>,
    pub save: Option<SocketAddrV4>,
}

impl Dispatcher {
    /// The best way for a replica to get what it lacks of a prompt's start.
    pub(crate) fn best_move(
        &self,
        call: &Call,
        number: ReplicaNumber,
        kept: u32,
        known: &Known,
        now: Ms,
    ) -> Option<Move> {
        if !self.mechanisms.has(Mechanism::Moves) {
            return None;
        }
        let engine = self.engines.get(&*call.ask.service)?;
        let version = self.version_to_expect(number, call.ask.model.as_deref()?, now);
        let replica = self.replicas.get(&number)?;
        let holders = known.holders(version).iter().filter_map(|kept| self.holder(kept, now));
        let others = holders.filter(|holder| holder.address != replica.address);
        best(engine, others, replica.record.zone.as_str(), kept, self.read_rate(&call.ask.service).0)
    }

    /// Who keeps a start, if blocks can be fetched there.
    fn holder(&self, kept: &Kept, now: Ms) -> Option<Holder<'_>> {
        if let Some(replica) = self.replicas.get(&kept.replica) {
            let (address, zone) = (replica.address, replica.record.zone.as_str());
            let is_usable = replica.is_ready() && replica.is_well(now) && self.may_be_read(replica);
            return is_usable.then_some(Holder { address, zone, tokens: kept.tokens, link_mbps: None });
        }
        let store = self.stores.numbered(kept.replica)?;
        let (address, zone) = (store.address, store.zone.as_str());
        Some(Holder { address, zone, tokens: kept.tokens, link_mbps: Some(store.link_mbps) })
    }

    pub(crate) fn read_rate(&self, service: &str) -> ReadRate {
        self.services.get(service).map(|service| service.speed).unwrap_or_default().rate()
    }

    /// Where the blocks of a prompt are fetched from, and which store is to have them. To be asked before the send is
    /// noted in the index: who has the blocks now is what counts.
    pub(crate) fn errands(&mut self, call: &Call, parts: &[Part], fetched: Option<Move>, now: Ms) -> Errands {
        let fetch = fetched.map(|fetched| fetched.from);
        let none = Errands { fetch, save: None };
        // The last part belongs to the request or its session; what comes before it is shared.
        let Some((_, shared)) = parts.split_last() else { return none };
        let Some(first) = shared.first().filter(|_| self.engines.contains_key(&*call.ask.service)) else {
            return none;
        };
        let Some((number, store)) = self.stores.home(first) else { return none };
        if !self.mechanisms.has(Mechanism::Stores) {
            return none;
        }
        let wanted = shared.iter().fold(0_u32, |sum, part| sum.saturating_add(part.tokens));
        if wanted < FEWEST_TOKENS {
            return none;
        }
        let mut found = Vec::new();
        self.index.lookup(shared, now, &mut found);
        if found.iter().any(|kept| kept.replica == number && kept.tokens >= wanted) {
            return none;
        }
        // Nobody is known to have it: the store may, from another proxy's request.
        let fetch = fetch.or(found.is_empty().then_some(store));
        if !self.is_worth_saving(call, shared) {
            return Errands { fetch, save: None };
        }
        for part in shared {
            self.index.keep(number, part.key, part.tokens, Source::Sent(now));
        }
        Errands { fetch, save: Some(store) }
    }

    /// Whether a start is likely to be asked for again: it is open to all tenants that share, or it was asked for before.
    /// What one tenant asks for once would push out of the store what many ask for.
    fn is_worth_saving(&self, call: &Call, shared: &[Part]) -> bool {
        let is_shared = call.ask.tenant.as_ref().is_none_or(|tenant| self.salts.is_sharing(tenant));
        let was_kept = || shared.last().is_some_and(|last| self.index.was_kept(last.key));
        is_shared || was_kept() || !self.mechanisms.has(Mechanism::StoreAdmission)
    }
}
