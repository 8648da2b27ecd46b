//! Calls of operators and replicas with drawn damage, from a corpus: no panic, and whoever is refused is told why.

use controller::command::{decode, Call, Command};
use proptest::prelude::*;
use stand_in::damage::{damaged, edits};

/// Path and body of calls.
const CALLS: [(&str, &[u8]); 4] = [
    ("/config/replace", include_bytes!("corpus/replace.json")),
    ("/config/update", include_bytes!("corpus/update.json")),
    ("/nodes/i-1/heartbeat", include_bytes!("corpus/heartbeat.json")),
    ("/version-put", include_bytes!("corpus/weights.json")),
];

fn call(path: &str, body: &[u8]) -> Result<Command, controller::command::Reply> {
    decode(Call { method: "POST", path, based_on: Some("7"), body })
}

#[test]
fn the_corpus_is_sound() {
    for (path, body) in CALLS {
        let command = call(path, body);
        assert!(command.is_ok(), "{path}: {command:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_damaged_call_is_taken_or_refused_with_the_reason(which in 0..CALLS.len(), edits in edits()) {
        let (path, body) = CALLS[which];
        if let Err(reply) = call(path, &damaged(body, &edits)) {
            prop_assert!(matches!(reply.status, 400 | 413), "{reply:?}");
            prop_assert!(reply.body.len() > r#"{"error":""}"#.len(), "{reply:?}");
        }
    }

    #[test]
    fn a_damaged_path_is_refused_or_names_the_replica(edits in edits()) {
        let path = damaged(b"/nodes/i-1/leave", &edits);
        let path = String::from_utf8_lossy(&path);
        match call(&path, b"") {
            Ok(Command::Leave { id }) => prop_assert!(!id.is_empty() && path.contains(&id)),
            Ok(other) => prop_assert!(false, "{other:?}"),
            Err(reply) => prop_assert!(matches!(reply.status, 400 | 404 | 405 | 413), "{reply:?}"),
        }
    }
}
