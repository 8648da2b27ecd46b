//! Which route a request belongs to.

use crate::Configuration;
use std::collections::HashMap;

/// Routes by host and by how the path begins. Every start ends with a slash, so that the longest start of a path is
/// found by cutting the path at its slashes, from the last one on.
#[derive(Debug, Clone, Default)]
pub struct Router {
    hosts: HashMap<String, HashMap<String, usize>>,
}

impl Router {
    /// The routes of a configuration; look-ups give their places in its list.
    pub fn new(configuration: &Configuration) -> Router {
        let mut hosts: HashMap<String, HashMap<String, usize>> = HashMap::new();
        for (place, route) in configuration.routes.iter().enumerate() {
            let host = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            host.insert(route.path_start.clone(), place);
        }
        Router { hosts }
    }

    /// The route of a request by its `Host` header and the path of its target.
    pub fn find(&self, host: &str, path: &str) -> Option<usize> {
        let starts = self.hosts.get(without_port(host).to_ascii_lowercase().as_str())?;
        let mut end = path.rfind('/')?;
        loop {
            if let Some(place) = starts.get(&path[..=end]) {
                return Some(*place);
            }
            end = path[..end].rfind('/')?;
        }
    }
}

/// A `Host` header without its port.
fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
