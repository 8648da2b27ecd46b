//! Links that this side dials, and dials again when they end.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, Notify};
use tokio::task::JoinHandle;
use tokio::time::{timeout, Instant};

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
    reachable: Arc<Notify>,
}

impl Dialer {
    /// The peer was heard from: an attempt that hangs and the wait for the next one end at once. For a link that is
    /// down; a link that is up stays.
    pub fn dial_now(&self) {
        self.reachable.notify_one();
    }
}

impl Drop for Dialer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Keeps a link to `address` up until the dialer is dropped. Waits are drawn around their length, so that many
/// processes don't come back at the same moment. Needs a running `LocalSet` or runtime.
pub fn dial(address: SocketAddrV4, timing: LinkTiming, seed: u64, events: mpsc::Sender<LinkEvent>) -> Dialer {
    let reachable = Arc::new(Notify::new());
    let task = tokio::spawn(keep_up(address, timing, seed, events, reachable.clone()));
    Dialer { task, reachable }
}

async fn keep_up(
    address: SocketAddrV4,
    timing: LinkTiming,
    seed: u64,
    events: mpsc::Sender<LinkEvent>,
    reachable: Arc<Notify>,
) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut wait = FIRST_WAIT;
    loop {
        let began = Instant::now();
        let connected = tokio::select! {
            connected = timeout(CONNECT, TcpStream::connect(address)) => connected,
            () = reachable.notified() => continue,
        };
        if let Ok(Ok(stream)) = connected {
            if run(stream, Some(address), timing, &events).await.is_err() {
                return;
            }
        }
        wait = if began.elapsed() >= LASTED { FIRST_WAIT } else { (wait * 2).min(LONGEST_WAIT) };
        let pause = wait.mul_f64(random.random_range(0.5..1.0));
        // The peer's word in time is worth an attempt at once.
        let _ = timeout(pause, reachable.notified()).await;
    }
}
