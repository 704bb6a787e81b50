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
    Direct(DirectReader),
    /// From the instance that carries the connection, in frames.
    Tunnel(FrameReader),
}

/// The read half of a socket, which also fails if a write has consumed the error of a reset.
///
/// The kernel reports a reset only once, to a read or to a write. Reads after a failed write return the
/// buffered bytes and then a clean EOF.
pub(crate) struct DirectReader {
    read: OwnedReadHalf,
    is_reset: bool,
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
        Self { reader: ConnectionReader::Direct(DirectReader::new(read)), write }
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
            Self::Direct(reader) => reader.read(buf).await,
            Self::Tunnel(reader) => reader.read(buf).await,
        }
    }

    /// Records that a write to the connection has failed.
    pub(crate) fn record_write_error(&mut self, e: &io::Error) {
        match self {
            Self::Direct(reader) => reader.record_write_error(e),
            // The carrier sends an explicit end frame.
            Self::Tunnel(_) => {}
        }
    }
}

impl DirectReader {
    pub(crate) fn new(read: OwnedReadHalf) -> Self {
        Self { read, is_reset: false }
    }

    /// Like [`ConnectionReader::read`].
    pub(crate) async fn read(&mut self, buf: &mut BytesMut) -> io::Result<usize> {
        buf.reserve(READ_BYTES);
        match self.read.read_buf(buf).await? {
            0 if self.is_reset => Err(io::ErrorKind::ConnectionReset.into()),
            count => Ok(count),
        }
    }

    /// Records that a write to the socket has failed.
    pub(crate) fn record_write_error(&mut self, e: &io::Error) {
        self.is_reset |= is_reset(e);
    }

    pub(crate) fn into_inner(self) -> OwnedReadHalf {
        self.read
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

/// Whether a write error means that the response may be truncated. A reset after the peer's FIN is
/// reported as a broken pipe; everything that the peer sent has been received then.
pub(crate) fn is_reset(e: &io::Error) -> bool {
    e.kind() != io::ErrorKind::BrokenPipe
}
