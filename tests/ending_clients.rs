//! Clients' connections as they end: what has come by then is served or its client can tell that it was not, and nothing
//! is begun for one that has gone.

mod support;

use socket2::SockRef;
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};
use steppick::net::{Key, Served};
use support::driven::Driven;
use support::front::*;
use support::hand::{Hand, SOON};
use support::site::*;
use support::{apart, Client, Folder, Program};

const READY: &[u8] = b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";

fn driven(edit: impl Fn(String) -> String) -> (Driven, [Hand; 2], Hand) {
    let (nodes, discovery) = ([Hand::new(), Hand::new()], Hand::new());
    let text = config("127.0.0.1:0", discovery.address, &servers(&nodes, ["in_service"; 2]));
    (Driven::new(&edit(text)), nodes, discovery)
}

/// A client whose connection the server has accepted, and nothing else of.
fn accepted(driven: &mut Driven) -> Client {
    let client = Client::new(driven.address());
    let before = driven.server.counters().connections;
    while driven.server.counters().connections == before {
        driven.turn(0.0, &[Key::Listener]);
    }
    client
}

#[test]
fn a_request_that_came_as_its_idle_connection_is_closed_is_served() {
    let (mut driven, _nodes, _discovery) = driven(|text| text);
    let mut client = accepted(&mut driven);
    client.write_through(READY);
    // Its time without a request is over in a turn that was not told of the bytes.
    driven.turn(2001.0, &[]);
    assert_eq!(client.read().0, 200);
}

#[test]
fn a_request_that_came_as_the_program_ends_is_served() {
    let (mut driven, _nodes, _discovery) = driven(|text| text);
    let mut client = accepted(&mut driven);
    driven.server.end(driven.now);
    client.write_through(READY);
    driven.turn(1700.0, &[]);
    let (status, head, _) = client.read();
    assert!(status == 503 && head.contains("Connection: close"), "{head}");
}

#[test]
fn a_request_that_came_as_its_connection_makes_room_is_served() {
    // The least number of clients: six.
    let (mut driven, _nodes, _discovery) = driven(|text| text.replace("\"sockets\":256", "\"sockets\":70"));
    let mut clients: Vec<Client> = (0..6).map(|_| accepted(&mut driven)).collect();
    clients[0].write_through(READY);
    driven.now += 200.0;
    let mut newest = accepted(&mut driven);
    newest.write(READY);
    driven.until(|driven| driven.server.counters().connections == 7);
    assert_eq!(clients[0].read().0, 200);
    driven.turn(0.0, &[]);
    driven.until(|_| newest.has_more());
    assert_eq!(newest.read().0, 200);
    assert!(clients[1].is_ended(), "another one made room");
}

#[test]
fn what_follows_the_last_answer_is_read_and_never_sent_on() {
    let (mut driven, nodes, _discovery) = driven(|text| text);
    let mut client = accepted(&mut driven);
    let mut wire = b"GET /nowhere HTTP/1.1\r\nConnection: close\r\n\r\n".to_vec();
    wire.extend(request("view", 1, &[0]));
    client.write(&wire);
    driven.until(|_| client.has_more());
    assert_eq!(client.read().0, 404);
    // The server has shut its side down; a request that it reads from here on could not be answered.
    client.write(&request("view", 2, &[0]));
    for _ in 0..20 {
        driven.round();
        driven.turn(10.0, &[]);
    }
    assert_eq!(driven.server.counters().queries, 0);
    assert!(client.ends_cleanly(), "no reset that could take the answer along");
    assert!(nodes.iter().all(|node| node.accept_within(Duration::from_millis(50)).is_none()));
}

/// One node in service under the test's hand, and the program.
fn one_node(name: &str, edit: impl Fn(String) -> String) -> (Folder, Program, Hand, Hand) {
    let (node, discovery, folder) = (Hand::new(), Hand::new(), Folder::new(name));
    let text = edit(config("127.0.0.1:0", discovery.address, &entry_at(node.address, 0, "in_service")));
    let program = Program::start(&[], Some(&folder.write("config.json", &text)));
    (folder, program, node, discovery)
}

#[test]
fn a_client_that_sent_more_than_is_held_and_went_is_seen_to_go() {
    let (_folder, program, node, _discovery) = one_node("overrun", |text| text);
    let mut client = Client::new(program.address());
    // It would wait a minute; its class is given up later than the test waits.
    client.write(&patient(request("view", 1, &[0])));
    let mut peer = node.accept();
    let id = peer.part();
    client.write(&vec![b'x'; 300 * 1024]);
    drop(client);
    let gone = Instant::now();
    let (letter, text) = peer.frame().expect("the attempt is called off");
    assert!(letter == b'X' && text == id, "{} {text}", letter as char);
    assert!(gone.elapsed() < Duration::from_millis(1500), "it was called off for want of time");
}

