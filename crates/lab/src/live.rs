//! The subcommands that use real sockets, and the output while they run.

use crate::args::{Added, Bench, Load, Sockets};
use crate::cases::{case_of, find};
use landingspread_lab::experiment::Setting;
use landingspread_lab::report::{self, ReportData, RunReport};
use landingspread_lab::sockets::added::{self, AddedLatencyPlan};
use landingspread_lab::sockets::{self, LoadPlan, SecondSummary, bench as points};
use std::io::{IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

fn program(given: Option<&PathBuf>) -> Result<PathBuf, String> {
    given.cloned().map_or_else(sockets::sidecar_program, Ok)
}

/// Prints one line per second; a terminal also shows each server, updated in place.
struct Table {
    terminal: bool,
    lines: usize,
}

impl Table {
    fn new() -> Table {
        Table { terminal: std::io::stdout().is_terminal(), lines: 0 }
    }

    fn show(&mut self, progress: &SecondSummary) {
        let second = progress.statistics;
        let mut text = format!(
            "{:3} s  came {:4}  answered {:4}  declined {:3}  terminated {:2}  p50 {:6.1} ms  p99 {:6.1} ms  {}\n",
            progress.second + 1,
            second.arrived,
            second.answered,
            second.declined,
            second.terminated,
            second.p50,
            second.p99,
            progress.faults.join(", "),
        );
        if self.terminal {
            // Moves the cursor to the start of the table and clears the screen from there.
            print!("\x1b[{}A\x1b[J", self.lines);
            for (name, status, load) in &progress.servers {
                let bar = "#".repeat(((load * 4.0) as usize).min(40));
                text += &format!("    {name:6} {status:7} {load:5.1} {bar}\n");
            }
            self.lines = text.lines().count();
        }
        print!("{text}");
        let _ = std::io::stdout().flush();
    }
}

fn play(setting: &Setting, seed: u64, program: &Path, name: &str) -> Result<(RunReport, PathBuf), String> {
    let dir = sockets::run_dir(name)?;
    let mut table = Table::new();
    let report =
        sockets::run_scenario(&setting.scenario, seed, program, &dir, &mut |progress| table.show(progress))?;
    Ok((report, dir))
}

fn write_report(
    setting: &Setting,
    title: &str,
    command: String,
    report: RunReport,
    path: &Path,
) -> Result<(), String> {
    let report_data = ReportData::new(&setting.scenario, title, &setting.about, command, vec![report]);
    let page = report::page(&report_data).map_err(|error| error.to_string())?;
    std::fs::write(path, page).map_err(|error| format!("{}: {error}", path.display()))
}

fn print_summary(report: &RunReport) {
    let totals = &report.totals;
    println!(
        "kept {:.3} of the utility; {} came, {} answered, {} declined, {} terminated, {} lost; p50 {:.1} ms, \
         p99 {:.1} ms; rules broken {:?}",
        totals.utility_fraction,
        totals.arrived,
        totals.answered,
        totals.declined,
        totals.terminated,
        totals.lost,
        totals.p50,
        totals.p99,
        report.breach_counts,
    );
    report.breaches.iter().take(10).for_each(|breach| println!("{breach}"));
}

/// Runs one case on real sockets and prints its totals.
pub fn sockets(arguments: &Sockets) -> Result<(), String> {
    let experiment = find(&arguments.name)?;
    let setting = case_of(&experiment, arguments.case.as_deref())?;
    let (report, dir) = play(setting, arguments.seed, &program(arguments.program.as_ref())?, &setting.case)?;
    print_summary(&report);
    println!("logs: {}", dir.display());
    let Some(path) = &arguments.report else { return Ok(()) };
    let title = format!("{}: {} on sockets", arguments.name, setting.case);
    let command = format!(
        "landingspread-lab sockets {} --case {} --seed {}",
        arguments.name, setting.case, arguments.seed
    );
    write_report(setting, &title, command, report, path)
}

/// Runs the demonstration and writes its report.
pub fn demo() -> Result<(), String> {
    let experiment = find("demo")?;
    let setting = case_of(&experiment, None)?;
    println!("{}", setting.about);
    let (report, dir) = play(setting, 1, &program(None)?, "demo")?;
    print_summary(&report);
    let path = dir.join("report.html");
    write_report(setting, "demo", "landingspread-lab demo".into(), report, &path)?;
    println!("report: {}", path.display());
    Ok(())
}

/// Sends load to a loopback address and prints the results as JSON.
pub fn load(arguments: &Load) -> Result<(), String> {
    if !arguments.to.ip().is_loopback() {
        return Err(format!("{} is not on loopback: the lab sends nowhere else", arguments.to));
    }
    let is_valid = |value: f64| value.is_finite() && value >= 0.0;
    if !is_valid(arguments.seconds)
        || !is_valid(arguments.rate)
        || !(1..=4096).contains(&arguments.connections)
    {
        return Err("--seconds and --rate are no less than 0, --connections from 1 to 4096".into());
    }
    let results = sockets::load(&LoadPlan {
        targets: vec![arguments.to],
        request_class: arguments.verb.clone(),
        connections: arguments.connections,
        rate: arguments.rate,
        time_limit: Duration::from_secs(2),
        warmup: Duration::from_millis(500),
        duration: Duration::from_secs_f64(arguments.seconds.min(3600.0)),
        seed: 1,
    });
    let text = serde_json::to_string_pretty(&results).map_err(|error| error.to_string())?;
    println!("{text}");
    Ok(())
}

fn values_or(values: &[usize], default: &[usize]) -> Vec<usize> {
    if values.is_empty() {
        default.to_vec()
    } else {
        values.iter().map(|value| (*value).clamp(1, 4096)).collect()
    }
}

/// Prints the throughput of one sidecar as a Markdown table.
pub fn bench(arguments: &Bench) -> Result<(), String> {
    let program = program(arguments.program.as_ref())?;
    let dir = sockets::run_dir("bench")?;
    let clamped_duration = |seconds: f64, min: f64| Duration::from_secs_f64(seconds.clamp(min, 600.0));
    let durations = (clamped_duration(arguments.settle, 0.0), clamped_duration(arguments.seconds, 0.5));
    println!(
        "| servers | connections | answered a second | p50 ms | p99 ms | declined | lost | cores used |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    let print_row = |point: &points::Point| {
        let points::Point { servers, results, cores_used } = point;
        let servers = if *servers == 0 { "none between".to_string() } else { servers.to_string() };
        println!(
            "| {servers} | {} | {:.0} | {:.3} | {:.3} | {} | {} | {cores_used:.2} |",
            results.connections,
            results.answered_per_s,
            results.p50,
            results.p99,
            results.declined,
            results.lost
        );
    };
    print_row(&points::direct(32, durations)?);
    for servers in &values_or(&arguments.servers, &[8, 200]) {
        for connections in &values_or(&arguments.connections, &[1, 8, 32, 128]) {
            print_row(&points::via_sidecar(&program, &dir, *servers, *connections, durations)?);
        }
    }
    Ok(())
}

/// Prints the latency that one sidecar adds, by rate.
pub fn added(arguments: &Added) -> Result<(), String> {
    let mut programs = vec![program(arguments.program.as_ref())?];
    programs.extend(arguments.against.clone());
    let rates = if arguments.rate.is_empty() { vec![65.0, 650.0] } else { arguments.rate.clone() };
    let dir = sockets::run_dir("added")?;
    for rate in rates {
        let turns = AddedLatencyPlan {
            rate: rate.clamp(0.1, 100_000.0),
            pairs: arguments.pairs.clamp(1, 1000),
            run_duration: Duration::from_secs_f64(arguments.seconds.clamp(0.5, 600.0)),
            connections: arguments.connections.clamp(1, 4096),
            servers: arguments.servers.clamp(1, 1000),
        };
        print!("{}", added::render_table(&turns, &added::measure(&turns, &programs, &dir)?));
    }
    Ok(())
}
