//! Tells the platform whether clients are to be sent here.

use crate::connection::Connection;
use crate::shared::Shared;
use http::Response;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};

/// The path that is asked.
const PATH: &str = "/readiness";
/// Longest rest of a connection.
const IDLE: Duration = Duration::from_secs(15);

/// Serves a connection of the platform to its end.
pub(crate) async fn serve(shared: Rc<Shared>, stream: TcpStream) {
    let Ok(mut asker) = Connection::accepted(stream) else { return };
    loop {
        match http::request(&asker.input) {
            Ok(Some((request, length))) => {
                asker.used(length);
                let status = match (request.path == PATH, shared.is_ready()) {
                    (false, _) => 404,
                    (true, true) => 200,
                    (true, false) => 503,
                };
                let bytes = Response::new(status, "").bytes(request.close);
                if asker.write(&bytes).await.is_err() || request.close {
                    return;
                }
            }
            Ok(None) => {
                let read = timeout_at(Instant::now() + IDLE, asker.fill()).await;
                if !matches!(read, Ok(Ok(count)) if count > 0) {
                    return;
                }
            }
            Err(_) => return,
        }
    }
}
