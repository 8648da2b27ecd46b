//! Releases of a service's software: orders, what is read of them, and what outlives which loss.

mod support;

use rstest::rstest;
use support::{configuration, Cluster};

const ORDER: &str = r#"{"service":"reader","to-version":"v2","over-s":12}"#;

fn configured(seed: u64, size: usize) -> Cluster {
    let mut cluster = Cluster::new(seed, size);
    cluster.play(1_500);
    let taken = cluster.call(0, "POST", "/config/replace", Some("0"), &configuration(1, 3));
    assert_eq!(taken.map(|reply| reply.status), Some(200));
    cluster.heartbeat(0, "a", 1, "ready", 1);
    cluster.play(500);
    cluster
}

fn order(cluster: &mut Cluster, host: usize, body: &str) -> Option<u16> {
    cluster.call(host, "POST", "/releases/begin", None, body).map(|reply| reply.status)
}

fn read(cluster: &mut Cluster, host: usize) -> Option<(u16, String)> {
    let reply = cluster.call(host, "GET", "/releases/reader/read", None, "")?;
    Some((reply.status, String::from_utf8(reply.body).expect("text")))
}

/// Guards against SHORT on days with a roll-out: the order to bring in a version was answered 404 and never acknowledged.
#[rstest]
fn an_order_to_bring_in_a_version_is_acknowledged_and_read_back() {
    let mut cluster = configured(1, 3);
    assert_eq!(order(&mut cluster, 0, ORDER), Some(200));
    for host in 0..3 {
        let serving = r#"{"state":"serving","to-version":"v2"}"#.to_string();
        assert_eq!(read(&mut cluster, host), Some((200, serving)), "at {host}");
    }
}
