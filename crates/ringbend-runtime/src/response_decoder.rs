//! Decodes HTTP/1.1 responses with the codec of `actix-http`, after stricter checks of the head.
//!
//! The codec accepts whitespace between a field name and the colon, ambiguous body framing and any
//! three-digit status. Forwarding such responses allows response smuggling.

use std::panic::AssertUnwindSafe;

use actix_codec::Decoder;
use actix_http::error::{ParseError, PayloadError};
use actix_http::h1::{ClientCodec, ClientPayloadCodec};
use actix_http::header::{CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING};
use actix_http::{Method, ResponseHead, ServiceConfig, StatusCode, Version};
use bytes::{Bytes, BytesMut};
use futures_util::FutureExt;

/// Maximum size of a response head, with the interim responses before it, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Maximum number of fields in a response head, as in the codec.
const MAX_FIELDS: usize = 96;

/// Maximum size of chunk sizes and extensions between two chunks, or of the trailers, in bytes.
const MAX_CHUNK_OVERHEAD_BYTES: usize = 64 << 10;

/// Valid status codes.
const STATUSES: std::ops::RangeInclusive<u16> = 100..=599;

/// Decodes the head of the response to one request.
pub struct ResponseDecoder {
    cfg: ServiceConfig,
    method: Method,
    /// The size of the decoded heads, including interim ones, in bytes.
    decoded_bytes: usize,
}

impl ResponseDecoder {
    /// Creates a decoder of the response to a request with this method.
    pub fn new(cfg: ServiceConfig, method: Method) -> Self {
        Self { cfg, method, decoded_bytes: 0 }
    }

    /// Decodes the head of the final response from `buf` and skips interim responses. Returns `None`
    /// if the head is incomplete.
    ///
    /// # Errors
    ///
    /// Fails if the head is malformed, its body framing is ambiguous, or it is too large.
    pub fn decode(
        &mut self,
        buf: &mut BytesMut,
    ) -> Result<Option<(ResponseHead, BodyDecoder)>, ParseError> {
        loop {
            let size = check_head(buf)?;
            if self.decoded_bytes + size.unwrap_or(buf.len()) > MAX_HEAD_BYTES {
                return Err(ParseError::TooLarge);
            }
            let Some(size) = size else { return Ok(None) };
            self.decoded_bytes += size;
            // The codec keeps state from the head before.
            let mut codec = ClientCodec::new(self.cfg.clone());
            let Some(head) = codec.decode(buf)? else { return Ok(None) };
            if head.status.is_informational() {
                continue;
            }
            let framing = framing(&self.method, &head, codec)?;
            return Ok(Some((head, BodyDecoder { framing })));
        }
    }
}

/// Validates the head at the start of `buf` and returns its size, or `None` if it is incomplete.
fn check_head(buf: &[u8]) -> Result<Option<usize>, ParseError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut response = httparse::Response::new(&mut fields);
    let size = match response.parse(buf)? {
        httparse::Status::Complete(size) => size,
        httparse::Status::Partial => return Ok(None),
    };
    // Requests never ask for a protocol upgrade.
    let is_valid = |status: u16| {
        STATUSES.contains(&status) && status != StatusCode::SWITCHING_PROTOCOLS.as_u16()
    };
    match response.code.is_some_and(is_valid) {
        true => Ok(Some(size)),
        false => Err(ParseError::Status),
    }
}

/// The framing of a response body.
enum Framing {
    /// The body is complete.
    Done,
    /// The remaining content length.
    Length(u64),
    /// Chunked transfer coding.
    Chunked {
        codec: ClientPayloadCodec,
        /// Bytes decoded since the last chunk.
        overhead: usize,
        /// What follows the chunks of the last part.
        next: Option<Result<BodyPart, PayloadError>>,
    },
    /// The body extends to the end of the connection.
    UntilClose,
}

fn framing(
    method: &Method,
    head: &ResponseHead,
    codec: ClientCodec,
) -> Result<Framing, ParseError> {
    let length = head.headers.get(CONTENT_LENGTH);
    let encoding = head.headers.get(TRANSFER_ENCODING);
    if let Some(encoding) = encoding
        && (length.is_some() || head.version != Version::HTTP_11 || !is_chunked(encoding))
    {
        return Err(ParseError::Header);
    }
    let has_no_body = match head.status {
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED => true,
        status => *method == Method::HEAD || (*method == Method::CONNECT && status.is_success()),
    };
    if has_no_body {
        return Ok(Framing::Done);
    }
    if encoding.is_some() {
        return Ok(Framing::Chunked { codec: codec.into_payload_codec(), overhead: 0, next: None });
    }
    let Some(length) = length else { return Ok(Framing::UntilClose) };
    let length = length.to_str().ok().and_then(|text| text.trim().parse().ok());
    length.map(Framing::Length).ok_or(ParseError::Header)
}

