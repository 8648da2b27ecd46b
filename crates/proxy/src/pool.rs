//! Connections to replicas that rest between requests. The replica's limit on connections is for all callers together,
//! so only few rest here.

use crate::connection::Connection;
use dispatch::{Ms, ReplicaNumber};
use std::collections::HashMap;

/// Most connections that rest for one replica.
const MOST_RESTING: usize = 8;
/// How long a connection rests if the replica does not tell its time: those who tell none may close within a second.
const UNTOLD: Ms = 500.0;
/// How long before the replica closes a resting connection it is given up here.
const MARGIN: Ms = 600.0;
/// Longest rest.
const LONGEST: Ms = 20_000.0;

#[derive(Debug)]
struct Resting {
    connection: Connection,
    until: Ms,
}

/// The resting connections by replica.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    resting: HashMap<ReplicaNumber, Vec<Resting>>,
}

impl Pool {
    /// A connection to a replica that rested and is still sound; the newest first.
    pub fn take(&mut self, replica: ReplicaNumber, now: Ms) -> Option<Connection> {
        let resting = self.resting.get_mut(&replica)?;
        while let Some(newest) = resting.pop() {
            if newest.until > now && newest.connection.is_quiet() {
                return Some(newest.connection);
            }
        }
        None
    }

    /// Lays a connection to rest. The replica told to close it after `keep_alive` seconds of rest, if it told.
    pub fn put(
        &mut self,
        replica: ReplicaNumber,
        mut connection: Connection,
        keep_alive: Option<u64>,
        now: Ms,
    ) {
        let told = keep_alive.map(|seconds| seconds as Ms * 1000.0 - MARGIN);
        let rest = told.unwrap_or(UNTOLD).min(LONGEST);
        let resting = self.resting.entry(replica).or_default();
        if rest <= 0.0 || resting.len() >= MOST_RESTING {
            return;
        }
        connection.rest();
        resting.push(Resting { connection, until: now + rest });
    }

    /// Drops what has rested long enough, and all of replicas that `keep` does not hold.
    pub fn clean(&mut self, now: Ms, keep: impl Fn(ReplicaNumber) -> bool) {
        self.resting.retain(|replica, resting| {
            resting.retain(|connection| connection.until > now);
            !resting.is_empty() && keep(*replica)
        });
    }
}
