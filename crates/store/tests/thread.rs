//! The storage thread: a disk that hangs holds no caller up, and batches that wait are written together.

mod fault;

use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

use fault::FaultyMedium;
use store::thread::MAX_WAITING;
use store::{Batch, Done, Entry, QueueFull, StorageThread, Store, StoreError};

/// No test waits this long unless it fails.
const PATIENCE: Duration = Duration::from_secs(60);

fn start() -> (FaultyMedium, StorageThread, Receiver<Done>) {
    let medium = FaultyMedium::default();
    let (store, _) = Store::open_on(Box::new(medium.clone())).expect("opens");
    let (report, done) = channel();
    let thread = StorageThread::start(store, move |end| report.send(end).expect("the test listens"));
    (medium, thread.expect("starts"), done)
}

fn batch(token: u64) -> Batch {
    let entry = Entry { slot: token as u16, bytes: token.to_le_bytes().as_slice().into() };
    Batch { token, entries: vec![entry] }
}

fn next(done: &Receiver<Done>) -> Done {
    done.recv_timeout(PATIENCE).expect("a write comes to its end")
}

#[test]
fn each_batch_is_reported_when_the_disk_holds_it() {
    let (medium, thread, done) = start();
    for token in 1..=3 {
        thread.submit(batch(token)).expect("there is room");
        let end = next(&done);
        assert_eq!(end.token, token);
        end.result.expect("written");
        assert_eq!(medium.file().unsynced(), 0);
    }
    thread.finish();
    let (_, entries) = Store::open_on(Box::new(medium)).expect("opens");
    assert_eq!(entries, (1..=3).flat_map(|token| batch(token).entries).collect::<Vec<_>>());
}

#[test]
fn a_hanging_disk_holds_no_caller_up_and_its_batches_are_written_together() {
    let (medium, thread, done) = start();
    assert_eq!(thread.waiting_since(), None);
    medium.file().set_hanging(true);
    let mut accepted = 0;
    while thread.submit(batch(accepted)).is_ok() {
        accepted += 1;
    }
    assert!(accepted >= MAX_WAITING as u64, "{accepted}");
    assert_eq!(thread.submit(batch(accepted)), Err(QueueFull));
    assert!(thread.waiting_since().is_some());
    assert!(done.try_recv().is_err());
    let syncs = medium.file().syncs();
    medium.file().set_hanging(false);
    for token in 0..accepted {
        let end = next(&done);
        assert_eq!(end.token, token);
        end.result.expect("written");
    }
    thread.finish();
    let used = medium.file().syncs() - syncs;
    assert!(used < accepted as usize / 2, "{used} syncs for {accepted} batches");
}

#[test]
fn a_full_disk_fails_each_batch_and_the_next_goes_through() {
    let (medium, thread, done) = start();
    medium.file().set_full(true);
    for token in 1..=2 {
        thread.submit(batch(token)).expect("there is room in the queue");
        let error = next(&done).result.expect_err("full");
        assert!(matches!(*error, StoreError::Full { .. }), "{error}");
    }
    medium.file().set_full(false);
    thread.submit(batch(3)).expect("there is room in the queue");
    next(&done).result.expect("written");
    assert_eq!(thread.waiting_since(), None);
    thread.finish();
}
