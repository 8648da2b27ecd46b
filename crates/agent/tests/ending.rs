//! How an agent ends: whom it waits for, and over sockets.

use agent::ending::Ending;
use agent::program::run;
use agent::AgentError;
use links::{LinkError, LinkId};
use peer::{
    encode, Address, FrameReader, Hello, Message, ReplicaRecord, ReplicaState, Replicas, Role, PROTOCOL,
};
use process::Control;
use settings::ProcessSettings;
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Longer than the grace of a test's agent.
const LONG: Duration = Duration::from_secs(20);

/// Milliseconds from SIGTERM to the agent's own end.
const PATIENCE: u64 = 3_700;

/// A proxy that was frozen while its agent restarted has an old configuration and no link. It serves once it thaws, and
/// is told what is new only by an agent that is still there.
#[test]
fn an_agent_waits_for_a_proxy_that_has_not_linked_in_its_life() {
    let mut ending = Ending::default();
    ending.told_to_end(1_000, PATIENCE);
    assert!(!ending.is_over(1_000), "the proxy may be frozen");
    ending.proxy_linked(LinkId(1));
    assert!(!ending.is_over(2_000));
    ending.proxy_lost(LinkId(1), LinkError::Closed.is_by_peer());
    assert!(ending.is_over(2_001), "the proxy has ended");
}

/// A link that broke without the proxy's doing says nothing of its end.
#[test]
fn an_agent_waits_for_a_proxy_whose_link_broke() {
    let timed_out = LinkError::Socket(std::io::ErrorKind::TimedOut.into());
    for why in [timed_out, LinkError::Silent, LinkError::Dropped] {
        let mut ending = Ending::default();
        ending.proxy_linked(LinkId(1));
        ending.proxy_lost(LinkId(1), why.is_by_peer());
        ending.told_to_end(1_000, PATIENCE);
        assert!(!ending.is_over(1_000), "{why}");
    }
}

/// A proxy that has ended, in order or by a kill, holds nobody up.
#[test]
fn an_agent_whose_proxy_has_ended_ends_at_once() {
    let reset = LinkError::Socket(std::io::ErrorKind::ConnectionReset.into());
    for why in [LinkError::Closed, reset] {
        let mut ending = Ending::default();
        ending.proxy_linked(LinkId(1));
        ending.proxy_lost(LinkId(1), why.is_by_peer());
        assert!(!ending.is_over(900), "nobody told it to end");
        ending.told_to_end(1_000, PATIENCE);
        assert!(ending.is_over(1_000), "{why}");
    }
}

/// A new process of the proxy may link before the end of the former one's link is seen.
#[test]
fn an_agent_waits_for_the_newer_of_two_proxies() {
    let mut ending = Ending::default();
    ending.proxy_linked(LinkId(1));
    ending.proxy_linked(LinkId(2));
    ending.told_to_end(1_000, PATIENCE);
    ending.proxy_lost(LinkId(1), true);
    assert!(!ending.is_over(1_500));
    ending.proxy_lost(LinkId(2), true);
    assert!(ending.is_over(1_501));
}

/// Whoever may be waited for, the agent goes before the platform kills it, and a second SIGTERM moves nothing.
#[test]
fn an_agent_ends_within_its_grace_whoever_is_missing() {
    let mut ending = Ending::default();
    ending.told_to_end(1_000, PATIENCE);
    ending.told_to_end(2_000, PATIENCE);
    assert_eq!(ending.deadline(), Some(1_000 + PATIENCE));
    assert!(!ending.is_over(999 + PATIENCE));
    assert!(ending.is_over(1_000 + PATIENCE));
}

