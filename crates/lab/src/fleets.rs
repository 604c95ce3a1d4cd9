//! The subcommands `fleet` and `check`. The last line of output is `held` or `broken: WHICH` with figures, and
//! the exit code says the same: 0, 1, or 2 if the plan can't be read.

use crate::args::{Check, Fleet};
use landingspread_files::read_text;
use landingspread_lab::fleet::check::{Variant, check as explore};
use landingspread_lab::fleet::emulated::{EmulationOptions, EmulationResults, run as run_emulated};
use landingspread_lab::fleet::plan::{FleetPlan, read};
use landingspread_lab::fleet::zones::ZoneResults;
use landingspread_lab::fleet::{builtin, builtins, nemesis, page, rig};
use landingspread_lab::sockets;
use rayon::iter::{IntoParallelIterator, ParallelIterator};
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

fn read_plan(args: &Fleet) -> Result<FleetPlan, String> {
    if let Some(text) = builtin(&args.name) {
        return read(&args.name, text, args.processes).map_err(|error| error.to_string());
    }
    if !Path::new(&args.name).is_file() {
        let known: Vec<&str> = builtins().map(|(name, _)| name).collect();
        return Err(format!("{:?} is neither a built-in plan ({}) nor a file", args.name, known.join(", ")));
    }
    let (file, text) = read_text(Path::new(&args.name)).map_err(|error| error.to_string())?;
    read(&file, &text, args.processes).map_err(|error| error.to_string())
}

/// Runs a fleet plan, in virtual time or on real processes.
pub fn fleet(args: &Fleet) -> ExitCode {
    let plan = match read_plan(args) {
        Ok(plan) => plan,
        Err(error) => {
            eprintln!("landingspread-lab: {error}");
            return ExitCode::from(2);
        }
    };
    match args.emulated {
        Some(seeds) => check_emulated(args, &plan, seeds.max(1)),
        None => match check_processes(args, &plan) {
            Ok(code) => code,
            Err(error) => {
                println!("broken: the run, {error}");
                ExitCode::from(1)
            }
        },
    }
}

fn check_processes(args: &Fleet, plan: &FleetPlan) -> Result<ExitCode, String> {
    let plan = plan_for_seed(args, plan, args.seed);
    let dir = rig::run_dir(&plan.name)?;
    if args.nemesis {
        let text = toml::to_string(&plan).map_err(|error| error.to_string())?;
        let path = dir.join("plan.toml");
        std::fs::write(&path, text).map_err(|error| format!("{}: {error}", path.display()))?;
        println!("the plan: {}", path.display());
    }
    let program = args.program.clone().map_or_else(sockets::sidecar_program, Ok)?;
    let options = rig::RunOptions {
        seed: args.seed,
        program: &program,
        old_program: args.old.as_deref(),
        dir: &dir,
        with_fleet: !args.alone,
        with_localities: !args.no_localities && !args.alone,
        snapshot_interval: Duration::from_secs_f64(args.look_every.clamp(0.01, 60.0)),
    };
    let results = rig::run(&plan, &options, &mut |line| println!("{line}"))?;
    println!("logs: {}", dir.display());
    if let Some(path) = &args.report {
        let command = format!(
            "landingspread-lab fleet {} --seed {} --processes {}",
            args.name, args.seed, plan.processes
        );
        let page = page::page(&plan, &results, &command).map_err(|error| error.to_string())?;
        std::fs::write(path, page).map_err(|error| format!("{}: {error}", path.display()))?;
        println!("report: {}", path.display());
    }
    Ok(print_results(&plan, &results, args))
}

/// Prints the outcome of a run on real processes; the last line is the verdict.
fn print_results(plan: &FleetPlan, results: &rig::RunResults, args: &Fleet) -> ExitCode {
    let views = &results.views;
    views.convergence_times.iter().for_each(|(change, elapsed)| println!("{elapsed:5.1} s  {change}"));
    results.cold_peaks.summary().iter().for_each(|line| println!("{line}"));
    let zones = &results.zones;
    let violations = views.violations.iter().chain(&zones.violations).chain(&results.breaches);
    violations.for_each(|text| println!("  {text}"));
    let sum = |count: fn(&rig::SecondCounts) -> u32| results.seconds.iter().map(count).sum::<u32>();
    let text = format!(
        "{} processes, {:.0} s; deaths seen by all after {:.1} s (median) and {:.1} s at most, all else after {:.1} s; \
         {} false deaths; {} commands came, {:.3} answered within their goals, {} declined, {} lost; rules broken \
         {:?}; {:.1} datagrams a copy and second, {:.0} us of processor time a command",
        plan.processes,
        plan.seconds,
        views.median_death_s,
        views.max_death_s,
        views.max_convergence_s,
        views.false_deaths,
        sum(|second| second.offered),
        results.within_goal,
        sum(|second| second.declined),
        sum(|second| second.lost),
        results.rule_violations,
        results.datagrams_per_s,
        results.cpu_us_per_request,
    );
    let text = if plan.localities { format!("{text}; {}", zone_summary(zones)) } else { text };
    let rules_violated = results.rule_violations.iter().any(|count| *count > 0);
    let views_wrong = !views.violations.is_empty() && !args.alone;
    let zones_wrong = plan.localities && !zones.violations.is_empty() && !args.alone && !args.no_localities;
    let which = match () {
        () if rules_violated => "rules",
        () if views_wrong => "views",
        () if zones_wrong => "zones",
        () => {
            println!("held: {text}");
            return ExitCode::SUCCESS;
        }
    };
    println!("broken: {which}; {text}");
    ExitCode::from(1)
}

