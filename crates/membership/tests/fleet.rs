//! Whole fleets of members played from one seed, with late starts, losses, cuts and replacements.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

use membership::{Membership, Message, Millis, Send, Timing};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use support::{address, member};

const TICK_MS: Millis = 25;

struct Flight {
    arrives: Millis,
    from: SocketAddrV4,
    send: Send,
}

struct Fleet {
    now: Millis,
    random: SmallRng,
    members: BTreeMap<SocketAddrV4, Membership>,
    flights: Vec<Flight>,
    /// Pairs (from, to) whose messages get lost.
    cut: BTreeSet<(SocketAddrV4, SocketAddrV4)>,
    /// Share of messages that get lost everywhere.
    loss: f64,
}

impl Fleet {
    fn new(seed: u64) -> Fleet {
        Fleet {
            now: 0,
            random: SmallRng::seed_from_u64(seed),
            members: BTreeMap::new(),
            flights: Vec::new(),
            cut: BTreeSet::new(),
            loss: 0.0,
        }
    }

    fn start(&mut self, number: u8, seeds: &[u8]) {
        self.start_as(number, seeds, 1_000_000 + self.now);
    }

    fn start_as(&mut self, number: u8, seeds: &[u8], incarnation: u64) {
        let seeds: Vec<SocketAddrV4> = seeds.iter().map(|seed| address(*seed)).collect();
        let seed = self.random.random();
        let one = Membership::new(self.now, member(number), incarnation, &seeds, Timing::default(), seed);
        self.members.insert(address(number), one);
    }

    fn stop(&mut self, number: u8) {
        self.members.remove(&address(number));
    }

    fn leave(&mut self, number: u8) {
        let sends = self.members.get_mut(&address(number)).expect("runs").leave();
        self.put_on_the_wire(address(number), sends);
    }

    fn cut(&mut self, from: u8, to: u8) {
        self.cut.insert((address(from), address(to)));
    }

    fn put_on_the_wire(&mut self, from: SocketAddrV4, sends: Vec<Send>) {
        for send in sends {
            if self.cut.contains(&(from, send.to)) || self.random.random_bool(self.loss) {
                continue;
            }
            let arrives = self.now + self.random.random_range(1..30);
            self.flights.push(Flight { arrives, from, send });
        }
    }

