//! Server-sent events of an engine. They are split without copying, parsed only as far as needed
//! and forwarded unchanged.

use std::borrow::Cow;
use std::fmt;

use bytes::{Bytes, BytesMut};
use serde::Deserialize;

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Why an event stream cannot be parsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SseError {
    /// An event exceeds the size limit.
    TooLong,
    /// An event is not `data:` followed by the API's JSON.
    Malformed,
}

impl fmt::Display for SseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong => write!(f, "an event exceeds {MAX_EVENT_BYTES} bytes"),
            Self::Malformed => write!(f, "an event is malformed"),
        }
    }
}

impl std::error::Error for SseError {}

/// An event of the stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum SseEvent {
    /// A token.
    Token(TokenEvent),
    /// The end of the response.
    Done(Bytes),
}

/// A token event as sent by the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct TokenEvent {
    /// The event's bytes, to be forwarded unchanged.
    pub(crate) bytes: Bytes,
    /// The id of the request that the engine says it belongs to.
    pub(crate) id: String,
    /// The token's text.
    pub(crate) text: String,
    /// The finish reason, on the last token.
    pub(crate) finish: Option<String>,
    /// The total number of tokens in the response according to the engine, on the last event.
    pub(crate) total: Option<u64>,
}

#[derive(Deserialize)]
struct Payload<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
    #[serde(borrow)]
    choices: Vec<Choice<'a>>,
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Choice<'a> {
    #[serde(borrow)]
    text: Option<Cow<'a, str>>,
    #[serde(borrow)]
    delta: Option<Delta<'a>>,
    #[serde(borrow)]
    finish_reason: Option<Cow<'a, str>>,
}

#[derive(Deserialize)]
struct Delta<'a> {
    #[serde(borrow)]
    content: Option<Cow<'a, str>>,
}

#[derive(Deserialize)]
struct Usage {
    completion_tokens: u64,
}

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub(crate) struct SseReader {
    buf: BytesMut,
}

impl SseReader {
    /// Appends received bytes.
    pub(crate) fn push(&mut self, chunk: &[u8]) {
        self.buf.extend_from_slice(chunk);
    }

    /// Returns the next complete event, if there is one.
    pub(crate) fn next(&mut self) -> Result<Option<SseEvent>, SseError> {
        let Some(end) = self.buf.windows(2).position(|pair| pair == b"\n\n") else {
            let too_long = self.buf.len() > MAX_EVENT_BYTES;
            return if too_long { Err(SseError::TooLong) } else { Ok(None) };
        };
        let bytes = self.buf.split_to(end + 2).freeze();
        let data = bytes[..end].strip_prefix(b"data: ").ok_or(SseError::Malformed)?;
        if data == b"[DONE]" {
            return Ok(Some(SseEvent::Done(bytes)));
        }
        let payload: Payload<'_> = serde_json::from_slice(data).map_err(|_| SseError::Malformed)?;
        let choice = payload.choices.first();
        let text = choice.and_then(|c| {
            c.text.as_deref().or(c.delta.as_ref().and_then(|d| d.content.as_deref()))
        });
        let (id, text) = (payload.id.into_owned(), text.unwrap_or_default().to_owned());
        let finish = choice.and_then(|c| c.finish_reason.as_deref()).map(str::to_owned);
        let total = payload.usage.map(|u| u.completion_tokens);
        Ok(Some(SseEvent::Token(TokenEvent { bytes: bytes.clone(), id, text, finish, total })))
    }
}
