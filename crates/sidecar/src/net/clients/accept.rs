//! Taking connections, and closing others where there is no room for a new one.

use super::state::{ClientSide, IdleKey, PERMIT_POLL_INTERVAL};
use crate::net::local_failure::{FailureCause, failure_cause};
use async_io::{Async, Timer};
use futures_lite::future::{or, yield_now};
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

/// This many connections at once that have said nothing yet are a crowd.
const CROWD_SIZE: usize = 8;
/// The pause after a connection was closed for its descriptor: it is free by then.
const DESCRIPTOR_WAIT: Duration = Duration::from_millis(1);

impl ClientSide {
    /// Takes connections until it is told to stop. One that is taken is never dropped unheard, and what the system has taken
    /// by then is taken too, as its clients may have written their requests already.
    pub async fn accept(self: Rc<Self>, listener: Async<TcpListener>) {
        loop {
            let Some(permit) = self.resources.client_sockets.take() else {
                let _ = self.close_idle_without_request() || self.close_idle_or_stalled();
                Timer::after(PERMIT_POLL_INTERVAL).await;
                continue;
            };
            let stopped = async {
                self.accepting.closed().await;
                None
            };
            match or(async { Some(listener.accept().await) }, stopped).await {
                Some(Ok((stream, _))) => {
                    // Whoever comes when only spare permits are left, and all others are busy, is heard all the same and
                    // rejected with an answer: a connection that is not accepted would lose what its client has written.
                    let on_spare_permit = self.only_spare_permits_left().await;
                    self.silent_new_connections.set(self.silent_new_connections.get() + 1);
                    self.executor
                        .spawn(self.clone().serve_connection(stream, permit, on_spare_permit))
                        .detach();
                }
                Some(Err(error)) => self.accept_failed(&error).await,
                None => return,
            }
        }
    }

    /// Whoever waits at the listener has most likely written a request that nobody has yet: idle connections make room.
    async fn accept_failed(&self, error: &io::Error) {
        self.failed_accepts.record("accept", error);
        match failure_cause(error) {
            FailureCause::Transient => yield_now().await,
            FailureCause::Descriptors => {
                // Who is in the middle of a request is no more to blame than who waits.
                let closed = self.pool.close_longest_idle()
                    || self.close_idle_without_request()
                    || self.close_longest_idle();
                Timer::after(if closed { DESCRIPTOR_WAIT } else { PERMIT_POLL_INTERVAL }).await;
            }
            FailureCause::LocalResources | FailureCause::Remote => {
                Timer::after(PERMIT_POLL_INTERVAL).await;
            }
        }
    }

    /// Ends `accept` once nobody waits to be taken.
    pub fn stop_accepting(&self) {
        self.accepting.close();
    }

    /// Makes room where only spare permits are left; returns whether there is none. In a crowd that has just connected it
    /// waits for those who say nothing, rather than close clients that had requests; for a few it must not wait, or
    /// nobody would be accepted.
    async fn only_spare_permits_left(&self) -> bool {
        while self.resources.client_sockets.only_spare_left() {
            let crowd = self.close_idle_without_request() || self.silent_new_connections.get() >= CROWD_SIZE;
            if !crowd || self.accepting.is_closed() {
                return !self.close_idle_or_stalled();
            }
            Timer::after(PERMIT_POLL_INTERVAL).await;
        }
        false
    }

    /// Closes the older half of the idle connections that had no request: a crowd connects faster than one could be closed
    /// for each that is taken.
    fn close_idle_without_request(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let first_with_request = IdleKey { had_request: true, number: 0 };
        let new: Vec<_> = idle.range(..first_with_request).map(|(key, _)| *key).collect();
        for key in &new[..new.len().div_ceil(2)] {
            if let Some(close) = idle.remove(key) {
                let _ = close.try_send(());
            }
        }
        !new.is_empty()
    }

    /// Closes an idle connection, which loses nothing, or else the partial request of which nothing came for longest: its
    /// client has most likely stopped.
    fn close_idle_or_stalled(&self) -> bool {
        self.close_longest_idle() || self.close_stalled_request()
    }

    fn close_stalled_request(&self) -> bool {
        let mut partial = self.partial_requests.borrow_mut();
        let stalled = partial.iter().min_by_key(|(_, request)| request.last_read.get());
        let stalled = stalled.map(|(number, _)| *number);
        let stalled = stalled.and_then(|number| partial.remove(&number));
        stalled.is_some_and(|request| request.close.try_send(()).is_ok())
    }

    pub(super) fn close_longest_idle(&self) -> bool {
        let longest = self.idle.borrow_mut().pop_first();
        longest.is_some_and(|(_, close)| close.try_send(()).is_ok())
    }

    /// Closes idle connections while this process uses more than its share, as another process of this sidecar needs it.
    pub fn shrink_to_share(&self) {
        while self.resources.exceeds_share() && self.close_longest_idle() {}
    }
}
