//! Messages through frames, in pieces of all sizes, spoilt and of later versions.

use std::io::{Read, Seek, SeekFrom};

use deku::reader::Reader;
use deku::DekuReader;
use peer::*;
use rstest::rstest;

fn address(last: u8) -> Address {
    Address::from(std::net::SocketAddrV4::new([10, 0, 0, last].into(), 7640))
}

fn record() -> ReplicaRecord {
    let models = vec![ModelVersion { name: "m".into(), version: 3 }];
    ReplicaRecord::new("i-1", "reader", address(9), "lac").with_models(models)
}

fn messages() -> Vec<Message> {
    vec![
        Message::Hello(Hello {
            protocol: PROTOCOL,
            role: Role::Agent,
            machine: "edge-1".into(),
            zone: "lac".into(),
            incarnation: 7,
            address: Address::NONE,
            configuration: 4,
        }),
        Message::Configuration(Configuration { base: 0, version: 7, body: vec![1; 70_000].into() }),
        Message::Replicas(vec![record(), record()].into()),
        Message::Software(vec![ReplicaSoftware { id: "i-1".into(), version: "v2".into() }].into()),
        Message::Releases(vec![4, 5, 6].into()),
        Message::ReleaseReport(ReleaseReport::new(
            3,
            2,
            true,
            vec![ReleaseAnswers::new(9, Some(7), (3, 1), vec![BucketCount { bucket: 20, count: 3 }])],
        )),
        Message::Weights(vec![NamedVersion { model: "m".into(), version: 2, age_ms: NEVER }].into()),
        Message::Fleet(Fleet::new(vec![address(1), address(2)], 7)),
        Message::Prefixes(Prefixes::new("i-1", 5, true, vec![PartChange { part: 9, tokens: 16 }])),
        Message::Beats(vec![Beat { id: "i-1".into(), beat: 12 }].into()),
        Message::Alive(Alive { majority_age_ms: 3, configuration: 7 }),
        Message::Register(vec![1, 2, 3].into()),
        Message::Membership(Vec::new().into()),
        Message::WantConfiguration,
        Message::Loads(Loads::new(true, vec![ReplicaLoad { replica: 5, tokens: 70_000, calls: 3 }])),
        Message::Interest(vec![1, u64::MAX].into()),
        Message::Subscription(Subscription { is_home: 1 }),
        Message::KeepEnds(vec!["i-1".into(), "i-2".into()].into()),
        Message::EndsKept(vec!["i-1".into()].into()),
        Message::WeightsReports(
            vec![WeightsReport::new("i-1", 7, vec![ModelVersion { name: "m".into(), version: 3 }])].into(),
        ),
    ]
}

#[rstest]
#[case(1)]
#[case(7)]
#[case(4096)]
#[case(1 << 20)]
fn messages_come_through_pieces_of_all_sizes(#[case] piece: usize) {
    let bytes: Vec<u8> = messages().iter().flat_map(|message| encode(message).unwrap()).collect();
    let (mut reader, mut read) = (FrameReader::default(), Vec::new());
    for piece in bytes.chunks(piece) {
        reader.push(piece);
        while let Some(message) = reader.next_message().unwrap() {
            read.push(message);
        }
    }
    assert_eq!(read, messages());
}

#[test]
fn a_number_of_a_later_version_is_skipped_with_its_bytes() {
    let mut reader = FrameReader::default();
    reader.push(&[4, 0, 0, 0, 200, 1, 2, 3]);
    reader.push(&encode(&Message::WantConfiguration).unwrap());
    assert_eq!(reader.next_message(), Ok(Some(Message::Unknown { number: 200 })));
    assert_eq!(reader.next_message(), Ok(Some(Message::WantConfiguration)));
}

#[test]
fn fields_of_a_later_version_are_ignored() {
    let mut frame = encode(&Message::Alive(Alive { majority_age_ms: 3, configuration: 7 })).unwrap();
    frame[0] += 5;
    frame.extend([9; 5]);
    let mut reader = FrameReader::default();
    reader.push(&frame);
    assert_eq!(
        reader.next_message(),
        Ok(Some(Message::Alive(Alive { majority_age_ms: 3, configuration: 7 })))
    );
    assert_eq!(reader.next_message(), Ok(None));
}

#[test]
fn messages_cut_short_or_spoilt_are_errors_and_never_more() {
    for message in messages().into_iter().filter(|message| !matches!(message, Message::Configuration(_))) {
        let frame = encode(&message).unwrap();
        for cut in 5..frame.len() {
            let mut spoilt = frame[..cut].to_vec();
            spoilt[..4].copy_from_slice(&((cut - 4) as u32).to_le_bytes());
            let mut reader = FrameReader::default();
            reader.push(&spoilt);
            assert!(matches!(reader.next_message(), Err(FrameError::Malformed(_))), "{message:?} {cut}");
        }
        for place in 4..frame.len() {
            let mut spoilt = frame.clone();
            spoilt[place] ^= 0xff;
            let mut reader = FrameReader::default();
            reader.push(&spoilt);
            let _ = reader.next_message();
        }
    }
}

