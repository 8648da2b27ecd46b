//! Controllers played together from one seed, with simulated links, disks and clocks: the operator's API.

mod support;

use catalog::State;
use controller::command::Reply;
use controller::machine::Input;
use rstest::rstest;
use support::{configuration, Cluster};

fn status(reply: Option<Reply>) -> Option<u16> {
    reply.map(|reply| reply.status)
}

fn replace(cluster: &mut Cluster, host: usize, based_on: &str, body: &str) -> Option<u16> {
    status(cluster.call(host, "POST", "/config/replace", Some(based_on), body))
}

fn read(cluster: &mut Cluster, host: usize) -> (u16, String) {
    let reply = cluster.call(host, "GET", "/config/read", None, "").expect("answered");
    (reply.status, String::from_utf8(reply.body).expect("text"))
}

fn started(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(seed, 3);
    cluster.play(1_500);
    cluster
}

#[rstest]
fn the_first_configuration_is_taken_and_read_back_at_another(#[values(1, 2, 3)] seed: u64) {
    let mut cluster = started(seed);
    let body = configuration(7, 2);
    assert_eq!(replace(&mut cluster, 0, "0", &body), Some(200));
    assert_eq!(read(&mut cluster, 2), (200, body));
}

#[rstest]
fn exactly_the_same_change_is_taken_for_the_same_anywhere_and_later() {
    let mut cluster = started(4);
    let (first, second) = (configuration(7, 2), configuration(9, 3));
    assert_eq!(replace(&mut cluster, 0, "0", &first), Some(200));
    assert_eq!(replace(&mut cluster, 1, "7", &second), Some(200));
    assert_eq!(replace(&mut cluster, 2, "0", &first), Some(200));
    assert_eq!(read(&mut cluster, 2), (200, second), "the repeated order changed nothing");
}

#[rstest]
#[case::other_base("5", 9, 412)]
#[case::not_above("7", 7, 400)]
#[case::below("7", 3, 400)]
#[case::no_base("x", 9, 400)]
fn a_change_that_does_not_fit_is_refused(
    #[case] based_on: &str,
    #[case] version: u64,
    #[case] expected: u16,
) {
    let mut cluster = started(5);
    assert_eq!(replace(&mut cluster, 0, "0", &configuration(7, 2)), Some(200));
    assert_eq!(replace(&mut cluster, 1, based_on, &configuration(version, 4)), Some(expected));
    assert_eq!(read(&mut cluster, 2), (200, configuration(7, 2)));
}

#[rstest]
fn of_two_changes_on_one_version_one_wins(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut cluster = started(seed);
    assert_eq!(replace(&mut cluster, 0, "0", &configuration(1, 2)), Some(200));
    let left = cluster.issue(0, "POST", "/config/replace", Some("1"), &configuration(5, 3));
    let right = cluster.issue(1, "POST", "/config/replace", Some("1"), &configuration(6, 4));
    cluster.play(1_000);
    let mut statuses = [status(cluster.reply(left)), status(cluster.reply(right))];
    statuses.sort_unstable();
    assert_eq!(statuses, [Some(200), Some(412)]);
}

