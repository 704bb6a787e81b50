//! A mixed load: prompts of a thousand to a million tokens, and plain calls whose keys must not
//! run twice.

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

/// Bound of one call.
const CALL_TIME: Duration = Duration::from_secs(50);

/// Most tokens a mixed prompt of a bucket may have.
const PROMPT_TOKENS: [(PromptBucket, u64, u64); 4] = [
    (PromptBucket::Thousand, 200, 2_000),
    (PromptBucket::TenThousand, 8_000, 20_000),
    (PromptBucket::HundredThousand, 80_000, 150_000),
    (PromptBucket::Million, 900_000, 1_000_000),
];

/// How many requests of each kind, and how fast.
#[derive(Debug, Clone)]
pub struct LoadConfig {
    /// Prompts, by bucket from short to long.
    pub prompts: [usize; 4],
    /// Plain calls; each key is sent to two instances at the same moment.
    pub plain: usize,
    /// Mean time between arrivals.
    pub every: Duration,
    /// Of sizes, times and order.
    pub seed: u64,
}

impl Default for LoadConfig {
    fn default() -> Self {
        Self { prompts: [60, 24, 8, 3], plain: 20, every: Duration::from_millis(80), seed: 7 }
    }
}

/// How one call ended, as its caller saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The whole answer, and the right one.
    Answered,
    /// An answer that belongs to another request.
    Crossed,
    /// Refused, and not run.
    NotRun,
    /// Admitted, and failed with this word.
    Failed(RunState),
    /// No answer and no clear failure.
    Lost,
}

/// One call's end.
#[derive(Debug, Clone, Copy)]
pub struct CallResult {
    /// The prompt's bucket; `None` for a plain call.
    pub bucket: Option<PromptBucket>,
    /// How it ended.
    pub verdict: Verdict,
    /// Time to first token.
    pub first_token: Option<Duration>,
}

/// Calls instances as a client would.
#[derive(Clone)]
pub struct Caller {
    client: awc::Client,
}

impl Default for Caller {
    fn default() -> Self {
        let connector = awc::Connector::new().limit(0);
        let client = awc::Client::builder().connector(connector).timeout(CALL_TIME).finish();
        Self { client }
    }
}

/// The text of a prompt of `tokens` tokens.
pub fn prompt_text(rng: &mut impl Rng, tokens: u64) -> String {
    let words = (tokens as usize * BYTES_PER_TOKEN) / 8;
    let mut text = String::with_capacity(words * 8);
    for _ in 0..words {
        let word: u32 = rng.random_range(0..0x0fff_ffff);
        text.push_str(&format!("{word:07x} "));
    }
    text
}

impl Caller {
    /// Sends a streamed prompt and checks each token of its answer.
    pub async fn prompt(&self, to: SocketAddr, text: &str, max_tokens: u64) -> CallResult {
        let raw = format!("\"{text}\"");
        let tokens = raw.len() / BYTES_PER_TOKEN;
        let bucket = Some(PromptBucket::of(ringbend_types::TokenCount(tokens as u64)));
        let body = format!(
            "{{\"model\":\"standin\",\"stream\":true,\"max_tokens\":{max_tokens},\"prompt\":{raw}}}"
        );
        let expected: Vec<String> =
            (0..max_tokens).map(|i| token_text(xxh3_64(raw.as_bytes()), i)).collect();
        let begun = Instant::now();
        let url = format!("http://{to}/v1/completions");
        let sent = self.client.post(url).bearer_auth(CALLER_KEY).send_body(body).await;
        let lost = CallResult { bucket, verdict: Verdict::Lost, first_token: None };
        let Ok(mut res) = sent else { return lost };
        if !res.status().is_success() {
            let body = res.body().await.unwrap_or_default();
            return CallResult { verdict: failure(&body), ..lost };
        }
        let mut first_token = None;
        let mut received = Vec::new();
        while let Some(Ok(chunk)) = res.next().await {
            first_token.get_or_insert_with(|| begun.elapsed());
            received.extend_from_slice(&chunk);
        }
        let verdict = check_stream(&String::from_utf8_lossy(&received), &expected);
        CallResult { bucket, verdict, first_token }
    }

