//! The task that follows the configuration of a scope: polls a control machine, applies what it answers, and goes on to
//! the next machine when one fails. Without any machine the version in force stays so.

use super::client::{CallError, ControlClient};
use super::host::{AsyncConfigHost, SidecarHost};
use super::snapshot_cache::SnapshotCache;
use super::status::ControlStatus;
use crate::clock::Clock;
use crate::configuration::{Configuration, ControlSettings};
use crate::net::buffers::{BUFFER_SIZE, ResourcePool};
use crate::net::clients::ClientSide;
use crate::net::owner::EventQueue;
use async_channel::Sender;
use async_io::Timer;
use landingspread_control::{AnswerError, ApplyOutcome, Follower, MAX_DELTA_BYTES, Refusal, Version};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Buffers that an answer fits, with its head.
pub const ANSWER_BUFFERS: usize = MAX_DELTA_BYTES / BUFFER_SIZE + 2;

/// Why a poll led to nothing: the next machine is polled.
enum PollError {
    Call(CallError),
    Answer(AnswerError),
    /// The machine answered at once with a version that is known here.
    NothingNew,
}

impl fmt::Display for PollError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PollError::Call(error) => error.fmt(f),
            PollError::Answer(error) => error.fmt(f),
            PollError::NothingNew => f.write_str("the answer is a version that is known here"),
        }
    }
}

/// A follower with all that it needs to run.
pub struct FollowTask<H> {
    /// Which version is in force, and which machine is polled.
    pub follower: Follower,
    /// What applies a version.
    pub host: H,
    /// The time of refusals and of going back to the first machine.
    pub clock: Clock,
    /// Buffers for answers.
    pub resources: Rc<ResourcePool>,
    /// None where no version outlives the process.
    pub cache: Option<SnapshotCache>,
    /// What the console reports.
    pub status: ControlStatus,
}

impl FollowTask<SidecarHost> {
    /// The sidecar's own task; none where the configuration comes from the file alone. What an earlier process cached is in
    /// force when this returns.
    pub fn for_sidecar(
        configuration: &Configuration,
        queue: EventQueue,
        clients: Rc<ClientSide>,
        discovery: Sender<Option<SocketAddr>>,
    ) -> Option<FollowTask<SidecarHost>> {
        let ControlSettings { scope, region, machines, cache_file } = configuration.control.as_ref()?;
        let mut follower = Follower::new(scope, &configuration.name, machines, region, configuration.seed);
        let mut host = SidecarHost::new(configuration, queue, clients, discovery);
        let status = ControlStatus::new(scope);
        let cache = SnapshotCache::at(
            cache_file.as_deref(),
            configuration.state_folder.as_deref(),
            &configuration.name,
        );
        if let Some(cache) = &cache {
            cache.restore(&mut follower, &mut host);
            status.applied(&follower);
        }
        let resources = ResourcePool::buffers_only(ANSWER_BUFFERS);
        Some(FollowTask { follower, host, clock: configuration.clock.clone(), resources, cache, status })
    }
}

impl<H: AsyncConfigHost> FollowTask<H> {
    /// Follows for ever.
    pub async fn run(mut self) {
        let (mut client, mut failures) = (ControlClient::default(), 0u64);
        loop {
            let Some(machine) = self.follower.machine() else { return };
            self.status.polls(machine);
            let answer =
                client.poll(machine, &self.follower.next_poll(), &self.resources, &self.status).await;
            let now = self.clock.now();
            let Err(error) = self.handle(machine, now, answer, &mut client).await else {
                failures = 0;
                continue;
            };
            // Logged at failure 1, 2, 4, 8 and so on: an outage may last for an hour.
            failures += 1;
            if failures.is_power_of_two() {
                tracing::warn!(%machine, failures, "control: the version in force stays: {error}");
            }
            client.close();
            Timer::after(self.follower.on_failure(now)).await;
        }
    }

    /// Takes an answer: a delta as bytes, or none where the machine has no newer version.
    async fn handle(
        &mut self,
        machine: SocketAddr,
        now: Duration,
        answer: Result<Option<Vec<u8>>, CallError>,
        client: &mut ControlClient,
    ) -> Result<(), PollError> {
        let Some(bytes) = answer.map_err(PollError::Call)? else {
            self.status.answered();
            // A version that arrived while an earlier one was being written was left out.
            self.save();
            if self.follower.on_unchanged(now) {
                client.close();
            }
            return Ok(());
        };
        match self.follower.on_delta(now, &bytes, &mut self.host) {
            Ok(ApplyOutcome::Applied(version)) => self.applied(version, machine).await,
            Ok(ApplyOutcome::Refused(refusal)) => self.refused(&refusal),
            Ok(ApplyOutcome::Unchanged) => return Err(PollError::NothingNew),
            Err(error) => {
                self.status.rejected(machine, &error.to_string());
                return Err(PollError::Answer(error));
            }
        }
        Ok(())
    }

    async fn applied(&mut self, version: Version, machine: SocketAddr) {
        self.host.settled().await;
        self.status.answered();
        self.status.applied(&self.follower);
        tracing::info!(%version, %machine, "control: in force");
        self.save();
    }

    fn refused(&self, refusal: &Refusal) {
        self.status.answered();
        self.status.refused(refusal);
        let (version, key) = (refusal.version, &refusal.error.key);
        tracing::error!(%version, key, "control: refused version: {}", refusal.error.reason);
    }

    fn save(&mut self) {
        if let Some(cache) = &mut self.cache {
            cache.save(&self.follower);
        }
    }
}
