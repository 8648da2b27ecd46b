//! Changes taken into a configuration in types: only what changes is read.

use std::collections::HashMap;

use facet::Facet;

use crate::changes::Removed;
use crate::json;
use crate::model::{Configuration, Customer, Limits, Route, Service};
use crate::whole::Whole;
use crate::ConfigurationError;

#[derive(Facet, Default)]
struct TypedUpserts {
    #[facet(default)]
    routes: Vec<Route>,
    #[facet(default)]
    services: Vec<Service>,
    #[facet(default)]
    customers: Vec<Customer>,
    #[facet(default)]
    caps: Option<Limits>,
}

#[derive(Facet)]
struct TypedChanges {
    version: Whole,
    #[facet(default)]
    upsert: Option<TypedUpserts>,
    #[facet(default)]
    remove: Option<Removed>,
}

impl Configuration {
    /// This configuration with changes, as operators send them, taken in; does not check it. The same as
    /// [`crate::Document::with`] and reading the whole anew, in the time that the changes take.
    ///
    /// # Errors
    /// Tells what can't be read.
    pub fn with(&self, changes: &[u8]) -> Result<Configuration, ConfigurationError> {
        let changes: TypedChanges = json::read(changes)?;
        let upsert = changes.upsert.unwrap_or_default();
        let remove = changes.remove.unwrap_or_default();
        Ok(Configuration {
            version: changes.version,
            routes: merged(&self.routes, upsert.routes, &remove.routes, |route| &route.name),
            services: merged(&self.services, upsert.services, &remove.services, |service| &service.name),
            customers: merged(&self.customers, upsert.customers, &remove.customers, |customer| {
                &customer.name
            }),
            caps: upsert.caps.or(self.caps),
        })
    }
}

/// Items with some replaced by name or added at the end, and some removed.
pub(crate) fn merged<T: Clone>(
    items: &[T],
    upserts: Vec<T>,
    removed: &[String],
    name: impl Fn(&T) -> &str,
) -> Vec<T> {
    let stays = |item: &&T| !removed.iter().any(|removed| removed == name(item));
    let mut merged: Vec<T> = items.iter().filter(stays).cloned().collect();
    let places: HashMap<String, usize> =
        merged.iter().enumerate().map(|(place, item)| (name(item).to_string(), place)).collect();
    for upsert in upserts {
        match places.get(name(&upsert)) {
            Some(place) => merged[*place] = upsert,
            None => merged.push(upsert),
        }
    }
    merged
}
