//! One settings struct per feature. Each struct's `Default` holds the default values.

mod admission;
mod class;
mod limits;
mod retries;
mod routing;
mod timeouts;

pub use admission::AdmissionConfig;
pub use class::ClassConfig;
pub use limits::LimitsConfig;
pub use retries::RetriesConfig;
pub use routing::{ChoiceKind, RoutingConfig};
pub use timeouts::TimeoutsConfig;

use crate::effective::RangeError;

/// Checks that a value is within its range.
fn in_range(key: &'static str, value: u64, min: u64, max: u64) -> Result<(), RangeError> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(RangeError { key, value, min, max })
}
