//! The format of a scenario file: servers, network, load, rules and faults. This module owns the defaults and units
//! (seconds, requests per second, fractions of 1) and does not depend on the simulation.
//!
//! Unknown keys are errors that suggest the nearest known key; `check` validates the values.

use super::faults::{Fault, FaultKind};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Converts seconds to a duration; negative, too large and non-finite values give zero.
pub fn to_duration(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or_default()
}

/// A scenario: one simulated system with its load and faults.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name of the scenario.
    pub name: String,
    /// One-line description; may be empty.
    #[serde(default)]
    pub about: String,
    /// Time during which clients send, in seconds.
    pub seconds: f64,
    /// Time at the start, in seconds, that totals leave out, because a system that has just started is not in its steady
    /// state.
    #[serde(default = "two")]
    pub settle: f64,
    /// Request rate and retries of the clients.
    pub load: Load,
    /// Request classes that clients send.
    #[serde(rename = "verbs")]
    pub request_classes: Vec<RequestClass>,
    /// Tenants that the requests belong to.
    #[serde(default = "one_tenant")]
    pub tenants: Vec<Tenant>,
    /// Names of the zones.
    #[serde(default = "one_zone")]
    pub zones: Vec<String>,
    /// The replicas that clients connect to.
    #[serde(default)]
    pub front: FrontTier,
    /// Tiers of servers; the clients' requests enter at index 0.
    pub tiers: Vec<Tier>,
    /// Delays and losses of messages.
    #[serde(default)]
    pub network: Network,
    /// Delays of the source of endpoint lists.
    #[serde(default, rename = "lists")]
    pub discovery: Discovery,
    /// Permissions of replicas and tolerances of the referee.
    #[serde(default)]
    pub rules: Rules,
    /// Faults of the run, in any order; they may overlap.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// The load of an open loop: clients send at a rate that does not depend on the answers (Schroeder et al., NSDI 2006).
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Requests per second of all clients together, without retries.
    pub rate: f64,
    /// The most retries of a client, after a rejection or, for idempotent classes, after a failure.
    #[serde(default)]
    pub retries: u32,
    /// Mean wait before a retry in seconds, unless the rejection said when to retry.
    #[serde(default = "quarter")]
    pub backoff: f64,
    /// Fraction of clients that disconnect before the time limit.
    #[serde(default, rename = "quits")]
    pub disconnect_fraction: f64,
}

/// Whether a request may run more than once: always, deduplicated by key within a scope, or never.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RetrySafety {
    /// The request may run any number of times.
    #[default]
    #[serde(rename = "pure")]
    Idempotent,
    /// All servers drop repeats of the request's key.
    #[serde(rename = "receipted_all")]
    KeyedEverywhere,
    /// Servers of the same zone drop repeats of the request's key.
    #[serde(rename = "receipted_zone")]
    KeyedInZone,
    /// Servers of the same cell drop repeats of the request's key.
    #[serde(rename = "receipted_cell")]
    KeyedInCell,
    /// The request may run at most once.
    #[serde(rename = "effectful")]
    NonIdempotent,
}

/// The distribution of the work of a request around its mean.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkDistribution {
    /// Always the mean.
    Fixed,
    /// Exponential with the given mean.
    #[default]
    Exponential,
    /// Lognormal with coefficient of variation 1.5.
    Lognormal,
    /// Bounded Pareto, shape 1.5, from about a third of the mean to 90 times that (Crovella and Bestavros).
    Pareto,
}

/// A request class with its retry safety, objectives and work.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RequestClass {
    /// Name of the class.
    pub name: String,
    /// Share of the requests, relative to the other classes.
    #[serde(default = "one")]
    pub share: f64,
    /// Whether a request of the class may run more than once.
    #[serde(default, rename = "repeats")]
    pub retry_safety: RetrySafety,
    /// Time during which servers of the deduplication scope drop repeats, in seconds.
    #[serde(default = "thirty", rename = "memory")]
    pub dedup_window: f64,
    /// Latency objective in seconds.
    #[serde(rename = "goal")]
    pub latency_objective: f64,
    /// Time limit of a request in seconds.
    #[serde(rename = "limit")]
    pub time_limit: f64,
    /// Utility of an answer within the latency objective.
    #[serde(default = "one")]
    pub utility: f64,
    /// Utility of an answer after the latency objective.
    #[serde(default, rename = "overdue_utility")]
    pub late_utility: f64,
    /// Mean work in seconds of one core at speed 1, for each tier; the last value holds for all further tiers.
    pub work: Vec<f64>,
    /// Distribution of the work around its mean.
    #[serde(default, rename = "spread")]
    pub work_distribution: WorkDistribution,
    /// Calls to the next tier that a server makes for one request, one after another.
    #[serde(default = "one_call", rename = "calls")]
    pub downstream_calls: u32,
}

