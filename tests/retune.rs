//! New settings while the program serves: which files are turned down whole, and what a change does to requests that
//! are open and to those that come.

mod support;

use serde_json::Value;
use std::time::Duration;
use steppick::net::Served;
use steppick::platform::config::Config;
use support::driven::Driven;
use support::front::*;
use support::hand::{Hand, Peer};
use support::site::*;
use support::{Client, Folder, Program};

/// A sound file, as JSON.
fn sound(discovery: &Hand) -> Value {
    let text = config("127.0.0.1:0", discovery.address, "");
    serde_json::from_str(&text).expect("JSON")
}

/// Every path of keys in a file, outside the list of nodes; of lists, through their last entry.
fn keys(value: &Value, path: &str, into: &mut Vec<String>) {
    for (key, inner) in value.as_object().into_iter().flatten() {
        let path = format!("{path}/{key}");
        into.push(path.clone());
        keys(inner, &path, into);
        if let Some(last) = inner.as_array().and_then(|list| list.len().checked_sub(1)) {
            keys(&inner[last], &format!("{path}/{last}"), into);
        }
    }
}

#[test]
fn each_kind_of_bad_file_is_turned_down_whole_and_named() {
    let (folder, discovery, elsewhere) = (Folder::new("bad-files"), Hand::new(), Hand::new());
    let nodes = [Hand::new(), Hand::new()];
    let text = config("127.0.0.1:0", discovery.address, &servers(&nodes, ["in_service"; 2]));
    let program = Program::start(&[], Some(&folder.write("config.json", &text)));
    let mut watch = discovery.accept();
    watch.head();
    watch.watch_head();
    let moved = sound(&elsewhere).to_string();
    let change = |path: &str, to: &str| {
        let mut file = sound(&elsewhere);
        *file.pointer_mut(path).expect("a field") = serde_json::from_str(to).expect("JSON");
        file.to_string()
    };
    let (deadline, tries) = ("/settings/classes/1/deadline_ms", "/settings/policy_limits/try_limit");
    let mut bad = vec![
        (String::new(), "field `.`"),
        ("  \n".to_string(), "field `.`"),
        (format!("{moved}}}"), "field `.`"),
        (change(deadline, "-5"), "field `settings.classes[1].deadline_ms` is -5; give a number above 0"),
        (change(deadline, "0"), "field `settings.classes[1].deadline_ms` is 0"),
        (change(deadline, "\"soon\""), "field `settings.classes[1].deadline_ms`"),
        (change(deadline, "null"), "field `settings.classes[1].deadline_ms`"),
        (change(tries, "0"), "field `settings.policy_limits.try_limit` is 0; give a number above 0"),
        (change(tries, "-1"), "field `settings.policy_limits.try_limit`"),
        (change(tries, "\"3\""), "field `settings.policy_limits.try_limit`"),
        (change(tries, "null"), "field `settings.policy_limits.try_limit`"),
        (change("/settings/classes/1/effect", "\"often\""), "field `settings.classes[1].effect`"),
        (change("/settings/domain/whole_at", "[1]"), "field `settings.domain.whole_at` has 1 values"),
        (change("/discovery", "\"nowhere\""), "field `discovery`"),
    ];
    bad.extend((1..moved.len()).step_by(moved.len() / 20).map(|end| (moved[..end].to_string(), "line 1")));
    for (file, why) in bad {
        folder.write("config.json", &file);
        program.signal("HUP");
        let line = program.line("config.json");
        assert!(line.contains(why) && line.contains("is served on"), "{why} in {line} for {file}");
    }
    // None of them moved the watch: it still brings the list, and nobody was asked elsewhere.
    watch.chunk(&list(42, false, &entry_at(nodes[0].address, 0, "terminating")));
    program.line("Update list: 1 replicas, 0 in service");
    assert!(elsewhere.accept_within(Duration::ZERO).is_none());
    // A sound one does.
    folder.write("config.json", &moved);
    program.signal("HUP");
    program.line("config.json taken in");
    assert!(elsewhere.accept().head().contains("after=42 "));
}

#[test]
fn a_file_that_lacks_any_key_of_the_one_before_is_turned_down() {
    let discovery = Hand::new();
    let file = sound(&discovery);
    let before = Config::read(&file.to_string()).expect("sound");
    let mut paths = Vec::new();
    keys(&file, "", &mut paths);
    paths.retain(|path| !path.starts_with("/known/"));
    assert!(paths.len() > 50, "{paths:?}");
    for path in paths {
        let mut lacking = file.clone();
        let (parent, key) = path.rsplit_once('/').expect("a path");
        lacking.pointer_mut(parent).and_then(|value| value.as_object_mut()).expect("fields").remove(key);
        let later = Config::read(&lacking.to_string());
        let told = later.and_then(|later| before.form().fits(later.form()));
        let why = told.expect_err(&path).to_string();
        assert!(why.contains(&format!("`{key}`")) || why.contains(&format!(".{key}`")), "{path}: {why}");
    }
    // What comes beside is no fault, nor is a class less.
    let mut more = file.clone();
    more["settings"]["new"] = serde_json::json!({ "x": [1] });
    more["settings"]["classes"].as_array_mut().expect("classes").pop();
    for field in ["class_fetch", "floor_by_class", "partial_earns", "whole_at"] {
        more["settings"]["domain"][field].as_array_mut().expect("values").pop();
    }
    let later = Config::read(&more.to_string()).expect("sound");
    before.form().fits(later.form()).expect("nothing is missing");
}

/// A front between two nodes under the test's hand, its clock too.
struct Tuned {
    driven: Driven,
    nodes: [Hand; 2],
    file: Value,
    next_id: u64,
}

