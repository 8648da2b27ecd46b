//! Which news still has to be passed on.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// Times that a piece of news is passed on, for each doubling of the number of members.
const REPEATS_A_DOUBLING: u32 = 3;
/// Most pieces of news in one message.
const MOST_IN_MESSAGE: usize = 8;

/// Members of whom news is to be passed on, with how often that was done.
#[derive(Debug, Clone, Default)]
pub(crate) struct Gossip {
    passed_on: BTreeMap<SocketAddrV4, u32>,
}

impl Gossip {
    /// There is news of `member`.
    pub fn add(&mut self, member: SocketAddrV4) {
        self.passed_on.insert(member, 0);
    }

    /// The members whose news goes into the next message, least passed on first.
    pub fn next(&mut self, members: usize) -> Vec<SocketAddrV4> {
        let limit = REPEATS_A_DOUBLING * (usize::BITS - members.leading_zeros()).max(1);
        let mut waiting: Vec<(u32, SocketAddrV4)> =
            self.passed_on.iter().map(|(member, times)| (*times, *member)).collect();
        waiting.sort_unstable();
        waiting.truncate(MOST_IN_MESSAGE);
        for (times, member) in &waiting {
            if times + 1 >= limit {
                self.passed_on.remove(member);
            } else {
                self.passed_on.insert(*member, times + 1);
            }
        }
        waiting.into_iter().map(|(_, member)| member).collect()
    }
}
