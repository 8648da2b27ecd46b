//! The settings as both programs are told them, converted in this one place.

use crate::interface::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use thiserror::Error;

/// Why a file of settings can't be used. Nothing of it is taken in then: a program that starts ends with exit code 1, one
/// that serves goes on with what it had.
#[derive(Debug, Error)]
#[allow(missing_docs)]
pub enum ConfigError {
    #[error("not a configuration: field `{field}`: {why}; mend the file there")]
    Json { field: String, why: serde_json::Error },
    #[error("field `{field}` is no address: `{value}`; write IP:PORT, as 10.0.0.4:7070")]
    Address { field: &'static str, value: String },
    #[error("field `seed` is no hex number: `{0}`; write up to 16 hex digits")]
    Seed(String),
    #[error("field `settings.classes[{class}].effect` has unknown value `{value}`; write idempotent, deduplicated or at_most_once")]
    Effect { class: usize, value: String },
    #[error("field `settings.registry_mode` has unknown value `{0}`; write automatic or subscribe")]
    Registry(String),
    #[error("field `settings.domain.{field}` has {found} values for {wanted} classes; give one for each")]
    TooFew { field: &'static str, found: usize, wanted: usize },
    #[error("field `settings.{0}` is empty or 0; give at least 1")]
    Nothing(&'static str),
    #[error("field `settings.{field}` is {value}; give a number above 0")]
    NotAbove0 { field: String, value: f64 },
    #[error("field `{0}` is missing, which the file taken before has; write it, or start anew without it")]
    Lacks(String),
    #[error("field `settings.{0}` can't change while the program serves; put it back, or start anew")]
    Fixed(&'static str),
    #[error("field `settings.classes[{class}]`: {why}")]
    Unsupported { class: usize, why: &'static str },
    #[error("field `contracts`, team `{team}`: no class `{class}`; name classes of `settings.classes`")]
    NoClass { team: String, class: String },
    #[error("field `contracts`, team `{team}`: `{field}` is {value}; give {least} or more")]
    Contract { team: String, field: &'static str, value: f64, least: f64 },
}

impl ConfigError {
    /// Reads a whole file as JSON; a fault is told with its field, line and column.
    ///
    /// # Errors
    /// What was found and what was expected there.
    pub fn parse<'a, T: serde::Deserialize<'a>>(text: &'a str) -> Result<T, ConfigError> {
        let mut reader = serde_json::Deserializer::from_str(text);
        let read = serde_path_to_error::deserialize(&mut reader).map_err(|error| ConfigError::Json {
            field: error.path().to_string(),
            why: error.into_inner(),
        })?;
        reader.end().map_err(|why| ConfigError::Json { field: ".".into(), why })?;
        Ok(read)
    }

    /// Reads a field that holds an address.
    ///
    /// # Errors
    /// The field and what it holds.
    pub fn address(field: &'static str, value: &str) -> Result<SocketAddr, ConfigError> {
        value.parse().map_err(|_| ConfigError::Address { field, value: value.to_string() })
    }
}

/// The start-up parameters that the module uses.
#[derive(Debug, Clone, serde::Deserialize, miniserde::Deserialize)]
#[allow(missing_docs)]
pub struct Profile {
    pub az: Option<String>,
    pub classes: Vec<ProfileClass>,
    pub counted_by: Option<String>,
    pub domain: Domain,
    pub fees: Option<BTreeMap<String, f64>>,
    pub invariants: Invariants,
    pub period_ms: f64,
    pub policy_limits: Limits,
    pub registry_mode: String,
    pub report: Option<ReportNames>,
    pub siblings: usize,
}

/// What the values of a load report are called.
#[derive(Debug, Clone, Default, serde::Deserialize, miniserde::Deserialize)]
#[allow(missing_docs)]
pub struct ReportNames {
    pub names: Option<Vec<String>>,
}

impl ReportNames {
    /// Whether a report holds a value that the module reads.
    pub fn tells_load(&self) -> bool {
        self.names.iter().flatten().any(|name| name == "active" || name == "cpu")
    }

    /// Puts the values of a report in the module's terms; unknown names are skipped.
    pub fn report(&self, values: Option<&[Option<f64>]>) -> Report {
        let value = |name: &str| {
            let place = self.names.iter().flatten().position(|known| known == name)?;
            *values?.get(place)?
        };
        Report { held: value("active"), busy: value("cpu") }
    }
}

#[derive(Debug, Clone, serde::Deserialize, miniserde::Deserialize)]
#[allow(missing_docs)]
pub struct ProfileClass {
    pub name: String,
    pub goal_time_ms: f64,
    pub deadline_ms: f64,
    pub worth: f64,
    pub late_share: Option<f64>,
    pub effect: String,
    pub dedup_window_ms: Option<f64>,
}

#[derive(Debug, Clone, serde::Deserialize, miniserde::Deserialize)]
#[allow(missing_docs)]
pub struct Domain {
    pub cells: usize,
    pub reach: usize,
    pub parts_a_call: usize,
    pub call_ms: f64,
    pub class_fetch: Vec<usize>,
    pub floor_by_class: Vec<f64>,
    pub partial_earns: Vec<f64>,
    pub whole_at: Vec<f64>,
    pub slices: Option<usize>,
}

#[derive(Debug, Clone, serde::Deserialize, miniserde::Deserialize)]
#[allow(missing_docs)]
pub struct Invariants {
    pub ask_within_ms: Option<f64>,
    pub budget_span_ms: Option<f64>,
    pub extra_free: Option<f64>,
    pub resend_ratio: Option<f64>,
    pub cold_from: f64,
    pub cold_ms: f64,
    pub fall_multiple: f64,
    pub overload_for_ms: f64,
}

#[derive(Debug, Clone, serde::Deserialize, miniserde::Deserialize)]
#[allow(missing_docs)]
pub struct Limits {
    pub cancelling: bool,
    pub may_probe: Option<bool>,
    pub max_retry_after_ms: Option<f64>,
    pub retry_after: bool,
    pub second_copies: bool,
    pub try_limit: usize,
    pub dial_timeout_ms: Option<f64>,
    pub idle_close_ms: Option<f64>,
    pub max_open: Option<usize>,
    pub streams_per_conn: Option<usize>,
}

impl Profile {
    /// Puts the parameters in the module's terms.
    ///
    /// # Errors
    /// Names the field that makes no sense.
    pub fn settings(&self) -> Result<Settings, ConfigError> {
        let fee = |name: &str| self.fees.as_ref().and_then(|fees| fees.get(name)).copied().unwrap_or(0.0);
        if self.classes.is_empty() {
            return Err(ConfigError::Nothing("classes"));
        }
        for (field, value) in [("domain.cells", self.domain.cells), ("domain.reach", self.domain.reach)] {
            if value == 0 {
                return Err(ConfigError::Nothing(field));
            }
        }
        self.check_numbers()?;
        let mut classes = Vec::new();
        for (n, class) in self.classes.iter().enumerate() {
            let wanted = self.classes.len();
            let short = |field, found| ConfigError::TooFew { field, found, wanted };
            classes.push(Class {
                aim: class.goal_time_ms,
                deadline: class.deadline_ms,
                worth: class.worth,
                late_share: class.late_share.unwrap_or(0.0),
                effect: match class.effect.as_str() {
                    "idempotent" => Effect::Safe,
                    "deduplicated" => Effect::Keyed(class.dedup_window_ms.unwrap_or(0.0)),
                    "at_most_once" => Effect::Unsafe,
                    other => return Err(ConfigError::Effect { class: n, value: other.to_string() }),
                },
                whole_at: *self
                    .domain
                    .whole_at
                    .get(n)
                    .ok_or_else(|| short("whole_at", self.domain.whole_at.len()))?,
                floor: *self
                    .domain
                    .floor_by_class
                    .get(n)
                    .ok_or_else(|| short("floor_by_class", self.domain.floor_by_class.len()))?,
                partial_earns: *self
                    .domain
                    .partial_earns
                    .get(n)
                    .ok_or_else(|| short("partial_earns", self.domain.partial_earns.len()))?,
                fetch: *self
                    .domain
                    .class_fetch
                    .get(n)
                    .ok_or_else(|| short("class_fetch", self.domain.class_fetch.len()))?,
            });
        }
        let (rules, limits) = (&self.invariants, &self.policy_limits);
        let budget = rules.resend_ratio.zip(rules.budget_span_ms).map(|(share, window)| Budget {
            free: rules.extra_free.unwrap_or(0.0),
            share,
            window,
        });
        Ok(Settings {
            siblings: self.siblings,
            zone: self.az.clone().unwrap_or_default(),
            classes,
            cells: self.domain.cells,
            reach: self.domain.reach,
            parts_a_call: self.domain.parts_a_call,
            call_cost: self.domain.call_ms,
            must_subscribe: match self.registry_mode.as_str() {
                "subscribe" => true,
                "automatic" => false,
                other => return Err(ConfigError::Registry(other.to_string())),
            },
            ask_within: rules.ask_within_ms.unwrap_or(f64::INFINITY),
            period: self.period_ms,
            may_cancel: limits.cancelling,
            may_copy: limits.second_copies,
            may_probe: limits.may_probe.unwrap_or(false),
            probe_reports: self.report.as_ref().is_some_and(ReportNames::tells_load),
            may_advise: limits.retry_after,
            advice_limit: limits.max_retry_after_ms.unwrap_or(0.0),
            try_limit: limits.try_limit,
            cold_from: rules.cold_from,
            cold_time: rules.cold_ms,
            fall_multiple: rules.fall_multiple,
            overload_time: rules.overload_for_ms,
            worth_by_work: self.counted_by.as_deref() == Some("work"),
            cross_zone_fee: fee("cross_zone"),
            probe_fee: fee("probe"),
            budget,
        })
    }

    /// Checks the numbers that must be above 0.
    fn check_numbers(&self) -> Result<(), ConfigError> {
        let deadlines = self.classes.iter().enumerate();
        let deadlines = deadlines.map(|(n, class)| (format!("classes[{n}].deadline_ms"), class.deadline_ms));
        let tries = ("policy_limits.try_limit".to_string(), self.policy_limits.try_limit as f64);
        let wrong = deadlines.chain([tries]).find(|(_, value)| !(value.is_finite() && *value > 0.0));
        wrong.map_or(Ok(()), |(field, value)| Err(ConfigError::NotAbove0 { field, value }))
    }

    /// What the connections and the core need beside the decisions.
    pub fn transport(&self) -> Transport {
        let limits = &self.policy_limits;
        Transport {
            dial_timeout: limits.dial_timeout_ms.unwrap_or(250.0),
            idle_close: limits.idle_close_ms.unwrap_or(15_000.0),
            streams: limits.streams_per_conn.unwrap_or(1).max(1),
            max_open: limits.max_open.unwrap_or(usize::MAX),
            shards: self.domain.slices.unwrap_or(usize::MAX),
        }
    }
}

/// Limits on connections and on what is held at once.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Transport {
    /// A connection not up by then counts as never made.
    pub dial_timeout: Ms,
    /// The other side closes a connection that stood idle for so long.
    pub idle_close: Ms,
    /// Calls that one connection carries at once.
    pub streams: usize,
    /// Queries and parts held at most.
    pub max_open: usize,
    /// How many shards there are.
    pub shards: usize,
}

/// Settings that hold from now on, while the program serves.
#[derive(Debug, Clone)]
pub struct Tuned {
    /// The module's and the core's; a class keeps its index while requests of it are open.
    pub settings: Settings,
    /// Those of the connections.
    pub limits: Transport,
}
