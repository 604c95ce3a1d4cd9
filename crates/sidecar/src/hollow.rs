//! Many sidecars in one process, for tests of size: their configurations, made from one template. It owns how a copy's
//! number becomes its name, address, zone and seeds; it must never run anything of its own making.

use crate::configuration::{self, Configuration};
use std::net::Ipv4Addr;
use std::path::Path;

/// Where addresses begin: apart from those that tests draw otherwise.
const FIRST_ADDRESS: u32 = u32::from_be_bytes([127, 251, 0, 0]);
/// Past this they would leave loopback.
pub const NUMBERS_MOST: u32 = 4 * 65_536;
const SEEDS: u32 = 3;
const PORT: u16 = 7946;

/// Which copies this process runs, and how all of them are parted.
pub struct Numbers {
    pub first: u32,
    pub count: u32,
    /// From where fleets are counted.
    pub base: u32,
    /// Copies of one fleet; all where it is 0.
    pub fleet_size: u32,
    pub zones: Vec<String>,
}

fn address(number: u32) -> Ipv4Addr {
    Ipv4Addr::from(FIRST_ADDRESS + number)
}

impl Numbers {
    fn text(&self, template: &str, number: u32) -> String {
        let place = number - self.base;
        let fleet = place.checked_div(self.fleet_size).unwrap_or(0);
        let start = self.base + fleet * self.fleet_size;
        let size = if self.fleet_size == 0 { SEEDS } else { self.fleet_size.min(SEEDS) };
        let seeds: Vec<String> =
            (start..start + size).map(|seed| format!("\"{}:{PORT}\"", address(seed))).collect();
        template
            .replace("{n}", &number.to_string())
            .replace("{fleet}", &fleet.to_string())
            .replace("{at}", &address(number).to_string())
            .replace("{zone}", &self.zones[place as usize % self.zones.len()])
            .replace("{seeds}", &seeds.join(", "))
    }

    /// Every copy's configuration, read and checked as an operator's file is.
    ///
    /// # Errors
    /// A number that is out of range, or the first fault of a configuration, with its line and key.
    pub fn launches(&self, template: &Path) -> Result<Vec<Configuration>, String> {
        if self.zones.is_empty() || self.first < self.base {
            return Err("expected a zone, and a first number that is not under the base".into());
        }
        let end = self.first.saturating_add(self.count);
        if self.count == 0 || end > NUMBERS_MOST {
            return Err(format!("copies {} to {end}: expected 1 or more, up to {NUMBERS_MOST}", self.first));
        }
        let text = std::fs::read_to_string(template);
        let text = text.map_err(|wrong| format!("{}: {wrong}", template.display()))?;
        let name = template.display().to_string();
        let one = |number| {
            configuration::parse(&name, &self.text(&text, number)).map_err(|wrong| wrong.to_string())
        };
        (self.first..end).map(one).collect()
    }
}
