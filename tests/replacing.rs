//! A second server takes the place of one that serves at the same address, both driven by the test's own hand.
//!
//! No test of this file starts a program: until it runs its own code, a child holds a copy of every descriptor of the
//! test's process, so a listener that another test has just dropped would go on to get the new connections.

mod support;

use std::time::{SystemTime, UNIX_EPOCH};
use steppick::net::shared::ProcessState;
use steppick::net::{Key, Served};
use support::driven::Driven;
use support::front::servers;
use support::hand::Hand;
use support::site::config;
use support::{Client, Folder};

const READY: &[u8] = b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";

/// Two servers of one address, the second begun when the test says so.
struct Pair {
    first: Driven,
    text: String,
    _nodes: [Hand; 2],
    _discovery: Hand,
}

impl Pair {
    fn new() -> Pair {
        let (nodes, discovery) = ([Hand::new(), Hand::new()], Hand::new());
        let text = config("127.0.0.1:0", discovery.address, &servers(&nodes, ["in_service"; 2]));
        let first = Driven::new(&text);
        let text = text.replace("\"127.0.0.1:0\"", &format!("\"{}\"", first.address()));
        Pair { first, text, _nodes: nodes, _discovery: discovery }
    }

    fn second(&self) -> Driven {
        Driven::new(&self.text)
    }
}

fn accepted(driven: &mut Driven) -> u64 {
    driven.turn(0.0, &[Key::Listener]);
    driven.server.counters().connections
}

#[test]
fn new_connections_go_to_the_newest_and_back_to_the_one_that_is_left() {
    let mut pair = Pair::new();
    let connect =
        |address, count: usize| -> Vec<Client> { (0..count).map(|_| Client::new(address)).collect() };
    let address = pair.first.address();
    let early = connect(address, 5);
    let mut second = pair.second();
    let late = connect(address, 20);
    assert_eq!((accepted(&mut pair.first), accepted(&mut second)), (5, 20));
    drop(second);
    let last = connect(address, 10);
    assert_eq!(accepted(&mut pair.first), 15, "the second one has gone again");
    let mut third = pair.second();
    drop(pair.first);
    let rest = connect(address, 10);
    assert_eq!(accepted(&mut third), 10);
    drop((early, late, last, rest));
}

#[test]
fn what_lies_in_the_queue_of_the_older_one_is_served_by_it() {
    let mut pair = Pair::new();
    let mut clients: Vec<Client> = (0..20).map(|_| Client::new(pair.first.address())).collect();
    clients.iter_mut().for_each(|client| client.write_through(READY));
    let _second = pair.second();
    pair.first.server.end(pair.first.now);
    pair.first.turn(0.0, &[]);
    for client in &mut clients {
        let (status, _, _) = client.read();
        assert!(status == 200 || status == 503, "{status}");
    }
}

impl Pair {
    /// Both, each knowing of the other; the folder is theirs.
    fn sharing(name: &str) -> (Pair, Driven, Folder) {
        let (mut pair, folder) = (Pair::new(), Folder::new(name));
        pair.first.share(&folder);
        let mut second = pair.second();
        second.share(&folder);
        pair.first.turn(LATER, &[]);
        (pair, second, folder)
    }
}

/// More than the time between two looks at the shared files.
const LATER: f64 = 150.0;
/// What the configuration of these tests leaves to clients and to nodes.
const ALL: (usize, usize) = (144, 48);

fn allowed(driven: &Driven) -> (usize, usize) {
    let allowed = driven.server.allowed();
    (allowed.clients, allowed.nodes)
}

#[test]
fn the_two_hold_no_more_clients_and_nodes_together_than_one_may() {
    let (mut pair, folder) = (Pair::new(), Folder::new("sharing"));
    pair.first.share(&folder);
    assert_eq!(allowed(&pair.first), ALL, "alone");
    let early: Vec<Client> = (0..30).map(|_| Client::new(pair.first.address())).collect();
    assert_eq!(accepted(&mut pair.first), 30);
    pair.first.turn(LATER, &[]);
    let mut second = pair.second();
    second.share(&folder);
    assert_eq!(allowed(&second), (ALL.0 - 30, ALL.1 / 2), "from its start");
    let late: Vec<Client> = (0..20).map(|_| Client::new(second.address())).collect();
    assert_eq!(accepted(&mut second), 20);
    second.turn(LATER, &[]);
    pair.first.turn(LATER, &[]);
    assert_eq!(allowed(&pair.first), (ALL.0 - 20, ALL.1 / 2));
    drop(pair.first);
    second.turn(LATER, &[]);
    assert_eq!(allowed(&second), ALL, "alone again");
    drop((early, late));
}