/// Frames with bytes changed, cut and doubled, all from seeds: an error or a message, never a panic, and no room for what
/// did not come.
#[rstest]
fn spoilt_frames_are_errors_or_messages(#[values(1, 2, 3, 4)] seed: u64) {
    let mut state = seed;
    let mut draw = move |below: usize| {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) as usize % below
    };
    let frames: Vec<Vec<u8>> = messages().iter().map(|message| encode(message).unwrap()).collect();
    for _ in 0..2_000 {
        let mut frame = frames[draw(frames.len())].clone();
        for _ in 0..1 + draw(4) {
            let at = 4 + draw(frame.len() - 4);
            match draw(3) {
                0 => frame[at] = draw(256) as u8,
                1 => frame.truncate(at.max(5)),
                _ => frame.insert(at, draw(256) as u8),
            }
        }
        let length = (frame.len() - 4) as u32;
        frame[..4].copy_from_slice(&length.to_le_bytes());
        let mut reader = FrameReader::default();
        reader.push(&frame);
        if let Ok(Some(message)) = reader.next_message() {
            assert!(encode(&message).is_ok(), "what was read can be sent");
        }
    }
}

#[rstest]
#[case::replicas(3)]
#[case::weights(4)]
#[case::prefixes(6)]
#[case::beats(7)]
#[case::loads(12)]
#[case::interest(13)]
fn a_count_beyond_the_limit_of_its_list_is_refused(#[case] number: u8) {
    let mut body = vec![number];
    body.extend([255; 64]);
    let mut frame = (body.len() as u32).to_le_bytes().to_vec();
    frame.extend(body);
    let mut reader = FrameReader::default();
    reader.push(&frame);
    assert!(matches!(reader.next_message(), Err(FrameError::Malformed(_))));
}

#[test]
fn a_count_that_no_frame_holds_takes_no_memory() {
    let mut reader = FrameReader::default();
    reader.push(&[5, 0, 0, 0, 3, 255, 255, 255, 255]);
    assert!(matches!(reader.next_message(), Err(FrameError::Malformed(_))));
    let mut reader = FrameReader::default();
    reader.push(&u32::MAX.to_le_bytes());
    assert_eq!(reader.next_message(), Err(FrameError::TooLong(u32::MAX as usize)));
}

#[rstest]
#[case(ReplicaState::Ready, 2, ReplicaState::Lost, 1, true)]
#[case(ReplicaState::Ready, 1, ReplicaState::Lost, 1, false)]
#[case(ReplicaState::Draining, 1, ReplicaState::Ready, 1, true)]
#[case(ReplicaState::Ready, 9, ReplicaState::Gone, 1, false)]
#[case(ReplicaState::Gone, 1, ReplicaState::Ready, 9, true)]
#[case(ReplicaState::Ready, 1, ReplicaState::Ready, 1, false)]
fn records_merge_by_beat_and_state(
    #[case] state: ReplicaState,
    #[case] beat: u64,
    #[case] other_state: ReplicaState,
    #[case] other_beat: u64,
    #[case] supersedes: bool,
) {
    let at = |state, beat| {
        let mut at = record();
        (at.state, at.beat) = (state, beat);
        at
    };
    let (new, old) = (at(state, beat), at(other_state, other_beat));
    assert_eq!(new.supersedes(&old), supersedes);
}

#[test]
fn part_keys_keep_their_values() {
    assert_ne!(part_key("m", "ab", "c"), part_key("m", "a", "bc"));
    assert_eq!(part_key("m", "salt", "5c1e07a2"), part_key("m", "salt", "5c1e07a2"));
}

/// Counts how often it is asked for bytes.
struct CountingReader<'bytes> {
    bytes: &'bytes [u8],
    reads: usize,
}

impl Read for CountingReader<'_> {
    fn read(&mut self, room: &mut [u8]) -> std::io::Result<usize> {
        self.reads += 1;
        self.bytes.read(room)
    }
}

impl Seek for CountingReader<'_> {
    fn seek(&mut self, _to: SeekFrom) -> std::io::Result<u64> {
        Err(std::io::ErrorKind::Unsupported.into())
    }
}

/// Bodies are copied whole, not byte by byte: a big configuration must not stall a process.
#[test]
fn a_big_body_is_copied_whole() {
    let frame = encode(&Message::Register(vec![7; 4 << 20].into())).unwrap();
    let mut counting = CountingReader { bytes: &frame[4..], reads: 0 };
    let read = Message::from_reader_with_ctx(&mut Reader::new(&mut counting), ()).unwrap();
    assert_eq!(read, Message::Register(vec![7; 4 << 20].into()));
    assert!(counting.reads < 10, "{} reads of a kind, a length and a body", counting.reads);
}
