//! Clients: accepting, reading requests, writing answers.

use super::{Client, Server, IDLE_SHARE, QUIET, STALE_CLIENT, TURN_READ};
use crate::core::Input;
use crate::interface::*;
use crate::net::client::{ClientConn, ClientState};
use crate::net::{http, read_all, Dialect, Key, Served, Take, Watched};
use std::cmp::Ordering;
use std::io::{self, Write};
use std::net::Shutdown;

impl<D: Dialect> Server<D> {
    pub(super) fn accept(&mut self, now: Ms) {
        let most = self.allowed().clients;
        while let Some(listener) = &self.listener {
            let full = self.clients.len() >= most;
            if full && self.spare_client(now).is_none() {
                return;
            }
            match listener.socket.accept() {
                Ok((socket, _)) => {
                    self.refused = false;
                    // Closing between requests is allowed; only a client that is there already makes it needed.
                    for _ in 0..self.clients.len() {
                        let full = self.clients.len() >= most;
                        let Some(spare) = self.spare_client(now).filter(|_| full) else { break };
                        self.close_idle(spare, now);
                    }
                    let _ = socket.set_nonblocking(true);
                    let _ = socket.set_nodelay(true);
                    let key = self.new_key();
                    match Watched::new(&self.handle, self.number, Key::Client(key), socket) {
                        Ok(link) => {
                            self.core.counters.connections += 1;
                            self.clients.insert(key, Client { link, conn: ClientConn::new(now) });
                            self.serve_client(key, now);
                        }
                        Err(error) => tracing::warn!("a client's connection can't be watched: {error}"),
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    (self.accept_again, self.refused) = (false, false);
                    return;
                }
                // That one has gone; others may be waiting.
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => {
                    if !std::mem::replace(&mut self.refused, true) {
                        tracing::warn!("accept: {error}; said once until one is accepted");
                    }
                    return;
                }
            }
        }
    }

    /// The client that nothing is lost by closing: first those that have not asked though they had the time,
    /// then the longest idle one.
    pub(super) fn spare_client(&self, now: Ms) -> Option<u64> {
        let idle = self.clients.iter().filter(|(_, client)| client.conn.may_go(now - STALE_CLIENT));
        let keyed = idle.map(|(key, client)| {
            let asks = client.conn.has_asked() || !client.conn.is_quiet(now - QUIET);
            ((asks, client.conn.active_at), *key)
        });
        keyed.min_by(|a, b| a.partial_cmp(b).unwrap_or(Ordering::Equal)).map(|(_, key)| key)
    }

    /// Whether connections without a request take up too much: then each is let go after its answer.
    pub(super) fn is_crowded(&self) -> bool {
        (self.clients.len() - self.asked.len().min(self.clients.len())) as f64
            > IDLE_SHARE * self.sockets.clients as f64
    }

    /// Lets go of clients that have stood without a request, and gives up requests that do not come in whole.
    pub(super) fn watch_clients(&mut self, now: Ms) {
        let crowded = self.is_crowded();
        let slow = self.slow_reader;
        let over = |client: &Client| client.time_limit(crowded, slow).is_some_and(|at| at <= now);
        let over: Vec<u64> = self.clients.iter().filter(|(_, c)| over(c)).map(|(key, _)| *key).collect();
        for key in over {
            let Some(client) = self.clients.get_mut(&key) else { continue };
            if client.conn.is_idle() {
                self.close_idle(key, now);
            } else if client.conn.unwritten_since().is_some() {
                // It can tell by the length that its answer is not whole.
                self.clients.remove(&key);
            } else if client.conn.state() == ClientState::Reading {
                self.core.counters.bad_requests += 1;
                client.conn.give_up(&self.dialect.bad(http::Bad::TooSlow), now);
                self.write_client(key, false, now);
            }
        }
    }

    pub(super) fn new_key(&mut self) -> u64 {
        self.next_key += 1;
        self.next_key
    }

    /// Closes a connection that may go after a last look: a request may have come since the loop gathered. What is read
    /// then is served, and what is not read tells its client by the reset that it may ask elsewhere.
    pub(super) fn close_idle(&mut self, key: u64, now: Ms) {
        let Some(seen) = self.clients.get(&key).map(|client| client.conn.active_at) else { return };
        self.serve_client(key, now);
        let goes = |client: &Client| client.conn.may_go(now - STALE_CLIENT) && client.conn.active_at == seen;
        if self.clients.get(&key).is_some_and(goes) {
            self.clients.remove(&key);
        }
    }

    pub(super) fn serve_client(&mut self, key: u64, now: Ms) {
        // Answers that leave make room for those of further requests.
        self.write_client(key, false, now);
        let Some(client) = self.clients.get_mut(&key) else { return };
        let mut bytes = Vec::new();
        let wanted = client.conn.wants_input();
        let ended = wanted && read_all(&client.link.socket, TURN_READ, &mut bytes);
        client.conn.received(&bytes, now);
        if bytes.len() >= TURN_READ && !ended {
            self.unread.push(Key::Client(key));
        }
        while self.take_requests(key, now) {
            self.write_client(key, false, now);
        }
        if ended {
            self.write_client(key, true, now);
        }
    }

    /// Takes the whole requests that have come; tells whether there were any.
    fn take_requests(&mut self, key: u64, now: Ms) -> bool {
        let (closing, can_serve) = (self.is_closing(now), self.takes_clients());
        let mut took = false;
        while let Some(client) = self.clients.get_mut(&key) {
            let Some(request) = client.conn.next_request() else { break };
            took = true;
            let request = match request {
                Ok(request) => request,
                Err(bad) => {
                    self.core.counters.bad_requests += 1;
                    client.conn.answer(&self.dialect.bad(bad), true, now);
                    break;
                }
            };
            let id = self.core.new_id();
            let at = client.conn.request_at;
            match self.dialect.take(id, &request, at, can_serve) {
                Take::Query(mut query) => {
                    // What is not answered when the platform kills the program is lost.
                    let end =
                        self.ending_since.map_or(f64::INFINITY, |since| since + self.ending.last_answer);
                    query.expires_at = query.expires_at.min(end);
                    client.conn.asked(id);
                    self.asked.insert(id, key);
                    self.trail.opened(id, self.dialect.name(id));
                    self.inputs.push(Input::Query(id, query));
                }
                Take::Answer(response) => {
                    self.core.counters.bad_requests += u64::from((400..429).contains(&response.status));
                    client.conn.answer(&response, closing, now);
                }
            }
        }
        took
    }

    /// Writes what a client's connection has for it; `ended` tells that the client has gone.
    pub(super) fn write_client(&mut self, key: u64, mut ended: bool, now: Ms) {
        let Some(client) = self.clients.get_mut(&key) else { return };
        // Also where the client has ended its side: what was answered at once may still reach it.
        while !client.conn.output().is_empty() {
            match (&*client.link.socket).write(client.conn.output()) {
                Ok(count) if count > 0 => client.conn.wrote(count),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                _ => {
                    ended = true;
                    break;
                }
            }
        }
        if client.conn.linger(now) {
            let _ = client.link.socket.shutdown(Shutdown::Write);
            // Nothing was read while the answer left; what lies there would reset the connection at its close.
            self.unread.push(Key::Client(key));
        }
        if ended {
            if let ClientState::Asked(id) = client.conn.state() {
                self.asked.remove(&id);
                self.dialect.gone(id);
                self.trail.ended(id, now);
                self.inputs.push(Input::Gone(id));
            }
            self.clients.remove(&key);
        }
    }

    pub(super) fn final_answer(&mut self, id: RequestId, response: http::Response, now: Ms) {
        self.trail.ended(id, now);
        let Some(key) = self.asked.remove(&id) else { return };
        let closing = self.is_closing(now) || self.is_crowded();
        let Some(client) = self.clients.get_mut(&key) else { return };
        client.conn.answer(&response, closing, now);
        self.write_client(key, false, now);
        // A further request may have come while this one was being answered.
        self.serve_client(key, now);
    }
}
