//! The stream of lists as it ends: however a call to discovery fails, a change is known within 6 s of when discovery had it
//! and could be reached.

mod support;

use stand_in::ports::Refusing;
use std::io::{self, Write};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use support::front::*;
use support::hand::{chunk, Hand, Peer};
use support::site::*;
use support::{apart, Client, Folder, Program};

/// By when a change counts as told that discovery has and can be asked for.
const TOLD: Duration = Duration::from_secs(6);

/// What the program logs when it has taken the change.
const CHANGE_TAKEN: &str = "Update list: 1 replicas, 0 in service";

struct Lists {
    folder: Folder,
    nodes: [Hand; 2],
    discovery: Hand,
    program: Program,
}

impl Lists {
    fn new(name: &str) -> Lists {
        let (nodes, discovery, folder) = ([Hand::new(), Hand::new()], Hand::new(), Folder::new(name));
        let text = config("127.0.0.1:0", discovery.address, &servers(&nodes, ["in_service"; 2]));
        let program = Program::start(&[], Some(&folder.write("config.json", &text)));
        Lists { folder, nodes, discovery, program }
    }

    /// Names another discovery in the configuration and says so.
    fn move_to(&self, discovery: &Hand) {
        let text = config("127.0.0.1:0", discovery.address, &servers(&self.nodes, ["in_service"; 2]));
        self.folder.write("config.json", &text);
        self.program.signal("HUP");
    }

    /// The change that discovery has: node 0 drains.
    fn change(&self, version: u64) -> String {
        list(version, false, &entry_at(self.nodes[0].address, 0, "terminating"))
    }

    /// Answers a watch with that change; it must come to be known.
    fn tells(&self, mut peer: Peer, version: u64) -> Peer {
        peer.head();
        peer.watch_head();
        peer.chunk(&self.change(version));
        self.program.line(CHANGE_TAKEN);
        peer
    }

    /// Answers every watch with that change until it is known: one that this side answers too late is given up.
    fn tells_whoever_asks(&self, version: u64) {
        let (is_known, discovery, change) = (AtomicBool::new(false), &self.discovery, self.change(version));
        std::thread::scope(|scope| {
            scope.spawn(|| {
                let (until, mut answered) = (Instant::now() + TOLD, Vec::new());
                while !is_known.load(Ordering::SeqCst) && Instant::now() < until {
                    let Some(mut peer) = discovery.accept_within(Duration::from_millis(20)) else {
                        continue;
                    };
                    peer.head();
                    if peer.try_watch(&chunk(&change)).is_ok() {
                        answered.push(peer);
                    }
                }
            });
            self.program.line(CHANGE_TAKEN);
            is_known.store(true, Ordering::SeqCst);
        });
    }
}

/// Fails a call, and goes on with the connection for as long as it is left. An error: the call was given up before, as this
/// side got no turn for so long, and did not fail in that way.
type Fails = fn(Peer) -> io::Result<()>;

/// Times that a case is played until its call fails in the way that it names.
const PLAYS: usize = 8;

#[test]
fn a_change_is_told_in_time_whatever_became_of_the_call_before() {
    let cases: [(&str, Fails); 9] = [
        ("reset", |peer| {
            peer.reset();
            Ok(())
        }),
        ("ended", |peer| {
            drop(peer);
            Ok(())
        }),
        ("silent", |mut peer| {
            assert!(peer.ends_within(TOLD));
            Ok(())
        }),
        ("an error", |mut peer| {
            peer.head();
            peer.0.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
        }),
        ("half a head", |mut peer| {
            peer.head();
            peer.0.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Enc")
        }),
        ("a list cut short", |mut peer| {
            peer.head();
            peer.try_watch("ff\r\n{\"version\":42,\"full\":true,\"serv")
        }),
        ("a head that trickles in", |mut peer| {
            peer.head();
            peer.0.write_all(b"HTTP/1.1 200 OK\r\nX: ")?;
            trickle(&mut peer, "y");
            Ok(())
        }),
        ("a list that trickles in", |mut peer| {
            peer.head();
            peer.try_watch("1000\r\n{\"version\":42,\"full\":true,\"servers\":[")?;
            trickle(&mut peer, " ");
            Ok(())
        }),
        ("a list that stops among heartbeats", |mut peer| {
            peer.head();
            peer.try_watch(&chunk("{\"version\":42,\"full\":true,\"servers\":["))?;
            trickle(&mut peer, "1\r\n\n\r\n");
            Ok(())
        }),
    ];
    let runs = cases.map(|(name, fails)| {
        apart(move || {
            let has_failed_so = (0..PLAYS).any(|_| is_told_in_time_after(name, fails));
            assert!(has_failed_so, "{name}: no call of {PLAYS} was failed in time");
        })
    });
    runs.into_iter().for_each(|run| run.join().expect("in time"));
}

