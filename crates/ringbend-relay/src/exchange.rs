//! One request and its answer on a connection of its own.
//!
//! The codec is `actix-http`'s. The client above it, `awc`, is not used here because it takes a
//! connection that closes inside a chunked body, or an answer that has neither length nor chunks,
//! for the end of a whole answer; passing those on as complete would hand callers half an answer.
//! A connection of its own for each send also keeps late answers to earlier requests out.

use std::fmt;
use std::net::SocketAddrV4;
use std::time::Duration;

use actix_codec::{Decoder, Encoder};
use actix_http::body::BodySize;
use actix_http::error::{ParseError, PayloadError};
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message};
use actix_http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use actix_http::{Method, RequestHead, RequestHeadType, ResponseHead, ServiceConfig, StatusCode};
use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

/// How long a connection may take to open. Within a region it takes some milliseconds; a dropped
/// opening packet is sent again only after a second, so waiting longer gains nothing.
const CONNECT_TIME: Duration = Duration::from_millis(400);

/// Bytes read at once.
const READ_BYTES: usize = 8 << 10;

/// The longest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Why an exchange has no whole answer.
#[derive(Debug)]
pub(crate) enum ExchangeError {
    /// The connection did not open, so nothing was sent.
    NotConnected,
    /// The request cannot be written, so nothing was sent.
    NotEncoded(std::io::Error),
    /// The connection broke.
    Io(std::io::Error),
    /// The answer's head is no HTTP.
    Head(ParseError),
    /// The answer's body is no HTTP.
    Body(PayloadError),
    /// The connection ended before the answer did.
    Truncated,
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotConnected => write!(f, "no connection"),
            Self::NotEncoded(e) => write!(f, "cannot be written: {e}"),
            Self::Io(e) => write!(f, "connection broke: {e}"),
            Self::Head(e) => write!(f, "bad head: {e}"),
            Self::Body(e) => write!(f, "bad body: {e}"),
            Self::Truncated => write!(f, "connection ended before the answer"),
        }
    }
}

impl std::error::Error for ExchangeError {}

impl ExchangeError {
    /// Whether no byte of the request can have reached the endpoint.
    pub(crate) fn nothing_sent(&self) -> bool {
        matches!(self, Self::NotConnected | Self::NotEncoded(_))
    }
}

enum Framing {
    /// By length or chunks.
    Coded(ClientPayloadCodec),
    /// Ends with the connection.
    ToEnd,
    /// Has ended.
    Done,
}

/// An answer whose body is still to be read. Dropping it closes the connection, which tells the
/// endpoint to stop.
pub(crate) struct Answer {
    pub(crate) head: ResponseHead,
    connection: OwnedReadHalf,
    _write: OwnedWriteHalf,
    buf: BytesMut,
    framing: Framing,
}

/// Sends a request and reads the head of its answer.
pub(crate) async fn send(
    cfg: &ServiceConfig,
    address: SocketAddrV4,
    head: RequestHead,
    body: Bytes,
) -> Result<Answer, ExchangeError> {
    let method = head.method.clone();
    let mut codec = ClientCodec::new(cfg.clone());
    let request = encode(&mut codec, head, &body).map_err(ExchangeError::NotEncoded)?;
    let (mut read, mut write) = connect(address).await?.into_split();
    let mut buf = BytesMut::with_capacity(READ_BYTES);
    // An endpoint may answer before it has read the body, so both go on at once.
    let written = async {
        if write.write_all(&request).await.is_err() {
            // The answer, if one comes, tells more than the failed write.
            log::debug!(target: "exchange", address:%; "request not written whole");
        }
        std::future::pending::<()>().await;
    };
    let head = tokio::select! {
        head = read_head(&mut codec, &mut read, &mut buf) => head?,
        () = written => return Err(ExchangeError::Truncated),
    };
    let framing = framing(&method, &head, codec);
    Ok(Answer { head, connection: read, _write: write, buf, framing })
}

