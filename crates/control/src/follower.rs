//! A sidecar's side of the exchange: which version is in force, which control machine is polled, and when again. It never
//! applies a part of a version, nor an older version than the one in force.

use crate::config::{ConfigError, Contents};
use crate::delta::{Delta, DeltaError, Snapshot};
use crate::poll::{Poll, ReportedRefusal};
use crate::rendezvous::{ControlMachine, mix64, rendezvous_order};
use crate::version::Version;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a poll waits at the machine for a newer version. A machine that falls silent is noticed only after it, and
/// a version has to be in force within 10 s all the same.
const POLL_WAIT: Duration = Duration::from_secs(6);
/// The shortest backoff.
const MIN_BACKOFF: Duration = Duration::from_millis(20);
/// What jitter adds to it at most while another machine has not been tried.
const BACKOFF_JITTER: Duration = Duration::from_millis(80);
/// The least part of the jitter that is always added.
const MIN_JITTER_FRACTION: f64 = 0.2;
/// Once every machine has failed, the jitter is this many times as long, doubled with each further round.
const ROUND_JITTER_FACTOR: u32 = 6;
/// Rounds after which the jitter is no longer doubled.
const MAX_BACKOFF_ROUNDS: usize = 4;
/// The longest backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// After this time at another machine, and up to as long again, the first one in order is tried again.
const FAILBACK_AFTER: Duration = Duration::from_secs(30);
/// The increment of SplitMix64.
const SEED_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// What applies a version to the process.
pub trait ConfigHost {
    /// Whether all of the contents can be applied. It changes nothing.
    ///
    /// # Errors
    /// The first key that can't be applied.
    fn check(&mut self, contents: &Contents) -> Result<(), ConfigError>;

    /// Applies contents that [`ConfigHost::check`] accepted, in place of all that was applied before.
    fn apply(&mut self, version: &Version, contents: &Contents);
}

/// A version that the host refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The version.
    pub version: Version,
    /// The key that can't be applied, and why.
    pub error: ConfigError,
    /// When it was refused, on the caller's clock.
    pub at: Duration,
}

/// What a delta led to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// This version is in force.
    Applied(Version),
    /// The host refused the version; the one before it stays in force.
    Refused(Refusal),
    /// The version is in force already, or was refused before.
    Unchanged,
}

/// Why an answer is of no use. The next machine is polled then.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerError {
    /// It can't be applied.
    Delta(DeltaError),
    /// The machine is behind: its version is older than the one in force.
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
    /// It is truncated, corrupt or of another scope.
    Delta(DeltaError),
    /// The host refuses it, as the sidecar's own file has changed.
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

/// A sidecar that follows the configuration of one scope.
pub struct Follower {
    scope: String,
    name: String,
    /// In the order in which they are tried.
    machines: Vec<SocketAddr>,
    /// The index of the one that is polled.
    current: usize,
    in_force: Option<Snapshot>,
    refused: Option<Refusal>,
    /// Whether the last delta did not apply to the version in force.
    wants_snapshot: bool,
    consecutive_failures: u32,
    /// Whether the machine that is polled has answered since it was chosen.
    answered: bool,
    failback_at: Duration,
    seed: u64,
}

impl Follower {
    /// How long an answer may take beyond the time that the poll waits.
    pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

    /// A follower without a version. `name` is the sidecar's own, unique within the scope; machines of `region` are
    /// tried first; `seed` feeds the jitter.
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
    /// The snapshot can't be read or the host refuses it; nothing is applied then.
    pub fn restore(&mut self, cached: &[u8], host: &mut impl ConfigHost) -> Result<Version, RestoreError> {
        let snapshot = Delta::from_json(cached)?.apply(&self.scope, None)?;
        host.check(snapshot.contents())?;
        host.apply(&snapshot.version(), snapshot.contents());
        let version = snapshot.version();
        self.in_force = Some(snapshot);
        Ok(version)
    }

    /// The snapshot that is in force.
    pub fn in_force(&self) -> Option<&Snapshot> {
        self.in_force.as_ref()
    }

    /// The newest refused version, as long as no newer one is in force.
    pub fn refused(&self) -> Option<&Refusal> {
        self.refused.as_ref()
    }

    /// The machine to poll; none where no machine is configured.
    pub fn machine(&self) -> Option<SocketAddr> {
        self.machines.get(self.current).copied()
    }

    /// The next poll.
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
            // The first poll doesn't wait, so that the current version is known soon.
            wait: if self.answered { POLL_WAIT } else { Duration::ZERO },
        }
    }

    /// The machine has no newer version. Returns whether another machine is polled from here on, over a new connection.
    pub fn on_unchanged(&mut self, now: Duration) -> bool {
        self.record_answer();
        self.fail_back(now)
    }

    /// The machine answered with a delta, as bytes.
    ///
    /// # Errors
    /// The answer is of no use; the version in force stays so.
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

    /// No answer came, or one of no use. Returns the backoff before the next machine is polled.
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

    /// Goes back to the first machine in order when it is time.
    fn fail_back(&mut self, now: Duration) -> bool {
        let due = self.current > 0 && now >= self.failback_at;
        if due {
            (self.current, self.answered) = (0, false);
        }
        due
    }

    /// The next pseudo-random number from 0 to 1.
    fn random(&mut self) -> f64 {
        self.seed = self.seed.wrapping_add(SEED_INCREMENT);
        (mix64(self.seed) >> 11) as f64 / (1u64 << 53) as f64
    }
}
