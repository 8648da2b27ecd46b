//! Figures that bind a process: limits of its machine, and times and shares of the rules.

use serde::Deserialize;
use std::time::Duration;

/// Limits of a machine and of each process on it.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Caps {
    /// Share of a core.
    pub cpu_share: f64,
    /// Memory of a process, MB.
    pub memory_mb: u64,
    /// File descriptors of a process.
    pub open_files: u64,
    /// Bandwidth of the machine's link, Mbit/s.
    pub link_mbps: f64,
    /// Room on the disk, MB.
    pub disk_mb: u64,
}

impl Default for Caps {
    fn default() -> Caps {
        Caps { cpu_share: 0.25, memory_mb: 128, open_files: 1024, link_mbps: 100.0, disk_mb: 0 }
    }
}

/// How many may be lost at the same time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct Survive {
    /// Counted machines.
    pub machines: u32,
    /// Zones.
    pub zones: u32,
    /// Regions.
    pub regions: u32,
}

/// Times and shares of the rules. Times are in the unit that the name ends with.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Bounds {
    /// After this an address may belong to a replica of another service.
    pub reuse_after_s: f64,
    /// How long a machine must have been well to be held to bounds of time.
    pub in_touch_ms: u64,
    /// Within this a proper change of the configuration is acknowledged.
    pub ack_ms: u64,
    /// Within this after a replica's news of draining nothing new reaches it.
    pub drain_ms: u64,
    /// From SIGTERM to SIGKILL.
    pub grace_s: f64,
    /// Within this an acknowledged configuration is in force everywhere.
    pub apply_ms: u64,
    /// Sends after the first of each request, as a share of the requests in the window.
    pub retry_ratio: f64,
    /// Length of that window.
    pub retry_window_s: f64,
    /// Further sends that each window may hold.
    pub extra_tries: u64,
    /// Within this after a final fault the fleet serves again.
    pub recover_s: f64,
    /// Longest time that an event of a stream may take from replica to client.
    pub transit_ms: u64,
    /// Whether replicas check the fencing tokens of orders.
    pub fenced: bool,
    /// Shortest time between the orders of two holders of a duty.
    pub lease_ms: u64,
    /// Within this after a machine thaws its orders are not counted.
    pub thaw_ms: u64,
    /// Within this after a version of weights is named nothing begins on an older one.
    pub version_ms: u64,
    /// The part of a service's requests that a bad version of its software may get.
    pub bad_share: f64,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            reuse_after_s: 2.0,
            in_touch_ms: 3000,
            ack_ms: 4000,
            drain_ms: 2000,
            grace_s: 8.0,
            apply_ms: 2000,
            retry_ratio: 0.1,
            retry_window_s: 10.0,
            extra_tries: 0,
            recover_s: 12.0,
            transit_ms: 120,
            fenced: false,
            lease_ms: 3000,
            thaw_ms: 300,
            version_ms: 6000,
            bad_share: 0.1,
        }
    }
}

impl Bounds {
    /// The grace between SIGTERM and SIGKILL.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }

    /// The window of the retry budget.
    pub fn retry_window(&self) -> Duration {
        Duration::from_secs_f64(self.retry_window_s)
    }
}
