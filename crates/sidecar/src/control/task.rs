//! The task that follows the configuration of a scope: it polls a control machine, applies the versions in the answers,
//! and fails over to the next machine. While no machine can be reached, the version in force stays.

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

/// The number of buffers for the largest answer with its head.
pub const ANSWER_BUFFERS: usize = MAX_DELTA_BYTES / BUFFER_SIZE + 2;

/// Why a poll failed. The next machine is polled then.
enum PollError {
    Call(CallError),
    Answer(AnswerError),
    /// The answer holds the version in force, or one not newer than a refused version.
    KnownVersion,
}

impl fmt::Display for PollError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PollError::Call(error) => error.fmt(f),
            PollError::Answer(error) => error.fmt(f),
            PollError::KnownVersion => {
                f.write_str("the answer is a version that is in force or was refused before")
            }
        }
    }
}

/// A follower with its host, clock, buffers, cache and status.
pub struct FollowTask<H> {
    /// Selects the machine to poll and holds the version in force.
    pub follower: Follower,
    /// Applies versions to the process.
    pub host: H,
    /// The clock for the times of refusals and of the failback to the first machine.
    pub clock: Clock,
    /// The pool of buffers for answers.
    pub resources: Rc<ResourcePool>,
    /// The file with the version in force; `None` if it is not kept across restarts.
    pub cache: Option<SnapshotCache>,
    /// The status that the console reports.
    pub status: ControlStatus,
}

impl FollowTask<SidecarHost> {
    /// Creates the task of this sidecar; `None` if its only source of configuration is the file. A usable snapshot that
    /// an earlier process cached is in force when this returns.
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
            status.record_applied(&follower);
        }
        let resources = ResourcePool::buffers_only(ANSWER_BUFFERS);
        Some(FollowTask { follower, host, clock: configuration.clock.clone(), resources, cache, status })
    }
}

impl<H: AsyncConfigHost> FollowTask<H> {
    /// Follows the configuration without end. Returns only if no control machine is configured.
    pub async fn run(mut self) {
        let (mut client, mut failures) = (ControlClient::default(), 0u64);
        loop {
            let Some(machine) = self.follower.machine() else { return };
            self.status.set_machine(machine);
            let answer =
                client.poll(machine, &self.follower.next_poll(), &self.resources, &self.status).await;
            let now = self.clock.now();
            let Err(error) = self.handle(machine, now, answer, &mut client).await else {
                failures = 0;
                continue;
            };
            // Only failures 1, 2, 4, 8 and so on are logged, because an outage may last for an hour.
            failures += 1;
            if failures.is_power_of_two() {
                tracing::warn!(%machine, failures, "control: poll failed, the version in force stays: {error}");
            }
            client.close();
            Timer::after(self.follower.on_failure(now)).await;
        }
    }

    /// Handles an answer: the JSON of a delta, or `None` if the machine has no newer version.
    async fn handle(
        &mut self,
        machine: SocketAddr,
        now: Duration,
        answer: Result<Option<Vec<u8>>, CallError>,
        client: &mut ControlClient,
    ) -> Result<(), PollError> {
        let Some(bytes) = answer.map_err(PollError::Call)? else {
            self.status.record_answer();
            // A version is not saved if it arrives while an earlier one is being written, so the save is repeated here.
            self.save();
            if self.follower.on_unchanged(now) {
                client.close();
            }
            return Ok(());
        };
        match self.follower.on_delta(now, &bytes, &mut self.host) {
            Ok(ApplyOutcome::Applied(version)) => self.on_applied(version, machine).await,
            Ok(ApplyOutcome::Refused(refusal)) => self.on_refused(&refusal),
            Ok(ApplyOutcome::Unchanged) => return Err(PollError::KnownVersion),
            Err(error) => {
                self.status.record_rejected_answer(machine, &error.to_string());
                return Err(PollError::Answer(error));
            }
        }
        Ok(())
    }

    async fn on_applied(&mut self, version: Version, machine: SocketAddr) {
        self.host.wait_until_applied().await;
        self.status.record_answer();
        self.status.record_applied(&self.follower);
        tracing::info!(%version, %machine, "control: in force");
        self.save();
    }

    fn on_refused(&self, refusal: &Refusal) {
        self.status.record_answer();
        self.status.record_refusal(refusal);
        let (version, key) = (refusal.version, &refusal.error.key);
        tracing::error!(%version, key, "control: refused version: {}", refusal.error.reason);
    }

    fn save(&mut self) {
        if let Some(cache) = &mut self.cache {
            cache.save(&self.follower);
        }
    }
}
