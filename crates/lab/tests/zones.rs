//! Zones and the fleet in virtual time: which are left, and which are not. Seeds are fixed: each run is the same each time.

use landingspread_lab::experiment::{find, run_one};
use landingspread_lab::pickers::LoadBalancerKind;
use landingspread_lab::plan::{Fault, Scenario};
use landingspread_lab::world::Run;
use rayon::iter::{IntoParallelIterator, ParallelIterator};

fn case(name: &str) -> Scenario {
    let ready = find("fleet-zones").expect("it is built in");
    let setting = ready.settings.into_iter().find(|setting| setting.case == name);
    setting.expect("a case").scenario
}

fn left(run: &Run) -> Vec<String> {
    let left =
        run.ejections.iter().filter(|mark| mark.text.starts_with("mark zone") && mark.text.ends_with("left"));
    left.map(|mark| format!("{:.1} s c{}: {}", mark.at, mark.replica, mark.text)).collect()
}

fn fault(text: &str) -> Fault {
    toml::from_str(text).expect("a fault")
}

#[test]
fn a_lost_zone_costs_less_than_half_of_what_it_did_and_no_rule() {
    for name in ["silent", "ended", "words-lost", "flapping", "surge"] {
        let scenario = case(name);
        let vain = |picker: LoadBalancerKind, seed: u64| {
            let run = run_one(&scenario, picker, seed);
            assert_eq!(run.breach_counts, [0; 4], "{name} seed {seed}: {:?}", run.breaches);
            run.totals.unreachable_attempts
        };
        let of =
            |picker: LoadBalancerKind| (1..=4u64).into_par_iter().map(|seed| vain(picker, seed)).sum::<u64>();
        let (with, without) =
            (of(LoadBalancerKind::LandingspreadZones), of(LoadBalancerKind::LandingspreadFleet));
        assert!(with > 0 && with * 2 < without, "{name}: {with} relays in vain, {without} without the fleet");
    }
}

#[test]
fn nobody_leaves_a_zone_that_nobody_lost() {
    let mut calm = case("calm");
    calm.faults = vec![
        fault("kind = \"words_lost\"\nat = 5\nfor = 25\nshare = 0.3"),
        fault("kind = \"copies_restarted\"\nat = 8\ncount = 4\nseconds = 2"),
        fault("kind = \"copies_apart\"\nat = 15\nfor = 6\ncount = 1"),
    ];
    (1..=12u64).into_par_iter().for_each(|seed| {
        for picker in [LoadBalancerKind::LandingspreadZones, LoadBalancerKind::LandingspreadZonesFalseReports]
        {
            let run = run_one(&calm, picker, seed);
            assert_eq!(left(&run), Vec::<String>::new(), "{} seed {seed}", picker.name());
        }
    });
    // That lies are told, and that a true loss is found through them.
    let silent = run_one(&case("silent"), LoadBalancerKind::LandingspreadZonesFalseReports, 1);
    assert!(!left(&silent).is_empty());
}

#[test]
fn a_slow_zone_is_not_left() {
    let slow = case("slow");
    (1..=6u64).into_par_iter().for_each(|seed| {
        let run = run_one(&slow, LoadBalancerKind::LandingspreadZones, seed);
        assert_eq!(left(&run), Vec::<String>::new(), "seed {seed}");
    });
}
