//! What is to be placed, and the check that it makes sense.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Nodes at most: sets of nodes are kept in the bits of a word.
pub const MOST_NODES: usize = 128;

/// Why an instance is not taken.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum Fault {
    /// The text is no JSON, or a value is of the wrong sort.
    #[error("line {line}, column {column}, field `{field}`: {why}")]
    Text {
        /// Counted from 1.
        line: usize,
        /// Counted from 1.
        column: usize,
        /// Path of the field.
        field: String,
        /// What was expected.
        why: String,
    },
    /// A value makes no sense.
    #[error("field `{field}`: {why}")]
    Value {
        /// Path of the field.
        field: String,
        /// What is wrong with it.
        why: String,
    },
}

/// A place whose machines are lost together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// Its name.
    pub name: String,
    /// Delay to other sites, one way, ms, by their order; may be left out.
    #[serde(default)]
    pub delay_ms: Vec<f64>,
}

/// A book node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// Its name.
    pub name: String,
    /// Its site's name.
    pub site: String,
    /// Work that it can do, ms a second.
    pub capacity: f64,
    /// Coordinators that may keep connections to it.
    pub connections: usize,
    /// Share of its capacity that it has when it has just started.
    #[serde(default = "whole")]
    pub cold_share: f64,
    /// What keeping a connection to it costs, in any one unit.
    #[serde(default = "whole")]
    pub connection_cost: f64,
}

fn whole() -> f64 {
    1.0
}

/// A coordinator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Coordinator {
    /// Its name.
    pub name: String,
    /// Its site's name.
    pub site: String,
    /// Nodes that it may keep connections to.
    pub descriptors: usize,
    /// Work that arrives, ms a second, for each class.
    pub work: std::collections::BTreeMap<String, f64>,
}

/// A book (shard).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Book {
    /// Its number.
    pub number: usize,
    /// Names of the nodes that hold it.
    pub replicas: Vec<String>,
    /// Its demand against the other books', before popular keys.
    #[serde(default = "whole")]
    pub demand: f64,
}

/// Keys that put a stated share of all load on one book.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Popular {
    /// The book.
    pub book: usize,
    /// Share of all load, above 0 and at most 1.
    pub share: f64,
}

/// What must go on when something is lost.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Survive {
    /// Any one site may be lost.
    pub site: bool,
    /// Any one node may be lost.
    pub node: bool,
    /// Share of the demand that must still fit then: under 1 states a degradation.
    #[serde(default = "whole")]
    pub share: f64,
}

/// All that a placement depends on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// The sites.
    pub sites: Vec<Site>,
    /// The book nodes.
    pub nodes: Vec<Node>,
    /// The coordinators.
    pub coordinators: Vec<Coordinator>,
    /// The books.
    pub books: Vec<Book>,
    /// Popular keys.
    #[serde(default)]
    pub popular: Vec<Popular>,
    /// Share of a node's capacity that may be planned for, above 0 and at most 1.
    pub headroom: f64,
    /// What must go on when something is lost.
    pub survive: Survive,
}

fn value(field: impl Into<String>, why: impl Into<String>) -> Fault {
    Fault::Value { field: field.into(), why: why.into() }
}

/// A number that may be any amount.
fn amount(field: String, number: f64, least: f64) -> Result<(), Fault> {
    let sound = number.is_finite() && number >= least && number <= 1e12;
    let why = format!("{number} is no number from {least} to 1e12");
    sound.then_some(()).ok_or_else(|| value(field, why))
}

/// A share above 0, at most 1.
fn share(field: String, number: f64) -> Result<(), Fault> {
    let sound = number > 0.0 && number <= 1.0;
    sound.then_some(()).ok_or_else(|| value(field, format!("{number} is no share above 0 and at most 1")))
}

fn distinct<'a>(list: &str, names: impl Iterator<Item = &'a str>) -> Result<(), Fault> {
    let mut seen = BTreeSet::new();
    for (n, name) in names.enumerate() {
        if name.is_empty() || !seen.insert(name) {
            let why =
                if name.is_empty() { "a name is empty".into() } else { format!("`{name}` stands twice") };
            return Err(value(format!("{list}[{n}].name"), why));
        }
    }
    Ok(())
}

/// Reads JSON that is all of `text`; a fault names its place and field.
pub(crate) fn json<T: serde::de::DeserializeOwned>(text: &str) -> Result<T, Fault> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let read = serde_path_to_error::deserialize(&mut reader).map_err(|error| {
        let (field, inner) = (error.path().to_string(), error.into_inner());
        let (line, column) = (inner.line(), inner.column());
        let why = inner.to_string();
        let why = why.split(" at line ").next().unwrap_or_default().to_string();
        Fault::Text { line, column, field, why }
    })?;
    reader.end().map_err(|error| {
        let (line, column) = (error.line(), error.column());
        Fault::Text { line, column, field: ".".into(), why: "more follows".into() }
    })?;
    Ok(read)
}

