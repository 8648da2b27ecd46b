//! Soak: a fleet of real processes on loopback, with clients that keep their connections until a process is gone, replicas,
//! operators, and signals, restarts and changes drawn from a seed, in series and on top of each other.
//!
//! CI plays a few seeds. `SOAK_SEEDS=1..51` plays others, `SOAK_AT_ONCE` so many at a time, `SOAK_EDGES` and
//! `SOAK_CONTROLLERS` set the size of the fleet. The folder of a run that fails, or of any with `SOAK_KEEP`, stays, with a log for each process and
//! `events.txt`.

mod call;
mod check;
mod client;
mod disk;
mod fleet;
mod operator;
mod orders;
mod plan;
mod record;
mod relay;
mod replica;
mod start;
mod test_build;
mod touch;

use client::Clients;
use fleet::{Fleet, SERVICES, VERSION_MS};
use operator::Operators;
use plan::{draw_plan, Action, Size, FIRST_WITH_FAULTS};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use record::{Millis, Process, Record, Seen};
use replica::{End, Replica};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::task::{spawn_local, JoinHandle, LocalSet};
use tokio::time::{sleep, timeout};

/// Seeds that CI plays, and those with cut links and bad disks.
const CI_SEEDS: Range<u64> = 1..9;
const CI_FAULT_SEEDS: Range<u64> = FIRST_WITH_FAULTS + 1..FIRST_WITH_FAULTS + 9;
/// Runs at a time in CI.
const CI_AT_ONCE: u64 = 2;
/// After the last action all is well again within this: replaced members, moved weights, processes that were told to end.
const RECOVERY: Duration = Duration::from_millis(12_000);
/// The first configuration is there within this.
const FIRST_CONFIGURATION: Duration = Duration::from_secs(20);

fn from_environment<T: std::str::FromStr>(name: &str) -> Option<T> {
    std::env::var(name).ok()?.parse().ok()
}

/// The seeds that are told, as far as they lie in `all`, or those of CI.
fn seeds(all: Range<u64>, of_ci: Range<u64>) -> Range<u64> {
    let told = std::env::var("SOAK_SEEDS").ok();
    let range = told.as_deref().and_then(|text| text.split_once(".."));
    let range = range.and_then(|(first, end)| Some(first.parse().ok()?..end.parse().ok()?));
    range.map_or(of_ci, |told: Range<u64>| told.start.max(all.start)..told.end.min(all.end))
}

fn size(seed: u64) -> Size {
    let edges = from_environment("SOAK_EDGES").unwrap_or(3);
    let controllers = from_environment("SOAK_CONTROLLERS").unwrap_or(if seed % 5 == 4 { 5 } else { 3 });
    Size { controllers, edges, replicas: 3, clients: if edges > 8 { 1 } else { 3 } }
}

#[test]
fn a_fleet_keeps_its_promises_through_signals_restarts_and_changes() {
    play_all(seeds(0..FIRST_WITH_FAULTS, CI_SEEDS));
}

/// One controller's links are cut, delayed or reset and its disk is slow, fails or refuses, on top of all that; and each
/// controller's disk forgets what was not synced.
#[test]
fn a_fleet_keeps_its_promises_through_cut_links_and_bad_disks() {
    play_all(seeds(FIRST_WITH_FAULTS..u64::MAX, CI_FAULT_SEEDS));
}

fn play_all(seeds: Range<u64>) {
    let at_once = from_environment("SOAK_AT_ONCE").unwrap_or(CI_AT_ONCE);
    let next = AtomicU64::new(seeds.start);
    let mut faults: Vec<String> = Vec::new();
    std::thread::scope(|scope| {
        let workers: Vec<_> = (0..at_once).map(|_| scope.spawn(|| work(&next, seeds.end))).collect();
        for worker in workers {
            faults.extend(worker.join().expect("a run does not panic"));
        }
    });
    assert!(faults.is_empty(), "{} faults:\n{}", faults.len(), faults.join("\n"));
}

/// Plays seeds until none is left.
fn work(next: &AtomicU64, end: u64) -> Vec<String> {
    let mut faults = Vec::new();
    loop {
        let seed = next.fetch_add(1, Ordering::Relaxed);
        if seed >= end {
            return faults;
        }
        let found = play(seed);
        println!("seed {seed}: {} faults", found.len());
        faults.extend(found.into_iter().map(|fault| format!("seed {seed}: {fault}")));
    }
}

