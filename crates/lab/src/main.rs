//! The lab's command line. It owns the choice between sub-commands and what is printed; all else is the library's.

mod live;

use argh::FromArgs;
use indicatif::{ProgressBar, ProgressStyle};
use landingspread_lab::experiment::{self, Ready, Results, Setting};
use landingspread_lab::pickers::Named;
use landingspread_lab::report::{self, Line, Story};
use landingspread_lab::world::Run as Played;
use std::fs::File;
use std::io::{BufReader, BufWriter};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// landingspread's lab: an emulated world for the decisions, with faults, a referee and reports
#[derive(FromArgs)]
struct CommandLine {
    #[argh(subcommand)]
    wanted: Wanted,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Wanted {
    List(List),
    Show(Show),
    Run(Run),
    Sweep(Sweep),
    Compare(Compare),
    Sockets(Sockets),
    Demo(Demo),
    Load(Load),
    Bench(Bench),
}

/// list the built-in experiments and worlds
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct List {}

/// print a built-in experiment or world as a file to start from
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
struct Show {
    /// its name
    #[argh(positional)]
    name: String,
}

/// play one case with one seed and say what came of it
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
struct Run {
    /// an experiment or a world, built in or a file
    #[argh(positional)]
    name: String,
    /// the case; the first where none is named
    #[argh(option)]
    case: Option<String>,
    /// the picker
    #[argh(option, default = "Named::Landingspread")]
    picker: Named,
    /// the seed
    #[argh(option, default = "1")]
    seed: u64,
    /// a further picker to play beside it, for the report; may be given several times
    #[argh(option)]
    against: Vec<Named>,
    /// where a page with plots goes
    #[argh(option)]
    report: Option<PathBuf>,
}

/// make all runs of an experiment, on all cores
#[derive(FromArgs)]
#[argh(subcommand, name = "sweep")]
struct Sweep {
    /// an experiment or a world, built in or a file
    #[argh(positional)]
    name: String,
    /// where the results go, as JSON lines
    #[argh(option)]
    out: Option<PathBuf>,
    /// threads; as many as cores where it is not given
    #[argh(option, default = "0")]
    threads: usize,
    /// seeds, in place of the file's count
    #[argh(option)]
    seeds: Option<u64>,
}

/// hold one picker against the others, seed by seed, in results of a sweep
#[derive(FromArgs)]
#[argh(subcommand, name = "compare")]
struct Compare {
    /// the file that sweep wrote
    #[argh(positional)]
    results: PathBuf,
    /// the picker that the others are held against
    #[argh(option, default = "Named::Landingspread")]
    picker: Named,
}

/// play one case on real sockets, round real landingspread processes
#[derive(FromArgs)]
#[argh(subcommand, name = "sockets")]
pub struct Sockets {
    /// an experiment or a world, built in or a file
    #[argh(positional)]
    name: String,
    /// the case; the first where none is named
    #[argh(option)]
    case: Option<String>,
    /// the seed
    #[argh(option, default = "1")]
    seed: u64,
    /// where a page with plots goes
    #[argh(option)]
    report: Option<PathBuf>,
    /// the landingspread to run; the one beside this program where it is not given
    #[argh(option)]
    program: Option<PathBuf>,
}

/// see it work: two tiers, two sidecars, one server killed and one slowed, in 30 seconds
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
struct Demo {}

/// send commands to an address and print the figures; latencies count from the intended send
#[derive(FromArgs)]
#[argh(subcommand, name = "load")]
pub struct Load {
    /// an address and port on loopback
    #[argh(positional)]
    to: std::net::SocketAddr,
    /// connections
    #[argh(option, default = "32")]
    connections: usize,
    /// commands a second; as fast as they are answered where it is not given
    #[argh(option, default = "0.0")]
    rate: f64,
    /// seconds
    #[argh(option, default = "5.0")]
    seconds: f64,
    /// the verb, sent as GET
    #[argh(option, default = "String::from(\"view\")")]
    verb: String,
}

/// how much one sidecar carries, by connections and servers, before stand-ins that answer at once
#[derive(FromArgs)]
#[argh(subcommand, name = "bench")]
pub struct Bench {
    /// seconds for each figure
    #[argh(option, default = "5.0")]
    seconds: f64,
    /// the landingspread to run; the one beside this program where it is not given
    #[argh(option)]
    program: Option<PathBuf>,
}

fn list() {
    for (name, text) in experiment::builtins() {
        let about = text.lines().find_map(|line| line.strip_prefix("about = "));
        println!("{name:12} {}", about.unwrap_or_default().trim_matches('"'));
    }
}

fn show(name: &str) -> Result<(), String> {
    let text = experiment::builtin(name).ok_or_else(|| format!("{name:?} is not built in; see list"))?;
    print!("{text}");
    Ok(())
}

fn find(name: &str) -> Result<Ready, String> {
    experiment::find(name).map_err(|wrong| wrong.to_string())
}

fn case_of<'a>(ready: &'a Ready, case: Option<&str>) -> Result<&'a Setting, String> {
    let setting = match case {
        None => ready.settings.first(),
        Some(case) => ready.settings.iter().find(|setting| setting.case == case),
    };
    setting.ok_or_else(|| {
        let cases: Vec<&str> = ready.settings.iter().map(|setting| setting.case.as_str()).collect();
        format!("there is no such case; there are {}", cases.join(", "))
    })
}

