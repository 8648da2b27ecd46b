//! Random numbers from a seed that the caller hands in.

/// SplitMix64: small, fast, and the same numbers from the same seed.
#[derive(Clone, Debug)]
pub struct Random {
    state: u64,
}

impl Random {
    /// A generator from `seed`.
    pub fn new(seed: u64) -> Random {
        Random { state: seed }
    }

    /// The next number.
    pub fn next_u64(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A number under `bound`; 0 if `bound` is 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        if bound == 0 {
            return 0;
        }
        self.next_u64() % bound
    }
}
