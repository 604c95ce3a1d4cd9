//! The configuration of a real sidecar for a scenario, in the platform's form.

use crate::plan::{RequestClass, RetrySafety, Scenario};
use serde_json::{Value, json};
use std::net::SocketAddr;

/// Parameters of one sidecar's configuration that are not part of the scenario.
pub struct SidecarParameters<'a> {
    /// Name of the sidecar.
    pub name: &'a str,
    /// Address that the sidecar listens at.
    pub listen: SocketAddr,
    /// Address of the discovery.
    pub discovery: SocketAddr,
    /// Endpoint list that the sidecar starts with.
    pub initial_endpoints: Value,
    /// Index of the tier of servers behind the sidecar.
    pub tier: usize,
    /// Number of replicas in front of the tier.
    pub replicas: usize,
    /// Number of this replica, from 0.
    pub ordinal: usize,
    /// Index of the replica's zone.
    pub zone: usize,
    /// Seed of the sidecar's random choices.
    pub seed: u64,
    /// Limit of open sockets.
    pub sockets: usize,
    /// Memory limit in megabytes.
    pub memory_mb: usize,
}

fn micros(seconds: f64) -> u64 {
    (seconds * 1e6).round() as u64
}

fn request_class_settings(class: &RequestClass) -> Value {
    let (effect, scope) = match class.retry_safety {
        RetrySafety::Idempotent => ("idempotent", "all"),
        RetrySafety::KeyedEverywhere => ("deduplicated", "all"),
        RetrySafety::KeyedInZone => ("deduplicated", "zone"),
        RetrySafety::KeyedInCell => ("deduplicated", "cell"),
        RetrySafety::NonIdempotent => ("at_most_once", "all"),
    };
    json!({"Name": class.name, "Effect": effect, "KeyScope": scope, "MemorySpan": micros(class.dedup_window),
        "TimeLimit": micros(class.time_limit), "ResponseGoal": micros(class.latency_objective), "Utility": class.utility,
        "OverdueUtility": class.late_utility})
}

/// The configuration of one sidecar of this scenario.
pub fn sidecar_config(plan: &Scenario, parameters: &SidecarParameters) -> Value {
    let (rules, tier) = (&plan.rules, &plan.tiers[parameters.tier]);
    let total_share: f64 = plan.tenants.iter().map(|tenant| tenant.share).sum();
    let tenants = plan.tenants.iter().map(|tenant| {
        let mut value = json!({"Name": tenant.name, "Share": tenant.share / total_share.max(1e-9)});
        if let Some(quota) = tenant.quota {
            value["QuotaRps"] = json!(quota);
        }
        value
    });
    json!({"name": parameters.name, "listen": parameters.listen.to_string(),
        "discovery": parameters.discovery.to_string(),
        "seed": format!("{:x}", parameters.seed),
        "limits": {"cores": 1.0, "memory_mb": parameters.memory_mb, "sockets": parameters.sockets},
        "known": parameters.initial_endpoints,
        "settings": {"Balancers": parameters.replicas, "Ordinal": parameters.ordinal, "Discovery": "automatic",
            "Localities": plan.zones, "MyZone": parameters.zone, "Tier": parameters.tier, "Resolution": 1000,
            "BeyondShareUtility": rules.over_quota_value,
            "Verbs": plan.request_classes.iter().map(request_class_settings).collect::<Vec<_>>(),
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
