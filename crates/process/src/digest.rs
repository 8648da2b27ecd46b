//! A digest of the sources that programs are built from: the same on every machine, for every build of the same files.

use std::path::{Path, PathBuf};
use std::{fs, io};

/// What a program is built from, below the repository's root.
pub const WATCHED: [&str; 4] = ["Cargo.lock", "Cargo.toml", "crates", "src"];

/// FNV-1a, 64 bits: offset basis and prime.
const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// The digest of all sources below `root`: manifests, build scripts and what lies in folders named `src`.
///
/// # Errors
/// A file can't be read.
pub fn of_sources(root: &Path) -> io::Result<String> {
    let mut files = Vec::new();
    for path in WATCHED {
        collect(&root.join(path), &mut files)?;
    }
    let mut named: Vec<(String, PathBuf)> = files
        .into_iter()
        .filter_map(|file| Some((file.strip_prefix(root).ok()?.to_str()?.to_string(), file)))
        .filter(|(name, _)| is_built(name))
        .collect();
    named.sort();
    let mut digest = OFFSET;
    for (name, file) in named {
        let content = fs::read(file)?;
        let length = (content.len() as u64).to_le_bytes();
        for bytes in [name.as_bytes(), &[0], &length, &content] {
            digest =
                bytes.iter().fold(digest, |digest, byte| (digest ^ u64::from(*byte)).wrapping_mul(PRIME));
        }
    }
    Ok(format!("{digest:016x}"))
}

/// Whether a program is built from the file with this path.
fn is_built(name: &str) -> bool {
    let is_source = name.ends_with(".rs") && name.split('/').any(|part| part == "src");
    is_source
        || ["Cargo.toml", "Cargo.lock", "build.rs"].iter().any(|file| name.rsplit('/').next() == Some(file))
}

fn collect(path: &Path, files: &mut Vec<PathBuf>) -> io::Result<()> {
    if !path.is_dir() {
        files.push(path.to_path_buf());
        return Ok(());
    }
    for entry in fs::read_dir(path)? {
        collect(&entry?.path(), files)?;
    }
    Ok(())
}
