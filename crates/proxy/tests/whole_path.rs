//! The whole path of requests over sockets, against stand-in replicas and a stand-in agent.

mod support;

use rstest::rstest;
use stand_in::ports::Refusing;
use support::*;

#[test]
fn a_request_goes_to_a_replica_and_its_answer_comes_back() {
    play(|| async {
        let (replica, _fixture, mut client) = with_one_replica().await;
        let extra = "X-Own: 1\r\nTenant: somebody-else\r\nCache-Salt: stolen\r\nConnection: keep-alive\r\n\
            Model: m1\r\nPrompt-Prefix: aa:100,bb:20\r\n";
        client.write(ask("write", "a1", extra)).await;
        let (mut connection, request) = replica.request().await;
        assert_eq!((request.head.method(), request.head.target()), ("POST", "/write/x?y=1"));
        assert_eq!(request.body, b"body");
        for (name, value) in [
            ("Attempt-Id", "a1"),
            ("X-Own", "1"),
            ("Tenant", "tenant-1"),
            // The only rank of tenants and the only one of routes here: nothing is more urgent.
            ("Priority", "0"),
            ("Expected-Node", "i-1"),
            ("Expect-Version", "1"),
            ("Model", "m1"),
            ("Prompt-Prefix", "aa:100,bb:20"),
        ] {
            assert_eq!(request.head.lines.count(name), 1, "{name}");
            assert_eq!(request.header(name), Some(value), "{name}");
        }
        assert_eq!(request.header("Authorization"), None);
        assert_ne!(request.header("Cache-Salt"), Some("stolen"));
        let left: u32 = request.header("Deadline-Left").and_then(|left| left.parse().ok()).expect("a number");
        assert!((3000..=4000).contains(&left), "{left}");
        connection.write(success("a1", "hello")).await;
        let (head, body) = client.answer().await;
        assert_eq!((head.status, body.as_str()), (200, "hello"));
        assert_eq!(head.lines.get("Server-Seal"), Some("seal-a1"));
        assert_eq!(head.lines.get("Attempt-Id"), Some("a1"));
        // The next request takes the same connection.
        client.write(ask("read", "a2", "")).await;
        let request = connection.request().await;
        assert_eq!((request.header("Attempt-Id"), request.header("Cache-Salt")), (Some("a2"), None));
        connection.write(success("a2", "again")).await;
        assert_eq!(client.answer().await.1, "again");
    });
}

#[rstest]
#[case::no_route("POST /nowhere/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a\r\n\r\n", 404)]
#[case::other_host("POST /read/ HTTP/1.1\r\nHost: other\r\nAttempt-Id: a\r\n\r\n", 404)]
#[case::no_key("POST /read/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a\r\n\r\n", 401)]
#[case::wrong_key(
    "GET /read/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a\r\nAuthorization: Bearer x\r\n\r\n",
    401
)]
#[case::other_scheme(
    "GET /read/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a\r\nAuthorization: Basic secret-key-1\r\n\r\n",
    401
)]
#[case::no_replica(
    "GET /empty/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a\r\nAuthorization: Bearer k2\r\n\r\n",
    503
)]
fn what_is_refused_goes_nowhere(#[case] request: &'static str, #[case] status: u16) {
    play(|| async move {
        let (replica, _fixture, mut client) = with_one_replica().await;
        client.write(request).await;
        let (head, _) = client.answer().await;
        assert_eq!(head.status, status);
        assert_eq!(head.lines.get("Retry-After").is_some(), status == 503);
        // The connection goes on, and the replica sees only what follows.
        client.write(ask("read", "next", "")).await;
        assert_eq!(replica.request().await.1.header("Attempt-Id"), Some("next"));
    });
}

#[test]
fn a_public_route_needs_no_key() {
    play(|| async {
        let (replica, _fixture, mut client) = with_one_replica().await;
        client.write("GET /public/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a\r\nTenant: t\r\n\r\n").await;
        assert_eq!(replica.request().await.1.header("Tenant"), None);
    });
}

#[rstest]
#[case::malformed(
    "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
    400
)]
#[case::two_lengths(
    "POST /read/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1\r\nContent-Length: 30\r\n\r\n",
    400
)]
#[case::bad_chunk("POST /read/ HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n", 400)]
#[case::long_body("POST /read/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 100001\r\n\r\n", 413)]
#[case::no_http("hello\r\n\r\n", 400)]
fn unsound_requests_end_the_connection(#[case] request: &'static str, #[case] status: u16) {
    play(|| async move {
        let (replica, fixture, mut client) = with_one_replica().await;
        // What follows in the same bytes is no request.
        client.write(format!("{request}{}", ask("read", "smuggled", ""))).await;
        assert_eq!(client.answer().await.0.status, status);
        client.ended().await;
        assert!(!client.has_rest());
        let mut client = fixture.client().await;
        client.write(ask("read", "next", "")).await;
        assert_eq!(replica.request().await.1.header("Attempt-Id"), Some("next"));
    });
}

