//! Faults of a scenario: each is one entry of `faults` in its file, and several may overlap. This module owns the keys
//! of each kind; `world/faults.rs` simulates them.

use serde::{Deserialize, Serialize};

/// The kind of a fault and the keys that it uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The processes of `servers` end; connections are reset and new ones refused. They start again, cold, after `for`.
    Crash,
    /// The machines of `servers` are unreachable: connections are neither accepted nor refused. They start again, cold.
    Vanish,
    /// Work at `servers` takes `factor` times as long.
    Slow,
    /// A `share` of the requests at `servers` (only of class `verb`, if given) fails at once.
    Errors,
    /// `servers` do no work; arriving requests wait.
    Pause,
    /// A `share` of the requests of a tier (only of class `verb`, if given) is `factor` times as much work.
    Heavy,
    /// All servers of a tier are slower by `factor`, as when a shared dependency is slow.
    SharedSlowness,
    /// Clients send `factor` times as many requests.
    Surge,
    /// `count` cold servers join for the rest of the run.
    Grow,
    /// `servers` drain and are removed for good.
    Shrink,
    /// Lists are delivered `seconds` later than usual.
    ListLate,
    /// The list stays as it was at the start of the fault.
    ListStale,
    /// The list shows working `servers` as draining and as ready in turn, changing every `seconds`.
    ListFlapping,
    /// The list is empty.
    ListEmpty,
    /// The list source answers no poll and ends all watches.
    ListDown,
    /// Messages into and out of `zone` are lost; both sides keep running.
    ZoneCut,
    /// All servers and replicas in `zone` are unreachable; they start again cold.
    ZoneLost,
    /// `count` replicas of the front, or a `share` of them, end, one every `seconds`, and start again 1 s later with a
    /// cached list.
    #[serde(rename = "copies_restarted")]
    ReplicasRestarted,
    /// The first `count` replicas of the front, or a `share` of them, end and start again after `for`.
    #[serde(rename = "copies_down")]
    ReplicasDown,
    /// No peer message or datagram passes between the first `count` replicas of the front, or a `share` of them, and all
    /// other replicas (virtual time only).
    #[serde(rename = "copies_apart")]
    ReplicasPartitioned,
    /// A `share` of the peer messages and datagrams between replicas is lost (virtual time only).
    #[serde(rename = "words_lost")]
    PeerMessagesLost,
    /// Load reports of `servers` are false, as `says`.
    #[serde(rename = "reports_lie")]
    FalseLoadReports,
    /// Connections are half open: one side considers them open, the other has no state for them (real sockets
    /// only).
    HalfOpen,
}

/// The load that a server reports falsely: none, full, or the last figures before the fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FalseLoad {
    /// No load: 0 queued requests and 0 requests in flight.
    Idle,
    /// A full queue with all cores in use.
    Busy,
    /// The last figures that were reported before the fault.
    Frozen,
}

/// One fault; `kind` decides which of the optional keys are used.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Seconds since the start.
    pub at: f64,
    /// Duration in seconds.
    #[serde(rename = "for", default)]
    pub duration: f64,
    /// Index of the affected tier, from 0.
    #[serde(default)]
    pub tier: usize,
    /// Indices of servers in the tier, from 0.
    #[serde(default)]
    pub servers: Vec<usize>,
    /// Multiple of the work, time or rate, as the kind defines it.
    pub factor: Option<f64>,
    /// Affected fraction, from 0 to 1, of requests, messages or replicas, as the kind defines it.
    pub share: Option<f64>,
    /// Name of the affected request class; all classes if absent.
    #[serde(rename = "verb")]
    pub request_class: Option<String>,
    /// Number of affected replicas or added servers.
    pub count: Option<usize>,
    /// A delay or an interval in seconds, as the kind defines it.
    pub seconds: Option<f64>,
    /// Name of the affected zone.
    pub zone: Option<String>,
    /// The load that the servers report.
    #[serde(rename = "says")]
    pub false_load: Option<FalseLoad>,
}

impl Fault {
    /// Whether the fault needs the key `servers`.
    pub fn needs_servers(&self) -> bool {
        use FaultKind::*;
        matches!(self.kind, Crash | Vanish | Slow | Errors | Pause | Shrink | ListFlapping | FalseLoadReports)
    }

    /// The kind as words, for reports and errors.
    pub fn label(&self) -> String {
        let kind = serde_json::to_value(self.kind).ok();
        kind.as_ref().and_then(|kind| kind.as_str()).unwrap_or("fault").replace('_', " ")
    }
}
