//! What a `ZoneFailover` is configured with, gets and gives.

use crate::evidence::Evidence;
use crate::report::ZoneHealth;
use crate::verdict::{Verdict, ZoneStage};
use std::time::Duration;

/// How fast an evacuated zone is taken back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecoveryTimings {
    /// How long a zone stays evacuated at least, whatever trials show; longer after a further evacuation.
    pub min_evacuation: Duration,
    /// How long each step of the recovery ramp lasts at least.
    pub min_ramp_step: Duration,
}

impl Default for RecoveryTimings {
    fn default() -> RecoveryTimings {
        RecoveryTimings { min_evacuation: Duration::from_secs(3), min_ramp_step: Duration::from_millis(500) }
    }
}

/// Receives verdicts, for operators.
pub trait Host {
    /// This copy issued a verdict on the evidence, or on an operator's command.
    fn verdict_issued(&mut self, _zone: &str, _verdict: &Verdict, _evidence: &Evidence) {}
    /// This copy adopted another's verdict.
    fn verdict_adopted(&mut self, _zone: &str, _verdict: &Verdict, _by: &str) {}
}

/// The local copy and the zones, as configured.
#[derive(Clone, Debug)]
pub struct FailoverConfig {
    /// A number unique among all copies, by which trials take turns.
    pub id: u64,
    /// The zone that the copy runs in.
    pub zone: String,
    /// All zones by name.
    pub zones: Vec<String>,
    /// How fast an evacuated zone is taken back.
    pub timings: RecoveryTimings,
}

/// What operators may command for a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorCommand {
    /// The whole fleet evacuates the zone, until `Return`.
    Evacuate,
    /// The fleet takes the zone back, over the recovery ramp.
    Return,
}

/// How a zone looks to the local copy's decision engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnObservation {
    /// The zone's index among the configured zones.
    pub zone: usize,
    /// Servers of the zone that the endpoint list holds as ready.
    pub ready: usize,
    /// How the zone looks.
    pub health: ZoneHealth,
}

/// Another live copy and its newest report.
pub struct PeerReport<'a> {
    /// The copy's number, unique among all.
    pub id: u64,
    /// Its name.
    pub name: &'a str,
    /// Its zone; empty while that is unknown.
    pub zone: &'a str,
    /// Its report as bytes; `None` while none was received.
    pub report: Option<&'a [u8]>,
    /// How long ago the report was made.
    pub age: Duration,
}

/// What the decision engine gets for a zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneTraffic {
    /// The zone's index among the configured zones.
    pub zone: usize,
    /// The fraction, from 0 to 1, of the traffic that the zone would get in service.
    pub traffic_fraction: f64,
    /// Set while this copy is to send a trial to the zone, or to verify what others report of it; a new number for each.
    pub trial: Option<u64>,
}

/// A zone's state, for operators.
#[derive(Clone, Debug)]
pub struct ZoneStatus<'a> {
    /// The zone's name.
    pub zone: &'a str,
    /// The stage that it is in.
    pub stage: ZoneStage,
    /// The number of the verdict that holds; 0 where none was issued.
    pub number: u32,
    /// An operator evacuated it.
    pub by_operator: bool,
    /// How many times it was evacuated of late.
    pub evacuations: u8,
    /// When the verdict was issued.
    pub since: Option<Duration>,
    /// The fraction of its traffic that it gets.
    pub traffic_fraction: f64,
    /// This copy is to send a trial.
    pub trial: bool,
    /// Servers of the zone that the endpoint list holds as ready.
    pub ready: usize,
    /// How the zone looks to this copy.
    pub health: ZoneHealth,
    /// What all copies observe of it.
    pub evidence: Evidence,
}
