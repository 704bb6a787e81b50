//! Helpers for tests on a fleet of instances and stand-ins in one process.

#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ringbend_models::EngineSpec;
use ringbend_playground::{ADMIN_KEY, CALLER_KEY, Fleet, FleetConfig};
use ringbend_standins::engine::EngineFaults;
use ringbend_types::{TokenCount, TokensPerSecond};
use serde_json::{Value, json};

/// Timeout of requests and awaited conditions.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs a test's future on a new runtime.
pub(crate) fn block_on(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(test);
}

/// Configuration of a small fleet. Decoding is slow, so that tests can interrupt answers.
pub(crate) fn small_config() -> FleetConfig {
    FleetConfig {
        instances: 2,
        engines: 2,
        services: 1,
        engine_spec: EngineSpec {
            prefill_rate: TokensPerSecond(400_000),
            decode_step: Duration::from_millis(10),
            kv_capacity: TokenCount(100_000),
            ..EngineSpec::default()
        },
        report_lag: Duration::from_millis(50),
        ..FleetConfig::default()
    }
}

/// Waits until a condition holds.
pub(crate) async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let started_at = Instant::now();
    while !condition().await {
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "timed out after {WAIT_TIMEOUT:?}: {what}");
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
}

/// A response with its whole body.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) retry_after: Option<u64>,
    pub(crate) text: String,
}

impl Response {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or(Value::Null)
    }

    pub(crate) fn code(&self) -> String {
        self.json()["error"]["code"].as_str().unwrap_or_default().to_owned()
    }

    pub(crate) fn run_state(&self) -> String {
        self.json()["error"]["run_state"].as_str().unwrap_or_default().to_owned()
    }
}

fn client() -> awc::Client {
    let connector = awc::Connector::new().conn_keep_alive(Duration::ZERO);
    awc::Client::builder().connector(connector).timeout(WAIT_TIMEOUT).finish()
}

pub(crate) async fn send(req: awc::ClientRequest, body: String) -> Response {
    let mut res = req.send_body(body).await.unwrap();
    let retry_after = res.headers().get("retry-after");
    let retry_after = retry_after.map(|value| value.to_str().unwrap().parse().unwrap());
    let status = res.status().as_u16();
    let body = res.body().limit(64 << 20).await.unwrap();
    Response { status, retry_after, text: String::from_utf8(body.to_vec()).unwrap() }
}

/// Sends a prompt and returns the streamed response.
pub(crate) async fn send_prompt(to: SocketAddr, text: &str, max_tokens: u64) -> Response {
    let body =
        json!({"model": "standin", "stream": true, "max_tokens": max_tokens, "prompt": text});
    let url = format!("http://{to}/v1/completions");
    send(client().post(url).bearer_auth(CALLER_KEY), body.to_string()).await
}

/// Sends a POST request with these headers to the callers' API.
pub(crate) async fn call(
    to: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Response {
    let mut req = client().post(format!("http://{to}{path}")).bearer_auth(CALLER_KEY);
    for (name, value) in headers {
        req = req.insert_header((*name, *value));
    }
    send(req, body.to_owned()).await
}

/// Sends a service call with an idempotency key.
pub(crate) async fn call_with_key(to: SocketAddr, key: &str) -> Response {
    let headers = [("x-ringbend-request-key", key), ("x-call-key", key)];
    call(to, "/services/dispatch/count", &headers, "one box").await
}

pub(crate) async fn admin_get(to: SocketAddr, path: &str) -> Value {
    let req = client().get(format!("http://{to}{path}")).bearer_auth(ADMIN_KEY);
    send(req, String::new()).await.json()
}

pub(crate) async fn change_setting(
    to: SocketAddr,
    id: &str,
    path: &str,
    key: &str,
    value: Value,
) -> Response {
    let edits = json!([{"path": path, "key": key, "value": value}]);
    let body = json!({"id": id, "author": "test", "edits": edits});
    let url = format!("http://{to}/v1/settings/changes");
    send(client().post(url).bearer_auth(ADMIN_KEY), body.to_string()).await
}

pub(crate) async fn put(url: String, body: Value) {
    let response = send(client().put(url), body.to_string()).await;
    assert_eq!(response.status, 204);
}

/// Sends a text as the body of a POST request that has no response body.
pub(crate) async fn post(url: String, body: String) {
    assert_eq!(send(client().post(url), body).await.status, 204);
}

pub(crate) async fn settings_version(admin: SocketAddr) -> u64 {
    admin_get(admin, "/v1/status").await["settings_version"].as_u64().unwrap()
}

/// Changes a setting and waits until it is in force at all instances.
pub(crate) async fn set_everywhere(fleet: &Fleet, key: &str, value: Value) {
    let accepted = change_setting(fleet.instances[0].admin_address, key, "/", key, value).await;
    assert_eq!(accepted.status, 200, "{}", accepted.text);
    let new_version = accepted.json()["version"].as_u64().unwrap();
    for instance in &fleet.instances {
        wait_until("settings in force", async || {
            settings_version(instance.admin_address).await >= new_version
        })
        .await;
    }
}

/// Returns the tokens of a streamed response and whether the response is complete.
pub(crate) fn parse_tokens(response: &Response) -> (Vec<String>, bool) {
    let mut tokens = Vec::new();
    for event in response.text.split("\n\n") {
        let Some(data) = event.strip_prefix("data: ") else { continue };
        if data == "[DONE]" {
            return (tokens, true);
        }
        let data: Value = serde_json::from_str(data).unwrap();
        tokens.push(data["choices"][0]["text"].as_str().unwrap_or_default().to_owned());
    }
    (tokens, false)
}

/// Returns the tokens that the response to a prompt must have.
pub(crate) fn expected_tokens(text: &str, n: u64) -> Vec<String> {
    let raw = serde_json::to_string(text).unwrap();
    let hash = xxhash_rust::xxh3::xxh3_64(raw.as_bytes());
    (0..n).map(|index| ringbend_standins::token_text(hash, index)).collect()
}

/// Replaces the faults of one engine.
pub(crate) fn inject_fault(
    fleet: &Fleet,
    engine: usize,
    configure: impl FnOnce(&mut EngineFaults),
) {
    let mut faults = EngineFaults::default();
    configure(&mut faults);
    fleet.engines[engine].set_faults(faults);
}

/// Returns how often the service ran the calls of a key.
pub(crate) async fn run_count(fleet: &Fleet, key: &str) -> u64 {
    let url = format!("http://{}/_stats", fleet.services[0].address());
    let stats = send(client().get(url), String::new()).await.json();
    stats["by_key"][key].as_u64().unwrap_or(0)
}
