//! The process's life: ready once it has a view, and an end that loses nothing.

mod support;

use peer::{Message, Replicas};
use proxy::{Lifecycle, Phase};
use rstest::rstest;
use std::time::Duration;
use support::*;

#[test]
fn it_is_ready_once_it_has_a_configuration_and_replicas() {
    play(|| async {
        let mut fixture = Fixture::bare(Duration::ZERO).await;
        assert_eq!(fixture.readiness().await, 503);
        let mut client = fixture.client().await;
        client.write(ask("write", "a", "")).await;
        let (head, _) = client.answer().await;
        assert_eq!((head.status, head.lines.get("Retry-After").is_some()), (503, true));
        fixture.tell(Message::Configuration(whole(CONFIGURATION))).await;
        fixture.tell(Message::Replicas(Replicas::default())).await;
        while fixture.readiness().await != 200 {}
    });
}

#[test]
fn clients_that_come_before_the_view_is_complete_are_served_once_it_is() {
    play(|| async {
        let replica = Replica::new("i-1").await;
        let mut fixture = Fixture::bare(Duration::from_secs(60)).await;
        let mut client = fixture.client().await;
        client.write(ask("write", "a", "")).await;
        fixture.tell(Message::Configuration(whole(CONFIGURATION))).await;
        fixture.tell(Message::Replicas(Replicas::from(vec![replica.record()]))).await;
        let (mut connection, _) = replica.request().await;
        connection.write(success("a", "served")).await;
        assert_eq!(client.answer().await.1, "served");
    });
}

#[test]
fn what_is_under_way_at_the_end_is_answered() {
    play(|| async {
        let replica = Replica::new("i-1").await;
        let fixture = Fixture::new(&[&replica]).await;
        let (mut waiting, mut resting) = (fixture.client().await, fixture.client().await);
        waiting.write(ask("write", "a", "")).await;
        let (mut connection, _) = replica.request().await;
        fixture.terminate();
        while fixture.readiness().await != 503 {}
        // A connection that rested still gets its answer, and is told that it ends.
        resting.write(ask("write", "b", "")).await;
        let (mut other, _) = replica.request().await;
        other.write(success("b", "late")).await;
        let (head, _) = resting.answer().await;
        assert!(head.close);
        resting.ended().await;
        connection.write(success("a", "whole")).await;
        assert_eq!(waiting.answer().await.1, "whole");
        fixture.life.await.expect("a sound end");
    });
}

#[rstest]
#[case(0.0, 1, Phase::Leaving)]
#[case(2_500.0, 0, Phase::Leaving)]
#[case(4_000.0, 1, Phase::Finishing)]
#[case(4_000.0, 0, Phase::Over)]
#[case(7_600.0, 1, Phase::Over)]
fn the_end_has_phases(#[case] since: f64, #[case] under_way: usize, #[case] phase: Phase) {
    let mut life = Lifecycle::new(8_000.0);
    assert_eq!(life.phase(50.0, 0), Phase::Serving);
    life.end(100.0);
    life.end(5_000.0);
    assert_eq!(life.phase(100.0 + since, under_way), phase);
}

/// A process may be cut off in its end only on requests that were sent within 3 s of the signal: a stream that is taken later
/// may run longer than the process lives.
#[test]
fn nothing_is_taken_that_was_sent_three_seconds_after_the_signal() {
    const SIGNAL: f64 = 100.0;
    const ON_THE_WAY: f64 = 10.0;
    const LOOKED_AT_EVERY: f64 = 50.0;
    for grace in [4_000.0, 8_000.0, 30_000.0] {
        let mut life = Lifecycle::new(grace);
        life.end(SIGNAL);
        assert_eq!(
            life.phase(SIGNAL + 3_000.0 - LOOKED_AT_EVERY + ON_THE_WAY, 1),
            Phase::Finishing,
            "{grace} ms"
        );
    }
}
