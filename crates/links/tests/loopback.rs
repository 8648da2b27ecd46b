//! Links over loopback: messages both ways, new dials after an end, and peers that don't read.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use links::{accept, dial, LinkEvent, LinkTiming, Outbox};
use peer::{Alive, Blob, Message};
use rstest::rstest;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;

const TIMING: LinkTiming = LinkTiming { unacknowledged: Duration::from_secs(5), silence: None };
const PATIENCE: Duration = Duration::from_secs(20);

async fn listen() -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
    let port = listener.local_addr().expect("bound").port();
    (listener, SocketAddrV4::new(Ipv4Addr::LOCALHOST, port))
}

async fn next(events: &mut mpsc::Receiver<LinkEvent>) -> LinkEvent {
    timeout(PATIENCE, events.recv()).await.expect("in time").expect("an event")
}

/// The next link that comes up.
async fn up(events: &mut mpsc::Receiver<LinkEvent>) -> Outbox {
    loop {
        if let LinkEvent::Up { outbox, .. } = next(events).await {
            return outbox;
        }
    }
}

async fn message(events: &mut mpsc::Receiver<LinkEvent>) -> Message {
    loop {
        if let LinkEvent::Message { message, .. } = next(events).await {
            return *message;
        }
    }
}

fn alive(configuration: u64) -> Message {
    Message::Alive(Alive { majority_age_ms: 1, configuration })
}

fn block_on(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(test);
}

#[rstest]
fn messages_go_both_ways_in_order() {
    block_on(async {
        let (listener, address) = listen().await;
        let (near, mut near_events) = mpsc::channel(16);
        let (far, mut far_events) = mpsc::channel(16);
        let _dialer = dial(address, TIMING, 1, near);
        let (stream, _) = listener.accept().await.expect("dialled");
        tokio::spawn(accept(stream, TIMING, far));
        let (here, there) = (up(&mut near_events).await, up(&mut far_events).await);
        here.send(&[alive(1), alive(2)]).expect("room");
        there.send(&[alive(3)]).expect("room");
        assert_eq!(message(&mut far_events).await, alive(1));
        assert_eq!(message(&mut far_events).await, alive(2));
        assert_eq!(message(&mut near_events).await, alive(3));
    });
}

#[rstest]
fn a_link_that_ended_is_dialled_again() {
    block_on(async {
        let (listener, address) = listen().await;
        let (near, mut near_events) = mpsc::channel(16);
        let _dialer = dial(address, TIMING, 1, near);
        let (stream, _) = listener.accept().await.expect("dialled");
        let first = up(&mut near_events).await;
        drop(stream);
        assert!(matches!(next(&mut near_events).await, LinkEvent::Down { .. }));
        assert!(first.send(&[alive(1)]).is_err(), "an ended link takes nothing");
        let (_stream, _) = listener.accept().await.expect("dialled again");
        up(&mut near_events).await.send(&[alive(2)]).expect("room");
    });
}

#[rstest]
fn dropping_the_outbox_ends_the_link() {
    block_on(async {
        let (listener, address) = listen().await;
        let (near, mut near_events) = mpsc::channel(16);
        let _dialer = dial(address, TIMING, 1, near);
        let (_stream, _) = listener.accept().await.expect("dialled");
        drop(up(&mut near_events).await);
        assert!(matches!(next(&mut near_events).await, LinkEvent::Down { .. }));
    });
}

#[rstest]
fn an_outbox_is_bounded_where_the_peer_does_not_read() {
    block_on(async {
        let (listener, address) = listen().await;
        let (far, mut far_events) = mpsc::channel(16);
        let _silent = TcpStream::connect(address).await.expect("listens");
        let (stream, _) = listener.accept().await.expect("dialled");
        tokio::spawn(accept(stream, TIMING, far));
        let outbox = up(&mut far_events).await;
        let large = Message::Register(Blob::from(vec![0; 1 << 20]));
        let mut taken = 0;
        while outbox.send(std::slice::from_ref(&large)).is_ok() {
            taken += 1;
            tokio::task::yield_now().await;
            assert!(taken < 1_000, "it takes without bound");
        }
    });
}

#[rstest]
fn bytes_that_are_no_messages_end_the_link() {
    block_on(async {
        let (listener, address) = listen().await;
        let (far, mut far_events) = mpsc::channel(16);
        let stream = TcpStream::connect(address).await.expect("listens");
        stream.writable().await.expect("open");
        stream.try_write(b"GET / HTTP/1.1\r\n\r\n").expect("room");
        let (accepted, _) = listener.accept().await.expect("dialled");
        tokio::spawn(accept(accepted, TIMING, far));
        let _outbox = up(&mut far_events).await;
        assert!(matches!(next(&mut far_events).await, LinkEvent::Down { .. }));
    });
}

/// Two peers end each link as it comes up; only one of them is heard from in between.
#[rstest]
fn a_peer_that_was_heard_from_is_dialled_at_once() {
    const LINKS: usize = 40;
    block_on(async {
        let (heard, heard_address) = listen().await;
        let (silent, silent_address) = listen().await;
        let (events, mut news) = mpsc::channel(16);
        let dialer = dial(heard_address, TIMING, 1, events.clone());
        let _other = dial(silent_address, TIMING, 2, events);
        let (mut of_heard, mut of_silent) = (0, 0);
        while of_heard < LINKS {
            tokio::select! {
                accepted = heard.accept() => of_heard += usize::from(accepted.is_ok()),
                accepted = silent.accept() => of_silent += usize::from(accepted.is_ok()),
                event = news.recv() => if let Some(LinkEvent::Down { .. }) = event {
                    dialer.dial_now();
                },
            }
        }
        assert!(of_silent < LINKS / 2, "{of_silent} links with the silent peer");
    });
}
