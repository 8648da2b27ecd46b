//! Which step of a release is due: good and bad versions, proxies that are missing, controllers that restart, and histories
//! drawn at random.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rollout::{
    bucket_of, Answers, Conductor, Histogram, Judged, Order, Phase, ProxyWord, ReadyReplicas, Releases, Side,
    Step,
};
use rstest::rstest;

const NOON_MS: u64 = 1_700_000_000_000;
const OVER_MS: u64 = 12_000;
/// From then on the shift may begin.
const SHIFT_MS: u64 = 6_000;
const READY: ReadyReplicas = ReadyReplicas { new: 10, old: 10 };
const TICK_MS: u64 = 100;

fn ordered() -> Releases {
    let order = Order::new("reader", "v2", OVER_MS as f64 / 1_000.0).expect("sound");
    match Releases::default().judge(&order, NOON_MS, None) {
        Judged::Begin(releases) => releases,
        other => panic!("{other:?}"),
    }
}

fn answers(good: u32, bad: u32) -> Answers {
    let mut durations = Histogram::default();
    durations.add(bucket_of(50.0), good);
    Answers { good, bad, durations }
}

/// One controller's view, with proxies that follow what the register holds.
struct World {
    now: u64,
    releases: Releases,
    conductor: Conductor<String>,
    proxies: Vec<String>,
    /// Bad answers of a hundred of the new version.
    bad: u32,
    /// Proxies that still have requests out at the old version.
    undrained: Vec<String>,
    /// Proxies that say nothing.
    silent: Vec<String>,
    ready: ReadyReplicas,
    rank: u64,
    /// Steps taken, with when.
    steps: Vec<(u64, Step)>,
}

impl World {
    fn new() -> World {
        let mut world = World {
            now: 100_000,
            releases: ordered(),
            conductor: Conductor::default(),
            proxies: (0..4).map(|place| format!("edge-{place}")).collect(),
            bad: 0,
            undrained: Vec::new(),
            silent: Vec::new(),
            ready: READY,
            rank: 0,
            steps: Vec::new(),
        };
        world.learn();
        world
    }

    fn began() -> u64 {
        100_000
    }

    fn learn(&mut self) {
        self.conductor.learn(self.now, NOON_MS + self.now - World::began(), &self.releases);
    }

    fn restart(&mut self) {
        self.conductor = Conductor::default();
        self.learn();
    }

    fn phase(&self) -> Phase {
        self.releases.newest("reader").expect("ordered").phase
    }

    fn report(&mut self) {
        let release = self.releases.newest("reader").expect("ordered").clone();
        for proxy in self.proxies.clone() {
            if self.silent.contains(&proxy) {
                continue;
            }
            let is_drained = release.phase == Phase::Shift && !self.undrained.contains(&proxy);
            let word = ProxyWord { phase: release.phase, is_drained };
            let mut told = vec![(1, Side::Old, answers(20, 0))];
            if !release.phase.is_reverted() {
                for replica in 0..4 {
                    let bad = (self.bad * 2).div_ceil(100);
                    told.push((1, Side::New { replica }, answers(2 - bad.min(2), bad)));
                }
            }
            self.conductor.proxy_told(self.now, proxy, release.number, word, told);
        }
    }

    fn play(&mut self, for_ms: u64) {
        for _ in 0..for_ms / TICK_MS {
            self.now += TICK_MS;
            if self.now % (2 * TICK_MS) == 0 {
                self.report();
            }
            let ready = self.ready;
            let Some(due) = self.conductor.due(self.now, self.rank, &self.proxies, |_, _| ready) else {
                continue;
            };
            let next = self.releases.advanced(due.number, due.phase, due.step, &due.reason);
            self.releases = next.expect("what is due fits what the register holds");
            self.steps.push((self.now - World::began(), due.step));
            self.learn();
        }
    }
}

#[rstest]
fn a_good_version_is_finished_by_its_deadline() {
    let mut world = World::new();
    world.play(SHIFT_MS - TICK_MS);
    assert_eq!(world.phase(), Phase::Trial, "the share is held as long as it may be");
    world.play(OVER_MS - SHIFT_MS);
    assert_eq!(world.phase(), Phase::Finished);
    assert!(world.steps.iter().all(|(at, _)| *at < OVER_MS - 3_000), "{:?}", world.steps);
}

