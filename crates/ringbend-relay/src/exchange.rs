//! One HTTP request and its response on a dedicated connection.
//!
//! The codec is that of `actix-http`. Its client `awc` is not used, because it accepts a connection
//! that closes inside a chunked body, or a response with neither length nor chunked encoding, as a
//! complete response. Callers would then receive truncated responses as complete ones. The
//! dedicated connection also prevents late responses to earlier requests from being mixed up.

use std::fmt;

use actix_codec::Encoder;
use actix_http::body::BodySize;
use actix_http::error::{ParseError, PayloadError};
use actix_http::h1::{ClientCodec, Message};
use actix_http::{Method, RequestHead, RequestHeadType, ResponseHead, ServiceConfig};
use bytes::{Bytes, BytesMut};
use ringbend_runtime::{BodyDecoder, BodyPart, ResponseDecoder};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;

use crate::buffers::{BodyBuffer, HeldBytes, NoRoom};
use crate::connection::{Connection, ConnectionReader};
use crate::network::ConnectError;

/// Number of bytes per read.
const READ_BYTES: usize = 8 << 10;

/// Maximum size of a body that is copied to be written with the head, in bytes.
const SMALL_BODY_BYTES: usize = 16 << 10;

/// Why an exchange did not produce a complete response.
#[derive(Debug)]
pub(crate) enum ExchangeError {
    /// The connection could not be established, so nothing was sent.
    ConnectFailed(ConnectError),
    /// The request cannot be encoded, so nothing was sent.
    EncodeFailed(std::io::Error),
    /// The connection broke.
    Io(std::io::Error),
    /// The response head is not valid HTTP.
    Head(ParseError),
    /// The response body is not valid HTTP.
    Body(PayloadError),
    /// The connection was closed before the response was complete.
    Truncated,
    /// Other bodies take all the memory for them.
    NoRoom,
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ConnectFailed(e) => e.fmt(f),
            Self::EncodeFailed(e) => write!(f, "cannot encode the request: {e}"),
            Self::Io(e) => write!(f, "connection error: {e}"),
            Self::Head(e) => write!(f, "invalid response head: {e}"),
            Self::Body(e) => write!(f, "invalid response body: {e}"),
            Self::Truncated => write!(f, "connection closed before the end of the response"),
            Self::NoRoom => write!(f, "no room to hold the response"),
        }
    }
}

impl std::error::Error for ExchangeError {}

impl From<ConnectError> for ExchangeError {
    fn from(e: ConnectError) -> Self {
        Self::ConnectFailed(e)
    }
}

impl ExchangeError {
    /// Whether no byte of the request can have reached the endpoint.
    pub(crate) fn is_unsent(&self) -> bool {
        matches!(self, Self::ConnectFailed(_) | Self::EncodeFailed(_))
    }
}

/// A response whose body is still to be read. Dropping it closes the connection, which tells the
/// endpoint to stop.
pub(crate) struct IncomingResponse {
    pub(crate) head: ResponseHead,
    connection: ConnectionReader,
    _write: OwnedWriteHalf,
    buf: BytesMut,
    body: BodyDecoder,
}

/// Sends a request on a new connection and reads the head of the response.
pub(crate) async fn send(
    cfg: &ServiceConfig,
    connection: Connection,
    head: RequestHead,
    body: Bytes,
) -> Result<IncomingResponse, ExchangeError> {
    let mut decoder = ResponseDecoder::new(cfg.clone(), head.method.clone());
    let mut codec = ClientCodec::new(cfg.clone());
    let (request, rest) = encode(&mut codec, head, body).map_err(ExchangeError::EncodeFailed)?;
    let Connection { mut reader, mut write } = connection;
    let mut buf = BytesMut::with_capacity(READ_BYTES);
    let written = async {
        write.write_all(&request).await?;
        write.write_all(&rest).await
    };
    let (head, body) = read_head_while(written, &mut decoder, &mut reader, &mut buf).await?;
    Ok(IncomingResponse { head, connection: reader, _write: write, buf, body })
}

