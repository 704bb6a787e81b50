//! Responses of a plain service that break off, are malformed or never end: callers receive them as failures.

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::net::{TcpListener, TcpStream};
use futures_util::future::join_all;
use ringbend_playground::{Fleet, FleetConfig};
use serde_json::json;
use socket2::SockRef;
use support::{Response, block_on, call, put, small_config, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// How long a caller may wait for the outcome of a response without an end.
const ENDLESS_TIMEOUT: Duration = Duration::from_secs(4);

/// The size of a call's body that does not fit into the buffers of a connection.
const LONG_BODY_BYTES: usize = 12 << 20;

/// The size of a prompt that is written in several parts, and that an engine has room for.
const LONG_PROMPT_BYTES: usize = 300 << 10;

/// What a service does after it has written its response.
#[derive(Debug, Clone, Copy)]
enum End {
    Close,
    Reset,
    /// Writes these bytes until the peer closes the connection.
    Flood(&'static str),
}

/// Responds to one request.
async fn serve(mut connection: TcpStream, response: &str, end: End) {
    let mut request = Vec::new();
    while !request.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
        if !matches!(connection.read_buf(&mut request).await, Ok(1..)) {
            return;
        }
    }
    connection.write_all(response.as_bytes()).await.unwrap();
    match end {
        End::Close => {
            // Bytes that were not read would turn the end into a reset.
            connection.shutdown().await.unwrap();
            while matches!(connection.read(&mut request).await, Ok(1..)) {}
        }
        End::Reset => SockRef::from(&connection).set_linger(Some(Duration::ZERO)).unwrap(),
        End::Flood(text) => {
            let text = text.repeat(1_000);
            while connection.write_all(text.as_bytes()).await.is_ok() {}
        }
    }
}

/// Starts a service that always sends this response.
async fn start_service(fleet: &Fleet, name: &str, response: String, end: End) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let entry = json!({"id": format!("{name}-1"), "address": listener.local_addr().unwrap(),
        "data_centre": "dc-1", "kind": "service", "service": name, "checks_fencing": false,
        "kv_capacity": 0, "state": "live"});
    tokio::task::spawn_local(async move {
        while let Ok((connection, _)) = listener.accept().await {
            let response = response.clone();
            tokio::task::spawn_local(async move { serve(connection, &response, end).await });
        }
    });
    put(format!("http://{}/v1/endpoints", fleet.instance_list.address()), entry).await;
}

/// What an engine has received.
#[derive(Default)]
struct Received {
    prompts: Cell<usize>,
    reports: Cell<usize>,
}

/// A response of an engine to a request for its load report.
fn load_report() -> String {
    let report = json!({"running": 0, "waiting": 0, "prefill_backlog": 0, "kv_used": 0,
        "kv_capacity": 100_000, "state": "live"})
    .to_string();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{report}", report.len())
}

/// Starts an engine of the model `name` with these responses to prompts and to requests for its load report.
async fn start_engine(
    fleet: &Fleet,
    name: &str,
    (response, end): (String, End),
    report: String,
) -> Rc<Received> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let entry = json!({"id": format!("{name}-1"), "address": listener.local_addr().unwrap(),
        "data_centre": "dc-1", "kind": "engine", "service": name, "checks_fencing": false,
        "kv_capacity": 100_000, "state": "live"});
    let received = Rc::<Received>::default();
    let counts = received.clone();
    tokio::task::spawn_local(async move {
        while let Ok((connection, _)) = listener.accept().await {
            let (response, report, counts) = (response.clone(), report.clone(), counts.clone());
            tokio::task::spawn_local(async move {
                let mut first = [0; 5];
                match connection.peek(&mut first).await {
                    Ok(5) if &first == b"POST " => {
                        counts.prompts.set(counts.prompts.get() + 1);
                        serve(connection, &response, end).await;
                    }
                    _ => {
                        counts.reports.set(counts.reports.get() + 1);
                        serve(connection, &report, End::Close).await;
                    }
                }
            });
        }
    });
    put(format!("http://{}/v1/endpoints", fleet.instance_list.address()), entry).await;
    received
}

