//! Claim rows, which ensure that a request with an idempotency key runs at most once.

use std::sync::Arc;

use ringbend_platform::RowKey;
use ringbend_types::{ClientAccountId, RequestId, RequestKey};
use serde::{Deserialize, Serialize};

/// Maximum size of an answer that is stored in the claim row. Larger ones go to the object store.
pub const MAX_INLINE_ANSWER_BYTES: usize = 32 * 1024;

/// The key of a claim: the client account and the caller's request key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimKey {
    /// The client account of the request.
    pub account: ClientAccountId,
    /// The caller's key, unique within the account.
    pub key: RequestKey,
}

impl ClaimKey {
    /// The key of this claim's row.
    pub fn row(&self) -> RowKey {
        RowKey::new(format!("claim/{}/{}", self.account, self.key))
    }
}

/// The location of a stored answer's body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerBody {
    /// In the claim row, as text.
    Inline(Arc<str>),
    /// In the object store, under this name.
    Object(Arc<str>),
}

/// The answer of a request that ran, stored for later requests with the same key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: Arc<str>,
    /// The body.
    pub body: AnswerBody,
}

/// The state of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The request is claimed and may be running until the holder's deadline on the wall clock. The wall
    /// clock only selects which of two errors a later request gets; it never causes a request to run.
    Claimed {
        /// The holder's deadline, in milliseconds since the Unix epoch.
        until_unix_ms: u64,
    },
    /// The request ran and got this answer.
    Done(StoredAnswer),
    /// The request reached an endpoint, but its outcome is unknown.
    MayHaveRun,
}

/// The value of a claim row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The request that holds the claim. Request ids are never reused, so this identifies the row's owner.
    pub holder: RequestId,
    /// Hash of method, path, query and body. A key that is reused for a different request is rejected.
    pub digest: u64,
    /// The state of the request.
    pub state: ClaimState,
}

/// The status of an existing claim, as reported to a later request with the same key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExistingClaim {
    /// The claiming request has not reached its deadline yet.
    InProgress,
    /// The claiming request ran and got this answer.
    Answered(StoredAnswer),
    /// The claiming request may have run.
    MayHaveRun,
    /// The key was used for a different request.
    DifferentRequest,
}

impl Claim {
    /// The status of this claim for a later request with `digest` that arrives at `now_unix_ms`.
    pub fn status_for(&self, digest: u64, now_unix_ms: u64) -> ExistingClaim {
        if self.digest != digest {
            return ExistingClaim::DifferentRequest;
        }
        match &self.state {
            ClaimState::Done(answer) => ExistingClaim::Answered(answer.clone()),
            ClaimState::Claimed { until_unix_ms } if now_unix_ms <= *until_unix_ms => {
                ExistingClaim::InProgress
            }
            ClaimState::Claimed { .. } | ClaimState::MayHaveRun => ExistingClaim::MayHaveRun,
        }
    }
}
