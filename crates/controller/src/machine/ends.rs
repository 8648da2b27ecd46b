//! Ends of replicas, joined to the disk and the other controllers.

use std::net::SocketAddrV4;

use peer::{Ends, Message, ReplicaState, Replicas, Text};
use process::Event;

use crate::event::ControllerEvent;
use crate::machine::{CallId, Effect, Machine, Moment};
use crate::Millis;

impl Machine {
    /// A replica says that it ends. It is told to all at once, and acknowledged when a majority keeps it.
    pub(crate) fn replica_leaves(&mut self, at: Moment, call: CallId, id: String) {
        if self.view.replicas.leave(at.now, &id) {
            ControllerEvent::ReplicaLeft.info(format_args!("replica {id} left"));
        }
        self.ends.want(at.now, at.wall_ms, &id);
        self.barrier.hold_end(at.now, call, id);
    }

    /// Takes records of replicas. What others know to have ended is written here, too: a machine that came back without its
    /// disk may be the only one left after the next loss.
    pub(crate) fn take_replicas(&mut self, at: Moment, replicas: &Replicas) {
        self.view.take_replicas(at.now, replicas);
        let ended = replicas.records.iter().filter(|record| record.state == ReplicaState::Gone);
        self.ends.take_all(at.wall_ms, ended.map(|record| record.id.as_str()));
    }

    /// Another controller is to acknowledge these ends, and asks that they be kept here.
    pub(crate) fn asked_to_keep(&mut self, at: Moment, from: SocketAddrV4, ends: &Ends) {
        for id in &ends.ids {
            self.view.replicas.leave(at.now, id.as_str());
            self.ends.asked(from, at.wall_ms, id.as_str());
        }
    }

    pub(crate) fn ends_kept(&mut self, from: SocketAddrV4, ends: &Ends) {
        for id in &ends.ids {
            self.ends.kept_by(from, id.as_str());
        }
    }

    /// Writes what is new, and tells and asks the other controllers.
    pub(crate) fn keep_ends(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if let Some((token, record)) = self.ends.write(now) {
            out.push(Effect::WriteEnds { token, record });
        }
        for (to, ids) in self.ends.answers() {
            self.send_peer(to, Message::EndsKept(to_message(&ids)), out);
        }
        let peers = self.peers.linked();
        for (to, ids) in self.ends.requests(now, &peers) {
            self.send_peer(to, Message::KeepEnds(to_message(&ids)), out);
        }
    }

    /// Whether a majority of the acceptors' machines keeps an end. One of an earlier release keeps none on disk: it counts
    /// as it did before, by the barrier alone.
    pub(crate) fn is_end_kept(&self, id: &str) -> bool {
        let members = self.set_addresses();
        let is_kept = |member: &&SocketAddrV4| {
            if **member == self.me.peer {
                self.ends.is_on_disk(id)
            } else {
                self.ends.is_kept_by(**member, id) || self.peers.keeps_no_ends(**member)
            }
        };
        members.iter().filter(is_kept).count() > members.len() / 2
    }
}

fn to_message(ids: &[String]) -> Ends {
    Ends::from(ids.iter().map(|id| Text::from(id.as_str())).collect::<Vec<_>>())
}
