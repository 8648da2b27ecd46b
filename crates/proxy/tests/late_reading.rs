//! A request's time counts from when it came, also where the proxy reads it late.

mod support;

use rstest::rstest;
use std::io::Write;
use std::time::Duration;
use support::*;
use tcp_info::since_last_sent;

/// Holds the proxy's only thread until what was written is so old.
fn hold(client: &std::net::TcpStream, age: Duration) {
    while since_last_sent(client).expect("a TCP socket") < age {}
}

/// Guards against a request that is held for `give-up-ms` after it was read, however long it lay unread (review case 2 where cores
/// are scarce: most late ends).
#[rstest]
#[case::read_only("read")]
#[case::writing("write")]
#[case::stream("stream")]
#[case::resumable_stream("resume")]
fn a_request_that_is_read_after_its_deadline_is_refused_and_not_sent(#[case] route: &str) {
    play(|| async {
        let (replica, fixture, client) = with_one_replica().await;
        let mut late = client.into_std();
        let text = ask(route, "late", "").replace("Deadline-Left: 4000", "Deadline-Left: 300");
        late.write_all(text.as_bytes()).expect("connected");
        hold(&late, Duration::from_millis(350));
        let mut late = Peer::from_std(late);
        tokio::select! {
            (head, _) = late.answer() => assert_eq!(head.status, 503),
            _ = replica.request() => panic!("sent after its deadline"),
        }
        let mut next = fixture.client().await;
        next.write(ask("read", "next", "")).await;
        let (mut peer, request) = replica.request().await;
        assert_eq!(request.header("attempt-id"), Some("next"));
        peer.write(success("next", "whole")).await;
        assert_eq!(next.answer().await.0.status, 200);
        let metrics = fixture.metrics().await;
        assert!(metrics.contains("steppick_read_lag_ms_bucket{le=\"250\"} 1"), "{metrics}");
        assert!(metrics.contains("steppick_read_lag_ms_count 2"), "{metrics}");
    });
}

#[test]
fn a_replica_is_told_the_time_that_is_left_since_the_request_came() {
    play(|| async {
        let (replica, _fixture, client) = with_one_replica().await;
        let mut client = client.into_std();
        client.write_all(ask("read", "a", "").as_bytes()).expect("connected");
        hold(&client, Duration::from_millis(300));
        let (_, request) = replica.request().await;
        let left: f64 = request.header("deadline-left").expect("told").parse().expect("a number");
        // The kernel's clock ticks up to 10 ms apart.
        assert!(left <= 4_000.0 - 290.0, "{left}");
    });
}

/// What is behind an answer on a connection begins when that answer has ended.
#[test]
fn the_time_of_a_request_behind_another_counts_from_the_end_of_that_one() {
    play(|| async {
        let (replica, _fixture, mut client) = with_one_replica().await;
        client.write(ask("read", "one", "") + &ask("read", "two", "")).await;
        let (mut peer, _) = replica.request().await;
        let stream = client.into_std();
        hold(&stream, Duration::from_millis(300));
        let mut client = Peer::from_std(stream);
        peer.write(success("one", "whole")).await;
        client.answer().await;
        let left = peer.request().await;
        let left: f64 = left.header("deadline-left").expect("told").parse().expect("a number");
        assert!(left > 4_000.0 - 290.0, "{left}");
    });
}
