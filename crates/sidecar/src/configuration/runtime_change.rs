//! The part of the configuration that may change while the process runs: the quotas of tenants, the latency objectives,
//! time limits and values of request classes, and the address of discovery.
//!
//! Owns the names and checks of these keys; all others need a restart. A change is applied to the file's values: a key
//! that the change does not contain has the value of the file.

use super::class_limits::ClassLimits;
use super::settings::Configuration;
use landingspread_control::{ConfigError, Contents};
use landingspread_decisions::settings::RequestClass;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

/// The top-level keys of the file that can't change without a restart.
const RESTART_KEYS: [&str; 20] = [
    "name",
    "listen",
    "seed",
    "zones",
    "zone",
    "tier",
    "copies",
    "ordinal",
    "peers",
    "fleet",
    "localities",
    "cost_header",
    "learnt",
    "console",
    "state",
    "servers",
    "limits",
    "rules",
    "control",
    "discovery",
];
/// The maximum quota of a tenant, in requests per second.
const MAX_QUOTA: f64 = 1e9;

/// The file's values of the keys that may change at run time.
pub struct RuntimeSettings {
    classes: Vec<NamedClass>,
    tenants: Vec<NamedQuota>,
    /// Whether the file configures discovery, so that its address may change.
    has_discovery: bool,
}

struct NamedClass {
    name: String,
    settings: RequestClass,
}

struct NamedQuota {
    name: String,
    quota: f64,
}

/// The checked values that apply after a change.
#[derive(Clone, Debug)]
pub struct RuntimeChange {
    /// The quotas in requests per second over all replicas, indexed by tenant.
    pub quotas: Vec<f64>,
    /// The settings of the request classes, indexed by class.
    pub classes: Vec<RequestClass>,
    /// The address of discovery; `None` if the file's address applies.
    pub discovery: Option<SocketAddr>,
}

impl RuntimeSettings {
    /// Copies the changeable values of a configuration.
    pub fn new(configuration: &Configuration) -> RuntimeSettings {
        let classes = configuration.classes.iter().zip(&configuration.policy.classes);
        let tenants = configuration.tenants.iter().zip(&configuration.policy.quotas);
        RuntimeSettings {
            classes: classes
                .map(|(class, settings)| NamedClass { name: class.name.clone(), settings: settings.clone() })
                .collect(),
            tenants: tenants.map(|(name, quota)| NamedQuota { name: name.clone(), quota: *quota }).collect(),
            has_discovery: configuration.discovery.is_some(),
        }
    }

    /// Reads and checks a change.
    ///
    /// # Errors
    /// The first key whose value is refused. No part of the change applies then.
    pub fn read(&self, contents: &Contents) -> Result<RuntimeChange, ConfigError> {
        let mut change = RuntimeChange {
            quotas: self.tenants.iter().map(|tenant| tenant.quota).collect(),
            classes: self.classes.iter().map(|class| class.settings.clone()).collect(),
            discovery: None,
        };
        contents.iter().try_for_each(|(key, value)| self.read_key(key, value, &mut change))?;
        self.check_classes(contents, &change)?;
        Ok(change)
    }

    /// Checks the settings of each class together, because each may be valid while their combination is not.
    fn check_classes(&self, contents: &Contents, change: &RuntimeChange) -> Result<(), ConfigError> {
        for (NamedClass { name, .. }, class) in self.classes.iter().zip(&change.classes) {
            let limits = ClassLimits {
                latency_objective: class.latency_objective,
                time_limit: class.time_limit,
                value: class.value,
                late_value: class.late_value,
            };
            if let Some(refusal) = limits.refusal() {
                let key = |field: &&str| format!("verbs.{name}.{field}");
                let changed = refusal.keys.iter().map(key).find(|key| contents.contains_key(key));
                let key = changed.unwrap_or_else(|| key(&refusal.keys[0]));
                return Err(ConfigError::new(&key, refusal.problem));
            }
        }
        Ok(())
    }

    fn read_key(&self, key: &str, value: &str, change: &mut RuntimeChange) -> Result<(), ConfigError> {
        let (table, rest) = key.split_once('.').unwrap_or((key, ""));
        match (table, rest.rsplit_once('.')) {
            ("discovery", None) if rest == "address" => self.read_discovery(key, value, change),
            ("tenants", Some((name, "quota"))) => self.read_quota(key, name, value, change),
            ("verbs", Some((name, field @ ("goal" | "limit" | "utility" | "overdue_utility")))) => {
                let index = self.classes.iter().position(|known| known.name == name);
                let class = index.and_then(|index| change.classes.get_mut(index));
                let class = class.ok_or_else(|| ConfigError::new(key, "a new verb needs a restart"))?;
                read_class(key, field, value, class)
            }
            ("verbs" | "tenants", Some(_)) => Err(needs_a_restart(key)),
            _ if RESTART_KEYS.contains(&table) => Err(needs_a_restart(key)),
            _ => Err(ConfigError::new(key, "there is no such key")),
        }
    }

    fn read_discovery(&self, key: &str, value: &str, change: &mut RuntimeChange) -> Result<(), ConfigError> {
        change.discovery = Some(parsed(key, value, "an address with a port")?);
        if self.has_discovery { Ok(()) } else { Err(needs_a_restart(key)) }
    }

    fn read_quota(
        &self,
        key: &str,
        name: &str,
        value: &str,
        change: &mut RuntimeChange,
    ) -> Result<(), ConfigError> {
        let index = self.tenants.iter().position(|known| known.name == name);
        let index = index.ok_or_else(|| ConfigError::new(key, "a new tenant needs a restart"))?;
        let quota: f64 = parsed(key, value, "a number")?;
        if !(0.0..=MAX_QUOTA).contains(&quota) {
            return Err(ConfigError::new(key, format_args!("{value} does not lie from 0 to {MAX_QUOTA}")));
        }
        change.quotas[index] = quota;
        Ok(())
    }
}

fn read_class(key: &str, field: &str, value: &str, class: &mut RequestClass) -> Result<(), ConfigError> {
    match field {
        "goal" => class.latency_objective = duration(key, value)?,
        "limit" => class.time_limit = duration(key, value)?,
        "utility" => class.value = parsed(key, value, "a number")?,
        _ => class.late_value = parsed(key, value, "a number")?,
    }
    Ok(())
}

fn needs_a_restart(key: &str) -> ConfigError {
    ConfigError::new(key, "it needs a restart")
}

fn duration(key: &str, value: &str) -> Result<Duration, ConfigError> {
    humantime::parse_duration(value)
        .map_err(|_| ConfigError::new(key, format_args!("{value:?} is no span such as \"300ms\"")))
}

fn parsed<T: FromStr>(key: &str, value: &str, expected: &str) -> Result<T, ConfigError> {
    value.parse().map_err(|_| ConfigError::new(key, format_args!("{value:?} is not {expected}")))
}

#[cfg(test)]
#[path = "runtime_change_tests.rs"]
mod tests;
