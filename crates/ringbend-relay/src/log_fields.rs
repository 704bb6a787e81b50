//! Formatting of values in log messages.

use std::fmt;
use std::time::Duration;

use ringbend_types::{ClientAccountId, PromptPartId};

/// Milliseconds, or a dash if there is no value.
pub(crate) struct Millis(pub(crate) Option<Duration>);

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(duration) => write!(f, "{}", duration.as_millis()),
            None => write!(f, "-"),
        }
    }
}

/// A client account, or a dash on public routes.
pub(crate) struct AccountName<'a>(pub(crate) Option<&'a ClientAccountId>);

impl fmt::Display for AccountName<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(account) => write!(f, "{account}"),
            None => write!(f, "-"),
        }
    }
}

/// The debug format of an optional outcome.
pub(crate) struct OrNoAnswer<T>(pub(crate) Option<T>);

impl<T: fmt::Debug> fmt::Display for OrNoAnswer<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            Some(value) => write!(f, "{value:?}"),
            None => write!(f, "no answer"),
        }
    }
}

/// A part of prompts, or a dash for a request.
pub(crate) struct PartName(pub(crate) Option<PromptPartId>);

impl fmt::Display for PartName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(part) => write!(f, "{part}"),
            None => write!(f, "-"),
        }
    }
}