#[rstest]
#[case::at_once(0)]
#[case::late(5_000)]
#[case::in_the_shift(SHIFT_MS + 600)]
fn a_bad_version_is_reverted_soon(#[case] from_ms: u64) {
    let mut world = World::new();
    world.play(from_ms);
    world.bad = 50;
    world.play(3_000);
    assert_eq!(world.phase(), Phase::Reverted, "{:?}", world.steps);
    let reason = world.releases.newest("reader").expect("ordered").reason().to_string();
    assert!(reason.starts_with("errors on "), "{reason}");
}

/// Guards against a bad version that was finished: the controller that had the evidence was cut off with it, and another one,
/// which had seen a little less, took the next step.
#[rstest]
fn a_version_under_suspicion_is_not_finished() {
    let mut world = World::new();
    world.play(SHIFT_MS + 1_300);
    let number = world.releases.newest("reader").expect("ordered").number;
    let word = ProxyWord { phase: Phase::Shift, is_drained: true };
    // One in seven is bad, at all replicas: not enough for a verdict yet.
    for replica in 0..4 {
        let told = [(1, Side::New { replica }, answers(6, 1))];
        world.conductor.proxy_told(world.now, "edge-0".to_string(), number, word, told);
    }
    world.silent = world.proxies.clone();
    world.play(1_000);
    assert_eq!(world.phase(), Phase::Shift, "{:?}", world.steps);
    world.silent.clear();
    world.play(1_000);
    assert_eq!(world.phase(), Phase::Finished, "sound answers have outweighed it: {:?}", world.steps);
}

/// The old replicas stop at `finished`: whoever still has something out there holds it back, also past the deadline.
#[rstest]
fn a_proxy_with_requests_at_the_old_version_holds_the_end_back() {
    let mut world = World::new();
    world.undrained = vec!["edge-2".to_string()];
    world.play(OVER_MS + 20_000);
    assert_eq!(world.phase(), Phase::Shift);
    world.undrained.clear();
    world.play(500);
    assert_eq!(world.phase(), Phase::Finished);
}

/// One that says nothing for long is not there; before that it is waited for.
#[rstest]
fn a_proxy_that_says_nothing_is_waited_for_a_while() {
    let mut world = World::new();
    world.play(SHIFT_MS);
    world.silent = vec!["edge-1".to_string()];
    world.undrained = vec!["edge-1".to_string()];
    world.play(2_500);
    assert_eq!(world.phase(), Phase::Shift);
    world.play(1_500);
    assert_eq!(world.phase(), Phase::Finished);
}

/// One that has not reported yet may hold requests: it has the time to say so.
#[rstest]
fn a_proxy_that_has_said_nothing_yet_is_waited_for_a_while() {
    let mut world = World::new();
    world.silent = vec!["edge-1".to_string()];
    world.play(SHIFT_MS + 2_800);
    assert_eq!(world.phase(), Phase::Shift);
    world.play(500);
    assert_eq!(world.phase(), Phase::Finished);
}

#[rstest]
fn without_proxies_nothing_is_finished() {
    let mut world = World::new();
    world.play(SHIFT_MS + 500);
    assert_eq!(world.phase(), Phase::Shift);
    world.proxies.clear();
    world.play(OVER_MS);
    assert_eq!(world.phase(), Phase::Shift);
}

#[rstest]
#[case::none(ReadyReplicas { new: 0, old: 10 })]
#[case::few(ReadyReplicas { new: 4, old: 10 })]
fn a_version_without_enough_replicas_does_not_take_over(#[case] ready: ReadyReplicas) {
    let mut world = World::new();
    world.ready = ready;
    world.play(OVER_MS + 4_900);
    assert_eq!(world.phase(), Phase::Trial);
    world.play(400);
    assert_eq!(world.phase(), Phase::Reverted, "given up 5 s after its deadline");
}

