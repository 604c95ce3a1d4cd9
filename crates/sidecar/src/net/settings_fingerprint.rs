//! A fingerprint of the settings that give learned statistics their meaning.
//!
//! Settings are written in a stated order under the keys of `docs/operators.md`, whatever the code calls them, and
//! hashed by FNV-1a, whose result is the same on every platform and compiler. The keys, their order and the encoding
//! of each value are part of a stored format.

use crate::launch::Launch;
use landingspread_decisions::terms::{Group, Repeats, Verb};
use std::time::Duration;

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// The fingerprint of the tier, the verbs, the tenants and the rules, as 16 hexadecimal digits.
pub fn settings_fingerprint(launch: &Launch) -> String {
    let (mut text, terms) = (SettingsText::default(), &launch.terms);
    text.number("tier", terms.tier);
    text.number("verbs", launch.verbs.len());
    for (front, verb) in launch.verbs.iter().zip(&terms.verbs) {
        write_verb(&mut text, &front.name, verb);
    }
    text.number("tenants", launch.tenants.len());
    for (name, quota) in launch.tenants.iter().zip(&terms.quotas) {
        text.name("tenants.name", name);
        text.real("tenants.quota", *quota);
    }
    text.flag("rules.checks", terms.allowed.checks);
    text.flag("rules.cancel", terms.allowed.cancel);
    text.flag("rules.parallel", terms.allowed.parallel);
    text.flag("peers", terms.allowed.peers);
    text.number("rules.relays", terms.allowed.relays);
    text.span("rules.come_back", terms.allowed.come_back.unwrap_or(Duration::ZERO));
    text.real("rules.cold_share", terms.cold.share);
    text.span("rules.warm_after", terms.cold.warm_after);
    text.real("rules.tip_multiple", terms.cold.multiple);
    text.span("rules.fall", terms.cold.window);
    text.real("rules.crossing", terms.prices.crossing);
    text.real("rules.check", terms.prices.check);
    text.real("rules.peer", terms.prices.peer);
    text.real("rules.connection", terms.prices.connection);
    format!("{:016x}", fnv1a(text.0.as_bytes()))
}

fn write_verb(text: &mut SettingsText, name: &str, verb: &Verb) {
    let (repeats, group) = match verb.repeats {
        Repeats::Pure => ("pure", "none"),
        Repeats::Receipted(Group::All) => ("receipted", "all"),
        Repeats::Receipted(Group::Zone) => ("receipted", "zone"),
        Repeats::Receipted(Group::Cell) => ("receipted", "cell"),
        Repeats::Effectful => ("effectful", "none"),
    };
    text.name("verbs.name", name);
    text.name("verbs.repeats", repeats);
    text.name("verbs.group", group);
    text.span("verbs.memory", verb.memory);
    text.span("verbs.goal", verb.goal);
    text.span("verbs.limit", verb.limit);
    text.real("verbs.utility", verb.utility);
    text.real("verbs.overdue_utility", verb.overdue_utility);
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
