//! Checks of files before they are used.

use super::FleetError;
use configuration::{validate, Configuration, ConfigurationError};
use settings::ProcessSettings;
use std::path::Path;

/// Checks the settings of a process and says what they make of it.
///
/// # Errors
/// Names the file, the field and the remedy.
pub fn settings(file: &Path) -> Result<(), FleetError> {
    let settings = ProcessSettings::load(file)?;
    println!("{}: the settings of {} as {} can be used", file.display(), settings.node, settings.role);
    Ok(())
}

/// Checks a configuration whole.
///
/// # Errors
/// Names the file and every fault, each with place, field and remedy.
pub fn configuration(file: &Path) -> Result<(), FleetError> {
    let body = std::fs::read(file).map_err(|why| FleetError::File(file.to_path_buf(), why))?;
    let named = |why| FleetError::Configuration(file.to_path_buf(), why);
    let read = Configuration::read(&body).map_err(named)?;
    let faults = validate(&read);
    if !faults.is_empty() {
        return Err(named(ConfigurationError::Invalid(faults)));
    }
    println!(
        "{}: version {} can be used: {} routes, {} services, {} customers",
        file.display(),
        read.version.0,
        read.routes.len(),
        read.services.len(),
        read.customers.len()
    );
    Ok(())
}
