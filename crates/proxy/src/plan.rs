//! What becomes of a request, by its head and the configuration in force. No I/O.

use crate::urgency::Ranks;
use crate::view::InForce;
use configuration::{Route, RouteKind, Share};
use dispatch::{Ask, Ms, Rules, Tenant};
use http::RequestHead;
use rand::rngs::SmallRng;
use rand::Rng;
use std::rc::Rc;

/// The authentication scheme of keys.
const SCHEME: &str = "bearer ";

/// A request that may be dispatched.
#[derive(Debug, Clone)]
pub struct Plan {
    /// What the dispatcher needs.
    pub ask: Ask,
    /// How urgent it is. Its number towards replicas follows at each send from the ranks in force then.
    pub ranks: Ranks,
    /// The client's id of this try.
    pub attempt_id: String,
    /// The answer is a series of events.
    pub is_stream: bool,
}

/// A request that is refused without being sent anywhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Refusal {
    /// No route.
    NoRoute,
    /// No key, or one that is not known.
    UnknownKey,
    /// No `Attempt-Id`, or several.
    NoAttemptId,
}

impl Refusal {
    /// The status that tells the client.
    pub fn status(self) -> u16 {
        match self {
            Refusal::NoRoute => 404,
            Refusal::UnknownKey => 401,
            Refusal::NoAttemptId => 400,
        }
    }
}

impl Plan {
    /// What becomes of a request that came at `now`.
    ///
    /// # Errors
    /// Tells why it is refused.
    pub fn new(
        head: &RequestHead,
        in_force: &InForce,
        now: Ms,
        random: &mut SmallRng,
    ) -> Result<Plan, Refusal> {
        let place = in_force.router.find(head.host(), head.path()).ok_or(Refusal::NoRoute)?;
        let route = &in_force.configuration.routes[place];
        let customer = tenant(head, in_force, route)?.map(|place| &in_force.configuration.customers[place]);
        if head.lines.count("attempt-id") != 1 {
            return Err(Refusal::NoAttemptId);
        }
        let text = |name| head.lines.get(name).map(str::to_string);
        let is_stream = route.known_kind() == RouteKind::Streaming;
        let ask = Ask {
            service: service(route, random),
            route: peer::replica_key(&route.name),
            rules: Rules { is_idempotent: route.is_idempotent(), tries: route.most_tries() },
            model: text("model"),
            prompt: text("prompt-prefix"),
            tenant: customer.map(|customer| Tenant {
                name: Rc::from(customer.name.as_str()),
                came_isolated: customer.isolated,
            }),
            deadline: now + time_left(head, route),
            target: (route.target_ms > 0.0).then_some(now + route.target_ms),
        };
        Ok(Plan {
            ask,
            ranks: Ranks { tenant: customer.and_then(|customer| customer.priority), route: route.priority },
            attempt_id: text("attempt-id").ok_or(Refusal::NoAttemptId)?,
            is_stream,
        })
    }
}

/// The customer whose key a request carries; `None` where it needs none.
fn tenant(head: &RequestHead, in_force: &InForce, route: &Route) -> Result<Option<usize>, Refusal> {
    if in_force.configuration.customers.is_empty() {
        return Ok(None);
    }
    let found = key(head).and_then(|key| in_force.keys.find(key));
    match found {
        Some(place) => Ok(Some(place)),
        None if route.public => Ok(None),
        None => Err(Refusal::UnknownKey),
    }
}

fn key(head: &RequestHead) -> Option<&str> {
    if head.lines.count("authorization") != 1 {
        return None;
    }
    let value = head.lines.get("authorization")?;
    let scheme = value.get(..SCHEME.len())?;
    scheme.eq_ignore_ascii_case(SCHEME).then(|| value[SCHEME.len()..].trim())
}

/// How long a request may be held, ms.
fn time_left(head: &RequestHead, route: &Route) -> Ms {
    let told = head.lines.get("deadline-left").and_then(|text| text.parse::<f64>().ok());
    let told = told.filter(|left| left.is_finite() && *left >= 0.0);
    told.map_or(route.give_up_ms, |left| left.min(route.give_up_ms))
}

/// The service that gets a request of a route: by lot where it is split.
fn service(route: &Route, random: &mut SmallRng) -> Rc<str> {
    let all: f64 = route.split.iter().map(|share| share.share).sum();
    if all > 0.0 {
        let mut drawn = random.random_range(0.0..all);
        for Share { service, share } in &route.split {
            if drawn < *share {
                return Rc::from(service.as_str());
            }
            drawn -= share;
        }
    }
    let last = route.split.last().map(|share| share.service.as_str());
    Rc::from(route.service.as_deref().or(last).unwrap_or_default())
}
