//! What operators ask of a running fleet.

use super::client::{call, Call};
use super::FleetError;
use std::net::SocketAddr;
use std::path::Path;

fn ask(controller: SocketAddr, asked: &Call) -> Result<String, FleetError> {
    let reply = call(controller, asked).map_err(|why| FleetError::Call(controller, why))?;
    if reply.status != 200 {
        return Err(FleetError::Refused(reply.status, reply.body));
    }
    Ok(reply.body)
}

/// Prints the newest configuration.
///
/// # Errors
/// The controller can't be asked, or has none or no majority.
pub fn read_configuration(controller: SocketAddr) -> Result<(), FleetError> {
    let body = ask(controller, &Call { line: "GET /config/read", based_on: None, body: b"" })?;
    println!("{body}");
    Ok(())
}

/// Puts a configuration in place of the one in force.
///
/// # Errors
/// The file makes no sense, the controller can't be asked, or another version is in force.
pub fn replace_configuration(controller: SocketAddr, based_on: u64, file: &Path) -> Result<(), FleetError> {
    super::check::configuration(file)?;
    let body = std::fs::read(file).map_err(|why| FleetError::File(file.to_path_buf(), why))?;
    ask(controller, &Call { line: "POST /config/replace", based_on: Some(based_on), body: &body })?;
    println!("acknowledged");
    Ok(())
}

/// Orders that a service's traffic moves to another version.
///
/// # Errors
/// The order makes no sense, the controller can't be asked, or another release is under way.
pub fn begin_release(
    controller: SocketAddr,
    service: &str,
    to_version: &str,
    over_s: f64,
) -> Result<(), FleetError> {
    let order = serde_json::json!({ "service": service, "to-version": to_version, "over-s": over_s });
    let body = order.to_string();
    ask(controller, &Call { line: "POST /releases/begin", based_on: None, body: body.as_bytes() })?;
    println!("acknowledged");
    Ok(())
}

/// Prints how far a service's newest release is.
///
/// # Errors
/// The controller can't be asked, or no release of the service was ordered.
pub fn release_status(controller: SocketAddr, service: &str) -> Result<(), FleetError> {
    let line = format!("GET /releases/{service}/read");
    println!("{}", ask(controller, &Call { line: &line, based_on: None, body: b"" })?);
    Ok(())
}

/// Prints what a controller knows of the fleet.
///
/// # Errors
/// The controller can't be asked.
pub fn status(controller: SocketAddr) -> Result<(), FleetError> {
    println!("{}", ask(controller, &Call { line: "GET /fleet/status", based_on: None, body: b"" })?);
    Ok(())
}
