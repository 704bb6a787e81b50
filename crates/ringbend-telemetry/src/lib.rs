//! Observability: logs with `fern`, metrics with `prometheus-client`, and trace spans that are exported
//! over OTLP if a collector address is set.

mod line_queue;
mod logs;
mod metric_labels;
mod metrics;
mod traces;

pub use line_queue::flush_logs;
pub use logs::{LogConfig, LogError, LogFormat, LogOutput, ParseLogFormatError, init_logging};
pub use metrics::{Metrics, Outcome};
pub use traces::{Export, TraceContext, TraceSpan, TraceSpanKind, Tracing};
