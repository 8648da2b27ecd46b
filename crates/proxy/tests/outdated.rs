//! Requests that wait at a replica while the weights there go out of date.

mod support;

use peer::{Message, NamedVersion, Weights};
use support::*;

/// Version 2 of the model was named so long ago that nothing may begin on version 1 any more.
fn overdue() -> Message {
    Message::Weights(Weights::from(vec![NamedVersion { model: MODEL.into(), version: 2, age_ms: 7_000 }]))
}

const WITH_MODEL: &str = "Model: m1\r\n";

#[test]
fn a_request_that_has_not_begun_is_taken_back_and_goes_elsewhere() {
    play(|| async {
        let (one, two, mut fixture, mut client) = with_two_replicas().await;
        client.write(ask("resume", "a", WITH_MODEL)).await;
        let (mut first, request, other) = first_of(&one, &two).await;
        assert_eq!(request.header("Expect-Version"), Some("1"));
        fixture.tell(overdue()).await;
        first.ended().await;
        let (mut second, request) = other.request().await;
        assert_eq!(request.header("Expect-Version"), Some("2"));
        second.write(stream_head("a") + &event(1) + LAST_CHUNK).await;
        assert_eq!(client.head().await.status, 200);
        client.text(&event(1)).await;
    });
}

#[test]
fn a_request_that_may_not_be_repeated_ends_in_doubt() {
    play(|| async {
        let (replica, mut fixture, mut client) = with_one_replica().await;
        client.write(ask("stream", "a", WITH_MODEL)).await;
        let (mut connection, _) = replica.request().await;
        fixture.tell(overdue()).await;
        connection.ended().await;
        let (head, _) = client.answer().await;
        assert_eq!((head.status, head.lines.get("Retry-After")), (502, None));
    });
}

#[test]
fn a_stream_that_has_begun_goes_on() {
    play(|| async {
        let (replica, mut fixture, mut client) = with_one_replica().await;
        client.write(ask("stream", "a", WITH_MODEL)).await;
        let (mut connection, _) = replica.request().await;
        begin_stream(&mut connection, &mut client, "a").await;
        fixture.tell(overdue()).await;
        // What is sent after it expects the new version, so the naming has been heard.
        let mut other = fixture.client().await;
        loop {
            other.write(ask("stream", "b", WITH_MODEL)).await;
            let (mut next, request) = replica.request().await;
            next.write(not_run("b")).await;
            other.answer().await;
            if request.header("Expect-Version") == Some("2") {
                break;
            }
        }
        connection.write(event(2) + LAST_CHUNK).await;
        client.text(&event(2)).await;
        client.text(LAST_CHUNK).await;
    });
}
