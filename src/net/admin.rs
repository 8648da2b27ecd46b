//! The address that operators call: one HTTP/1.1 call for each connection, served by the same loop as clients.
//!
//! Callers that send nothing, or half a call, are bounded in number and in time, and never take a descriptor that
//! clients or nodes could have.

use super::client::{ClientConn, ClientState};
use super::figures::Figures;
use super::http::{Bad, Request, Response};
use super::{read_all, Front, Gathered, Key, Loop, Watched};
use crate::interface::Ms;
use calloop::LoopHandle;
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};

/// Callers held at most. They come out of the descriptors that are kept back from clients and nodes.
const MOST_CALLERS: usize = 24;
/// Callers accepted in one turn at most: a flood of them must not hold up clients.
const TURN_CALLERS: usize = 8;
/// A caller that has had its answer, or has sent no whole call, for so long is closed, ms.
const CALL_TIME: Ms = 4000.0;
const LINGER_TIME: Ms = 1000.0;
/// Pause before the next look after the system refused a connection, ms.
const REFUSED_PAUSE: Ms = 50.0;
/// Longest call, bytes.
const CALL_LIMIT: usize = 16 * 1024;

struct Caller {
    link: Watched<TcpStream>,
    conn: ClientConn,
    since: Ms,
}

impl Caller {
    /// When it is closed, whatever it does.
    fn ends_at(&self) -> Ms {
        match self.conn.state() {
            ClientState::Lingering(since) => since + LINGER_TIME,
            _ => self.since + CALL_TIME,
        }
    }
}

/// The listener for operators.
pub struct Admin {
    number: usize,
    handle: LoopHandle<'static, Gathered>,
    listener: Watched<TcpListener>,
    callers: BTreeMap<u64, Caller>,
    next_key: u64,
    /// From when on there may be callers to accept.
    accept_at: Option<Ms>,
}

impl Admin {
    /// Listens on `address`, as the source of this number in the loop.
    ///
    /// # Errors
    /// Tells why the address can't be listened on.
    pub fn listen(event_loop: &Loop, number: usize, address: SocketAddr) -> io::Result<Admin> {
        let handle = event_loop.handle();
        let socket = TcpListener::bind(address)?;
        socket.set_nonblocking(true)?;
        let listener = Watched::new(&handle, number, Key::Listener, socket)?;
        let (callers, accept_at) = (BTreeMap::new(), Some(f64::NEG_INFINITY));
        Ok(Admin { number, handle, listener, callers, next_key: 1, accept_at })
    }

    /// Where operators connect.
    ///
    /// # Errors
    /// Passes on what the system says.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.socket.local_addr()
    }

    /// Callers that are held now.
    pub fn callers(&self) -> usize {
        self.callers.len()
    }

    /// When it has something to do without any socket being ready.
    pub fn next_due(&self) -> Option<Ms> {
        let ends = self.callers.values().map(Caller::ends_at);
        ends.chain(self.accept_at).min_by(f64::total_cmp)
    }

    /// One turn: accepts callers, answers whole calls from what the fronts say, and closes those whose time is over.
    pub fn turn(&mut self, now: Ms, ready: &[(usize, Key)], fronts: &[Front]) {
        let mine = self.number;
        for (_, key) in ready.iter().filter(|(number, _)| *number == mine) {
            match key {
                Key::Listener => self.accept_at = Some(now),
                Key::Client(key) => self.serve(*key, now, fronts),
                Key::Node(_) | Key::Roster(_) => {}
            }
        }
        if self.accept_at.is_some_and(|at| at <= now) {
            self.accept(now, fronts);
        }
        self.callers.retain(|_, caller| now < caller.ends_at());
    }

    fn accept(&mut self, now: Ms, fronts: &[Front]) {
        for _ in 0..TURN_CALLERS {
            let socket = match self.listener.socket.accept() {
                Ok((socket, _)) => socket,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.accept_at = None;
                    return;
                }
                Err(error) => {
                    tracing::debug!("accept of an operator's call: {error}");
                    self.accept_at = Some(now + REFUSED_PAUSE);
                    return;
                }
            };
            self.make_room();
            let _ = socket.set_nonblocking(true);
            let key = self.next_key;
            self.next_key += 1;
            match Watched::new(&self.handle, self.number, Key::Client(key), socket) {
                Ok(link) => {
                    self.callers.insert(key, Caller { link, conn: ClientConn::new(now), since: now });
                    self.serve(key, now, fronts);
                }
                Err(error) => tracing::warn!("an operator's call can't be watched: {error}"),
            }
        }
    }

    /// Closes the caller that has waited longest where one more would be too many: first of those that have not called.
    fn make_room(&mut self) {
        if self.callers.len() < MOST_CALLERS {
            return;
        }
        let oldest = self.callers.iter().min_by_key(|(key, caller)| {
            let has_called = caller.conn.state() != ClientState::Reading;
            (has_called, **key)
        });
        let oldest = oldest.map(|(key, _)| *key);
        oldest.and_then(|key| self.callers.remove(&key));
    }

    fn serve(&mut self, key: u64, now: Ms, fronts: &[Front]) {
        let Some(caller) = self.callers.get_mut(&key) else { return };
        let mut bytes = Vec::new();
        let reads = caller.conn.wants_input();
        let mut ended = reads && read_all(&caller.link.socket, CALL_LIMIT, &mut bytes);
        caller.conn.received(&bytes, now);
        let too_long = bytes.len() >= CALL_LIMIT;
        let call = caller.conn.next_request().or(too_long.then_some(Err(Bad::TooLarge)));
        if let Some(call) = call.filter(|_| caller.conn.state() == ClientState::Reading) {
            let response = call.map_or_else(bad, |request| answer(&request, fronts));
            caller.conn.answer(&response, true, now);
        }
        while !caller.conn.output().is_empty() {
            match (&*caller.link.socket).write(caller.conn.output()) {
                Ok(count) if count > 0 => caller.conn.wrote(count),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                _ => {
                    ended = true;
                    break;
                }
            }
        }
        if caller.conn.linger(now) {
            let _ = caller.link.socket.shutdown(Shutdown::Write);
        }
        if ended {
            self.callers.remove(&key);
        }
    }
}

/// The answer to a call that can't be read.
fn bad(bad: Bad) -> Response {
    Response::new(if bad == Bad::TooLarge { 413 } else { 400 }, "")
}

/// The answer to a whole call.
fn answer(request: &Request, fronts: &[Front]) -> Response {
    match (request.path.as_str(), request.method.as_str()) {
        ("/_ready", "GET") => {
            let takes_clients = fronts.iter().all(|front| front.served.takes_clients());
            Response::new(if takes_clients { 200 } else { 503 }, "")
        }
        ("/_vars", "GET") => {
            let mut figures = Figures::default();
            fronts.iter().for_each(|front| figures.add(front.figures()));
            Response { plain_text: true, ..Response::new(200, figures.to_string()) }
        }
        ("/_ready" | "/_vars", _) => Response { allow: Some("GET"), ..Response::new(405, "") },
        _ => Response::new(404, ""),
    }
}
