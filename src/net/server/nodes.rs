//! The pool of connections to book nodes.

use super::{Node, Server, MOST_SILENT, SILENCE, TURN_READ};
use crate::core::{AttemptId, Input};
use crate::interface::*;
use crate::net::node::{NodeConn, NodeState, Purpose};
use crate::net::{connect, read_all, Dialect, Key, NodeReply, PeerError, Watched};
use std::collections::BTreeSet;
use std::io::{self, Write};

impl<D: Dialect> Server<D> {
    /// A connection to the replica with room for one more call; opens one where there is none.
    pub(super) fn node_for(&mut self, replica: ReplicaId, now: Ms) -> Option<u64> {
        let addr = *self.addrs.get(&replica)?;
        let (streams, retire) = (self.limits.streams, self.retire_after());
        let limit = self.silence_limit();
        let fits = |node: &Node| {
            node.replica == replica && node.addr == addr && node.conn.has_room(streams, retire, now)
        };
        let fit = self.nodes.iter().filter(|(_, node)| fits(node));
        let best = fit.min_by_key(|(_, node)| {
            (node.conn.silent_for(now) > limit, node.conn.state() != NodeState::Open, node.conn.load())
        });
        let best = best.map(|(key, node)| (*key, node.conn.silent_for(now) > limit));
        if let Some((key, false)) = best {
            return Some(key);
        }
        // All are silent, or there is none. A node that hangs whole must not eat up the descriptors.
        let held = self.nodes.values().filter(|node| node.replica == replica).count();
        if best.is_some() && held >= MOST_SILENT {
            return best.map(|(key, _)| key);
        }
        if self.nodes.len() >= self.allowed().nodes {
            let idle = self.nodes.iter().find(|(_, node)| node.conn.is_idle()).map(|(key, _)| *key);
            let Some(idle) = idle else { return best.map(|(key, _)| key) };
            self.close_node(idle, "making room");
        }
        let key = self.new_key();
        let socket = connect(addr).ok()?;
        let link = Watched::new(&self.handle, self.number, Key::Node(key), socket).ok()?;
        self.nodes.insert(key, Node { link, conn: NodeConn::new(now), replica, addr });
        Some(key)
    }

    /// How long a connection may be silent before it is held for lost: some usual answers' time, and no less
    /// than a connection may take to come up. Where it carries one call at a time, that call may just be slow.
    pub(super) fn silence_limit(&self) -> Ms {
        if self.limits.streams == 1 {
            return f64::INFINITY;
        }
        (SILENCE * self.core.answer_time()).max(self.limits.dial_timeout)
    }

    /// A node was heard on one connection: those of its others that are silent by now are overtaken.
    fn overtake(&mut self, key: u64, now: Ms) {
        let limit = self.silence_limit();
        let Some(heard) = self.nodes.get(&key).map(|node| (node.replica, node.addr)) else { return };
        for (other, node) in &mut self.nodes {
            let silent = node.conn.silent_for(now) > limit && (node.replica, node.addr) == heard;
            if *other != key && silent {
                node.conn.overtaken.get_or_insert(now);
            }
        }
    }

    pub(super) fn serve_node(&mut self, key: u64, now: Ms) {
        let Some(node) = self.nodes.get_mut(&key) else { return };
        if let NodeState::Connecting(_) = node.conn.state() {
            match node.link.socket.take_error() {
                Ok(None) if node.link.socket.peer_addr().is_ok() => node.conn.connected(now),
                Ok(None) => return,
                _ => return self.close_node(key, "could not connect"),
            }
        }
        if self.hear_node(key, now) {
            self.write_node(key, now);
        }
    }

    /// Reads what has come on a node's connection; false if it is closed then.
    fn hear_node(&mut self, key: u64, now: Ms) -> bool {
        let Some(node) = self.nodes.get_mut(&key) else { return false };
        let mut bytes = Vec::new();
        let ended = read_all(&node.link.socket, TURN_READ, &mut bytes);
        node.conn.received(&bytes, now);
        if let Err(why) = self.take_replies(key, now) {
            self.core.counters.bad_frames += 1;
            self.close_node(key, &why.to_string());
            return false;
        }
        if ended {
            self.close_node(key, "closed by the node");
            return false;
        }
        if bytes.len() >= TURN_READ {
            self.unread.push(Key::Node(key));
        }
        true
    }