#[rstest]
fn changes_of_named_items_build_on_the_whole() {
    let mut cluster = started(6);
    assert_eq!(replace(&mut cluster, 0, "0", &configuration(1, 2)), Some(200));
    let update = r#"{"version":4,"remove":{"routes":["r-0"]}}"#;
    assert_eq!(status(cluster.call(1, "POST", "/config/update", Some("1"), update)), Some(200));
    assert_eq!(status(cluster.call(2, "POST", "/config/update", Some("1"), update)), Some(200), "again");
    let (_, text) = read(&mut cluster, 2);
    assert!(text.contains(r#""version":4"#) && !text.contains("r-0") && text.contains("r-1"), "{text}");
}

#[rstest]
fn without_a_majority_nothing_is_acknowledged_and_the_caller_is_told_in_time() {
    let mut cluster = started(7);
    cluster.cut_off(0);
    let call = cluster.issue(0, "POST", "/config/replace", Some("0"), &configuration(1, 2));
    let look = cluster.issue(0, "GET", "/config/read", None, "");
    cluster.play(990);
    assert!(matches!(status(cluster.reply(call)), Some(503 | 504)));
    assert_eq!(status(cluster.reply(look)), Some(503));
    assert_eq!(replace(&mut cluster, 1, "0", &configuration(2, 2)), Some(200));
}

#[rstest]
fn heartbeats_are_acknowledged_from_memory_while_the_disk_hangs() {
    let mut cluster = started(8);
    cluster.hang_disk(0);
    assert_eq!(status(cluster.heartbeat(0, "a", 1, "ready", 1)), Some(200));
    assert_eq!(replace(&mut cluster, 0, "0", &configuration(1, 2)), Some(200), "two disks are a majority");
}

#[rstest]
fn a_controller_that_starts_while_its_disk_hangs_takes_heartbeats_and_refuses_changes_clearly() {
    let mut cluster = started(8);
    cluster.stop(0);
    cluster.play(10);
    cluster.hang_disk(0);
    cluster.start(0, false);
    cluster.play(200);
    assert_eq!(
        status(cluster.heartbeat(0, "a", 1, "ready", 1)),
        Some(503),
        "no contact is proved without the set"
    );
    assert_eq!(cluster.state_at(0, "a"), Some(State::Ready), "taken in all the same");
    cluster.play(100);
    assert_eq!(cluster.state_at(1, "a"), Some(State::Ready), "and told to the others");
    assert_eq!(
        status(cluster.heartbeat(1, "a", 1, "ready", 2)),
        Some(200),
        "the next controller acknowledges"
    );
    assert_eq!(replace(&mut cluster, 0, "0", &configuration(1, 2)), Some(503));
    assert_eq!(replace(&mut cluster, 1, "0", &configuration(1, 2)), Some(200));
}

#[rstest]
fn one_hanging_disk_and_one_machine_down_leave_no_majority() {
    let mut cluster = started(9);
    cluster.hang_disk(0);
    cluster.stop(1);
    assert!(matches!(replace(&mut cluster, 2, "0", &configuration(1, 2)), Some(503 | 504)));
}

#[rstest]
fn all_are_killed_at_once_and_come_back_with_what_was_acknowledged(#[values(1, 2, 3)] seed: u64) {
    let mut cluster = started(seed);
    let body = configuration(3, 2);
    assert_eq!(replace(&mut cluster, 0, "0", &body), Some(200));
    cluster.restart_all(500, &[]);
    cluster.play(2_000);
    assert_eq!(read(&mut cluster, 1), (200, body));
}

/// Whoever starts first does not wait for its next repeat when the last one that a majority needs is there.
#[rstest]
fn after_a_common_end_all_know_the_configuration_as_soon_as_a_majority_is_linked(
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
    #[values(140, 250, 390)] apart_ms: u64,
) {
    const SETTLES_MS: u64 = 60;
    let mut cluster = started(seed);
    assert_eq!(replace(&mut cluster, 0, "0", &configuration(3, 2)), Some(200));
    (0..3).for_each(|host| cluster.stop(host));
    cluster.play(500);
    cluster.start(0, false);
    cluster.play(apart_ms);
    cluster.start(1, false);
    cluster.play(SETTLES_MS);
    assert_eq!((cluster.version_at(0), cluster.version_at(1)), (3, 3));
    cluster.play(apart_ms);
    cluster.start(2, false);
    cluster.play(SETTLES_MS);
    assert_eq!(cluster.version_at(2), 3);
}

#[rstest]
fn a_machine_that_lost_its_disk_becomes_a_new_acceptor(#[values(1, 2, 3)] seed: u64) {
    let mut cluster = started(seed);
    assert_eq!(replace(&mut cluster, 0, "0", &configuration(3, 2)), Some(200));
    cluster.stop(0);
    cluster.wipe(0);
    cluster.play(1_000);
    cluster.start(0, false);
    cluster.play(5_000);
    cluster.stop(1);
    cluster.play(500);
    assert_eq!(replace(&mut cluster, 2, "3", &configuration(4, 3)), Some(200));
}

#[rstest]
fn a_replacement_at_another_address_takes_the_lost_ones_place() {
    let mut cluster = started(3);
    assert_eq!(replace(&mut cluster, 0, "0", &configuration(3, 2)), Some(200));
    cluster.stop(0);
    let replacement = cluster.add();
    cluster.play(12_000);
    cluster.stop(1);
    cluster.play(500);
    assert_eq!(replace(&mut cluster, replacement, "3", &configuration(4, 3)), Some(200));
}

/// On SIGHUP the settings name other seeds; a controller dials them at once.
#[test]
fn new_seeds_are_dialled() {
    let mut cluster = started(6);
    let seed = "10.9.0.1:7640".parse().expect("an address");
    cluster.step(0, Input::Seeds { seeds: vec![seed] });
    assert!(cluster.wanted_peers(0).contains(&seed));
    assert_eq!(cluster.wanted_peers(0).len(), 3, "members stay, whatever the settings name");
    cluster.step(0, Input::Seeds { seeds: Vec::new() });
    assert!(!cluster.wanted_peers(0).contains(&seed), "it never was a member");
}
