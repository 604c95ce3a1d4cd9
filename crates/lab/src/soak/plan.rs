//! What a run does, drawn from its seed: how many sidecars and servers, and which troubles when. The same seed draws the
//! same plan.

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::fmt;
use std::time::Duration;

/// Sidecar processes and servers of a run at its full size.
const SIDECARS: usize = 24;
const SERVERS: usize = 12;
/// The first troubles come once all run in.
const FIRST: Duration = Duration::from_millis(2500);
/// Groups of troubles that overlap begin so far apart.
const APART: Duration = Duration::from_millis(2200);
/// Within a group they begin within this span of each other.
const SPREAD_MS: u64 = 900;
/// How many kinds of troubles there are.
const KINDS: usize = 12;
/// For so long a process has no descriptor left: requests wait no longer than answers may be late.
const NO_DESCRIPTORS: Duration = Duration::from_millis(400);
/// How long a process may be held up: deadlines allow for so much.
const PAUSE: Duration = Duration::from_millis(120);

/// A trouble's kind and whom it befalls, by number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// SIGTERM, and a new process once the old one has ended.
    Terminate(Vec<usize>),
    /// SIGKILL, and a new process at once.
    Kill(Vec<usize>),
    /// SIGSTOP and, a moment later, SIGCONT.
    Pause(Vec<usize>),
    /// A new configuration that names the other discovery, and SIGHUP.
    Reload,
    /// Servers drain, and others come in their place.
    Drain(Vec<usize>),
    /// Servers are gone without a word, and come back cold.
    Vanish(Vec<usize>),
    /// Servers take requests and answer none.
    Hang(Vec<usize>),
    /// Discovery refuses all calls and ends its watches.
    DiscoveryDown,
    /// Discovery tells nothing new.
    DiscoveryStale,
    /// Silent clients take up a sidecar's connections.
    Crowd(usize),
    /// These may open no descriptor more than they have.
    NoDescriptors(Vec<usize>),
    /// Discovery takes calls and says nothing.
    DiscoverySilent,
}

/// One trouble of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub at: Duration,
    pub lasts: Duration,
    pub kind: FaultKind,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:6.2} s  {:?} for {:.2} s", self.at.as_secs_f64(), self.kind, self.lasts.as_secs_f64())
    }
}

/// A run, as its seed draws it.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub length: Duration,
    pub sidecars: usize,
    pub servers: usize,
    pub faults: Vec<Fault>,
}

impl Plan {
    /// The run of this seed at its full size.
    pub fn drawn(seed: u64, length: Duration) -> Plan {
        Plan::sized(seed, length, SIDECARS, SERVERS)
    }

    /// The same with so many sidecars and servers.
    pub fn sized(seed: u64, length: Duration, sidecars: usize, servers: usize) -> Plan {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut troubles = Vec::new();
        let mut at = FIRST;
        while at + super::SETTLE <= length {
            troubles.extend(group(&mut rng, at, sidecars, servers));
            at += APART;
        }
        troubles.sort_by_key(|trouble| trouble.at);
        Plan { seed, length, sidecars, servers, faults: troubles }
    }
}

/// Two or three troubles of different kinds that overlap.
fn group(rng: &mut ChaCha8Rng, at: Duration, sidecars: usize, servers: usize) -> Vec<Fault> {
    let count = rng.random_range(2..=3);
    let mut kinds: Vec<usize> = (0..KINDS).collect();
    let mut drawn = Vec::new();
    for _ in 0..count {
        let kind = kinds.swap_remove(rng.random_range(0..kinds.len()));
        let at = at + Duration::from_millis(rng.random_range(0..SPREAD_MS));
        drawn.push(trouble(rng, kind, at, sidecars, servers));
    }
    drawn
}

fn some(rng: &mut ChaCha8Rng, of: usize, most: usize) -> Vec<usize> {
    let count = rng.random_range(1..=most.max(1));
    let all: Vec<usize> = (0..of).collect();
    let mut chosen: Vec<usize> = all.choose_multiple(rng, count).copied().collect();
    chosen.sort_unstable();
    chosen
}

fn trouble(rng: &mut ChaCha8Rng, kind: usize, at: Duration, sidecars: usize, servers: usize) -> Fault {
    let short = Duration::from_millis(rng.random_range(700..2500));
    let (kind, lasts) = match kind {
        0 => (FaultKind::Terminate(some(rng, sidecars, sidecars / 4)), Duration::ZERO),
        1 => (FaultKind::Kill(some(rng, sidecars, sidecars / 6)), Duration::ZERO),
        2 => (FaultKind::Pause(some(rng, sidecars, sidecars / 2)), PAUSE),
        3 => (FaultKind::Reload, Duration::ZERO),
        4 => (FaultKind::Drain(some(rng, servers, servers / 4)), Duration::ZERO),
        5 => (FaultKind::Vanish(some(rng, servers, servers / 4)), short),
        6 => (FaultKind::Hang(some(rng, servers, servers / 3)), short),
        7 => (FaultKind::DiscoveryDown, short),
        8 => (FaultKind::DiscoveryStale, short),
        9 => (FaultKind::Crowd(rng.random_range(0..sidecars)), short),
        10 => (FaultKind::NoDescriptors(some(rng, sidecars, sidecars / 6)), NO_DESCRIPTORS),
        _ => (FaultKind::DiscoverySilent, short),
    };
    Fault { at, lasts, kind }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_seed_draws_the_same_plan_and_troubles_overlap() {
        let length = Duration::from_secs(20);
        let plan = Plan::drawn(7, length);
        assert_eq!(plan.faults, Plan::drawn(7, length).faults);
        assert_ne!(plan.faults, Plan::drawn(8, length).faults);
        let close = plan.faults.windows(2).filter(|pair| pair[1].at - pair[0].at < APART / 2).count();
        assert!(close >= 4 && plan.faults.iter().all(|trouble| trouble.at < length), "{plan:#?}");
    }
}
