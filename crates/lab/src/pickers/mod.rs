//! Who picks: the program's decision module, and baselines to hold against it. The baselines live here and in no
//! other place.

mod plain;
mod rules;

pub use plain::Way;

use crate::world::Hand;
use landingspread_decisions::host::{Arrival, Ended, Host, Id, Listed, Outcome};
use landingspread_decisions::policy::Policy;
use landingspread_decisions::terms::Terms;
use plain::Plain;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What can happen to a copy, one method for each: the decision module's own.
pub trait Picker {
    fn list_cached(&mut self, now: Duration, entries: &[Listed]);
    fn list_told(&mut self, now: Duration, entries: &[Listed]);
    fn list_changed(&mut self, now: Duration, entries: &[Listed]);
    fn list_call_failed(&mut self, now: Duration);
    fn cmd_came(&mut self, now: Duration, arrival: Arrival);
    fn client_left(&mut self, now: Duration, cmd: &Id);
    fn relay_ended(&mut self, now: Duration, ended: Ended);
    fn check_ended(&mut self, now: Duration, outcome: Outcome, server: &Id);
    fn woken(&mut self, now: Duration);
}

impl<H: Host> Picker for Policy<H> {
    fn list_cached(&mut self, now: Duration, entries: &[Listed]) {
        Policy::list_cached(self, now, entries);
    }

    fn list_told(&mut self, now: Duration, entries: &[Listed]) {
        Policy::list_told(self, now, entries);
    }

    fn list_changed(&mut self, now: Duration, entries: &[Listed]) {
        Policy::list_changed(self, now, entries);
    }

    fn list_call_failed(&mut self, now: Duration) {
        Policy::list_call_failed(self, now);
    }

    fn cmd_came(&mut self, now: Duration, arrival: Arrival) {
        Policy::cmd_came(self, now, arrival);
    }

    fn client_left(&mut self, now: Duration, cmd: &Id) {
        Policy::client_left(self, now, cmd);
    }

    fn relay_ended(&mut self, now: Duration, ended: Ended) {
        Policy::relay_ended(self, now, ended);
    }

    fn check_ended(&mut self, now: Duration, outcome: Outcome, server: &Id) {
        Policy::check_ended(self, now, outcome, server);
    }

    fn woken(&mut self, now: Duration) {
        Policy::woken(self, now);
    }
}

/// A picker by the name that files and the command line give it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Named {
    Landingspread,
    Random,
    RoundRobin,
    LeastOutstanding,
    TwoChoices,
    TrueState,
}

impl Named {
    pub const ALL: [Named; 6] = [
        Named::Landingspread,
        Named::Random,
        Named::RoundRobin,
        Named::LeastOutstanding,
        Named::TwoChoices,
        Named::TrueState,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Named::Landingspread => "landingspread",
            Named::Random => "random",
            Named::RoundRobin => "round_robin",
            Named::LeastOutstanding => "least_outstanding",
            Named::TwoChoices => "two_choices",
            Named::TrueState => "true_state",
        }
    }

    pub fn make(self, hand: Hand, terms: Terms, seed: u64, now: Duration) -> Box<dyn Picker> {
        let way = match self {
            Named::Landingspread => return Box::new(Policy::start(hand, terms, seed, now)),
            Named::Random => Way::Random,
            Named::RoundRobin => Way::RoundRobin,
            Named::LeastOutstanding => Way::LeastOutstanding,
            Named::TwoChoices => Way::TwoChoices,
            Named::TrueState => Way::TrueState,
        };
        Box::new(Plain::new(hand, terms, seed, way))
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
