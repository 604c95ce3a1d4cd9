//! A chain of seventeen tiers in virtual time, in a short form of the built-in cases: attempts at the last tier for each
//! request at the first, by load balancer.

use landingspread_lab::experiment::{self, run_one};
use landingspread_lab::pickers::LoadBalancerKind;
use landingspread_lab::plan::{FaultKind, Scenario};
use landingspread_lab::tally::{TierAttempts, Totals};

/// The built-in case with so little work that the replicas of the first tiers admit all of it within the settling time.
fn short_scenario(case: &str, propagates_deadline: bool) -> Scenario {
    let experiment = experiment::find("chain").expect("a built-in experiment");
    let matches = |setting: &&experiment::Setting| {
        setting.case == case && setting.scenario.rules.propagates_deadline == propagates_deadline
    };
    let mut scenario =
        experiment.settings.iter().find(matches).expect("a case of the experiment").scenario.clone();
    (scenario.seconds, scenario.settle) = (7.0, 4.0);
    scenario.request_classes[0].work = vec![0.003];
    for fault in &mut scenario.faults {
        (fault.at, fault.duration) = (3.0, 4.0);
        if fault.kind == FaultKind::SharedSlowness {
            // Keeps the overload of the tier as it is with the longer work.
            fault.factor = fault.factor.map(|factor| factor * 5.0);
        }
    }
    scenario
}

fn run_case(case: &str, propagates_deadline: bool, load_balancer: LoadBalancerKind) -> Totals {
    let run = run_one(&short_scenario(case, propagates_deadline), load_balancer, 1);
    assert_eq!(run.breach_counts, [0; 4], "{case}: {:?}", run.breaches.first());
    assert!(run.totals.arrived > 900, "{case}: {} requests arrived", run.totals.arrived);
    run.totals
}

#[test]
fn without_retries_or_faults_each_tier_gets_each_request_once() {
    let totals = run_case("calm", true, LoadBalancerKind::NoRetries);
    assert_eq!(totals.tiers.len(), 17);
    let once = TierAttempts { first: totals.arrived, ..TierAttempts::default() };
    assert!(totals.tiers.iter().all(|tier| *tier == once), "{:?}", totals.tiers);
    assert_eq!((totals.attempt_amplification(), totals.utility_fraction), (1.0, 1.0));
}

#[test]
fn plain_retries_multiply_over_the_tiers() {
    // Half of the answers of the last tier are failures: up to three attempts make 1 + 1/2 + 1/4 on average, and an eighth
    // of the failures is left to each of the sixteen tiers above.
    let plain = run_case("bottom-half-fails", true, LoadBalancerKind::PlainRetries).attempt_amplification();
    assert!(plain > 1.9 && plain < 2.2, "{plain:.3} attempts at the last tier for each request");
    // No server of the last tier answers: each tier makes all its attempts.
    let down = run_case("bottom-down", true, LoadBalancerKind::PlainRetries).attempt_amplification();
    assert!(down > 10.0, "{down:.3} attempts at the last tier for each request");
}

#[test]
fn slow_or_overloaded_tier_does_not_amplify_attempts() {
    assert!(run_case("calm", true, LoadBalancerKind::Landingspread).utility_fraction > 0.99);
    let cases = ["calm", "top-slow", "middle-slow", "bottom-slow", "bottom-errors", "bottom-down"];
    let overloaded = ["top-past-capacity", "middle-past-capacity", "bottom-past-capacity"];
    for case in cases.into_iter().chain(overloaded) {
        for propagates_deadline in [true, false] {
            let amplification =
                run_case(case, propagates_deadline, LoadBalancerKind::Landingspread).attempt_amplification();
            assert!(
                amplification <= 1.1,
                "{case}: {amplification:.3} attempts at the last tier for each request"
            );
        }
    }
}

/// Attempts at the last tier for each request at the first, where half of the requests at the last tier fail.
fn amplification_with_half_failing(propagates_deadline: bool, nearest_tier_retries: bool) -> f64 {
    let mut scenario = short_scenario("bottom-half-fails", propagates_deadline);
    scenario.rules.nearest_tier_retries = nearest_tier_retries;
    run_one(&scenario, LoadBalancerKind::Landingspread, 1).totals.attempt_amplification()
}

#[test]
fn seventeen_budgets_of_repeats_keep_the_bottom_within_a_tenth_more_than_the_calls_at_the_top() {
    for propagates_deadline in [true, false] {
        let amplification = amplification_with_half_failing(propagates_deadline, false);
        assert!(amplification <= 1.1, "every tier repeats: {amplification:.3}");
    }
}

#[test]
fn nearest_tier_retries_stay_within_one_budget() {
    for propagates_deadline in [true, false] {
        let amplification = amplification_with_half_failing(propagates_deadline, true);
        assert!(amplification <= 1.1, "only the nearest tier retries: {amplification:.3}");
    }
}

#[test]
fn calls_without_deadline_continue_after_the_caller_gave_up() {
    let attempts_of = |propagates_deadline| {
        let totals = run_case("bottom-down", propagates_deadline, LoadBalancerKind::PlainRetries);
        totals.tiers.iter().map(TierAttempts::total).sum::<u64>()
    };
    let (carried, not_carried) = (attempts_of(true), attempts_of(false));
    assert!(not_carried > 3 * carried, "{carried} attempts with deadlines, {not_carried} without");
}
