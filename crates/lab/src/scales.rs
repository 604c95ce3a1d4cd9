//! The subcommand `scale`, which measures by size: its output and files.

use crate::args::Scale;
use landingspread_lab::scale::{
    Bounds, RecordedRun, RunResult, RunSize, fit_slopes, read_runs, requirements, run, slope_table,
};
use landingspread_lab::sockets;
use std::io::Write;
use std::path::Path;
use std::time::Duration;

/// Sizes of the short run for CI, which takes less than a minute.
const SHORT_SIZES: [f64; 2] = [120.0, 240.0];

fn seconds_to_duration(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, 3600.0))
}

/// The size of a run in which the varied parameter has this value.
fn run_size(args: &Scale, value: f64) -> Result<RunSize, String> {
    let mut size = RunSize {
        replicas: args.copies,
        fleet_size: args.fleet_size,
        endpoints: args.endpoints,
        changes_per_s: args.changes,
        measured: args.real,
        requests_per_s: args.rate,
        clientless_per_process: args.each,
        settle: seconds_to_duration(args.settle),
        duration: seconds_to_duration(args.seconds.max(1.0)),
        join_timeout: Duration::from_secs(60),
        lose_zone: args.lose_a_zone,
        bounds: Bounds { processes: args.processes, memory_mb: args.memory_mb },
    };
    match args.by.as_str() {
        "copies" => size.replicas = value as usize,
        "endpoints" => size.endpoints = value as usize,
        "changes_per_s" => size.changes_per_s = value,
        "calls_per_s" => size.requests_per_s = value,
        other => {
            return Err(format!(
                "unknown parameter {other:?}: expected copies, endpoints, changes_per_s or calls_per_s"
            ));
        }
    }
    Ok(size)
}

/// Cores and memory of this machine.
fn machine() -> String {
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let memory = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let kib = memory.lines().find_map(|line| line.strip_prefix("MemTotal:"));
    let kib = kib.and_then(|rest| rest.trim().trim_end_matches("kB").trim().parse::<f64>().ok());
    format!("{cores} cores, {:.0} GB, shared", kib.unwrap_or(0.0) / (1024.0 * 1024.0))
}

fn print_result(value: f64, result: &RunResult, parameter: &str) {
    println!(
        "{parameter} {value}: all counted after {:.1} s; at most {} processes, {:.0} MB",
        result.join_s, result.processes, result.memory_mb
    );
    if let Some(why) = &result.invalid {
        println!("  not measured: {why}");
    }
    for figure in &result.figures {
        println!("  {:10} {:17} {:14.4} {}", figure.role, figure.figure, figure.value, figure.unit);
    }
    if let Some((p50, p99, lost)) = result.calls {
        println!("  calls: p50 {p50:.2} ms, p99 {p99:.2} ms, {lost} not answered");
    }
    if let (Some(death), Some(back)) = (result.zone_loss_s, result.zone_return_s) {
        println!("  a zone lost: known to the real ones after {death:.1} s; its herd back after {back:.1} s");
    }
}

/// Runs all sizes, fits slopes to the results, and writes both.
///
/// # Errors
/// Invalid sizes, sizes beyond the bounds, and files that can't be read or written.
pub fn scale(args: &Scale) -> Result<(), String> {
    let mut values = args.at.clone();
    if args.short {
        values = SHORT_SIZES.to_vec();
    }
    let sizes: Vec<(f64, RunSize)> =
        values.iter().map(|value| Ok((*value, run_size(args, *value)?))).collect::<Result<_, String>>()?;
    // All sizes are checked first, so that a long run does not fail at its last one.
    for (_, size) in &sizes {
        requirements(size)?;
    }
    let file_error = |path: &Path, error: std::io::Error| format!("{}: {error}", path.display());
    let mut runs: Vec<RecordedRun> = match &args.keep {
        Some(path) if path.is_file() => {
            let text = std::fs::read_to_string(path).map_err(|error| file_error(path, error))?;
            read_runs(&text).map_err(|error| format!("{}: {error}", path.display()))?
        }
        _ => Vec::new(),
    };
    let program = args.program.clone().map_or_else(sockets::sidecar_program, Ok)?;
    let profile = if cfg!(debug_assertions) { "debug" } else { "release" };
    let seconds = if args.short { 4.0 } else { args.seconds };
    let command = format!(
        "landingspread-lab scale --by {} --runs {} --seconds {seconds} --copies {} --endpoints {} --changes {} \
         --fleet-size {} --real {}",
        args.by, args.runs, args.copies, args.endpoints, args.changes, args.fleet_size, args.real
    );
    for (value, mut size) in sizes {
        size.duration = seconds_to_duration(seconds);
        for _ in 0..if args.short { 1 } else { args.runs } {
            let dir = sockets::run_dir("scale")?;
            let result = run(&size, &program, &dir);
            let _ = std::fs::remove_dir_all(&dir);
            let result = match result {
                Ok(result) => result,
                Err(error) => {
                    println!("{} {value}: not measured: {error}", args.by);
                    RunResult { invalid: Some(error), ..RunResult::default() }
                }
            };
            print_result(value, &result, &args.by);
            let run = RecordedRun {
                parameter: args.by.clone(),
                value,
                invalid: result.invalid,
                figures: result.figures,
                command: command.clone(),
                build: format!("{}, {profile}", args.build),
                machine: machine(),
            };
            if let Some(path) = &args.keep {
                let line = serde_json::to_string(&run).map_err(|error| error.to_string())?;
                let file = std::fs::File::options().create(true).append(true).open(path);
                let written = file.and_then(|mut file| writeln!(file, "{line}"));
                written.map_err(|error| file_error(path, error))?;
            }
            runs.push(run);
        }
    }
    let slopes = fit_slopes(&runs, &args.left_out);
    print!("{}", slope_table(&slopes));
    if let Some(path) = &args.out {
        std::fs::write(path, slopes.write()).map_err(|error| file_error(path, error))?;
    }
    Ok(())
}
