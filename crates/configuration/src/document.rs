//! A configuration as it was sent, cut into its items.

use crate::json;
use crate::whole::Whole;
use crate::{Changes, Configuration, ConfigurationError};
use facet::Facet;
use facet_json::RawJson;
use sha2::Digest as _;
use std::sync::Arc;

/// Names a text: SHA-256 over it.
pub type Digest = [u8; 32];

/// One route, service or customer, as it was sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Its name, unique among its kind.
    pub name: String,
    /// Its JSON text.
    pub text: Arc<str>,
}

/// A whole configuration, with the text of each item kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Document {
    /// Its version.
    pub version: u64,
    /// The routes in order.
    pub routes: Vec<Item>,
    /// The services in order.
    pub services: Vec<Item>,
    /// The customers in order.
    pub customers: Vec<Item>,
    /// The limits for clients.
    pub caps: Option<Arc<str>>,
}

#[derive(Facet)]
struct Outline<'text> {
    version: Whole,
    #[facet(default)]
    routes: Vec<RawJson<'text>>,
    #[facet(default)]
    services: Vec<RawJson<'text>>,
    #[facet(default)]
    caps: Option<RawJson<'text>>,
    #[facet(default)]
    customers: Vec<RawJson<'text>>,
}

#[derive(Facet)]
struct Named {
    name: String,
}

/// Reads the name of an item.
pub(crate) fn item(text: &RawJson) -> Result<Item, ConfigurationError> {
    let text = text.as_str().trim();
    let named: Named = json::read(text.as_bytes())?;
    Ok(Item { name: named.name, text: text.into() })
}

pub(crate) fn items(texts: &[RawJson]) -> Result<Vec<Item>, ConfigurationError> {
    texts.iter().map(item).collect()
}

fn list(items: &[Item]) -> String {
    let texts: Vec<&str> = items.iter().map(|item| &*item.text).collect();
    format!("[{}]", texts.join(","))
}

impl Document {
    /// Cuts a configuration's JSON into its items; does not check it.
    ///
    /// # Errors
    /// Tells what can't be read.
    pub fn read(json: &[u8]) -> Result<Document, ConfigurationError> {
        let outline: Outline = json::read_borrowed(json)?;
        Ok(Document {
            version: outline.version.0,
            routes: items(&outline.routes)?,
            services: items(&outline.services)?,
            customers: items(&outline.customers)?,
            caps: outline.caps.map(|caps| caps.as_str().trim().into()),
        })
    }

    /// The whole as JSON.
    pub fn to_json(&self) -> String {
        let caps = self.caps.as_ref().map(|caps| format!(",\"caps\":{caps}")).unwrap_or_default();
        format!(
            "{{\"version\":{},\"routes\":{},\"services\":{}{caps},\"customers\":{}}}",
            self.version,
            list(&self.routes),
            list(&self.services),
            list(&self.customers),
        )
    }

    /// The whole in types; does not check it.
    ///
    /// # Errors
    /// Tells what can't be read.
    pub fn typed(&self) -> Result<Configuration, ConfigurationError> {
        Configuration::read(self.to_json().as_bytes())
    }

    /// Whether both have the same version and the same items, in whatever order: nothing depends on their order.
    pub fn has_same_items(&self, other: &Document) -> bool {
        self.version == other.version
            && self.caps == other.caps
            && sorted(&self.routes) == sorted(&other.routes)
            && sorted(&self.services) == sorted(&other.services)
            && sorted(&self.customers) == sorted(&other.customers)
    }

    /// This configuration with changes taken in.
    pub fn with(&self, changes: &Changes) -> Document {
        let upserts = &changes.upsert;
        let removed = &changes.remove;
        Document {
            version: changes.version,
            routes: merged(&self.routes, &upserts.routes, &removed.routes),
            services: merged(&self.services, &upserts.services, &removed.services),
            customers: merged(&self.customers, &upserts.customers, &removed.customers),
            caps: upserts.caps.clone().or_else(|| self.caps.clone()),
        }
    }
}

fn sorted(items: &[Item]) -> Vec<&Item> {
    let mut items: Vec<&Item> = items.iter().collect();
    items.sort_unstable_by(|one, other| (&one.name, &one.text).cmp(&(&other.name, &other.text)));
    items
}

/// Items with some replaced by name or added at the end, and some removed.
fn merged(items: &[Item], upserts: &[Item], removed: &[String]) -> Vec<Item> {
    let mut merged: Vec<Item> = items.iter().filter(|item| !removed.contains(&item.name)).cloned().collect();
    let places: std::collections::HashMap<String, usize> =
        merged.iter().enumerate().map(|(place, item)| (item.name.clone(), place)).collect();
    for upsert in upserts {
        match places.get(&upsert.name) {
            Some(place) => merged[*place] = upsert.clone(),
            None => merged.push(upsert.clone()),
        }
    }
    merged
}

/// The digest of a text.
pub fn digest(bytes: &[u8]) -> Digest {
    sha2::Sha256::digest(bytes).into()
}
