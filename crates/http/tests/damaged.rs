//! Heads and bodies with drawn damage, from a corpus: no panic, nothing taken that is not there, and the same result
//! however the bytes come in.

use http::{BodyReader, Framing, RequestHead, ResponseHead};
use proptest::prelude::*;
use stand_in::damage::{damaged, edits};

const REQUESTS: [&[u8]; 3] = [
    include_bytes!("corpus/length.request"),
    include_bytes!("corpus/chunked.request"),
    include_bytes!("corpus/pipelined.request"),
];
const RESPONSES: [&[u8]; 4] = [
    include_bytes!("corpus/length.response"),
    include_bytes!("corpus/events.response"),
    include_bytes!("corpus/not-run.response"),
    include_bytes!("corpus/interim.response"),
];
/// Longest head, bytes.
const LIMIT: usize = 1_024;

/// What reading gave, in a form that can be compared.
type Outcome = Result<Option<(String, usize)>, String>;

fn request(bytes: &[u8]) -> Outcome {
    let read = RequestHead::read(bytes, LIMIT).map_err(|why| why.to_string())?;
    Ok(read.map(|(head, length)| (format!("{head:?}"), length)))
}

fn response(bytes: &[u8]) -> Outcome {
    let read = ResponseHead::read(bytes).map_err(|why| why.to_string())?;
    Ok(read.map(|(head, length)| (format!("{head:?}"), length)))
}

/// A head that is whole early is the same with all that follows, and never longer than what is there.
fn reads_the_same_in_pieces(bytes: &[u8], read: impl Fn(&[u8]) -> Outcome) {
    let whole = read(bytes);
    if let Ok(Some((_, length))) = &whole {
        assert!(*length <= bytes.len());
    }
    for end in 0..bytes.len() {
        match read(&bytes[..end]) {
            Ok(None) => {}
            Ok(early) => return assert_eq!(whole, Ok(early), "whole after {end} bytes"),
            Err(why) => {
                assert!(!why.is_empty());
                return assert!(whole.is_err(), "{why} after {end} bytes, then taken");
            }
        }
    }
}

/// The body, taken in pieces of so many bytes; how many bytes it took, or that it is broken.
fn body(framing: Framing, bytes: &[u8], piece: usize) -> (Vec<u8>, usize, bool, bool) {
    let mut reader = BodyReader::new(framing);
    let (mut data, mut taken) = (Vec::new(), 0);
    for chunk in bytes.chunks(piece) {
        let mut rest = chunk;
        loop {
            match reader.read(rest, &mut data) {
                Ok(used) => {
                    taken += used;
                    if used < rest.len() || reader.is_done() {
                        return (data, taken, reader.is_done(), false);
                    }
                    rest = &rest[used..];
                    if rest.is_empty() {
                        break;
                    }
                }
                Err(_) => return (data, taken, false, true),
            }
        }
    }
    (data, taken, reader.is_done(), false)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_damaged_request_head_is_read_one_way(which in 0..REQUESTS.len(), edits in edits()) {
        reads_the_same_in_pieces(&damaged(REQUESTS[which], &edits), request);
    }

    #[test]
    fn a_damaged_response_head_is_read_one_way(which in 0..RESPONSES.len(), edits in edits()) {
        reads_the_same_in_pieces(&damaged(RESPONSES[which], &edits), response);
    }

    #[test]
    fn a_damaged_body_is_the_same_in_pieces(which in 0..REQUESTS.len(), edits in edits(), piece in 1..40_usize) {
        let bytes = damaged(REQUESTS[which], &edits);
        if let Ok(Some((head, length))) = RequestHead::read(&bytes, LIMIT) {
            let rest = &bytes[length..];
            let (whole, taken, is_done, is_broken) = body(head.framing, rest, usize::MAX);
            // Of a broken body it is not told how much was taken before the break.
            prop_assert!(whole.len() <= rest.len() && (is_broken || whole.len() <= taken));
            let in_pieces = body(head.framing, rest, piece);
            prop_assert_eq!((is_done, is_broken), (in_pieces.2, in_pieces.3));
            if is_done {
                prop_assert_eq!((whole, taken), (in_pieces.0, in_pieces.1));
            }
        }
    }
}
