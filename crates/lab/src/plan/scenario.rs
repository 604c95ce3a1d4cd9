//! A scenario as its file tells it: the world, its load, what goes wrong and when. It owns every default and the
//! units (seconds, commands a second, shares of 1); it must never know how the world plays them.
//!
//! Unknown keys are errors with the nearest known name; `check` says what else can't be played, by key and line.

use super::faults::{Fault, FaultKind};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Seconds of a file as a span; what is no span (negative, not a number) is none.
pub fn to_duration(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or_default()
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub name: String,
    #[serde(default)]
    pub about: String,
    /// How long clients send.
    pub seconds: f64,
    /// The first part that figures leave out: what starts from nothing says little about a service.
    #[serde(default = "two")]
    pub settle: f64,
    pub load: Load,
    #[serde(rename = "verbs")]
    pub request_classes: Vec<RequestClass>,
    #[serde(default = "one_tenant")]
    pub tenants: Vec<Tenant>,
    #[serde(default = "one_zone")]
    pub zones: Vec<String>,
    #[serde(default)]
    pub front: FrontTier,
    pub tiers: Vec<Tier>,
    #[serde(default)]
    pub network: Network,
    #[serde(default)]
    #[serde(rename = "lists")]
    pub discovery: Discovery,
    #[serde(default)]
    pub rules: Rules,
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// Open loop: clients send at a rate, whatever becomes of what they sent (Schroeder et al., NSDI 2006).
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Commands a second of all clients together, but for their retries.
    pub rate: f64,
    /// How often a client tries again what was declined, or what is harmless to repeat and was not answered.
    #[serde(default)]
    pub retries: u32,
    /// The mean wait before that, in seconds; a come-back time that was told goes before it.
    #[serde(default = "quarter")]
    pub backoff: f64,
    /// The share of clients that go away before their time limit.
    #[serde(default)]
    #[serde(rename = "quits")]
    pub disconnect_fraction: f64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RetrySafety {
    #[default]
    #[serde(rename = "pure")]
    Idempotent,
    #[serde(rename = "receipted_all")]
    KeyedEverywhere,
    #[serde(rename = "receipted_zone")]
    KeyedInZone,
    #[serde(rename = "receipted_cell")]
    KeyedInCell,
    #[serde(rename = "effectful")]
    NonIdempotent,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkDistribution {
    Fixed,
    #[default]
    Exponential,
    /// Coefficient of variation 1.5.
    Lognormal,
    /// Bounded Pareto, shape 1.5, from a third of the mean to thirty times it (Crovella and Bestavros).
    Pareto,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RequestClass {
    pub name: String,
    #[serde(default = "one")]
    pub share: f64,
    #[serde(default)]
    #[serde(rename = "repeats")]
    pub retry_safety: RetrySafety,
    /// How long a server's group drops repeats, in seconds.
    #[serde(default = "thirty")]
    #[serde(rename = "memory")]
    pub dedup_window: f64,
    #[serde(rename = "goal")]
    pub latency_objective: f64,
    #[serde(rename = "limit")]
    pub time_limit: f64,
    #[serde(default = "one")]
    pub utility: f64,
    #[serde(default)]
    #[serde(rename = "overdue_utility")]
    pub late_utility: f64,
    /// Mean seconds of one core at speed 1, for each tier; the last figure goes for the tiers after it.
    pub work: Vec<f64>,
    #[serde(default)]
    #[serde(rename = "spread")]
    pub work_distribution: WorkDistribution,
    /// Calls to the next tier that a server makes for one command, one after another.
    #[serde(default = "one_call")]
    #[serde(rename = "calls")]
    pub downstream_calls: u32,
}

impl RequestClass {
    pub fn mean_work(&self, tier: usize) -> f64 {
        self.work.get(tier).or(self.work.last()).copied().unwrap_or(0.0)
    }
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    pub name: String,
    #[serde(default = "one")]
    pub share: f64,
    /// Commands a second that it has a right to; no bound where it is not given.
    pub quota: Option<f64>,
}

/// The copies that clients speak to.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct FrontTier {
    #[serde(rename = "copies")]
    pub replicas: usize,
    /// How long clients go on coming to a copy that has died, in seconds; they hear at once that it is gone.
    #[serde(rename = "notice")]
    pub detection_delay: f64,
    /// Copies' parts of the clients of their zone, dealt out in turn; even where it is empty. In virtual time only.
    #[serde(rename = "traffic")]
    pub traffic_shares: Vec<f64>,
    /// Zones' parts of the clients; even where it is empty.
    pub zone_shares: Vec<f64>,
}

impl Default for FrontTier {
    fn default() -> FrontTier {
        FrontTier { replicas: 4, detection_delay: 1.0, traffic_shares: Vec::new(), zone_shares: Vec::new() }
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReportedLoad {
    None,
    InFlight,
    #[default]
    Queue,
    Both,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    pub servers: usize,
    #[serde(default = "two_cores")]
    pub cores: usize,
    /// Servers' speeds, dealt out in turn.
    #[serde(default = "unit_speed")]
    pub speeds: Vec<f64>,
    /// Whether the list tells the speeds as weights.
    #[serde(default = "yes")]
    #[serde(rename = "weights_told")]
    pub lists_weights: bool,
    /// Commands that may wait at a server; past it one is turned away.
    #[serde(default = "sixty_four")]
    #[serde(rename = "queue")]
    pub queue_limit: usize,
    #[serde(default = "four_cells")]
    pub cells: u32,
    #[serde(default)]
    #[serde(rename = "reports")]
    pub load_reports: ReportedLoad,
    /// How long a reported figure stands before the server reckons it anew, in seconds.
    #[serde(default)]
    #[serde(rename = "report_every")]
    pub report_interval: f64,
    #[serde(default = "yes")]
    #[serde(rename = "checks")]
    pub health_checks: bool,
    #[serde(default)]
    #[serde(rename = "cold")]
    pub cold_start: ColdStart,
    #[serde(rename = "jam")]
    pub congestion: Option<Congestion>,
    #[serde(default)]
    pub connections: Connections,
}

/// A process that has just started has empty caches: it is slow, and what comes faster than it warms pushes it
/// over (Nishtala et al., NSDI 2013, section 4.3).
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct ColdStart {
    /// Its speed at the start, as a share of its warm one, growing evenly.
    #[serde(rename = "share")]
    pub initial_fraction: f64,
    #[serde(rename = "warm_after")]
    pub warmup: f64,
    /// It falls when the work brought to it within `window` is more than this many times what it can do by then.
    #[serde(rename = "multiple")]
    pub overload_multiple: f64,
    #[serde(rename = "window")]
    pub overload_window: f64,
    /// Fewer commands than this within a window push it over only beyond what is put down to chance as well.
    #[serde(rename = "least")]
    pub min_requests: u32,
    /// How long it is away after a fall.
    #[serde(rename = "down")]
    pub restart_delay: f64,
}

impl Default for ColdStart {
    fn default() -> ColdStart {
        ColdStart {
            initial_fraction: 0.3,
            warmup: 8.0,
            overload_multiple: 3.0,
            overload_window: 2.0,
            min_requests: 10,
            restart_delay: 3.0,
        }
    }
}

/// What is crowded is slow until it is mostly idle again (metastable states: Bronson et al., HotOS 2021; Huang et
/// al., OSDI 2022).
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Congestion {
    /// Commands in a server for each core, at which it jams.
    #[serde(rename = "at")]
    pub onset: f64,
    /// And at which it is free again.
    #[serde(rename = "clear")]
    pub recovery: f64,
    pub speed: f64,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Connections {
    /// Seconds of a core that a new connection costs its server; it also costs one round trip more.
    pub work: f64,
    /// How long an idle one is kept, in seconds.
    #[serde(rename = "idle")]
    pub idle_timeout: f64,
    /// How long is waited for one that does not come up, in seconds.
    #[serde(rename = "dial")]
    pub connect_timeout: f64,
}

impl Default for Connections {
    fn default() -> Connections {
        Connections { work: 0.0005, idle_timeout: 30.0, connect_timeout: 0.1 }
    }
}

/// One-way delays in seconds; each message adds an exponential part of a fifth of it.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    #[serde(rename = "near")]
    pub same_zone_delay: f64,
    #[serde(rename = "far")]
    pub cross_zone_delay: f64,
    /// The shares of the words between copies that are lost, and that come twice.
    #[serde(rename = "words_lost")]
    pub peer_message_loss: f64,
    #[serde(rename = "words_doubled")]
    pub peer_message_duplication: f64,
}

impl Default for Network {
    fn default() -> Network {
        Network {
            same_zone_delay: 0.0002,
            cross_zone_delay: 0.001,
            peer_message_loss: 0.0,
            peer_message_duplication: 0.0,
        }
    }
}

/// The list source.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// From a change to the copies' hearing of it, in seconds, and the random part of that.
    #[serde(rename = "lag")]
    pub delay: f64,
    pub jitter: f64,
    /// How long a server that drains goes on before it ends, in seconds.
    #[serde(rename = "drain")]
    pub drain_time: f64,
    /// How long it takes until the list drops a server that died, in seconds.
    #[serde(rename = "notice")]
    pub removal_delay: f64,
}

impl Default for Discovery {
    fn default() -> Discovery {
        Discovery { delay: 0.2, jitter: 0.3, drain_time: 5.0, removal_delay: 3.0 }
    }
}

/// What copies may do, and what the referee goes by.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    #[serde(rename = "relays")]
    pub max_attempts: u32,
    #[serde(rename = "cancel")]
    pub cancellation: bool,
    #[serde(rename = "parallel")]
    pub hedging: bool,
    /// The longest come-back time that clients heed, in seconds; 0 where they hear none.
    #[serde(rename = "come_back")]
    pub max_retry_after: f64,
    /// Rule 3's grace after a copy was told, in seconds.
    #[serde(rename = "grace")]
    pub removal_grace: f64,
    /// How much later than its time limit a final answer still counts as in time, in seconds.
    #[serde(rename = "slack")]
    pub deadline_slack: f64,
    #[serde(rename = "crossing")]
    pub cross_zone_cost: f64,
    #[serde(rename = "beyond_quota")]
    pub over_quota_value: f64,
    /// Whether copies' decisions tell each other words.
    #[serde(rename = "words")]
    pub peer_messages: bool,
    /// Whether a server's calls to the next tier carry the time that its own caller has left. Where they do not, each
    /// has its verb's whole limit, and a server goes on until it sees that its caller waits no longer.
    #[serde(rename = "passes_deadline")]
    pub propagates_deadline: bool,
    /// Whether a server's answer says that it failed only as its own call did: such a failure is not sent again above, so
    /// that only the tier that met it first repeats. A proposal: no published protocol says it.
    #[serde(rename = "nearest_repeats")]
    pub nearest_tier_retries: bool,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            max_attempts: 3,
            cancellation: true,
            hedging: false,
            max_retry_after: 1.0,
            removal_grace: 0.5,
            deadline_slack: 0.05,
            cross_zone_cost: 0.02,
            over_quota_value: 0.2,
            peer_messages: false,
            propagates_deadline: true,
            nearest_tier_retries: false,
        }
    }
}

