//! The operators' configuration of the router fleet.
//!
//! [`Document`] keeps a configuration as the operator sent it, item by item, so that it is read back unchanged and can
//! be turned into changes and back. [`Configuration`] is the same in types, checked whole. [`Router`] and [`KeyTable`]
//! answer what a proxy asks for each request.
#![warn(missing_docs)]

mod changes;
mod document;
mod error;
mod json;
mod keys;
mod model;
mod router;
mod typed_changes;
mod validate;
mod whole;

pub use changes::{Changes, Removed, Upserts};
pub use document::{digest, Digest, Document, Item};
pub use error::{ConfigurationError, Fault};
pub use keys::KeyTable;
pub use model::{
    Configuration, Customer, Engine, Limits, Model, Route, RouteKind, Service, Share, DEFAULT_PRIORITY,
};
pub use router::Router;
pub use validate::validate;
pub use whole::Whole;
