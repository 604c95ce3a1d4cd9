//! What the fleet decides of zones, and how a zone looks from one replica: plain types.

use std::time::Duration;

/// What fraction of its usual traffic a zone gets, as the fleet has it: 0 where it is drained.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneTraffic {
    /// The zone.
    pub zone: u32,
    /// From 0 to 1; what is no number counts as 1.
    pub fraction: f64,
    /// In a drained zone: a number that changes with each trial that is this replica's to make. In one that is in use:
    /// the same for a health check there, as other replicas get no answers from it.
    pub trial: Option<u64>,
}

/// How a zone looks from this replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneObservation {
    /// The zone.
    pub zone: u32,
    /// How many of its servers the list calls ready.
    pub ready: usize,
    /// How long ago the last attempt that was answered had been sent.
    pub answered_ago: Option<Duration>,
    /// Nothing sent since the last answer was answered, though it is late or lost: how long ago the last sign of that
    /// came.
    pub unanswered_ago: Option<Duration>,
    /// Its servers answer much more slowly than the mean.
    pub slow: bool,
}
