//! The second front: an OpenSearch-style query API for clients, and book nodes that speak it too.
//!
//! A search is a query whose parts are the shards of the one index. Each shard is asked with
//! `preference=_shards:N`, so an answer stands for that shard alone; the answers are merged as one index
//! would have given them. A scroll holds no state on the nodes: each page goes on after the sort values of
//! the last hit, so it outlives a node that drains; it reads the index as it is at each page.

mod aggs;
pub mod config;
pub mod merge;
pub mod records;
pub mod search;

use crate::core::{Failure, NewQuery, Send};
use crate::interface::*;
use crate::net::http::{self, Bad, Request, Response};
use crate::net::{Dialect, NodeReply, PeerError, Take};
use merge::NodeBody;
use miniserde::json::{self, Object, Value};
use search::Search;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// Longest body taken from a node, bytes.
const NODE_BODY_LIMIT: usize = 1 << 20;
/// Scrolls held at once, and the longest that one is kept, ms.
const SCROLLS: usize = 256;
const SCROLL_LONGEST: Ms = 300_000.0;
/// An answer so close to its deadline that lacks shards lacks them for want of time, ms.
const LATE: Ms = 50.0;

/// What a team may ask.
#[derive(Debug, Clone)]
pub struct Contract {
    team: String,
    classes: Vec<usize>,
    longest: Ms,
    rate: f64,
    burst: f64,
    left: f64,
    filled_at: Ms,
}

impl Contract {
    /// A contract with its budget full: `rate` queries a second, saved up to `burst`.
    pub fn new(team: &str, classes: Vec<usize>, longest: Ms, rate: f64, burst: f64) -> Self {
        Contract { team: team.into(), classes, longest, rate, burst, left: burst, filled_at: 0.0 }
    }

    /// Takes one query off the budget, or tells how long until there is one.
    fn spend(&mut self, now: Ms) -> Result<(), Ms> {
        let gained = (now - self.filled_at).max(0.0) / 1000.0 * self.rate;
        self.left = (self.left + gained).min(self.burst);
        self.filled_at = self.filled_at.max(now);
        if self.left < 1.0 {
            return Err((1.0 - self.left) / self.rate * 1000.0);
        }
        self.left -= 1.0;
        Ok(())
    }
}

/// What a node says of a shard.
#[derive(Debug, Clone)]
pub enum Found {
    /// The shard's answer.
    Body(Rc<NodeBody>),
    /// The node holds the search itself to be wrong: its status and error, the same at any replica.
    Rejected(u16, Rc<str>),
}

struct Held {
    search: Rc<Search>,
    body: Rc<str>,
    shards: Vec<usize>,
    began_at: Ms,
    expires_at: Ms,
    scroll: Option<String>,
    /// This is the first page of its scroll: its client does not know the scroll's name yet.
    first_page: bool,
    allow_partial: bool,
}

struct Scroll {
    search: Option<Search>,
    class: usize,
    team: usize,
    keep: Ms,
    until: Ms,
    /// Its first page is still out.
    fresh: bool,
}

/// The dialect.
pub struct OpenSearch {
    index: String,
    classes: Vec<String>,
    deadlines: Vec<Ms>,
    shards: usize,
    advice_limit: Ms,
    contracts: Vec<Contract>,
    held: HashMap<RequestId, Held>,
    scrolls: BTreeMap<String, Scroll>,
    seed: u64,
}

/// An error in OpenSearch's form.
pub fn error(status: u16, kind: &str, reason: &str) -> Response {
    let (kind, reason) = (json::to_string(kind), json::to_string(reason));
    let cause = format!("\"type\":{kind},\"reason\":{reason}");
    let body = format!("{{\"error\":{{\"root_cause\":[{{{cause}}}],{cause}}},\"status\":{status}}}");
    Response::new(status, body)
}

fn illegal(reason: impl AsRef<str>) -> Response {
    error(400, "illegal_argument_exception", reason.as_ref())
}

/// Reads a time as OpenSearch writes it.
fn time(text: &str) -> Option<Ms> {
    let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
    let unit = match &text[digits.len()..] {
        "micros" => 0.001,
        "ms" => 1.0,
        "s" => 1000.0,
        "m" => 60_000.0,
        "h" => 3_600_000.0,
        _ => return None,
    };
    if digits.is_empty() || digits.len() > 9 || !digits.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    digits.parse::<f64>().ok().map(|value| value * unit)
}

