//! Controllers played together from one seed: replicas are moved to named weights by one holder at a time.

mod support;

use std::net::{Ipv4Addr, SocketAddrV4};

use controller::command::Reply;
use controller::duty::holder::{Circumstances, Holder};
use controller::duty::moves::most_at_once;
use controller::machine::Input;
use controller::values::DutyValue;
use peer::Message;
use rstest::rstest;
use support::Cluster;

const LEASE_MS: u64 = 3_000;

fn started(seed: u64, replicas: u8) -> Cluster {
    let mut cluster = Cluster::new(seed, 3);
    cluster.play(1_000);
    for number in 1..=replicas {
        cluster.replicas.add(&format!("r{number}"), number, 1, cluster.now + u64::from(number) * 37);
    }
    cluster.play(1_500);
    cluster
}

fn name(cluster: &mut Cluster, host: usize, version: u64) -> Option<u16> {
    let body = format!(r#"{{"model":"m","version":{version}}}"#);
    cluster.call(host, "POST", "/version-put", None, &body).map(|reply: Reply| reply.status)
}

fn all_at(cluster: &Cluster, version: u64) -> bool {
    cluster.replicas.all.values().all(|replica| replica.version == version)
}

/// What the rules ask of orders: fences of one holder only, never lower later, and a lease between holders.
fn check_orders(cluster: &Cluster) {
    let orders = &cluster.replicas.orders;
    for pair in orders.windows(2) {
        assert!(pair[0].fence <= pair[1].fence, "a lower fence came later: {pair:?}");
        if pair[0].host != pair[1].host {
            assert!(pair[0].fence < pair[1].fence, "two holders with one fence: {pair:?}");
            assert!(pair[1].at >= pair[0].at + LEASE_MS, "turns within a lease: {pair:?}");
        }
    }
}

#[rstest]
fn all_replicas_move_a_few_at_a_time_with_one_order_each(#[values(1, 2, 3, 4)] seed: u64) {
    let mut cluster = started(seed, 18);
    assert_eq!(name(&mut cluster, 1, 2), Some(200));
    cluster.play(6_000);
    assert!(all_at(&cluster, 2));
    assert_eq!(cluster.replicas.orders.len(), 18, "{:?}", cluster.replicas.orders);
    assert!(cluster.replicas.most_loading <= 3);
    assert!(cluster.replicas.reports <= 18 * 3, "{} reports", cluster.replicas.reports);
    check_orders(&cluster);
}

/// The question before an order costs a moment, not a round of the upkeep.
#[rstest]
fn an_order_follows_its_question_at_once(#[values(1, 2, 3, 4)] seed: u64) {
    let mut cluster = started(seed, 18);
    cluster.play(seed * 23);
    assert_eq!(name(&mut cluster, 1, 2), Some(200));
    while cluster.replicas.reports == 0 {
        cluster.play(1);
    }
    cluster.play(10);
    assert_eq!(cluster.replicas.orders.len(), 3, "as many as may load at a time");
}

/// A service of 71 replicas has 10 s for a move, and no request may begin on older weights from 7 s on: by then nearly
/// all must have moved.
#[rstest]
fn a_large_service_moves_within_its_time(#[values(1, 2, 3)] seed: u64) {
    let mut cluster = started(seed, 71);
    assert_eq!(name(&mut cluster, 1, 2), Some(200));
    cluster.play(5_000);
    assert!(all_at(&cluster, 2));
    assert_eq!(cluster.replicas.orders.len(), 71);
    assert!(cluster.replicas.most_loading <= 14, "{} at a time", cluster.replicas.most_loading);
    check_orders(&cluster);
}

/// Each move takes so long that a round over all replicas takes longer than the time between two namings: the replicas that
/// have been behind for longest go first, or some never move. None may be behind a version for the 8 s that a move may take.
#[test]
fn no_replica_is_left_behind_while_newer_versions_are_named() {
    for seed in 1..=3 {
        name_eight_versions(seed, 2_000);
        name_eight_versions(seed, 3_400);
    }
}

fn name_eight_versions(seed: u64, gap: u64) {
    let mut cluster = started(seed, 9);
    cluster.replicas.load_ms = 900;
    let mut named = Vec::new();
    for step in 0..3_000 {
        if step * 10 % gap == 0 && named.len() < 8 {
            let version = named.len() as u64 + 2;
            assert_eq!(name(&mut cluster, 1, version), Some(200));
            named.push((version, cluster.now));
        }
        cluster.play(10);
        let due =
            named.iter().rev().find(|(_, at)| cluster.now > at + BOUND_MS).map_or(1, |(version, _)| *version);
        for (id, replica) in &cluster.replicas.all {
            assert!(replica.version >= due, "{id} has {} at {}, {named:?}", replica.version, cluster.now);
        }
    }
    check_orders(&cluster);
}

/// The bound of a naming in these tests, and the part of it after which nothing goes to older weights.
const BOUND_MS: u64 = 8_000;
const DUE_MS: u64 = BOUND_MS / 10 * 7;

/// Nothing is sent to a replica any more whose naming is due: it is ordered even if others load already.
#[rstest]
fn what_is_due_is_ordered_at_once(#[values(1, 2, 3)] seed: u64) {
    let mut cluster = started(seed, 9);
    cluster.replicas.load_ms = 4_000;
    assert_eq!(name(&mut cluster, 1, 2), Some(200));
    cluster.play(DUE_MS - 200);
    assert!(cluster.replicas.orders.len() < 9, "two at a time");
    cluster.play(600);
    assert_eq!(cluster.replicas.orders.len(), 9, "{:?}", cluster.replicas.orders);
    check_orders(&cluster);
}

#[rstest]
fn a_replica_that_answers_nothing_holds_nobody_up(#[values(1, 2, 3)] seed: u64) {
    let mut cluster = started(seed, 9);
    cluster.replicas.silent = ["r1", "r2"].map(String::from).into();
    assert_eq!(name(&mut cluster, 1, 2), Some(200));
    cluster.play(DUE_MS - 200);
    let left: Vec<&String> =
        cluster.replicas.all.iter().filter(|(_, one)| one.version < 2).map(|(id, _)| id).collect();
    assert_eq!(left, ["r1", "r2"]);
    cluster.replicas.silent.clear();
    cluster.play(4_000);
    assert!(all_at(&cluster, 2));
    check_orders(&cluster);
}

/// Versions that an agent was told of, each with the time from which its bound runs.
fn namings_told(cluster: &Cluster, agent: support::Agent) -> Vec<u64> {
    let last = cluster.messages(agent).filter_map(|message| match message {
        Message::Weights(weights) => Some(weights.versions.iter().map(|named| named.version).collect()),
        _ => None,
    });
    last.last().unwrap_or_default()
}

/// Whoever starts or links later hears of every version that may still bind, not of the newest only.
#[rstest]
fn a_restart_of_all_controllers_keeps_older_bounds(#[values(1, 2, 3)] seed: u64) {
    let mut cluster = started(seed, 9);
    for version in [2, 3, 4] {
        assert_eq!(name(&mut cluster, 1, version), Some(200));
        cluster.play(500);
    }
    cluster.restart_all(200, &[]);
    cluster.play(2_000);
    let agent = cluster.connect_agent(0, "edge-1");
    cluster.play(500);
    assert_eq!(namings_told(&cluster, agent), [4, 3, 2]);
}

#[rstest]
#[case::one(1, 1)]
#[case::as_many_as_one_part(5, 1)]
#[case::few(6, 2)]
#[case::nine(9, 2)]
#[case::eighteen(18, 3)]
#[case::many(71, 14)]
#[case::target(600, 120)]
#[case::none(0, 0)]
fn a_fifth_of_a_service_loads_at_a_time(#[case] ready: usize, #[case] most: usize) {
    assert_eq!(most_at_once(ready), most);
}

#[rstest]
fn the_status_shows_replicas_weights_and_who_holds_the_duty() {
    let mut cluster = started(7, 4);
    assert_eq!(name(&mut cluster, 1, 2), Some(200));
    cluster.play(5_000);
    let reply = cluster.call(2, "GET", "/fleet/status", None, "").expect("answered");
    let shown: serde_json::Value = serde_json::from_slice(&reply.body).expect("JSON");
    assert_eq!(shown["replicas"]["reader"]["ready"], 4);
    assert_eq!(shown["weights"][0]["holding"], 4);
    assert_eq!(shown["weights"][0]["behind-ms"], serde_json::Value::Null);
    assert_eq!(shown["controllers"].as_array().map(Vec::len), Some(3));
    assert!(shown["duty"]["holder"].is_string());
    assert!(shown["majority-age-ms"].as_u64().is_some_and(|age| age < 1_500), "{shown}");
}

#[rstest]
fn a_version_is_named_once_and_never_goes_back() {
    let mut cluster = started(5, 3);
    assert_eq!(name(&mut cluster, 0, 3), Some(200));
    assert_eq!(name(&mut cluster, 1, 3), Some(200), "the same again");
    assert_eq!(name(&mut cluster, 2, 2), Some(200), "passed already");
    cluster.play(5_000);
    assert!(all_at(&cluster, 3));
    assert!(cluster.replicas.orders.iter().all(|order| order.version == 3));
}

#[rstest]
#[case::zero(r#"{"model":"m","version":0}"#)]
#[case::no_model(r#"{"version":2}"#)]
#[case::no_json("x")]
fn a_version_that_makes_no_sense_is_refused(#[case] body: &str) {
    let mut cluster = Cluster::new(1, 3);
    let reply = cluster.call(0, "POST", "/version-put", None, body);
    assert_eq!(reply.map(|reply| reply.status), Some(400));
}

#[rstest]
fn a_replica_that_comes_back_with_older_weights_is_moved_again() {
    let mut cluster = started(6, 4);
    name(&mut cluster, 0, 2);
    cluster.play(5_000);
    assert!(all_at(&cluster, 2));
    cluster.replicas.all.remove("r1");
    cluster.replicas.add("r9", 1, 1, cluster.now + 2_500);
    cluster.play(7_000);
    assert!(all_at(&cluster, 2));
    check_orders(&cluster);
}

#[rstest]
fn the_death_of_the_holder_hands_the_duty_on_after_a_lease(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut cluster = started(seed, 12);
    name(&mut cluster, 0, 2);
    cluster.play(700);
    let holder = cluster.replicas.orders.last().expect("an order").host;
    cluster.stop(holder);
    cluster.play(12_000);
    assert!(all_at(&cluster, 2));
    check_orders(&cluster);
    assert!(cluster.replicas.orders.iter().any(|order| order.host != holder));
}

#[rstest]
fn a_holder_that_is_cut_off_stops_and_another_goes_on(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut cluster = started(seed, 12);
    name(&mut cluster, 0, 2);
    cluster.play(700);
    let holder = cluster.replicas.orders.last().expect("an order").host;
    cluster.cut_off(holder);
    let cut_at = cluster.now;
    cluster.play(9_000);
    cluster.heal();
    cluster.play(6_000);
    assert!(all_at(&cluster, 2));
    check_orders(&cluster);
    let late = cluster.replicas.orders.iter().filter(|order| order.host == holder && order.at > cut_at);
    assert!(late.clone().all(|order| order.at <= cut_at + LEASE_MS / 3 + 10 || order.at > cut_at + 9_000));
}

#[rstest]
fn a_holder_that_ends_names_its_successor(#[values(1, 2, 3)] seed: u64) {
    let mut cluster = started(seed, 12);
    name(&mut cluster, 0, 2);
    cluster.play(700);
    let holder = cluster.replicas.orders.last().expect("an order").host;
    cluster.step(holder, Input::Terminate);
    cluster.play(200);
    cluster.stop(holder);
    cluster.play(8_000);
    assert!(all_at(&cluster, 2));
    check_orders(&cluster);
}

fn address(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number), 7640)
}

