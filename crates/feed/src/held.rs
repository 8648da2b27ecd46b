//! The configuration that a process holds, and the step that led to it.

use configuration::{Changes, ConfigurationError, Document};

/// A decided configuration.
#[derive(Debug, Clone)]
pub struct HeldConfiguration {
    document: Document,
    body: Vec<u8>,
    /// The version before, with the changes from it, if they are shorter than the whole.
    step: Option<(u64, Vec<u8>)>,
}

/// What became of a configuration or of changes that came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigurationTaken {
    /// It is newer, and held now.
    News,
    /// It, or a newer one, was held.
    Known,
    /// The changes build on a version that is not held: the whole is needed.
    OtherBase,
}

impl HeldConfiguration {
    /// The configuration with this body, which follows `before`.
    pub(crate) fn read(
        body: Vec<u8>,
        before: Option<&HeldConfiguration>,
    ) -> Result<HeldConfiguration, ConfigurationError> {
        let document = Document::read(&body)?;
        Ok(HeldConfiguration::with_document(document, body, before))
    }

    /// The configuration that changes make of this one.
    pub(crate) fn changed(&self, changes: &[u8]) -> Result<HeldConfiguration, ConfigurationError> {
        let document = self.document.with(&Changes::read(changes)?);
        let body = document.to_json().into_bytes();
        let step = Some((self.version(), changes.to_vec()));
        Ok(HeldConfiguration { document, body, step })
    }

    fn with_document(document: Document, body: Vec<u8>, before: Option<&HeldConfiguration>) -> Self {
        let step = before.and_then(|before| {
            let changes = Changes::between(&before.document, &document);
            let leads_here = before.document.with(&changes).has_same_items(&document);
            let changes = changes.to_json().into_bytes();
            (leads_here && changes.len() < body.len()).then_some((before.version(), changes))
        });
        HeldConfiguration { document, body, step }
    }

    /// Its version.
    pub fn version(&self) -> u64 {
        self.document.version
    }

    /// The whole, JSON.
    pub fn body(&self) -> &[u8] {
        &self.body
    }

    /// The message that brings a subscriber here that has version `has`.
    pub(crate) fn message_for(&self, has: u64) -> peer::Configuration {
        let (base, body) = match &self.step {
            Some((base, changes)) if *base == has => (*base, changes.clone()),
            _ => (0, self.body.clone()),
        };
        peer::Configuration { base, version: self.version(), body: body.into() }
    }
}
