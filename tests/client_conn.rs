//! A model of a client's connection: requests split anywhere, answered one at a time in their order.

mod support;

use steppick::net::client::{ClientConn, ClientState};
use steppick::net::http::{Bad, Response};
use steppick::RequestId;
use support::{check, Step};

/// What the model expects of one request on the wire.
#[derive(Debug, Clone, PartialEq)]
enum Expected {
    Body(Vec<u8>, bool),
    Bad(Bad),
}

/// Writes a request as the step says; also what must come of it.
fn request((what, a, b): Step) -> (Vec<u8>, Expected) {
    let body = vec![b'x'; usize::from(a)];
    let close = b % 16 == 0;
    let extra = if close { "Connection: close\r\n" } else { "" };
    let (text, expected) = match what % 8 {
        0..=2 => (format!("Content-Length: {a}\r\n{extra}\r\n"), Expected::Body(body.clone(), close)),
        3..=5 => (format!("Transfer-Encoding: chunked\r\n{extra}\r\n"), Expected::Body(body.clone(), close)),
        6 if b % 4 == 0 => ("Content-Length: 70000\r\n\r\n".into(), Expected::Bad(Bad::TooLarge)),
        7 if b % 4 == 0 => {
            ("Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n".into(), Expected::Bad(Bad::Malformed))
        }
        7 if b % 4 == 1 => ("No colon here\r\n\r\n".into(), Expected::Bad(Bad::Malformed)),
        _ => (format!("{extra}\r\n"), Expected::Body(Vec::new(), close)),
    };
    let mut bytes = format!("POST /x HTTP/1.1\r\nHost: x\r\n{text}").into_bytes();
    match what % 8 {
        0..=2 => bytes.extend(&body),
        3..=5 => {
            for chunk in body.chunks(usize::from(b) + 1) {
                bytes.extend(format!("{:x};note=1\r\n", chunk.len()).bytes());
                bytes.extend(chunk);
                bytes.extend(b"\r\n");
            }
            bytes.extend(b"0\r\nTrailer: 1\r\n\r\n");
        }
        _ => {}
    }
    (bytes, expected)
}

fn holds(requests: Vec<Step>, steps: Vec<Step>) -> bool {
    let mut wire = Vec::new();
    let mut expected = Vec::new();
    for step in requests {
        let (bytes, result) = request(step);
        wire.extend(bytes);
        let last = !matches!(result, Expected::Body(_, false));
        expected.push(result);
        if last {
            break;
        }
    }
    let mut conn = ClientConn::new(0.0);
    let (mut fed, mut written, mut answered) = (0, Vec::new(), 0);
    let mut all = steps;
    // Enough further steps to carry everything through.
    all.extend(
        (0..4 * (wire.len() as u32 / 200 + 4 * expected.len() as u32 + 4)).map(|n| (n as u8, 255, 255)),
    );
    for (what, a, b) in all {
        match what % 4 {
            0 if conn.wants_input() => {
                let end = wire.len().min(fed + usize::from(a));
                conn.received(&wire[fed..end], 1.0);
                fed = end;
            }
            1 => match conn.next_request() {
                None => {}
                Some(Ok(request)) => {
                    assert_eq!(Expected::Body(request.body, request.close), expected[answered]);
                    conn.asked(RequestId(1));
                    assert!(conn.next_request().is_none(), "one request at a time");
                }
                Some(Err(bad)) => {
                    assert_eq!(Expected::Bad(bad), expected[answered]);
                    conn.answer(&Response::new(400, ""), true, 1.0);
                    answered += 1;
                }
            },
            2 if matches!(conn.state(), ClientState::Asked(_)) => {
                conn.answer(&Response::new(200, format!("{answered}")), false, 1.0);
                answered += 1;
            }
            3 => {
                let count = conn.output().len().min(usize::from(b));
                written.extend_from_slice(&conn.output()[..count]);
                conn.wrote(count);
            }
            _ => {}
        }
        let closes = answered > 0 && !matches!(expected[answered - 1], Expected::Body(_, false));
        assert_eq!(conn.state() == ClientState::Closing, closes);
        assert!(!conn.may_go(2.0) || conn.output().is_empty());
    }
    assert_eq!(answered, expected.len(), "each request has its answer");
    let text = String::from_utf8(written).expect("ASCII");
    text.matches("HTTP/1.1 ").count() == answered
}

#[test]
fn a_client_connection_keeps_to_its_model() {
    check(holds as fn(Vec<Step>, Vec<Step>) -> bool);
}

