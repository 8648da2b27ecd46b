//! Texts under which replicas keep parts of prompts. A salt holds the version of the weights, because replicas don't
//! tell versions apart, and the tenant where it shares with nobody.

use std::collections::hash_map::DefaultHasher;
use std::collections::HashSet;
use std::hash::{Hash, Hasher};
use std::rc::Rc;

/// Longest tenant name that a salt holds as it is, bytes.
const NAME_LIMIT: usize = 48;

/// The tenant of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tenant {
    /// Its name.
    pub name: Rc<str>,
    /// It shared no part of a prompt with others when the request came.
    pub came_isolated: bool,
}

/// What a configuration tells of a tenant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TenantPolicy<'name> {
    /// Its name.
    pub name: &'name str,
    /// It shares no part of a prompt with others.
    pub is_isolated: bool,
}

/// Makes salts under one configuration: who shares, and the salt of all that share, come from the same one.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Salts {
    /// The tenants that share parts with each other.
    sharing: HashSet<Box<str>>,
    /// A digest of the tenants that share with nobody, 0 without any. Others' salts hold it: what a tenant left among the
    /// shared parts must not be found once it shares no more.
    isolation: u64,
}

impl Salts {
    /// The salts under a configuration with these tenants.
    pub fn new<'name>(tenants: impl IntoIterator<Item = TenantPolicy<'name>>) -> Salts {
        let mut salts = Salts::default();
        let mut isolated = Vec::new();
        for tenant in tenants {
            if tenant.is_isolated {
                isolated.push(tenant.name);
            } else {
                salts.sharing.insert(tenant.name.into());
            }
        }
        if !isolated.is_empty() {
            isolated.sort_unstable();
            salts.isolation = digest(isolated);
        }
        salts
    }

    /// The salt for weights of this version of a request that is sent now.
    pub fn salt(&self, version: u64, tenant: Option<&Tenant>) -> String {
        match tenant.filter(|tenant| !self.is_sharing(tenant)) {
            Some(Tenant { name, .. }) if is_plain(name) => format!("{version}/{name}"),
            Some(Tenant { name, .. }) => format!("{version}/#{:016x}", digest(name)),
            None if self.isolation == 0 => format!("{version}"),
            None => format!("{version}-{:016x}", self.isolation),
        }
    }

    /// Whether a request that is sent now shares parts with those of other tenants. A request that came while its tenant
    /// was isolated never does, nor does one whose tenant is not known any more.
    pub fn is_sharing(&self, tenant: &Tenant) -> bool {
        !tenant.came_isolated && self.sharing.contains(&*tenant.name)
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
