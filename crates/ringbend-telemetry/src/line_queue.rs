//! A bounded queue of log lines and the thread that writes them.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

use crate::logs::LogOutput;

/// Maximum number of queued lines. A line has about 200 bytes, so the queue stays below half a megabyte.
const MAX_QUEUED_LINES: usize = 2_048;

/// Number of queued lines in the whole process that are not written yet.
static QUEUED_LINES: AtomicU64 = AtomicU64::new(0);

/// Interval at which `flush_logs` checks the queue.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Waits until the log queue is empty, but no longer than `limit`. To be called before the process exits,
/// because the exit does not wait for the writer thread.
pub fn flush_logs(limit: Duration) {
    let deadline = Instant::now() + limit;
    while QUEUED_LINES.load(Ordering::Relaxed) > 0 && Instant::now() < deadline {
        thread::sleep(FLUSH_POLL_INTERVAL);
    }
}

/// The sending half of the queue.
pub(crate) struct LineQueue {
    tx: SyncSender<String>,
    dropped_lines: Arc<AtomicU64>,
}

impl LineQueue {
    /// Starts the writer thread.
    pub(crate) fn start(output: LogOutput) -> Self {
        let (tx, rx) = sync_channel(MAX_QUEUED_LINES);
        let dropped_lines = Arc::new(AtomicU64::new(0));
        let counter = dropped_lines.clone();
        thread::spawn(move || match output {
            LogOutput::Stdout => write_lines(&rx, &counter, &mut std::io::stdout()),
            LogOutput::Stderr => write_lines(&rx, &counter, &mut std::io::stderr()),
        });
        Self { tx, dropped_lines }
    }

    /// Queues a line, or counts it as dropped if the queue is full.
    pub(crate) fn push(&self, line: String) {
        QUEUED_LINES.fetch_add(1, Ordering::Relaxed);
        if self.tx.try_send(line).is_err() {
            QUEUED_LINES.fetch_sub(1, Ordering::Relaxed);
            self.dropped_lines.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn write_lines(rx: &Receiver<String>, dropped_lines: &AtomicU64, out: &mut dyn Write) {
    while let Ok(line) = rx.recv() {
        let mut text = line + "\n";
        let mut lines = 1;
        // All other queued lines are written together with this one.
        while let Ok(line) = rx.try_recv() {
            text.push_str(&line);
            text.push('\n');
            lines += 1;
        }
        let dropped = dropped_lines.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            text.push_str(&format!("{{\"level\":\"WARN\",\"lines_left_out\":{dropped}}}\n"));
        }
        // A failure to write the log cannot be reported anywhere, so it only counts as a dropped line.
        if out.write_all(text.as_bytes()).and_then(|()| out.flush()).is_err() {
            dropped_lines.fetch_add(1, Ordering::Relaxed);
        }
        QUEUED_LINES.fetch_sub(lines, Ordering::Relaxed);
    }
}
