//! A second process takes the place of one that serves: same address, clients that keep sending, nothing lost.

mod support;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::hand::SOON;
use support::site::*;
use support::traffic::{Count, KILL};
use support::{apart, Client, Folder, Program};

const CLIENTS: u64 = 6;

/// Asks without a pause on one connection for as long as it stays open, but `fresh` takes a new one for each request.
fn client(address: SocketAddr, fresh: bool, stop: &AtomicBool, count: &Count, seed: u64) {
    let mut kept: Option<Client> = None;
    let mut id = seed << 24;
    while !stop.load(Ordering::SeqCst) {
        id += 1;
        let was_kept = kept.is_some();
        let Some(mut connection) = kept.take().or_else(|| Client::connect(address).ok()) else {
            Count::add(&count.unconnected);
            continue;
        };
        match connection.try_ask("/view", &headers("view", id), &body(&[0, 1])) {
            Some((status, stays)) => {
                kept = (stays && !fresh).then_some(connection);
                Count::add(count.with_status(status));
            }
            None if was_kept => Count::add(&count.crossed),
            None => Count::add(&count.lost),
        }
    }
}

/// Waits until so many more requests were answered.
fn answered(count: &Count, more: u64) {
    let (before, until) = (Count::of(&count.answered), Instant::now() + SOON);
    while Count::of(&count.answered) < before + more {
        assert!(Instant::now() < until, "requests are answered");
        std::thread::yield_now();
    }
}

#[test]
fn a_second_process_takes_over_under_clients_that_keep_sending_and_loses_none() {
    let folder = Folder::new("replacing");
    let nodes = [node(), node()];
    nodes.iter().for_each(|node| node.mood(Mood::Takes(Duration::from_millis(5))));
    let (discovery, _tell, _asked) = discovery();
    let servers = format!("{},{}", entry(&nodes, 0, "in_service"), entry(&nodes, 1, "in_service"));
    let path = folder.write("first.json", &config("127.0.0.1:0", discovery, &servers));
    let mut program = Program::start_beside(&folder, &path);
    let address = program.address();
    let path = folder.write("second.json", &config(&address.to_string(), discovery, &servers));
    let (stop, count) = (Arc::new(AtomicBool::new(false)), Arc::new(Count::default()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (stop, count) = (stop.clone(), count.clone());
            apart(move || client(address, n % 2 == 0, &stop, &count, n + 1))
        })
        .collect();
    for _ in 0..3 {
        answered(&count, 50);
        let second = Program::start_beside(&folder, &path);
        assert_eq!(second.address(), address);
        let mut first = std::mem::replace(&mut program, second);
        answered(&count, 20);
        first.signal("TERM");
        assert!(first.ends_by(KILL), "it ends before the kill");
    }
    answered(&count, 50);
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    let told = [&count.refused, &count.failed, &count.lost, &count.unconnected].map(Count::of);
    assert_eq!(told, [0; 4], "refused, failed, lost, not let in");
    let crossed = Count::of(&count.crossed);
    assert!(crossed <= 2, "{crossed} requests met the close of their connection");
}
