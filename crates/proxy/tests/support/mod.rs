//! Stand-ins on loopback: a fleet of replicas, an agent, clients. Nothing sleeps: tests wait for what comes.
#![allow(dead_code)]

use http::{RequestHead, ResponseFraming, ResponseHead};
use peer::{encode, Fleet, FrameReader, Message, ModelVersion, ReplicaRecord, ReplicaState, Replicas};
use process::Control;
use proxy::{serve, Sockets, Tuning};
use settings::ProcessSettings;
use stand_in::Answer;
pub use stand_in::{Request, Wire};
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{spawn_local, JoinHandle, LocalSet};

/// The key of the tenant of tests.
pub const KEY: &str = "secret-key-1";
/// The model of the streaming service.
pub const MODEL: &str = "m1";

/// Runs a test's future on one thread.
pub fn play<F: Future<Output = ()>>(test: impl FnOnce() -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test());
}

/// A configuration with a route of each kind.
pub const CONFIGURATION: &str = r#"{"version":7,"routes":[
{"name":"read","host":"h.example","path-start":"/read/","kind":"read_only","give-up-ms":5000,"service":"s","tries":2},
{"name":"write","host":"h.example","path-start":"/write/","kind":"writing","give-up-ms":5000,"service":"s","tries":2,"priority":3},
{"name":"stream","host":"h.example","path-start":"/stream/","kind":"streaming","give-up-ms":5000,"service":"s","tries":2},
{"name":"resume","host":"h.example","path-start":"/resume/","kind":"streaming","give-up-ms":5000,"service":"s","tries":2,"can-resume":true},
{"name":"public","host":"h.example","path-start":"/public/","kind":"read_only","give-up-ms":5000,"service":"s","public":true},
{"name":"empty","host":"h.example","path-start":"/empty/","kind":"read_only","give-up-ms":5000,"service":"none"}
],"services":[{"name":"s","max-conns":100,"engine":{"free-slots":4,"models":[{"name":"m1"}]}},{"name":"none"}],
"caps":{"max-header-bytes":2048,"max-body-bytes":100000,"header-wait-ms":3000,"idle-ms":15000},
"customers":[{"name":"tenant-1","api-keys":["secret-key-1"],"priority":1},{"name":"tenant-2","api-keys":["k2"],"isolated":true}]}"#;

/// A proxy under test with its surroundings.
pub struct Fixture {
    /// Where clients connect.
    pub front: SocketAddr,
    ready: SocketAddr,
    /// The agent's side of the link.
    pub agent: TcpStream,
    control: mpsc::Sender<Control>,
    /// The proxy's life.
    pub life: JoinHandle<()>,
}

impl Fixture {
    /// A proxy that has the configuration and these replicas.
    pub async fn new(replicas: &[&Replica]) -> Fixture {
        Fixture::with(CONFIGURATION, replicas.iter().map(|replica| replica.record()).collect()).await
    }

    /// A proxy with a configuration and records of replicas.
    pub async fn with(configuration: &str, records: Vec<ReplicaRecord>) -> Fixture {
        Fixture::tuned(configuration, records, Tuning::default()).await
    }

    /// A proxy with a configuration, records of replicas and a tuning.
    pub async fn tuned(configuration: &str, records: Vec<ReplicaRecord>, tuning: Tuning) -> Fixture {
        let mut fixture = Fixture::start(tuning).await;
        fixture.tell(Message::Configuration(whole(configuration))).await;
        fixture.tell(Message::Fleet(Fleet::new(Vec::new(), 1))).await;
        fixture.tell(Message::Replicas(Replicas::from(records))).await;
        while fixture.readiness().await != 200 {}
        fixture
    }

    /// A proxy that was told nothing.
    pub async fn bare(start_patience: Duration) -> Fixture {
        Fixture::start(Tuning { start_patience, ..Tuning::default() }).await
    }

