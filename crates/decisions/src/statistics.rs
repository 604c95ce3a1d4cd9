//! What a replica's successor takes over of each server: figures that mean the same under other settings. Concurrency
//! limits, failure counts, latencies by class, traffic and load reports depend on the settings or on the moment, and
//! start anew.

use crate::host::Id;
use std::time::Duration;

/// What was learned of one server's process.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerStatistics {
    /// The server.
    pub server: Id,
    /// When its process started, where the list says so: another process is another server.
    pub started_at: Option<Duration>,
    /// How slow its answers are: a multiple of the mean.
    pub slowness: f64,
    /// It is ejected.
    pub ejected: bool,
}
