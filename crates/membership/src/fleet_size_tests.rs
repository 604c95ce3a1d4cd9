//! How fast the fleet size follows joins, deaths and leaves.

use super::*;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn joins_count_at_once_and_the_share_of_the_dead_decays() {
    let mut estimator = FleetSizeEstimator::new(4.0, ms(0));
    assert_eq!(estimator.advance(ms(50), 6.0), 6.0);
    assert_eq!(estimator.advance(ms(100), 4.0), 6.0 - 2.0 * 50.0 / 800.0);
    let half = estimator.advance(ms(450), 4.0);
    assert!((4.5..5.5).contains(&half), "{half}");
    assert_eq!(estimator.advance(ms(900), 4.0), 4.0);
    // A join during the decay counts at once.
    estimator.advance(ms(1000), 3.0);
    assert_eq!(estimator.advance(ms(1050), 5.0), 5.0);
}

#[test]
fn the_share_of_members_that_left_decays_in_a_minority_too() {
    let mut estimator = FleetSizeEstimator::new(10.0, ms(0));
    (0..7).for_each(|_| estimator.member_left());
    for step in 1..20 {
        estimator.advance(ms(step * 50), 3.0);
    }
    assert_eq!(estimator.advance(ms(1000), 3.0), 3.0);
}

#[test]
fn a_minority_waits_and_then_decays_slowly() {
    let mut estimator = FleetSizeEstimator::new(10.0, ms(0));
    for step in 1..190 {
        assert_eq!(estimator.advance(ms(step * 50), 3.0), 10.0, "{step}");
    }
    for step in 190..240 {
        estimator.advance(ms(step * 50), 3.0);
    }
    let later = estimator.advance(ms(15_000), 3.0);
    assert!((5.0..8.0).contains(&later), "{later}");
    for step in 300..420 {
        estimator.advance(ms(step * 50), 3.0);
    }
    assert_eq!(estimator.advance(ms(22_000), 3.0), 3.0);
}
