//! How values look in log lines.

use std::fmt;
use std::time::Duration;

/// Milliseconds, or a dash where there is nothing to tell.
pub(crate) struct Millis(pub(crate) Option<Duration>);

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(span) => write!(f, "{}", span.as_millis()),
            None => write!(f, "-"),
        }
    }
}

/// A word for an outcome that may be missing.
pub(crate) struct Word<T>(pub(crate) Option<T>);

impl<T: fmt::Debug> fmt::Display for Word<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            Some(word) => write!(f, "{word:?}"),
            None => write!(f, "no answer"),
        }
    }
}
