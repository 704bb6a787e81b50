//! Setting keys of the form `feature.setting`, and the errors of settings changes.

use std::fmt;
use std::str::FromStr;
use std::sync::{Arc, LazyLock};

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::effective::{EffectiveSettings, RangeError};
use crate::path::NodePath;

/// Minimum similarity of a suggested name (Jaro-Winkler, from 0 to 1).
const MIN_SIMILARITY: f64 = 0.75;

/// The key of an existing setting.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SettingKey(Arc<str>);

impl SettingKey {
    /// The key as a string.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Splits the key into the feature and the name of the setting.
    pub fn parts(&self) -> (&str, &str) {
        self.0.split_once('.').unwrap_or((&self.0, ""))
    }
}

impl fmt::Display for SettingKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for SettingKey {
    type Err = SettingsError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if known_keys().iter().any(|key| key == text) {
            return Ok(Self(text.into()));
        }
        let suggestion = closest_match(text, known_keys().iter().map(String::as_str));
        Err(SettingsError::UnknownKey { key: text.into(), suggestion: suggestion.map(Arc::from) })
    }
}

impl TryFrom<String> for SettingKey {
    type Error = SettingsError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<SettingKey> for String {
    fn from(key: SettingKey) -> String {
        key.0.to_string()
    }
}

/// The keys of all settings, sorted.
pub fn known_keys() -> &'static [String] {
    static KEYS: LazyLock<Vec<String>> = LazyLock::new(|| {
        let defaults = serde_json::to_value(EffectiveSettings::default()).unwrap_or(Value::Null);
        let mut keys = Vec::new();
        for (feature, settings) in defaults.as_object().into_iter().flatten() {
            for name in settings.as_object().into_iter().flat_map(|s| s.keys()) {
                keys.push(format!("{feature}.{name}"));
            }
        }
        keys.sort();
        keys
    });
    &KEYS
}

/// The name most similar to `text`, if one is similar enough to be suggested.
pub fn closest_match<'a>(text: &str, names: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    names
        .map(|name| (strsim::jaro_winkler(text, name), name))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, name)| name)
}

/// The reason why a settings change is invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingsError {
    /// There is no setting with this key.
    UnknownKey {
        /// The unknown key.
        key: Arc<str>,
        /// The most similar key that exists.
        suggestion: Option<Arc<str>>,
    },
    /// The value has the wrong type or is not one of the allowed values.
    BadValue {
        /// The edited node.
        path: NodePath,
        /// The key of the setting.
        key: SettingKey,
        /// The rejected value, as JSON.
        value: Arc<str>,
        /// Describes what the setting accepts.
        expected: Arc<str>,
    },
    /// The value is out of range, on its own or in combination with other settings of the node.
    OutOfRange {
        /// The node at which the check failed, which may be a descendant of the edited one.
        path: NodePath,
        /// The value and its allowed range.
        range: RangeError,
    },
    /// The change has no edits.
    Empty,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownKey { key, suggestion: Some(name) } => {
                write!(f, "unknown setting {key:?}; did you mean {name:?}?")
            }
            Self::UnknownKey { key, suggestion: None } => {
                write!(f, "unknown setting {key:?}; see `ringbend settings schema`")
            }
            Self::BadValue { path, key, value, expected } => {
                write!(f, "{path} {key} = {value}: {expected}")
            }
            Self::OutOfRange { path, range } => write!(f, "at {path}: {range}"),
            Self::Empty => write!(f, "the change has no edits"),
        }
    }
}

impl std::error::Error for SettingsError {}