    /// Takes the whole replies off a connection's input.
    fn take_replies(&mut self, key: u64, now: Ms) -> Result<(), PeerError> {
        let mut heard = false;
        while let Some(node) = self.nodes.get_mut(&key) {
            let Some(reply) = self.dialect.reply(&mut node.conn.input)? else { break };
            node.conn.heard(now);
            heard = true;
            match reply {
                NodeReply::Load(outcome, report) => {
                    if node.conn.probe_answered(now) {
                        self.inputs.push(Input::Probed(node.replica, outcome, report));
                    }
                }
                NodeReply::Part(name, end, last) => {
                    if last {
                        node.conn.retire();
                    }
                    let Some(Purpose::Part(id, _)) = node.conn.answered(name.as_deref(), now) else {
                        continue;
                    };
                    self.placed.remove(&id);
                    self.inputs.push(match end {
                        Ok((score, value)) => Input::Served(id, score, value),
                        Err(outcome) => Input::Ended(id, outcome),
                    });
                }
            }
        }
        if heard {
            self.overtake(key, now);
        }
        Ok(())
    }

    pub(super) fn write_node(&mut self, key: u64, now: Ms) {
        let Some(node) = self.nodes.get_mut(&key) else { return };
        if !self.core.may_send_to(node.replica) {
            // The news came in this turn: its effect is then still to come.
            let (replica, dropped) = (node.replica, node.conn.drop_unsent(now));
            dropped.into_iter().for_each(|purpose| self.end_call(replica, purpose, Outcome::NotSent));
        }
        let Some(node) = self.nodes.get_mut(&key) else { return };
        while !matches!(node.conn.state(), NodeState::Connecting(_)) && !node.conn.output().is_empty() {
            match (&*node.link.socket).write(node.conn.output()) {
                Ok(count) if count > 0 => {
                    let before = node.conn.attempts_written;
                    let whole = node.conn.wrote(count, now);
                    self.core.counters.written += node.conn.attempts_written - before;
                    if let Some((id, query)) = whole.and_then(|id| Some((id, self.placed.get(&id)?.1))) {
                        self.trail.wrote(query, id.number, now);
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                _ => return self.close_node(key, "broke while writing"),
            }
        }
    }

    /// Closes a node's connection; what was on it ends by whether its last byte was written.
    pub(super) fn close_node(&mut self, key: u64, why: &str) {
        let Some(mut node) = self.nodes.remove(&key) else { return };
        let lost = node.conn.broken();
        if !lost.is_empty() {
            tracing::debug!("node {}: {why}, {} calls lost", node.replica.0, lost.len());
        }
        for (purpose, outcome) in lost {
            self.end_call(node.replica, purpose, outcome);
        }
    }

    pub(super) fn end_call(&mut self, replica: ReplicaId, purpose: Purpose, outcome: Outcome) {
        match purpose {
            Purpose::Part(id, _) => {
                self.placed.remove(&id);
                self.inputs.push(Input::Ended(id, outcome));
            }
            Purpose::Probe(_) => self.inputs.push(Input::Probed(replica, outcome, Report::default())),
            Purpose::Other => {}
        }
    }

    pub(super) fn push(
        &mut self,
        replica: ReplicaId,
        purpose: Purpose,
        bytes: Vec<u8>,
        now: Ms,
        touched: &mut BTreeSet<u64>,
    ) -> Option<u64> {
        // A node may have closed a resting connection in this very moment: what is written to it would end as if it
        // may have run.
        let key = loop {
            let Some(key) = self.node_for(replica, now) else {
                self.end_call(replica, purpose, Outcome::NoRoute);
                return None;
            };
            let rests = self.nodes.get(&key).is_some_and(|node| node.conn.rests());
            if !rests || self.hear_node(key, now) {
                break key;
            }
        };
        if let Some(node) = self.nodes.get_mut(&key) {
            node.conn.push(purpose, bytes, now);
            touched.insert(key);
        }
        Some(key)
    }

    /// Reads what has come in from where the earlier attempts of a late copy are out; tells whether the part is in
    /// by now. Its answer may have come since the loop gathered, and the copy would cross it.
    pub(super) fn is_late(&mut self, copy: AttemptId, now: Ms) -> bool {
        for number in 0..copy.number {
            let earlier = self.placed.get(&AttemptId { number, ..copy }).map(|placed| placed.0);
            earlier.into_iter().for_each(|key| self.serve_node(key, now));
        }
        self.inputs.iter().any(|input| matches!(input, Input::Served(id, ..) if id.part == copy.part))
    }
}
