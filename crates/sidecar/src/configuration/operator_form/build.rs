//! Turns a checked file of the operators' form into a [`Configuration`].

use super::schema::{File, Group, Repeats, Server, Verb, WatchStart};
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

/// A server that is warming up and has this multiple of its load within the window is overloaded.
const OVERLOAD_MULTIPLE: f64 = 3.0;
const OVERLOAD_WINDOW: Duration = Duration::from_secs(2);

/// The configuration of a file in which no key was refused.
pub fn configuration(mut file: File, inherited_listener: Option<RawFd>) -> Configuration {
    let own_peer = file.peers.get(file.ordinal as usize).copied();
    let own_zone = file.zone.as_ref().or(file.zones.first()).cloned().unwrap_or_default();
    let fleet = file.fleet.take();
    let fleet = fleet.and_then(|table| table.checked(&file.peers, own_peer.as_ref(), &own_zone, file.copies));
    Configuration {
        listen: file.listen,
        discovery: file.discovery.as_ref().map(|discovery| discovery.address),
        // Two sidecars that start together must not draw alike.
        seed: file.seed.unwrap_or_else(|| RandomState::new().hash_one(std::process::id())),
        max_sockets: file.limits.sockets as usize,
        memory_mb: file.limits.memory_mb as usize,
        clock: Clock::start(),
        initial_catalog: initial_servers(&file),
        classes: file.verbs.iter().map(request_class).collect(),
        tenants: file.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
        idle_connection_timeout: file.limits.conn_idle,
        connect_timeout: file.limits.dial_timeout,
        max_open_requests: file.limits.max_open as usize,
        policy: policy(&file),
        fleet,
        localities: file.localities.map(localities::LocalitiesTable::checked),
        control: file.control.map(control::ControlTable::checked),
        peers: file.peers,
        work_header: file.cost_header,
        statistics_file: file.statistics_file,
        console: file.console,
        inherited_listener,
        state_folder: file.state_folder,
        name: file.name,
        zones: file.zones,
    }
}

/// The number of a zone; that of the first where none is named.
fn zone_number(file: &File, name: Option<&String>) -> u32 {
    let place = name.and_then(|name| file.zones.iter().position(|zone| zone == name));
    place.unwrap_or(0) as u32
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

/// What the front has to know of a verb.
fn request_class(verb: &Verb) -> RequestClass {
    RequestClass {
        name: verb.name.clone(),
        method: if verb.repeats == Repeats::Idempotent { "GET" } else { "POST" },
        idempotency_keyed: verb.repeats == Repeats::IdempotencyKeyed,
        time_limit: verb.limit,
    }
}

/// The settings of the decisions.
fn policy(file: &File) -> Settings {
    let rules = &file.rules;
    Settings {
        replicas: f64::from(file.copies),
        max_live_replicas: f64::from(file.copies),
        ordinal: file.ordinal,
        tier: file.tier,
        idle_connection_timeout: file.limits.conn_idle,
        zone: zone_number(file, file.zone.as_ref()),
        polls_discovery: file
            .discovery
            .as_ref()
            .is_some_and(|discovery| discovery.begins == WatchStart::Subscribe),
        poll_interval: Duration::MAX,
        timer_resolution: Duration::ZERO,
        value_by_work: rules.utility_by_work,
        over_quota_value: rules.beyond_quota,
        quotas: file.tenants.iter().map(|tenant| tenant.quota.unwrap_or(f64::MAX)).collect(),
        classes: file.verbs.iter().map(policy_class).collect(),
        capabilities: Capabilities {
            health_checks: rules.checks,
            cancellation: rules.cancel,
            hedging: rules.parallel,
            peer_messages: !file.peers.is_empty(),
            max_attempts: rules.relays,
            max_retry_after: Some(rules.come_back).filter(|most| !most.is_zero()),
        },
        slow_start: SlowStart {
            initial_fraction: rules.cold_share,
            duration: rules.warm_after,
            overload_multiple: OVERLOAD_MULTIPLE,
            overload_window: OVERLOAD_WINDOW,
        },
        costs: Costs {
            cross_zone: rules.crossing,
            health_check: rules.check,
            peer_message: rules.peer,
            connection: rules.connection,
        },
        health_checks_report_load: rules.checks_tell,
        objective: ObjectiveWeights { worst_class: rules.worst_verb },
    }
}

/// What the decisions have to know of a verb.
fn policy_class(verb: &Verb) -> settings::RequestClass {
    let group = match verb.group {
        None | Some(Group::All) => DedupScope::All,
        Some(Group::Zone) => DedupScope::Zone,
        Some(Group::Cell) => DedupScope::Cell,
    };
    settings::RequestClass {
        retry_safety: match verb.repeats {
            Repeats::Idempotent => RetrySafety::Idempotent,
            Repeats::IdempotencyKeyed => RetrySafety::IdempotencyKeyed(group),
            Repeats::NonIdempotent => RetrySafety::NonIdempotent,
        },
        dedup_window: verb.memory.unwrap_or_default(),
        latency_objective: verb.goal,
        time_limit: verb.limit,
        value: verb.utility,
        late_value: verb.overdue_utility,
    }
}
