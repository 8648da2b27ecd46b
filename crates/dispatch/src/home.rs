//! Where the other proxies most likely sent a start of a prompt that this proxy knows nobody to keep: its home replica,
//! the same for all proxies without a word between them (rendezvous hashing).

use peer::part_key;
use prefix_index::Part;

/// Shortest shared start for which a home is worth its crowd, tokens.
const LEAST_TOKENS: u32 = 512;

/// What a home is worth to a start that nobody is known to keep, in parts of the time to read it: other proxies may send
/// it there at the same moment, and two that read it do the work of one twice.
pub const HOME_SAVES: f64 = 2.5;

/// The place of a part's home among the replicas with these ids.
pub fn home<'a>(part: &Part, ids: impl Iterator<Item = &'a str>) -> Option<usize> {
    let key = part.key.0.to_string();
    let weighed = ids.enumerate().map(|(place, id)| (part_key(id, "", &key), place));
    weighed.max().map(|(_, place)| place)
}

/// The last part of a prompt that others share, with the tokens up to its end; `None` if these are too few.
pub(crate) fn shared_start(prompt: &[Part]) -> Option<(&Part, u32)> {
    let (_, shared) = prompt.split_last()?;
    let tokens = shared.iter().fold(0_u32, |sum, part| sum.saturating_add(part.tokens));
    shared.last().filter(|_| tokens >= LEAST_TOKENS).map(|last| (last, tokens))
}
