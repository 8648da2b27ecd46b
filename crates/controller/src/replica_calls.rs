//! Calls to replicas: orders and questions, one connection each.

use process::Event;
use std::net::SocketAddrV4;
use std::time::Duration;

use catalog::ModelVersion;
use http::{BodyReader, ResponseFraming, ResponseHead};
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::duty::moves::{ReplicaCall, Report};
use crate::event::ControllerEvent;
use crate::machine::Input;

/// Longest time for a connection to come up. With the margin of the duty's window it bounds how late an order
/// can leave.
const CONNECT: Duration = Duration::from_millis(250);
/// Longest time for an answer.
const ANSWER: Duration = Duration::from_millis(1_000);
/// Longest answer, bytes.
const MOST_ANSWER_BYTES: usize = 256 * 1024;

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct Order<'a> {
    order_kind: &'a str,
    model: &'a str,
    version: u64,
    method: &'a str,
    holder: &'a str,
    fence: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    expected: Option<u64>,
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
        ReplicaCall::Order { replica, address, model, version, fence, expected } => {
            let (order_kind, method) = ("version", "wait_for");
            let order = Order { order_kind, model: &model, version, method, holder, fence, expected };
            let body = serde_json::to_vec(&order).unwrap_or_default();
            let answer = exchange(address, &request("POST", "/order", address, &replica, &body)).await;
            let status = answer.map(|(status, _)| status);
            ControllerEvent::Order
                .info(format_args!("order to replica {replica}: {model} version {version}: {status:?}"));
            Input::Ordered { replica, status }
        }
        ReplicaCall::Report { replica, address } => {
            let answer = exchange(address, &request("GET", "/report", address, &replica, &[])).await;
            let report = answer.filter(|(status, _)| *status == 200).and_then(|(_, body)| read_report(&body));
            Input::Reported { replica, report }
        }
    }
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

fn request(method: &str, path: &str, address: SocketAddrV4, replica: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nExpected-Node: {replica}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends a request; the status and body of the answer, if one came whole.
async fn exchange(address: SocketAddrV4, request: &[u8]) -> Option<(u16, Vec<u8>)> {
    let mut stream = timeout(CONNECT, TcpStream::connect(address)).await.ok()?.ok()?;
    let answer = timeout(ANSWER, async {
        stream.write_all(request).await.ok()?;
        read_answer(&mut stream).await
    });
    let answer = answer.await.ok().flatten();
    if answer.is_none() {
        // What has not arrived must not arrive later, behind another holder's order.
        let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    }
    answer
}

async fn read_answer(stream: &mut TcpStream) -> Option<(u16, Vec<u8>)> {
    let mut buffer = Vec::new();
    let head = loop {
        if let Some((head, length)) = ResponseHead::read(&buffer).ok()? {
            buffer.drain(..length);
            break head;
        }
        read_some(stream, &mut buffer).await?;
    };
    let ResponseFraming::Framed(framing) = head.framing else { return Some((head.status, Vec::new())) };
    let mut reader = BodyReader::new(framing);
    let mut body = Vec::new();
    loop {
        let used = reader.read(&buffer, &mut body).ok()?;
        buffer.drain(..used);
        if reader.is_done() {
            return Some((head.status, body));
        }
        read_some(stream, &mut buffer).await?;
        if body.len() > MOST_ANSWER_BYTES {
            return None;
        }
    }
}

async fn read_some(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    (stream.read_buf(buffer).await.ok()? > 0).then_some(())
}
