//! Time to read a large configuration, step by step: `cargo run --release -p configuration --example reading`.

use configuration::{Configuration, Document, KeyTable, Router};
use std::time::Instant;

const ROUTES: usize = 1_160;
const CUSTOMERS: usize = 74;

fn body() -> String {
    let route = |n: usize| {
        format!(
            r#"{{"name":"r-{n}","host":"h{}.example","path-start":"/p{n}/","kind":"streaming","give-up-ms":3000,"target-ms":400,"priority":0,"service":"reader","tries":2,"public":false,"stick-to-node":true,"can-resume":true,"gap_aim_ms":400}}"#,
            n % 7
        )
    };
    let customer = |n: usize| {
        format!(r#"{{"name":"t{n}","api-keys":["key-{n}-a","key-{n}-b"],"priority":1,"isolated":false}}"#)
    };
    let routes: Vec<String> = (0..ROUTES).map(route).collect();
    let customers: Vec<String> = (0..CUSTOMERS).map(customer).collect();
    let service = r#"{"name":"reader","health-path":"/health","max-conns":150,"protocol":"h1","tls":false,"engine":{"free-slots":12,"cache-tokens":139962,"token-bytes":163840,"link-mbps":1100000.0,"stride":8,"max-calls":12,"models":[{"name":"m"}]}}"#;
    let caps = r#"{"max-header-bytes":16384,"max-body-bytes":4194304,"header-wait-ms":3000,"idle-ms":15000}"#;
    format!(
        r#"{{"version":1,"routes":[{}],"services":[{service}],"caps":{caps},"customers":[{}]}}"#,
        routes.join(","),
        customers.join(",")
    )
}

fn timed<T>(what: &str, step: impl Fn() -> T) -> T {
    const TIMES: u32 = 20;
    let start = Instant::now();
    for _ in 1..TIMES {
        step();
    }
    let result = step();
    println!("{what}: {:.2} ms", start.elapsed().as_secs_f64() * 1000.0 / f64::from(TIMES));
    result
}

fn main() {
    let body = body();
    println!("{} routes, {} bytes", ROUTES, body.len());
    let document = timed("Document::read", || Document::read(body.as_bytes()).expect("readable"));
    timed("Document::to_json", || document.to_json());
    timed("Configuration::read", || Configuration::read(body.as_bytes()).expect("readable"));
    let configuration = timed("Document::typed", || document.typed().expect("readable"));
    timed("Router::new", || Router::new(&configuration));
    timed("KeyTable::new", || KeyTable::new(&configuration));
}
