//! Cuts an opaque event stream into whole events and reads their ids.
//!
//! Only whole events are passed on, so that a stream which breaks inside one can be continued after
//! the last whole event without a caller seeing half of it.

/// The id of an event.
pub type EventId = u64;

/// One whole event, as the endpoint sent it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The bytes, the blank line at the end included.
    pub bytes: Vec<u8>,
    /// Its id, if it has one.
    pub id: Option<EventId>,
}

/// The stream sent more than an event may hold without ending it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLong;

impl std::fmt::Display for EventTooLong {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "an event is longer than {MAX_EVENT_BYTES} bytes")
    }
}

impl std::error::Error for EventTooLong {}

/// The longest event that is held; real ones have some hundred bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Collects bytes until an event is whole.
#[derive(Debug, Clone, Default)]
pub struct EventSplitter {
    buf: Vec<u8>,
}

impl EventSplitter {
    /// Takes in bytes and returns the events that they complete.
    ///
    /// # Errors
    ///
    /// An event does not end.
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

    /// Whether the stream ended between two events.
    pub fn is_between_events(&self) -> bool {
        self.buf.is_empty()
    }
}

/// Where the first event ends, after its blank line.
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