/// Checks the zone verdicts exhaustively.
pub fn check(args: &Check) -> ExitCode {
    let variant = match args.variant.as_deref() {
        None => Variant::Production,
        Some("last-word") => Variant::LastMessageWins,
        Some("counted-often") => Variant::DuplicatesCounted,
        Some(other) => {
            eprintln!("landingspread-lab: unknown variant {other:?}; expected last-word or counted-often");
            return ExitCode::from(2);
        }
    };
    let (copies, depth) = (args.copies.clamp(1, 8), args.depth.min(12));
    let started_at = std::time::Instant::now();
    let results = explore(copies, depth, variant);
    results.violations.iter().for_each(|text| println!("  {text}"));
    let (figures, elapsed) = (
        format!(
            "{} states, {} moves, {} with the zone left",
            results.states, results.transitions, results.evacuated
        ),
        started_at.elapsed(),
    );
    let text = format!("{copies} copies, depth {depth}: {figures}, {:.1} s", elapsed.as_secs_f64());
    if results.violations.is_empty() {
        println!("held: {text}");
        return ExitCode::SUCCESS;
    }
    println!("broken: verdicts; {text}");
    ExitCode::from(1)
}

fn zone_summary(zones: &ZoneResults) -> String {
    format!(
        "zones: nothing sent but trials {:.2} s after a loss (median of the copies) and {:.2} s at most, {} commands sent \
         there in vain; {:.1} trials a second at most; as ever {:.1} s after at most; {} departures at most, {} false",
        zones.median_leave_s,
        zones.max_leave_s,
        zones.unreachable_requests,
        zones.max_trials_per_s,
        zones.max_return_s,
        zones.max_departures,
        zones.false_verdicts
    )
}

/// The plan itself, or with generated faults if asked for.
fn plan_for_seed(args: &Fleet, plan: &FleetPlan, seed: u64) -> FleetPlan {
    if args.nemesis { nemesis::generate(plan, seed) } else { plan.clone() }
}

fn check_emulated(args: &Fleet, plan: &FleetPlan, seeds: u64) -> ExitCode {
    let started_at = std::time::Instant::now();
    let run_seed = |seed: u64| {
        let plan = plan_for_seed(args, plan, seed);
        let (snapshot_interval, start_within) =
            (args.look_every.max(0.01), args.start_within.clamp(0.0, 600.0));
        let options =
            EmulationOptions { seed, snapshot_interval, start_within, ..EmulationOptions::default() };
        (seed, run_emulated(&plan, options), plan)
    };
    let runs: Vec<(u64, EmulationResults, FleetPlan)> =
        (args.seed..args.seed + seeds).into_par_iter().map(run_seed).collect();
    let mut deaths: Vec<f64> = Vec::new();
    let (mut max_convergence, mut false_deaths, mut failed_seeds) = (0.0_f64, 0, Vec::new());
    let mut highest = EmulationResults::default();
    for (seed, results, plan) in &runs {
        let views = &results.views;
        deaths.push(views.max_death_s);
        max_convergence = max_convergence.max(views.max_convergence_s);
        false_deaths += views.false_deaths;
        highest.datagrams_per_s = highest.datagrams_per_s.max(results.datagrams_per_s);
        highest.bytes_per_s = highest.bytes_per_s.max(results.bytes_per_s);
        highest.max_datagrams_per_s = highest.max_datagrams_per_s.max(results.max_datagrams_per_s);
        highest.max_bytes_per_s = highest.max_bytes_per_s.max(results.max_bytes_per_s);
        highest.suspicions += results.suspicions;
        if !views.violations.is_empty() {
            failed_seeds.push(*seed);
            println!("seed {seed}:");
            views.violations.iter().for_each(|text| println!("  {text}"));
            plan.faults.iter().for_each(|fault| {
                println!("  {:6.1} s, {:4.1} s: {}", fault.at, fault.duration, fault.label());
            });
        }
    }
    deaths.sort_by(f64::total_cmp);
    if let [(_, results, _)] = runs.as_slice() {
        results
            .views
            .convergence_times
            .iter()
            .for_each(|(change, elapsed)| println!("{elapsed:5.1} s  {change}"));
    }
    println!(
        "{} copies, {} seeds, {:.0} s each, played in {:.1} s; a copy sends {:.1} datagrams and {:.0} bytes a second, at \
         most {:.1} and {:.0}; {} suspicions",
        plan.processes,
        runs.len(),
        plan.seconds,
        started_at.elapsed().as_secs_f64(),
        highest.datagrams_per_s,
        highest.bytes_per_s,
        highest.max_datagrams_per_s,
        highest.max_bytes_per_s,
        highest.suspicions
    );
    let figures = format!(
        "deaths seen by all after {:.1} s (median of the seeds' longest) and {:.1} s at most, all else after {max_convergence:.1} s; \
         {false_deaths} false deaths",
        deaths.get(deaths.len() / 2).copied().unwrap_or(0.0),
        deaths.last().copied().unwrap_or(0.0),
    );
    if failed_seeds.is_empty() {
        println!("held: {figures}");
        ExitCode::SUCCESS
    } else {
        println!("broken: views with seeds {failed_seeds:?}; {figures}");
        ExitCode::from(1)
    }
}