#[test]
fn files_that_are_torn_or_old_change_nothing() {
    let state = |id, written_at| ProcessState {
        id,
        started_at: written_at,
        written_at,
        is_serving: true,
        is_ending: false,
        is_directed: true,
        clients: 100,
        nodes: 40,
        open: 70,
    };
    let unix_now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock").as_secs_f64() * 1e3;
    let fresh = state(1, unix_now).encode();
    let texts =
        [&fresh[..fresh.len() / 2], "", "steppick-process-1 0 {}\n", &state(2, unix_now - 5e3).encode()];
    for (n, text) in texts.into_iter().enumerate() {
        let (mut pair, folder) = (Pair::new(), Folder::new(&format!("torn-{n}")));
        let name = pair.first.address().to_string().replace(':', "_");
        for slot in [0, 1] {
            folder.write(&format!("steppick-{name}-{slot}"), text);
        }
        pair.first.share(&folder);
        pair.first.turn(LATER, &[]);
        assert_eq!(allowed(&pair.first), ALL, "{text}");
        // It ends like one that nobody replaces: it still takes new connections.
        pair.first.server.end(pair.first.now);
        pair.first.turn(LATER, &[]);
        let _client = Client::new(pair.first.address());
        assert_eq!(accepted(&mut pair.first), 1);
    }
}

#[test]
fn a_process_that_died_without_a_word_counts_for_half_a_second_only() {
    let (mut pair, second, _folder) = Pair::sharing("died");
    assert_eq!(allowed(&pair.first).1, ALL.1 / 2);
    // Its file stays, as after a kill: nobody renews it.
    std::mem::forget(second);
    pair.first.turn(400.0 - LATER, &[]);
    assert_eq!(allowed(&pair.first).1, ALL.1 / 2);
    pair.first.turn(300.0, &[]);
    assert_eq!(allowed(&pair.first), ALL);
}

#[test]
fn a_replaced_process_ends_its_connections_and_leaves_when_nothing_is_owed() {
    let (mut pair, mut second, _folder) = Pair::sharing("leaves");
    let first = &mut pair.first;
    // One that was there before, as the second one gets all that come now.
    drop(second);
    let mut kept = Client::new(first.address());
    let mut idle = Client::new(first.address());
    assert_eq!(accepted(first), 2);
    second = Driven::new(&pair.text);
    second.share(&_folder);
    second.turn(LATER, &[]);
    first.server.end(first.now);
    first.turn(1.0, &[]);
    assert!(!first.server.has_ended(first.now));
    kept.write(READY);
    first.until(|_| kept.has_more());
    let (status, head, _) = kept.read();
    assert!(status == 200 && head.contains("Connection: close"), "the coordinator does not end: {head}");
    first.turn(LATER, &[]);
    first.until(|_| idle.is_ended());
    assert!(idle.ends_cleanly());
    drop(kept);
    first.until(|first| first.server.has_ended(first.now));
    assert!(first.now < 400.0, "{} ms after the order", first.now);
}

#[test]
fn connections_that_keep_coming_and_never_finish_a_request_do_not_hold_up_the_end() {
    let mut pair = Pair::new();
    let first = &mut pair.first;
    first.server.end(first.now);
    let (address, mut crowd, mut ended_at) = (first.address(), Vec::new(), None);
    while first.now < 3000.0 && ended_at.is_none() {
        if let Ok(mut client) = Client::connect(address) {
            client.write_through(b"POST /view HTTP/1.1\r\n");
            crowd.push(client);
        }
        first.turn(50.0, &[Key::Listener]);
        ended_at = first.server.has_ended(first.now).then_some(first.now);
    }
    // Clients may connect until 0.8 s; a request that has not come further for a second is not waited for.
    assert!(ended_at.is_some_and(|at| (1750.0..=2000.0).contains(&at)), "{ended_at:?}");
}