    fn play(&mut self, for_ms: Millis) {
        let end = self.now + for_ms;
        while self.now < end {
            self.now += TICK_MS;
            self.deliver();
            let addresses: Vec<SocketAddrV4> = self.members.keys().copied().collect();
            for address in addresses {
                let sends = self.members.get_mut(&address).expect("runs").tick(self.now);
                self.put_on_the_wire(address, sends);
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = self.flights.drain(..).partition(|flight| flight.arrives <= now);
        self.flights = later;
        let due: Vec<Flight> = due;
        for flight in due {
            let Some(receiver) = self.members.get_mut(&flight.send.to) else { continue };
            let sends = receiver.receive(now, flight.from, flight.send.message);
            self.put_on_the_wire(flight.send.to, sends);
        }
    }

    fn alive_at(&self, number: u8) -> Vec<u8> {
        let one = &self.members[&address(number)];
        let mut alive: Vec<u8> = one.alive().map(|member| member.peer.ip().octets()[3]).collect();
        alive.sort_unstable();
        alive
    }

    fn all_know_each_other(&self) -> bool {
        let all: Vec<u8> = self.members.keys().map(|address| address.ip().octets()[3]).collect();
        all.iter().all(|one| {
            let others: Vec<u8> = all.iter().copied().filter(|other| other != one).collect();
            self.alive_at(*one) == others
        })
    }
}

#[rstest]
fn members_that_start_in_any_order_find_each_other(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let mut fleet = Fleet::new(seed);
    for number in [4, 2, 7, 1, 3, 6, 5] {
        fleet.start(number, &[1, 2, 3]);
        fleet.play(75);
    }
    fleet.play(2_000);
    assert!(fleet.all_know_each_other());
}

#[rstest]
fn one_seed_that_answers_is_enough() {
    let mut fleet = Fleet::new(9);
    for number in 1..=3 {
        fleet.start(number, &[1, 2, 3]);
    }
    fleet.play(2_000);
    fleet.stop(1);
    fleet.stop(2);
    fleet.start(8, &[1, 2, 3]);
    fleet.play(2_000);
    assert!(fleet.alive_at(3).contains(&8), "the newcomer is known");
    assert!(fleet.alive_at(8).contains(&3));
}

#[rstest]
fn a_member_that_died_is_suspected_soon_and_told_by_all(#[values(1, 2, 3, 4)] seed: u64) {
    let mut fleet = Fleet::new(seed);
    for number in 1..=5 {
        fleet.start(number, &[1, 2, 3]);
    }
    fleet.play(3_000);
    let died_at = fleet.now;
    fleet.stop(2);
    fleet.play(4_000);
    for number in [1, 3, 4, 5] {
        let since = fleet.members[&address(number)].absent_since(address(2)).expect("absent");
        assert!(since >= died_at && since < died_at + 4_000);
        assert!(!fleet.alive_at(number).contains(&2));
    }
}

#[rstest]
fn a_link_cut_between_two_does_not_make_them_suspects(#[values(1, 2, 3, 4)] seed: u64) {
    let mut fleet = Fleet::new(seed);
    for number in 1..=3 {
        fleet.start(number, &[1, 2, 3]);
    }
    fleet.play(3_000);
    fleet.cut(1, 2);
    fleet.cut(2, 1);
    fleet.play(20_000);
    assert!(fleet.all_know_each_other(), "the third gives a second opinion");
}

#[rstest]
fn loss_of_messages_makes_no_member_go_down(#[values(1, 2, 3, 4)] seed: u64) {
    let mut fleet = Fleet::new(seed);
    for number in 1..=5 {
        fleet.start(number, &[1, 2, 3]);
    }
    fleet.play(3_000);
    fleet.loss = 0.1;
    fleet.play(60_000);
    fleet.loss = 0.0;
    fleet.play(2_000);
    assert!(fleet.all_know_each_other());
}

#[rstest]
#[case::both_ways(true)]
#[case::one_way(false)]
fn a_cut_that_heals_leaves_no_trace(#[case] both_ways: bool) {
    let mut fleet = Fleet::new(11);
    for number in 1..=3 {
        fleet.start(number, &[1, 2, 3]);
    }
    fleet.play(3_000);
    for other in [2, 3] {
        fleet.cut(1, other);
        if both_ways {
            fleet.cut(other, 1);
        }
    }
    fleet.play(8_000);
    assert!(!fleet.alive_at(2).contains(&1));
    fleet.cut.clear();
    fleet.play(2_000);
    assert!(fleet.all_know_each_other());
}

#[rstest]
fn a_member_that_leaves_is_known_to_have_left_and_may_come_back_with_an_earlier_clock() {
    let mut fleet = Fleet::new(12);
    for number in 1..=3 {
        fleet.start(number, &[1, 2, 3]);
    }
    fleet.play(2_000);
    fleet.leave(3);
    fleet.play(100);
    assert!(!fleet.alive_at(1).contains(&3), "known at once");
    fleet.stop(3);
    fleet.play(1_000);
    fleet.start_as(3, &[1, 2, 3], 5);
    fleet.play(2_500);
    assert!(fleet.all_know_each_other());
}

#[rstest]
fn a_replacement_at_another_address_is_found_and_the_former_forgotten() {
    let mut fleet = Fleet::new(13);
    for number in 1..=3 {
        fleet.start(number, &[1, 2, 3]);
    }
    fleet.play(2_000);
    fleet.stop(2);
    fleet.start(9, &[1, 2, 3]);
    fleet.play(8_000);
    assert_eq!(fleet.alive_at(1), vec![3, 9]);
    fleet.play(620_000);
    assert!(!fleet.members[&address(1)].known().any(|update| update.member.peer == address(2)));
}

#[rstest]
fn a_member_that_is_alone_sends_little() {
    let mut fleet = Fleet::new(14);
    fleet.start(1, &[1, 2, 3]);
    let one = fleet.members.get_mut(&address(1)).expect("runs");
    let sent: usize = (0..10_000).step_by(25).map(|now| one.tick(now).len()).sum();
    assert!(sent <= 2 * 21, "{sent} messages in 10 s to two seeds that don't listen");
}

#[rstest]
fn a_suspect_refutes_with_a_higher_incarnation() {
    let mut fleet = Fleet::new(15);
    fleet.start(1, &[1, 2]);
    fleet.start(2, &[1, 2]);
    fleet.play(1_000);
    let before = fleet.members[&address(2)].me().incarnation;
    fleet.cut(2, 1);
    fleet.play(2_000);
    assert!(fleet.members[&address(1)].absent_since(address(2)).is_some());
    fleet.cut.clear();
    fleet.play(1_500);
    assert!(fleet.members[&address(2)].me().incarnation > before);
    assert!(fleet.members[&address(1)].absent_since(address(2)).is_none());
}

#[rstest]
fn each_message_tells_first_of_its_sender() {
    let mut fleet = Fleet::new(16);
    fleet.start(1, &[1, 2]);
    let one = fleet.members.get_mut(&address(1)).expect("runs");
    let sends = one.tick(25);
    assert!(!sends.is_empty());
    for send in sends {
        assert!(matches!(send.message, Message::Probe { .. }));
        assert_eq!(send.message.updates()[0].member.peer, address(1));
    }
}

/// The settings of a machine name seeds that are gone; new settings name others, and it finds the fleet by them.
#[rstest]
fn new_seeds_are_tried_from_then_on(#[values(1, 2, 3)] seed: u64) {
    let mut fleet = Fleet::new(seed);
    for number in 1..=3 {
        fleet.start(number, &[1, 2, 3]);
    }
    fleet.start(8, &[5, 6, 7]);
    fleet.play(3_000);
    assert!(fleet.alive_at(8).is_empty(), "its seeds are gone");
    let newcomer = fleet.members.get_mut(&address(8)).expect("runs");
    newcomer.set_seeds(&[address(2), address(8)]);
    assert_eq!(newcomer.addresses(), vec![address(2)], "neither itself nor seeds of before");
    fleet.play(3_000);
    assert!(fleet.all_know_each_other());
}
