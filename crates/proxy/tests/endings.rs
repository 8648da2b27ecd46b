//! Every request that was taken ends in one way that its client sees: a whole answer, after which its connection goes on, or a
//! connection that ends behind an answer that does not look whole. `docs/contracts.md` has the table of what may happen when.

mod support;

use rstest::rstest;
use stand_in::ports::Refusing;
use std::sync::mpsc;
use std::thread;
use support::*;

/// Length of the events that a client does not read, bytes.
const LONG_EVENT_BYTES: usize = 60_000;

/// What the client has of its answer when something happens to the send that is out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Begun {
    Nothing,
    /// Head and first event of a stream that can't go on elsewhere.
    Head,
    /// Events of a stream that broke off; the send is the one that is to take it up.
    Events,
}

impl Begun {
    fn route(self) -> &'static str {
        match self {
            Begun::Nothing | Begun::Head => "stream",
            Begun::Events => "resume",
        }
    }
}

/// What a replica does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Deed {
    Succeed,
    Fail,
    RefuseWithProof,
    RefuseWithoutProof,
    BreakOff,
    Reset,
    BreakFraming,
}

/// How a request ends for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Seen {
    Whole(u16),
    CutOff,
}

/// A request of which the client has a part of its answer.
struct Played {
    /// The replica's side of the send that is out, until it ends it.
    connection: Option<Peer>,
    one: Replica,
    two: Replica,
    fixture: Fixture,
    client: Peer,
}

impl Played {
    async fn new(begun: Begun, deadline_left: &str) -> Played {
        let (one, two, fixture, mut client) = with_two_replicas().await;
        let told = format!("Deadline-Left: {deadline_left}");
        client.write(ask(begun.route(), "a", "").replace("Deadline-Left: 4000", &told)).await;
        let (mut connection, _, other) = first_of(&one, &two).await;
        if begun != Begun::Nothing {
            begin_stream(&mut connection, &mut client, "a").await;
        }
        if begun == Begun::Events {
            drop(connection);
            connection = other.request().await.0;
        }
        Played { connection: Some(connection), one, two, fixture, client }
    }

    /// The replica does something with the request that it has read.
    async fn strike(&mut self, deed: Deed, begun: Begun) {
        let mut connection = self.connection.take().expect("a send is out");
        deed.strike(&mut connection, begun).await;
        match deed {
            Deed::BreakOff => drop(connection),
            Deed::Reset => connection.reset(),
            _ => self.connection = Some(connection),
        }
    }

    /// Shows how the request ends, and that its connection goes on exactly if the answer is whole.
    async fn ends(&mut self, begun: Begun, seen: Seen) {
        let Seen::Whole(status) = seen else {
            self.client.ended().await;
            assert!(!self.client.has_text(LAST_CHUNK), "it looks whole");
            return self.are_counted(1, "cut-off", 1).await;
        };
        if begun == Begun::Nothing {
            assert_eq!(self.client.answer().await.0.status, status);
        } else {
            self.client.text(&(event(2) + LAST_CHUNK)).await;
        }
        // The proxy answers this one itself.
        self.client.write(ask("empty", "next", "")).await;
        assert_eq!(self.client.answer().await.0.lines.get("Attempt-Id"), Some("next"));
        match status {
            200 | 500 => self.are_counted(2, "answered", 1).await,
            _ => self.are_counted(2, "refused", 2).await,
        }
    }

    /// Shows what operators are told: requests that were taken, and how many have ended so.
    async fn are_counted(&self, taken: u32, end: &str, count: u32) {
        let metrics = self.fixture.metrics().await;
        let lines = [
            format!("steppick_requests_taken_total {taken}\n"),
            format!("steppick_requests_ended_total{{end=\"{end}\"}} {count}\n"),
        ];
        assert!(lines.iter().all(|line| metrics.contains(line)), "{metrics}");
    }
}

