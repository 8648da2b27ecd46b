//! Placements in the coordinator: how they reach the module and the connections, and the command line.

mod support;

use placement::Favour;
use std::collections::BTreeMap;
use std::process::Command;
use steppick::core::{Effect, Input, NewQuery};
use steppick::favours::Favours;
use steppick::*;
use support::{core, listed, Folder};

fn favour(warm: &[&str], books: &[(usize, &[(&str, f64)])]) -> Favour {
    let each = |of: &[(&str, f64)]| of.iter().map(|(name, share)| (name.to_string(), *share)).collect();
    Favour {
        warm: warm.iter().map(ToString::to_string).collect(),
        books: books.iter().map(|(book, of)| (*book, each(of))).collect(),
    }
}

fn names(ids: &[u32]) -> Vec<(ReplicaId, String)> {
    ids.iter().map(|id| (ReplicaId(*id), format!("s-{id}"))).collect()
}

#[test]
fn a_placement_breaks_ties_in_its_proportions_and_nothing_else() {
    // Shard 1 is held by replicas 1 (cell 1) and 2 (cell 2).
    let mut core = core();
    let list = vec![listed(1, Lifecycle::On), listed(2, Lifecycle::On)];
    core.step(0.0, vec![Input::List(ListKind::Replace, list)], &mut Vec::new());
    core.favour([((1, ReplicaId(1)), 0.8), ((1, ReplicaId(2)), 0.2)].into());
    let (mut first, mut idle) = (BTreeMap::<u32, usize>::new(), 0);
    for n in 0..1000 {
        let now = f64::from(n) * 40.0;
        let mut effects = Vec::new();
        let ask = |core: &mut steppick::core::Core<u32>, at: f64, effects: &mut Vec<Effect<u32>>| {
            let id = core.new_id();
            let query = NewQuery {
                class: 0,
                expires_at: at + 1000.0,
                retry: false,
                parts: vec![(1, 1.0)],
                work: Vec::new(),
            };
            core.step(at, vec![Input::Query(id, query)], effects);
        };
        ask(&mut core, now, &mut effects);
        let sends = |effects: &[Effect<u32>]| -> Vec<_> {
            let some =
                |e: &Effect<u32>| if let Effect::Send(s) = e { Some((s.attempt, s.replica.0)) } else { None };
            effects.iter().filter_map(some).collect()
        };
        let out = sends(&effects);
        *first.entry(out[0].1).or_default() += 1;
        // While one is busy, the other one is chosen whatever the weights say.
        if out.len() == 1 {
            let mut more = Vec::new();
            ask(&mut core, now + 1.0, &mut more);
            let next = sends(&more);
            assert_ne!(next[0].1, out[0].1, "fewest parts out comes first");
            idle += 1;
            let done = next.iter().map(|(id, _)| Input::Served(*id, 0, 1)).collect();
            core.step(now + 9.0, done, &mut Vec::new());
        }
        core.step(now + 10.0, out.iter().map(|(id, _)| Input::Served(*id, 0, 1)).collect(), &mut Vec::new());
    }
    assert!(idle > 500, "{idle}");
    assert!((700..900).contains(&first[&1]), "{first:?}");
}

#[test]
fn what_still_fits_of_a_placement_is_used_and_the_rest_is_told() {
    let mut favours = Favours::default();
    assert!(favours.listed(&names(&[1, 2, 3])));
    favours
        .placed(Some(favour(&["s-1", "s-9"], &[(0, &[("s-1", 0.5), ("s-9", 0.5)]), (1, &[("s-9", 1.0)])])));
    let (weights, fit) = favours.resolve();
    assert_eq!(weights, [((0, ReplicaId(1)), 0.5)].into());
    assert_eq!((fit.unlisted, fit.unplaced), (vec!["s-9".to_string()], vec!["s-2".into(), "s-3".into()]));
    // The node comes later: then it counts.
    assert!(!favours.listed(&names(&[1])) && favours.listed(&names(&[9])));
    assert_eq!(favours.resolve().0.len(), 3);
    favours.placed(None);
    assert!(favours.resolve().0.is_empty() && favours.next_due().is_none());
}

#[test]
fn warm_connections_are_opened_one_at_a_time_and_a_dead_node_is_not_dialled_for_ever() {
    let mut favours = Favours::default();
    favours.listed(&names(&[1, 2, 3]));
    favours.placed(Some(favour(&["s-1", "s-2", "s-3"], &[])));
    favours.resolve();
    let mut opened: Vec<(u64, u32)> = Vec::new();
    // Replica 2 refuses always, the others stay up once opened.
    for ms in 0..20_000u64 {
        let up: Vec<u32> = opened.iter().map(|(_, id)| *id).filter(|id| *id != 2).collect();
        if let Some(id) = favours.next_warm(ms as f64, |id| !up.contains(&id.0)) {
            opened.push((ms, id.0));
        }
    }
    assert!(opened.windows(2).all(|two| two[1].0 - two[0].0 >= 200), "{opened:?}");
    assert_eq!(opened.iter().filter(|(_, id)| *id == 2).count(), 4, "{opened:?}");
    assert_eq!(opened.len(), 6);
}

fn place(arguments: &[&str]) -> (Option<i32>, String, String) {
    let out =
        Command::new(env!("CARGO_BIN_EXE_steppick")).arg("place").args(arguments).output().expect("it runs");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("UTF-8");
    (out.status.code(), text(out.stdout), text(out.stderr))
}

#[test]
fn the_command_line_solves_checks_explains_and_plans() {
    let folder = Folder::new("place");
    let instance = include_str!("../examples/placement-instance.json");
    let file = folder.write("instance.json", instance);
    let (old, new) = (folder.0.join("old.json"), folder.0.join("new.json"));
    let path = |path: &std::path::Path| path.to_str().expect("UTF-8").to_string();
    let (code, table, _) = place(&["solve", &path(&file), "--output", &path(&old)]);
    assert_eq!(code, Some(0), "{table}");
    assert!(table.contains("worst node") && table.contains("n5"), "{table}");
    let (code, told, _) = place(&["check", &path(&file), &path(&old)]);
    assert_eq!((code, told.trim()), (Some(0), "all constraints are kept"));
    // Another price, another placement, and the way there.
    let dear = folder.write(
        "dear.json",
        &instance.replace("\"connections\": 2", "\"connections\": 2, \"connection_cost\": 3"),
    );
    assert_eq!(place(&["solve", &path(&dear), "--output", &path(&new)]).0, Some(0));
    let (code, steps, why) = place(&["diff", &path(&file), &path(&old), &path(&new)]);
    assert_eq!(code, Some(0), "{steps}{why}");
    // What does not fit, and what is no instance.
    let full = folder.write("full.json", &instance.replace("\"view\": 900", "\"view\": 9000"));
    let (code, _, why) = place(&["explain", &path(&full)]);
    assert!(code == Some(2) && why.contains("ms/s"), "{why}");
    let (code, _, why) = place(&["solve", &path(&full)]);
    assert!(code == Some(2) && why.contains("nothing fits"), "{why}");
    let bad = folder.write("bad.json", &instance.replace("\"headroom\": 0.9", "\"headroom\": 0"));
    let (code, _, why) = place(&["solve", &path(&bad)]);
    assert!(code == Some(1) && why.contains("bad.json: field `headroom`"), "{why}");
}
