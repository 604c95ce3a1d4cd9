//! The sidecar's side of the protocol: the version in force, the control machine to poll, and the backoff after a
//! failure. A follower never applies part of a version, nor a version older than the one in force.

use crate::config::{ConfigError, Contents};
use crate::delta::{Delta, DeltaError, Snapshot};
use crate::poll::{Poll, ReportedRefusal};
use crate::rendezvous::{ControlMachine, mix64, rendezvous_order};
use crate::version::Version;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a machine holds a poll while it has no newer version. A machine that stops responding is detected only
/// after this time, and a version must still be in force everywhere within 10 s.
const POLL_WAIT: Duration = Duration::from_secs(6);
/// The part of every backoff that is not random.
const MIN_BACKOFF: Duration = Duration::from_millis(20);
/// The maximum jitter added to [`MIN_BACKOFF`] until every machine has been tried.
const BACKOFF_JITTER: Duration = Duration::from_millis(80);
/// The fraction of the jitter that is always added.
const MIN_JITTER_FRACTION: f64 = 0.2;
/// The factor on the jitter after every machine has failed, besides a factor of 2 for each round over all machines.
const ROUND_JITTER_FACTOR: u32 = 6;
/// The number of rounds after which the jitter no longer doubles.
const MAX_BACKOFF_ROUNDS: usize = 4;
/// The maximum backoff, jitter included.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// The follower returns to the first machine in its order once it has polled another one without failures for this
/// time plus a jitter of at most the same length.
const FAILBACK_AFTER: Duration = Duration::from_secs(30);
/// The increment of SplitMix64.
const SEED_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// Checks versions and applies them to the process.
pub trait ConfigHost {
    /// Checks whether all of the contents can be applied, without changing anything.
    ///
    /// # Errors
    /// The first key that can't be applied.
    fn check(&mut self, contents: &Contents) -> Result<(), ConfigError>;

    /// Applies contents that [`ConfigHost::check`] accepted, replacing those applied before.
    fn apply(&mut self, version: &Version, contents: &Contents);
}

/// A version that the host refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The version that the host refused.
    pub version: Version,
    /// The key that can't be applied, and why.
    pub error: ConfigError,
    /// The time of the refusal on the caller's clock.
    pub at: Duration,
}

/// The outcome of a delta that could be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// This version was applied and is in force.
    Applied(Version),
    /// The host refused the version; the previous version stays in force.
    Refused(Refusal),
    /// The version is already in force, or it is not newer than one that was refused.
    Unchanged,
}

/// Why an answer can't be used. The next machine is polled then.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerError {
    /// The delta can't be parsed or applied.
    Delta(DeltaError),
    /// The machine lags: its version, this one, is older than the one in force.
    Stale(Version),
}

impl fmt::Display for AnswerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AnswerError::Delta(error) => error.fmt(f),
            AnswerError::Stale(version) => write!(f, "version: {version} is older than what is in force"),
        }
    }
}

impl std::error::Error for AnswerError {}

/// Why a cached snapshot is not restored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RestoreError {
    /// The snapshot is truncated, corrupt or of another scope.
    Delta(DeltaError),
    /// The host refuses the snapshot, for instance after a change of the sidecar's own file.
    Config(ConfigError),
}

