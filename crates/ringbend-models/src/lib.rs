//! Pure models of the platform, used by the stand-in programs, the bench and the tests.
//!
//! Time is passed in; nothing here does I/O.

mod engine;
mod instance_list;
mod prefix_cache;
mod table;

pub use engine::{EngineModel, EngineOutput, EngineSpec, OrderOutcome, Submit, SubmitError};
pub use instance_list::InstanceListModel;
pub use prefix_cache::{BLOCK_TOKENS, PrefixCache, prefix_blocks};
pub use table::{TableFaults, TableModel, TableRates};
