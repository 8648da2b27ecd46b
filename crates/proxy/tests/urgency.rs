//! `Priority` by the ranks of tenants and routes.

use configuration::{Configuration, Whole};
use proxy::Urgency;
use rstest::rstest;

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
    assert_eq!(urgency.priority(tenant.map(Whole), route.map(Whole)), expected);
}

#[test]
fn more_ranks_than_replicas_know_keep_their_order() {
    let ranks: Vec<u64> = (0..7).collect();
    let urgency = Urgency::new(&configuration(&ranks, &ranks));
    let pairs = ranks.iter().flat_map(|tenant| ranks.iter().map(move |route| (*tenant, *route)));
    let told: Vec<u64> = pairs
        .filter_map(|(tenant, route)| urgency.priority(Some(Whole(tenant)), Some(Whole(route))))
        .collect();
    assert_eq!(told.len(), 49);
    assert!(told.is_sorted() && told.first() == Some(&0) && told.last().is_some_and(|last| *last <= 9));
}
