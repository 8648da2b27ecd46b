//! Calls on connections of their own.

use stand_in::Wire;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::time::timeout;

/// A call on a connection of its own; `None` without a whole answer in time.
pub async fn call(
    address: SocketAddrV4,
    head: &str,
    body: &str,
    patience: Duration,
) -> Option<(u16, Vec<u8>)> {
    let exchange = async {
        let mut wire = Wire::connect(address.into()).await?;
        let length = body.len();
        let request =
            format!("{head}Host: {address}\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}");
        if !wire.write(request).await {
            return None;
        }
        let answer = wire.answer().await?;
        Some((answer.head.status, answer.body?))
    };
    timeout(patience, exchange).await.ok()?
}
