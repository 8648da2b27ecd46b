//! Numbered events for the logs.

use std::fmt::{Arguments, Display};

/// Something that is logged under a number; `docs/events.md` is the catalogue.
pub trait Event: Copy + Display {
    /// The number in the catalogue.
    fn number(self) -> u16;

    /// Logs the event as part of ordinary work, of interest when something is looked into.
    fn debug(self, what: Arguments) {
        log::debug!("{} {self}: {what}", self.number());
    }

    /// Logs the event as part of ordinary work.
    fn info(self, what: Arguments) {
        log::info!("{} {self}: {what}", self.number());
    }

    /// Logs the event as one that somebody should look at.
    fn warn(self, what: Arguments) {
        log::warn!("{} {self}: {what}", self.number());
    }

    /// Logs the event as one that keeps the process from its work.
    fn error(self, what: Arguments) {
        log::error!("{} {self}: {what}", self.number());
    }
}

/// Events of every program.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
#[repr(u16)]
pub enum ProcessEvent {
    /// The settings can't be read anew; they stay as they were.
    SettingsUnusable = 10,
    /// Signals can't be taken; the process ends.
    SignalsUnusable = 11,
    /// It starts: which version, built from which sources.
    Starting = 12,
}

impl Event for ProcessEvent {
    fn number(self) -> u16 {
        self as u16
    }
}
