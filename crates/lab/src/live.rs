//! The sub-commands that need real sockets. It owns what is shown while they run.

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

/// One line a second; a terminal also gets each server, in place.
struct Table {
    terminal: bool,
    lines: usize,
}

impl Table {
    fn new() -> Table {
        Table { terminal: std::io::stdout().is_terminal(), lines: 0 }
    }

    fn show(&mut self, seen: &SecondSummary) {
        let second = seen.statistics;
        let mut text = format!(
            "{:3} s  came {:4}  answered {:4}  declined {:3}  terminated {:2}  p50 {:6.1} ms  p99 {:6.1} ms  {}\n",
            seen.second + 1,
            second.arrived,
            second.answered,
            second.declined,
            second.terminated,
            second.p50,
            second.p99,
            seen.faults.join(", "),
        );
        if self.terminal {
            // Up to where the table began, and clear from there.
            print!("\x1b[{}A\x1b[J", self.lines);
            for (name, standing, load) in &seen.servers {
                let bar = "#".repeat(((load * 4.0) as usize).min(40));
                text += &format!("    {name:6} {standing:7} {load:5.1} {bar}\n");
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
    let line = sockets::run_scenario(&setting.scenario, seed, program, &dir, &mut |seen| table.show(seen))?;
    Ok((line, dir))
}

fn write_report(
    setting: &Setting,
    title: &str,
    command: String,
    line: RunReport,
    path: &Path,
) -> Result<(), String> {
    let story = ReportData::new(&setting.scenario, title, &setting.about, command, vec![line]);
    let page = report::page(&story).map_err(|wrong| wrong.to_string())?;
    std::fs::write(path, page).map_err(|wrong| format!("{}: {wrong}", path.display()))
}

fn tell(line: &RunReport) {
    let totals = &line.totals;
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
        line.breach_counts,
    );
    line.breaches.iter().take(10).for_each(|breach| println!("{breach}"));
}

pub fn sockets(wanted: &Sockets) -> Result<(), String> {
    let ready = find(&wanted.name)?;
    let setting = case_of(&ready, wanted.case.as_deref())?;
    let (line, dir) = play(setting, wanted.seed, &program(wanted.program.as_ref())?, &setting.case)?;
    tell(&line);
    println!("logs: {}", dir.display());
    let Some(path) = &wanted.report else { return Ok(()) };
    let title = format!("{}: {} on sockets", wanted.name, setting.case);
    let command =
        format!("landingspread-lab sockets {} --case {} --seed {}", wanted.name, setting.case, wanted.seed);
    write_report(setting, &title, command, line, path)
}

pub fn demo() -> Result<(), String> {
    let ready = find("demo")?;
    let setting = case_of(&ready, None)?;
    println!("{}", setting.about);
    let (line, dir) = play(setting, 1, &program(None)?, "demo")?;
    tell(&line);
    let path = dir.join("report.html");
    write_report(setting, "demo", "landingspread-lab demo".into(), line, &path)?;
    println!("report: {}", path.display());
    Ok(())
}

pub fn load(wanted: &Load) -> Result<(), String> {
    if !wanted.to.ip().is_loopback() {
        return Err(format!("{} is not on loopback: the lab sends nowhere else", wanted.to));
    }
    let positive = |figure: f64| figure.is_finite() && figure >= 0.0;
    if !positive(wanted.seconds) || !positive(wanted.rate) || !(1..=4096).contains(&wanted.connections) {
        return Err("--seconds and --rate are no less than 0, --connections from 1 to 4096".into());
    }
    let figures = sockets::load(&LoadPlan {
        targets: vec![wanted.to],
        request_class: wanted.verb.clone(),
        connections: wanted.connections,
        rate: wanted.rate,
        time_limit: Duration::from_secs(2),
        warmup: Duration::from_millis(500),
        duration: Duration::from_secs_f64(wanted.seconds.min(3600.0)),
        seed: 1,
    });
    let text = serde_json::to_string_pretty(&figures).map_err(|wrong| wrong.to_string())?;
    println!("{text}");
    Ok(())
}

fn or_else(given: &[usize], otherwise: &[usize]) -> Vec<usize> {
    if given.is_empty() {
        otherwise.to_vec()
    } else {
        given.iter().map(|figure| (*figure).clamp(1, 4096)).collect()
    }
}

pub fn bench(wanted: &Bench) -> Result<(), String> {
    let program = program(wanted.program.as_ref())?;
    let dir = sockets::run_dir("bench")?;
    let span = |seconds: f64, least: f64| Duration::from_secs_f64(seconds.clamp(least, 600.0));
    let spans = (span(wanted.settle, 0.0), span(wanted.seconds, 0.5));
    println!(
        "| servers | connections | answered a second | p50 ms | p99 ms | declined | lost | cores used |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    let tell = |point: &points::Point| {
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
    tell(&points::direct(32, spans)?);
    for servers in &or_else(&wanted.servers, &[8, 200]) {
        for connections in &or_else(&wanted.connections, &[1, 8, 32, 128]) {
            tell(&points::via_sidecar(&program, &dir, *servers, *connections, spans)?);
        }
    }
    Ok(())
}

pub fn added(wanted: &Added) -> Result<(), String> {
    let mut programs = vec![program(wanted.program.as_ref())?];
    programs.extend(wanted.against.clone());
    let rates = if wanted.rate.is_empty() { vec![65.0, 650.0] } else { wanted.rate.clone() };
    let dir = sockets::run_dir("added")?;
    for rate in rates {
        let turns = AddedLatencyPlan {
            rate: rate.clamp(0.1, 100_000.0),
            pairs: wanted.pairs.clamp(1, 1000),
            run_duration: Duration::from_secs_f64(wanted.seconds.clamp(0.5, 600.0)),
            connections: wanted.connections.clamp(1, 4096),
            servers: wanted.servers.clamp(1, 1000),
        };
        print!("{}", added::render_table(&turns, &added::measure(&turns, &programs, &dir)?));
    }
    Ok(())
}
