//! Responses of an engine that are complete, but that the engine does not end.

mod support;

use std::time::{Duration, Instant};

use actix_rt::net::{TcpListener, TcpStream};
use ringbend_playground::{CALLER_KEY, Fleet, FleetConfig};
use serde_json::json;
use support::{Response, block_on, put, send, small_config, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// How long a caller may wait for a response whose last event the engine sends at once.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// What the engine does after the last event.
#[derive(Debug, Clone, Copy)]
enum AfterLast {
    /// Keeps the connection open.
    Silence,
    /// Sends comments until the connection is closed.
    Comments,
}

/// Returns the value of a header of a request.
fn header(request: &str, name: &str) -> Option<String> {
    let value = |line: &str| {
        let (found, value) = line.split_once(':')?;
        found.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
    };
    request.lines().find_map(value)
}

/// Answers one request: a prompt with a complete response, any other one with a load report.
async fn serve(mut connection: TcpStream, after_last: AfterLast) {
    let mut request = Vec::new();
    while !request.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
        if !matches!(connection.read_buf(&mut request).await, Ok(1..)) {
            return;
        }
    }
    let request = String::from_utf8_lossy(&request).into_owned();
    let Some((attempt, id)) =
        header(&request, "x-attempt-id").zip(header(&request, "x-request-id"))
    else {
        let report = json!({"running": 0, "waiting": 0, "prefill_backlog": 0, "kv_used": 0,
            "kv_capacity": 100_000, "state": "live"})
        .to_string();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", report.len());
        let _ = connection.write_all(format!("{head}{report}").as_bytes()).await;
        return;
    };
    let event = json!({"id": id, "choices": [{"index": 0, "text": "all", "finish_reason": "length"}],
        "usage": {"completion_tokens": 1}});
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nx-attempt-id: {attempt}\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    let events = format!("data: {event}\n\ndata: [DONE]\n\n");
    let response = format!("{head}{:x}\r\n{events}\r\n", events.len());
    let _ = connection.write_all(response.as_bytes()).await;
    match after_last {
        AfterLast::Silence => std::future::pending().await,
        AfterLast::Comments => while connection.write_all(b"4\r\n: \n\n\r\n").await.is_ok() {},
    }
}

async fn start_engine(fleet: &Fleet, name: &str, after_last: AfterLast) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let entry = json!({"id": format!("{name}-1"), "address": listener.local_addr().unwrap(),
        "data_centre": "dc-1", "kind": "engine", "service": name, "checks_fencing": false,
        "kv_capacity": 100_000, "state": "live"});
    tokio::task::spawn_local(async move {
        while let Ok((connection, _)) = listener.accept().await {
            tokio::task::spawn_local(serve(connection, after_last));
        }
    });
    put(format!("http://{}/v1/endpoints", fleet.instance_list.address()), entry).await;
}

async fn send_prompt(fleet: &Fleet, model: &str) -> Response {
    let body = json!({"model": model, "stream": false, "max_tokens": 1, "prompt": "p"});
    let url = format!("http://{}/v1/completions", fleet.instances[0].callers_address);
    let client = awc::Client::builder().timeout(Duration::from_secs(20)).finish();
    send(client.post(url).bearer_auth(CALLER_KEY), body.to_string()).await
}

/// Guards against waiting for the end of a response after its last event: the caller got its
/// response late or as a failure, and the engine's request was still counted as running.
#[test]
fn a_complete_response_does_not_wait_for_the_engine_to_end_it() {
    block_on(async {
        let fleet = Fleet::start(FleetConfig { instances: 1, ..small_config() }).await.unwrap();
        for (name, after_last) in [("silent", AfterLast::Silence), ("endless", AfterLast::Comments)]
        {
            start_engine(&fleet, name, after_last).await;
            let mut received = None;
            wait_until("the engine is known", async || {
                let began = Instant::now();
                let response = send_prompt(&fleet, name).await;
                let is_known = response.status != 404;
                received = Some((response, began.elapsed()));
                is_known
            })
            .await;
            let (response, took) = received.unwrap();
            assert_eq!(response.status, 200, "{after_last:?}: {response:?} after {took:?}");
            assert!(took < RESPONSE_TIMEOUT, "{after_last:?}: {took:?}");
        }
    });
}
