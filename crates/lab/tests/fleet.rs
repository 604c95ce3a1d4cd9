//! The fleet's membership in virtual time, with faults between its copies. Seeds are fixed: each run is the same each time.

use landingspread_lab::fleet::emulated::{Played, Ways, play};
use landingspread_lab::fleet::nemesis;
use landingspread_lab::fleet::plan::{Fault, FleetPlan, Kind, Way, read};
use rayon::iter::{IntoParallelIterator, ParallelIterator};

fn plan(processes: usize, seconds: f64, faults: Vec<Fault>) -> FleetPlan {
    let mut plan = read("test", "name = \"test\"\n", Some(processes)).expect("a plan");
    (plan.seconds, plan.faults) = (seconds, faults);
    plan
}

fn held(plan: &FleetPlan, ways: Ways) -> Played {
    let played = play(plan, ways);
    assert!(played.figures.broken.is_empty(), "{ways:?}: {:#?}", played.figures);
    played
}

fn seeded(seed: u64) -> Ways {
    Ways { seed, ..Ways::default() }
}

fn loss(share: f64, at: f64, lasts: f64) -> Fault {
    Fault { share: Some(share), ..Fault::new(Kind::Loss, at, lasts) }
}

fn zone(kind: Kind, zone: &str, at: f64, lasts: f64) -> Fault {
    Fault { zone: Some(zone.into()), ..Fault::new(kind, at, lasts) }
}

fn part(kind: Kind, part: f64, at: f64, lasts: f64) -> Fault {
    Fault { part: Some(part), ..Fault::new(kind, at, lasts) }
}

#[test]
fn a_killed_copy_is_gone_from_every_view_and_a_new_one_is_in_all() {
    (1..=20).into_par_iter().for_each(|seed: u64| {
        let killed = Fault::new(Kind::Kill, 6.0, 6.0).of(&[seed as usize]);
        let played = held(&plan(24, 18.0, vec![killed]), seeded(seed));
        assert!(played.figures.death_most <= 2.0, "{:?}", played.figures.agreed_after);
    });
}

#[test]
fn a_copy_that_returns_with_a_clock_set_back_is_the_newer_one() {
    let killed = Fault::new(Kind::Kill, 6.0, 3.0).of(&[4]);
    held(&plan(12, 16.0, vec![killed]), Ways { clock_back: true, ..Ways::default() });
}

#[test]
fn copies_that_stood_still_for_1_5_and_30_s_are_taken_back() {
    for (lasts, seconds) in [(1.0, 12.0), (5.0, 18.0), (30.0, 45.0)] {
        let still = Fault::new(Kind::Stop, 5.0, lasts).of(&[2, 9]);
        held(&plan(24, seconds, vec![still]), seeded(3));
    }
}

#[test]
fn nobody_is_taken_for_dead_in_loss_or_when_one_gets_a_tenth_of_its_time() {
    (1..=4).into_par_iter().for_each(|seed: u64| {
        let starved = Fault::new(Kind::Starve, 5.0, 50.0).of(&[7]);
        let played = held(&plan(24, 60.0, vec![loss(0.2, 5.0, 50.0), starved]), seeded(seed));
        assert_eq!(played.figures.false_deaths, 0);
    });
}

#[test]
fn words_that_come_twice_late_or_garbled_do_no_harm() {
    let faults = vec![
        Fault { share: Some(0.5), ..Fault::new(Kind::Double, 4.0, 20.0) },
        Fault { share: Some(0.2), ..Fault::new(Kind::Garble, 4.0, 20.0) },
        Fault { delay: Some(0.05), ..Fault::new(Kind::Delay, 4.0, 20.0) },
        Fault::new(Kind::Kill, 10.0, 5.0).of(&[3]),
    ];
    held(&plan(24, 30.0, faults), seeded(5));
}

#[test]
fn parts_of_a_cut_by_zone_or_by_chance_meet_within_3_s() {
    for fault in [zone(Kind::Cut, "b", 5.0, 30.0), part(Kind::Cut, 0.5, 5.0, 30.0)] {
        let played = held(&plan(24, 45.0, vec![fault]), seeded(6));
        assert!(played.figures.agree_most <= 4.0, "{:?}", played.figures.agreed_after);
    }
}

#[test]
fn a_copy_that_hears_nobody_tells_nobody_that_they_are_dead() {
    let alone = Fault::new(Kind::Cut, 5.0, 12.0).of(&[8]);
    let played = held(&plan(24, 25.0, vec![alone]), seeded(7));
    assert_eq!(played.figures.false_deaths, 0);
    let mute = Fault { way: Way::Out, ..Fault::new(Kind::Cut, 5.0, 12.0).of(&[8]) };
    held(&plan(24, 25.0, vec![mute]), seeded(8));
}

#[test]
fn seven_in_ten_end_at_once_and_start_together() {
    held(&plan(40, 22.0, vec![part(Kind::Kill, 0.7, 6.0, 6.0)]), seeded(9));
}

#[test]
fn two_hundred_join_within_a_second() {
    let played = held(&plan(200, 15.0, Vec::new()), seeded(10));
    let (_, took) = &played.figures.agreed_after[0];
    assert!(*took <= 4.0, "{took}");
    let places: std::collections::BTreeSet<Option<u16>> =
        played.counted.iter().map(|counted| counted.and_then(|counted| counted.ordinal())).collect();
    assert_eq!(places.len(), 200, "each has a place of its own");
    assert!(played.counted.iter().flatten().all(|counted| (counted.members - 200.0).abs() < 1e-9));
}

#[test]
fn what_a_copy_sends_does_not_grow_with_the_fleet() {
    let sent = |copies: usize| {
        let ways = Ways { look_every: 1.0, ..Ways::default() };
        let played = play(&plan(copies, 40.0, Vec::new()), ways);
        (played.datagrams, played.bytes)
    };
    let (few, many) = (sent(50), sent(250));
    assert!(many.0 <= 1.5 * few.0 && many.1 <= 1.5 * few.1, "{few:?} {many:?}");
    assert!(many.0 <= 40.0 && many.1 <= 20_000.0, "{many:?}");
}

/// Seeds whose faults were played wrong once stay among them.
#[test]
fn views_are_right_after_faults_that_a_seed_draws() {
    let base = plan(24, 45.0, Vec::new());
    (1..=60u64)
        .chain([95, 172, 185, 230, 284, 297, 427, 428, 521, 536, 845, 943])
        .collect::<Vec<_>>()
        .into_par_iter()
        .for_each(|seed| {
            held(&nemesis::drawn(&base, seed), seeded(seed));
        });
}

/// Rule 4 while parts of the fleet hear nothing of each other, or are gone, in the middle of a return from cold.
#[test]
fn no_cold_server_is_pushed_over_while_copies_are_apart_or_gone() {
    let mut ready = landingspread_lab::experiment::find("fleet-service").expect("it is built in");
    ready.reseed(4);
    let results = landingspread_lab::experiment::sweep(&ready, 0, &|_, _| ()).expect("it can be played");
    let mut met = 0;
    for row in &results.rows {
        assert_eq!(row.breach_counts, [0; 4], "{} seed {}: {:?}", row.name(), row.seed, row.breaches);
        met += usize::from(row.load_balancer.name() == "landingspread_fleet");
    }
    assert_eq!(met, 4 * ready.settings.len());
}
