//! A proxy that gets little processor time: streams that wait for their turn go before requests that have not been sent.

mod support;

use std::cell::Cell;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::{Duration, Instant};
use support::*;
use tokio::task::{spawn_local, yield_now};

/// Streams whose events come at one moment: several times what is polled at once.
const STREAMS: usize = 60;
/// Longer than tasks may wait for their turn.
const TAKEN: Duration = proxy::MOST_WAIT.saturating_add(Duration::from_millis(10));

/// Takes the processor from the proxy between any two of its turns, until it is told to end.
fn take_processor(is_over: Rc<Cell<bool>>) {
    spawn_local(async move {
        while !is_over.get() {
            let since = Instant::now();
            while since.elapsed() < TAKEN {}
            yield_now().await;
        }
    });
}

fn has_come(client: &std::net::TcpStream) -> bool {
    match client.peek(&mut [0]) {
        Ok(count) => count > 0,
        Err(why) => {
            assert_eq!(why.kind(), ErrorKind::WouldBlock);
            false
        }
    }
}

/// Guards against so many requests at once that none ends in time (review case 2 where cores are scarce).
#[test]
fn no_further_request_is_sent_while_streams_wait_for_their_turn() {
    play(|| async {
        let replica = Replica::new("i-1").await;
        let mut record = replica.record();
        record.free_slots = 2 * STREAMS as u32;
        let configuration = CONFIGURATION
            .replace("\"free-slots\":4", "\"free-slots\":128")
            .replace("\"max-conns\":100", "\"max-conns\":200");
        let fixture = Fixture::with(&configuration, vec![record]).await;
        let (mut sides, mut clients) = (Vec::new(), Vec::new());
        for number in 0..STREAMS {
            let (mut client, id) = (fixture.client().await, format!("s{number}"));
            client.write(ask("stream", &id, "")).await;
            let (mut side, _) = replica.request().await;
            begin_stream(&mut side, &mut client, &id).await;
            sides.push(side);
            clients.push(client.into_std());
        }
        // A connection to the replica rests: what is sent next is there at once.
        let mut newest = fixture.client().await;
        newest.write(ask("read", "first", "")).await;
        let (mut side, _) = replica.request().await;
        side.write(success("first", "whole")).await;
        newest.answer().await;
        let is_over = Rc::new(Cell::new(false));
        take_processor(is_over.clone());
        for stream in &mut sides {
            stream.write(event(2)).await;
        }
        // The proxy hears of the events and passes the first ones on.
        while !clients.iter().any(has_come) {
            yield_now().await;
        }
        assert!(!clients.iter().all(has_come), "more streams than are polled at once");
        newest.write(ask("read", "newest", "")).await;
        let request = side.request().await;
        assert_eq!(request.header("attempt-id"), Some("newest"));
        let waiting = clients.iter().filter(|client| !has_come(client)).count();
        is_over.set(true);
        assert_eq!(waiting, 0, "streams had not had their turn when it was sent");
        side.write(success("newest", "whole")).await;
        assert_eq!(newest.answer().await.0.status, 200);
    });
}
