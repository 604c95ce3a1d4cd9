//! The fingerprint by which earlier releases identify a deployment in the statistics file, used before the fingerprint
//! was computed over named settings.
//!
//! The legacy fingerprint hashes the debug text of the checked settings, including names of types and fields. This
//! module spells these texts out as literals, so that files of earlier releases are still recognized after the types
//! are renamed. Nothing here may follow a rename: every literal is part of a stored format.

use crate::configuration::Configuration;
use landingspread_decisions::settings::{
    Capabilities, Costs, DedupScope, RequestClass, RetrySafety, SlowStart,
};
use std::hash::{DefaultHasher, Hash, Hasher};

/// The identity of a deployment as earlier releases wrote it into the statistics file.
pub fn deployment(configuration: &Configuration) -> String {
    let names: Vec<&str> = configuration.classes.iter().map(|class| class.name.as_str()).collect();
    let mut hasher = DefaultHasher::new();
    debug_text(configuration).hash(&mut hasher);
    format!("tier {} of {}, set as {:016x}", configuration.policy.tier, names.join(" "), hasher.finish())
}

fn debug_text(configuration: &Configuration) -> String {
    let policy = &configuration.policy;
    let classes: Vec<String> = policy.classes.iter().map(class).collect();
    format!(
        "[{}] {:?} {:?} {} {} {}",
        classes.join(", "),
        configuration.tenants,
        policy.quotas,
        capabilities(&policy.capabilities),
        slow_start(&policy.slow_start),
        costs(&policy.costs)
    )
}

fn class(class: &RequestClass) -> String {
    let RequestClass {
        retry_safety: kind,
        dedup_window: memory,
        latency_objective: goal,
        time_limit: limit,
        value: utility,
        late_value: overdue_utility,
    } = class;
    let kind = retry_safety(*kind);
    format!(
        "Verb {{ repeats: {kind}, memory: {memory:?}, goal: {goal:?}, limit: {limit:?}, utility: {utility:?}, \
         overdue_utility: {overdue_utility:?} }}"
    )
}

fn retry_safety(retry_safety: RetrySafety) -> &'static str {
    match retry_safety {
        RetrySafety::Idempotent => "Pure",
        RetrySafety::IdempotencyKeyed(DedupScope::All) => "Receipted(All)",
        RetrySafety::IdempotencyKeyed(DedupScope::Zone) => "Receipted(Zone)",
        RetrySafety::IdempotencyKeyed(DedupScope::Cell) => "Receipted(Cell)",
        RetrySafety::NonIdempotent => "Effectful",
    }
}

fn capabilities(capabilities: &Capabilities) -> String {
    let Capabilities {
        health_checks: checks,
        cancellation: cancel,
        hedging: parallel,
        peer_messages: peers,
        max_attempts: relays,
        max_retry_after: come_back,
    } = capabilities;
    format!(
        "Allowed {{ checks: {checks:?}, cancel: {cancel:?}, parallel: {parallel:?}, peers: {peers:?}, \
         relays: {relays:?}, come_back: {come_back:?} }}"
    )
}

fn slow_start(slow_start: &SlowStart) -> String {
    let SlowStart {
        initial_fraction: share,
        duration: warm_after,
        overload_multiple: multiple,
        overload_window: window,
    } = slow_start;
    format!(
        "ColdRule {{ share: {share:?}, warm_after: {warm_after:?}, multiple: {multiple:?}, window: {window:?} }}"
    )
}

fn costs(costs: &Costs) -> String {
    let Costs { cross_zone: crossing, health_check: check, peer_message: peer, connection } = costs;
    format!(
        "Prices {{ crossing: {crossing:?}, check: {check:?}, peer: {peer:?}, connection: {connection:?} }}"
    )
}
