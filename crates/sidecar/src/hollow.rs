//! Generates the configurations of many sidecars in one process from one template, for scale tests. This module owns the
//! mapping from a sidecar's number to its name, address, zone and seeds.

use crate::configuration::{self, Configuration};
use std::fmt;
use std::io;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};

/// The address of sidecar 0, outside the loopback addresses that other tests use.
const FIRST_ADDRESS: u32 = u32::from_be_bytes([127, 251, 0, 0]);
/// Numbers below this limit have addresses up to 127.254.255.255, within loopback.
pub const MAX_SIDECARS: u32 = 4 * 65_536;
/// The most seeds that a fleet's configuration lists.
const MAX_SEEDS: u32 = 3;
const FLEET_PORT: u16 = 7946;

/// The sidecars that this process runs, and how sidecars are divided into fleets.
pub struct SidecarRange {
    /// The number of the first sidecar.
    pub first: u32,
    /// The number of sidecars.
    pub count: u32,
    /// The number of the first sidecar of the first fleet.
    pub base: u32,
    /// The number of sidecars in one fleet; 0 puts all sidecars into one fleet.
    pub fleet_size: u32,
    /// The names of the zones, assigned to the sidecars in turn.
    pub zones: Vec<String>,
}

/// Why no configurations can be generated.
#[derive(Debug)]
pub enum HollowError {
    /// No zone is given, or the first number is below the base.
    Range,
    /// The range from `first` up to but not including `end` is empty, or exceeds [`MAX_SIDECARS`].
    Count { first: u32, end: u32 },
    /// The template file cannot be read.
    Template { path: PathBuf, error: io::Error },
    /// A generated configuration is invalid; the text is its first fault, with line and key.
    Configuration(String),
}

impl fmt::Display for HollowError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HollowError::Range => {
                f.write_str("expected at least one zone, and a first number that is not below the base")
            }
            HollowError::Count { first, end } => {
                write!(
                    f,
                    "sidecars {first} to {end}: expected at least one, and an end of at most {MAX_SIDECARS}"
                )
            }
            HollowError::Template { path, error } => write!(f, "{}: {error}", path.display()),
            HollowError::Configuration(fault) => f.write_str(fault),
        }
    }
}

impl std::error::Error for HollowError {}

/// The address of the sidecar with this number.
fn address(number: u32) -> Ipv4Addr {
    Ipv4Addr::from(FIRST_ADDRESS + number)
}

impl SidecarRange {
    /// Fills in the template for the sidecar with this number.
    fn filled_template(&self, template: &str, number: u32) -> String {
        let index = number - self.base;
        let fleet = index.checked_div(self.fleet_size).unwrap_or(0);
        let first_of_fleet = self.base + fleet * self.fleet_size;
        let seed_count = if self.fleet_size == 0 { MAX_SEEDS } else { self.fleet_size.min(MAX_SEEDS) };
        let seeds: Vec<String> = (first_of_fleet..first_of_fleet + seed_count)
            .map(|seed| format!("\"{}:{FLEET_PORT}\"", address(seed)))
            .collect();
        template
            .replace("{n}", &number.to_string())
            .replace("{fleet}", &fleet.to_string())
            .replace("{at}", &address(number).to_string())
            .replace("{zone}", &self.zones[index as usize % self.zones.len()])
            .replace("{seeds}", &seeds.join(", "))
    }

    /// The configuration of each sidecar, parsed and checked like an operator's file.
    pub fn configurations(&self, template: &Path) -> Result<Vec<Configuration>, HollowError> {
        let first = self.first;
        if self.zones.is_empty() || first < self.base {
            return Err(HollowError::Range);
        }
        let end = first.saturating_add(self.count);
        if self.count == 0 || end > MAX_SIDECARS {
            return Err(HollowError::Count { first, end });
        }
        let text = std::fs::read_to_string(template);
        let text = text.map_err(|error| HollowError::Template { path: template.into(), error })?;
        let file = template.display().to_string();
        let configuration_of = |number| {
            let parsed = configuration::parse(&file, &self.filled_template(&text, number));
            parsed.map_err(|error| HollowError::Configuration(error.to_string()))
        };
        (first..end).map(configuration_of).collect()
    }
}