impl Instance {
    /// Reads an instance in JSON and checks it.
    ///
    /// # Errors
    /// The first fault, with its place and field.
    pub fn read(text: &str) -> Result<Instance, Fault> {
        let instance: Instance = json(text)?;
        instance.check()?;
        Ok(instance)
    }

    /// Checks that all values make sense together.
    ///
    /// # Errors
    /// The first fault, with its field.
    pub fn check(&self) -> Result<(), Fault> {
        distinct("sites", self.sites.iter().map(|site| site.name.as_str()))?;
        distinct("nodes", self.nodes.iter().map(|node| node.name.as_str()))?;
        distinct("coordinators", self.coordinators.iter().map(|c| c.name.as_str()))?;
        let counts = [
            ("sites", self.sites.len(), MOST_NODES),
            ("nodes", self.nodes.len(), MOST_NODES),
            ("coordinators", self.coordinators.len(), 1024),
            ("books", self.books.len(), 65_536),
        ];
        for (field, count, most) in counts {
            if count == 0 || count > most {
                return Err(value(field, format!("{count} entries; 1 to {most} are taken")));
            }
        }
        let site = |field: String, name: &str| {
            let known = self.sites.iter().any(|site| site.name == name);
            known.then_some(()).ok_or_else(|| value(field, format!("no site is called `{name}`")))
        };
        for (n, place) in self.sites.iter().enumerate() {
            if !place.delay_ms.is_empty() && place.delay_ms.len() != self.sites.len() {
                let why = format!("{} delays for {} sites", place.delay_ms.len(), self.sites.len());
                return Err(value(format!("sites[{n}].delay_ms"), why));
            }
            for (m, delay) in place.delay_ms.iter().enumerate() {
                amount(format!("sites[{n}].delay_ms[{m}]"), *delay, 0.0)?;
            }
        }
        for (n, node) in self.nodes.iter().enumerate() {
            site(format!("nodes[{n}].site"), &node.site)?;
            amount(format!("nodes[{n}].capacity"), node.capacity, 1e-3)?;
            amount(format!("nodes[{n}].connection_cost"), node.connection_cost, 0.0)?;
            share(format!("nodes[{n}].cold_share"), node.cold_share)?;
        }
        for (n, coordinator) in self.coordinators.iter().enumerate() {
            site(format!("coordinators[{n}].site"), &coordinator.site)?;
            for (class, work) in &coordinator.work {
                amount(format!("coordinators[{n}].work.{class}"), *work, 0.0)?;
            }
        }
        let mut numbers = BTreeSet::new();
        for (n, book) in self.books.iter().enumerate() {
            if !numbers.insert(book.number) {
                return Err(value(
                    format!("books[{n}].number"),
                    format!("book {} stands twice", book.number),
                ));
            }
            amount(format!("books[{n}].demand"), book.demand, 0.0)?;
            let mut seen = BTreeSet::new();
            for (m, name) in book.replicas.iter().enumerate() {
                let known = self.nodes.iter().any(|node| node.name == *name);
                if !known || !seen.insert(name) {
                    let why = if known { "stands twice" } else { "is no node" };
                    return Err(value(format!("books[{n}].replicas[{m}]"), format!("`{name}` {why}")));
                }
            }
            if book.replicas.is_empty() {
                return Err(value(format!("books[{n}].replicas"), "a book needs a replica"));
            }
        }
        let mut popular = 0.0;
        for (n, keys) in self.popular.iter().enumerate() {
            share(format!("popular[{n}].share"), keys.share)?;
            popular += keys.share;
            if !numbers.contains(&keys.book) {
                return Err(value(format!("popular[{n}].book"), format!("there is no book {}", keys.book)));
            }
        }
        if popular > 1.0 + 1e-9 {
            return Err(value("popular", format!("the shares sum to {popular}, over 1")));
        }
        if popular < 1.0 - 1e-9 && self.books.iter().all(|book| book.demand == 0.0) {
            return Err(value("books", "no book has any demand"));
        }
        share("headroom".into(), self.headroom)?;
        share("survive.share".into(), self.survive.share)
    }

    /// Share of all load that each book gets, in the order of the books.
    pub fn shares(&self) -> Vec<f64> {
        let popular: f64 = self.popular.iter().map(|keys| keys.share).sum();
        let all: f64 = self.books.iter().map(|book| book.demand).sum();
        let each = |book: &Book| {
            let plain = if all > 0.0 { (1.0 - popular).max(0.0) * book.demand / all } else { 0.0 };
            plain + self.popular.iter().filter(|keys| keys.book == book.number).map(|k| k.share).sum::<f64>()
        };
        self.books.iter().map(each).collect()
    }

    /// Whether a coordinator and a node are at different sites.
    pub fn crosses(&self, coordinator: usize, node: usize) -> bool {
        self.coordinators[coordinator].site != self.nodes[node].site
    }
}
