//! An acknowledged draining or end of a replica is in force at all controllers, whatever else is known of the replica.

mod support;

use catalog::State;
use peer::{Address, Message, ModelVersion, ReplicaRecord, Replicas};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use support::{CallHandle, Cluster};

const BEAT_EVERY_MS: u64 = 1_200;
/// Messages between controllers arrive within this, and what is not urgent is held back so long.
const TOLD_WITHIN_MS: u64 = 60;

/// A replica that got no acknowledgement calls the next controller, and ends all the same after some seconds.
const TRY_EVERY_MS: u64 = 200;
const TRIES: usize = 10;

/// A replica whose heartbeats the test sends by itself.
struct Sender {
    id: &'static str,
    beat: u64,
    cold_left_ms: u64,
}

impl Sender {
    fn new(cluster: &mut Cluster, id: &'static str) -> Sender {
        cluster.replicas.add(id, 1, 1, 0);
        let replica = cluster.replicas.all.get_mut(id).expect("it was added");
        replica.next_beat = u64::MAX;
        Sender { id, beat: 0, cold_left_ms: 0 }
    }

    fn version(&self, cluster: &Cluster) -> u64 {
        cluster.replicas.all[self.id].version
    }

    fn say(&mut self, cluster: &mut Cluster, host: usize, state: &str) -> CallHandle {
        self.beat += 1;
        let (beat, cold_left_ms, version) = (self.beat, self.cold_left_ms, self.version(cluster));
        let body = format!(
            r#"{{"service":"reader","address":"10.1.0.1:8080","zone":"zone-0","version":"v1","free-slots":12,"state":"{state}","cold-left-ms":{cold_left_ms},"stage":"both_ways","models":[{{"name":"m","version":{version},"adapters":[]}}],"call-count":{beat}}}"#
        );
        cluster.issue(host, "POST", &format!("/nodes/{}/heartbeat", self.id), None, &body)
    }
}

