//! Checks of the operators' form. Their order is fixed, and only the first error is reported.

use super::schema::{ClassTable, File, RetrySafety, Server, Tenant};
use crate::configuration::class_limits::ClassLimits;
use crate::configuration::error::{BrokenRule, Problem, Refusal};
use crate::configuration::settings::{MIN_MEMORY_MB, MIN_SOCKETS};

const MAX_WEIGHT: f64 = 1e6;
const MAX_QUOTA: f64 = 1e9;

/// The first key whose value is refused; `None` if the file is valid.
pub fn first_refusal(file: &File) -> Option<Refusal> {
    lists(file)
        .or_else(|| optional_tables(file))
        .or_else(|| cost_header(file))
        .or_else(|| bounds(file))
        .or_else(|| {
            file.classes.iter().enumerate().find_map(|(index, class)| self::class(file, index, class))
        })
        .or_else(|| {
            file.servers.iter().enumerate().find_map(|(index, server)| self::server(file, index, server))
        })
        .or_else(|| {
            file.tenants.iter().enumerate().find_map(|(index, tenant)| self::tenant(file, index, tenant))
        })
}

fn refuse(key: impl Into<String>, problem: impl Into<Problem>) -> Option<Refusal> {
    Some(Refusal::new(key, problem))
}

fn at_most(key: &str, value: f64, maximum: f64) -> Option<Refusal> {
    let is_valid = value.is_finite() && (0.0..=maximum).contains(&value);
    if is_valid { None } else { refuse(key, Problem::OutsideRange { value, maximum }) }
}

fn at_least(key: &str, value: u64, minimum: u64) -> Option<Refusal> {
    if value >= minimum { None } else { refuse(key, Problem::BelowMinimum { value, minimum }) }
}

/// Checks the lists of zones, request classes, servers and peers.
fn lists(file: &File) -> Option<Refusal> {
    if let Some(zone) = file.zone.as_ref().filter(|zone| !file.zones.contains(zone)) {
        return refuse("zone", Problem::UnknownZone(zone.clone()));
    }
    if file.zones.is_empty() {
        return refuse("zones", BrokenRule::AtLeastOne);
    }
    if file.classes.is_empty() {
        return refuse("verbs", BrokenRule::AtLeastOne);
    }
    if file.discovery.is_none() && file.servers.is_empty() {
        return refuse("servers", BrokenRule::ServersWithoutDiscovery);
    }
    let replicas = file.replicas as usize;
    if !file.peers.is_empty() && (file.peers.len() != replicas || file.ordinal >= file.replicas) {
        return refuse("peers", Problem::PeerCount { addresses: file.peers.len(), copies: replicas });
    }
    None
}

fn optional_tables(file: &File) -> Option<Refusal> {
    let own_peer = file.peers.get(file.ordinal as usize);
    let fleet = || file.fleet.as_ref()?.first_refusal(&file.peers, own_peer);
    let localities = || file.localities.as_ref()?.first_refusal(file.fleet.is_some(), &file.zones);
    let control = || file.control.as_ref()?.first_refusal(&file.name);
    fleet().or_else(localities).or_else(control)
}

fn cost_header(file: &File) -> Option<Refusal> {
    let name = file.work_header.as_ref()?;
    let is_invalid = name.is_empty() || name.contains([':', ' ']);
    if is_invalid { refuse("cost_header", BrokenRule::HeaderName) } else { None }
}

fn bounds(file: &File) -> Option<Refusal> {
    at_least("limits.sockets", file.limits.max_sockets, MIN_SOCKETS)
        .or_else(|| at_least("limits.memory_mb", file.limits.memory_mb, MIN_MEMORY_MB))
        .or_else(|| at_least("limits.body_mb", file.limits.max_body_mb, 1))
        .or_else(|| at_least("limits.max_open", file.limits.max_open_requests, 1))
        .or_else(|| at_least("copies", u64::from(file.replicas), 1))
        .or_else(|| at_least("rules.relays", u64::from(file.rules.max_attempts), 1))
        .or_else(|| at_most("rules.cold_share", file.rules.slow_start_fraction, 1.0))
        .or_else(|| at_most("rules.crossing", file.rules.cross_zone_cost, 1.0))
        .or_else(|| at_most("rules.worst_verb", file.rules.worst_class_weight, 1.0))
        .or_else(|| at_most("rules.check", file.rules.health_check_cost, 1.0))
        .or_else(|| at_most("rules.connection", file.rules.connection_cost, 1.0))
        .or_else(|| at_most("rules.peer", file.rules.peer_message_cost, 1.0))
        .or_else(|| at_most("rules.beyond_quota", file.rules.over_quota_value, 1.0))
}

fn class(file: &File, index: usize, class: &ClassTable) -> Option<Refusal> {
    let key = |field: &str| format!("verbs.{index}.{field}");
    let is_path_segment = !class.name.is_empty() && !class.name.contains(['/', '?', ' ']);
    if !is_path_segment || file.classes[..index].iter().any(|other| other.name == class.name) {
        return refuse(key("name"), Problem::ClassName(class.name.clone()));
    }
    let limits = ClassLimits {
        latency_objective: class.latency_objective,
        time_limit: class.time_limit,
        value: class.value,
        late_value: class.late_value,
    };
    if let Some(refusal) = limits.refusal() {
        return refuse(key(refusal.keys[0]), refusal.problem);
    }
    let is_keyed = class.retry_safety == RetrySafety::IdempotencyKeyed;
    if is_keyed && (class.dedup_scope.is_none() || class.dedup_window.is_none()) {
        let missing = if class.dedup_scope.is_none() { "group" } else { "memory" };
        return refuse(key(missing), BrokenRule::NeededForIdempotencyKeys);
    }
    if !is_keyed && (class.dedup_scope.is_some() || class.dedup_window.is_some()) {
        let unexpected = if class.dedup_scope.is_some() { "group" } else { "memory" };
        return refuse(key(unexpected), BrokenRule::OnlyForIdempotencyKeys);
    }
    None
}

fn server(file: &File, index: usize, server: &Server) -> Option<Refusal> {
    let key = |field: &str| format!("servers.{index}.{field}");
    if server.id.is_empty() || file.servers[..index].iter().any(|other| other.id == server.id) {
        return refuse(key("id"), Problem::ServerId(server.id.clone()));
    }
    if let Some(zone) = server.zone.as_ref().filter(|zone| !file.zones.contains(zone)) {
        return refuse(key("zone"), Problem::UnknownZone(zone.clone()));
    }
    at_most(&key("weight"), server.weight, MAX_WEIGHT)
}

fn tenant(file: &File, index: usize, tenant: &Tenant) -> Option<Refusal> {
    if file.tenants[..index].iter().any(|other| other.name == tenant.name) {
        return refuse(format!("tenants.{index}.name"), Problem::Duplicate(tenant.name.clone()));
    }
    tenant.quota.and_then(|quota| at_most(&format!("tenants.{index}.quota"), quota, MAX_QUOTA))
}