impl RequestClass {
    /// Mean work in a tier, in seconds of one core at speed 1.
    pub fn mean_work(&self, tier: usize) -> f64 {
        self.work.get(tier).or(self.work.last()).copied().unwrap_or(0.0)
    }
}

/// A tenant with its share of the load.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Name of the tenant.
    pub name: String,
    /// Share of the requests, relative to the other tenants.
    #[serde(default = "one")]
    pub share: f64,
    /// Quota in requests per second; unlimited if not given.
    pub quota: Option<f64>,
}

/// The replicas that clients connect to.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct FrontTier {
    /// Number of replicas.
    #[serde(rename = "copies")]
    pub replicas: usize,
    /// Time for which clients would still connect to a replica that has ended, in seconds. It is validated, but no run
    /// uses it.
    #[serde(rename = "notice")]
    pub detection_delay: f64,
    /// Weights of the replicas among those of their zone, assigned in turn; equal if empty. Only in virtual time.
    #[serde(rename = "traffic")]
    pub traffic_shares: Vec<f64>,
    /// Weights of the zones by clients; equal if empty.
    pub zone_shares: Vec<f64>,
}

impl Default for FrontTier {
    fn default() -> FrontTier {
        FrontTier { replicas: 4, detection_delay: 1.0, traffic_shares: Vec::new(), zone_shares: Vec::new() }
    }
}

/// The figures that servers report with their answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReportedLoad {
    /// No load report.
    None,
    /// The number of requests in flight.
    InFlight,
    /// The number of queued requests.
    #[default]
    Queue,
    /// The numbers of queued requests and of requests in flight.
    Both,
}

/// A tier of equal servers behind the replicas of the tier above.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// Number of servers at the start.
    pub servers: usize,
    /// Number of cores of a server.
    #[serde(default = "two_cores")]
    pub cores: usize,
    /// Speeds of the servers, assigned in turn.
    #[serde(default = "unit_speed")]
    pub speeds: Vec<f64>,
    /// Whether the endpoint list carries the speeds as weights.
    #[serde(default = "yes", rename = "weights_told")]
    pub lists_weights: bool,
    /// Requests that may wait at a server; beyond it they are rejected as overload.
    #[serde(default = "sixty_four", rename = "queue")]
    pub queue_limit: usize,
    /// Number of cells that the servers of a zone are assigned to in turn.
    #[serde(default = "four_cells")]
    pub cells: u32,
    /// Figures that servers report with their answers.
    #[serde(default, rename = "reports")]
    pub load_reports: ReportedLoad,
    /// Time for which a load report is reused before the server computes a new one, in seconds.
    #[serde(default, rename = "report_every")]
    pub report_interval: f64,
    /// Whether replicas may send health checks.
    #[serde(default = "yes", rename = "checks")]
    pub health_checks: bool,
    /// Behavior of a server after its process starts.
    #[serde(default, rename = "cold")]
    pub cold_start: ColdStart,
    /// Slowdown of an overfull server; none if absent.
    #[serde(rename = "jam")]
    pub congestion: Option<Congestion>,
    /// Cost and timeouts of connections to the servers.
    #[serde(default)]
    pub connections: Connections,
}

/// Cold start: a process with empty caches is slow and ends if more work arrives than it can do (Nishtala et al.,
/// NSDI 2013, section 4.3).
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct ColdStart {
    /// Speed at the start as a fraction of the warm speed; it grows linearly.
    #[serde(rename = "share")]
    pub initial_fraction: f64,
    /// Time from the start until the server is warm, in seconds.
    #[serde(rename = "warm_after")]
    pub warmup: f64,
    /// The server is overloaded, and ends, when the work that arrives within the window is more than this multiple of the
    /// work that it can do in it at its current speed.
    #[serde(rename = "multiple")]
    pub overload_multiple: f64,
    /// Length of the window in which arriving work is compared with the server's capacity, in seconds.
    #[serde(rename = "window")]
    pub overload_window: f64,
    /// With fewer requests than this in the window, the server is overloaded only by work beyond that multiple plus an
    /// allowance for random variation.
    #[serde(rename = "least")]
    pub min_requests: u32,
    /// Time until an overloaded server starts again, in seconds.
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

/// Congestion: an overfull server stays slow until it is mostly idle again (metastable failures: Bronson et al., HotOS
/// 2021; Huang et al., OSDI 2022).
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Congestion {
    /// Requests per core at which a server becomes congested.
    #[serde(rename = "at")]
    pub onset: f64,
    /// Requests per core at which the congestion ends.
    #[serde(rename = "clear")]
    pub recovery: f64,
    /// Speed of a congested server as a fraction of its normal speed.
    pub speed: f64,
}

/// Connections of replicas to the servers of a tier.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Connections {
    /// Work of a new connection at its server, in seconds of a core. It also costs one round trip more.
    pub work: f64,
    /// Time for which an idle connection is kept, in seconds.
    #[serde(rename = "idle")]
    pub idle_timeout: f64,
    /// Time after which a connection attempt fails, in seconds.
    #[serde(rename = "dial")]
    pub connect_timeout: f64,
}

