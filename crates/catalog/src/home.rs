//! Which controller a replica should send its heartbeats to.

use std::net::SocketAddrV4;

/// A controller that is believed to be alive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Controller {
    /// Where it serves the control API.
    pub control: SocketAddrV4,
    pub zone: String,
}

/// The home of a replica: a controller of its zone if one is alive, else any; among several, the one with
/// the highest rendezvous hash, so that the loss of one moves only the replicas that it had.
pub fn home_of<'a>(replica: &str, zone: &str, alive: &'a [Controller]) -> Option<&'a Controller> {
    let near = alive.iter().any(|controller| controller.zone == zone);
    alive
        .iter()
        .filter(|controller| !near || controller.zone == zone)
        .max_by_key(|controller| (weight(replica, controller.control), controller.control))
}

/// Rendezvous weight of a pair (FNV-1a, then a mix so that near inputs land far apart).
fn weight(replica: &str, controller: SocketAddrV4) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let address = controller.ip().octets();
    let port = controller.port().to_be_bytes();
    let bytes = replica.bytes().chain(address).chain(port);
    let hash = bytes.fold(OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME));
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53) ^ (hash >> 29)
}