/// Repeats a call until the instance knows the endpoint. Returns the response and how long it took.
async fn call_when_known(fleet: &Fleet, path: &str, body: &str) -> (Response, Duration) {
    let to = fleet.instances[0].callers_address;
    let mut received = None;
    wait_until("the endpoint is known", async || {
        let began = Instant::now();
        let response = call(to, path, &[], body).await;
        let is_known = response.status != 404;
        received = Some((response, began.elapsed()));
        is_known
    })
    .await;
    received.unwrap()
}

async fn call_service(fleet: &Fleet, name: &str) -> (Response, Duration) {
    call_when_known(fleet, &format!("/services/{name}/"), "request").await
}

async fn start_fleet() -> Fleet {
    Fleet::start(FleetConfig { instances: 1, ..small_config() }).await.unwrap()
}

#[test]
fn a_body_that_ends_with_its_connection_is_forwarded() {
    block_on(async {
        let fleet = start_fleet().await;
        let heads = [
            "HTTP/1.1 200 OK\r\n",
            "HTTP/1.0 200 OK\r\n",
            "HTTP/1.1 200 OK\r\nUpgrade: websocket\r\n",
        ];
        for (n, head) in heads.into_iter().enumerate() {
            let name = format!("sound-{n}");
            start_service(&fleet, &name, format!("{head}\r\nbody"), End::Close).await;
            let (response, _) = call_service(&fleet, &name).await;
            assert_eq!((response.status, response.text.as_str()), (200, "body"), "{head:?}");
        }
    });
}

#[test]
fn broken_responses_are_failures() {
    let ok = "HTTP/1.1 200 OK\r\n";
    let chunked = "Transfer-Encoding: chunked\r\n";
    let length = "Content-Length: 4\r\n";
    let cases = [
        (format!("{ok}\r\npart"), End::Reset),
        (format!("{ok}{chunked}\r\n4\r\nbody\r\n"), End::Close),
        (format!("{ok}Content-Length: 5\r\n\r\nbody"), End::Close),
        (format!("HTTP/1.1 000 -\r\n{length}\r\nbody"), End::Close),
        (format!("HTTP/1.1 600 -\r\n{length}\r\nbody"), End::Close),
        (format!("{ok}X Odd: v\r\n{length}\r\nbody"), End::Close),
        (format!("{ok}X-Odd : v\r\n{length}\r\nbody"), End::Close),
        (format!("{ok}X\u{1}Odd: v\r\n{length}\r\nbody"), End::Close),
        (format!("{ok}Content-Length : 4\r\n\r\nbody"), End::Close),
        (format!("{ok}Transfer-Encoding: identity\r\n\r\nbody"), End::Close),
        (format!("{ok}Content-Length: 0\r\n{chunked}\r\n4\r\nbody\r\n0\r\n\r\n"), End::Close),
        (format!("{ok}{}: v\r\n{length}\r\nbody", "a".repeat(66_000)), End::Close),
        (ok.to_owned(), End::Flood("X-More: more\r\n")),
        (String::new(), End::Flood("HTTP/1.1 100 Continue\r\n\r\n")),
        (format!("{ok}{chunked}\r\n4;"), End::Flood("more")),
        (format!("{ok}{chunked}\r\n0\r\n"), End::Flood("X-More: more\r\n")),
        (format!("{ok}\r\n"), End::Flood("more")),
    ];
    block_on(async {
        let fleet = start_fleet().await;
        // Each has a service of its own, as endpoints that fail are avoided for a while.
        join_all(cases.into_iter().enumerate().map(async |(n, (response, end))| {
            let case = format!("{:?}, then {end:?}", &response[..response.len().min(70)]);
            let name = format!("odd-{n}");
            start_service(&fleet, &name, response, end).await;
            let (received, took) = call_service(&fleet, &name).await;
            let run_state = received.run_state();
            assert_eq!(received.status, 502, "{case}: {received:?}");
            // A body that is too large proves that the service has run the call.
            assert!(["may-have-run", "failed"].contains(&&*run_state), "{case}: {received:?}");
            assert!(took < ENDLESS_TIMEOUT, "{case}: {took:?}");
        }))
        .await;
    });
}

