//! The change of the fleet size over time after joins, deaths and leaves.

use super::*;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn joins_count_immediately_and_dead_members_decay() {
    let mut estimator = FleetSizeEstimator::new(4.0, ms(0));
    assert_eq!(estimator.advance(ms(50), 6.0), 6.0);
    assert_eq!(estimator.advance(ms(100), 4.0), 6.0 - 2.0 * 50.0 / 800.0);
    let halfway = estimator.advance(ms(450), 4.0);
    assert!((4.5..5.5).contains(&halfway), "the size halfway through the decay is {halfway}, not near 5");
    assert_eq!(estimator.advance(ms(900), 4.0), 4.0);
    // A join during the decay counts immediately.
    estimator.advance(ms(1000), 3.0);
    assert_eq!(estimator.advance(ms(1050), 5.0), 5.0);
}

#[test]
fn members_that_left_decay_without_delay_in_a_minority() {
    let mut estimator = FleetSizeEstimator::new(10.0, ms(0));
    (0..7).for_each(|_| estimator.member_left());
    for step in 1..20 {
        estimator.advance(ms(step * 50), 3.0);
    }
    assert_eq!(estimator.advance(ms(1000), 3.0), 3.0);
}

#[test]
fn minority_waits_and_then_decays_slowly() {
    let mut estimator = FleetSizeEstimator::new(10.0, ms(0));
    for step in 1..190 {
        assert_eq!(
            estimator.advance(ms(step * 50), 3.0),
            10.0,
            "the size changed before the delay, at step {step}"
        );
    }
    for step in 190..240 {
        estimator.advance(ms(step * 50), 3.0);
    }
    let halfway = estimator.advance(ms(15_000), 3.0);
    assert!((5.0..8.0).contains(&halfway), "the size halfway through the decay is {halfway}, not near 6.5");
    for step in 300..420 {
        estimator.advance(ms(step * 50), 3.0);
    }
    assert_eq!(estimator.advance(ms(22_000), 3.0), 3.0);
}
