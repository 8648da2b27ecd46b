//! Days with hundreds of changes: what a controller or an agent that was away costs, and that nobody tells of old state.
//!
//! `MANY_CHANGES=1000` plays longer days than CI does.

mod support;

use controller::command::Reply;
use feed::HOME_FIRST_MS;
use peer::Message;
use rstest::rstest;
use support::{configuration, Cluster};

/// Routes of each configuration: 40 KB.
const ROUTES: usize = 150;
/// Copies of the newest value that may come to a controller that catches up.
const MOST_COPIES: usize = 6;
/// A controller that is back knows the newest configuration within this.
const CAUGHT_UP_MS: u64 = 2_000;

fn changes() -> u64 {
    let told = std::env::var("MANY_CHANGES").ok().and_then(|text| text.parse().ok());
    told.unwrap_or(200)
}

fn started(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(seed, 3);
    cluster.play(1_500);
    cluster
}

/// The body that makes a version; each differs in a route.
fn body(version: u64) -> String {
    configuration(version, ROUTES + (version % 7) as usize)
}

fn replace(cluster: &mut Cluster, host: usize, version: u64) -> Option<Reply> {
    let based_on = (version - 1).to_string();
    cluster.call(host, "POST", "/config/replace", Some(&based_on), &body(version))
}

/// Makes the versions up to `last`, at the first two controllers in turn.
fn change_up_to(cluster: &mut Cluster, first: u64, last: u64) {
    for version in first..=last {
        let status = replace(cluster, (version % 2) as usize, version).map(|reply| reply.status);
        assert_eq!(status, Some(200), "version {version}");
    }
}

fn read(cluster: &mut Cluster, host: usize) -> Option<Reply> {
    cluster.call(host, "GET", "/config/read", None, "")
}

/// Brings the third controller back after so many changes; the bytes that came to it until it knew the newest.
fn bytes_to_catch_up(seed: u64, missed: u64, wiped: bool) -> usize {
    let mut cluster = started(seed);
    change_up_to(&mut cluster, 1, 5);
    cluster.stop(2);
    if wiped {
        cluster.wipe(2);
    }
    change_up_to(&mut cluster, 6, 5 + missed);
    let newest = 5 + missed;
    let before = cluster.bytes_to(2);
    cluster.start(2, false);
    let back = cluster.now;
    // It tells of nothing but the newest from its first answer on.
    while cluster.version_at(2) != newest {
        assert!([0, newest].contains(&cluster.version_at(2)), "it holds version {}", cluster.version_at(2));
        if let Some(reply) = read(&mut cluster, 2).filter(|reply| reply.status == 200) {
            assert_eq!(reply.body, body(newest).as_bytes(), "old state is read");
        }
        assert!(cluster.now < back + CAUGHT_UP_MS, "not caught up after {missed} changes");
        cluster.play(1);
    }
    cluster.bytes_to(2) - before
}

#[rstest]
fn a_controller_that_was_away_catches_up_at_a_cost_that_does_not_grow(#[values(false, true)] wiped: bool) {
    let few = bytes_to_catch_up(1, 5, wiped);
    let many = bytes_to_catch_up(1, changes(), wiped);
    println!("{few} bytes after 5 changes, {many} after {}", changes());
    // What comes is the newest value, from each of the others and for reads that began meanwhile, never one for each
    // change. The value remembers 40 bytes a change.
    let value = body(changes()).len() + 40 * changes() as usize;
    let most = MOST_COPIES * value;
    assert!(
        few < most && many < most,
        "{few} bytes after five changes, {many} after many, {value} the value"
    );
}

#[rstest]
fn a_controller_that_restarts_again_and_again_never_tells_of_old_state(#[values(1, 2, 3)] seed: u64) {
    let mut cluster = started(seed);
    change_up_to(&mut cluster, 1, 3);
    for version in 4..4 + changes() / 4 {
        cluster.stop(2);
        cluster.play(30);
        cluster.start(2, false);
        change_up_to(&mut cluster, version, version);
        let reply = read(&mut cluster, 2);
        let is_newest = |reply: &Reply| reply.body == body(version).as_bytes();
        assert!(reply.is_none_or(|reply| reply.status == 503 || is_newest(&reply)), "version {version}");
        assert!([0, version].contains(&cluster.version_at(2)));
    }
    cluster.play(CAUGHT_UP_MS);
    assert_eq!(cluster.version_at(2), 3 + changes() / 4);
}

/// All go at once after many changes, and the one that was away longest starts first: it knows an old version only.
#[rstest]
fn old_state_never_leads(#[values(1, 2, 3)] seed: u64) {
    let mut cluster = started(seed);
    change_up_to(&mut cluster, 1, 2);
    cluster.stop(2);
    change_up_to(&mut cluster, 3, changes() / 4);
    cluster.stop(0);
    cluster.stop(1);
    cluster.start(2, false);
    cluster.play(1_000);
    assert_eq!(cluster.version_at(2), 0, "alone it tells of nothing");
    assert_eq!(read(&mut cluster, 2).map(|reply| reply.status), Some(503));
    let order = replace(&mut cluster, 2, 3).map(|reply| reply.status);
    assert!(matches!(order, Some(503 | 504)), "an order on its old version: {order:?}");
    cluster.start(0, false);
    cluster.play(CAUGHT_UP_MS);
    assert_eq!(cluster.version_at(2), changes() / 4);
    let order = replace(&mut cluster, 2, changes() / 4 + 1).map(|reply| reply.status);
    assert_eq!(order, Some(200), "two of three decide on the newest");
}

