//! A mixed load: prompts of a few hundred to a million tokens, and service calls with idempotency
//! keys, none of which may run twice.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use ringbend_standins::service::CALL_KEY_HEADER;
use ringbend_standins::token_text;
use ringbend_types::{PromptBucket, RunState, Seed};
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;

use crate::fleet::CALLER_KEY;

/// Bytes of prompt per token.
const BYTES_PER_TOKEN: usize = 4;

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(50);

/// Smallest and largest prompt length of each bucket, in tokens.
const PROMPT_TOKEN_RANGES: [(PromptBucket, u64, u64); 4] = [
    (PromptBucket::Thousand, 200, 2_000),
    (PromptBucket::TenThousand, 8_000, 20_000),
    (PromptBucket::HundredThousand, 80_000, 150_000),
    (PromptBucket::Million, 900_000, 1_000_000),
];

/// Number, rate and seed of the requests.
#[derive(Debug, Clone)]
pub struct LoadConfig {
    /// Number of prompts in each bucket, from short to long.
    pub prompts: [usize; 4],
    /// Number of service call keys. Each key is sent to two instances at the same time.
    pub service_calls: usize,
    /// Mean interval between requests.
    pub mean_interval: Duration,
    /// Seed for the lengths, intervals and order of the requests.
    pub seed: u64,
}

impl Default for LoadConfig {
    fn default() -> Self {
        Self {
            prompts: [60, 24, 8, 3],
            service_calls: 20,
            mean_interval: Duration::from_millis(80),
            seed: 7,
        }
    }
}

/// The outcome of one call as seen by its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The complete and correct answer was received.
    Answered,
    /// An answer to another request was received.
    Crossed,
    /// The call was rejected and not run.
    NotRun,
    /// The call was admitted and failed with this run state.
    Failed(RunState),
    /// Neither a complete answer nor a well-formed error was received.
    Lost,
}

/// The result of one call.
#[derive(Debug, Clone, Copy)]
pub struct CallResult {
    /// The prompt's bucket; `None` for a service call.
    pub bucket: Option<PromptBucket>,
    /// The call's outcome.
    pub outcome: CallOutcome,
    /// Time to first token; `None` if no token was received and for service calls.
    pub first_token: Option<Duration>,
}

/// A client that sends calls to instances and checks the answers.
#[derive(Clone)]
pub struct LoadClient {
    client: awc::Client,
}

impl Default for LoadClient {
    fn default() -> Self {
        let connector = awc::Connector::new().limit(0);
        let client = awc::Client::builder().connector(connector).timeout(CALL_TIMEOUT).finish();
        Self { client }
    }
}

/// Returns the random text of a prompt of `tokens` tokens.
pub fn prompt_text(rng: &mut impl Rng, tokens: u64) -> String {
    let words = (tokens as usize * BYTES_PER_TOKEN) / 8;
    let mut text = String::with_capacity(words * 8);
    for _ in 0..words {
        let word: u32 = rng.random_range(0..0x0fff_ffff);
        text.push_str(&format!("{word:07x} "));
    }
    text
}

impl LoadClient {
    /// Sends a prompt with a streamed answer and checks each token of the answer.
    pub async fn send_prompt(
        &self,
        address: SocketAddr,
        text: &str,
        max_tokens: u64,
    ) -> CallResult {
        let raw = format!("\"{text}\"");
        let tokens = raw.len() / BYTES_PER_TOKEN;
        let bucket = Some(PromptBucket::of(ringbend_types::TokenCount(tokens as u64)));
        let body = format!(
            "{{\"model\":\"standin\",\"stream\":true,\"max_tokens\":{max_tokens},\"prompt\":{raw}}}"
        );
        let expected: Vec<String> =
            (0..max_tokens).map(|i| token_text(xxh3_64(raw.as_bytes()), i)).collect();
        let started_at = Instant::now();
        let url = format!("http://{address}/v1/completions");
        let sent = self.client.post(url).bearer_auth(CALLER_KEY).send_body(body).await;
        let lost_result = CallResult { bucket, outcome: CallOutcome::Lost, first_token: None };
        let Ok(mut res) = sent else { return lost_result };
        if !res.status().is_success() {
            let body = res.body().await.unwrap_or_default();
            return CallResult { outcome: classify_error(&body), ..lost_result };
        }
        let mut first_token = None;
        let mut received = Vec::new();
        while let Some(Ok(chunk)) = res.next().await {
            first_token.get_or_insert_with(|| started_at.elapsed());
            received.extend_from_slice(&chunk);
        }
        let outcome = check_stream(&String::from_utf8_lossy(&received), &expected);
        CallResult { bucket, outcome, first_token }
    }

