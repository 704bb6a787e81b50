//! Request scheduling: admission control, queueing, endpoint selection, long prompts,
//! multi-engine memory reservations, client account limits and retries.
//!
//! [`Dispatcher`] is the production policy and [`NaivePolicy`] the baseline it is measured
//! against; both implement [`Policy`]. The crate does no I/O, reads no clock and starts no
//! threads: time, seed and events are passed in, so the same events always give the same actions.

mod backoff;
mod bucket;
mod choice;
mod dispatcher;
mod endpoint_view;
mod event;
mod group_reservation;
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
