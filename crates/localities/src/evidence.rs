//! Evidence: what the reports of all copies together say of a zone, and whether it counts as lost, is contradicted, or may
//! return. All are plain functions of the reports: two copies that hold the same reports come to the same result.

use crate::report::{ZoneHealth, ZoneObservation, ZoneReport};
use std::time::Duration;

/// Older reports and observations say nothing of the present.
pub const EVIDENCE_WINDOW: Duration = Duration::from_secs(2);
/// At least so many copies of a zone must find another one silent, where it has as many.
const MIN_SILENT_OBSERVERS: u32 = 3;
/// Or one in so many of all copies, from more than one zone: more than the seventh of them whose reports may be false.
const FLEET_FRACTION_DIVISOR: u32 = 5;
/// And this fraction of all copies with an observation.
const MIN_SILENT_FRACTION: f64 = 0.4;
/// Trials come in turn. Where more copies than these are answered in a zone that they evacuated, these are answers to
/// regular traffic.
const MAX_CONCURRENT_TRIALS: u32 = 5;
/// Older trials do not count.
const TRIAL_RESULT_TTL: Duration = Duration::from_secs(4);

/// One copy's newest report.
pub struct Observer<'a> {
    /// The id of the zone that the copy runs in.
    pub zone: u32,
    /// The report.
    pub report: &'a ZoneReport,
    /// How long ago it was received.
    pub age: Duration,
}

impl Observer<'_> {
    fn observation(&self, zone: u32) -> Option<&ZoneObservation> {
        self.report.observations.iter().find(|observation| observation.zone == zone)
    }
}

/// How many copies observe what.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Copies that are answered.
    pub answered: u32,
    /// Of these, copies that are answered slowly.
    pub slow: u32,
    /// Copies that are not answered.
    pub silent: u32,
}

/// What the copies observe of one zone. Copies inside that zone that are answered count only among themselves: they say
/// nothing of the paths of others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Of the copies in the local copy's own zone.
    pub same_zone: Tally,
    /// Of all copies.
    pub all: Tally,
    /// From how many zones some copy finds it silent.
    pub silent_zones: u32,
}

/// Collects what the observers report of `zone`, by observations no older than `window`. `own` is the zone of the local
/// copy.
pub fn collect_evidence<'a>(
    observers: impl Iterator<Item = Observer<'a>>,
    own: u32,
    zone: u32,
    window: Duration,
) -> Evidence {
    let mut evidence = Evidence::default();
    let mut silent_zones: Vec<u32> = Vec::new();
    for observer in observers.filter(|observer| !observer.report.isolated) {
        let Some(observation) = observer.observation(zone) else { continue };
        let same_zone = observer.zone == own;
        let inside = observer.zone == zone && own != zone;
        let silent = matches!(observation.health, ZoneHealth::Silent { .. });
        let mut record = |record: &dyn Fn(&mut Tally)| {
            if silent || !inside {
                record(&mut evidence.all);
            }
            if same_zone {
                record(&mut evidence.same_zone);
            }
        };
        match observation.health {
            ZoneHealth::Answering { sent_ago, slow } if sent_ago + observer.age <= window => {
                record(&|tally| {
                    tally.answered += 1;
                    tally.slow += u32::from(slow);
                });
            }
            ZoneHealth::Silent { since } if since + observer.age <= window => {
                record(&|tally| tally.silent += 1);
                if !silent_zones.contains(&observer.zone) {
                    silent_zones.push(observer.zone);
                }
            }
            _ => {}
        }
    }
    evidence.silent_zones = silent_zones.len() as u32;
    evidence
}

impl Evidence {
    /// Whether the zone is lost for the copies of the own zone, given the number of these and of all copies. Either half
    /// of the own zone's copies find it silent; or a fifth of all copies do, from more than one zone, and those with an
    /// observation mostly agree. One copy alone never decides it: what it may avoid by itself is up to outlier ejection.
    pub fn is_lost(&self, zone_copies: u32, all_copies: u32) -> bool {
        let Evidence { same_zone, all, silent_zones } = self;
        let half = MIN_SILENT_OBSERVERS.min(zone_copies).max(2).max(zone_copies.div_ceil(2));
        let by_own_zone = same_zone.silent >= half && same_zone.silent >= same_zone.answered;
        let mostly_silent =
            f64::from(all.silent) >= MIN_SILENT_FRACTION * f64::from(all.silent + all.answered);
        let many = all.silent >= MIN_SILENT_OBSERVERS.max(all_copies.div_ceil(FLEET_FRACTION_DIVISOR));
        let by_fleet = many && *silent_zones >= 2 && mostly_silent;
        let own_zone_agrees = same_zone.silent >= 1 && 2 * same_zone.silent >= same_zone.answered;
        by_own_zone || (by_fleet && own_zone_agrees)
    }

    /// Whether what was sent since the evacuation shows that half of the copies that evacuated the zone are answered there
    /// all the same, as when two sides of a partition meet and one of them had lost the zone.
    pub fn contradicts(&self, zone_copies: u32) -> bool {
        self.same_zone.answered > MAX_CONCURRENT_TRIALS.max(zone_copies / 2)
    }

    /// Whether the next step of the recovery ramp may be taken.
    pub fn supports_next_step(&self) -> bool {
        let from_all = self.same_zone == Tally::default();
        let Tally { answered, slow, silent } = if from_all { self.all } else { self.same_zone };
        let needed = if from_all { MIN_SILENT_OBSERVERS } else { 1 };
        answered >= needed && 4 * silent <= answered && 2 * slow < answered
    }
}

/// Whether the trials let a zone return that was evacuated for `evacuated_for`: two copies' trials (one's, where the own
/// zone has one copy) were answered after the latest that failed.
pub fn trials_succeeded<'a>(
    observers: impl Iterator<Item = Observer<'a>>,
    (own, zone): (u32, u32),
    evacuated_for: Duration,
    zone_copies: u32,
) -> bool {
    let (mut answered, mut failed) = (Vec::new(), Duration::MAX);
    for observer in observers.filter(|observer| observer.zone == own && !observer.report.isolated) {
        let Some(observation) = observer.observation(zone) else { continue };
        match observation.health {
            ZoneHealth::Answering { sent_ago, .. } => answered.push(sent_ago + observer.age),
            ZoneHealth::Silent { since } => failed = failed.min(since + observer.age),
            ZoneHealth::Unknown => {}
        }
    }
    answered.retain(|ago| *ago <= evacuated_for.min(TRIAL_RESULT_TTL));
    answered.sort();
    let needed = zone_copies.clamp(1, 2) as usize;
    answered.get(needed - 1).is_some_and(|ago| *ago < failed)
}

#[cfg(test)]
#[path = "evidence_tests.rs"]
mod tests;
