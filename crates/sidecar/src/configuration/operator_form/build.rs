//! Converts a checked file of the operators' form into a [`Configuration`].

use super::schema::{self, ClassTable, File, Rules, Server, WatchStart};
use super::{control, localities};
use crate::catalog::{Catalog, CatalogEntry};
use crate::clock::Clock;
use crate::configuration::settings::{Configuration, RequestClass};
use landingspread_decisions::host::{Lifecycle, ListedServer};
use landingspread_decisions::settings::{
    self, Capabilities, Costs, DedupScope, ObjectiveWeights, RetrySafety, Settings, SlowStart,
};
use std::hash::{BuildHasher, RandomState};
use std::os::fd::RawFd;
use std::time::Duration;

/// A server in slow start crashes if its load exceeds this multiple of its current capacity for [`OVERLOAD_WINDOW`].
const OVERLOAD_MULTIPLE: f64 = 3.0;
const OVERLOAD_WINDOW: Duration = Duration::from_secs(2);

/// Builds the configuration from a file in which no key was refused.
pub fn configuration(mut file: File, inherited_listener: Option<RawFd>) -> Configuration {
    let own_peer = file.peers.get(file.ordinal as usize).copied();
    let own_zone = file.zone.as_ref().or(file.zones.first()).cloned().unwrap_or_default();
    let fleet = file.fleet.take();
    let fleet =
        fleet.and_then(|table| table.checked(&file.peers, own_peer.as_ref(), &own_zone, file.replicas));
    Configuration {
        listen: file.listen,
        discovery: file.discovery.as_ref().map(|discovery| discovery.address),
        // Sidecars that start at the same time must not draw the same random numbers.
        seed: file.seed.unwrap_or_else(|| RandomState::new().hash_one(std::process::id())),
        max_sockets: file.limits.max_sockets as usize,
        memory_mb: file.limits.memory_mb as usize,
        max_body_mb: file.limits.max_body_mb as usize,
        clock: Clock::start(),
        initial_catalog: initial_servers(&file),
        classes: file.classes.iter().map(request_class).collect(),
        tenants: file.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
        idle_connection_timeout: file.limits.idle_connection_timeout,
        connect_timeout: file.limits.connect_timeout,
        max_open_requests: file.limits.max_open_requests as usize,
        policy: policy(&file),
        fleet,
        localities: file.localities.map(localities::LocalitiesTable::checked),
        control: file.control.map(control::ControlTable::checked),
        peers: file.peers,
        work_header: file.work_header,
        statistics_file: file.statistics_file,
        console: file.console,
        inherited_listener,
        state_folder: file.state_folder,
        name: file.name,
        zones: file.zones,
    }
}

/// The number of the named zone, or of the first zone if none is named.
fn zone_number(file: &File, name: Option<&String>) -> u32 {
    let index = name.and_then(|name| file.zones.iter().position(|zone| zone == name));
    index.unwrap_or(0) as u32
}

fn initial_servers(file: &File) -> Catalog {
    let entry = |server: &Server| CatalogEntry {
        listed: ListedServer {
            server: server.id.as_str().into(),
            zone: zone_number(file, server.zone.as_ref()),
            cell: server.cell,
            lifecycle: Lifecycle::Ready,
            nominal_capacity: server.weight,
            started_at: None,
        },
        address: server.address,
    };
    Catalog { generation: 0, complete: true, entries: file.servers.iter().map(entry).collect() }
}

/// The settings of a class that the client side needs to parse requests.
fn request_class(class: &ClassTable) -> RequestClass {
    RequestClass {
        name: class.name.clone(),
        method: if class.retry_safety == schema::RetrySafety::Idempotent { "GET" } else { "POST" },
        idempotency_keyed: class.retry_safety == schema::RetrySafety::IdempotencyKeyed,
        time_limit: class.time_limit,
    }
}

/// The settings that the decisions use.
fn policy(file: &File) -> Settings {
    let rules = &file.rules;
    Settings {
        replicas: f64::from(file.replicas),
        max_live_replicas: f64::from(file.replicas),
        ordinal: file.ordinal,
        tier: file.tier,
        idle_connection_timeout: file.limits.idle_connection_timeout,
        zone: zone_number(file, file.zone.as_ref()),
        polls_discovery: file
            .discovery
            .as_ref()
            .is_some_and(|discovery| discovery.watch_start == WatchStart::Subscribe),
        poll_interval: Duration::MAX,
        timer_resolution: Duration::ZERO,
        value_by_work: rules.value_by_work,
        over_quota_value: rules.over_quota_value,
        quotas: file.tenants.iter().map(|tenant| tenant.quota.unwrap_or(f64::MAX)).collect(),
        classes: file.classes.iter().map(policy_class).collect(),
        capabilities: capabilities(file),
        slow_start: slow_start(rules),
        costs: costs(rules),
        health_checks_report_load: rules.health_checks_report_load,
        objective: ObjectiveWeights { worst_class: rules.worst_class_weight },
    }
}

fn capabilities(file: &File) -> Capabilities {
    Capabilities {
        health_checks: file.rules.health_checks,
        cancellation: file.rules.cancellation,
        hedging: file.rules.hedging,
        peer_messages: !file.peers.is_empty(),
        max_attempts: file.rules.max_attempts,
        max_retry_after: Some(file.rules.max_retry_after).filter(|maximum| !maximum.is_zero()),
    }
}

fn slow_start(rules: &Rules) -> SlowStart {
    SlowStart {
        initial_fraction: rules.slow_start_fraction,
        duration: rules.slow_start_duration,
        overload_multiple: OVERLOAD_MULTIPLE,
        overload_window: OVERLOAD_WINDOW,
    }
}

fn costs(rules: &Rules) -> Costs {
    Costs {
        cross_zone: rules.cross_zone_cost,
        health_check: rules.health_check_cost,
        peer_message: rules.peer_message_cost,
        connection: rules.connection_cost,
    }
}

/// The settings of a class that the decisions use.
fn policy_class(class: &ClassTable) -> settings::RequestClass {
    let scope = match class.dedup_scope {
        None | Some(schema::DedupScope::All) => DedupScope::All,
        Some(schema::DedupScope::Zone) => DedupScope::Zone,
        Some(schema::DedupScope::Cell) => DedupScope::Cell,
    };
    settings::RequestClass {
        retry_safety: match class.retry_safety {
            schema::RetrySafety::Idempotent => RetrySafety::Idempotent,
            schema::RetrySafety::IdempotencyKeyed => RetrySafety::IdempotencyKeyed(scope),
            schema::RetrySafety::NonIdempotent => RetrySafety::NonIdempotent,
        },
        dedup_window: class.dedup_window.unwrap_or_default(),
        latency_objective: class.latency_objective,
        time_limit: class.time_limit,
        value: class.value,
        late_value: class.late_value,
    }
}
