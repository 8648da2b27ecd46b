//! Which tenant a key belongs to.

use crate::Configuration;
use std::collections::hash_map::RandomState;
use std::collections::HashMap;
use std::hash::BuildHasher;

/// Tenants by key. Keys are kept as keyed hashes with secrets of this process, so that neither the memory of the table
/// nor the time of a look-up tells how much of a key is right.
#[derive(Debug, Clone, Default)]
pub struct KeyTable {
    first: RandomState,
    second: RandomState,
    tenants: HashMap<(u64, u64), usize>,
}

impl KeyTable {
    /// The keys of a configuration; look-ups give the customers' places in its list.
    pub fn new(configuration: &Configuration) -> KeyTable {
        let mut table = KeyTable::default();
        for (place, customer) in configuration.customers.iter().enumerate() {
            for key in &customer.api_keys {
                let hashed = table.hashed(key);
                table.tenants.insert(hashed, place);
            }
        }
        table
    }

    /// The customer whose key this is.
    pub fn find(&self, key: &str) -> Option<usize> {
        self.tenants.get(&self.hashed(key)).copied()
    }

    /// Whether there are no keys at all.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }

    fn hashed(&self, key: &str) -> (u64, u64) {
        (self.first.hash_one(key), self.second.hash_one(key))
    }
}
