//! Pickers by name.

use super::fleeted::Fleeted;
use super::plain::{Plain, Tries, Way};
use crate::picker::Picker;
use crate::world::Hand;
use landingspread_decisions::policy::Policy;
use landingspread_decisions::settings::Settings;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A picker by the name that files and the command line give it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Named {
    Landingspread,
    /// With the membership beside it, as `[fleet]` in the program's configuration puts it there.
    LandingspreadFleet,
    /// With that, and with zones left by the fleet, as `[localities]` does it.
    LandingspreadZones,
    /// The same, where a seventh of the copies says of zones what is not so.
    LandingspreadZonesLied,
    Random,
    RoundRobin,
    LeastOutstanding,
    TwoChoices,
    /// The better of two, and each command is sent once.
    NoRepeats,
    /// The better of two, and two further tries after any failure or without an answer in time, at every tier.
    PlainRepeats,
    TrueState,
}

impl Named {
    pub const ALL: [Named; 11] = [
        Named::Landingspread,
        Named::LandingspreadFleet,
        Named::LandingspreadZones,
        Named::LandingspreadZonesLied,
        Named::Random,
        Named::RoundRobin,
        Named::LeastOutstanding,
        Named::TwoChoices,
        Named::NoRepeats,
        Named::PlainRepeats,
        Named::TrueState,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Named::Landingspread => "landingspread",
            Named::LandingspreadFleet => "landingspread_fleet",
            Named::LandingspreadZones => "landingspread_zones",
            Named::LandingspreadZonesLied => "landingspread_zones_lied",
            Named::Random => "random",
            Named::RoundRobin => "round_robin",
            Named::LeastOutstanding => "least_outstanding",
            Named::TwoChoices => "two_choices",
            Named::NoRepeats => "no_repeats",
            Named::PlainRepeats => "plain_repeats",
            Named::TrueState => "true_state",
        }
    }

    pub fn make(self, hand: Hand, terms: Settings, seed: u64, now: Duration) -> Box<dyn Picker> {
        let way = match self {
            Named::Landingspread => return Box::new(Policy::start(hand, terms, seed, now)),
            Named::LandingspreadFleet => {
                return Box::new(Fleeted::start(hand, terms, seed, now, false, false));
            }
            Named::LandingspreadZones => {
                return Box::new(Fleeted::start(hand, terms, seed, now, true, false));
            }
            Named::LandingspreadZonesLied => {
                return Box::new(Fleeted::start(hand, terms, seed, now, true, true));
            }
            Named::Random => Way::Random,
            Named::RoundRobin => Way::RoundRobin,
            Named::LeastOutstanding => Way::LeastOutstanding,
            Named::TwoChoices | Named::NoRepeats | Named::PlainRepeats => Way::TwoChoices,
            Named::TrueState => Way::TrueState,
        };
        let tries = match self {
            Named::NoRepeats => Tries::ONE,
            Named::PlainRepeats => Tries::THREE,
            _ => Tries::ALL,
        };
        Box::new(Plain::new(hand, terms, seed, way, tries))
    }
}

impl std::str::FromStr for Named {
    type Err = String;

    fn from_str(text: &str) -> Result<Named, String> {
        let named = Named::ALL.into_iter().find(|named| named.name() == text);
        named.ok_or_else(|| {
            let all: Vec<&str> = Named::ALL.iter().map(|named| named.name()).collect();
            format!("{text:?} is no picker; there are {}", all.join(", "))
        })
    }
}
