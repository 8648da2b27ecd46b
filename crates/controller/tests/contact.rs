//! What a controller confirms with and without contact to a majority, played from one seed.

mod support;

use catalog::State;
use controller::command::Reply;
use controller::machine::CONTACT_LEASE_MS;
use peer::{Message, ReplicaState};
use rstest::rstest;
use support::{configuration, Cluster};

/// Longest time that a replica waits for an acknowledgement.
const ACKNOWLEDGED_WITHIN_MS: u64 = 1_000;
const CUT_MS: u64 = 20_000;

fn started(seed: u64, size: usize) -> Cluster {
    let mut cluster = Cluster::new(seed, size);
    cluster.play(2_000);
    cluster
}

fn status(reply: Option<Reply>) -> Option<u16> {
    reply.map(|reply| reply.status)
}

#[rstest]
fn a_controller_cut_off_for_twenty_seconds_confirms_nothing_and_hides_nothing(
    #[values(1, 2, 3, 4)] seed: u64,
    #[values(3, 5)] size: usize,
) {
    let mut cluster = started(seed, size);
    let agent = cluster.connect_agent(0, "edge-1");
    assert_eq!(status(cluster.heartbeat(0, "stays", 1, "ready", 1)), Some(200));
    assert_eq!(status(cluster.heartbeat(0, "leaves", 2, "ready", 1)), Some(200));
    cluster.play(100);
    cluster.cut_off(0);
    cluster.play(CONTACT_LEASE_MS + 100);
    let until = cluster.now + CUT_MS;
    let mut beat = 1;
    while cluster.now < until {
        beat += 1;
        assert_eq!(
            status(cluster.heartbeat(0, "stays", 1, "ready", beat)),
            Some(503),
            "no contact, no lease"
        );
        assert_eq!(status(cluster.heartbeat(0, "leaves", 2, "draining", beat)), Some(503));
        assert_eq!(status(cluster.call(0, "POST", "/nodes/gone/leave", None, "")), Some(503));
        let order = configuration(beat, 1);
        let ordered = status(cluster.call(0, "POST", "/config/replace", Some("0"), &order));
        assert!(matches!(ordered, Some(503 | 504)), "{ordered:?}");
        assert_eq!(
            status(cluster.call(0, "GET", "/config/read", None, "")),
            Some(503),
            "nothing old is read"
        );
        cluster.play(1_000);
    }
    assert!(cluster.told(agent, "leaves", ReplicaState::Draining), "its own agents hear it all the same");
    assert_eq!(cluster.state_at(1, "leaves"), Some(State::Lost), "the others were not told");
    cluster.heal();
    cluster.play(2_000);
    let drains = cluster.issue_heartbeat(0, "leaves", 2, "draining", beat + 1);
    cluster.play(ACKNOWLEDGED_WITHIN_MS);
    assert_eq!(status(cluster.reply(drains)), Some(200));
    for host in 0..size {
        assert_eq!(cluster.state_at(host, "leaves"), Some(State::Draining), "controller {host}");
    }
}

/// The cut begins in the moment in which a replica drains: the lease still holds, the barrier does not open.
#[rstest]
fn what_a_cut_overtakes_is_not_confirmed(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut cluster = started(seed, 3);
    cluster.heartbeat(0, "a", 1, "ready", 1);
    cluster.cut_off(0);
    let drains = cluster.issue_heartbeat(0, "a", 1, "draining", 2);
    let leaves = cluster.issue(0, "POST", "/nodes/b/leave", None, "");
    cluster.play(ACKNOWLEDGED_WITHIN_MS);
    assert_eq!(status(cluster.reply(drains)), Some(503));
    assert_eq!(status(cluster.reply(leaves)), Some(503));
    assert_eq!(cluster.state_at(0, "a"), Some(State::Draining), "it is not forgotten here");
}

