//! The `[localities]` part of the operators' form: its names, defaults and checks.

use landingspread_localities::Paces;
use serde::Deserialize;
use std::time::Duration;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    #[serde(default = "wait", with = "humantime_serde")]
    pub wait: Duration,
    #[serde(default = "step", with = "humantime_serde")]
    pub step: Duration,
}

const LEAST: Duration = Duration::from_millis(100);
const MOST: Duration = Duration::from_secs(600);

fn wait() -> Duration {
    Paces::default().wait
}

fn step() -> Duration {
    Paces::default().step
}

impl Part {
    /// The first key whose value can't be gone by.
    pub fn first_fault(&self, fleet: bool, zones: &[String]) -> Option<(String, String)> {
        let found = |key: &str, what: &str| Some((format!("localities.{key}"), what.to_string()));
        if !fleet {
            return Some(("localities".into(), "it needs the [fleet] part".into()));
        }
        if zones.len() < 2 {
            return Some(("localities".into(), "there are no two zones to choose from".into()));
        }
        if !(LEAST..=MOST).contains(&self.wait) {
            return found("wait", "it does not lie from 100 ms to 10 minutes");
        }
        if !(LEAST..=MOST).contains(&self.step) {
            return found("step", "it does not lie from 100 ms to 10 minutes");
        }
        None
    }

    pub fn checked(self) -> Paces {
        Paces { wait: self.wait, step: self.step }
    }
}
