//! Many sidecars in one process, for tests of size: their configurations, made from one template. It owns how a copy's
//! number becomes its name, address, zone and seeds.

use crate::configuration::{self, Configuration};
use std::fmt;
use std::io;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};

/// Where addresses begin: apart from those that tests draw otherwise.
const FIRST_ADDRESS: u32 = u32::from_be_bytes([127, 251, 0, 0]);
/// Past this they would leave loopback.
pub const MAX_SIDECARS: u32 = 4 * 65_536;
/// Seeds of one fleet.
const MAX_SEEDS: u32 = 3;
const FLEET_PORT: u16 = 7946;

/// Which copies this process runs, and how all of them are divided into fleets.
pub struct SidecarRange {
    /// The number of the first copy.
    pub first: u32,
    /// How many copies run.
    pub count: u32,
    /// The number from which fleets are counted.
    pub base: u32,
    /// Copies of one fleet; all where it is 0.
    pub fleet_size: u32,
    /// The zones that copies stand in, in turn.
    pub zones: Vec<String>,
}

/// Why copies have no configuration.
#[derive(Debug)]
pub enum HollowError {
    /// There is no zone, or the first number is under the base.
    Range,
    /// The copies from `first` to `end` are none, or too many.
    Count { first: u32, end: u32 },
    /// The template can't be read.
    Template { path: PathBuf, error: io::Error },
    /// A copy's configuration is faulty: the first fault, with its line and key.
    Configuration(String),
}

impl fmt::Display for HollowError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HollowError::Range => {
                f.write_str("expected a zone, and a first number that is not under the base")
            }
            HollowError::Count { first, end } => {
                write!(f, "copies {first} to {end}: expected 1 or more, up to {MAX_SIDECARS}")
            }
            HollowError::Template { path, error } => write!(f, "{}: {error}", path.display()),
            HollowError::Configuration(fault) => f.write_str(fault),
        }
    }
}

impl std::error::Error for HollowError {}

fn address(number: u32) -> Ipv4Addr {
    Ipv4Addr::from(FIRST_ADDRESS + number)
}

impl SidecarRange {
    /// The template filled in for one copy.
    fn filled_template(&self, template: &str, number: u32) -> String {
        let index = number - self.base;
        let fleet = index.checked_div(self.fleet_size).unwrap_or(0);
        let start = self.base + fleet * self.fleet_size;
        let seeds = if self.fleet_size == 0 { MAX_SEEDS } else { self.fleet_size.min(MAX_SEEDS) };
        let seeds: Vec<String> =
            (start..start + seeds).map(|seed| format!("\"{}:{FLEET_PORT}\"", address(seed))).collect();
        template
            .replace("{n}", &number.to_string())
            .replace("{fleet}", &fleet.to_string())
            .replace("{at}", &address(number).to_string())
            .replace("{zone}", &self.zones[index as usize % self.zones.len()])
            .replace("{seeds}", &seeds.join(", "))
    }

    /// Every copy's configuration, read and checked as an operator's file is.
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
