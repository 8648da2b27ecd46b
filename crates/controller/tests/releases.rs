//! Releases of a service's software: orders, what is read of them, and what outlives which loss.

mod support;

use peer::{BucketCount, Loads, Message, ReleaseAnswers, ReleaseReport};
use rollout::Releases;
use rstest::rstest;
use support::{configuration, Agent, Cluster};

const ORDER: &str = r#"{"service":"reader","to-version":"v2","over-s":12}"#;

fn configured(seed: u64, size: usize) -> Cluster {
    let mut cluster = Cluster::new(seed, size);
    cluster.play(1_500);
    let taken = cluster.call(0, "POST", "/config/replace", Some("0"), &configuration(1, 3));
    assert_eq!(taken.map(|reply| reply.status), Some(200));
    cluster.heartbeat(0, "a", 1, "ready", 1);
    cluster.play(500);
    cluster
}

fn order(cluster: &mut Cluster, host: usize, body: &str) -> Option<u16> {
    cluster.call(host, "POST", "/releases/begin", None, body).map(|reply| reply.status)
}

fn read(cluster: &mut Cluster, host: usize) -> Option<(u16, String)> {
    let reply = cluster.call(host, "GET", "/releases/reader/read", None, "")?;
    Some((reply.status, String::from_utf8(reply.body).expect("text")))
}

/// Guards against SHORT on days with a roll-out: the order to bring in a version was answered 404 and never acknowledged.
#[rstest]
fn an_order_to_bring_in_a_version_is_acknowledged_and_read_back() {
    let mut cluster = configured(1, 3);
    assert_eq!(order(&mut cluster, 0, ORDER), Some(200));
    for host in 0..3 {
        let serving = r#"{"state":"serving","to-version":"v2"}"#.to_string();
        assert_eq!(read(&mut cluster, host), Some((200, serving)), "at {host}");
    }
}

/// An order whose acknowledgement was lost comes again, at any controller, also after the loss of any two disks.
#[rstest]
fn an_order_and_its_state_outlive_disks_lost_while_all_others_lose_power(
    #[values(1, 2, 3)] seed: u64,
    #[values(0, 2, 20)] after_ms: u64,
    #[values(&[], &[0, 1], &[2, 4])] wiped: &[usize],
) {
    let mut cluster = configured(seed, 5);
    assert_eq!(order(&mut cluster, seed as usize % 5, ORDER), Some(200));
    cluster.play(after_ms);
    cluster.restart_all(1_200, wiped);
    cluster.play(6_000);
    for host in 0..5 {
        assert_eq!(read(&mut cluster, host).map(|(status, _)| status), Some(200), "at {host}");
        assert_eq!(order(&mut cluster, host, ORDER), Some(200), "again at {host}");
    }
    let other = r#"{"service":"reader","to-version":"v3","over-s":12}"#;
    assert_eq!(order(&mut cluster, 3, other), Some(409));
}

/// Two operators at once: one of them wins, and is told so; the other waits for the end.
#[rstest]
fn of_two_orders_at_once_one_wins(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut cluster = configured(seed, 3);
    let orders = ["v2", "v3"].map(|to| format!(r#"{{"service":"reader","to-version":"{to}","over-s":12}}"#));
    let calls = [0, 1].map(|host| cluster.issue(host, "POST", "/releases/begin", None, &orders[host]));
    cluster.play(1_000);
    let mut statuses = calls.map(|call| cluster.reply(call).expect("answered").status);
    for (host, status) in statuses.iter_mut().enumerate().filter(|(_, status)| **status >= 500) {
        *status = order(&mut cluster, host, &orders[host]).expect("answered");
    }
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409]);
}

