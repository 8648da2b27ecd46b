//! The table of classes through changes of the settings: under which rules a request is taken that comes then.

mod support;

use steppick::platform::classes::{Classes, Unclassed};
use steppick::settings::{ConfigError, Transport};
use steppick::{Class, Effect, Settings};
use support::{class, settings, transport};

/// When the new file is taken.
const NOW: f64 = 1000.0;

fn set(classes: &[Class], try_limit: usize) -> Settings {
    Settings { classes: classes.to_vec(), try_limit, ..settings() }
}

fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(ToString::to_string).collect()
}

/// A table whose only class has changed its effect at [`NOW`].
fn changed(before: Effect, after: Effect) -> Classes {
    let mut classes = Classes::new(&names(&["view"]), set(&[class(before, 0)], 3), transport());
    let told = classes.retune(&names(&["view"]), set(&[class(after, 0)], 3), transport(), NOW);
    assert_eq!(told, "changed view");
    classes
}

/// The effect under which a request is taken that comes so long after the change.
fn effect(classes: &Classes, later: f64, has_key: bool) -> Option<Effect> {
    let place = classes.find("view", NOW + later, has_key).ok()?;
    Some(classes.rules(place).effect)
}

#[test]
fn while_a_class_changes_the_stricter_effect_holds_and_a_key_tells_which_rules_a_client_knows() {
    let (safe, once) = (Effect::Safe, Effect::Unsafe);
    let (keyed, longer) = (Effect::Keyed(400.0), Effect::Keyed(900.0));
    // Before and after, with a key and without: in the window, and once it is over.
    for (before, after, within, later) in [
        (safe, once, [Some(once); 2], [Some(once); 2]),
        (once, safe, [Some(once); 2], [Some(safe); 2]),
        (safe, keyed, [Some(keyed), Some(safe)], [Some(keyed), None]),
        (keyed, safe, [Some(keyed), Some(safe)], [Some(safe); 2]),
        (once, keyed, [Some(keyed), Some(once)], [Some(keyed), None]),
        (keyed, once, [Some(keyed), Some(once)], [Some(once); 2]),
        (keyed, longer, [Some(keyed), None], [Some(longer), None]),
        (longer, keyed, [Some(keyed), None], [Some(keyed), None]),
    ] {
        let classes = changed(before, after);
        for (n, has_key) in [true, false].into_iter().enumerate() {
            for time in [0.0, 1200.0, 1499.0] {
                assert_eq!(effect(&classes, time, has_key), within[n], "{before:?} {after:?} {time}");
            }
            assert_eq!(effect(&classes, 1500.0, has_key), later[n], "{before:?} {after:?}");
        }
    }
}

#[test]
fn a_new_class_is_served_at_once_and_a_dropped_one_for_a_while() {
    let (a, b) = (class(Effect::Safe, 0), class(Effect::Unsafe, 0));
    let mut classes = Classes::new(&names(&["a", "b"]), set(&[a.clone(), b.clone()], 3), transport());
    let place = classes.find("a", NOW, false).expect("a class");
    let told = classes.retune(&names(&["c", "a"]), set(&[b, a], 3), transport(), NOW);
    assert_eq!(told, "-b, +c");
    assert_eq!(classes.find("a", NOW, false), Ok(place), "where it was, though the file has it elsewhere");
    assert!(classes.find("c", NOW, false).is_ok());
    assert!(classes.find("b", NOW + 2499.0, false).is_ok());
    assert_eq!(classes.find("b", NOW + 2500.0, false), Err(Unclassed::Unknown));
    assert_eq!(classes.names().collect::<Vec<_>>(), ["a", "c"]);
}

#[test]
fn a_place_is_used_again_once_no_request_has_it() {
    let safe = class(Effect::Safe, 0);
    let file = |name: &str| (names(&[name]), set(std::slice::from_ref(&safe), 3));
    let (first, settings) = file("a");
    let mut classes = Classes::new(&first, settings, transport());
    let retune = |classes: &mut Classes, name: &str, now: f64| {
        let (names, settings) = file(name);
        classes.retune(&names, settings, transport(), now);
    };
    let nobody = || None;
    retune(&mut classes, "b", NOW);
    assert_eq!(classes.changed(NOW, |_| false, nobody).expect("it has").settings.classes.len(), 2);
    assert!(classes.changed(NOW + 10.0, |_| false, nobody).is_none(), "told once");
    // A request is open that was taken under it.
    assert!(classes.changed(NOW + 9000.0, |place| place == 0, nobody).is_none());
    retune(&mut classes, "c", NOW + 9000.0);
    assert_eq!(classes.find("c", NOW + 9000.0, false), Ok(2));
    // It is over: what was worth something there is worth nothing to whoever compares, and the place is free.
    let tuned = classes.changed(NOW + 9200.0, |_| false, nobody).expect("it has changed");
    assert_eq!(tuned.settings.classes[0].worth, 0.0);
    retune(&mut classes, "d", NOW + 9300.0);
    assert_eq!(classes.find("d", NOW + 9300.0, false), Ok(0));
    assert_eq!(classes.name(0), "d");
    // One that comes back while it is still served is as it was.
    retune(&mut classes, "c", NOW + 9400.0);
    assert_eq!(classes.find("c", NOW + 99_000.0, false), Ok(2));
}

#[test]
fn fewer_attempts_hold_at_once_and_more_once_the_requests_before_are_over() {
    let safe = class(Effect::Safe, 0);
    let file = |try_limit: usize| set(std::slice::from_ref(&safe), try_limit);
    let view = names(&["view"]);
    let mut classes = Classes::new(&view, file(3), transport());
    let limit = |classes: &mut Classes, now: f64, oldest: Option<f64>| {
        classes.changed(now, |_| true, || oldest).map(|tuned| tuned.settings.try_limit)
    };
    assert_eq!(classes.retune(&view, file(2), transport(), NOW), "attempts 3 -> 2");
    assert_eq!(limit(&mut classes, NOW, Some(0.0)), Some(2));
    assert_eq!(classes.retune(&view, file(4), transport(), NOW), "attempts 2 -> 4");
    assert_eq!(limit(&mut classes, NOW, None), Some(2));
    assert_eq!(limit(&mut classes, NOW + 1400.0, None), None, "requests may come under the rules before");
    assert_eq!(limit(&mut classes, NOW + 1600.0, Some(NOW + 1499.0)), None, "one of them is open");
    assert_eq!(limit(&mut classes, NOW + 1700.0, Some(NOW + 1500.0)), Some(4));
}

#[test]
fn where_data_lies_can_not_change() {
    let classes = Classes::new(&names(&["view"]), set(&[class(Effect::Safe, 0)], 3), transport());
    let same = set(&[class(Effect::Unsafe, 0)], 2);
    assert!(classes.check(&same, &transport()).is_ok());
    for (settings, limits) in [
        (Settings { cells: 5, ..same.clone() }, transport()),
        (Settings { reach: 1, ..same.clone() }, transport()),
        (same, Transport { shards: 9, ..transport() }),
    ] {
        assert!(matches!(classes.check(&settings, &limits), Err(ConfigError::Fixed(_))));
    }
}
