//! Who is there: how the list of nodes is kept up to date.

pub mod clock;