#[rstest]
fn a_version_whose_replicas_go_in_the_shift_is_given_up() {
    let mut world = World::new();
    world.play(SHIFT_MS + 500);
    world.ready = ReadyReplicas { new: 2, old: 10 };
    world.play(500);
    assert_eq!(world.phase(), Phase::Reverted);
}

/// A controller that restarts judges anew, and wants to see answers again before it has the version take over.
#[rstest]
#[case::in_the_trial(4_000)]
#[case::as_the_shift_is_due(SHIFT_MS - TICK_MS)]
#[case::in_the_shift(SHIFT_MS + 1_000)]
fn a_restart_of_all_controllers_costs_little(#[case] at_ms: u64) {
    let mut world = World::new();
    world.play(at_ms);
    world.restart();
    world.play(OVER_MS - at_ms);
    assert_eq!(world.phase(), Phase::Finished, "{:?}", world.steps);
}

/// The age of a release that was ordered before this controller started is told by the time of day, which may be wrong: it
/// gives nothing up that it has not watched itself.
#[rstest]
fn a_controller_that_starts_late_knows_the_age() {
    let mut world = World::new();
    world.silent = world.proxies.clone();
    world.play(20_000);
    assert_eq!(world.phase(), Phase::Reverted);
    let mut other = World::new();
    other.now += 20_000;
    other.restart();
    other.silent = other.proxies.clone();
    other.play(4_900);
    assert_eq!(other.phase(), Phase::Trial, "it has not watched it for long");
    other.play(200);
    assert!(other.phase().is_reverted(), "it is past its deadline and was never judged");
}

#[rstest]
fn controllers_propose_one_after_the_other() {
    let at = |rank| {
        let mut world = World::new();
        world.rank = rank;
        world.play(OVER_MS);
        world.steps[0].0
    };
    assert_eq!((at(1) - at(0), at(3) - at(0)), (300, 900));
}

/// Drawn histories: versions that turn bad, proxies that fall silent, come back and hold requests, replicas that go, and
/// restarts. Phases only ever go along the table; nothing is finished while a proxy that speaks has something owed; a version
/// that is bad for 3 s, with proxies that speak, is not finished.
#[rstest]
fn histories_keep_to_the_table(#[values(1, 2, 3, 4)] batch: u64) {
    for seed in 0..100 {
        play_history(batch * 1_000 + seed);
    }
}

fn play_history(seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut world = World::new();
    let mut bad_since = None;
    while world.now < World::began() + 2 * OVER_MS && !world.phase().is_over() {
        match random.random_range(0..40) {
            0 => world.restart(),
            1 => world.bad = [0, 0, 50, 100][random.random_range(0..4)],
            2 => world.silent = drawn(&mut random, &world.proxies),
            3 => world.undrained = drawn(&mut random, &world.proxies),
            4 => world.ready.new = random.random_range(0..11),
            5 => world.rank = random.random_range(0..5),
            _ => {}
        }
        let speaks = world.silent.len() < world.proxies.len();
        bad_since = (world.bad > 0 && speaks).then(|| bad_since.unwrap_or(world.now));
        let (before, owed): (Phase, Vec<String>) = (
            world.phase(),
            world.undrained.iter().filter(|proxy| !world.silent.contains(proxy)).cloned().collect(),
        );
        let taken = world.steps.len();
        world.play(TICK_MS);
        let steps = &world.steps[taken..];
        let after = steps.iter().fold(before, |phase, (_, step)| phase.after(*step).expect("in the table"));
        assert_eq!(after, world.phase(), "seed {seed}");
        if world.phase() == Phase::Finished {
            assert!(owed.is_empty() || is_fresh(&world, &owed), "seed {seed}: {owed:?} had something owed");
            let bad_for = bad_since.map_or(0, |since| world.now - since);
            assert!(bad_for < 3_000, "seed {seed}: finished after {bad_for} ms of bad answers");
        }
    }
}

/// A proxy that has begun to hold requests since its last report could not have been known to.
fn is_fresh(world: &World, owed: &[String]) -> bool {
    !owed.is_empty() && world.now % (2 * TICK_MS) != 0
}

fn drawn(random: &mut SmallRng, proxies: &[String]) -> Vec<String> {
    proxies.iter().filter(|_| random.random_bool(0.3)).cloned().collect()
}
