//! `Priority` by the ranks of tenants and routes.

mod support;

use configuration::{Configuration, Whole};
use proxy::{Ranks, Urgency};
use rstest::rstest;
use support::*;

/// A configuration whose tenants and routes have these ranks.
fn configuration(tenants: &[u64], routes: &[u64]) -> Configuration {
    let tenant = |(place, rank): (usize, &u64)| {
        format!(r#"{{"name":"t{place}","api-keys":["k{place}"],"priority":{rank},"isolated":false}}"#)
    };
    let route = |(place, rank): (usize, &u64)| {
        format!(
            r#"{{"name":"r{place}","host":"h","path-start":"/p{place}/","kind":"read_only","give-up-ms":1000,"priority":{rank},"service":"s"}}"#
        )
    };
    let tenants: Vec<String> = tenants.iter().enumerate().map(tenant).collect();
    let routes: Vec<String> = routes.iter().enumerate().map(route).collect();
    let body = format!(
        r#"{{"version":1,"routes":[{}],"services":[{{"name":"s","health-path":"/h","max-conns":10}}],"caps":{{"max-header-bytes":16384,"max-body-bytes":4096,"header-wait-ms":3000,"idle-ms":15000}},"customers":[{}]}}"#,
        routes.join(","),
        tenants.join(",")
    );
    Configuration::read(body.as_bytes()).expect("a configuration")
}

fn ranks(tenant: Option<u64>, route: Option<u64>) -> Ranks {
    Ranks { tenant: tenant.map(Whole), route: route.map(Whole) }
}

#[rstest]
#[case::urgent_tenant_urgent_route(Some(0), Some(0), Some(0))]
#[case::urgent_tenant(Some(0), Some(1), Some(1))]
#[case::urgent_route(Some(4), Some(0), Some(3))]
#[case::neither(Some(4), Some(1), Some(4))]
#[case::tenant_without_rank(None, Some(0), Some(6))]
#[case::nothing_has_a_rank(None, None, None)]
fn a_tenants_rank_goes_before_its_routes(
    #[case] tenant: Option<u64>,
    #[case] route: Option<u64>,
    #[case] expected: Option<u64>,
) {
    let urgency = Urgency::new(&configuration(&[4, 0, 4], &[1, 0]));
    assert_eq!(urgency.priority(ranks(tenant, route)), expected);
}

#[test]
fn more_ranks_than_replicas_know_keep_their_order() {
    let all: Vec<u64> = (0..7).collect();
    let urgency = Urgency::new(&configuration(&all, &all));
    let pairs = all.iter().flat_map(|tenant| all.iter().map(move |route| (*tenant, *route)));
    let told: Vec<u64> =
        pairs.filter_map(|(tenant, route)| urgency.priority(ranks(Some(tenant), Some(route)))).collect();
    assert_eq!(told.len(), 49);
    assert!(told.is_sorted() && told.first() == Some(&0) && told.last().is_some_and(|last| *last <= 9));
}

/// Guards against a `Priority` by the ranks of an older configuration: what was sent again counted as urgent as a tenant of
/// a higher rank that had come with the newer one.
#[test]
fn a_request_sent_again_is_as_urgent_as_one_that_comes_now() {
    const NO_RANK: &str = r#"{"name":"tenant-2","api-keys":["k2"]"#;
    const FIRST_RANK: &str = r#"{"name":"tenant-2","api-keys":["k2"],"priority":0"#;
    play(|| async {
        let (one, two, mut fixture, mut client) = with_two_replicas().await;
        client.write(ask("resume", "a", "")).await;
        let (first, request, other) = first_of(&one, &two).await;
        assert_eq!(request.header("Priority"), Some("1"));
        fixture.reconfigure(8, NO_RANK, FIRST_RANK).await;
        drop(first);
        let (_again, again) = other.request().await;
        let mut newcomer = fixture.client().await;
        newcomer.write(ask("resume", "b", "")).await;
        let (_new, new, _) = first_of(&one, &two).await;
        let mut urgent = fixture.client().await;
        urgent.write(ask("resume", "c", "").replace(KEY, "k2")).await;
        let (_urgent, more_urgent, _) = first_of(&one, &two).await;
        assert_eq!(again.header("Priority"), new.header("Priority"));
        assert_eq!((new.header("Priority"), more_urgent.header("Priority")), (Some("3"), Some("1")));
    });
}
