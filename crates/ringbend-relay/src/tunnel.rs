//! Tunnels to endpoints through other instances: the side that asks for one.
//!
//! The protocol is described in `docs/design/endpoint-paths.md`.

use std::net::SocketAddrV4;

use actix_http::{Method, StatusCode};
use bytes::BytesMut;
use ringbend_runtime::ResponseDecoder;
use tokio::io::AsyncWriteExt;

use crate::connection::{Connection, ConnectionReader, DirectReader};
use crate::exchange::read_head;
use crate::node::Node;

/// Header of a rejection that names instances that may reach the endpoint.
pub(crate) const ALTERNATIVES_HEADER: &str = "ringbend-carriers";

/// Why another instance did not connect to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum CarrierError {
    /// The endpoint refuses connections from there.
    Refused,
    /// The endpoint cannot be reached from there. These instances may reach it.
    Unreachable(Vec<SocketAddrV4>),
    /// The instance does not carry the connection: it knows no such endpoint, is stopping or
    /// carries too many.
    Declined(StatusCode),
    /// The instance did not answer.
    NoAnswer,
}

/// Connects to an endpoint through the instance at `carrier`.
pub(crate) async fn open(
    node: &Node,
    carrier: SocketAddrV4,
    endpoint: SocketAddrV4,
) -> Result<Connection, CarrierError> {
    let stream = node.connect_peer(carrier).await.map_err(|_| CarrierError::NoAnswer)?;
    let (read, mut write) = stream.into_split();
    let request = format!("CONNECT {endpoint} HTTP/1.1\r\nHost: {endpoint}\r\n\r\n");
    write.write_all(request.as_bytes()).await.map_err(|_| CarrierError::NoAnswer)?;
    let mut decoder = ResponseDecoder::new(node.http_config.clone(), Method::CONNECT);
    let (mut reader, mut buf) =
        (ConnectionReader::Direct(DirectReader::new(read)), BytesMut::new());
    let head = read_head(&mut decoder, &mut reader, &mut buf).await;
    let (head, _) = head.map_err(|_| CarrierError::NoAnswer)?;
    match head.status {
        StatusCode::OK => {}
        StatusCode::BAD_GATEWAY => return Err(CarrierError::Refused),
        StatusCode::GATEWAY_TIMEOUT => {
            let named = head.headers().get(ALTERNATIVES_HEADER);
            let named = named.and_then(|value| value.to_str().ok()).unwrap_or_default();
            let addresses = named.split(',').filter_map(|address| address.trim().parse().ok());
            return Err(CarrierError::Unreachable(addresses.collect()));
        }
        status => return Err(CarrierError::Declined(status)),
    }
    let ConnectionReader::Direct(reader) = reader else { return Err(CarrierError::NoAnswer) };
    let stream = reader.into_inner().reunite(write).map_err(|_| CarrierError::NoAnswer)?;
    Ok(Connection::tunnel(stream, buf))
}
