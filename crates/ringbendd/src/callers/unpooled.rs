//! A single HTTP/1.1 call on its own connection.
//!
//! Calls that may not be repeated need two things that a pooled client does not provide: knowing
//! whether any byte was sent, and telling a complete response from one that was cut off at a chunk
//! boundary.

use std::net::SocketAddr;
use std::time::Duration;

use actix_codec::{Framed, FramedParts};
use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, Message};
use actix_http::header::HeaderMap;
use actix_http::{Method, RequestHead, RequestHeadType, ServiceConfig, StatusCode, Uri, Version};
use actix_rt::net::TcpStream;
use bytes::{Bytes, BytesMut};
use futures_util::SinkExt;
use ringbend_policy::AttemptEnd;
use ringbend_runtime::{BodyDecoder, BodyPart, ResponseDecoder};
use tokio::io::AsyncReadExt;

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
    let cfg = ServiceConfig::default();
    let mut decoder = ResponseDecoder::new(cfg.clone(), method.clone());
    let mut framed = Framed::new(io, ClientCodec::new(cfg));
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
    let FramedParts { mut io, read_buf: mut buf, .. } = framed.into_parts();
    let (head, body) = loop {
        if let Some(response) = decoder.decode(&mut buf).map_err(|_| AttemptEnd::Broken)? {
            break response;
        }
        if io.read_buf(&mut buf).await.map_err(broken)? == 0 {
            return Err(AttemptEnd::Broken);
        }
    };
    let body = read_body(&mut io, &mut buf, body).await?;
    Ok(UnpooledResponse { status: head.status, headers: head.headers, body })
}

/// Reads the body to its end. A connection that closes earlier cut it off.
async fn read_body(
    io: &mut TcpStream,
    buf: &mut BytesMut,
    mut decoder: BodyDecoder,
) -> Result<Bytes, AttemptEnd> {
    let mut body = BytesMut::new();
    loop {
        match decoder.decode(buf).map_err(|_| AttemptEnd::Broken)? {
            BodyPart::Chunk(chunk) if body.len() + chunk.len() > MAX_RESPONSE_BYTES => {
                return Err(AttemptEnd::EndpointError);
            }
            BodyPart::Chunk(chunk) => {
                body.extend_from_slice(&chunk);
                continue;
            }
            BodyPart::End => return Ok(body.freeze()),
            BodyPart::Incomplete => {}
        }
        match io.read_buf(buf).await {
            Ok(1..) => {}
            Ok(0) if decoder.ends_with_connection() => return Ok(body.freeze()),
            Ok(0) | Err(_) => return Err(AttemptEnd::Broken),
        }
    }
}
