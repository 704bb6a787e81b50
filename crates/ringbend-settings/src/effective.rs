//! The effective settings of a node, and the list of features.

use std::fmt;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::configs::{
    AdmissionConfig, ClassConfig, LimitsConfig, RetriesConfig, RoutingConfig, TimeoutsConfig,
};

/// The features that have settings, in the order of their documentation.
pub const FEATURES: [&str; 6] = ["admission", "class", "limits", "retries", "routing", "timeouts"];

/// All settings in force at one node.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
#[schemars(rename = "Effective")]
pub struct EffectiveSettings {
    /// Which requests are taken in.
    pub admission: AdmissionConfig,
    /// How urgent requests are.
    pub class: ClassConfig,
    /// What the client account may use.
    pub limits: LimitsConfig,
    /// How requests are tried again.
    pub retries: RetriesConfig,
    /// Which endpoint a request goes to.
    pub routing: RoutingConfig,
    /// How long each phase may take.
    pub timeouts: TimeoutsConfig,
}

impl EffectiveSettings {
    /// Checks that all values are within their ranges.
    ///
    /// # Errors
    ///
    /// Returns the first value that is out of range, with its allowed range.
    pub fn check(&self) -> Result<(), RangeError> {
        FEATURES.iter().try_for_each(|feature| self.check_feature(feature))
    }

    fn check_feature(&self, feature: &str) -> Result<(), RangeError> {
        match feature {
            "admission" => self.admission.check(),
            "class" => self.class.check(),
            "limits" => self.limits.check(),
            "retries" => self.retries.check(),
            "routing" => self.routing.check(),
            "timeouts" => self.timeouts.check(),
            _ => Ok(()),
        }
    }
}

/// The JSON schema of the effective settings of a node.
pub fn schema() -> schemars::Schema {
    schemars::schema_for!(EffectiveSettings)
}

/// A value is outside its allowed range.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RangeError {
    /// The setting's key.
    pub key: &'static str,
    /// The rejected value.
    pub value: u64,
    /// The smallest value allowed.
    pub min: u64,
    /// The largest value allowed.
    pub max: u64,
}

impl fmt::Display for RangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { key, value, min, max } = self;
        write!(f, "{key} = {value}: allowed are {min} to {max}")
    }
}

impl std::error::Error for RangeError {}
