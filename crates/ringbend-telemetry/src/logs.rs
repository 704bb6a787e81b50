//! Logging as text or as one JSON object per line, to standard output or standard error.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::time::{SystemTime, UNIX_EPOCH};

use log::kv::{Key, Value, VisitSource};
use ringbend_types::{FieldValue, MessageText};
use serde::{Deserialize, Serialize};

use crate::line_queue::LineQueue;

/// The format of a log line.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// `TIME LEVEL TARGET MESSAGE key=value …`. Values and messages that could be taken for other fields or
    /// lines are quoted and escaped, as they may contain text from callers, endpoints and the store.
    #[default]
    Text,
    /// One JSON object.
    Json,
}

/// The destination of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogOutput {
    /// Standard output.
    Stdout,
    /// Standard error, for programs that use standard output for something else.
    #[default]
    Stderr,
}

/// The string is not the name of a log format.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseLogFormatError;

impl fmt::Display for ParseLogFormatError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "expected text or json")
    }
}

impl std::error::Error for ParseLogFormatError {}

impl FromStr for LogFormat {
    type Err = ParseLogFormatError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(ParseLogFormatError),
        }
    }
}

/// Configuration of the logger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LogConfig {
    /// The format of a log line.
    pub format: LogFormat,
    /// The minimum level that is logged: `off`, `error`, `warn`, `info`, `debug` or `trace`.
    pub level: log::LevelFilter,
    /// The destination of log lines.
    pub output: LogOutput,
}

impl Default for LogConfig {
    fn default() -> Self {
        Self { format: LogFormat::Text, level: log::LevelFilter::Info, output: LogOutput::Stdout }
    }
}

/// A logger has already been set in this process.
#[derive(Debug)]
pub struct LogError(log::SetLoggerError);

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a logger is already set: {}", self.0)
    }
}

impl std::error::Error for LogError {}

#[derive(Serialize)]
struct Line<'a> {
    unix_ms: u128,
    level: &'a str,
    target: &'a str,
    message: String,
    #[serde(flatten)]
    fields: Fields,
}

#[derive(Default, Serialize)]
#[serde(transparent)]
struct Fields(BTreeMap<String, String>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        self.0.insert(key.to_string(), value.to_string());
        Ok(())
    }
}

/// Starts the logger of the process. A separate thread writes the lines. Lines that arrive while its queue
/// is full are dropped and counted, so that no request waits for a slow reader of the log.
///
/// # Errors
///
/// Fails if a logger has already been set in this process.
pub fn init_logging(cfg: &LogConfig) -> Result<(), LogError> {
    let format = cfg.format;
    let queue = LineQueue::start(cfg.output);
    fern::Dispatch::new()
        .level(cfg.level)
        .level_for("quinn", log::LevelFilter::Warn)
        .level_for("quinn_proto", log::LevelFilter::Warn)
        .format(move |out, message, record| {
            let mut fields = Fields::default();
            let _ = record.key_values().visit(&mut fields);
            let unix_ms =
                SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
            let (level, target) = (record.level().as_str(), record.target());
            match format {
                LogFormat::Json => {
                    let message = message.to_string();
                    let line = Line { unix_ms, level, target, message, fields };
                    let line = serde_json::to_string(&line).unwrap_or_default();
                    out.finish(format_args!("{line}"));
                }
                LogFormat::Text => {
                    let fields = fields.0.iter();
                    let fields: String = fields
                        .map(|(key, value)| format!(" {key}={}", FieldValue(value)))
                        .collect();
                    let message = message.to_string();
                    let message = MessageText(&message);
                    out.finish(format_args!("{unix_ms} {level} {target} {message}{fields}"));
                }
            }
        })
        .chain(fern::Output::call(move |record| queue.push(record.args().to_string())))
        .apply()
        .map_err(LogError)
}
