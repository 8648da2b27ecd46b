//! Book nodes as DNS-SD records (RFC 6763) read from a file in the master-file form: PTR names the
//! instances of a service, SRV gives host and port, TXT the attributes, A or AAAA the host's address.
//! There is no DNS traffic.

use crate::interface::*;
use crate::net::News;
use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, SocketAddr};
use thiserror::Error;

/// Why a file of records can't be used.
#[derive(Debug, Error)]
#[allow(missing_docs)]
pub enum RecordError {
    #[error("line {line}: {why}; mend or comment out that line")]
    Line { line: usize, why: LineError },
    #[error("{instance}: no {what}; add it, or take the instance's PTR record out")]
    Missing { instance: String, what: &'static str },
    #[error("{instance}: unknown state {state}; write in_service or terminating")]
    State { instance: String, state: String },
}

/// What is wrong with one line.
#[derive(Debug, Error)]
#[allow(missing_docs)]
pub enum LineError {
    #[error("a backslash stands at the end")]
    Backslash,
    #[error("a bad \\DDD")]
    Escape,
    #[error("a quote that does not end")]
    Quote,
    #[error("not UTF-8")]
    NotUtf8,
    #[error("a record without a type")]
    NoType,
    #[error("`{0}` is no number below 65536")]
    Number(String),
    #[error("`{0}` is no address")]
    Address(String),
    #[error("a bad record of type {0}")]
    Kind(String),
}

#[derive(Debug, Clone, PartialEq)]
enum Data {
    Ptr(String),
    Srv { priority: u16, weight: u16, port: u16, host: String },
    Txt(Vec<String>),
    Address(IpAddr),
}

/// Splits a line into words. Quotes hold words together; a backslash takes the next character, or three
/// digits of a byte, as it is; a semicolon begins a comment.
fn words(line: &str) -> Result<Vec<String>, LineError> {
    let mut words = Vec::new();
    let (mut word, mut quoted, mut begun) = (Vec::new(), false, false);
    let mut bytes = line.bytes().peekable();
    while let Some(byte) = bytes.next() {
        match byte {
            b'\\' => {
                begun = true;
                let next = bytes.next().ok_or(LineError::Backslash)?;
                if next.is_ascii_digit() {
                    let mut code = u32::from(next - b'0');
                    for _ in 0..2 {
                        let digit = bytes.next().filter(u8::is_ascii_digit).ok_or(LineError::Escape)?;
                        code = code * 10 + u32::from(digit - b'0');
                    }
                    word.push(u8::try_from(code).map_err(|_| LineError::Escape)?);
                } else {
                    word.push(next);
                }
            }
            b'"' => (quoted, begun) = (!quoted, true),
            b';' if !quoted => break,
            b' ' | b'\t' if !quoted => {
                if std::mem::take(&mut begun) {
                    words.push(std::mem::take(&mut word));
                }
            }
            _ => {
                begun = true;
                word.push(byte);
            }
        }
    }
    if quoted {
        return Err(LineError::Quote);
    }
    if begun {
        words.push(word);
    }
    words.into_iter().map(|word| String::from_utf8(word).map_err(|_| LineError::NotUtf8)).collect()
}

/// Names are compared without case and without the final dot.
fn name(text: &str) -> String {
    text.trim_end_matches('.').to_ascii_lowercase()
}

fn record(line: &str) -> Result<Option<(String, Data)>, LineError> {
    let words = words(line)?;
    let Some((owner, rest)) = words.split_first() else { return Ok(None) };
    // A time to live and the class may stand before the type.
    let skip =
        rest.iter().take_while(|w| w.eq_ignore_ascii_case("IN") || w.bytes().all(|b| b.is_ascii_digit()));
    let (kind, data) = rest[skip.count()..].split_first().ok_or(LineError::NoType)?;
    let number = |text: &String| text.parse::<u16>().map_err(|_| LineError::Number(text.clone()));
    let data = match (kind.to_ascii_uppercase().as_str(), data) {
        ("PTR", [target]) => Data::Ptr(name(target)),
        ("SRV", [priority, weight, port, host]) => Data::Srv {
            priority: number(priority)?,
            weight: number(weight)?,
            port: number(port)?,
            host: name(host),
        },
        ("TXT", texts) if !texts.is_empty() => Data::Txt(texts.to_vec()),
        ("A" | "AAAA", [address]) => {
            Data::Address(address.parse().map_err(|_| LineError::Address(address.clone()))?)
        }
        (kind, _) => return Err(LineError::Kind(kind.into())),
    };
    Ok(Some((name(owner), data)))
}

/// The attributes of an instance: keys without case, the first of a key holds (RFC 6763, 6.4).
fn attributes(texts: &[String]) -> BTreeMap<String, String> {
    let mut read = BTreeMap::new();
    for text in texts {
        let (key, value) = text.split_once('=').unwrap_or((text, ""));
        if !key.is_empty() {
            read.entry(key.to_ascii_lowercase()).or_insert_with(|| value.to_string());
        }
    }
    read
}

/// Reads the instances of services; their numbers stay the same from one reading to the next.
#[derive(Debug, Default)]
pub struct Records {
    numbers: HashMap<String, ReplicaId>,
    unix_start: Ms,
}

impl Records {
    /// `unix_start` is the Unix time at which the module's clock started.
    pub fn new(unix_start: Ms) -> Self {
        Records { numbers: HashMap::new(), unix_start }
    }