#[rstest]
#[case::no_object("[]", "the body must be an object; it is []")]
#[case::no_json("{", "the body can't be read")]
#[case::no_service(r#"{"to-version":"v2","over-s":12}"#, "service is missing")]
#[case::service_of_another_kind(
    r#"{"service":7,"to-version":"v2","over-s":12}"#,
    "service must be a text; it is 7"
)]
#[case::unknown_service(
    r#"{"service":"writer","to-version":"v2","over-s":12}"#,
    "service writer is in no configuration"
)]
#[case::no_version(r#"{"service":"reader","over-s":12}"#, "to-version is missing")]
#[case::empty_version(
    r#"{"service":"reader","to-version":"","over-s":12}"#,
    "to-version must hold 1 to 256 bytes"
)]
#[case::version_that_serves(
    r#"{"service":"reader","to-version":"v1","over-s":12}"#,
    "to-version v1 serves reader already"
)]
#[case::no_time(r#"{"service":"reader","to-version":"v2"}"#, "over-s is missing")]
#[case::time_of_another_kind(
    r#"{"service":"reader","to-version":"v2","over-s":"12"}"#,
    "over-s must be a number; it is \\\"12\\\""
)]
#[case::zero(
    r#"{"service":"reader","to-version":"v2","over-s":0}"#,
    "over-s must be above 0 and at most 86400; it is 0"
)]
#[case::below_zero(r#"{"service":"reader","to-version":"v2","over-s":-3}"#, "it is -3")]
#[case::huge(
    r#"{"service":"reader","to-version":"v2","over-s":1e300}"#,
    "over-s must be above 0 and at most 86400"
)]
fn what_is_wrong_with_an_order_is_told_with_field_and_value(#[case] body: &str, #[case] why: &str) {
    let mut cluster = configured(1, 3);
    let reply = cluster.call(1, "POST", "/releases/begin", None, body).expect("answered");
    let text = String::from_utf8(reply.body).expect("text");
    assert_eq!(reply.status, 400, "{text}");
    assert!(text.contains(why), "{text}");
}

#[rstest]
fn a_service_without_a_release_has_none_to_read() {
    let mut cluster = configured(1, 3);
    assert_eq!(read(&mut cluster, 0).map(|(status, _)| status), Some(404));
    let other_method = cluster.call(0, "GET", "/releases/begin", None, "").expect("answered");
    assert_eq!(other_method.status, 405);
}

/// Nothing is promised without a majority; the order is taken once there is one.
#[rstest]
fn a_controller_that_is_cut_off_promises_nothing() {
    let mut cluster = configured(1, 3);
    cluster.cut_off(0);
    let status = order(&mut cluster, 0, ORDER).expect("answered");
    assert!(status >= 500, "{status}");
    assert!(read(&mut cluster, 0).expect("answered").0 >= 500);
    cluster.heal();
    cluster.play(3_000);
    assert_eq!(order(&mut cluster, 0, ORDER), Some(200));
}

/// Controllers of the release before can't keep the order.
#[rstest]
fn beside_controllers_of_the_release_before_no_order_is_taken() {
    let mut cluster = Cluster::new(1, 3);
    cluster.protocol = peer::TELLS_RELEASES - 1;
    cluster.play(1_500);
    let taken = cluster.call(0, "POST", "/config/replace", Some("0"), &configuration(1, 3));
    assert_eq!(taken.map(|reply| reply.status), Some(200));
    cluster.play(500);
    assert_eq!(order(&mut cluster, 0, ORDER), Some(503));
}

/// Proxies behind them would give the new version as much as the old one.
#[rstest]
fn beside_agents_of_the_release_before_no_order_is_taken() {
    let mut cluster = configured(1, 3);
    cluster.connect_agent_of(0, "edge-0", peer::TELLS_RELEASES - 1);
    cluster.play(100);
    assert_eq!(order(&mut cluster, 0, ORDER), Some(503));
}

fn releases_told(cluster: &Cluster, agent: Agent) -> Vec<Releases> {
    let told = cluster.messages(agent).filter_map(|message| match message {
        Message::Releases(blob) => Some(Releases::read(&blob.bytes).expect("sound")),
        _ => None,
    });
    told.collect()
}

/// All controllers tell a release at once, and what an agent hears first decides what it does with the rest: releases go
/// before the configuration, and the software of replicas before their records.
#[rstest]
fn agents_hear_of_a_release_before_they_can_send_by_it(#[values(1, 2, 3)] seed: u64) {
    let mut cluster = configured(seed, 3);
    let early: Vec<Agent> = (0..3).map(|host| cluster.connect_agent(host, &format!("edge-{host}"))).collect();
    cluster.play(300);
    assert_eq!(order(&mut cluster, 0, ORDER), Some(200));
    cluster.play(400);
    for agent in early {
        assert_eq!(releases_told(&cluster, agent).last().map(|it| it.newest("reader").is_some()), Some(true));
    }
    let late = cluster.connect_agent(1, "edge-9");
    cluster.play(600);
    let kinds: Vec<u8> = cluster.messages(late).map(kind).collect();
    let place = |wanted| kinds.iter().position(|kind| *kind == wanted).expect("told");
    assert!(place(RELEASES) < place(CONFIGURATION), "{kinds:?}");
    assert!(place(RELEASES) < place(SOFTWARE) && place(SOFTWARE) < place(REPLICAS), "{kinds:?}");
}

