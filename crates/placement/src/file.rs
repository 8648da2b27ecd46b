//! The placement as a file: what each coordinator reads, by names, so that it outlives a change of the list.

use crate::instance::{Fault, Instance};
use crate::rules::Links;
use crate::solve::{Solution, Weight, Weights};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The form of the file that is written and read.
pub const FORMAT: u32 = 1;

/// What one coordinator favours.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Favour {
    /// Nodes to which a connection is kept open.
    pub warm: Vec<String>,
    /// By book and node: the share of the book's work.
    pub books: BTreeMap<usize, BTreeMap<String, f64>>,
}

/// A placement by names.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Placement {
    /// Always [`FORMAT`].
    pub format: u32,
    /// Which placement it is, for logs.
    pub version: u64,
    /// By coordinator.
    pub coordinators: BTreeMap<String, Favour>,
}

impl Placement {
    /// A solution by names.
    pub fn of(instance: &Instance, solution: &Solution, version: u64) -> Placement {
        let name = |node: usize| instance.nodes[node].name.clone();
        let favour = |c: usize| Favour {
            warm: solution.links.of(c).map(name).collect(),
            books: (instance.books.iter().zip(&solution.weights[c]))
                .map(|(book, each)| {
                    let some = each.iter().filter(|weight| weight.share > 0.0);
                    (book.number, some.map(|weight| (name(weight.node), weight.share)).collect())
                })
                .collect(),
        };
        let named = instance.coordinators.iter().enumerate().map(|(c, told)| (told.name.clone(), favour(c)));
        Placement { format: FORMAT, version, coordinators: named.collect() }
    }

    /// Reads a placement and checks its values.
    ///
    /// # Errors
    /// The first fault, with its place and field.
    pub fn read(text: &str) -> Result<Placement, Fault> {
        let placement: Placement = crate::instance::json(text)?;
        if placement.format != FORMAT {
            let why = format!("{} is not known; this program reads {FORMAT}", placement.format);
            return Err(Fault::Value { field: "format".into(), why });
        }
        for (name, favour) in &placement.coordinators {
            for (book, each) in &favour.books {
                for (node, share) in each {
                    if !(0.0..=1.0).contains(share) {
                        let field = format!("coordinators.{name}.books.{book}.{node}");
                        return Err(Fault::Value { field, why: format!("{share} is no share from 0 to 1") });
                    }
                }
            }
        }
        Ok(placement)
    }

    /// The same by the indexes of an instance, to be checked against it.
    ///
    /// # Errors
    /// The first name that the instance does not have.
    pub fn indexed(&self, instance: &Instance) -> Result<(Links, Weights), Fault> {
        let node = |field: &str, name: &String| {
            let place = instance.nodes.iter().position(|node| node.name == *name);
            place.ok_or_else(|| Fault::Value {
                field: field.into(),
                why: format!("no node is called `{name}`"),
            })
        };
        let (mut links, mut weights) = (vec![0u128; instance.coordinators.len()], Vec::new());
        for (c, coordinator) in instance.coordinators.iter().enumerate() {
            let favour = self.coordinators.get(&coordinator.name).cloned().unwrap_or_default();
            for name in &favour.warm {
                links[c] |= 1 << node(&format!("coordinators.{}.warm", coordinator.name), name)?;
            }
            let mut books = Vec::new();
            for book in &instance.books {
                let field = format!("coordinators.{}.books.{}", coordinator.name, book.number);
                let own = favour.books.get(&book.number).into_iter().flatten();
                let each = own.map(|(name, share)| Ok(Weight { node: node(&field, name)?, share: *share }));
                books.push(each.collect::<Result<Vec<_>, Fault>>()?);
            }
            weights.push(books);
        }
        Ok((Links(links), weights))
    }
}
