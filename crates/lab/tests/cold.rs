//! Rule 4 by the sum of what all copies send to a cold server, in each sliding window, against N + 2 root N + 2. Seeds
//! are fixed: each run is the same each time.

use landingspread_lab::cold::{ColdPeaks, OfferedWork, OverloadBound, allowance};
use landingspread_lab::experiment::{self, PreparedExperiment};
use landingspread_lab::pickers::LoadBalancerKind;
use std::ops::RangeInclusive;
use std::time::Duration;

fn swept(name: &str, pickers: &[LoadBalancerKind], seeds: RangeInclusive<u64>, copies: &[&str]) -> ColdPeaks {
    let mut ready: PreparedExperiment = experiment::find(name).expect("it is built in");
    ready.experiment.load_balancers = pickers.into();
    ready.reseed(*seeds.end());
    let settings = ready.settings.clone();
    let wanted = |setting: usize| settings[setting].point.iter().any(|(_, value)| copies.contains(&&**value));
    ready.runs.retain(|run| wanted(run.setting) && seeds.contains(&run.seed));
    let results = experiment::sweep(&ready, 0, &|_, _| {}).expect("it can be played");
    let mut peaks = ColdPeaks::default();
    for row in &results.rows {
        assert_eq!(
            row.breach_counts[3],
            0,
            "{} {:?} seed {}: {:?}",
            row.name(),
            row.load_balancer,
            row.seed,
            row.breaches
        );
        peaks.merge(&row.cold_peaks);
    }
    peaks
}

/// What was judged was there: servers were cold, and got something.
fn held(peaks: &ColdPeaks, lives: u64) {
    assert_eq!(peaks.over_allowance, 0, "{:?}", peaks.summary());
    assert!(peaks.process_lives >= lives, "{:?}", peaks.summary());
}

#[test]
fn the_sum_of_all_copies_stays_within_chance_by_the_configured_count() {
    held(&swept("cold-sum", &[LoadBalancerKind::Landingspread], 1..=10, &["3", "10", "30", "100"]), 200);
    held(&swept("cold-sum-many", &[LoadBalancerKind::Landingspread], 1..=2, &["400"]), 8);
}

/// Before the mend each copy took a surge that all have for its own part of the traffic, and its floor of credits for
/// that of a large copy: 100 copies sent 400 a second where 18 are allowed.
#[test]
fn the_sum_of_all_copies_stays_within_chance_where_the_fleet_tells_their_traffic() {
    held(&swept("cold-sum", &[LoadBalancerKind::LandingspreadFleet], 1..=5, &["3", "10", "30"]), 100);
    // Without the mend a server falls with the seeds 5 and 18.
    held(&swept("cold-sum", &[LoadBalancerKind::LandingspreadFleet], 1..=5, &["100"]), 25);
    held(&swept("cold-sum", &[LoadBalancerKind::LandingspreadFleet], 18..=18, &["100"]), 5);
}

/// Before the mend a copy that heard nobody for more than 40 s took itself for the only one: each of 30 or 100 copies
/// went by the credits of a whole fleet.
#[test]
fn the_sum_of_copies_that_hear_nobody_for_long_goes_by_the_configured_count() {
    held(&swept("cold-apart", &[LoadBalancerKind::LandingspreadFleet], 1..=2, &["30"]), 10);
}

fn brings(commands: usize, budget: f64, least: usize) -> Option<usize> {
    let mut brought = OfferedWork::default();
    let bound = OverloadBound { window: Duration::from_secs(1), budget, min_requests: least };
    (1..=commands).find(|_| brought.record("s", Duration::from_secs(1), 1.0, bound))
}

#[test]
fn a_cold_server_falls_at_the_first_command_beyond_what_is_put_down_to_chance() {
    for budget in [0.5, 1.0, 4.0, 16.0, 100.0] {
        let first = allowance(budget).floor() as usize + 1;
        assert_eq!(brings(first + 5, budget, usize::MAX), Some(first), "N {budget}");
        // The lab's own bound never lets more through than that.
        let own = brings(first + 5, budget, 10).expect("it falls");
        assert!(own <= first && (own < first || budget < 4.0 || first <= 10), "N {budget}: {own} of {first}");
    }
}

#[test]
fn what_came_before_the_window_does_not_count() {
    let mut brought = OfferedWork::default();
    let bound = OverloadBound { window: Duration::from_secs(1), budget: 1.0, min_requests: usize::MAX };
    let mut peaks = ColdPeaks::default();
    for at in 0..20 {
        let falls = brought.record("s", Duration::from_millis(at * 251), 1.0, bound);
        assert!(!falls, "four in a second, where five are borne");
    }
    brought.finish_process(&mut peaks);
    assert_eq!((peaks.process_lives, peaks.over_allowance), (1, 0));
    assert_eq!(peaks.highest_ratio.map(|peak| peak.offered), Some(4.0));
}
