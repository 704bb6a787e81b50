//! What a server does with the connections of its clients: limits, requests sent ahead, clients that stall or leave, and
//! connections beyond the maximum.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use ringbend_runtime::{
    BodyError, ConnectionLimits, Connections, Handler, HttpRequest, HttpResponse, Server,
    ServerConfig, StreamError, empty, read_body, serve, stream, text,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// How long a test waits for something that must happen.
const TIMEOUT: Duration = Duration::from_secs(10);

/// More than the system's buffers of a connection take.
const UNREAD_BYTES: usize = 64 << 20;

/// Responds according to the path, and records what it received.
#[derive(Default)]
struct Paths {
    received: RefCell<Vec<String>>,
    body_errors: RefCell<Vec<String>>,
    /// Handlers that were dropped before they ended.
    dropped: Cell<usize>,
}

/// Counts a handler that is dropped before its end.
struct DropCounter<'a>(&'a Cell<usize>);

impl Drop for DropCounter<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() + 1);
    }
}

impl Handler for Paths {
    fn handle(self: Rc<Self>, mut req: HttpRequest) -> LocalBoxFuture<'static, HttpResponse> {
        Box::pin(async move {
            let path = req.path().to_owned();
            self.received.borrow_mut().push(path.clone());
            match path.as_str() {
                "/body" => match read_body(req.take_payload(), 1 << 20, TIMEOUT).await {
                    Ok(body) => text(StatusCode::OK, "text/plain", body),
                    Err(e) => {
                        self.body_errors.borrow_mut().push(format!("{e:?}"));
                        empty(match e {
                            BodyError::NoRoom => StatusCode::SERVICE_UNAVAILABLE,
                            _ => StatusCode::REQUEST_TIMEOUT,
                        })
                    }
                },
                "/hang" => {
                    let _dropped = DropCounter(&self.dropped);
                    std::future::pending().await
                }
                "/large" => text(StatusCode::OK, "text/plain", vec![b'x'; UNREAD_BYTES]),
                "/aborted" => aborted_stream(),
                "/dropped" => dropped_stream(),
                "/panic" => panic!("a fault of the handler"),
                "/finished" => finished_stream(),
                _ => text(StatusCode::OK, "text/plain", path),
            }
        })
    }
}

/// A stream that is aborted after its first chunk.
fn aborted_stream() -> HttpResponse {
    let (tx, res) = stream::<Bytes>(StatusCode::OK, 2);
    tx.try_send(Ok(Bytes::from_static(b"first"))).unwrap();
    tx.try_send(Err(StreamError)).unwrap();
    res
}

/// A stream whose sender ends without a word, like that of a task that panics.
fn dropped_stream() -> HttpResponse {
    let (tx, res) = stream::<Bytes>(StatusCode::OK, 2);
    tx.try_send(Ok(Bytes::from_static(b"first"))).unwrap();
    res
}

/// A stream that ends with its first chunk.
fn finished_stream() -> HttpResponse {
    let (tx, res) = stream::<Bytes>(StatusCode::OK, 2);
    tx.try_send(Ok(Bytes::from_static(b"first"))).unwrap();
    tx.finish();
    res
}

struct Scene {
    server: Server,
    paths: Rc<Paths>,
    connections: Rc<Connections>,
}

