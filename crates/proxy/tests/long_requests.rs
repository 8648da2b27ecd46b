//! Requests that are answered before they are in: the rest of a body is never taken for another request.

mod support;

use std::time::{Duration, Instant};

use support::*;

/// What the requests give the fleet.
const DEADLINE: Duration = Duration::from_millis(4_000);
/// Longer than what the sockets between two ends hold.
const LONG: usize = 12 << 20;

fn configuration() -> String {
    CONFIGURATION.replace(r#""max-body-bytes":100000"#, r#""max-body-bytes":16000000"#)
}

fn long_request(route: &str, id: &str) -> String {
    format!(
        "POST /{route}/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\nDeadline-Left: 4000\r\n\
         Authorization: Bearer {KEY}\r\nContent-Length: {LONG}\r\n\r\n{}",
        "x".repeat(LONG)
    )
}

/// A refusal that keeps the connection.
fn early_refusal(id: &str) -> String {
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {id}\r\nNot-Run: 1\r\nKeep-Alive: timeout=9\r\n\
         Content-Length: 0\r\n\r\n"
    )
}

#[test]
fn a_long_request_refused_before_it_is_in_is_answered_at_once_and_its_connection_not_used_again() {
    play(|| async {
        let replica = Replica::with_small_buffers("i-1");
        let fixture = Fixture::with(&configuration(), vec![replica.record()]).await;
        let mut client = fixture.client().await;
        let asking = long_request("write", "a");
        let asked = async {
            client.write(asking).await;
            client.answer().await.0.status
        };
        let refused = async {
            let mut first = replica.accept().await;
            first.request_head().await;
            first.write(early_refusal("a")).await;
            first
        };
        let began = Instant::now();
        let (status, mut first) = tokio::join!(asked, refused);
        assert_eq!(status, 503);
        assert!(began.elapsed() < DEADLINE / 2, "held until its deadline: {:?}", began.elapsed());
        // The next request finds a connection of its own, although the first one is open still. A replica that was full
        // is left alone for a moment: the client comes back until it is served.
        let asked = async {
            loop {
                let mut client = fixture.client().await;
                client.write(ask("write", "b", "")).await;
                let (head, body) = client.answer().await;
                if head.status == 200 {
                    return body;
                }
            }
        };
        let answered = async {
            let (mut second, request) = replica.request().await;
            assert_eq!(request.header("Attempt-Id"), Some("b"));
            second.write(success("b", "done")).await;
            second
        };
        // The replica reads on: the rest of the first request's body is due there.
        let (body, _second, ()) = tokio::join!(asked, answered, first.ended());
        assert_eq!(body, "done");
        assert!(!first.has_text("Attempt-Id: b"), "the next request came where the rest of a body was due");
    });
}

#[test]
fn a_long_request_that_was_taken_whole_leaves_its_connection_to_the_next_one() {
    play(|| async {
        let replica = Replica::new("i-1").await;
        let fixture = Fixture::with(&configuration(), vec![replica.record()]).await;
        let mut client = fixture.client().await;
        let asking = long_request("write", "a");
        let asked = async {
            client.write(asking).await;
            client.answer().await.1
        };
        let answered = async {
            let (mut connection, request) = replica.request().await;
            assert_eq!(request.body.len(), LONG);
            connection.write(success("a", "one")).await;
            connection
        };
        let (body, mut connection) = tokio::join!(asked, answered);
        assert_eq!(body, "one");
        client.write(ask("write", "b", "")).await;
        assert_eq!(connection.request().await.header("Attempt-Id"), Some("b"));
        connection.write(success("b", "two")).await;
        assert_eq!(client.answer().await.1, "two");
    });
}
