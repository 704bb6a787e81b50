//! Coordination between instances through the table service: claims for requests that must run at most
//! once, leases for exclusive jobs, and the sweep of orphaned memory reservations. Nothing here does I/O.

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
