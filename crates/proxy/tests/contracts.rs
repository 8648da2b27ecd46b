//! What clients, replicas and operators are promised, point by point; `docs/contracts.md` lists which test holds which.

mod support;

use peer::{Message, ReplicaState, Replicas};
use std::time::Instant;
use support::*;

fn deadline_left(request: &Request) -> u64 {
    request.header("Deadline-Left").and_then(|left| left.parse().ok()).expect("a whole number")
}

#[test]
fn what_a_request_says_of_its_model_goes_on_as_it_came() {
    play(|| async {
        let (replica, _fixture, mut client) = with_one_replica().await;
        let said = "Model: m1\r\nToken-Counts: 1460,80\r\nPrompt-Prefix: 5c1e07a2:800,91bd3f06:410\r\n";
        client.write(ask("resume", "a", said)).await;
        let (_, request) = replica.request().await;
        for (name, value) in [
            ("Model", "m1"),
            ("Token-Counts", "1460,80"),
            ("Prompt-Prefix", "5c1e07a2:800,91bd3f06:410"),
            ("Attempt-Id", "a"),
        ] {
            assert_eq!(request.head.lines.all(name).collect::<Vec<_>>(), [value.as_bytes()], "{name}");
        }
    });
}

#[test]
fn no_replica_is_handed_more_time_than_is_left() {
    play(|| async {
        let (one, two, _fixture, mut client) = with_two_replicas().await;
        client.write(ask("read", "a", "")).await;
        let (mut first, request, other) = first_of(&one, &two).await;
        let before = deadline_left(&request);
        assert!(before <= 4_000);
        let came = Instant::now();
        first.write(not_run("a")).await;
        let (mut second, request) = other.request().await;
        let gone = came.elapsed().as_millis() as u64;
        assert!(deadline_left(&request) <= before.saturating_sub(gone) + 5, "{gone} ms later");
        second.write(success("a", "yes")).await;
        client.answer().await;
    });
}

#[test]
fn a_request_that_tells_no_time_has_that_of_its_route() {
    play(|| async {
        let (replica, _fixture, mut client) = with_one_replica().await;
        client.write(ask("read", "a", "").replace("Deadline-Left: 4000\r\n", "")).await;
        let (_, request) = replica.request().await;
        assert!((4_000..=5_000).contains(&deadline_left(&request)));
    });
}

#[test]
fn an_event_that_tells_a_new_version_is_passed_on_and_gone_on_after() {
    play(|| async {
        let (one, two, _fixture, mut client) = with_two_replicas().await;
        client.write(ask("resume", "a", "")).await;
        let (mut first, _, other) = first_of(&one, &two).await;
        let changed = format!("versions: 2\n{}", event_text(2));
        let chunk = format!("{:x}\r\n{changed}\r\n", changed.len());
        first.write(stream_head("a") + &event(1) + &chunk).await;
        drop(first);
        let (mut second, request) = other.request().await;
        assert_eq!(request.header("Last-Event-Id"), Some("2"));
        second.write(stream_head("a") + &event(3) + LAST_CHUNK).await;
        assert_eq!(client.answer().await.1, event_text(1) + &changed + &event_text(3));
    });
}

/// Some replicas never say that they drain: they leave first, and serve what they have.
#[test]
fn what_runs_at_a_replica_that_has_left_is_answered_and_nothing_new_goes_there() {
    play(|| async {
        let replica = Replica::new("i-1").await;
        let mut fixture = Fixture::new(&[&replica]).await;
        let mut running = fixture.client().await;
        running.write(ask("write", "a", "")).await;
        let (mut connection, _) = replica.request().await;
        let mut left = replica.record();
        left.state = ReplicaState::Gone;
        fixture.tell(Message::Replicas(Replicas::from(vec![left]))).await;
        let mut later = fixture.client().await;
        loop {
            later.write(ask("write", "b", "")).await;
            tokio::select! {
                (mut next, _) = replica.request() => next.write(not_run("b")).await,
                (head, _) = later.answer() => {
                    assert_eq!(head.status, 503);
                    break;
                }
            }
            later.answer().await;
        }
        connection.write(success("a", "whole")).await;
        assert_eq!(running.answer().await.1, "whole");
    });
}

#[test]
fn a_late_heartbeat_does_not_take_back_that_a_replica_drains() {
    play(|| async {
        let (one, two) = (Replica::new("i-1").await, Replica::new("i-2").await);
        let mut fixture = Fixture::new(&[&one, &two]).await;
        let told = |state, beat| {
            let mut record = one.record();
            (record.state, record.beat) = (state, beat);
            Message::Replicas(Replicas::from(vec![record]))
        };
        fixture.tell(told(ReplicaState::Draining, 5)).await;
        fixture.tell(told(ReplicaState::Ready, 4)).await;
        fixture
            .tell(Message::Configuration(whole(&CONFIGURATION.replace("\"version\":7", "\"version\":8"))))
            .await;
        let mut client = fixture.client().await;
        for number in 0..20 {
            let id = format!("a{number}");
            client.write(ask("write", &id, "")).await;
            let (mut connection, request, _) = first_of(&one, &two).await;
            let at_two = request.header("Expected-Node") == Some("i-2");
            connection.write(success(&id, "yes")).await;
            client.answer().await;
            assert!(at_two || number == 0, "the first may cross the news");
        }
    });
}

/// A stream has its final answer soon after its route's time, also if it has begun.
#[test]
fn a_stream_ends_at_its_routes_time() {
    play(|| async {
        let replica = Replica::new("i-1").await;
        let short = CONFIGURATION.replace("\"give-up-ms\":5000", "\"give-up-ms\":200");
        let fixture = Fixture::with(&short, vec![replica.record()]).await;
        let mut client = fixture.client().await;
        let asked = Instant::now();
        client.write(ask("stream", "a", "")).await;
        let (mut connection, request) = replica.request().await;
        assert!(deadline_left(&request) <= 200);
        begin_stream(&mut connection, &mut client, "a").await;
        client.ended().await;
        assert!((200..700).contains(&asked.elapsed().as_millis()), "{:?}", asked.elapsed());
        connection.ended().await;
    });
}

#[test]
fn a_split_route_keeps_its_shares() {
    const REQUESTS: usize = 300;
    play(|| async {
        let (one, two) = (Replica::new("i-1").await, Replica::new("i-2").await);
        let split = r#""split":[{"service":"s","share":75},{"service":"t","share":25}],"tries":2}"#;
        let configuration = CONFIGURATION.replacen(r#""service":"s","tries":2}"#, split, 1).replacen(
            r#"{"name":"none"}"#,
            r#"{"name":"none"},{"name":"t"}"#,
            1,
        );
        let mut other = two.record();
        other.service = "t".into();
        let fixture = Fixture::with(&configuration, vec![one.record(), other]).await;
        let mut client = fixture.client().await;
        let mut at_two = 0;
        let mut connections = Vec::new();
        for number in 0..REQUESTS {
            let id = format!("a{number}");
            client.write(ask("read", &id, "")).await;
            let (mut connection, request, _) = first_of(&one, &two).await;
            at_two += usize::from(request.header("Expected-Node") == Some("i-2"));
            connection.write(success(&id, "yes").replace("Keep-Alive: timeout=9", "Connection: close")).await;
            client.answer().await;
            connections.push(connection);
        }
        let share = at_two as f64 / REQUESTS as f64;
        assert!((0.05..0.45).contains(&share), "{share} in place of 0.25");
    });
}
