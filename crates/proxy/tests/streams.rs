//! Streams over sockets: passed on as they come, cut visibly, resumed inside one answer where the route allows it.

mod support;

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
