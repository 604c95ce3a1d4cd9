//! Replication between control machines. A version is pushed to all peers once when it is published. Every second each
//! machine also compares the digest over all versions with every peer and fetches the versions that it missed.

use super::super::client::{CallError, ControlClient, Request};
use super::Server;
use crate::net::buffers;
use crate::net::http::HttpError;
use crate::net::timeout::timeout;
use async_channel::{Receiver, Sender};
use landingspread_control::{Delta, DeltaError, MAX_DELTA_BYTES, VersionSummary};
use std::cell::Cell;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The time between two polls of a peer.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// The maximum time for a peer's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// A peer that has answered within this time counts as available. It is longer than a failing poll takes.
const AVAILABLE_FOR: Duration = Duration::from_secs(4);
/// The maximum number of queued pushes to a peer. The peer's polls fetch the versions beyond it.
const MAX_PENDING_PUSHES: usize = 1024;
/// The number of buffers for the summary of the maximum number of scopes.
const SUMMARY_BUFFERS: usize = 256;
/// The number of buffers for a digest or an answer without a body.
const DIGEST_BUFFERS: usize = 1;
/// The number of buffers for a response with the largest snapshot.
const SNAPSHOT_BUFFERS: usize = MAX_DELTA_BYTES / buffers::BUFFER_SIZE + 1;

/// The push of a scope's current version to a peer.
pub struct Push {
    scope: String,
    /// Notified once the peer has the version.
    done: Sender<()>,
}

/// Another control machine, as this one sees it.
pub struct Peer {
    /// The address at which the peer listens.
    pub address: SocketAddr,
    pushes: Sender<Push>,
    answered_at: Cell<Option<Instant>>,
}

/// Why an exchange with a peer failed.
enum SyncError {
    Call(CallError),
    /// The peer's summary of versions can't be read.
    Summary(serde_json::Error),
    /// The peer's snapshot can't be merged.
    Delta(DeltaError),
}

impl SyncError {
    /// Whether the peer answered, so that its other versions may be usable.
    fn concerns_one_version(&self) -> bool {
        match self {
            SyncError::Delta(_) | SyncError::Call(CallError::Status(_)) => true,
            SyncError::Call(CallError::Http(error)) => {
                matches!(error, HttpError::TooLarge | HttpError::FramingTooLarge | HttpError::Malformed)
            }
            SyncError::Summary(_) | SyncError::Call(CallError::Timeout(_) | CallError::Io(_)) => false,
        }
    }
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
    /// Creates a peer that has not answered yet, with the receiver of the pushes to it.
    pub fn new(address: SocketAddr) -> (Peer, Receiver<Push>) {
        let (pushes, receiver) = async_channel::bounded(MAX_PENDING_PUSHES);
        (Peer { address, pushes, answered_at: Cell::new(None) }, receiver)
    }

    /// Queues a push of the scope's current version. `done` is notified once the peer has it.
    pub fn push(&self, scope: &str, done: Sender<()>) {
        let _ = self.pushes.try_send(Push { scope: scope.into(), done });
    }

    /// Whether the peer has answered recently. Callers don't wait for unavailable peers.
    pub fn is_available(&self) -> bool {
        self.last_answer_age().is_some_and(|age| age < AVAILABLE_FOR)
    }

    /// The time since the peer's last answer; `None` if it has not answered yet.
    pub fn last_answer_age(&self) -> Option<Duration> {
        self.answered_at.get().map(|at| at.elapsed())
    }
}

impl Server {
    /// Sends the queued pushes to one peer and polls it, without end.
    pub(super) async fn synchronize(self: Rc<Self>, number: usize, pushes: Receiver<Push>) {
        let Some(peer) = self.peers.get(number) else { return };
        let (mut client, mut poll_at, mut was_available) = (ControlClient::default(), Instant::now(), None);
        let mut unusable_scopes = BTreeSet::new();
        loop {
            let remaining = poll_at.saturating_duration_since(Instant::now());
            let result = match timeout(remaining, pushes.recv()).await {
                Some(Ok(Push { scope, done })) => {
                    let pushed = self.push(peer, &mut client, &scope).await;
                    pushed.map(|()| _ = done.try_send(()))
                }
                Some(Err(_)) => return,
                None => {
                    let polled = self.poll(peer, &mut client, &mut unusable_scopes).await;
                    poll_at = Instant::now() + POLL_INTERVAL;
                    polled
                }
            };
            match &result {
                Ok(()) => peer.answered_at.set(Some(Instant::now())),
                Err(_) => client.close(),
            }
            if was_available.replace(result.is_ok()) != Some(result.is_ok()) {
                log_availability(peer, result);
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

    /// Fetches and merges the versions that are newer on the peer than here. A version that the peer sends and that can't be
    /// used is skipped; `unusable` holds the scopes of such versions, so that each is logged once.
    async fn poll(
        &self,
        peer: &Peer,
        client: &mut ControlClient,
        unusable: &mut BTreeSet<String>,
    ) -> Result<(), SyncError> {
        let digest = self.request(peer, client, "GET /control/v1/digest", "", DIGEST_BUFFERS).await?;
        if digest == format!("{:032x}", self.digest()).into_bytes() {
            return Ok(());
        }
        let summary = self.request(peer, client, "GET /control/v1/versions", "", SUMMARY_BUFFERS).await?;
        let summary: VersionSummary = serde_json::from_slice(&summary)?;
        let outdated = self.store.borrow().outdated_scopes(&summary);
        unusable.retain(|scope| outdated.contains(scope));
        for scope in outdated {
            match self.fetch(peer, client, &scope).await {
                Err(error) if error.concerns_one_version() => {
                    if unusable.insert(scope.clone()) {
                        tracing::warn!(scope, machine = %peer.address, "control machine: version not fetched: {error}");
                    }
                }
                fetched => fetched?,
            }
        }
        Ok(())
    }

    /// Fetches and merges the peer's current version of a scope.
    async fn fetch(&self, peer: &Peer, client: &mut ControlClient, scope: &str) -> Result<(), SyncError> {
        let target = format!("GET /control/v1/snapshot?scope={scope}");
        let bytes = self.request(peer, client, &target, "", SNAPSHOT_BUFFERS).await?;
        self.merge(Delta::from_json(&bytes)?, peer.address)?;
        Ok(())
    }
}

fn log_availability(peer: &Peer, result: Result<(), SyncError>) {
    match result {
        Ok(()) => tracing::info!(machine = %peer.address, "control machine: peer answers"),
        Err(error) => {
            tracing::warn!(machine = %peer.address, "control machine: peer does not answer: {error}");
        }
    }
}
