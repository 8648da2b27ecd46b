//! Which answer belongs to which call, on real connections to a replica that misbehaves. Nothing sleeps.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use controller::http_client::{HttpAnswer, HttpCall, HttpClient, Patience};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;

const PATIENCE: Patience =
    Patience { connect: Duration::from_secs(2), answer: Duration::from_secs(5), answer_bytes: 1 << 20 };

/// A replica that is played by the test.
struct Replica {
    listener: TcpListener,
}

impl Replica {
    async fn new() -> (Replica, HttpClient) {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
        let Ok(SocketAddr::V4(address)) = listener.local_addr() else { unreachable!("bound to IPv4") };
        (Replica { listener }, client(address))
    }

    async fn accept(&self) -> TcpStream {
        self.listener.accept().await.expect("a connection").0
    }
}

fn client(address: SocketAddrV4) -> HttpClient {
    HttpClient::new(address, PATIENCE)
}

fn get(path: &str) -> HttpCall<'_> {
    HttpCall { method: "GET", path, replica: None, wait_ms: None, body: &[], last: false }
}

/// Reads one call; its path.
async fn path(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\n") {
        assert!(stream.read_buf(&mut text).await.expect("readable") > 0, "the caller has gone");
    }
    String::from_utf8_lossy(&text).split(' ').nth(1).expect("a path").to_string()
}

fn answer(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

fn body(answer: Option<HttpAnswer>) -> Option<String> {
    answer.map(|answer| String::from_utf8(answer.body).expect("text"))
}

#[tokio::test]
async fn calls_follow_each_other_on_one_connection() {
    let (replica, mut client) = Replica::new().await;
    let served = tokio::spawn(async move {
        let mut stream = replica.accept().await;
        for _ in 0..3 {
            let path = path(&mut stream).await;
            stream.write_all(answer(&path).as_bytes()).await.expect("taken");
        }
    });
    for path in ["/a", "/b", "/c"] {
        assert_eq!(body(client.call(get(path)).await).as_deref(), Some(path));
    }
    served.await.expect("one connection");
}

/// What a replica may send behind an answer, or in its place, before the next call: the call goes out on a new
/// connection, and its answer is its own.
#[rstest]
#[case::a_second_answer("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")]
#[case::half_an_answer("HTTP/1.1 200 OK\r\nContent-Le")]
#[case::noise("\0\0\0")]
#[tokio::test]
async fn what_comes_behind_an_answer_is_not_the_next_one(#[case] extra: &'static str) {
    let (replica, mut client) = Replica::new().await;
    let (answered, was_answered) = oneshot::channel();
    let served = tokio::spawn(async move {
        let mut first = replica.accept().await;
        path(&mut first).await;
        first.write_all(answer("first").as_bytes()).await.expect("taken");
        was_answered.await.expect("the first answer was taken");
        first.write_all(extra.as_bytes()).await.expect("taken");
        first.shutdown().await.expect("shut");
        // The peer has it all when it has acknowledged the end.
        let mut second = replica.accept().await;
        path(&mut second).await;
        second.write_all(answer("second").as_bytes()).await.expect("taken");
    });
    assert_eq!(body(client.call(get("/1")).await).as_deref(), Some("first"));
    answered.send(()).expect("awaited");
    // The extra bytes are on loopback already or come with the connection's end: wait until they can be seen.
    client.rested_has_news().await;
    assert_eq!(body(client.call(get("/2")).await).as_deref(), Some("second"));
    served.await.expect("two connections");
}

#[rstest]
#[case::interim("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate", None)]
#[case::cut_short("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf", None)]
#[case::not_http("hello\r\n\r\n", None)]
#[case::unframed("HTTP/1.1 200 OK\r\n\r\nno end", Some(""))]
#[tokio::test]
async fn an_answer_that_is_not_whole_ends_its_connection(
    #[case] text: &'static str,
    #[case] expected: Option<&str>,
) {
    let (replica, mut client) = Replica::new().await;
    let served = tokio::spawn(async move {
        let mut first = replica.accept().await;
        path(&mut first).await;
        first.write_all(text.as_bytes()).await.expect("taken");
        first.shutdown().await.expect("shut");
        let mut second = replica.accept().await;
        path(&mut second).await;
        second.write_all(answer("second").as_bytes()).await.expect("taken");
    });
    assert_eq!(body(client.call(get("/1")).await).as_deref(), expected);
    assert_eq!(body(client.call(get("/2")).await).as_deref(), Some("second"));
    served.await.expect("two connections");
}

/// An answer in pieces cut at each byte is the same answer, and the next call follows on the same connection.
#[tokio::test]
async fn an_answer_in_two_pieces_is_one() {
    let text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n\r\n";
    let (replica, mut client) = Replica::new().await;
    let served = tokio::spawn(async move {
        let mut stream = replica.accept().await;
        for cut in 1..text.len() {
            path(&mut stream).await;
            stream.write_all(&text.as_bytes()[..cut]).await.expect("taken");
            stream.flush().await.expect("flushed");
            tokio::task::yield_now().await;
            stream.write_all(&text.as_bytes()[cut..]).await.expect("taken");
        }
    });
    for cut in 1..text.len() {
        assert_eq!(body(client.call(get("/")).await).as_deref(), Some("four"), "cut at {cut}");
    }
    served.await.expect("one connection");
}
