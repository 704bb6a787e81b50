//! To see what Ringbend does: logs by `fern`, metrics by `prometheus-client`, and traces with a
//! span for each hop, exported by OTLP when an address is set.

mod line_queue;
mod logs;
mod metrics;
mod traces;

pub use line_queue::flush_logs;
pub use logs::{LogConfig, LogError, LogFormat, LogOutput, ParseLogFormatError, init_logging};
pub use metrics::{Metrics, Outcome};
pub use traces::{Export, TraceContext, TraceSpan, TraceSpanKind, Tracing};
