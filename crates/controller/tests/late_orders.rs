//! Orders that reach a replica long after they were given up, and replicas that go back to older weights.

mod support;

use controller::command::Reply;
use support::Cluster;

/// Within this after a naming nothing may begin on an older version, ms.
const BOUND_MS: u64 = 8_000;
/// Time of calm after which no replica may lack what was acknowledged, ms.
const CALM_MS: u64 = BOUND_MS / 2 * 3;
const REPLICAS: u8 = 12;

fn started(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(seed, 3);
    cluster.play(1_000);
    for number in 1..=REPLICAS {
        let first_beat = cluster.now + u64::from(number) * 37;
        cluster.replicas.add(&format!("r{number}"), number, 1, first_beat);
    }
    cluster.play(1_500);
    cluster
}

fn name(cluster: &mut Cluster, version: u64) {
    let body = format!(r#"{{"model":"m","version":{version}}}"#);
    let reply = cluster.call(1, "POST", "/version-put", None, &body);
    assert_eq!(reply.map(|reply: Reply| reply.status), Some(200));
}

/// The replicas that do not hold a version, with what they hold.
fn without(cluster: &Cluster, version: u64) -> Vec<(&str, u64)> {
    let others = cluster.replicas.all.iter().filter(|(_, one)| one.version != version);
    others.map(|(id, one)| (id.as_str(), one.version)).collect()
}

/// Guards against incident VERSION (12 of 48): an order that was given up arrives after a newer one and takes it back.
#[test]
fn an_order_that_arrives_late_does_not_take_back_a_newer_one() {
    for seed in 1..=3 {
        for late_ms in [2_500, 6_000, 9_000] {
            have_orders_arrive_late(seed, late_ms);
        }
    }
}

fn have_orders_arrive_late(seed: u64, late_ms: u64) {
    let mut cluster = started(seed);
    cluster.replicas.late = ["r1", "r5", "r6"].map(|id| (id.to_string(), late_ms)).into();
    name(&mut cluster, 2);
    cluster.play(2_000);
    cluster.replicas.late.clear();
    name(&mut cluster, 3);
    let mut held = vec![1; usize::from(REPLICAS)];
    for _ in 0..CALM_MS {
        cluster.play(1);
        let now: Vec<u64> = cluster.replicas.all.values().map(|one| one.version).collect();
        assert!(held.iter().zip(&now).all(|(before, after)| before <= after), "{held:?}, then {now:?}");
        held = now;
    }
    assert_eq!(without(&cluster, 3), []);
}

/// Guards against incident VERSION (12 of 48): a replica that goes back is believed to hold newer weights for good.
#[test]
fn a_replica_that_goes_back_to_older_weights_is_moved_again() {
    for seed in 1..=3 {
        for after_ms in [0, 300, 700, 1_100] {
            have_replicas_go_back(seed, after_ms);
        }
    }
}

fn have_replicas_go_back(seed: u64, after_ms: u64) {
    let mut cluster = started(seed);
    name(&mut cluster, 2);
    name(&mut cluster, 3);
    cluster.play(6_000 + after_ms);
    assert_eq!(without(&cluster, 3), []);
    for id in ["r2", "r3", "r7"] {
        cluster.replicas.set_version(cluster.now, id, 2);
    }
    cluster.play(BOUND_MS / 2);
    assert_eq!(without(&cluster, 3), []);
}