fn decoded(text: &str) -> Option<String> {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        bytes.push(match byte {
            b'+' => b' ',
            b'%' => {
                let digits = [rest.next()?, rest.next()?];
                u8::from_str_radix(std::str::from_utf8(&digits).ok()?, 16).ok()?
            }
            other => other,
        });
    }
    String::from_utf8(bytes).ok()
}

/// The parameters of a URL; one that is not in `known` is refused, as OpenSearch does.
fn parameters(query: &str, known: &[&str]) -> Result<BTreeMap<String, String>, Response> {
    let mut read = BTreeMap::new();
    for pair in query.split('&').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        if !known.contains(&name) {
            return Err(illegal(format!("request contains unrecognized parameter: [{name}]")));
        }
        let value = decoded(value).ok_or_else(|| illegal(format!("parameter [{name}] can't be decoded")))?;
        read.insert(name.to_string(), value);
    }
    Ok(read)
}

fn object(body: &[u8]) -> Result<Object, Response> {
    if body.is_empty() {
        return Ok(Object::new());
    }
    let text = std::str::from_utf8(body).ok();
    let read = text.and_then(|text| json::from_str::<Object>(text).ok());
    read.ok_or_else(|| error(400, "parsing_exception", "the body is no JSON object"))
}

fn flag(text: Option<&String>, default: bool) -> Result<bool, Response> {
    match text.map(String::as_str) {
        None => Ok(default),
        Some("true" | "") => Ok(true),
        Some("false") => Ok(false),
        Some(_) => Err(illegal("a boolean is [true] or [false]")),
    }
}

impl OpenSearch {
    /// A front for one index of so many shards.
    pub fn new(
        index: String,
        classes: Vec<String>,
        deadlines: Vec<Ms>,
        shards: usize,
        advice_limit: Ms,
        contracts: Vec<Contract>,
        seed: u64,
    ) -> Self {
        let (held, scrolls) = (HashMap::new(), BTreeMap::new());
        OpenSearch { index, classes, deadlines, shards, advice_limit, contracts, held, scrolls, seed }
    }

    /// The contract of the team that asks, as `X-Opaque-Id` names it.
    fn team(&self, request: &Request) -> Result<usize, Response> {
        let name = request.headers.get("X-Opaque-Id").unwrap_or("*");
        let found = self.contracts.iter().position(|contract| contract.team == name);
        found.ok_or_else(|| error(403, "security_exception", &format!("no contract for team [{name}]")))
    }

    /// The class that is asked for, or the contract's first.
    fn class(&self, request: &Request, team: usize) -> Result<usize, Response> {
        let contract = &self.contracts[team];
        let Some(name) = request.headers.get("X-Class") else { return Ok(contract.classes[0]) };
        let class = contract.classes.iter().find(|class| self.classes[**class] == name);
        let reason = || format!("the contract has no class [{name}]");
        class.copied().ok_or_else(|| error(403, "security_exception", &reason()))
    }

    fn spend(&mut self, team: usize, at: Ms) -> Result<(), Response> {
        self.contracts[team].spend(at).map_err(|wait| {
            let advice = wait.min(self.advice_limit);
            error(429, "rejected_execution_exception", "the team's query budget is used up")
                .after(Some(advice))
        })
    }

    /// Which shards are asked: all, or those that `preference` names.
    fn wanted(&self, preference: Option<&String>) -> Result<Vec<usize>, Response> {
        let Some(preference) = preference else { return Ok((0..self.shards).collect()) };
        let list =
            preference.strip_prefix("_shards:").ok_or_else(|| illegal("[preference] is [_shards:N,...]"))?;
        let mut shards = Vec::new();
        for word in list.split(',') {
            let shard = word.parse().ok().filter(|shard| *shard < self.shards);
            shards.push(shard.ok_or_else(|| illegal(format!("no shard [{word}]")))?);
        }
        shards.sort_unstable();
        shards.dedup();
        Ok(shards)
    }

    fn route(&mut self, id: RequestId, request: &Request, at: Ms) -> Result<Take, Response> {
        let path: Vec<&str> = request.path.split('/').filter(|part| !part.is_empty()).collect();
        let asks = matches!(request.method.as_str(), "GET" | "POST");
        let not_allowed = |allow| Response {
            allow: Some(allow),
            ..error(405, "method_not_allowed_exception", "the path does not take this method")
        };
        match path.as_slice() {
            ["_search"] if asks => self.search(id, request, at),
            [index, "_search"] if asks => {
                if *index != self.index {
                    return Err(error(404, "index_not_found_exception", &format!("no such index [{index}]")));
                }
                self.search(id, request, at)
            }
            ["_search", "scroll"] if asks => self.next_page(id, request, at),
            ["_search", "scroll"] if request.method == "DELETE" => {
                self.clear_scroll(request).map(Take::Answer)
            }
            ["_search", "scroll"] => Err(not_allowed("GET, POST, DELETE")),
            ["_search"] | [_, "_search"] => Err(not_allowed("GET, POST")),
            _ => Err(error(404, "invalid_path_exception", &format!("no handler for [{}]", request.path))),
        }
    }

