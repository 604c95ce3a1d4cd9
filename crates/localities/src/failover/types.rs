//! The configuration, inputs and outputs of `ZoneFailover`.

use crate::evidence::Evidence;
use crate::report::ZoneHealth;
use crate::verdict::{Verdict, ZoneStage};
use std::time::Duration;

/// The minimum times of an evacuation and of each step of the recovery ramp.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecoveryTimings {
    /// The minimum time for which a zone stays evacuated, even if trials succeed. Repeated evacuations last longer.
    pub min_evacuation: Duration,
    /// The minimum time of each step of the recovery ramp.
    pub min_ramp_step: Duration,
}

impl Default for RecoveryTimings {
    fn default() -> RecoveryTimings {
        RecoveryTimings { min_evacuation: Duration::from_secs(3), min_ramp_step: Duration::from_millis(500) }
    }
}

/// Is notified of each new verdict, to report it to operators.
pub trait Host {
    /// This replica issued a verdict on the evidence, or on an operator's command.
    fn verdict_issued(&mut self, _zone: &str, _verdict: &Verdict, _evidence: &Evidence) {}
    /// This replica adopted a verdict from the report of the peer with this name.
    fn verdict_adopted(&mut self, _zone: &str, _verdict: &Verdict, _peer: &str) {}
}

/// The configuration of the local replica and of the zones.
#[derive(Clone, Debug)]
pub struct FailoverConfig {
    /// The replica's id, unique among all replicas; it determines the turn of the replica's trials.
    pub id: u64,
    /// The name of the zone that the replica runs in.
    pub zone: String,
    /// The names of all zones, in the order that zone indices refer to.
    pub zones: Vec<String>,
    /// The minimum times of the recovery of an evacuated zone.
    pub timings: RecoveryTimings,
}

/// A command of an operator on a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorCommand {
    /// The whole fleet evacuates the zone until `Return`.
    Evacuate,
    /// The fleet returns the zone to service over the recovery ramp.
    Return,
}

/// The health of a zone as the local replica's decision engine observes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnObservation {
    /// The zone's index among the configured zones.
    pub zone: usize,
    /// Servers of the zone that the endpoint list holds as ready.
    pub ready: usize,
    /// The health of the zone as observed.
    pub health: ZoneHealth,
}

/// Another live replica and its newest report.
pub struct PeerReport<'a> {
    /// The peer's id, unique among all replicas.
    pub id: u64,
    /// The peer's name, passed to `Host::verdict_adopted`.
    pub name: &'a str,
    /// The name of the peer's zone; empty if unknown.
    pub zone: &'a str,
    /// The peer's encoded report; `None` until one is received.
    pub report: Option<&'a [u8]>,
    /// The time since the report was made.
    pub age: Duration,
}

/// What the decision engine is to send to a zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneTraffic {
    /// The zone's index among the configured zones.
    pub zone: usize,
    /// The fraction of its usual traffic that the zone gets, from 0 to 1.
    pub traffic_fraction: f64,
    /// The number of the trial or verification that this replica is to send to the zone, if any. Each has a new number.
    pub trial: Option<u64>,
}

/// The status of a zone, for operators.
#[derive(Clone, Debug)]
pub struct ZoneStatus<'a> {
    /// The name of the zone.
    pub zone: &'a str,
    /// The stage that the zone is in.
    pub stage: ZoneStage,
    /// The number of the verdict in force; 0 if there is none.
    pub number: u32,
    /// Whether an operator evacuated the zone.
    pub by_operator: bool,
    /// The number of recent evacuations of the zone.
    pub evacuations: u8,
    /// When the verdict in force was issued, by the local clock.
    pub since: Option<Duration>,
    /// The fraction of its usual traffic that the zone gets, from 0 to 1.
    pub traffic_fraction: f64,
    /// Whether this replica is to send a trial or a verification.
    pub trial: bool,
    /// Servers of the zone that the endpoint list holds as ready.
    pub ready: usize,
    /// The zone's health as this replica observes it.
    pub health: ZoneHealth,
    /// What all replicas observe of the zone.
    pub evidence: Evidence,
}
