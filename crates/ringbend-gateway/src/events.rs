//! Splits an opaque event stream into complete events and extracts their ids.
//!
//! Only complete events are forwarded, so that a stream that breaks inside an event can be resumed
//! after the last complete one without the caller seeing a partial event.

/// The id of an event.
pub type EventId = u64;

/// A complete event, as sent by the endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The bytes, including the blank line at the end.
    pub bytes: Vec<u8>,
    /// The id, if the event has one.
    pub id: Option<EventId>,
}

/// The stream exceeded the maximum event size without ending the event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLong;

impl std::fmt::Display for EventTooLong {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "an event is longer than {MAX_EVENT_BYTES} bytes")
    }
}

impl std::error::Error for EventTooLong {}

/// The maximum size of a buffered event; typical events have a few hundred bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Buffers bytes until an event is complete.
#[derive(Debug, Clone, Default)]
pub struct EventSplitter {
    buf: Vec<u8>,
}

impl EventSplitter {
    /// Appends bytes and returns the events that they complete.
    ///
    /// # Errors
    ///
    /// The event exceeds the maximum size.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<Event>, EventTooLong> {
        self.buf.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = event_end(&self.buf) {
            let rest = self.buf.split_off(end);
            let bytes = std::mem::replace(&mut self.buf, rest);
            let id = event_id(&bytes);
            events.push(Event { bytes, id });
        }
        if self.buf.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        Ok(events)
    }

    /// The number of buffered bytes of an incomplete event.
    pub fn incomplete_bytes(&self) -> usize {
        self.buf.len()
    }

    /// Whether the stream ended at an event boundary.
    pub fn is_between_events(&self) -> bool {
        self.buf.is_empty()
    }
}

/// The end of the first event, after its blank line.
fn event_end(buf: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (at, byte) in buf.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &buf[line_start..at];
        if line.is_empty() || line == b"\r" {
            return Some(at + 1);
        }
        line_start = at + 1;
    }
    None
}

fn event_id(event: &[u8]) -> Option<EventId> {
    let lines = event.split(|b| *b == b'\n');
    let value = lines.filter_map(|line| line.strip_prefix(b"id:")).next_back()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
