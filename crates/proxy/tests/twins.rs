//! Simultaneous twins over sockets: the first success wins, the loser's connection is closed.

mod support;

use proxy::Tuning;
use rstest::rstest;
use support::*;

/// A proxy that has earned twins, its replicas, and a client.
async fn earned(one: &Replica, two: &Replica) -> (Fixture, Peer) {
    let records = vec![one.record(), two.record()];
    let fixture =
        Fixture::tuned(CONFIGURATION, records, Tuning { twin_part: 0.1, ..Tuning::default() }).await;
    let mut client = fixture.client().await;
    for number in 0..10 {
        let id = format!("earn{number}");
        client.write(ask("write", &id, "")).await;
        let (mut serving, _, _) = first_of(one, two).await;
        serving.write(success(&id, "yes").replace("Keep-Alive", "Connection: close\r\nX")).await;
        client.answer().await;
    }
    (fixture, client)
}

#[rstest]
#[case::reading("read")]
#[case::stream("resume")]
fn the_first_success_wins(#[case] route: &'static str) {
    play(|| async move {
        let (one, two) = (Replica::new("i-1").await, Replica::new("i-2").await);
        let (_fixture, mut client) = earned(&one, &two).await;
        client.write(ask(route, "a", "")).await;
        let ((mut slow, first), (mut fast, second)) = tokio::join!(one.request(), two.request());
        assert_eq!(
            (first.header("Expected-Node"), second.header("Expected-Node")),
            (Some("i-1"), Some("i-2"))
        );
        fast.write(success("a", "fast")).await;
        assert_eq!(client.answer().await.1, "fast");
        slow.ended().await;
    });
}

#[test]
fn a_failure_waits_for_the_twin() {
    play(|| async {
        let (one, two) = (Replica::new("i-1").await, Replica::new("i-2").await);
        let (_fixture, mut client) = earned(&one, &two).await;
        client.write(ask("read", "a", "")).await;
        let ((bad, _), (mut good, _)) = tokio::join!(one.request(), two.request());
        drop(bad);
        good.write(success("a", "good")).await;
        assert_eq!(client.answer().await.1, "good");
    });
}

/// A failure that waited, and nothing came of the other: the client is told that it may have run.
#[test]
fn twins_that_both_fail_end_with_an_answer() {
    play(|| async {
        let (one, two) = (Replica::new("i-1").await, Replica::new("i-2").await);
        let (_fixture, mut client) = earned(&one, &two).await;
        client.write(ask("read", "a", "")).await;
        let ((mut failing, _), (breaking, _)) = tokio::join!(one.request(), two.request());
        failing.write(success("a", "broken").replace("200 OK", "500 Broken")).await;
        // The proxy has dropped it before the other one ends.
        failing.ended().await;
        drop(breaking);
        let (head, body) = client.answer().await;
        assert_eq!((head.status, head.lines.get("Retry-After"), body.as_str()), (502, None, ""));
    });
}

#[test]
fn a_client_that_leaves_ends_both() {
    play(|| async {
        let (one, two) = (Replica::new("i-1").await, Replica::new("i-2").await);
        let (_fixture, mut client) = earned(&one, &two).await;
        client.write(ask("read", "a", "")).await;
        let ((mut first, _), (mut second, _)) = tokio::join!(one.request(), two.request());
        drop(client);
        first.ended().await;
        second.ended().await;
    });
}
