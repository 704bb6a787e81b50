//! Signals that an endpoint sends about itself in response headers.
//!
//! The adapter decodes each header once. [`Limits`], [`Drains`] and [`Backoffs`] keep the signals
//! and decide whether an endpoint may be used.
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
    /// The header is absent.
    #[default]
    Absent,
    /// The header is present and valid.
    Present(T),
    /// The header is present but cannot be parsed. Earlier signals stay in force.
    Malformed(MalformedSignal),
}

/// Why a signal cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MalformedSignal {
    /// The value is not text.
    NotText,
    /// The value is neither yes nor no.
    NotAFlag,
    /// The value is not a delay.
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
    /// The rate that the endpoint accepts from all instances together.
    pub limit: LimitSignal,
    /// Whether it announces that it is draining.
    pub draining: Signal<Draining>,
    /// How long this instance must not send to it, if it rejected the request because of overload.
    pub backoff: Signal<RetryAfter>,
    /// Whether it states that it did not accept the request.
    pub rejected: bool,
    /// Names of headers of the endpoint protocol that this version does not know.
    pub unknown: SmallVec<[Box<str>; 1]>,
}