const RELEASES: u8 = 1;
const CONFIGURATION: u8 = 2;
const SOFTWARE: u8 = 3;
const REPLICAS: u8 = 4;

fn kind(message: &Message) -> u8 {
    match message {
        Message::Releases(_) => RELEASES,
        Message::Configuration(_) => CONFIGURATION,
        Message::Software(_) => SOFTWARE,
        Message::Replicas(_) => REPLICAS,
        _ => 0,
    }
}

/// A configuration that is told lets a proxy serve; it waits until the releases are known, also after all machines have lost
/// power.
#[rstest]
fn no_configuration_is_told_before_the_releases(#[values(1, 2, 3, 4)] seed: u64) {
    let mut cluster = configured(seed, 5);
    assert_eq!(order(&mut cluster, 0, ORDER), Some(200));
    cluster.restart_all(500, &[]);
    let agents: Vec<Agent> =
        (0..5).map(|host| cluster.connect_agent(host, &format!("edge-{host}"))).collect();
    // Whoever tells its load is told configurations at once.
    for agent in &agents {
        cluster.agent_sends(*agent, Message::Loads(Loads::new(true, Vec::new())));
    }
    cluster.play(5_000);
    for agent in agents {
        let kinds: Vec<u8> = cluster.messages(agent).map(kind).collect();
        let configuration = kinds.iter().position(|kind| *kind == CONFIGURATION).expect("told");
        assert!(kinds[..configuration].contains(&RELEASES), "{kinds:?}");
    }
}

/// One proxy's word on the newest release: sound or bad answers by four replicas of the new version, beside sound ones of the
/// old.
fn report(releases: &Releases, bad: bool, is_drained: bool) -> Message {
    let newest = releases.newest("reader").expect("ordered");
    let durations = || vec![BucketCount { bucket: 22, count: 2 }];
    let of_new = |replica| {
        let counts = if bad { (0, 2) } else { (2, 0) };
        ReleaseAnswers::new(1, Some(replica), counts, durations())
    };
    let old = ReleaseAnswers::new(1, None, (40, 0), vec![BucketCount { bucket: 22, count: 40 }]);
    let answers =
        if newest.phase.is_reverted() { Vec::new() } else { (1..5).map(of_new).chain([old]).collect() };
    Message::ReleaseReport(ReleaseReport::new(newest.number, newest.phase.number(), is_drained, answers))
}

/// Plays two proxies' reports at every controller that runs, each 200 ms.
fn play_reports(cluster: &mut Cluster, agents: &[Agent], for_ms: u64, bad: bool, is_drained: bool) {
    for _ in 0..for_ms / 200 {
        cluster.play(200);
        for agent in agents {
            let Some(newest) = releases_told(cluster, *agent).last().cloned() else { continue };
            cluster.agent_sends(*agent, report(&newest, bad, is_drained));
        }
    }
}

fn under_way(seed: u64, size: usize) -> (Cluster, Vec<Agent>) {
    let mut cluster = configured(seed, size);
    cluster.replicas.load_ms = 300;
    let agents = (0..2 * size).map(|at| cluster.connect_agent(at / 2, &format!("edge-{}", at % 2))).collect();
    assert_eq!(order(&mut cluster, 0, ORDER), Some(200));
    for place in 0..4_u8 {
        heartbeat_of_v2(&mut cluster, place, 1);
    }
    (cluster, agents)
}

fn heartbeat_of_v2(cluster: &mut Cluster, place: u8, beat: u64) {
    let body = format!(
        r#"{{"service":"reader","address":"10.2.0.{place}:8080","zone":"zone-{place}","version":"v2","free-slots":12,"state":"ready","call-count":{beat}}}"#
    );
    let path = format!("/nodes/n{place}/heartbeat");
    cluster.call(usize::from(place) % 3, "POST", &path, None, &body);
}

fn state(cluster: &mut Cluster, host: usize) -> String {
    let body = read(cluster, host).expect("answered").1;
    let shown: serde_json::Value = serde_json::from_str(&body).expect("JSON");
    shown["state"].as_str().unwrap_or_default().to_string()
}

fn beat_all(cluster: &mut Cluster, beat: u64) {
    cluster.heartbeat(0, "a", 1, "ready", beat);
    for place in 0..4 {
        heartbeat_of_v2(cluster, place, beat);
    }
}