#[test]
fn nothing_begins_for_a_client_that_has_gone_where_attempts_may_not_be_called_off() {
    let (node, discovery, folder) = (Hand::jammed(), Hand::new(), Folder::new("gone"));
    let text = config("127.0.0.1:0", discovery.address, &entry_at(node.address(), 0, "in_service"))
        .replace("\"cancelling\":true", "\"cancelling\":false")
        .replace("\"may_probe\":true", "\"may_probe\":false")
        .replace("\"dial_timeout_ms\":250", "\"dial_timeout_ms\":30000");
    let program = Program::start(&[], Some(&folder.write("config.json", &text)));
    let address = program.address();
    let mut client = Client::new(address);
    client.write(&patient(request("view", 1, &[0])));
    // The query is taken, and its attempt waits for the connection, once a later request was answered.
    while counted(&program, "sent") == 0 {}
    drop(client);
    while counted(&program, "gone") == 0 {}
    let node = node.open();
    let next = apart(move || {
        let mut client = Client::new(address);
        client.write(&patient(request("view", 2, &[0])));
        client.read().0
    });
    let mut peer = node.accept();
    let id = peer.part();
    assert!(id.starts_with("0000000000000002."), "{id}");
    peer.serve(&id);
    assert_eq!(next.join().expect("an answer"), 200);
}

#[test]
fn a_client_that_asks_without_end_and_never_reads_is_bounded_and_holds_nobody_up() {
    let site = Site::new("flood");
    let mut flood = TcpStream::connect(site.address).expect("a connection");
    SockRef::from(&flood).set_recv_buffer_size(4096).expect("set");
    flood.set_write_timeout(Some(Duration::from_millis(200))).expect("set");
    let many = b"GET /nowhere HTTP/1.1\r\n\r\n".repeat(2000);
    let began = Instant::now();
    let (mut sent, mut asked, mut ended) = (0, 0, false);
    while !ended && began.elapsed() < SOON {
        match flood.write(&many) {
            Ok(count) => sent += count,
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => ended = true,
        }
        if sent > asked << 22 {
            asked += 1;
            assert_eq!(site.ask("view", asked as u64, &[0]).0, 200, "others are served meanwhile");
        }
    }
    assert!(ended, "whoever does not read its answers for the longest deadline is let go");
    assert!(site.program.memory_kb() < 32 * 1024, "{} kB after {sent} bytes", site.program.memory_kb());
}

/// A client that has asked until answers lie unread with the program.
fn unread(driven: &mut Driven) -> TcpStream {
    let client = TcpStream::connect(driven.address()).expect("a connection");
    SockRef::from(&client).set_recv_buffer_size(4096).expect("set");
    driven.turn(0.0, &[Key::Listener]);
    let one = b"GET /nowhere HTTP/1.1\r\n\r\n";
    let many = one.repeat(4000);
    client.set_nonblocking(true).expect("set");
    // The system holds some megabytes of answers; then they lie with the program, which reads on to see its client go.
    let (mut answered, mut still) = (0, 0);
    let began = Instant::now();
    while still < 200 {
        assert!(began.elapsed() < SOON, "answers are taken on without bound");
        let _ = (&client).write(&many);
        driven.round();
        let now = driven.server.counters().bad_requests;
        still = if now > answered { 0 } else { still + 1 };
        answered = now;
    }
    client
}

