//! Links that this side dials, and dials again when they end.

use std::net::SocketAddrV4;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout, Instant};

use crate::link::{run, LinkEvent, LinkTiming};

/// Longest time for a connection to come up.
const CONNECT: Duration = Duration::from_millis(600);
/// Wait before the first new attempt; doubled with each that fails.
const FIRST_WAIT: Duration = Duration::from_millis(50);
const LONGEST_WAIT: Duration = Duration::from_millis(500);
/// A link that lasted so long makes the next wait short again.
const LASTED: Duration = Duration::from_secs(2);

/// Keeps a link up; dropping it ends the link.
#[derive(Debug)]
pub struct Dialer {
    task: JoinHandle<()>,
}

impl Drop for Dialer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Keeps a link to `address` up until the dialer is dropped. Waits are drawn around their length, so that many
/// processes don't come back at the same moment. Needs a running `LocalSet` or runtime.
pub fn dial(address: SocketAddrV4, timing: LinkTiming, seed: u64, events: mpsc::Sender<LinkEvent>) -> Dialer {
    Dialer { task: tokio::spawn(keep_up(address, timing, seed, events)) }
}

async fn keep_up(address: SocketAddrV4, timing: LinkTiming, seed: u64, events: mpsc::Sender<LinkEvent>) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut wait = FIRST_WAIT;
    loop {
        let began = Instant::now();
        if let Ok(Ok(stream)) = timeout(CONNECT, TcpStream::connect(address)).await {
            if run(stream, Some(address), timing, &events).await.is_err() {
                return;
            }
        }
        wait = if began.elapsed() >= LASTED { FIRST_WAIT } else { (wait * 2).min(LONGEST_WAIT) };
        sleep(wait.mul_f64(random.random_range(0.5..1.0))).await;
    }
}
