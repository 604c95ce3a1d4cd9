//! The plan of a soak run, drawn from its seed: the numbers of sidecars and servers, and the faults with their times.
//! The same seed gives the same plan.

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::fmt;
use std::time::Duration;

/// Sidecar processes and servers of a run at full size.
const SIDECARS: usize = 24;
const SERVERS: usize = 12;
/// Time of the first faults, when all processes are running under load.
const FIRST_FAULT_AT: Duration = Duration::from_millis(2500);
/// Interval between groups of overlapping faults.
const GROUP_INTERVAL: Duration = Duration::from_millis(2200);
/// The faults of a group begin within this time.
const GROUP_SPREAD_MS: u64 = 900;
/// Number of kinds of faults.
const FAULT_KINDS: usize = 12;
/// How long a process can open no descriptor. Requests then wait no longer than responses may be late.
const DESCRIPTOR_LIMIT_DURATION: Duration = Duration::from_millis(400);
/// How long a process is stopped; the slack of the deadline rule allows for it.
const PAUSE_DURATION: Duration = Duration::from_millis(120);

/// A kind of fault, with the numbers of the affected sidecars or servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// SIGTERM, and a new process when the old one has exited.
    Terminate(Vec<usize>),
    /// SIGKILL, and a new process at once.
    Kill(Vec<usize>),
    /// SIGSTOP and, a moment later, SIGCONT.
    Pause(Vec<usize>),
    /// A new configuration that names the other discovery, and SIGHUP.
    Reload,
    /// Servers drain, and others come in their place.
    Drain(Vec<usize>),
    /// Servers stop without notice, and start again cold.
    Vanish(Vec<usize>),
    /// Servers accept requests and respond to none.
    Hang(Vec<usize>),
    /// Discovery rejects all requests and ends its watches.
    DiscoveryDown,
    /// Discovery publishes no changes.
    DiscoveryStale,
    /// Idle clients take up a sidecar's connections.
    Crowd(usize),
    /// Sidecars can open no further descriptors.
    NoDescriptors(Vec<usize>),
    /// Discovery accepts requests and does not respond.
    DiscoverySilent,
}

/// One fault of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Start of the fault, since the start of the run.
    pub at: Duration,
    /// Time from the start of the fault to its end.
    pub duration: Duration,
    /// Kind of the fault and the processes that it affects.
    pub kind: FaultKind,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:6.2} s  {:?} for {:.2} s", self.at.as_secs_f64(), self.kind, self.duration.as_secs_f64())
    }
}

/// The plan of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of all random choices of the run.
    pub seed: u64,
    /// Duration of the run.
    pub duration: Duration,
    /// Number of sidecars.
    pub sidecars: usize,
    /// Number of servers.
    pub servers: usize,
    /// Faults of the run.
    pub faults: Vec<Fault>,
}

impl Plan {
    /// The plan for this seed at full size.
    pub fn from_seed(seed: u64, duration: Duration) -> Plan {
        Plan::sized(seed, duration, SIDECARS, SERVERS)
    }

    /// The plan for this seed with these numbers of sidecars and servers.
    pub fn sized(seed: u64, duration: Duration, sidecars: usize, servers: usize) -> Plan {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut faults = Vec::new();
        let mut at = FIRST_FAULT_AT;
        while at + super::SETTLE <= duration {
            faults.extend(group(&mut rng, at, sidecars, servers));
            at += GROUP_INTERVAL;
        }
        faults.sort_by_key(|fault| fault.at);
        Plan { seed, duration, sidecars, servers, faults }
    }
}

/// Two or three faults of different kinds that begin within a short time.
fn group(rng: &mut ChaCha8Rng, at: Duration, sidecars: usize, servers: usize) -> Vec<Fault> {
    let count = rng.random_range(2..=3);
    let mut kinds: Vec<usize> = (0..FAULT_KINDS).collect();
    let mut faults = Vec::new();
    for _ in 0..count {
        let kind = kinds.swap_remove(rng.random_range(0..kinds.len()));
        let at = at + Duration::from_millis(rng.random_range(0..GROUP_SPREAD_MS));
        faults.push(fault(rng, kind, at, sidecars, servers));
    }
    faults
}

/// A random set of 1 to `max` numbers below `count`, sorted.
fn random_subset(rng: &mut ChaCha8Rng, count: usize, max: usize) -> Vec<usize> {
    let size = rng.random_range(1..=max.max(1));
    let all: Vec<usize> = (0..count).collect();
    let mut chosen: Vec<usize> = all.choose_multiple(rng, size).copied().collect();
    chosen.sort_unstable();
    chosen
}

fn fault(rng: &mut ChaCha8Rng, kind: usize, at: Duration, sidecars: usize, servers: usize) -> Fault {
    let short = Duration::from_millis(rng.random_range(700..2500));
    let (kind, duration) = match kind {
        0 => (FaultKind::Terminate(random_subset(rng, sidecars, sidecars / 4)), Duration::ZERO),
        1 => (FaultKind::Kill(random_subset(rng, sidecars, sidecars / 6)), Duration::ZERO),
        2 => (FaultKind::Pause(random_subset(rng, sidecars, sidecars / 2)), PAUSE_DURATION),
        3 => (FaultKind::Reload, Duration::ZERO),
        4 => (FaultKind::Drain(random_subset(rng, servers, servers / 4)), Duration::ZERO),
        5 => (FaultKind::Vanish(random_subset(rng, servers, servers / 4)), short),
        6 => (FaultKind::Hang(random_subset(rng, servers, servers / 3)), short),
        7 => (FaultKind::DiscoveryDown, short),
        8 => (FaultKind::DiscoveryStale, short),
        9 => (FaultKind::Crowd(rng.random_range(0..sidecars)), short),
        10 => {
            (FaultKind::NoDescriptors(random_subset(rng, sidecars, sidecars / 6)), DESCRIPTOR_LIMIT_DURATION)
        }
        _ => (FaultKind::DiscoverySilent, short),
    };
    Fault { at, duration, kind }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn same_seed_gives_same_plan_with_overlapping_faults() {
        let duration = Duration::from_secs(20);
        let plan = Plan::from_seed(7, duration);
        assert_eq!(plan.faults, Plan::from_seed(7, duration).faults);
        assert_ne!(plan.faults, Plan::from_seed(8, duration).faults);
        let close =
            plan.faults.windows(2).filter(|pair| pair[1].at - pair[0].at < GROUP_INTERVAL / 2).count();
        assert!(close >= 4 && plan.faults.iter().all(|fault| fault.at < duration), "{plan:#?}");
    }
}
