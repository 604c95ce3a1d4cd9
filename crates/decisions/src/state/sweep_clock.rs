//! The periodic sweeps of one replica: their schedule, and the replica's own delay.

use std::time::Duration;

/// Time between two sweeps, unless the resolution of the host's timers is coarser.
const SWEEP_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of sweeps that are skipped at once.
const MAX_SKIPPED_SWEEPS: u32 = u32::MAX >> 8;
/// Maximum number of halvings at once; each sweep halves the replica's own delay.
const MAX_HALVINGS: u32 = 31;

/// The schedule of the sweeps.
#[derive(Debug)]
pub struct SweepClock {
    interval: Duration,
    /// Time of the last sweep, skipped ones included.
    last_sweep: Duration,
    /// Recent delay of sweeps, halved by each sweep. It does not count as waiting time of attempts, because servers did
    /// not cause it.
    own_delay: Duration,
}

impl SweepClock {
    /// A schedule from `now` on, with an interval of at least `resolution`, the resolution of the host's timers.
    pub fn new(now: Duration, resolution: Duration) -> Self {
        SweepClock { interval: SWEEP_INTERVAL.max(resolution), last_sweep: now, own_delay: Duration::ZERO }
    }

    /// Time between two sweeps.
    pub fn interval(&self) -> Duration {
        self.interval
    }

    /// Recent delay of sweeps.
    pub fn own_delay(&self) -> Duration {
        self.own_delay
    }

    /// Records the start of a sweep and its delay.
    pub fn begin(&mut self, now: Duration) {
        let delay = now.saturating_sub(self.next());
        self.last_sweep = now;
        self.own_delay = delay.max(self.own_delay / 2);
    }

    /// Time of the next sweep.
    pub fn next(&self) -> Duration {
        self.last_sweep + self.interval
    }

    /// Time of the first sweep at or after `due`.
    pub fn next_at_or_after(&self, due: Duration) -> Duration {
        let next = self.next();
        next + self.interval * self.sweeps_between(next, due)
    }

    /// Skips the sweeps that were due before `until`. Returns the time of the next sweep.
    pub fn skip(&mut self, until: Duration) -> Duration {
        let sweeps = self.sweeps_between(self.next(), until);
        self.last_sweep += self.interval * sweeps;
        self.own_delay /= 1 << sweeps.min(MAX_HALVINGS);
        self.next()
    }

    /// Number of sweeps from `first` on that are due before `end`.
    fn sweeps_between(&self, first: Duration, end: Duration) -> u32 {
        let interval = self.interval.as_nanos();
        let sweeps = end.saturating_sub(first).as_nanos().div_ceil(interval);
        sweeps.min(u128::from(MAX_SKIPPED_SWEEPS)) as u32
    }
}
