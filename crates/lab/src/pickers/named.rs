//! Load balancers by name.

use super::fleeted::FleetBalancer;
use super::plain::{AttemptLimits, BaselineBalancer, Selection};
use crate::picker::LoadBalancer;
use crate::world::HostHandle;
use landingspread_decisions::policy::Policy;
use landingspread_decisions::settings::Settings;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A load balancer, by its name in files and on the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadBalancerKind {
    /// The decision module of the sidecar, without fleet membership.
    Landingspread,
    /// With fleet membership, as with `[fleet]` in the sidecar's configuration.
    LandingspreadFleet,
    /// With fleet membership and zone failover, as with `[localities]`.
    LandingspreadZones,
    /// Like `LandingspreadZones`, but one in seven replicas sends false reports of zones.
    #[serde(rename = "landingspread_zones_lied")]
    LandingspreadZonesFalseReports,
    /// A random server.
    Random,
    /// The servers in turn.
    RoundRobin,
    /// The server with the fewest outstanding requests.
    LeastOutstanding,
    /// The less loaded of two random servers.
    TwoChoices,
    /// The less loaded of two random servers, with one attempt for each request.
    #[serde(rename = "no_repeats")]
    NoRetries,
    /// The less loaded of two random servers, with up to two retries after a failure or timeout, at every tier.
    #[serde(rename = "plain_repeats")]
    PlainRetries,
    /// The server with the shortest wait by the true state of the servers, which no replica can know.
    TrueState,
}

impl LoadBalancerKind {
    /// All kinds, in the order of error messages.
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

    /// The name in files and on the command line.
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

    /// Creates a load balancer of this kind.
    pub fn create(
        self,
        host: HostHandle,
        settings: Settings,
        seed: u64,
        now: Duration,
    ) -> Box<dyn LoadBalancer> {
        let selection = match self {
            LoadBalancerKind::Landingspread => return Box::new(Policy::start(host, settings, seed, now)),
            LoadBalancerKind::LandingspreadFleet => {
                return Box::new(FleetBalancer::start(host, settings, seed, now, false, false));
            }
            LoadBalancerKind::LandingspreadZones => {
                return Box::new(FleetBalancer::start(host, settings, seed, now, true, false));
            }
            LoadBalancerKind::LandingspreadZonesFalseReports => {
                return Box::new(FleetBalancer::start(host, settings, seed, now, true, true));
            }
            LoadBalancerKind::Random => Selection::Random,
            LoadBalancerKind::RoundRobin => Selection::RoundRobin,
            LoadBalancerKind::LeastOutstanding => Selection::LeastOutstanding,
            LoadBalancerKind::TwoChoices | LoadBalancerKind::NoRetries | LoadBalancerKind::PlainRetries => {
                Selection::TwoChoices
            }
            LoadBalancerKind::TrueState => Selection::TrueState,
        };
        let limits = match self {
            LoadBalancerKind::NoRetries => AttemptLimits::SINGLE,
            LoadBalancerKind::PlainRetries => AttemptLimits::THREE_TIMED,
            _ => AttemptLimits::PLAN,
        };
        Box::new(BaselineBalancer::new(host, settings, seed, selection, limits))
    }
}

impl std::str::FromStr for LoadBalancerKind {
    type Err = String;

    fn from_str(text: &str) -> Result<LoadBalancerKind, String> {
        let kind = LoadBalancerKind::ALL.into_iter().find(|kind| kind.name() == text);
        kind.ok_or_else(|| {
            let all: Vec<&str> = LoadBalancerKind::ALL.iter().map(|kind| kind.name()).collect();
            format!("{text:?} is no picker; expected one of {}", all.join(", "))
        })
    }
}
