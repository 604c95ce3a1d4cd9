//! Experiments: a file names a scenario, cases (lists of faults), load balancers, seeds and axes of values; each
//! combination is one run. This module expands a file to its runs in their order.

use super::builtin::{builtin, builtins};
use crate::pickers::LoadBalancerKind;
use crate::plan::{self, Fault, Scenario};
use landingspread_files::{FileError, parse_toml};
use serde::{Deserialize, Serialize};
use std::path::Path;
use std::rc::Rc;

/// Bound on the runs of one experiment, because a larger sweep would hardly end.
const MAX_RUNS: usize = 100_000;

/// An experiment, as its file describes it.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name of the experiment.
    pub name: String,
    /// One-line description; may be empty.
    #[serde(default)]
    pub about: String,
    /// Name of a built-in scenario, or path of a file relative to this one.
    #[serde(rename = "world")]
    pub scenario: String,
    /// Cases, each run with every combination of axis values.
    #[serde(default = "calm_case")]
    pub cases: Vec<Case>,
    /// Load balancers, each run in every setting.
    #[serde(default = "default_balancers", rename = "pickers")]
    pub load_balancers: Vec<LoadBalancerKind>,
    /// Seeds of the runs of each setting and load balancer.
    #[serde(default)]
    pub seeds: Seeds,
    /// Axes whose values are combined; none gives one setting for each case.
    #[serde(default)]
    pub axes: Vec<Axis>,
}

/// A named list of faults that is added to the faults of the scenario.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Case {
    /// Name of the case, as tables show it.
    pub name: String,
    /// One-line description; may be empty.
    #[serde(default)]
    pub about: String,
    /// Faults that are added to those of the scenario; may be empty.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// A range of consecutive seeds.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Seeds {
    /// The first seed.
    pub from: u64,
    /// Number of seeds.
    pub count: u64,
}

impl Default for Seeds {
    fn default() -> Seeds {
        Seeds { from: 1, count: 5 }
    }
}

/// A key of the scenario, as `load.rate` or `tiers.0.servers`, and the values that it takes in turn.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Axis {
    /// Path of the key in the scenario, with parts separated by dots.
    pub key: String,
    /// Values of the key, in the order of the runs.
    pub values: Vec<toml::Value>,
}

fn calm_case() -> Vec<Case> {
    vec![Case { name: "calm".into(), about: String::new(), faults: Vec::new() }]
}

fn default_balancers() -> Vec<LoadBalancerKind> {
    vec![LoadBalancerKind::Landingspread]
}

/// A scenario with the faults of one case and one combination of values of the axes.
#[derive(Clone, Debug)]
pub struct Setting {
    /// Name of the case.
    pub case: String,
    /// Description of the case.
    pub about: String,
    /// Key and value of each axis in this setting.
    pub point: Vec<(String, String)>,
    /// The scenario with the faults and axis values applied.
    pub scenario: Scenario,
}

/// One run: a setting by its index, a load balancer and a seed.
#[derive(Clone, Debug)]
pub struct PlannedRun {
    /// Index of the setting in the prepared experiment.
    pub setting: usize,
    /// Load balancer of the run.
    pub load_balancer: LoadBalancerKind,
    /// Seed of the run.
    pub seed: u64,
}

/// An experiment with its settings and its runs, ordered by setting, load balancer and seed.
pub struct PreparedExperiment {
    /// The experiment as its file describes it.
    pub experiment: Experiment,
    /// All settings, indexed by the `setting` of a run.
    pub settings: Vec<Setting>,
    /// All planned runs.
    pub runs: Vec<PlannedRun>,
}

impl PreparedExperiment {
    /// Replaces the count of seeds of the file.
    pub fn reseed(&mut self, count: u64) {
        self.experiment.seeds.count = count;
        self.runs = list_runs(&self.experiment, &self.settings);
    }
}

/// Finds an experiment or a scenario by its built-in name or path. A scenario is an experiment with one case.
pub fn find(name: &str) -> Result<PreparedExperiment, FileError> {
    let (file, text) = read_source(name, None)?;
    let is_experiment = text.lines().any(|line| line.trim_start().starts_with("world"));
    if is_experiment {
        let experiment: Experiment = parse_toml(&file, &text)?;
        return expand(&file, &text, experiment);
    }
    let scenario = plan::parse(&file, &text)?;
    let (name, about) = (scenario.name.clone(), scenario.about.clone());
    let experiment = Experiment {
        scenario: name.clone(),
        name,
        about,
        cases: calm_case(),
        load_balancers: default_balancers(),
        seeds: Seeds::default(),
        axes: Vec::new(),
    };
    let settings =
        vec![Setting { case: "calm".into(), about: experiment.about.clone(), point: Vec::new(), scenario }];
    Ok(PreparedExperiment { runs: list_runs(&experiment, &settings), experiment, settings })
}

/// Returns the name of the file for errors and the text of a built-in name or a file.
pub fn read_source(name: &str, directory: Option<&Path>) -> Result<(String, String), FileError> {
    if let Some(text) = builtin(name) {
        return Ok((format!("{name}.toml"), text.to_string()));
    }
    let path = directory.map_or_else(|| Path::new(name).to_path_buf(), |dir| dir.join(name));
    let file = path.display().to_string();
    let builtin_names = || builtins().map(|(name, _)| name).collect::<Vec<_>>().join(", ");
    match std::fs::read_to_string(&path) {
        Ok(text) => Ok((file, text)),
        Err(error) => {
            Err(FileError::unreadable(file, format_args!("{error}; built-in names are {}", builtin_names())))
        }
    }
}

