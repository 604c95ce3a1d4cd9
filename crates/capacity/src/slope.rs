//! The file of measured slopes. It owns its form, how it is read, checked and written; it must never hold a line that
//! its own points don't give.

use crate::fit::{Fit, Point};
use landingspread_files::{FileError, parse_toml};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::fmt::{self, Write};

/// The built-in file.
pub const BUILT_IN: &str = include_str!("slopes.toml");

/// The built-in file of slopes with the mechanism that was missing first.
pub const AFTER: &str = include_str!("after.toml");

/// Who spends it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// A sidecar, all in all.
    Sidecar,
    /// A sidecar's part of its fleet: membership, zones and peers' words.
    Fleet,
    /// Discovery's watchers and the machines that serve them.
    Discovery,
    /// Configuration and the machines that hand it out.
    Configuration,
    /// Console, logs and metrics.
    Console,
}

impl Role {
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

/// One figure of a role as a straight line over what was varied, and where it comes from.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slope {
    pub role: Role,
    /// In snake case, such as `fleet_bytes_out`.
    pub figure: String,
    /// Such as `bytes/s`.
    pub unit: String,
    /// What was varied, such as `copies`.
    pub by: String,
    /// The intercept, in `unit`.
    pub at_rest: f64,
    /// In `unit` for one more of `by`.
    pub each: f64,
    /// The largest |fit - mean| / mean over the points.
    pub residual: f64,
    /// The largest (max - min) / mean over the runs of one point.
    pub spread: f64,
    /// Of the point that had fewest.
    pub runs: usize,
    /// The least of `by` that was measured and is in the fit.
    pub from: f64,
    /// The most of `by` that was measured and is in the fit.
    pub to: f64,
    /// The points of the fit: what was varied, then the figure of each run.
    pub points: Vec<Point>,
    /// Points that were measured and kept out of the fit, to tell how far it can be believed beyond `to`.
    #[serde(default)]
    pub left_out: Vec<Point>,
    /// The command that measured it.
    pub command: String,
    /// The build: git hash and profile.
    pub build: String,
    /// The machine: cores and memory.
    pub machine: String,
}

impl Slope {
    /// A slope by the fit of its points; `left_out` may be filled in afterwards.
    ///
    /// # Errors
    /// What keeps the points from a fit, as [`Fit::of`] tells it.
    pub fn fitted(
        (role, figure): (Role, &str),
        (unit, by): (&str, &str),
        points: Vec<Point>,
        source: &Source,
    ) -> Result<Slope, String> {
        let Fit { at_rest, each, residual, spread } = Fit::of(&points)?;
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

    /// Of each point left out of the fit: its size, what the fit predicts, and what was measured on average.
    pub fn predictions(&self) -> impl Iterator<Item = (f64, f64, f64)> {
        self.left_out.iter().map(|point| (point.by, self.at(point.by), point.mean()))
    }
}

/// Where a slope comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    pub command: String,
    /// Git hash and profile, such as `1a2b3c4, release`.
    pub build: String,
    /// Such as `8 cores, 24 GB`.
    pub machine: String,
}

/// All the slopes of a file, in its order.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slopes {
    #[serde(default, rename = "slope")]
    pub slopes: Vec<Slope>,
}

impl Slopes {
    /// Reads and checks a file; a file without a slope is one where nothing was measured.
    ///
    /// # Errors
    /// The line and the key: not TOML, an unknown key or role, a figure twice, a name that is not in snake case, a
    /// text that is empty, or a line, range or count that the points don't give.
    pub fn read(file: &str, text: &str) -> Result<Slopes, FileError> {
        let read: Slopes = parse_toml(file, text)?;
        let mut known = BTreeSet::new();
        for (at, slope) in read.slopes.iter().enumerate() {
            let told = |(key, what): (&str, String)| {
                FileError::at_key(file, text, &format!("slope.{at}.{key}"), what)
            };
            checked(slope).map_err(told)?;
            if !known.insert((slope.role, &slope.figure, &slope.by)) {
                let what = format!("{} of {} by {} stands twice", slope.figure, slope.role, slope.by);
                return Err(told(("figure", what)));
            }
        }
        Ok(read)
    }

    /// The file's text; [`Slopes::read`] gives the same slopes again.
    pub fn write(&self) -> String {
        let mut text = String::from("# Slopes measured by `landingspread-lab scale`; read by `capacity`.\n");
        self.slopes.iter().for_each(|slope| written(&mut text, slope));
        text
    }

    /// The slope of a role's figure over what was varied.
    pub fn of(&self, role: Role, figure: &str, by: &str) -> Option<&Slope> {
        self.slopes.iter().find(|slope| slope.role == role && slope.figure == figure && slope.by == by)
    }
}

fn checked(slope: &Slope) -> Result<(), (&'static str, String)> {
    let words = [
        ("unit", &slope.unit),
        ("command", &slope.command),
        ("build", &slope.build),
        ("machine", &slope.machine),
    ];
    if let Some((key, _)) = words.into_iter().find(|(_, word)| word.trim().is_empty()) {
        return Err((key, "expected a text, it is empty".into()));
    }
    for (key, name) in [("figure", &slope.figure), ("by", &slope.by)] {
        let fits = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_';
        if name.is_empty() || !name.chars().all(fits) {
            return Err((key, format!("{name:?}; expected snake case")));
        }
    }
    let source = Source { command: String::new(), build: String::new(), machine: String::new() };
    let given = Slope::fitted((slope.role, ""), ("", ""), slope.points.clone(), &source);
    let given = given.map_err(|wrong| ("points", wrong))?;
    if slope.runs != given.runs {
        return Err(("runs", format!("{}; the points have {}", slope.runs, given.runs)));
    }
    let most = slope.points.iter().map(|point| point.mean().abs()).fold(0.0, f64::max);
    let told = [
        ("at_rest", slope.at_rest, given.at_rest, most),
        ("each", slope.each * slope.to, given.each * given.to, most),
        ("residual", slope.residual, given.residual, 1.0),
        ("spread", slope.spread, given.spread, 1.0),
        ("from", slope.from, given.from, given.to.abs()),
        ("to", slope.to, given.to, given.to.abs()),
    ];
    for (key, told, given, scale) in told {
        let off = (told - given).abs();
        if off.is_nan() || off > CLOSE * scale {
            return Err((key, format!("{told}; the points give {given}")));
        }
    }
    Ok(())
}

/// How far a written figure may lie from what its points give: rounding, in parts of the figure's scale.
const CLOSE: f64 = 1e-3;

fn written(text: &mut String, slope: &Slope) {
    let quoted = |word: &str| toml::Value::String(word.into()).to_string();
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
        // Writing to a string can't fail.
        let _ = writeln!(text, "{key} = {value}");
    }
}
