//! Releases through a whole proxy: from its agent's messages to where requests go, and back to its reports.

mod support;

use peer::{Alive, Message, ReleaseReport, ReplicaSoftware};
use rollout::{Judged, Order, Phase, Releases, Step};
use rstest::rstest;
use support::*;

fn released(steps: &[Step]) -> Releases {
    let order = Order::new("s", "v2", 10.0).expect("sound");
    let Judged::Begin(begun) = Releases::default().judge(&order, 0, None) else { panic!("not begun") };
    steps.iter().fold(begun, |releases, step| {
        let newest = releases.newest("s").expect("ordered").clone();
        releases.advanced(newest.number, newest.phase, *step, "").expect("fits")
    })
}

fn software(replicas: &[(&str, &str)]) -> Message {
    let told =
        |(id, version): &(&str, &str)| ReplicaSoftware { id: (*id).into(), version: (*version).into() };
    Message::Software(replicas.iter().map(told).collect::<Vec<_>>().into())
}

/// The next report of the proxy on a release that holds answers, with the replica that it tells of.
async fn next_answers(fixture: &mut Fixture) -> ReleaseReport {
    loop {
        if let Message::ReleaseReport(report) = next_message(&mut fixture.agent).await {
            if !report.answers.is_empty() {
                return report;
            }
        }
    }
}

/// Only one of the versions takes requests at the ends of a release; what it answers is reported.
#[rstest]
#[case::reverted(&[Step::Revert], "i-1")]
#[case::shifted(&[Step::Shift], "i-2")]
#[case::finished(&[Step::Shift, Step::Finish], "i-2")]
fn requests_go_to_the_version_that_the_release_allows(#[case] steps: &'static [Step], #[case] wanted: &str) {
    let wanted = wanted.to_string();
    play(|| async move {
        let (one, two, mut fixture, mut client) = with_two_replicas().await;
        fixture.tell(software(&[("i-1", "v1"), ("i-2", "v2")])).await;
        fixture.tell(Message::Alive(Alive { majority_age_ms: 0, configuration: 7 })).await;
        fixture.tell(Message::Releases(released(steps).bytes().into())).await;
        // The proxy answers the reconfiguration behind what it was told before.
        fixture.reconfigure(8, "\"max-conns\":100", "\"max-conns\":101").await;
        for number in 0..10 {
            let id = format!("a{number}");
            client.write(ask("read", &id, "")).await;
            let (mut replica, request, other) = first_of(&one, &two).await;
            let got = if other.record().id.as_str() == "i-1" { "i-2" } else { "i-1" };
            assert_eq!(got, wanted, "request {number}");
            drop(request);
            replica.write(success(&id, "x")).await;
            client.answer().await;
            drop(replica);
        }
    });
}

/// What a proxy saw of the new version reaches its agent, by replica; a proxy with nothing out at the old one says so.
#[rstest]
fn answers_are_reported_and_the_old_version_is_told_drained() {
    play(|| async {
        let (one, two, mut fixture, mut client) = with_two_replicas().await;
        fixture.tell(software(&[("i-1", "v1"), ("i-2", "v2")])).await;
        fixture.tell(Message::Releases(released(&[Step::Shift]).bytes().into())).await;
        fixture.reconfigure(8, "\"max-conns\":100", "\"max-conns\":101").await;
        client.write(ask("read", "a", "")).await;
        let (mut replica, _, _) = first_of(&one, &two).await;
        replica.write(success("a", "x")).await;
        client.answer().await;
        let report = next_answers(&mut fixture).await;
        assert_eq!((report.phase, report.is_drained), (Phase::Shift.number(), 1));
        let [answers] = report.answers.as_slice() else { panic!("{report:?}") };
        assert_eq!((answers.is_new, answers.good, answers.bad), (1, 1, 0));
        assert_eq!(answers.replica, peer::replica_key("i-2"));
    });
}
