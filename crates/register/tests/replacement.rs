//! When a machine proposes the next set.

use std::net::{Ipv4Addr, SocketAddrV4};

use register::message::StateReport;
use register::rules::REPLACE_AFTER_MILLIS;
use register::{
    AcceptorId, AcceptorSet, Effect, Identity, Input, KnownSet, Member, RegisterKey, RegisterMessage,
    RegisterNode,
};

/// Longer than the time between two looks at the set, and than the wait of a machine's rank.
const UPKEEP_MILLIS: u64 = 1_000;

fn address(last: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, last), 7640)
}

fn first_member(last: u8) -> Member {
    Member { id: AcceptorId::of_first_start(address(last)), address: address(last) }
}

/// A later acceptor at the same address.
fn with_new_disk(last: u8) -> Member {
    Member { id: AcceptorId(u64::MAX - u64::from(last)), address: address(last) }
}

struct Machine {
    node: RegisterNode,
}

impl Machine {
    fn first_start() -> Machine {
        let seeds = [1, 2, 3].map(address);
        Machine { node: RegisterNode::recover(None, Identity { address: address(1) }, &seeds, true, 5) }
    }

    /// Takes an input; tells whether a next set is proposed. Writes are done at once.
    fn proposes_after(&mut self, now: u64, input: Input) -> bool {
        let mut effects = Vec::new();
        self.node.step(now, input, &mut effects);
        let mut proposes = false;
        for effect in effects {
            match effect {
                Effect::Write { token, .. } => {
                    proposes |= self.proposes_after(now, Input::DiskDone { token, result: Ok(()) });
                }
                Effect::Send { message: RegisterMessage::Prepare { call, .. }, .. } => {
                    proposes |= call.key == RegisterKey::Members;
                }
                _ => {}
            }
        }
        proposes
    }

    fn receive(&mut self, now: u64, from: u8, message: RegisterMessage) -> bool {
        self.proposes_after(now, Input::Received { from: address(from), message })
    }

    /// A joiner asks, and asks again as long as the machine takes to look at the set.
    fn proposes_for(&mut self, now: u64, joiner: Member) -> bool {
        let last = joiner.address.ip().octets()[3];
        (now..now + UPKEEP_MILLIS).step_by(300).any(|moment| {
            let join = RegisterMessage::Join { joiner, epoch: 1 };
            self.receive(moment, last, join) || self.proposes_after(moment + 299, Input::Tick)
        })
    }
}

/// Machine 3 was gone for long and is back with an empty disk, as a member of set 1.
fn machine_with_three_back(now: u64) -> Machine {
    let mut machine = Machine::first_start();
    machine.proposes_after(1, Input::PeerSuspected { address: address(3) });
    let previous = AcceptorSet::of_first_start(&[1, 2, 3].map(address));
    let set = AcceptorSet::new(1, vec![first_member(1), first_member(2), with_new_disk(3)]);
    machine.receive(now, 2, RegisterMessage::Set { known: KnownSet { set, previous } });
    let state = StateReport::new(1, first_member(2).id, 1, Vec::new());
    machine.receive(now, 2, RegisterMessage::State { state });
    assert!(machine.node.is_active());
    machine
}

#[test]
fn a_suspicion_of_before_its_return_does_not_put_a_member_out() {
    let now = 100 * REPLACE_AFTER_MILLIS;
    let mut machine = machine_with_three_back(now);
    assert!(!machine.proposes_for(now + 100, with_new_disk(5)));
    assert!(machine.proposes_for(now + REPLACE_AFTER_MILLIS, with_new_disk(5)));
}

#[test]
fn a_member_that_is_reached_again_stays() {
    let now = 100 * REPLACE_AFTER_MILLIS;
    let mut machine = machine_with_three_back(now);
    machine.proposes_after(now + 1, Input::PeerReachable { address: address(3) });
    assert!(!machine.proposes_for(now + REPLACE_AFTER_MILLIS, with_new_disk(5)));
}

#[test]
fn an_empty_disk_at_a_members_address_is_taken_in_without_a_suspicion() {
    let mut machine = Machine::first_start();
    machine.proposes_after(1, Input::Tick);
    assert!(machine.proposes_for(1_000, with_new_disk(3)));
}

#[test]
fn a_machine_outside_the_set_proposes_nothing() {
    let seeds = [1, 2, 3].map(address);
    let node = RegisterNode::recover(None, Identity { address: address(4) }, &seeds, true, 5);
    let mut machine = Machine { node };
    machine.proposes_after(1, Input::Tick);
    assert!(!machine.proposes_for(1_000, with_new_disk(3)));
}
