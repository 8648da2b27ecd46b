//! Tells the platform whether clients are to be sent here, and operators what became of requests.

use crate::connection::Connection;
use crate::metrics::Metrics;
use crate::shared::Shared;
use http::Response;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};

/// Where the platform asks.
const READINESS: &str = "/readiness";
/// Where operators ask.
const METRICS: &str = "/metrics";
/// Longest rest of a connection.
const IDLE: Duration = Duration::from_secs(15);

/// Serves a connection of the platform to its end.
pub(crate) async fn serve(shared: Rc<Shared>, stream: TcpStream) {
    let mut asker = Connection::accepted(stream);
    loop {
        match http::request(&asker.input) {
            Ok(Some((request, length))) => {
                asker.used(length);
                let bytes = answer(&shared, &request.path).bytes(request.close);
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

fn metrics_text(shared: &Shared) -> String {
    let view = shared.view.borrow();
    let (endings, lags) = (shared.endings.borrow(), shared.lags.borrow());
    let metrics = Metrics {
        figures: view.dispatcher.figures(),
        endings: &endings,
        lags: &lags,
        deadline_lag: shared.run_queue.lock().deadline_lag(),
        run_delay: process::run_delay(),
    };
    metrics.text()
}

fn answer(shared: &Shared, path: &str) -> Response {
    match path {
        READINESS if shared.is_ready() => Response::new(200, ""),
        READINESS => Response::new(503, ""),
        METRICS => Response::new(200, metrics_text(shared)),
        _ => Response::new(404, ""),
    }
}