    async fn start(tuning: Tuning) -> Fixture {
        let listen = || async { TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port") };
        let (front, ready, agent) = (listen().await, listen().await, listen().await);
        let address = |listener: &TcpListener| listener.local_addr().expect("bound");
        let SocketAddr::V4(at) = address(&agent) else { unreachable!("bound to IPv4") };
        let (front_at, ready_at) = (address(&front), address(&ready));
        let (tell, control) = mpsc::channel(4);
        let sockets = Sockets { front, ready, agent: at };
        let life = spawn_local(serve(settings(SETTINGS), sockets, tuning, control));
        let (mut agent, _) = agent.accept().await.expect("the proxy's link");
        let hello = next_message(&mut agent).await;
        assert!(matches!(hello, Message::Hello(_)), "{hello:?}");
        Fixture { front: front_at, ready: ready_at, agent, control: tell, life }
    }

    /// Sends the proxy a message of its agent.
    pub async fn tell(&mut self, message: Message) {
        self.agent.write_all(&encode(&message).expect("short")).await.expect("linked");
    }

    /// Tells the proxy a later version of [`CONFIGURATION`] in which `new` stands for `old`, and waits until it is in force.
    pub async fn reconfigure(&mut self, version: u64, old: &str, new: &str) {
        assert!(CONFIGURATION.contains(old), "{old} is in the configuration");
        // The route that has no replicas moves with each version: its answer tells which one is in force.
        let text = CONFIGURATION
            .replace("\"version\":7", &format!("\"version\":{version}"))
            .replace("/empty/", &format!("/empty-{version}/"))
            .replace(old, new);
        self.tell(Message::Configuration(whole(&text))).await;
        let mut asker = self.client().await;
        let question = ask(&format!("empty-{version}"), "q", "").replace(KEY, "k2");
        loop {
            asker.write(&question).await;
            if asker.answer().await.0.status == 503 {
                return;
            }
        }
    }

    /// Asks whether the proxy is ready.
    pub async fn readiness(&self) -> u16 {
        let mut asker = Peer::connect(self.ready).await;
        asker.write("GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n").await;
        asker.answer().await.0.status
    }

    /// What operators are told of the proxy's requests.
    pub async fn metrics(&self) -> String {
        let mut asker = Peer::connect(self.ready).await;
        asker.write("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n").await;
        asker.answer().await.1
    }

    /// What SIGHUP does after `new` was put in the place of `old` in the settings.
    pub fn reload(&self, old: &str, new: &str) {
        assert!(SETTINGS.contains(old), "{old} is in the settings");
        let settings = Box::new(settings(&SETTINGS.replace(old, new)));
        self.control.try_send(Control::Reload(settings)).expect("the proxy listens");
    }

    /// What SIGTERM does.
    pub fn terminate(&self) {
        self.control.try_send(Control::Terminate).expect("the proxy listens");
    }

    /// A client's new connection.
    pub async fn client(&self) -> Peer {
        Peer::connect(self.front).await
    }
}

/// The settings of the proxy under test.
const SETTINGS: &str =
    "node: n\nrole: r\nip: 127.0.0.1\ninner-ports: [1, 2]\nseeds: [\"127.0.0.1:1\"]\nzone: z\n\
    caps: {open-files: 400, memory-mb: 100}\n\
    bounds: {grace-s: 8, retry-ratio: 10, retry-window-s: 10, extra-tries: 50, version-ms: 6000}\n";

fn settings(text: &str) -> ProcessSettings {
    ProcessSettings::read(text).expect("sound settings")
}

/// A whole configuration as a message.
pub fn whole(json: &str) -> peer::Configuration {
    let version = json.split("\"version\":").nth(1).and_then(|rest| rest.split(',').next());
    let version = version.and_then(|digits| digits.parse().ok()).expect("a version");
    peer::Configuration { base: 0, version, body: json.as_bytes().to_vec().into() }
}

/// The next message of the proxy.
pub async fn next_message(link: &mut TcpStream) -> Message {
    let mut reader = FrameReader::default();
    loop {
        if let Some(message) = reader.next_message().expect("sound") {
            return message;
        }
        let mut byte = [0];
        link.read_exact(&mut byte).await.expect("linked");
        reader.push(&byte);
    }
}

/// A replica that does what the test says.
pub struct Replica {
    listener: TcpListener,
    pub id: String,
}

impl Replica {
    pub async fn new(id: &str) -> Replica {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
        Replica { listener, id: id.into() }
    }

