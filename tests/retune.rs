//! New settings while the program serves: which files are turned down whole.

mod support;

use steppick::platform::config::Config;
use support::front::*;
use support::hand::Hand;
use support::site::*;
use support::{Folder, Program};

/// A sound file, as JSON.
fn sound(discovery: &Hand) -> serde_json::Value {
    let text = config("127.0.0.1:0", discovery.address, "");
    serde_json::from_str(&text).expect("JSON")
}

/// Every path of keys in a file, outside the list of nodes; of lists, through their last entry.
fn keys(value: &serde_json::Value, path: &str, into: &mut Vec<String>) {
    for (key, inner) in value.as_object().into_iter().flatten() {
        let path = format!("{path}/{key}");
        into.push(path.clone());
        keys(inner, &path, into);
        if let Some(last) = inner.as_array().and_then(|list| list.len().checked_sub(1)) {
            keys(&inner[last], &format!("{path}/{last}"), into);
        }
    }
}

#[test]
fn each_kind_of_bad_file_is_turned_down_whole_and_named() {
    let (folder, discovery, elsewhere) = (Folder::new("bad-files"), Hand::new(), Hand::new());
    let nodes = [Hand::new(), Hand::new()];
    let text = config("127.0.0.1:0", discovery.address, &servers(&nodes, ["in_service"; 2]));
    let program = Program::start(&[], Some(&folder.write("config.json", &text)));
    let mut watch = discovery.accept();
    watch.head();
    watch.watch_head();
    let moved = sound(&elsewhere).to_string();
    let change = |path: &str, to: &str| {
        let mut file = sound(&elsewhere);
        *file.pointer_mut(path).expect("a field") = serde_json::from_str(to).expect("JSON");
        file.to_string()
    };
    let (deadline, tries) = ("/settings/classes/1/deadline_ms", "/settings/policy_limits/try_limit");
    let mut bad = vec![
        (String::new(), "field `.`"),
        ("  \n".to_string(), "field `.`"),
        (format!("{moved}}}"), "field `.`"),
        (change(deadline, "-5"), "field `settings.classes[1].deadline_ms` is -5; give a number above 0"),
        (change(deadline, "0"), "field `settings.classes[1].deadline_ms` is 0"),
        (change(deadline, "\"soon\""), "field `settings.classes[1].deadline_ms`"),
        (change(deadline, "null"), "field `settings.classes[1].deadline_ms`"),
        (change(tries, "0"), "field `settings.policy_limits.try_limit` is 0; give a number above 0"),
        (change(tries, "-1"), "field `settings.policy_limits.try_limit`"),
        (change(tries, "\"3\""), "field `settings.policy_limits.try_limit`"),
        (change(tries, "null"), "field `settings.policy_limits.try_limit`"),
        (change("/settings/classes/1/effect", "\"often\""), "field `settings.classes[1].effect`"),
        (change("/settings/domain/whole_at", "[1]"), "field `settings.domain.whole_at` has 1 values"),
        (change("/discovery", "\"nowhere\""), "field `discovery`"),
    ];
    bad.extend((1..moved.len()).step_by(moved.len() / 20).map(|end| (moved[..end].to_string(), "line 1")));
    for (file, why) in bad {
        folder.write("config.json", &file);
        program.signal("HUP");
        let line = program.line("config.json");
        assert!(line.contains(why) && line.contains("is served on"), "{why} in {line} for {file}");
    }
    // None of them moved the watch: it still brings the list, and nobody was asked elsewhere.
    watch.chunk(&list(42, false, &entry_at(nodes[0].address, 0, "terminating")));
    program.line("Update list: 1 replicas, 0 in service");
    assert!(elsewhere.accept_within(std::time::Duration::ZERO).is_none());
    // A sound one does.
    folder.write("config.json", &moved);
    program.signal("HUP");
    program.line("config.json taken in");
    assert!(elsewhere.accept().head().contains("after=42 "));
}

#[test]
fn a_file_that_lacks_any_key_of_the_one_before_is_turned_down() {
    let discovery = Hand::new();
    let file = sound(&discovery);
    let before = Config::read(&file.to_string()).expect("sound");
    let mut paths = Vec::new();
    keys(&file, "", &mut paths);
    paths.retain(|path| !path.starts_with("/known/"));
    assert!(paths.len() > 50, "{paths:?}");
    for path in paths {
        let mut lacking = file.clone();
        let (parent, key) = path.rsplit_once('/').expect("a path");
        lacking.pointer_mut(parent).and_then(|value| value.as_object_mut()).expect("fields").remove(key);
        let later = Config::read(&lacking.to_string());
        let told = later.and_then(|later| before.form().fits(later.form()));
        let why = told.expect_err(&path).to_string();
        assert!(why.contains(&format!("`{key}`")) || why.contains(&format!(".{key}`")), "{path}: {why}");
    }
    // What comes beside is no fault, nor is a class less.
    let mut more = file.clone();
    more["settings"]["new"] = serde_json::json!({ "x": [1] });
    more["settings"]["classes"].as_array_mut().expect("classes").pop();
    for field in ["class_fetch", "floor_by_class", "partial_earns", "whole_at"] {
        more["settings"]["domain"][field].as_array_mut().expect("values").pop();
    }
    let later = Config::read(&more.to_string()).expect("sound");
    before.form().fits(later.form()).expect("nothing is missing");
}
