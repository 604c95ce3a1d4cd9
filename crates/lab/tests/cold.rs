//! Rule 4 by the sum of what all copies send to a cold server, in each sliding window, against N + 2 root N + 2. Seeds
//! are fixed: each run is the same each time.

use landingspread_lab::cold::{Bound, Brought, Peaks, allowance};
use landingspread_lab::experiment::{self, Ready};
use landingspread_lab::pickers::Named;
use std::ops::RangeInclusive;
use std::time::Duration;

fn swept(name: &str, pickers: &[Named], seeds: RangeInclusive<u64>, copies: &[&str]) -> Peaks {
    let mut ready: Ready = experiment::find(name).expect("it is built in");
    ready.experiment.pickers = pickers.into();
    ready.reseed(*seeds.end());
    let settings = ready.settings.clone();
    let wanted = |setting: usize| settings[setting].point.iter().any(|(_, value)| copies.contains(&&**value));
    ready.runs.retain(|run| wanted(run.setting) && seeds.contains(&run.seed));
    let results = experiment::sweep(&ready, 0, &|_, _| {}).expect("it can be played");
    let mut peaks = Peaks::default();
    for row in &results.rows {
        assert_eq!(row.broken[3], 0, "{} {:?} seed {}: {:?}", row.name(), row.picker, row.seed, row.breaches);
        peaks.join(&row.cold);
    }
    peaks
}

/// What was judged was there: servers were cold, and got something.
fn held(peaks: &Peaks, lives: u64) {
    assert_eq!(peaks.beyond, 0, "{:?}", peaks.told());
    assert!(peaks.lives >= lives, "{:?}", peaks.told());
}

#[test]
fn the_sum_of_all_copies_stays_within_chance_by_the_configured_count() {
    held(&swept("cold-sum", &[Named::Landingspread], 1..=10, &["3", "10", "30", "100"]), 200);
    held(&swept("cold-sum-many", &[Named::Landingspread], 1..=2, &["400"]), 8);
}

/// Before the mend each copy took a surge that all have for its own part of the traffic, and its floor of credits for
/// that of a large copy: 100 copies sent 400 a second where 18 are allowed.
#[test]
fn the_sum_of_all_copies_stays_within_chance_where_the_fleet_tells_their_traffic() {
    held(&swept("cold-sum", &[Named::LandingspreadFleet], 1..=5, &["3", "10", "30"]), 100);
    // Without the mend a server falls with the seeds 5 and 18.
    held(&swept("cold-sum", &[Named::LandingspreadFleet], 1..=5, &["100"]), 25);
    held(&swept("cold-sum", &[Named::LandingspreadFleet], 18..=18, &["100"]), 5);
}

/// Before the mend a copy that heard nobody for more than 40 s took itself for the only one: each of 30 or 100 copies
/// went by the credits of a whole fleet.
#[test]
fn the_sum_of_copies_that_hear_nobody_for_long_goes_by_the_configured_count() {
    held(&swept("cold-apart", &[Named::LandingspreadFleet], 1..=2, &["30"]), 10);
}

fn brings(commands: usize, budget: f64, least: usize) -> Option<usize> {
    let mut brought = Brought::default();
    let bound = Bound { window: Duration::from_secs(1), budget, least };
    (1..=commands).find(|_| brought.bring("s", Duration::from_secs(1), 1.0, bound))
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
    let mut brought = Brought::default();
    let bound = Bound { window: Duration::from_secs(1), budget: 1.0, least: usize::MAX };
    let mut peaks = Peaks::default();
    for at in 0..20 {
        let falls = brought.bring("s", Duration::from_millis(at * 251), 1.0, bound);
        assert!(!falls, "four in a second, where five are borne");
    }
    brought.end(&mut peaks);
    assert_eq!((peaks.lives, peaks.beyond), (1, 0));
    assert_eq!(peaks.highest.map(|peak| peak.sent), Some(4.0));
}
