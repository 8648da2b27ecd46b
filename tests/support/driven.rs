//! The platform's front on real sockets, its loop under the test's own hand: a turn is told what is ready, so bytes can
//! lie in the system that the loop has not gathered, as they do when they come in the very moment of a close.

use std::net::SocketAddr;
use std::time::Duration;
use steppick::net::{Clock, Gathered, Key, Loop, Served, Server};
use steppick::platform::config::Config;
use steppick::platform::Platform;

pub struct Driven {
    event_loop: Loop,
    pub server: Server<Platform>,
    pub now: f64,
}

impl Driven {
    /// A front with this configuration, at time 0.
    pub fn new(config: &str) -> Driven {
        let event_loop = Loop::try_new().expect("a loop");
        let config = Config::read(config).expect("a configuration");
        let server = config.server(&event_loop, Clock::start(), 0, 1).expect("a server");
        Driven { event_loop, server, now: 0.0 }
    }

    pub fn address(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// One turn, so much later, in which these are ready and nothing else is known to be.
    pub fn turn(&mut self, later: f64, ready: &[Key]) {
        self.now += later;
        let ready: Vec<(usize, Key)> = ready.iter().map(|key| (0, *key)).collect();
        self.server.turn(self.now, &ready);
    }

    /// Turns with all that is ready, at the same time, until that holds.
    pub fn until(&mut self, mut holds: impl FnMut(&mut Driven) -> bool) {
        let until = std::time::Instant::now() + super::hand::SOON;
        while !holds(self) {
            assert!(std::time::Instant::now() < until, "it does not come to hold");
            self.round();
        }
    }

    /// One turn with all that is ready, at the same time.
    pub fn round(&mut self) {
        let mut gathered = Gathered::default();
        self.event_loop.dispatch(Duration::from_millis(1), &mut gathered).expect("the loop");
        self.server.turn(self.now, &gathered.ready);
    }
}
