//! The size that the figures are wanted for. It owns the form of the file, its checks and what it comes to (watches,
//! lists, fleets, changes a second); it must never hold a size of its own but the built-in file.

use crate::sums::{Class, edges, total};
use landingspread_files::{FileError, parse_toml};
use serde::Deserialize;
use std::collections::BTreeSet;

/// The built-in file.
pub const BUILT_IN: &str = include_str!("size.toml");

/// The operators' list.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operators {
    /// Each with its sidecar.
    pub endpoints: u64,
    pub services: u64,
    pub calls_per_s: f64,
    /// How many services a call passes.
    pub deep: u64,
    /// What may be added to a call, for 99 in 100, in milliseconds.
    pub added_ms: f64,
    pub regions: u64,
    /// In all.
    pub zones: u64,
    /// Of configuration.
    pub changes_a_day: u64,
    /// By when each of those has to be in force everywhere, in seconds.
    pub in_force_s: f64,
    /// What a sidecar may spend for control: part of a core.
    pub sidecar_cores: f64,
    /// MB of 1,000,000 bytes.
    pub sidecar_mb: f64,
    pub sidecar_bytes_per_s: f64,
    pub control_machines: u64,
    pub machines_fail_a_day: u64,
    /// Endpoints that are restarted or replaced.
    pub restarted_a_day: u64,
    /// How long regions lose each other.
    pub cut_hours: f64,
}

/// How the sizes of services and how often they are called go together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Pairing {
    /// Not at all.
    Even,
    /// The most called is the largest, and so on down.
    Rank,
}

/// What the operators' list leaves open.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Case {
    pub name: String,
    /// How many services, and how many endpoints each has.
    pub services: Vec<Class>,
    /// How many services, and how many others each calls.
    pub called: Vec<Class>,
    /// How many services, and by how many others each is called.
    pub callers: Vec<Class>,
    pub pairing: Pairing,
    /// Of all endpoints, those in the zone that is lost.
    pub zone_part: f64,
    /// Of all endpoints, those that were cut off and return.
    pub region_part: f64,
    pub endpoints_a_machine: u64,
    pub machines_a_rack: u64,
    /// Of a day's changes, those of its busiest minute.
    pub busiest_minute_part: f64,
    /// Within how many seconds lists tell a loss.
    pub lost_within_s: f64,
    /// Within how many seconds those cut off call again.
    pub back_within_s: f64,
    /// Whether those are told whole lists, and not what they missed.
    pub back_whole: bool,
    /// Within how many seconds everything is replaced.
    pub release_s: f64,
    /// Of one endpoint in a list.
    pub line_bytes: u64,
    /// Of one change of configuration.
    pub change_bytes: u64,
    /// How many services one change of configuration concerns, on average.
    pub change_services: f64,
}

/// Why a key of the cases has the value that it has.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Assumption {
    pub key: String,
    pub why: String,
}

/// The file: what the operators said, and what is assumed beside it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Size {
    pub operators: Operators,
    #[serde(rename = "case")]
    pub cases: Vec<Case>,
    #[serde(rename = "assumption")]
    pub assumptions: Vec<Assumption>,
}

/// Every key of a case that needs a reason.
const ASSUMED: [&str; 16] = [
    "services",
    "called",
    "callers",
    "pairing",
    "zone_part",
    "region_part",
    "endpoints_a_machine",
    "machines_a_rack",
    "busiest_minute_part",
    "lost_within_s",
    "back_within_s",
    "back_whole",
    "release_s",
    "line_bytes",
    "change_bytes",
    "change_services",
];

impl Size {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// The line and the key: not TOML, an unknown key, a figure out of its range, services or endpoints whose sum is
    /// not the operators', calls that don't agree with being called, or a key with no reason or two.
    pub fn read(file: &str, text: &str) -> Result<Size, FileError> {
        let size: Size = parse_toml(file, text)?;
        let wrong = |key: &str, what: String| Err(FileError::at_key(file, text, key, what));
        if let Err((key, what)) = size.operators.check() {
            return wrong(&format!("operators.{key}"), what);
        }
        let mut names = BTreeSet::new();
        for (at, case) in size.cases.iter().enumerate() {
            if let Err((key, what)) = case.check(&size.operators) {
                return wrong(&format!("case.{at}.{key}"), what);
            }
            if case.name.trim().is_empty() || !names.insert(&case.name) {
                return wrong(
                    &format!("case.{at}.name"),
                    format!("{:?} is empty or stands twice", case.name),
                );
            }
        }
        if size.cases.is_empty() {
            return wrong("case", "expected one at least".into());
        }
        let mut told = BTreeSet::new();
        for (at, Assumption { key, why }) in size.assumptions.iter().enumerate() {
            if !ASSUMED.contains(&key.as_str()) || !told.insert(key.as_str()) {
                let what = format!("{key:?} is no key of a case, or stands twice");
                return wrong(&format!("assumption.{at}.key"), what);
            }
            if why.trim().is_empty() {
                return wrong(&format!("assumption.{at}.why"), "expected a reason".into());
            }
        }
        match ASSUMED.iter().find(|key| !told.contains(*key)) {
            Some(key) => wrong("assumption", format!("{key:?} has no reason")),
            None => Ok(size),
        }
    }
}

