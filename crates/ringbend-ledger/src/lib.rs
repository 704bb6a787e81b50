//! What must be agreed before work is done: claims of requests that may run only once, leases of
//! exclusive jobs, and the sweep of memory that belongs to nobody. All of it is free of I/O.

mod claim;
mod claim_batcher;
mod lease;
mod sweep;

pub use claim::{
    AnswerBody, Claim, ClaimKey, ClaimState, ExistingClaim, MAX_INLINE_ANSWER_BYTES, StoredAnswer,
};
pub use claim_batcher::{
    CallId, ClaimAction, ClaimBatcher, ClaimBatcherConfig, ClaimEvent, Settlement,
};
pub use lease::{Lease, LeaseAction, LeaseConfig, LeaseEvent, LeaseRow};
pub use sweep::{SweepConfig, Sweeper};
