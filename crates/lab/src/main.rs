//! The command line of the lab: runs the subcommands and prints their output.

mod args;
mod capacity;
mod cases;
mod fan_out;
mod fleets;
mod live;
mod scales;
mod soaks;

use args::{CommandLine, Compare, Demo, List, Run, Subcommand, Sweep};
use cases::{case_of, find};
use indicatif::{ProgressBar, ProgressStyle};
use landingspread_lab::experiment::{self, Results, Setting};
use landingspread_lab::pickers::LoadBalancerKind;
use landingspread_lab::report::{self, ReportData, RunReport};
use landingspread_lab::world::Run as SimulatedRun;
use std::fs::File;
use std::io::{BufReader, BufWriter};
use std::path::Path;
use std::process::ExitCode;

fn list() {
    let description = |text: &'static str| {
        let description = text.lines().find_map(|line| line.strip_prefix("about = "));
        description.unwrap_or_default().trim_matches('"')
    };
    experiment::builtins().for_each(|(name, text)| println!("{name:16} {}", description(text)));
    landingspread_lab::fleet::builtins()
        .for_each(|(name, text)| println!("fleet {name:10} {}", description(text)));
}

fn show(name: &str) -> Result<(), String> {
    let text = experiment::builtin(name).or_else(|| landingspread_lab::fleet::builtin(name));
    let text = text.ok_or_else(|| format!("{name:?} is not built in; `list` shows the built-in names"))?;
    print!("{text}");
    Ok(())
}

fn run(run: &Run) -> Result<(), String> {
    let experiment = find(&run.name)?;
    let setting = case_of(&experiment, run.case.as_deref())?;
    experiment::check_virtual_time(setting)?;
    let started = std::time::Instant::now();
    let result = experiment::run_one(&setting.scenario, run.picker, run.seed);
    let elapsed_s = started.elapsed().as_secs_f64();
    if let Some(path) = &run.report {
        report(run, setting, &result, path)?;
    }
    for (at, second) in result.seconds.iter().enumerate().filter(|_| run.seconds) {
        println!(
            "{at:4} s  came {:5}  answered {:5}  declined {:4}  terminated {:3}  lost {:3}  earned {:.3}  p99 {:6.1} ms",
            second.arrived,
            second.answered,
            second.declined,
            second.terminated,
            second.lost,
            second.earned / second.offered.max(1e-9),
            second.p99
        );
    }
    let totals = serde_json::to_string_pretty(&result.totals).map_err(|error| error.to_string())?;
    println!("{totals}");
    println!("rules broken {:?}", result.breach_counts);
    result.cold_peaks.summary().iter().for_each(|line| println!("{line}"));
    result.breaches.iter().take(10).for_each(|breach| println!("{breach}"));
    eprintln!("{} steps in {elapsed_s:.2} s; at most {} to come", result.events, result.max_queued_events);
    Ok(())
}

fn report(run: &Run, setting: &Setting, result: &SimulatedRun, path: &Path) -> Result<(), String> {
    let (case, scenario) = (&setting.case, &setting.scenario);
    let mut runs = vec![RunReport::new(run.picker.name(), result.clone())];
    for load_balancer in &run.against {
        runs.push(RunReport::new(
            load_balancer.name(),
            experiment::run_one(scenario, *load_balancer, run.seed),
        ));
    }
    let title = format!("{}: {case}", run.name);
    let command = format!(
        "landingspread-lab run {} --case {case} --picker {} --seed {}",
        run.name,
        run.picker.name(),
        run.seed
    );
    let report_data = ReportData::new(scenario, &title, &setting.about, command, runs);
    let page = report::page(&report_data).map_err(|error| error.to_string())?;
    std::fs::write(path, page).map_err(|error| format!("{}: {error}", path.display()))
}

fn sweep(sweep: &Sweep) -> Result<(), String> {
    let mut prepared = find(&sweep.name)?;
    if !sweep.picker.is_empty() {
        prepared.experiment.load_balancers.clone_from(&sweep.picker);
    }
    prepared.reseed(sweep.seeds.unwrap_or(prepared.experiment.seeds.count));
    let bar = ProgressBar::new(prepared.runs.len() as u64);
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} runs, {eta} to go");
    bar.set_style(style.map_err(|error| error.to_string())?);
    let results = experiment::sweep(&prepared, sweep.threads, &|ended, _| bar.set_position(ended as u64))?;
    bar.finish_and_clear();
    if let Some(path) = &sweep.out {
        let with_path = |error: std::io::Error| format!("{}: {error}", path.display());
        let mut file = BufWriter::new(File::create(path).map_err(with_path)?);
        results.write(&mut file).map_err(with_path)?;
    }
    let first =
        prepared.experiment.load_balancers.first().copied().unwrap_or(LoadBalancerKind::Landingspread);
    print!("{}", experiment::table(&results, first));
    experiment::depth_table(&results).iter().for_each(|table| print!("\n{table}"));
    let breach_lines = results.rows.iter().filter(|row| row.load_balancer == first).flat_map(|row| {
        row.breaches.iter().map(move |breach| format!("{} seed {}: {breach}", row.name(), row.seed))
    });
    breach_lines.take(20).for_each(|breach| println!("{breach}"));
    experiment::cold_lines(&results).iter().for_each(|line| println!("{line}"));
    Ok(())
}

fn compare(compare: &Compare) -> Result<(), String> {
    let with_path = |error: String| format!("{}: {error}", compare.results.display());
    let file = File::open(&compare.results).map_err(|error| with_path(error.to_string()))?;
    let results = Results::read(BufReader::new(file)).map_err(with_path)?;
    print!("{}", experiment::table(&results, compare.picker));
    experiment::depth_table(&results).iter().for_each(|table| print!("\n{table}"));
    Ok(())
}

fn main() -> ExitCode {
    let CommandLine { subcommand } = argh::from_env();
    if let Subcommand::Fleet(arguments) = &subcommand {
        return fleets::fleet(arguments);
    }
    if let Subcommand::Check(arguments) = &subcommand {
        return fleets::check(arguments);
    }
    if let Subcommand::Soak(arguments) = &subcommand {
        return soaks::soak(arguments);
    }
    let result = match &subcommand {
        Subcommand::List(List {}) => {
            list();
            Ok(())
        }
        Subcommand::Show(arguments) => show(&arguments.name),
        Subcommand::Run(arguments) => run(arguments),
        Subcommand::Sweep(arguments) => sweep(arguments),
        Subcommand::Compare(arguments) => compare(arguments),
        Subcommand::Sockets(arguments) => live::sockets(arguments),
        Subcommand::Demo(Demo {}) => live::demo(),
        Subcommand::Load(arguments) => live::load(arguments),
        Subcommand::Bench(arguments) => live::bench(arguments),
        Subcommand::Scale(arguments) => scales::scale(arguments),
        Subcommand::FanOut(arguments) => {
            fan_out::run(arguments.followers, arguments.services, arguments.calm)
        }
        Subcommand::Capacity(arguments) => capacity::capacity(arguments),
        Subcommand::Added(arguments) => live::added(arguments),
        Subcommand::Fleet(_) | Subcommand::Check(_) | Subcommand::Soak(_) => Ok(()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("landingspread-lab: {error}");
            ExitCode::FAILURE
        }
    }
}
