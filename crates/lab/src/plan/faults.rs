//! What goes wrong, and when. Each fault is one entry of the file's `faults`; several may overlap. It owns what
//! each kind needs to be told; how the world plays it stands in `world/faults.rs`.

use serde::{Deserialize, Serialize};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Processes end; their connections are reset and new ones refused; they come back cold after `for`.
    Crash,
    /// Machines fall silent: nothing is refused, nothing answered. They come back cold.
    Vanish,
    /// Work takes `factor` times as long.
    Slow,
    /// A `share` of the commands (of `verb` alone, where given) fails at once.
    Errors,
    /// Nothing is worked on; what comes waits.
    Pause,
    /// A `share` of the commands (of `verb` alone, where given) is `factor` times as much work.
    Heavy,
    /// All servers of a tier are slow by `factor`: something they share is.
    SharedSlowness,
    /// Clients send `factor` times as much.
    Surge,
    /// `count` servers join, cold; they stay.
    Grow,
    /// The servers named drain and are gone for good.
    Shrink,
    /// Lists come `seconds` later than usual.
    ListLate,
    /// The list says what it said when the fault began.
    ListStale,
    /// The servers named leave and enter the list, turn about, every `seconds`; they are well.
    ListFlapping,
    /// The list says that there is no server.
    ListEmpty,
    /// The list source answers nobody.
    ListDown,
    /// What crosses the border of `zone` is lost; both sides live.
    ZoneCut,
    /// All that is in `zone` falls silent, and comes back cold; its copies too.
    ZoneLost,
    /// `count` copies of the front, or a `share` of them, die, one every `seconds`, and start anew 1 s later, knowing an old list.
    #[serde(rename = "copies_restarted")]
    ReplicasRestarted,
    /// The first `count` copies of the front, or a `share` of them, end, and start again after `for`.
    #[serde(rename = "copies_down")]
    ReplicasDown,
    /// Words pass neither way between the first `count` copies of the front, or a `share` of them, and all others (virtual time only).
    #[serde(rename = "copies_apart")]
    ReplicasPartitioned,
    /// A `share` of the words between copies is lost (virtual time only).
    #[serde(rename = "words_lost")]
    PeerMessagesLost,
    /// Load reports are `says`.
    #[serde(rename = "reports_lie")]
    FalseLoadReports,
    /// Connections that one side takes for open and the other has forgotten: on real sockets only.
    HalfOpen,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FalseLoad {
    Idle,
    Busy,
    Frozen,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub kind: FaultKind,
    /// Seconds since the start.
    pub at: f64,
    /// How long it lasts, in seconds.
    #[serde(rename = "for", default)]
    pub duration: f64,
    #[serde(default)]
    pub tier: usize,
    /// Places in the tier, counted from 0.
    #[serde(default)]
    pub servers: Vec<usize>,
    pub factor: Option<f64>,
    pub share: Option<f64>,
    #[serde(rename = "verb")]
    pub request_class: Option<String>,
    pub count: Option<usize>,
    pub seconds: Option<f64>,
    pub zone: Option<String>,
    #[serde(rename = "says")]
    pub false_load: Option<FalseLoad>,
}

impl Fault {
    /// Whether it acts on servers that the file must name.
    pub fn names_servers(&self) -> bool {
        use FaultKind::*;
        matches!(self.kind, Crash | Vanish | Slow | Errors | Pause | Shrink | ListFlapping | FalseLoadReports)
    }

    /// A few words for a report's axis.
    pub fn label(&self) -> String {
        let kind = serde_json::to_value(self.kind).ok();
        kind.as_ref().and_then(|kind| kind.as_str()).unwrap_or("fault").replace('_', " ")
    }
}
