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

/// Prints what a controller knows of the fleet.
///
/// # Errors
/// The controller can't be asked.
pub fn status(controller: SocketAddr) -> Result<(), FleetError> {
    println!("{}", ask(controller, &Call { line: "GET /fleet/status", based_on: None, body: b"" })?);
    Ok(())
}