    /// Sends a plain call that must not be repeated.
    pub async fn plain(&self, to: SocketAddr, key: &str, body: &str) -> CallResult {
        let url = format!("http://{to}/services/dispatch/counts");
        let req = self
            .client
            .post(url)
            .bearer_auth(CALLER_KEY)
            .insert_header(("x-ringbend-request-key", key))
            .insert_header((CALL_KEY_HEADER, key));
        let lost = CallResult { bucket: None, verdict: Verdict::Lost, first_token: None };
        let Ok(mut res) = req.send_body(body.to_owned()).await else { return lost };
        let success = res.status().is_success();
        let answer = res.body().await.unwrap_or_default();
        if !success {
            return CallResult { verdict: failure(&answer), ..lost };
        }
        let answer: Value = serde_json::from_slice(&answer).unwrap_or_default();
        let right = answer["body"] == body;
        let verdict = if right { Verdict::Answered } else { Verdict::Crossed };
        CallResult { verdict, ..lost }
    }
}

/// Refusals of the instance and failures of an admitted request carry different codes.
fn failure(body: &[u8]) -> Verdict {
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    let error = &body["error"];
    let run_state = error["run_state"].as_str().and_then(|word| word.parse().ok());
    let admitted = ["deadline_exceeded", "endpoint_failed", "no_claim", "in_progress", "cut_off"];
    match (run_state, error["code"].as_str()) {
        (Some(run_state), Some(code)) if admitted.contains(&code) => Verdict::Failed(run_state),
        (Some(RunState::NotRun), Some(_)) => Verdict::NotRun,
        (Some(run_state), Some(_)) => Verdict::Failed(run_state),
        _ => Verdict::Lost,
    }
}

fn check_stream(received: &str, expected: &[String]) -> Verdict {
    let mut tokens = Vec::new();
    let mut done = false;
    for event in received.split("\n\n") {
        if let Some(error) = event.strip_prefix("event: error\ndata: ") {
            return failure(error.as_bytes());
        }
        let Some(data) = event.strip_prefix("data: ") else { continue };
        if data == "[DONE]" {
            done = true;
            continue;
        }
        let data: Value = serde_json::from_str(data).unwrap_or_default();
        tokens.push(data["choices"][0]["text"].as_str().unwrap_or_default().to_owned());
    }
    if tokens.iter().zip(expected).any(|(token, right)| token != right) {
        return Verdict::Crossed;
    }
    if done && tokens.len() == expected.len() { Verdict::Answered } else { Verdict::Lost }
}

enum Planned {
    Prompt { text: String, max_tokens: u64 },
    Plain { key: String },
}

/// Sends the load to the instances in turn and returns every call's end.
pub async fn run_load(callers: &[SocketAddr], cfg: &LoadConfig) -> Vec<CallResult> {
    let mut rng = Seed(cfg.seed).rng(0);
    let caller = Rc::new(Caller::default());
    let mut calls = Vec::new();
    for (n, planned) in plan(cfg, &mut rng).into_iter().enumerate() {
        let (caller, to) = (caller.clone(), callers[n % callers.len()]);
        let other = callers[(n + 1) % callers.len()];
        calls.push(tokio::task::spawn_local(async move {
            match planned {
                Planned::Prompt { text, max_tokens } => {
                    vec![caller.prompt(to, &text, max_tokens).await]
                }
                Planned::Plain { key } => {
                    let body = format!("count for {key}");
                    let both = (caller.plain(to, &key, &body), caller.plain(other, &key, &body));
                    let (one, two) = futures_util::join!(both.0, both.1);
                    vec![one, two]
                }
            }
        }));
        let pause = cfg.every.mul_f64(rng.random_range(0.2..1.8));
        actix_rt::time::sleep(pause).await;
    }
    let ended = futures_util::future::join_all(calls).await;
    ended.into_iter().flat_map(|call| call.unwrap_or_default()).collect()
}

/// All requests, long ones spread among short ones.
fn plan(cfg: &LoadConfig, rng: &mut ChaCha8Rng) -> Vec<Planned> {
    let mut planned = Vec::new();
    for ((_, least, most), count) in PROMPT_TOKENS.iter().zip(cfg.prompts) {
        for _ in 0..count {
            let tokens = rng.random_range(*least..=*most);
            let text = prompt_text(rng, tokens);
            let max_tokens = rng.random_range(4..32);
            planned.push(Planned::Prompt { text, max_tokens });
        }
    }
    for n in 0..cfg.plain {
        planned.push(Planned::Plain { key: format!("key-{}-{n}", cfg.seed) });
    }
    use rand::seq::SliceRandom;
    planned.shuffle(rng);
    planned
}
