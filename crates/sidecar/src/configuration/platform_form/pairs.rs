//! Nested settings as the `path=value` pairs that the decisions decode.

use serde_json::Value;
use std::fmt::Write;

/// Past this a float does not hold every whole number.
const LARGEST_WHOLE: f64 = 9e15;

/// All settings below a value, with a space behind each pair.
pub fn flattened(settings: &Value) -> String {
    let mut pairs = String::new();
    flatten(settings, "", &mut pairs);
    pairs
}

fn flatten(value: &Value, path: &str, into: &mut String) {
    match value {
        Value::Null => {}
        Value::Bool(flag) => push(path, if *flag { "true" } else { "false" }, into),
        Value::String(text) => push(path, text, into),
        Value::Number(number) => push(path, &number_text(number), into),
        Value::Object(fields) => {
            fields.iter().for_each(|(leaf, value)| flatten(value, &below(path, leaf), into));
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            flatten(&items.len().into(), &below(path, "count"), into);
            let numbered = items.iter().enumerate();
            numbered.for_each(|(index, item)| flatten(item, &below(path, &index.to_string()), into));
        }
        Value::Array(items) => {
            let text = |item: &Value| item.as_str().map_or_else(|| item.to_string(), str::to_string);
            push(path, &items.iter().map(text).collect::<Vec<_>>().join(","), into);
        }
    }
}

fn below(path: &str, leaf: &str) -> String {
    if path.is_empty() { leaf.to_string() } else { format!("{path}.{leaf}") }
}

fn push(path: &str, text: &str, into: &mut String) {
    let text = text.replace(' ', "_");
    // Writing to a String cannot fail.
    let _ = write!(into, "{path}={text} ");
}

/// Durations are whole microseconds to the decisions, also where JSON writes them with a point.
fn number_text(number: &serde_json::Number) -> String {
    match number.as_f64().filter(|float| float.fract() == 0.0 && float.abs() < LARGEST_WHOLE) {
        Some(whole) => format!("{whole:.0}"),
        None => number.to_string(),
    }
}