/// Plays a case: however its first call ended, the change is told in time. Whether that call failed in the way that it names.
fn is_told_in_time_after(name: &str, fails: Fails) -> bool {
    let lists = Lists::new(&format!("fails-{}", name.replace(' ', "-")));
    let (first, began) = (lists.discovery.accept(), Instant::now());
    let left = apart(move || fails(first));
    lists.tells_whoever_asks(42);
    assert!(began.elapsed() < TOLD, "{name}: {:?}", began.elapsed());
    left.join().unwrap_or_else(|_| panic!("{name}")).is_ok()
}

/// Sends more of an answer without end, until the other side has had enough.
fn trickle(peer: &mut Peer, more: &str) {
    let until = Instant::now() + TOLD;
    while Instant::now() < until && !peer.ends_within(Duration::from_millis(100)) {
        if peer.0.write_all(more.as_bytes()).is_err() {
            return;
        }
    }
}

#[test]
fn a_discovery_that_refused_is_asked_again_and_tells_at_once_when_it_is_back() {
    let (nodes, discovery, folder) = ([Hand::new(), Hand::new()], Refusing::bind(), Folder::new("refused"));
    let text = config("127.0.0.1:0", discovery.address().into(), &servers(&nodes, ["in_service"; 2]));
    let program = Program::start(&[], Some(&folder.write("config.json", &text)));
    let line = program.line("roster: ");
    assert!(line.contains("asking again until it is told"), "{line}");
    let lists = Lists { folder, nodes, discovery: Hand::at(discovery), program };
    let mut peer = lists.discovery.accept_within(TOLD).expect("a watch");
    peer.head();
    peer.watch_head();
    peer.chunk(&lists.change(42));
    let mut said = Vec::new();
    while !said.last().is_some_and(|line: &String| line.contains("Update list: 1 replicas, 0 in service")) {
        said.push(lists.program.line("").to_string());
    }
    let of_roster: Vec<_> = said.iter().filter(|line| line.contains("roster: ")).collect();
    assert!(of_roster.len() == 1 && of_roster[0].contains("told again"), "refusals are said once: {said:?}");
}

#[test]
fn an_older_whole_list_undoes_nothing_until_discovery_has_told_nothing_else_for_long() {
    let lists = Lists::new("older");
    let watch = lists.tells(lists.discovery.accept(), 43);
    drop(watch);
    // The next agent is behind: by its list node 0 is in service still.
    let mut peer = lists.discovery.accept();
    peer.head();
    peer.watch_head();
    peer.chunk(&list(42, true, &servers(&lists.nodes, ["in_service"; 2])));
    peer.chunk(&list(44, false, &entry_at(lists.nodes[1].address, 1, "in_service")));
    let line = lists.program.line(" list: ");
    assert!(line.contains("Update list: 1 replicas, 1 in service"), "{line}");
    drop(peer);
    // One whose numbers have begun anew is followed in the end, and no sooner.
    let anew = list(2, true, &servers(&lists.nodes, ["terminating"; 2]));
    let (discovery, began) = (lists.discovery, Instant::now());
    apart(move || loop {
        let Some(mut peer) = discovery.accept_within(4 * TOLD) else { return };
        peer.head();
        peer.watch_head();
        peer.chunk(&anew);
        while !peer.ends_within(Duration::from_millis(500)) {
            if std::io::Write::write_all(&mut peer.0, b"1\r\n\n\r\n").is_err() {
                break;
            }
        }
    });
    lists.program.line("Replace list: 2 replicas, 0 in service");
    assert!(began.elapsed() >= TOLD, "{:?}", began.elapsed());
}

