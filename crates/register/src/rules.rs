//! Who is in the next acceptor set.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use crate::set::{AcceptorSet, Member, MAX_MEMBERS};
use crate::Millis;

/// How long a member is suspected before another may take its place.
pub const REPLACE_AFTER_MILLIS: Millis = 4_000;

/// For how long members are suspected, by address. Members that are not listed are taken as reachable.
pub type Suspicions = BTreeMap<SocketAddrV4, Millis>;

/// The members that should follow `current`; `None` if they should stay or a change would leave too few
/// reachable.
///
/// * A joiner at the address of a member has taken its machine over with an empty disk: it replaces the
///   member at once.
/// * Another joiner replaces a member that has been suspected for [`REPLACE_AFTER_MILLIS`], the longest
///   suspected first, or makes the set larger if nobody is suspected.
/// * A set of even size drops a member that has been suspected for that long: the smaller set bears as many
///   losses.
pub fn next_members(
    current: &AcceptorSet,
    suspicions: &Suspicions,
    joiners: &[Member],
) -> Option<Vec<Member>> {
    let mut members = current.members.clone();
    let mut suspicions = suspicions.clone();
    let newcomers = joiners.iter().filter(|joiner| !current.contains(joiner.id));
    for joiner in newcomers {
        place(&mut members, &mut suspicions, *joiner);
    }
    if members.len() % 2 == 0 {
        if let Some(index) = longest_suspected(&members, &suspicions) {
            members.remove(index);
        }
    }
    let is_reachable = |member: &&Member| !suspicions.contains_key(&member.address);
    let reachable = members.iter().filter(is_reachable).count();
    let next = AcceptorSet::new(current.epoch, members);
    let is_worth_it = next.members != current.members && reachable >= next.majority();
    is_worth_it.then_some(next.members)
}

fn place(members: &mut Vec<Member>, suspicions: &mut Suspicions, joiner: Member) {
    let same_address = members.iter().position(|member| member.address == joiner.address);
    if let Some(index) = same_address.or_else(|| longest_suspected(members, suspicions)) {
        suspicions.remove(&members[index].address);
        members[index] = joiner;
        return;
    }
    let is_anyone_suspected = members.iter().any(|member| suspicions.contains_key(&member.address));
    if !is_anyone_suspected && members.len() < MAX_MEMBERS {
        members.push(joiner);
    }
}

fn longest_suspected(members: &[Member], suspicions: &Suspicions) -> Option<usize> {
    let suspected_for = |member: &Member| suspicions.get(&member.address).copied();
    let replaceable = members.iter().enumerate().filter_map(|(index, member)| {
        let suspected = suspected_for(member)?;
        (suspected >= REPLACE_AFTER_MILLIS).then_some((suspected, index))
    });
    replaceable.max_by_key(|(suspected, _)| *suspected).map(|(_, index)| index)
}
