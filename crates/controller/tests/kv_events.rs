//! Reading of a replica's events: starts, gaps, restarts, and answers that are none.

use controller::kv_events::cursor::{Cursor, Question};
use peer::{part_key, PartChange};
use rstest::rstest;

fn events(epoch: u64, next: u64, lost: bool, events: &str) -> Vec<u8> {
    format!(r#"{{"boot-epoch":{epoch},"next-token":{next},"lost":{lost},"events":[{events}]}}"#).into_bytes()
}

fn change(part: &str, tokens: u32) -> PartChange {
    PartChange { part: part_key("m", "s1", part), tokens }
}

#[rstest]
fn events_are_read_from_the_beginning_and_go_on_where_they_ended() {
    let mut cursor = Cursor::new("r");
    assert_eq!(cursor.question(0), Question::Events { since: 0 });
    let body = events(7, 3, false, r#"[1,"+","s1","aa",800,"m"],[2,"-","s1","bb",128,"m"]"#);
    let told = cursor.take_events(&body).expect("read").expect("news");
    assert_eq!((told.epoch, told.reset), (7, 1));
    assert_eq!(told.changes, vec![change("aa", 800), change("bb", 128)]);
    assert_eq!(cursor.question(10), Question::Events { since: 3 });
    assert_eq!(cursor.take_events(&events(7, 3, false, "")).expect("read"), None);
    let body = events(7, 4, false, r#"[3,"-","s1","aa",0,"m"]"#);
    let told = cursor.take_events(&body).expect("read").expect("news");
    assert_eq!((told.reset, told.changes), (0, vec![change("aa", 0)]));
}

#[rstest]
fn an_empty_beginning_is_told_too() {
    let mut cursor = Cursor::new("r");
    let told =
        cursor.take_events(&events(7, 0, false, "")).expect("read").expect("what was known is dropped");
    assert_eq!((told.reset, told.changes.len()), (1, 0));
}

#[rstest]
fn a_gap_makes_it_ask_for_the_whole_but_not_too_often() {
    let mut cursor = Cursor::new("r");
    cursor.take_events(&events(7, 100, true, r#"[99,"+","s1","aa",10,"m"]"#)).expect("read");
    assert_eq!(cursor.question(1_000), Question::List);
    let list = br#"{"boot-epoch":7,"next-token":120,"held":[["s1","aa",800,"m"],["s1","cc",5,"m"]]}"#;
    let told = cursor.take_list(1_000, list).expect("read");
    assert_eq!((told.reset, told.changes), (1, vec![change("aa", 800), change("cc", 5)]));
    assert_eq!(cursor.question(1_100), Question::Events { since: 120 });
    cursor.take_events(&events(7, 130, true, "")).expect("read");
    assert_eq!(cursor.question(2_000), Question::Events { since: 130 }, "the whole was asked for lately");
    assert_eq!(cursor.question(11_000), Question::List);
    cursor.list_failed(11_000);
    assert_eq!(cursor.question(11_100), Question::Events { since: 130 });
}

#[rstest]
fn a_restart_drops_what_was_known_and_is_read_from_the_beginning() {
    let mut cursor = Cursor::new("r");
    cursor.take_events(&events(7, 50, false, r#"[1,"+","s1","aa",10,"m"]"#)).expect("read");
    let told = cursor.take_events(&events(8, 2, false, r#"[1,"+","s1","bb",10,"m"]"#)).expect("read");
    let told = told.expect("the restart is news");
    assert_eq!((told.epoch, told.reset, told.changes.len()), (8, 1, 0));
    assert_eq!(cursor.question(10), Question::Events { since: 0 });
}

#[rstest]
fn a_source_that_is_down_is_empty_and_read_from_the_beginning_later() {
    let mut cursor = Cursor::new("10.0.0.9:80");
    cursor.take_events(&events(7, 50, false, r#"[1,"+","s1","aa",10,"m"]"#)).expect("read");
    let told = cursor.start_again();
    assert_eq!((told.replica.as_str(), told.reset, told.changes.len()), ("10.0.0.9:80", 1, 0));
    assert_eq!(cursor.question(10), Question::Events { since: 0 });
}

#[rstest]
#[case::empty("")]
#[case::cut(r#"{"boot-epoch":7,"next-token":3,"lost":false,"events":[[1,"+","#)]
#[case::other_types(r#"{"boot-epoch":"x","next-token":3}"#)]
fn an_answer_that_is_none_changes_nothing(#[case] body: &str) {
    let mut cursor = Cursor::new("r");
    assert!(cursor.take_events(body.as_bytes()).is_err());
    assert_eq!(cursor.question(0), Question::Events { since: 0 });
}

#[rstest]
fn the_late_answer_to_an_earlier_question_changes_nothing() {
    let mut cursor = Cursor::new("r");
    let early = events(7, 3, false, r#"[1,"+","s1","aa",800,"m"],[2,"+","s1","bb",128,"m"]"#);
    cursor.take_events(&early).expect("read");
    cursor.take_events(&events(7, 5, false, r#"[4,"-","s1","aa",0,"m"]"#)).expect("read");
    assert_eq!(cursor.take_events(&early).expect("read"), None);
    assert_eq!(cursor.question(0), Question::Events { since: 5 });
    // An answer that begins before what was asked for brings only what is new.
    let body = events(7, 6, false, r#"[2,"+","s1","aa",800,"m"],[5,"+","s1","cc",9,"m"]"#);
    let told = cursor.take_events(&body).expect("read").expect("news");
    assert_eq!(told.changes, vec![change("cc", 9)]);
}
