//! The cases that placements are for, and those that must not slip through.

mod support;

use placement::*;
use support::random;

const LOOKS: Limits = Limits { looks: 1_000_000 };

fn node(name: &str, site: &str, capacity: f64, connections: usize) -> Node {
    Node {
        name: name.into(),
        site: site.into(),
        capacity,
        connections,
        cold_share: 0.28,
        connection_cost: 1.0,
    }
}

fn coordinator(name: &str, site: &str, work: f64) -> Coordinator {
    let work = [("view".to_string(), work)].into();
    Coordinator { name: name.into(), site: site.into(), descriptors: 8, work }
}

fn book(number: usize, replicas: &[&str]) -> Book {
    Book { number, replicas: replicas.iter().map(ToString::to_string).collect(), demand: 1.0 }
}

/// Three sites with two nodes each, books on three nodes at different sites.
fn three_sites() -> Instance {
    let sites = ["lac-2", "charguia", "ariana"];
    let replicas = [["n0", "n1", "n2"], ["n1", "n2", "n3"], ["n2", "n3", "n4"], ["n3", "n4", "n5"]];
    Instance {
        sites: sites.iter().map(|name| Site { name: name.to_string(), delay_ms: Vec::new() }).collect(),
        nodes: (0..6).map(|n| node(&format!("n{n}"), sites[n % 3], 1000.0, 2)).collect(),
        coordinators: vec![coordinator("c0", "lac-2", 900.0), coordinator("c1", "charguia", 300.0)],
        books: (0..4).map(|b| book(b, &replicas[b])).collect(),
        popular: Vec::new(),
        headroom: 1.0,
        survive: Survive { site: true, node: true, share: 1.0 },
    }
}

fn fits(instance: &Instance) -> Solution {
    match solve(instance, LOOKS, &mut |_, _| true) {
        Outcome::Fits(found) => *found,
        other => panic!("{other:?}"),
    }
}

fn conflict(instance: &Instance) -> Conflict {
    explain(instance, LOOKS).expect("known").expect("nothing fits")
}

#[test]
fn books_stay_answerable_with_any_site_or_node_lost() {
    let instance = three_sites();
    let found = fits(&instance);
    assert_eq!(check(&instance, &found.links, &found.weights), []);
    // Whoever drops a connection that survival needs is told of it.
    let alone = Instance { survive: Survive { site: false, node: false, share: 1.0 }, ..instance.clone() };
    let thin = fits(&alone);
    assert!(thin.cost.connections < found.cost.connections, "survival costs connections");
    let broken = check(&instance, &thin.links, &thin.weights);
    assert!(broken.iter().any(|broken| matches!(broken, Broken::Lost(_))), "{broken:?}");
    let words: Vec<String> = broken.iter().map(|broken| broken.words(&instance)).collect();
    assert!(words.iter().any(|words| words.contains("is lost, the demand does not fit")), "{words:?}");
}

#[test]
fn a_lost_site_that_can_not_be_borne_is_named() {
    let mut instance = three_sites();
    instance.coordinators[0].work = [("view".to_string(), 4200.0)].into();
    let conflict = conflict(&instance);
    assert!(conflict.words.contains("is lost") && conflict.words.contains("ms/s"), "{}", conflict.words);
}

#[test]
fn a_book_without_replicas_elsewhere_is_named() {
    let mut instance = three_sites();
    instance.books.push(book(7, &["n0", "n3"]));
    let conflict = conflict(&instance);
    assert_eq!(conflict.words, "book 7 has no replica when lac-2 is lost");
}

#[test]
fn demand_that_fits_in_sum_and_not_by_book_is_told_apart() {
    // 5,500 of 6,000 in all, but 40% of it on one book that two nodes hold.
    let mut instance = three_sites();
    instance.survive = Survive { site: false, node: false, share: 1.0 };
    instance.popular = vec![Popular { book: 0, share: 0.4 }];
    (instance.books[0].demand, instance.books[0].replicas) = (0.0, vec!["n0".into(), "n1".into()]);
    assert!(fits(&instance).cost.worst < 0.3);
    instance.coordinators[0].work = [("view".to_string(), 5200.0)].into();
    let conflict = conflict(&instance);
    let words = "book 0 needs 2200 ms/s with nothing lost; n0 and n1 together can be planned for 2000";
    assert_eq!(conflict.words, words);
}

#[test]
fn a_node_without_connections_left_gets_none() {
    let mut instance = three_sites();
    instance.survive = Survive { site: false, node: false, share: 1.0 };
    instance.nodes[2].connections = 0;
    instance.nodes[3].connections = 1;
    let found = fits(&instance);
    assert!(!found.links.has(0, 2) && !found.links.has(1, 2) && found.load[2] == 0.0);
    assert!(!(found.links.has(0, 3) && found.links.has(1, 3)));
    for node in &mut instance.nodes[..3] {
        node.connections = 1;
    }
    instance.books.truncate(1);
    instance.nodes.iter_mut().for_each(|node| node.connections = 0);
    let conflict = conflict(&instance);
    assert!(conflict.words.contains("takes 0 coordinators"), "{}", conflict.words);
}

#[test]
fn the_same_instance_always_gives_the_same_result() {
    for seed in 0..40 {
        let solved = || solve(&random(seed), LOOKS, &mut |_, _| true);
        assert_eq!(solved(), solved(), "seed {seed}");
    }
}