    /// One whose sockets hold little, so that a caller can't write a long request before it is read.
    pub fn with_small_buffers(id: &str) -> Replica {
        const BUFFER_BYTES: u32 = 64 * 1024;
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_recv_buffer_size(BUFFER_BYTES).expect("settable");
        socket.bind((Ipv4Addr::LOCALHOST, 0).into()).expect("a free port");
        Replica { listener: socket.listen(16).expect("bound"), id: id.into() }
    }

    /// What the fleet tells of it.
    pub fn record(&self) -> ReplicaRecord {
        record(&self.id, self.address())
    }

    pub fn address(&self) -> SocketAddrV4 {
        match self.listener.local_addr().expect("bound") {
            SocketAddr::V4(address) => address,
            SocketAddr::V6(_) => unreachable!("bound to IPv4"),
        }
    }

    /// The next connection.
    pub async fn accept(&self) -> Peer {
        let (stream, _) = self.listener.accept().await.expect("a connection");
        Peer::new(stream)
    }

    /// The next connection and its first request.
    pub async fn request(&self) -> (Peer, Request) {
        let mut peer = self.accept().await;
        let request = peer.request().await;
        (peer, request)
    }
}

/// A ready replica's record.
pub fn record(id: &str, address: SocketAddrV4) -> ReplicaRecord {
    let models = vec![ModelVersion { name: MODEL.into(), version: 1 }];
    let mut record = ReplicaRecord::new(id, "s", address.into(), "z").with_models(models);
    (record.free_slots, record.beat, record.state) = (4, 1, ReplicaState::Ready);
    record
}

/// A replica, a proxy that knows it, and a client.
pub async fn with_one_replica() -> (Replica, Fixture, Peer) {
    let replica = Replica::new("i-1").await;
    let fixture = Fixture::new(&[&replica]).await;
    let client = fixture.client().await;
    (replica, fixture, client)
}

/// Two replicas, a proxy that knows them, and a client.
pub async fn with_two_replicas() -> (Replica, Replica, Fixture, Peer) {
    let (one, two) = (Replica::new("i-1").await, Replica::new("i-2").await);
    let fixture = Fixture::new(&[&one, &two]).await;
    let client = fixture.client().await;
    (one, two, fixture, client)
}

/// Whichever of two replicas gets a request first, then the other one.
pub async fn first_of<'a>(one: &'a Replica, two: &'a Replica) -> (Peer, Request, &'a Replica) {
    tokio::select! {
        (peer, request) = one.request() => (peer, request, two),
        (peer, request) = two.request() => (peer, request, one),
    }
}

/// One side of a connection on which what comes must be sound.
pub struct Peer(Wire);

impl Peer {
    pub fn new(stream: TcpStream) -> Peer {
        Peer(Wire::new(stream))
    }

    pub async fn connect(address: SocketAddr) -> Peer {
        Peer(Wire::connect(address).await.expect("somebody listens"))
    }

    /// The connection itself, for a test on which anything may come.
    pub fn into_wire(self) -> Wire {
        self.0
    }

    pub async fn write(&mut self, text: impl AsRef<[u8]>) {
        assert!(self.0.write(text).await, "the connection is open");
    }

    /// Writes; false once the connection has ended.
    pub async fn write_or_end(&mut self, text: impl AsRef<[u8]>) -> bool {
        self.0.write(text).await
    }

