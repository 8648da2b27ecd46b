//! The singleton duty of moving replicas to named weights: who holds it ([`holder`]) and what the holder does
//! ([`moves`]). State machines without I/O.

pub mod holder;
pub mod moves;