#[rstest]
fn a_good_release_is_finished_by_its_deadline_and_a_bad_one_reverted(
    #[values(1, 2, 3)] seed: u64,
    #[values(false, true)] bad: bool,
) {
    let (mut cluster, agents) = under_way(seed, 3);
    let mut ended = None;
    for beat in 2..13 {
        beat_all(&mut cluster, beat);
        play_reports(&mut cluster, &agents, 1_000, bad, true);
        if state(&mut cluster, 1) != "serving" {
            ended.get_or_insert(beat);
        }
    }
    let wanted = if bad { "reverted" } else { "finished" };
    for host in 0..3 {
        assert_eq!(state(&mut cluster, host), wanted, "at {host}");
    }
    let reply = cluster.call(2, "GET", "/fleet/status", None, "").expect("answered");
    let shown: serde_json::Value = serde_json::from_slice(&reply.body).expect("JSON");
    assert_eq!(shown["releases"][0]["phase"], wanted);
    assert!(!shown["releases"][0]["reason"].as_str().unwrap_or_default().is_empty(), "{shown}");
    assert!(ended.is_some_and(|beat| beat <= if bad { 5 } else { 12 }), "{ended:?}");
}

/// The controller that would propose the steps is gone, cut off, or comes back with an old view: another one does.
#[rstest]
#[case::killed(true)]
#[case::cut_off(false)]
fn a_release_goes_on_without_its_first_controller(#[case] is_killed: bool, #[values(false, true)] bad: bool) {
    let (mut cluster, agents) = under_way(1, 3);
    if is_killed {
        cluster.stop(0);
    } else {
        cluster.cut_off(0);
    }
    for beat in 2..13 {
        beat_all_but_first(&mut cluster, beat);
        play_reports(&mut cluster, &agents, 1_000, bad, true);
    }
    let wanted = if bad { "reverted" } else { "finished" };
    assert_eq!(state(&mut cluster, 1), wanted);
    if !is_killed {
        cluster.heal();
        cluster.play(3_000);
        assert_eq!(state(&mut cluster, 0), wanted);
        play_reports(&mut cluster, &agents, 2_000, !bad, true);
        assert_eq!(state(&mut cluster, 2), wanted, "what is over stays so");
    }
}

fn beat_all_but_first(cluster: &mut Cluster, beat: u64) {
    cluster.heartbeat(1, "a", 1, "ready", beat);
    for place in 0..4_u8 {
        let body = format!(
            r#"{{"service":"reader","address":"10.2.0.{place}:8080","zone":"zone-{place}","version":"v2","free-slots":12,"state":"ready","call-count":{beat}}}"#
        );
        let path = format!("/nodes/n{place}/heartbeat");
        cluster.call(1 + usize::from(place) % 2, "POST", &path, None, &body);
    }
}

/// `finished` stops the old replicas: it waits for every proxy that has requests out there.
#[rstest]
fn nothing_is_finished_while_a_proxy_has_requests_at_the_old_version() {
    let (mut cluster, agents) = under_way(1, 3);
    for beat in 2..18 {
        beat_all(&mut cluster, beat);
        play_reports(&mut cluster, &agents, 1_000, false, false);
    }
    assert_eq!(state(&mut cluster, 1), "serving");
    beat_all(&mut cluster, 18);
    play_reports(&mut cluster, &agents, 1_000, false, true);
    assert_eq!(state(&mut cluster, 1), "finished");
}

/// Until an order is given, programs of the release before can take over: no disk holds the new register's entries and no
/// message that they need names it, also where machines are replaced and lose their disks.
#[rstest]
fn before_the_first_order_nothing_names_the_new_register(#[values(1, 2, 3)] seed: u64) {
    const FIRST_NEW_SLOT: u16 = 32;
    let mut cluster = configured(seed, 3);
    cluster.stop(0);
    let added = cluster.add();
    cluster.play(6_000);
    cluster.restart_all(500, &[1]);
    cluster.play(6_000);
    let holds_new =
        |cluster: &Cluster, host| cluster.slots_on_disk(host).iter().any(|slot| *slot >= FIRST_NEW_SLOT);
    assert!((1..=added).all(|host| !holds_new(&cluster, host)));
    assert_eq!(cluster.told.names_of_releases, 0);
    cluster.heartbeat(1, "a", 1, "ready", 9);
    assert_eq!(order(&mut cluster, 1, ORDER), Some(200));
    cluster.play(1_000);
    assert!((1..=added).filter(|host| holds_new(&cluster, *host)).count() >= 2, "a majority holds it");
    assert!(cluster.told.names_of_releases > 0);
}
