//! Hands the digest of the sources to the compiler, so that a program tells which ones it was built from.

#[path = "src/digest.rs"]
mod digest;

use std::path::Path;

fn main() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    for path in digest::WATCHED {
        println!("cargo::rerun-if-changed={}", root.join(path).display());
    }
    let digest = digest::of_sources(&root).unwrap_or_else(|why| panic!("the sources can't be read: {why}"));
    println!("cargo::rustc-env=STEPPICK_SOURCE_DIGEST={digest}");
}
