//! Identifiers, sizes, rates and times shared by all Ringbend crates.
//!
//! Nothing here does I/O or reads a clock: callers pass in a [`Timestamp`] and a random seed.

mod cursor;
mod decimal;
mod fingerprint;
mod id;
mod prompt_part;
mod quantity;
mod quoting;
mod request_rate;
mod retry_after;
mod run_state;
mod seed;
mod store_key;
mod time;

pub use cursor::Cursor;
pub use decimal::ParseDecimalError;
pub use fingerprint::{Fingerprint, ParseFingerprintError};
pub use id::{
    AttemptId, ChangeId, ClassName, ClientAccountId, DataCentre, EndpointId, InstanceId, LeaseName,
    ModelName, ParseIdError, Region, RequestId, RequestKey, ServiceName,
};
pub use prompt_part::{ParsePromptPartError, PromptPart, PromptPartId, SharedParts};
pub use quantity::{
    ByteCount, EndpointStart, FencingToken, Incarnation, ParseQuantityError, PromptBucket,
    SettingsVersion, TokenCount, TokensPerSecond,
};
pub use quoting::{FieldValue, LineText, MessageText};
pub use request_rate::RequestRate;
pub use retry_after::RetryAfter;
pub use run_state::{ParseRunStateError, RunState};
pub use seed::{IdGenerator, Seed};
pub use store_key::StoreKey;
pub use time::Timestamp;
