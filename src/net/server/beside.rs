//! One coordinator in two processes, for as long as a new one replaces an old one: what they hold counts together.

use super::{Server, Sockets};
use crate::interface::Ms;
use crate::net::shared::{ProcessState, SharedFiles, RENEW};
use crate::net::{Clock, Dialect};
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

/// Clients that a process may always hold beside another one: descriptors kept in reserve cover them.
const LEAST_CLIENTS: usize = 16;
/// How long the queue of a listener that gets no more connections must have been empty before it closes, ms. A connection
/// that is just being set up counts for the listener that it began with.
const QUEUE_EMPTY: Ms = 100.0;

/// What this process shares with another one.
pub(super) struct Beside {
    files: SharedFiles,
    own: ProcessState,
    unix_start: Ms,
    renew_at: Ms,
    /// The other process, as it was lately.
    pub(super) other: Option<ProcessState>,
}

impl Beside {
    /// Whether the other process has come to replace this one.
    fn has_successor(&self) -> bool {
        let successor = |other: &ProcessState| other.is_serving && !other.is_ending;
        self.other.filter(successor).is_some_and(|other| other.started_at > self.own.started_at)
    }
}

impl<D: Dialect> Server<D> {
    /// Tells another process at the same address, through files in this folder, what this one holds, and reads what that
    /// one does.
    pub fn share(&mut self, folder: &Path, clock: Clock) {
        let now = clock.now();
        let unix_now = clock.unix_start() + now;
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64;
        let id = nanos ^ u64::from(std::process::id()).rotate_left(32);
        let Some(files) = SharedFiles::open(folder, self.address, id, unix_now) else {
            return tracing::warn!(
                "two processes serve this address already; their shares are not kept here"
            );
        };
        let (is_serving, is_ending, is_directed) = (false, false, self.is_directed);
        let (started_at, written_at, clients, nodes, open) = (unix_now, unix_now, 0, 0, 0);
        let own = ProcessState {
            id,
            started_at,
            written_at,
            is_serving,
            is_ending,
            is_directed,
            clients,
            nodes,
            open,
        };
        let unix_start = clock.unix_start();
        self.beside = Some(Beside { files, own, unix_start, renew_at: now, other: None });
        self.exchange(now);
    }

    /// Renews what this process says and reads what the other one does.
    pub(super) fn exchange(&mut self, now: Ms) {
        let (clients, nodes, open) = (self.clients.len(), self.nodes.len(), self.core.open());
        let (is_serving, is_ending) = (self.core.can_serve(), self.ending_since.is_some());
        let Some(beside) = &mut self.beside else { return };
        let (written_at, id) = (beside.unix_start + now, beside.own.id);
        beside.own = ProcessState { written_at, is_serving, is_ending, clients, nodes, open, ..beside.own };
        beside.renew_at = now + RENEW;
        if let Err(why) = beside.files.write(&beside.own) {
            tracing::debug!("what this process holds can't be told to another one: {why}");
        }
        let had = beside.other.is_some();
        beside.other = beside.files.other(written_at).filter(|other| other.id != id);
        let other = beside.other;
        if had != other.is_some() {
            let text = if had { "serves alone again" } else { "serves beside another process" };
            tracing::info!("{text}");
        }
        if is_ending && !self.is_replaced && beside.has_successor() {
            self.is_replaced = true;
            tracing::info!("ends, another process has taken its place");
        }
        self.core.share(1 + usize::from(other.is_some()), other.map_or(0, |other| other.open));
    }

    /// When the files are next looked at.
    pub(super) fn exchange_due(&self) -> Option<Ms> {
        self.beside.as_ref().map(|beside| beside.renew_at)
    }

    /// What this process may hold now: all, or beside another one what that one leaves of the clients, and half of the
    /// connections to nodes.
    pub fn allowed(&self) -> Sockets {
        let all = self.sockets;
        let Some(other) = self.beside.as_ref().and_then(|beside| beside.other) else { return all };
        let clients = all.clients.saturating_sub(other.clients).max(LEAST_CLIENTS.min(all.clients));
        Sockets { clients, nodes: all.nodes.div_ceil(2) }
    }

    /// Lets go of connections at rest beyond what this process may hold.
    pub(super) fn keep_to_share(&mut self, now: Ms) {
        if self.beside.as_ref().is_none_or(|beside| beside.other.is_none()) {
            return;
        }
        let half = self.sockets.clients.div_ceil(2);
        while self.clients.len() > half.max(self.allowed().clients) {
            let Some(spare) = self.spare_client(now) else { break };
            let before = self.clients.len();
            self.close_idle(spare, now);
            if self.clients.len() == before {
                break;
            }
        }
        while self.nodes.len() > self.allowed().nodes {
            let idle = self.nodes.iter().find(|(_, node)| node.conn.is_idle()).map(|(key, _)| *key);
            let Some(idle) = idle else { break };
            self.close_node(idle, "another process serves too");
        }
    }

    /// Closes the listener of a process that was replaced, once its queue is empty and stays so.
    pub(super) fn close_listener(&mut self, now: Ms) {
        let Some(since) = self.ending_since.filter(|_| self.is_replaced) else { return };
        // Where connections are spread over both listeners, the queue is never safer than right after it was empty.
        let stays_empty = !self.is_directed || now - since >= QUEUE_EMPTY;
        if !self.accept_again && stays_empty {
            self.listener = None;
        }
    }
}
