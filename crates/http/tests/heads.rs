//! Heads: every header kept in order, limits, and no head that two readers could take in two ways.

use http::{Framing, HeadError, RequestHead, ResponseFraming, ResponseHead};
use rstest::rstest;

const LIMIT: usize = 1024;

fn read(text: &str) -> Result<Option<(RequestHead, usize)>, HeadError> {
    RequestHead::read(text.as_bytes(), LIMIT)
}

#[test]
fn a_head_keeps_its_lines_in_order() {
    let text =
        "POST /a/b?c=d HTTP/1.1\r\nHost: h.example:8080\r\nX-One:  1 \r\nx-two: 2\r\nX-One: 3\r\n\r\nrest";
    let (head, length) = read(text).expect("sound").expect("whole");
    assert_eq!(length, text.len() - "rest".len());
    assert_eq!((head.method(), head.target(), head.path()), ("POST", "/a/b?c=d", "/a/b"));
    assert_eq!(head.host(), "h.example");
    let lines: Vec<(&str, &[u8])> = head.lines.end_to_end().collect();
    let expected: Vec<(&str, &[u8])> =
        vec![("Host", b"h.example:8080"), ("X-One", b"1"), ("x-two", b"2"), ("X-One", b"3")];
    assert_eq!(lines, expected);
}

#[test]
fn headers_of_one_connection_are_dropped() {
    let text =
        "GET / HTTP/1.1\r\nHost: h\r\nConnection: keep-alive, x-private, Attempt-Id\r\nKeep-Alive: 5\r\n\
        X-Private: 1\r\nTE: trailers\r\nUpgrade: h2c\r\nAttempt-Id: a1\r\n\r\n";
    let (head, _) = read(text).expect("sound").expect("whole");
    let names: Vec<&str> = head.lines.end_to_end().map(|(name, _)| name).collect();
    assert_eq!(names, ["Host", "Attempt-Id"]);
}

#[rstest]
#[case::both("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n")]
#[case::two_lengths("Content-Length: 3\r\nContent-Length: 4\r\n")]
#[case::one_length_twice("Content-Length: 3\r\nContent-Length: 3\r\n")]
#[case::list_of_lengths("Content-Length: 3, 3\r\n")]
#[case::signed("Content-Length: +3\r\n")]
#[case::hex("Content-Length: 0x3\r\n")]
#[case::empty_length("Content-Length:\r\n")]
#[case::huge("Content-Length: 99999999999999999999999\r\n")]
#[case::coding("Transfer-Encoding: gzip, chunked\r\n")]
#[case::identity("Transfer-Encoding: identity\r\n")]
#[case::two_codings("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n")]
#[case::space_before_colon("Transfer-Encoding : chunked\r\n")]
#[case::folded("X: 1\r\n Transfer-Encoding: chunked\r\n")]
#[case::bare_line_feed("X: 1\nTransfer-Encoding: chunked\r\n")]
#[case::second_host("Host: other\r\n")]
#[case::vertical_tab("Transfer-Encoding: \x0bchunked\r\n")]
fn what_could_smuggle_a_request_is_refused(#[case] lines: &str) {
    let text = format!("POST / HTTP/1.1\r\nHost: h\r\n{lines}\r\n");
    assert!(matches!(read(&text), Err(HeadError::Malformed(_))), "{:?}", read(&text));
}

#[rstest]
#[case::no_host("GET / HTTP/1.1\r\n\r\n")]
#[case::absolute("GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n")]
#[case::chunks_in_1_0("GET / HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")]
#[case::http_2("GET / HTTP/2.0\r\nHost: h\r\n\r\n")]
#[case::garbage("\x16\x03\x01\x02")]
fn what_is_no_request_is_refused(#[case] text: &str) {
    assert!(matches!(read(text), Err(HeadError::Malformed(_))), "{:?}", read(text));
}

#[rstest]
#[case::whole(2000, true)]
#[case::not_whole(2000, false)]
fn a_long_head_is_too_large(#[case] size: usize, #[case] whole: bool) {
    let end = if whole { "\r\n\r\n" } else { "" };
    let text = format!("GET / HTTP/1.1\r\nHost: h\r\nX: {}{end}", "x".repeat(size));
    assert_eq!(read(&text), Err(HeadError::TooLarge));
}

#[test]
fn too_many_lines_are_too_large() {
    let text = format!("GET / HTTP/1.1\r\nHost: h\r\n{}\r\n", "A: 1\r\n".repeat(129));
    assert_eq!(RequestHead::read(text.as_bytes(), 16 * 1024), Err(HeadError::TooLarge));
}

#[test]
fn a_head_in_parts_is_waited_for() {
    let text = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n";
    for end in 0..text.len() {
        assert_eq!(read(&text[..end]), Ok(None), "{end}");
    }
    let (head, _) = read(text).expect("sound").expect("whole");
    assert_eq!((head.framing, head.close), (Framing::Length(3), false));
}

#[rstest]
#[case::length("200 OK", "Content-Length: 3", ResponseFraming::Framed(Framing::Length(3)), false)]
#[case::chunks("200 OK", "Transfer-Encoding: chunked", ResponseFraming::Framed(Framing::Chunked), false)]
#[case::none("200 OK", "X: 1", ResponseFraming::UntilClose, true)]
#[case::no_content("204 No Content", "X: 1", ResponseFraming::Framed(Framing::Length(0)), false)]
#[case::closing(
    "200 OK",
    "Content-Length: 0\r\nConnection: x, Close",
    ResponseFraming::Framed(Framing::Length(0)),
    true
)]
fn response_heads(
    #[case] status: &str,
    #[case] lines: &str,
    #[case] framing: ResponseFraming,
    #[case] close: bool,
) {
    let text = format!("HTTP/1.1 {status}\r\n{lines}\r\n\r\n");
    let (head, length) = ResponseHead::read(text.as_bytes()).expect("sound").expect("whole");
    assert_eq!((head.framing, head.close, length), (framing, close, text.len()));
    assert_eq!(format!("{} {}", head.status, head.reason()), status);
}

#[rstest]
#[case("timeout=5, max=100", Some(5))]
#[case("max=100, timeout=7", Some(7))]
#[case("9", Some(9))]
#[case("soon", None)]
fn keep_alive_tells_seconds(#[case] value: &str, #[case] seconds: Option<u64>) {
    let text = format!("HTTP/1.1 200 OK\r\nKeep-Alive: {value}\r\nContent-Length: 0\r\n\r\n");
    let (head, _) = ResponseHead::read(text.as_bytes()).expect("sound").expect("whole");
    assert_eq!(head.keep_alive_seconds(), seconds);
}

/// Found by `damaged.rs`: the parser leaves such a reason out.
#[test]
fn a_reason_that_is_not_ascii_is_left_out() {
    let bytes = b"HTTP/1.1 200 Tr\xe8s bien\r\nContent-Length: 0\r\n\r\n";
    let (head, length) = ResponseHead::read(bytes).expect("sound").expect("whole");
    assert_eq!((head.status, head.reason(), length), (200, "", bytes.len()));
}
