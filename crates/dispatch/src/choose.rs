//! The choice of a replica: the longest start kept, then the fewest calls out, unless reading the start again
//! elsewhere costs less than waiting.

use evidence::Ms;
use prefix_index::ReplicaNumber;
use rand::rngs::SmallRng;
use rand::Rng;

/// How much cheaper another replica must be before it is taken over one that keeps the longest start, ms.
const SWITCH_MARGIN: Ms = 20.0;

/// What reading weighs besides its time where some replica or store keeps the tokens already: it takes the time of the
/// requests behind it, and work that was done is done again.
pub(crate) const AGAIN_WEIGHT: f64 = 4.0;

/// Prompt tokens that a replica reads in a ms.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct ReadRate(pub f64);

impl ReadRate {
    /// Time to read tokens, ms.
    pub fn reading(self, tokens: u32) -> Ms {
        f64::from(tokens) / self.0
    }
}

/// A replica that may get the request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The replica.
    pub replica: ReplicaNumber,
    /// This proxy's calls that are out there.
    pub out: u32,
    /// Tokens of the prompt's start that it keeps.
    pub kept: u32,
    /// How long the request would wait there before its prompt is read, moves of kept blocks included, ms.
    pub wait: Ms,
    /// How long it would take there to read what it neither keeps nor fetches, ms.
    pub reading: Ms,
    /// The part of `reading` for tokens that are known to be kept somewhere else, ms.
    pub again: Ms,
}

impl Candidate {
    /// What sending the request there costs, in ms of waiting.
    fn cost(&self) -> Ms {
        self.wait + self.reading + AGAIN_WEIGHT * self.again
    }
}

/// Picks one of `candidates`; `None` if there are none. Among those that keep the longest start, the one with the
/// fewest calls out, ties at random; if some other replica is cheaper by a margin, the cheapest.
pub fn pick(candidates: &[Candidate], random: &mut SmallRng) -> Option<Candidate> {
    let longest = candidates.iter().map(|candidate| candidate.kept).max()?;
    let keeping = candidates.iter().filter(|candidate| candidate.kept == longest);
    let first = least_by(keeping, |candidate| f64::from(candidate.out), random)?;
    let cheapest = least_by(candidates.iter(), |candidate| candidate.cost(), random)?;
    let saved = first.cost() - cheapest.cost();
    Some(if saved > SWITCH_MARGIN { cheapest } else { first })
}

/// The candidate with the least value, ties at random.
fn least_by<'a>(
    candidates: impl Iterator<Item = &'a Candidate>,
    value: impl Fn(&Candidate) -> f64,
    random: &mut SmallRng,
) -> Option<Candidate> {
    let mut least: Option<(f64, Candidate)> = None;
    let mut ties = 0;
    for candidate in candidates {
        let this = value(candidate);
        match least {
            Some((known, _)) if this > known => continue,
            Some((known, _)) if this == known => ties += 1,
            _ => ties = 1,
        }
        // Each of n that tie is kept with probability 1/n.
        if ties == 1 || random.random_range(0..ties) == 0 {
            least = Some((this, *candidate));
        }
    }
    least.map(|(_, candidate)| candidate)
}
