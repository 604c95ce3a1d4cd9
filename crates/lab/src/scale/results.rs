//! Results of runs, stored as JSON lines, and the slopes that are fitted to them. The capacity crate does the
//! fit.

use landingspread_capacity::{Point, Role, Slope, Slopes, Source};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Write;

/// A measured value of one role.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Figure {
    pub role: String,
    pub figure: String,
    pub unit: String,
    pub value: f64,
}

/// Results of one run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RecordedRun {
    /// Name of the varied parameter, and its value in this run.
    #[serde(rename = "by")]
    pub parameter: String,
    #[serde(rename = "at")]
    pub value: f64,
    /// Why the figures are invalid, if they are, for instance because a process fell behind.
    #[serde(rename = "not_held")]
    pub invalid: Option<String>,
    /// Figures that the run measured.
    pub figures: Vec<Figure>,
    /// Command line of the run.
    pub command: String,
    /// Build and profile of the measured program.
    pub build: String,
    /// Description of the machine.
    pub machine: String,
}

/// Parses results from JSON lines.
///
/// # Errors
/// The number of a line that can't be parsed, with the parser's error.
pub fn read_runs(text: &str) -> Result<Vec<RecordedRun>, String> {
    let parse = |(number, line): (usize, &str)| {
        serde_json::from_str(line).map_err(|error| format!("line {}: {error}", number + 1))
    };
    text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty()).map(parse).collect()
}

fn role(name: &str) -> Option<Role> {
    Role::ALL.into_iter().find(|role| role.name() == name)
}

/// Whether the varied parameter affects a figure. For other pairs a slope would only be noise that adds up in a
/// prediction.
fn affects(parameter: &str, role: &str, figure: &str) -> bool {
    match (parameter, role, figure) {
        (_, _, "calls_cpu") => parameter == "calls_per_s",
        ("calls_per_s", ..) => false,
        (_, "discovery", "list_bytes") => parameter == "endpoints",
        (_, "discovery", "open_watches") => parameter == "copies",
        (_, "fleet", _) => parameter == "copies",
        ("endpoints", "sidecar", _) => matches!(figure, "cpu" | "memory" | "wake_ups"),
        _ => true,
    }
}

/// Parameter and value that discovery's figures depend on: the number of watches, or the lines sent per second,
/// since each change is sent on each watch.
fn discovery_parameter(run: &RecordedRun) -> (&str, f64) {
    let open_watches = run.figures.iter().find(|figure| figure.figure == "open_watches");
    match run.parameter.as_str() {
        "copies" => ("watches", run.value),
        "changes_per_s" => ("lines_per_s", run.value * open_watches.map_or(0.0, |watches| watches.value)),
        parameter => (parameter, run.value),
    }
}

/// Fits a slope to each figure that was measured at two or more values of a parameter. Values in `left_out` are
/// not fitted but kept with the slope, to compare its predictions with.
pub fn fit_slopes(runs: &[RecordedRun], left_out: &[f64]) -> Slopes {
    type Key = (String, String, String, String);
    let mut measured_values: BTreeMap<Key, BTreeMap<u64, Vec<f64>>> = BTreeMap::new();
    let mut sources: BTreeMap<Key, Source> = BTreeMap::new();
    for run in runs.iter().filter(|run| run.invalid.is_none()) {
        let affected =
            run.figures.iter().filter(|figure| affects(&run.parameter, &figure.role, &figure.figure));
        for Figure { role, figure, unit, value } in affected {
            let (parameter, at) = if role == "discovery" {
                discovery_parameter(run)
            } else {
                (run.parameter.as_str(), run.value)
            };
            let key = (role.clone(), parameter.to_string(), figure.clone(), unit.clone());
            measured_values.entry(key.clone()).or_default().entry(at.to_bits()).or_default().push(*value);
            let RecordedRun { command, build, machine, .. } = run.clone();
            sources.insert(key, Source { command, build, machine });
        }
    }
    let mut slopes = Vec::new();
    for (key, points) in measured_values {
        let (role_name, parameter, figure, unit) = &key;
        let points = points.into_iter().map(|(at, runs)| Point { by: f64::from_bits(at), runs });
        let (excluded, included): (Vec<Point>, Vec<Point>) =
            points.partition(|point| left_out.contains(&point.by));
        let (Some(role), Some(source)) = (role(role_name), sources.get(&key)) else { continue };
        if let Ok(slope) = Slope::fitted((role, figure), (unit, parameter), included, source) {
            slopes.push(Slope { left_out: excluded, ..slope });
        }
    }
    Slopes { slopes }
}

/// Formats slopes as a table, with their predictions at the values left out.
pub fn slope_table(slopes: &Slopes) -> String {
    let mut text = String::from(
        "role       figure            by             at rest       each one  residual  spread  points\n",
    );
    for slope in &slopes.slopes {
        // Writing to a String cannot fail.
        let _ = writeln!(
            text,
            "{:10} {:17} {:13} {:9.4} {:14.6}  {:7.1}% {:6.1}%  {} of {} runs, {} to {}, {}",
            slope.role.name(),
            slope.figure,
            slope.by,
            slope.at_rest,
            slope.each,
            100.0 * slope.residual,
            100.0 * slope.spread,
            slope.points.len(),
            slope.runs,
            slope.from,
            slope.to,
            slope.unit
        );
        for (at, predicted, measured) in slope.predictions() {
            let error = 100.0 * (predicted - measured) / if measured == 0.0 { 1.0 } else { measured };
            let _ =
                writeln!(text, "    at {at}: predicted {predicted:.4}, measured {measured:.4}, {error:+.1}%");
        }
    }
    text
}
