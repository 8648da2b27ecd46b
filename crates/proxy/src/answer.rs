//! Answers to clients: those of the proxy itself, and the heads of those that are passed on. No I/O.

use dispatch::Ms;
use http::{BodyWriter, Framing, ResponseFraming, ResponseHead};
use std::io::Write;

/// An answer of the proxy's own, without a body.
pub(crate) fn own(status: u16, retry_after: Option<Ms>, attempt_id: Option<&str>, close: bool) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(160);
    // Writing into a vector can't fail.
    let _ = write!(bytes, "HTTP/1.1 {status} {}\r\nContent-Length: 0\r\n", reason(status));
    if let Some(id) = attempt_id {
        let _ = write!(bytes, "Attempt-Id: {id}\r\n");
    }
    if let Some(after) = retry_after {
        let _ = write!(bytes, "Retry-After: {:.3}\r\n", after / 1000.0);
    }
    bytes.extend_from_slice(if close { b"Connection: close\r\n\r\n" } else { b"\r\n" });
    bytes
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Error",
    }
}

/// Appends the head of a replica's answer as it goes to the client; tells how the body is to be framed.
pub(crate) fn passed_head(head: &ResponseHead, close: bool, output: &mut Vec<u8>) -> BodyWriter {
    // Writing into a vector can't fail.
    let _ = write!(output, "HTTP/1.1 {} {}\r\n", head.status, head.reason());
    for (name, value) in head.lines.end_to_end() {
        output.extend_from_slice(name.as_bytes());
        output.extend_from_slice(b": ");
        output.extend_from_slice(value);
        output.extend_from_slice(b"\r\n");
    }
    let writer = match head.framing {
        ResponseFraming::Framed(Framing::Length(_)) => BodyWriter::Plain,
        ResponseFraming::Framed(Framing::Chunked) | ResponseFraming::UntilClose => {
            output.extend_from_slice(b"Transfer-Encoding: chunked\r\n");
            BodyWriter::Chunked
        }
    };
    output.extend_from_slice(if close { b"Connection: close\r\n\r\n" } else { b"\r\n" });
    writer
}
