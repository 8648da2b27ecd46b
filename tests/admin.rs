//! Where operators call: which calls are answered how, and that silent and half callers are bounded.

mod support;

use std::time::Instant;
use steppick::net::admin::Admin;
use steppick::net::{Gathered, Loop};
use support::front::*;
use support::hand::SOON;
use support::site::*;
use support::{Client, Folder, Program};

/// The listener alone, its loop and clock under the test's own hand.
struct Listener {
    event_loop: Loop,
    admin: Admin,
    now: f64,
}

impl Listener {
    fn new() -> Listener {
        let event_loop = Loop::try_new().expect("a loop");
        let any = "127.0.0.1:0".parse().expect("an address");
        let admin = Admin::listen(&event_loop, 0, any).expect("a listener");
        Listener { event_loop, admin, now: 0.0 }
    }

    fn connect(&self) -> Client {
        Client::new(self.admin.local_addr().expect("an address"))
    }

    /// Turns at the same time until that holds.
    fn until(&mut self, mut holds: impl FnMut(&Admin) -> bool) {
        let until = Instant::now() + SOON;
        while !holds(&self.admin) {
            assert!(Instant::now() < until, "it does not come to hold");
            let mut gathered = Gathered::default();
            let soon = std::time::Duration::from_millis(1);
            self.event_loop.dispatch(soon, &mut gathered).expect("the loop");
            self.admin.turn(self.now, &gathered.ready, &[]);
        }
    }

    /// Takes in callers until so many are held.
    fn holding(&mut self, count: usize) {
        self.until(|admin| admin.callers() == count);
    }
}

const CALL: &[u8] = b"GET /_ready HTTP/1.1\r\nHost: x\r\n\r\n";

#[test]
fn each_call_has_its_answer_and_the_connection_ends() {
    let mut listener = Listener::new();
    for (call, status) in [
        ("GET /_ready HTTP/1.1\r\n\r\n", 200),
        ("GET /_ready?x=1 HTTP/1.1\r\nHost: x\r\n\r\n", 200),
        ("POST /_ready HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 405),
        ("POST /_vars HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 405),
        ("GET /_vars HTTP/1.1\r\n\r\n", 200),
        ("GET /ready HTTP/1.1\r\n\r\n", 404),
        ("POST /view HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}", 404),
        ("GET /_ready HTTP/9\r\n\r\n", 400),
        ("\x01\r\n\r\n", 400),
    ] {
        let mut caller = listener.connect();
        caller.write_through(call.as_bytes());
        listener.until(|admin| admin.callers() == 1);
        let (told, head, _) = caller.read();
        assert_eq!(told, status, "{call:?}");
        assert!(head.contains("Connection: close"), "{head}");
        assert!(caller.ends_cleanly(), "{call:?}");
        drop(caller);
        listener.holding(0);
    }
}

#[test]
fn a_call_without_an_end_is_not_held() {
    let mut listener = Listener::new();
    let mut caller = listener.connect();
    caller.write_through(&[b"GET /_ready HTTP/1.1\r\nX: ".to_vec(), vec![b'y'; 40 * 1024]].concat());
    listener.holding(1);
    // By how much of it came first: a head that is too long, or more than is taken at once.
    let status = caller.read().0;
    assert!([400, 413].contains(&status), "{status}");
}

#[test]
fn silent_and_half_callers_are_bounded_in_number_and_time() {
    let mut listener = Listener::new();
    let mut silent: Vec<Client> = (0..24).map(|_| listener.connect()).collect();
    listener.holding(24);
    for caller in silent.iter_mut().skip(12) {
        caller.write_through(&CALL[..20]);
    }
    // One more has its answer; the one that was there first makes room.
    listener.now = 3900.0;
    let mut late = listener.connect();
    late.write_through(CALL);
    listener.until(|_| late.has_more());
    assert_eq!(late.read().0, 200);
    assert_eq!(listener.admin.callers(), 24);
    assert!(silent[0].is_ended(), "the oldest");
    assert!(!silent[1].has_more());
    // A half call may still become whole, ...
    silent[23].write_through(&CALL[20..]);
    let last = &mut silent[23];
    listener.until(|_| last.has_more());
    assert_eq!(last.read().0, 200);
    // ... and the rest have had their time.
    assert_eq!(listener.admin.next_due(), Some(4000.0));
    listener.now = 4000.0;
    listener.until(|admin| admin.callers() <= 2);
    assert!(silent[1].is_ended() && silent[22].is_ended());
}

#[test]
fn the_program_says_yes_until_it_ends_and_nothing_else_tells_of_it() {
    let folder = Folder::new("admin-ready");
    let nodes = [node(), node()];
    let (discovery, _tell, _asked) = discovery();
    let servers = format!("{},{}", entry(&nodes, 0, "in_service"), entry(&nodes, 1, "in_service"));
    let text = with_admin(&config("127.0.0.1:0", discovery, &servers), "127.0.0.1:0");
    let program = Program::start(&[], Some(&folder.write("config.json", &text)));
    let (clients, operators) = (program.address(), program.address());
    let call = || Client::new(operators).ask("GET", "/_ready", "", "").0;
    assert_eq!(call(), 200);
    assert_eq!(Client::new(clients).ask("GET", "/_ready", "", "").0, 404, "clients are told nothing");
    // A query keeps the program there after the order to end.
    nodes[0].mood(Mood::Silent);
    nodes[1].mood(Mood::Silent);
    let mut asks = Client::new(clients);
    asks.write_through(&request("view", 1, &[0]));
    while nodes.iter().all(|node| node.count() == 0) {
        std::thread::yield_now();
    }
    program.signal("TERM");
    let until = Instant::now() + SOON;
    while call() == 200 {
        assert!(Instant::now() < until, "the order to end is told");
    }
    assert_eq!(call(), 503);
}

#[test]
fn an_address_that_can_not_be_used_is_named() {
    let folder = Folder::new("admin-address");
    let sound = config("127.0.0.1:0", "127.0.0.1:1".parse().expect("an address"), "");
    let path = folder.write("config.json", &with_admin(&sound, "nowhere"));
    let mut program = Program::start(&[], Some(&path));
    assert!(program.line("steppick: ").contains("`admin_addr` is no address: `nowhere`"));
    assert_eq!(program.ends(), Some(1));
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = taken.local_addr().expect("an address").to_string();
    let path = folder.write("config.json", &with_admin(&sound, &address));
    let mut program = Program::start(&[], Some(&path));
    assert!(program.line("steppick: ").contains(&format!("can't listen for operators on {address}")));
    assert_eq!(program.ends(), Some(1));
}
