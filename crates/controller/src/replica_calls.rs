//! Calls to replicas: orders and questions, one connection each.

use process::Event;
use std::net::SocketAddrV4;
use std::time::Duration;

use catalog::ModelVersion;
use serde::{Deserialize, Serialize};

use crate::duty::moves::{ReplicaCall, Report};
use crate::event::ControllerEvent;
use crate::http_client::{HttpAnswer, HttpCall, HttpClient, Patience};
use crate::machine::Input;

/// How long a call may take. With the margin of the duty's window, the time for the connection bounds how late an
/// order can leave.
const PATIENCE: Patience = Patience {
    connect: Duration::from_millis(250),
    answer: Duration::from_millis(1_000),
    answer_bytes: 256 * 1024,
};

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct Order<'a> {
    order_kind: &'a str,
    model: &'a str,
    version: u64,
    method: &'a str,
    holder: &'a str,
    fence: u64,
    expected: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct ReportBody {
    #[serde(default)]
    models: Vec<ReportModel>,
    #[serde(default)]
    busy: bool,
    #[serde(default)]
    call_count: u64,
}

#[derive(Deserialize)]
struct ReportModel {
    name: String,
    #[serde(default)]
    version: u64,
}

/// Makes a call in the name of `holder`, and tells how it ended.
pub async fn call(call: ReplicaCall, holder: &str) -> Input {
    match call {
        ReplicaCall::Order { replica, address, model, version, fence, expected, behind_ms } => {
            let (order_kind, method) = ("version", "wait_for");
            let order = Order { order_kind, model: &model, version, method, holder, fence, expected };
            let body = serde_json::to_vec(&order).unwrap_or_default();
            let answer = once(address, "POST", "/order", &replica, &body).await;
            let status = answer.map(|answer| answer.status);
            let answered = status.map_or_else(|| "no answer".to_string(), |status| status.to_string());
            ControllerEvent::Order
                .info(format_args!("order to replica {replica}, behind for {behind_ms} ms: {model} version {version}: {answered}"));
            Input::Ordered { replica, status }
        }
        ReplicaCall::Report { replica, address } => {
            let answer = once(address, "GET", "/report", &replica, &[]).await;
            let report = answer.filter(|answer| answer.status == 200);
            let report = report.and_then(|answer| read_report(&answer.body));
            Input::Reported { replica, report }
        }
    }
}

/// Makes a call on a connection of its own.
async fn once(
    address: SocketAddrV4,
    method: &str,
    path: &str,
    replica: &str,
    body: &[u8],
) -> Option<HttpAnswer> {
    let call = HttpCall { method, path, replica: Some(replica), wait_ms: None, body, last: true };
    HttpClient::new(address, PATIENCE).call(call).await
}

fn read_report(body: &[u8]) -> Option<Report> {
    let report: ReportBody = serde_json::from_slice(body).ok()?;
    let models = report.models.into_iter();
    Some(Report {
        models: models.map(|model| ModelVersion { name: model.name, version: model.version }).collect(),
        busy: report.busy,
        call_count: report.call_count,
    })
}
