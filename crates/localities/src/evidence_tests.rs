//! When the evidence says that a zone is lost or may return.

use super::*;
use crate::report::ZoneObservation;

const OWN: u32 = 1;
const LOST: u32 = 9;

fn report(health: ZoneHealth) -> ZoneReport {
    ZoneReport { observations: vec![ZoneObservation { zone: LOST, health }], ..ZoneReport::default() }
}

fn evidence(copies: &[(u32, ZoneHealth)]) -> Evidence {
    let report: Vec<(u32, ZoneReport)> =
        copies.iter().map(|(zone, health)| (*zone, report(*health))).collect();
    let observers =
        report.iter().map(|(zone, report)| Observer { zone: *zone, report, age: Duration::from_millis(100) });
    collect_evidence(observers, OWN, LOST, EVIDENCE_WINDOW)
}

fn silent() -> ZoneHealth {
    ZoneHealth::Silent { since: Duration::ZERO }
}

fn answers() -> ZoneHealth {
    ZoneHealth::Answering { sent_ago: Duration::from_millis(50), slow: false }
}

fn mixed(silent_near: usize, answers_near: usize, silent_far: usize, answers_far: usize) -> Evidence {
    let mut copies = vec![(OWN, silent()); silent_near];
    copies.extend(vec![(OWN, answers()); answers_near]);
    copies.extend(vec![(2, silent()); silent_far]);
    copies.extend(vec![(2, answers()); answers_far]);
    evidence(&copies)
}

#[test]
fn a_zone_is_lost_by_copies_of_the_own_zone_or_by_many_from_two_zones() {
    assert!(mixed(4, 4, 0, 0).is_lost(8, 24), "half of the own zone's copies, no fewer than are answered");
    assert!(!mixed(3, 2, 0, 0).is_lost(8, 24) && mixed(3, 1, 0, 0).is_lost(4, 12));
    assert!(mixed(2, 0, 0, 0).is_lost(2, 6) && !mixed(1, 0, 0, 0).is_lost(2, 6));
    assert!(!mixed(1, 0, 0, 9).is_lost(1, 10), "one copy alone does not decide");
    assert!(mixed(1, 2, 4, 3).is_lost(8, 24), "five of ten observers, from two zones");
    assert!(!mixed(1, 2, 3, 2).is_lost(8, 24), "four of 24 may report falsely");
    assert!(!mixed(1, 3, 4, 3).is_lost(8, 24), "the own zone's copies are answered");
    assert!(!mixed(0, 0, 8, 0).is_lost(8, 24), "other zones' paths do not decide alone");
}

/// A seventh of the copies falsely report a zone as silent: whatever the fleet's size, it is not lost.
#[test]
fn false_reports_of_a_seventh_of_the_copies_lose_no_zone() {
    for copies in 5usize..400 {
        let (liars, same_zone) = (copies / 7, copies / 3);
        // The others may have many observations or none yet.
        for known in [0, 1, 2, same_zone] {
            let spread = liars.div_ceil(3).min(same_zone);
            let evidence = mixed(spread, known.min(same_zone - spread), liars - spread, known);
            assert!(!evidence.is_lost(same_zone as u32, copies as u32), "{copies} {known}");
        }
    }
}

#[test]
fn two_trials_answered_after_the_last_failure_let_a_zone_return() {
    let ms = Duration::from_millis;
    let trials = |ages: &[(bool, u64)], copies: u32| {
        let look = |(answered, ago): &(bool, u64)| match answered {
            true => ZoneHealth::Answering { sent_ago: ms(*ago), slow: false },
            false => ZoneHealth::Silent { since: ms(*ago) },
        };
        let report: Vec<ZoneReport> = ages.iter().map(|age| report(look(age))).collect();
        let of = |report| Observer { zone: OWN, report, age: Duration::ZERO };
        trials_succeeded(report.iter().map(of), (OWN, LOST), ms(10_000), copies)
    };
    assert!(trials(&[(true, 100), (true, 1100), (false, 2100)], 8));
    assert!(!trials(&[(true, 100), (true, 2100), (false, 1100)], 8), "one failed between them");
    assert!(!trials(&[(true, 100), (false, 1100)], 8) && trials(&[(true, 100)], 1));
    assert!(!trials(&[(true, 100), (true, 4100)], 8), "too long ago");
}

#[test]
fn old_observations_and_those_of_isolated_copies_count_for_nothing() {
    let old = ZoneHealth::Silent { since: Duration::from_millis(1950) };
    assert_eq!(evidence(&[(OWN, old); 5]), Evidence::default());
    let cut = ZoneReport { isolated: true, ..report(silent()) };
    let observers = (0..5).map(|_| Observer { zone: OWN, report: &cut, age: Duration::ZERO });
    assert_eq!(collect_evidence(observers, OWN, LOST, EVIDENCE_WINDOW), Evidence::default());
}
