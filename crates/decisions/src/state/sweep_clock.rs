//! The regular sweeps of one replica: when the next is due, and how late the replica is itself.

use std::time::Duration;

/// The time between two sweeps, unless the host's clock is coarser.
const SWEEP_INTERVAL: Duration = Duration::from_millis(20);
/// Sweeps that are counted at once, at the most.
const MAX_SWEEPS: u32 = u32::MAX >> 8;
/// The replica's own delay is halved with each sweep, up to so many times at once.
const MAX_HALVINGS: u32 = 31;

/// Keeps the times of sweeps.
#[derive(Debug)]
pub struct SweepClock {
    interval: Duration,
    /// When the last sweep was, or would have been.
    last: Duration,
    /// By how much sweeps were late recently. Servers are not blamed for that time.
    own_delay: Duration,
}

impl SweepClock {
    /// Sweeps from `now` on, no more often than the host's clock can tell.
    pub fn new(now: Duration, resolution: Duration) -> Self {
        SweepClock { interval: SWEEP_INTERVAL.max(resolution), last: now, own_delay: Duration::ZERO }
    }

    /// The time between two sweeps.
    pub fn interval(&self) -> Duration {
        self.interval
    }

    /// By how much sweeps were late recently.
    pub fn own_delay(&self) -> Duration {
        self.own_delay
    }

    /// A sweep begins.
    pub fn begin(&mut self, now: Duration) {
        let late = now.saturating_sub(self.next());
        self.last = now;
        self.own_delay = late.max(self.own_delay / 2);
    }

    /// When the next sweep is due.
    pub fn next(&self) -> Duration {
        self.last + self.interval
    }

    /// The first regular sweep that is not before `due`.
    pub fn next_for(&self, due: Duration) -> Duration {
        let next = self.next();
        next + self.interval * self.sweeps_between(next, due)
    }

    /// The sweeps that were due before `until` were left out. Returns when the next is due.
    pub fn skip(&mut self, until: Duration) -> Duration {
        let sweeps = self.sweeps_between(self.next(), until);
        self.last += self.interval * sweeps;
        self.own_delay /= 1 << sweeps.min(MAX_HALVINGS);
        self.next()
    }

    /// How many sweeps from `first` on come before `end`.
    fn sweeps_between(&self, first: Duration, end: Duration) -> u32 {
        let interval = self.interval.as_nanos();
        let sweeps = end.saturating_sub(first).as_nanos().div_ceil(interval);
        sweeps.min(u128::from(MAX_SWEEPS)) as u32
    }
}