#[test]
fn the_time_of_a_pipelined_request_is_that_of_its_own_last_byte() {
    let mut conn = ClientConn::new(0.0);
    let wire = b"GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\nGET /c";
    conn.received(&wire[..25], 10.0);
    conn.received(&wire[25..], 20.0);
    conn.received(b" HTTP/1.1\r\n\r\n", 30.0);
    for expected in [10.0, 20.0, 30.0] {
        assert!(conn.next_request().is_some_and(|request| request.is_ok()));
        assert_eq!(conn.request_at, expected);
    }
}

#[test]
fn a_request_that_does_not_fit_is_refused_and_its_answer_is_left_time_to_arrive() {
    let mut conn = ClientConn::new(0.0);
    conn.received(b"POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", 0.0);
    for _ in 0..40 {
        assert!(conn.wants_input(), "else its end would not be seen");
        conn.received(&b"1\r\nx\r\n".repeat(1000), 0.0);
    }
    assert_eq!(conn.next_request(), Some(Err(Bad::TooLarge)));
    conn.answer(&Response::new(413, ""), true, 0.0);
    assert!(!conn.linger(1.0), "the answer has not left");
    conn.wrote(conn.output().len());
    assert!(conn.linger(1.0) && !conn.linger(2.0));
    assert_eq!(conn.state(), ClientState::Lingering(1.0));
}

#[test]
fn what_is_whole_of_too_much_is_answered_and_nothing_is_made_of_the_rest() {
    let mut conn = ClientConn::new(0.0);
    let one = b"GET /a HTTP/1.1\r\n\r\n";
    // More than is held, and then what would make a request of the piece that is.
    conn.received(&one.repeat(20_000), 0.0);
    conn.received(b"GET /b HTTP/1.1\r\n\r\n", 0.0);
    let mut taken = 0;
    let bad = loop {
        match conn.next_request() {
            Some(Ok(request)) => assert_eq!(request.path, "/a"),
            other => break other,
        }
        taken += 1;
    };
    assert_eq!((taken, bad), (160 * 1024 / one.len(), Some(Err(Bad::TooLarge))));
}

#[test]
fn no_further_request_is_taken_while_many_answers_wait_to_be_read() {
    let mut conn = ClientConn::new(0.0);
    conn.received(&b"GET /a HTTP/1.1\r\n\r\n".repeat(3000), 0.0);
    let mut answered = 0;
    while conn.next_request().is_some() {
        conn.answer(&Response::new(404, "x".repeat(100)), false, 5.0);
        answered += 1;
    }
    assert!(answered < 500 && conn.output().len() < 66 * 1024, "{answered}");
    assert_eq!(conn.unwritten_since(), Some(5.0));
    conn.wrote(conn.output().len());
    assert!(conn.unwritten_since().is_none() && conn.next_request().is_some());
}

#[test]
fn bytes_that_come_one_by_one_are_held_with_few_times_of_arrival_none_of_them_late() {
    let mut conn = ClientConn::new(0.0);
    let wire = b"GET /a HTTP/1.1\r\nX: yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n\r\n";
    for (n, byte) in wire.iter().enumerate() {
        conn.received(&[*byte], n as f64);
    }
    assert!(conn.next_request().is_some_and(|request| request.is_ok()));
    assert!(conn.request_at <= wire.len() as f64 && conn.request_at >= 60.0, "{}", conn.request_at);
}

#[test]
fn a_connection_that_has_only_just_come_is_not_quiet() {
    let mut conn = ClientConn::new(10.0);
    assert!(conn.is_idle() && !conn.is_quiet(10.0) && conn.is_quiet(10.5));
    conn.received(b"GET /a", 20.0);
    assert!(!conn.is_quiet(30.0), "a request has begun");
}

#[test]
fn a_request_is_incomplete_since_its_first_byte_or_the_answer_before_it() {
    let mut conn = ClientConn::new(0.0);
    assert!(!conn.has_asked() && conn.incomplete_since().is_none());
    conn.received(b"GET /a HTTP/1.1\r\n", 10.0);
    conn.received(b"X: y\r\n", 20.0);
    assert_eq!(conn.incomplete_since(), Some(10.0), "more bytes buy no more time");
    conn.received(b"\r\nGET /b", 30.0);
    assert!(conn.next_request().is_some() && conn.has_asked());
    conn.asked(RequestId(1));
    assert_eq!(conn.incomplete_since(), None, "it is our turn");
    conn.answer(&Response::new(200, ""), false, 90.0);
    assert_eq!(conn.incomplete_since(), Some(90.0));
    conn.give_up(&Response::new(408, ""), 100.0);
    assert_eq!((conn.state(), conn.incomplete_since()), (ClientState::Closing, None));
}
