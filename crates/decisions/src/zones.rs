//! Plain types for the zones: the fleet's traffic decisions, and the observations of one replica.

use std::time::Duration;

/// The fleet's decision on the traffic of one zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneTraffic {
    /// Number of the zone.
    pub zone: u32,
    /// Fraction of its normal traffic that the zone gets, from 0 (drained) to 1; values that are not finite count as 1.
    pub fraction: f64,
    /// Number of the last trial that was assigned to this replica; a new number requests one trial. In a drained zone
    /// the trial is a health check or a half-open request. In a zone in use it is a health check, requested because
    /// other replicas get no answers from the zone.
    pub trial: Option<u64>,
}

/// The state of a zone as observed by this replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneObservation {
    /// Number of the zone.
    pub zone: u32,
    /// Number of the zone's servers that are ready in the list.
    pub ready: usize,
    /// Time since the latest answered attempt was sent; `None` before the first answer.
    pub answered_ago: Option<Duration>,
    /// Time since the latest evidence that the zone does not answer: the attempts since the last answer are late or
    /// lost. `None` while the zone answers.
    pub unanswered_ago: Option<Duration>,
    /// Whether the zone's servers answer much more slowly than the mean.
    pub slow: bool,
}
