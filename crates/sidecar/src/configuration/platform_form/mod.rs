//! The platform's form of the configuration: a JSON file and the NODE_ variables. Owns the keys of this form with their
//! defaults and checks.

mod json;
mod pairs;

use super::environment::{Environment, NODE_CONSOLE, NODE_DISCOVERY, NODE_LISTEN, NODE_NAME, TMPDIR};
use super::error::{BrokenRule, ConfigError, Problem, at_key};
use super::settings::{
    Configuration, DEFAULT_CONNECT_TIMEOUT, DEFAULT_IDLE_CONNECTION_TIMEOUT, DEFAULT_MAX_BODY_MB,
    DEFAULT_MAX_OPEN_REQUESTS, DEFAULT_MAX_SOCKETS, DEFAULT_MEMORY_MB, MIN_MEMORY_MB, MIN_SOCKETS,
    RequestClass,
};
use crate::catalog::Catalog;
use crate::clock::Clock;
use json::{address_at, duration_at, items_at, names_at, number_at, optional_text_at, text_at, value_at};
use landingspread_decisions::settings::Settings;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Reads and checks a file in the platform's form.
pub fn read(path: &Path, environment: Environment) -> Result<Configuration, ConfigError> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| ConfigError::UnreadableFile { path: path.to_path_buf(), error })?;
    let root = serde_json::from_str(&text)
        .map_err(|error| ConfigError::NotJson { path: path.to_path_buf(), error })?;
    configuration(&root, environment)
}

fn configuration(root: &Value, environment: Environment) -> Result<Configuration, ConfigError> {
    let clock = Clock::start();
    let console = console(root, environment)?;
    let zones = names_at(root, "settings.Localities", None)?;
    let initial_catalog = initial_servers(root, &zones, &clock)?;
    let mut policy = policy(root)?;
    let peers = peers(root, &policy)?;
    // Without the addresses of other replicas no messages can be sent to them.
    policy.capabilities.peer_messages &= !peers.is_empty();
    Ok(Configuration {
        name: text_of(root, environment, NODE_NAME, "name")?,
        listen: address_of(root, environment, NODE_LISTEN, "listen")?,
        discovery: Some(address_of(root, environment, NODE_DISCOVERY, "discovery")?),
        seed: seed(root)?,
        max_sockets: number_at(root, "limits.sockets", DEFAULT_MAX_SOCKETS, MIN_SOCKETS)? as usize,
        memory_mb: number_at(root, "limits.memory_mb", DEFAULT_MEMORY_MB, MIN_MEMORY_MB)? as usize,
        max_body_mb: number_at(root, "limits.body_mb", DEFAULT_MAX_BODY_MB, 1)? as usize,
        clock,
        initial_catalog,
        zones,
        classes: classes(root)?,
        tenants: names_at(root, "settings.Tenants", Some("Name"))?,
        idle_connection_timeout: duration_at(
            root,
            "settings.PolicyLimits.ConnIdle",
            DEFAULT_IDLE_CONNECTION_TIMEOUT,
        )?,
        connect_timeout: duration_at(root, "settings.PolicyLimits.DialTimeout", DEFAULT_CONNECT_TIMEOUT)?,
        max_open_requests: number_at(root, "settings.PolicyLimits.MaxOpen", DEFAULT_MAX_OPEN_REQUESTS, 1)?
            as usize,
        policy,
        peers,
        // This form has no keys for the fleet, the control machines and the localities.
        fleet: None,
        control: None,
        localities: None,
        work_header: optional_text_at(root, "cost_header")?.map(str::to_string),
        statistics_file: optional_text_at(root, "learnt")?.map(Into::into),
        console,
        inherited_listener: environment.inherited_listener()?,
        // The platform gives each sidecar a private temporary folder.
        state_folder: environment.get(TMPDIR).map(Into::into),
    })
}

/// The value of a variable, or else the text at a key.
fn text_of(root: &Value, environment: Environment, variable: &str, key: &str) -> Result<String, ConfigError> {
    match environment.get(variable) {
        Some(text) => Ok(text),
        None => text_at(root, key).map(str::to_string),
    }
}

fn address_of(
    root: &Value,
    environment: Environment,
    variable: &str,
    key: &str,
) -> Result<SocketAddr, ConfigError> {
    let text = text_of(root, environment, variable, key)?;
    text.parse().map_err(|_| at_key(key, Problem::NotAnAddress(text)))
}

fn console(root: &Value, environment: Environment) -> Result<Option<SocketAddr>, ConfigError> {
    if environment.get(NODE_CONSOLE).is_none() && value_at(root, "console").is_none() {
        return Ok(None);
    }
    address_of(root, environment, NODE_CONSOLE, "console").map(Some)
}

fn initial_servers(root: &Value, zones: &[String], clock: &Clock) -> Result<Catalog, ConfigError> {
    let Some(known) = value_at(root, "known") else { return Ok(Catalog::default()) };
    Catalog::parse(known, zones, clock).map_err(|error| at_key("known", Problem::InitialServers(error)))
}

fn policy(root: &Value) -> Result<Settings, ConfigError> {
    let settings = value_at(root, "settings").ok_or_else(|| at_key("settings", BrokenRule::KeyRequired))?;
    Settings::decode(&pairs::flattened(settings)).map_err(ConfigError::PlatformSettings)
}

/// The seed in hexadecimal digits. Any other text is hashed into a seed.
fn seed(root: &Value) -> Result<u64, ConfigError> {
    let text = text_at(root, "seed")?;
    Ok(u64::from_str_radix(text, 16).unwrap_or_else(|_| fnv1(text.as_bytes())))
}

fn fnv1(bytes: &[u8]) -> u64 {
    bytes.iter().fold(FNV_OFFSET_BASIS, |hash, byte| hash.wrapping_mul(FNV_PRIME) ^ u64::from(*byte))
}

fn peers(root: &Value, policy: &Settings) -> Result<Vec<SocketAddr>, ConfigError> {
    let items = items_at(root, "peers")?.iter().enumerate();
    let peers: Vec<SocketAddr> =
        items.map(|(index, item)| address_at(&format!("peers.{index}"), item)).collect::<Result<_, _>>()?;
    let replicas = policy.replicas as usize;
    if !peers.is_empty() && (peers.len() != replicas || policy.ordinal as usize >= replicas) {
        return Err(at_key("peers", Problem::PeerCount { addresses: peers.len(), copies: replicas }));
    }
    Ok(peers)
}

fn classes(root: &Value) -> Result<Vec<RequestClass>, ConfigError> {
    (0..items_at(root, "settings.Verbs")?.len()).map(|index| class(root, index)).collect()
}

fn class(root: &Value, index: usize) -> Result<RequestClass, ConfigError> {
    let key = |field: &str| format!("settings.Verbs.{index}.{field}");
    let effect = text_at(root, &key("Effect"))?;
    Ok(RequestClass {
        name: text_at(root, &key("Name"))?.to_string(),
        time_limit: duration_at(root, &key("TimeLimit"), Duration::ZERO)?,
        method: if effect == "idempotent" { "GET" } else { "POST" },
        idempotency_keyed: effect == "deduplicated",
    })
}