    fn search(&mut self, id: RequestId, request: &Request, at: Ms) -> Result<Take, Response> {
        let team = self.team(request)?;
        let class = self.class(request, team)?;
        let known = ["scroll", "timeout", "preference", "allow_partial_search_results"];
        let told = parameters(&request.query, &known)?;
        let mut body = object(&request.body)?;
        let keep = match told.get("scroll") {
            None => None,
            Some(text) => Some(time(text).ok_or_else(|| illegal("[scroll] is a time"))?),
        };
        let timeout = match (body.remove("timeout"), told.get("timeout")) {
            (Some(Value::String(text)), None) => Some(text),
            (None, text) => text.cloned(),
            _ => return Err(illegal("[timeout] is one time")),
        };
        let timeout = match timeout {
            None => f64::INFINITY,
            Some(text) => time(&text).ok_or_else(|| illegal("[timeout] is a time"))?,
        };
        let allow_partial = flag(told.get("allow_partial_search_results"), true)?;
        let shards = self.wanted(told.get("preference"))?;
        if keep.is_some() && shards.len() < self.shards {
            return Err(illegal("a scroll goes over all shards"));
        }
        let search = Search::read(body, keep.is_some()).map_err(illegal)?;
        if keep.is_some() && search.size == 0 {
            return Err(illegal("[size] of a scroll is 1 or more"));
        }
        self.scrolls.retain(|_, scroll| scroll.until > at);
        if keep.is_some() && self.scrolls.len() >= SCROLLS {
            return Err(error(429, "rejected_execution_exception", "too many scrolls are open")
                .after(Some(self.advice_limit)));
        }
        self.spend(team, at)?;
        let scroll = keep.map(|keep| {
            let name = self.scroll_name(id);
            let keep = keep.min(SCROLL_LONGEST);
            self.scrolls.insert(
                name.clone(),
                Scroll { search: None, class, team, keep, until: at + keep, fresh: true },
            );
            name
        });
        Ok(self.query(id, search, shards, at, class, team, timeout, scroll, allow_partial))
    }

    /// A name that another client is not likely to hit on.
    fn scroll_name(&self, id: RequestId) -> String {
        use rand::{rngs::SmallRng, Rng, SeedableRng};
        let mut rng = SmallRng::seed_from_u64(self.seed ^ id.0.rotate_left(32));
        format!("{:016x}{:016x}", rng.random::<u64>(), rng.random::<u64>())
    }

    #[allow(clippy::too_many_arguments)]
    fn query(
        &mut self,
        id: RequestId,
        mut search: Search,
        shards: Vec<usize>,
        at: Ms,
        class: usize,
        team: usize,
        timeout: Ms,
        scroll: Option<String>,
        allow_partial: bool,
    ) -> Take {
        let body = search.shard_body().into();
        let count = shards.len();
        let first_page = scroll.as_ref().and_then(|name| self.scrolls.get(name)).is_some_and(|s| s.fresh);
        // A page that lacks a shard would lose that shard's hits for good: the next one goes on after it.
        let allow_partial = allow_partial && scroll.is_none();
        let search = Rc::new(search);
        let expires_at = at + timeout.min(self.deadlines[class]).min(self.contracts[team].longest);
        let parts = shards.iter().map(|shard| (*shard, 1.0 / count as f64)).collect();
        let held = Held { search, body, shards, began_at: at, expires_at, scroll, first_page, allow_partial };
        self.held.insert(id, held);
        Take::Query(NewQuery { class, expires_at, retry: false, parts, work: Vec::new() })
    }

