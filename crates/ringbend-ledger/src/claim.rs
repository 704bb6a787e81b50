//! The claim row of one request that may run only once.

use std::sync::Arc;

use ringbend_platform::RowKey;
use ringbend_types::{ClientAccountId, RequestId, RequestKey};
use serde::{Deserialize, Serialize};

/// Answers up to this size are kept in the claim row; larger ones go to the object store.
pub const MAX_INLINE_ANSWER_BYTES: usize = 32 * 1024;

/// Names a claim: the account and the caller's own key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimKey {
    /// Whose request.
    pub account: ClientAccountId,
    /// The caller's key, unique within the account.
    pub key: RequestKey,
}

impl ClaimKey {
    /// The row of this claim.
    pub fn row(&self) -> RowKey {
        RowKey::new(format!("claim/{}/{}", self.account, self.key))
    }
}

/// Where a kept answer's body is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerBody {
    /// In the row, as text.
    Inline(Arc<str>),
    /// In the object store under this name.
    Object(Arc<str>),
}

/// The answer of a request that ran, kept for later arrivals with the same key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: Arc<str>,
    /// The body.
    pub body: AnswerBody,
}

/// How far the claimed request is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// Claimed; may be running until the holder's deadline on the wall clock. The clock only
    /// chooses between two words for the second arrival; nothing runs on its strength.
    Claimed {
        /// Milliseconds since the Unix epoch.
        until_unix_ms: u64,
    },
    /// Ran, with this answer.
    Done(StoredAnswer),
    /// Reached an endpoint and no definite word came back.
    MayHaveRun,
}

/// The value of a claim row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The request that holds the claim; never reused, so it tells whose row this is.
    pub holder: RequestId,
    /// Hash of method, path and body: a key used again for another request is refused.
    pub digest: u64,
    /// How far it is.
    pub state: ClaimState,
}

/// What a second arrival hears.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExistingClaim {
    /// The first is still within its time.
    InProgress,
    /// The first ran; here is its answer.
    Answered(StoredAnswer),
    /// The first may have run.
    MayHaveRun,
    /// The key belongs to a different request.
    DifferentRequest,
}

impl Claim {
    /// What a later arrival with `digest` hears at `now_unix_ms`.
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