impl Deed {
    /// Does it with a request that has been read.
    async fn strike(self, connection: &mut Peer, begun: Begun) {
        let head = if begun == Begun::Head { String::new() } else { stream_head("a") };
        let bytes = match self {
            Deed::Succeed if begun == Begun::Nothing => head + &event(1) + LAST_CHUNK,
            Deed::Succeed => head + &event(2) + LAST_CHUNK,
            Deed::Fail => success("a", "broken").replace("200 OK", "500 Broken"),
            Deed::RefuseWithProof => not_run("a"),
            Deed::RefuseWithoutProof => not_run("a").replace("Not-Run", "X-Not-Run"),
            Deed::BreakOff | Deed::Reset => head,
            Deed::BreakFraming => head + "no chunk\r\n",
        };
        connection.write(bytes).await;
    }
}

#[rstest]
#[case::success(Begun::Nothing, Deed::Succeed, Seen::Whole(200))]
#[case::success_goes_on(Begun::Head, Deed::Succeed, Seen::Whole(200))]
#[case::success_takes_up(Begun::Events, Deed::Succeed, Seen::Whole(200))]
#[case::failure(Begun::Nothing, Deed::Fail, Seen::Whole(500))]
#[case::failure_to_take_up(Begun::Events, Deed::Fail, Seen::CutOff)]
#[case::refusals(Begun::Nothing, Deed::RefuseWithProof, Seen::Whole(503))]
#[case::refusal_to_take_up(Begun::Events, Deed::RefuseWithProof, Seen::CutOff)]
#[case::refusal_without_proof(Begun::Nothing, Deed::RefuseWithoutProof, Seen::Whole(502))]
#[case::refusal_to_take_up_without_proof(Begun::Events, Deed::RefuseWithoutProof, Seen::CutOff)]
#[case::break_before_the_head(Begun::Nothing, Deed::BreakOff, Seen::Whole(502))]
#[case::break_behind_the_head(Begun::Head, Deed::BreakOff, Seen::CutOff)]
#[case::break_of_what_takes_up(Begun::Events, Deed::BreakOff, Seen::CutOff)]
#[case::reset_before_the_head(Begun::Nothing, Deed::Reset, Seen::Whole(502))]
#[case::reset_behind_the_head(Begun::Head, Deed::Reset, Seen::CutOff)]
#[case::reset_of_what_takes_up(Begun::Events, Deed::Reset, Seen::CutOff)]
#[case::wrong_framing(Begun::Nothing, Deed::BreakFraming, Seen::Whole(502))]
#[case::wrong_framing_behind_the_head(Begun::Head, Deed::BreakFraming, Seen::CutOff)]
#[case::wrong_framing_of_what_takes_up(Begun::Events, Deed::BreakFraming, Seen::CutOff)]
fn a_request_ends_as_its_replica_has_it(#[case] begun: Begun, #[case] deed: Deed, #[case] seen: Seen) {
    play(|| async move {
        let mut played = Played::new(begun, "4000").await;
        played.strike(deed, begun).await;
        if deed == Deed::RefuseWithProof && begun == Begun::Nothing {
            let (mut other, _, _) = first_of(&played.one, &played.two).await;
            deed.strike(&mut other, begun).await;
        }
        played.ends(begun, seen).await;
    });
}

#[rstest]
#[case::nothing(Begun::Nothing, Seen::Whole(504))]
#[case::head(Begun::Head, Seen::CutOff)]
#[case::events(Begun::Events, Seen::CutOff)]
fn a_request_ends_at_its_deadline(#[case] begun: Begun, #[case] seen: Seen) {
    play(|| async move {
        let mut played = Played::new(begun, "1500").await;
        played.ends(begun, seen).await;
    });
}

/// A client that does not read keeps nothing alive: what it reads later ends, and does not look whole.
#[test]
fn a_client_that_does_not_read_finds_its_answer_cut_off() {
    play(|| async {
        let mut played = Played::new(Begun::Head, "1500").await;
        let mut connection = played.connection.take().expect("a send is out");
        // More than all buffers on the way hold; the connection ends when the proxy gives up.
        let long_event =
            format!("{:x}\r\ndata: {}\n\n\r\n", 8 + LONG_EVENT_BYTES, "x".repeat(LONG_EVENT_BYTES));
        while connection.write_or_end(&long_event).await {}
        played.are_counted(1, "client-gone", 1).await;
        while played.client.skip().await {}
        assert!(!played.client.has_text(LAST_CHUNK));
    });
}

