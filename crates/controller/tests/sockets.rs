//! Three controllers with real sockets and disks on loopback, each at an address of its own.

mod support;

use controller::Surroundings;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpStream};
use std::path::Path;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use process::Control;
use rstest::rstest;
use settings::ProcessSettings;
use stand_in::ports::unused_ports;
use support::configuration;
use tempfile::TempDir;
use tokio::sync::mpsc;

const PATIENCE: Duration = Duration::from_secs(20);

/// The ports of three controllers, the same on each one's address.
struct Ports {
    control: u16,
    /// The first of two.
    inner: u16,
}

impl Ports {
    fn find() -> Ports {
        let hosts = [ip(1), ip(2), ip(3)];
        Ports { control: unused_ports(&hosts, 1), inner: unused_ports(&hosts, 2) }
    }
}

fn ip(host: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 7, host)
}

struct Running {
    tell: mpsc::Sender<Control>,
    thread: JoinHandle<()>,
}

impl Running {
    fn start(host: u8, ports: &Ports, folder: &Path, first_start: bool) -> Running {
        let settings = settings(host, ports, folder, first_start);
        let (tell, control) = mpsc::channel(1);
        let thread = std::thread::spawn(move || {
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
            runtime
                .block_on(controller::program::run(Surroundings::default(), settings, control))
                .expect("runs until told to end");
        });
        Running { tell, thread }
    }

    fn end(self) {
        self.tell.blocking_send(Control::Terminate).expect("it runs");
        self.thread.join().expect("it ends well");
    }
}

fn settings(host: u8, ports: &Ports, folder: &Path, first_start: bool) -> ProcessSettings {
    let control = ports.control;
    let seeds: Vec<String> = (1..=3).map(|seed| format!("  - \"{}:{control}\"\n", ip(seed))).collect();
    let text = format!(
        "node: \"core-{host}\"\nrole: \"controller\"\nip: \"{ip}\"\nzone: \"zone-{host}\"\nlisten-on:\n  \
         control: \"{ip}:{control}\"\ninner-ports:\n  - {inner}\n  - {last}\nseeds:\n{seeds}first-start: {first_start}\n\
         data-dir: \"{folder}\"\n",
        ip = ip(host),
        inner = ports.inner,
        last = ports.inner + 1,
        seeds = seeds.concat(),
        folder = folder.display(),
    );
    ProcessSettings::read(&text).expect("settings that make sense")
}

/// Makes a call on a connection of its own; `None` if it was not answered.
fn call(
    host: u8,
    ports: &Ports,
    method: &str,
    path: &str,
    based_on: &str,
    body: &str,
) -> Option<(u16, String)> {
    let address = SocketAddrV4::new(ip(host), ports.control);
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nBased-On: {based_on}\r\nConnection: close\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    let status = answer.split(' ').nth(1)?.parse().ok()?;
    let body = answer.split_once("\r\n\r\n")?.1.to_string();
    Some((status, body))
}

/// Repeats a call, as operators do, until its answer says what became of it.
fn call_until_clear(mut attempt: impl FnMut() -> Option<(u16, String)>) -> u16 {
    let began = Instant::now();
    loop {
        match attempt() {
            Some((status, _)) if status < 500 => return status,
            other => assert!(began.elapsed() < PATIENCE, "last answer: {other:?}"),
        }
        std::thread::yield_now();
    }
}

/// Repeats a call, as operators do, until it has this status.
fn call_until(status: u16, mut attempt: impl FnMut() -> Option<(u16, String)>) -> String {
    let began = Instant::now();
    loop {
        match attempt() {
            Some((found, body)) if found == status => return body,
            other => assert!(began.elapsed() < PATIENCE, "last answer: {other:?}"),
        }
        std::thread::yield_now();
    }
}

