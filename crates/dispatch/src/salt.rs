//! Texts under which replicas keep parts of prompts. A salt holds the version of the weights, because replicas don't
//! tell versions apart, and the tenant where it shares with nobody.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

/// Longest tenant name that a salt holds as it is, bytes.
const NAME_LIMIT: usize = 48;

/// A digest of the tenants that share with nobody. Others' salts hold it: what a tenant left among the shared parts
/// must not be found once it shares no more.
pub fn isolation_digest<'a>(isolated: impl IntoIterator<Item = &'a str>) -> u64 {
    let mut names: Vec<&str> = isolated.into_iter().collect();
    if names.is_empty() {
        return 0;
    }
    names.sort_unstable();
    digest(names)
}

/// Makes salts under one configuration.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Salts {
    /// The digest of the tenants that share with nobody.
    pub isolation: u64,
}

impl Salts {
    /// The salt of a request for weights of this version; `isolated` names its tenant if it shares with nobody.
    pub fn salt(self, version: u64, isolated: Option<&str>) -> String {
        match isolated {
            Some(name) if is_plain(name) => format!("{version}/{name}"),
            Some(name) => format!("{version}/#{:016x}", digest(name)),
            None if self.isolation == 0 => format!("{version}"),
            None => format!("{version}-{:016x}", self.isolation),
        }
    }
}

fn is_plain(name: &str) -> bool {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    !name.is_empty() && name.len() <= NAME_LIMIT && name.bytes().all(plain)
}

fn digest(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
