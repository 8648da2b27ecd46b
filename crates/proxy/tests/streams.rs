//! Streams over sockets: passed on as they come, cut visibly, resumed inside one answer where the route allows it.

mod support;

use rstest::rstest;
use support::*;

#[test]
fn events_are_passed_on_as_they_come() {
    play(|| async {
        let (replica, _fixture, mut client) = with_one_replica().await;
        client.write(ask("stream", "a", "")).await;
        let (mut connection, _) = replica.request().await;
        connection.write(stream_head("a")).await;
        for id in 1..=3 {
            connection.write(event(id)).await;
            if id == 1 {
                assert_eq!(client.head().await.lines.get("Server-Seal"), Some("seal-a"));
            }
            client.text(&event(id)).await;
        }
        connection.write(LAST_CHUNK).await;
        client.text(LAST_CHUNK).await;
        // Both connections go on.
        client.write(ask("stream", "b", "")).await;
    });
}

#[test]
fn a_stream_cut_off_is_cut_off_for_the_client() {
    play(|| async {
        let (replica, _fixture, mut client) = with_one_replica().await;
        client.write(ask("stream", "a", "")).await;
        let (mut connection, _) = replica.request().await;
        begin_stream(&mut connection, &mut client, "a").await;
        drop(connection);
        client.ended().await;
        assert!(!client.has_rest());
    });
}

#[test]
fn a_stream_goes_on_at_another_replica() {
    play(|| async {
        let (one, two, _fixture, mut client) = with_two_replicas().await;
        client.write(ask("resume", "a", "")).await;
        let (mut first, request, other) = first_of(&one, &two).await;
        assert_eq!(request.header("Last-Event-Id"), None);
        // The third event is cut in the middle.
        let half = &event_text(3)[..9];
        first.write(stream_head("a") + &event(1) + &event(2) + &format!("9\r\n{half}\r\n")).await;
        drop(first);
        let (mut second, request) = other.request().await;
        assert_eq!(request.header("Last-Event-Id"), Some("2"));
        assert_eq!(request.header("Attempt-Id"), Some("a"));
        second.write(stream_head("a").replace("seal-a", "seal-other") + &event(3) + LAST_CHUNK).await;
        let (head, body) = client.answer().await;
        assert_eq!(head.lines.get("Server-Seal"), Some("seal-a"));
        assert_eq!(body, (1..=3).map(event_text).collect::<String>());
    });
}

/// Found by `histories.rs`: nothing has been passed on, and the half event of the first replica went before the second's.
#[test]
fn a_stream_that_breaks_off_in_its_first_event_begins_anew() {
    play(|| async {
        let (one, two, _fixture, mut client) = with_two_replicas().await;
        client.write(ask("resume", "a", "")).await;
        let (mut first, _, other) = first_of(&one, &two).await;
        let half = &event_text(1)[..9];
        first.write(stream_head("a") + &format!("9\r\n{half}\r\n")).await;
        drop(first);
        let (mut second, request) = other.request().await;
        assert_eq!(request.header("Last-Event-Id"), None);
        second.write(stream_head("a") + &event(1) + &event(2) + LAST_CHUNK).await;
        assert_eq!(client.answer().await.1, (1..=2).map(event_text).collect::<String>());
    });
}

#[test]
fn a_stream_that_does_not_go_on_with_the_next_event_is_cut() {
    play(|| async {
        let (one, two, _fixture, mut client) = with_two_replicas().await;
        client.write(ask("resume", "a", "")).await;
        let (mut first, _, other) = first_of(&one, &two).await;
        begin_stream(&mut first, &mut client, "a").await;
        drop(first);
        let (mut second, _) = other.request().await;
        second.write(stream_head("a") + &event(1) + &event(2) + LAST_CHUNK).await;
        client.ended().await;
        assert!(!client.has_rest());
    });
}

/// A stream breaks off after its first event, and the replica that is to take it up answers so; then its connection ends, or
/// stays open. Shows that the client's connection ends, with the stream cut off and nothing else on it: a request that waits
/// behind the stream is not begun.
fn taken_up_with(status: &'static str, rest: &'static str, closes: bool) {
    play(|| async move {
        let (one, two, _fixture, mut client) = with_two_replicas().await;
        client.write(ask("resume", "a", "") + &ask("read", "b", "")).await;
        let (mut first, _, other) = first_of(&one, &two).await;
        begin_stream(&mut first, &mut client, "a").await;
        drop(first);
        let (mut second, _) = other.request().await;
        second.write(format!("HTTP/1.1 {status}\r\nAttempt-Id: a\r\n{rest}")).await;
        let _open = (!closes).then_some(second);
        tokio::select! {
            () = client.ended() => assert!(!client.has_rest()),
            _ = first_of(&one, &two) => panic!("the connection goes on, and the stream on it has no end"),
        }
    });
}

