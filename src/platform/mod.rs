//! The platform's protocol: HTTP for clients, frames for book nodes, a watch for discovery.

pub mod classes;
pub mod config;
pub mod form;
pub mod frames;
pub mod watch;

use crate::core::{Failure, NewQuery, Send};
use crate::interface::*;
use crate::net::figures::Results;
use crate::net::http::{Bad, Request, Response};
use crate::net::{Dialect, NodeReply, PeerError, Reload, Take};
use crate::settings::{ConfigError, Tuned};
use classes::{Classes, Unclassed};
use config::Config;
use form::Form;
use miniserde::json;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};

/// Most of a request's time that its way here can have taken, ms: kept back from `X-Deadline`, which runs
/// from the client's send.
const CLIENT_TRIP: Ms = 3.0;
/// Slack when the weights of a query are summed.
const WEIGHT_SLACK: f64 = 1e-2;

#[derive(miniserde::Deserialize)]
struct Ask {
    shards: Vec<AskPart>,
    q: String,
}

#[derive(miniserde::Deserialize)]
struct AskPart {
    shard: usize,
    weight: f64,
    /// A guess at the part's work, µs.
    cost: Option<f64>,
}

#[derive(miniserde::Serialize)]
struct Reply {
    complete: bool,
    hits: Vec<Hit>,
}

#[derive(miniserde::Serialize)]
struct Hit {
    shard: usize,
    doc: String,
}

/// What the frames of a query need.
struct Held {
    /// The place of its class.
    class: usize,
    /// When it came.
    at: Ms,
    name: String,
    text: String,
    key: Option<String>,
    /// When nobody can be waiting for it any more.
    until: Ms,
}

/// The platform's dialect.
pub struct Platform {
    classes: Classes,
    held: HashMap<RequestId, Held>,
    /// Names of the queries that are held: a part's name must stay unique.
    names: BTreeSet<String>,
    ended: Ended,
    /// The keys of the file that was taken last; none where there is no file.
    form: Option<Form>,
    /// How requests ended, by class.
    results: BTreeMap<String, Results>,
}

/// Ended ids remembered at most: some 130 queries a second for the longest deadline, several times over; 32 bytes
/// each.
const ENDED: usize = 16_384;

/// Ids of requests that have had their final answer, for as long as a client may wait: whoever sends one again is no
/// client that was not read, and serving it would send on a request that is over.
#[derive(Debug, Default)]
struct Ended {
    ids: HashSet<u64>,
    until: VecDeque<(Ms, u64)>,
}

impl Ended {
    fn forget_old(&mut self, now: Ms) {
        while self.until.front().is_some_and(|(until, _)| *until <= now || self.until.len() > ENDED) {
            self.until.pop_front().map(|(_, id)| self.ids.remove(&id));
        }
    }

    fn add(&mut self, id: u64, until: Ms) {
        if self.ids.insert(id) {
            self.until.push_back((until, id));
        }
    }
}

/// Why a request is not taken.
type Declined = Response;

fn declined(status: u16, why: &str) -> Declined {
    Response::new(status, json::to_string(&std::collections::BTreeMap::from([("error", why)])))
}

fn is_hex_id(text: &str) -> bool {
    text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit())
}

/// The first part of the path, which names the class.
fn class_name(request: &Request) -> &str {
    request.path.trim_start_matches('/').split('/').next().unwrap_or_default()
}

/// An id as a number; it was checked to be one.
fn number(id: &str) -> u64 {
    u64::from_str_radix(id, 16).unwrap_or_default()
}

/// Reads a time of waiting: a number and `m` for milliseconds or `u` for microseconds.
fn deadline(text: &str) -> Option<Ms> {
    let digits = text.get(..text.len().checked_sub(1)?)?;
    let unit = match text.as_bytes()[digits.len()] {
        b'm' => 1.0,
        b'u' => 0.001,
        _ => return None,
    };
    let plain = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let value: f64 = digits.parse().ok().filter(|_| plain)?;
    (value.is_finite() && value < 1e12).then_some(value * unit)
}

