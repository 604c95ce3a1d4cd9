//! Calls seventeen deep in virtual time, in a short form of the built-in cases: how many relays come to the last tier for
//! each call at the first, by who picks.

use landingspread_lab::experiment::{self, run_one};
use landingspread_lab::pickers::LoadBalancerKind;
use landingspread_lab::plan::{FaultKind, Scenario};
use landingspread_lab::tally::{TierAttempts, Totals};

/// The built-in case with work so short that the copies of the first tiers let all of it in within the settling time.
fn short(case: &str, passes_deadline: bool) -> Scenario {
    let ready = experiment::find("chain").expect("built in");
    let of = |setting: &&experiment::Setting| {
        setting.case == case && setting.scenario.rules.propagates_deadline == passes_deadline
    };
    let mut scenario = ready.settings.iter().find(of).expect("a case").scenario.clone();
    (scenario.seconds, scenario.settle) = (7.0, 4.0);
    scenario.request_classes[0].work = vec![0.003];
    for fault in &mut scenario.faults {
        (fault.at, fault.duration) = (3.0, 4.0);
        if fault.kind == FaultKind::SharedSlowness {
            // As much past what the tier can do as with the long work.
            fault.factor = fault.factor.map(|factor| factor * 5.0);
        }
    }
    scenario
}

fn played(case: &str, passes_deadline: bool, picker: LoadBalancerKind) -> Totals {
    let run = run_one(&short(case, passes_deadline), picker, 1);
    assert_eq!(run.breach_counts, [0; 4], "{case}: {:?}", run.breaches.first());
    assert!(run.totals.arrived > 900, "{case}: {} came", run.totals.arrived);
    run.totals
}

#[test]
fn each_call_comes_to_each_tier_once_where_nothing_is_repeated_or_fails() {
    let totals = played("calm", true, LoadBalancerKind::NoRetries);
    assert_eq!(totals.tiers.len(), 17);
    let once = TierAttempts { first: totals.arrived, ..TierAttempts::default() };
    assert!(totals.tiers.iter().all(|tier| *tier == once), "{:?}", totals.tiers);
    assert_eq!((totals.attempt_amplification(), totals.utility_fraction), (1.0, 1.0));
}

#[test]
fn plain_repeats_multiply_over_the_tiers() {
    // Of a tier's answers half are failures, so that three tries are 1 + 1/2 + 1/4 relays, and an eighth is left to each
    // of the sixteen tiers before it.
    let plain = played("bottom-half-fails", true, LoadBalancerKind::PlainRetries).attempt_amplification();
    assert!(plain > 1.9 && plain < 2.2, "{plain:.3} relays at the bottom for each call at the top");
    // Nothing is answered there: each tier tries as often as it may.
    let down = played("bottom-down", true, LoadBalancerKind::PlainRetries).attempt_amplification();
    assert!(down > 10.0, "{down:.3} relays at the bottom for each call at the top");
}

#[test]
fn one_slow_or_crowded_tier_is_no_cause_for_more_calls_below() {
    assert!(played("calm", true, LoadBalancerKind::Landingspread).utility_fraction > 0.99);
    let cases = ["calm", "top-slow", "middle-slow", "bottom-slow", "bottom-errors", "bottom-down"];
    let crowded = ["top-past-capacity", "middle-past-capacity", "bottom-past-capacity"];
    for case in cases.into_iter().chain(crowded) {
        for passes_deadline in [true, false] {
            let ours = played(case, passes_deadline, LoadBalancerKind::Landingspread).attempt_amplification();
            assert!(ours <= 1.1, "{case}: {ours:.3} relays at the bottom for each call at the top");
        }
    }
}

/// Relays at the bottom over calls at the top where half of the bottom fails.
fn where_half_fails(passes_deadline: bool, nearest_repeats: bool) -> f64 {
    let mut scenario = short("bottom-half-fails", passes_deadline);
    scenario.rules.nearest_tier_retries = nearest_repeats;
    run_one(&scenario, LoadBalancerKind::Landingspread, 1).totals.attempt_amplification()
}

#[test]
fn seventeen_budgets_of_repeats_keep_the_bottom_within_a_tenth_more_than_the_calls_at_the_top() {
    for passes_deadline in [true, false] {
        let each = where_half_fails(passes_deadline, false);
        assert!(each <= 1.1, "every tier repeats: {each:.3}");
    }
}

#[test]
fn where_only_the_nearest_tier_repeats_its_budget_is_the_whole_chains() {
    for passes_deadline in [true, false] {
        let nearest = where_half_fails(passes_deadline, true);
        assert!(nearest <= 1.1, "the nearest one repeats: {nearest:.3}");
    }
}

#[test]
fn calls_that_do_not_carry_the_time_left_go_on_below_when_nobody_waits_any_more() {
    let relays = |passes_deadline| {
        let totals = played("bottom-down", passes_deadline, LoadBalancerKind::PlainRetries);
        totals.tiers.iter().map(TierAttempts::total).sum::<u64>()
    };
    let (carried, not_carried) = (relays(true), relays(false));
    assert!(not_carried > 3 * carried, "{carried} relays with the time left, {not_carried} without");
}
