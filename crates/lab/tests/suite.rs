//! The built-in cases in virtual time: the decision module keeps the four rules through every fault, and a sweep writes
//! the same bytes with any count of threads.

use landingspread_lab::experiment::{self, Results, Row};

fn run_sweep(name: &str, seeds: u64, threads: usize) -> Results {
    let mut experiment = experiment::find(name).expect("a built-in experiment");
    experiment.experiment.load_balancers.truncate(1);
    experiment.reseed(seeds);
    experiment::sweep(&experiment, threads, &|_, _| {}).expect("a sweep in virtual time")
}

fn check_rules_kept(results: &Results) {
    let breaches_of = |row: &Row| format!("{} seed {}: {:?}", row.name(), row.seed, row.breaches);
    let breaches: Vec<String> =
        results.rows.iter().filter(|row| row.breach_counts != [0; 4]).map(breaches_of).collect();
    assert!(breaches.is_empty(), "{}", breaches.join("\n"));
}

/// The lowest utility fraction of a case over the seeds.
fn min_utility(results: &Results, case: &str) -> f64 {
    let utilities = results.rows.iter().filter(|row| row.case == case).map(|row| row.totals.utility_fraction);
    utilities.fold(f64::MAX, f64::min)
}

#[test]
fn rules_hold_through_each_fault_and_five_together() {
    let results = run_sweep("suite", 2, 0);
    check_rules_kept(&results);
    assert!(results.rows.len() >= 2 * 21);
    // Without faults nearly all requests are answered, so that the rules are not kept by rejecting everything.
    assert!(min_utility(&results, "calm") > 0.99);
    assert!(
        min_utility(&results, "crash") > 0.97,
        "the loss of two of ten servers costs at most their share"
    );
    // In a metastable failure the effect of the surge would last; half of the run lies after the surge.
    assert!(min_utility(&results, "surge") > 0.7);
}

#[test]
fn rules_hold_across_tiers_and_zones() {
    check_rules_kept(&run_sweep("tiers", 1, 0));
    check_rules_kept(&run_sweep("zones", 1, 0));
}

#[test]
fn results_do_not_depend_on_the_thread_count() {
    let bytes = |threads| {
        let mut written = Vec::new();
        run_sweep("zones", 2, threads).write(&mut written).expect("writing to memory");
        written
    };
    let single_thread = bytes(1);
    assert!(single_thread == bytes(5), "results with five threads differ from those with one");
    let read = Results::read(single_thread.as_slice()).expect("reading the written results");
    assert_eq!(read.rows.len(), 10);
}
