//! The protocol: whom to probe, when to ask for a second opinion, when to suspect and to give up.

use std::net::SocketAddrV4;

use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::SeedableRng;

use crate::errands::{Errand, Errands};
use crate::gossip::Gossip;
use crate::table::{Table, Taken};
use crate::timing::Timing;
use crate::{Member, Message, Millis, Status, Update};

/// Third parties asked for a second opinion.
const SECOND_OPINIONS: usize = 3;
/// Other members' suspicions that make one as short as it gets.
const CONFIRMATIONS: usize = 2;
/// How far the probes' times are stretched when this member itself seems slow.
const MOST_SLOWNESS: u64 = 4;

/// A message to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Send {
    pub to: SocketAddrV4,
    pub message: Message,
}

/// A probe under way.
#[derive(Debug, Clone)]
struct Pending {
    number: u64,
    target: SocketAddrV4,
    ask_others_at: Millis,
    give_up_at: Millis,
    /// Third parties that were asked for a second opinion; `None` before that is due. There may be none to ask.
    asked: Option<usize>,
    /// Third parties that said at least that they are there.
    without_answer: usize,
}

/// One controller's part in the protocol.
#[derive(Debug, Clone)]
pub struct Membership {
    timing: Timing,
    me: Update,
    seeds: Vec<SocketAddrV4>,
    table: Table,
    gossip: Gossip,
    random: SmallRng,
    /// Members still to be probed in this turn.
    turn: Vec<SocketAddrV4>,
    pending: Option<Pending>,
    errands: Errands,
    next_number: u64,
    next_probe: Millis,
    next_retry: Millis,
    next_exchange: Millis,
    /// Grows when probes fail for reasons that may be this member's own.
    slowness: u64,
}

impl Membership {
    /// A member that knows the addresses of a few others, which may not be listening yet. `incarnation` has
    /// to be above that of earlier starts; the time of day will do, since a lower one is corrected.
    pub fn new(
        now: Millis,
        me: Member,
        incarnation: u64,
        seeds: &[SocketAddrV4],
        timing: Timing,
        seed: u64,
    ) -> Membership {
        Membership {
            timing,
            seeds: others_than(me.peer, seeds),
            me: Update { member: me, incarnation, status: Status::Alive },
            table: Table::default(),
            gossip: Gossip::default(),
            random: SmallRng::seed_from_u64(seed),
            turn: Vec::new(),
            pending: None,
            errands: Errands::default(),
            next_number: 1,
            next_probe: now,
            next_retry: now,
            next_exchange: now + timing.exchange,
            slowness: 0,
        }
    }

    /// The settings name other seeds: they are tried from now on, and those of before only if they are members.
    pub fn set_seeds(&mut self, seeds: &[SocketAddrV4]) {
        self.seeds = others_than(self.me.member.peer, seeds);
    }

    /// This member as the others should know it.
    pub fn me(&self) -> &Update {
        &self.me
    }

