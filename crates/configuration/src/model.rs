//! The configuration in types. Names on the wire are the operators'.

use crate::whole::Whole;
use facet::Facet;
use strum::EnumString;

/// The priority of a request whose tenant and route set none.
pub const DEFAULT_PRIORITY: u8 = 5;

/// What may be done twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum RouteKind {
    /// May run more than once.
    ReadOnly,
    /// May run once at most for each try.
    Writing,
    /// Answers are events; counts as writing unless it can be resumed.
    Streaming,
}

/// A share of a route's requests.
#[derive(Debug, Clone, PartialEq, Facet)]
pub struct Share {
    /// The service that gets it.
    pub service: String,
    /// Its weight among the shares.
    pub share: f64,
}

/// Which requests go to which service, and how.
#[derive(Debug, Clone, PartialEq, Facet)]
#[facet(rename_all = "kebab-case")]
pub struct Route {
    /// Unique name.
    pub name: String,
    /// The `Host` of its requests.
    pub host: String,
    /// How the path of its requests begins.
    pub path_start: String,
    /// `read_only`, `writing` or `streaming`.
    #[facet(default)]
    pub kind: String,
    /// Longest time to hold a request, ms.
    pub give_up_ms: f64,
    /// Time within which an answer has its full worth, ms.
    #[facet(default)]
    pub target_ms: f64,
    /// 0 is the most urgent.
    #[facet(default)]
    pub priority: Option<Whole>,
    /// The service, where there is no split.
    #[facet(default)]
    pub service: Option<String>,
    /// Shares of services.
    #[facet(default)]
    pub split: Vec<Share>,
    /// Most replicas to which one try may be sent.
    #[facet(default)]
    pub tries: Option<Whole>,
    /// Needs no key.
    #[facet(default)]
    pub public: bool,
    /// Requests name their prompt's parts.
    #[facet(default)]
    pub stick_to_node: bool,
    /// A stream may be taken up at another replica.
    #[facet(default)]
    pub can_resume: bool,
    /// Longest pause between events that keeps an answer in time, ms.
    #[facet(default, rename = "gap_aim_ms")]
    pub gap_aim_ms: Option<f64>,
}

impl Route {
    /// The kind; one that is not known counts as writing, the most careful.
    pub fn known_kind(&self) -> RouteKind {
        self.kind.parse().unwrap_or(RouteKind::Writing)
    }

    /// Whether a request of this route may run more than once.
    pub fn is_idempotent(&self) -> bool {
        match self.known_kind() {
            RouteKind::ReadOnly => true,
            RouteKind::Writing => false,
            RouteKind::Streaming => self.can_resume,
        }
    }

    /// Most replicas to which one try may be sent; at least 1.
    pub fn most_tries(&self) -> u32 {
        self.tries.map_or(1, |tries| u32::try_from(tries.0).unwrap_or(u32::MAX)).max(1)
    }
}

/// A model that a service's replicas serve.
#[derive(Debug, Clone, PartialEq, Facet)]
pub struct Model {
    /// Its name, as requests give it.
    pub name: String,
}

/// What replicas of a service with models are.
#[derive(Debug, Clone, PartialEq, Facet)]
#[facet(rename_all = "kebab-case")]
pub struct Engine {
    /// Requests at once.
    #[facet(default)]
    pub free_slots: Whole,
    /// Memory for kept blocks and running requests, tokens.
    #[facet(default)]
    pub cache_tokens: Whole,
    /// Bytes of memory a token.
    #[facet(default)]
    pub token_bytes: f64,
    /// Bandwidth for moves of kept blocks, Mbit/s.
    #[facet(default)]
    pub link_mbps: f64,
    /// Tokens an event of a stream may hold.
    #[facet(default)]
    pub stride: Option<f64>,
    /// Calls for events that a replica holds at one time, from the whole fleet.
    #[facet(default)]
    pub max_calls: Option<Whole>,
    /// The models.
    #[facet(default)]
    pub models: Vec<Model>,
}

/// A service: replicas, or a store of kept blocks.
#[derive(Debug, Clone, PartialEq, Facet)]
#[facet(rename_all = "kebab-case")]
pub struct Service {
    /// Unique name.
    pub name: String,
    /// Path of health checks.
    #[facet(default)]
    pub health_path: Option<String>,
    /// Connections that a replica takes from all callers together.
    #[facet(default)]
    pub max_conns: Option<Whole>,
    /// Protocol of its replicas.
    #[facet(default)]
    pub protocol: Option<String>,
    /// Where it has models.
    #[facet(default)]
    pub engine: Option<Engine>,
    /// Address of the store, where this is one.
    #[facet(default)]
    pub cache_store: Option<String>,
    /// Zone of the store.
    #[facet(default)]
    pub zone: Option<String>,
    /// Room of the store, tokens.
    #[facet(default)]
    pub cache_tokens: Option<Whole>,
    /// Bandwidth of the store, Mbit/s.
    #[facet(default)]
    pub link_mbps: Option<f64>,
    /// Calls for events that the store holds at one time.
    #[facet(default)]
    pub max_calls: Option<Whole>,
}

/// Limits on what a client may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Facet)]
#[facet(rename_all = "kebab-case")]
pub struct Limits {
    /// Longest head of a request, bytes.
    #[facet(default = Whole(16384))]
    pub max_header_bytes: Whole,
    /// Longest body of a request, bytes.
    #[facet(default = Whole(4194304))]
    pub max_body_bytes: Whole,
    /// Longest time for a request's head to come, ms.
    #[facet(default = Whole(3000))]
    pub header_wait_ms: Whole,
    /// Longest time that a connection may rest, ms.
    #[facet(default = Whole(15000))]
    pub idle_ms: Whole,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_header_bytes: Whole(16_384),
            max_body_bytes: Whole(4 << 20),
            header_wait_ms: Whole(3000),
            idle_ms: Whole(15_000),
        }
    }
}

/// A tenant and its keys.
#[derive(Debug, Clone, PartialEq, Facet)]
#[facet(rename_all = "kebab-case")]
pub struct Customer {
    /// Unique name, which replicas are told.
    pub name: String,
    /// Keys that name this tenant.
    #[facet(default)]
    pub api_keys: Vec<String>,
    /// Goes before the route's priority.
    #[facet(default)]
    pub priority: Option<Whole>,
    /// Shares no kept blocks with others.
    #[facet(default)]
    pub isolated: bool,
}

/// A whole configuration.
#[derive(Debug, Clone, Default, PartialEq, Facet)]
pub struct Configuration {
    /// Goes up with every change.
    pub version: Whole,
    /// The routes.
    #[facet(default)]
    pub routes: Vec<Route>,
    /// The services.
    #[facet(default)]
    pub services: Vec<Service>,
    /// Limits for clients.
    #[facet(default)]
    pub caps: Option<Limits>,
    /// Tenants; where there are any, requests need a key.
    #[facet(default)]
    pub customers: Vec<Customer>,
}

impl Configuration {
    /// Reads a configuration; does not check it.
    ///
    /// # Errors
    /// Tells what can't be read.
    pub fn read(json: &[u8]) -> Result<Configuration, crate::ConfigurationError> {
        crate::json::read(json)
    }

    /// The service of a name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Limits for clients.
    pub fn limits(&self) -> Limits {
        self.caps.unwrap_or_default()
    }
}
