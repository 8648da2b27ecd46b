//! What can go wrong beside the queries, by concern. Each says what an operator can do and what goes on meanwhile.

use crate::opensearch::records::RecordError;
use crate::settings::ConfigError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// Why the program can't begin to serve, or can't take a file in while it does. At a start it ends with exit code 1; a
/// program that serves goes on with what it had.
#[derive(Debug, Error)]
#[allow(missing_docs)]
pub enum ServeError {
    #[error("LB_CONFIG names no file and --opensearch neither: nothing to serve; see steppick --help")]
    Nothing,
    #[error("STEPPICK_LOG: `{0}` is not a level; set error, warn, info, debug or trace")]
    Level(String),
    #[error("{}: can't be read: {why}; check the path and its rights", path.display())]
    File { path: PathBuf, why: io::Error },
    #[error("{}: {why}", path.display())]
    Config { path: PathBuf, why: ConfigError },
    #[error("{}: {why}", path.display())]
    Records { path: PathBuf, why: RecordError },
    #[error("{}: {why}; make it anew with steppick place solve", path.display())]
    Placement { path: PathBuf, why: placement::Fault },
    #[error("can't listen on {address}: {why}; free the address or name another in `listen`")]
    Listen { address: SocketAddr, why: io::Error },
    #[error(
        "can't listen for operators on {address}: {why}; free the address or name another in `admin_addr`"
    )]
    Admin { address: SocketAddr, why: io::Error },
    #[error("LB_ADMIN_ADDR: {0}")]
    AdminAddress(ConfigError),
    #[error("the system refused {what}: {why}; check the limits on descriptors and memory")]
    System { what: &'static str, why: String },
}

/// Why a connection to a node or to discovery can't go on. It is closed and its calls end as broken; the next one goes to
/// a new connection. A peer that keeps doing this speaks another protocol or version.
#[derive(Debug, Error)]
#[allow(missing_docs)]
pub enum PeerError {
    #[error("no HTTP answer")]
    NotHttp,
    #[error("status {0} in place of a stream of lists; check that `discovery` names a discovery")]
    Status(u16),
    #[error("bad chunks or a bad body")]
    Body,
    #[error("a list that can't be read: {0}")]
    List(serde_json::Error),
    #[error("a list of over {0} bytes without an end")]
    LongList(usize),
    #[error("the stream ended")]
    Ended,
    #[error("for 6 s only lists older than version {0}: discovery counts anew, what it tells is followed")]
    Behind(u64),
    #[error("a frame of {0} bytes")]
    FrameLength(usize),
    #[error("text that is not UTF-8")]
    NotUtf8,
    #[error("an answer that can't be read: {0:.60}")]
    Answer(String),
    #[error("a frame of unknown kind {0}")]
    FrameKind(u8),
    #[error("the node could not use a frame, it says: {0:.60}")]
    Refused(String),
}
