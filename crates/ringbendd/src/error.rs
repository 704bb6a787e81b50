//! Errors that keep the daemon from starting.

use std::fmt;

/// The step that failed; the attached report has the cause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DaemonError {
    /// The settings file cannot be read or is invalid.
    Config,
    /// The TLS keys or certificates cannot be read or do not match.
    Tls,
    /// An address cannot be listened on.
    Listen,
    /// The trace exporter cannot be set up.
    Traces,
    /// Logging cannot be set up.
    Logs,
}

impl fmt::Display for DaemonError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Config => "cannot load the settings file",
            Self::Tls => "cannot load the TLS keys or certificates",
            Self::Listen => "cannot listen on an address",
            Self::Traces => "cannot set up the trace exporter",
            Self::Logs => "cannot set up logging",
        })
    }
}

impl std::error::Error for DaemonError {}
