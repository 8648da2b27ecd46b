//! Discovery: the list of book nodes, whole or changed, and the watch that brings it.

use crate::interface::*;
use crate::members::clock::MISSED;
use crate::net::http::{self, Chunks, Framing};
use crate::net::{News, PeerError, Roster};
use serde::Deserialize;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Longest list of the watch, bytes.
const LIST_LIMIT: usize = 1 << 20;

/// A list as discovery writes it.
#[derive(Deserialize, Debug)]
pub struct List {
    version: u64,
    full: bool,
    servers: Vec<Entry>,
}

#[derive(Deserialize, Debug)]
struct Entry {
    id: String,
    addr: String,
    zone: Option<String>,
    kind: Option<String>,
    cell: usize,
    state: String,
    weight: Option<f64>,
    started_ms: Option<f64>,
}

/// Turns lists into news: names become numbers, wall-clock times those of the module's clock.
#[derive(Debug, Default)]
pub struct Directory {
    names: HashMap<String, ReplicaId>,
    unix_start: Ms,
}

impl Directory {
    /// `unix_start` is the Unix time at which the module's clock started.
    pub fn new(unix_start: Ms) -> Self {
        Directory { names: HashMap::new(), unix_start }
    }

    /// The entries of a list. One entry that can't be read hides no other: it is left out, with a warning.
    pub fn news(&mut self, kind: ListKind, list: &List) -> News {
        let (mut entries, mut addrs, mut names) = (Vec::new(), Vec::new(), Vec::new());
        for entry in &list.servers {
            let next = ReplicaId(self.names.len() as u32 + 1);
            let id = *self.names.entry(entry.id.clone()).or_insert(next);
            let lifecycle = match entry.state.as_str() {
                "in_service" => Lifecycle::On,
                "terminating" => Lifecycle::Fading,
                "terminated" => Lifecycle::Off,
                other => {
                    // Whatever it means, it is not said to be in service.
                    tracing::warn!("{}: unknown state {other}", entry.id);
                    Lifecycle::Fading
                }
            };
            let Ok(addr) = entry.addr.parse() else {
                tracing::warn!("{}: bad address {}", entry.id, entry.addr);
                continue;
            };
            addrs.push((id, addr));
            names.push((id, entry.id.clone()));
            let started = entry.started_ms.filter(|started| *started > 0.0);
            entries.push(Listed {
                id,
                cell: entry.cell,
                zone: entry.zone.clone().unwrap_or_default(),
                model: entry.kind.clone().unwrap_or_default(),
                size: entry.weight.unwrap_or(1.0),
                born: started.map(|started| started - self.unix_start),
                lifecycle,
            });
        }
        News { kind, entries, addrs, names }
    }
}

#[derive(Debug)]
enum State {
    Head(Vec<u8>),
    Body(Chunks),
}

/// The watch: one request, then a list for each change, indented or in one line, in chunks split anywhere.
#[derive(Debug)]
pub struct Watch {
    address: SocketAddr,
    directory: Directory,
    version: u64,
    state: State,
    /// What has come and makes no whole list yet.
    text: Vec<u8>,
    /// Since when discovery has told of nothing but an older list than the one that is known.
    behind_since: Option<Ms>,
}

impl Watch {
    /// A watch that goes on after the list known last, and the news in that list.
    pub fn new(address: SocketAddr, mut directory: Directory, known: &List) -> (Self, News) {
        let news = directory.news(ListKind::Restored, known);
        let state = State::Head(Vec::new());
        (
            Watch { address, directory, version: known.version, state, text: Vec::new(), behind_since: None },
            news,
        )
    }

    /// Takes the whole lists off the front of what has come; where one ends is for the reader to say, since a list may
    /// take many lines. Tells whether a list or an empty line came whole.
    fn take_lists(&mut self, now: Ms, news: &mut Vec<News>) -> Result<bool, PeerError> {
        let text = std::mem::take(&mut self.text);
        let mut lists = serde_json::Deserializer::from_slice(&text).into_iter::<List>();
        let (mut used, mut whole) = (0, false);
        while let Some(list) = lists.next() {
            match list {
                Ok(list) => {
                    (used, whole) = (lists.byte_offset(), true);
                    self.take_list(&list, now, news);
                }
                Err(error) if error.is_eof() => {
                    self.text = text[used..].to_vec();
                    let fits = self.text.len() <= LIST_LIMIT;
                    return fits.then_some(whole).ok_or(PeerError::LongList(LIST_LIMIT));
                }
                Err(error) => return Err(PeerError::List(error)),
            }
        }
        // What is left is blank: an empty line, unless it is only the end of a list's.
        Ok(whole || text.contains(&b'\n'))
    }

    /// Takes one list in. A change that is known already says nothing new. A whole list is what holds now, but an agent
    /// that is behind would undo what is known, a drain say: its older list counts only once it has told of nothing
    /// newer for as long as discovery may be late, since then its numbers have begun anew.
    fn take_list(&mut self, list: &List, now: Ms, news: &mut Vec<News>) {
        if list.full && list.version < self.version {
            if now - *self.behind_since.get_or_insert(now) < MISSED {
                tracing::debug!(list.version, self.version, "an older list is not taken in");
                return;
            }
        } else if !list.full && list.version <= self.version {
            return;
        }
        self.behind_since = None;
        let kind = if list.full { ListKind::Replace } else { ListKind::Update };
        self.version = list.version;
        news.push(self.directory.news(kind, list));
    }
}

impl Roster for Watch {
    fn move_to(&mut self, address: SocketAddr) -> bool {
        // Versions are discovery's own, the same at each of its addresses: the watch goes on after this one.
        std::mem::replace(&mut self.address, address) != address
    }

    fn address(&self) -> SocketAddr {
        self.address
    }

    fn request(&mut self) -> Vec<u8> {
        self.state = State::Head(Vec::new());
        self.text.clear();
        let (version, host) = (self.version, self.address);
        format!("GET /v1/endpoints?watch=1&after={version} HTTP/1.1\r\nHost: {host}\r\n\r\n").into_bytes()
    }

    fn received(&mut self, bytes: &[u8], now: Ms, news: &mut Vec<News>) -> Result<bool, PeerError> {
        let mut data = Vec::new();
        let mut whole = false;
        match &mut self.state {
            State::Head(head) => {
                head.extend_from_slice(bytes);
                let Some(told) = http::response_head(head).map_err(|_| PeerError::NotHttp)? else {
                    return Ok(false);
                };
                if told.status != 200 || told.framing != Some(Framing::Chunked) {
                    return Err(PeerError::Status(told.status));
                }
                let mut chunks = Chunks::default();
                chunks.read(&head[told.length..], &mut data).map_err(|_| PeerError::Body)?;
                self.state = State::Body(chunks);
                whole = true;
            }
            State::Body(chunks) => {
                chunks.read(bytes, &mut data).map_err(|_| PeerError::Body)?;
            }
        }
        if !data.is_empty() {
            self.text.extend(data);
            whole |= self.take_lists(now, news)?;
        }
        if matches!(&self.state, State::Body(chunks) if chunks.is_done()) {
            return Err(PeerError::Ended);
        }
        if self.behind_since.is_some_and(|since| now - since >= MISSED) {
            return Err(PeerError::Behind(self.version));
        }
        Ok(whole)
    }
}
