//! What machines tell each other: a version is pushed once when it is published, and each machine looks at each other one
//! every second, by one digest over all that it has. Whatever was cut off for however long is caught up by that.

use super::super::call::Line;
use super::Machine;
use async_channel::{Receiver, Sender};
use landingspread_control::{Delta, VersionSummary};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::net::timeout::timeout;

const LOOK_EVERY: Duration = Duration::from_secs(1);
const ANSWER_WITHIN: Duration = Duration::from_secs(2);
/// Longer than a look that fails.
const LATELY: Duration = Duration::from_secs(4);
/// Pushes that wait for a machine; what is past that it finds by looking.
const PUSHES_MOST: usize = 1024;
/// Buffers for the versions of all scopes that there may be.
const SUMMARY: usize = 256;
const DIGEST: usize = 1;
const SNAPSHOT: usize = landingspread_control::MAX_DELTA_BYTES / crate::net::buffers::SIZE + 1;

/// A scope whose version is to be told, and who hears once the other machine has it.
pub type Push = (String, Sender<()>);

pub struct Peer {
    pub address: SocketAddr,
    pushes: Sender<Push>,
    heard: Cell<Option<Instant>>,
}

impl Peer {
    pub fn new(address: SocketAddr) -> (Peer, Receiver<Push>) {
        let (pushes, pushed) = async_channel::bounded(PUSHES_MOST);
        (Peer { address, pushes, heard: Cell::new(None) }, pushed)
    }

    pub fn push(&self, scope: &str, done: Sender<()>) {
        let _ = self.pushes.try_send((scope.into(), done));
    }

    /// Whether it can be counted on to answer: others would hold up whoever waits for them.
    pub fn answers(&self) -> bool {
        self.age().is_some_and(|age| age < LATELY)
    }

    /// How long ago it last answered.
    pub fn age(&self) -> Option<Duration> {
        self.heard.get().map(|at| at.elapsed())
    }
}

impl Machine {
    /// Pushes to and looks at one other machine, for ever.
    pub(super) async fn follow_peer(self: Rc<Self>, number: usize, pushes: Receiver<Push>) {
        let Some(peer) = self.peers.get(number) else { return };
        let (mut line, mut look_at, mut there) = (Line::default(), Instant::now(), None);
        loop {
            let until = look_at.saturating_duration_since(Instant::now());
            let done = match timeout(until, pushes.recv()).await {
                Some(Ok((scope, done))) => {
                    let pushed = self.push(peer, &mut line, &scope).await;
                    pushed.map(|()| _ = done.try_send(()))
                }
                Some(Err(_)) => return,
                None => {
                    let looked = self.look(peer, &mut line).await;
                    look_at = Instant::now() + LOOK_EVERY;
                    looked
                }
            };
            match &done {
                Ok(()) => peer.heard.set(Some(Instant::now())),
                Err(_) => line.close(),
            }
            if there.replace(done.is_ok()) != Some(done.is_ok()) {
                match done {
                    Ok(()) => tracing::info!(machine = %peer.address, "control machine: another answers"),
                    Err(wrong) => {
                        tracing::warn!(machine = %peer.address, "control machine: another does not: {wrong}");
                    }
                }
            }
        }
    }

    async fn ask(
        &self,
        peer: &Peer,
        line: &mut Line,
        head: &str,
        body: &str,
        most: usize,
    ) -> Result<Vec<u8>, String> {
        let (body, stock) = (body.as_bytes(), &self.stock);
        match line.call(peer.address, head, body, stock, most, ANSWER_WITHIN).await? {
            (200 | 204, bytes) => Ok(bytes),
            (status, _) => Err(format!("status {status}")),
        }
    }

    async fn push(&self, peer: &Peer, line: &mut Line, scope: &str) -> Result<(), String> {
        let Some(text) = self.board.borrow().current(scope).map(|holds| holds.full_delta().to_json()) else {
            return Ok(());
        };
        self.ask(peer, line, &format!("PUT /control/v1/snapshot?from={}", self.listen), &text, DIGEST)
            .await
            .map(drop)
    }

    /// Takes what the other machine has and this one has not.
    async fn look(&self, peer: &Peer, line: &mut Line) -> Result<(), String> {
        let theirs = self.ask(peer, line, "GET /control/v1/digest", "", DIGEST).await?;
        if theirs == format!("{:032x}", self.digest()).into_bytes() {
            return Ok(());
        }
        let theirs = self.ask(peer, line, "GET /control/v1/versions", "", SUMMARY).await?;
        let theirs: VersionSummary = serde_json::from_slice(&theirs).map_err(|wrong| wrong.to_string())?;
        let wanted = self.board.borrow().outdated_scopes(&theirs);
        for scope in wanted {
            let head = format!("GET /control/v1/snapshot?scope={scope}");
            let bytes = self.ask(peer, line, &head, "", SNAPSHOT).await?;
            let change = Delta::from_json(&bytes).map_err(|unfit| unfit.to_string())?;
            self.merge(change, peer.address).map_err(|unfit| unfit.to_string())?;
        }
        Ok(())
    }
}
