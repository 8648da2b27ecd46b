//! Acknowledged ends of replicas outlive what the machines' memories do not.

mod support;

use catalog::State;
use controller::ends::{Ends, StoredEnds, MOST_ENDS, REMEMBERED_MS};
use register::Record;
use rstest::rstest;
use support::Cluster;

/// A machine counts as lost for so long after its start (`catch-up-s`).
const CATCH_UP_MS: u64 = 4_000;

fn started(seed: u64, size: usize) -> Cluster {
    let mut cluster = Cluster::new(seed, size);
    cluster.play(2_000);
    cluster.heartbeat(0, "a", 1, "ready", 1);
    cluster.play(500);
    cluster
}

fn leave(cluster: &mut Cluster, host: usize) -> Option<u16> {
    cluster.call(host, "POST", "/nodes/a/leave", None, "").map(|reply| reply.status)
}

/// Guards against an acknowledged leave that is forgotten (soak, seed 1012): disks are lost, all others lose power.
#[rstest]
#[case::three(3, &[0])]
#[case::three_another(3, &[2])]
#[case::five(5, &[0, 1])]
#[case::five_others(5, &[1, 4])]
fn an_acknowledged_leave_outlives_lost_disks_while_all_others_lose_power(
    #[case] size: usize,
    #[case] wiped: &[usize],
    #[values(1, 2, 3, 4)] seed: u64,
    #[values(0, 1, 5)] after_ms: u64,
) {
    let mut cluster = started(seed, size);
    assert_eq!(leave(&mut cluster, seed as usize % size), Some(200));
    cluster.play(after_ms);
    cluster.restart_all(1_200, wiped);
    cluster.play(3_000);
    for (beat, host) in (2..).zip(0..size) {
        cluster.heartbeat(host, "a", 1, "ready", beat);
        cluster.play(50);
    }
    for host in 0..size {
        assert_eq!(cluster.state_at(host, "a"), Some(State::Gone), "at {host}");
    }
}

/// Guards against an acknowledged leave that is forgotten by losses in a row: machines that came back without their disks heard
/// of it again, and kept it in memory only.
#[rstest]
#[case::three(3, &[0, 1, 2], 1)]
#[case::three_the_other_way(3, &[2, 1, 0], 1)]
#[case::five(5, &[0, 1, 2, 3, 4, 0], 2)]
fn an_acknowledged_leave_outlives_losses_in_a_row(
    #[case] size: usize,
    #[case] wiped: &[usize],
    #[case] at_once: usize,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let mut cluster = started(seed, size);
    assert_eq!(leave(&mut cluster, seed as usize % size), Some(200));
    for lost in wiped.chunks(at_once) {
        cluster.restart_all(1_200, lost);
        cluster.play(CATCH_UP_MS);
    }
    for (beat, host) in (2..).zip(0..size) {
        cluster.heartbeat(host, "a", 1, "ready", beat);
        cluster.play(50);
    }
    for host in 0..size {
        assert_eq!(cluster.state_at(host, "a"), Some(State::Gone), "at {host}");
    }
}

/// Who has not written it does not count: with too few disks the replica is told to come back.
#[rstest]
#[case::all_write(3, &[], Some(200))]
#[case::one_of_three_does_not(3, &[1], Some(200))]
#[case::two_of_three_do_not(3, &[1, 2], Some(503))]
#[case::two_of_five_do_not(5, &[0, 3], Some(200))]
#[case::three_of_five_do_not(5, &[0, 3, 4], Some(503))]
fn a_leave_is_acknowledged_once_a_majority_of_disks_holds_it(
    #[case] size: usize,
    #[case] hanging: &[usize],
    #[case] expected: Option<u16>,
) {
    let mut cluster = started(1, size);
    hanging.iter().for_each(|host| cluster.hang_ends_disk(*host));
    assert_eq!(leave(&mut cluster, 0), expected);
}

/// A replica whose acknowledgement was lost calls another controller.
#[rstest]
fn a_leave_that_is_sent_again_elsewhere_is_acknowledged() {
    let mut cluster = started(1, 3);
    for host in [0, 1, 2, 0] {
        assert_eq!(leave(&mut cluster, host), Some(200), "at {host}");
    }
}

/// Others are asked again until they have answered: at first nobody may be reached.
#[rstest]
fn a_leave_is_acknowledged_by_a_controller_that_was_cut_off_when_it_came(#[values(1, 2, 3)] seed: u64) {
    let mut cluster = started(seed, 3);
    cluster.cut_off(0);
    cluster.play(5);
    let call = cluster.issue(0, "POST", "/nodes/a/leave", None, "");
    cluster.play(200);
    cluster.heal();
    cluster.play(640);
    assert_eq!(cluster.reply(call).map(|reply| reply.status), Some(200));
}

/// A leave does not keep the answer to a replica that drains waiting.
#[rstest]
fn a_leave_that_waits_for_disks_holds_no_other_answer_back() {
    let mut cluster = started(1, 3);
    cluster.hang_ends_disk(1);
    cluster.hang_ends_disk(2);
    cluster.issue(0, "POST", "/nodes/a/leave", None, "");
    let call = cluster.issue_heartbeat(0, "b", 2, "draining", 1);
    cluster.play(600);
    assert_eq!(cluster.reply(call).map(|reply| reply.status), Some(200));
}

/// While some controllers are of a release that keeps no ends, leaves are acknowledged as that release does.
#[rstest]
fn controllers_of_an_earlier_release_hold_no_leave_up() {
    let mut cluster = Cluster::new(1, 3);
    cluster.protocol = peer::KEEPS_ENDS - 1;
    cluster.play(2_000);
    assert_eq!(leave(&mut cluster, 0), Some(200));
}

/// Ends that come while a write is under way go into the next one together.
#[rstest]
fn many_ends_make_few_writes() {
    let mut ends = Ends::default();
    ends.open(0, StoredEnds::default());
    let mut writes = 0;
    for number in 0..100 {
        ends.take(number, &format!("i-{number}"));
        if let Some((token, _)) = ends.write(number) {
            writes += 1;
            if number % 10 == 0 {
                ends.written(number, token, true);
            }
        }
    }
    assert!(writes <= 11, "{writes} writes");
}

/// What a write left on disk, and what a failed one did not.
#[rstest]
fn what_was_written_is_found_until_it_is_too_old_or_too_much() {
    let mut ends = Ends::default();
    ends.open(0, StoredEnds::default());
    for number in 0..MOST_ENDS as u64 + 5 {
        ends.take(1_000 + number, &format!("i-{number}"));
    }
    let (token, record) = ends.write(0).expect("a write");
    ends.written(0, token, false);
    assert!(!ends.is_on_disk("i-9") && ends.write(0).is_none(), "it waits a moment after a failure");
    let (token, _) = ends.write(1_000).expect("another try");
    ends.written(1_000, token, true);
    assert!(ends.is_on_disk("i-9") && !ends.is_on_disk("i-0"), "the oldest go first");

    assert_eq!(found(&record, 2_000).len(), MOST_ENDS);
    let later = found(&record, 2_000 + REMEMBERED_MS);
    assert!(later.contains(&"i-1001".to_string()) && !later.contains(&"i-1000".to_string()));
}

fn found(record: &Record, wall_ms: u64) -> Vec<String> {
    let stored = StoredEnds::from_entries(record.entries.clone()).expect("whole");
    Ends::default().open(wall_ms, stored)
}
