//! The stream that brings news of the list of replicas. When it is asked for again is the list clock's to say.

use super::{Server, Stream};
use crate::interface::Ms;
use crate::members::clock::Standing;
use crate::net::{connect, read_all, Dialect, Key, Watched};
use std::io::Write;

impl<D: Dialect> Server<D> {
    pub(super) fn dial_roster(&mut self, now: Ms) {
        let Some(roster) = &self.roster else { return };
        if matches!(self.stream.0, Standing::Asked(_) | Standing::Telling(_)) {
            tracing::info!(standing = ?self.stream.0, "roster: silent or moved, asking again");
        }
        let key = Key::Roster(0);
        let link =
            connect(roster.address()).and_then(|socket| Watched::new(&self.handle, self.number, key, socket));
        self.stream = match link {
            Ok(link) => Stream(Standing::Dialling(now), Some(link)),
            Err(_) => Stream(Standing::Down(now), None),
        };
    }

    pub(super) fn serve_roster(&mut self, now: Ms) {
        let Some(roster) = &mut self.roster else { return };
        let Stream(standing, Some(link)) = &mut self.stream else { return };
        let mut news = Vec::new();
        let ended = match standing {
            Standing::Dialling(_) => match link.socket.take_error() {
                Ok(None) if link.socket.peer_addr().is_err() => return,
                // The request is short: a fresh connection takes it in one piece.
                Ok(None) if (&*link.socket).write_all(&roster.request()).is_ok() => {
                    *standing = Standing::Asked(now);
                    false
                }
                _ => true,
            },
            _ => {
                let mut bytes = Vec::new();
                let ended = read_all(&link.socket, usize::MAX, &mut bytes);
                if !bytes.is_empty() {
                    *standing = Standing::Telling(now);
                }
                let read = roster.received(&bytes, &mut news);
                let sound = read.map_err(|why| tracing::warn!("roster: {why}")).is_ok();
                ended || !sound
            }
        };
        if ended {
            tracing::info!("roster: connection lost, asking again");
            self.stream = Stream(Standing::Down(now), None);
        }
        news.into_iter().for_each(|news| self.take_news(news));
    }
}
