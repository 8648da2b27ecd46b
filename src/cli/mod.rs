//! The command line. `steppick` without a sub-command serves.

pub mod fleet;
pub mod place;

use clap::{Parser, Subcommand};
use std::path::PathBuf;

/// A coordinator (query broker) for services of sharded search.
///
/// Without a sub-command it serves: the platform's front where LB_CONFIG names a configuration, the OpenSearch front
/// where --opensearch does.
#[derive(Debug, Parser)]
#[command(name = "steppick", version = process::VERSION)]
pub struct Cli {
    /// Serve the OpenSearch front that FILE describes.
    #[arg(long, value_name = "FILE")]
    pub opensearch: Option<PathBuf>,
    /// Favour replicas as the placement in FILE says (made by `steppick place solve`); read anew on SIGHUP.
    #[arg(long, value_name = "FILE")]
    pub placement: Option<PathBuf>,
    /// What to do instead of serving.
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// The sub-commands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Work out placements: which coordinator favours which replica.
    Place(place::Place),
}

/// Exit codes of the sub-commands: all is well; a file can't be used; the answer is no; the work was over first.
pub mod exit {
    /// See above.
    pub const FILE: u8 = 1;
    /// See above.
    pub const NO: u8 = 2;
    /// See above.
    pub const UNKNOWN: u8 = 3;
}