fn run(run: &Run) -> Result<(), String> {
    let ready = find(&run.name)?;
    let setting = case_of(&ready, run.case.as_deref())?;
    experiment::playable(setting)?;
    let began = std::time::Instant::now();
    let played = experiment::play_one(&setting.scenario, run.picker, run.seed);
    let took = began.elapsed().as_secs_f64();
    if let Some(path) = &run.report {
        report(run, setting, &played, path)?;
    }
    let totals = serde_json::to_string_pretty(&played.totals).map_err(|wrong| wrong.to_string())?;
    println!("{totals}");
    println!("rules broken {:?}", played.breach_counts);
    played.breaches.iter().take(10).for_each(|breach| println!("{breach}"));
    eprintln!("{} steps in {took:.2} s; at most {} to come", played.steps, played.agenda_most);
    Ok(())
}

fn report(run: &Run, setting: &Setting, played: &Played, path: &Path) -> Result<(), String> {
    let (case, scenario) = (&setting.case, &setting.scenario);
    let mut lines = vec![Line::of(run.picker.name(), played.clone())];
    for picker in &run.against {
        lines.push(Line::of(picker.name(), experiment::play_one(scenario, *picker, run.seed)));
    }
    let title = format!("{}: {case}", run.name);
    let command = format!(
        "landingspread-lab run {} --case {case} --picker {} --seed {}",
        run.name,
        run.picker.name(),
        run.seed
    );
    let story = Story::new(scenario, &title, &setting.about, command, lines);
    let page = report::page(&story).map_err(|wrong| wrong.to_string())?;
    std::fs::write(path, page).map_err(|wrong| format!("{}: {wrong}", path.display()))
}

fn sweep(sweep: &Sweep) -> Result<(), String> {
    let mut ready = find(&sweep.name)?;
    if let Some(count) = sweep.seeds {
        ready.reseed(count);
    }
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
    let first = ready.experiment.pickers.first().copied().unwrap_or(Named::Landingspread);
    print!("{}", experiment::table(&results, first));
    let told = results.rows.iter().filter(|row| row.picker == first).flat_map(|row| {
        row.breaches.iter().map(move |breach| format!("{} seed {}: {breach}", row.name(), row.seed))
    });
    told.take(20).for_each(|breach| println!("{breach}"));
    Ok(())
}

fn compare(compare: &Compare) -> Result<(), String> {
    let told = |wrong: String| format!("{}: {wrong}", compare.results.display());
    let file = File::open(&compare.results).map_err(|wrong| told(wrong.to_string()))?;
    let results = Results::read(BufReader::new(file)).map_err(told)?;
    print!("{}", experiment::table(&results, compare.picker));
    Ok(())
}

fn main() -> ExitCode {
    let CommandLine { wanted } = argh::from_env();
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
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(wrong) => {
            eprintln!("landingspread-lab: {wrong}");
            ExitCode::FAILURE
        }
    }
}
