//! The decisions on requests: admission, order of waiting, choice of endpoint, long prompts,
//! several-engine reservations, limits of client accounts, retries.
//!
//! [`Dispatcher`] decides, [`NaivePolicy`] is the plain router it is measured against; both are
//! driven through [`Policy`]. Nothing here does I/O, reads a clock or keeps a thread: time, seed
//! and events are passed in, and the same events give the same actions.

mod backoff;
mod bucket;
mod choice;
mod collect;
mod dispatcher;
mod endpoint_view;
mod event;
mod limits;
mod naive;
mod outcome;
mod placement;
mod profile;
mod queue;
mod shares;

pub use backoff::{Backoff, RetryBudget, jittered_retry_after};
pub use bucket::TokenBucket;
pub use choice::{Candidate, EndpointChoice, choice_for, rendezvous_weight};
pub use dispatcher::{Dispatcher, DispatcherConfig};
pub use event::{Action, AttemptEnd, Dispatch, Event, FailureCode, HeldMemory, Policy, RequestEnd};
pub use limits::{LimitVerdict, Limits};
pub use naive::NaivePolicy;
pub use outcome::{AfterAttempt, after_attempt, run_state};
pub use profile::RequestProfile;
pub use shares::{GrantReply, GrantRequest, LimitShares, ShareAction, ShareConfig, ShareEvent};
