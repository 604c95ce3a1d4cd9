//! The built-in cases in virtual time: the program's decisions keep the four rules through every fault, and a
//! sweep writes the same bytes whatever the threads do.

use landingspread_lab::experiment::{self, Results, Row};

fn swept(name: &str, seeds: u64, threads: usize) -> Results {
    let mut ready = experiment::find(name).expect("built in");
    ready.experiment.load_balancers.truncate(1);
    ready.reseed(seeds);
    experiment::sweep(&ready, threads, &|_, _| {}).expect("a pool of threads")
}

fn keeps_rules(results: &Results) {
    let told = |row: &Row| format!("{} seed {}: {:?}", row.name(), row.seed, row.breaches);
    let broken: Vec<String> =
        results.rows.iter().filter(|row| row.breach_counts != [0; 4]).map(told).collect();
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// What the module keeps of a case's utility, the least over the seeds.
fn least(results: &Results, case: &str) -> f64 {
    let kept = results.rows.iter().filter(|row| row.case == case).map(|row| row.totals.utility_fraction);
    kept.fold(f64::MAX, f64::min)
}

#[test]
fn the_four_rules_hold_through_each_fault_and_five_together() {
    let results = swept("suite", 2, 0);
    keeps_rules(&results);
    assert!(results.rows.len() >= 2 * 21);
    // A world in which nothing goes wrong must not be one in which nothing is answered.
    assert!(least(&results, "calm") > 0.99);
    assert!(least(&results, "crash") > 0.97, "two of ten servers lost cost no more than they carry");
    // Metastable states would keep what the surge did long after it: half of the time lies past it.
    assert!(least(&results, "surge") > 0.7);
}

#[test]
fn the_four_rules_hold_across_tiers_and_zones() {
    keeps_rules(&swept("tiers", 1, 0));
    keeps_rules(&swept("zones", 1, 0));
}

#[test]
fn results_are_the_same_bytes_at_any_number_of_threads() {
    let bytes = |threads| {
        let mut written = Vec::new();
        swept("zones", 2, threads).write(&mut written).expect("memory takes it");
        written
    };
    let one = bytes(1);
    assert!(one == bytes(5), "a sweep on five threads differs from one on one");
    let read = Results::read(one.as_slice()).expect("what was written can be read");
    assert_eq!(read.rows.len(), 10);
}
