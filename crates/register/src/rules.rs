//! Who is in the next acceptor set.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use crate::set::{AcceptorSet, Member, MAX_MEMBERS};
use crate::Millis;

/// How long a member is suspected before another that waits may take its place. A deployment counts a lost machine until
/// its successor has been there for `catch-up-s`, four seconds or more, and bears the next loss then: noticing the loss
/// (about a second), this time and the installation (under a second) have to fit.
pub const REPLACE_AFTER_MILLIS: Millis = 2_000;

/// How long a member is suspected before a set of even size does without it. Nobody takes its place, so there is no hurry.
pub const DROP_AFTER_MILLIS: Millis = 4_000;

/// For how long members are suspected, by address. Members that are not listed are taken as reachable.
pub type Suspicions = BTreeMap<SocketAddrV4, Millis>;

/// Sets of this size or more may drop a member.
const DROP_FROM: usize = 4;

/// The members that should follow `current`; `None` if they should stay, if too few are there to decide, or if
/// a change would leave too few reachable.
///
/// * A joiner at the address of a member has taken its machine over with an empty disk: it replaces the
///   member at once.
/// * Another joiner replaces a member that has been suspected for [`REPLACE_AFTER_MILLIS`], the longest
///   suspected first.
/// * If nobody is suspected, two further joiners make the set larger. One alone does not: a set of even size
///   bears no more losses than the odd one below it, and one less while the newcomer may be lost.
/// * A set of even size drops a member that has been suspected for [`DROP_AFTER_MILLIS`], for the same reason.
pub fn next_members(
    current: &AcceptorSet,
    suspicions: &Suspicions,
    joiners: &[Member],
) -> Option<Vec<Member>> {
    next_members_without(current, suspicions, joiners, None)
}

/// The same where the member at `leaving`, which asks this, is about to end. It still helps to decide, even alone in a
/// set of one, and a joiner takes its place at once.
pub fn next_members_without(
    current: &AcceptorSet,
    suspicions: &Suspicions,
    joiners: &[Member],
    leaving: Option<SocketAddrV4>,
) -> Option<Vec<Member>> {
    if !can_decide(current, suspicions, joiners) {
        return None;
    }
    let mut members = current.members.clone();
    let mut suspicions = suspicions.clone();
    suspicions.extend(leaving.map(|leaving| (leaving, REPLACE_AFTER_MILLIS)));
    let newcomers = joiners.iter().filter(|joiner| !current.contains(joiner.id));
    let waiting: Vec<Member> =
        newcomers.filter(|joiner| !replaces(&mut members, &mut suspicions, **joiner)).copied().collect();
    let is_anyone_suspected = members.iter().any(|member| suspicions.contains_key(&member.address));
    if !is_anyone_suspected {
        grow(&mut members, &waiting);
    }
    if members.len() % 2 == 0 && members.len() >= DROP_FROM {
        if let Some(index) = longest_suspected(&members, &suspicions, DROP_AFTER_MILLIS) {
            members.remove(index);
        }
    }
    let is_reachable = |member: &&Member| !suspicions.contains_key(&member.address);
    let reachable = members.iter().filter(is_reachable).count();
    let next = AcceptorSet::new(current.epoch, members);
    let is_worth_it = next.members != current.members && reachable >= next.majority();
    is_worth_it.then_some(next.members)
}

/// Whether a majority of `current` seems to be there. A proposal that is accepted by too few could be
/// decided much later, when its newcomers may be gone.
fn can_decide(current: &AcceptorSet, suspicions: &Suspicions, joiners: &[Member]) -> bool {
    let lost_its_disk = |member: &Member| {
        joiners.iter().any(|joiner| joiner.address == member.address && joiner.id != member.id)
    };
    let is_there = |member: &&Member| !suspicions.contains_key(&member.address) && !lost_its_disk(member);
    current.members.iter().filter(is_there).count() >= current.majority()
}

/// Puts the joiner in the place of a member that is gone; `false` if there is none.
fn replaces(members: &mut [Member], suspicions: &mut Suspicions, joiner: Member) -> bool {
    let same_address = members.iter().position(|member| member.address == joiner.address);
    let Some(index) = same_address.or_else(|| longest_suspected(members, suspicions, REPLACE_AFTER_MILLIS))
    else {
        return false;
    };
    suspicions.remove(&members[index].address);
    members[index] = joiner;
    true
}

/// Adds as many of `waiting` as make the size odd.
fn grow(members: &mut Vec<Member>, waiting: &[Member]) {
    let room = MAX_MEMBERS.saturating_sub(members.len());
    let most = waiting.len().min(room);
    let is_even = (members.len() + most) % 2 == 0;
    members.extend(&waiting[..most - usize::from(is_even && most > 0)]);
}

fn longest_suspected(members: &[Member], suspicions: &Suspicions, least: Millis) -> Option<usize> {
    let suspected_for = |member: &Member| suspicions.get(&member.address).copied();
    let replaceable = members.iter().enumerate().filter_map(|(index, member)| {
        let suspected = suspected_for(member)?;
        (suspected >= least).then_some((suspected, index))
    });
    replaceable.max_by_key(|(suspected, _)| *suspected).map(|(_, index)| index)
}
