//! Prints the digest of the sources in a folder, to be compared with what `steppick --version` tells.

use std::path::PathBuf;

fn main() -> std::io::Result<()> {
    let root = std::env::args_os().nth(1).map_or_else(|| PathBuf::from("."), PathBuf::from);
    println!("{}", process::digest::of_sources(&root)?);
    Ok(())
}