impl Tuned {
    fn new(effect: &str, try_limit: usize) -> Tuned {
        let (nodes, discovery) = ([Hand::new(), Hand::new()], Hand::new());
        let text = config("127.0.0.1:0", discovery.address, &servers(&nodes, ["in_service"; 2]));
        let mut file: Value = serde_json::from_str(&text).expect("JSON");
        file["settings"]["policy_limits"]["may_probe"] = false.into();
        file["settings"]["classes"][0]["effect"] = effect.into();
        file["settings"]["policy_limits"]["try_limit"] = try_limit.into();
        Tuned { driven: Driven::new(&file.to_string()), nodes, file, next_id: 0 }
    }

    fn reload(&mut self, effect: &str, try_limit: usize) {
        self.file["settings"]["classes"][0]["effect"] = effect.into();
        self.file["settings"]["policy_limits"]["try_limit"] = try_limit.into();
        let now = self.driven.now;
        self.driven.server.reload(&self.file.to_string(), now).expect("a sound file");
    }

    /// The connection on which a part has come.
    fn peer(&mut self) -> Peer {
        let (nodes, mut found) = (&self.nodes, None);
        self.driven.until(|_| {
            let mut came = nodes.iter().filter_map(|node| node.accept_within(Duration::from_millis(1)));
            found = found.take().or_else(|| came.next());
            found.as_ref().is_some_and(Peer::has_more)
        });
        found.expect("just seen")
    }

    /// A request that a node has taken: its client and the node's connection.
    fn taken(&mut self) -> (Client, Peer) {
        self.next_id += 1;
        let mut client = Client::new(self.driven.address());
        client.write_through(&request("view", self.next_id, &[0]));
        let mut peer = self.peer();
        peer.part();
        (client, peer)
    }

    /// The node's connection breaks: whether the part, which may have run, is sent again. Its client has its answer
    /// then.
    fn sends_again(&mut self, (mut client, peer): (Client, Peer)) -> bool {
        let before = self.driven.server.counters().repeats;
        peer.reset();
        self.driven.until(|driven| driven.server.counters().repeats > before || client.has_more());
        let again = self.driven.server.counters().repeats > before;
        if again {
            let mut peer = self.peer();
            let id = peer.part();
            peer.serve(&id);
        }
        self.driven.until(|_| client.has_more());
        // Given up: refused where a retry of the client is harmless, else failed.
        let status = client.read().0;
        assert!(if again { status == 200 } else { [500, 503].contains(&status) }, "{status}");
        again
    }
}

#[test]
fn an_open_request_keeps_the_class_under_which_it_was_taken() {
    for (before, after, again) in
        [("idempotent", "at_most_once", true), ("at_most_once", "idempotent", false)]
    {
        let mut site = Tuned::new(before, 3);
        let open = site.taken();
        site.reload(after, 3);
        assert_eq!(site.sends_again(open), again, "{before}, {after} since");
        // Those that come later are taken under the new rules, whenever the change ends for them.
        site.driven.turn(1500.0, &[]);
        let next = site.taken();
        assert_eq!(site.sends_again(next), !again, "{after}");
    }
}

#[test]
fn an_open_request_has_the_smaller_number_of_attempts() {
    let mut site = Tuned::new("idempotent", 2);
    let open = site.taken();
    site.reload("idempotent", 1);
    assert!(!site.sends_again(open), "one attempt is the limit now");
    let open = site.taken();
    site.reload("idempotent", 2);
    site.driven.turn(1600.0, &[]);
    assert!(!site.sends_again(open), "it was taken where one was the limit");
    site.driven.turn(200.0, &[]);
    let next = site.taken();
    assert!(site.sends_again(next));
}

#[test]
fn classes_come_and_go_while_requests_and_the_stream_of_lists_go_on() {
    let (folder, discovery, nodes) = (Folder::new("classes"), Hand::new(), [Hand::new(), Hand::new()]);
    let text = config("127.0.0.1:0", discovery.address, &servers(&nodes, ["in_service", "terminating"]));
    let program = Program::start(&[], Some(&folder.write("config.json", &text)));
    let address = program.address();
    let mut watch = discovery.accept();
    watch.head();
    watch.watch_head();
    let mut open = Client::new(address);
    open.write(&request("entry", 1, &[0]));
    let mut peer = nodes[0].accept();
    let id = peer.part();
    assert_eq!(
        Client::new(address).ask("POST", "/entry-next", &headers("entry-next", 2), &body(&[0])).0,
        404
    );
    // `entry` goes, `entry-next` comes, and the others change places.
    let mut file: Value = serde_json::from_str(&text).expect("JSON");
    let classes = file["settings"]["classes"].as_array_mut().expect("classes");
    classes[1]["name"] = "entry-next".into();
    classes.swap(0, 1);
    folder.write("config.json", &file.to_string());
    program.signal("HUP");
    assert!(program.line("settings: ").ends_with("settings: -entry, +entry-next"));
    let mut next = Client::new(address);
    next.write(&request("entry-next", 3, &[0]));
    let next_id = peer.part();
    assert!(next_id.starts_with("0000000000000003."), "{next_id}");
    for (id, client) in [(id, &mut open), (next_id, &mut next)] {
        peer.serve(&id);
        assert_eq!(client.read().0, 200);
    }
    watch.chunk(&list(42, false, &entry_at(nodes[0].address, 0, "terminating")));
    program.line("Update list: 1 replicas, 0 in service");
    assert!(discovery.accept_within(Duration::ZERO).is_none(), "one stream through it all");
}
