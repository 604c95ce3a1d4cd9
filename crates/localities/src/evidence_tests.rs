//! Evidence on a lost zone, false reports, trials, and observations that do not count.

use super::*;
use crate::report::ZoneObservation;

const OWN_ZONE: u32 = 1;
const OBSERVED_ZONE: u32 = 9;

fn report(health: ZoneHealth) -> ZoneReport {
    ZoneReport {
        observations: vec![ZoneObservation { zone: OBSERVED_ZONE, health }],
        ..ZoneReport::default()
    }
}

fn evidence(replicas: &[(u32, ZoneHealth)]) -> Evidence {
    let reports: Vec<(u32, ZoneReport)> =
        replicas.iter().map(|(zone, health)| (*zone, report(*health))).collect();
    let observers = reports.iter().map(|(zone, report)| Observer {
        zone: *zone,
        report,
        age: Duration::from_millis(100),
    });
    collect_evidence(observers, OWN_ZONE, OBSERVED_ZONE, EVIDENCE_WINDOW)
}

fn silent() -> ZoneHealth {
    ZoneHealth::Silent { since: Duration::ZERO }
}

fn answering() -> ZoneHealth {
    ZoneHealth::Answering { sent_ago: Duration::from_millis(50), slow: false }
}

fn evidence_of_counts(
    silent_same_zone: usize,
    answering_same_zone: usize,
    silent_other_zone: usize,
    answering_other_zone: usize,
) -> Evidence {
    let mut replicas = vec![(OWN_ZONE, silent()); silent_same_zone];
    replicas.extend(vec![(OWN_ZONE, answering()); answering_same_zone]);
    replicas.extend(vec![(2, silent()); silent_other_zone]);
    replicas.extend(vec![(2, answering()); answering_other_zone]);
    evidence(&replicas)
}

#[test]
fn zone_is_lost_by_own_zone_or_by_fleet_from_two_zones() {
    assert!(
        evidence_of_counts(4, 4, 0, 0).is_lost(8, 24),
        "half of the own zone's replicas, no fewer than are answered"
    );
    assert!(!evidence_of_counts(3, 2, 0, 0).is_lost(8, 24) && evidence_of_counts(3, 1, 0, 0).is_lost(4, 12));
    assert!(evidence_of_counts(2, 0, 0, 0).is_lost(2, 6) && !evidence_of_counts(1, 0, 0, 0).is_lost(2, 6));
    assert!(!evidence_of_counts(1, 0, 0, 9).is_lost(1, 10), "one replica alone does not decide");
    assert!(
        evidence_of_counts(1, 2, 4, 3).is_lost(8, 24),
        "5 of 10 observers from two zones, a fifth of 24 replicas"
    );
    assert!(!evidence_of_counts(1, 2, 3, 2).is_lost(8, 24), "4 of 24 replicas are less than a fifth");
    assert!(!evidence_of_counts(1, 3, 4, 3).is_lost(8, 24), "most replicas of the own zone are answered");
    assert!(!evidence_of_counts(0, 0, 8, 0).is_lost(8, 24), "other zones alone do not decide");
}

/// If a seventh of the replicas falsely report a zone as silent, it is not lost, for any size of the fleet.
#[test]
fn false_reports_by_a_seventh_of_replicas_lose_no_zone() {
    for replicas in 5usize..400 {
        let (false_reporters, same_zone) = (replicas / 7, replicas / 3);
        // The number of replicas that truthfully report answers; zero if none has an observation yet.
        for answering in [0, 1, 2, same_zone] {
            let false_in_own_zone = false_reporters.div_ceil(3).min(same_zone);
            let evidence = evidence_of_counts(
                false_in_own_zone,
                answering.min(same_zone - false_in_own_zone),
                false_reporters - false_in_own_zone,
                answering,
            );
            assert!(
                !evidence.is_lost(same_zone as u32, replicas as u32),
                "{replicas} replicas, {answering} answering"
            );
        }
    }
}

#[test]
fn two_answered_trials_after_last_failure_allow_return() {
    let ms = Duration::from_millis;
    let trials_allow_return = |trials: &[(bool, u64)], replicas: u32| {
        let health_of = |(answered, ago): &(bool, u64)| match answered {
            true => ZoneHealth::Answering { sent_ago: ms(*ago), slow: false },
            false => ZoneHealth::Silent { since: ms(*ago) },
        };
        let reports: Vec<ZoneReport> = trials.iter().map(|trial| report(health_of(trial))).collect();
        let observer = |report| Observer { zone: OWN_ZONE, report, age: Duration::ZERO };
        trials_succeeded(reports.iter().map(observer), (OWN_ZONE, OBSERVED_ZONE), ms(10_000), replicas)
    };
    assert!(trials_allow_return(&[(true, 100), (true, 1100), (false, 2100)], 8));
    assert!(
        !trials_allow_return(&[(true, 100), (true, 2100), (false, 1100)], 8),
        "a trial failed between the two answered ones"
    );
    assert!(!trials_allow_return(&[(true, 100), (false, 1100)], 8) && trials_allow_return(&[(true, 100)], 1));
    assert!(
        !trials_allow_return(&[(true, 100), (true, 4100)], 8),
        "the older trial is past TRIAL_RESULT_TTL"
    );
}

#[test]
fn stale_and_isolated_observations_are_ignored() {
    let old = ZoneHealth::Silent { since: Duration::from_millis(1950) };
    assert_eq!(evidence(&[(OWN_ZONE, old); 5]), Evidence::default());
    let isolated_report = ZoneReport { isolated: true, ..report(silent()) };
    let observers =
        (0..5).map(|_| Observer { zone: OWN_ZONE, report: &isolated_report, age: Duration::ZERO });
    assert_eq!(collect_evidence(observers, OWN_ZONE, OBSERVED_ZONE, EVIDENCE_WINDOW), Evidence::default());
}
