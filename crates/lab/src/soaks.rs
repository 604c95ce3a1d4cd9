//! The sub-command that runs soak tests. It prints a line with the figures of each seed, the violations, and `held` or
//! `broken` as the last line. The exit code is 0 for `held` and 1 for `broken`.

use crate::args::Soak;
use landingspread_lab::soak::{Plan, SoakResult, run};
use landingspread_lab::sockets;
use std::process::ExitCode;

/// Limit of violations printed for each seed.
const MAX_PRINTED_VIOLATIONS: usize = 12;

/// Runs the soak test for each seed and prints the results.
pub fn soak(options: &Soak) -> ExitCode {
    let mut held = true;
    for seed in options.seed..options.seed + options.seeds {
        match run_seed(options, seed) {
            Ok((plan, result)) => {
                print_result(seed, &plan, &result);
                held &= result.violations.is_empty();
            }
            Err(error) => {
                println!("seed {seed}: not judged: {error}");
                held = false;
            }
        }
    }
    println!("{}", if held { "held" } else { "broken" });
    if held { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn run_seed(options: &Soak, seed: u64) -> Result<(Plan, SoakResult), String> {
    let program = options.program.clone().map_or_else(sockets::sidecar_program, Ok)?;
    let mut plan = Plan::from_seed(seed, options.time);
    if let Some(sidecars) = options.sidecars {
        plan = Plan::sized(seed, options.time, sidecars.max(2), plan.servers);
    }
    let result = run(&plan, &program)?;
    Ok((plan, result))
}

fn print_result(seed: u64, plan: &Plan, result: &SoakResult) {
    let SoakResult {
        violations,
        requests,
        attempts,
        answered,
        rejected,
        failed,
        abandoned,
        interrupted,
        faults,
    } = result;
    println!(
        "seed {seed}: {faults} troubles, {requests} requests, {attempts} attempts, {answered} answered, {rejected} refused, \
         {failed} failed, {abandoned} left, {interrupted} crossed an end, {} violations",
        violations.len()
    );
    if !violations.is_empty() {
        plan.faults.iter().for_each(|fault| println!("  {fault}"));
    }
    violations.iter().take(MAX_PRINTED_VIOLATIONS).for_each(|violation| println!("  {violation}"));
}
