//! Times of a controller's links.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use controller::program::LINKS;
use links::{accept, dial, LinkEvent, Outbox};
use peer::{Alive, Message, NEVER};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// Longer than any time of a link.
const LONG: Duration = Duration::from_secs(60);

fn alive(configuration: u64) -> Message {
    Message::Alive(Alive { majority_age_ms: NEVER, configuration })
}

async fn up(events: &mut mpsc::Receiver<LinkEvent>) -> Outbox {
    match events.recv().await {
        Some(LinkEvent::Up { outbox, .. }) => outbox,
        other => panic!("{other:?}"),
    }
}

/// The next message of the only link that there is: one that ended, or another, is a fault.
async fn message(events: &mut mpsc::Receiver<LinkEvent>) -> Message {
    match events.recv().await {
        Some(LinkEvent::Message { message, .. }) => *message,
        other => panic!("{other:?}"),
    }
}

/// On the links that a controller dials to others it only sends: a bound on the peer's silence ended each of them every
/// ten seconds, with the messages that were on their way. The clock of the links is the test's.
#[test]
fn a_link_on_which_nothing_is_answered_stays_up() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    runtime.expect("a runtime").block_on(async {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
        let port = listener.local_addr().expect("bound").port();
        let (events, mut dialled) = mpsc::channel(16);
        let _dialer = dial(SocketAddrV4::new(Ipv4Addr::LOCALHOST, port), LINKS, 1, events);
        let (stream, _) = listener.accept().await.expect("dialled");
        let (events, mut accepted) = mpsc::channel(16);
        tokio::spawn(accept(stream, LINKS, events));
        let sender = up(&mut dialled).await;
        let _receiver = up(&mut accepted).await;
        sender.send(&[alive(1)]).expect("room");
        assert_eq!(message(&mut accepted).await, alive(1));
        tokio::time::advance(LONG).await;
        sender.send(&[alive(2)]).expect("room");
        assert_eq!(message(&mut accepted).await, alive(2));
        assert!(LINKS.unacknowledged < LONG, "a peer that is gone ends it all the same");
    });
}
