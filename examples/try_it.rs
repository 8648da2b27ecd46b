//! The main job on stand-ins, by itself: `cargo build --release && cargo run --release --example try_it`.
//!
//! It starts stand-in nodes for both fronts and a discovery, starts the program, asks both fronts, takes a node away
//! under load, prints what came and ends all that it started.

#[path = "../tests/support/site.rs"]
#[allow(dead_code)]
mod site;
#[path = "toy_nodes.rs"]
#[allow(dead_code)]
mod toy_nodes;

use site::{body, config, discovery, entry, headers, node, Mood};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

type Notes = Arc<Mutex<Vec<String>>>;
type Outcome<T> = Result<T, Box<dyn std::error::Error>>;

fn apart<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> JoinHandle<T> {
    thread::spawn(work)
}

/// Listens on loopback and serves each connection in a thread of its own.
fn stand_in(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
    address
}

/// The program and its folder; both are gone at the end, however it comes.
struct Running(Child, PathBuf);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
        let _ = std::fs::remove_dir_all(&self.1);
    }
}

fn ask(to: SocketAddr, path: &str, headers: &str, body: &str) -> Outcome<String> {
    let mut stream = TcpStream::connect(to)?;
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    let length = body.len();
    write!(
        stream,
        "POST {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    )?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text)
}

/// The configuration of the second front, for toy nodes that listen there, in a folder.
fn second_front(folder: &Path, toys: [SocketAddr; 2]) -> Outcome<PathBuf> {
    let zone = include_str!("book-nodes.zone");
    let zone = zone.replace("9301", &toys[0].port().to_string()).replace("9302", &toys[1].port().to_string());
    std::fs::write(folder.join("book-nodes.zone"), zone)?;
    let path = folder.join("opensearch.json");
    std::fs::write(&path, include_str!("opensearch.json").replace("127.0.0.1:9201", "127.0.0.1:0"))?;
    Ok(path)
}

fn main() -> Outcome<()> {
    let program = std::env::current_exe()?.with_file_name("../steppick");
    let folder = std::env::temp_dir().join(format!("steppick-try-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let nodes = [node(), node()];
    nodes.iter().for_each(|node| node.mood(Mood::Takes(Duration::from_millis(5))));
    let (list, tell, _asked) = discovery();
    let servers = format!("{},{}", entry(&nodes, 0, "in_service"), entry(&nodes, 1, "in_service"));
    let platform = folder.join("config.json");
    std::fs::write(&platform, config("127.0.0.1:0", list, &servers))?;
    let toys = [1, 2].map(|n| stand_in(move |stream| drop(toy_nodes::serve(stream, n))));
    let second = second_front(&folder, toys)?;
    let child = Command::new(&program)
        .arg("--opensearch")
        .arg(second)
        .env("LB_CONFIG", platform)
        .env_remove("STEPPICK_LOG")
        .stderr(Stdio::piped())
        .spawn()
        .map_err(|error| format!("{}: {error}; run cargo build --release first", program.display()))?;
    let mut running = Running(child, folder);
    let mut log = BufReader::new(running.0.stderr.take().ok_or("no log")?).lines();
    let mut address = || -> Outcome<SocketAddr> {
        for line in log.by_ref() {
            if let Some((_, address)) = line?.split_once(" on 127.0.0.1:") {
                return Ok(SocketAddr::from(([127, 0, 0, 1], address.parse()?)));
            }
        }
        Err("the program ended before it listened".into())
    };
    let (front, search) = (address()?, address()?);
    thread::spawn(move || log.for_each(drop));

    println!("the platform's front, one query of two parts:");
    println!(
        "  {}",
        ask(front, "/view", &headers("view", 1), &body(&[0, 1]))?.lines().last().unwrap_or_default()
    );
    println!("the OpenSearch front, hits by price and a sum:");
    let query = r#"{"size":2,"sort":[{"price":"desc"}],"aggs":{"quantity":{"sum":{"field":"quantity"}}}}"#;
    println!("  {}", ask(search, "/books/_search", "", query)?.lines().last().unwrap_or_default());

    println!("200 queries from four clients; after the first quarter one of two nodes is taken away:");
    let begun = Instant::now();
    let clients: Vec<JoinHandle<(usize, usize)>> = (0..4)
        .map(|client| {
            apart(move || {
                let mut count = (0, 0);
                for n in 0..50 {
                    let id = 1000 * (client + 1) + n;
                    let answer =
                        ask(front, "/view", &headers("view", id), &body(&[0, 1])).unwrap_or_default();
                    count.0 += usize::from(answer.starts_with("HTTP/1.1 200"));
                    count.1 += 1;
                    thread::sleep(Duration::from_millis(5));
                }
                count
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(200));
    let gone = entry(&nodes, 1, "terminating");
    tell.send(format!("{{\"version\":42,\"full\":false,\"servers\":[{gone}]}}"))?;
    thread::sleep(Duration::from_millis(50));
    let before = nodes[1].count();
    let (mut whole, mut all) = (0, 0);
    for client in clients {
        let count = client.join().map_err(|_| "a client broke")?;
        (whole, all) = (whole + count.0, all + count.1);
    }
    let took = begun.elapsed().as_secs_f64();
    println!(
        "  {whole} of {all} answered in {took:.1} s; parts sent to the node after that: {}",
        nodes[1].count() - before
    );
    println!("ended; nothing is left running");
    Ok(())
}