#[test]
fn new_configurations_in_a_row_move_the_watch_each_time_and_a_spoilt_one_does_not() {
    let lists = Lists::new("moves");
    let mut first = lists.discovery.accept();
    first.head();
    first.watch_head();
    let (other, third) = (Hand::new(), Hand::new());
    lists.move_to(&other);
    let silent = other.accept();
    lists.folder.write("config.json", "{\"discovery\":");
    lists.program.signal("HUP");
    lists.program.line("not a configuration");
    lists.move_to(&third);
    let told = lists.tells(third.accept(), 42);
    // Back to one that took part before, and to its end in the middle of it.
    drop((silent, told));
    lists.move_to(&lists.discovery);
    let mut again = lists.discovery.accept();
    assert!(again.head().contains("after=42 "), "it goes on where it was");
    let mut program = lists.program;
    assert!(program.terminate(), "an end in the middle of a question is in order");
}

#[test]
fn idle_clients_fill_the_descriptors_while_discovery_is_down_and_queries_and_the_list_go_on() {
    let (site_nodes, discovery, folder) = ([node(), node()], Hand::new(), Folder::new("crowded"));
    let both = format!("{},{}", entry(&site_nodes, 0, "in_service"), entry(&site_nodes, 1, "in_service"));
    let text = config("127.0.0.1:0", discovery.address, &both);
    let path = folder.write("config.json", &text);
    // The limit binds: the platform sets what the configuration says.
    let program = Program::start_limited(&path, 256);
    let address = program.address();
    let silent = discovery.accept();
    let mut idle: Vec<Client> = Vec::new();
    for n in 0..600 {
        let Ok(mut client) = Client::connect(address) else { break };
        // Half of them have asked something, and stay.
        if n % 2 == 0 && client.try_write(b"GET /ready HTTP/1.1\r\n\r\n").is_ok() {
            let _ = client.has_more();
        }
        idle.push(client);
    }
    for id in 0..50 {
        let (status, _, answer) =
            Client::new(address).ask("POST", "/view", &headers("view", id), &body(&[0, 1]));
        assert_eq!(status, 200, "{answer}");
    }
    drop(silent);
    let mut back = loop {
        // Questions that were given up meanwhile lie in the queue.
        let mut peer = discovery.accept();
        if !peer.ends_within(Duration::from_millis(100)) {
            break peer;
        }
    };
    back.watch_head();
    back.chunk(&list(42, false, &entry(&site_nodes, 0, "terminating")));
    program.line("Update list: 1 replicas, 0 in service");
    assert_eq!(Client::new(address).ask("POST", "/view", &headers("view", 99), &body(&[0, 1])).0, 200);
    drop(idle);
}

#[test]
fn processes_that_start_together_are_ready_from_the_known_list_while_discovery_says_nothing() {
    let (nodes, discovery, folder) = ([node(), node()], Hand::new(), Folder::new("together"));
    let both = format!("{},{}", entry(&nodes, 0, "in_service"), entry(&nodes, 1, "in_service"));
    let path = folder.write("config.json", &config("127.0.0.1:0", discovery.address, &both));
    let began = Instant::now();
    let starts: Vec<_> = (0..20)
        .map(|_| {
            let path = path.clone();
            apart(move || {
                let program = Program::start(&[], Some(&path));
                let address = program.address();
                let ready = Client::new(address).ask("GET", "/ready", "", "").0 == 200;
                let served = Client::new(address).ask("POST", "/view", &headers("view", 1), &body(&[0, 1])).0;
                ready && served == 200 && began.elapsed() < Duration::from_secs(10)
            })
        })
        .collect();
    let ready = starts.into_iter().map(|start| start.join().expect("a start")).filter(|ok| *ok).count();
    assert!(ready >= 18, "{ready} of 20 are ready within 10 s");
}
