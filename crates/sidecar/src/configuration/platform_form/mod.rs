//! The platform's form: one JSON file and the NODE_ variables. It owns this form's names, every default and every
//! check of them.

use super::settings::{
    CONN_IDLE, ConfigError, Configuration, DIAL_TIMEOUT, MAX_OPEN, MEMORY_MB, MEMORY_MB_LEAST, RequestClass,
    SOCKETS, SOCKETS_LEAST, config_error, inherited,
};
use crate::catalog::Catalog;
use crate::clock::Clock;
use landingspread_decisions::settings::Settings;
use serde_json::Value;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

pub fn read(path: &Path, told: &dyn Fn(&str) -> Option<String>) -> Result<Configuration, ConfigError> {
    let wrong = |wrong: &dyn std::fmt::Display| config_error(&path.display().to_string(), wrong);
    let text = std::fs::read_to_string(path).map_err(|told| wrong(&told))?;
    take(&serde_json::from_str(&text).map_err(|told| wrong(&told))?, told)
}

fn take(root: &Value, told: &dyn Fn(&str) -> Option<String>) -> Result<Configuration, ConfigError> {
    let text = |variable: &str, key: &str| match told(variable) {
        Some(text) => Ok(text),
        None => string(root, key).map(str::to_string),
    };
    let address = |variable: &str, key: &str| {
        let text = text(variable, key)?;
        text.parse().map_err(|_| config_error(key, format_args!("{text:?} is no address with a port")))
    };
    let clock = Clock::start();
    let console = match told("NODE_CONSOLE") {
        None if at(root, "console").is_none() => None,
        _ => Some(address("NODE_CONSOLE", "console")?),
    };
    let zones = names(root, "settings.Localities", None)?;
    let known = match at(root, "known") {
        None => Catalog::default(),
        Some(known) => Catalog::parse(known, &zones, &clock).map_err(|wrong| config_error("known", wrong))?,
    };
    let settings = at(root, "settings").ok_or_else(|| config_error("settings", "is missing"))?;
    let mut pairs = String::new();
    flatten(settings, "", &mut pairs);
    let mut terms = Settings::decode(&pairs).map_err(|wrong| ConfigError(format!("settings: {wrong}")))?;
    let peers = peers(root, &terms)?;
    // What nobody would hear is not told.
    terms.capabilities.peer_messages &= !peers.is_empty();
    Ok(Configuration {
        name: text("NODE_NAME", "name")?,
        listen: address("NODE_LISTEN", "listen")?,
        discovery: Some(address("NODE_DISCOVERY", "discovery")?),
        seed: seed(root)?,
        max_sockets: figure(root, "limits.sockets", SOCKETS, SOCKETS_LEAST)? as usize,
        memory_mb: figure(root, "limits.memory_mb", MEMORY_MB, MEMORY_MB_LEAST)? as usize,
        clock,
        initial_catalog: known,
        zones,
        classes: verbs(root)?,
        tenants: names(root, "settings.Tenants", Some("Name"))?,
        idle_connection_timeout: span(root, "settings.PolicyLimits.ConnIdle", CONN_IDLE)?,
        connect_timeout: span(root, "settings.PolicyLimits.DialTimeout", DIAL_TIMEOUT)?,
        max_open_requests: figure(root, "settings.PolicyLimits.MaxOpen", MAX_OPEN, 1)? as usize,
        policy: terms,
        peers,
        // The platform's form has no word for it.
        fleet: None,
        control: None,
        localities: None,
        work_header: at(root, "cost_header")
            .map(|_| string(root, "cost_header"))
            .transpose()?
            .map(str::to_string),
        statistics_file: at(root, "learnt").map(|_| string(root, "learnt")).transpose()?.map(Into::into),
        console,
        inherited_listener: inherited(told)?,
        // The platform's own is private to the sidecar.
        state_folder: told("TMPDIR").map(Into::into),
    })
}

fn at<'a>(root: &'a Value, key: &str) -> Option<&'a Value> {
    let step = |at: &'a Value, part: &str| match at {
        Value::Array(items) => items.get(part.parse::<usize>().ok()?),
        other => other.get(part),
    };
    key.split('.').try_fold(root, step).filter(|value| !value.is_null())
}

fn string<'a>(root: &'a Value, key: &str) -> Result<&'a str, ConfigError> {
    let value = at(root, key).ok_or_else(|| config_error(key, "is missing"))?;
    value.as_str().ok_or_else(|| config_error(key, format_args!("{value} is no text")))
}

