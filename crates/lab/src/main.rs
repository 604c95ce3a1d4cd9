//! The lab's command line. It owns the choice between sub-commands and what is printed; all else is the library's.

mod args;
mod capacity;
mod cases;
mod fan_out;
mod fleets;
mod live;
mod scales;
mod soaks;

use args::{CommandLine, Compare, Demo, List, Run, Sweep, Wanted};
use cases::{case_of, find};
use indicatif::{ProgressBar, ProgressStyle};
use landingspread_lab::experiment::{self, Results, Setting};
use landingspread_lab::pickers::LoadBalancerKind;
use landingspread_lab::report::{self, ReportData, RunReport};
use landingspread_lab::world::Run as Played;
use std::fs::File;
use std::io::{BufReader, BufWriter};
use std::path::Path;
use std::process::ExitCode;

fn list() {
    let about = |text: &'static str| {
        let about = text.lines().find_map(|line| line.strip_prefix("about = "));
        about.unwrap_or_default().trim_matches('"')
    };
    experiment::builtins().for_each(|(name, text)| println!("{name:16} {}", about(text)));
    landingspread_lab::fleet::builtins().for_each(|(name, text)| println!("fleet {name:10} {}", about(text)));
}

fn show(name: &str) -> Result<(), String> {
    let text = experiment::builtin(name).or_else(|| landingspread_lab::fleet::builtin(name));
    let text = text.ok_or_else(|| format!("{name:?} is not built in; see list"))?;
    print!("{text}");
    Ok(())
}

fn run(run: &Run) -> Result<(), String> {
    let ready = find(&run.name)?;
    let setting = case_of(&ready, run.case.as_deref())?;
    experiment::check_virtual_time(setting)?;
    let began = std::time::Instant::now();
    let played = experiment::run_one(&setting.scenario, run.picker, run.seed);
    let took = began.elapsed().as_secs_f64();
    if let Some(path) = &run.report {
        report(run, setting, &played, path)?;
    }
    for (at, second) in played.seconds.iter().enumerate().filter(|_| run.seconds) {
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
    let totals = serde_json::to_string_pretty(&played.totals).map_err(|wrong| wrong.to_string())?;
    println!("{totals}");
    println!("rules broken {:?}", played.breach_counts);
    played.cold_peaks.summary().iter().for_each(|line| println!("{line}"));
    played.breaches.iter().take(10).for_each(|breach| println!("{breach}"));
    eprintln!("{} steps in {took:.2} s; at most {} to come", played.events, played.max_queued_events);
    Ok(())
}

fn report(run: &Run, setting: &Setting, played: &Played, path: &Path) -> Result<(), String> {
    let (case, scenario) = (&setting.case, &setting.scenario);
    let mut lines = vec![RunReport::new(run.picker.name(), played.clone())];
    for picker in &run.against {
        lines.push(RunReport::new(picker.name(), experiment::run_one(scenario, *picker, run.seed)));
    }
    let title = format!("{}: {case}", run.name);
    let command = format!(
        "landingspread-lab run {} --case {case} --picker {} --seed {}",
        run.name,
        run.picker.name(),
        run.seed
    );
    let story = ReportData::new(scenario, &title, &setting.about, command, lines);
    let page = report::page(&story).map_err(|wrong| wrong.to_string())?;
    std::fs::write(path, page).map_err(|wrong| format!("{}: {wrong}", path.display()))
}

fn sweep(sweep: &Sweep) -> Result<(), String> {
    let mut ready = find(&sweep.name)?;
    if !sweep.picker.is_empty() {
        ready.experiment.load_balancers.clone_from(&sweep.picker);
    }
    ready.reseed(sweep.seeds.unwrap_or(ready.experiment.seeds.count));
    let bar = ProgressBar::new(ready.runs.len() as u64);
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} runs, {eta} to go");
    bar.set_style(style.map_err(|wrong| wrong.to_string())?);
    let results = experiment::sweep(&ready, sweep.threads, &|done, _| bar.set_position(done as u64))?;
    bar.finish_and_clear();
    if let Some(path) = &sweep.out {
        let told = |wrong: std::io::Error| format!("{}: {wrong}", path.display());
        let mut file = BufWriter::new(File::create(path).map_err(told)?);
        results.write(&mut file).map_err(told)?;
    }
    let first = ready.experiment.load_balancers.first().copied().unwrap_or(LoadBalancerKind::Landingspread);
    print!("{}", experiment::table(&results, first));
    experiment::depth_table(&results).iter().for_each(|table| print!("\n{table}"));
    let told = results.rows.iter().filter(|row| row.load_balancer == first).flat_map(|row| {
        row.breaches.iter().map(move |breach| format!("{} seed {}: {breach}", row.name(), row.seed))
    });
    told.take(20).for_each(|breach| println!("{breach}"));
    experiment::cold_lines(&results).iter().for_each(|line| println!("{line}"));
    Ok(())
}

fn compare(compare: &Compare) -> Result<(), String> {
    let told = |wrong: String| format!("{}: {wrong}", compare.results.display());
    let file = File::open(&compare.results).map_err(|wrong| told(wrong.to_string()))?;
    let results = Results::read(BufReader::new(file)).map_err(told)?;
    print!("{}", experiment::table(&results, compare.picker));
    experiment::depth_table(&results).iter().for_each(|table| print!("\n{table}"));
    Ok(())
}

fn main() -> ExitCode {
    let CommandLine { wanted } = argh::from_env();
    if let Wanted::Fleet(wanted) = &wanted {
        return fleets::fleet(wanted);
    }
    if let Wanted::Check(wanted) = &wanted {
        return fleets::check(wanted);
    }
    if let Wanted::Soak(wanted) = &wanted {
        return soaks::soak(wanted);
    }
    let done = match &wanted {
        Wanted::List(List {}) => {
            list();
            Ok(())
        }
        Wanted::Show(wanted) => show(&wanted.name),
        Wanted::Run(wanted) => run(wanted),
        Wanted::Sweep(wanted) => sweep(wanted),
        Wanted::Compare(wanted) => compare(wanted),
        Wanted::Sockets(wanted) => live::sockets(wanted),
        Wanted::Demo(Demo {}) => live::demo(),
        Wanted::Load(wanted) => live::load(wanted),
        Wanted::Bench(wanted) => live::bench(wanted),
        Wanted::Scale(wanted) => scales::scale(wanted),
        Wanted::FanOut(wanted) => fan_out::run(wanted.followers, wanted.services, wanted.calm),
        Wanted::Capacity(wanted) => capacity::capacity(wanted),
        Wanted::Added(wanted) => live::added(wanted),
        Wanted::Fleet(_) | Wanted::Check(_) | Wanted::Soak(_) => Ok(()),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(wrong) => {
            eprintln!("landingspread-lab: {wrong}");
            ExitCode::FAILURE
        }
    }
}
