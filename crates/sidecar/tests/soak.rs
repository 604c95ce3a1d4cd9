//! A short soak run: a dozen real processes under overlapping faults, with all rules checked. The long run is
//! `landingspread-lab soak --seed N --time 20s`.

use landingspread_lab::soak::{Plan, run};
use std::path::Path;
use std::time::Duration;

const LENGTH: Duration = Duration::from_secs(12);
const SIDECARS: usize = 12;
const SERVERS: usize = 9;
const SEEDS: [u64; 2] = [46, 47];

#[test]
fn a_dozen_processes_keep_the_rules_under_overlapping_faults() {
    for seed in SEEDS {
        let plan = Plan::sized(seed, LENGTH, SIDECARS, SERVERS);
        let program = Path::new(env!("CARGO_BIN_EXE_landingspread"));
        let verdict = run(&plan, program).expect("soak run failed to complete");
        println!(
            "seed {seed}: {} requests, {} attempts, {} faults",
            verdict.requests, verdict.attempts, verdict.faults
        );
        assert!(verdict.violations.is_empty(), "seed {seed}: {:#?}\n{:#?}", verdict.violations, plan.faults);
        assert!(verdict.answered * 2 > verdict.requests && verdict.faults >= 4, "{verdict:#?}");
    }
}