    /// The other members that are alive, as far as is known.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        let alive = self.table.updates().filter(|update| update.status == Status::Alive);
        alive.map(|update| &update.member)
    }

    /// All other members that are known.
    pub fn known(&self) -> impl Iterator<Item = &Update> {
        self.table.updates()
    }

    /// Since when a member has been out of reach (suspected, down or left); `None` while it is alive or if
    /// nothing is known of it.
    pub fn absent_since(&self, member: SocketAddrV4) -> Option<Millis> {
        self.table.get(member).and_then(|entry| entry.absent_since)
    }

    /// Addresses worth a connection: members and seeds.
    pub fn addresses(&self) -> Vec<SocketAddrV4> {
        let mut all = self.table.addresses(|_| true);
        all.extend(self.seeds.iter().copied());
        all.sort_unstable();
        all.dedup();
        all
    }

    /// Says to all members that this one ends.
    pub fn leave(&mut self) -> Vec<Send> {
        self.me.status = Status::Left;
        let to = self.table.addresses(|status| status == Status::Alive);
        let updates = vec![self.me.clone()];
        let message = Message::Exchange { reply: false, updates };
        to.into_iter().map(|to| Send { to, message: message.clone() }).collect()
    }

    /// Takes a message.
    pub fn receive(&mut self, now: Millis, from: SocketAddrV4, message: Message) -> Vec<Send> {
        if self.me.status == Status::Left {
            return Vec::new();
        }
        let stranger = self.table.get(from).is_none();
        for update in message.updates() {
            self.take(now, update);
        }
        let mut sends = self.respond(now, from, message);
        if stranger && self.table.get(from).is_some() {
            sends.push(Send { to: from, message: self.everything(true) });
        }
        sends
    }

    fn respond(&mut self, now: Millis, from: SocketAddrV4, message: Message) -> Vec<Send> {
        match message {
            Message::Probe { number, .. } => {
                let updates = self.news_for(from);
                vec![Send { to: from, message: Message::Answer { number, updates } }]
            }
            Message::Answer { number, .. } => self.answered(number),
            Message::ProbeFor { number, target, .. } => self.run_errand(now, from, number, target),
            Message::NoAnswer { number, .. } => {
                if let Some(pending) = self.pending.as_mut().filter(|pending| pending.number == number) {
                    pending.without_answer += 1;
                }
                Vec::new()
            }
            Message::Exchange { reply: true, .. } => {
                vec![Send { to: from, message: self.everything(false) }]
            }
            Message::Exchange { reply: false, .. } => Vec::new(),
        }
    }

    /// Does what has fallen due by `now`.
    pub fn tick(&mut self, now: Millis) -> Vec<Send> {
        if self.me.status == Status::Left {
            return Vec::new();
        }
        let mut sends = self.ask_third_parties(now);
        self.give_up_probe(now);
        self.give_up_suspects(now);
        sends.extend(self.report_errands(now));
        if now >= self.next_probe {
            self.next_probe = now + self.timing.period;
            sends.extend(self.probe_next(now));
        }
        if now >= self.next_retry {
            self.next_retry = now + self.timing.retry;
            sends.extend(self.try_absent());
        }
        if now >= self.next_exchange {
            self.next_exchange = now + self.timing.exchange;
            self.table.forget(now);
            sends.extend(self.exchange_with_one());
        }
        sends
    }

    /// The time by which `tick` should be called again.
    pub fn deadline(&self) -> Millis {
        let probe = self.pending.iter().map(|pending| {
            if pending.asked.is_none() {
                pending.ask_others_at
            } else {
                pending.give_up_at
            }
        });
        let errands = self.errands.deadline();
        let fixed = [self.next_probe, self.next_retry, self.next_exchange];
        fixed.into_iter().chain(probe).chain(errands).min().unwrap_or(self.next_probe)
    }

    fn probe_next(&mut self, now: Millis) -> Vec<Send> {
        if self.pending.is_some() {
            return Vec::new();
        }
        let Some(target) = self.next_in_turn() else { return Vec::new() };
        let number = self.number();
        let stretch = 1 + self.slowness;
        self.pending = Some(Pending {
            number,
            target,
            ask_others_at: now + self.timing.answer * stretch,
            give_up_at: now + self.timing.period * stretch,
            asked: None,
            without_answer: 0,
        });
        vec![self.probe(target, number)]
    }

    /// Members in an order that is drawn anew for each turn, so that each is probed once a turn.
    fn next_in_turn(&mut self) -> Option<SocketAddrV4> {
        let present = |status| matches!(status, Status::Alive | Status::Suspect { .. });
        for _ in 0..2 {
            while let Some(target) = self.turn.pop() {
                if self.table.get(target).is_some_and(|entry| present(entry.update.status)) {
                    return Some(target);
                }
            }
            self.turn = self.table.addresses(present);
            self.turn.shuffle(&mut self.random);
        }
        None
    }

    fn probe(&mut self, target: SocketAddrV4, number: u64) -> Send {
        Send { to: target, message: Message::Probe { number, updates: self.news_for(target) } }
    }

    fn answered(&mut self, number: u64) -> Vec<Send> {
        if self.pending.as_ref().is_some_and(|pending| pending.number == number) {
            self.pending = None;
            self.slowness = self.slowness.saturating_sub(1);
            return Vec::new();
        }
        let Some(errand) = self.errands.answered(number) else { return Vec::new() };
        let updates = self.news_for(errand.asked_by);
        let message = Message::Answer { number: errand.asked_number, updates };
        vec![Send { to: errand.asked_by, message }]
    }

    fn ask_third_parties(&mut self, now: Millis) -> Vec<Send> {
        let Some(pending) = &self.pending else { return Vec::new() };
        if pending.asked.is_some() || now < pending.ask_others_at {
            return Vec::new();
        }
        let (number, target) = (pending.number, pending.target);
        let mut others = self.table.addresses(|status| status == Status::Alive);
        others.retain(|other| *other != target);
        others.shuffle(&mut self.random);
        others.truncate(SECOND_OPINIONS);
        if let Some(pending) = &mut self.pending {
            pending.asked = Some(others.len());
        }
        let ask = |to: SocketAddrV4| {
            let updates = self.news_for(to);
            Send { to, message: Message::ProbeFor { number, target, updates } }
        };
        others.into_iter().map(ask).collect()
    }

    fn run_errand(&mut self, now: Millis, from: SocketAddrV4, asked: u64, target: SocketAddrV4) -> Vec<Send> {
        if self.table.get(target).is_none() || !self.errands.has_room() {
            return Vec::new();
        }
        let number = self.number();
        let say_no_at = now + self.timing.answer;
        self.errands.add(Errand { number, asked_number: asked, asked_by: from, say_no_at });
        vec![self.probe(target, number)]
    }

    fn report_errands(&mut self, now: Millis) -> Vec<Send> {
        let failed = self.errands.take_overdue(now);
        let report = |errand: Errand| {
            let updates = self.news_for(errand.asked_by);
            let message = Message::NoAnswer { number: errand.asked_number, updates };
            Send { to: errand.asked_by, message }
        };
        failed.into_iter().map(report).collect()
    }

    fn give_up_probe(&mut self, now: Millis) {
        let Some(pending) = self.pending.take_if(|pending| now >= pending.give_up_at) else { return };
        // Third parties that say nothing at all hint that the fault is on this side.
        let asked = pending.asked.unwrap_or(0);
        if pending.without_answer < asked || asked == 0 {
            self.slowness = (self.slowness + 1).min(MOST_SLOWNESS);
        }
        let Some(entry) = self.table.get(pending.target) else { return };
        let suspicion =
            Update { status: Status::Suspect { by: self.me.member.peer }, ..entry.update.clone() };
        self.take(now, &suspicion);
    }

    fn give_up_suspects(&mut self, now: Millis) {
        let suspects = self.table.addresses(|status| matches!(status, Status::Suspect { .. }));
        for suspect in suspects {
            let Some(entry) = self.table.get(suspect) else { continue };
            let Some(since) = entry.absent_since else { continue };
            let others = entry.accusers.len().saturating_sub(1).min(CONFIRMATIONS) as u64;
            let shortened = (self.timing.suspicion_most - self.timing.suspicion_least) * others;
            let lasts = self.timing.suspicion_most - shortened / CONFIRMATIONS as u64;
            if now >= since + lasts {
                let down = Update { status: Status::Down, ..entry.update.clone() };
                self.take(now, &down);
            }
        }
    }

    /// Seeds that are not known as members yet and members that are out of reach are tried again, so that
    /// late starts and healed cuts are noticed.
    fn try_absent(&mut self) -> Vec<Send> {
        let mut absent = self.table.addresses(|status| matches!(status, Status::Down | Status::Left));
        let unknown = self.seeds.iter().copied().filter(|seed| self.table.get(*seed).is_none());
        absent.extend(unknown);
        let try_one = |target| {
            let number = self.number();
            self.probe(target, number)
        };
        absent.into_iter().map(try_one).collect()
    }

    fn exchange_with_one(&mut self) -> Option<Send> {
        let mut alive = self.table.addresses(|status| status == Status::Alive);
        alive.shuffle(&mut self.random);
        let to = alive.pop()?;
        Some(Send { to, message: self.everything(true) })
    }

    fn everything(&self, reply: bool) -> Message {
        let mut updates = vec![self.me.clone()];
        updates.extend(self.table.updates().cloned());
        Message::Exchange { reply, updates }
    }

    /// News for a message to `to`: this member, what the receiver should refute, and what is being passed on.
    fn news_for(&mut self, to: SocketAddrV4) -> Vec<Update> {
        let mut updates = vec![self.me.clone()];
        let about = self.table.get(to).map(|entry| &entry.update);
        updates.extend(about.filter(|update| update.status != Status::Alive).cloned());
        for member in self.gossip.next(self.table.len() + 1) {
            let Some(entry) = self.table.get(member) else { continue };
            if member != to {
                updates.push(entry.update.clone());
            }
        }
        updates
    }

    fn take(&mut self, now: Millis, update: &Update) {
        if update.member.peer == self.me.member.peer {
            return self.refute(update);
        }
        if self.table.take(now, update) != Taken::Known {
            self.gossip.add(update.member.peer);
        }
    }

    /// A statement about this member that is not so, or about an earlier start of it, is overruled.
    fn refute(&mut self, update: &Update) {
        let wrong = update.status != Status::Alive || update.member != self.me.member;
        let newer = update.incarnation > self.me.incarnation;
        if newer || (wrong && update.incarnation == self.me.incarnation) {
            self.me.incarnation = update.incarnation + 1;
            if matches!(update.status, Status::Suspect { .. }) {
                self.slowness = (self.slowness + 1).min(MOST_SLOWNESS);
            }
        }
    }

    fn number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }
}

fn others_than(me: SocketAddrV4, seeds: &[SocketAddrV4]) -> Vec<SocketAddrV4> {
    seeds.iter().copied().filter(|seed| *seed != me).collect()
}
