//! The stream that brings news of the list of replicas.

use super::{Server, Stream, ROSTER_PAUSE};
use crate::interface::Ms;
use crate::net::{connect, read_all, Dialect, Key, Watched};
use std::io::Write;

impl<D: Dialect> Server<D> {
    pub(super) fn dial_roster(&mut self, now: Ms) {
        let Some(roster) = &self.roster else { return };
        let key = Key::Roster(0);
        let link =
            connect(roster.address()).and_then(|socket| Watched::new(&self.handle, self.number, key, socket));
        self.stream = match link {
            Ok(link) => Stream::Connecting(now, link),
            Err(_) => Stream::Down(now + ROSTER_PAUSE),
        };
    }

    pub(super) fn serve_roster(&mut self, now: Ms) {
        let Some(roster) = &mut self.roster else { return };
        let ended = match std::mem::replace(&mut self.stream, Stream::Down(now + ROSTER_PAUSE)) {
            Stream::Down(at) => {
                self.stream = Stream::Down(at);
                return;
            }
            Stream::Connecting(since, link) => match link.socket.take_error() {
                Ok(None) if link.socket.peer_addr().is_err() => {
                    self.stream = Stream::Connecting(since, link);
                    return;
                }
                // The request is short: a fresh connection takes it in one piece.
                Ok(None) if (&*link.socket).write_all(&roster.request()).is_ok() => {
                    self.stream = Stream::Up(now, link);
                    return;
                }
                _ => true,
            },
            Stream::Up(heard, link) => {
                let mut bytes = Vec::new();
                let ended = read_all(&link.socket, usize::MAX, &mut bytes);
                let mut news = Vec::new();
                let read = roster.received(&bytes, &mut news);
                let heard = if bytes.is_empty() { heard } else { now };
                news.into_iter().for_each(|news| self.take_news(news));
                match read {
                    Ok(()) if !ended => self.stream = Stream::Up(heard, link),
                    Ok(()) => {}
                    Err(why) => tracing::warn!("roster: {why}"),
                }
                ended
            }
        };
        if ended {
            tracing::info!("roster: connection lost, asking again");
        }
    }
}
