//! What of the configuration may change while the process runs: tenants' quotas, goals, limits and utilities of verbs, and
//! discovery's address. It owns the names and checks of these keys; all others need a restart. A change is read as a whole,
//! on top of what the file says: what it does not name is as there.

use super::settings::{Configuration, verb_fault};
use landingspread_control::{Contents, Fault};
use landingspread_decisions::settings;
use std::net::SocketAddr;
use std::str::FromStr;

/// Keys of the file that exist and can't be changed so.
const NEED_A_RESTART: [&str; 20] = [
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
const QUOTA_MOST: f64 = 1e9;

/// What the file says of these keys.
pub struct Live {
    verbs: Vec<(String, settings::RequestClass)>,
    tenants: Vec<(String, f64)>,
    /// Whether there is one that could be moved.
    discovery: bool,
}

/// What holds by a change, all of it checked.
#[derive(Clone, Debug)]
pub struct Changed {
    /// Commands a second over all copies, by the tenants' numbers.
    pub quotas: Vec<f64>,
    /// By their numbers.
    pub verbs: Vec<settings::RequestClass>,
    /// Where discovery is, in place of what the file says.
    pub discovery: Option<SocketAddr>,
}

impl Live {
    pub fn of(launch: &Configuration) -> Live {
        let verbs =
            launch.classes.iter().map(|verb| verb.name.clone()).zip(launch.policy.classes.iter().cloned());
        let tenants = launch.tenants.iter().cloned().zip(launch.policy.quotas.iter().copied());
        Live { verbs: verbs.collect(), tenants: tenants.collect(), discovery: launch.discovery.is_some() }
    }

    /// All of it, or the first key at fault.
    pub fn read(&self, contents: &Contents) -> Result<Changed, Fault> {
        let mut changed = Changed {
            quotas: self.tenants.iter().map(|(_, quota)| *quota).collect(),
            verbs: self.verbs.iter().map(|(_, verb)| verb.clone()).collect(),
            discovery: None,
        };
        contents.iter().try_for_each(|(key, value)| self.take(key, value, &mut changed))?;
        // Keys of one verb may only be wrong together.
        for ((name, _), verb) in self.verbs.iter().zip(&changed.verbs) {
            if let Some((leaves, what)) =
                verb_fault(verb.latency_objective, verb.time_limit, verb.value, verb.late_value)
            {
                let key = |leaf: &&str| format!("verbs.{name}.{leaf}");
                let said = leaves.iter().map(key).find(|key| contents.contains_key(key));
                return Err(Fault { key: said.unwrap_or_else(|| key(&leaves[0])), what });
            }
        }
        Ok(changed)
    }

    fn take(&self, key: &str, value: &str, into: &mut Changed) -> Result<(), Fault> {
        let needs = || Fault::of(key, "it needs a restart");
        let (top, rest) = key.split_once('.').unwrap_or((key, ""));
        match (top, rest.rsplit_once('.')) {
            ("discovery", None) if rest == "address" => {
                into.discovery = Some(figure(key, value, "an address with a port")?);
                if self.discovery { Ok(()) } else { Err(needs()) }
            }
            ("tenants", Some((name, "quota"))) => {
                let at = self.tenants.iter().position(|(known, _)| known == name);
                let at = at.ok_or_else(|| Fault::of(key, "a new tenant needs a restart"))?;
                let quota: f64 = figure(key, value, "a number")?;
                if !(0.0..=QUOTA_MOST).contains(&quota) {
                    return Err(Fault::of(key, format_args!("{value} does not lie from 0 to {QUOTA_MOST}")));
                }
                into.quotas[at] = quota;
                Ok(())
            }
            ("verbs", Some((name, leaf @ ("goal" | "limit" | "utility" | "overdue_utility")))) => {
                let at = self.verbs.iter().position(|(known, _)| known == name);
                let verb = at.and_then(|at| into.verbs.get_mut(at));
                let verb = verb.ok_or_else(|| Fault::of(key, "a new verb needs a restart"))?;
                let span = || {
                    humantime::parse_duration(value)
                        .map_err(|_| Fault::of(key, format_args!("{value:?} is no span such as \"300ms\"")))
                };
                match leaf {
                    "goal" => verb.latency_objective = span()?,
                    "limit" => verb.time_limit = span()?,
                    "utility" => verb.value = figure(key, value, "a number")?,
                    _ => verb.late_value = figure(key, value, "a number")?,
                }
                Ok(())
            }
            ("verbs" | "tenants", Some(_)) => Err(needs()),
            _ if NEED_A_RESTART.contains(&top) => Err(needs()),
            _ => Err(Fault::of(key, "there is no such key")),
        }
    }
}

fn figure<T: FromStr>(key: &str, value: &str, what: &str) -> Result<T, Fault> {
    value.parse().map_err(|_| Fault::of(key, format_args!("{value:?} is not {what}")))
}

#[cfg(test)]
#[path = "runtime_change_tests.rs"]
mod tests;
