//! Output of the commands.

use ringbend_types::{FieldValue, LineText};
use serde_json::Value;

/// Prints a value as one line of JSON or as an indented outline.
pub(crate) fn print(value: &Value, json: bool) {
    if json {
        println!("{value}");
        return;
    }
    let mut lines = Vec::new();
    append_outline(value, 0, &mut lines);
    for line in lines {
        println!("{line}");
    }
}

fn append_outline(value: &Value, depth: usize, lines: &mut Vec<String>) {
    let indent = "  ".repeat(depth);
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                let name = LineText(name);
                if field.is_object() || field.is_array() {
                    lines.push(format!("{indent}{name}:"));
                    append_outline(field, depth + 1, lines);
                } else {
                    lines.push(format!("{indent}{name}: {}", format_line(field)));
                }
            }
        }
        Value::Array(items) => {
            for item in items {
                lines.push(format!("{indent}- {}", format_inline(item)));
            }
        }
        other => lines.push(format!("{indent}{}", format_line(other))),
    }
}

/// Formats a value as one of several on a line.
fn format_inline(value: &Value) -> String {
    match value {
        Value::Object(fields) => {
            let fields = fields.iter();
            let fields = fields
                .map(|(name, field)| format!("{}={}", FieldValue(name), format_inline(field)));
            fields.collect::<Vec<_>>().join(" ")
        }
        Value::Array(items) => items.iter().map(format_item).collect::<Vec<_>>().join(","),
        Value::String(text) => FieldValue(text).to_string(),
        other => other.to_string(),
    }
}

/// Formats an item of a list on one line. Items are separated by commas.
fn format_item(item: &Value) -> String {
    match item {
        Value::String(text) if text.contains(',') => format!("{text:?}"),
        item => format_inline(item),
    }
}

/// Formats a scalar that takes up the rest of a line.
fn format_line(value: &Value) -> String {
    match value {
        Value::String(text) => LineText(text).to_string(),
        other => other.to_string(),
    }
}
