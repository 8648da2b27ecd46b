//! The executor of clients' tasks: each is polled when it is woken, the runtime looks at sockets between, and a task that panics
//! ends alone.

mod support;

use proxy::{Executor, SharedQueue, POLLS_AT_ONCE};
use std::cell::Cell;
use std::future::poll_fn;
use std::io::Write;
use std::net::{Ipv4Addr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::task::Poll;
use support::play;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::spawn_local;

/// Leaves the turn to others once, and is ready again at once.
async fn next_turn() {
    let mut is_over = false;
    poll_fn(|context| match std::mem::replace(&mut is_over, true) {
        true => Poll::Ready(()),
        false => {
            context.waker().wake_by_ref();
            Poll::Pending
        }
    })
    .await;
}

/// Two ends of a connection: one for blocking writes, one of the runtime.
async fn pair() -> (std::net::TcpStream, TcpStream) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let writer =
        std::net::TcpStream::connect(listener.local_addr().expect("bound")).expect("somebody listens");
    let (reader, _) = listener.accept().expect("a connection");
    reader.set_nonblocking(true).expect("a socket");
    (writer, TcpStream::from_std(reader).expect("a socket"))
}

/// Guards against sockets that are not looked at while tasks are ready (review case 2 where cores are scarce: requests were read
/// up to 976 polls after they had come).
#[test]
fn sockets_are_looked_at_between_polls() {
    play(|| async {
        const WRITTEN_AT: usize = 500;
        let executor = Executor::new(Arc::new(SharedQueue::default()));
        let (mut writer, mut reader) = pair().await;
        let polls = Rc::new(Cell::new(0_usize));
        let (tell, told) = oneshot::channel();
        let count = polls.clone();
        executor.spawner().spawn(|_| async move {
            reader.read_u8().await.expect("connected");
            tell.send(count.get()).expect("the test waits");
        });
        let count = polls.clone();
        executor.spawner().spawn(|_| async move {
            loop {
                count.set(count.get() + 1);
                if count.get() == WRITTEN_AT {
                    writer.write_all(b"x").expect("connected");
                }
                next_turn().await;
            }
        });
        spawn_local(executor.run());
        let read_at = told.await.expect("it is read");
        assert!(read_at <= WRITTEN_AT + 3 * POLLS_AT_ONCE, "read at poll {read_at}");
    });
}

#[test]
fn a_task_that_panics_ends_alone() {
    play(|| async {
        let executor = Executor::new(Arc::new(SharedQueue::default()));
        let spawner = executor.spawner();
        let (tell, told) = oneshot::channel();
        executor.spawner().spawn(|_| async { panic!("on purpose") });
        executor.spawner().spawn(|_| async move {
            next_turn().await;
            // A task that a task starts is polled too.
            spawner.spawn(|_| async move { tell.send(()).expect("the test waits") });
        });
        spawn_local(executor.run());
        told.await.expect("the others go on");
    });
}

#[test]
fn a_task_is_woken_from_another_thread() {
    play(|| async {
        let executor = Executor::new(Arc::new(SharedQueue::default()));
        let (tell, told) = oneshot::channel();
        let (done, is_done) = oneshot::channel();
        executor.spawner().spawn(|_| async move {
            done.send(told.await).expect("the test waits");
        });
        spawn_local(executor.run());
        let other = std::thread::spawn(move || tell.send(7).expect("the task waits"));
        assert_eq!(is_done.await.expect("it ends"), Ok(7));
        other.join().expect("no panic");
    });
}
