//! What must hold in a settings file beyond its form.

use crate::{ProcessSettings, SettingsError};

/// Most seconds that a bound may be; more is a mistake of units.
const LONGEST_S: f64 = 86_400.0;

/// Checks that the values make sense together.
///
/// # Errors
/// Names the first field that does not, with its value and the remedy.
pub(crate) fn check(settings: &ProcessSettings) -> Result<(), SettingsError> {
    let fault = |field, value: String, remedy| Err(SettingsError::Field { field, value, remedy });
    if settings.node.is_empty() {
        return fault("node", String::new(), "name the machine");
    }
    let (first, last) = settings.inner_ports;
    if first == 0 || last <= first {
        return fault(
            "inner-ports",
            format!("{first}, {last}"),
            "give a first port above 0 and a later last one",
        );
    }
    if settings.seeds.is_empty() {
        return fault("seeds", "[]".into(), "name the control address of at least one controller");
    }
    let bounds = &settings.bounds;
    for (field, value) in [
        ("bounds.grace-s", bounds.grace_s),
        ("bounds.retry-window-s", bounds.retry_window_s),
        ("bounds.reuse-after-s", bounds.reuse_after_s),
    ] {
        if !(0.0..=LONGEST_S).contains(&value) {
            return fault(field, value.to_string(), "give seconds from 0 to 86400");
        }
    }
    if !(0.0..=10.0).contains(&bounds.retry_ratio) {
        return fault("bounds.retry-ratio", bounds.retry_ratio.to_string(), "give a share from 0 to 10");
    }
    if !(0.0..=1.0).contains(&bounds.bad_share) {
        return fault("bounds.bad-share", bounds.bad_share.to_string(), "give a share from 0 to 1");
    }
    Ok(())
}
