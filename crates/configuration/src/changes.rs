//! Changes of named items on top of a version.

use crate::document::{items, Names};
use crate::json;
use crate::whole::Whole;
use crate::{ConfigurationError, Document, Item};
use facet::Facet;
use facet_json::RawJson;
use std::collections::HashMap;
use std::sync::Arc;

/// Items to add, or to replace by name.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Upserts {
    /// Routes.
    pub routes: Vec<Item>,
    /// Services.
    pub services: Vec<Item>,
    /// Customers.
    pub customers: Vec<Item>,
    /// The limits for clients, where they change.
    pub caps: Option<Arc<str>>,
}

/// Names of items to remove.
#[derive(Debug, Clone, Default, PartialEq, Eq, Facet)]
pub struct Removed {
    /// Routes.
    #[facet(default)]
    pub routes: Vec<String>,
    /// Services.
    #[facet(default)]
    pub services: Vec<String>,
    /// Customers.
    #[facet(default)]
    pub customers: Vec<String>,
}

/// A change of named items.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Changes {
    /// The version that it makes.
    pub version: u64,
    /// What is added or replaced.
    pub upsert: Upserts,
    /// What is removed.
    pub remove: Removed,
}

#[derive(Facet, Default)]
struct UpsertOutline<'text> {
    #[facet(default)]
    routes: Vec<RawJson<'text>>,
    #[facet(default)]
    services: Vec<RawJson<'text>>,
    #[facet(default)]
    customers: Vec<RawJson<'text>>,
    #[facet(default)]
    caps: Option<RawJson<'text>>,
}

#[derive(Facet)]
struct UpsertNames {
    #[facet(default)]
    upsert: Option<Names>,
}

#[derive(Facet)]
struct Outline<'text> {
    version: Whole,
    #[facet(default)]
    upsert: Option<UpsertOutline<'text>>,
    #[facet(default)]
    remove: Option<Removed>,
}

impl Changes {
    /// Reads changes from JSON.
    ///
    /// # Errors
    /// Tells what can't be read.
    pub fn read(json: &[u8]) -> Result<Changes, ConfigurationError> {
        let (outline, names): (Outline, UpsertNames) = json::read_twice(json)?;
        let upsert = outline.upsert.unwrap_or_default();
        let names = names.upsert.unwrap_or_default();
        Ok(Changes {
            version: outline.version.0,
            upsert: Upserts {
                routes: items(&upsert.routes, names.routes),
                services: items(&upsert.services, names.services),
                customers: items(&upsert.customers, names.customers),
                caps: upsert.caps.map(|caps| caps.as_str().trim().into()),
            },
            remove: outline.remove.unwrap_or_default(),
        })
    }

    /// What leads from one configuration to another.
    pub fn between(from: &Document, to: &Document) -> Changes {
        Changes {
            version: to.version,
            upsert: Upserts {
                routes: upserts(&from.routes, &to.routes),
                services: upserts(&from.services, &to.services),
                customers: upserts(&from.customers, &to.customers),
                caps: to.caps.clone().filter(|caps| from.caps.as_ref() != Some(caps)),
            },
            remove: Removed {
                routes: removed(&from.routes, &to.routes),
                services: removed(&from.services, &to.services),
                customers: removed(&from.customers, &to.customers),
            },
        }
    }

    /// The changes as JSON.
    pub fn to_json(&self) -> String {
        let list = |items: &[Item]| {
            let texts: Vec<&str> = items.iter().map(|item| &*item.text).collect();
            format!("[{}]", texts.join(","))
        };
        let caps = self.upsert.caps.as_ref().map(|caps| format!(",\"caps\":{caps}")).unwrap_or_default();
        let remove = facet_json::to_string(&self.remove).unwrap_or_else(|_| "{}".into());
        format!(
            "{{\"version\":{},\"upsert\":{{\"routes\":{},\"services\":{},\"customers\":{}{caps}}},\"remove\":{remove}}}",
            self.version,
            list(&self.upsert.routes),
            list(&self.upsert.services),
            list(&self.upsert.customers),
        )
    }
}

fn by_name(items: &[Item]) -> HashMap<&str, &str> {
    items.iter().map(|item| (item.name.as_str(), &*item.text)).collect()
}

fn upserts(from: &[Item], to: &[Item]) -> Vec<Item> {
    let known = by_name(from);
    to.iter().filter(|item| known.get(item.name.as_str()) != Some(&&*item.text)).cloned().collect()
}

fn removed(from: &[Item], to: &[Item]) -> Vec<String> {
    let kept = by_name(to);
    from.iter().filter(|item| !kept.contains_key(item.name.as_str())).map(|item| item.name.clone()).collect()
}
