//! A fleet in one process, and short calls to it.

#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ringbend_models::EngineSpec;
use ringbend_playground::{ADMIN_KEY, CALLER_KEY, Fleet, FleetConfig};
use ringbend_standins::engine::EngineFaults;
use ringbend_types::{TokenCount, TokensPerSecond};
use serde_json::{Value, json};

/// A condition that does not come true within this time has failed.
const PATIENCE: Duration = Duration::from_secs(20);

/// Runs a test's future on a runtime of its own.
pub(crate) fn run(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(test);
}

/// A small fleet: slow decoding, so that answers take long enough to be broken off.
pub(crate) fn small() -> FleetConfig {
    FleetConfig {
        instances: 2,
        engines: 2,
        services: 1,
        spec: EngineSpec {
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
pub(crate) async fn until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let begun = Instant::now();
    while !condition().await {
        assert!(begun.elapsed() < PATIENCE, "{what}: not within {PATIENCE:?}");
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
}

/// A response read to its end.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) retry_after: Option<u64>,
    pub(crate) text: String,
}

impl Answer {
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
    awc::Client::builder().connector(connector).timeout(PATIENCE).finish()
}

pub(crate) async fn send(req: awc::ClientRequest, body: String) -> Answer {
    let mut res = req.send_body(body).await.unwrap();
    let retry_after = res.headers().get("retry-after");
    let retry_after = retry_after.map(|value| value.to_str().unwrap().parse().unwrap());
    let status = res.status().as_u16();
    let body = res.body().limit(64 << 20).await.unwrap();
    Answer { status, retry_after, text: String::from_utf8(body.to_vec()).unwrap() }
}

/// A streamed prompt.
pub(crate) async fn prompt(to: SocketAddr, text: &str, max_tokens: u64) -> Answer {
    let body =
        json!({"model": "standin", "stream": true, "max_tokens": max_tokens, "prompt": text});
    let url = format!("http://{to}/v1/completions");
    send(client().post(url).bearer_auth(CALLER_KEY), body.to_string()).await
}

/// A request to a caller's route, with headers.
pub(crate) async fn call(
    to: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Answer {
    let mut req = client().post(format!("http://{to}{path}")).bearer_auth(CALLER_KEY);
    for (name, value) in headers {
        req = req.insert_header((*name, *value));
    }
    send(req, body.to_owned()).await
}

/// A plain call under a key.
pub(crate) async fn keyed(to: SocketAddr, key: &str) -> Answer {
    let headers = [("x-ringbend-request-key", key), ("x-call-key", key)];
    call(to, "/services/dispatch/count", &headers, "one box").await
}

pub(crate) async fn admin_get(to: SocketAddr, path: &str) -> Value {
    let req = client().get(format!("http://{to}{path}")).bearer_auth(ADMIN_KEY);
    send(req, String::new()).await.json()
}

pub(crate) async fn change(to: SocketAddr, id: &str, at: &str, key: &str, value: Value) -> Answer {
    let edits = json!([{"path": at, "key": key, "value": value}]);
    let body = json!({"id": id, "author": "test", "edits": edits});
    let url = format!("http://{to}/v1/settings/changes");
    send(client().post(url).bearer_auth(ADMIN_KEY), body.to_string()).await
}

pub(crate) async fn put(url: String, body: Value) {
    let answer = send(client().put(url), body.to_string()).await;
    assert_eq!(answer.status, 204);
}

pub(crate) async fn version(admin: SocketAddr) -> u64 {
    admin_get(admin, "/v1/status").await["settings_version"].as_u64().unwrap()
}

/// Changes a setting and waits until every instance has it in force.
pub(crate) async fn set_everywhere(fleet: &Fleet, key: &str, value: Value) {
    let accepted = change(fleet.instances[0].admin, key, "/", key, value).await;
    assert_eq!(accepted.status, 200, "{}", accepted.text);
    let wanted = accepted.json()["version"].as_u64().unwrap();
    for instance in &fleet.instances {
        until("settings in force", async || version(instance.admin).await >= wanted).await;
    }
}

/// The tokens of a streamed answer, and whether it ended whole.
pub(crate) fn tokens(answer: &Answer) -> (Vec<String>, bool) {
    let mut tokens = Vec::new();
    for event in answer.text.split("\n\n") {
        let Some(data) = event.strip_prefix("data: ") else { continue };
        if data == "[DONE]" {
            return (tokens, true);
        }
        let data: Value = serde_json::from_str(data).unwrap();
        tokens.push(data["choices"][0]["text"].as_str().unwrap_or_default().to_owned());
    }
    (tokens, false)
}

/// The tokens that a prompt's answer must have.
pub(crate) fn expected(text: &str, n: u64) -> Vec<String> {
    let raw = serde_json::to_string(text).unwrap();
    let hash = xxhash_rust::xxh3::xxh3_64(raw.as_bytes());
    (0..n).map(|at| ringbend_standins::token_text(hash, at)).collect()
}

pub(crate) fn fault(fleet: &Fleet, engine: usize, change: impl FnOnce(&mut EngineFaults)) {
    let mut faults = EngineFaults::default();
    change(&mut faults);
    fleet.engines[engine].set_faults(faults);
}

pub(crate) async fn runs(fleet: &Fleet, key: &str) -> u64 {
    let url = format!("http://{}/_stats", fleet.services[0].address());
    let stats = send(client().get(url), String::new()).await.json();
    stats["by_key"][key].as_u64().unwrap_or(0)
}