fn work(now: u64) -> Circumstances {
    Circumstances {
        now,
        has_work: true,
        rank: 0,
        holder_alive: false,
        has_others: true,
        is_unanswered: false,
    }
}

#[rstest]
fn orders_stop_when_the_last_renewal_is_old() {
    let mut holder = Holder::new(0, address(1), LEASE_MS);
    assert!(holder.consider(work(10)).is_some());
    assert_eq!(holder.may_order(10), None, "not before it is decided");
    holder.settled(900, true);
    assert_eq!(holder.may_order(900), Some(1), "counted from when the renewal began");
    assert_eq!(holder.may_order(10 + LEASE_MS / 3), None);
}

#[rstest]
fn a_successor_waits_a_lease_and_the_formers_window() {
    let mut holder = Holder::new(0, address(2), LEASE_MS);
    holder.learn(500, Some(DutyValue::held_by(address(1), 4, 9)));
    assert!(holder.consider(work(500 + LEASE_MS)).is_none());
    let proposal = holder.consider(work(500 + LEASE_MS + LEASE_MS / 3 + 400)).expect("free now");
    assert_eq!((proposal.value.holder(), proposal.value.fence), (address(2), 5));
}

#[rstest]
fn a_renewal_by_the_holder_makes_a_successor_wait_anew() {
    let mut holder = Holder::new(0, address(2), LEASE_MS);
    let value = DutyValue::held_by(address(1), 4, 9);
    holder.learn(0, Some(value));
    holder.learn(4_000, Some(value.renewed()));
    assert!(holder.consider(work(4_500)).is_none());
}