fn play(seed: u64) -> Vec<String> {
    let (faults, _) = play_story(&format!("seed {seed}"), |folder| async move {
        let run = Run::start(seed, size(seed), 0, &folder);
        run.begin(seed).await;
        for (at, action) in draw_plan(seed, run.fleet.size()) {
            sleep(Duration::from_millis(at.saturating_sub(run.record.now()))).await;
            run.act(action);
        }
        run.recovered().await;
        run.stop().await
    });
    faults
}

/// Plays a run in a folder of its own: its faults, and what was seen. The folder stays where there are faults.
fn play_story<F>(name: &str, story: impl FnOnce(PathBuf) -> F) -> (Vec<String>, Vec<record::Event>)
where
    F: Future<Output = Vec<record::Event>>,
{
    let folder_name = format!("steppick-soak-{}-{}", std::process::id(), name.replace(' ', "-"));
    let folder = std::env::temp_dir().join(folder_name);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let events = LocalSet::new().block_on(&runtime, story(folder.clone()));
    let faults = check::faults(&events);
    if faults.is_empty() && std::env::var_os("SOAK_KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        let text: Vec<String> = events.iter().map(|event| format!("{} {:?}", event.at, event.seen)).collect();
        let _ = std::fs::write(folder.join("events.txt"), text.join("\n"));
        println!("{name}: kept in {}", folder.display());
    }
    (faults, events)
}

/// A run with its parties.
struct Run {
    fleet: Fleet,
    record: Record,
    operators: Operators,
    clients: Clients,
    replicas: RefCell<Vec<Option<Replica>>>,
    random: RefCell<SmallRng>,
    lives: Cell<u64>,
    supervision: JoinHandle<()>,
}

impl Run {
    /// All processes and parties; `spare_routes` routes nobody asks for fill the configuration.
    fn start(seed: u64, size: Size, spare_routes: usize, folder: &Path) -> Rc<Run> {
        let record = Record::new();
        let program = PathBuf::from(env!("CARGO_BIN_EXE_steppick"));
        let fleet = Fleet::start(&program, folder, size, record.clone(), seed);
        let supervision = spawn_local(fleet.clone().supervise());
        let clients = Clients {
            fleet: fleet.clone(),
            record: record.clone(),
            last_request: Rc::default(),
            newest: Rc::default(),
            stopped: Rc::default(),
        };
        let operators = Operators::new(&fleet, &record, &clients, seed, spare_routes);
        let random = RefCell::new(SmallRng::seed_from_u64(seed ^ 0xf1ee7));
        let (replicas, lives) = (RefCell::default(), Cell::new(0));
        Rc::new(Run { fleet, record, operators, clients, replicas, random, lives, supervision })
    }

    /// Ends all; what was seen.
    async fn stop(&self) -> Vec<record::Event> {
        self.clients.stopped.set(true);
        self.operators.stop();
        sleep(Duration::from_millis(100)).await;
        self.fleet.stop();
        self.supervision.abort();
        self.record.events()
    }

    /// Replicas, the first configuration, readers and clients.
    async fn begin(self: &Rc<Self>, seed: u64) {
        let size = self.fleet.size();
        for place in 0..size.replicas * SERVICES {
            self.replicas.borrow_mut().push(None);
            self.replace(place, self.operators.named()).await;
        }
        let configured = timeout(FIRST_CONFIGURATION, self.operators.clone().configure()).await;
        if configured.is_err() {
            self.record.note(Seen::Unrecovered { what: "no first configuration".to_string() });
        }
        spawn_local(self.operators.clone().read());
        for number in 0..size.edges * size.clients {
            let client = self.clients.clone();
            spawn_local(client.play(number % size.edges, seed * 1_000 + number as u64));
        }
    }

    /// Another replica starts at a place.
    async fn replace(&self, place: usize, version: u64) {
        let life = self.lives.get() + 1;
        self.lives.set(life);
        let id = format!("i-{life}");
        let seed = self.random.borrow_mut().random();
        let replica = Replica::start(&self.fleet, &self.record, &id, place, version, seed).await;
        self.replicas.borrow_mut()[place] = Some(replica);
    }

