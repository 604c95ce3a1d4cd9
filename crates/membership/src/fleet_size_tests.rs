//! How fast the fleet size follows joins, deaths and leaves.

use super::*;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn joins_count_at_once_and_the_part_of_the_gone_is_taken_over_slowly() {
    let mut count = FleetSizeEstimator::new(4.0, ms(0));
    assert_eq!(count.advance(ms(50), 6.0), 6.0);
    assert_eq!(count.advance(ms(100), 4.0), 6.0 - 2.0 * 50.0 / 800.0);
    let half = count.advance(ms(450), 4.0);
    assert!((4.5..5.5).contains(&half), "{half}");
    assert_eq!(count.advance(ms(900), 4.0), 4.0);
    // One that joins while another's part is taken over is counted at once.
    count.advance(ms(1000), 3.0);
    assert_eq!(count.advance(ms(1050), 5.0), 5.0);
}

#[test]
fn of_those_that_said_so_the_part_is_taken_over_whoever_is_left() {
    let mut count = FleetSizeEstimator::new(10.0, ms(0));
    (0..7).for_each(|_| count.member_left());
    for updated_at in 1..20 {
        count.advance(ms(updated_at * 50), 3.0);
    }
    assert_eq!(count.advance(ms(1000), 3.0), 3.0);
}

#[test]
fn a_lesser_rest_waits_and_then_goes_on_slowly() {
    let mut count = FleetSizeEstimator::new(10.0, ms(0));
    for updated_at in 1..190 {
        assert_eq!(count.advance(ms(updated_at * 50), 3.0), 10.0, "{updated_at}");
    }
    for updated_at in 190..240 {
        count.advance(ms(updated_at * 50), 3.0);
    }
    let later = count.advance(ms(15_000), 3.0);
    assert!((5.0..8.0).contains(&later), "{later}");
    for updated_at in 300..420 {
        count.advance(ms(updated_at * 50), 3.0);
    }
    assert_eq!(count.advance(ms(22_000), 3.0), 3.0);
}
