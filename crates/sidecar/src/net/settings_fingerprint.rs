//! A fingerprint of the settings that give learned statistics their meaning.
//!
//! Settings are written in a stated order under the keys of `docs/operators.md`, whatever the code calls them, and
//! hashed by FNV-1a, whose result is the same on every platform and compiler. The keys, their order and the encoding
//! of each value are part of a stored format.

use crate::configuration::Configuration;
use landingspread_decisions::settings::{DedupScope, RequestClass, RetrySafety};
use std::time::Duration;

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// The fingerprint of the tier, the verbs, the tenants and the rules, as 16 hexadecimal digits.
pub fn settings_fingerprint(launch: &Configuration) -> String {
    let (mut text, terms) = (SettingsText::default(), &launch.policy);
    text.number("tier", terms.tier);
    text.number("verbs", launch.classes.len());
    for (front, verb) in launch.classes.iter().zip(&terms.classes) {
        write_verb(&mut text, &front.name, verb);
    }
    text.number("tenants", launch.tenants.len());
    for (name, quota) in launch.tenants.iter().zip(&terms.quotas) {
        text.name("tenants.name", name);
        text.real("tenants.quota", *quota);
    }
    text.flag("rules.checks", terms.capabilities.health_checks);
    text.flag("rules.cancel", terms.capabilities.cancellation);
    text.flag("rules.parallel", terms.capabilities.hedging);
    text.flag("peers", terms.capabilities.peer_messages);
    text.number("rules.relays", terms.capabilities.max_attempts);
    text.span("rules.come_back", terms.capabilities.max_retry_after.unwrap_or(Duration::ZERO));
    text.real("rules.cold_share", terms.slow_start.initial_fraction);
    text.span("rules.warm_after", terms.slow_start.duration);
    text.real("rules.tip_multiple", terms.slow_start.overload_multiple);
    text.span("rules.fall", terms.slow_start.overload_window);
    text.real("rules.crossing", terms.costs.cross_zone);
    text.real("rules.check", terms.costs.health_check);
    text.real("rules.peer", terms.costs.peer_message);
    text.real("rules.connection", terms.costs.connection);
    format!("{:016x}", fnv1a(text.0.as_bytes()))
}

fn write_verb(text: &mut SettingsText, name: &str, verb: &RequestClass) {
    let (repeats, group) = match verb.retry_safety {
        RetrySafety::Idempotent => ("pure", "none"),
        RetrySafety::IdempotencyKeyed(DedupScope::All) => ("receipted", "all"),
        RetrySafety::IdempotencyKeyed(DedupScope::Zone) => ("receipted", "zone"),
        RetrySafety::IdempotencyKeyed(DedupScope::Cell) => ("receipted", "cell"),
        RetrySafety::NonIdempotent => ("effectful", "none"),
    };
    text.name("verbs.name", name);
    text.name("verbs.repeats", repeats);
    text.name("verbs.group", group);
    text.span("verbs.memory", verb.dedup_window);
    text.span("verbs.goal", verb.latency_objective);
    text.span("verbs.limit", verb.time_limit);
    text.real("verbs.utility", verb.value);
    text.real("verbs.overdue_utility", verb.late_value);
}

/// The settings as lines of `key=value`, each value in a form that only equal settings share.
#[derive(Default)]
struct SettingsText(String);

impl SettingsText {
    fn line(&mut self, key: &str, value: &str) {
        self.0.push_str(key);
        self.0.push('=');
        self.0.push_str(value);
        self.0.push('\n');
    }

    /// The length stands before the text: no name can imitate the lines behind it.
    fn name(&mut self, key: &str, value: &str) {
        self.line(key, &format!("{}:{value}", value.len()));
    }

    fn number(&mut self, key: &str, value: impl std::fmt::Display) {
        self.line(key, &value.to_string());
    }

    fn flag(&mut self, key: &str, value: bool) {
        self.line(key, if value { "true" } else { "false" });
    }

    fn span(&mut self, key: &str, value: Duration) {
        self.line(key, &format!("{}ns", value.as_nanos()));
    }

    /// By its bits: the text of a float may change with the compiler's library.
    fn real(&mut self, key: &str, value: f64) {
        self.line(key, &format!("{:016x}", value.to_bits()));
    }
}

fn fnv1a(bytes: &[u8]) -> u64 {
    bytes.iter().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}