/// Guards against a stream without an end (`review/2`): a replica that is to take it up answers something else.
#[rstest]
#[case::failure("500 Broken", "Content-Length: 0\r\n\r\n")]
#[case::failure_with_a_body("500 Broken", "Content-Length: 6\r\n\r\nbroken")]
#[case::failure_in_chunks("500 Broken", "Transfer-Encoding: chunked\r\n\r\n6\r\nbroken\r\n0\r\n\r\n")]
#[case::failure_with_half_a_body("500 Broken", "Content-Length: 60\r\n\r\nbroken")]
#[case::failure_without_framing("500 Broken", "\r\nbroken")]
#[case::no_time("504 Late", "Content-Length: 0\r\n\r\n")]
#[case::unknown("404 Unknown", "Content-Length: 0\r\n\r\n")]
#[case::unknown_at_length("404 Unknown", "Content-Length: 90000\r\n\r\nunknown")]
#[case::not_taken("400 Bad", "Not-Run: 1\r\nContent-Length: 0\r\n\r\n")]
#[case::elsewhere("302 Found", "Location: /else\r\nContent-Length: 0\r\n\r\n")]
#[case::not_changed("304 Same", "\r\n")]
#[case::refusal("503 Full", "Not-Run: 1\r\nContent-Length: 0\r\n\r\n")]
#[case::refusal_without_proof("503 Full", "Content-Length: 0\r\n\r\n")]
#[case::other_weights("421 Other", "Not-Run: 1\r\nContent-Length: 0\r\n\r\n")]
#[case::other_protocol("101 Switch", "Upgrade: x\r\n\r\n")]
#[case::success_without_a_seal("200 OK", "Content-Length: 0\r\n\r\n")]
#[case::success_without_framing("200 OK", "Server-Seal: s\r\n\r\n")]
#[case::encoded_success("200 OK", "Server-Seal: s\r\nContent-Encoding: x\r\nContent-Length: 0\r\n\r\n")]
#[case::wrong_chunks("200 OK", "Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\nno chunk\r\n")]
#[case::other_event("200 OK", "Server-Seal: s\r\nContent-Length: 15\r\n\r\nid: 4\ndata: 4\n\n")]
#[case::malformed("000", "\r\n\r\n")]
fn a_stream_that_is_not_taken_up_is_cut_off(#[case] status: &'static str, #[case] rest: &'static str) {
    taken_up_with(status, rest, false);
}

/// Guards against a stream without an end: the replica that takes it up breaks off as well.
#[rstest]
#[case::in_its_head("200 OK", "Server-Seal")]
#[case::behind_its_head("200 OK", "Server-Seal: s\r\nContent-Length: 9\r\n\r\n")]
#[case::in_its_body("200 OK", "Server-Seal: s\r\nContent-Length: 9\r\n\r\nid: 2")]
#[case::in_a_chunk("200 OK", "Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nid: 2")]
#[case::in_a_failure("500 Broken", "Content-Length: 60\r\n\r\nbroken")]
fn a_stream_that_breaks_off_twice_is_cut_off(#[case] status: &'static str, #[case] rest: &'static str) {
    taken_up_with(status, rest, true);
}

/// Longer than what a proxy holds until it is whole, shorter than the longest event.
const LONG_FAILURE_BYTES: usize = 100_000;

/// Guards against two answers in one: the events of another replica's stream behind a failure that has begun.
#[rstest]
#[case::failure("500 Broken")]
#[case::unknown("404 Unknown")]
fn a_failure_that_breaks_off_is_not_gone_on_with_a_stream(#[case] status: &'static str) {
    play(|| async move {
        let (one, two, _fixture, mut client) = with_two_replicas().await;
        client.write(ask("resume", "a", "")).await;
        let (mut first, _, other) = first_of(&one, &two).await;
        // A blank line in it looks like the end of an event.
        let body = event_text(1) + &"x".repeat(LONG_FAILURE_BYTES);
        let chunk = format!("{:x}\r\n{body}\r\n", body.len());
        first
            .write(format!("HTTP/1.1 {status}\r\nAttempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}"))
            .await;
        assert_eq!(client.head().await.status.to_string(), status[..3]);
        drop(first);
        tokio::select! {
            () = client.ended() => assert!(!client.has_text(LAST_CHUNK)),
            _ = other.request() => panic!("it is sent again"),
        }
    });
}

/// Guards against bodies that are changed: what is no stream is passed on as it is, however long.
#[test]
fn a_failure_longer_than_any_event_is_passed_on_whole() {
    play(|| async {
        let (one, two, _fixture, mut client) = with_two_replicas().await;
        client.write(ask("resume", "a", "")).await;
        let (mut first, _, _) = first_of(&one, &two).await;
        let body = "x".repeat(5 * LONG_FAILURE_BYTES);
        let length = body.len();
        first
            .write(format!("HTTP/1.1 404 Unknown\r\nAttempt-Id: a\r\nContent-Length: {length}\r\n\r\n{body}"))
            .await;
        let (head, passed) = client.answer().await;
        assert_eq!((head.status, passed), (404, body));
    });
}

#[test]
fn a_client_may_take_a_stream_up_itself() {
    play(|| async {
        let (one, two, _fixture, mut client) = with_two_replicas().await;
        client.write(ask("resume", "a", "Last-Event-Id: 4\r\n")).await;
        let (mut first, request, other) = first_of(&one, &two).await;
        assert_eq!(request.header("Last-Event-Id"), Some("4"));
        first.write(stream_head("a")).await;
        drop(first);
        let (_, request) = other.request().await;
        assert_eq!(request.header("Last-Event-Id"), Some("4"));
    });
}
