//! The codec and the drill: translation, malformed input, end of input.

use std::io::Write;
use std::process::{Command, Output, Stdio};
use steppick::wire::{self, Line};
use steppick::*;

const PROFILE: &str = r#"{"az":"a","classes":[{"deadline_ms":3000.0,"effect":"idempotent","goal_time_ms":1000.0,
"late_share":0.3,"name":"find","worth":5.0,"dedup_window_ms":5000.0,"group":"all","stream":false}],
"domain":{"call_ms":31.0,"cells":1,"class_fetch":[0],"floor_by_class":[1.0],"partial_earns":[0.9],
"parts_a_call":8,"reach":1,"slices":4,"warm_keys":false,"whole_at":[1.0]},"fees":{"cross_zone":0.0},
"invariants":{"budget_span_ms":10000.0,"cold_from":0.2,"cold_ms":17000.0,"drain_grace_ms":1000.0,
"extra_free":10.0,"fall_multiple":3.0,"overload_for_ms":1500.0,"resend_ratio":0.2},"me":0,"period_ms":5.0,
"policy_limits":{"cancelling":true,"may_probe":true,"retry_after":true,"second_copies":true,"try_limit":3,
"max_retry_after_ms":2000.0,"max_open":72,"dial_timeout_ms":250.0},"registry_mode":"subscribe","siblings":2,
"news":"skipped"}"#;

fn drill(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_steppick-drill"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the drill starts");
    // The drill may end before it has read all; that is what some tests are about.
    let _ = child.stdin.take().expect("piped").write_all(input.as_bytes());
    child.wait_with_output().expect("the drill ends")
}

fn session() -> String {
    let profile = PROFILE.replace('\n', "");
    format!(
        "{}\n{}\n{}\n{}\n{}\n{}\n{}\n",
        r#"{"tick":{"clock_ms":1000.0}}"#,
        format_args!(r#"{{"attach":{{"i":3,"random_seed":9,"profile_data":{profile}}}}}"#),
        r#"{"sheet":{"bank":0,"records":[{"server":7,"nominal":1,"dc":"a","born_ms":null,"cell":0,"model":"m","lifecycle":"on"}]}}"#,
        r#"{"backends_changed":{"i":3,"kind":"restored","index":1,"bank":0}}"#,
        r#"{"incoming":{"i":3,"ticket":"a0c31f3a5d3a91c4","profile":"find","billing":null,"item":1,"expires_in_ms":900.0,"effort_ms":null,"whole_no":0,"segment_no":-1,"size_or_weight":1,"retry":false,"mutates":false}}"#,
        r#"{"incoming":{"i":3,"ticket":"00c31f3a5d3a91c5","profile":"find","expires_in_ms":900.0,"whole_no":0,"segment_no":0,"size_or_weight":1.0,"extra":[1]}}"#,
        r#"{"end":{}}"#
    )
}

#[test]
fn a_session_is_answered_on_the_wire_alone() {
    let input = session()
        + r#"{"tick":{"clock_ms":1050.0}}
{"done":{"i":3,"ticket":"00c31f3a5d3a91c5","hop":0,"server":7,"rc":"pass","elapsed_ms":50.0,"over":true,"stats":null}}
{"sampled":{"i":3,"server":7,"elapsed_ms":1.0,"rc":"pass","stats":[null]}}
{"started":{"i":3,"ticket":"00c31f3a5d3a91c5","server":7,"hop":0,"elapsed_ms":1.0}}
{"end":{}}
{"tick":{"clock_ms":1060.0}}
{"kill":{"i":3}}
{"deadline_hit":{"i":3,"cookie":0}}
{"end":{}}
"#;
    let output = drill(&input);
    let text = String::from_utf8(output.stdout).expect("UTF-8");
    assert!(output.status.success());
    assert!(output.stderr.is_empty());
    assert!(
        text.contains(r#"{"send":{"i":3,"ticket":"00c31f3a5d3a91c5","server":7,"stop_at_ms":"#),
        "{text}"
    );
    assert!(text.contains(r#"{"track":{"i":3,"whole":true}}"#), "{text}");
    assert!(text.contains(r#"{"assemble":{"i":3,"ticket":"a0c31f3a5d3a91c4","whole":true}}"#), "{text}");
    assert!(text.ends_with("{\"next\":{}}\n{\"next\":{}}\n"), "a killed instance does nothing: {text}");
}

#[test]
fn malformed_input_ends_with_the_line_and_the_field() {
    for (line, told) in [
        (r#"{"tick":{"clock_ms":"#, "EOF"),
        (r#"{"surprise":{"i":3}}"#, "surprise"),
        (r#"{"withdrawn":{"i":3}}"#, "ticket"),
        (r#"{"withdrawn":{"i":3,"ticket":"xyz"}}"#, "ticket"),
        (
            r#"{"done":{"i":3,"ticket":"00c31f3a5d3a91c5","hop":0,"server":7,"rc":"odd","elapsed_ms":1.0}}"#,
            "rc",
        ),
        (r#"{"backends_changed":{"i":3,"kind":"update","index":2,"bank":9}}"#, "bank"),
        (
            r#"{"incoming":{"i":3,"ticket":"a0c31f3a5d3a91c4","profile":"other","expires_in_ms":9.0,"whole_no":1,"segment_no":-1,"size_or_weight":1}}"#,
            "profile",
        ),
        (r#"{"withdrawn":{"i":"three","ticket":"a0c31f3a5d3a91c4"}}"#, "withdrawn.i"),
        (r#"{"end":{}} {"end":{}}"#, "trailing"),
        ("no JSON", "expected"),
    ] {
        let output = drill(&(session() + line + "\n"));
        let error = String::from_utf8(output.stderr).expect("UTF-8");
        assert_eq!(output.status.code(), Some(1), "{line}");
        assert!(error.contains("line 8") && error.contains(told), "{line}: {error}");
        assert!(!error.contains("panicked"), "{error}");
    }
}

#[test]
fn a_missing_setting_is_named() {
    let output = drill(&session().replace("\"cells\":1,", ""));
    let error = String::from_utf8(output.stderr).expect("UTF-8");
    assert_eq!(output.status.code(), Some(1));
    assert!(error.contains("line 2") && error.contains("cells"), "{error}");
}

#[test]
fn no_input_is_no_error() {
    let output = drill("");
    assert!(output.status.success());
    assert!(output.stdout.is_empty());
}

#[test]
fn every_outcome_is_known() {
    for code in ["pass", "fault", "no_room", "too_slow", "no_route", "cut", "undone", "stale_send"] {
        let proved = ["no_room", "no_route", "stale_send"].contains(&code);
        assert_eq!(wire::outcome(code).expect("known").never_ran(), proved, "{code}");
    }
}

#[test]
fn a_budget_is_read_only_where_told() {
    let line = |text: &str| -> Settings {
        let profile: wire::Profile = serde_json::from_str(text).expect("reads");
        profile.settings().expect("makes sense")
    };
    assert!(line(PROFILE).budget.is_some_and(|budget| budget.share == 0.2 && budget.free == 10.0));
    assert!(line(&PROFILE.replace("resend_ratio", "other")).budget.is_none());
    assert!(matches!(serde_json::from_str(r#"{"end":{}}"#), Ok(Line::End {})));
}
