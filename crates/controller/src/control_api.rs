//! Sockets of the control API: reads calls, hands them over as commands, writes the answers.

use process::Event;
use std::sync::Arc;
use std::time::Duration;

use http::{Bad, BodyReader, HeadError, RequestHead, Response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, Semaphore};
use tokio::time::timeout;

use crate::command::{decode, too_large, Call, Command, Reply, MOST_BODY_BYTES};
use crate::event::ControllerEvent;

/// Longest head of a call, bytes.
const MOST_HEAD_BYTES: usize = 16 * 1024;
/// Room for bytes read at a time. A heartbeat fits; connections that rest give it back.
const READ_BYTES: usize = 2 * 1024;
/// Connections open at a time: what descriptors allow (4,096 on the machines known) less those for links, for the events
/// of replicas and for the disk.
const MOST_CONNECTIONS: usize = 2_400;
/// With more than this many open, each is closed after its answer, so that those of replicas which call elsewhere by now
/// never keep an operator out.
const KEPT_CONNECTIONS: usize = 1_200;
/// A connection without a call for so long is closed, and so is one whose call comes slower.
const IDLE: Duration = Duration::from_secs(10);
/// A command ends within this.
const LONGEST_COMMAND: Duration = Duration::from_secs(5);

/// A command on its way, with where its answer goes.
#[derive(Debug)]
pub struct Issued {
    pub command: Command,
    pub answer: oneshot::Sender<Reply>,
}

/// Why a connection can't go on.
enum Broken {
    Closed,
    Refused(Reply),
}

impl From<std::io::Error> for Broken {
    fn from(_: std::io::Error) -> Broken {
        Broken::Closed
    }
}

impl From<HeadError> for Broken {
    fn from(why: HeadError) -> Broken {
        Broken::Refused(Reply::refusal(400, &why.to_string()))
    }
}

impl From<Bad> for Broken {
    fn from(why: Bad) -> Broken {
        match why {
            Bad::TooLarge => Broken::Refused(too_large()),
            _ => Broken::Refused(Reply::refusal(400, "the body's framing is broken; send it with a length")),
        }
    }
}

/// Serves the control API for as long as somebody takes commands.
pub async fn serve(listener: TcpListener, commands: mpsc::Sender<Issued>) {
    let room = Arc::new(Semaphore::new(MOST_CONNECTIONS));
    loop {
        let Ok(permit) = Arc::clone(&room).acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => {
                let (commands, room) = (commands.clone(), Arc::clone(&room));
                tokio::spawn(async move {
                    Connection::new(stream, commands, room).run().await;
                    drop(permit);
                });
            }
            Err(why) => {
                ControllerEvent::CallRefused.warn(format_args!("control API: no connection taken: {why}"));
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

struct Connection {
    stream: TcpStream,
    commands: mpsc::Sender<Issued>,
    /// The connections that may still be opened, of [`MOST_CONNECTIONS`].
    room: Arc<Semaphore>,
    buffer: Vec<u8>,
}

impl Connection {
    fn new(stream: TcpStream, commands: mpsc::Sender<Issued>, room: Arc<Semaphore>) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, commands, room, buffer: Vec::new() }
    }

    /// Whether too many connections are open for this one to rest.
    fn is_crowded(&self) -> bool {
        self.room.available_permits() < MOST_CONNECTIONS - KEPT_CONNECTIONS
    }

    async fn run(mut self) {
        loop {
            let done = match timeout(IDLE, self.read_call()).await {
                Ok(Ok((head, body))) => {
                    let reply = self.answer(&head, &body).await;
                    if self.buffer.is_empty() {
                        self.buffer = Vec::new();
                    }
                    let close = head.close || self.is_crowded();
                    self.write(&reply, close).await.is_err() || close
                }
                Ok(Err(Broken::Refused(reply))) => {
                    let _ = self.write(&reply, true).await;
                    true
                }
                Ok(Err(Broken::Closed)) | Err(_) => true,
            };
            if done {
                return;
            }
        }
    }

    async fn read_call(&mut self) -> Result<(RequestHead, Vec<u8>), Broken> {
        let head = loop {
            if let Some((head, length)) = RequestHead::read(&self.buffer, MOST_HEAD_BYTES)? {
                self.buffer.drain(..length);
                break head;
            }
            self.read_some().await?;
        };
        if head.lines.get("expect").is_some() {
            self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
        }
        let mut reader = BodyReader::new(head.framing);
        let mut body = Vec::new();
        loop {
            let used = reader.read(&self.buffer, &mut body)?;
            self.buffer.drain(..used);
            if body.len() > MOST_BODY_BYTES {
                return Err(Broken::Refused(too_large()));
            }
            if reader.is_done() {
                return Ok((head, body));
            }
            self.read_some().await?;
        }
    }

    async fn read_some(&mut self) -> Result<(), Broken> {
        self.buffer.reserve(READ_BYTES);
        match self.stream.read_buf(&mut self.buffer).await? {
            0 => Err(Broken::Closed),
            _ => Ok(()),
        }
    }

    async fn answer(&self, head: &RequestHead, body: &[u8]) -> Reply {
        let based_on = head.lines.get("based-on");
        let command = match decode(Call { method: head.method(), path: head.path(), based_on, body }) {
            Ok(command) => command,
            Err(reply) => return reply,
        };
        let (answer, answered) = oneshot::channel();
        let ending = || Reply::later(503, "this controller ends; call another", 0);
        if self.commands.send(Issued { command, answer }).await.is_err() {
            return ending();
        }
        match timeout(LONGEST_COMMAND, answered).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(_)) => ending(),
            Err(_) => Reply::later(504, "no answer in time; unclear whether the call took effect", 0),
        }
    }

    async fn write(&mut self, reply: &Reply, close: bool) -> std::io::Result<()> {
        let body = String::from_utf8_lossy(&reply.body);
        let response = Response::new(reply.status, body).after(reply.retry_after_ms.map(|ms| ms as f64));
        self.stream.write_all(&response.bytes(close)).await
    }
}