    /// Reads the whole list of a service's instances. SRV records of a lower priority than the first are
    /// not used; the weight is the node's size (10 for the usual one). TXT gives `cell`, `zone`, `kind`,
    /// `started_ms` and `state` (`in_service` where it is absent).
    ///
    /// # Errors
    /// Names the line or the instance that makes no sense.
    pub fn read(&mut self, text: &str, service: &str) -> Result<News, RecordError> {
        let mut records = Vec::new();
        for (number, line) in text.lines().enumerate() {
            records.extend(record(line).map_err(|why| RecordError::Line { line: number + 1, why })?);
        }
        let of = |owner: &str| {
            let owner = owner.to_string();
            records.iter().filter(move |(name, _)| *name == owner).map(|(_, data)| data)
        };
        let (mut entries, mut addrs, mut names) = (Vec::new(), Vec::new(), Vec::new());
        for data in of(&name(service)) {
            let Data::Ptr(instance) = data else { continue };
            let missing = |what| RecordError::Missing { instance: instance.clone(), what };
            let srv = of(instance).filter_map(|data| match data {
                Data::Srv { priority, weight, port, host } => Some((*priority, *weight, *port, host)),
                _ => None,
            });
            let (_, weight, port, host) = srv.min_by_key(|srv| srv.0).ok_or_else(|| missing("SRV record"))?;
            let ip = of(host).find_map(|data| if let Data::Address(ip) = data { Some(*ip) } else { None });
            let ip = ip.ok_or_else(|| missing("address for the host of its SRV record"))?;
            let texts =
                of(instance).find_map(|data| if let Data::Txt(texts) = data { Some(texts) } else { None });
            let told = attributes(texts.map_or(&[], Vec::as_slice));
            let cell = told.get("cell").and_then(|cell| cell.parse().ok());
            let lifecycle = match told.get("state").map_or("in_service", String::as_str) {
                "in_service" => Lifecycle::On,
                "terminating" => Lifecycle::Fading,
                other => return Err(RecordError::State { instance: instance.clone(), state: other.into() }),
            };
            let started = told.get("started_ms").and_then(|ms| ms.parse::<f64>().ok());
            let next = ReplicaId(self.numbers.len() as u32 + 1);
            let id = *self.numbers.entry(instance.clone()).or_insert(next);
            addrs.push((id, SocketAddr::new(ip, port)));
            names.push((id, instance.split('.').next().unwrap_or_default().to_string()));
            entries.push(Listed {
                id,
                cell: cell.ok_or_else(|| missing("`cell` in its TXT record"))?,
                zone: told.get("zone").cloned().unwrap_or_default(),
                model: told.get("kind").cloned().unwrap_or_default(),
                size: f64::from(weight.max(1)) / 10.0,
                born: started.filter(|ms| ms.is_finite() && *ms > 0.0).map(|ms| ms - self.unix_start),
                lifecycle,
            });
        }
        Ok(News { kind: ListKind::Replace, entries, addrs, names })
    }
}