/// Guards against calls that run twice: a service that had run a call answered 503, which callers take for the promise
/// that it was not run.
#[test]
fn a_call_that_may_run_once_is_not_promised_to_be_unrun_without_a_proof() {
    block_on(async {
        let fleet = start_fleet().await;
        let statuses = ["503 Service Unavailable", "429 Too Many Requests", "408 Request Timeout"];
        for (n, status) in statuses.into_iter().enumerate() {
            let name = format!("busy-{n}");
            let response = format!("HTTP/1.1 {status}\r\nContent-Length: 4\r\n\r\nbody");
            start_service(&fleet, &name, response, End::Close).await;
            let (received, _) = call_service(&fleet, &name).await;
            assert_eq!(received.status, 502, "{status}: {received:?}");
            assert_eq!(received.run_state(), "may-have-run", "{status}: {received:?}");
        }
        // Other statuses make no promise.
        let response = "HTTP/1.1 500 -\r\nContent-Length: 4\r\n\r\nbody".to_owned();
        start_service(&fleet, "failing", response, End::Close).await;
        let (received, _) = call_service(&fleet, "failing").await;
        assert_eq!((received.status, received.text.as_str()), (500, "body"));
    });
}

/// Responses to prompts, which are complete only with their last token.
#[test]
fn broken_responses_of_engines_are_failures() {
    let ok = "HTTP/1.1 200 OK\r\n";
    let length = "Content-Length: 4\r\n";
    let cases = [
        (format!("{ok}\r\npart"), End::Reset),
        (format!("HTTP/1.1 000 -\r\n{length}\r\nbody"), End::Close),
        (format!("HTTP/1.1 600 -\r\n{length}\r\nbody"), End::Close),
        (format!("{ok}X Odd: v\r\n{length}\r\nbody"), End::Close),
        (format!("{ok}{}: v\r\n{length}\r\nbody", "a".repeat(66_000)), End::Close),
        (ok.to_owned(), End::Flood("X-More: more\r\n")),
        (format!("{ok}\r\n"), End::Flood("more")),
    ];
    block_on(async {
        let fleet = start_fleet().await;
        join_all(cases.into_iter().enumerate().map(async |(n, (response, end))| {
            let case = format!("{:?}, then {end:?}", &response[..response.len().min(70)]);
            let name = format!("odd-{n}");
            let engine = start_engine(&fleet, &name, (response, end), load_report()).await;
            let body = json!({"model": name, "max_tokens": 5, "prompt": "review"}).to_string();
            let (received, _) = call_when_known(&fleet, "/v1/completions", &body).await;
            assert!((500..600).contains(&received.status), "{case}: {received:?}");
            assert!(engine.prompts.get() > 0, "{case}: {received:?}");
        }))
        .await;
    });
}

/// A response that breaks before its body is complete.
struct EarlyBreak {
    response: String,
    end: End,
    /// Whether the request is so long that it is still being written when the response arrives.
    during_upload: bool,
}

/// Responses that end inside their head, and one that is reset while the request is uploaded.
fn responses_that_break_early() -> Vec<EarlyBreak> {
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\n";
    let interim = "HTTP/1.1 100 Continue\r\n\r\n";
    let parts = (0..head.len()).step_by(5).chain([head.len() - 1]).map(|length| &head[..length]);
    let parts = parts.flat_map(|part| [part.to_owned(), interim.to_owned() + part]);
    let heads = parts.flat_map(|part| [(part.clone(), End::Close), (part, End::Reset)]);
    // Uploads are large, so that only some of these are played during one.
    let heads = heads.enumerate().map(|(n, (response, end))| {
        let during_upload = n.is_multiple_of(8);
        EarlyBreak { response, end, during_upload }
    });
    let part = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: part\n\n";
    let reset = EarlyBreak { response: part.into(), end: End::Reset, during_upload: true };
    heads.chain([reset]).collect()
}

