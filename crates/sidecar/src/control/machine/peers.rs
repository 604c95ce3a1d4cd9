//! How control machines keep each other up to date. A version is pushed once when it is published, and each machine polls
//! each other one every second by one digest over all versions: whatever was missed, for however long, is fetched then.

use super::super::client::{CallError, ControlClient, Request};
use super::Server;
use crate::net::buffers;
use crate::net::timeout::timeout;
use async_channel::{Receiver, Sender};
use landingspread_control::{Delta, DeltaError, MAX_DELTA_BYTES, VersionSummary};
use std::cell::Cell;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

const POLL_INTERVAL: Duration = Duration::from_secs(1);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// A peer that has answered within this time is available. Longer than a poll that fails.
const AVAILABLE_FOR: Duration = Duration::from_secs(4);
/// Pushes that wait for a peer; what is past that it finds by polling.
const MAX_PENDING_PUSHES: usize = 1024;
/// Buffers for the versions of all scopes that there may be.
const SUMMARY_BUFFERS: usize = 256;
const DIGEST_BUFFERS: usize = 1;
const SNAPSHOT_BUFFERS: usize = MAX_DELTA_BYTES / buffers::BUFFER_SIZE + 1;

/// A scope whose version is pushed.
pub struct Push {
    scope: String,
    /// Notified once the peer has the version.
    done: Sender<()>,
}

/// Another control machine.
pub struct Peer {
    /// Where it listens.
    pub address: SocketAddr,
    pushes: Sender<Push>,
    answered: Cell<Option<Instant>>,
}

/// Why an exchange with a peer failed.
enum SyncError {
    Call(CallError),
    /// The peer's summary of versions can't be read.
    Summary(serde_json::Error),
    /// The peer's snapshot can't be merged.
    Delta(DeltaError),
}

impl fmt::Display for SyncError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SyncError::Call(error) => error.fmt(f),
            SyncError::Summary(error) => error.fmt(f),
            SyncError::Delta(error) => error.fmt(f),
        }
    }
}

impl From<CallError> for SyncError {
    fn from(error: CallError) -> SyncError {
        SyncError::Call(error)
    }
}

impl From<serde_json::Error> for SyncError {
    fn from(error: serde_json::Error) -> SyncError {
        SyncError::Summary(error)
    }
}

impl From<DeltaError> for SyncError {
    fn from(error: DeltaError) -> SyncError {
        SyncError::Delta(error)
    }
}

impl Peer {
    /// A peer that has not answered yet, and the pushes that are queued for it.
    pub fn new(address: SocketAddr) -> (Peer, Receiver<Push>) {
        let (pushes, pushed) = async_channel::bounded(MAX_PENDING_PUSHES);
        (Peer { address, pushes, answered: Cell::new(None) }, pushed)
    }

    /// Queues the current version of a scope.
    pub fn push(&self, scope: &str, done: Sender<()>) {
        let _ = self.pushes.try_send(Push { scope: scope.into(), done });
    }

    /// Whether it can be expected to answer: others would hold up those who wait for them.
    pub fn is_available(&self) -> bool {
        self.last_answer_age().is_some_and(|age| age < AVAILABLE_FOR)
    }

    /// How long ago it last answered.
    pub fn last_answer_age(&self) -> Option<Duration> {
        self.answered.get().map(|at| at.elapsed())
    }
}

impl Server {
    /// Pushes to and polls one peer, for ever.
    pub(super) async fn synchronize(self: Rc<Self>, number: usize, pushes: Receiver<Push>) {
        let Some(peer) = self.peers.get(number) else { return };
        let (mut client, mut poll_at, mut was_available) = (ControlClient::default(), Instant::now(), None);
        loop {
            let remaining = poll_at.saturating_duration_since(Instant::now());
            let done = match timeout(remaining, pushes.recv()).await {
                Some(Ok(Push { scope, done })) => {
                    let pushed = self.push(peer, &mut client, &scope).await;
                    pushed.map(|()| _ = done.try_send(()))
                }
                Some(Err(_)) => return,
                None => {
                    let polled = self.poll(peer, &mut client).await;
                    poll_at = Instant::now() + POLL_INTERVAL;
                    polled
                }
            };
            match &done {
                Ok(()) => peer.answered.set(Some(Instant::now())),
                Err(_) => client.close(),
            }
            if was_available.replace(done.is_ok()) != Some(done.is_ok()) {
                log_availability(peer, done);
            }
        }
    }

    async fn request(
        &self,
        peer: &Peer,
        client: &mut ControlClient,
        target: &str,
        body: &str,
        max_buffers: usize,
    ) -> Result<Vec<u8>, CallError> {
        let request = Request { target, body: body.as_bytes(), max_buffers, timeout: ANSWER_TIMEOUT };
        let response = client.call(peer.address, &request, &self.resources).await?;
        match response.status {
            200 | 204 => Ok(response.body),
            status => Err(CallError::Status(status)),
        }
    }

    async fn push(&self, peer: &Peer, client: &mut ControlClient, scope: &str) -> Result<(), SyncError> {
        let text = self.store.borrow().current(scope).map(|current| current.full_delta().to_json());
        let Some(text) = text else { return Ok(()) };
        let target = format!("PUT /control/v1/snapshot?from={}", self.listen);
        self.request(peer, client, &target, &text, DIGEST_BUFFERS).await?;
        Ok(())
    }

    /// Fetches the versions of which the peer has newer ones.
    async fn poll(&self, peer: &Peer, client: &mut ControlClient) -> Result<(), SyncError> {
        let theirs = self.request(peer, client, "GET /control/v1/digest", "", DIGEST_BUFFERS).await?;
        if theirs == format!("{:032x}", self.digest()).into_bytes() {
            return Ok(());
        }
        let theirs = self.request(peer, client, "GET /control/v1/versions", "", SUMMARY_BUFFERS).await?;
        let theirs: VersionSummary = serde_json::from_slice(&theirs)?;
        let outdated = self.store.borrow().outdated_scopes(&theirs);
        for scope in outdated {
            let target = format!("GET /control/v1/snapshot?scope={scope}");
            let bytes = self.request(peer, client, &target, "", SNAPSHOT_BUFFERS).await?;
            self.merge(Delta::from_json(&bytes)?, peer.address)?;
        }
        Ok(())
    }
}

fn log_availability(peer: &Peer, done: Result<(), SyncError>) {
    match done {
        Ok(()) => tracing::info!(machine = %peer.address, "control machine: peer answers"),
        Err(error) => {
            tracing::warn!(machine = %peer.address, "control machine: peer does not answer: {error}");
        }
    }
}
