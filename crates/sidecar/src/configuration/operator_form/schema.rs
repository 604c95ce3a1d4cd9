//! The tables and keys of the operators' form, with their defaults.
//!
//! Field names, and names of variants in snake case, are keys of the file unless `rename` says otherwise. Serde shows
//! the name of a type in the error for a value of a wrong type: `expecting` keeps that text where a type was renamed.

use super::{control, fleet, localities};
use crate::configuration::settings::{
    DEFAULT_CONNECT_TIMEOUT, DEFAULT_IDLE_CONNECTION_TIMEOUT, DEFAULT_MAX_OPEN_REQUESTS, DEFAULT_MAX_SOCKETS,
    DEFAULT_MEMORY_MB,
};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The whole file.
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
    #[serde(default = "one")]
    pub copies: u32,
    #[serde(default)]
    pub ordinal: u32,
    /// Every copy's address for messages between copies, by its ordinal.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    pub fleet: Option<fleet::FleetTable>,
    pub localities: Option<localities::LocalitiesTable>,
    pub control: Option<control::ControlTable>,
    pub cost_header: Option<String>,
    #[serde(rename = "learnt")]
    pub statistics_file: Option<PathBuf>,
    pub console: Option<SocketAddr>,
    #[serde(rename = "state")]
    pub state_folder: Option<PathBuf>,
    pub discovery: Option<DiscoveryTable>,
    #[serde(default)]
    pub servers: Vec<Server>,
    pub verbs: Vec<Verb>,
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    #[serde(default)]
    pub limits: Limits,
    #[serde(default)]
    pub rules: Rules,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Discovered")]
pub struct DiscoveryTable {
    pub address: SocketAddr,
    #[serde(default)]
    pub begins: WatchStart,
}

/// When the watch of discovery is opened.
#[derive(Deserialize, Default, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum WatchStart {
    /// At the start of the process.
    #[default]
    Automatic,
    /// Once the decisions ask for it.
    Subscribe,
}

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

/// Whether a request may be sent again, by the key `repeats`.
#[derive(Clone, Copy, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum Repeats {
    #[serde(rename = "pure")]
    Idempotent,
    #[serde(rename = "receipted")]
    IdempotencyKeyed,
    #[serde(rename = "effectful")]
    NonIdempotent,
}

/// Among which servers repeats of one idempotency key are recognized, by the key `group`.
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Group {
    All,
    Zone,
    Cell,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Verb {
    pub name: String,
    pub repeats: Repeats,
    pub group: Option<Group>,
    #[serde(default, with = "humantime_serde")]
    pub memory: Option<Duration>,
    #[serde(with = "humantime_serde")]
    pub goal: Duration,
    #[serde(with = "humantime_serde")]
    pub limit: Duration,
    #[serde(default = "full")]
    pub utility: f64,
    #[serde(default)]
    pub overdue_utility: f64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    pub name: String,
    pub quota: Option<f64>,
}

/// Bounds of what the process takes of the machine.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    pub sockets: u64,
    pub memory_mb: u64,
    pub max_open: u64,
    #[serde(with = "humantime_serde")]
    pub conn_idle: Duration,
    #[serde(rename = "dial", with = "humantime_serde")]
    pub dial_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            sockets: DEFAULT_MAX_SOCKETS,
            memory_mb: DEFAULT_MEMORY_MB,
            max_open: DEFAULT_MAX_OPEN_REQUESTS,
            conn_idle: DEFAULT_IDLE_CONNECTION_TIMEOUT,
            dial_timeout: DEFAULT_CONNECT_TIMEOUT,
        }
    }
}

/// What the decisions go by.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    pub relays: u32,
    pub checks: bool,
    pub cancel: bool,
    pub parallel: bool,
    #[serde(with = "humantime_serde")]
    pub come_back: Duration,
    pub cold_share: f64,
    #[serde(with = "humantime_serde")]
    pub warm_after: Duration,
    pub crossing: f64,
    pub utility_by_work: bool,
    pub worst_verb: f64,
    pub check: f64,
    pub peer: f64,
    pub connection: f64,
    pub checks_tell: bool,
    pub beyond_quota: f64,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            relays: 3,
            checks: true,
            cancel: true,
            parallel: false,
            come_back: Duration::from_secs(1),
            cold_share: 0.3,
            warm_after: Duration::from_secs(8),
            crossing: 0.0,
            utility_by_work: false,
            worst_verb: 0.0,
            check: 0.0,
            peer: 0.0,
            connection: 0.0,
            checks_tell: false,
            beyond_quota: 1.0,
        }
    }
}

fn one_zone() -> Vec<String> {
    vec!["a".into()]
}

fn one() -> u32 {
    1
}

fn full() -> f64 {
    1.0
}
