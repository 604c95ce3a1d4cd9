//! The `[localities]` table of the operators' form: its keys, defaults and checks.

use crate::configuration::error::{BrokenRule, Refusal};
use landingspread_localities::RecoveryTimings;
use serde::Deserialize;
use std::time::Duration;

/// The keys of the `[localities]` table.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Part")]
pub struct LocalitiesTable {
    #[serde(default = "default_wait", with = "humantime_serde")]
    wait: Duration,
    #[serde(default = "default_step", with = "humantime_serde")]
    step: Duration,
}

const MIN_DELAY: Duration = Duration::from_millis(100);
const MAX_DELAY: Duration = Duration::from_secs(600);

fn default_wait() -> Duration {
    RecoveryTimings::default().min_evacuation
}

fn default_step() -> Duration {
    RecoveryTimings::default().min_ramp_step
}

impl LocalitiesTable {
    /// The first key whose value is refused. The table needs a fleet and at least two zones.
    pub fn first_refusal(&self, has_fleet: bool, zones: &[String]) -> Option<Refusal> {
        if !has_fleet {
            return Some(Refusal::new("localities", BrokenRule::FleetRequired));
        }
        if zones.len() < 2 {
            return Some(Refusal::new("localities", BrokenRule::AtLeastTwoZones));
        }
        delay("localities.wait", self.wait).or_else(|| delay("localities.step", self.step))
    }

    /// Converts a table in which no key was refused into settings.
    pub fn checked(self) -> RecoveryTimings {
        RecoveryTimings { min_evacuation: self.wait, min_ramp_step: self.step }
    }
}

fn delay(key: &str, value: Duration) -> Option<Refusal> {
    let is_valid = (MIN_DELAY..=MAX_DELAY).contains(&value);
    if is_valid { None } else { Some(Refusal::new(key, BrokenRule::DelayWithinRange)) }
}
