//! Bodies and event streams that come in pieces of any size.

use http::{BodyReader, BodyWriter, EventError, Events, Framing};
use quickcheck::{Gen, QuickCheck};
use rstest::rstest;

/// Feeds `input` in pieces of the sizes given, over and over.
fn pieces<'a>(input: &'a [u8], sizes: &'a [u8]) -> impl Iterator<Item = &'a [u8]> {
    let mut rest = input;
    let mut sizes = sizes.iter().cycle();
    std::iter::from_fn(move || {
        let size = sizes.next().map_or(rest.len(), |size| usize::from(*size) + 1).min(rest.len());
        let (piece, left) = rest.split_at(size);
        rest = left;
        (!piece.is_empty()).then_some(piece)
    })
}

#[test]
fn chunks_come_back_as_they_were_sent_whatever_the_pieces() {
    fn holds(body: Vec<Vec<u8>>, sizes: Vec<u8>) -> bool {
        let mut sent = Vec::new();
        for piece in &body {
            BodyWriter::Chunked.piece(piece, &mut sent);
        }
        BodyWriter::Chunked.end(&mut sent);
        let length = sent.len();
        sent.extend_from_slice(b"HTTP/1.1 200 OK\r\n");
        let (mut reader, mut taken, mut used) = (BodyReader::new(Framing::Chunked), Vec::new(), 0);
        for piece in pieces(&sent, &sizes) {
            used += reader.read(piece, &mut taken).expect("sound chunks");
            if reader.is_done() {
                break;
            }
        }
        reader.is_done() && used == length && taken == body.concat() && reader.taken() == taken.len()
    }
    QuickCheck::new().rng(Gen::new(40)).quickcheck(holds as fn(Vec<Vec<u8>>, Vec<u8>) -> bool);
}

#[rstest]
#[case::no_size("x\r\n")]
#[case::negative("-1\r\n")]
#[case::bare_line_feed("5\nhello\r\n0\r\n\r\n")]
#[case::no_end_of_data("5\r\nhelloX\r\n")]
#[case::too_long_a_size("11111111111111111\r\n")]
#[case::empty_size("\r\nhello")]
fn bad_chunks_are_refused(#[case] chunks: &str) {
    let mut reader = BodyReader::new(Framing::Chunked);
    assert!(reader.read(chunks.as_bytes(), &mut Vec::new()).is_err());
}

#[test]
fn a_trailer_without_end_is_refused() {
    let mut reader = BodyReader::new(Framing::Chunked);
    let trailer = format!("0\r\n{}", "A: 1\r\n".repeat(20_000));
    assert!(reader.read(trailer.as_bytes(), &mut Vec::new()).is_err());
}

#[test]
fn a_length_takes_no_byte_more() {
    let (mut reader, mut body) = (BodyReader::new(Framing::Length(5)), Vec::new());
    assert_eq!(reader.read(b"he", &mut body), Ok(2));
    assert!(!reader.is_done());
    assert_eq!(reader.read(b"lloHTTP/1.1", &mut body), Ok(3));
    assert!(reader.is_done());
    assert_eq!(body, b"hello");
}

#[rstest]
#[case("\n")]
#[case("\r\n")]
fn events_are_passed_whole(#[case] end: &str) {
    let stream =
        format!("id: 1{end}data: a{end}{end}id:2{end}data: b{end}data: c{end}{end}id: 3{end}data: d");
    let whole_part = stream.rfind("id: 3").expect("there");
    for size in 0..40 {
        let (mut events, mut whole) = (Events::default(), Vec::new());
        for piece in pieces(stream.as_bytes(), &[size]) {
            events.read(piece, &mut whole).expect("short");
        }
        assert_eq!(whole, &stream.as_bytes()[..whole_part], "pieces of {size}");
        assert_eq!((events.last_id(), events.count(), events.has_partial()), (Some("2"), 2, true));
        assert_eq!(
            events.take_rest(),
            b"id: 3".iter().chain(end.as_bytes()).chain(b"data: d").copied().collect::<Vec<u8>>()
        );
    }
}

#[test]
fn an_event_without_end_is_not_held_for_ever() {
    let (mut events, mut whole) = (Events::default(), Vec::new());
    let read = (0..1000).try_for_each(|_| events.read(&[b'x'; 1000], &mut whole));
    assert_eq!(read, Err(EventError::TooLong));
}

#[rstest]
#[case::next("id: 3\n\n", Ok(()))]
#[case::comment_first(": again\n\nid: 3\n\nid: 9\n\n", Ok(()))]
#[case::twice("id: 2\n\n", Err(EventError::NotNext))]
#[case::missing("id: 4\n\n", Err(EventError::NotNext))]
fn a_stream_taken_up_goes_on_with_the_event_that_is_due(
    #[case] more: &str,
    #[case] expected: Result<(), EventError>,
) {
    let (mut events, mut whole) = (Events::default(), Vec::new());
    events.read(b"id: 1\n\nid: 2\n\nid: 3\ndata: cut o", &mut whole).expect("sound");
    events.resume();
    whole.clear();
    assert_eq!(events.read(more.as_bytes(), &mut whole), expected);
    assert_eq!(whole, if expected.is_ok() { more } else { "" }.as_bytes());
}
