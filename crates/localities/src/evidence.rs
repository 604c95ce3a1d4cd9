//! Evidence on a zone from the reports of all replicas: whether the zone is lost, whether an evacuation is contradicted,
//! and whether the zone may return. These are pure functions of the reports, so that replicas with the same reports reach
//! the same result.

use crate::report::{ZoneHealth, ZoneObservation, ZoneReport};
use std::time::Duration;

/// Observations older than this, counting the age of their report, are ignored.
pub const EVIDENCE_WINDOW: Duration = Duration::from_secs(2);
/// The minimum number of replicas that must find a zone silent. For the criterion within one zone it is capped by the
/// number of replicas there, but never below two. It is also the minimum number of answered replicas for the next ramp
/// step, if the counts over all replicas decide it.
const MIN_SILENT_OBSERVERS: u32 = 3;
/// The fleet-wide criterion: the number of all replicas divided by this, rounded up, must find the zone silent. A fifth
/// is enough, as at most a seventh of the replicas are assumed to send false reports.
const FLEET_FRACTION_DIVISOR: u32 = 5;
/// The fleet-wide criterion also needs this fraction of all replicas with an observation to find the zone silent.
const MIN_SILENT_FRACTION: f64 = 0.4;
/// The most replicas of the own zone (or half of them, if that is more) that an evacuated zone may answer without
/// contradicting the evacuation. Trials are sent in turn, so that answers to more replicas are answers to regular traffic.
const MAX_CONCURRENT_TRIALS: u32 = 5;
/// Answers to trials sent longer ago than this do not count.
const TRIAL_RESULT_TTL: Duration = Duration::from_secs(4);

/// The newest report of one replica, and where it comes from.
pub struct Observer<'a> {
    /// The id of the zone that the replica runs in.
    pub zone: u32,
    /// The replica's newest report.
    pub report: &'a ZoneReport,
    /// How old the report is; added to the ages in it.
    pub age: Duration,
}

impl Observer<'_> {
    fn observation(&self, zone: u32) -> Option<&ZoneObservation> {
        self.report.observations.iter().find(|observation| observation.zone == zone)
    }
}

/// The number of replicas by what they observe of one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ObserverCounts {
    /// Replicas that the zone answers.
    pub answered: u32,
    /// The part of `answered` that the zone answers slowly.
    pub slow: u32,
    /// Replicas that the zone does not answer.
    pub silent: u32,
}

/// What the replicas observe of one zone. A replica inside the zone that is answered counts only for replicas of that
/// zone: its answers say nothing about the network paths of other zones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Counts over the replicas in the local replica's own zone.
    pub same_zone: ObserverCounts,
    /// Counts over all replicas of the fleet.
    pub all: ObserverCounts,
    /// The number of zones with at least one replica that finds the observed zone silent.
    pub silent_zones: u32,
}