#[rstest]
fn the_first_configuration_outlives_a_controller_and_of_two_changes_one_wins() {
    let ports = Ports::find();
    let folders: Vec<TempDir> = (0..3).map(|_| TempDir::new().expect("a folder")).collect();
    let folder = |host: u8| folders[usize::from(host) - 1].path();
    let mut running: Vec<Running> =
        (1..=3).map(|host| Running::start(host, &ports, folder(host), true)).collect();

    let first = configuration(7, 3);
    call_until(200, || call(1, &ports, "POST", "/config/replace", "0", &first));
    assert_eq!(call_until(200, || call(2, &ports, "GET", "/config/read", "", "")), first);

    let rivals = [(1, configuration(8, 4)), (2, configuration(9, 5))];
    let statuses: Vec<u16> = std::thread::scope(|scope| {
        let ports = &ports;
        let race = |(host, body): &(u8, String)| {
            let (host, body) = (*host, body.clone());
            scope.spawn(move || call_until_clear(|| call(host, ports, "POST", "/config/replace", "7", &body)))
        };
        let racing: Vec<_> = rivals.iter().map(race).collect();
        racing.into_iter().map(|one| one.join().expect("a call")).collect()
    });
    let winner = statuses.iter().position(|status| *status == 200).expect("one wins");
    assert_eq!(statuses[1 - winner], 412);

    running.remove(0).end();
    let began = Instant::now();
    let read = call_until(200, || {
        let answer = call(3, &ports, "GET", "/config/read", "", "");
        if began.elapsed() > PATIENCE - Duration::from_secs(2) {
            // What those that are left say of each other, for the failure.
            println!("{:?}", [2, 3].map(|host| call(host, &ports, "GET", "/fleet/status", "", "")));
        }
        answer
    });
    assert_eq!(read, rivals[winner].1);

    for one in running {
        one.end();
    }
    let again: Vec<Running> = (1..=3).map(|host| Running::start(host, &ports, folder(host), false)).collect();
    let read = call_until(200, || call(1, &ports, "GET", "/config/read", "", ""));
    assert_eq!(read, rivals[winner].1, "from the disks");
    for one in again {
        one.end();
    }
}

#[rstest]
fn a_controller_alone_takes_heartbeats_and_answers_nonsense_clearly() {
    let ports = Ports::find();
    let folder = TempDir::new().expect("a folder");
    let running = Running::start(1, &ports, folder.path(), true);
    let beat = r#"{"service":"s","address":"10.0.0.9:80","zone":"zone-1","state":"ready","call-count":1}"#;
    // One of three has no contact with a majority: it takes heartbeats in, and sends their senders to the others.
    let answer = call_until(503, || call(1, &ports, "POST", "/nodes/i-1/heartbeat", "", beat));
    assert!(!answer.contains("beat-to") && answer.contains("majority"), "{answer}");
    let (_, shown) = call(1, &ports, "GET", "/fleet/status", "", "").expect("answered");
    assert!(shown.contains(r#""s":{"ready":1"#), "{shown}");
    let status = |method, path, body| call(1, &ports, method, path, "0", body).map(|(status, _)| status);
    assert_eq!(status("POST", "/nodes/i-1/heartbeat", "{"), Some(400));
    assert_eq!(status("GET", "/nowhere", ""), Some(404));
    assert_eq!(status("GET", "/config/replace", ""), Some(405));
    assert_eq!(status("POST", "/config/replace", r#"{"version":1,"routes":[{"name":"r"}]}"#), Some(400));
    assert_eq!(status("POST", "/nodes/i-1/leave", ""), Some(503));
    running.end();
}

/// The real files: a leave is found in them after all have ended, also where one of them was spoilt.
#[rstest]
fn an_acknowledged_leave_is_found_on_disk_beside_a_spoilt_file() {
    let ports = Ports::find();
    let folders: Vec<TempDir> = (0..3).map(|_| TempDir::new().expect("a folder")).collect();
    let start = |first_start: bool| -> Vec<Running> {
        let hosts = (1..=3).zip(&folders);
        hosts.map(|(host, folder)| Running::start(host, &ports, folder.path(), first_start)).collect()
    };
    let beat = |count: u8| {
        format!(
            r#"{{"service":"s","address":"10.0.0.9:80","zone":"zone-1","state":"ready","call-count":{count}}}"#
        )
    };
    let running = start(true);
    call_until(200, || call(1, &ports, "POST", "/nodes/i-1/heartbeat", "", &beat(1)));
    call_until(200, || call(2, &ports, "POST", "/nodes/i-1/leave", "", ""));
    running.into_iter().for_each(Running::end);

    std::fs::write(folders[0].path().join("ends.redb"), "no store").expect("a file");
    let again = start(false);
    call_until(200, || call(1, &ports, "POST", "/nodes/i-1/heartbeat", "", &beat(2)));
    for host in 1..=3 {
        let (_, shown) = call(host, &ports, "GET", "/fleet/status", "", "").expect("answered");
        assert!(!shown.contains(r#""ready":1"#), "{shown}");
    }
    assert!(folders[0].path().join("ends.redb.damaged").exists(), "what was spoilt is kept for a look");
    again.into_iter().for_each(Running::end);
}
