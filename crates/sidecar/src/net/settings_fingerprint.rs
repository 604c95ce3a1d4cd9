//! The fingerprint of the settings that learned statistics depend on.
//!
//! Settings are written in a fixed order under the keys of `docs/operators.md`, independent of names in the code, and
//! hashed with FNV-1a, whose result is the same on every platform and compiler. The keys, their order and the encoding
//! of each value are part of a stored format.

use crate::configuration::Configuration;
use landingspread_decisions::settings::{DedupScope, RequestClass, RetrySafety};
use std::time::Duration;

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// The fingerprint of the tier, the request classes, the tenants and the policy rules, as 16 hexadecimal digits.
pub fn settings_fingerprint(configuration: &Configuration) -> String {
    let (mut text, policy) = (SettingsText::default(), &configuration.policy);
    text.number("tier", policy.tier);
    text.number("verbs", configuration.classes.len());
    for (named, class) in configuration.classes.iter().zip(&policy.classes) {
        write_class(&mut text, &named.name, class);
    }
    text.number("tenants", configuration.tenants.len());
    for (name, quota) in configuration.tenants.iter().zip(&policy.quotas) {
        text.name("tenants.name", name);
        text.float("tenants.quota", *quota);
    }
    text.flag("rules.checks", policy.capabilities.health_checks);
    text.flag("rules.cancel", policy.capabilities.cancellation);
    text.flag("rules.parallel", policy.capabilities.hedging);
    text.flag("peers", policy.capabilities.peer_messages);
    text.number("rules.relays", policy.capabilities.max_attempts);
    text.duration("rules.come_back", policy.capabilities.max_retry_after.unwrap_or(Duration::ZERO));
    text.float("rules.cold_share", policy.slow_start.initial_fraction);
    text.duration("rules.warm_after", policy.slow_start.duration);
    text.float("rules.tip_multiple", policy.slow_start.overload_multiple);
    text.duration("rules.fall", policy.slow_start.overload_window);
    text.float("rules.crossing", policy.costs.cross_zone);
    text.float("rules.check", policy.costs.health_check);
    text.float("rules.peer", policy.costs.peer_message);
    text.float("rules.connection", policy.costs.connection);
    format!("{:016x}", fnv1a(text.0.as_bytes()))
}

fn write_class(text: &mut SettingsText, name: &str, class: &RequestClass) {
    let (repeats, group) = match class.retry_safety {
        RetrySafety::Idempotent => ("pure", "none"),
        RetrySafety::IdempotencyKeyed(DedupScope::All) => ("receipted", "all"),
        RetrySafety::IdempotencyKeyed(DedupScope::Zone) => ("receipted", "zone"),
        RetrySafety::IdempotencyKeyed(DedupScope::Cell) => ("receipted", "cell"),
        RetrySafety::NonIdempotent => ("effectful", "none"),
    };
    text.name("verbs.name", name);
    text.name("verbs.repeats", repeats);
    text.name("verbs.group", group);
    text.duration("verbs.memory", class.dedup_window);
    text.duration("verbs.goal", class.latency_objective);
    text.duration("verbs.limit", class.time_limit);
    text.float("verbs.utility", class.value);
    text.float("verbs.overdue_utility", class.late_value);
}

/// The settings as lines of `key=value`, with each value encoded so that different values give different texts.
#[derive(Default)]
struct SettingsText(String);

impl SettingsText {
    fn line(&mut self, key: &str, value: &str) {
        self.0.push_str(key);
        self.0.push('=');
        self.0.push_str(value);
        self.0.push('\n');
    }

    /// Writes the length before the text, so that no name can imitate the lines that follow it.
    fn name(&mut self, key: &str, value: &str) {
        self.line(key, &format!("{}:{value}", value.len()));
    }

    fn number(&mut self, key: &str, value: impl std::fmt::Display) {
        self.line(key, &value.to_string());
    }

    fn flag(&mut self, key: &str, value: bool) {
        self.line(key, if value { "true" } else { "false" });
    }

    fn duration(&mut self, key: &str, value: Duration) {
        self.line(key, &format!("{}ns", value.as_nanos()));
    }

    /// Writes the bits of the value: the decimal text of a float may change with the standard library.
    fn float(&mut self, key: &str, value: f64) {
        self.line(key, &format!("{:016x}", value.to_bits()));
    }
}

fn fnv1a(bytes: &[u8]) -> u64 {
    bytes.iter().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}
