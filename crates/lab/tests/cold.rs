//! Rule 4: the work that all replicas send to a cold server within a sliding window stays below N + 2 sqrt(N) + 2. The
//! seeds are fixed, so each run is reproducible.

use landingspread_lab::cold::{ColdPeaks, OfferedWork, OverloadBound, allowance};
use landingspread_lab::experiment::{self, PreparedExperiment};
use landingspread_lab::pickers::LoadBalancerKind;
use std::ops::RangeInclusive;
use std::time::Duration;

fn sweep_peaks(
    name: &str,
    load_balancers: &[LoadBalancerKind],
    seeds: RangeInclusive<u64>,
    replica_counts: &[&str],
) -> ColdPeaks {
    let mut experiment: PreparedExperiment = experiment::find(name).expect("a built-in experiment");
    experiment.experiment.load_balancers = load_balancers.into();
    experiment.reseed(*seeds.end());
    let settings = experiment.settings.clone();
    let is_selected =
        |setting: usize| settings[setting].point.iter().any(|(_, value)| replica_counts.contains(&&**value));
    experiment.runs.retain(|run| is_selected(run.setting) && seeds.contains(&run.seed));
    let results = experiment::sweep(&experiment, 0, &|_, _| {}).expect("a sweep in virtual time");
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

/// No window exceeds its allowance, and at least `min_process_lives` processes of cold servers received requests.
fn check_within_allowance(peaks: &ColdPeaks, min_process_lives: u64) {
    assert_eq!(peaks.over_allowance, 0, "{:?}", peaks.summary());
    assert!(peaks.process_lives >= min_process_lives, "{:?}", peaks.summary());
}

#[test]
fn configured_count_keeps_cold_load_within_allowance() {
    check_within_allowance(
        &sweep_peaks("cold-sum", &[LoadBalancerKind::Landingspread], 1..=10, &["3", "10", "30", "100"]),
        200,
    );
    check_within_allowance(
        &sweep_peaks("cold-sum-many", &[LoadBalancerKind::Landingspread], 1..=2, &["400"]),
        8,
    );
}

/// Guards against a replica that takes a surge of the whole fleet for its own share of the traffic, and the minimum
/// credits of a large replica for its own: 100 replicas sent 400 requests per second where 18 are allowed.
#[test]
fn fleet_traffic_keeps_cold_load_within_allowance() {
    check_within_allowance(
        &sweep_peaks("cold-sum", &[LoadBalancerKind::LandingspreadFleet], 1..=5, &["3", "10", "30"]),
        100,
    );
    // The seeds 5 and 18 overloaded a server with that fault.
    check_within_allowance(
        &sweep_peaks("cold-sum", &[LoadBalancerKind::LandingspreadFleet], 1..=5, &["100"]),
        25,
    );
    check_within_allowance(
        &sweep_peaks("cold-sum", &[LoadBalancerKind::LandingspreadFleet], 18..=18, &["100"]),
        5,
    );
}

/// Guards against a replica that takes itself for the only one after hearing no other for more than 40 s: each of 30 or
/// 100 replicas used the credits of the whole fleet.
#[test]
fn isolated_replicas_use_the_configured_count() {
    check_within_allowance(
        &sweep_peaks("cold-apart", &[LoadBalancerKind::LandingspreadFleet], 1..=2, &["30"]),
        10,
    );
}

fn first_overloading_request(count: usize, budget: f64, least: usize) -> Option<usize> {
    let mut offered = OfferedWork::default();
    let bound = OverloadBound { window: Duration::from_secs(1), budget, min_requests: least };
    (1..=count).find(|_| offered.record("s", Duration::from_secs(1), 1.0, bound))
}

#[test]
fn first_request_beyond_the_allowance_overloads() {
    for budget in [0.5, 1.0, 4.0, 16.0, 100.0] {
        let first = allowance(budget).floor() as usize + 1;
        assert_eq!(first_overloading_request(first + 5, budget, usize::MAX), Some(first), "N {budget}");
        // The lab's own bound is never the weaker one.
        let own_bound = first_overloading_request(first + 5, budget, 10).expect("an overloading request");
        assert!(
            own_bound <= first && (own_bound < first || budget < 4.0 || first <= 10),
            "N {budget}: {own_bound} of {first}"
        );
    }
}

#[test]
fn requests_before_the_window_do_not_count() {
    let mut offered = OfferedWork::default();
    let bound = OverloadBound { window: Duration::from_secs(1), budget: 1.0, min_requests: usize::MAX };
    let mut peaks = ColdPeaks::default();
    for at in 0..20 {
        let overloaded = offered.record("s", Duration::from_millis(at * 251), 1.0, bound);
        assert!(!overloaded, "four requests in a second, where five are allowed");
    }
    offered.finish_process(&mut peaks);
    assert_eq!((peaks.process_lives, peaks.over_allowance), (1, 0));
    assert_eq!(peaks.highest_ratio.map(|peak| peak.offered), Some(4.0));
}