#[rstest]
fn an_agent_that_was_away_gets_one_configuration(#[values(5, 100)] missed: u64) {
    let mut cluster = started(4);
    change_up_to(&mut cluster, 1, 2);
    change_up_to(&mut cluster, 3, 2 + missed);
    let agent = cluster.connect_agent_with(0, "edge-1", 2);
    cluster.play(HOME_FIRST_MS + 100);
    let told = cluster.configurations_told(agent);
    assert_eq!(told.len(), 1, "whatever it missed");
    assert_eq!((told[0].base, told[0].version), (0, 2 + missed), "the step from its version is gone");
    let all = cluster.messages(agent).filter(|message| matches!(message, Message::Configuration(_))).count();
    assert_eq!(all, 1);
}

/// Routes of the configurations of the longest day, which is about their number.
const FEW_ROUTES: usize = 12;
/// Changes of one round of the longest day.
const THOUSAND: u64 = 1_000;
/// Orders that a value remembers, and the bytes of each.
const REMEMBERED_BYTES: usize = 512 * 40;
/// Copies of the newest value that may come to one of five: from each of the four others, and one for a read that began
/// meanwhile.
const MOST_COPIES_OF_FIVE: usize = 5;
/// Copies by which the cost of a return may differ, whatever was missed: reads that begin at different moments.
const COPIES_APART: usize = 2;

/// A change of the longest day, at one of the first two controllers.
fn small_change(cluster: &mut Cluster, version: u64) {
    let based_on = (version - 1).to_string();
    let text = configuration(version, FEW_ROUTES);
    let host = (version % 2) as usize;
    let status =
        cluster.call(host, "POST", "/config/replace", Some(&based_on), &text).map(|reply| reply.status);
    assert_eq!(status, Some(200), "version {version}");
}

/// Brings a controller back, which shows the newest version or none from its first moment on; the bytes that came to it.
fn bytes_to_return(cluster: &mut Cluster, host: usize, newest: u64) -> usize {
    let before = cluster.bytes_to(host);
    cluster.start(host, false);
    let back = cluster.now;
    while cluster.version_at(host) != newest {
        assert_eq!(cluster.version_at(host), 0, "controller {host} holds an old version");
        assert!(cluster.now < back + CAUGHT_UP_MS, "controller {host} is not caught up");
        cluster.play(1);
    }
    let bytes = cluster.bytes_to(host) - before;
    let reply = read(cluster, host).filter(|reply| reply.status == 200);
    let is_newest = |reply: Reply| reply.body == configuration(newest, FEW_ROUTES).as_bytes();
    assert!(reply.is_none_or(is_newest), "controller {host} answers with an old version");
    bytes
}

/// One controller misses all changes of a round, one half of them, one the last: it costs each of them the newest value,
/// and disks hold no more after a thousand changes than after those that a value remembers. Then all restart, and
/// another thousand follow.
#[test]
fn a_thousand_changes_cost_whoever_missed_them_the_newest_value() {
    let mut cluster = Cluster::new(6, 5);
    cluster.play(1_500);
    let mut version = 0;
    let mut on_disk = Vec::new();
    for round in 0..2 {
        let missed_all = 4;
        let missed_half = 3;
        let missed_one = 2;
        cluster.stop(missed_all);
        (0..THOUSAND / 2).for_each(|_| {
            version += 1;
            small_change(&mut cluster, version);
        });
        cluster.stop(missed_half);
        (0..THOUSAND / 2).for_each(|_| {
            version += 1;
            small_change(&mut cluster, version);
        });
        let value = configuration(version, FEW_ROUTES).len() + REMEMBERED_BYTES;
        let all = bytes_to_return(&mut cluster, missed_all, version);
        let half = bytes_to_return(&mut cluster, missed_half, version);
        cluster.stop(missed_one);
        version += 1;
        small_change(&mut cluster, version);
        let one = bytes_to_return(&mut cluster, missed_one, version);
        println!("round {round}: {all} bytes to whoever missed all, {half} half, {one} the last; {value} the value");
        let (least, most) = (all.min(half).min(one), all.max(half).max(one));
        assert!(most < MOST_COPIES_OF_FIVE * value, "{all}, {half}, {one} bytes");
        assert!(most - least < COPIES_APART * value, "{all}, {half}, {one} bytes: not flat");
        cluster.play(CAUGHT_UP_MS);
        on_disk.push((0..5).map(|host| cluster.bytes_on_disk(host)).max().unwrap_or_default());
        cluster.restart_all(500, &[]);
        let held = (0..5).find(|host| ![0, version].contains(&cluster.version_at(*host)));
        assert_eq!(held, None, "a controller that restarts holds an old version");
        cluster.play(CAUGHT_UP_MS);
    }
    println!("{on_disk:?} bytes on disk after a thousand and two thousand changes");
    assert!(on_disk[1] <= on_disk[0] + 1_000, "disks grow: {on_disk:?}");
}

#[rstest]
fn disks_do_not_grow_with_the_number_of_changes() {
    let mut cluster = started(5);
    change_up_to(&mut cluster, 1, 20);
    let early = cluster.bytes_on_disk(0);
    change_up_to(&mut cluster, 21, 20 + changes());
    let late = cluster.bytes_on_disk(0);
    println!("{early} bytes on disk after 20 changes, {late} after {}", 20 + changes());
    assert!(late < early + 3_000 + 40 * changes() as usize, "{early} bytes, then {late}");
}
