//! A client's connection: requests one after the other, within the limits of the configuration.

use crate::answer::own;
use crate::connection::Connection;
use crate::ending::Ending;
use crate::event::ProxyEvent;
use crate::exchange::Exchange;
use crate::executor::Task;
use crate::lifecycle::Phase;
use crate::plan::Plan;
use crate::shared::{BodyRoom, Shared, UnderWay};
use http::{BodyReader, Framing, HeadError, RequestHead};
use process::Event;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};

/// Bodies up to this length take no reserved memory, bytes.
const SMALL_BODY: usize = 16 * 1024;
/// When to come back while there is no configuration or no memory, ms.
const COME_BACK: f64 = 300.0;

/// A whole request.
struct Request {
    head: RequestHead,
    body: Vec<u8>,
    /// When its last byte came, read or not, and the answer before it on its connection had ended.
    came: Instant,
    /// From then to its being read whole.
    read_lag: Duration,
    /// Memory reserved for the body.
    _room: Vec<BodyRoom>,
}

/// Why no request was read.
enum Unread {
    /// The client has left, or rested too long: nothing is due.
    Gone,
    /// An answer is due, and the connection ends with it.
    Refused { status: u16, retry_after: Option<f64> },
}

impl From<u16> for Unread {
    fn from(status: u16) -> Unread {
        Unread::Refused { status, retry_after: None }
    }
}

/// Serves a client's connection to its end.
pub(crate) async fn serve(shared: Rc<Shared>, stream: TcpStream, task: Task) {
    let mut client = Connection::accepted(stream);
    let mut last_ended = None;
    loop {
        match read(&shared, &mut client, last_ended).await {
            Ok(request) => {
                let under_way = UnderWay::new(&shared);
                let close = request.head.close || shared.phase() != Phase::Serving;
                let ending = answer(&shared, &mut client, &request, close, &task).await;
                under_way.end(ending);
                last_ended = Some(Instant::now());
                if !ending.is_whole() {
                    return;
                }
                if close {
                    return client.close_gently().await;
                }
            }
            Err(Unread::Gone) => return,
            Err(Unread::Refused { status, retry_after }) => {
                shared.event_limit.warn(
                    shared.now(),
                    ProxyEvent::ClientMalformed,
                    format_args!("answered {status}"),
                );
                if client.write(&own(status, retry_after, None, true)).await.is_ok() {
                    client.close_gently().await;
                }
                return;
            }
        }
    }
}

/// Answers one request; tells how it ended.
async fn answer(
    shared: &Rc<Shared>,
    client: &mut Connection,
    request: &Request,
    close: bool,
    task: &Task,
) -> Ending {
    let head = &request.head;
    let Some(in_force) = shared.view.borrow().in_force() else {
        return refuse(client, &own(503, Some(COME_BACK), head.lines.get("attempt-id"), close)).await;
    };
    let came = shared.time(request.came);
    let planned = Plan::new(head, &in_force, came, &mut shared.random.borrow_mut());
    match planned {
        Ok(plan) => {
            let deadline = shared.instant(plan.ask.deadline);
            task.begin_request(deadline);
            let is_there = admitted(client, task, deadline).await;
            let mut exchange = Exchange::new(shared, client, (head, &request.body), &plan, task, close);
            let ending = if is_there { exchange.run().await } else { Ending::ClientGone };
            task.end_request();
            let lag = deadline.elapsed();
            shared.lags.borrow_mut().ended(ending, lag);
            if !lag.is_zero() {
                log_late(&plan.attempt_id, ending, lag, request.read_lag);
            }
            ending
        }
        Err(refusal) => {
            refuse(client, &own(refusal.status(), None, head.lines.get("attempt-id"), close)).await
        }
    }
}

/// Waits until the request may be sent or its deadline has passed; tells whether the client is still there.
async fn admitted(client: &mut Connection, task: &Task, deadline: Instant) -> bool {
    tokio::select! {
        biased;
        () = task.admitted(deadline) => true,
        () = client.left() => false,
    }
}

/// Logs a request that ended after its deadline.
fn log_late(attempt: &str, ending: Ending, lag: Duration, read_lag: Duration) {
    let (how, lag, read_lag) = (<&str>::from(ending), lag.as_millis(), read_lag.as_millis());
    ProxyEvent::EndedLate
        .debug(format_args!("attempt {attempt}: {how} {lag} ms late, read {read_lag} ms after it came"));
}

