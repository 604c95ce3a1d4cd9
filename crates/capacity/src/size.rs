//! The size file: the operators' figures and the cases that complete them. It defines the format of the file, its checks
//! and the built-in file, the only place that states a size.

use crate::sums::{Class, item_count, service_and_item_count};
use landingspread_files::{FileError, parse_toml};
use serde::Deserialize;
use std::collections::BTreeSet;

/// The built-in size file.
pub const BUILT_IN: &str = include_str!("size.toml");

/// The sizes, rates and bounds that the operators state.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operators {
    /// Endpoints in all regions, each with its own sidecar.
    pub endpoints: u64,
    /// Services in all regions.
    pub services: u64,
    /// Calls per second over all sidecars.
    pub calls_per_s: f64,
    /// The number of services that a call passes through.
    pub deep: u64,
    /// Bound on the latency added to a call, at the 99th percentile, in milliseconds.
    pub added_ms: f64,
    /// The number of regions.
    pub regions: u64,
    /// The number of zones over all regions.
    pub zones: u64,
    /// Configuration changes per day.
    pub changes_a_day: u64,
    /// Bound on the time until a configuration change is in force everywhere, in seconds.
    pub in_force_s: f64,
    /// Bound on the processor time of a sidecar for control, in cores.
    pub sidecar_cores: f64,
    /// Bound on the memory of a sidecar for control, in MB of 1,000,000 bytes.
    pub sidecar_mb: f64,
    /// Bound on the control traffic of a sidecar, in bytes per second.
    pub sidecar_bytes_per_s: f64,
    /// The number of control machines.
    pub control_machines: u64,
    /// Machines that fail per day.
    pub machines_fail_a_day: u64,
    /// Endpoints that are restarted or replaced per day.
    pub restarted_a_day: u64,
    /// Duration of a network partition between regions, in hours.
    pub cut_hours: f64,
}

/// How the number of endpoints of a service relates to the number of its callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Pairing {
    /// The numbers are independent: each service is assumed to have the mean number of endpoints.
    Even,
    /// Both numbers are sorted in descending order and matched by rank, so that the most called service has the most
    /// endpoints.
    Rank,
}

/// Assumptions that complete the operators' figures.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Case {
    /// The name in tables, unique within the file.
    pub name: String,
    /// Numbers of services with the number of endpoints of each.
    pub services: Vec<Class>,
    /// Numbers of services with the number of other services that each calls.
    pub called: Vec<Class>,
    /// Numbers of services with the number of other services that call each.
    pub callers: Vec<Class>,
    /// How `services` and `callers` are matched.
    pub pairing: Pairing,
    /// Fraction of all endpoints that are in the zone that is lost.
    pub zone_part: f64,
    /// Fraction of all endpoints that were partitioned and return.
    pub region_part: f64,
    /// Endpoints per machine.
    pub endpoints_a_machine: u64,
    /// Machines per rack.
    pub machines_a_rack: u64,
    /// Fraction of a day's changes that fall in its busiest minute.
    pub busiest_minute_part: f64,
    /// Time within which endpoint lists report the loss of a rack or zone, in seconds.
    pub lost_within_s: f64,
    /// Time within which all sidecars of a returning region call discovery again, in seconds.
    pub back_within_s: f64,
    /// Whether returning sidecars receive whole lists instead of only the changes that they missed.
    pub back_whole: bool,
    /// Time within which a release replaces all endpoints, in seconds.
    pub release_s: f64,
    /// Size of one endpoint's line in a list, in bytes.
    pub line_bytes: u64,
    /// Size of one configuration change, in bytes.
    pub change_bytes: u64,
    /// Mean number of services that one configuration change concerns.
    pub change_services: f64,
}

/// The reason for the values of one key in all cases.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Assumption {
    /// A key of [`Case`].
    pub key: String,
    /// The reason, as the page shows it.
    pub why: String,
}

/// A size file: the operators' figures, the cases, and the reasons for their assumptions.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// The figures that all cases share.
    pub operators: Operators,
    /// One or more cases.
    #[serde(rename = "case")]
    pub cases: Vec<Case>,
    /// One entry per assumed key.
    #[serde(rename = "assumption")]
    pub assumptions: Vec<Assumption>,
}

/// The keys of a case, each of which needs a reason.
const ASSUMED_KEYS: [&str; 16] = [
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
    /// Parses and checks a size file.
    ///
    /// # Errors
    /// The line and the key of the fault: invalid TOML, an unknown key, a figure out of its range, services or endpoints
    /// that do not add up to the operators' figures, `called` and `callers` with different totals, or a key that does
    /// not have exactly one reason.
    pub fn read(file: &str, text: &str) -> Result<Size, FileError> {
        let size: Size = parse_toml(file, text)?;
        let error = |key: &str, problem: String| Err(FileError::at_key(file, text, key, problem));
        if let Err((key, problem)) = size.operators.check() {
            return error(&format!("operators.{key}"), problem);
        }
        let mut names = BTreeSet::new();
        for (index, case) in size.cases.iter().enumerate() {
            if let Err((key, problem)) = case.check(&size.operators) {
                return error(&format!("case.{index}.{key}"), problem);
            }
            if case.name.trim().is_empty() || !names.insert(&case.name) {
                return error(
                    &format!("case.{index}.name"),
                    format!("{:?}; expected a name that is not empty and is used once", case.name),
                );
            }
        }
        if size.cases.is_empty() {
            return error("case", "expected at least one case".into());
        }
        let mut explained = BTreeSet::new();
        for (index, Assumption { key, why }) in size.assumptions.iter().enumerate() {
            if !ASSUMED_KEYS.contains(&key.as_str()) || !explained.insert(key.as_str()) {
                let problem = format!("{key:?} is not a key of a case, or has two reasons");
                return error(&format!("assumption.{index}.key"), problem);
            }
            if why.trim().is_empty() {
                return error(&format!("assumption.{index}.why"), "expected a reason".into());
            }
        }
        match ASSUMED_KEYS.iter().find(|key| !explained.contains(*key)) {
            Some(key) => error("assumption", format!("{key:?} has no reason")),
            None => Ok(size),
        }
    }
}

