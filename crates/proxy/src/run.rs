//! The process: its sockets, signals and tasks.

use crate::connection::tune;
use crate::error::ProxyError;
use crate::event::ProxyEvent;
use crate::executor::{Executor, Spawner};
use crate::lifecycle::Phase;
use crate::shared::Shared;
use crate::{client, link, readiness};
use dispatch::Mechanisms;
use process::{Control, Event};
use settings::ProcessSettings;
use std::hash::{BuildHasher, Hasher};
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{mpsc, Notify, Semaphore};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout};

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;
/// Descriptors that are no sockets of clients or replicas.
const RESERVED_FILES: u64 = 256;
/// How often the phase of life is looked at once the process ends.
const ENDING_STEP: Duration = Duration::from_millis(50);
/// How often resting connections are cleaned up.
const CLEANING: Duration = Duration::from_secs(1);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Where a proxy listens, and where its agent does.
#[derive(Debug)]
pub struct Sockets {
    /// For clients.
    pub front: TcpListener,
    /// For the platform's questions.
    pub ready: TcpListener,
    /// The agent.
    pub agent: SocketAddrV4,
}

/// What no settings file tells.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tuning {
    /// The part of a service's requests that may get a twin.
    pub twin_part: f64,
    /// How long after the start clients' connections wait to be accepted while the view of the fleet is not complete.
    pub start_patience: Duration,
    /// The mechanisms of the decisions that are on.
    pub mechanisms: Mechanisms,
}

impl Default for Tuning {
    /// When a whole fleet starts anew, its configuration is there
    /// after about a second; who is refused before that comes back too early.
    fn default() -> Tuning {
        Tuning {
            twin_part: dispatch::MOST_TWINS,
            start_patience: Duration::from_millis(1_500),
            mechanisms: Mechanisms::default(),
        }
    }
}

/// Runs the proxy until SIGTERM and what is under way has ended.
///
/// # Errors
/// Tells why it can't run.
pub fn run(settings: ProcessSettings, mechanisms: Mechanisms) -> Result<(), ProxyError> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(ProxyError::Runtime)?;
    let tasks = LocalSet::new();
    tasks.block_on(&runtime, async move {
        let sockets = listen(&settings)?;
        let tuning = Tuning { mechanisms, ..Tuning::default() };
        serve(settings, sockets, tuning, process::signals()).await;
        Ok(())
    })
}

fn listen(settings: &ProcessSettings) -> Result<Sockets, ProxyError> {
    let front = settings.listen_on.front.ok_or(ProxyError::NoAddress("listen-on.front"))?;
    let ready = settings.listen_on.ready.ok_or(ProxyError::NoAddress("listen-on.ready"))?;
    let agent = settings.agent_address();
    Ok(Sockets { front: listener(front)?, ready: listener(ready)?, agent })
}

fn listener(address: SocketAddr) -> Result<TcpListener, ProxyError> {
    let listen = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    listen().map_err(|why| ProxyError::Listen(address, why))
}

/// Serves on these sockets until it is told to end and what is under way has ended. Must run in a [`LocalSet`].
pub async fn serve(
    settings: ProcessSettings,
    sockets: Sockets,
    tuning: Tuning,
    mut control: mpsc::Receiver<Control>,
) {
    let seed = std::hash::RandomState::new().build_hasher().finish();
    let most_clients = settings.caps.open_files.saturating_sub(RESERVED_FILES) / 2;
    let shared = Rc::new(Shared::new(settings, seed));
    shared.view.borrow_mut().dispatcher.set_twin_part(tuning.twin_part);
    shared.view.borrow_mut().dispatcher.set_mechanisms(tuning.mechanisms);
    let Sockets { front, ready, agent } = sockets;
    for listener in [&front, &ready] {
        if let Err(why) = tune(listener) {
            ProxyEvent::AcceptFailed.warn(format_args!("without options: {why}"));
        }
    }
    let addresses = (front.local_addr().ok(), ready.local_addr().ok());
    ProxyEvent::Listening.info(format_args!("front {:?}, ready {:?}", addresses.0, addresses.1));
    let permits = Arc::new(Semaphore::new(usize::try_from(most_clients).unwrap_or(usize::MAX).max(1)));
    let front_closed = Rc::new(Notify::new());
    spawn_local(link::keep(shared.clone(), agent, seed));
    let executor = Executor::new(shared.run_queue.clone());
    let clients = Clients { permits, patience: tuning.start_patience, closed: front_closed.clone() };
    executor.spawner().spawn(|_| accept_clients(shared.clone(), front, clients, executor.spawner()));
    spawn_local(executor.run());
    spawn_local(accept_askers(shared.clone(), ready));
    spawn_local(clean(shared.clone()));
    while let Some(Control::Reload(settings)) = control.recv().await {
        shared.take_settings(*settings);
        ProxyEvent::SettingsRead.info(format_args!("bounds are in force"));
    }
    ProxyEvent::Ending.info(format_args!("{} requests under way", shared.under_way.get()));
    shared.end();
    while shared.phase() != Phase::Over {
        if shared.phase() == Phase::Finishing {
            front_closed.notify_one();
        }
        sleep(ENDING_STEP).await;
        shared.phase_changed.notify_waiters();
    }
    ProxyEvent::Ended.info(format_args!("{} requests under way", shared.under_way.get()));
}

/// How clients' connections are accepted.
struct Clients {
    /// One for each connection.
    permits: Arc<Semaphore>,
    /// How long they wait at first while the view of the fleet is not complete.
    patience: Duration,
    /// No more are accepted.
    closed: Rc<Notify>,
}

async fn accept_clients(shared: Rc<Shared>, front: TcpListener, clients: Clients, spawner: Spawner) {
    let Clients { permits, patience, closed } = clients;
    // Until then connections wait in the listener's queue, unread.
    let _ = timeout(patience, shared.view_complete()).await;
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        let accepted = tokio::select! {
            accepted = front.accept() => accepted,
            () = closed.notified() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let shared = shared.clone();
                spawner.spawn(|task| async move {
                    client::serve(shared, stream, task).await;
                    drop(permit);
                });
            }
            Err(why) => {
                shared.event_limit.warn(shared.now(), ProxyEvent::AcceptFailed, format_args!("{why}"));
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn accept_askers(shared: Rc<Shared>, ready: TcpListener) {
    loop {
        match ready.accept().await {
            Ok((stream, _)) => drop(spawn_local(readiness::serve(shared.clone(), stream))),
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn clean(shared: Rc<Shared>) {
    loop {
        sleep(CLEANING).await;
        let view = shared.view.borrow();
        shared.pool.borrow_mut().clean(shared.now(), |replica| view.is_ready(replica));
    }
}
