//! The view as figures for the decisions: how many copies share the servers, and how far that may be gone by. It owns the
//! rule by which a part grows when others are gone; it knows no member.
//!
//! Joins count at once: a smaller part never hurts a server. Of those that are gone the part is taken over slowly, and
//! only where at least half of the copies are left: of two parts of a cut, at most one is larger than that, and two
//! halves take each other's part only once each has agreed on the other's end. A lesser rest waits until a cut is
//! unlikely and takes it over more slowly still.

use crate::ordinals;
use std::time::Duration;

/// Over how long at least half of the copies take over the part of those that are gone.
const MAJORITY_DECAY: Duration = Duration::from_millis(800);
/// How long a lesser rest waits, and over how long it then takes over.
const MINORITY_DECAY_DELAY: Duration = Duration::from_secs(10);
const MINORITY_DECAY: Duration = Duration::from_secs(10);

/// What the decisions are told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetSize {
    /// Copies that share the servers, this one among them; a fraction while a part is taken over.
    pub members: f64,
    /// As many may be alive and send to a cold server, whatever this copy hears of them.
    pub possibly_live: f64,
    pub(crate) ordinal: u16,
    /// Commands a second that a copy has, on average; none where no other has said.
    pub mean_traffic: Option<f64>,
}

impl FleetSize {
    /// This copy's number among them; none while it has none.
    pub fn ordinal(&self) -> Option<u16> {
        (self.ordinal != ordinals::UNASSIGNED).then_some(self.ordinal)
    }
}

#[derive(Debug)]
pub struct FleetSizeEstimator {
    members: f64,
    /// What it falls from, and since when.
    decay_from: f64,
    decay_started: Duration,
    /// Of how many at least half have to be left: those that said that they leave are not among them.
    baseline: f64,
    updated_at: Duration,
}

impl FleetSizeEstimator {
    /// As many as configured hold until membership has something to say.
    pub fn new(configured_members: f64, now: Duration) -> FleetSizeEstimator {
        FleetSizeEstimator {
            members: configured_members,
            decay_from: configured_members,
            decay_started: now,
            baseline: configured_members,
            updated_at: now,
        }
    }

    /// One has said that it leaves: no cut makes that up.
    pub fn member_left(&mut self) {
        self.baseline = (self.baseline - 1.0).max(1.0);
    }

    /// Brings it to this moment, when so many count.
    pub fn advance(&mut self, now: Duration, live: f64) -> f64 {
        let span = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = now;
        if live >= self.members {
            self.reset(now, live);
            return live;
        }
        let (waits, over) = if 2.0 * live >= self.baseline {
            (Duration::ZERO, MAJORITY_DECAY)
        } else {
            (MINORITY_DECAY_DELAY, MINORITY_DECAY)
        };
        if self.decay_started + waits <= now {
            let step = span * (self.decay_from - live) / over.as_secs_f64();
            self.members = (self.members - step).max(live);
        }
        if self.members <= live {
            self.reset(now, live);
        }
        self.members
    }

    fn reset(&mut self, now: Duration, live: f64) {
        (self.members, self.decay_from, self.baseline, self.decay_started) = (live, live, live, now);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(count: u64) -> Duration {
        Duration::from_millis(count)
    }

    #[test]
    fn joins_count_at_once_and_the_part_of_the_gone_is_taken_over_slowly() {
        let mut count = FleetSizeEstimator::new(4.0, ms(0));
        assert_eq!(count.advance(ms(50), 6.0), 6.0);
        assert_eq!(count.advance(ms(100), 4.0), 6.0 - 2.0 * 50.0 / 800.0);
        let half = count.advance(ms(450), 4.0);
        assert!((4.5..5.5).contains(&half), "{half}");
        assert_eq!(count.advance(ms(900), 4.0), 4.0);
        // One that joins while another's part is taken over is counted at once.
        count.advance(ms(1000), 3.0);
        assert_eq!(count.advance(ms(1050), 5.0), 5.0);
    }

    #[test]
    fn of_those_that_said_so_the_part_is_taken_over_whoever_is_left() {
        let mut count = FleetSizeEstimator::new(10.0, ms(0));
        (0..7).for_each(|_| count.member_left());
        for updated_at in 1..20 {
            count.advance(ms(updated_at * 50), 3.0);
        }
        assert_eq!(count.advance(ms(1000), 3.0), 3.0);
    }

    #[test]
    fn a_lesser_rest_waits_and_then_goes_on_slowly() {
        let mut count = FleetSizeEstimator::new(10.0, ms(0));
        for updated_at in 1..190 {
            assert_eq!(count.advance(ms(updated_at * 50), 3.0), 10.0, "{updated_at}");
        }
        for updated_at in 190..240 {
            count.advance(ms(updated_at * 50), 3.0);
        }
        let later = count.advance(ms(15_000), 3.0);
        assert!((5.0..8.0).contains(&later), "{later}");
        for updated_at in 300..420 {
            count.advance(ms(updated_at * 50), 3.0);
        }
        assert_eq!(count.advance(ms(22_000), 3.0), 3.0);
    }
}
