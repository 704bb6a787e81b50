//! The headers by which callers say what they want; see `docs/API.md`.

use std::time::Duration;

use actix_http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use ringbend_telemetry::TraceContext;
use ringbend_types::{ClassName, ClientAccountId, RequestKey};

use super::failure::Failure;

/// Names the request class.
pub(crate) const CLASS: &str = "x-ringbend-class";
/// Milliseconds until the answer must have ended.
pub(crate) const DEADLINE: &str = "x-ringbend-deadline-ms";
/// The caller's key of a request that must not be repeated.
pub(crate) const REQUEST_KEY: &str = "x-ringbend-request-key";
/// Says that the request must not be repeated.
pub(crate) const NOT_REPEATABLE: &str = "x-ringbend-not-repeatable";

/// What the headers say.
#[derive(Debug, Clone)]
pub(crate) struct CallHeaders {
    pub(crate) account: ClientAccountId,
    pub(crate) class: Option<ClassName>,
    pub(crate) deadline: Option<Duration>,
    pub(crate) key: Option<RequestKey>,
    pub(crate) not_repeatable: bool,
    pub(crate) trace: TraceContext,
}

impl CallHeaders {
    pub(crate) fn read(headers: &HeaderMap, account: ClientAccountId) -> Result<Self, Failure> {
        let millis: Option<u64> = parsed(headers, DEADLINE, "a whole number of milliseconds")?;
        let trace = headers.get("traceparent").and_then(|value| value.to_str().ok());
        Ok(Self {
            account,
            class: parsed(headers, CLASS, "a class name")?,
            deadline: millis.map(Duration::from_millis),
            key: parsed(headers, REQUEST_KEY, "1 to 128 of a-z A-Z 0-9 . _ : -")?,
            not_repeatable: parsed(headers, NOT_REPEATABLE, "true or false")?.unwrap_or(false),
            trace: TraceContext::from_header(trace),
        })
    }
}

/// The one value of a header. Two values are an error: which one counts would be a guess.
fn parsed<T: std::str::FromStr>(
    headers: &HeaderMap,
    name: &'static str,
    expected: &'static str,
) -> Result<Option<T>, Failure> {
    let mut all = headers.get_all(name);
    let Some(value) = all.next() else { return Ok(None) };
    let bad = || Failure::BadHeader { name, expected };
    if all.next().is_some() {
        return Err(bad());
    }
    let value = value.to_str().map_err(|_| bad())?;
    value.parse().map(Some).map_err(|_| bad())
}

/// The announced length of the body, if it is announced. Announcing it twice or beside a transfer encoding is how
/// requests are smuggled, and is refused.
pub(crate) fn content_length(headers: &HeaderMap) -> Result<Option<usize>, Failure> {
    let expected = "one whole number, and no transfer-encoding beside it";
    let length = parsed(headers, "content-length", expected)?;
    if length.is_some() && headers.contains_key(TRANSFER_ENCODING) {
        return Err(Failure::BadHeader { name: CONTENT_LENGTH_NAME, expected });
    }
    debug_assert_eq!(CONTENT_LENGTH.as_str(), CONTENT_LENGTH_NAME);
    Ok(length)
}

const CONTENT_LENGTH_NAME: &str = "content-length";
