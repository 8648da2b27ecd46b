//! A member is woken for what is due, and not again before something else is.

mod support;

use std::net::SocketAddrV4;

use membership::{Membership, Message, Millis, Send, Timing};
use rstest::rstest;
use support::{address, member};

fn start(number: u8, seeds: &[SocketAddrV4]) -> Membership {
    Membership::new(0, member(number), 1, seeds, Timing::default(), 7)
}

/// Hands messages to those of `members` that are there, until none is left.
fn deliver(members: &mut [Membership], now: Millis, from: SocketAddrV4, sends: Vec<Send>) {
    let mut flights: Vec<(SocketAddrV4, Send)> = sends.into_iter().map(|send| (from, send)).collect();
    while let Some((from, Send { to, message })) = flights.pop() {
        let Some(receiver) = members.iter_mut().find(|member| member.me().member.peer == to) else {
            continue;
        };
        let answers: Vec<Send> = receiver.receive(now, from, Message::clone(&message));
        flights.extend(answers.into_iter().map(|answer| (to, answer)));
    }
}

/// Some of a group of three go for good; whoever is left sleeps until its deadline each time.
#[rstest]
#[case::all_there(3)]
#[case::one_lost(2)]
#[case::two_lost(1)]
fn a_member_is_not_due_again_once_it_was_woken(#[case] left: usize) {
    const LOSS_AT: Millis = 3_000;
    const END: Millis = 20_000;
    let seeds = [address(1), address(2), address(3)];
    let mut members: Vec<Membership> = (1..=3).map(|number| start(number, &seeds)).collect();
    for now in 0..END {
        if now == LOSS_AT {
            members.truncate(left);
        }
        for place in 0..members.len() {
            if members[place].deadline() > now {
                continue;
            }
            let from = members[place].me().member.peer;
            let sends = members[place].tick(now);
            assert!(members[place].deadline() > now, "{from} is due again at {now} ms");
            deliver(&mut members, now, from, sends);
        }
    }
}