fn expand(file: &str, text: &str, experiment: Experiment) -> Result<PreparedExperiment, FileError> {
    let error = |key: &str, message: String| {
        let line = text.lines().position(|line| line.trim_start().starts_with(key)).map(|at| at + 1);
        FileError::at_line(file, line, key, message)
    };
    let (scenario_file, scenario_source) = read_source(&experiment.scenario, Path::new(file).parent())?;
    // The scenario is checked before the axes are applied, so that errors show lines of its file.
    plan::parse(&scenario_file, &scenario_source)?;
    let scenario_table: toml::Value = parse_toml(&scenario_file, &scenario_source)?;
    if experiment.cases.is_empty() || experiment.load_balancers.is_empty() {
        return Err(error("cases", "expected at least one case and one picker".into()));
    }
    let combinations: usize = experiment.axes.iter().map(|axis| axis.values.len()).product();
    let runs_per_setting = experiment.load_balancers.len().saturating_mul(experiment.seeds.count as usize);
    let runs = combinations.saturating_mul(experiment.cases.len()).saturating_mul(runs_per_setting);
    if runs == 0 || runs > MAX_RUNS {
        return Err(error("seeds", format!("{runs} runs; expected 1 to {MAX_RUNS}")));
    }
    let mut settings = Vec::new();
    for point in axis_combinations(&experiment.axes) {
        let mut table = scenario_table.clone();
        for (key, value) in &point {
            set_key(&mut table, key, value.clone()).map_err(|message| error("axes", message))?;
        }
        let scenario_text = toml::to_string(&table).map_err(|message| error("axes", message.to_string()))?;
        for (number, case) in experiment.cases.iter().enumerate() {
            let mut scenario = plan::parse(&scenario_label(&scenario_file, &point), &scenario_text)?;
            scenario.faults.extend(case.faults.iter().cloned());
            if let Some((key, message)) = plan::first_error(&scenario) {
                let scenario_faults = scenario.faults.len() - case.faults.len();
                let key = renumber_fault_key(&key, scenario_faults);
                let (at, line) = (format!("cases.{number} ({})", case.name), case_line(text, number));
                return Err(FileError::at_line(file, line, &at, format_args!("{key}: {message}")));
            }
            let point = point.iter().map(|(key, value)| (key.clone(), value.to_string())).collect();
            let about = format!("{}; {}", scenario.about, case.about);
            settings.push(Setting { case: case.name.clone(), about, point, scenario });
        }
    }
    Ok(PreparedExperiment { runs: list_runs(&experiment, &settings), experiment, settings })
}

/// Converts a key with the index of a fault in the combined list to its index in the case, whose faults follow those of
/// the scenario.
fn renumber_fault_key(key: &str, scenario_faults: usize) -> String {
    let mut parts: Vec<String> = key.split('.').map(str::to_string).collect();
    if let Some(number) = parts.get_mut(1).filter(|_| key.starts_with("faults."))
        && let Ok(at) = number.parse::<usize>()
    {
        *number = at.saturating_sub(scenario_faults).to_string();
    }
    parts.join(".")
}

fn case_line(text: &str, number: usize) -> Option<usize> {
    let cases = text.lines().enumerate().filter(|(_, line)| line.trim_start().starts_with("[[cases]]"));
    cases.map(|(at, _)| at + 1).nth(number)
}

/// The name of a scenario in errors: its file and the values of the axes.
fn scenario_label(file: &str, point: &[(String, toml::Value)]) -> String {
    let point: Vec<String> = point.iter().map(|(key, value)| format!("{key} = {value}")).collect();
    if point.is_empty() { file.to_string() } else { format!("{file} with {}", point.join(", ")) }
}

/// All combinations of the values of the axes; the last axis varies fastest.
fn axis_combinations(axes: &[Axis]) -> Vec<Vec<(String, toml::Value)>> {
    let mut combinations = vec![Vec::new()];
    for axis in axes {
        let with = |point: &Vec<(String, toml::Value)>| {
            let point = point.clone();
            axis.values.iter().map(move |value| {
                let mut longer = point.clone();
                longer.push((axis.key.clone(), value.clone()));
                longer
            })
        };
        combinations = combinations.iter().flat_map(with).collect();
    }
    combinations
}

fn set_key(table: &mut toml::Value, key: &str, value: toml::Value) -> Result<(), String> {
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

fn list_runs(experiment: &Experiment, settings: &[Setting]) -> Vec<PlannedRun> {
    let mut runs = Vec::new();
    for setting in 0..settings.len() {
        for load_balancer in &experiment.load_balancers {
            for seed in experiment.seeds.from..experiment.seeds.from.saturating_add(experiment.seeds.count) {
                runs.push(PlannedRun { setting, load_balancer: *load_balancer, seed });
            }
        }
    }
    runs
}

/// An error if a fault of the setting needs real sockets.
pub fn check_virtual_time(setting: &Setting) -> Result<(), String> {
    match setting.scenario.first_socket_only_fault() {
        None => Ok(()),
        Some(fault) => Err(format!("{}: {} can be played on real sockets only", setting.case, fault.label())),
    }
}

/// Simulates a scenario with one load balancer and seed.
pub fn run_one(scenario: &Scenario, load_balancer: LoadBalancerKind, seed: u64) -> crate::world::Run {
    let plan = Rc::new(scenario.clone());
    crate::world::simulate(&plan, seed, &|host, settings, seed, now| {
        load_balancer.create(host, settings, seed, now)
    })
}
