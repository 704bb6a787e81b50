//! Ringbend on one machine: several instances and stand-ins of the platform on loopback, in one
//! process, with a load of prompts of very unlike lengths and a report of how they fared.

mod fleet;
mod load;
mod report;

pub use fleet::{ADMIN_KEY, CALLER_KEY, Fleet, FleetConfig, FleetError, InstanceHandle};
pub use load::{CallResult, Caller, LoadConfig, Verdict, prompt_text, run_load};
pub use report::{Report, TtftLine};
