//! Connections to nodes as they end: what may have run is not sent again outside its window, and what has not left is not
//! lost with a connection that another can stand in for.

mod support;

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use steppick::net::{Key, Served};
use support::driven::Driven;
use support::front::*;
use support::hand::{Hand, Peer};
use support::site::*;
use support::{apart, stand_in, Client, Folder, Program};

#[test]
fn a_repeat_does_not_leave_after_its_window_on_a_connection_that_came_up_late() {
    let (first, second, discovery) = (Hand::new(), Hand::jammed(), Hand::new());
    let folder = Folder::new("window");
    let both = |state: &str| {
        format!("{},{}", entry_at(first.address, 0, "in_service"), entry_at(second.address(), 1, state))
    };
    let text = config("127.0.0.1:0", discovery.address, &both("terminating"))
        .replace("\"dedup_window_ms\":5000", "\"dedup_window_ms\":400")
        .replace("\"dial_timeout_ms\":250", "\"dial_timeout_ms\":30000")
        .replace("\"may_probe\":true", "\"may_probe\":false");
    let program = Program::start(&[], Some(&folder.write("config.json", &text)));
    let address = program.address();
    let mut watch = discovery.accept();
    watch.head();
    watch.watch_head();
    let mut client = Client::new(address);
    client.write(&patient(request("entry", 1, &[0])));
    let mut peer = first.accept();
    peer.part();
    // It may have run here. The other holder comes into service, and its connection does not come up.
    watch.chunk(&list(42, true, &both("in_service")));
    program.line("Replace list: 2 replicas, 2 in service");
    peer.reset();
    while counted(&program, "repeats") == 0 {}
    // Its connection comes up once the system asks again: a second after it first did, and long after the window.
    let late = second.open();
    let mut late_peer = late.accept();
    let (status, _, answer) = client.read();
    assert_eq!(status, 500, "it can't be had any more, and may have run: {answer}");
    watch.chunk(&list(43, false, &entry_at(first.address, 0, "terminating")));
    program.line("Update list: 1 replicas, 0 in service");
    let next = apart(move || {
        let mut client = Client::new(address);
        client.write(&patient(request("view", 2, &[0])));
        client.read().0
    });
    let id = late_peer.part();
    assert!(id.starts_with("0000000000000002."), "sent again outside its window: {id}");
    late_peer.serve(&id);
    assert_eq!(next.join().expect("an answer"), 200);
}

#[test]
fn a_resting_connection_that_its_node_has_just_closed_is_not_written_to() {
    let (nodes, discovery) = ([Hand::new(), Hand::new()], Hand::new());
    let text = config("127.0.0.1:0", discovery.address, &entry_at(nodes[0].address, 0, "in_service"))
        .replace("\"may_probe\":true", "\"may_probe\":false");
    let mut driven = Driven::new(&text);
    let mut client = Client::new(driven.address());
    client.write(&request("entry", 1, &[0]));
    driven.until(|driven| driven.server.counters().sent == 1);
    let mut peer = nodes[0].accept();
    driven.until(|_| peer.has_more());
    let id = peer.part();
    peer.serve(&id);
    driven.until(|_| client.has_more());
    assert_eq!(client.read().0, 200);
    // The node closes, and the loop has not been told when the next query comes.
    peer.end();
    let mut client = Client::new(driven.address());
    client.write_through(&request("entry", 2, &[0]));
    while driven.server.counters().queries == 1 {
        driven.turn(0.0, &[Key::Listener]);
    }
    driven.turn(10.0, &[]);
    let mut next = None;
    driven.until(|_| {
        next = nodes[0].accept_within(Duration::from_millis(10));
        next.is_some()
    });
    let mut peer = next.expect("just seen");
    driven.until(|_| peer.has_more());
    let id = peer.part();
    assert!(id.starts_with("0000000000000002."), "{id}");
    peer.serve(&id);
    driven.until(|_| client.has_more());
    assert_eq!(client.read().0, 200);
    let counters = driven.server.counters();
    assert_eq!((counters.reset, counters.no_connection, counters.repeats), (0, 0, 0), "{counters}");
}

#[test]
fn a_call_is_called_off_by_closing_its_connection_where_a_notice_would_wait_behind_it() {
    for streams in [1, 2] {
        let (node, discovery, folder) =
            (Hand::new(), Hand::new(), Folder::new(&format!("streams-{streams}")));
        let text = config("127.0.0.1:0", discovery.address, &entry_at(node.address, 0, "in_service"))
            .replace("\"streams_per_conn\":100", &format!("\"streams_per_conn\":{streams}"));
        let program = Program::start(&[], Some(&folder.write("config.json", &text)));
        let mut client = Client::new(program.address());
        client.write(&patient(request("view", 1, &[0])));
        let mut peer = node.accept();
        let id = peer.part();
        drop(client);
        let notice = (streams > 1).then_some((b'X', id));
        assert_eq!(peer.frame(), notice, "{streams} calls a connection");
    }
}

