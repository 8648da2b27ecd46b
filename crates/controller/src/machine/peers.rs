//! What passes between controllers.

use process::Event;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use catalog::{Beat, WeightsReport};
use feed::{report_from_wire, report_to_wire, ReplicaFeed, View};
use membership::Status;
use peer::{Beats, Message, WeightsReports};
use register::message as register_message;
use register::{Input as RegisterInput, RegisterMessage};

use crate::event::ControllerEvent;
use crate::machine::{Effect, Machine, Moment};
use crate::Millis;

/// A member of the acceptor set that was never heard counts as out of reach after so long.
const UNHEARD_MS: Millis = 2_000;

/// Least time between two messages to another controller on replicas that are ready.
const READY_EVERY_MS: Millis = 20;

/// Why a member of the acceptor set is not there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Absence {
    /// It does not answer.
    OutOfReach,
    /// It said that it ends.
    Left,
}

/// What one other controller is still to be sent.
#[derive(Debug)]
struct PeerFeed {
    replicas: ReplicaFeed,
    /// Numbers of heartbeats and reports between them: they go behind the records of what the heartbeats told, so that
    /// whoever knows a number knows what was told under it.
    beats: Vec<Beat>,
    reports: Vec<WeightsReport>,
}

impl PeerFeed {
    fn new() -> PeerFeed {
        PeerFeed { replicas: ReplicaFeed::of_home(READY_EVERY_MS), beats: Vec::new(), reports: Vec::new() }
    }

    /// The messages that are due.
    fn messages(&mut self, now: Millis, view: &View) -> Vec<Message> {
        let mut messages = self.replicas.messages(now, view);
        if !self.replicas.is_up_to_date(view) {
            return messages;
        }
        if !self.reports.is_empty() {
            let reports = self.reports.drain(..).map(|report| report_to_wire(&report));
            messages.push(Message::WeightsReports(WeightsReports::from(reports.collect::<Vec<_>>())));
        }
        if !self.beats.is_empty() {
            let beats = self.beats.drain(..);
            let beats = beats.map(|one| peer::Beat { id: one.id.as_str().into(), beat: one.beat });
            messages.push(Message::Beats(Beats::from(beats.collect::<Vec<_>>())));
        }
        messages
    }
}

/// The links to other controllers that are up.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    links: BTreeMap<SocketAddrV4, PeerFeed>,
    /// The version of the protocol that each one spoke last.
    protocols: BTreeMap<SocketAddrV4, u16>,
}

impl Peers {
    pub fn up(&mut self, peer: SocketAddrV4) {
        self.links.insert(peer, PeerFeed::new());
    }

    /// When a message that is held back is due.
    pub fn deadline(&self, view: &View) -> Millis {
        self.links.values().map(|feed| feed.replicas.deadline(view)).min().unwrap_or(Millis::MAX)
    }

    /// Has heartbeats told of that were heard here.
    pub fn tell_beats(&mut self, beats: &[Beat]) {
        self.links.values_mut().for_each(|feed| feed.beats.extend_from_slice(beats));
    }

    /// Has a report told of that was read here.
    pub fn tell_report(&mut self, report: &WeightsReport) {
        self.links.values_mut().for_each(|feed| feed.reports.push(report.clone()));
    }

    pub fn down(&mut self, peer: SocketAddrV4) {
        self.links.remove(&peer);
    }

    pub fn hello(&mut self, peer: SocketAddrV4, protocol: u16) {
        self.protocols.insert(peer, protocol);
    }

    /// The controllers to which links are up.
    pub fn linked(&self) -> Vec<SocketAddrV4> {
        self.links.keys().copied().collect()
    }

    /// Whether some controller is of a release that knows no releases of services.
    pub fn knows_no_releases(&self) -> bool {
        let of_linked = self.protocols.iter().filter(|(peer, _)| self.links.contains_key(*peer));
        of_linked.into_iter().any(|(_, protocol)| *protocol < peer::TELLS_RELEASES)
    }

    /// Whether a controller is of a release that keeps no ends on disk.
    pub fn keeps_no_ends(&self, peer: SocketAddrV4) -> bool {
        self.protocols.get(&peer).is_some_and(|protocol| *protocol < peer::KEEPS_ENDS)
    }
}

/// Every controller to which a link is up has been sent all records of replicas that drain or have ended, up to a change.
/// Only [`Machine::feed_peers`] makes one; whoever sends a digest as proof that records were heard has to show it.
#[derive(Debug)]
pub(crate) struct RecordsSent {
    change: u64,
}

impl RecordsSent {
    /// Whether nothing has changed since.
    pub fn is_complete(&self, view: &View) -> bool {
        self.change == view.replicas.last_change()
    }
}

