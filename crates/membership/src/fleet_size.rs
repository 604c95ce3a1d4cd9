//! The fleet size for the decision engine: the number of members that share the servers.

use crate::ordinals;
use std::time::Duration;

/// The time in which a majority takes over the share of dead members.
const MAJORITY_DECAY: Duration = Duration::from_millis(800);
/// How long a minority waits before it starts to take over the share of dead members.
const MINORITY_DECAY_DELAY: Duration = Duration::from_secs(10);
/// The time in which a minority then takes over the share of dead members.
const MINORITY_DECAY: Duration = Duration::from_secs(10);

/// The fleet size and related figures for the decision engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetSize {
    /// The number of members that share the servers, including the local one; fractional while the share of dead members
    /// is taken over.
    pub members: f64,
    /// An upper bound on the members that may send to a server that is warming up, including members that may be alive on
    /// the other side of a partition.
    pub possibly_live: f64,
    pub(crate) ordinal: u16,
    /// The average request rate of a member, in requests per second; `None` while no other member has reported one.
    pub mean_request_rate: Option<f64>,
}

impl FleetSize {
    /// The local member's ordinal; `None` while it has none.
    pub fn ordinal(&self) -> Option<u16> {
        (self.ordinal != ordinals::UNASSIGNED).then_some(self.ordinal)
    }
}

/// Estimates the fleet size from the number of live members over time.
///
/// A join counts immediately, as a smaller share per member overloads no server. The share of dead members is taken over
/// gradually, and without a delay only if at least half of the members are left: at most one side of a partition is larger
/// than half, and two equal halves take over only after each has agreed on the death of the other. A minority waits until
/// a partition is unlikely, and then takes over more slowly.
#[derive(Debug)]
pub struct FleetSizeEstimator {
    members: f64,
    /// The size from which the estimate decays.
    decay_from: f64,
    decay_started: Duration,
    /// The size of which at least half must be live for a majority, without the members that left voluntarily.
    baseline: f64,
    updated_at: Duration,
}

impl FleetSizeEstimator {
    /// Starts with the configured size, which the caller reports as live until another member is seen.
    pub fn new(configured: f64, now: Duration) -> FleetSizeEstimator {
        FleetSizeEstimator {
            members: configured,
            decay_from: configured,
            decay_started: now,
            baseline: configured,
            updated_at: now,
        }
    }

    /// Removes a member that announced its leave from the baseline, as a partition cannot cause such an announcement.
    pub fn member_left(&mut self) {
        self.baseline = (self.baseline - 1.0).max(1.0);
    }

    /// Advances the estimate to `now`, given the number of live members, and returns it.
    pub fn advance(&mut self, now: Duration, live: f64) -> f64 {
        let span = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = now;
        if live >= self.members {
            self.reset(now, live);
            return live;
        }
        let (delay, decay) = if 2.0 * live >= self.baseline {
            (Duration::ZERO, MAJORITY_DECAY)
        } else {
            (MINORITY_DECAY_DELAY, MINORITY_DECAY)
        };
        if self.decay_started + delay <= now {
            let step = span * (self.decay_from - live) / decay.as_secs_f64();
            self.members = (self.members - step).max(live);
        }
        if self.members <= live {
            self.reset(now, live);
        }
        self.members
    }

    fn reset(&mut self, now: Duration, live: f64) {
        self.members = live;
        self.decay_from = live;
        self.baseline = live;
        self.decay_started = now;
    }
}

#[cfg(test)]
#[path = "fleet_size_tests.rs"]
mod tests;
