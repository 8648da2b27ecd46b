//! A seeded world for state machines without I/O.
//!
//! A [`World`] runs machines that implement [`Machine`] on simulated time. It delays, loses, duplicates and
//! reorders their messages, cuts links both ways or one way, freezes and crashes machines, makes disks slow,
//! full or hanging, loses writes that were under way when power went, and wipes disks. Everything follows
//! from one seed, so a seed that fails plays the same again.
//!
//! Bounds: a frozen machine keeps at most [`world::MAX_BACKLOG`] inputs; all else is as large as what the
//! test puts in.

pub mod disk;
pub mod links;
pub mod machine;
pub mod queue;
pub mod world;

pub use disk::{Disk, DiskTrouble};
pub use links::Links;
pub use machine::{Action, Boot, Entries, Event, Machine};
pub use world::{Fate, MachineIndex, Reported, Step, World};

/// Milliseconds of simulated time.
pub type Millis = u64;