impl Default for Connections {
    fn default() -> Connections {
        Connections { work: 0.0005, idle_timeout: 30.0, connect_timeout: 0.1 }
    }
}

/// One-way delays in seconds; each message adds an exponential part with a mean of a fifth of the delay.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// Delay within a zone.
    #[serde(rename = "near")]
    pub same_zone_delay: f64,
    /// Delay between zones.
    #[serde(rename = "far")]
    pub cross_zone_delay: f64,
    /// Fractions of the messages between replicas that are lost and that are delivered twice.
    #[serde(rename = "words_lost")]
    pub peer_message_loss: f64,
    /// Fraction of the messages between replicas that is delivered twice.
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

/// The source of endpoint lists.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// Time from a change to its delivery to the replicas, in seconds, and the random part added to it.
    #[serde(rename = "lag")]
    pub delay: f64,
    /// Maximum of the random part that is added to the delay, in seconds.
    pub jitter: f64,
    /// Time for which a draining server still works, in seconds.
    #[serde(rename = "drain")]
    pub drain_time: f64,
    /// Time until the list drops a server whose process has ended, in seconds.
    #[serde(rename = "notice")]
    pub removal_delay: f64,
}

impl Default for Discovery {
    fn default() -> Discovery {
        Discovery { delay: 0.2, jitter: 0.3, drain_time: 5.0, removal_delay: 3.0 }
    }
}

/// What replicas may do, and the tolerances of the referee.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// Maximum number of attempts of a request at one tier.
    #[serde(rename = "relays")]
    pub max_attempts: u32,
    /// Whether replicas may cancel an attempt that is in flight.
    #[serde(rename = "cancel")]
    pub cancellation: bool,
    /// Whether replicas may run two attempts of a request at the same time.
    #[serde(rename = "parallel")]
    pub hedging: bool,
    /// The longest retry-after time that clients follow, in seconds; 0 if they ignore it.
    #[serde(rename = "come_back")]
    pub max_retry_after: f64,
    /// Time for which attempts are still allowed after a replica learns that a server drains or is removed, in seconds.
    #[serde(rename = "grace")]
    pub removal_grace: f64,
    /// Time after the time limit within which a final answer still counts as in time, in seconds.
    #[serde(rename = "slack")]
    pub deadline_slack: f64,
    /// Price of an attempt at a server in another zone, in points of the objective, from 0 to 1.
    #[serde(rename = "crossing")]
    pub cross_zone_cost: f64,
    /// Value of a request beyond its tenant's quota, as a fraction of its normal value, from 0 to 1.
    #[serde(rename = "beyond_quota")]
    pub over_quota_value: f64,
    /// Whether the decisions of replicas exchange peer messages.
    #[serde(rename = "words")]
    pub peer_messages: bool,
    /// Whether a server's calls to the next tier carry the time that its own caller has left. Otherwise each call has the
    /// whole time limit of its class, and a server continues until it learns that its caller has given up.
    #[serde(rename = "passes_deadline")]
    pub propagates_deadline: bool,
    /// Whether a failed answer says that the server failed only because its own call did. Such a failure is not retried
    /// above, so that only the tier next to the failure retries. No published protocol carries this.
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
    /// Count of the replicas of the front that a fault affects: `count`, or a `share` of them with at least one.
    pub fn affected_replicas(&self, fault: &Fault) -> usize {
        let by_share =
            || fault.share.map_or(0, |share| ((share * self.front.replicas as f64) as usize).max(1));
        fault.count.unwrap_or_else(by_share)
    }

    /// The first fault that needs real sockets.
    pub fn first_socket_only_fault(&self) -> Option<&Fault> {
        self.faults.iter().find(|fault| fault.kind == FaultKind::HalfOpen)
    }

    /// The first fault that needs virtual time, because no packet is lost on loopback.
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