#[rstest]
fn a_holder_without_work_gives_the_duty_up() {
    let mut holder = Holder::new(0, address(1), LEASE_MS);
    holder.consider(work(0));
    holder.settled(5, true);
    let idle = |now| Circumstances { has_work: false, ..work(now) };
    assert!(holder.consider(idle(100)).is_none());
    let proposal = holder.consider(idle(1_200)).expect("idle for long");
    assert!(proposal.value.is_released());
    assert_eq!(holder.may_order(1_200), None);
}

/// The holder reaches the register, and no replica; the others reach all. Nothing moves until it hands the duty on.
#[test]
fn a_holder_that_reaches_no_replica_hands_the_duty_on() {
    (1..=3).for_each(hand_on_from_a_holder_without_replicas);
}

fn hand_on_from_a_holder_without_replicas(seed: u64) {
    let mut cluster = started(seed, 9);
    cluster.replicas.load_ms = 900;
    assert_eq!(name(&mut cluster, 1, 2), Some(200));
    cluster.play(700);
    let holder = cluster.replicas.orders.last().expect("an order").host;
    let ids: Vec<String> = cluster.replicas.all.keys().cloned().collect();
    cluster.replicas.cut.extend(ids.into_iter().map(|id| (holder, id)));
    cluster.play(BOUND_MS + BOUND_MS / 2);
    assert!(all_at(&cluster, 2), "held by {holder}: {:?}", cluster.replicas.orders);
    check_orders(&cluster);
}

