//! A single HTTP/1.1 call on its own connection.
//!
//! Calls that may not be repeated need two things that a pooled client does not provide: knowing
//! whether any byte was sent, and telling a complete response from one that was cut off at a chunk
//! boundary. The codec is `actix-http`'s.

use std::net::SocketAddr;
use std::time::Duration;

use actix_codec::Framed;
use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, Message, MessageType};
use actix_http::header::HeaderMap;
use actix_http::{Method, RequestHead, RequestHeadType, StatusCode, Uri, Version};
use actix_rt::net::TcpStream;
use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use ringbend_policy::AttemptEnd;

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// A complete response.
#[derive(Debug)]
pub(crate) struct UnpooledResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Makes a call.
///
/// # Errors
///
/// [`AttemptEnd::NotSent`] if no byte was sent, [`AttemptEnd::Broken`] if the response is
/// incomplete, [`AttemptEnd::EndpointError`] if it is too large.
pub(crate) async fn call(
    to: SocketAddr,
    connect_timeout: Duration,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Result<UnpooledResponse, AttemptEnd> {
    let connecting = tokio::time::timeout(connect_timeout, TcpStream::connect(to));
    let Ok(Ok(io)) = connecting.await else { return Err(AttemptEnd::NotSent) };
    let _ = io.set_nodelay(true);
    let mut framed = Framed::new(io, ClientCodec::default());
    let mut head = RequestHead::default();
    head.uri = uri;
    head.method = method;
    head.version = Version::HTTP_11;
    head.headers = headers;
    let broken = |_| AttemptEnd::Broken;
    let size = BodySize::Sized(body.len() as u64);
    let message = Message::Item((RequestHeadType::Owned(head), size));
    framed.send(message).await.map_err(broken)?;
    if !body.is_empty() {
        framed.send(Message::Chunk(Some(body))).await.map_err(broken)?;
        framed.send(Message::Chunk(None)).await.map_err(broken)?;
    }
    let Some(Ok(head)) = framed.next().await else { return Err(AttemptEnd::Broken) };
    let body = match framed.codec_ref().message_type() {
        MessageType::None => Bytes::new(),
        MessageType::Payload | MessageType::Stream => {
            read_body(framed.into_map_codec(ClientCodec::into_payload_codec)).await?
        }
    };
    Ok(UnpooledResponse { status: head.status, headers: head.headers, body })
}

/// Reads the body until the codec reports its end. A connection that closes earlier cut it off.
async fn read_body(
    mut framed: Framed<TcpStream, actix_http::h1::ClientPayloadCodec>,
) -> Result<Bytes, AttemptEnd> {
    let mut body = BytesMut::new();
    loop {
        match framed.next().await {
            Some(Ok(Some(chunk))) => {
                if body.len() + chunk.len() > MAX_RESPONSE_BYTES {
                    return Err(AttemptEnd::EndpointError);
                }
                body.extend_from_slice(&chunk);
            }
            Some(Ok(None)) => return Ok(body.freeze()),
            Some(Err(_)) | None => return Err(AttemptEnd::Broken),
        }
    }
}
