//! The sub-command that plays soaks. It owns what is printed: a line for each seed with its figures, each violation, and as the
//! last line `held` or `broken`; the exit code says the same (0 or 1).

use crate::args::Soak;
use landingspread_lab::soak::{Plan, Verdict, run};
use landingspread_lab::sockets;
use std::process::ExitCode;

/// Violations told of each seed.
const TOLD_MOST: usize = 12;

pub fn soak(wanted: &Soak) -> ExitCode {
    let mut held = true;
    for seed in wanted.seed..wanted.seed + wanted.seeds {
        match one(wanted, seed) {
            Ok((plan, verdict)) => {
                say(seed, &plan, &verdict);
                held &= verdict.violations.is_empty();
            }
            Err(wrong) => {
                println!("seed {seed}: not judged: {wrong}");
                held = false;
            }
        }
    }
    println!("{}", if held { "held" } else { "broken" });
    if held { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn one(wanted: &Soak, seed: u64) -> Result<(Plan, Verdict), String> {
    let program = wanted.program.clone().map_or_else(sockets::sidecar_program, Ok)?;
    let mut plan = Plan::drawn(seed, wanted.time);
    if let Some(sidecars) = wanted.sidecars {
        plan = Plan::sized(seed, wanted.time, sidecars.max(2), plan.servers);
    }
    let verdict = run(&plan, &program)?;
    Ok((plan, verdict))
}

fn say(seed: u64, plan: &Plan, verdict: &Verdict) {
    let Verdict { violations, requests, attempts, answered, refused, failed, left, crossed, faults } =
        verdict;
    println!(
        "seed {seed}: {faults} troubles, {requests} requests, {attempts} attempts, {answered} answered, {refused} refused, \
         {failed} failed, {left} left, {crossed} crossed an end, {} violations",
        violations.len()
    );
    if !violations.is_empty() {
        plan.faults.iter().for_each(|trouble| println!("  {trouble}"));
    }
    violations.iter().take(TOLD_MOST).for_each(|violation| println!("  {violation}"));
}