#[test]
fn each_conflict_is_minimal() {
    let mut conflicts = 0;
    for seed in 1000..1150 {
        let instance = random(seed);
        let Some(conflict) = explain(&instance, LOOKS).expect("known") else { continue };
        conflicts += 1;
        // Nothing but the conflict is in force: it conflicts, and without any one of it, it does not.
        let mut others: Vec<Constraint> = Vec::new();
        for (n, _) in instance.nodes.iter().enumerate() {
            others.extend([
                Constraint::Capacity(n),
                Constraint::Connections(n),
                Constraint::In(Case::NodeLost(n)),
            ]);
        }
        others.extend((0..instance.sites.len()).map(|s| Constraint::In(Case::SiteLost(s))));
        others.extend((0..instance.coordinators.len()).map(Constraint::Descriptors));
        others.extend((0..instance.books.len()).map(Constraint::Demand));
        others.push(Constraint::In(Case::Normal));
        others.retain(|constraint| !conflict.constraints.contains(constraint));
        assert_eq!(fits_without(&instance, &others, LOOKS), Some(false), "seed {seed}: {conflict:?}");
        for constraint in &conflict.constraints {
            let fewer = [&others[..], &[*constraint]].concat();
            assert_eq!(fits_without(&instance, &fewer, LOOKS), Some(true), "seed {seed}: {constraint:?}");
        }
    }
    assert!(conflicts > 30, "{conflicts} conflicts");
}

#[test]
fn a_plan_keeps_all_constraints_in_between() {
    let (mut plans, mut stuck) = (0, 0);
    for seed in 0..500 {
        let instance = random(seed);
        let Outcome::Fits(new) = solve(&instance, LOOKS, &mut |_, _| true) else { continue };
        // In force: the placement for other prices.
        let mut before = instance.clone();
        before.nodes.iter_mut().enumerate().for_each(|(n, node)| node.connection_cost = (n % 3) as f64);
        let Outcome::Fits(old) = solve(&before, LOOKS, &mut |_, _| true) else {
            panic!("prices bind nothing")
        };
        let steps = match plan(&instance, &old.links, &new.links) {
            Ok(steps) => steps,
            Err(Stuck::NoRoom(_)) => {
                stuck += 1;
                continue;
            }
            Err(other) => panic!("seed {seed}: {other}"),
        };
        plans += usize::from(!steps.is_empty());
        for step in &steps {
            let lost = |broken: &Broken| !matches!(broken, Broken::Elsewhere(..) | Broken::Sum(..));
            assert!(!check(&instance, &step.links, &[]).iter().any(lost), "seed {seed}: {step:?}");
            for n in 0..instance.nodes.len() {
                let opened = step.open.iter().filter(|change| change.node == n).count();
                let bears = (instance.coordinators.len() as f64 * instance.nodes[n].cold_share) as usize;
                assert!(opened <= bears.max(1), "seed {seed}: {opened} at once at node {n}");
            }
        }
        assert_eq!(steps.last().map_or(&old.links, |step| &step.links), &new.links, "seed {seed}");
    }
    assert!(plans > 20, "{plans} plans, {stuck} without room");
}

#[test]
fn figures_that_make_no_sense_give_one_clear_error() {
    let sound = serde_json::to_string(&three_sites()).expect("JSON");
    assert_eq!(Instance::read(&sound), Ok(three_sites()));
    let told = |from: &str, to: &str| {
        assert!(sound.contains(from), "{from}");
        Instance::read(&sound.replacen(from, to, 1)).expect_err("a fault").to_string()
    };
    assert_eq!(
        told("\"capacity\":1000.0", "\"capacity\":0"),
        "field `nodes[0].capacity`: 0 is no number from 0.001 to 1e12"
    );
    assert_eq!(
        told("\"capacity\":1000.0", "\"capacity\":-5"),
        "field `nodes[0].capacity`: -5 is no number from 0.001 to 1e12"
    );
    let nan = told("\"capacity\":1000.0", "\"capacity\":NaN");
    assert!(nan.starts_with("line 1, column") && nan.contains("`nodes[0].capacity`"), "{nan}");
    let huge = told("\"view\":900.0", "\"view\":1e400");
    assert!(huge.contains("coordinators[0].work.view"), "{huge}");
    let unknown = told("\"headroom\"", "\"headrom\"");
    assert!(unknown.contains("headrom") && unknown.contains("headroom"), "{unknown}");
    assert_eq!(
        told("\"share\":1.0", "\"share\":0.0"),
        "field `survive.share`: 0 is no share above 0 and at most 1"
    );
    assert_eq!(
        told("[\"n0\",\"n1\",\"n2\"]", "[\"n0\",\"n9\",\"n2\"]"),
        "field `books[0].replicas[1]`: `n9` is no node"
    );
    // As values that no JSON holds.
    let mut instance = three_sites();
    instance.nodes[1].capacity = f64::NAN;
    assert!(instance.check().expect_err("a fault").to_string().contains("nodes[1].capacity"));
    instance = three_sites();
    instance.popular = vec![Popular { book: 0, share: 0.7 }, Popular { book: 1, share: 0.7 }];
    assert!(instance.check().expect_err("a fault").to_string().contains("over 1"));
}
