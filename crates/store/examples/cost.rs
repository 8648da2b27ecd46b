//! Prints what the store costs on this machine: start, commits, memory, bytes written.
//!
//! `cargo run --release -p store --example cost FOLDER`

use std::fs;
use std::path::Path;
use std::time::Instant;

use store::{Entry, Store};

const COMMITS: u32 = 3_000;
const CLOCK_TICKS_MILLIS: f64 = 10.0;

/// Reads a number of `/proc/self` that follows `name`.
fn number_in(file: &str, name: &str) -> u64 {
    let text = fs::read_to_string(file).expect("procfs");
    let line = text.lines().find(|line| line.starts_with(name)).expect("the line is there");
    line.split_whitespace().nth(1).and_then(|number| number.parse().ok()).expect("a number")
}

fn peak_kilobytes() -> u64 {
    number_in("/proc/self/status", "VmHWM")
}

fn processor_millis() -> f64 {
    let text = fs::read_to_string("/proc/self/stat").expect("procfs");
    let after_name = text.rsplit(')').next().expect("the name ends");
    let ticks = |at| after_name.split_whitespace().nth(at).and_then(|ticks| ticks.parse::<f64>().ok());
    (ticks(11).expect("user time") + ticks(12).expect("system time")) * CLOCK_TICKS_MILLIS
}

fn open(folder: &Path) -> Store {
    let begin = Instant::now();
    let (store, entries) = Store::open(folder).expect("opens");
    println!("open: {:?}, {} entries, peak {} kB", begin.elapsed(), entries.len(), peak_kilobytes());
    store
}

fn small_commits(store: &mut Store) {
    let (begin, processor, written) =
        (Instant::now(), processor_millis(), number_in("/proc/self/io", "wchar"));
    for commit in 0..COMMITS {
        let promise = Entry { slot: 16, bytes: commit.to_le_bytes().repeat(15).into() };
        let accepted = Entry { slot: 17, bytes: commit.to_le_bytes().repeat(22).into() };
        store.write(&[promise, accepted]).expect("writes");
    }
    let count = f64::from(COMMITS);
    println!(
        "a commit of two small entries: {:.3} ms, {:.3} ms of processor, {} bytes written, peak {} kB",
        begin.elapsed().as_secs_f64() * 1e3 / count,
        (processor_millis() - processor) / count,
        (number_in("/proc/self/io", "wchar") - written) / u64::from(COMMITS),
        peak_kilobytes()
    );
}

fn long_commits(store: &mut Store, folder: &Path) {
    for round in 0..30_u8 {
        let bytes = vec![round; 4 << 20].into();
        store.write(&[Entry { slot: 18 + u16::from(round % 3) * 4, bytes }]).expect("writes");
    }
    let length = fs::metadata(folder.join("state.redb")).expect("the file").len();
    println!("three entries of 4 MiB, written 30 times: {length} bytes, peak {} kB", peak_kilobytes());
}

fn main() {
    let folder = std::env::args().nth(1).expect("the folder is the one argument");
    let folder = Path::new(&folder);
    println!("before: peak {} kB", peak_kilobytes());
    let mut store = open(folder);
    small_commits(&mut store);
    drop(store);
    let mut store = open(folder);
    long_commits(&mut store, folder);
    drop(store);
    drop(open(folder));
}
