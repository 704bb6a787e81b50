//! Deterministic models of the platform, used by the stand-in programs, the benchmark and the tests.
//!
//! Callers pass in the current time. The models read no clock and do no I/O.

mod engine;
mod instance_list;
mod prefix_cache;
mod table;

pub use engine::{
    EngineModel, EngineOutput, EngineSpec, OrderOutcome, SequenceRequest, SubmitError,
};
pub use instance_list::InstanceListModel;
pub use prefix_cache::{BLOCK_TOKENS, PrefixCache, prefix_blocks};
pub use table::{TableFaults, TableModel, TablePage, TableRates};
