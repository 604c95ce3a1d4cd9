//! Zones whose traffic fraction the fleet changes, trials, and zone observations. Servers with even numbers are in zone 0.

use crate::scripted_host::{Harness, entry, ms, test_settings};
use landingspread_decisions::host::{Lifecycle, Outcome};
use landingspread_decisions::zones::ZoneTraffic;

fn harness(extra: &str) -> Harness {
    let mut harness = Harness::new(test_settings("all", extra), "all", 9, 6);
    set_zone_1_traffic(&mut harness, 1.0, None);
    harness
}

/// Sets the traffic fraction and the trial of zone 1; zone 0 stays in service.
fn set_zone_1_traffic(harness: &mut Harness, traffic_fraction: f64, trial: Option<u64>) {
    let now = harness.now();
    let zone_0 = ZoneTraffic { zone: 0, fraction: 1.0, trial: None };
    harness
        .policy
        .zone_traffic_changed(now, &[zone_0, ZoneTraffic { zone: 1, fraction: traffic_fraction, trial }]);
}

fn run_requests(harness: &mut Harness, count: usize) {
    (0..count).for_each(|_| drop(harness.run_request(0, |_| Outcome::Ok)));
}

fn attempts_to_zone_1(harness: &Harness) -> usize {
    let state = harness.host.0.borrow();
    ["s1", "s3", "s5"].iter().map(|server| state.attempts_to(server)).sum()
}

#[test]
fn zone_without_traffic_gets_only_trial_health_checks() {
    let mut harness = harness("");
    run_requests(&mut harness, 60);
    assert!(attempts_to_zone_1(&harness) > 10);
    set_zone_1_traffic(&mut harness, 0.0, None);
    let before = attempts_to_zone_1(&harness);
    harness.host.0.borrow_mut().health_checks.clear();
    run_requests(&mut harness, 100);
    // A server that joins the zone, or that the list shows as restarted, gets no request either.
    harness.change_list(&[entry("s7", Lifecycle::Ready), entry("s1", Lifecycle::Removed)]);
    harness.change_list(&[entry("s1", Lifecycle::Ready)]);
    run_requests(&mut harness, 100);
    harness.advance(ms(3000));
    assert_eq!(attempts_to_zone_1(&harness) + harness.host.0.borrow().attempts_to("s7"), before);
    assert!(harness.host.0.borrow().health_checks.is_empty(), "no health check without a trial");
    for trial in 1..=4 {
        set_zone_1_traffic(&mut harness, 0.0, Some(trial));
        set_zone_1_traffic(&mut harness, 0.0, Some(trial));
        harness.advance(ms(200));
        assert_eq!(harness.host.0.borrow().health_checks.len(), 1, "one health check per trial");
        harness.end_health_checks(Outcome::Ok);
        harness.advance(ms(3000));
        assert!(harness.host.0.borrow().health_checks.is_empty());
    }
    run_requests(&mut harness, 50);
    assert_eq!(attempts_to_zone_1(&harness), before, "answered health checks alone restore no traffic");
    set_zone_1_traffic(&mut harness, 0.5, None);
    run_requests(&mut harness, 400);
    assert!(attempts_to_zone_1(&harness) > before, "the zone gets requests again");
}

#[test]
fn without_health_checks_a_trial_is_an_idempotent_request() {
    let mut harness = harness("PolicyLimits.Probes=false");
    run_requests(&mut harness, 60);
    set_zone_1_traffic(&mut harness, 0.0, None);
    let before = attempts_to_zone_1(&harness);
    run_requests(&mut harness, 60);
    assert_eq!(attempts_to_zone_1(&harness), before);
    set_zone_1_traffic(&mut harness, 0.0, Some(1));
    // Requests of a class that is not idempotent are no trials.
    (0..40).for_each(|_| drop(harness.run_request(2, |_| Outcome::Ok)));
    assert_eq!(attempts_to_zone_1(&harness), before);
    run_requests(&mut harness, 200);
    assert_eq!(attempts_to_zone_1(&harness), before + 1);
}

#[test]
fn zone_observation_reflects_its_attempts() {
    let mut harness = harness("");
    run_requests(&mut harness, 60);
    let now = harness.now();
    let observations = harness.policy.zone_observations(now);
    let zone = |zone: u32| {
        observations
            .iter()
            .find(|observation| observation.zone == zone)
            .copied()
            .expect("the zone has an observation")
    };
    assert_eq!((zone(0).ready, zone(1).ready), (3, 3));
    assert!(zone(1).answered_ago.is_some() && zone(1).unanswered_ago.is_none());
    // From now on, servers of zone 1 refuse connections.
    let outcome_of = |server: &str| match server {
        "s1" | "s3" | "s5" => Outcome::ConnectFailed,
        _ => Outcome::Ok,
    };
    (0..30).for_each(|_| drop(harness.run_request(0, outcome_of)));
    let now = harness.now();
    let silent = harness
        .policy
        .zone_observations(now)
        .iter()
        .find(|observation| observation.zone == 1)
        .and_then(|observation| observation.unanswered_ago);
    assert!(silent.is_some_and(|ago| ago < ms(1000)), "{silent:?}");
    // Any answer counts as one, and failures older than the observation window do not count.
    harness.advance(ms(2500));
    let now = harness.now();
    let observations = harness.policy.zone_observations(now);
    assert!(observations.iter().all(|observation| observation.unanswered_ago.is_none()), "{observations:?}");
}

#[test]
fn each_trial_checks_once_and_a_failure_is_observed() {
    let mut harness = harness("");
    let silent = |harness: &mut Harness| {
        let now = harness.now();
        let observations = harness.policy.zone_observations(now);
        observations
            .iter()
            .find(|observation| observation.zone == 1)
            .and_then(|observation| observation.unanswered_ago)
            .is_some()
    };
    for trial in 1..=3 {
        harness.host.0.borrow_mut().health_checks.clear();
        set_zone_1_traffic(&mut harness, 1.0, Some(trial));
        set_zone_1_traffic(&mut harness, 1.0, Some(trial));
        assert_eq!(harness.host.0.borrow().health_checks.len(), 1, "one health check per trial");
        harness.end_health_checks(Outcome::Ok);
        assert!(!silent(&mut harness));
    }
    set_zone_1_traffic(&mut harness, 1.0, Some(4));
    harness.end_health_checks(Outcome::ConnectFailed);
    assert!(silent(&mut harness));
}

#[test]
fn ejection_limit_ignores_servers_of_a_drained_zone() {
    let mut harness = harness("");
    run_requests(&mut harness, 30);
    set_zone_1_traffic(&mut harness, 0.0, None);
    // One of the three servers in use fails. With the drained zone counted, more than half of all servers would be out of
    // use, and the ejection limit would prevent the ejection.
    (0..200).for_each(|_| {
        drop(harness.run_request(0, |server| if server == "s0" { Outcome::Error } else { Outcome::Ok }));
    });
    assert!(harness.has_logged("mark s0"));
}
