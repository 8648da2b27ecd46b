//! What an operator's order makes of the configuration and of the named weights.

use configuration::{digest, Changes, Configuration, ConfigurationError, Digest, Document};

use crate::values::{ConfigurationValue, Fate, WeightsValue};

/// How the operator says what follows.
#[derive(Debug, Clone)]
enum Content {
    /// All of the next version.
    Whole(Vec<u8>),
    /// Named items of it.
    Changes(Changes),
}

/// An operator's order to change the configuration, readable and, as far as that needs no other version, valid.
#[derive(Debug, Clone)]
pub struct ConfigurationOrder {
    based_on: u64,
    version: u64,
    digest: Digest,
    content: Content,
}

/// What becomes of an order on top of a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// It takes effect with this value.
    Write(ConfigurationValue),
    /// It took effect before.
    Taken,
    /// Another version is current.
    OtherVersion(u64),
    /// Another version is current, and nobody remembers any more whether the order led to it.
    Forgotten(u64),
    /// It is invalid on top of the current version.
    Invalid(String),
}

impl ConfigurationOrder {
    /// A whole configuration.
    pub fn replace(based_on: u64, body: Vec<u8>) -> Result<ConfigurationOrder, ConfigurationError> {
        let document = Document::read(&body)?;
        checked(&document)?;
        let digest = order_digest(b"replace", based_on, &body);
        let version = document.version;
        Ok(ConfigurationOrder { based_on, version, digest, content: Content::Whole(body) })
    }

    /// Changes of named items.
    pub fn update(based_on: u64, body: &[u8]) -> Result<ConfigurationOrder, ConfigurationError> {
        let changes = Changes::read(body)?;
        let digest = order_digest(b"update", based_on, body);
        Ok(ConfigurationOrder {
            based_on,
            version: changes.version,
            digest,
            content: Content::Changes(changes),
        })
    }

    /// The version that the order makes.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Judges the order on top of the current value.
    pub fn judge(&self, current: Option<&ConfigurationValue>) -> Verdict {
        let current_version = current.map_or(0, |current| current.version);
        let of_nothing = if self.based_on == 0 { Fate::Open } else { Fate::Lost };
        match current.map_or(of_nothing, |current| current.fate(&self.digest, self.based_on)) {
            Fate::Taken => return Verdict::Taken,
            Fate::Lost => return Verdict::OtherVersion(current_version),
            Fate::Forgotten => return Verdict::Forgotten(current_version),
            Fate::Open => {}
        }
        if self.version <= current_version {
            let why =
                format!("version {} is not above the current {current_version}; raise it", self.version);
            return Verdict::Invalid(why);
        }
        match self.body_on(current) {
            Ok(body) => Verdict::Write(ConfigurationValue::after(current, self.version, self.digest, body)),
            Err(why) => Verdict::Invalid(why.to_string()),
        }
    }

    fn body_on(&self, current: Option<&ConfigurationValue>) -> Result<Vec<u8>, ConfigurationError> {
        let changes = match &self.content {
            Content::Whole(body) => return Ok(body.clone()),
            Content::Changes(changes) => changes,
        };
        let empty = br#"{"version":0}"#.as_slice();
        let base = Document::read(current.map_or(empty, |current| &current.body))?;
        let next = base.with(changes);
        checked(&next)?;
        Ok(next.to_json().into_bytes())
    }
}

/// Reads a configuration into types and checks it whole.
fn checked(document: &Document) -> Result<Configuration, ConfigurationError> {
    let configuration = document.typed()?;
    let faults = configuration::validate(&configuration);
    if !faults.is_empty() {
        return Err(ConfigurationError::Invalid(faults));
    }
    Ok(configuration)
}

/// Names an order: the same call, sent again to any controller, has the same digest.
fn order_digest(kind: &[u8], based_on: u64, body: &[u8]) -> Digest {
    let mut order = Vec::with_capacity(kind.len() + 8 + body.len());
    order.extend_from_slice(kind);
    order.extend_from_slice(&based_on.to_le_bytes());
    order.extend_from_slice(body);
    digest(&order)
}

/// An operator's order that names a version of a model's weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightsOrder {
    pub model: String,
    pub version: u64,
}

/// What becomes of an order that names weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WeightsVerdict {
    Write(WeightsValue),
    /// That version, or a later one, was named before. Versions go up, so the order has nothing left to do.
    Named,
    TooManyModels,
}

impl WeightsOrder {
    /// Judges the order on top of the current value. `wall_ms` is the time of day.
    pub fn judge(&self, current: Option<&WeightsValue>, wall_ms: u64) -> WeightsVerdict {
        let current = current.cloned().unwrap_or_default();
        if current.version_of(&self.model).is_some_and(|known| known >= self.version) {
            return WeightsVerdict::Named;
        }
        let next = current.with(&self.model, self.version, wall_ms);
        next.map_or(WeightsVerdict::TooManyModels, WeightsVerdict::Write)
    }
}