/// Counts what the observers report of `zone`, by observations no older than `window`. `own_zone` is the zone of the local
/// replica. Reports of isolated replicas are ignored.
pub fn collect_evidence<'a>(
    observers: impl Iterator<Item = Observer<'a>>,
    own_zone: u32,
    zone: u32,
    window: Duration,
) -> Evidence {
    let mut evidence = Evidence::default();
    let mut silent_zones: Vec<u32> = Vec::new();
    for observer in observers.filter(|observer| !observer.report.isolated) {
        let Some(observation) = observer.observation(zone) else { continue };
        let same_zone = observer.zone == own_zone;
        let inside_zone = observer.zone == zone && own_zone != zone;
        let silent = matches!(observation.health, ZoneHealth::Silent { .. });
        let mut add = |increment: &dyn Fn(&mut ObserverCounts)| {
            if silent || !inside_zone {
                increment(&mut evidence.all);
            }
            if same_zone {
                increment(&mut evidence.same_zone);
            }
        };
        match observation.health {
            ZoneHealth::Answering { sent_ago, slow } if sent_ago + observer.age <= window => {
                add(&|counts| {
                    counts.answered += 1;
                    counts.slow += u32::from(slow);
                });
            }
            ZoneHealth::Silent { since } if since + observer.age <= window => {
                add(&|counts| counts.silent += 1);
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
    /// Whether the zone is lost for the replicas of the own zone, given their number and the number of all replicas. Either
    /// at least half of the own zone's replicas find it silent, and at least as many as it answers; or a fifth of all
    /// replicas do, from at least two zones, as well as `MIN_SILENT_FRACTION` of all replicas with an observation and a
    /// third of those in the own zone.
    /// One replica alone never decides: servers that only it cannot reach are left to outlier ejection.
    pub fn is_lost(&self, zone_replicas: u32, all_replicas: u32) -> bool {
        let Evidence { same_zone, all, silent_zones } = self;
        let min_silent_in_zone =
            MIN_SILENT_OBSERVERS.min(zone_replicas).max(2).max(zone_replicas.div_ceil(2));
        let by_own_zone = same_zone.silent >= min_silent_in_zone && same_zone.silent >= same_zone.answered;
        let mostly_silent =
            f64::from(all.silent) >= MIN_SILENT_FRACTION * f64::from(all.silent + all.answered);
        let enough_silent =
            all.silent >= MIN_SILENT_OBSERVERS.max(all_replicas.div_ceil(FLEET_FRACTION_DIVISOR));
        let by_fleet = enough_silent && *silent_zones >= 2 && mostly_silent;
        let own_zone_agrees = same_zone.silent >= 1 && 2 * same_zone.silent >= same_zone.answered;
        by_own_zone || (by_fleet && own_zone_agrees)
    }

    /// Whether the evacuated zone answers more than half of the own zone's replicas, and more than trials explain, for
    /// requests sent since the evacuation. This happens when two sides of a partition reconnect and only one of them had
    /// lost the zone.
    pub fn contradicts(&self, zone_replicas: u32) -> bool {
        self.same_zone.answered > MAX_CONCURRENT_TRIALS.max(zone_replicas / 2)
    }

    /// Whether the evidence allows the next step of the recovery ramp. Uses the counts over all replicas if the own zone's
    /// replicas have no observation.
    pub fn supports_next_step(&self) -> bool {
        let use_all = self.same_zone == ObserverCounts::default();
        let ObserverCounts { answered, slow, silent } = if use_all { self.all } else { self.same_zone };
        let needed = if use_all { MIN_SILENT_OBSERVERS } else { 1 };
        answered >= needed && 4 * silent <= answered && 2 * slow < answered
    }
}

/// Whether trials allow a zone to return that was evacuated for `evacuated_for`: the trials of two replicas (of one, where
/// the own zone has only one replica) were answered, both sent after the latest trial that failed.
pub fn trials_succeeded<'a>(
    observers: impl Iterator<Item = Observer<'a>>,
    (own_zone, zone): (u32, u32),
    evacuated_for: Duration,
    zone_replicas: u32,
) -> bool {
    let (mut answered_ago, mut latest_failure_ago) = (Vec::new(), Duration::MAX);
    for observer in observers.filter(|observer| observer.zone == own_zone && !observer.report.isolated) {
        let Some(observation) = observer.observation(zone) else { continue };
        match observation.health {
            ZoneHealth::Answering { sent_ago, .. } => answered_ago.push(sent_ago + observer.age),
            ZoneHealth::Silent { since } => latest_failure_ago = latest_failure_ago.min(since + observer.age),
            ZoneHealth::Unknown => {}
        }
    }
    answered_ago.retain(|ago| *ago <= evacuated_for.min(TRIAL_RESULT_TTL));
    answered_ago.sort();
    let needed = zone_replicas.clamp(1, 2) as usize;
    answered_ago.get(needed - 1).is_some_and(|ago| *ago < latest_failure_ago)
}

#[cfg(test)]
#[path = "evidence_tests.rs"]
mod tests;
