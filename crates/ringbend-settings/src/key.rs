//! Names of settings, `feature.setting`, and what can be wrong with one.

use std::fmt;
use std::str::FromStr;
use std::sync::{Arc, LazyLock};

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::effective::{EffectiveSettings, RangeError};
use crate::path::NodePath;

/// A name must be at least this alike to be suggested (Jaro-Winkler, 0 to 1).
const SUGGEST_FROM: f64 = 0.75;

/// The name of one setting that exists.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SettingKey(Arc<str>);

impl SettingKey {
    /// The key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// The feature and the setting's name in it.
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

/// Every key that exists, sorted.
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

/// The name most like `text`, when one is alike enough.
pub fn closest_match<'a>(text: &str, names: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    names
        .map(|name| (strsim::jaro_winkler(text, name), name))
        .filter(|(likeness, _)| *likeness >= SUGGEST_FROM)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, name)| name)
}

/// What is wrong with a settings change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingsError {
    /// No setting has this name.
    UnknownKey {
        /// The name given.
        key: Arc<str>,
        /// The nearest name that exists.
        suggestion: Option<Arc<str>>,
    },
    /// The value has the wrong type or is not one of the allowed words.
    BadValue {
        /// Where.
        path: NodePath,
        /// The setting's name.
        key: SettingKey,
        /// The value given, as JSON.
        value: Arc<str>,
        /// What the setting takes.
        expected: Arc<str>,
    },
    /// The value is out of range, alone or beside others in force at the node.
    OutOfRange {
        /// The node at which the check failed; it may lie below the edited one.
        path: NodePath,
        /// The value and what is allowed.
        range: RangeError,
    },
    /// A change without edits.
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