/// A controller's listener, and a free port above its own for the agent.
async fn ports() -> (TcpListener, u16) {
    let listen = || async { TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port") };
    let (one, other) = (listen().await, listen().await);
    let port = |listener: &TcpListener| listener.local_addr().expect("bound").port();
    let (first, last) = if port(&one) < port(&other) { (one, other) } else { (other, one) };
    let last = port(&last);
    (first, last)
}

/// An agent whose only seed is the controller at `inner_port` of 127.0.0.1; `grace` is in seconds.
fn settings(inner_port: u16, agent_port: u16, grace: u64) -> ProcessSettings {
    let text = format!(
        "node: edge-1\nrole: agent\nip: 127.0.0.1\nzone: z\ninner-ports: [{inner_port}, {agent_port}]\n\
         seeds: [\"127.0.0.1:1\"]\nbounds: {{grace-s: {grace}}}\n"
    );
    ProcessSettings::read(&text).expect("sound settings")
}

fn hello(role: Role) -> Message {
    Message::Hello(Hello {
        protocol: PROTOCOL,
        role,
        machine: "m".into(),
        zone: "z".into(),
        incarnation: 1,
        address: Address::NONE,
        configuration: 0,
    })
}

async fn send(link: &mut TcpStream, message: Message) {
    link.write_all(&encode(&message).expect("short")).await.expect("linked");
}

/// Reads until a message of replicas has come.
async fn replicas(link: &mut TcpStream) -> Replicas {
    let mut reader = FrameReader::default();
    loop {
        while let Some(message) = reader.next_message().expect("sound") {
            if let Message::Replicas(replicas) = message {
                return replicas;
            }
        }
        let mut room = [0; 4_096];
        let count = link.read(&mut room).await.expect("linked");
        assert!(count > 0, "the agent has ended");
        reader.push(&room[..count]);
    }
}

async fn dial(address: SocketAddrV4) -> TcpStream {
    loop {
        if let Ok(stream) = TcpStream::connect(address).await {
            return stream;
        }
        tokio::task::yield_now().await;
    }
}

/// An agent in service, with the other ends of its links. Its proxy knows one replica, `i-1`.
struct InService {
    agent: JoinHandle<Result<(), AgentError>>,
    tell: mpsc::Sender<Control>,
    controller: TcpStream,
    proxy: TcpStream,
}

impl InService {
    /// `grace` is in seconds.
    async fn start(grace: u64) -> InService {
        let (listener, agent_port) = ports().await;
        let settings = settings(listener.local_addr().expect("bound").port(), agent_port, grace);
        let at = settings.agent_address();
        let (tell, control) = mpsc::channel(4);
        let agent = tokio::spawn(run(settings, control));
        let (mut controller, _) = listener.accept().await.expect("the agent's link");
        let mut proxy = dial(at).await;
        send(&mut proxy, hello(Role::Proxy)).await;
        send(&mut controller, hello(Role::Controller)).await;
        send(&mut controller, Message::Replicas(Replicas::from(vec![replica()]))).await;
        assert_eq!(replicas(&mut proxy).await.records.len(), 1);
        InService { agent, tell, controller, proxy }
    }

    async fn terminate(&self) {
        self.tell.send(Control::Terminate).await.expect("the agent listens");
        while self.tell.capacity() < self.tell.max_capacity() {
            tokio::task::yield_now().await;
        }
    }

    /// Waits until the agent has ended by itself.
    async fn ended(agent: JoinHandle<Result<(), AgentError>>) {
        let ended = timeout(LONG, agent).await.expect("it ends by itself");
        ended.expect("no panic").expect("an orderly end");
    }
}

fn replica() -> ReplicaRecord {
    ReplicaRecord::new("i-1", "s", SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1).into(), "z")
}

fn play(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(test);
}

/// A machine that is told to end ends as a whole: its proxy serves for seconds, and hears what is new to the last.
#[test]
fn an_agent_that_is_told_to_end_serves_its_proxy_to_the_last() {
    play(async {
        let mut machine = InService::start(30).await;
        machine.terminate().await;
        let mut drains = replica();
        (drains.state, drains.beat) = (ReplicaState::Draining, drains.beat + 1);
        send(&mut machine.controller, Message::Replicas(Replicas::from(vec![drains]))).await;
        let told = replicas(&mut machine.proxy).await;
        assert_eq!(told.records[0].state, ReplicaState::Draining);
        assert!(!machine.agent.is_finished());
        drop(machine.proxy);
        InService::ended(machine.agent).await;
    });
}

/// A proxy that hangs does not keep its agent until the platform kills it.
#[test]
fn an_agent_whose_proxy_stays_ends_within_its_grace() {
    play(async {
        let machine = InService::start(1).await;
        machine.terminate().await;
        InService::ended(machine.agent).await;
        drop(machine.proxy);
    });
}

/// The same over sockets: told to end before its proxy has linked, it tells the proxy all that it knows.
#[test]
fn an_agent_that_is_told_to_end_before_its_proxy_links_serves_it() {
    play(async {
        let (listener, agent_port) = ports().await;
        let settings = settings(listener.local_addr().expect("bound").port(), agent_port, 30);
        let at = settings.agent_address();
        let (tell, control) = mpsc::channel(4);
        let agent = tokio::spawn(run(settings, control));
        let (mut controller, _) = listener.accept().await.expect("the agent's link");
        send(&mut controller, hello(Role::Controller)).await;
        tell.send(Control::Terminate).await.expect("the agent listens");
        while tell.capacity() < tell.max_capacity() {
            tokio::task::yield_now().await;
        }
        send(&mut controller, Message::Replicas(Replicas::from(vec![replica()]))).await;
        let mut proxy = timeout(LONG, dial(at)).await.expect("the agent is still there");
        send(&mut proxy, hello(Role::Proxy)).await;
        assert_eq!(replicas(&mut proxy).await.records.len(), 1);
        drop(proxy);
        InService::ended(agent).await;
    });
}
