//! One connection, from its start to its end.

use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use peer::{FrameError, FrameReader, Message};
use quick_error::quick_error;
use socket2::TcpKeepalive;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Batches of messages that may wait in an outbox.
const OUTBOX_BATCHES: usize = 64;
/// Rest of a link after which the system probes the peer.
const PROBE_AFTER: Duration = Duration::from_secs(3);
/// Time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer that end a link.
const PROBES: u32 = 3;
/// Room for bytes read at a time.
const READ_BYTES: usize = 16 * 1024;

/// Tells links of one process apart, also those to the same peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

impl LinkId {
    /// An id that no link of this process had before.
    pub(crate) fn next() -> LinkId {
        static NEXT: AtomicU64 = AtomicU64::new(1);
        LinkId(NEXT.fetch_add(1, Ordering::Relaxed))
    }
}

quick_error! {
    /// Why a link ended.
    #[derive(Debug)]
    pub enum LinkError {
        Socket(why: std::io::Error) {
            display("connection failed: {}; it is dialled again", why)
            source(why)
            from()
        }
        Frame(why: FrameError) {
            display("{}", why)
            source(why)
            from()
        }
        Closed {
            display("the peer closed the connection; it is dialled again")
        }
        Silent {
            display("the peer was silent for too long; it is dialled again")
        }
        Dropped {
            display("this side dropped the link")
        }
    }
}

impl LinkError {
    /// Whether the peer's process closed the connection, as a process that ends does.
    pub fn is_by_peer(&self) -> bool {
        use std::io::ErrorKind;
        match self {
            LinkError::Closed => true,
            LinkError::Socket(why) => {
                matches!(why.kind(), ErrorKind::ConnectionReset | ErrorKind::BrokenPipe)
            }
            LinkError::Frame(_) | LinkError::Silent | LinkError::Dropped => false,
        }
    }
}

quick_error! {
    /// A batch was not taken.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum OutboxFull {
        Full {
            display("the peer does not read; drop the link, the peer then takes a snapshot")
        }
    }
}

/// Times of a link.
#[derive(Debug, Clone, Copy)]
pub struct LinkTiming {
    /// Longest time that sent bytes may stay without an acknowledgement.
    pub unacknowledged: Duration,
    /// Longest silence of a peer that has to speak; `None` if it need not.
    pub silence: Option<Duration>,
}

/// What happens to a link.
#[derive(Debug)]
pub enum LinkEvent {
    /// It is there. `dialed` is the address that this side dialled; `None` if the peer dialled.
    Up {
        link: LinkId,
        dialed: Option<SocketAddrV4>,
        outbox: Outbox,
    },
    Message {
        link: LinkId,
        message: Box<Message>,
    },
    /// All batches given to the outbox so far are with the system.
    Flushed {
        link: LinkId,
    },
    Down {
        link: LinkId,
        why: LinkError,
    },
}

/// Where messages for a link's peer go. Dropping it ends the link.
#[derive(Debug)]
pub struct Outbox {
    batches: mpsc::Sender<Vec<u8>>,
}

impl Outbox {
    /// Puts messages on their way, all or none.
    ///
    /// # Errors
    /// The peer reads too slowly, or the link has ended.
    pub fn send(&self, messages: &[Message]) -> Result<(), OutboxFull> {
        let mut batch = Vec::new();
        for message in messages {
            // A message that fits no frame can't be sent to anyone; the peer asks again for what it misses.
            batch.extend(peer::encode(message).unwrap_or_default());
        }
        self.batches.try_send(batch).map_err(|_| OutboxFull::Full)
    }
}

/// Runs a link that the peer dialled, until it ends.
pub async fn accept(stream: TcpStream, timing: LinkTiming, events: mpsc::Sender<LinkEvent>) {
    let _ = run(stream, None, timing, &events).await;
}

/// Runs a link until it ends. An error means that nobody takes events any more.
pub(crate) async fn run(
    stream: TcpStream,
    dialed: Option<SocketAddrV4>,
    timing: LinkTiming,
    events: &mpsc::Sender<LinkEvent>,
) -> Result<(), mpsc::error::SendError<LinkEvent>> {
    let link = LinkId::next();
    let (sender, batches) = mpsc::channel(OUTBOX_BATCHES);
    events.send(LinkEvent::Up { link, dialed, outbox: Outbox { batches: sender } }).await?;
    let why = match prepare(&stream, timing) {
        Ok(()) => {
            let (reader, writer) = stream.into_split();
            tokio::select! {
                why = read(link, reader, timing, events) => why,
                why = write(link, writer, batches, events) => why,
            }
        }
        Err(why) => LinkError::Socket(why),
    };
    events.send(LinkEvent::Down { link, why }).await
}

fn prepare(stream: &TcpStream, timing: LinkTiming) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    // A peer that has vanished is noticed also on a link that only it sends on.
    let probes =
        TcpKeepalive::new().with_time(PROBE_AFTER).with_interval(PROBE_INTERVAL).with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(timing.unacknowledged))
}

async fn read(
    link: LinkId,
    mut reader: OwnedReadHalf,
    timing: LinkTiming,
    events: &mpsc::Sender<LinkEvent>,
) -> LinkError {
    let mut frames = FrameReader::default();
    let mut bytes = vec![0; READ_BYTES];
    loop {
        match read_some(&mut reader, &mut bytes, timing.silence).await {
            Ok(length) => frames.push(&bytes[..length]),
            Err(why) => return why,
        }
        loop {
            let message = match frames.next_message() {
                Ok(Some(message)) => Box::new(message),
                Ok(None) => break,
                Err(why) => return why.into(),
            };
            if events.send(LinkEvent::Message { link, message }).await.is_err() {
                return LinkError::Dropped;
            }
        }
    }
}

async fn read_some(
    reader: &mut OwnedReadHalf,
    bytes: &mut [u8],
    silence: Option<Duration>,
) -> Result<usize, LinkError> {
    let read = reader.read(bytes);
    let length = match silence {
        Some(silence) => tokio::time::timeout(silence, read).await.map_err(|_| LinkError::Silent)??,
        None => read.await?,
    };
    if length == 0 {
        return Err(LinkError::Closed);
    }
    Ok(length)
}

async fn write(
    link: LinkId,
    mut writer: OwnedWriteHalf,
    mut batches: mpsc::Receiver<Vec<u8>>,
    events: &mpsc::Sender<LinkEvent>,
) -> LinkError {
    while let Some(batch) = batches.recv().await {
        if let Err(why) = writer.write_all(&batch).await {
            return why.into();
        }
        if batches.is_empty() && events.send(LinkEvent::Flushed { link }).await.is_err() {
            return LinkError::Dropped;
        }
    }
    LinkError::Dropped
}
