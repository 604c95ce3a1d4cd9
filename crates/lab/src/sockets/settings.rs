//! A scenario as the configuration of a real sidecar, in the platform's form.

use crate::plan::{Repeats, Scenario, Verb};
use serde_json::{Value, json};
use std::net::SocketAddr;

/// What one sidecar is told beside the scenario.
pub struct Told<'a> {
    pub name: &'a str,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub known: Value,
    pub tier: usize,
    pub copies: usize,
    pub ordinal: usize,
    pub zone: usize,
    pub seed: u64,
    pub sockets: usize,
    pub memory_mb: usize,
}

fn micros(seconds: f64) -> u64 {
    (seconds * 1e6).round() as u64
}

fn verb(verb: &Verb) -> Value {
    let (effect, scope) = match verb.repeats {
        Repeats::Pure => ("idempotent", "all"),
        Repeats::ReceiptedAll => ("deduplicated", "all"),
        Repeats::ReceiptedZone => ("deduplicated", "zone"),
        Repeats::ReceiptedCell => ("deduplicated", "cell"),
        Repeats::Effectful => ("at_most_once", "all"),
    };
    json!({"Name": verb.name, "Effect": effect, "KeyScope": scope, "MemorySpan": micros(verb.memory),
        "TimeLimit": micros(verb.limit), "ResponseGoal": micros(verb.goal), "Utility": verb.utility,
        "OverdueUtility": verb.overdue_utility})
}

pub fn config_of(plan: &Scenario, told: &Told) -> Value {
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
        "limits": {"cores": 1.0, "memory_mb": told.memory_mb, "sockets": told.sockets}, "known": told.known,
        "settings": {"Balancers": told.copies, "Ordinal": told.ordinal, "Discovery": "automatic",
            "Localities": plan.zones, "MyZone": told.zone, "Tier": told.tier, "Resolution": 1000,
            "BeyondShareUtility": rules.beyond_quota,
            "Verbs": plan.verbs.iter().map(verb).collect::<Vec<_>>(),
            "Tenants": tenants.collect::<Vec<_>>(),
            "Costs": {"CrossZone": rules.crossing},
            "PolicyLimits": {"MayCancel": rules.cancel, "Probes": tier.checks, "MostRelays": rules.relays,
                "ConnIdle": micros(tier.connections.idle), "DialTimeout": micros(tier.connections.dial),
                "RetryAfter": rules.come_back > 0.0, "MaxRetryAfter": micros(rules.come_back),
                "MaxOpen": 20_000},
            "Rules": {"ColdShare": tier.cold.share, "Cold": micros(tier.cold.warm_after),
                "TipMultiple": tier.cold.multiple, "Fall": micros(tier.cold.window),
                "DrainGrace": micros(rules.grace), "AskEvery": 10_000_000, "AnswerSlack": 20_000}}})
}
