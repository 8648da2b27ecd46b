//! What callers saw, and whether one register that takes one change after the other could have shown it.
//!
//! Every change writes a value of its own, so the values that took effect form a chain: each has one value
//! before it, and no two have the same. An operation is at the place of its value in the chain; one that began
//! after another had ended may not be before it.

use std::collections::BTreeMap;

use register::RegisterKey;
use simulation::Millis;

use crate::machine::{Seen, ValueId};

/// What an operation asked for.
#[derive(Clone, Copy, Debug)]
pub enum Asked {
    Change { expected: ValueId, new: ValueId },
    Read,
}

/// An operation of a caller.
#[derive(Clone, Copy, Debug)]
pub struct Operation {
    pub key: RegisterKey,
    pub machine: usize,
    pub asked: Asked,
    pub began: Millis,
    pub ended: Option<(Millis, Seen)>,
}

/// A decided value that a machine reported by itself.
#[derive(Clone, Copy, Debug)]
pub struct Learned {
    pub key: RegisterKey,
    pub machine: usize,
    pub life: u64,
    pub value: ValueId,
}

#[derive(Default)]
pub struct History {
    pub operations: Vec<Operation>,
    pub learned: Vec<Learned>,
}

/// An operation at its place in the chain.
struct Placed {
    place: usize,
    began: Millis,
    ended: Millis,
    is_change: bool,
    text: String,
}

impl History {
    /// Checks each register by itself.
    pub fn check(&self) -> Result<(), String> {
        RegisterKey::ORDINARY.iter().try_for_each(|key| self.check_register(*key))
    }

    fn check_register(&self, key: RegisterKey) -> Result<(), String> {
        let chain = self.chain(key)?;
        let mut placed = Vec::new();
        for operation in self.operations.iter().filter(|operation| operation.key == key) {
            placed.extend(place(operation, &chain)?);
        }
        check_order(placed)?;
        self.check_learned(key, &chain)
    }

    /// The values that took effect, by place; place 0 is "none".
    fn chain(&self, key: RegisterKey) -> Result<BTreeMap<ValueId, usize>, String> {
        let mut before = BTreeMap::new();
        for operation in self.operations.iter().filter(|operation| operation.key == key) {
            if let Asked::Change { expected, new } = operation.asked {
                before.insert(new, expected);
            }
        }
        let mut next: BTreeMap<ValueId, ValueId> = BTreeMap::new();
        for mut value in self.values_seen(key) {
            while value != 0 {
                let earlier = *before.get(&value).ok_or(format!("{key}: {value} was never written"))?;
                let other = *next.entry(earlier).or_insert(value);
                if other != value {
                    return Err(format!("{key}: both {other} and {value} took effect on {earlier}"));
                }
                value = earlier;
            }
        }
        let mut chain = BTreeMap::from([(0, 0)]);
        let mut last = 0;
        while let Some(value) = next.get(&last) {
            chain.insert(*value, chain.len());
            last = *value;
        }
        Ok(chain)
    }

    /// Values that took effect because somebody saw them.
    fn values_seen(&self, key: RegisterKey) -> Vec<ValueId> {
        let mut values = Vec::new();
        for operation in self.operations.iter().filter(|operation| operation.key == key) {
            match (operation.ended, operation.asked) {
                (Some((_, Seen::Done)), Asked::Change { new, .. }) => values.push(new),
                (Some((_, Seen::Conflict(value) | Seen::Read(value))), _) => values.push(value),
                _ => {}
            }
        }
        values.extend(self.learned.iter().filter(|learned| learned.key == key).map(|learned| learned.value));
        values
    }

    /// What a machine learns is decided, and never goes backwards within one life of its process.
    fn check_learned(&self, key: RegisterKey, chain: &BTreeMap<ValueId, usize>) -> Result<(), String> {
        let mut newest: BTreeMap<(usize, u64), usize> = BTreeMap::new();
        for learned in self.learned.iter().filter(|learned| learned.key == key) {
            let place = chain[&learned.value];
            let last = newest.entry((learned.machine, learned.life)).or_default();
            if place < *last {
                return Err(format!("{key}: a machine learned backwards: {learned:?}"));
            }
            *last = place;
        }
        Ok(())
    }
}

fn place(operation: &Operation, chain: &BTreeMap<ValueId, usize>) -> Result<Option<Placed>, String> {
    let text = format!("{operation:?}");
    let began = operation.began;
    let placed = |place: usize, ended: Millis, is_change: bool| {
        Ok(Some(Placed { place, began, ended, is_change, text: text.clone() }))
    };
    let never = |new: ValueId| match chain.get(&new) {
        Some(_) => Err(format!("took effect though its caller was told that it did not: {text}")),
        None => Ok(()),
    };
    match (operation.asked, operation.ended) {
        (Asked::Change { new, .. }, Some((ended, Seen::Done))) => placed(chain[&new], ended, true),
        (Asked::Change { expected, new }, Some((ended, Seen::Conflict(value)))) => {
            never(new)?;
            if value == expected {
                return Err(format!("conflict with the expected value: {text}"));
            }
            placed(chain[&value], ended, false)
        }
        (Asked::Change { new, .. }, Some((_, Seen::NotDone))) => never(new).map(|()| None),
        (Asked::Change { new, .. }, None | Some((_, Seen::Unclear))) => match chain.get(&new) {
            Some(place) => placed(*place, Millis::MAX, true),
            None => Ok(None),
        },
        (Asked::Read, Some((ended, Seen::Read(value)))) => placed(chain[&value], ended, false),
        (Asked::Read, Some((_, Seen::Done | Seen::Conflict(_)))) => Err(format!("a read ended so: {text}")),
        (Asked::Read, _) => Ok(None),
        (Asked::Change { .. }, Some((_, Seen::Read(_)))) => Err(format!("a change ended so: {text}")),
    }
}

/// An operation that began after another ended is not before it in the chain; a change is after it.
fn check_order(mut by_begin: Vec<Placed>) -> Result<(), String> {
    by_begin.sort_by_key(|placed| placed.began);
    let mut by_end: Vec<usize> = (0..by_begin.len()).collect();
    by_end.sort_by_key(|index| by_begin[*index].ended);
    let mut ended = by_end.into_iter().peekable();
    let mut newest: Option<&Placed> = None;
    for operation in &by_begin {
        while let Some(index) = ended.next_if(|index| by_begin[*index].ended < operation.began) {
            let candidate = &by_begin[index];
            if newest.is_none_or(|newest| newest.place < candidate.place) {
                newest = Some(candidate);
            }
        }
        let Some(newest) = newest else { continue };
        let is_behind = operation.place < newest.place;
        let is_change_of_the_past = operation.is_change && operation.place == newest.place;
        if is_behind || is_change_of_the_past {
            return Err(format!(
                "place {} after place {} had been seen: {} after {}",
                operation.place, newest.place, operation.text, newest.text
            ));
        }
    }
    Ok(())
}