/// Encodes a request. Small bodies are part of the first buffer, so that they are written with the
/// head; others are returned unchanged, so that they are not held twice.
fn encode(
    codec: &mut ClientCodec,
    head: RequestHead,
    body: Bytes,
) -> std::io::Result<(BytesMut, Bytes)> {
    let mut request = BytesMut::with_capacity(body.len().min(SMALL_BODY_BYTES) + 1_024);
    let has_no_body = body.is_empty() && matches!(head.method, Method::GET | Method::HEAD);
    let size = if has_no_body { BodySize::None } else { BodySize::Sized(body.len() as u64) };
    codec.encode(Message::Item((RequestHeadType::from(head), size)), &mut request)?;
    if body.len() > SMALL_BODY_BYTES {
        return Ok((request, body));
    }
    request.extend_from_slice(&body);
    Ok((request, Bytes::new()))
}

/// Reads the head of a response while the request is written, as an endpoint may respond early. The
/// rest of the request is not sent once the head has arrived.
async fn read_head_while(
    written: impl Future<Output = std::io::Result<()>>,
    decoder: &mut ResponseDecoder,
    connection: &mut ConnectionReader,
    buf: &mut BytesMut,
) -> Result<(ResponseHead, BodyDecoder), ExchangeError> {
    let written = tokio::select! {
        biased;
        written = written => written,
        head = read_head(decoder, connection, buf) => return head,
    };
    if let Err(e) = written {
        // A response, if one arrives, is more informative than the failed write.
        log::debug!(target: "exchange", error:% = e; "request not written completely");
        connection.record_write_error(&e);
    }
    read_head(decoder, connection, buf).await
}

/// Reads the head of a response, and bytes of its body into `buf`.
pub(crate) async fn read_head(
    decoder: &mut ResponseDecoder,
    connection: &mut ConnectionReader,
    buf: &mut BytesMut,
) -> Result<(ResponseHead, BodyDecoder), ExchangeError> {
    loop {
        if let Some(response) = decoder.decode(buf).map_err(ExchangeError::Head)? {
            return Ok(response);
        }
        read_more(connection, buf).await?;
    }
}

/// Reads more bytes. The end of the connection is an error.
async fn read_more(
    connection: &mut ConnectionReader,
    buf: &mut BytesMut,
) -> Result<(), ExchangeError> {
    match connection.read(buf).await.map_err(ExchangeError::Io)? {
        0 => Err(ExchangeError::Truncated),
        _ => Ok(()),
    }
}

impl IncomingResponse {
    /// The next bytes of the body; `None` once it is complete.
    pub(crate) async fn next_chunk(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        loop {
            match self.body.decode(&mut self.buf).map_err(ExchangeError::Body)? {
                BodyPart::Chunk(chunk) => return Ok(Some(chunk)),
                BodyPart::End => return Ok(None),
                BodyPart::Incomplete => {}
            }
            match read_more(&mut self.connection, &mut self.buf).await {
                Err(ExchangeError::Truncated) if self.body.ends_with_connection() => {
                    return Ok(None);
                }
                read => read?,
            }
        }
    }

    /// Reads the complete body, of at most `limit` bytes.
    pub(crate) async fn read_to_end(&mut self, limit: usize) -> Result<Bytes, ExchangeError> {
        let mut body = BytesMut::new();
        while let Some(chunk) = self.next_chunk().await? {
            if body.len() + chunk.len() > limit {
                return Err(ExchangeError::Body(PayloadError::Overflow));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    }

    /// Like [`Self::read_to_end`], with the bytes counted as held.
    pub(crate) async fn read_counted(
        &mut self,
        limit: usize,
        held: HeldBytes,
    ) -> Result<(Bytes, HeldBytes), ExchangeError> {
        let no_room = |NoRoom| ExchangeError::NoRoom;
        let size = self.body.remaining().map(|size| usize::try_from(size).unwrap_or(usize::MAX));
        if size.is_some_and(|size| size > limit) {
            return Err(ExchangeError::Body(PayloadError::Overflow));
        }
        let mut body = BodyBuffer::new(held, size, limit).await.map_err(no_room)?;
        while let Some(chunk) = self.next_chunk().await? {
            if body.exceeds_limit(chunk.len()) {
                return Err(ExchangeError::Body(PayloadError::Overflow));
            }
            body.push(&chunk).await.map_err(no_room)?;
        }
        Ok(body.finish())
    }
}
