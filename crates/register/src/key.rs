//! The fixed set of registers.

use deku::ctx::Endian;
use deku::{DekuRead, DekuWrite};
use strum::{Display, EnumCount, EnumIter, FromRepr};

/// Which register.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    EnumCount,
    EnumIter,
    FromRepr,
    DekuRead,
    DekuWrite,
)]
#[strum(serialize_all = "snake_case")]
#[deku(id_type = "u8", ctx = "_endian: Endian")]
#[repr(u8)]
pub enum RegisterKey {
    /// The configuration of the fleet.
    #[deku(id = 0)]
    Configuration = 0,
    /// The named versions of model weights.
    #[deku(id = 1)]
    Weights = 1,
    /// Holders and successors of singleton duties.
    #[deku(id = 2)]
    Duty = 2,
    /// The next acceptor set; the group's own, closed to callers.
    #[deku(id = 3)]
    Members = 3,
    /// Releases of the services' software.
    #[deku(id = 4)]
    Releases = 4,
}

impl RegisterKey {
    /// The registers that callers may change.
    pub const ORDINARY: [RegisterKey; 4] =
        [RegisterKey::Configuration, RegisterKey::Weights, RegisterKey::Duty, RegisterKey::Releases];

    /// Whether earlier releases of the program don't know this register: nothing is said of it, or written, while it is empty.
    pub(crate) fn is_new(self) -> bool {
        self == RegisterKey::Releases
    }

    /// Position in tables with one entry a register.
    pub fn index(self) -> usize {
        self as usize
    }
}
