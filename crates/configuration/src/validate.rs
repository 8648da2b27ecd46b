//! What must hold in a configuration beyond its form. All faults are named, not just the first.

use crate::{Configuration, Fault, Route};
use std::collections::{HashMap, HashSet};

/// Checks a configuration whole; an empty list means that it makes sense.
pub fn validate(configuration: &Configuration) -> Vec<Fault> {
    let mut faults = Vec::new();
    unique(configuration.routes.iter().map(|route| &route.name), "routes", &mut faults);
    unique(configuration.services.iter().map(|service| &service.name), "services", &mut faults);
    unique(configuration.customers.iter().map(|customer| &customer.name), "customers", &mut faults);
    let services: HashSet<&str> =
        configuration.services.iter().map(|service| service.name.as_str()).collect();
    for (number, route) in configuration.routes.iter().enumerate() {
        let place = format!("routes[{number}] '{}'", route.name);
        check_route(route, &place, &services, &mut faults);
    }
    same_place(&configuration.routes, &mut faults);
    shared_keys(configuration, &mut faults);
    faults
}

fn unique<'name>(names: impl Iterator<Item = &'name String>, place: &'static str, faults: &mut Vec<Fault>) {
    let mut known = HashSet::new();
    for name in names {
        if !known.insert(name) {
            let remedy = format!("'{name}' stands twice; give each item a name of its own");
            faults.push(Fault::new(place, "name", remedy));
        }
    }
}

fn check_route(route: &Route, place: &str, services: &HashSet<&str>, faults: &mut Vec<Fault>) {
    let mut fault = |field, remedy: String| faults.push(Fault::new(place, field, remedy));
    if route.give_up_ms.is_nan() || route.give_up_ms <= 0.0 {
        fault("give-up-ms", format!("is {}; give milliseconds above 0", route.give_up_ms));
    }
    if !route.path_start.starts_with('/') || !route.path_start.ends_with('/') {
        fault("path-start", format!("is '{}'; begin and end it with a slash", route.path_start));
    }
    if route.host.is_empty() {
        fault("host", "is empty; name the host of the requests".into());
    }
    let named = route.split.iter().map(|share| share.service.as_str()).chain(route.service.as_deref());
    for service in named {
        if !services.contains(service) {
            fault("service", format!("'{service}' is not among the services; add it or name another"));
        }
    }
    if route.service.is_none() && route.split.is_empty() {
        fault("service", "is missing; name a service or a split".into());
    }
    let weights = || route.split.iter().map(|share| share.share);
    let sound = weights().all(|weight| weight >= 0.0 && weight.is_finite()) && weights().sum::<f64>() > 0.0;
    if !route.split.is_empty() && !sound {
        fault("split", "the shares add up to nothing; give at least one a share above 0".into());
    }
}

fn same_place(routes: &[Route], faults: &mut Vec<Fault>) {
    let mut places: HashMap<(String, &str), &str> = HashMap::new();
    for route in routes {
        let place = (route.host.to_ascii_lowercase(), route.path_start.as_str());
        if let Some(other) = places.insert(place, &route.name) {
            let remedy = format!("'{other}' has the same host and path; drop one");
            faults.push(Fault::new(format!("route '{}'", route.name), "path-start", remedy));
        }
    }
}

fn shared_keys(configuration: &Configuration, faults: &mut Vec<Fault>) {
    let mut owners: HashMap<&str, &str> = HashMap::new();
    for customer in &configuration.customers {
        for key in &customer.api_keys {
            let other = owners.insert(key, &customer.name).filter(|other| *other != customer.name);
            if let Some(other) = other {
                let remedy = format!("shares a key with '{other}'; give each tenant keys of its own");
                faults.push(Fault::new(format!("customer '{}'", customer.name), "api-keys", remedy));
            }
        }
    }
}
