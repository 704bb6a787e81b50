//! To see what Ringbend does: logs by `fern`, metrics by `prometheus-client`, and traces with a
//! span for each hop, exported by OTLP when an address is set.

mod lines;
mod logs;
mod metrics;
mod traces;

pub use lines::drain_logs;
pub use logs::{LogConfig, LogError, LogFormat, LogOutput, ParseLogFormatError, start_logs};
pub use metrics::{Metrics, Outcome};
pub use traces::{Export, Hop, HopKind, TraceContext, Tracing};