impl fmt::Display for RestoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RestoreError::Delta(error) => error.fmt(f),
            RestoreError::Config(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for RestoreError {}

impl From<DeltaError> for RestoreError {
    fn from(error: DeltaError) -> RestoreError {
        RestoreError::Delta(error)
    }
}

impl From<ConfigError> for RestoreError {
    fn from(error: ConfigError) -> RestoreError {
        RestoreError::Config(error)
    }
}

/// The state of a sidecar that follows the configuration of one scope.
pub struct Follower {
    scope: String,
    name: String,
    /// The control machines in the order in which they are tried.
    machines: Vec<SocketAddr>,
    /// The index in `machines` of the machine that is polled.
    current: usize,
    in_force: Option<Snapshot>,
    refused: Option<Refusal>,
    /// Whether the last delta could not be applied, so that the next poll requests a snapshot.
    wants_snapshot: bool,
    consecutive_failures: u32,
    /// Whether the polled machine has answered since it was selected.
    answered: bool,
    failback_at: Duration,
    seed: u64,
}

impl Follower {
    /// How long an answer may take beyond the wait that the poll requests.
    pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

    /// Creates a follower without a version. `name` is the sidecar's name, unique within the scope; machines of
    /// `region` are tried first; `seed` seeds the jitter.
    pub fn new(scope: &str, name: &str, machines: &[ControlMachine], region: &str, seed: u64) -> Follower {
        Follower {
            scope: scope.into(),
            name: name.into(),
            machines: rendezvous_order(machines, name, region),
            current: 0,
            in_force: None,
            refused: None,
            wants_snapshot: false,
            consecutive_failures: 0,
            answered: false,
            failback_at: Duration::MAX,
            seed,
        }
    }

    /// Applies the snapshot that an earlier process cached, before any machine is polled.
    ///
    /// # Errors
    /// The snapshot can't be parsed, or the host refuses it. Nothing is applied then.
    pub fn restore(&mut self, cached: &[u8], host: &mut impl ConfigHost) -> Result<Version, RestoreError> {
        let snapshot = Delta::from_json(cached)?.apply(&self.scope, None)?;
        host.check(snapshot.contents())?;
        host.apply(&snapshot.version(), snapshot.contents());
        let version = snapshot.version();
        self.in_force = Some(snapshot);
        Ok(version)
    }

    /// The snapshot that is in force, if any.
    pub fn in_force(&self) -> Option<&Snapshot> {
        self.in_force.as_ref()
    }

    /// The newest refused version; `None` once a newer version is in force.
    pub fn refused(&self) -> Option<&Refusal> {
        self.refused.as_ref()
    }

    /// The address of the machine to poll; `None` if no machine is configured.
    pub fn machine(&self) -> Option<SocketAddr> {
        self.machines.get(self.current).copied()
    }

    /// The poll to send next.
    pub fn next_poll(&self) -> Poll {
        let refused = self
            .refused
            .as_ref()
            .map(|refused| ReportedRefusal { version: refused.version, reason: refused.error.to_string() });
        Poll {
            scope: self.scope.clone(),
            name: self.name.clone(),
            acknowledged: self.in_force.as_ref().map(Snapshot::version),
            refused,
            wants_snapshot: self.wants_snapshot,
            // The first poll of a machine doesn't wait, so that its current version is known soon.
            wait: if self.answered { POLL_WAIT } else { Duration::ZERO },
        }
    }

    /// Handles an answer without a newer version. Returns whether a different machine is polled next, which needs a new
    /// connection.
    pub fn on_unchanged(&mut self, now: Duration) -> bool {
        self.record_answer();
        self.fail_back(now)
    }

    /// Handles an answer with a delta's JSON.
    ///
    /// # Errors
    /// The answer can't be used. The version in force doesn't change.
    pub fn on_delta(
        &mut self,
        now: Duration,
        bytes: &[u8],
        host: &mut impl ConfigHost,
    ) -> Result<ApplyOutcome, AnswerError> {
        let delta = Delta::from_json(bytes).map_err(AnswerError::Delta)?;
        let current = self.in_force.as_ref().map(Snapshot::version);
        if delta.scope == self.scope && current.is_some_and(|current| delta.version < current) {
            return Err(AnswerError::Stale(delta.version));
        }
        let applied = delta.apply(&self.scope, self.in_force.as_ref());
        let next = applied.inspect_err(|_| self.wants_snapshot = true).map_err(AnswerError::Delta)?;
        self.wants_snapshot = false;
        self.record_answer();
        let version = next.version();
        let refused_before = self.refused.as_ref().is_some_and(|refused| version <= refused.version);
        if current == Some(version) || refused_before {
            return Ok(ApplyOutcome::Unchanged);
        }
        if let Err(error) = host.check(next.contents()) {
            let refusal = Refusal { version, error, at: now };
            self.refused = Some(refusal.clone());
            return Ok(ApplyOutcome::Refused(refusal));
        }
        host.apply(&version, next.contents());
        (self.in_force, self.refused) = (Some(next), None);
        Ok(ApplyOutcome::Applied(version))
    }

    fn record_answer(&mut self) {
        (self.answered, self.consecutive_failures) = (true, 0);
    }

    /// Handles a missing or unusable answer: selects the next machine. Returns the backoff before it is polled.
    pub fn on_failure(&mut self, now: Duration) -> Duration {
        let count = self.machines.len().max(1);
        self.current = (self.current + 1) % count;
        self.answered = false;
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.failback_at = now + FAILBACK_AFTER + FAILBACK_AFTER.mul_f64(self.random());
        let rounds = (self.consecutive_failures as usize / count).min(MAX_BACKOFF_ROUNDS) as u32;
        let jitter =
            if rounds == 0 { BACKOFF_JITTER } else { BACKOFF_JITTER * ROUND_JITTER_FACTOR * (1 << rounds) };
        let fraction = MIN_JITTER_FRACTION + (1.0 - MIN_JITTER_FRACTION) * self.random();
        (MIN_BACKOFF + jitter.mul_f64(fraction)).min(MAX_BACKOFF)
    }

    /// Selects the first machine in order if the failback is due. Returns whether it did.
    fn fail_back(&mut self, now: Duration) -> bool {
        let is_due = self.current > 0 && now >= self.failback_at;
        if is_due {
            (self.current, self.answered) = (0, false);
        }
        is_due
    }

    /// The next pseudo-random number in [0, 1).
    fn random(&mut self) -> f64 {
        self.seed = self.seed.wrapping_add(SEED_INCREMENT);
        (mix64(self.seed) >> 11) as f64 / (1u64 << 53) as f64
    }
}