/// The key that has an invalid value, and a message.
type KeyError = (&'static str, String);

fn check_range(key: &'static str, figure: f64, min: f64, max: f64) -> Result<(), KeyError> {
    match (min..=max).contains(&figure) {
        true => Ok(()),
        false => Err((key, format!("{figure}; expected {min} to {max}"))),
    }
}

impl Operators {
    fn check(&self) -> Result<(), KeyError> {
        check_range("endpoints", self.endpoints as f64, 1.0, 1e6)?;
        check_range("services", self.services as f64, 1.0, self.endpoints as f64)?;
        check_range("calls_per_s", self.calls_per_s, 1.0, 1e9)?;
        check_range("deep", self.deep as f64, 1.0, 100.0)?;
        check_range("added_ms", self.added_ms, 0.001, 1e4)?;
        check_range("regions", self.regions as f64, 1.0, 100.0)?;
        check_range("zones", self.zones as f64, 1.0, 1000.0)?;
        check_range("changes_a_day", self.changes_a_day as f64, 0.0, 1e8)?;
        check_range("in_force_s", self.in_force_s, 0.1, 86_400.0)?;
        check_range("sidecar_cores", self.sidecar_cores, 1e-6, 1000.0)?;
        check_range("sidecar_mb", self.sidecar_mb, 0.1, 1e6)?;
        check_range("sidecar_bytes_per_s", self.sidecar_bytes_per_s, 1.0, 1e10)?;
        check_range("control_machines", self.control_machines as f64, 1.0, 1e4)?;
        check_range("machines_fail_a_day", self.machines_fail_a_day as f64, 0.0, 1e6)?;
        check_range("restarted_a_day", self.restarted_a_day as f64, 0.0, 1e8)?;
        check_range("cut_hours", self.cut_hours, 0.0, 1000.0)
    }
}

impl Case {
    /// The value of a key as tables show it; empty for an unknown key.
    pub(crate) fn display_value(&self, key: &str) -> String {
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

    fn check(&self, operators: &Operators) -> Result<(), KeyError> {
        let (services, endpoints) = service_and_item_count(&self.services);
        if (services, endpoints) != (operators.services, operators.endpoints) {
            let problem = format!(
                "{services} services with {endpoints} endpoints; expected {} with {}, as in `operators`",
                operators.services, operators.endpoints
            );
            return Err(("services", problem));
        }
        if let Some((_, size)) = self.services.iter().find(|(_, size)| *size == 0) {
            return Err(("services", format!("a service with {size} endpoints; expected at least 1")));
        }
        for (key, classes) in [("called", &self.called), ("callers", &self.callers)] {
            let (services, _) = service_and_item_count(classes);
            if services != operators.services {
                return Err((
                    key,
                    format!("{services} services; expected {}, as in `operators`", operators.services),
                ));
            }
            if let Some((_, others)) = classes.iter().find(|(_, others)| *others >= operators.services) {
                return Err((
                    key,
                    format!("{others} other services; expected less than {}", operators.services),
                ));
            }
        }
        let (caller_pairs, called_pairs) = (item_count(&self.called), item_count(&self.callers));
        if caller_pairs != called_pairs {
            return Err((
                "callers",
                format!("{called_pairs} pairs of services; `called` has {caller_pairs}"),
            ));
        }
        check_range("called", caller_pairs as f64, 1.0, 1e9)?;
        check_range("zone_part", self.zone_part, 1e-6, 1.0)?;
        check_range("region_part", self.region_part, 1e-6, 1.0)?;
        check_range("endpoints_a_machine", self.endpoints_a_machine as f64, 1.0, 1e4)?;
        check_range("machines_a_rack", self.machines_a_rack as f64, 1.0, 1e4)?;
        check_range("busiest_minute_part", self.busiest_minute_part, 1.0 / 1440.0, 1.0)?;
        check_range("lost_within_s", self.lost_within_s, 0.1, 3600.0)?;
        check_range("back_within_s", self.back_within_s, 0.1, 3600.0)?;
        check_range("release_s", self.release_s, 1.0, 1e7)?;
        check_range("line_bytes", self.line_bytes as f64, 1.0, 1e5)?;
        check_range("change_bytes", self.change_bytes as f64, 1.0, 1e7)?;
        check_range("change_services", self.change_services, 1.0, operators.services as f64)
    }
}