fn figure(root: &Value, key: &str, absent: u64, least: u64) -> Result<u64, ConfigError> {
    let Some(value) = at(root, key) else { return Ok(absent) };
    let whole = value.as_u64().or_else(|| value.as_f64().filter(|f| *f >= 0.0).map(|f| f as u64));
    let figure = whole.ok_or_else(|| config_error(key, format_args!("{value} is no whole number")))?;
    if figure < least {
        Err(config_error(key, format_args!("{figure} is under {least}")))
    } else {
        Ok(figure)
    }
}

fn span(root: &Value, key: &str, absent: Duration) -> Result<Duration, ConfigError> {
    Ok(Duration::from_micros(figure(root, key, absent.as_micros() as u64, 1)?))
}

/// The seed comes as hex digits; what is none still seeds.
fn seed(root: &Value) -> Result<u64, ConfigError> {
    let text = string(root, "seed")?;
    let bytes = |seed: u64, byte: u8| seed.wrapping_mul(0x100_0000_01b3) ^ u64::from(byte);
    Ok(u64::from_str_radix(text, 16).unwrap_or_else(|_| text.bytes().fold(0xcbf2_9ce4_8422_2325, bytes)))
}

fn items<'a>(root: &'a Value, key: &str) -> Result<&'a [Value], ConfigError> {
    match at(root, key) {
        None => Ok(&[]),
        Some(Value::Array(items)) => Ok(items),
        Some(other) => Err(config_error(key, format_args!("{other} is no list"))),
    }
}

fn names(root: &Value, key: &str, field: Option<&str>) -> Result<Vec<String>, ConfigError> {
    let name = |(number, item): (usize, &Value)| {
        let named = field.map_or(Some(item), |field| item.get(field)).and_then(Value::as_str);
        named.map(str::to_string).ok_or_else(|| config_error(&format!("{key}.{number}"), "has no name"))
    };
    items(root, key)?.iter().enumerate().map(name).collect()
}

fn peers(root: &Value, terms: &Settings) -> Result<Vec<SocketAddr>, ConfigError> {
    let address = |(number, item): (usize, &Value)| {
        let text = item.as_str().unwrap_or("");
        let key = format!("peers.{number}");
        text.parse().map_err(|_| config_error(&key, format_args!("{item} is no address with a port")))
    };
    let peers: Vec<SocketAddr> =
        items(root, "peers")?.iter().enumerate().map(address).collect::<Result<_, _>>()?;
    let copies = terms.replicas as usize;
    if !peers.is_empty() && (peers.len() != copies || terms.ordinal as usize >= copies) {
        return Err(config_error("peers", format_args!("{} addresses for {copies} copies", peers.len())));
    }
    Ok(peers)
}

fn verbs(root: &Value) -> Result<Vec<RequestClass>, ConfigError> {
    let verb = |number: usize| {
        let key = |leaf: &str| format!("settings.Verbs.{number}.{leaf}");
        let effect = string(root, &key("Effect"))?;
        let name = string(root, &key("Name"))?.to_string();
        let limit = span(root, &key("TimeLimit"), Duration::ZERO)?;
        let method = if effect == "idempotent" { "GET" } else { "POST" };
        Ok(RequestClass { name, method, idempotency_keyed: effect == "deduplicated", time_limit: limit })
    };
    (0..items(root, "settings.Verbs")?.len()).map(verb).collect()
}

/// Nested settings as the `path=value` pairs that `Terms::decode` reads.
fn flatten(value: &Value, path: &str, into: &mut String) {
    let below = |leaf: &str| if path.is_empty() { leaf.to_string() } else { format!("{path}.{leaf}") };
    let mut pair = |text: &str| {
        let text = text.replace(' ', "_");
        // Writing to a String cannot fail.
        let _ = write!(into, "{path}={text} ");
    };
    match value {
        Value::Null => {}
        Value::Bool(flag) => pair(if *flag { "true" } else { "false" }),
        Value::String(text) => pair(text),
        // Spans are whole microseconds there, also where JSON writes them with a point.
        Value::Number(number) => match number.as_f64().filter(|f| f.fract() == 0.0 && f.abs() < 9e15) {
            Some(whole) => pair(&format!("{whole:.0}")),
            None => pair(&number.to_string()),
        },
        Value::Object(fields) => fields.iter().for_each(|(leaf, value)| flatten(value, &below(leaf), into)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            flatten(&items.len().into(), &below("count"), into);
            let numbered = items.iter().enumerate();
            numbered.for_each(|(number, item)| flatten(item, &below(&number.to_string()), into));
        }
        Value::Array(items) => {
            let text = |item: &Value| item.as_str().map_or_else(|| item.to_string(), str::to_string);
            pair(&items.iter().map(text).collect::<Vec<_>>().join(","));
        }
    }
}