/// No sends after the first are allowed: what broke off is not taken up.
#[rstest]
#[case::nothing("read", Seen::Whole(502))]
#[case::events("resume", Seen::CutOff)]
fn a_request_ends_without_a_retry_budget(#[case] route: &'static str, #[case] seen: Seen) {
    play(|| async move {
        let (one, two, fixture, mut client) = with_two_replicas().await;
        fixture.reload("retry-ratio: 10", "retry-ratio: 0");
        client.write(ask(route, "a", "")).await;
        let (mut connection, _, _) = first_of(&one, &two).await;
        if seen == Seen::CutOff {
            begin_stream(&mut connection, &mut client, "a").await;
        }
        drop(connection);
        match seen {
            Seen::Whole(status) => assert_eq!(client.answer().await.0.status, status),
            Seen::CutOff => {
                client.ended().await;
                assert!(!client.has_rest());
            }
        }
    });
}

/// The only other replica can't be reached. (Where nothing has begun: `whole_path.rs`, `nobody_reached_means_not_run`.)
#[test]
fn a_stream_ends_that_finds_no_connection_to_go_on() {
    play(|| async {
        let (one, gone) = (Replica::new("i-1").await, Refusing::bind());
        let records = vec![one.record(), record("i-gone", gone.address())];
        let fixture = Fixture::with(CONFIGURATION, records).await;
        let mut client = fixture.client().await;
        client.write(ask("resume", "a", "")).await;
        let (mut connection, _) = one.request().await;
        begin_stream(&mut connection, &mut client, "a").await;
        drop(connection);
        client.ended().await;
        assert!(!client.has_rest());
    });
}

#[rstest]
fn a_client_that_leaves_ends_the_send_that_is_out(
    #[values(Begun::Nothing, Begun::Head, Begun::Events)] begun: Begun,
) {
    play(|| async move {
        let Played { connection, client, fixture: _fixture, .. } = Played::new(begun, "4000").await;
        drop(client);
        connection.expect("a send is out").ended().await;
    });
}

/// What runs when the process is told to end is served to its end.
#[rstest]
#[case::nothing(Begun::Nothing)]
#[case::head(Begun::Head)]
#[case::events(Begun::Events)]
fn a_request_ends_whole_after_sigterm(#[case] begun: Begun) {
    play(|| async move {
        let mut played = Played::new(begun, "4000").await;
        played.fixture.terminate();
        while played.fixture.readiness().await != 503 {}
        played.strike(Deed::Succeed, begun).await;
        if begun == Begun::Nothing {
            assert_eq!(played.client.answer().await.1, event_text(1));
        } else {
            played.client.text(&(event(2) + LAST_CHUNK)).await;
        }
    });
}

/// What the process can't serve to its end ends with it, and does not look whole.
#[rstest]
#[case::nothing(Begun::Nothing)]
#[case::head(Begun::Head)]
#[case::events(Begun::Events)]
fn a_request_ends_with_its_process(#[case] begun: Begun) {
    let (hand_over, client) = mpsc::channel();
    // The proxy and its replicas live on a thread of their own; all that the proxy has ends with it.
    let process = thread::spawn(move || {
        play(|| async move {
            let Played { connection: _out, client, fixture, .. } = Played::new(begun, "4000").await;
            hand_over.send(client.into_std()).expect("the test waits");
            fixture.reload("grace-s: 8", "grace-s: 1");
            fixture.terminate();
            fixture.life.await.expect("a sound end");
        });
    });
    let client = client.recv().expect("a client");
    process.join().expect("a sound end");
    play(|| async move {
        let mut client = Peer::from_std(client);
        client.ended().await;
        assert!(!client.has_rest());
    });
}