type Fault = (&'static str, String);

fn within(key: &'static str, figure: f64, least: f64, most: f64) -> Result<(), Fault> {
    match (least..=most).contains(&figure) {
        true => Ok(()),
        false => Err((key, format!("{figure}; expected {least} to {most}"))),
    }
}

impl Operators {
    fn check(&self) -> Result<(), Fault> {
        within("endpoints", self.endpoints as f64, 1.0, 1e6)?;
        within("services", self.services as f64, 1.0, self.endpoints as f64)?;
        within("calls_per_s", self.calls_per_s, 1.0, 1e9)?;
        within("deep", self.deep as f64, 1.0, 100.0)?;
        within("added_ms", self.added_ms, 0.001, 1e4)?;
        within("regions", self.regions as f64, 1.0, 100.0)?;
        within("zones", self.zones as f64, 1.0, 1000.0)?;
        within("changes_a_day", self.changes_a_day as f64, 0.0, 1e8)?;
        within("in_force_s", self.in_force_s, 0.1, 86_400.0)?;
        within("sidecar_cores", self.sidecar_cores, 1e-6, 1000.0)?;
        within("sidecar_mb", self.sidecar_mb, 0.1, 1e6)?;
        within("sidecar_bytes_per_s", self.sidecar_bytes_per_s, 1.0, 1e10)?;
        within("control_machines", self.control_machines as f64, 1.0, 1e4)?;
        within("machines_fail_a_day", self.machines_fail_a_day as f64, 0.0, 1e6)?;
        within("restarted_a_day", self.restarted_a_day as f64, 0.0, 1e8)?;
        within("cut_hours", self.cut_hours, 0.0, 1000.0)
    }
}

impl Case {
    /// A key's value in words, for a table.
    pub(crate) fn told(&self, key: &str) -> String {
        let classes = |classes: &[Class]| {
            let class = |(count, each): &Class| format!("{count} x {each}");
            classes.iter().map(class).collect::<Vec<_>>().join(", ")
        };
        match key {
            "services" => classes(&self.services),
            "called" => classes(&self.called),
            "callers" => classes(&self.callers),
            "pairing" => format!("{:?}", self.pairing).to_lowercase(),
            "zone_part" => self.zone_part.to_string(),
            "region_part" => self.region_part.to_string(),
            "endpoints_a_machine" => self.endpoints_a_machine.to_string(),
            "machines_a_rack" => self.machines_a_rack.to_string(),
            "busiest_minute_part" => self.busiest_minute_part.to_string(),
            "lost_within_s" => self.lost_within_s.to_string(),
            "back_within_s" => self.back_within_s.to_string(),
            "back_whole" => self.back_whole.to_string(),
            "release_s" => self.release_s.to_string(),
            "line_bytes" => self.line_bytes.to_string(),
            "change_bytes" => self.change_bytes.to_string(),
            "change_services" => self.change_services.to_string(),
            _ => String::new(),
        }
    }

    fn check(&self, operators: &Operators) -> Result<(), Fault> {
        let (services, endpoints) = total(&self.services);
        if (services, endpoints) != (operators.services, operators.endpoints) {
            let what = format!(
                "{services} services with {endpoints} endpoints; the operators have {} with {}",
                operators.services, operators.endpoints
            );
            return Err(("services", what));
        }
        if let Some((_, size)) = self.services.iter().find(|(_, size)| *size == 0) {
            return Err(("services", format!("a service with {size} endpoints")));
        }
        for (key, classes) in [("called", &self.called), ("callers", &self.callers)] {
            let (services, _) = total(classes);
            if services != operators.services {
                return Err((key, format!("{services} services; the operators have {}", operators.services)));
            }
            if let Some((_, others)) = classes.iter().find(|(_, others)| *others >= operators.services) {
                return Err((key, format!("{others} others of {} services", operators.services)));
            }
        }
        let (calling, called) = (edges(&self.called), edges(&self.callers));
        if calling != called {
            return Err(("callers", format!("{called} pairs; `called` has {calling}")));
        }
        within("called", calling as f64, 1.0, 1e9)?;
        within("zone_part", self.zone_part, 1e-6, 1.0)?;
        within("region_part", self.region_part, 1e-6, 1.0)?;
        within("endpoints_a_machine", self.endpoints_a_machine as f64, 1.0, 1e4)?;
        within("machines_a_rack", self.machines_a_rack as f64, 1.0, 1e4)?;
        within("busiest_minute_part", self.busiest_minute_part, 1.0 / 1440.0, 1.0)?;
        within("lost_within_s", self.lost_within_s, 0.1, 3600.0)?;
        within("back_within_s", self.back_within_s, 0.1, 3600.0)?;
        within("release_s", self.release_s, 1.0, 1e7)?;
        within("line_bytes", self.line_bytes as f64, 1.0, 1e5)?;
        within("change_bytes", self.change_bytes as f64, 1.0, 1e7)?;
        within("change_services", self.change_services, 1.0, operators.services as f64)
    }
}