    fn act(self: &Rc<Self>, action: Action) {
        let fleet = &self.fleet;
        match action {
            Action::Terminate(process) => fleet.terminate(process),
            Action::Kill(process) => fleet.kill(process),
            Action::Reload(process) => fleet.reload(process),
            Action::TerminateEdge(edge) => {
                fleet.terminate(Process::Agent(edge));
                fleet.terminate(Process::Proxy(edge));
            }
            Action::KillEdge(edge) => {
                fleet.kill(Process::Agent(edge));
                fleet.kill(Process::Proxy(edge));
            }
            Action::Freeze(process, time) => drop(spawn_local(fleet.clone().freeze(vec![process], time))),
            Action::FreezeEdge(edge, time) => {
                let machine = vec![Process::Agent(edge), Process::Proxy(edge)];
                drop(spawn_local(fleet.clone().freeze(machine, time)));
            }
            Action::KillControllers => {
                (0..fleet.size().controllers).map(Process::Controller).for_each(|one| fleet.kill(one))
            }
            Action::WipeController(controller) => fleet.wipe(controller),
            Action::Configure => drop(spawn_local(self.operators.clone().configure())),
            Action::Race => drop(spawn_local(self.operators.clone().race())),
            Action::Repeat => drop(spawn_local(self.operators.clone().repeat())),
            Action::Name => drop(spawn_local(self.operators.clone().name())),
            Action::Drain(place) => drop(spawn_local(self.clone().end(place, End::Drain))),
            Action::Leave(place) => drop(spawn_local(self.clone().end(place, End::Leave))),
            Action::Crash(place) => drop(spawn_local(self.clone().end(place, End::Crash))),
            Action::CutReplica(place, time) => {
                if let Some(replica) = &self.replicas.borrow()[place] {
                    replica.cut_off(time);
                }
            }
            Action::PowerOff => fleet.kill_all(),
            Action::Disturb(trouble, dialers, time) => {
                drop(spawn_local(fleet.clone().disturb(trouble, dialers, time)));
            }
            Action::ManyChanges => drop(spawn_local(self.operators.clone().many_changes())),
        }
    }

    /// Ends the replica at a place, if it is not ending already; another one follows there.
    async fn end(self: Rc<Self>, place: usize, how: End) {
        let Some(replica) = self.replicas.borrow_mut()[place].take() else { return };
        let held = replica.version();
        replica.end(how).await;
        // The address may be given again after `reuse-after-s`.
        sleep(Duration::from_millis(2_100)).await;
        // One that starts again has the weights that it had, a new one the newest.
        let version = if how == End::Crash { held } else { self.operators.named() };
        self.replace(place, version).await;
    }

    /// Waits until all is as it should be; notes what is not in time.
    async fn recovered(&self) {
        let wait = async {
            loop {
                let lacking = self.lacking().await;
                if lacking.is_empty() {
                    return;
                }
                sleep(Duration::from_millis(200)).await;
            }
        };
        if timeout(RECOVERY, wait).await.is_err() {
            for what in self.lacking().await {
                self.record.note(Seen::Unrecovered { what });
            }
        }
    }

    /// What is not as it should be after the last action.
    async fn lacking(&self) -> Vec<String> {
        let mut lacking = Vec::new();
        for edge in 0..self.fleet.size().edges {
            if self.readiness(edge).await != Some(200) {
                lacking.push(format!("edge {edge} is not ready"));
            }
        }
        let named = self.operators.named();
        let replicas = self.replicas.borrow();
        for (place, replica) in replicas.iter().enumerate() {
            match replica {
                Some(replica) if replica.version() < named => {
                    lacking.push(format!(
                        "replica {} has version {} of {named}",
                        replica.id(),
                        replica.version()
                    ));
                }
                Some(_) => {}
                None => lacking.push(format!("no replica at place {place} yet")),
            }
        }
        drop(replicas);
        lacking.extend(self.served_lately());
        lacking
    }

    /// Whether every edge machine has served a request in the last second.
    fn served_lately(&self) -> Option<String> {
        let since: Millis = self.record.now().saturating_sub(1_000);
        let events = self.record.events();
        let served = events.iter().rev().take_while(|event| event.at >= since).any(|event| {
            matches!(&event.seen, Seen::Ended { ending: record::Ending::Answered { status: 200, .. }, .. })
        });
        (!served).then(|| "no request was served for a second".to_string())
    }

    async fn readiness(&self, edge: usize) -> Option<u16> {
        let patience = Duration::from_millis(500);
        let answer = call::call(self.fleet.ready(edge), "GET /readiness HTTP/1.1\r\n", "", patience).await;
        answer.map(|(status, _)| status)
    }
}

/// The bound of the weights is shorter than the recovery, so that both are seen.
const _: () = assert!((VERSION_MS as u128) < RECOVERY.as_millis());