impl Machine {
    pub(crate) fn peer_message(
        &mut self,
        at: Moment,
        from: SocketAddrV4,
        message: Message,
        out: &mut Vec<Effect>,
    ) {
        match message {
            Message::Register(blob) => match register_message::decode(&blob.bytes) {
                Ok((message, _)) => self.register(at, RegisterInput::Received { from, message }, out),
                Err(why) => ControllerEvent::RegisterMessage.warn(format_args!("from {from}: {why}")),
            },
            Message::Membership(blob) => match membership::decode(&blob.bytes) {
                Ok(message) => {
                    for send in self.membership.receive(at.now, from, message) {
                        self.send_membership(send, out);
                    }
                }
                Err(why) => ControllerEvent::MembershipMessage.warn(format_args!("from {from}: {why}")),
            },
            Message::Software(software) => self.view.take_software(&software),
            Message::Replicas(replicas) => {
                self.take_replicas(at, &replicas);
            }
            Message::Beats(beats) => {
                let heard = beats.heard.iter();
                let heard: Vec<Beat> =
                    heard.map(|one| Beat { id: one.id.as_str().to_string(), beat: one.beat }).collect();
                self.view.replicas.peer_beats(at.now, &heard);
            }
            Message::WeightsReports(told) => {
                for report in &told.reports {
                    self.view.replicas.take_report(&report_from_wire(report));
                }
            }
            Message::Loads(news) => self.loads.peer_told(at.now, from, &news),
            Message::KeepEnds(ends) => self.asked_to_keep(at, from, &ends),
            Message::EndsKept(ends) => self.ends_kept(from, &ends),
            _ => {}
        }
    }

    pub(crate) fn send_peer(&self, to: SocketAddrV4, message: Message, out: &mut Vec<Effect>) {
        if self.peers.links.contains_key(&to) {
            out.push(Effect::SendPeer { to, message });
        }
    }

    pub(crate) fn send_register(&self, to: SocketAddrV4, message: &RegisterMessage, out: &mut Vec<Effect>) {
        self.send_peer(to, Message::Register(register_message::encode(message).into()), out);
    }

    pub(crate) fn send_membership(&self, send: membership::Send, out: &mut Vec<Effect>) {
        match membership::encode(&send.message) {
            Ok(bytes) => self.send_peer(send.to, Message::Membership(bytes.into()), out),
            Err(why) => ControllerEvent::MembershipUnsendable.error(format_args!("{why}")),
        }
    }

    /// Has the other controllers told which replicas were heard here.
    pub(crate) fn tell_beats(&mut self) {
        let beats = self.view.replicas.take_beats();
        self.peers.tell_beats(&beats);
    }

    /// Tells the other controllers what is new of replicas and of their load.
    pub(crate) fn feed_peers(&mut self, now: Millis, out: &mut Vec<Effect>) -> RecordsSent {
        if let Some(message) = self.loads.for_peers(now, &self.moves) {
            for to in self.peers.links.keys() {
                out.push(Effect::SendPeer { to: *to, message: message.clone() });
            }
        }
        for (to, feed) in &mut self.peers.links {
            let messages = feed.messages(now, &self.view).into_iter();
            out.extend(messages.map(|message| Effect::SendPeer { to: *to, message }));
        }
        RecordsSent { change: self.view.replicas.last_change() }
    }

    /// Tells the register which members are out of reach, which have left, and which are back.
    pub(crate) fn compare_membership(&mut self, at: Moment, out: &mut Vec<Effect>) {
        for address in self.set_addresses() {
            if address == self.me.peer {
                continue;
            }
            let absence = self.absence(at.now, address);
            if absence == self.absent.get(&address).copied() {
                continue;
            }
            let input = match absence {
                Some(Absence::Left) => {
                    ControllerEvent::ControllerAbsent.info(format_args!("controller {address} ends"));
                    RegisterInput::PeerLeft { address }
                }
                Some(Absence::OutOfReach) => {
                    ControllerEvent::ControllerAbsent
                        .warn(format_args!("controller {address} is out of reach"));
                    RegisterInput::PeerSuspected { address }
                }
                None => {
                    ControllerEvent::ControllerBack.info(format_args!("controller {address} is back"));
                    RegisterInput::PeerReachable { address }
                }
            };
            match absence {
                Some(absence) => self.absent.insert(address, absence),
                None => self.absent.remove(&address),
            };
            self.register(at, input, out);
        }
    }

    fn absence(&self, now: Millis, address: SocketAddrV4) -> Option<Absence> {
        let known = self.membership.known().find(|update| update.member.peer == address);
        match known.map(|update| update.status) {
            Some(Status::Left) => Some(Absence::Left),
            Some(_) => self.membership.absent_since(address).map(|_| Absence::OutOfReach),
            None => (now >= self.started + UNHEARD_MS).then_some(Absence::OutOfReach),
        }
    }
}
