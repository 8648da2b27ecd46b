//! Why nothing fits: a smallest set of constraints that conflict, in words.

use crate::flow::bits;
use crate::instance::Instance;
use crate::rules::{Case, Model};
use crate::solve::{can_fit, Limits};

/// A constraint that can be dropped. Indexes are those of the instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Constraint {
    /// All must fit in a case.
    In(Case),
    /// A node keeps connections to only so many coordinators.
    Connections(usize),
    /// A coordinator has descriptors for only so many nodes.
    Descriptors(usize),
    /// A node can be planned for only so much work.
    Capacity(usize),
    /// A book is asked for.
    Demand(usize),
}

/// Constraints that conflict: without any one of them, the others can be kept.
#[derive(Debug, Clone, PartialEq)]
pub struct Conflict {
    /// Which.
    pub constraints: Vec<Constraint>,
    /// The same for an operator.
    pub words: String,
}

/// Finds a smallest set of constraints that conflict (by deletion: each is dropped if the rest conflicts without it),
/// or nothing where a placement fits. An error where the work was over before that was known.
///
/// # Errors
/// With how many constraints were left when the work was over.
pub fn explain(instance: &Instance, limits: Limits) -> Result<Option<Conflict>, usize> {
    let model = Model::new(instance);
    if can_fit(&model, limits).ok_or(0usize)? {
        return Ok(None);
    }
    let mut all: Vec<Constraint> = model.cases.iter().rev().map(|rule| Constraint::In(rule.case)).collect();
    all.extend((0..instance.nodes.len()).map(Constraint::Connections));
    all.extend((0..instance.coordinators.len()).map(Constraint::Descriptors));
    all.extend((0..instance.nodes.len()).map(Constraint::Capacity));
    // Light books first: the heavy ones say more.
    let mut books: Vec<usize> = (0..instance.books.len()).filter(|book| model.shares[*book] > 0.0).collect();
    books.sort_by(|a, b| model.shares[*a].total_cmp(&model.shares[*b]).then(a.cmp(b)));
    all.extend(books.into_iter().map(Constraint::Demand));
    let mut dropped = Vec::new();
    let mut kept = Vec::new();
    // First by halves, so that what has no part goes in few looks; then one by one.
    drop_many(&model, &all, &mut dropped, &mut kept, limits)?;
    kept.sort_unstable();
    let words = words(instance, &model, &kept);
    Ok(Some(Conflict { constraints: kept, words }))
}

/// Whether a placement fits once these constraints are dropped; nothing where the work was over first.
pub fn fits_without(instance: &Instance, dropped: &[Constraint], limits: Limits) -> Option<bool> {
    can_fit(&Model::new(instance).without(dropped), limits)
}

/// Drops as many of `all` as the conflict can do without; what is left goes to `kept`. `kept` and what comes after
/// `all` are in force.
fn drop_many(
    model: &Model,
    all: &[Constraint],
    dropped: &mut Vec<Constraint>,
    kept: &mut Vec<Constraint>,
    limits: Limits,
) -> Result<(), usize> {
    if all.is_empty() {
        return Ok(());
    }
    let held = dropped.len();
    dropped.extend_from_slice(all);
    if !can_fit(&model.without(dropped), limits).ok_or(kept.len() + all.len())? {
        return Ok(());
    }
    dropped.truncate(held);
    if let [one] = all {
        kept.push(*one);
        return Ok(());
    }
    let (first, second) = all.split_at(all.len() / 2);
    drop_many(model, first, dropped, kept, limits)?;
    drop_many(model, second, dropped, kept, limits)
}

fn list(names: &[String]) -> String {
    match names {
        [] => "none".into(),
        [one] => one.clone(),
        [first @ .., last] => format!("{} and {last}", first.join(", ")),
    }
}

/// What conflicts, with the figures that show it.
fn words(instance: &Instance, model: &Model, kept: &[Constraint]) -> String {
    let mut books = Vec::new();
    let (mut nodes, mut cases, mut limits) = (0u128, Vec::new(), Vec::new());
    for constraint in kept {
        match constraint {
            Constraint::Demand(book) => books.push(*book),
            Constraint::Capacity(node) => nodes |= 1 << node,
            Constraint::In(case) => cases.push(*case),
            Constraint::Connections(node) => {
                let node = &instance.nodes[*node];
                limits.push(format!("{} takes {} coordinators", node.name, node.connections));
            }
            Constraint::Descriptors(c) => {
                let c = &instance.coordinators[*c];
                limits.push(format!("{} has descriptors for {} nodes", c.name, c.descriptors));
            }
        }
    }
    let named: Vec<String> = books.iter().map(|book| instance.books[*book].number.to_string()).collect();
    let which = format!("{} {}", if books.len() == 1 { "book" } else { "books" }, list(&named));
    let (has, need) = if books.len() == 1 { ("has", "needs") } else { ("have", "need") };
    let when: Vec<String> = cases.iter().map(|case| case.words(instance)).collect();
    let when = list(&when);
    let rule = cases.first().and_then(|case| model.cases.iter().find(|rule| rule.case == *case));
    let Some(rule) = rule else { return format!("{which} can't be placed") };
    let held = books.iter().fold(0, |set, book| set | model.replicas[*book] & rule.alive);
    if held == 0 {
        return format!("{which} {has} no replica {when}");
    }
    let work: f64 = rule.work.iter().sum();
    let asked = work * books.iter().map(|book| model.shares[*book]).sum::<f64>();
    let room: f64 = bits(held & nodes).map(|node| model.room[node]).sum();
    let names: Vec<String> = bits(held & nodes).map(|node| instance.nodes[node].name.clone()).collect();
    let mut text = format!("{which} {need} {asked:.0} ms/s {when}");
    if !names.is_empty() {
        let who = if names.len() == 1 { "" } else { " together" };
        text += &format!("; {}{who} can be planned for {room:.0}", list(&names));
    }
    if !limits.is_empty() {
        text += &format!("; {}", list(&limits));
    }
    text
}