/// Guards against parts of responses that callers receive as whole ones.
#[test]
fn responses_that_end_inside_their_head_or_the_upload_are_failures() {
    block_on(async {
        let fleet = start_fleet().await;
        let body = "x".repeat(LONG_BODY_BYTES);
        let cases = responses_that_break_early().into_iter().enumerate();
        join_all(cases.map(async |(n, early)| {
            let EarlyBreak { response, end, during_upload } = early;
            let case = format!("{response:?}, then {end:?}");
            let name = format!("early-{n}");
            start_service(&fleet, &name, response, end).await;
            let sent = if during_upload { &*body } else { "request" };
            let (received, _) = call_when_known(&fleet, &format!("/services/{name}/"), sent).await;
            assert_eq!(received.status, 502, "{case}: {received:?}");
            assert_eq!(received.run_state(), "may-have-run", "{case}: {received:?}");
        }))
        .await;
    });
}

#[test]
fn responses_of_engines_that_end_inside_their_head_or_the_upload_are_failures() {
    block_on(async {
        let fleet = start_fleet().await;
        let prompt = "x".repeat(LONG_PROMPT_BYTES);
        let cases = responses_that_break_early().into_iter().enumerate();
        join_all(cases.map(async |(n, early)| {
            let EarlyBreak { response, end, during_upload } = early;
            let case = format!("{response:?}, then {end:?}");
            let name = format!("early-{n}");
            let prompt = if during_upload { &*prompt } else { "review" };
            for stream in [false, true] {
                let name = format!("{name}-{stream}");
                let response = (response.clone(), end);
                let engine = start_engine(&fleet, &name, response, load_report()).await;
                let body = json!({"model": name, "max_tokens": 5, "prompt": prompt,
                    "stream": stream})
                .to_string();
                let (received, _) = call_when_known(&fleet, "/v1/completions", &body).await;
                assert!((500..600).contains(&received.status), "{case}: {received:?}");
                assert!(engine.prompts.get() > 0, "{case}: {received:?}");
            }
        }))
        .await;
    });
}

/// Guards against prompts that run twice, or are reported as not run: an engine that closed its connection before its
/// response counted as one that had received nothing.
#[test]
fn a_prompt_whose_engine_closes_without_a_response_may_have_run() {
    block_on(async {
        let fleet = start_fleet().await;
        let long = "x".repeat(LONG_PROMPT_BYTES);
        let cases = [(End::Close, "review"), (End::Reset, "review"), (End::Close, &long)];
        join_all(cases.into_iter().enumerate().map(async |(n, (end, prompt))| {
            let case = format!("{end:?}, {} bytes", prompt.len());
            let name = format!("silent-{n}");
            let engine = start_engine(&fleet, &name, (String::new(), end), load_report()).await;
            let body = json!({"model": name, "max_tokens": 5, "prompt": prompt}).to_string();
            let to = fleet.instances[0].callers_address;
            let once = [("x-ringbend-not-repeatable", "true")];
            let mut received = None;
            wait_until("the engine is known", async || {
                let response = call(to, "/v1/completions", &once, &body).await;
                let is_known = response.status != 404;
                received = Some(response);
                is_known
            })
            .await;
            let received = received.unwrap();
            assert_eq!((received.status, engine.prompts.get()), (502, 1), "{case}: {received:?}");
            assert_eq!(received.run_state(), "may-have-run", "{case}: {received:?}");
        }))
        .await;
    });
}

/// One engine's report must not end the task that reads those of all.
#[test]
fn a_broken_load_report_does_not_hide_those_of_other_engines() {
    block_on(async {
        let fleet = start_fleet().await;
        let long =
            format!("HTTP/1.1 200 OK\r\n{}: v\r\nContent-Length: 0\r\n\r\n", "a".repeat(66_000));
        let prompt = || (String::new(), End::Close);
        let broken = start_engine(&fleet, "broken", prompt(), long).await;
        wait_until("the broken report is read", async || broken.reports.get() > 0).await;
        let sound = start_engine(&fleet, "sound", prompt(), load_report()).await;
        wait_until("the report of the other engine is read", async || sound.reports.get() > 0)
            .await;
    });
}
