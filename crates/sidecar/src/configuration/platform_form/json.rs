//! Typed access to the platform's JSON by dotted keys such as `settings.Verbs.0.Name`. A null counts as missing.

use crate::configuration::error::{BrokenRule, ConfigError, Problem, at_key};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// The value at a key; `None` if it is missing or null.
pub fn value_at<'a>(root: &'a Value, key: &str) -> Option<&'a Value> {
    key.split('.').try_fold(root, child).filter(|value| !value.is_null())
}

fn child<'a>(value: &'a Value, part: &str) -> Option<&'a Value> {
    match value {
        Value::Array(items) => items.get(part.parse::<usize>().ok()?),
        other => other.get(part),
    }
}

/// The text at a required key.
pub fn text_at<'a>(root: &'a Value, key: &str) -> Result<&'a str, ConfigError> {
    let value = value_at(root, key).ok_or_else(|| at_key(key, BrokenRule::KeyRequired))?;
    value.as_str().ok_or_else(|| at_key(key, Problem::JsonNotText(value.clone())))
}

/// The text at an optional key; `None` if it is missing.
pub fn optional_text_at<'a>(root: &'a Value, key: &str) -> Result<Option<&'a str>, ConfigError> {
    value_at(root, key).map(|_| text_at(root, key)).transpose()
}

/// The whole number at a key, at least `minimum`, or the default if it is missing. A fraction is truncated.
pub fn number_at(root: &Value, key: &str, default: u64, minimum: u64) -> Result<u64, ConfigError> {
    let Some(json) = value_at(root, key) else { return Ok(default) };
    let truncated = || json.as_f64().filter(|number| *number >= 0.0).map(|number| number as u64);
    let value = json.as_u64().or_else(truncated);
    let value = value.ok_or_else(|| at_key(key, Problem::JsonNotAWholeNumber(json.clone())))?;
    if value < minimum { Err(at_key(key, Problem::BelowMinimum { value, minimum })) } else { Ok(value) }
}

/// The duration at a key, a number of microseconds from 1, or the default if it is missing.
pub fn duration_at(root: &Value, key: &str, default: Duration) -> Result<Duration, ConfigError> {
    Ok(Duration::from_micros(number_at(root, key, default.as_micros() as u64, 1)?))
}

/// The items of the list at a key; empty if it is missing.
pub fn items_at<'a>(root: &'a Value, key: &str) -> Result<&'a [Value], ConfigError> {
    match value_at(root, key) {
        None => Ok(&[]),
        Some(Value::Array(items)) => Ok(items),
        Some(other) => Err(at_key(key, Problem::JsonNotAList(other.clone()))),
    }
}

/// The texts in the list at a key: the items themselves, or the value of `field` in each item.
pub fn names_at(root: &Value, key: &str, field: Option<&str>) -> Result<Vec<String>, ConfigError> {
    let name = |(index, item): (usize, &Value)| {
        let text = field.map_or(Some(item), |field| item.get(field)).and_then(Value::as_str);
        text.map(str::to_string).ok_or_else(|| at_key(&format!("{key}.{index}"), BrokenRule::NameRequired))
    };
    items_at(root, key)?.iter().enumerate().map(name).collect()
}

/// Parses an item of a list as an address. Errors refer to the item as `key`.
pub fn address_at(key: &str, item: &Value) -> Result<SocketAddr, ConfigError> {
    let text = item.as_str().unwrap_or("");
    text.parse().map_err(|_| at_key(key, Problem::JsonNotAnAddress(item.clone())))
}
