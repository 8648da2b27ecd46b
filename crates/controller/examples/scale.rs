//! Real controllers before hollow agents and replicas, on loopback: what a controller takes at a fleet's size.
//!
//! Five `steppick controller` processes run as they do in service. This process plays the agents of a fleet (links to every
//! controller, load told to one, interest to all, what comes is read and counted) and its replicas (heartbeats).
//!
//! `cargo run --release -p controller --example scale -- target/release/steppick AGENTS REPLICAS SECONDS`

use std::cell::Cell;
use std::error::Error;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;

use peer::{
    encode, Address, FrameReader, Hello, Interest, Loads, Message, ReplicaLoad, Role, Subscription, PROTOCOL,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{interval, sleep, Instant};

const CONTROLLERS: u8 = 5;
const CONTROL_PORT: u16 = 18_169;
const INNER_PORT: u16 = 17_640;
const BEAT_EVERY: Duration = Duration::from_millis(1_200);
/// Each agent tells its load so often, with so many replicas changed.
const LOAD_EVERY: Duration = Duration::from_millis(300);
const LOADS_CHANGED: u32 = 12;
/// Shared parts that each agent asks for in a second, out of so many in the fleet.
const PARTS_A_SECOND: u64 = 32;
const PARTS: u64 = 50_000;
/// Time for the fleet to come together before it is measured.
const SETTLING: Duration = Duration::from_secs(8);
const TICKS_A_SECOND: f64 = 100.0;

type Failed = Box<dyn Error>;

fn ip(controller: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 0, 10 + controller)
}

fn settings(folder: &Path, controller: u8) -> String {
    let seeds: Vec<String> = (0..3).map(|seed| format!("  - \"{}:{CONTROL_PORT}\"", ip(seed))).collect();
    format!(
        "node: \"core-{controller}\"\nrole: \"controller\"\nmachine-class: \"core\"\nserves:\n  - \"control_plane\"\n\
         ip: \"{ip}\"\nzone: \"z{controller}\"\nregion: \"r\"\nzones:\n  z{controller}: \"r\"\n\
         listen-on:\n  control: \"{ip}:{CONTROL_PORT}\"\ninner-ports:\n  - {INNER_PORT}\n  - {last}\nseeds:\n{seeds}\n\
         first-start: true\ncounted: true\ncaps:\n  cpu-share: 1.0\n  cores: 1\n  memory-mb: 256\n  open-files: 8192\n  \
         link-mbps: 1000.0\n  disk-mb: 128\ndata-dir: \"{data}\"\nentry: \"virtual_ip\"\nbeat-every-ms: 1200\n\
         contracts:\n  - \"base\"\nsurvive:\n  machines: 2\n  zones: 0\n  regions: 0\nbounds:\n  reuse-after-s: 2\n",
        ip = ip(controller),
        last = INNER_PORT + 15,
        seeds = seeds.join("\n"),
        data = folder.display(),
    )
}

/// The controllers' processes, ended with this value.
struct Controllers {
    children: Vec<Child>,
    folder: PathBuf,
}

impl Controllers {
    fn start(program: &str) -> Result<Controllers, Failed> {
        let folder = std::env::temp_dir().join(format!("steppick-scale-{}", std::process::id()));
        let mut children = Vec::new();
        for controller in 0..CONTROLLERS {
            let data = folder.join(controller.to_string());
            std::fs::create_dir_all(&data)?;
            let file = folder.join(format!("{controller}.yaml"));
            std::fs::write(&file, settings(&data, controller))?;
            let mut command = Command::new(program);
            command
                .arg("controller")
                .env("STEPPICK_CONFIG", &file)
                .stdout(Stdio::null())
                .stderr(Stdio::null());
            children.push(command.spawn()?);
        }
        Ok(Controllers { children, folder })
    }

