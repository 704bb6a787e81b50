//! Responses of any bytes, which arrive in pieces of any size.

use actix_http::{Method, ServiceConfig};
use bytes::BytesMut;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use ringbend_runtime::{BodyPart, ResponseDecoder};

const RESPONSES: [&str; 7] = [
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Odd: v\r\n\r\nbody",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x=1\r\nbody\r\n0\r\nX: v\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 -\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\n\r\nbody",
    "HTTP/1.0 200 OK\r\nUpgrade: websocket\r\nContent-Length: 4\r\n\r\nbody",
    "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n2\r\nod\r\n1\r\ny\r\n0\r\n\r\n",
];

/// Bytes that decide how a response is read.
const BYTES: &[u8] = b"\0\x01\t\n\r :;,/0149afxH\x7f\x80\xff";

/// A response of which some bytes were changed, inserted or removed.
#[derive(Debug, Clone)]
struct Mutated {
    bytes: Vec<u8>,
    piece: usize,
}

impl Arbitrary for Mutated {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut bytes = g.choose(&RESPONSES).unwrap().as_bytes().to_vec();
        for _ in 0..u8::arbitrary(g) % 4 {
            let at = usize::arbitrary(g) % bytes.len();
            match u8::arbitrary(g) % 3 {
                0 => bytes[at] = *g.choose(BYTES).unwrap(),
                1 => bytes.insert(at, *g.choose(BYTES).unwrap()),
                _ => drop(bytes.remove(at)),
            }
        }
        Self { bytes, piece: 1 + usize::arbitrary(g) % 24 }
    }
}

/// What a recipient makes of a response.
#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    Rejected,
    Incomplete,
    Received { status: u16, names: Vec<String>, body: Vec<u8>, is_complete: bool },
}

fn receive(bytes: &[u8], piece: usize) -> Outcome {
    let mut decoder = ResponseDecoder::new(ServiceConfig::default(), Method::POST);
    let (mut buf, mut response) = (BytesMut::new(), None);
    let (mut received, mut is_complete) = (Vec::new(), false);
    for piece in bytes.chunks(piece) {
        buf.extend_from_slice(piece);
        if response.is_none() {
            match decoder.decode(&mut buf) {
                Ok(decoded) => response = decoded,
                Err(_) => return Outcome::Rejected,
            }
        }
        let Some((_, body)) = &mut response else { continue };
        while !is_complete {
            match body.decode(&mut buf) {
                Ok(BodyPart::Chunk(chunk)) => received.extend_from_slice(&chunk),
                Ok(BodyPart::End) => is_complete = true,
                Ok(BodyPart::Incomplete) => break,
                Err(_) => return Outcome::Rejected,
            }
        }
    }
    let Some((head, body)) = response else { return Outcome::Incomplete };
    let mut names: Vec<_> = head.headers.keys().map(|name| name.to_string()).collect();
    names.sort();
    is_complete |= body.ends_with_connection();
    Outcome::Received { status: head.status.as_u16(), names, body: received, is_complete }
}

/// Whether the status is a final one and all names of fields are tokens, as the bytes have them.
fn is_sound(bytes: &[u8], outcome: &Outcome) -> bool {
    let Outcome::Received { status, names, .. } = outcome else { return true };
    let text: String = bytes.iter().map(|byte| char::from(*byte).to_ascii_lowercase()).collect();
    let is_token = |name: &str| {
        name.bytes().all(|b| b.is_ascii_graphic() && !b"()<>@,;:\\\"/[]?={}".contains(&b))
    };
    (200..600).contains(status)
        && names.iter().all(|name| is_token(name) && text.contains(&format!("{name}:")))
}

fn is_read_alike(mutated: Mutated) -> bool {
    let whole = receive(&mutated.bytes, mutated.bytes.len().max(1));
    whole == receive(&mutated.bytes, mutated.piece) && is_sound(&mutated.bytes, &whole)
}

#[actix_rt::test]
async fn a_response_is_read_alike_however_its_bytes_arrive() {
    QuickCheck::new().tests(50_000).quickcheck(is_read_alike as fn(Mutated) -> bool);
}

#[actix_rt::test]
async fn sound_responses_are_received() {
    let expected = [
        (200, "body"),
        (200, "body"),
        (503, ""),
        (200, "body"),
        (200, "body"),
        (204, ""),
        (200, "body"),
    ];
    for (response, (status, body)) in RESPONSES.iter().zip(expected) {
        let Outcome::Received { status: received, body: bytes, is_complete, .. } =
            receive(response.as_bytes(), 3)
        else {
            panic!("not received: {response:?}");
        };
        assert_eq!((received, bytes.as_slice()), (status, body.as_bytes()), "{response:?}");
        assert!(is_complete, "{response:?}");
    }
}

/// Decodes the body of a chunked response that has arrived whole, up to its end or an error.
fn decode_chunks(chunks: &str) -> (Vec<Vec<u8>>, bool) {
    let mut decoder = ResponseDecoder::new(ServiceConfig::default(), Method::POST);
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let mut buf = BytesMut::from(format!("{head}{chunks}").as_bytes());
    let (_, mut body) = decoder.decode(&mut buf).unwrap().unwrap();
    let mut parts = Vec::new();
    loop {
        match body.decode(&mut buf) {
            Ok(BodyPart::Chunk(chunk)) => parts.push(chunk.to_vec()),
            Ok(BodyPart::End) => return (parts, true),
            Ok(BodyPart::Incomplete) => panic!("the response has an end"),
            Err(_) => return (parts, false),
        }
    }
}

/// Guards against a response of many small chunks that takes a recipient as many steps.
#[actix_rt::test]
async fn chunks_that_have_arrived_are_one_part() {
    let chunks = "4\r\nmore\r\n".repeat(1_000);
    let all = "more".repeat(1_000).into_bytes();
    assert_eq!(decode_chunks(&format!("{chunks}0\r\n\r\n")), (vec![all], true));
}

/// Guards against chunks that are lost because others which arrived with them are malformed.
#[actix_rt::test]
async fn chunks_before_a_malformed_one_are_received() {
    let parts = vec![b"body".to_vec()];
    assert_eq!(decode_chunks("2\r\nbo\r\n2\r\ndy\r\nx\r\n"), (parts, false));
}