impl Scenario {
    /// How many of the front's copies a fault strikes: the first `count`, or the first `share` of them, one at least.
    pub fn affected_replicas(&self, fault: &Fault) -> usize {
        let by_share =
            || fault.share.map_or(0, |share| ((share * self.front.replicas as f64) as usize).max(1));
        fault.count.unwrap_or_else(by_share)
    }

    /// The first fault that only real sockets can play.
    pub fn first_socket_only_fault(&self) -> Option<&Fault> {
        self.faults.iter().find(|fault| fault.kind == FaultKind::HalfOpen)
    }

    /// The first fault that only virtual time can play: no packet is lost on loopback.
    pub fn first_virtual_time_only_fault(&self) -> Option<&Fault> {
        use FaultKind::{PeerMessagesLost, ReplicasDown, ReplicasPartitioned, ZoneCut};
        let only = |fault: &&Fault| {
            matches!(fault.kind, ZoneCut | ReplicasPartitioned | ReplicasDown | PeerMessagesLost)
        };
        self.faults.iter().find(only)
    }
}

fn one() -> f64 {
    1.0
}

fn two() -> f64 {
    2.0
}

fn quarter() -> f64 {
    0.25
}

fn thirty() -> f64 {
    30.0
}

fn yes() -> bool {
    true
}

fn one_call() -> u32 {
    1
}

fn two_cores() -> usize {
    2
}

fn sixty_four() -> usize {
    64
}

fn four_cells() -> u32 {
    4
}

fn unit_speed() -> Vec<f64> {
    vec![1.0]
}

fn one_zone() -> Vec<String> {
    vec!["a".into()]
}

fn one_tenant() -> Vec<Tenant> {
    vec![Tenant { name: "all".into(), share: 1.0, quota: None }]
}
