//! Damage of bytes, drawn by property tests: what is read from a disk, a socket or an operator may be anything.

use proptest::collection::vec;
use proptest::prelude::*;

/// One change of bytes; it fits bytes of any length.
#[derive(Debug, Clone)]
pub struct Edit {
    /// Where, as a part of the length.
    place: f64,
    change: Change,
}

#[derive(Debug, Clone)]
enum Change {
    /// Other bytes stand there.
    Overwrite(Vec<u8>),
    /// Bytes stand between.
    Insert(Vec<u8>),
    /// So many bytes are gone.
    Remove(usize),
    /// All from there on is gone.
    Cut,
    /// So many bytes stand there twice.
    Repeat(usize),
}

/// A few edits, one after the other.
pub fn edits() -> impl Strategy<Value = Vec<Edit>> {
    vec(edit(), 1..5)
}

fn edit() -> impl Strategy<Value = Edit> {
    // What readers look for stands in these bytes more often than chance has it.
    let byte = prop_oneof![any::<u8>(), prop::sample::select(b"\r\n :;,{}[]\"0189-.\0\xff".to_vec())];
    let bytes = vec(byte, 1..9).boxed();
    let change = prop_oneof![
        bytes.clone().prop_map(Change::Overwrite),
        bytes.prop_map(Change::Insert),
        (1..200_usize).prop_map(Change::Remove),
        Just(Change::Cut),
        (1..200_usize).prop_map(Change::Repeat),
    ];
    (0.0..1.0, change).prop_map(|(place, change)| Edit { place, change })
}

/// The bytes after all edits.
pub fn damaged(bytes: &[u8], edits: &[Edit]) -> Vec<u8> {
    edits.iter().fold(bytes.to_vec(), apply)
}

fn apply(mut bytes: Vec<u8>, edit: &Edit) -> Vec<u8> {
    let length = bytes.len();
    let begin = (edit.place * length as f64) as usize;
    let end = |count: usize| (begin + count).min(length);
    match &edit.change {
        Change::Overwrite(other) => {
            let count = end(other.len()) - begin;
            bytes[begin..begin + count].copy_from_slice(&other[..count]);
        }
        Change::Insert(other) => drop(bytes.splice(begin..begin, other.iter().copied())),
        Change::Remove(count) => drop(bytes.drain(begin..end(*count))),
        Change::Cut => bytes.truncate(begin),
        Change::Repeat(count) => {
            let again = bytes[begin..end(*count)].to_vec();
            bytes.splice(begin..begin, again);
        }
    }
    bytes
}
