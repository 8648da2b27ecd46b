//! What the kernel's scheduler tells of this process.

use std::fs;
use std::time::Duration;

/// Where it tells: time on a processor and time of waiting for one, both in ns, and the number of time slices.
const SCHEDULE: &str = "/proc/self/schedstat";

/// How long the main thread could have run and had no processor, since the process started; `None` where the kernel does not
/// tell.
pub fn run_delay() -> Option<Duration> {
    let told = fs::read_to_string(SCHEDULE).ok()?;
    let nanoseconds = told.split_whitespace().nth(1)?.parse().ok()?;
    Some(Duration::from_nanos(nanoseconds))
}
