//! Server statistics that a replica hands to its successor process. They keep their meaning under other settings,
//! unlike concurrency limits, failure counts, latencies by class, traffic and load reports, which depend on the
//! settings or become outdated, and are measured again.

use crate::host::Id;
use std::time::Duration;

/// Statistics of one server process.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerStatistics {
    /// Id of the server.
    pub server: Id,
    /// Start time of the process, if the list reports it. Statistics of another process do not apply.
    pub started_at: Option<Duration>,
    /// Latency of the server's answers as a multiple of the mean over all servers.
    pub slowness: f64,
    /// Whether the server is ejected.
    pub ejected: bool,
}