#[test]
fn a_reader_that_takes_nothing_is_let_go() {
    let (mut driven, _nodes, _discovery) = driven(|text| text);
    let client = unread(&mut driven);
    let one = READY;
    // Just before the longest deadline is over it is still there.
    driven.turn(1990.0, &[]);
    let there = (&client).write(one).map_err(|error| error.kind());
    assert!(matches!(there, Ok(_) | Err(std::io::ErrorKind::WouldBlock)), "{there:?}");
    driven.round();
    // The system may have taken some more meanwhile, which begins its time anew.
    for _ in 0..10 {
        driven.turn(2010.0, &[]);
    }
    // Whatever is sent to a connection that its other side has closed is answered by a reset.
    let began = Instant::now();
    while matches!((&client).write(one).map_err(|e| e.kind()), Ok(_) | Err(std::io::ErrorKind::WouldBlock)) {
        assert!(began.elapsed() < SOON, "it is still open");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn an_order_to_end_in_the_middle_of_a_query_leaves_its_client_an_answer_before_the_kill() {
    let mut site = Site::new("cut-short");
    site.nodes.iter().for_each(|node| node.mood(Mood::Silent));
    let mut client = Client::new(site.address);
    // It would wait for a minute, the platform for 2.7 s.
    client.write(&patient(request("view", 1, &[0])));
    while site.nodes.iter().map(Node::count).sum::<usize>() == 0 {
        std::thread::yield_now();
    }
    site.program.signal("TERM");
    site.program.signal("TERM");
    assert!(site.program.ends_by(Duration::from_millis(4000)), "it is done before the kill");
    let (status, head, _) = client.read();
    assert!(status == 503 && head.contains("Retry-After: 0"), "another coordinator may serve it: {head}");
}

#[test]
fn the_end_waits_for_a_client_that_still_sends_after_its_last_answer() {
    let (_folder, mut program, node, _discovery) = one_node("lingers", |text| text);
    let mut client = Client::new(program.address());
    client.write(&patient(request("view", 1, &[0])));
    let mut peer = node.accept();
    let id = peer.part();
    program.signal("TERM");
    // After the last call, which is 1.6 s later here, an answer ends its connection.
    std::thread::sleep(Duration::from_millis(1750));
    peer.serve(&id);
    let (status, head, _) = client.read();
    assert!(status == 200 && head.contains("Connection: close"), "{head}");
    for _ in 0..3 {
        // A process that has ended answers the first of these with a reset, and the next one fails.
        std::thread::sleep(Duration::from_millis(50));
        client.try_write(b"more").expect("it is still there to read");
    }
    drop(client);
    assert!(program.ends_by(SOON));
}

#[test]
fn a_client_that_waits_to_be_accepted_is_looked_for_as_soon_as_there_is_room() {
    let (mut driven, nodes, _discovery) = driven(|text| {
        text.replace("\"sockets\":256", "\"sockets\":70").replace("\"may_probe\":true", "\"may_probe\":false")
    });
    // All six have asked and wait; nobody can make room for a seventh.
    let mut clients: Vec<Client> = (0..6).map(|_| accepted(&mut driven)).collect();
    for (id, client) in clients.iter_mut().enumerate() {
        client.write(&request("view", id as u64, &[0]));
    }
    driven.until(|driven| driven.server.counters().queries == 6);
    let mut seventh = Client::new(driven.address());
    seventh.write(READY);
    driven.turn(0.0, &[Key::Listener]);
    assert_eq!(driven.server.counters().connections, 6);
    assert!(driven.server.next_due(driven.now).is_none_or(|at| at > driven.now), "no room, no hurry");
    let mut peers: Vec<_> =
        nodes.iter().filter_map(|n| n.accept_within(Duration::from_millis(300))).collect();
    let peer = peers.first_mut().expect("a connection to a node");
    driven.until(|_| peer.has_more());
    let id = peer.part();
    peer.serve(&id);
    driven.until(|driven| driven.server.counters().answered == 1);
    assert_eq!(driven.server.next_due(driven.now), Some(driven.now), "it is looked for at once");
    driven.until(|_| seventh.has_more());
    assert_eq!(seventh.read().0, 200);
}

#[test]
fn a_reader_that_takes_nothing_does_not_hold_up_the_end_beyond_the_kill() {
    let (mut driven, _nodes, _discovery) =
        driven(|text| text.replace("\"deadline_ms\":2000", "\"deadline_ms\":9000"));
    let client = unread(&mut driven);
    driven.server.end(driven.now);
    // The platform counts a longest deadline of over 3 s as 3 s, and kills 0.7 s later.
    driven.turn(3500.0, &[]);
    assert!(!driven.server.has_ended(driven.now), "it still may read");
    driven.turn(160.0, &[]);
    assert!(driven.server.has_ended(driven.now));
    drop(client);
}

#[test]
fn requests_that_are_only_half_there_at_the_order_to_end_are_served_when_they_are_whole() {
    let mut site = Site::new("halves");
    let wire = |id: u64| request("view", id, &[0, 1]);
    // Cut in the head, before its blank line, in the body, and one request that is whole with half of the next behind it.
    let cuts = [10, wire(0).len() - body(&[0, 1]).len() - 1, wire(0).len() - 5];
    let mut halves: Vec<(Client, Vec<u8>, usize)> = Vec::new();
    for (id, cut) in cuts.into_iter().enumerate() {
        let (whole, mut client) = (wire(id as u64), Client::new(site.address));
        client.write_through(&whole[..cut]);
        halves.push((client, whole[cut..].to_vec(), 1));
    }
    let (first, second, mut client) = (wire(8), wire(9), Client::new(site.address));
    client.write_through(&[&first[..], &second[..20]].concat());
    halves.push((client, second[20..].to_vec(), 2));
    site.program.signal("TERM");
    site.program.signal("USR1");
    site.program.line("platform: queries");
    for (client, rest, _) in &mut halves {
        client.write(rest);
    }
    for (client, _, answers) in &mut halves {
        for _ in 0..*answers {
            assert_eq!(client.read().0, 200);
        }
    }
    drop(halves);
    assert!(site.program.ends_by(SOON));
}
