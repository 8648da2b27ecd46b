//! Who is in the next acceptor set.

use std::net::{Ipv4Addr, SocketAddrV4};

use register::rules::{next_members, Suspicions, DROP_AFTER_MILLIS, REPLACE_AFTER_MILLIS};
use register::{AcceptorId, AcceptorSet, Member};
use rstest::rstest;

fn address(last: u64) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, last as u8), 7640)
}

/// The first acceptor at the address.
fn member(last: u64) -> Member {
    Member { id: AcceptorId(last), address: address(last) }
}

/// A later acceptor at the same address.
fn with_new_disk(last: u64) -> Member {
    Member { id: AcceptorId(100 + last), address: address(last) }
}

fn members(range: std::ops::RangeInclusive<u64>) -> Vec<Member> {
    range.map(member).collect()
}

fn set(size: u64) -> AcceptorSet {
    AcceptorSet::new(4, members(1..=size))
}

fn suspected(pairs: &[(u64, u64)]) -> Suspicions {
    pairs.iter().map(|(last, millis)| (address(*last), *millis)).collect()
}

const LONG: u64 = REPLACE_AFTER_MILLIS;
const SHORT: u64 = REPLACE_AFTER_MILLIS - 1;

#[rstest]
#[case::one(1)]
#[case::two(2)]
#[case::three(3)]
#[case::five(5)]
#[case::nine(9)]
fn a_set_stays_when_nothing_happens(#[case] size: u64) {
    assert_eq!(next_members(&set(size), &suspected(&[]), &[]), None);
    assert_eq!(next_members(&set(size), &suspected(&[]), &members(1..=size)), None);
}

#[rstest]
#[case::three(3)]
#[case::four(4)]
#[case::five(5)]
#[case::nine(9)]
fn an_empty_disk_at_a_members_address_replaces_it_at_once(#[case] size: u64) {
    let next = next_members(&set(size), &suspected(&[]), &[with_new_disk(2)]).expect("changes");
    let mut expected = members(1..=size);
    expected[1] = with_new_disk(2);
    assert_eq!(next, expected);
}

#[rstest]
#[case::one(1)]
#[case::two(2)]
fn a_set_that_lost_its_majority_decides_nothing(#[case] size: u64) {
    assert_eq!(next_members(&set(size), &suspected(&[]), &[with_new_disk(1)]), None);
}

#[test]
fn two_of_five_are_replaced_together() {
    let next =
        next_members(&set(5), &suspected(&[]), &[with_new_disk(2), with_new_disk(4)]).expect("changes");
    assert_eq!(next, vec![member(1), with_new_disk(2), member(3), with_new_disk(4), member(5)]);
}

#[test]
fn a_joiner_elsewhere_takes_the_place_of_the_longest_suspected() {
    let suspicions = suspected(&[(2, LONG), (4, LONG + 1)]);
    let next = next_members(&set(5), &suspicions, &[member(9)]).expect("changes");
    assert_eq!(next, vec![member(1), member(2), member(3), member(5), member(9)]);
}

#[test]
fn a_joiner_elsewhere_waits_while_a_member_is_suspected_for_a_short_time() {
    assert_eq!(next_members(&set(3), &suspected(&[(2, SHORT)]), &[member(8), member(9)]), None);
}

#[rstest]
#[case::to_three(1, 2, Some(3))]
#[case::to_five(3, 2, Some(5))]
#[case::of_three_newcomers_one_waits(3, 3, Some(5))]
#[case::to_nine(5, 4, Some(9))]
#[case::never_over_nine(9, 2, None)]
#[case::never_to_an_even_size(3, 1, None)]
#[case::from_even_to_odd(2, 1, Some(3))]
fn joiners_make_the_set_larger(#[case] size: u64, #[case] joiners: u64, #[case] expected: Option<usize>) {
    let next = next_members(&set(size), &suspected(&[]), &members(20..=19 + joiners));
    assert_eq!(next.map(|members| members.len()), expected);
}

#[rstest]
#[case::four(4, Some(3))]
#[case::six(6, Some(5))]
#[case::odd_sizes_stay(5, None)]
#[case::two_stay(2, None)]
fn an_even_set_drops_a_member_suspected_for_long(#[case] size: u64, #[case] expected: Option<usize>) {
    assert_eq!(next_members(&set(size), &suspected(&[(2, DROP_AFTER_MILLIS - 1)]), &[]), None);
    let next = next_members(&set(size), &suspected(&[(2, DROP_AFTER_MILLIS)]), &[]);
    assert_eq!(next.map(|members| members.len()), expected);
}

#[test]
fn nothing_is_decided_without_a_reachable_majority() {
    let suspicions = suspected(&[(2, LONG), (3, LONG)]);
    assert_eq!(next_members(&set(3), &suspicions, &[member(8), member(9)]), None);
    let suspicions = suspected(&[(3, LONG)]);
    assert_eq!(next_members(&set(3), &suspicions, &[with_new_disk(2), member(9)]), None);
}

/// For every suspicion and joiner of small sets: a majority of the result is reachable.
#[test]
fn a_majority_of_the_next_set_is_reachable() {
    let mut changes = 0;
    for size in 1..=6_u64 {
        for case in 0..3_u64.pow(size as u32) {
            let state = |last: u64| case / 3_u64.pow(last as u32 - 1) % 3;
            let suspicions = suspected(
                &(1..=size)
                    .filter(|last| state(*last) == 1)
                    .map(|last| (last, LONG + last))
                    .collect::<Vec<_>>(),
            );
            let mut joiners: Vec<Member> =
                (1..=size).filter(|last| state(*last) == 2).map(with_new_disk).collect();
            for elsewhere in 0..3 {
                let next = next_members(&set(size), &suspicions, &joiners);
                if let Some(next) = next {
                    changes += 1;
                    let reachable = next.iter().filter(|member| !suspicions.contains_key(&member.address));
                    assert!(reachable.count() > next.len() / 2, "{size} {case} {elsewhere}");
                }
                joiners.push(member(20 + elsewhere));
            }
        }
    }
    assert!(changes > 100, "{changes}");
}
