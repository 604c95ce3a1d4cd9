//! A scenario as the configuration of a real sidecar, in the platform's form.

use crate::plan::{RequestClass, RetrySafety, Scenario};
use serde_json::{Value, json};
use std::net::SocketAddr;

/// What one sidecar is told beside the scenario.
pub struct SidecarParameters<'a> {
    pub name: &'a str,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub initial_endpoints: Value,
    pub tier: usize,
    pub replicas: usize,
    pub ordinal: usize,
    pub zone: usize,
    pub seed: u64,
    pub sockets: usize,
    pub memory_mb: usize,
}

fn micros(seconds: f64) -> u64 {
    (seconds * 1e6).round() as u64
}

fn verb(verb: &RequestClass) -> Value {
    let (effect, scope) = match verb.retry_safety {
        RetrySafety::Idempotent => ("idempotent", "all"),
        RetrySafety::KeyedEverywhere => ("deduplicated", "all"),
        RetrySafety::KeyedInZone => ("deduplicated", "zone"),
        RetrySafety::KeyedInCell => ("deduplicated", "cell"),
        RetrySafety::NonIdempotent => ("at_most_once", "all"),
    };
    json!({"Name": verb.name, "Effect": effect, "KeyScope": scope, "MemorySpan": micros(verb.dedup_window),
        "TimeLimit": micros(verb.time_limit), "ResponseGoal": micros(verb.latency_objective), "Utility": verb.utility,
        "OverdueUtility": verb.late_utility})
}

pub fn sidecar_config(plan: &Scenario, told: &SidecarParameters) -> Value {
    let (rules, tier) = (&plan.rules, &plan.tiers[told.tier]);
    let all: f64 = plan.tenants.iter().map(|tenant| tenant.share).sum();
    let tenants = plan.tenants.iter().map(|tenant| {
        let mut value = json!({"Name": tenant.name, "Share": tenant.share / all.max(1e-9)});
        if let Some(quota) = tenant.quota {
            value["QuotaRps"] = json!(quota);
        }
        value
    });
    json!({"name": told.name, "listen": told.listen.to_string(), "discovery": told.discovery.to_string(),
        "seed": format!("{:x}", told.seed),
        "limits": {"cores": 1.0, "memory_mb": told.memory_mb, "sockets": told.sockets}, "known": told.initial_endpoints,
        "settings": {"Balancers": told.replicas, "Ordinal": told.ordinal, "Discovery": "automatic",
            "Localities": plan.zones, "MyZone": told.zone, "Tier": told.tier, "Resolution": 1000,
            "BeyondShareUtility": rules.over_quota_value,
            "Verbs": plan.request_classes.iter().map(verb).collect::<Vec<_>>(),
            "Tenants": tenants.collect::<Vec<_>>(),
            "Costs": {"CrossZone": rules.cross_zone_cost},
            "PolicyLimits": {"MayCancel": rules.cancellation, "Probes": tier.health_checks, "MostRelays": rules.max_attempts,
                "ConnIdle": micros(tier.connections.idle_timeout), "DialTimeout": micros(tier.connections.connect_timeout),
                "RetryAfter": rules.max_retry_after > 0.0, "MaxRetryAfter": micros(rules.max_retry_after),
                "MaxOpen": 20_000},
            "Rules": {"ColdShare": tier.cold_start.initial_fraction, "Cold": micros(tier.cold_start.warmup),
                "TipMultiple": tier.cold_start.overload_multiple, "Fall": micros(tier.cold_start.overload_window),
                "DrainGrace": micros(rules.removal_grace), "AskEvery": 10_000_000, "AnswerSlack": 20_000}}})
}