impl Platform {
    /// A dialect for these classes.
    pub fn new(classes: Classes) -> Self {
        let (held, names, ended) = (HashMap::new(), BTreeSet::new(), Ended::default());
        let results = classes.names().map(|name| (name.to_string(), Results::default())).collect();
        Platform { classes, held, names, ended, form: None, results }
    }

    /// The same, for the file whose keys these are.
    pub fn of_form(self, form: Form) -> Self {
        Platform { form: Some(form), ..self }
    }

    fn query(&mut self, id: RequestId, request: &Request, at: Ms) -> Result<NewQuery, Declined> {
        let first = class_name(request);
        let header = |name: &str| request.headers.get(name);
        // The key is written into a list of the frame: its separators would forge entries.
        let fits =
            |key: &&str| !key.is_empty() && key.len() <= 128 && key.bytes().all(|b| b.is_ascii_graphic());
        let key = header("Idempotency-Key").filter(|key| fits(key) && !key.contains([',', '=']));
        let class = self.classes.find(first, at, key.is_some());
        if class == Err(Unclassed::Unknown) {
            return Err(declined(404, "no such path"));
        }
        if request.method != "POST" {
            return Err(Response { allow: Some("POST"), ..declined(405, "queries are posted") });
        }
        if header("X-Class").is_some_and(|told| told != first) {
            return Err(declined(400, "X-Class is not the class of the path"));
        }
        let name = header("X-Request-Id").filter(|id| is_hex_id(id));
        let name = name.ok_or_else(|| declined(400, "X-Request-Id is not 16 hex digits"))?;
        let waits = match header("X-Deadline") {
            Some(text) => deadline(text).ok_or_else(|| declined(400, "X-Deadline is not a time"))?,
            None => class.map_or(0.0, |class| self.classes.rules(class).deadline),
        };
        let class = class.map_err(|_| declined(400, "this class needs an Idempotency-Key"))?;
        let text = std::str::from_utf8(&request.body).map_err(|_| declined(400, "the body is not UTF-8"))?;
        let ask: Ask = json::from_str(text).map_err(|_| declined(400, "the body is not a query"))?;
        let sound = |part: &AskPart| {
            part.shard < self.classes.shards()
                && part.weight.is_finite()
                && part.weight > 0.0
                && part.weight <= 1.0
        };
        let distinct: BTreeSet<usize> = ask.shards.iter().map(|part| part.shard).collect();
        let sum: f64 = ask.shards.iter().map(|part| part.weight).sum();
        if ask.shards.is_empty()
            || !ask.shards.iter().all(sound)
            || distinct.len() != ask.shards.len()
            || (sum - 1.0).abs() > WEIGHT_SLACK
        {
            return Err(declined(400, "shards are distinct and their weights sum to 1"));
        }
        self.ended.forget_old(at);
        if self.ended.ids.contains(&number(name)) {
            return Err(declined(400, "a request with this X-Request-Id has been answered"));
        }
        if !self.names.insert(name.to_string()) {
            return Err(declined(400, "a request with this X-Request-Id is being answered"));
        }
        let is_keyed = matches!(self.classes.rules(class).effect, Effect::Keyed(_));
        let key = key.filter(|_| is_keyed).map(str::to_string);
        let longest = self.classes.longest_deadline();
        let until = at + waits.max(longest).min(2.0 * longest);
        self.held.insert(id, Held { class, at, name: name.to_string(), text: ask.q, key, until });
        Ok(NewQuery {
            class,
            expires_at: at + (waits - CLIENT_TRIP).max(0.0),
            retry: header("X-Retry") == Some("1"),
            parts: ask.shards.iter().map(|part| (part.shard, part.weight)).collect(),
            work: ask
                .shards
                .iter()
                .map(|part| part.cost.filter(|c| c.is_finite() && *c > 0.0).map(|c| c / 1e3))
                .collect(),
        })
    }

    /// Lets go of a query that is over; its class, unless that was done before.
    fn forget(&mut self, query: RequestId) -> Option<usize> {
        let held = self.held.remove(&query)?;
        self.names.remove(&held.name);
        self.ended.add(number(&held.name), held.until);
        Some(held.class)
    }

