//! Long polls of sidecars. A poll is answered at once if the machine has a newer version; otherwise it waits until one
//! is published or the requested time is over.

use super::Server;
use super::connections::readable;
use super::reply::Reply;
use crate::net::timeout::timeout;
use async_channel::{Receiver, Sender};
use async_io::Async;
use futures_lite::future::or;
use landingspread_control::{Poll, ReportedRefusal};
use std::collections::BTreeMap;
use std::net::TcpStream;
use std::time::Instant;

/// Adding a poll removes the ended polls of its scope only once the scope has at least this many polls.
const MIN_PRUNE_AT: usize = 16;

/// The polls that wait for the next version of a scope.
#[derive(Default)]
struct Waiting {
    polls: Vec<Sender<()>>,
    /// The length of `polls` at which ended polls are removed.
    prune_at: usize,
}

/// The waiting polls of all scopes.
#[derive(Default)]
pub struct WaitingPolls(BTreeMap<String, Waiting>);

impl WaitingPolls {
    /// Adds a poll and returns the receiver that wakes it.
    fn add(&mut self, scope: &str) -> Receiver<()> {
        let (notify, notified) = async_channel::bounded(1);
        let waiting = self.0.entry(scope.into()).or_default();
        if waiting.polls.len() >= waiting.prune_at {
            waiting.polls.retain(|poll| !poll.is_closed());
            waiting.prune_at = (2 * waiting.polls.len()).max(MIN_PRUNE_AT);
        }
        waiting.polls.push(notify);
        notified
    }

    /// Wakes all polls of a scope by dropping their senders, which closes the channels.
    pub fn notify(&mut self, scope: &str) {
        self.0.remove(scope);
    }

    /// Removes the ended polls of all scopes.
    pub fn prune(&mut self) {
        for waiting in self.0.values_mut() {
            waiting.polls.retain(|poll| !poll.is_closed());
        }
        self.0.retain(|_, waiting| !waiting.polls.is_empty());
    }
}

impl Server {
    /// Answers a poll; `None` if the client disconnects while it waits.
    pub(super) async fn answer_poll(&self, stream: &Async<TcpStream>, query: &str) -> Option<Reply> {
        let poll = match Poll::from_query(query) {
            Ok(poll) => poll,
            Err(error) => return Some(Reply::error(400, &error.to_string())),
        };
        self.record_poll(&poll);
        let deadline = Instant::now() + poll.wait;
        loop {
            if let Some(delta) = self.store.borrow().delta_for(&poll) {
                return Some(Reply::json(200, delta.to_json()));
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Some(Reply::no_content());
            }
            let notified = self.waiting.borrow_mut().add(&poll.scope);
            let published = async {
                let _ = timeout(remaining, notified.recv()).await;
                Some(())
            };
            // The client sends nothing while its poll waits, so a readable stream is a disconnect.
            let disconnected = async {
                readable(stream).await;
                None
            };
            or(published, disconnected).await?;
        }
    }

    /// Records the version that a poll acknowledges, and logs each refusal once.
    fn record_poll(&self, poll: &Poll) {
        let (now, mut store) = (self.clock.now(), self.store.borrow_mut());
        let refused = poll.refused.as_ref();
        let new_refusal =
            refused.filter(|refused| !store.has_refused(&poll.scope, &poll.name, refused.version));
        if let Some(ReportedRefusal { version, reason }) = new_refusal {
            let (scope, name) = (&poll.scope, &poll.name);
            tracing::warn!(scope, name, %version, "control machine: follower refused version: {reason}");
        }
        store.record_poll(now, poll);
    }
}
