//! Flattening of JSON settings to the dotted names of the simulator's protocol.

use serde_json::Value;
use std::collections::BTreeMap;

/// Flattens nested JSON to dotted names. A list of scalars becomes one value joined by commas; a list of objects
/// becomes its `.count` and its numbered items.
pub(crate) fn flatten(prefix: &str, value: &Value, flattened: &mut BTreeMap<String, String>) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                flatten(&join_names(prefix, name), field, flattened);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            flattened.insert(join_names(prefix, "count"), items.len().to_string());
            for (number, item) in items.iter().enumerate() {
                flatten(&join_names(prefix, &number.to_string()), item, flattened);
            }
        }
        Value::Array(items) => {
            let scalars: Vec<String> = items.iter().map(scalar_text).collect();
            flattened.insert(prefix.to_string(), scalars.join(","));
        }
        Value::Null => {}
        Value::Bool(_) | Value::Number(_) | Value::String(_) => {
            flattened.insert(prefix.to_string(), scalar_text(value));
        }
    }
}

fn join_names(prefix: &str, name: &str) -> String {
    if prefix.is_empty() {
        name.to_string()
    } else {
        format!("{prefix}.{name}")
    }
}

fn scalar_text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_string)
}
