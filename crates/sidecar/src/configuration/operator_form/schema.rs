//! The tables and keys of the operators' form, with their defaults.
//!
//! A `rename` attribute has the key in the file if the field is named differently. Serde shows the name of a type in
//! the error for a value of the wrong type; an `expecting` attribute keeps a renamed type's former name there.

use super::{control, fleet, localities};
use crate::configuration::settings::{
    DEFAULT_CONNECT_TIMEOUT, DEFAULT_IDLE_CONNECTION_TIMEOUT, DEFAULT_MAX_BODY_MB, DEFAULT_MAX_OPEN_REQUESTS,
    DEFAULT_MAX_SOCKETS, DEFAULT_MEMORY_MB,
};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The complete configuration file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    pub name: String,
    pub listen: SocketAddr,
    pub seed: Option<u64>,
    #[serde(default = "one_zone")]
    pub zones: Vec<String>,
    pub zone: Option<String>,
    #[serde(default)]
    pub tier: u32,
    #[serde(rename = "copies", default = "one")]
    pub replicas: u32,
    #[serde(default)]
    pub ordinal: u32,
    /// The addresses for messages between replicas, indexed by ordinal.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    pub fleet: Option<fleet::FleetTable>,
    pub localities: Option<localities::LocalitiesTable>,
    pub control: Option<control::ControlTable>,
    #[serde(rename = "cost_header")]
    pub work_header: Option<String>,
    #[serde(rename = "learnt")]
    pub statistics_file: Option<PathBuf>,
    pub console: Option<SocketAddr>,
    #[serde(rename = "state")]
    pub state_folder: Option<PathBuf>,
    pub discovery: Option<DiscoveryTable>,
    #[serde(default)]
    pub servers: Vec<Server>,
    #[serde(rename = "verbs")]
    pub classes: Vec<ClassTable>,
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    #[serde(default)]
    pub limits: Limits,
    #[serde(default)]
    pub rules: Rules,
}

/// The discovery service from which the endpoint list is watched: the table `[discovery]`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Discovered")]
pub struct DiscoveryTable {
    pub address: SocketAddr,
    #[serde(rename = "begins", default)]
    pub watch_start: WatchStart,
}

/// When the watch of the endpoint list is opened.
#[derive(Deserialize, Default, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum WatchStart {
    /// At the start of the process.
    #[default]
    Automatic,
    /// When the decisions request it.
    Subscribe,
}

/// A server that is known at the start of the process: an entry of `[[servers]]`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    pub zone: Option<String>,
    #[serde(default)]
    pub cell: u32,
    #[serde(default = "full")]
    pub weight: f64,
}

/// Whether a request of a class may be retried.
#[derive(Clone, Copy, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum RetrySafety {
    #[serde(rename = "pure")]
    Idempotent,
    #[serde(rename = "receipted")]
    IdempotencyKeyed,
    #[serde(rename = "effectful")]
    NonIdempotent,
}

/// The group of servers that together recognize retries by their idempotency key.
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DedupScope {
    All,
    Zone,
    Cell,
}

/// A request class, identified by the first segment of the path: an entry of `[[verbs]]`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Verb")]
pub struct ClassTable {
    pub name: String,
    #[serde(rename = "repeats")]
    pub retry_safety: RetrySafety,
    #[serde(rename = "group")]
    pub dedup_scope: Option<DedupScope>,
    #[serde(rename = "memory", default, with = "humantime_serde")]
    pub dedup_window: Option<Duration>,
    #[serde(rename = "goal", with = "humantime_serde")]
    pub latency_objective: Duration,
    #[serde(rename = "limit", with = "humantime_serde")]
    pub time_limit: Duration,
    #[serde(rename = "utility", default = "full")]
    pub value: f64,
    #[serde(rename = "overdue_utility", default)]
    pub late_value: f64,
}

/// A client with a quota in requests per second: an entry of `[[tenants]]`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    pub name: String,
    pub quota: Option<f64>,
}

/// Bounds on the resources of the process: the table `[limits]`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    #[serde(rename = "sockets")]
    pub max_sockets: u64,
    pub memory_mb: u64,
    #[serde(rename = "body_mb")]
    pub max_body_mb: u64,
    #[serde(rename = "max_open")]
    pub max_open_requests: u64,
    #[serde(rename = "conn_idle", with = "humantime_serde")]
    pub idle_connection_timeout: Duration,
    #[serde(rename = "dial", with = "humantime_serde")]
    pub connect_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_sockets: DEFAULT_MAX_SOCKETS,
            memory_mb: DEFAULT_MEMORY_MB,
            max_body_mb: DEFAULT_MAX_BODY_MB,
            max_open_requests: DEFAULT_MAX_OPEN_REQUESTS,
            idle_connection_timeout: DEFAULT_IDLE_CONNECTION_TIMEOUT,
            connect_timeout: DEFAULT_CONNECT_TIMEOUT,
        }
    }
}

/// Settings of the decisions: the table `[rules]`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    #[serde(rename = "relays")]
    pub max_attempts: u32,
    #[serde(rename = "checks")]
    pub health_checks: bool,
    #[serde(rename = "cancel")]
    pub cancellation: bool,
    #[serde(rename = "parallel")]
    pub hedging: bool,
    #[serde(rename = "come_back", with = "humantime_serde")]
    pub max_retry_after: Duration,
    #[serde(rename = "cold_share")]
    pub slow_start_fraction: f64,
    #[serde(rename = "warm_after", with = "humantime_serde")]
    pub slow_start_duration: Duration,
    #[serde(rename = "crossing")]
    pub cross_zone_cost: f64,
    #[serde(rename = "utility_by_work")]
    pub value_by_work: bool,
    #[serde(rename = "worst_verb")]
    pub worst_class_weight: f64,
    #[serde(rename = "check")]
    pub health_check_cost: f64,
    #[serde(rename = "peer")]
    pub peer_message_cost: f64,
    #[serde(rename = "connection")]
    pub connection_cost: f64,
    #[serde(rename = "checks_tell")]
    pub health_checks_report_load: bool,
    #[serde(rename = "beyond_quota")]
    pub over_quota_value: f64,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            max_attempts: 3,
            health_checks: true,
            cancellation: true,
            hedging: false,
            max_retry_after: Duration::from_secs(1),
            slow_start_fraction: 0.3,
            slow_start_duration: Duration::from_secs(8),
            cross_zone_cost: 0.0,
            value_by_work: false,
            worst_class_weight: 0.0,
            health_check_cost: 0.0,
            peer_message_cost: 0.0,
            connection_cost: 0.0,
            health_checks_report_load: false,
            over_quota_value: 1.0,
        }
    }
}

/// The default of the key `zones`.
fn one_zone() -> Vec<String> {
    vec!["a".into()]
}

/// The default of the key `copies`.
fn one() -> u32 {
    1
}

/// The default weight of a server and the default value of a response.
fn full() -> f64 {
    1.0
}
