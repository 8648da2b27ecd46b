//! The world does to machines what it says.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use rstest::rstest;
use simulation::{Action, Boot, DiskTrouble, Event, Machine, MachineIndex, Millis, World};

/// Sends what it is asked to send and reports all that happens to it.
struct Witness {
    wakes: Vec<Millis>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Seen {
    Started { entries: usize },
    Message(u32),
    Written { token: u64, is_done: bool },
    Woke,
}

enum Ask {
    Send(SocketAddrV4, u32),
    Write(u64),
    WakeAt(Millis),
}

impl Machine for Witness {
    type Message = u32;
    type Request = Ask;
    type Report = Seen;
    type Settings = ();

    fn start(_: &(), boot: Boot) -> Witness {
        // The number of entries travels to the first wake as its time.
        Witness { wakes: vec![boot.stored.len() as Millis] }
    }

    fn wake_at(&self) -> Millis {
        self.wakes.first().copied().unwrap_or(Millis::MAX)
    }

    fn step(&mut self, now: Millis, event: Event<Self>, actions: &mut Vec<Action<Self>>) {
        match event {
            Event::Message { message, .. } => actions.push(Action::Report(Seen::Message(message))),
            Event::Written { token, is_done } => {
                actions.push(Action::Report(Seen::Written { token, is_done }))
            }
            Event::Wake if self.wakes.first().is_some_and(|at| *at < 100) => {
                let entries = self.wakes.remove(0) as usize;
                actions.push(Action::Report(Seen::Started { entries }));
            }
            Event::Wake => {
                self.wakes.retain(|at| *at > now);
                actions.push(Action::Report(Seen::Woke));
            }
            Event::Request(Ask::Send(to, message)) => actions.push(Action::Send { to, message }),
            Event::Request(Ask::WakeAt(at)) => self.wakes.push(at),
            Event::Request(Ask::Write(token)) => {
                let entries = vec![(token as u16, Arc::from([1_u8].as_slice()))];
                actions.push(Action::Write { token, entries });
            }
        }
    }
}

fn address(machine: MachineIndex) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, machine as u8 + 1), 7640)
}

fn world(seed: u64, count: usize) -> World<Witness> {
    let mut world = World::new(seed);
    for machine in 0..count {
        world.add(address(machine), ());
        world.start(machine);
    }
    world
}

/// All that is seen within `millis`, with time and machine.
fn seen(world: &mut World<Witness>, millis: Millis) -> Vec<(Millis, MachineIndex, Seen)> {
    let until = world.now() + millis;
    let mut seen = Vec::new();
    while let Some(reported) = world.run_until(until) {
        seen.push((reported.at, reported.machine, reported.report));
    }
    seen
}

fn messages(world: &mut World<Witness>, millis: Millis) -> Vec<u32> {
    let message = |(_, _, seen)| match seen {
        Seen::Message(message) => Some(message),
        _ => None,
    };
    seen(world, millis).into_iter().filter_map(message).collect()
}

fn send(world: &mut World<Witness>, from: MachineIndex, to: MachineIndex, messages: std::ops::Range<u32>) {
    for message in messages {
        world.request(from, Ask::Send(address(to), message));
    }
}

fn entries_at_start(world: &mut World<Witness>, machine: MachineIndex) -> usize {
    world.start(machine);
    let started = |(_, _, seen)| match seen {
        Seen::Started { entries } => Some(entries),
        _ => None,
    };
    seen(world, 1).into_iter().find_map(started).expect("started")
}

#[test]
fn the_same_seed_plays_the_same_and_another_does_not() {
    let play = |seed| {
        let mut world = world(seed, 3);
        world.links.lost_per_mille = 200;
        world.links.doubled_per_mille = 200;
        world.links.longest = 50;
        send(&mut world, 0, 1, 0..100);
        send(&mut world, 2, 1, 100..200);
        seen(&mut world, 1_000)
    };
    assert_eq!(play(1), play(1));
    assert_ne!(play(1), play(2));
}

