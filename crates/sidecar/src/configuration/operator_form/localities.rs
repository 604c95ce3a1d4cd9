//! The `[localities]` table of the operators' form: its keys, defaults and checks.

use crate::configuration::error::{BrokenRule, Refusal};
use landingspread_localities::RecoveryTimings;
use serde::Deserialize;
use std::time::Duration;

/// The keys of the table.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Part")]
pub struct LocalitiesTable {
    #[serde(default = "default_wait", with = "humantime_serde")]
    wait: Duration,
    #[serde(default = "default_step", with = "humantime_serde")]
    step: Duration,
}

const SHORTEST_DELAY: Duration = Duration::from_millis(100);
const LONGEST_DELAY: Duration = Duration::from_secs(600);

fn default_wait() -> Duration {
    RecoveryTimings::default().min_evacuation
}

fn default_step() -> Duration {
    RecoveryTimings::default().min_ramp_step
}

impl LocalitiesTable {
    /// The first key whose value is refused.
    pub fn first_refusal(&self, has_fleet: bool, zones: &[String]) -> Option<Refusal> {
        if !has_fleet {
            return Some(Refusal::new("localities", BrokenRule::NeedsFleet));
        }
        if zones.len() < 2 {
            return Some(Refusal::new("localities", BrokenRule::TwoZones));
        }
        delay("localities.wait", self.wait).or_else(|| delay("localities.step", self.step))
    }

    /// The settings of a table in which no key was refused.
    pub fn checked(self) -> RecoveryTimings {
        RecoveryTimings { min_evacuation: self.wait, min_ramp_step: self.step }
    }
}

fn delay(key: &str, value: Duration) -> Option<Refusal> {
    let within = (SHORTEST_DELAY..=LONGEST_DELAY).contains(&value);
    if within { None } else { Some(Refusal::new(key, BrokenRule::DelayWithinRange)) }
}
