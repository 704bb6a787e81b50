//! Why the daemon cannot start or go on.

use std::fmt;

/// The step that failed; the report beneath says why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DaemonError {
    /// The settings file cannot be read or does not hold.
    Config,
    /// Keys or certificates cannot be read or do not fit.
    Tls,
    /// An address cannot be listened on.
    Listen,
    /// The trace exporter cannot be set up.
    Traces,
    /// Logs cannot be started.
    Logs,
}

impl fmt::Display for DaemonError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Config => "the settings file cannot be used",
            Self::Tls => "the keys or certificates cannot be used",
            Self::Listen => "an address cannot be listened on",
            Self::Traces => "the trace exporter cannot be set up",
            Self::Logs => "logs cannot be started",
        })
    }
}

impl std::error::Error for DaemonError {}
