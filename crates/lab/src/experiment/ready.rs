//! Experiments: a file names a world, cases (lists of faults), pickers, seeds and swept axes; each combination is
//! one run. It owns how a file becomes runs and in which order; the runs themselves know nothing of it.

use super::builtin::{builtin, builtins};
use crate::pickers::LoadBalancerKind;
use crate::plan::{self, Fault, Scenario};
use landingspread_files::{FileError, parse_toml};
use serde::{Deserialize, Serialize};
use std::path::Path;
use std::rc::Rc;

/// Runs of one experiment: past it a sweep would hardly end.
const RUNS_MOST: usize = 100_000;

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    pub name: String,
    #[serde(default)]
    pub about: String,
    /// A built-in world's name, or a file beside this one.
    pub world: String,
    #[serde(default = "calm")]
    pub cases: Vec<Case>,
    #[serde(default = "own")]
    #[serde(rename = "pickers")]
    pub load_balancers: Vec<LoadBalancerKind>,
    #[serde(default)]
    pub seeds: Seeds,
    #[serde(default)]
    pub axes: Vec<Axis>,
}

/// Faults under a name, added to those of the world.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Case {
    pub name: String,
    #[serde(default)]
    pub about: String,
    #[serde(default)]
    pub faults: Vec<Fault>,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Seeds {
    pub from: u64,
    pub count: u64,
}

impl Default for Seeds {
    fn default() -> Seeds {
        Seeds { from: 1, count: 5 }
    }
}

/// A key of the world, as `load.rate` or `tiers.0.servers`, and the figures that it takes in turn.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Axis {
    pub key: String,
    pub values: Vec<toml::Value>,
}

fn calm() -> Vec<Case> {
    vec![Case { name: "calm".into(), about: String::new(), faults: Vec::new() }]
}

fn own() -> Vec<LoadBalancerKind> {
    vec![LoadBalancerKind::Landingspread]
}

/// One world with one case's faults, at one point of the axes.
#[derive(Clone, Debug)]
pub struct Setting {
    pub case: String,
    pub about: String,
    pub point: Vec<(String, String)>,
    pub scenario: Scenario,
}

/// One run to be made.
#[derive(Clone, Debug)]
pub struct PlannedRun {
    pub setting: usize,
    pub load_balancer: LoadBalancerKind,
    pub seed: u64,
}

/// An experiment made ready: the settings, and the runs in their stated order (settings, pickers, seeds).
pub struct PreparedExperiment {
    pub experiment: Experiment,
    pub settings: Vec<Setting>,
    pub runs: Vec<PlannedRun>,
}

impl PreparedExperiment {
    /// As many seeds as this, in place of the file's.
    pub fn reseed(&mut self, count: u64) {
        self.experiment.seeds.count = count;
        self.runs = runs_of(&self.experiment, &self.settings);
    }
}

/// Finds an experiment or a world by a built-in name or a file. A world alone is an experiment with one case.
pub fn find(name: &str) -> Result<PreparedExperiment, FileError> {
    let (file, text) = text_of(name, None)?;
    let is_experiment = text.lines().any(|line| line.trim_start().starts_with("world"));
    if is_experiment {
        let experiment: Experiment = parse_toml(&file, &text)?;
        return ready(&file, &text, experiment);
    }
    let scenario = plan::parse(&file, &text)?;
    let (name, about) = (scenario.name.clone(), scenario.about.clone());
    let experiment = Experiment {
        world: name.clone(),
        name,
        about,
        cases: calm(),
        load_balancers: own(),
        seeds: Seeds::default(),
        axes: Vec::new(),
    };
    let settings =
        vec![Setting { case: "calm".into(), about: experiment.about.clone(), point: Vec::new(), scenario }];
    Ok(PreparedExperiment { runs: runs_of(&experiment, &settings), experiment, settings })
}

/// The text behind a name, and what messages call it.
pub fn text_of(name: &str, beside: Option<&Path>) -> Result<(String, String), FileError> {
    if let Some(text) = builtin(name) {
        return Ok((format!("{name}.toml"), text.to_string()));
    }
    let path = beside.map_or_else(|| Path::new(name).to_path_buf(), |dir| dir.join(name));
    let file = path.display().to_string();
    let known = || builtins().map(|(name, _)| name).collect::<Vec<_>>().join(", ");
    match std::fs::read_to_string(&path) {
        Ok(text) => Ok((file, text)),
        Err(wrong) => Err(FileError::unreadable(file, format_args!("{wrong}; built in are {}", known()))),
    }
}

