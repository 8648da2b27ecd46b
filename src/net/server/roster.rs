//! The stream that brings news of the list of replicas. When it is asked for again is the list clock's to say.

use super::{Server, Stream, TURN_READ};
use crate::interface::Ms;
use crate::members::clock::Standing;
use crate::net::{connect, read_all, Dialect, Key, Watched};
use std::io::Write;

impl<D: Dialect> Server<D> {
    pub(super) fn dial_roster(&mut self, now: Ms) {
        let Some(roster) = &self.roster else { return };
        if matches!(self.stream.standing, Standing::Asked(_) | Standing::Telling(_)) {
            self.stream.lost("silent or moved");
        }
        let key = Key::Roster(0);
        let link =
            connect(roster.address()).and_then(|socket| Watched::new(&self.handle, self.number, key, socket));
        (self.stream.standing, self.stream.link) = match link {
            Ok(link) => (Standing::Dialling(now), Some(link)),
            Err(_) => (Standing::Down(now), None),
        };
    }

    pub(super) fn serve_roster(&mut self, now: Ms) {
        let Some(roster) = &mut self.roster else { return };
        let Stream { standing, link: Some(link), .. } = &mut self.stream else { return };
        let mut news = Vec::new();
        let (mut why, mut whole) = (None, false);
        match standing {
            Standing::Dialling(_) => match link.socket.take_error() {
                Ok(None) if link.socket.peer_addr().is_err() => return,
                // The request is short: a fresh connection takes it in one piece.
                Ok(None) if (&*link.socket).write_all(&roster.request()).is_ok() => {
                    *standing = Standing::Asked(now);
                }
                _ => why = Some("could not connect".to_string()),
            },
            _ => {
                let mut bytes = Vec::new();
                let ended = read_all(&link.socket, TURN_READ, &mut bytes);
                match roster.received(&bytes, now, &mut news) {
                    Ok(heard) => whole = heard,
                    Err(error) => why = Some(error.to_string()),
                }
                if ended {
                    why.get_or_insert_with(|| "the connection was ended".into());
                } else if bytes.len() >= TURN_READ {
                    self.unread.push(Key::Roster(0));
                }
            }
        }
        if whole {
            self.stream.heard(now);
        }
        if let Some(why) = why {
            self.stream.lost(&why);
            (self.stream.standing, self.stream.link) = (Standing::Down(now), None);
        }
        news.into_iter().for_each(|news| self.take_news(news));
    }
}

impl Stream {
    /// Something whole came.
    fn heard(&mut self, now: Ms) {
        self.standing = Standing::Telling(now);
        if std::mem::take(&mut self.said_lost) {
            tracing::info!("roster: told again");
        }
    }

    /// The stream is of no more use. Said once until it is told again: it may be asked for twenty times a second.
    fn lost(&mut self, why: &str) {
        if std::mem::replace(&mut self.said_lost, true) {
            tracing::debug!("roster: {why}, asking again");
        } else {
            tracing::info!("roster: {why}, asking again until it is told");
        }
    }
}
