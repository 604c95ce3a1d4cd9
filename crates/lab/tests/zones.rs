//! Zone failover of a fleet in virtual time: which zones are evacuated and which are not. Seeds are fixed, so
//! each run repeats exactly.

use landingspread_lab::experiment::{find, run_one};
use landingspread_lab::pickers::LoadBalancerKind;
use landingspread_lab::plan::{Fault, Scenario};
use landingspread_lab::world::Run;
use rayon::iter::{IntoParallelIterator, ParallelIterator};

fn case(name: &str) -> Scenario {
    let ready = find("fleet-zones").expect("the experiment is built in");
    let setting = ready.settings.into_iter().find(|setting| setting.case == name);
    setting.expect("the case exists").scenario
}

/// Notes of evacuated zones, with time and replica.
fn evacuations(run: &Run) -> Vec<String> {
    let notes =
        run.ejections.iter().filter(|mark| mark.text.starts_with("mark zone") && mark.text.ends_with("left"));
    notes.map(|mark| format!("{:.1} s c{}: {}", mark.at, mark.replica, mark.text)).collect()
}

fn fault(text: &str) -> Fault {
    toml::from_str(text).expect("the fault is valid")
}

#[test]
fn failover_halves_requests_to_a_lost_zone_and_keeps_the_rules() {
    for name in ["silent", "ended", "words-lost", "flapping", "surge"] {
        let scenario = case(name);
        let unreachable_attempts = |picker: LoadBalancerKind, seed: u64| {
            let run = run_one(&scenario, picker, seed);
            assert_eq!(run.breach_counts, [0; 4], "{name} seed {seed}: {:?}", run.breaches);
            run.totals.unreachable_attempts
        };
        let total = |picker: LoadBalancerKind| {
            (1..=4u64).into_par_iter().map(|seed| unreachable_attempts(picker, seed)).sum::<u64>()
        };
        let (with_failover, without_failover) =
            (total(LoadBalancerKind::LandingspreadZones), total(LoadBalancerKind::LandingspreadFleet));
        assert!(
            with_failover > 0 && with_failover * 2 < without_failover,
            "{name}: {with_failover} attempts to unreachable servers with failover, {without_failover} without"
        );
    }
}

#[test]
fn no_replica_evacuates_a_zone_that_none_has_lost() {
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
            assert_eq!(evacuations(&run), Vec::<String>::new(), "{} seed {seed}", picker.name());
        }
    });
    // Checks that false reports are sent, and that a real loss is detected despite them.
    let silent = run_one(&case("silent"), LoadBalancerKind::LandingspreadZonesFalseReports, 1);
    assert!(!evacuations(&silent).is_empty());
}

#[test]
fn a_slow_zone_is_not_evacuated() {
    let slow = case("slow");
    (1..=6u64).into_par_iter().for_each(|seed| {
        let run = run_one(&slow, LoadBalancerKind::LandingspreadZones, seed);
        assert_eq!(evacuations(&run), Vec::<String>::new(), "seed {seed}");
    });
}