fn name_weights(cluster: &mut Cluster, host: usize, version: u64) -> CallHandle {
    cluster.issue(host, "POST", "/version-put", None, &format!(r#"{{"model":"m","version":{version}}}"#))
}

fn play_until_answered(cluster: &mut Cluster, call: CallHandle) -> Option<u16> {
    for _ in 0..1_000 {
        if let Some(reply) = cluster.reply(call) {
            return Some(reply.status);
        }
        cluster.play(1);
    }
    None
}

/// Guards against the review's case 3 (DRAIN): a report of newer weights took the number of a heartbeat that the replica
/// had not sent yet, and its draining was acknowledged and dropped as late.
#[rstest]
#[case::a_few(4, 250)]
#[case::as_reviewed(20, 700)]
#[case::many(40, 150)]
fn an_acknowledged_draining_is_in_force_after_many_namings(
    #[case] namings: u64,
    #[case] pause_ms: u64,
    #[values(3, 5)] size: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut cluster = Cluster::new(seed, size);
    cluster.replicas.load_ms = 50;
    cluster.play(2_000);
    let mut replica = Sender::new(&mut cluster, "a");
    let mut next_beat = cluster.now;
    for naming in 0..namings {
        name_weights(&mut cluster, 2, 2 + naming);
        let until = cluster.now + pause_ms;
        while cluster.now < until {
            if cluster.now >= next_beat {
                next_beat = cluster.now + BEAT_EVERY_MS;
                replica.say(&mut cluster, 1, "ready");
            }
            cluster.play(1);
        }
    }
    assert!(replica.version(&cluster) > 1, "it was moved");
    let call = replica.say(&mut cluster, 1, "draining");
    assert_eq!(play_until_answered(&mut cluster, call), Some(200));
    cluster.play(TOLD_WITHIN_MS);
    for host in 0..size {
        assert_eq!(cluster.state_at(host, "a"), Some(State::Draining), "at {host}");
    }
}

/// A controller of an earlier release may still tell of heartbeats that the replica has not sent. A draining that is not in
/// force for that reason is not acknowledged.
#[rstest]
#[case::ready(peer::ReplicaState::Ready)]
#[case::lost(peer::ReplicaState::Lost)]
fn a_draining_that_comes_late_is_not_acknowledged(#[case] state: peer::ReplicaState) {
    let mut cluster = Cluster::new(1, 3);
    cluster.play(2_000);
    let mut replica = Sender::new(&mut cluster, "a");
    replica.say(&mut cluster, 0, "ready");
    cluster.play(100);
    let agent = cluster.connect_agent(0, "edge-1");
    let address = std::net::SocketAddrV4::new([10, 1, 0, 1].into(), 8080);
    let models = vec![ModelVersion { name: "m".into(), version: 2 }];
    let mut told = ReplicaRecord::new("a", "reader", Address::from(address), "zone-0").with_models(models);
    (told.beat, told.state) = (replica.beat + 2, state);
    cluster.agent_sends(agent, Message::Replicas(Replicas::from(vec![told])));
    cluster.play(100);
    let call = replica.say(&mut cluster, 1, "draining");
    assert_eq!(play_until_answered(&mut cluster, call), Some(503));
    let call = replica.say(&mut cluster, 1, "draining");
    assert_eq!(play_until_answered(&mut cluster, call), Some(200), "its number is known by now");
}

/// A new replica at an address whose former holder was heard a moment ago: its heartbeats are dropped for a while, and its
/// draining is not acknowledged as long as they are.
#[rstest]
fn a_draining_that_is_dropped_for_its_address_is_not_acknowledged() {
    let mut cluster = Cluster::new(1, 3);
    cluster.play(2_000);
    cluster.heartbeat(0, "former", 1, "ready", 5);
    cluster.play(100);
    let call = cluster.issue_heartbeat(0, "a", 1, "draining", 1);
    assert_eq!(play_until_answered(&mut cluster, call), Some(503));
}

/// Guards against controllers that hold different words for one number, and told each other theirs every 20 ms until the next
/// heartbeat: the time of a cold start counts down unheard, and a report is told under a number that others heard.
#[rstest]
fn a_report_beside_a_cold_start_is_told_a_few_times(
    #[values(1, 2, 3)] seed: u64,
    #[values(0, 1, 2)] home: usize,
) {
    for named_after_ms in (0..BEAT_EVERY_MS).step_by(20) {
        report_beside_a_cold_start(seed, home, named_after_ms);
    }
}

fn report_beside_a_cold_start(seed: u64, home: usize, named_after_ms: u64) {
    const CONTROLLERS: usize = 3;
    /// The naming's order and report take less.
    const BEATS: u64 = 4;
    let mut cluster = Cluster::new(seed, CONTROLLERS);
    cluster.replicas.load_ms = 50;
    // Heartbeats at different times between two messages on them to the other controllers, which leave every 400 ms.
    cluster.play(2_000 + 100 * seed);
    let mut replica = Sender::new(&mut cluster, "a");
    let before = cluster.told.replica_messages;
    for beat in 0..BEATS {
        replica.cold_left_ms = 30_000 - beat * BEAT_EVERY_MS;
        replica.say(&mut cluster, home, "ready");
        if beat == 1 {
            cluster.play(named_after_ms);
            name_weights(&mut cluster, 2, 2);
            cluster.play(BEAT_EVERY_MS - named_after_ms);
        } else {
            cluster.play(BEAT_EVERY_MS);
        }
    }
    assert_eq!(replica.version(&cluster), 2, "it was moved");
    // Two things are new: the replica, and its weights. Each controller tells each other one of each twice at most.
    let most = 2 * 2 * CONTROLLERS * (CONTROLLERS - 1);
    let told = cluster.told.replica_messages - before;
    assert!(
        told <= most,
        "{told} messages in {BEATS} heartbeats, at most {most}; named after {named_after_ms} ms"
    );
}

/// A heartbeat that is on its way: which controller it reaches, and when.
struct OnItsWay {
    arrives: u64,
    host: usize,
    state: &'static str,
    beat: u64,
    version: u64,
}

/// Drawn histories: namings and moves, heartbeats that reach any controller late and twice, links that are cut for a while.
/// What was acknowledged is in force everywhere once all messages have arrived, and late heartbeats do not undo it.
#[rstest]
#[case::draining("draining", State::Draining)]
#[case::leave("leave", State::Gone)]
fn what_a_replica_was_acknowledged_is_in_force_in_drawn_histories(
    #[case] word: &'static str,
    #[case] expected: State,
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)] seed: u64,
) {
    let mut random = SmallRng::seed_from_u64(seed);
    let size = random.random_range(3..6);
    let mut cluster = Cluster::new(seed, size);
    cluster.replicas.load_ms = random.random_range(10..400);
    cluster.play(2_000);
    let mut replica = Sender::new(&mut cluster, "a");
    let mut flights: Vec<OnItsWay> = Vec::new();
    let (mut next_beat, mut next_naming, mut version) = (cluster.now, cluster.now + 500, 1);
    let mut heal_at = u64::MAX;
    let mut home = random.random_range(0..size);
    let until = cluster.now + random.random_range(6_000..16_000);
    while cluster.now < until {
        if cluster.now >= next_beat {
            next_beat = cluster.now + BEAT_EVERY_MS;
            replica.beat += 1;
            let (beat, version) = (replica.beat, replica.version(&cluster));
            let delay = if random.random_bool(0.2) { random.random_range(100..3_000) } else { 2 };
            flights.push(OnItsWay {
                arrives: cluster.now + delay,
                host: home,
                state: "ready",
                beat,
                version,
            });
            if random.random_bool(0.3) {
                home = random.random_range(0..size);
                let arrives = cluster.now + random.random_range(2..2_000);
                flights.push(OnItsWay { arrives, host: home, state: "ready", beat, version });
            }
        }
        if cluster.now >= next_naming {
            next_naming = cluster.now + random.random_range(100..900);
            version += 1;
            name_weights(&mut cluster, random.random_range(0..size), version);
        }
        if random.random_bool(0.000_4) && heal_at == u64::MAX {
            cluster.cut_off(random.random_range(0..size));
            heal_at = cluster.now + random.random_range(200..6_000);
        }
        if cluster.now >= heal_at {
            cluster.heal();
            heal_at = u64::MAX;
        }
        deliver(&mut cluster, &mut flights);
        cluster.play(1);
    }
    cluster.heal();
    let mut is_acknowledged = false;
    for attempt in 0..TRIES {
        let host = (home + attempt) % size;
        let call = match word {
            "leave" => cluster.issue(host, "POST", "/nodes/a/leave", None, ""),
            _ => replica.say(&mut cluster, host, word),
        };
        is_acknowledged = play_until_answered(&mut cluster, call) == Some(200);
        if is_acknowledged {
            break;
        }
        cluster.play(TRY_EVERY_MS);
    }
    assert!(is_acknowledged, "some controller takes it within a few tries");
    cluster.play(TOLD_WITHIN_MS);
    for step in 0..4_000 {
        if step % 500 == 0 {
            for host in 0..size {
                assert_eq!(cluster.state_at(host, "a"), Some(expected), "at {host}, {step} ms after");
            }
        }
        deliver(&mut cluster, &mut flights);
        cluster.play(1);
    }
}

/// Hands in the heartbeats that arrive now.
fn deliver(cluster: &mut Cluster, flights: &mut Vec<OnItsWay>) {
    let now = cluster.now;
    let (due, later) = std::mem::take(flights).into_iter().partition(|flight| flight.arrives <= now);
    *flights = later;
    let due: Vec<OnItsWay> = due;
    for OnItsWay { host, state, beat, version, .. } in due {
        cluster.issue_heartbeat_with(host, "a", 1, state, beat, version);
    }
}
