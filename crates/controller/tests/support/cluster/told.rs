//! What controllers have told each other of replicas, and whether a heartbeat's number goes behind what the heartbeat told.

use std::collections::BTreeMap;

use catalog::Record;
use controller::machine::Machine;
use feed::record_from_wire;
use peer::Message;
use register::{RegisterKey, RegisterMessage};

/// What one controller has sent another one on their present link.
#[derive(Default)]
struct Link {
    records: BTreeMap<String, Record>,
    /// Goes before the records.
    software: BTreeMap<String, String>,
}

/// What all controllers have sent each other.
#[derive(Default)]
pub struct Told {
    links: BTreeMap<(usize, usize), Link>,
    /// Messages on replicas so far.
    pub replica_messages: usize,
    /// Messages that name the register of releases and that earlier programs have to understand.
    pub names_of_releases: usize,
}

impl Told {
    /// The link is a new one.
    pub fn forget(&mut self, from: usize, to: usize) {
        self.links.remove(&(from, to));
    }

    /// Notes a message. The receiver may put a heartbeat's number on what it knows, so that has to be what the sender knows.
    pub fn check(&mut self, from: usize, to: usize, sender: Option<&Machine>, message: &Message) {
        let link = self.links.entry((from, to)).or_default();
        match message {
            Message::Register(blob) => {
                let decoded = register::message::decode(&blob.bytes);
                self.names_of_releases +=
                    usize::from(decoded.is_ok_and(|(message, _)| names_releases(&message)));
            }
            Message::Software(news) => {
                let news = news.replicas.iter();
                link.software.extend(news.map(|one| (one.id.to_string(), one.version.to_string())));
            }
            Message::Replicas(replicas) => {
                self.replica_messages += 1;
                for mut record in replicas.records.iter().map(record_from_wire) {
                    record.software = link.software.get(&record.id).cloned().unwrap_or_default();
                    link.records.insert(record.id.clone(), record);
                }
            }
            Message::Beats(beats) => {
                let Some(sender) = sender else { return };
                for beat in &beats.heard {
                    let known = sender.view().replicas.get(beat.id.as_str());
                    let told = link.records.get(beat.id.as_str());
                    let is_told = known.zip(told).is_some_and(|(known, told)| !known.is_news_after(told));
                    assert!(is_told, "{from} tells {to} of {beat:?}: {known:?}, it was told {told:?}");
                }
            }
            _ => {}
        }
    }
}

/// Whether a message that serves all registers names that of the releases. Queries of it alone are skipped by earlier programs.
fn names_releases(message: &RegisterMessage) -> bool {
    let is_new = |key: RegisterKey| key == RegisterKey::Releases;
    match message {
        RegisterMessage::Pull { pull } => pull.held.len() >= RegisterKey::ORDINARY.len(),
        RegisterMessage::State { state } => state.registers.iter().any(|register| is_new(register.key)),
        RegisterMessage::Digest { digest } => digest.learned.iter().any(|learned| is_new(learned.key)),
        _ => false,
    }
}