    /// Reads more and keeps its last bytes alone; false at the end.
    pub async fn skip(&mut self) -> bool {
        const KEPT: usize = 16;
        let more = self.0.more().await;
        let skipped = self.0.input().len().saturating_sub(KEPT);
        self.0.take(skipped);
        more
    }

    /// Waits for the connection's end.
    pub async fn ended(&mut self) {
        while self.0.more().await {}
    }

    /// Resets the connection.
    pub fn reset(self) {
        self.0.reset();
    }

    pub async fn request(&mut self) -> Request {
        self.0.request().await.expect("a sound and whole request")
    }

    /// The connection, to be used on another thread.
    pub fn into_std(self) -> std::net::TcpStream {
        self.0.into_std().expect("a socket")
    }

    /// A connection that was used on another thread.
    pub fn from_std(stream: std::net::TcpStream) -> Peer {
        Peer(Wire::from_std(stream).expect("a socket"))
    }

    /// The head of the next request; its body stays unread.
    pub async fn request_head(&mut self) -> RequestHead {
        self.0.request_head().await.expect("a sound request")
    }

    /// The head of the next answer.
    pub async fn head(&mut self) -> ResponseHead {
        self.0.head().await.expect("a sound answer")
    }

    /// The next answer, whole.
    pub async fn answer(&mut self) -> (ResponseHead, String) {
        let (head, body) = self.answer_or_cut().await;
        (head, body.expect("a whole body"))
    }

    /// The next answer; no body if it was cut off.
    pub async fn answer_or_cut(&mut self) -> (ResponseHead, Option<String>) {
        let Answer { head, body } = self.0.answer().await.expect("a sound answer");
        assert_ne!(head.framing, ResponseFraming::UntilClose, "no framing");
        (head, body.map(|body| String::from_utf8(body).expect("text")))
    }

    /// Waits until so much text has come, and takes it.
    pub async fn text(&mut self, expected: &str) {
        while self.0.input().len() < expected.len() {
            let more = self.0.more().await;
            assert!(more, "the connection ended within {:?}", String::from_utf8_lossy(self.0.input()));
        }
        let come = self.0.take(expected.len());
        assert_eq!(String::from_utf8_lossy(&come), expected);
    }

    /// Whether what has come and was not taken holds this text.
    pub fn has_text(&self, text: &str) -> bool {
        self.0.input().windows(text.len()).any(|window| window == text.as_bytes())
    }

    /// Whether anything has come that was not taken.
    pub fn has_rest(&self) -> bool {
        !self.0.input().is_empty()
    }
}

/// A request of a client to a route of [`CONFIGURATION`].
pub fn ask(route: &str, id: &str, more: &str) -> String {
    format!(
        "POST /{route}/x?y=1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\nDeadline-Left: 4000\r\n\
         Authorization: Bearer {KEY}\r\n{more}Content-Length: 4\r\n\r\nbody"
    )
}

/// A sound answer of a replica.
pub fn success(id: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: seal-{id}\r\nKeep-Alive: timeout=9\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// The head of a stream.
pub fn stream_head(id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: seal-{id}\r\nContent-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    )
}

/// Has a replica begin a stream, and waits until its client has the first event.
pub async fn begin_stream(replica: &mut Peer, client: &mut Peer, id: &str) {
    replica.write(stream_head(id) + &event(1)).await;
    client.head().await;
    client.text(&event(1)).await;
}

/// An event of a stream, as a chunk.
pub fn event(id: u32) -> String {
    let event = event_text(id);
    format!("{:x}\r\n{event}\r\n", event.len())
}

/// An event's text.
pub fn event_text(id: u32) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

/// The end of a stream.
pub const LAST_CHUNK: &str = "0\r\n\r\n";

/// A replica's refusal with proof.
pub fn not_run(id: &str) -> String {
    format!("HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
}
