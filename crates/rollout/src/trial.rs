//! Which replicas of a new version are used while it gets a part of the traffic.
//!
//! The same part of them, so that each has the load of an old one: a version that fails under load only looks sound on idle
//! replicas. As the part grows, replicas come in beside those that are used already. All proxies choose the same ones, by a
//! hash, one from each zone before a second one of any: then neither a sick replica nor a sick zone is most of what is seen.

use std::collections::BTreeMap;

use peer::part_key;

/// Fewest replicas where there are as many: what one of them does is not the version's doing.
const FEWEST: usize = 4;

/// A ready replica of the new version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TrialCandidate<'a> {
    /// Its id.
    pub id: &'a str,
    /// Its zone.
    pub zone: &'a str,
    /// Whether it is past its slow start.
    pub is_warm: bool,
}

/// The places of those replicas that take the new version's traffic in release `number`, if that is `share` of all.
pub fn trial_replicas(number: u64, share: f64, candidates: &[TrialCandidate]) -> Vec<usize> {
    let has_warm = candidates.iter().any(|candidate| candidate.is_warm);
    let usable = candidates.iter().enumerate().filter(|(_, candidate)| candidate.is_warm || !has_warm);
    let salt = number.to_string();
    let mut by_zone: BTreeMap<&str, Vec<(u64, usize)>> = BTreeMap::new();
    for (place, candidate) in usable {
        let weight = part_key("trial", &salt, candidate.id);
        by_zone.entry(candidate.zone).or_default().push((weight, place));
    }
    let wanted = ((share * candidates.len() as f64) as usize).max(FEWEST);
    let mut ranked = Vec::new();
    for zone in by_zone.values_mut() {
        zone.sort_unstable();
        let of_zone = zone.iter().enumerate();
        ranked.extend(of_zone.map(|(rank, (weight, place))| (rank, *weight, *place)));
    }
    ranked.sort_unstable();
    ranked.into_iter().take(wanted).map(|(_, _, place)| place).collect()
}
