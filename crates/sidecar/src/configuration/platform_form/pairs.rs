//! Flattens nested JSON settings into the `path=value` pairs that the decisions parse.

use serde_json::Value;
use std::fmt::Write;

/// A bound below 2^53, up to which a float represents every whole number exactly.
const MAX_EXACT_INTEGER: f64 = 9e15;

/// All settings below a value as pairs, each followed by a space.
pub fn flattened(settings: &Value) -> String {
    let mut pairs = String::new();
    flatten(settings, "", &mut pairs);
    pairs
}

fn flatten(value: &Value, path: &str, pairs: &mut String) {
    match value {
        Value::Null => {}
        Value::Bool(flag) => push(path, if *flag { "true" } else { "false" }, pairs),
        Value::String(text) => push(path, text, pairs),
        Value::Number(number) => push(path, &number_text(number), pairs),
        Value::Object(fields) => {
            fields.iter().for_each(|(name, value)| flatten(value, &child_path(path, name), pairs));
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            flatten(&items.len().into(), &child_path(path, "count"), pairs);
            let numbered = items.iter().enumerate();
            numbered.for_each(|(index, item)| flatten(item, &child_path(path, &index.to_string()), pairs));
        }
        Value::Array(items) => {
            let text = |item: &Value| item.as_str().map_or_else(|| item.to_string(), str::to_string);
            push(path, &items.iter().map(text).collect::<Vec<_>>().join(","), pairs);
        }
    }
}

fn child_path(path: &str, name: &str) -> String {
    if path.is_empty() { name.to_string() } else { format!("{path}.{name}") }
}

fn push(path: &str, text: &str, pairs: &mut String) {
    let text = text.replace(' ', "_");
    // Writing to a String cannot fail.
    let _ = write!(pairs, "{path}={text} ");
}

/// Writes whole numbers without a decimal point, which JSON may have: the decisions expect whole microseconds.
fn number_text(number: &serde_json::Number) -> String {
    match number.as_f64().filter(|float| float.fract() == 0.0 && float.abs() < MAX_EXACT_INTEGER) {
        Some(integer) => format!("{integer:.0}"),
        None => number.to_string(),
    }
}