#[test]
fn a_long_head_gets_431() {
    play(|| async {
        let fixture = Fixture::new(&[]).await;
        let mut client = fixture.client().await;
        client.write(ask("read", "a", &format!("X: {}\r\n", "x".repeat(3000)))).await;
        assert_eq!(client.answer().await.0.status, 431);
        client.ended().await;
    });
}

#[test]
fn a_body_in_chunks_goes_on_with_its_length() {
    play(|| async {
        let (replica, _fixture, mut client) = with_one_replica().await;
        let head = format!(
            "POST /read/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a\r\nAuthorization: Bearer {KEY}\r\n"
        );
        client
            .write(format!(
                "{head}Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: 1\r\n\r\n"
            ))
            .await;
        let request = replica.request().await.1;
        assert_eq!(
            (request.body.as_slice(), request.header("Content-Length")),
            (b"abcde".as_slice(), Some("5"))
        );
        assert_eq!(request.header("Transfer-Encoding"), None);
    });
}

#[rstest]
#[case("read")]
#[case("write")]
#[case("stream")]
fn a_refusal_with_proof_is_tried_elsewhere(#[case] route: &'static str) {
    play(|| async move {
        let (one, two, _fixture, mut client) = with_two_replicas().await;
        client.write(ask(route, "a", "")).await;
        let (mut refusing, _, other) = first_of(&one, &two).await;
        refusing.write(not_run("a")).await;
        let (mut serving, request) = other.request().await;
        assert_eq!(request.header("Expected-Node"), Some(other.id.as_str()));
        serving.write(success("a", "yes")).await;
        assert_eq!(client.answer().await.1, "yes");
    });
}

#[test]
fn a_request_refused_everywhere_is_told_to_come_back() {
    play(|| async {
        let (one, two, _fixture, mut client) = with_two_replicas().await;
        client.write(ask("write", "a", "")).await;
        let (mut first, _, other) = first_of(&one, &two).await;
        first.write(not_run("a")).await;
        let (mut second, _) = other.request().await;
        second.write(not_run("a")).await;
        let (head, _) = client.answer().await;
        assert_eq!(head.status, 503);
        assert!(head.lines.get("Retry-After").is_some());
    });
}

/// What a replica in trouble does with a request that it has read.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    Close,
    Reset,
    Garbage,
    OtherId,
    NoId,
    NoSeal,
    Encoded,
    Unframed,
    CutBody,
    FullWithoutProof,
}

impl Trouble {
    async fn strike(self, mut connection: Peer, id: &str) {
        let answer = match self {
            Trouble::Close => return drop(connection),
            Trouble::Reset => return connection.reset(),
            Trouble::Garbage => "\x00\x01garbage\r\n\r\n".into(),
            Trouble::OtherId => success("older", "old"),
            Trouble::NoId => "HTTP/1.1 200 OK\r\nServer-Seal: s\r\nContent-Length: 2\r\n\r\nno".into(),
            Trouble::NoSeal => format!("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nContent-Length: 2\r\n\r\nno"),
            Trouble::Encoded => {
                success(id, "no").replace("Keep-Alive", "Content-Encoding: gzip\r\nKeep-Alive")
            }
            Trouble::Unframed => success(id, "no").replace("Content-Length", "X-Length"),
            Trouble::CutBody => success(id, "no").replace("Content-Length: 2", "Content-Length: 9"),
            Trouble::FullWithoutProof => not_run(id).replace("Not-Run", "X-Not-Run"),
        };
        connection.write(answer).await;
    }
}

#[rstest]
fn a_writing_request_in_doubt_ends_with_502_and_no_second_send(
    #[values(
        Trouble::Close,
        Trouble::Reset,
        Trouble::Garbage,
        Trouble::OtherId,
        Trouble::NoId,
        Trouble::NoSeal,
        Trouble::Encoded,
        Trouble::Unframed,
        Trouble::CutBody,
        Trouble::FullWithoutProof
    )]
    trouble: Trouble,
    #[values("write", "stream")] route: &'static str,
) {
    play(|| async move {
        let (one, two, _fixture, mut client) = with_two_replicas().await;
        client.write(ask(route, "a", "")).await;
        let (connection, _, other) = first_of(&one, &two).await;
        trouble.strike(connection, "a").await;
        if route == "stream" && matches!(trouble, Trouble::CutBody) {
            // The start was passed on: what is cut off must not look whole.
            assert_eq!(client.answer_or_cut().await.1, None);
            return;
        }
        let (head, _) = client.answer().await;
        assert_eq!((head.status, head.lines.get("Retry-After")), (502, None));
        // Whatever reaches the other replica first is the next request.
        client.write(ask("read", "next", "")).await;
        let (_, request, _) = first_of(other, if other.id == one.id { &two } else { &one }).await;
        assert_eq!(request.header("Attempt-Id"), Some("next"));
    });
}

