//! Settings in JSON, brought to the form of a line of the simulator's wire.

use serde_json::Value;
use std::collections::BTreeMap;

/// Lays nested JSON out as dotted names: lists of plain values joined by commas, lists of objects as their
/// `.count` and their numbered items.
pub(crate) fn flatten(prefix: &str, value: &Value, into: &mut BTreeMap<String, String>) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                flatten(&below(prefix, name), field, into);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            into.insert(below(prefix, "count"), items.len().to_string());
            for (number, item) in items.iter().enumerate() {
                flatten(&below(prefix, &number.to_string()), item, into);
            }
        }
        Value::Array(items) => {
            let plain: Vec<String> = items.iter().map(plain_text).collect();
            into.insert(prefix.to_string(), plain.join(","));
        }
        Value::Null => {}
        Value::Bool(_) | Value::Number(_) | Value::String(_) => {
            into.insert(prefix.to_string(), plain_text(value));
        }
    }
}

fn below(prefix: &str, name: &str) -> String {
    if prefix.is_empty() {
        name.to_string()
    } else {
        format!("{prefix}.{name}")
    }
}

fn plain_text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_string)
}
