//! Reads one replica's events, one call at a time.

use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use peer::Prefixes;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::http_client::{HttpAnswer, HttpCall, HttpClient, Patience};
use crate::kv_events::cursor::{Cursor, Question};
use crate::machine::Input;

/// How long the replica may hold a call: it answers as soon as there are events.
const WAIT_MS: u64 = 800;
/// Least pause after an answer, so that a busy replica gives many events at a time. Short calls cost as much as probes.
const PAUSE: Duration = Duration::from_millis(300);
/// The pause grows with the number of sources that are read here, so that their answers never take all of the processor.
const PAUSE_A_SOURCE: Duration = Duration::from_micros(1_500);
/// Pause after a call that failed or was refused; doubled with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
const LONGEST_PAUSE: Duration = Duration::from_secs(4);
const PATIENCE: Patience = Patience {
    connect: Duration::from_millis(500),
    answer: Duration::from_millis(2_000),
    answer_bytes: 4 * 1024 * 1024,
};

/// Failures in a row after which a store is taken for empty: a source that is down holds up whoever fetches from it.
const STORE_IS_DOWN: u32 = 2;

/// Whose events are read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    Replica { id: String, address: SocketAddrV4 },
    Store { address: SocketAddrV4 },
}

impl Source {
    /// What messages call it.
    pub fn name(&self) -> String {
        match self {
            Source::Replica { id, .. } => id.clone(),
            Source::Store { address } => address.to_string(),
        }
    }

    fn address(&self) -> SocketAddrV4 {
        match self {
            Source::Replica { address, .. } | Source::Store { address } => *address,
        }
    }

    /// The id that calls name.
    fn id(&self) -> Option<&str> {
        match self {
            Source::Replica { id, .. } => Some(id),
            Source::Store { .. } => None,
        }
    }
}

/// Reads a replica's or a store's events for as long as it is held.
#[derive(Debug)]
pub struct Reader {
    task: JoinHandle<()>,
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts to read the events of a replica or a store; what it keeps goes to `news`. `sources` is how many are read.
pub fn read(source: Source, sources: Arc<AtomicUsize>, news: mpsc::Sender<Input>) -> Reader {
    Reader { task: tokio::spawn(run(source, sources, news)) }
}

/// The pause where so many sources are read.
fn pause(sources: &AtomicUsize) -> Duration {
    let sources = u32::try_from(sources.load(Ordering::Relaxed)).unwrap_or(u32::MAX);
    PAUSE.max(PAUSE_A_SOURCE.saturating_mul(sources))
}

async fn run(source: Source, sources: Arc<AtomicUsize>, news: mpsc::Sender<Input>) {
    let mut cursor = Cursor::new(&source.name());
    let mut client = HttpClient::new(source.address(), PATIENCE);
    let started = Instant::now();
    let mut failures = 0;
    loop {
        let now = started.elapsed().as_millis() as u64;
        let question = cursor.question(now);
        let answer = client.call(call(source.id(), &path(question), question)).await;
        match answer.filter(|answer| answer.status == 200) {
            Some(answer) => {
                failures = 0;
                let taken = take(&mut cursor, question, now, &answer);
                if let Some(prefixes) = taken {
                    if news.send(Input::Prefixes { prefixes }).await.is_err() {
                        return;
                    }
                }
                sleep(pause(&sources)).await;
            }
            None => {
                if question == Question::List {
                    cursor.list_failed(now);
                }
                let pause = FIRST_PAUSE * 2_u32.saturating_pow(failures);
                failures = (failures + 1).min(8);
                if failures == STORE_IS_DOWN && matches!(source, Source::Store { .. }) {
                    let prefixes = cursor.start_again();
                    if news.send(Input::Prefixes { prefixes }).await.is_err() {
                        return;
                    }
                }
                sleep(pause.min(LONGEST_PAUSE)).await;
            }
        }
    }
}

fn path(question: Question) -> String {
    match question {
        Question::Events { since } => format!("/kv-events?since={since}"),
        Question::List => "/kv-list".to_string(),
    }
}

fn call<'a>(replica: Option<&'a str>, path: &'a str, question: Question) -> HttpCall<'a> {
    let wait_ms = matches!(question, Question::Events { .. }).then_some(WAIT_MS);
    HttpCall { method: "GET", path, replica, wait_ms, body: &[], last: false }
}

fn take(cursor: &mut Cursor, question: Question, now: u64, answer: &HttpAnswer) -> Option<Prefixes> {
    // An answer that can't be read says nothing; the next question asks for the same.
    match question {
        Question::Events { .. } => cursor.take_events(&answer.body).ok().flatten(),
        Question::List => cursor.take_list(now, &answer.body).ok(),
    }
}
