//! Why a request got no answer of a replica.

/// Why a request was given up.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumCount, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Cause {
    /// The service has no replica that is ready.
    NoReplica,
    /// All replicas are full.
    AllFull,
    /// No replica has the weights yet that the request must run on.
    NoWeights,
    /// It was sent as often as its route allows.
    NoTries,
    /// The retry budget is spent.
    NoBudget,
    /// No replica could be reached.
    Unreached,
    /// It may have run and may not be repeated.
    InDoubt,
    /// Its time is over.
    Expired,
}
