//! A program tells which sources it was built from: their digest changes with each of them, and with nothing else.

use process::digest::{of_sources, WATCHED};
use rstest::rstest;
use std::fs;
use std::path::{Path, PathBuf};

/// A small tree of sources in a folder of the test's own, removed at the end.
struct Tree(PathBuf);

impl Tree {
    fn new(name: &str) -> Tree {
        let root = std::env::temp_dir().join(format!("steppick-digest-{}-{name}", std::process::id()));
        let tree = Tree(root);
        for path in
            ["Cargo.lock", "Cargo.toml", "src/main.rs", "crates/http/src/lib.rs", "crates/http/tests/a.rs"]
        {
            tree.write(path, path);
        }
        tree
    }

    fn write(&self, path: &str, content: &str) {
        let path = self.0.join(path);
        fs::create_dir_all(path.parent().expect("below the root")).expect("a folder");
        fs::write(path, content).expect("room");
    }

    fn digest(&self) -> String {
        of_sources(&self.0).expect("readable")
    }
}

impl Drop for Tree {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Guards against a program of which nobody can tell whether it is the landed code.
#[rstest]
#[case::a_source("crates/http/src/lib.rs", "changed")]
#[case::a_new_source("crates/http/src/more.rs", "")]
#[case::a_manifest("Cargo.toml", "changed")]
#[case::the_libraries("Cargo.lock", "changed")]
#[case::a_build_script("crates/http/build.rs", "new")]
fn a_change_of_what_is_built_changes_the_digest(#[case] path: &str, #[case] content: &str) {
    let tree = Tree::new(&path.replace('/', "-"));
    let before = tree.digest();
    tree.write(path, content);
    assert_ne!(tree.digest(), before);
}

#[test]
fn tests_and_the_time_of_files_leave_the_digest() {
    let tree = Tree::new("same");
    let before = tree.digest();
    tree.write("crates/http/tests/a.rs", "changed");
    tree.write("crates/http/README.md", "new");
    tree.write("src/main.rs", "src/main.rs");
    assert_eq!(tree.digest(), before);
}

#[test]
fn content_that_moves_from_one_file_to_the_next_changes_the_digest() {
    let tree = Tree::new("moved");
    tree.write("src/a.rs", "ab");
    tree.write("src/b.rs", "c");
    let before = tree.digest();
    tree.write("src/a.rs", "a");
    tree.write("src/b.rs", "bc");
    assert_ne!(tree.digest(), before);
}

#[test]
fn a_file_that_is_missing_is_an_error() {
    let tree = Tree::new("missing");
    fs::remove_file(tree.0.join("Cargo.lock")).expect("there");
    assert!(of_sources(&tree.0).is_err());
}

#[test]
fn the_version_tells_the_digest_of_these_sources() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    assert!(WATCHED.iter().all(|path| root.join(path).exists()));
    assert_eq!(process::SOURCE_DIGEST, of_sources(&root).expect("readable"));
    assert!(process::VERSION.ends_with(&format!("(sources {})", process::SOURCE_DIGEST)));
}
