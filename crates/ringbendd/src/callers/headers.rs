//! The request headers that callers can set; see `docs/API.md`.

use std::time::Duration;

use actix_http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use ringbend_telemetry::TraceContext;
use ringbend_types::{ClassName, ClientAccountId, RequestKey};

use super::failure::Failure;

/// The request class.
pub(crate) const CLASS: &str = "x-ringbend-class";
/// Milliseconds until the response must be complete.
pub(crate) const DEADLINE: &str = "x-ringbend-deadline-ms";
/// The caller's key for a request that must not be repeated.
pub(crate) const REQUEST_KEY: &str = "x-ringbend-request-key";
/// Whether the request must not be repeated.
pub(crate) const NOT_REPEATABLE: &str = "x-ringbend-not-repeatable";

/// The parsed headers of a request.
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
        let millis: Option<u64> =
            parse_header(headers, DEADLINE, "a whole number of milliseconds")?;
        let trace = headers.get("traceparent").and_then(|value| value.to_str().ok());
        Ok(Self {
            account,
            class: parse_header(headers, CLASS, "a class name")?,
            deadline: millis.map(Duration::from_millis),
            key: parse_header(headers, REQUEST_KEY, "1 to 128 of a-z A-Z 0-9 . _ : -")?,
            not_repeatable: parse_header(headers, NOT_REPEATABLE, "true or false")?
                .unwrap_or(false),
            trace: TraceContext::from_header(trace),
        })
    }
}

/// Parses a header that may occur once. A repeated header is an error, because it is ambiguous
/// which value counts.
fn parse_header<T: std::str::FromStr>(
    headers: &HeaderMap,
    name: &'static str,
    expected: &'static str,
) -> Result<Option<T>, Failure> {
    let mut all = headers.get_all(name);
    let Some(value) = all.next() else { return Ok(None) };
    let invalid = || Failure::BadHeader { name, expected };
    if all.next().is_some() {
        return Err(invalid());
    }
    let value = value.to_str().map_err(|_| invalid())?;
    value.parse().map(Some).map_err(|_| invalid())
}

/// Returns the content length if there is one. A repeated content length, or one together with a
/// transfer encoding, is how requests are smuggled and is rejected.
pub(crate) fn content_length(headers: &HeaderMap) -> Result<Option<usize>, Failure> {
    let expected = "a single whole number and no transfer-encoding header";
    let length = parse_header(headers, "content-length", expected)?;
    if length.is_some() && headers.contains_key(TRANSFER_ENCODING) {
        return Err(Failure::BadHeader { name: CONTENT_LENGTH_NAME, expected });
    }
    debug_assert_eq!(CONTENT_LENGTH.as_str(), CONTENT_LENGTH_NAME);
    Ok(length)
}

const CONTENT_LENGTH_NAME: &str = "content-length";