    /// Processor time so far, seconds, by controller.
    fn processor(&self) -> Vec<f64> {
        self.children.iter().map(|child| processor(child.id())).collect()
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Processor time of a process, seconds; 0 if it has ended.
fn processor(id: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<f64> =
        after_name.split_whitespace().skip(11).take(2).filter_map(|field| field.parse().ok()).collect();
    fields.iter().sum::<f64>() / TICKS_A_SECOND
}

/// Peak memory of a process, MB; 0 if it has ended.
fn memory(id: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kilobytes = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<f64>().ok());
    kilobytes.unwrap_or_default() / 1_000.0
}

/// Kinds of messages that are counted by themselves.
const KINDS: [&str; 7] = ["replicas", "kept parts", "loads", "alive", "configuration", "fleet", "others"];

fn kind(message: &Message) -> usize {
    match message {
        Message::Replicas(_) => 0,
        Message::Prefixes(_) => 1,
        Message::Loads(_) => 2,
        Message::Alive(_) => 3,
        Message::Configuration(_) => 4,
        Message::Fleet(_) => 5,
        _ => 6,
    }
}

/// What hollow processes got and sent, bytes and messages.
#[derive(Default)]
struct Counts {
    kinds: [Cell<u64>; KINDS.len()],
    got: Cell<u64>,
    messages: Cell<u64>,
    sent: Cell<u64>,
    beats: Cell<u64>,
}

fn add(count: &Cell<u64>, more: u64) {
    count.set(count.get() + more);
}

/// One link of a hollow agent: says who it is, tells its load on the link to its home, asks for parts, and reads.
async fn link(counts: Rc<Counts>, agent: u32, controller: u8, replicas: u32) -> Result<(), Failed> {
    let mut stream = TcpStream::connect(SocketAddrV4::new(ip(controller), INNER_PORT)).await?;
    stream.set_nodelay(true)?;
    let home = (agent % u32::from(CONTROLLERS)) as u8;
    let hello = Hello {
        protocol: PROTOCOL,
        role: Role::Agent,
        machine: format!("edge-{agent}").as_str().into(),
        zone: format!("z{home}").as_str().into(),
        incarnation: u64::from(agent),
        address: Address::NONE,
        configuration: 0,
    };
    stream.write_all(&encode(&Message::Hello(hello))?).await?;
    let subscription = Subscription { is_home: u8::from(controller == home) };
    stream.write_all(&encode(&Message::Subscription(subscription))?).await?;
    let (mut from, mut to) = stream.into_split();
    let (mut reader, mut room) = (FrameReader::default(), Vec::with_capacity(64 << 10));
    let mut due = interval(LOAD_EVERY);
    let mut round: u64 = u64::from(agent) * 7;
    loop {
        room.clear();
        tokio::select! {
            read = from.read_buf(&mut room) => {
                let read = read?;
                if read == 0 {
                    return Ok(());
                }
                add(&counts.got, read as u64);
                reader.push(&room);
                while let Some(message) = reader.next_message()? {
                    add(&counts.messages, 1);
                    add(&counts.kinds[kind(&message)], encode(&message)?.len() as u64);
                }
            }
            _ = due.tick() => {
                round += 1;
                let parts = PARTS_A_SECOND * LOAD_EVERY.as_millis() as u64 / 1_000;
                let asked: Vec<u64> = (0..parts).map(|part| (round * 31 + part * 977) % PARTS).collect();
                let mut bytes = encode(&Message::Interest(Interest::from(asked)))?;
                if controller == home {
                    bytes.extend(encode(&Message::Loads(loads(agent, round, replicas)))?);
                }
                add(&counts.sent, bytes.len() as u64);
                to.write_all(&bytes).await?;
            }
        }
    }
}

fn loads(agent: u32, round: u64, replicas: u32) -> Loads {
    let one = |number: u32| {
        let mixed = (round as u32).wrapping_mul(2_654_435_761).wrapping_add(agent * 97 + number * 131);
        ReplicaLoad { replica: mixed % replicas, tokens: mixed % 9_000, calls: (mixed % 4) as u16 }
    };
    Loads::new(true, (0..LOADS_CHANGED).map(one).collect())
}

/// A hollow replica: its heartbeats.
async fn replica(counts: Rc<Counts>, number: u32) -> Result<(), Failed> {
    let controller = (number % u32::from(CONTROLLERS)) as u8;
    let address = SocketAddrV4::new(ip(controller), CONTROL_PORT);
    let mut due = interval(BEAT_EVERY);
    let mut count = 0;
    loop {
        due.tick().await;
        count += 1;
        let body = format!(
            "{{\"service\":\"reader\",\"address\":\"127.1.{}.{}:9\",\"zone\":\"z{controller}\",\"free_slots\":16,\
             \"free-slots\":16,\"state\":\"ready\",\"call-count\":{count},\"models\":[{{\"name\":\"m\",\"version\":1}}]}}",
            number / 250,
            number % 250 + 1
        );
        let text = format!(
            "POST /nodes/i-{number}/heartbeat HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\
             Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(text.as_bytes()).await?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await?;
        if answer.starts_with(b"HTTP/1.1 200") {
            add(&counts.beats, 1);
        }
    }
}

async fn play(program: &str, agents: u32, replicas: u32, seconds: u64) -> Result<(), Failed> {
    let controllers = Controllers::start(program)?;
    sleep(Duration::from_millis(1_500)).await;
    let counts = Rc::new(Counts::default());
    for number in 0..replicas {
        let counts = counts.clone();
        spawn_local(async move {
            sleep(Duration::from_millis(u64::from(number * 2))).await;
            drop(replica(counts, number).await);
        });
    }
    for agent in 0..agents {
        for controller in 0..CONTROLLERS {
            let counts = counts.clone();
            spawn_local(async move {
                sleep(Duration::from_millis(u64::from(agent * 3))).await;
                if let Err(why) = link(counts, agent, controller, replicas).await {
                    eprintln!("agent {agent} at controller {controller}: {why}");
                }
            });
        }
    }
    sleep(SETTLING).await;
    println!("  while the fleet came together, {} s, to all agents:", SETTLING.as_secs());
    print_kinds(&counts, &[0; KINDS.len()], 1.0);
    let kinds_before = counts.kinds.each_ref().map(Cell::get);
    let before = (controllers.processor(), processor(std::process::id()), Instant::now());
    let at_first = (counts.got.get(), counts.messages.get(), counts.sent.get(), counts.beats.get());
    sleep(Duration::from_secs(seconds)).await;
    let played = before.2.elapsed().as_secs_f64();
    let after = controllers.processor();
    println!("{agents} hollow agents, {replicas} hollow replicas, {CONTROLLERS} controllers, {played:.1} s");
    for (number, child) in controllers.children.iter().enumerate() {
        let share = 100.0 * (after[number] - before.0[number]) / played;
        println!("  controller {number}: {share:.1} % of a core, {:.1} MB at its peak", memory(child.id()));
    }
    let each = |count: u64, first: u64| (count - first) as f64 / played / f64::from(agents);
    println!(
        "  each agent: {:.1} KB and {:.0} messages a second come, {:.1} KB a second go",
        each(counts.got.get(), at_first.0) / 1_000.0,
        each(counts.messages.get(), at_first.1),
        each(counts.sent.get(), at_first.2) / 1_000.0
    );
    println!("  from then on, a second, to all agents:");
    print_kinds(&counts, &kinds_before, played);
    println!("  heartbeats acknowledged: {:.0} a second", (counts.beats.get() - at_first.3) as f64 / played);
    let own = 100.0 * (processor(std::process::id()) - before.1) / played;
    println!("  the hollow process: {own:.0} % of a core, {:.0} MB", memory(std::process::id()));
    Ok(())
}

/// Bytes by kind since `before`, over so many seconds.
fn print_kinds(counts: &Counts, before: &[u64; KINDS.len()], seconds: f64) {
    for (number, name) in KINDS.iter().enumerate() {
        let bytes = (counts.kinds[number].get() - before[number]) as f64 / seconds;
        println!("    {name}: {:.0} KB", bytes / 1_000.0);
    }
}

fn main() -> Result<(), Failed> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [program, agents, replicas, seconds] = arguments.as_slice() else {
        return Err("arguments: PROGRAM AGENTS REPLICAS SECONDS".into());
    };
    let (agents, replicas, seconds) = (agents.parse()?, replicas.parse()?, seconds.parse()?);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, play(program, agents, replicas, seconds))
}