    /// Sends a service call that must not run twice, with its idempotency key.
    pub async fn call_service(&self, address: SocketAddr, key: &str, body: &str) -> CallResult {
        let url = format!("http://{address}/services/dispatch/counts");
        let req = self
            .client
            .post(url)
            .bearer_auth(CALLER_KEY)
            .insert_header(("x-ringbend-request-key", key))
            .insert_header((CALL_KEY_HEADER, key));
        let lost_result =
            CallResult { bucket: None, outcome: CallOutcome::Lost, first_token: None };
        let Ok(mut res) = req.send_body(body.to_owned()).await else { return lost_result };
        let success = res.status().is_success();
        let answer = res.body().await.unwrap_or_default();
        if !success {
            return CallResult { outcome: classify_error(&answer), ..lost_result };
        }
        let answer: Value = serde_json::from_slice(&answer).unwrap_or_default();
        let is_expected = answer["body"] == body;
        let outcome = if is_expected { CallOutcome::Answered } else { CallOutcome::Crossed };
        CallResult { outcome, ..lost_result }
    }
}

/// Classifies an error body. Rejections by the instance and failures of admitted requests have
/// different codes.
fn classify_error(body: &[u8]) -> CallOutcome {
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    let error = &body["error"];
    let run_state = error["run_state"].as_str().and_then(|text| text.parse().ok());
    let admitted = ["deadline_exceeded", "endpoint_failed", "no_claim", "in_progress", "cut_off"];
    match (run_state, error["code"].as_str()) {
        (Some(run_state), Some(code)) if admitted.contains(&code) => CallOutcome::Failed(run_state),
        (Some(RunState::NotRun), Some(_)) => CallOutcome::NotRun,
        (Some(run_state), Some(_)) => CallOutcome::Failed(run_state),
        _ => CallOutcome::Lost,
    }
}

/// Checks the events of a streamed answer against the expected tokens.
fn check_stream(received: &str, expected: &[String]) -> CallOutcome {
    let mut tokens = Vec::new();
    let mut done = false;
    for event in received.split("\n\n") {
        if let Some(error) = event.strip_prefix("event: error\ndata: ") {
            return classify_error(error.as_bytes());
        }
        let Some(data) = event.strip_prefix("data: ") else { continue };
        if data == "[DONE]" {
            done = true;
            continue;
        }
        let data: Value = serde_json::from_str(data).unwrap_or_default();
        tokens.push(data["choices"][0]["text"].as_str().unwrap_or_default().to_owned());
    }
    if tokens.iter().zip(expected).any(|(token, expected_token)| token != expected_token) {
        return CallOutcome::Crossed;
    }
    if done && tokens.len() == expected.len() { CallOutcome::Answered } else { CallOutcome::Lost }
}

enum PlannedCall {
    Prompt { text: String, max_tokens: u64 },
    ServiceCall { key: String },
}

/// Sends the load to the instances in turn and returns the result of each call.
pub async fn run_load(addresses: &[SocketAddr], cfg: &LoadConfig) -> Vec<CallResult> {
    let mut rng = Seed(cfg.seed).rng(0);
    let client = Rc::new(LoadClient::default());
    let mut calls = Vec::new();
    for (n, planned) in plan_calls(cfg, &mut rng).into_iter().enumerate() {
        let (client, to) = (client.clone(), addresses[n % addresses.len()]);
        let other = addresses[(n + 1) % addresses.len()];
        calls.push(tokio::task::spawn_local(async move {
            match planned {
                PlannedCall::Prompt { text, max_tokens } => {
                    vec![client.send_prompt(to, &text, max_tokens).await]
                }
                PlannedCall::ServiceCall { key } => {
                    let body = format!("count for {key}");
                    let both = (
                        client.call_service(to, &key, &body),
                        client.call_service(other, &key, &body),
                    );
                    let (one, two) = futures_util::join!(both.0, both.1);
                    vec![one, two]
                }
            }
        }));
        let pause = cfg.mean_interval.mul_f64(rng.random_range(0.2..1.8));
        actix_rt::time::sleep(pause).await;
    }
    let results = futures_util::future::join_all(calls).await;
    results.into_iter().flat_map(|call| call.unwrap_or_default()).collect()
}

/// Returns all requests in random order, which spreads the long prompts among the short ones.
fn plan_calls(cfg: &LoadConfig, rng: &mut ChaCha8Rng) -> Vec<PlannedCall> {
    let mut planned = Vec::new();
    for ((_, least, most), count) in PROMPT_TOKEN_RANGES.iter().zip(cfg.prompts) {
        for _ in 0..count {
            let tokens = rng.random_range(*least..=*most);
            let text = prompt_text(rng, tokens);
            let max_tokens = rng.random_range(4..32);
            planned.push(PlannedCall::Prompt { text, max_tokens });
        }
    }
    for n in 0..cfg.service_calls {
        planned.push(PlannedCall::ServiceCall { key: format!("key-{}-{n}", cfg.seed) });
    }
    use rand::seq::SliceRandom;
    planned.shuffle(rng);
    planned
}
