//! What a controller shows operators of the fleet.

use std::collections::BTreeMap;

use catalog::State;
use membership::Status as MemberStatus;
use rollout::Release;
use serde::Serialize;
use weights::Namings;

use crate::machine::{Machine, Moment};
use crate::Millis;

/// The fleet as one controller knows it.
#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
struct Status<'a> {
    node: &'a str,
    configuration: u64,
    /// Age of the newest proof of contact with a majority, milliseconds; none if there is none.
    majority_age_ms: Option<Millis>,
    acceptor_set: Acceptors,
    controllers: Vec<ControllerStatus<'a>>,
    /// Proxies that share fixed allowances; 0 while that is not known.
    proxies: u32,
    agents: usize,
    weights: Vec<WeightsStatus<'a>>,
    duty: DutyStatus,
    releases: Vec<ReleaseStatus<'a>>,
    replicas: BTreeMap<&'a str, ServiceStatus>,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
struct Acceptors {
    epoch: Option<u32>,
    members: Vec<String>,
    /// Whether this machine takes part in it.
    active: bool,
}

#[derive(Debug, Serialize)]
struct ControllerStatus<'a> {
    node: &'a str,
    zone: &'a str,
    control: String,
    state: &'static str,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
struct WeightsStatus<'a> {
    model: &'a str,
    version: u64,
    /// Replicas that hold it, of those that serve the model.
    holding: usize,
    serving: usize,
    /// How long ago the first version was named that some replica still lacks, ms.
    behind_ms: Option<i64>,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
struct DutyStatus {
    holder: Option<String>,
    mine: bool,
    under_way: usize,
}

/// The newest release of a service.
#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
struct ReleaseStatus<'a> {
    service: &'a str,
    number: u64,
    to_version: &'a str,
    over_ms: Millis,
    phase: String,
    /// Why it is in that phase, with the figures of the judgement.
    reason: &'a str,
    /// What this controller has seen of it, while it is under way.
    judgement: Option<String>,
}

/// Numbers of a service's replicas by state.
#[derive(Debug, Default, Serialize)]
struct ServiceStatus {
    ready: usize,
    lost: usize,
    draining: usize,
}

impl Machine {
    /// What is known of the fleet, JSON.
    pub(crate) fn status(&self, at: Moment) -> Vec<u8> {
        let age = self.majority_age(at.now);
        let register = self.register.as_ref();
        let status = Status {
            node: &self.me.node,
            configuration: self.view.configuration_version(),
            majority_age_ms: (age != Millis::MAX).then_some(age),
            acceptor_set: Acceptors {
                epoch: register.and_then(|register| register.set()).map(|set| set.epoch),
                members: self.set_addresses().iter().map(ToString::to_string).collect(),
                active: register.is_some_and(|register| register.is_active()),
            },
            controllers: self.controller_statuses(),
            proxies: self.view.proxies(),
            agents: self.agents.linked(),
            weights: self.weights_statuses(at.now),
            duty: DutyStatus {
                holder: self.holder.last_holder().map(|holder| holder.to_string()),
                mine: self.holder.is_mine(),
                under_way: self.moves.under_way().count(),
            },
            releases: self.release_statuses(),
            replicas: self.service_statuses(),
        };
        serde_json::to_vec(&status).unwrap_or_default()
    }

    fn controller_statuses(&self) -> Vec<ControllerStatus<'_>> {
        let all = self.membership.known().chain([self.membership.me()]);
        let status = |update: &'_ membership::Update| match update.status {
            MemberStatus::Alive => "alive",
            MemberStatus::Suspect { .. } => "suspected",
            MemberStatus::Down => "down",
            MemberStatus::Left => "left",
        };
        let shown = all.map(|update| ControllerStatus {
            node: &update.member.node,
            zone: &update.member.zone,
            control: update.member.control.to_string(),
            state: status(update),
        });
        shown.collect()
    }

    fn weights_statuses(&self, now: Millis) -> Vec<WeightsStatus<'_>> {
        self.view
            .weights()
            .models()
            .map(|(model, namings)| self.weights_status(now, model, namings))
            .collect()
    }

    fn weights_status<'a>(&'a self, now: Millis, model: &'a str, namings: &Namings) -> WeightsStatus<'a> {
        let version = namings.newest().map_or(weights::FIRST_VERSION, |naming| naming.version);
        let models = self.view.replicas.live().flat_map(|record| &record.models);
        let versions: Vec<u64> = models.filter(|held| held.name == model).map(|held| held.version).collect();
        let holding = versions.iter().filter(|held| **held >= version).count();
        let behind = versions.iter().filter_map(|held| namings.first_above(*held));
        let behind_ms = behind.map(|first| (now as i64).saturating_sub(first.named_at)).max();
        WeightsStatus { model, version, holding, serving: versions.len(), behind_ms }
    }

    fn release_statuses(&self) -> Vec<ReleaseStatus<'_>> {
        let services = self.view.releases().services().iter();
        let newest = services.filter_map(|known| Some((known.service(), known.newest()?)));
        newest.map(|(service, release)| self.release_status(service, release)).collect()
    }

    fn release_status<'a>(&'a self, service: &'a str, release: &'a Release) -> ReleaseStatus<'a> {
        ReleaseStatus {
            service,
            number: release.number,
            to_version: release.to_version(),
            over_ms: release.over_ms,
            phase: release.phase.to_string(),
            reason: release.reason(),
            judgement: self.judgement_of(release),
        }
    }

    fn service_statuses(&self) -> BTreeMap<&str, ServiceStatus> {
        let mut services: BTreeMap<&str, ServiceStatus> = BTreeMap::new();
        for record in self.view.replicas.live() {
            let service = services.entry(&record.service).or_default();
            match record.state {
                State::Ready => service.ready += 1,
                State::Lost => service.lost += 1,
                State::Draining => service.draining += 1,
                State::Gone => {}
            }
        }
        services
    }
}
