//! A bounded queue of log lines with a thread that writes them.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

use crate::logs::LogOutput;

/// Lines that may wait for the writer. A line has some 200 bytes, so this is below half a megabyte.
const MAX_LINES: usize = 2_048;

/// Lines that were queued and are not written yet, over the whole process.
static WAITING: AtomicU64 = AtomicU64::new(0);

/// How often `flush_logs` looks.
const DRAIN_STEP: Duration = Duration::from_millis(2);

/// Waits until the lines queued so far are written, but no longer than `limit`. For the end of a
/// process, which does not wait for the writer by itself.
pub fn flush_logs(limit: Duration) {
    let end = Instant::now() + limit;
    while WAITING.load(Ordering::Relaxed) > 0 && Instant::now() < end {
        thread::sleep(DRAIN_STEP);
    }
}

/// The queue's sending end.
pub(crate) struct LineQueue {
    tx: SyncSender<String>,
    left_out: Arc<AtomicU64>,
}

impl LineQueue {
    /// Starts the writer.
    pub(crate) fn start(output: LogOutput) -> Self {
        let (tx, rx) = sync_channel(MAX_LINES);
        let left_out = Arc::new(AtomicU64::new(0));
        let counted = left_out.clone();
        thread::spawn(move || match output {
            LogOutput::Stdout => write_lines(&rx, &counted, &mut std::io::stdout()),
            LogOutput::Stderr => write_lines(&rx, &counted, &mut std::io::stderr()),
        });
        Self { tx, left_out }
    }

    /// Queues a line, or counts it as left out.
    pub(crate) fn push(&self, line: String) {
        WAITING.fetch_add(1, Ordering::Relaxed);
        if self.tx.try_send(line).is_err() {
            WAITING.fetch_sub(1, Ordering::Relaxed);
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn write_lines(rx: &Receiver<String>, left_out: &AtomicU64, out: &mut dyn Write) {
    while let Ok(line) = rx.recv() {
        let mut text = line + "\n";
        let mut lines = 1;
        // What else waits is written together with it.
        while let Ok(line) = rx.try_recv() {
            text.push_str(&line);
            text.push('\n');
            lines += 1;
        }
        let missing = left_out.swap(0, Ordering::Relaxed);
        if missing > 0 {
            text.push_str(&format!("{{\"level\":\"WARN\",\"lines_left_out\":{missing}}}\n"));
        }
        // There is nowhere left to report that the log cannot be written.
        if out.write_all(text.as_bytes()).and_then(|()| out.flush()).is_err() {
            left_out.fetch_add(1, Ordering::Relaxed);
        }
        WAITING.fetch_sub(lines, Ordering::Relaxed);
    }
}