    /// The query has its final answer.
    fn finish(&mut self, query: RequestId, count: fn(&mut Results)) {
        if let Some(class) = self.forget(query) {
            count(self.results.entry(self.classes.name(class).to_string()).or_default());
        }
    }
}

impl Dialect for Platform {
    type Value = String;

    fn take(&mut self, id: RequestId, request: &Request, at: Ms, can_serve: bool) -> Take {
        if request.path == "/ready" {
            return Take::Answer(match (request.method.as_str(), can_serve) {
                ("GET", true) => Response::new(200, ""),
                ("GET", false) => Response::new(503, ""),
                _ => Response { allow: Some("GET"), ..Response::new(405, "") },
            });
        }
        match self.query(id, request, at) {
            Ok(query) => Take::Query(query),
            Err(response) => {
                let named = self.results.get_mut(class_name(request)).filter(|_| response.status == 400);
                named.into_iter().for_each(|results| results.aborted += 1);
                Take::Answer(response)
            }
        }
    }

    fn answer(&mut self, query: RequestId, whole: bool, values: Vec<(usize, String)>, _: Ms) -> Response {
        self.finish(query, |results| results.succeeded += 1);
        let hits = values.into_iter().map(|(shard, doc)| Hit { shard, doc }).collect();
        Response::new(200, json::to_string(&Reply { complete: whole, hits }))
    }

    fn refuse(&mut self, query: RequestId, after: Option<Ms>) -> Response {
        self.finish(query, |results| results.declined += 1);
        declined(503, "refused, ask again later").after(after)
    }

    fn fail(&mut self, query: RequestId, why: Failure, after: Option<Ms>) -> Response {
        self.finish(query, |results| results.aborted += 1);
        let response = match why {
            Failure::TimedOut => declined(504, "not answered in time"),
            Failure::Unserved => declined(500, "a part could not be had"),
        };
        response.after(after)
    }

    fn name(&self, query: RequestId) -> String {
        self.held.get(&query).map(|held| held.name.clone()).unwrap_or_default()
    }

    fn gone(&mut self, query: RequestId) {
        let _ = self.forget(query);
    }

    fn bad(&self, bad: Bad) -> Response {
        match bad {
            Bad::Malformed => declined(400, "not HTTP as it should be"),
            Bad::TooSlow => declined(408, "the request did not come in whole"),
            Bad::TooLarge => declined(413, "the body is over 64 KiB"),
        }
    }

    fn frame(&mut self, send: &Send, now: Ms) -> (String, Vec<u8>) {
        let Some(held) = self.held.get(&send.query) else { return Default::default() };
        frames::query(&held.name, &held.text, held.key.as_deref(), send, now)
    }

    fn cancel(&self, name: &str) -> Option<Vec<u8>> {
        Some(frames::frame(b'X', name.as_bytes()))
    }

    fn probe(&self) -> Option<Vec<u8>> {
        Some(frames::frame(b'L', b""))
    }

    fn results(&self) -> BTreeMap<String, Results> {
        self.results.clone()
    }

    fn reload(&mut self, text: &str, now: Ms) -> Result<Reload, ConfigError> {
        let config = Config::read(text)?;
        self.form.as_ref().map_or(Ok(()), |form| form.fits(config.form()))?;
        let (settings, limits) = (config.settings(), config.limits());
        self.classes.check(settings, &limits)?;
        self.form = Some(config.form().clone());
        let told = self.classes.retune(config.classes(), settings.clone(), limits, now);
        tracing::info!("settings: {told}");
        self.classes.names().for_each(|name| {
            self.results.entry(name.to_string()).or_default();
        });
        Ok(Reload { roster: Some(config.discovery()) })
    }

    fn retuned(&mut self, now: Ms) -> Option<Tuned> {
        let held = &self.held;
        let is_held = |class: usize| held.values().any(|held| held.class == class);
        self.classes.changed(now, is_held, || held.values().map(|held| held.at).min_by(f64::total_cmp))
    }

    fn reply(&self, input: &mut Vec<u8>) -> Result<Option<NodeReply<String>>, PeerError> {
        frames::reply(input)
    }
}
