//! Sums over sources, and what receivers are told of them.

use load::{told_every, Load, LoadNews, LoadSums, Loads, SOURCE_AGE_MS};
use peer::ReplicaLoad;
use rstest::rstest;

fn one(replica: u32, tokens: u32, calls: u16) -> ReplicaLoad {
    ReplicaLoad { replica, tokens, calls }
}

fn whole(loads: Vec<ReplicaLoad>) -> peer::Loads {
    peer::Loads::new(true, loads)
}

fn changes(loads: Vec<ReplicaLoad>) -> peer::Loads {
    peer::Loads::new(false, loads)
}

fn loads(of: &[(u32, u32, u16)]) -> Loads {
    of.iter().map(|(replica, tokens, calls)| (*replica, Load { tokens: *tokens, calls: *calls })).collect()
}

#[rstest]
fn what_sources_told_adds_up() {
    let mut sums = LoadSums::default();
    sums.take(0, "a", &whole(vec![one(1, 100, 1), one(2, 50, 2)]));
    sums.take(0, "b", &whole(vec![one(1, 1_000, 3)]));
    assert_eq!(sums.totals(), loads(&[(1, 1_100, 4), (2, 50, 2)]));
}

#[rstest]
fn changes_leave_what_they_do_not_name_and_a_whole_does_not() {
    let mut sums = LoadSums::default();
    sums.take(0, "a", &whole(vec![one(1, 100, 1), one(2, 50, 2)]));
    sums.take(1, "a", &changes(vec![one(2, 0, 0), one(3, 7, 1)]));
    assert_eq!(sums.totals(), loads(&[(1, 100, 1), (3, 7, 1)]));
    sums.take(2, "a", &whole(vec![one(3, 8, 1)]));
    assert_eq!(sums.totals(), loads(&[(3, 8, 1)]));
}

#[rstest]
fn a_source_that_is_silent_or_has_ended_counts_no_more() {
    let mut sums = LoadSums::default();
    sums.take(0, "silent", &whole(vec![one(1, 100, 1)]));
    sums.take(500, "heard", &whole(vec![one(2, 100, 1)]));
    sums.take(500, "ended", &whole(vec![one(3, 100, 1)]));
    sums.forget(&"ended");
    sums.expire(SOURCE_AGE_MS);
    assert_eq!(sums.totals(), loads(&[(2, 100, 1)]));
}

#[rstest]
fn sums_stop_at_their_bounds() {
    let mut sums = LoadSums::default();
    sums.take(0, "a", &whole(vec![one(1, u32::MAX, u16::MAX)]));
    sums.take(0, "b", &whole(vec![one(1, 1, 1)]));
    assert_eq!(sums.totals(), loads(&[(1, u32::MAX, u16::MAX)]));
}

#[rstest]
fn small_changes_are_no_news_and_ends_are() {
    let mut news = LoadNews::default();
    let first = news.message(0, &loads(&[(1, 10_000, 20), (2, 300, 1)])).expect("the whole");
    assert_eq!(first.is_whole, 1);
    assert_eq!(news.message(100, &loads(&[(1, 12_400, 23), (2, 800, 2)])), None);
    let second = news.message(200, &loads(&[(1, 13_000, 20)])).expect("news");
    assert_eq!(second, changes(vec![one(2, 0, 0), one(1, 13_000, 20)]));
    assert_eq!(news.told(1), Load { tokens: 13_000, calls: 20 });
    assert_eq!(news.told(2), Load::default());
}

#[rstest]
fn nothing_is_told_more_often_than_the_fleets_size_allows() {
    let mut news = LoadNews::default();
    assert!(news.message(0, &loads(&[(1, 1_000, 1)])).is_some());
    let next = news.deadline();
    assert_eq!(next, told_every(1));
    assert_eq!(news.message(next - 1, &loads(&[(1, 9_000, 1)])), None);
    assert!(news.message(next, &loads(&[(1, 9_000, 1)])).is_some());
}

#[rstest]
#[case::few(1, 40)]
#[case::small_site(18, 40)]
#[case::hundreds(300, 150)]
#[case::target(600, 300)]
#[case::more(6_000, 400)]
fn the_pause_grows_with_the_fleet(#[case] replicas: usize, #[case] pause: u64) {
    assert_eq!(told_every(replicas), pause);
}

/// Random loads over a lossy path: whatever was missed, the receiver holds what the sender has within a second.
#[rstest]
fn a_receiver_that_missed_messages_is_right_within_a_second(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let mut state = seed;
    let mut draw = move |below: u64| {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) % below
    };
    let (mut news, mut receiver, mut held) = (LoadNews::default(), LoadSums::default(), Loads::new());
    for now in (0..5_000).step_by(10) {
        let load = Load { tokens: draw(20_000) as u32, calls: 1 + draw(9) as u16 };
        held.insert(draw(40) as u32, load);
        held.remove(&(draw(40) as u32));
        if let Some(message) = news.message(now, &held) {
            if draw(3) > 0 {
                receiver.take(now, (), &message);
            }
        }
    }
    for now in (5_000..6_100).step_by(10) {
        if let Some(message) = news.message(now, &held) {
            receiver.take(now, (), &message);
        }
    }
    assert_eq!(receiver.totals(), held);
}