/// Each renewal takes longer than the window for orders: this controller may never order, and must not keep the duty.
#[rstest]
fn a_holder_that_may_never_order_gives_the_duty_up() {
    let mut holder = Holder::new(0, address(1), LEASE_MS);
    let mut now = 0;
    for _ in 0..20 {
        let Some(proposal) = holder.consider(work(now)) else {
            now += 100;
            continue;
        };
        if proposal.value.is_released() {
            return;
        }
        now += LEASE_MS / 3 + 50;
        holder.settled(now, true);
        assert_eq!(holder.may_order(now), None);
    }
    panic!("it holds the duty for good");
}

/// A fence that a replica refused is behind one that it has seen: nothing leaves under it, and the holder takes a higher one.
#[rstest]
fn a_refused_fence_is_followed_by_a_higher_one() {
    let mut holder = Holder::new(0, address(1), LEASE_MS);
    holder.consider(work(0));
    holder.settled(5, true);
    assert_eq!(holder.may_order(10), Some(1));
    holder.fence_refused(1);
    assert_eq!(holder.may_order(11), None);
    let proposal = holder.consider(work(20)).expect("a higher fence");
    assert_eq!((proposal.value.holder(), proposal.value.is_released()), (address(1), false));
    assert!(proposal.value.fence > 1);
    holder.settled(30, true);
    assert_eq!(holder.may_order(30), Some(proposal.value.fence));
}

/// With nobody to give the duty to, a holder that is not answered keeps it.
#[rstest]
fn a_holder_without_others_keeps_the_duty() {
    let mut holder = Holder::new(0, address(1), LEASE_MS);
    holder.consider(work(0));
    holder.settled(5, true);
    let alone = Circumstances { has_others: false, is_unanswered: true, ..work(1_000) };
    assert!(holder.consider(alone).is_none_or(|proposal| !proposal.value.is_released()));
}

/// Replicas have seen fences that the register knows nothing of: the holder finds a higher one, and uses none that was
/// refused again.
#[rstest]
fn replicas_that_saw_higher_fences_are_moved(#[values(1, 2, 3)] seed: u64, #[values(2, 40)] seen: u64) {
    let mut cluster = started(seed, 9);
    cluster.replicas.see_fence("r3", seen);
    cluster.replicas.see_fence("r7", seen);
    assert_eq!(name(&mut cluster, 1, 2), Some(200));
    cluster.play(BOUND_MS);
    assert!(all_at(&cluster, 2), "{:?}", cluster.replicas.orders);
    let refused = cluster.replicas.orders.iter().filter(|order| order.status == 412);
    let mut fences: Vec<(&str, u64)> = refused.map(|order| (order.replica.as_str(), order.fence)).collect();
    let orders = fences.len();
    fences.dedup();
    assert_eq!(fences.len(), orders, "a refused fence was used again: {fences:?}");
}

/// A processor may come as a quota: controllers run 30 ms of each tenth of a second, one after the other.
#[rstest]
fn controllers_on_a_quota_move_every_replica_and_acknowledge_in_time(#[values(1, 2, 3)] seed: u64) {
    const QUOTA_MS: u64 = 30;
    const ACK_MS: u64 = 4_000;
    let mut cluster = started(seed, 18);
    cluster.set_quota(QUOTA_MS);
    let began = cluster.now;
    while name(&mut cluster, 1, 2) != Some(200) {
        assert!(cluster.now < began + ACK_MS, "not acknowledged");
    }
    cluster.play(BOUND_MS);
    assert!(all_at(&cluster, 2), "{:?}", cluster.replicas.orders);
    check_orders(&cluster);
}
