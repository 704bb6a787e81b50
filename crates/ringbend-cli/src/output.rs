//! Output of the commands.

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
                if field.is_object() || field.is_array() {
                    lines.push(format!("{indent}{name}:"));
                    append_outline(field, depth + 1, lines);
                } else {
                    lines.push(format!("{indent}{name}: {}", format_scalar(field)));
                }
            }
        }
        Value::Array(items) => {
            for item in items {
                lines.push(format!("{indent}- {}", format_inline(item)));
            }
        }
        other => lines.push(format!("{indent}{}", format_scalar(other))),
    }
}

/// Formats a value on one line.
fn format_inline(value: &Value) -> String {
    match value {
        Value::Object(fields) => {
            let fields =
                fields.iter().map(|(name, field)| format!("{name}={}", format_inline(field)));
            fields.collect::<Vec<_>>().join(" ")
        }
        Value::Array(items) => items.iter().map(format_inline).collect::<Vec<_>>().join(","),
        other => format_scalar(other),
    }
}

fn format_scalar(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
