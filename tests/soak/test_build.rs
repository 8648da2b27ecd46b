//! The controller's test build: the same program on a disk and at an address of the soak's choosing, run by the test's own
//! executable.

use crate::disk;
use crate::relay::bound_at;
use controller::Surroundings;
use settings::ProcessSettings;
use std::process::Command;

/// Set for a process that is to be a controller.
const PROCESS_VARIABLE: &str = "SOAK_CONTROLLER";
/// The test that is one.
const TEST: &str = "test_build::controller_process";

/// Starts such a controller; the disk of `troubled` has troubles drawn from `seed`.
pub fn command(controller: usize, seed: u64, troubled: usize) -> Command {
    let mut command = Command::new(std::env::current_exe().expect("a test has a file"));
    command.args(["--exact", TEST, "--nocapture", "--quiet"]).env(PROCESS_VARIABLE, "1");
    if controller == troubled {
        command.env(disk::SEED_VARIABLE, seed.to_string());
    }
    command
}

/// Is a controller where it was started as one, and nothing as a test.
#[test]
fn controller_process() {
    if std::env::var_os(PROCESS_VARIABLE).is_none() {
        return;
    }
    let path = ProcessSettings::path_from_environment().expect("the run tells it");
    let settings = ProcessSettings::load(&path).expect("sound settings");
    process::start_log().expect("nothing else logs");
    let surroundings = Surroundings { bound_at, open_medium: disk::open };
    controller::run_on(surroundings, settings).expect("runs until it is told to end");
}