/// The regular digest leaves in the very millisecond of the call, before the record, and nothing after it arrives: its echo
/// proves contact, but not that the record was heard.
#[rstest]
fn a_digest_of_the_same_moment_confirms_nothing_that_was_told_after_it(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
    #[values(3, 5)] size: usize,
) {
    let mut cluster = started(seed, size);
    cluster.heartbeat(0, "a", 1, "ready", 1);
    cluster.play(100);
    while !cluster.has_just_sent_digests(0) {
        cluster.play(1);
    }
    cluster.mute(0);
    let drains = cluster.issue_heartbeat(0, "a", 1, "draining", 2);
    let leaves = cluster.issue(0, "POST", "/nodes/b/leave", None, "");
    cluster.play(ACKNOWLEDGED_WITHIN_MS);
    assert_eq!(status(cluster.reply(drains)), Some(503));
    assert_eq!(status(cluster.reply(leaves)), Some(503));
}

/// A confirmed end is known to a majority at the moment of its answer: the controller that gave it may be lost then.
#[rstest]
#[case::draining("draining", State::Draining)]
#[case::leaving("", State::Gone)]
fn a_confirmed_end_outlives_the_controller_that_confirmed_it(
    #[case] beat_state: &str,
    #[case] expected: State,
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12)] seed: u64,
    #[values(3, 5)] size: usize,
) {
    let mut cluster = started(seed, size);
    cluster.heartbeat(0, "a", 1, "ready", 1);
    cluster.play(500);
    let call = match beat_state {
        "" => cluster.issue(0, "POST", "/nodes/a/leave", None, ""),
        state => cluster.issue_heartbeat(0, "a", 1, state, 2),
    };
    let issued = cluster.now;
    while cluster.reply(call).is_none() {
        cluster.play(1);
        assert!(cluster.now < issued + ACKNOWLEDGED_WITHIN_MS, "not answered in time");
    }
    assert_eq!(status(cluster.reply(call)), Some(200));
    cluster.stop(0);
    let knowing = (1..size).filter(|host| cluster.state_at(*host, "a") == Some(expected)).count();
    assert!(knowing >= size / 2, "{knowing} of the others know it");
}

/// While no majority is there at all, replicas are taken in everywhere, so that all are known when it is back.
#[rstest]
fn replicas_are_known_when_the_majority_is_back(#[values(1, 2, 3)] seed: u64) {
    let mut cluster = started(seed, 3);
    cluster.stop(1);
    cluster.stop(2);
    cluster.play(CONTACT_LEASE_MS + 100);
    assert_eq!(status(cluster.heartbeat(0, "a", 1, "ready", 1)), Some(503));
    cluster.start(1, false);
    cluster.play(1_500);
    assert_eq!(cluster.state_at(1, "a"), Some(State::Ready));
    assert_eq!(status(cluster.heartbeat(1, "a", 1, "ready", 2)), Some(200));
}

#[rstest]
fn agents_are_told_how_old_a_controllers_contact_is(#[values(1, 2)] seed: u64) {
    let mut cluster = started(seed, 3);
    let agent = cluster.connect_agent(0, "edge-1");
    cluster.cut_off(0);
    cluster.play(5_000);
    let ages = cluster.messages(agent).filter_map(|message| match message {
        Message::Alive(alive) => Some(u64::from(alive.majority_age_ms)),
        _ => None,
    });
    assert!(ages.last().is_some_and(|age| age > 3 * CONTACT_LEASE_MS));
}

/// A replica says that it leaves, serves on for a while, and goes on with its heartbeats as before. All machines lose power
/// right after the acknowledgement: what was acknowledged still binds.
#[test]
fn an_acknowledged_leave_outlives_a_loss_of_power_of_all_machines() {
    let mut cluster = Cluster::new(1, 3);
    cluster.play(2_000);
    cluster.heartbeat(0, "i-1", 1, "ready", 4);
    cluster.play(500);
    assert_eq!(cluster.call(0, "POST", "/nodes/i-1/leave", None, "").map(|reply| reply.status), Some(200));
    cluster.restart_all(200, &[]);
    cluster.play(1_000);
    cluster.heartbeat(0, "i-1", 1, "ready", 5);
    assert_ne!(cluster.state_at(0, "i-1"), Some(State::Ready));
}
