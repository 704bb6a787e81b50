//! Runs Ringbend on one machine: several instances and stand-ins for the platform's services on
//! loopback in one process, a load of prompts whose lengths differ widely, and a report of the
//! outcomes and latencies.

mod fleet;
mod mixed_load;
mod report;

pub use fleet::{ADMIN_KEY, CALLER_KEY, Fleet, FleetConfig, FleetError, InstanceHandle};
pub use mixed_load::{CallOutcome, CallResult, LoadClient, LoadConfig, prompt_text, run_load};
pub use report::{Report, TtftPercentiles};
