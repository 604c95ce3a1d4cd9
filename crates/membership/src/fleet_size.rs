//! The fleet's size as the decision engine gets it: by how many members the servers are shared.
//!
//! A join counts at once: a smaller share harms no server. The share of members that died is taken over gradually, and only
//! where at least half of the members are left: of two sides of a partition at most one is larger than that, and two halves
//! each take over only after they agreed on the other's death. A minority waits until a partition is unlikely, and then takes
//! over more slowly.

use crate::ordinals;
use std::time::Duration;

/// Over how long a majority takes over the share of dead members.
const MAJORITY_DECAY: Duration = Duration::from_millis(800);
/// How long a minority waits before it takes over anything.
const MINORITY_DECAY_DELAY: Duration = Duration::from_secs(10);
/// Over how long a minority then takes over.
const MINORITY_DECAY: Duration = Duration::from_secs(10);

/// What the decision engine is told of the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetSize {
    /// Members that share the servers, this one included; a fraction while the share of dead members is taken over.
    pub members: f64,
    /// An upper bound of the members that may be alive and send to a server that is warming up, beyond a partition too.
    pub possibly_live: f64,
    pub(crate) ordinal: u16,
    /// Commands a second of a member, on average; `None` while no other member has reported any.
    pub mean_request_rate: Option<f64>,
}

impl FleetSize {
    /// This member's ordinal; `None` while it has none.
    pub fn ordinal(&self) -> Option<u16> {
        (self.ordinal != ordinals::UNASSIGNED).then_some(self.ordinal)
    }
}

/// Follows the number of live members over time.
#[derive(Debug)]
pub struct FleetSizeEstimator {
    members: f64,
    /// The size that it decays from, and since when.
    decay_from: f64,
    decay_started: Duration,
    /// The size of which at least half must be left for a majority; members that left on their own are not part of it.
    baseline: f64,
    updated_at: Duration,
}

impl FleetSizeEstimator {
    /// The configured size holds until another member is heard.
    pub fn new(configured: f64, now: Duration) -> FleetSizeEstimator {
        FleetSizeEstimator {
            members: configured,
            decay_from: configured,
            decay_started: now,
            baseline: configured,
            updated_at: now,
        }
    }

    /// A member announced that it leaves, which no partition can imitate.
    pub fn member_left(&mut self) {
        self.baseline = (self.baseline - 1.0).max(1.0);
    }

    /// The estimate at this time, given the number of live members.
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
