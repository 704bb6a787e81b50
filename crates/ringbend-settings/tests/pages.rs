//! The pages under `docs/features/` document all settings with their defaults.

use ringbend_settings::{EffectiveSettings, FEATURES};
use serde_json::Value;

#[test]
fn all_pages_list_all_settings_with_their_defaults() {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/features");
    let defaults = serde_json::to_value(EffectiveSettings::default()).unwrap();
    for feature in FEATURES {
        let page = std::fs::read_to_string(root.join(format!("{feature}.md"))).unwrap();
        let options = defaults[feature].as_object().unwrap();
        let rows = page.lines().filter(|line| line.starts_with("| `")).count();
        assert_eq!(rows, options.len(), "{feature}: rows and options differ");
        for (name, default) in options {
            let shown = match default {
                Value::String(text) => text.clone(),
                other => other.to_string(),
            };
            let row = format!("| `{feature}.{name}` | {shown} |");
            assert!(page.contains(&row), "{feature}: no row {row:?}");
        }
    }
}
