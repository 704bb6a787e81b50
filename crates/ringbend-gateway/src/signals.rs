//! What an endpoint signals about itself in the heads of its responses.
//!
//! The adapter decodes each header once. Whether an endpoint may be sent to is decided from [`Limits`],
//! [`Drains`] and [`Backoffs`], which keep what was signalled.
//!
//! [`Limits`]: crate::Limits
//! [`Drains`]: crate::Drains
//! [`Backoffs`]: crate::Backoffs

use std::fmt;

use ringbend_types::{ParseDecimalError, RetryAfter};
use smallvec::SmallVec;

use crate::limits::LimitSignal;

/// One signal of a response head.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Signal<T> {
    /// The response does not have it.
    #[default]
    Absent,
    /// It is there.
    Present(T),
    /// It is there and cannot be parsed. Earlier signals hold on.
    Malformed(MalformedSignal),
}

/// Why a signal cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MalformedSignal {
    /// It is no text.
    NotText,
    /// It is neither yes nor no.
    NotAFlag,
    /// It is no delay.
    Delay(ParseDecimalError),
}

impl fmt::Display for MalformedSignal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotText => f.write_str("no text"),
            Self::NotAFlag => f.write_str("neither yes nor no"),
            Self::Delay(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for MalformedSignal {}

/// The endpoint is draining: its process ends soon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Draining;

/// All signals of one response head.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EndpointSignals {
    /// How much the endpoint takes from all instances together.
    pub limit: LimitSignal,
    /// Whether it announces that it is draining.
    pub draining: Signal<Draining>,
    /// How long this instance is to send it nothing, if it rejected the request for overload.
    pub backoff: Signal<RetryAfter>,
    /// Whether it states that it did not take the request.
    pub rejected: bool,
    /// Headers of the endpoint protocol that this version does not know, by name.
    pub unknown: SmallVec<[Box<str>; 1]>,
}