    fn next_page(&mut self, id: RequestId, request: &Request, at: Ms) -> Result<Take, Response> {
        let team = self.team(request)?;
        let told = parameters(&request.query, &["scroll", "scroll_id"])?;
        let mut body = object(&request.body)?;
        let mut text = |name: &str| match body.remove(name) {
            Some(Value::String(text)) => Some(text),
            _ => told.get(name).cloned(),
        };
        let name = text("scroll_id").ok_or_else(|| illegal("[scroll_id] is missing"))?;
        let keep = match text("scroll") {
            None => None,
            Some(text) => Some(time(&text).ok_or_else(|| illegal("[scroll] is a time"))?),
        };
        let missing = || error(404, "search_context_missing_exception", "no such scroll");
        let scroll = self.scrolls.get(&name).filter(|scroll| scroll.until > at && scroll.team == team);
        if scroll.ok_or_else(missing)?.search.is_none() {
            return Err(illegal("the page before this one is still being fetched"));
        }
        self.spend(team, at)?;
        let scroll = self.scrolls.get_mut(&name).ok_or_else(missing)?;
        let search = scroll.search.take().ok_or_else(missing)?;
        scroll.keep = keep.unwrap_or(scroll.keep).min(SCROLL_LONGEST);
        scroll.until = at + scroll.keep;
        let class = scroll.class;
        let shards = (0..self.shards).collect();
        Ok(self.query(id, search, shards, at, class, team, f64::INFINITY, Some(name), false))
    }

    fn clear_scroll(&mut self, request: &Request) -> Result<Response, Response> {
        let team = self.team(request)?;
        let names: Vec<String> = match object(&request.body)?.remove("scroll_id") {
            Some(Value::String(name)) => vec![name],
            Some(Value::Array(names)) => {
                let each =
                    names
                        .iter()
                        .filter_map(|n| if let Value::String(n) = n { Some(n.clone()) } else { None });
                each.collect()
            }
            _ => return Err(illegal("[scroll_id] is missing")),
        };
        let held = self.scrolls.len();
        self.scrolls.retain(|name, scroll| scroll.team != team || !names.contains(name));
        let freed = held - self.scrolls.len();
        let status = if freed == 0 { 404 } else { 200 };
        Ok(Response::new(status, format!("{{\"succeeded\":{},\"num_freed\":{freed}}}", freed > 0)))
    }

    /// Ends a query. Its scroll goes on after `last`, or asks the same page again where that is `None`; a
    /// first page that failed leaves no scroll.
    fn end(&mut self, query: RequestId, served: bool, last: Option<json::Array>) {
        let Some(held) = self.held.remove(&query) else { return };
        let Some(name) = held.scroll else { return };
        if held.first_page && !served {
            self.scrolls.remove(&name);
        }
        if let (Some(scroll), Ok(mut search)) = (self.scrolls.get_mut(&name), Rc::try_unwrap(held.search)) {
            if let Some(last) = last {
                search.go_on_after(last);
            }
            (scroll.search, scroll.fresh) = (Some(search), false);
        }
    }

    /// The `_shards` of an answer: how many were asked, and which of them are not in it.
    fn shards_of(&self, held: &Held, values: &[(usize, Found)]) -> String {
        let missing = held.shards.iter().filter(|shard| !values.iter().any(|value| value.0 == **shard));
        let index = json::to_string(&self.index);
        let reason = "{\"type\":\"shard_not_available_exception\",\"reason\":\"no answer in time\"}";
        let failures: Vec<String> = missing
            .map(|shard| format!("{{\"shard\":{shard},\"index\":{index},\"node\":null,\"reason\":{reason}}}"))
            .collect();
        let (total, failed) = (held.shards.len(), failures.len());
        let listed =
            if failed > 0 { format!(",\"failures\":[{}]", failures.join(",")) } else { String::new() };
        let successful = total - failed;
        format!("{{\"total\":{total},\"successful\":{successful},\"skipped\":0,\"failed\":{failed}{listed}}}")
    }

    fn failed(&mut self, query: RequestId, response: Response) -> Response {
        self.end(query, false, None);
        response
    }
}

impl Dialect for OpenSearch {
    type Value = Found;

    fn take(&mut self, id: RequestId, request: &Request, at: Ms, can_serve: bool) -> Take {
        if request.path == "/ready" && request.method == "GET" {
            return Take::Answer(Response::new(if can_serve { 200 } else { 503 }, ""));
        }
        self.route(id, request, at).unwrap_or_else(Take::Answer)
    }

