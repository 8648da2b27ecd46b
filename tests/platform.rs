//! The platform's front from request to answer: the real program between clients, stand-in book nodes and a
//! stand-in discovery.

mod support;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use support::front::*;
use support::site::*;
use support::{stand_in, Client, Folder, Program};

#[test]
fn a_query_goes_all_the_way_and_back() {
    let site = Site::new("way");
    assert_eq!(Client::new(site.address).ask("GET", "/ready", "", "").0, 200);
    let (status, _, answer) = site.ask("view", 1, &[0, 1]);
    assert_eq!(status, 200, "{answer}");
    assert!(answer.contains("\"complete\":true"), "{answer}");
    assert!(
        answer.contains(r#"{"shard":0,"doc":"value \"0\""}"#) && answer.contains("\"shard\":1"),
        "{answer}"
    );
    // A keyed part carries its key; a part of the second step what the first step had.
    assert_eq!(site.ask("entry", 2, &[1]).0, 200);
    let (status, _, answer) = site.ask("report", 3, &[0, 1, 2]);
    assert_eq!(status, 200, "{answer}");
    assert!(answer.contains("\"shard\":2") && answer.contains("\"shard\":1"), "the best scores: {answer}");
    assert!(!answer.contains("\"shard\":0"), "the second step fetches two: {answer}");
    let seen: Vec<String> =
        site.nodes.iter().flat_map(|node| node.asked.lock().expect("no panic").clone()).collect();
    assert!(seen
        .iter()
        .any(|text| text.starts_with("Q0000000000000002.1 1 d=") && text.contains(",k=k2 9\nsome text")));
    assert!(
        seen.iter().any(|text| text.contains("3.2.f 2 d=") && text.contains(",from=0+1+2,whole=1 9\n")),
        "{seen:?}"
    );
}

#[test]
fn at_debug_level_each_final_answer_has_a_line_with_what_its_query_met() {
    let site = Site::logged("debug", Some("debug"));
    assert_eq!(site.ask("report", 1, &[0, 1, 2]).0, 200);
    let line = site.program.line("final answer");
    for field in ["query=", "class=2", "how=\"whole\"", "step=1", "parts=2", "arrived=2", "pass="] {
        assert!(line.contains(field), "{field} in {line}");
    }
    let folder = Folder::new("level");
    let path =
        folder.write("config.json", &config("127.0.0.1:0", "127.0.0.1:1".parse().expect("an address"), ""));
    let mut program = Program::start_with(&[], Some(&path), Some("loud"));
    assert!(program.line("steppick: ").contains("STEPPICK_LOG"));
    assert_eq!(program.ends(), Some(1));
}

#[test]
fn bad_input_gets_its_status_and_no_node_hears_of_it() {
    let site = Site::new("bad");
    let ask = |method: &str, path: &str, headers: &str, body: &str| {
        Client::new(site.address).ask(method, path, headers, body).0
    };
    let (fine, good) = (headers("view", 1), body(&[0]));
    for (status, method, path, headers, body) in [
        (404, "POST", "/nowhere", fine.as_str(), good.as_str()),
        (405, "GET", "/view", &fine, &good),
        (405, "POST", "/ready", "", ""),
        (400, "POST", "/view", "", &good),
        (400, "POST", "/view", "X-Request-Id: short\r\n", &good),
        (400, "POST", "/view", &fine.replace("view", "entry"), &good),
        (400, "POST", "/view", &fine.replace("5000m", "soon"), &good),
        (400, "POST", "/view", &fine.replace("5000m", "m"), &good),
        (400, "POST", "/view", &fine.replace("5000m", "1e9m"), &good),
        (400, "POST", "/entry", &headers("entry", 1).replace("k1", "k,d=9"), &good),
        (400, "POST", "/view", &fine, "{"),
        (400, "POST", "/view", &fine, "{\"shards\":[],\"q\":\"x\"}"),
        (400, "POST", "/view", &fine, &good.replace("\"shard\":0", "\"shard\":99")),
        (400, "POST", "/view", &fine, &good.replace("\"shard\":0", "\"shard\":-1")),
        (400, "POST", "/view", &fine, &good.replace("\"weight\":1", "\"weight\":7")),
        (
            400,
            "POST",
            "/view",
            &fine,
            "{\"shards\":[{\"shard\":0,\"weight\":0.5},{\"shard\":0,\"weight\":0.5}],\"q\":\"x\"}",
        ),
    ] {
        assert_eq!(ask(method, path, headers, body), status, "{method} {path} {headers} {body}");
    }
    let mut client = Client::new(site.address);
    client.write(b"POST /view HTTP/1.1\r\nContent-Length: 65537\r\n\r\n");
    assert_eq!(client.read().0, 413);
    // An answer made at once reaches a client that has ended its own side, ...
    let mut client = Client::new(site.address);
    client.write(b"GET /nowhere HTTP/1.1\r\n\r\n");
    client.half_close();
    assert_eq!(client.read().0, 404);
    // ... and one that is still sending its body.
    let mut client = Client::new(site.address);
    let head = "POST /view HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n";
    client.write(format!("{head}{}", "x".repeat(300_000)).as_bytes());
    // A reset would arrive by then, and may cost a client what it has not read yet.
    std::thread::sleep(std::time::Duration::from_millis(100));
    assert_eq!(client.read().0, 413);
    assert!(client.ends_cleanly());
    for malformed in
        ["\x01\r\n\r\n", "POST /view HTTP/1.1\r\nContent-Length: x\r\n\r\n", "POST / HTTP/9\r\n\r\n"]
    {
        let mut client = Client::new(site.address);
        client.write(malformed.as_bytes());
        assert_eq!(client.read().0, 400, "{malformed:?}");
        assert!(client.is_ended());
    }
    assert_eq!(site.nodes.iter().map(Node::count).sum::<usize>(), 0);
}

#[test]
fn an_id_that_was_answered_is_not_served_again() {
    let site = Site::new("ended-id");
    assert_eq!(site.ask("view", 7, &[0]).0, 200);
    let frames = |site: &Site| site.nodes.iter().map(Node::count).sum::<usize>();
    let before = frames(&site);
    let (status, _, answer) = site.ask("view", 7, &[0]);
    assert_eq!(status, 400, "{answer}");
    assert!(answer.contains("has been answered"), "{answer}");
    assert_eq!(frames(&site), before, "nothing is sent on for it");
}

#[test]
fn pipelined_and_split_requests_are_answered_in_order() {
    let site = Site::new("pipe");
    let mut client = Client::new(site.address);
    let mut wire = String::new();
    for id in 1..=5 {
        let (headers, body) = (headers("view", id), body(&[id as usize % 4]));
        let head = format!("POST /view HTTP/1.1\r\n{headers}Transfer-Encoding: chunked\r\n\r\n");
        let (a, b) = body.split_at(7);
        wire += &format!("{head}{:x}\r\n{a}\r\n{:x}\r\n{b}\r\n0\r\n\r\n", a.len(), b.len());
    }
    for piece in wire.as_bytes().chunks(31) {
        client.write(piece);
    }
    for id in 1..=5 {
        let (status, _, answer) = client.read();
        assert_eq!(status, 200);
        assert!(answer.contains(&format!("\"shard\":{}", id % 4)), "{answer}");
    }
}

#[test]
fn a_bad_frame_closes_its_connection_and_another_node_answers() {
    let site = Site::new("frame");
    site.nodes[0].mood(Mood::Nonsense);
    for id in 1..6 {
        assert_eq!(site.ask("view", id, &[0]).0, 200);
    }
    site.nodes[1].mood(Mood::Nonsense);
    let (status, head, _) = site.ask("view", 9, &[0]);
    assert_eq!(status, 503, "a safe query is refused at once: {head}");
    assert!(head.contains("Retry-After: 0."), "{head}");
}

#[test]
fn a_connection_that_falls_silent_is_replaced_while_its_node_is_well() {
    let site = Site::new("silent");
    for id in 0..10 {
        assert_eq!(site.ask("view", id, &[0]).0, 200);
    }
    for node in &site.nodes {
        node.mood(Mood::SilentUpTo(node.connections.load(Ordering::SeqCst)));
    }
    // What is on the silent connections may be lost; what is asked some time later must not be.
    let statuses: Vec<u16> = (10..20).map(|id| site.ask("view", id, &[0]).0).collect();
    assert_eq!(statuses[5..], [200; 5], "{statuses:?}");
}

#[test]
fn a_draining_node_gets_nothing_new_and_the_watch_goes_on_where_it_broke() {
    let site = Site::new("drain");
    let watch = site.asked.recv().expect("a watch");
    assert!(watch.starts_with("GET /v1/endpoints?watch=1&after=41 "), "{watch}");
    let change = |version: u64, n, state| {
        let servers = entry(&site.nodes, n, state);
        site.tell
            .send(format!("{{\"version\":{version},\"full\":false,\"servers\":[{servers}]}}"))
            .expect("sent");
    };
    change(43, 0, "terminating");
    site.program.line("Update list: 1 replicas, 0 in service");
    std::thread::sleep(std::time::Duration::from_millis(1100));
    let before = site.nodes[0].count();
    for id in 1..10 {
        assert_eq!(site.ask("view", id, &[0, 1]).0, 200);
    }
    assert_eq!(site.nodes[0].count(), before);
    site.tell.send("end".into()).expect("sent");
    let watch = site.asked.recv().expect("another watch");
    assert!(watch.starts_with("GET /v1/endpoints?watch=1&after=43 "), "{watch}");
    // What is known already changes nothing; what is new does.
    change(42, 1, "terminated");
    change(44, 0, "in_service");
    site.program.line("Update list: 1 replicas, 1 in service");
    assert_eq!(site.ask("view", 20, &[0, 1]).0, 200);
}

#[test]
fn a_new_configuration_moves_the_watch_while_queries_are_served() {
    let site = Site::new("reload");
    assert!(site.asked.recv().expect("a watch").contains("after=41 "));
    let (other, tell, asked) = discovery();
    let path = site.folder.0.join("config.json");
    let text = std::fs::read_to_string(&path).expect("the configuration");
    // What makes no sense ends nothing and changes nothing.
    site.folder.write("config.json", "{");
    site.program.signal("HUP");
    site.program.line("not a configuration");
    assert_eq!(site.ask("view", 1, &[0, 1]).0, 200);
    let place = text.find("\"discovery\":\"").expect("the field") + 13;
    let end = place + text[place..].find('"').expect("its end");
    site.folder.write("config.json", &format!("{}{other}{}", &text[..place], &text[end..]));
    site.program.signal("HUP");
    assert!(asked.recv().expect("a watch").contains("after=41 "), "it goes on where it was");
    assert_eq!(site.ask("view", 2, &[0, 1]).0, 200);
    let servers = entry(&site.nodes, 0, "terminating");
    tell.send(format!("{{\"version\":42,\"full\":false,\"servers\":[{servers}]}}")).expect("sent");
    site.program.line("Update list: 1 replicas, 0 in service");
}

#[test]
fn a_placement_keeps_connections_warm_and_is_read_anew_while_a_bad_one_changes_nothing() {
    let folder = Folder::new("placed");
    let nodes = [node(), node()];
    let (discovery, _tell, _asked) = discovery();
    let servers = format!("{},{}", entry(&nodes, 0, "in_service"), entry(&nodes, 1, "in_service"));
    let config = folder.write("config.json", &config("127.0.0.1:0", discovery, &servers));
    let placement = |version: u64, warm: &str| {
        format!(
            "{{\"format\":1,\"version\":{version},\"coordinators\":{{\"n0\":{{\"warm\":[{warm}],\
             \"books\":{{\"0\":{{\"s-0\":0.5,\"s-9\":0.5}}}}}}}}}}"
        )
    };
    let file = folder.write("placement.json", &placement(1, "\"s-1\""));
    let program = Program::start(&["--placement", file.to_str().expect("UTF-8")], Some(&config));
    assert!(program.line("placement 1").contains("n0 is placed"));
    assert!(program.line("placement followed").contains("unlisted=\"s-9\""));
    let connections = |n: usize| nodes[n].connections.load(Ordering::SeqCst);
    let wait = |n: usize| {
        while connections(n) == 0 {
            std::thread::sleep(std::time::Duration::from_millis(10));
        }
    };
    wait(1);
    assert_eq!(connections(0), 0, "only what the placement names is kept warm");
    folder.write("placement.json", "{\"format\":1,\"version\":2,");
    program.signal("HUP");
    assert!(program.line("the placement read before is followed on").contains("placement.json: line 1"));
    folder.write("placement.json", &placement(3, "\"s-0\",\"s-1\""));
    program.signal("HUP");
    program.line("placement 3");
    wait(0);
    // At the start there is nothing that could go on.
    folder.write("placement.json", &placement(4, "7"));
    let mut other = Program::start(&["--placement", file.to_str().expect("UTF-8")], Some(&config));
    assert!(other.line("steppick: ").contains("placement.json"));
    assert_eq!(other.ends(), Some(1));
}

#[test]
fn an_orderly_end_answers_what_was_taken() {
    let mut site = Site::new("end");
    site.nodes.iter().for_each(|node| node.mood(Mood::Silent));
    let address = site.address;
    let taken =
        support::apart(move || Client::new(address).ask("POST", "/view", &headers("view", 1), &body(&[0])));
    let mut idle = Client::new(address);
    assert_eq!(idle.ask("GET", "/ready", "", "").0, 200);
    while site.nodes.iter().map(Node::count).sum::<usize>() == 0 {
        std::thread::yield_now();
    }
    site.program.signal("USR1");
    let line = site.program.line("platform: queries");
    assert!(line.contains("queries: 1") && line.contains("failed: 0"), "{line}");
    site.program.signal("TERM");
    // Whoever is connected is served on: the other coordinators may be on their way down or up themselves.
    // Also if none of them asks anything when the program might go.
    std::thread::sleep(std::time::Duration::from_millis(900));
    let (status, head, _) = idle.ask("GET", "/ready", "", "");
    assert!(status == 503 && !head.contains("Connection: close"), "not ready for new ones: {head}");
    // After the last call idle connections are closed between requests; new ones are still answered.
    assert!(idle.is_ended());
    let (status, head, _) = Client::new(address).ask("GET", "/nowhere", "", "");
    assert!(status == 404 && head.contains("Connection: close"), "{head}");
    assert_eq!(Client::new(address).ask("GET", "/ready", "", "").0, 503);
    assert!(site.program.terminate(), "it ends well");
    let (status, head, _) = taken.join().expect("an answer");
    assert!(status >= 500 && head.contains("Connection: close"), "{head}");
    let line = site.program.line("platform: queries");
    assert!(line.contains("queries: 1") && line.contains("broken: 0"), "{line}");
}

#[test]
fn what_comes_before_the_last_call_has_its_wanted_time_before_the_kill() {
    let class =
        |aim, deadline| steppick::Class { aim, deadline, ..support::class(steppick::Effect::Safe, 0) };
    let ending = steppick::net::Ending::of(&[class(400.0, 900.0), class(500.0, 1500.0)]);
    assert_eq!((ending.last_call, ending.last_answer), (1600.0, 2100.0));
    // Where a wanted time is longer than what is left, connections go once no new ones come.
    let ending = steppick::net::Ending::of(&[class(5000.0, 10_000.0)]);
    assert_eq!((ending.last_call, ending.last_answer), (500.0, 3600.0));
}

#[test]
fn a_bad_configuration_gives_one_line() {
    let folder = Folder::new("config");
    let nowhere: SocketAddr = "127.0.0.1:1".parse().expect("an address");
    let good = config("127.0.0.1:0", nowhere, "");
    let taken = stand_in(drop);
    for (text, told) in [
        ("{".to_string(), "not a configuration: field"),
        (good.replace("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"here\""), "field `listen`"),
        (good.replace("8c1f30d27a5be964", "no hex"), "field `seed`"),
        (good.replace("\"idempotent\"", "\"sometimes\""), "field `settings.classes[0].effect`"),
        (good.replace("\"listen\":\"127.0.0.1:0\"", &format!("\"listen\":\"{taken}\"")), "can't listen"),
    ] {
        let path: PathBuf = folder.write("bad.json", &text);
        let mut program = Program::start(&[], Some(&path));
        let line = program.line("steppick: ");
        assert!(line.contains(told), "{line}");
        assert_eq!(program.ends(), Some(1), "{told}");
    }
}

#[test]
fn idle_clients_make_room_at_the_limit_on_descriptors() {
    let site = Site::new("room");
    // 256 descriptors, of which 64 are kept in reserve and a quarter of the rest is for nodes: 144 clients.
    let ask = |client: &mut Client| client.ask("GET", "/ready", "", "").0;
    let mut clients: Vec<Client> = Vec::new();
    for _ in 0..200 {
        let mut client = Client::new(site.address);
        assert_eq!(ask(&mut client), 200);
        clients.push(client);
    }
    assert!(clients[0].is_ended() && clients[55].is_ended(), "the longest idle ones went");
    assert_eq!(ask(&mut clients[56]), 200);
    assert_eq!(site.ask("view", 1, &[0, 1]).0, 200);
}

#[test]
fn silent_clients_and_half_requests_are_let_go_and_idle_ones_only_in_a_crowd() {
    let site = Site::new("crowd");
    let ready = |client: &mut Client| client.ask("GET", "/ready", "", "").0;
    let (mut silent, mut half) = (Client::new(site.address), Client::new(site.address));
    half.write(b"POST /view HTTP/1.1\r\nX-Class: vi");
    let mut idle = Client::new(site.address);
    assert_eq!(ready(&mut idle), 200);
    let (status, head, _) = site.ask("view", 1, &[0]);
    assert!(status == 200 && !head.contains("Connection: close"), "{head}");
    assert_eq!(half.read().0, 408);
    assert!(silent.is_ended(), "it never asked");
    assert_eq!(ready(&mut idle), 200, "there is room for who has asked");
    // A quarter of the 144 descriptors for clients is taken up by those that stand by.
    let mut crowd: Vec<Client> = (0..40).map(|_| Client::new(site.address)).collect();
    crowd.iter_mut().for_each(|client| assert_eq!(ready(client), 200));
    let (status, head, _) = site.ask("view", 2, &[0]);
    assert!(status == 200 && head.contains("Connection: close"), "{head}");
    assert!(idle.is_ended() && crowd[0].is_ended());
}

/// Runs the program to its end; its exit code and the first line that it says.
fn ends_with(arguments: &[&str], config: Option<&PathBuf>) -> (Option<i32>, String) {
    let mut program = Program::start(arguments, config);
    let line = program.line("");
    (program.ends(), line)
}

#[test]
fn a_start_that_fails_ends_with_1_and_a_line_that_says_what_to_do() {
    let folder = Folder::new("codes");
    let nowhere: SocketAddr = "127.0.0.1:1".parse().expect("an address");
    let good = config("127.0.0.1:0", nowhere, "");
    let file = |name: &str, text: &str| folder.write(name, text);
    let gone = folder.0.join("gone.json");
    let first = good.replacen("\"goal_time_ms\":1000", "\"goal_time_ms\":\"soon\"", 1);
    let cells = good.replace("\"cells\":2", "\"cells\":0");
    let short = good.replace("\"whole_at\":[1,1,1]", "\"whole_at\":[1,1]");
    for (path, told) in [
        (gone, "check the path"),
        (file("a.json", &first), "field `settings.classes[0].goal_time_ms`"),
        (file("b.json", &first), "line 3 column"),
        (file("c.json", &cells), "field `settings.domain.cells` is empty or 0"),
        (file("d.json", &short), "`settings.domain.whole_at` has 2 values for 3 classes"),
        (file("e.json", &good.replace("automatic", "always")), "write automatic or subscribe"),
    ] {
        let (code, line) = ends_with(&[], Some(&path));
        assert_eq!(code, Some(1), "{line}");
        assert!(line.contains(told) && line.contains(path.to_str().expect("UTF-8")), "{told}: {line}");
    }
    assert_eq!(ends_with(&[], None).0, Some(1));
    assert_eq!(ends_with(&["--no-such-flag"], None).0, Some(1));
    let path = file("good.json", &good);
    let mut program = Program::start(&[], Some(&path));
    program.address();
    assert!(program.terminate(), "an orderly end is 0");
}