fn is_chunked(encoding: &HeaderValue) -> bool {
    encoding.to_str().is_ok_and(|encoding| encoding.trim().eq_ignore_ascii_case("chunked"))
}

/// The next part of a response body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BodyPart {
    /// A piece of the body.
    Chunk(Bytes),
    /// The end of the body.
    End,
    /// More bytes are needed.
    Incomplete,
}

/// Decodes the body of a response.
pub struct BodyDecoder {
    framing: Framing,
}

impl BodyDecoder {
    /// Decodes the next part of the body from `buf`.
    ///
    /// # Errors
    ///
    /// Fails if the chunked coding is malformed, or its overhead exceeds the limit.
    pub fn decode(&mut self, buf: &mut BytesMut) -> Result<BodyPart, PayloadError> {
        let part = match &mut self.framing {
            Framing::Done => BodyPart::End,
            Framing::Length(0) => BodyPart::End,
            Framing::Length(_) | Framing::UntilClose if buf.is_empty() => BodyPart::Incomplete,
            Framing::Length(left) => {
                let size = usize::try_from(*left).unwrap_or(usize::MAX).min(buf.len());
                *left -= size as u64;
                BodyPart::Chunk(buf.split_to(size).freeze())
            }
            Framing::Chunked { codec, overhead, next } => match next.take() {
                Some(part) => part?,
                None => decode_chunks(codec, overhead, next, buf)?,
            },
            Framing::UntilClose => BodyPart::Chunk(buf.split().freeze()),
        };
        if part == BodyPart::End {
            self.framing = Framing::Done;
        }
        Ok(part)
    }

    /// Whether the body extends to the end of the connection.
    pub fn ends_with_connection(&self) -> bool {
        matches!(self.framing, Framing::UntilClose)
    }

    /// The number of remaining bytes, if known in advance.
    pub fn remaining(&self) -> Option<u64> {
        match self.framing {
            Framing::Done => Some(0),
            Framing::Length(left) => Some(left),
            Framing::Chunked { .. } | Framing::UntilClose => None,
        }
    }
}

/// Decodes all chunks that have arrived into one part, so that many small ones take no longer than
/// a few large ones. Leaves in `next` what follows them, if that ends the body.
fn decode_chunks(
    codec: &mut ClientPayloadCodec,
    overhead: &mut usize,
    next: &mut Option<Result<BodyPart, PayloadError>>,
    buf: &mut BytesMut,
) -> Result<BodyPart, PayloadError> {
    let first = match decode_chunk(codec, overhead, buf)? {
        BodyPart::Chunk(chunk) => chunk,
        part => return Ok(part),
    };
    let mut joined = BytesMut::new();
    while !buf.is_empty() {
        match decode_chunk(codec, overhead, buf) {
            Ok(BodyPart::Chunk(chunk)) => {
                if joined.is_empty() {
                    joined.reserve(first.len() + chunk.len() + buf.len());
                    joined.extend_from_slice(&first);
                }
                joined.extend_from_slice(&chunk);
            }
            Ok(BodyPart::Incomplete) => break,
            end => {
                *next = Some(end);
                break;
            }
        }
    }
    Ok(BodyPart::Chunk(if joined.is_empty() { first } else { joined.freeze() }))
}

fn decode_chunk(
    codec: &mut ClientPayloadCodec,
    overhead: &mut usize,
    buf: &mut BytesMut,
) -> Result<BodyPart, PayloadError> {
    let arrived = buf.len();
    match codec.decode(buf)? {
        Some(Some(chunk)) => {
            *overhead = 0;
            Ok(BodyPart::Chunk(chunk))
        }
        Some(None) => Ok(BodyPart::End),
        None => {
            *overhead += arrived - buf.len();
            match *overhead {
                ..=MAX_CHUNK_OVERHEAD_BYTES => Ok(BodyPart::Incomplete),
                _ => Err(PayloadError::EncodingCorrupted),
            }
        }
    }
}

/// The codec has panicked on a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CodecPanic;

impl std::fmt::Display for CodecPanic {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "the HTTP codec panicked on the response")
    }
}

impl std::error::Error for CodecPanic {}

/// Awaits a call of an HTTP client and turns a panic of its codec into an error. The codec of
/// `actix-http` panics on a field name that is longer than 65,535 bytes.
///
/// # Errors
///
/// Fails if the call panicked.
pub async fn catch_codec_panic<F: Future>(call: F) -> Result<F::Output, CodecPanic> {
    AssertUnwindSafe(call).catch_unwind().await.map_err(|_| CodecPanic)
}
