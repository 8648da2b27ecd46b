//! Waiting up to a point in time.

use std::future::{poll_fn, Future};
use std::pin::pin;
use std::task::Poll;
use tokio::time::{sleep_until, Instant};

/// Returns at `deadline`, also where the runtime has not looked at its timers since.
pub(crate) async fn reached(deadline: Instant) {
    let mut timer = pin!(sleep_until(deadline));
    poll_fn(|context| match Instant::now() >= deadline {
        true => Poll::Ready(()),
        false => timer.as_mut().poll(context),
    })
    .await;
}

/// What `future` brings by `deadline`; `None`: it has brought nothing by then.
pub(crate) async fn by<T>(deadline: Instant, future: impl Future<Output = T>) -> Option<T> {
    tokio::select! {
        biased;
        brought = future => Some(brought),
        () = reached(deadline) => None,
    }
}
