//! A timeout for futures.

use async_io::Timer;
use futures_lite::future::or;
use std::time::Duration;

/// Returns the result of `work`, or None if it takes longer than `limit`.
pub async fn timeout<T>(limit: Duration, work: impl Future<Output = T>) -> Option<T> {
    let timed_out = async {
        Timer::after(limit).await;
        None
    };
    or(async { Some(work.await) }, timed_out).await
}
