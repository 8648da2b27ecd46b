//! Settings with drawn damage, from a corpus: no panic, and an error that says something.

use proptest::prelude::*;
use settings::ProcessSettings;
use stand_in::damage::{damaged, edits};

const WHOLE: &[u8] = include_bytes!("corpus/controller.yaml");

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn damaged_settings_are_read_or_refused_with_the_reason(edits in edits()) {
        let bytes = damaged(WHOLE, &edits);
        if let Err(why) = ProcessSettings::read(&String::from_utf8_lossy(&bytes)) {
            prop_assert!(!why.to_string().is_empty());
        }
    }
}