    fn answer(&mut self, query: RequestId, whole: bool, values: Vec<(usize, Found)>, now: Ms) -> Response {
        let Some(held) = self.held.get(&query) else {
            return error(500, "illegal_state_exception", "no such query");
        };
        let rejected = values.iter().find_map(|(_, found)| match found {
            Found::Rejected(status, body) => Some((*status, body.clone())),
            Found::Body(_) => None,
        });
        if let Some((status, body)) = rejected {
            return self.failed(query, Response::new(status, &*body));
        }
        if !whole && !held.allow_partial {
            let failed = error(504, "search_phase_execution_exception", "not all shards answered in time");
            return self.failed(query, failed);
        }
        let mut bodies: Vec<(usize, &NodeBody)> = Vec::new();
        for (shard, found) in &values {
            if let Found::Body(body) = found {
                bodies.push((*shard, body));
            }
        }
        bodies.sort_by_key(|(shard, _)| *shard);
        let bodies: Vec<&NodeBody> = bodies.into_iter().map(|(_, body)| body).collect();
        let merged = match merge::merge(&held.search, &bodies) {
            Ok(merged) => merged,
            Err(why) => {
                let reason = format!("the shards' answers can't be merged exactly: {why}");
                return self.failed(query, error(500, "search_phase_execution_exception", &reason));
            }
        };
        let took = (now - held.began_at).max(0.0).round();
        let scroll =
            held.scroll.as_ref().map_or_else(String::new, |name| format!("\"_scroll_id\":\"{name}\","));
        let timed_out = !whole && now >= held.expires_at - LATE;
        let shards = self.shards_of(held, &values);
        let body = format!(
            "{{{scroll}\"took\":{took},\"timed_out\":{timed_out},\"_shards\":{shards},{}}}",
            merged.members
        );
        self.end(query, true, merged.last);
        Response::new(200, body)
    }

    fn refuse(&mut self, query: RequestId, after: Option<Ms>) -> Response {
        let refused = error(429, "rejected_execution_exception", "refused, ask again later").after(after);
        self.failed(query, refused)
    }

    fn fail(&mut self, query: RequestId, why: Failure, after: Option<Ms>) -> Response {
        let response = match why {
            Failure::TimedOut => error(504, "search_phase_execution_exception", "not answered in time"),
            Failure::Unserved => error(503, "search_phase_execution_exception", "a shard could not be had"),
        };
        self.failed(query, response.after(after))
    }

    fn gone(&mut self, query: RequestId) {
        self.end(query, false, None);
    }

    fn bad(&self, bad: Bad) -> Response {
        match bad {
            Bad::Malformed => illegal("not HTTP as it should be"),
            Bad::TooSlow => error(408, "request_timeout_exception", "the request did not come in whole"),
            Bad::TooLarge => error(413, "content_too_long_exception", "the body is over 64 KiB"),
        }
    }

    fn frame(&mut self, send: &Send, now: Ms) -> (String, Vec<u8>) {
        let Some(held) = self.held.get(&send.query) else { return Default::default() };
        let wait = (send.stop_at - now).floor().max(1.0);
        let (index, shard, body) = (&self.index, send.shard, &held.body);
        let head = format!(
            "POST /{index}/_search?preference=_shards:{shard}&allow_partial_search_results=false&timeout={wait}ms \
             HTTP/1.1\r\nHost: {index}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        (String::new(), head.into_bytes())
    }

    fn cancel(&self, _name: &str) -> Option<Vec<u8>> {
        None
    }

    fn probe(&self) -> Option<Vec<u8>> {
        None
    }

    fn reply(&self, input: &mut Vec<u8>) -> Result<Option<NodeReply<Found>>, PeerError> {
        if input.is_empty() {
            return Ok(None);
        }
        let head = http::response_head(input).map_err(|_| PeerError::NotHttp)?;
        let Some(head) = head else { return Ok(None) };
        let framing = head.framing.ok_or(PeerError::Body)?;
        let body =
            http::body(framing, &input[head.length..], NODE_BODY_LIMIT).map_err(|_| PeerError::Body)?;
        let Some((body, used)) = body else { return Ok(None) };
        input.drain(..head.length + used);
        let text = String::from_utf8(body).map_err(|_| PeerError::NotUtf8)?;
        Ok(Some(NodeReply::Part(None, found(head.status, &text)?, head.close)))
    }
}

/// What a node's answer says of its part.
fn found(status: u16, text: &str) -> Result<Result<(i64, Found), Outcome>, PeerError> {
    Ok(match status {
        200 => {
            let body: NodeBody =
                json::from_str(text).map_err(|_| PeerError::Answer(text.chars().take(60).collect()))?;
            // A 200 may hide a shard that failed or stopped early: that part has failed, whatever else came.
            let shards = &body._shards;
            let whole = shards.failed == 0 && shards.successful == shards.total && shards.total == 1;
            if whole && !body.timed_out {
                Ok((0, Found::Body(Rc::new(body))))
            } else {
                Err(Outcome::Fault)
            }
        }
        // Turned away by a full queue before it began.
        429 => Err(Outcome::NoRoom),
        400 => Ok((0, Found::Rejected(400, text.into()))),
        _ => Err(Outcome::Fault),
    })
}
