//! Connections to endpoints, direct or through another instance.

use std::io;

use actix_codec::Decoder;
use bytes::BytesMut;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio_util::codec::LengthDelimitedCodec;

/// Number of bytes per read.
const READ_BYTES: usize = 8 << 10;

/// A connection to an endpoint. What is written goes to the endpoint as it is.
pub(crate) struct Connection {
    pub(crate) reader: ConnectionReader,
    pub(crate) write: OwnedWriteHalf,
}

/// Reads what the endpoint sends.
pub(crate) enum ConnectionReader {
    /// From the endpoint itself.
    Direct(OwnedReadHalf),
    /// From the instance that carries the connection, in frames.
    Tunnel(FrameReader),
}

/// Reads the frames of a tunnel. An empty frame is the end of the endpoint's connection.
pub(crate) struct FrameReader {
    carrier: OwnedReadHalf,
    codec: LengthDelimitedCodec,
    buf: BytesMut,
    has_ended: bool,
}

impl Connection {
    /// A connection to the endpoint itself.
    pub(crate) fn direct(stream: TcpStream) -> Self {
        let (read, write) = stream.into_split();
        Self { reader: ConnectionReader::Direct(read), write }
    }

    /// A connection through the instance at the other end of `stream`, which has sent `buf`.
    pub(crate) fn tunnel(stream: TcpStream, buf: BytesMut) -> Self {
        let (carrier, write) = stream.into_split();
        let codec = LengthDelimitedCodec::new();
        let reader = FrameReader { carrier, codec, buf, has_ended: false };
        Self { reader: ConnectionReader::Tunnel(reader), write }
    }
}

impl ConnectionReader {
    /// Appends what arrives next to `buf`. Zero bytes are the end of the connection.
    pub(crate) async fn read(&mut self, buf: &mut BytesMut) -> io::Result<usize> {
        match self {
            Self::Direct(read) => {
                buf.reserve(READ_BYTES);
                read.read_buf(buf).await
            }
            Self::Tunnel(reader) => reader.read(buf).await,
        }
    }
}

impl FrameReader {
    async fn read(&mut self, buf: &mut BytesMut) -> io::Result<usize> {
        while !self.has_ended {
            if let Some(frame) = self.codec.decode(&mut self.buf)? {
                self.has_ended = frame.is_empty();
                buf.extend_from_slice(&frame);
                return Ok(frame.len());
            }
            self.buf.reserve(READ_BYTES);
            if self.carrier.read_buf(&mut self.buf).await? == 0 {
                // The carrier has ended; the endpoint may still be sending.
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
        }
        Ok(0)
    }
}
