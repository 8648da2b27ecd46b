//! The platform's front as tests meet it: the program with its peers, and what clients and discovery send it.

use super::hand::Hand;
use super::site::*;
use super::{Client, Folder, Program};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, Sender};

/// The program between two stand-in nodes and a stand-in discovery.
pub struct Site {
    pub folder: Folder,
    pub nodes: [Node; 2],
    pub program: Program,
    pub address: SocketAddr,
    pub tell: Sender<String>,
    pub asked: Receiver<String>,
}

impl Site {
    pub fn new(name: &str) -> Site {
        Site::logged(name, None)
    }

    pub fn logged(name: &str, level: Option<&str>) -> Site {
        let folder = Folder::new(name);
        let nodes = [node(), node()];
        let (discovery, tell, asked) = discovery();
        let servers = format!("{},{}", entry(&nodes, 0, "in_service"), entry(&nodes, 1, "in_service"));
        let path = folder.write("config.json", &config("127.0.0.1:0", discovery, &servers));
        let program = Program::start_with(&[], Some(&path), level);
        let address = program.address();
        Site { folder, nodes, program, address, tell, asked }
    }

    pub fn ask(&self, class: &str, id: u64, shards: &[usize]) -> (u16, String, String) {
        Client::new(self.address).ask("POST", &format!("/{class}"), &headers(class, id), &body(shards))
    }
}

/// Two entries for peers under the test's hand.
pub fn servers(nodes: &[Hand; 2], states: [&str; 2]) -> String {
    let each = [0, 1].map(|n| entry_at(nodes[n].address, n, states[n]));
    each.join(",")
}

/// A whole list.
pub fn list(version: u64, full: bool, servers: &str) -> String {
    format!("{{\"version\":{version},\"full\":{full},\"servers\":[{servers}]}}\n")
}

/// The bytes of a request.
pub fn request(class: &str, id: u64, shards: &[usize]) -> Vec<u8> {
    let (headers, body) = (headers(class, id), body(shards));
    let length = body.len();
    format!("POST /{class} HTTP/1.1\r\nHost: x\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
        .into_bytes()
}

/// The same from a client that would wait for a minute.
pub fn patient(request: Vec<u8>) -> Vec<u8> {
    let text = String::from_utf8(request).expect("ASCII");
    text.replace("X-Deadline: 5000m", "X-Deadline: 60000m").into_bytes()
}

/// The value of a counter of the program.
pub fn counted(program: &Program, name: &str) -> u64 {
    program.signal("USR1");
    let line = program.line("platform: queries");
    let rest = line.split(&format!(" {name}: ")).nth(1).expect("a counter");
    rest.split(',').next().expect("a number").parse().expect("a number")
}

/// A configuration with an address for operators.
pub fn with_admin(config: &str, address: &str) -> String {
    config.replacen('{', &format!("{{\"admin_addr\":\"{address}\","), 1)
}

/// The figures that the program tells operators, by name with labels.
pub fn figures(operators: SocketAddr) -> BTreeMap<String, u64> {
    let (status, _, text) = Client::new(operators).ask("GET", "/_vars", "", "");
    assert_eq!(status, 200, "{text}");
    let line = |line: &str| {
        let (name, value) = line.rsplit_once(' ').expect("a name and a value");
        (name.to_string(), value.parse().expect("a number"))
    };
    text.lines().map(line).collect()
}