/// Gives the client an answer of the proxy's own.
async fn refuse(client: &mut Connection, answer: &[u8]) -> Ending {
    client.write(answer).await.map_or(Ending::ClientGone, |()| Ending::Refused)
}

/// Reads the next request; the answer to the one before it ended at `last_ended`.
async fn read(
    shared: &Rc<Shared>,
    client: &mut Connection,
    last_ended: Option<Instant>,
) -> Result<Request, Unread> {
    if client.input.is_empty() {
        rest(shared, client).await?;
    }
    let limits = shared.limits();
    let head_by = Instant::now() + Duration::from_millis(limits.header_wait_ms.0);
    let limit = usize::try_from(limits.max_header_bytes.0).unwrap_or(usize::MAX);
    let head = loop {
        match RequestHead::read(&client.input, limit) {
            Ok(Some((head, length))) => {
                client.used(length);
                break head;
            }
            Ok(None) => more(client, head_by).await?,
            Err(HeadError::TooLarge) => return Err(431.into()),
            Err(HeadError::Malformed(_)) => return Err(400.into()),
        }
    };
    let mut request = read_body(shared, client, head).await?;
    if let Some(last_ended) = last_ended {
        request.came = request.came.max(last_ended);
    }
    request.read_lag = request.came.elapsed();
    shared.lags.borrow_mut().read(request.read_lag);
    Ok(request)
}

/// Reads the body of a request.
async fn read_body(
    shared: &Rc<Shared>,
    client: &mut Connection,
    head: RequestHead,
) -> Result<Request, Unread> {
    let limits = shared.limits();
    let most = usize::try_from(limits.max_body_bytes.0).unwrap_or(usize::MAX);
    let pause = Duration::from_millis(limits.idle_ms.0);
    let mut room = Vec::new();
    if let Framing::Length(length) = head.framing {
        if length > most {
            return Err(413.into());
        }
        if length > SMALL_BODY {
            room.push(reserve(shared, length)?);
        }
    }
    let mut reader = BodyReader::new(head.framing);
    let mut body = Vec::new();
    let mut must_invite =
        head.lines.get("expect").is_some_and(|value| value.eq_ignore_ascii_case("100-continue"));
    loop {
        let used = reader.read(&client.input, &mut body).map_err(|_| Unread::from(400))?;
        client.used(used);
        if reader.taken() > most {
            return Err(413.into());
        }
        if reader.is_done() {
            let came = client.received_at();
            return Ok(Request { head, body, came, read_lag: Duration::ZERO, _room: room });
        }
        if head.framing == Framing::Chunked && body.len() > SMALL_BODY * (room.len() + 1) {
            room.push(reserve(shared, SMALL_BODY)?);
        }
        if std::mem::take(&mut must_invite) {
            client.write(b"HTTP/1.1 100 Continue\r\n\r\n").await.map_err(|_| Unread::Gone)?;
        }
        more(client, Instant::now() + pause).await?;
    }
}

fn reserve(shared: &Rc<Shared>, bytes: usize) -> Result<BodyRoom, Unread> {
    let none = Unread::Refused { status: 503, retry_after: Some(COME_BACK) };
    shared.reserve(bytes).ok_or(none)
}

/// Reads more of a request that has begun.
async fn more(client: &mut Connection, until: Instant) -> Result<(), Unread> {
    match timeout_at(until, client.fill()).await {
        Ok(Ok(count)) if count > 0 => Ok(()),
        Ok(_) => Err(Unread::Gone),
        Err(_) => Err(408.into()),
    }
}

/// Waits for the first bytes of a request; ends when the connection has rested too long or the process takes no more.
async fn rest(shared: &Rc<Shared>, client: &mut Connection) -> Result<(), Unread> {
    client.rest();
    let until = Instant::now() + Duration::from_millis(shared.limits().idle_ms.0);
    loop {
        let phase_changed = shared.phase_changed.notified();
        if shared.phase() >= Phase::Finishing {
            return Err(Unread::Gone);
        }
        tokio::select! {
            biased;
            read = timeout_at(until, client.fill()) => {
                return match read {
                    Ok(Ok(count)) if count > 0 => Ok(()),
                    _ => Err(Unread::Gone),
                };
            }
            () = phase_changed => {}
        }
    }
}
