//! The file of measured slopes: its format, how it is read and written, and the check that each line agrees with its own
//! points.

use crate::fit::{Fit, Point};
use landingspread_files::{FileError, parse_toml};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::fmt::{self, Write};

/// The built-in slopes file, measured without the configuration mechanism.
pub const BUILT_IN: &str = include_str!("slopes.toml");

/// The built-in slopes file, measured with the configuration mechanism.
pub const AFTER: &str = include_str!("after.toml");

/// The part of the system that uses the measured resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// All work of a sidecar, including its fleet protocol.
    Sidecar,
    /// The fleet protocol within a sidecar: membership, zones and peer exchange.
    Fleet,
    /// The watches of discovery and the machines that serve them.
    Discovery,
    /// Configuration and the machines that distribute it.
    Configuration,
    /// The console, logs and metrics.
    Console,
}

impl Role {
    /// All roles, in the order of the tables.
    pub const ALL: [Role; 5] =
        [Role::Sidecar, Role::Fleet, Role::Discovery, Role::Configuration, Role::Console];

    /// The name in files.
    pub fn name(self) -> &'static str {
        match self {
            Role::Sidecar => "sidecar",
            Role::Fleet => "fleet",
            Role::Discovery => "discovery",
            Role::Configuration => "configuration",
            Role::Console => "console",
        }
    }
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// One figure of a role as a straight line over a variable, with its points and their origin.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slope {
    /// The role that the figure belongs to.
    pub role: Role,
    /// The name of the figure in snake case, such as `bytes_out`.
    pub figure: String,
    /// The unit of the figure, such as `bytes/s`.
    pub unit: String,
    /// The variable in snake case, such as `copies`.
    pub by: String,
    /// The intercept: the figure where the variable is 0, in `unit`.
    pub at_rest: f64,
    /// The gradient: the increase per unit of the variable, in `unit`.
    pub each: f64,
    /// The largest |fit - mean| / mean over the points.
    pub residual: f64,
    /// The largest (max - min) / mean over the runs of one point.
    pub spread: f64,
    /// The number of runs of the point with the fewest.
    pub runs: usize,
    /// The smallest value of the variable in the fit.
    pub from: f64,
    /// The largest value of the variable in the fit.
    pub to: f64,
    /// The points of the fit, each written as the value of the variable and the figure of each run.
    pub points: Vec<Point>,
    /// Measured points that are excluded from the fit and show how well it predicts beyond `to`.
    #[serde(default)]
    pub left_out: Vec<Point>,
    /// The command that measured the points.
    pub command: String,
    /// The build: git hash and profile.
    pub build: String,
    /// The machine: cores and memory.
    pub machine: String,
}

impl Slope {
    /// Fits a slope to its points; the caller may add to `left_out` afterwards.
    ///
    /// # Errors
    /// The errors of [`Fit::least_squares`].
    pub fn fitted(
        (role, figure): (Role, &str),
        (unit, by): (&str, &str),
        points: Vec<Point>,
        source: &Source,
    ) -> Result<Slope, String> {
        let Fit { at_rest, each, residual, spread } = Fit::least_squares(&points)?;
        let sizes = || points.iter().map(|point| point.by);
        Ok(Slope {
            role,
            figure: figure.into(),
            unit: unit.into(),
            by: by.into(),
            at_rest,
            each,
            residual,
            spread,
            runs: points.iter().map(|point| point.runs.len()).min().unwrap_or(0),
            from: sizes().fold(f64::INFINITY, f64::min),
            to: sizes().fold(f64::NEG_INFINITY, f64::max),
            points,
            left_out: Vec::new(),
            command: source.command.clone(),
            build: source.build.clone(),
            machine: source.machine.clone(),
        })
    }

    /// The figure at a size, in `unit`.
    pub fn at(&self, size: f64) -> f64 {
        self.at_rest + self.each * size
    }

    /// Whether a size lies outside the points of the fit.
    pub fn is_extrapolated(&self, size: f64) -> bool {
        size < self.from || size > self.to
    }

    /// The size, the predicted figure and the measured mean of each point left out of the fit.
    pub fn predictions(&self) -> impl Iterator<Item = (f64, f64, f64)> {
        self.left_out.iter().map(|point| (point.by, self.at(point.by), point.mean()))
    }
}

/// The origin of a slope's points.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    /// The command that measured the points.
    pub command: String,
    /// The git hash and profile of the build, such as `1a2b3c4, release`.
    pub build: String,
    /// The cores and memory of the machine, such as `8 cores, 24 GB`.
    pub machine: String,
}

/// The slopes of a file, in the file's order.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slopes {
    /// The slopes, in the order of the file; may be empty.
    #[serde(default, rename = "slope")]
    pub slopes: Vec<Slope>,
}

