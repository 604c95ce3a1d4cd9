//! Pickers by name.

use super::fleeted::Fleeted;
use super::plain::{Plain, Tries, Way};
use crate::picker::LoadBalancer;
use crate::world::HostHandle;
use landingspread_decisions::policy::Policy;
use landingspread_decisions::settings::Settings;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A picker by the name that files and the command line give it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadBalancerKind {
    Landingspread,
    /// With the membership beside it, as `[fleet]` in the program's configuration puts it there.
    LandingspreadFleet,
    /// With that, and with zones left by the fleet, as `[localities]` does it.
    LandingspreadZones,
    /// The same, where a seventh of the copies says of zones what is not so.
    #[serde(rename = "landingspread_zones_lied")]
    LandingspreadZonesFalseReports,
    Random,
    RoundRobin,
    LeastOutstanding,
    TwoChoices,
    /// The better of two, and each command is sent once.
    #[serde(rename = "no_repeats")]
    NoRetries,
    /// The better of two, and two further tries after any failure or without an answer in time, at every tier.
    #[serde(rename = "plain_repeats")]
    PlainRetries,
    TrueState,
}

impl LoadBalancerKind {
    pub const ALL: [LoadBalancerKind; 11] = [
        LoadBalancerKind::Landingspread,
        LoadBalancerKind::LandingspreadFleet,
        LoadBalancerKind::LandingspreadZones,
        LoadBalancerKind::LandingspreadZonesFalseReports,
        LoadBalancerKind::Random,
        LoadBalancerKind::RoundRobin,
        LoadBalancerKind::LeastOutstanding,
        LoadBalancerKind::TwoChoices,
        LoadBalancerKind::NoRetries,
        LoadBalancerKind::PlainRetries,
        LoadBalancerKind::TrueState,
    ];

    pub fn name(self) -> &'static str {
        match self {
            LoadBalancerKind::Landingspread => "landingspread",
            LoadBalancerKind::LandingspreadFleet => "landingspread_fleet",
            LoadBalancerKind::LandingspreadZones => "landingspread_zones",
            LoadBalancerKind::LandingspreadZonesFalseReports => "landingspread_zones_lied",
            LoadBalancerKind::Random => "random",
            LoadBalancerKind::RoundRobin => "round_robin",
            LoadBalancerKind::LeastOutstanding => "least_outstanding",
            LoadBalancerKind::TwoChoices => "two_choices",
            LoadBalancerKind::NoRetries => "no_repeats",
            LoadBalancerKind::PlainRetries => "plain_repeats",
            LoadBalancerKind::TrueState => "true_state",
        }
    }

    pub fn make(self, hand: HostHandle, terms: Settings, seed: u64, now: Duration) -> Box<dyn LoadBalancer> {
        let way = match self {
            LoadBalancerKind::Landingspread => return Box::new(Policy::start(hand, terms, seed, now)),
            LoadBalancerKind::LandingspreadFleet => {
                return Box::new(Fleeted::start(hand, terms, seed, now, false, false));
            }
            LoadBalancerKind::LandingspreadZones => {
                return Box::new(Fleeted::start(hand, terms, seed, now, true, false));
            }
            LoadBalancerKind::LandingspreadZonesFalseReports => {
                return Box::new(Fleeted::start(hand, terms, seed, now, true, true));
            }
            LoadBalancerKind::Random => Way::Random,
            LoadBalancerKind::RoundRobin => Way::RoundRobin,
            LoadBalancerKind::LeastOutstanding => Way::LeastOutstanding,
            LoadBalancerKind::TwoChoices | LoadBalancerKind::NoRetries | LoadBalancerKind::PlainRetries => {
                Way::TwoChoices
            }
            LoadBalancerKind::TrueState => Way::TrueState,
        };
        let tries = match self {
            LoadBalancerKind::NoRetries => Tries::ONE,
            LoadBalancerKind::PlainRetries => Tries::THREE,
            _ => Tries::ALL,
        };
        Box::new(Plain::new(hand, terms, seed, way, tries))
    }
}

impl std::str::FromStr for LoadBalancerKind {
    type Err = String;

    fn from_str(text: &str) -> Result<LoadBalancerKind, String> {
        let named = LoadBalancerKind::ALL.into_iter().find(|named| named.name() == text);
        named.ok_or_else(|| {
            let all: Vec<&str> = LoadBalancerKind::ALL.iter().map(|named| named.name()).collect();
            format!("{text:?} is no picker; there are {}", all.join(", "))
        })
    }
}