#[test]
fn messages_are_delayed_reordered_lost_and_doubled() {
    let mut world = world(1, 2);
    world.links.longest = 50;
    send(&mut world, 0, 1, 0..200);
    let arrived = messages(&mut world, 100);
    assert_eq!(arrived.len(), 200);
    assert!(!arrived.is_sorted());
    world.links.lost_per_mille = 500;
    send(&mut world, 0, 1, 0..200);
    assert!((50..150).contains(&messages(&mut world, 100).len()));
    world.links.lost_per_mille = 0;
    world.links.doubled_per_mille = 500;
    send(&mut world, 0, 1, 0..200);
    assert!((250..350).contains(&messages(&mut world, 100).len()));
}

#[test]
fn a_cut_holds_one_direction_until_it_heals() {
    let mut world = world(1, 2);
    world.links.cut(0, 1);
    send(&mut world, 0, 1, 0..1);
    send(&mut world, 1, 0, 1..2);
    assert_eq!(messages(&mut world, 100), [1]);
    assert!(!world.reaches(0, 1) && world.reaches(1, 0));
    world.links.heal();
    send(&mut world, 0, 1, 2..3);
    assert_eq!(messages(&mut world, 100), [2]);
}

#[test]
fn a_frozen_machine_gets_at_its_thaw_what_came() {
    let mut world = world(1, 2);
    seen(&mut world, 1);
    world.freeze(1);
    send(&mut world, 0, 1, 0..5);
    assert_eq!(seen(&mut world, 1_000), []);
    world.thaw(1);
    assert_eq!(messages(&mut world, 1).len(), 5);
}

#[test]
fn a_crashed_machine_gets_nothing_and_its_write_is_there_or_not() {
    let mut found = [0, 0];
    for seed in 0..40 {
        let mut world = world(seed, 2);
        world.request(1, Ask::Write(7));
        send(&mut world, 0, 1, 0..1);
        world.crash(1);
        assert!(seen(&mut world, 100).iter().all(|(_, _, seen)| matches!(seen, Seen::Started { .. })));
        found[entries_at_start(&mut world, 1)] += 1;
    }
    assert!(found[0] > 5 && found[1] > 5, "{found:?}");
}

#[test]
fn a_write_that_was_reported_outlives_a_crash_and_not_a_wipe() {
    let mut world = world(1, 1);
    world.request(0, Ask::Write(7));
    let ends = seen(&mut world, 100);
    assert!(ends.iter().any(|(_, _, seen)| *seen == Seen::Written { token: 7, is_done: true }));
    world.crash(0);
    assert_eq!(entries_at_start(&mut world, 0), 1);
    world.wipe(0);
    assert_eq!(entries_at_start(&mut world, 0), 0);
}

#[rstest]
#[case::full(DiskTrouble::Full, Some(false))]
#[case::hanging(DiskTrouble::Hanging, None)]
#[case::none(DiskTrouble::None, Some(true))]
fn disks_in_trouble(#[case] trouble: DiskTrouble, #[case] expected: Option<bool>) {
    let mut world = world(1, 1);
    seen(&mut world, 1);
    world.trouble_disk(0, trouble);
    world.request(0, Ask::Write(7));
    let end = |(_, _, seen): &(Millis, MachineIndex, Seen)| match seen {
        Seen::Written { is_done, .. } => Some(*is_done),
        _ => None,
    };
    assert_eq!(seen(&mut world, 5_000).iter().find_map(end), expected);
    world.trouble_disk(0, DiskTrouble::None);
    let ended_late = seen(&mut world, 100).iter().find_map(end);
    assert_eq!(ended_late, expected.is_none().then_some(true));
}

#[test]
fn a_lying_disk_reports_at_once_and_loses_what_it_reported() {
    let lost = (0..40).filter(|seed| {
        let mut world = world(*seed, 1);
        world.disk_mut(0).lies = true;
        world.request(0, Ask::Write(7));
        let is_reported = seen(&mut world, 0).iter().any(|(_, _, seen)| matches!(seen, Seen::Written { .. }));
        assert!(is_reported);
        world.crash(0);
        entries_at_start(&mut world, 0) == 0
    });
    assert!(lost.count() > 5);
}

#[test]
fn machines_wake_when_they_asked_to() {
    let mut world = world(1, 1);
    seen(&mut world, 1);
    let at = world.now() + 77;
    world.request(0, Ask::WakeAt(at));
    assert_eq!(seen(&mut world, 1_000), [(at, 0, Seen::Woke)]);
}
