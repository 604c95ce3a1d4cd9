//! What runs gave, kept as JSON lines, and the slopes that are fitted to them. It owns the form of a line; the fit is the
//! capacity crate's.

use landingspread_capacity::{Point, Role, Slope, Slopes, Source};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Write;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Figure {
    pub role: String,
    pub figure: String,
    pub unit: String,
    pub value: f64,
}

/// One run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Kept {
    /// What is varied, and its value in this run.
    pub by: String,
    pub at: f64,
    /// The figures of a run that fell behind don't count.
    pub not_held: Option<String>,
    pub figures: Vec<Figure>,
    pub command: String,
    pub build: String,
    pub machine: String,
}

/// Reads lines back.
///
/// # Errors
/// The number of a line that is none of ours, and what is wrong with it.
pub fn kept(text: &str) -> Result<Vec<Kept>, String> {
    let line = |(number, line): (usize, &str)| {
        serde_json::from_str(line).map_err(|wrong| format!("line {}: {wrong}", number + 1))
    };
    text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty()).map(line).collect()
}

fn role(name: &str) -> Option<Role> {
    Role::ALL.into_iter().find(|role| role.name() == name)
}

/// Whether what is varied moves the figure at all: elsewhere a line would be noise that somebody adds up.
fn moves(by: &str, role: &str, figure: &str) -> bool {
    match (by, role, figure) {
        (_, _, "calls_cpu") => by == "calls_per_s",
        ("calls_per_s", ..) => false,
        (_, "discovery", "list_bytes") => by == "endpoints",
        (_, "discovery", "open_watches") => by == "copies",
        (_, "fleet", _) => by == "copies",
        ("endpoints", "sidecar", _) => matches!(figure, "cpu" | "memory" | "wake_ups"),
        _ => true,
    }
}

/// What discovery's figures go by: its watches, and the lines that it sends, each change on each watch.
fn of_discovery(run: &Kept) -> (&str, f64) {
    let open = run.figures.iter().find(|figure| figure.figure == "open_watches");
    match run.by.as_str() {
        "copies" => ("watches", run.at),
        "changes_per_s" => ("lines_per_s", run.at * open.map_or(0.0, |open| open.value)),
        by => (by, run.at),
    }
}

/// A slope for each figure by what was varied, where two sizes or more were held; the sizes left out of the fit are told
/// beside it.
pub fn fitted(runs: &[Kept], left_out: &[f64]) -> Slopes {
    type Key = (String, String, String, String);
    let mut all: BTreeMap<Key, BTreeMap<u64, Vec<f64>>> = BTreeMap::new();
    let mut sources: BTreeMap<Key, Source> = BTreeMap::new();
    for run in runs.iter().filter(|run| run.not_held.is_none()) {
        let moved = run.figures.iter().filter(|figure| moves(&run.by, &figure.role, &figure.figure));
        for Figure { role, figure, unit, value } in moved {
            let (by, at) = if role == "discovery" { of_discovery(run) } else { (run.by.as_str(), run.at) };
            let key = (role.clone(), by.to_string(), figure.clone(), unit.clone());
            all.entry(key.clone()).or_default().entry(at.to_bits()).or_default().push(*value);
            let Kept { command, build, machine, .. } = run.clone();
            sources.insert(key, Source { command, build, machine });
        }
    }
    let mut slopes = Vec::new();
    for (key, points) in all {
        let (name, by, figure, unit) = &key;
        let points = points.into_iter().map(|(at, runs)| Point { by: f64::from_bits(at), runs });
        let (out, fit): (Vec<Point>, Vec<Point>) = points.partition(|point| left_out.contains(&point.by));
        let (Some(role), Some(source)) = (role(name), sources.get(&key)) else { continue };
        if let Ok(slope) = Slope::fitted((role, figure), (unit, by), fit, source) {
            slopes.push(Slope { left_out: out, ..slope });
        }
    }
    Slopes { slopes }
}

/// The slopes as a table, with what they predict of the sizes left out.
pub fn table(slopes: &Slopes) -> String {
    let mut text = String::from(
        "role       figure            by             at rest       each one  residual  spread  points\n",
    );
    for slope in &slopes.slopes {
        // Writing to a string can't fail.
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
            let off = 100.0 * (predicted - measured) / if measured == 0.0 { 1.0 } else { measured };
            let _ =
                writeln!(text, "    at {at}: predicted {predicted:.4}, measured {measured:.4}, {off:+.1}%");
        }
    }
    text
}
