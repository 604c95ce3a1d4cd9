//! Waiting with an end.

use async_io::Timer;
use futures_lite::future::or;
use std::time::Duration;

/// What the work brings, or None when it takes longer.
pub async fn timeout<T>(span: Duration, work: impl Future<Output = T>) -> Option<T> {
    let late = async {
        Timer::after(span).await;
        None
    };
    or(async { Some(work.await) }, late).await
}
