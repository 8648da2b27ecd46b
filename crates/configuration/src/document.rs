//! A configuration as it was sent, cut into its items.

use crate::json;
use crate::typed_changes::merged;
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

impl Item {
    fn name(&self) -> &str {
        &self.name
    }
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

/// The name of an item.
#[derive(Facet)]
pub(crate) struct Named {
    name: String,
}

/// The names of all items. They are read in one pass over the whole text: a pass for each item costs several times as
/// much.
#[derive(Facet, Default)]
pub(crate) struct Names {
    #[facet(default)]
    pub routes: Vec<Named>,
    #[facet(default)]
    pub services: Vec<Named>,
    #[facet(default)]
    pub customers: Vec<Named>,
}

/// Items from their texts and names, which come from one JSON text.
pub(crate) fn items(texts: &[RawJson], names: Vec<Named>) -> Vec<Item> {
    let item =
        |(text, named): (&RawJson, Named)| Item { name: named.name, text: text.as_str().trim().into() };
    texts.iter().zip(names).map(item).collect()
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
        let (outline, names): (Outline, Names) = json::read_twice(json)?;
        Ok(Document {
            version: outline.version.0,
            routes: items(&outline.routes, names.routes),
            services: items(&outline.services, names.services),
            customers: items(&outline.customers, names.customers),
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
            routes: merged(&self.routes, upserts.routes.clone(), &removed.routes, Item::name),
            services: merged(&self.services, upserts.services.clone(), &removed.services, Item::name),
            customers: merged(&self.customers, upserts.customers.clone(), &removed.customers, Item::name),
            caps: upserts.caps.clone().or_else(|| self.caps.clone()),
        }
    }
}

fn sorted(items: &[Item]) -> Vec<&Item> {
    let mut items: Vec<&Item> = items.iter().collect();
    items.sort_unstable_by(|one, other| (&one.name, &one.text).cmp(&(&other.name, &other.text)));
    items
}

/// The digest of a text.
pub fn digest(bytes: &[u8]) -> Digest {
    sha2::Sha256::digest(bytes).into()
}
