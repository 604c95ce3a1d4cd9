//! The sub-command that measures by size. It owns what is printed and which files are written.

use crate::args::Scale;
use landingspread_lab::scale::{Bounds, Kept, Ran, Wanted, fitted, kept, need, run, table};
use landingspread_lab::sockets;
use std::io::Write;
use std::path::Path;
use std::time::Duration;

/// A run in CI is over within a minute.
const SHORT: [f64; 2] = [120.0, 240.0];

fn span(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, 3600.0))
}

fn at(wanted: &Scale, value: f64) -> Result<Wanted, String> {
    let mut one = Wanted {
        copies: wanted.copies,
        fleet_size: wanted.fleet_size,
        endpoints: wanted.endpoints,
        changes_per_s: wanted.changes,
        real: wanted.real,
        rate: wanted.rate,
        to_a_process: wanted.each,
        settle: span(wanted.settle),
        length: span(wanted.seconds.max(1.0)),
        join_within: Duration::from_secs(60),
        lose_a_zone: wanted.lose_a_zone,
        bounds: Bounds { processes: wanted.processes, memory_mb: wanted.memory_mb },
    };
    match wanted.by.as_str() {
        "copies" => one.copies = value as usize,
        "endpoints" => one.endpoints = value as usize,
        "changes_per_s" => one.changes_per_s = value,
        "calls_per_s" => one.rate = value,
        other => {
            return Err(format!(
                "{other:?} is not varied: expected copies, endpoints, changes_per_s or calls_per_s"
            ));
        }
    }
    Ok(one)
}

fn machine() -> String {
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let memory = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let kib = memory.lines().find_map(|line| line.strip_prefix("MemTotal:"));
    let kib = kib.and_then(|rest| rest.trim().trim_end_matches("kB").trim().parse::<f64>().ok());
    format!("{cores} cores, {:.0} GB, shared", kib.unwrap_or(0.0) / (1024.0 * 1024.0))
}

fn told(at: f64, ran: &Ran, by: &str) {
    println!(
        "{by} {at}: all counted after {:.1} s; at most {} processes, {:.0} MB",
        ran.joined, ran.processes, ran.memory_mb
    );
    if let Some(why) = &ran.not_held {
        println!("  not measured: {why}");
    }
    for figure in &ran.figures {
        println!("  {:10} {:17} {:14.4} {}", figure.role, figure.figure, figure.value, figure.unit);
    }
    if let Some((p50, p99, lost)) = ran.calls {
        println!("  calls: p50 {p50:.2} ms, p99 {p99:.2} ms, {lost} not answered");
    }
    if let (Some(death), Some(back)) = (ran.death_known, ran.back_known) {
        println!("  a zone lost: known to the real ones after {death:.1} s; its herd back after {back:.1} s");
    }
}

pub fn scale(wanted: &Scale) -> Result<(), String> {
    let mut values = wanted.at.clone();
    if wanted.short {
        values = SHORT.to_vec();
    }
    let sizes: Vec<(f64, Wanted)> =
        values.iter().map(|value| Ok((*value, at(wanted, *value)?))).collect::<Result<_, String>>()?;
    // All of them first: a long run must not end at its last size.
    for (_, size) in &sizes {
        need(size)?;
    }
    let named = |path: &Path, wrong: std::io::Error| format!("{}: {wrong}", path.display());
    let mut runs: Vec<Kept> = match &wanted.keep {
        Some(path) if path.is_file() => {
            let text = std::fs::read_to_string(path).map_err(|wrong| named(path, wrong))?;
            kept(&text).map_err(|wrong| format!("{}: {wrong}", path.display()))?
        }
        _ => Vec::new(),
    };
    let program = wanted.program.clone().map_or_else(sockets::sidecar_program, Ok)?;
    let profile = if cfg!(debug_assertions) { "debug" } else { "release" };
    let seconds = if wanted.short { 4.0 } else { wanted.seconds };
    let command = format!(
        "landingspread-lab scale --by {} --runs {} --seconds {seconds} --copies {} --endpoints {} --changes {} \
         --fleet-size {} --real {}",
        wanted.by,
        wanted.runs,
        wanted.copies,
        wanted.endpoints,
        wanted.changes,
        wanted.fleet_size,
        wanted.real
    );
    for (value, mut size) in sizes {
        size.length = span(seconds);
        for _ in 0..if wanted.short { 1 } else { wanted.runs } {
            let dir = sockets::run_dir("scale")?;
            let ran = run(&size, &program, &dir);
            let _ = std::fs::remove_dir_all(&dir);
            let ran = match ran {
                Ok(ran) => ran,
                Err(wrong) => {
                    println!("{} {value}: not measured: {wrong}", wanted.by);
                    Ran { not_held: Some(wrong), ..Ran::default() }
                }
            };
            told(value, &ran, &wanted.by);
            let run = Kept {
                by: wanted.by.clone(),
                at: value,
                not_held: ran.not_held,
                figures: ran.figures,
                command: command.clone(),
                build: format!("{}, {profile}", wanted.build),
                machine: machine(),
            };
            if let Some(path) = &wanted.keep {
                let line = serde_json::to_string(&run).map_err(|wrong| wrong.to_string())?;
                let file = std::fs::File::options().create(true).append(true).open(path);
                let written = file.and_then(|mut file| writeln!(file, "{line}"));
                written.map_err(|wrong| named(path, wrong))?;
            }
            runs.push(run);
        }
    }
    let slopes = fitted(&runs, &wanted.left_out);
    print!("{}", table(&slopes));
    if let Some(path) = &wanted.out {
        std::fs::write(path, slopes.write()).map_err(|wrong| named(path, wrong))?;
    }
    Ok(())
}