impl Scene {
    async fn start(max: usize, limits: ConnectionLimits) -> Self {
        let (paths, connections) = (Rc::new(Paths::default()), Connections::new(max));
        let cfg = ServerConfig {
            limits: Rc::new(Cell::new(limits)),
            connections: connections.clone(),
            ..ServerConfig::default()
        };
        let server = serve("127.0.0.1:0".parse().unwrap(), cfg, paths.clone()).await.unwrap();
        Self { server, paths, connections }
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.server.address()).await.unwrap()
    }

    /// Connects and sends `bytes`.
    async fn send(&self, bytes: &str) -> TcpStream {
        let mut client = self.connect().await;
        client.write_all(bytes.as_bytes()).await.unwrap();
        client
    }

    async fn wait_for(&self, condition: impl Fn(&Self) -> bool) {
        let deadline = tokio::time::Instant::now() + TIMEOUT;
        while !condition(self) {
            assert!(tokio::time::Instant::now() < deadline, "not within the timeout");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: h\r\n\r\n")
}

/// Reads until the connection is closed.
async fn read_to_end(client: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let read = tokio::time::timeout(TIMEOUT, client.read_to_end(&mut bytes)).await;
    // A reset ends the connection as well.
    drop(read.expect("the connection is not closed"));
    String::from_utf8(bytes).unwrap()
}

/// Reads until the text that was received contains `end`.
async fn read_until(client: &mut TcpStream, end: &str) -> String {
    let mut bytes = Vec::new();
    let read = async {
        while !String::from_utf8_lossy(&bytes).contains(end) {
            assert_ne!(client.read_buf(&mut bytes).await.unwrap(), 0, "closed before {end}");
        }
    };
    tokio::time::timeout(TIMEOUT, read).await.expect("not received");
    String::from_utf8(bytes).unwrap()
}

#[actix_rt::test]
async fn pipelined_requests_are_answered_in_order() {
    let scene = Scene::start(8, ConnectionLimits::default()).await;
    let body = "POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\ntext";
    let chunked =
        "POST /body HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    let requests = [get("/first"), body.to_owned(), "\r\n".into(), chunked.into(), get("/last")];
    let mut client = scene.send(&requests.concat()).await;
    let received = read_until(&mut client, "/last").await;
    let at = |text: &str| received.find(text).unwrap_or_else(|| panic!("{text} in {received}"));
    assert!(at("/first") < at("\r\n\r\ntext"));
    assert!(at("\r\n\r\ntext") < at("\r\n\r\nabc") && at("\r\n\r\nabc") < at("/last"));
    assert_eq!(*scene.paths.received.borrow(), ["/first", "/body", "/body", "/last"]);
}

#[actix_rt::test]
async fn requests_behind_one_that_is_not_answered_are_not_read() {
    let scene = Scene::start(8, ConnectionLimits::default()).await;
    let _client = scene.send(&(get("/hang") + &get("/first").repeat(10))).await;
    scene.wait_for(|scene| scene.paths.received.borrow().len() == 1).await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(*scene.paths.received.borrow(), ["/hang"]);
}

#[actix_rt::test]
async fn a_head_over_the_limit_is_refused_with_431() {
    let limits = ConnectionLimits { head_bytes: 1_000, ..ConnectionLimits::default() };
    let scene = Scene::start(8, limits).await;
    let padding = "x".repeat(2_000);
    let mut client =
        scene.send(&format!("GET /first HTTP/1.1\r\nHost: h\r\nLong: {padding}")).await;
    let received = read_to_end(&mut client).await;
    assert!(received.starts_with("HTTP/1.1 431 "), "{received}");
    // One just under the limit is served.
    let padding = "x".repeat(940);
    let mut client =
        scene.send(&format!("GET /first HTTP/1.1\r\nHost: h\r\nLong: {padding}\r\n\r\n")).await;
    assert!(read_until(&mut client, "/first").await.starts_with("HTTP/1.1 200 "));
}

#[actix_rt::test]
async fn a_head_that_does_not_end_in_time_is_refused_with_408() {
    let head_timeout = Duration::from_millis(100);
    let limits = ConnectionLimits { head_timeout, ..ConnectionLimits::default() };
    let scene = Scene::start(8, limits).await;
    let mut client = scene.send("GET /first HTTP/1.1\r\nHost:").await;
    let received = read_to_end(&mut client).await;
    assert!(received.starts_with("HTTP/1.1 408 "), "{received}");
}

#[actix_rt::test]
async fn malformed_heads_are_refused_with_400() {
    let scene = Scene::start(8, ConnectionLimits::default()).await;
    for head in ["PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "\0\x01\x02\r\n\r\n", "GET  HTTP/1.1\r\n\r\n"]
    {
        let mut client = scene.send(head).await;
        let received = read_to_end(&mut client).await;
        assert!(received.starts_with("HTTP/1.1 400 "), "{head:?}: {received}");
    }
}

#[actix_rt::test]
async fn an_idle_connection_is_closed_without_a_response() {
    let idle_timeout = Duration::from_millis(100);
    let limits = ConnectionLimits { idle_timeout, ..ConnectionLimits::default() };
    let scene = Scene::start(8, limits).await;
    let mut client = scene.send(&get("/first")).await;
    let received = read_to_end(&mut client).await;
    assert_eq!(received.matches("HTTP/1.1").count(), 1, "{received}");
    scene.wait_for(|scene| scene.connections.open() == 0).await;
}

#[actix_rt::test]
async fn the_handler_ends_when_its_client_disconnects() {
    let scene = Scene::start(8, ConnectionLimits::default()).await;
    let client = scene.send(&get("/hang")).await;
    scene.wait_for(|scene| scene.paths.received.borrow().len() == 1).await;
    drop(client);
    scene.wait_for(|scene| scene.paths.dropped.get() == 1).await;
    scene.wait_for(|scene| scene.connections.open() == 0).await;
}

#[actix_rt::test]
async fn the_handler_ends_when_a_client_that_sent_ahead_disconnects() {
    let scene = Scene::start(8, ConnectionLimits::default()).await;
    let client = scene.send(&(get("/hang") + &get("/first").repeat(1_000))).await;
    scene.wait_for(|scene| scene.paths.received.borrow().len() == 1).await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    drop(client);
    scene.wait_for(|scene| scene.paths.dropped.get() == 1).await;
    scene.wait_for(|scene| scene.connections.open() == 0).await;
}

#[actix_rt::test]
async fn an_aborted_stream_delivers_what_was_sent_before() {
    let scene = Scene::start(8, ConnectionLimits::default()).await;
    let mut client = scene.send(&get("/aborted")).await;
    let received = read_to_end(&mut client).await;
    assert!(received.contains("first"), "{received}");
    assert!(!received.ends_with("0\r\n\r\n"), "{received}");
}

/// Guards against part of a response that is delivered as all of it: the end of its sender ended the body in order.
#[actix_rt::test]
async fn a_stream_whose_sender_is_dropped_is_not_complete() {
    let scene = Scene::start(8, ConnectionLimits::default()).await;
    let mut client = scene.send(&get("/dropped")).await;
    let received = read_to_end(&mut client).await;
    assert!(received.contains("first"), "{received}");
    assert!(!received.ends_with("0\r\n\r\n"), "{received}");
}

#[actix_rt::test]
async fn a_stream_that_is_finished_is_complete() {
    let scene = Scene::start(8, ConnectionLimits::default()).await;
    let mut client = scene.send(&get("/finished")).await;
    let received = read_until(&mut client, "0\r\n\r\n").await;
    assert!(received.contains("first"), "{received}");
}

/// Guards against connections that are closed without a response because the handler of a request has panicked.
#[actix_rt::test]
async fn a_request_whose_handler_panics_is_answered() {
    let scene = Scene::start(8, ConnectionLimits::default()).await;
    let mut client = scene.send(&(get("/panic") + &get("/first"))).await;
    let received = read_until(&mut client, "/first").await;
    assert!(received.starts_with("HTTP/1.1 500 "), "{received}");
    assert_eq!(*scene.paths.received.borrow(), ["/panic", "/first"]);
}

#[actix_rt::test]
async fn a_client_that_expects_it_is_told_to_continue() {
    let scene = Scene::start(8, ConnectionLimits::default()).await;
    let head =
        "POST /body HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n";
    let mut client = scene.send(head).await;
    read_until(&mut client, "100 Continue\r\n\r\n").await;
    client.write_all(b"text").await.unwrap();
    assert!(read_until(&mut client, "text").await.starts_with("HTTP/1.1 200 "));
}

#[actix_rt::test]
async fn the_longest_idle_connection_is_closed_for_a_new_one() {
    let scene = Scene::start(3, ConnectionLimits::default()).await;
    let mut clients = Vec::new();
    for path in ["/first", "/second", "/third"] {
        let mut client = scene.send(&get(path)).await;
        read_until(&mut client, path).await;
        clients.push(client);
    }
    // The first one is no longer the longest idle one.
    clients[0].write_all(get("/again").as_bytes()).await.unwrap();
    read_until(&mut clients[0], "/again").await;
    let mut new = scene.send(&get("/new")).await;
    assert!(read_until(&mut new, "/new").await.starts_with("HTTP/1.1 200 "));
    assert_eq!(read_to_end(&mut clients[1]).await, "");
    assert_eq!((scene.connections.open(), scene.connections.counts().closed_unused), (3, 1));
    clients[0].write_all(get("/still").as_bytes()).await.unwrap();
    read_until(&mut clients[0], "/still").await;
}

#[actix_rt::test]
async fn a_connection_without_room_is_refused_with_503_and_closed() {
    let scene = Scene::start(2, ConnectionLimits::default()).await;
    let busy = [scene.send(&get("/hang")).await, scene.send(&get("/hang")).await];
    scene.wait_for(|scene| scene.paths.received.borrow().len() == 2).await;
    let mut new = scene.send(&get("/new")).await;
    let received = read_to_end(&mut new).await;
    assert!(received.starts_with("HTTP/1.1 503 "), "{received}");
    assert_eq!(scene.connections.counts().refused, 1);
    assert_eq!(scene.paths.received.borrow().len(), 2);
    drop(busy);
    scene.wait_for(|scene| scene.connections.open() == 0).await;
    let mut new = scene.send(&get("/new")).await;
    assert!(read_until(&mut new, "/new").await.starts_with("HTTP/1.1 200 "));
}

#[actix_rt::test]
async fn a_stalled_body_is_given_up_for_others_with_a_response() {
    let scene = Scene::start(8, ConnectionLimits::default()).await;
    let head = "POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n";
    let mut client = scene.send(&format!("{head}tex")).await;
    scene.wait_for(|scene| scene.paths.received.borrow().len() == 1).await;
    assert!(!scene.connections.close_stalled(), "it has not stalled yet");
    scene.wait_for(|scene| scene.connections.close_stalled()).await;
    let received = read_to_end(&mut client).await;
    assert!(received.starts_with("HTTP/1.1 503 "), "{received}");
    assert_eq!(*scene.paths.body_errors.borrow(), ["NoRoom"]);
    assert_eq!(scene.connections.counts().closed_stalled, 1);
}

#[actix_rt::test]
async fn an_unread_response_is_given_up_for_others() {
    let scene = Scene::start(8, ConnectionLimits::default()).await;
    let _client = scene.send(&get("/large")).await;
    scene.wait_for(|scene| scene.paths.received.borrow().len() == 1).await;
    assert!(!scene.connections.close_stalled(), "it has not stalled yet");
    scene.wait_for(|scene| scene.connections.close_stalled()).await;
    scene.wait_for(|scene| scene.connections.open() == 0).await;
}

#[actix_rt::test]
async fn an_unread_response_ends_after_the_write_timeout() {
    let write_timeout = Duration::from_millis(200);
    let limits = ConnectionLimits { write_timeout, ..ConnectionLimits::default() };
    let scene = Scene::start(8, limits).await;
    let _client = scene.send(&get("/large")).await;
    scene.wait_for(|scene| scene.paths.received.borrow().len() == 1).await;
    scene.wait_for(|scene| scene.connections.open() == 0).await;
    // A client that reads gets all of it, however large.
    let mut client = scene.send(&get("/large")).await;
    client.shutdown().await.unwrap_or_default();
    drop(client);
    let mut client =
        scene.send("GET /large HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n").await;
    let received = read_to_end(&mut client).await;
    assert!(received.len() > UNREAD_BYTES, "{}", received.len());
}

#[actix_rt::test]
async fn http2_is_served_where_it_is_enabled() {
    let paths = Rc::new(Paths::default());
    let cfg = ServerConfig { http2: true, ..ServerConfig::default() };
    let server = serve("127.0.0.1:0".parse().unwrap(), cfg, paths.clone()).await.unwrap();
    let mut client = TcpStream::connect(server.address()).await.unwrap();
    // The preface arrives in parts.
    client.write_all(b"PR").await.unwrap();
    tokio::time::sleep(Duration::from_millis(30)).await;
    client.write_all(b"I * HTTP/2.0\r\n\r\nSM\r\n\r\n").await.unwrap();
    client.write_all(&[0, 0, 0, 4, 0, 0, 0, 0, 0]).await.unwrap();
    // HEADERS of `GET /` with END_STREAM and END_HEADERS.
    client.write_all(&[0, 0, 3, 1, 5, 0, 0, 0, 1, 0x82, 0x86, 0x84]).await.unwrap();
    let deadline = tokio::time::Instant::now() + TIMEOUT;
    while paths.received.borrow().is_empty() {
        assert!(tokio::time::Instant::now() < deadline, "the request was not received");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(*paths.received.borrow(), ["/"]);
    let mut http1 = TcpStream::connect(server.address()).await.unwrap();
    http1.write_all(get("/first").as_bytes()).await.unwrap();
    assert!(read_until(&mut http1, "/first").await.starts_with("HTTP/1.1 200 "));
}