impl Slopes {
    /// Parses and checks a file. A file without slopes is valid and means that nothing was measured.
    ///
    /// # Errors
    /// The line and the key of the fault: invalid TOML, an unknown key or role, a duplicate figure, a name that is not in
    /// snake case, an empty text, or a fit, range or count that disagrees with the points.
    pub fn read(file: &str, text: &str) -> Result<Slopes, FileError> {
        let parsed: Slopes = parse_toml(file, text)?;
        let mut names = BTreeSet::new();
        for (index, slope) in parsed.slopes.iter().enumerate() {
            let error = |(key, problem): (&str, String)| {
                FileError::at_key(file, text, &format!("slope.{index}.{key}"), problem)
            };
            check_consistency(slope).map_err(error)?;
            if !names.insert((slope.role, &slope.figure, &slope.by)) {
                let problem = format!("{} of {} by {} is listed twice", slope.figure, slope.role, slope.by);
                return Err(error(("figure", problem)));
            }
        }
        Ok(parsed)
    }

    /// The text of the file, from which [`Slopes::read`] restores the same slopes.
    pub fn write(&self) -> String {
        let mut text = String::from("# Slopes measured by `landingspread-lab scale`; read by `capacity`.\n");
        self.slopes.iter().for_each(|slope| write_slope(&mut text, slope));
        text
    }

    /// The slope of a role's figure over the variable `by`.
    pub fn find(&self, role: Role, figure: &str, by: &str) -> Option<&Slope> {
        self.slopes.iter().find(|slope| slope.role == role && slope.figure == figure && slope.by == by)
    }
}

/// Checks names and texts, and that the stored fit agrees with a new fit of the points.
///
/// # Errors
/// The key of the fault and a message.
fn check_consistency(slope: &Slope) -> Result<(), (&'static str, String)> {
    let texts = [
        ("unit", &slope.unit),
        ("command", &slope.command),
        ("build", &slope.build),
        ("machine", &slope.machine),
    ];
    if let Some((key, _)) = texts.into_iter().find(|(_, text)| text.trim().is_empty()) {
        return Err((key, "expected a text that is not empty".into()));
    }
    for (key, name) in [("figure", &slope.figure), ("by", &slope.by)] {
        let is_snake_case = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_';
        if name.is_empty() || !name.chars().all(is_snake_case) {
            return Err((key, format!("{name:?}; expected snake case")));
        }
    }
    let source = Source { command: String::new(), build: String::new(), machine: String::new() };
    let refitted = Slope::fitted((slope.role, ""), ("", ""), slope.points.clone(), &source);
    let refitted = refitted.map_err(|error| ("points", error))?;
    if slope.runs != refitted.runs {
        return Err(("runs", format!("{}; the points have {}", slope.runs, refitted.runs)));
    }
    let largest = slope.points.iter().map(|point| point.mean().abs()).fold(0.0, f64::max);
    let comparisons = [
        ("at_rest", slope.at_rest, refitted.at_rest, largest),
        ("each", slope.each * slope.to, refitted.each * refitted.to, largest),
        ("residual", slope.residual, refitted.residual, 1.0),
        ("spread", slope.spread, refitted.spread, 1.0),
        ("from", slope.from, refitted.from, refitted.to.abs()),
        ("to", slope.to, refitted.to, refitted.to.abs()),
    ];
    for (key, stored, expected, scale) in comparisons {
        let difference = (stored - expected).abs();
        if difference.is_nan() || difference > ROUNDING_TOLERANCE * scale {
            return Err((key, format!("{stored}; the points give {expected}")));
        }
    }
    Ok(())
}

/// The largest difference between a stored figure and the fit of its points, as a fraction of the figure's scale. It
/// allows for rounding.
const ROUNDING_TOLERANCE: f64 = 1e-3;

fn write_slope(text: &mut String, slope: &Slope) {
    let quoted = |text: &str| toml::Value::String(text.into()).to_string();
    let points = |points: &[Point]| {
        let point = |point: &Point| {
            let numbers = std::iter::once(&point.by).chain(&point.runs);
            let numbers: Vec<String> = numbers.map(|number| format!("{number:?}")).collect();
            format!("[{}]", numbers.join(", "))
        };
        format!("[{}]", points.iter().map(point).collect::<Vec<_>>().join(", "))
    };
    let mut keys = vec![
        ("role", quoted(slope.role.name())),
        ("figure", quoted(&slope.figure)),
        ("unit", quoted(&slope.unit)),
        ("by", quoted(&slope.by)),
        ("at_rest", format!("{:?}", slope.at_rest)),
        ("each", format!("{:?}", slope.each)),
        ("residual", format!("{:?}", slope.residual)),
        ("spread", format!("{:?}", slope.spread)),
        ("runs", slope.runs.to_string()),
        ("from", format!("{:?}", slope.from)),
        ("to", format!("{:?}", slope.to)),
        ("points", points(&slope.points)),
    ];
    if !slope.left_out.is_empty() {
        keys.push(("left_out", points(&slope.left_out)));
    }
    keys.extend([
        ("command", quoted(&slope.command)),
        ("build", quoted(&slope.build)),
        ("machine", quoted(&slope.machine)),
    ]);
    text.push_str("\n[[slope]]\n");
    for (key, value) in keys {
        // Writing to a String cannot fail.
        let _ = writeln!(text, "{key} = {value}");
    }
}