#[test]
fn an_answer_that_never_ends_costs_its_connection_and_no_later_query() {
    let (node, discovery, folder) = (Hand::new(), Hand::new(), Folder::new("endless"));
    let text = config("127.0.0.1:0", discovery.address, &entry_at(node.address, 0, "in_service"));
    let program = Program::start(&[], Some(&folder.write("config.json", &text)));
    let address = program.address();
    let ask = move |id: u64| Client::new(address).ask("POST", "/view", &headers("view", id), &body(&[0])).0;
    let first = apart(move || ask(1));
    let mut spoilt = node.accept();
    let id = spoilt.part();
    // A frame that claims all that a frame may hold, and brings a byte now and then.
    let begun = format!("A{id} ok 1 -\n");
    spoilt.write(&[&200_000u32.to_le_bytes()[..], begun.as_bytes()].concat());
    let (stop, stopped) = std::sync::mpsc::channel::<()>();
    let trickles = apart(move || {
        while stopped.recv_timeout(Duration::from_millis(20)).is_err() {
            if std::io::Write::write_all(&mut spoilt.0, b"x").is_err() {
                return;
            }
        }
    });
    assert_ne!(first.join().expect("an answer"), 200);
    // Later queries reach the node on another connection, at the latest once this one has been silent for long.
    let serves = apart(move || {
        let mut peer = node.accept();
        while let Some((letter, text)) = peer.frame() {
            if letter == b'Q' {
                peer.serve(text.split(' ').next().expect("an id"));
            }
        }
    });
    let statuses: Vec<u16> = (2..12).map(ask).collect();
    assert_eq!(statuses[5..], [200; 5], "{statuses:?}");
    let _ = stop.send(());
    trickles.join().expect("no panic");
    drop(program);
    serves.join().expect("no panic");
}

#[test]
fn cold_nodes_bear_the_sum_of_several_processes() {
    const PROCESSES: usize = 6;
    /// Work of a part as the requests state it, and as the nodes take it, ms.
    const WORK: f64 = 9.0;
    let began = Instant::now();
    let calls: [Arc<Mutex<Vec<f64>>>; 2] = Default::default();
    let nodes = calls.clone().map(|calls| {
        stand_in(move |stream| {
            let mut peer = Peer(stream);
            while let Some((letter, text)) = peer.frame() {
                if letter == b'Q' {
                    calls.lock().expect("no panic").push(began.elapsed().as_secs_f64() * 1e3);
                    std::thread::sleep(Duration::from_micros((WORK * 1e3) as u64));
                    peer.serve(text.split(' ').next().expect("an id"));
                } else if letter == b'L' {
                    peer.write(&[3u32.to_le_bytes().as_slice(), b"L-\n"].concat());
                }
            }
        })
    });
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("a clock");
    let started = format!("\"started_ms\":{}", unix.as_millis());
    let (discovery, folder) = (Hand::new(), Folder::new("cold-sum"));
    let both = format!("{},{}", entry_at(nodes[0], 0, "in_service"), entry_at(nodes[1], 1, "in_service"));
    let text = config("127.0.0.1:0", discovery.address, &both.replace("\"started_ms\":0", &started))
        .replace("\"siblings\":1", &format!("\"siblings\":{PROCESSES}"));
    let path = folder.write("config.json", &text);
    let programs: Vec<Program> = (0..PROCESSES).map(|_| Program::start(&[], Some(&path))).collect();
    let clients: Vec<_> = programs
        .iter()
        .map(Program::address)
        .zip((0..).step_by(8))
        .flat_map(|(address, first)| (first..first + 8u64).map(move |number| (number, address)))
        .map(|(number, address)| {
            apart(move || {
                let mut id = number << 24;
                while began.elapsed() < Duration::from_secs(4) {
                    id += 1;
                    let mut client = Client::new(address);
                    client.ask("POST", "/view", &headers("view", id), &body(&[id as usize % 4]));
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    for calls in &calls {
        let calls = calls.lock().expect("no panic");
        for end in calls.iter() {
            let sent = calls.iter().filter(|at| *at <= end && **at > end - 1000.0).count() as f64;
            // A core each; warm 13 s after the start. What the nodes take longer than stated is not counted in.
            let share = 0.28 + (1.0 - 0.28) * end / 13e3;
            let budget = 2.5 * share * 1000.0 / WORK;
            assert!(sent <= budget + 2.0 * budget.sqrt() + 2.0, "{sent} calls of {budget:.0} at {end:.0} ms");
        }
        assert!(calls.len() > 20, "it is used: {}", calls.len());
    }
}
