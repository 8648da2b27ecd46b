//! A group of controllers with simulated links, disks and clocks, played from one seed. Not every test uses all.
#![allow(dead_code, unused_imports)]

mod cluster;
mod disk;
mod replicas;

pub use cluster::{Agent, CallHandle, Cluster};

/// A configuration with that many routes to one service, as an operator sends it.
pub fn configuration(version: u64, routes: usize) -> String {
    let route = |number: usize| {
        format!(
            r#"{{"name":"r-{number}","host":"a.example","path-start":"/p{number}/","kind":"streaming","give-up-ms":3000,"target-ms":400,"priority":0,"service":"reader","tries":2,"public":false,"stick-to-node":true,"can-resume":true,"gap_aim_ms":400}}"#
        )
    };
    let routes: Vec<String> = (0..routes).map(route).collect();
    let service = r#"{"name":"reader","health-path":"/health","max-conns":150,"protocol":"h1","tls":false,"engine":{"free-slots":12,"cache-tokens":139962,"token-bytes":163840,"link-mbps":1100000.0,"stride":8,"max-calls":12,"models":[{"name":"m"}]}}"#;
    let caps = r#"{"max-header-bytes":16384,"max-body-bytes":4194304,"header-wait-ms":3000,"idle-ms":15000}"#;
    let customers = r#"[{"name":"t","api-keys":["k"],"priority":1,"isolated":false}]"#;
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{service}],"caps":{caps},"customers":{customers}}}"#,
        routes.join(",")
    )
}