fn ready(file: &str, text: &str, experiment: Experiment) -> Result<PreparedExperiment, FileError> {
    let wrong = |key: &str, what: String| {
        let line = text.lines().position(|line| line.trim_start().starts_with(key)).map(|at| at + 1);
        FileError::at_line(file, line, key, what)
    };
    let (world_file, world) = text_of(&experiment.world, Path::new(file).parent())?;
    // The world is checked as it stands, so that its faults are told by its own lines.
    plan::parse(&world_file, &world)?;
    let bare: toml::Value = parse_toml(&world_file, &world)?;
    if experiment.cases.is_empty() || experiment.load_balancers.is_empty() {
        return Err(wrong("cases", "at least one case and one picker are wanted".into()));
    }
    let points: usize = experiment.axes.iter().map(|axis| axis.values.len()).product();
    let each = experiment.load_balancers.len().saturating_mul(experiment.seeds.count as usize);
    let runs = points.saturating_mul(experiment.cases.len()).saturating_mul(each);
    if runs == 0 || runs > RUNS_MOST {
        return Err(wrong("seeds", format!("{runs} runs; from 1 to {RUNS_MOST} can be made")));
    }
    let mut settings = Vec::new();
    for point in points_of(&experiment.axes) {
        let mut table = bare.clone();
        for (key, value) in &point {
            set(&mut table, key, value.clone()).map_err(|what| wrong("axes", what))?;
        }
        let told = toml::to_string(&table).map_err(|what| wrong("axes", what.to_string()))?;
        for (number, case) in experiment.cases.iter().enumerate() {
            let mut scenario = plan::parse(&name_of(&world_file, &point), &told)?;
            scenario.faults.extend(case.faults.iter().cloned());
            if let Some((key, what)) = plan::first_error(&scenario) {
                let own = scenario.faults.len() - case.faults.len();
                let key = renumber(&key, own);
                let (at, line) = (format!("cases.{number} ({})", case.name), line_of_case(text, number));
                return Err(FileError::at_line(file, line, &at, format_args!("{key}: {what}")));
            }
            let point = point.iter().map(|(key, value)| (key.clone(), value.to_string())).collect();
            let about = format!("{}; {}", scenario.about, case.about);
            settings.push(Setting { case: case.name.clone(), about, point, scenario });
        }
    }
    Ok(PreparedExperiment { runs: runs_of(&experiment, &settings), experiment, settings })
}

/// A case's faults come after the world's own in the scenario: told as the case counts them.
fn renumber(key: &str, own: usize) -> String {
    let mut parts: Vec<String> = key.split('.').map(str::to_string).collect();
    if let Some(number) = parts.get_mut(1).filter(|_| key.starts_with("faults."))
        && let Ok(at) = number.parse::<usize>()
    {
        *number = at.saturating_sub(own).to_string();
    }
    parts.join(".")
}

fn line_of_case(text: &str, number: usize) -> Option<usize> {
    let cases = text.lines().enumerate().filter(|(_, line)| line.trim_start().starts_with("[[cases]]"));
    cases.map(|(at, _)| at + 1).nth(number)
}

/// What messages call a world: its file, and the point of the axes.
fn name_of(world: &str, point: &[(String, toml::Value)]) -> String {
    let point: Vec<String> = point.iter().map(|(key, value)| format!("{key} = {value}")).collect();
    if point.is_empty() { world.to_string() } else { format!("{world} with {}", point.join(", ")) }
}

/// All combinations, the last axis fastest.
fn points_of(axes: &[Axis]) -> Vec<Vec<(String, toml::Value)>> {
    let mut points = vec![Vec::new()];
    for axis in axes {
        let with = |point: &Vec<(String, toml::Value)>| {
            let point = point.clone();
            axis.values.iter().map(move |value| {
                let mut longer = point.clone();
                longer.push((axis.key.clone(), value.clone()));
                longer
            })
        };
        points = points.iter().flat_map(with).collect();
    }
    points
}

fn set(table: &mut toml::Value, key: &str, value: toml::Value) -> Result<(), String> {
    let mut at = table;
    for part in key.split('.') {
        at = match at {
            toml::Value::Table(fields) => {
                fields.entry(part).or_insert_with(|| toml::Value::Table(toml::Table::new()))
            }
            toml::Value::Array(items) => {
                let place: Option<usize> = part.parse().ok();
                let item = place.and_then(|place| items.get_mut(place));
                item.ok_or_else(|| format!("{key}: there is no {part}"))?
            }
            _ => return Err(format!("{key}: nothing lies below {part}")),
        };
    }
    *at = value;
    Ok(())
}

fn runs_of(experiment: &Experiment, settings: &[Setting]) -> Vec<PlannedRun> {
    let mut runs = Vec::new();
    for setting in 0..settings.len() {
        for picker in &experiment.load_balancers {
            for seed in experiment.seeds.from..experiment.seeds.from.saturating_add(experiment.seeds.count) {
                runs.push(PlannedRun { setting, load_balancer: *picker, seed });
            }
        }
    }
    runs
}

/// Whether a setting can be played in virtual time.
pub fn check_virtual_time(setting: &Setting) -> Result<(), String> {
    match setting.scenario.first_socket_only_fault() {
        None => Ok(()),
        Some(fault) => Err(format!("{}: {} can be played on real sockets only", setting.case, fault.label())),
    }
}

/// Plays one run.
pub fn run_one(scenario: &Scenario, picker: LoadBalancerKind, seed: u64) -> crate::world::Run {
    let plan = Rc::new(scenario.clone());
    crate::world::simulate(&plan, seed, &|host, settings, seed, now| picker.create(host, settings, seed, now))
}