#[rstest]
fn a_reading_request_in_doubt_is_tried_elsewhere(
    #[values(
        Trouble::Close,
        Trouble::Reset,
        Trouble::Garbage,
        Trouble::OtherId,
        Trouble::NoSeal,
        Trouble::CutBody
    )]
    trouble: Trouble,
) {
    play(|| async move {
        let (one, two, _fixture, mut client) = with_two_replicas().await;
        client.write(ask("read", "a", "")).await;
        let (connection, _, other) = first_of(&one, &two).await;
        trouble.strike(connection, "a").await;
        let (mut serving, _) = other.request().await;
        serving.write(success("a", "yes")).await;
        assert_eq!(client.answer().await.1, "yes");
    });
}

#[test]
fn a_silent_replica_costs_a_writing_request_504_at_its_deadline() {
    play(|| async {
        let (one, two, _fixture, mut client) = with_two_replicas().await;
        client.write(ask("write", "a", "").replace("Deadline-Left: 4000", "Deadline-Left: 60")).await;
        let (mut silent, _, _) = first_of(&one, &two).await;
        let (head, _) = client.answer().await;
        assert_eq!((head.status, head.lines.get("Retry-After")), (504, None));
        // The replica learns that nobody waits any more.
        silent.ended().await;
    });
}

#[test]
fn a_replica_that_can_not_be_reached_costs_no_try() {
    play(|| async {
        let (gone, there) = (Refusing::bind(), Replica::new("i-2").await);
        let records = vec![record("i-gone", gone.address()), there.record()];
        let fixture = Fixture::with(CONFIGURATION, records).await;
        for number in 0..8 {
            let mut client = fixture.client().await;
            client.write(ask("write", &format!("a{number}"), "")).await;
            let (mut serving, request) = there.request().await;
            assert_eq!(request.header("Expected-Node"), Some("i-2"));
            serving
                .write(success(&format!("a{number}"), "yes").replace("Keep-Alive", "Connection: close\r\nX"))
                .await;
            assert_eq!(client.answer().await.0.status, 200);
        }
    });
}

#[test]
fn nobody_reached_means_not_run() {
    play(|| async {
        let gone = Refusing::bind();
        let fixture = Fixture::with(CONFIGURATION, vec![record("i-gone", gone.address())]).await;
        let mut client = fixture.client().await;
        client.write(ask("write", "a", "")).await;
        let (head, _) = client.answer().await;
        assert_eq!(head.status, 503);
        assert!(head.lines.get("Retry-After").is_some());
    });
}

#[test]
fn bytes_behind_a_whole_answer_belong_to_no_request() {
    play(|| async {
        let (replica, _fixture, mut client) = with_one_replica().await;
        client.write(ask("write", "a", "")).await;
        let (mut connection, _) = replica.request().await;
        connection.write(success("a", "first") + &success("a", "extra")).await;
        assert_eq!(client.answer().await.1, "first");
        client.write(ask("write", "b", "")).await;
        // A new connection: the one with the extra answer is closed.
        let (mut fresh, request) = replica.request().await;
        assert_eq!(request.header("Attempt-Id"), Some("b"));
        connection.ended().await;
        fresh.write(success("b", "second")).await;
        assert_eq!(client.answer().await.1, "second");
    });
}

#[rstest]
#[case::closed(|connection: Peer| drop(connection))]
#[case::reset(|connection: Peer| connection.reset())]
fn a_resting_connection_that_has_ended_is_not_used(#[case] end: fn(Peer)) {
    play(|| async move {
        let (replica, _fixture, mut client) = with_one_replica().await;
        client.write(ask("write", "a", "")).await;
        let (mut connection, _) = replica.request().await;
        connection.write(success("a", "first")).await;
        assert_eq!(client.answer().await.1, "first");
        end(connection);
        client.write(ask("write", "b", "")).await;
        let (mut fresh, _) = replica.request().await;
        fresh.write(success("b", "second")).await;
        assert_eq!(client.answer().await.1, "second");
    });
}

#[test]
fn an_answer_of_the_replicas_own_failure_is_passed_on() {
    play(|| async {
        let (replica, _fixture, mut client) = with_one_replica().await;
        client.write(ask("write", "a", "")).await;
        let (mut connection, _) = replica.request().await;
        connection.write(success("a", "broken").replace("200 OK", "500 Internal Server Error")).await;
        let (head, body) = client.answer().await;
        assert_eq!((head.status, body.as_str()), (500, "broken"));
    });
}

#[test]
fn a_client_that_leaves_ends_its_send() {
    play(|| async {
        let (replica, _fixture, mut client) = with_one_replica().await;
        client.write(ask("stream", "a", "")).await;
        let (mut connection, _) = replica.request().await;
        drop(client);
        connection.ended().await;
    });
}