async fn connect(address: SocketAddrV4) -> Result<TcpStream, ExchangeError> {
    let connected = tokio::time::timeout(CONNECT_TIME, TcpStream::connect(address)).await;
    let connection = connected.ok().and_then(Result::ok).ok_or(ExchangeError::NotConnected)?;
    if let Err(e) = connection.set_nodelay(true) {
        log::debug!(target: "exchange", error:% = e; "no-delay not set");
    }
    Ok(connection)
}

fn encode(codec: &mut ClientCodec, head: RequestHead, body: &Bytes) -> std::io::Result<BytesMut> {
    let mut request = BytesMut::with_capacity(body.len() + 1_024);
    let has_no_body = body.is_empty() && matches!(head.method, Method::GET | Method::HEAD);
    let size = if has_no_body { BodySize::None } else { BodySize::Sized(body.len() as u64) };
    codec.encode(Message::Item((RequestHeadType::from(head), size)), &mut request)?;
    request.extend_from_slice(body);
    Ok(request)
}

async fn read_head(
    codec: &mut ClientCodec,
    connection: &mut OwnedReadHalf,
    buf: &mut BytesMut,
) -> Result<ResponseHead, ExchangeError> {
    loop {
        if let Some(head) = codec.decode(buf).map_err(ExchangeError::Head)? {
            if head.status.is_informational() {
                continue;
            }
            return Ok(head);
        }
        if buf.len() > MAX_HEAD_BYTES {
            return Err(ExchangeError::Head(ParseError::TooLarge));
        }
        fill(connection, buf).await?;
    }
}

/// Reads more bytes; their end is an error.
async fn fill(connection: &mut OwnedReadHalf, buf: &mut BytesMut) -> Result<(), ExchangeError> {
    buf.reserve(READ_BYTES);
    match connection.read_buf(buf).await.map_err(ExchangeError::Io)? {
        0 => Err(ExchangeError::Truncated),
        _ => Ok(()),
    }
}

fn framing(method: &Method, head: &ResponseHead, codec: ClientCodec) -> Framing {
    let no_body = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&head.status);
    let length = head.headers.get(CONTENT_LENGTH);
    let is_empty = length.is_some_and(|value| value.as_bytes() == b"0");
    if *method == Method::HEAD || no_body || is_empty {
        return Framing::Done;
    }
    if length.is_some() || head.headers.contains_key(TRANSFER_ENCODING) {
        return Framing::Coded(codec.into_payload_codec());
    }
    Framing::ToEnd
}

impl Answer {
    /// The next bytes of the body; none once it has ended whole.
    pub(crate) async fn chunk(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        loop {
            match &mut self.framing {
                Framing::Done => return Ok(None),
                Framing::ToEnd => return self.chunk_to_end().await,
                Framing::Coded(codec) => match codec.decode(&mut self.buf) {
                    Ok(Some(Some(chunk))) => return Ok(Some(chunk)),
                    Ok(Some(None)) => self.framing = Framing::Done,
                    Ok(None) => fill(&mut self.connection, &mut self.buf).await?,
                    Err(e) => return Err(ExchangeError::Body(e)),
                },
            }
        }
    }

    async fn chunk_to_end(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        match fill(&mut self.connection, &mut self.buf).await {
            Err(ExchangeError::Truncated) if self.buf.is_empty() => {
                self.framing = Framing::Done;
                Ok(None)
            }
            Ok(()) | Err(ExchangeError::Truncated) => Ok(Some(self.buf.split().freeze())),
            Err(e) => Err(e),
        }
    }

    /// The whole body, which may hold `limit` bytes at most.
    pub(crate) async fn whole(&mut self, limit: usize) -> Result<Bytes, ExchangeError> {
        let mut body = BytesMut::new();
        while let Some(chunk) = self.chunk().await? {
            if body.len() + chunk.len() > limit {
                return Err(ExchangeError::Body(PayloadError::Overflow));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    }
}
