//! Under which salt replicas keep what a request leaves there, when its tenant becomes isolated, is released or goes while
//! the request is on its way.

mod support;

use rstest::rstest;
use support::*;

/// The salt of tenant-1 while it shares with nobody.
const OWN: &str = "1/tenant-1";
/// Names the model, so that requests have a salt.
const WITH_MODEL: &str = "Model: m1\r\n";

/// What a configuration tells of tenant-1.
#[derive(Debug, Clone, Copy)]
enum Tenant {
    Shares,
    SharesWhileAnotherIsIsolated,
    IsIsolated,
    IsUnknown,
}

impl Tenant {
    fn json(self) -> &'static str {
        match self {
            Tenant::Shares => r#"{"name":"tenant-1","api-keys":["secret-key-1"],"priority":1}"#,
            Tenant::IsIsolated => {
                r#"{"name":"tenant-1","api-keys":["secret-key-1"],"priority":1,"isolated":true}"#
            }
            Tenant::IsUnknown => r#"{"name":"tenant-3","api-keys":["k3"],"priority":1}"#,
            Tenant::SharesWhileAnotherIsIsolated => {
                r#"{"name":"tenant-1","api-keys":["secret-key-1"],"priority":1},{"name":"tenant-3","api-keys":["k3"],"isolated":true}"#
            }
        }
    }
}

/// Tells the proxy this of tenant-1 in a later version of the configuration.
async fn configure(fixture: &mut Fixture, version: u64, tenant: Tenant) {
    fixture.reconfigure(version, Tenant::Shares.json(), tenant.json()).await;
}

/// Guards against review case 1 (WALL): a stream that was taken up at another replica left an isolated tenant's memory under
/// the salt of all that share.
#[test]
fn a_stream_that_goes_on_elsewhere_has_its_isolated_tenants_salt() {
    play(|| async {
        let (one, two, mut fixture, mut client) = with_two_replicas().await;
        client.write(ask("resume", "a", WITH_MODEL)).await;
        let (mut first, request, other) = first_of(&one, &two).await;
        assert_ne!(request.header("Cache-Salt"), Some(OWN));
        begin_stream(&mut first, &mut client, "a").await;
        configure(&mut fixture, 8, Tenant::IsIsolated).await;
        drop(first);
        let (mut second, request) = other.request().await;
        assert_eq!(request.header("Last-Event-Id"), Some("1"));
        assert_eq!(request.header("Tenant"), Some("tenant-1"));
        assert_eq!(request.header("Cache-Salt"), Some(OWN));
        second.write(stream_head("a") + &event(2) + LAST_CHUNK).await;
        client.text(&event(2)).await;
        client.text(LAST_CHUNK).await;
    });
}

/// Guards against the same cause where nothing had been passed on: what is sent again used and left the shared memory.
#[rstest]
#[case::refused("write", Some(not_run("a")))]
#[case::failed("read", Some("HTTP/1.1 500 No\r\nAttempt-Id: a\r\nServer-Seal: s\r\nContent-Length: 0\r\n\r\n".into()))]
#[case::other_version("read", Some("HTTP/1.1 421 No\r\nAttempt-Id: a\r\nNot-Run: 1\r\nNode-Id: ID\r\nVersions: 1\r\nContent-Length: 0\r\n\r\n".into()))]
#[case::broken("resume", None)]
fn a_request_sent_again_has_its_isolated_tenants_salt(
    #[case] route: &'static str,
    #[case] reaction: Option<String>,
) {
    play(|| async move {
        let (one, two, mut fixture, mut client) = with_two_replicas().await;
        client.write(ask(route, "a", WITH_MODEL)).await;
        let (mut first, request, other) = first_of(&one, &two).await;
        configure(&mut fixture, 8, Tenant::IsIsolated).await;
        let id = request.header("Expected-Node").expect("named").to_string();
        if let Some(answer) = reaction {
            first.write(answer.replace("ID", &id)).await;
        }
        drop(first);
        let (_, request) = other.request().await;
        assert_eq!(request.header("Attempt-Id"), Some("a"));
        assert_eq!(request.header("Cache-Salt"), Some(OWN));
    });
}

/// A first send that waited for its body is planned by what holds when the body has come.
#[test]
fn a_request_whose_body_comes_late_has_its_isolated_tenants_salt() {
    play(|| async {
        let (replica, mut fixture, mut client) = with_one_replica().await;
        let whole_request = ask("write", "a", WITH_MODEL);
        let (head, body) = whole_request.split_at(whole_request.len() - 2);
        client.write(head).await;
        configure(&mut fixture, 8, Tenant::IsIsolated).await;
        client.write(body).await;
        assert_eq!(replica.request().await.1.header("Cache-Salt"), Some(OWN));
    });
}

/// Whoever was promised to share with nobody when the request came, or is not known any more, is not put among the others.
#[rstest]
#[case::released(Tenant::IsIsolated, Tenant::Shares)]
#[case::isolated_and_gone(Tenant::IsIsolated, Tenant::IsUnknown)]
#[case::gone(Tenant::Shares, Tenant::IsUnknown)]
fn a_request_sent_again_stays_apart(#[case] came: Tenant, #[case] later: Tenant) {
    play(|| async move {
        let (one, two) = (Replica::new("i-1").await, Replica::new("i-2").await);
        let mut fixture = Fixture::new(&[&one, &two]).await;
        configure(&mut fixture, 8, came).await;
        let mut client = fixture.client().await;
        client.write(ask("resume", "a", WITH_MODEL)).await;
        let (first, _, other) = first_of(&one, &two).await;
        configure(&mut fixture, 9, later).await;
        drop(first);
        assert_eq!(other.request().await.1.header("Cache-Salt"), Some(OWN));
    });
}

/// A tenant that shares goes on sharing: what is sent again has the salt of what comes now.
#[test]
fn a_request_sent_again_of_a_tenant_that_shares_has_the_salt_of_all_that_share() {
    play(|| async {
        let (one, two, mut fixture, mut client) = with_two_replicas().await;
        client.write(ask("resume", "a", WITH_MODEL)).await;
        let (first, before, other) = first_of(&one, &two).await;
        configure(&mut fixture, 8, Tenant::SharesWhileAnotherIsIsolated).await;
        drop(first);
        let (_again, again) = other.request().await;
        let mut newcomer = fixture.client().await;
        newcomer.write(ask("resume", "b", WITH_MODEL)).await;
        let (_new, new, _) = first_of(&one, &two).await;
        assert_eq!(new.header("Attempt-Id"), Some("b"));
        assert_eq!(again.header("Cache-Salt"), new.header("Cache-Salt"));
        assert_ne!(again.header("Cache-Salt"), before.header("Cache-Salt"));
    });
}

/// What a replica has taken before the change runs on.
#[test]
fn a_stream_that_runs_is_not_cut_off_when_its_tenant_becomes_isolated() {
    play(|| async {
        let (replica, mut fixture, mut client) = with_one_replica().await;
        client.write(ask("stream", "a", WITH_MODEL)).await;
        let (mut connection, _) = replica.request().await;
        begin_stream(&mut connection, &mut client, "a").await;
        configure(&mut fixture, 8, Tenant::IsIsolated).await;
        let mut newcomer = fixture.client().await;
        newcomer.write(ask("stream", "b", WITH_MODEL)).await;
        assert_eq!(replica.request().await.1.header("Cache-Salt"), Some(OWN));
        connection.write(event(2) + LAST_CHUNK).await;
        client.text(&event(2)).await;
        client.text(LAST_CHUNK).await;
    });
}
