//! The engine's routes.

use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use actix_http::{HttpMessage, Method, StatusCode};
use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use ringbend_models::{SequenceRequest, SubmitError, prefix_blocks};
use ringbend_platform::{Order, Reservation, headers};
use ringbend_runtime::{
    Handler, HttpRequest, HttpResponse, StreamError, StreamSender, empty, json, read_body, stream,
};
use ringbend_types::{AttemptId, RequestId, TokenCount};
use serde::Deserialize;
use serde_json::value::RawValue;
use tokio::sync::mpsc::UnboundedReceiver;
use xxhash_rust::xxh3::xxh3_64;

use crate::engine_driver::{EngineDriver, Job, Token};
use crate::words::token_text;

/// Longest body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Bytes of prompt per token.
const BYTES_PER_TOKEN: u64 = 4;

/// Tokens generated when the request names no number.
const DEFAULT_MAX_TOKENS: u64 = 16;

/// Events held for a reader that is slower than the engine.
const STREAM_DEPTH: usize = 256;

#[derive(Deserialize)]
struct Prompt<'a> {
    #[serde(borrow)]
    prompt: Option<&'a RawValue>,
    #[serde(borrow)]
    messages: Option<&'a RawValue>,
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
    resume: Option<Resume>,
}

#[derive(Deserialize)]
struct Resume {
    tokens: u64,
    text: String,
}

/// What an answer is written with.
#[derive(Clone)]
struct Voice {
    chat: bool,
    model: String,
    prompt_tokens: u64,
}

pub(crate) struct EngineService {
    driver: Rc<EngineDriver>,
    model: String,
}

impl EngineService {
    pub(crate) fn new(driver: Rc<EngineDriver>, model: String) -> Self {
        Self { driver, model }
    }

    async fn answer(&self, mut req: HttpRequest) -> HttpResponse {
        if self.driver.is_dead() {
            let (tx, res) = stream(StatusCode::OK, 1);
            let _ = tx.try_send(Err(StreamError));
            return res;
        }
        let time = Duration::from_secs(30);
        let Ok(body) = read_body(req.take_payload(), MAX_BODY_BYTES, time).await else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let method = req.method().clone();
        let path = req.path().to_owned();
        let mut parts = path.trim_start_matches('/').splitn(2, '/');
        let (first, rest) = (parts.next().unwrap_or(""), parts.next().unwrap_or(""));
        match (method, first, rest) {
            (Method::POST, "v1", "completions") => self.run(&req, &body, false).await,
            (Method::POST, "v1", "chat/completions") => self.run(&req, &body, true).await,
            (Method::PUT, "faults", _) => parsed(&body, |faults| {
                self.driver.set_faults(faults);
                empty(StatusCode::NO_CONTENT)
            }),
            (Method::GET, "stats", _) => json(StatusCode::OK, &self.driver.stats()),
            (method, first, rest) => self.control(method, first, rest, &body).await,
        }
    }

    async fn control(&self, method: Method, first: &str, rest: &str, body: &[u8]) -> HttpResponse {
        if self.driver.faults().freeze {
            std::future::pending::<()>().await;
        }
        let model = self.driver.model();
        match (method, first, rest) {
            (Method::GET, "load", _) => json(StatusCode::OK, &self.driver.report()),
            (Method::POST, "cancel", attempt) => with_attempt(attempt, |attempt| {
                self.driver.cancel(attempt);
                empty(StatusCode::NO_CONTENT)
            }),
            (Method::GET, "cache-events", after) => {
                let mut events = model.borrow().cache_events(after.parse().unwrap_or(0));
                if self.driver.faults().lose_cache_events {
                    events.retain(|e| e.sequence % 2 == 0);
                }
                json(StatusCode::OK, &events)
            }
            (Method::GET, "reservations", _) => {
                json(StatusCode::OK, &model.borrow().reservations())
            }
            (Method::POST, "reservations", _) | (Method::POST, "kv", "export" | "import") => {
                parsed(body, |reservation: Reservation| {
                    match model.borrow_mut().reserve(reservation) {
                        Ok(()) => empty(StatusCode::CREATED),
                        Err(e) => refused(e),
                    }
                })
            }
            (Method::DELETE, "reservations", attempt) => with_attempt(attempt, |attempt| {
                self.driver.release(attempt);
                empty(StatusCode::NO_CONTENT)
            }),
            (Method::POST, "orders", _) => {
                parsed(body, |order: Order| match self.driver.order(order) {
                    Ok(()) => empty(StatusCode::NO_CONTENT),
                    Err(refusal) => json(StatusCode::CONFLICT, &refusal),
                })
            }
            _ => empty(StatusCode::NOT_FOUND),
        }
    }

    async fn run(&self, req: &HttpRequest, body: &[u8], chat: bool) -> HttpResponse {
        let faults = self.driver.faults();
        if faults.freeze {
            std::future::pending::<()>().await;
        }
        if faults.refuse {
            return refused(SubmitError::Full);
        }
        if faults.error {
            return empty(StatusCode::INTERNAL_SERVER_ERROR);
        }
        let Ok(prompt) = serde_json::from_slice::<Prompt<'_>>(body) else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let Some((job, voice)) = self.job(req, &prompt, chat) else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let (attempt, request) = (job.sequence_request.attempt, job.request);
        let first = job.sequence_request.resume_from;
        let tokens = match self.driver.submit(job) {
            Ok(tokens) => tokens,
            Err(e) => return refused(e),
        };
        if faults.delay_ms > 0 {
            actix_rt::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        let mut res = if prompt.stream {
            let (tx, res) = stream(StatusCode::OK, STREAM_DEPTH);
            let driver = self.driver.clone();
            tokio::task::spawn_local(write(driver, attempt, tokens, tx, voice));
            res
        } else {
            whole(request, tokens, &voice, first).await
        };
        self.dress(&mut res, attempt, prompt.stream);
        res
    }

    fn job(&self, req: &HttpRequest, prompt: &Prompt<'_>, chat: bool) -> Option<(Job, Voice)> {
        let raw = if chat { prompt.messages } else { prompt.prompt }?.get().as_bytes();
        let prompt_hash = xxh3_64(raw);
        let resume_from = prompt.resume.as_ref().map_or(0, |r| r.tokens);
        let known: String = (0..resume_from).map(|i| token_text(prompt_hash, i)).collect();
        if prompt.resume.as_ref().is_some_and(|r| r.text != known) {
            return None;
        }
        let prompt_tokens = (raw.len() as u64).div_ceil(BYTES_PER_TOKEN);
        let sequence_request = SequenceRequest {
            attempt: header(req, headers::ATTEMPT_ID).unwrap_or_else(|| self.own_attempt()),
            prompt_tokens: TokenCount(prompt_tokens),
            max_tokens: prompt.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
            resume_from,
            priority: header(req, headers::PRIORITY).unwrap_or(0),
            blocks: prefix_blocks(raw),
            reserved_elsewhere: header(req, headers::BORROWED_TOKENS).unwrap_or_default(),
        };
        let request = header(req, headers::REQUEST_ID).unwrap_or(RequestId {
            incarnation: sequence_request.attempt.incarnation,
            sequence: sequence_request.attempt.sequence,
        });
        let voice = Voice { chat, model: self.model.clone(), prompt_tokens };
        Some((Job { request, prompt_hash, sequence_request }, voice))
    }

    /// An id for a request that came without one.
    fn own_attempt(&self) -> AttemptId {
        AttemptId { incarnation: 0, sequence: self.driver.stats().submitted + 1 }
    }

    fn dress(&self, res: &mut HttpResponse, attempt: AttemptId, streamed: bool) {
        let wrong = self.driver.use_fault(|faults| &mut faults.wrong_attempt);
        let echo = AttemptId { sequence: attempt.sequence + u64::from(wrong), ..attempt };
        set(res, headers::ATTEMPT_ID, &echo.to_string());
        let report = serde_json::to_string(&self.driver.report()).unwrap_or_default();
        set(res, headers::LOAD_REPORT, &report);
        if streamed {
            let events = HeaderValue::from_static("text/event-stream");
            res.headers_mut().insert(CONTENT_TYPE, events);
        }
    }
}

impl Handler for EngineService {
    fn handle(self: Rc<Self>, req: HttpRequest) -> LocalBoxFuture<'static, HttpResponse> {
        async move { self.answer(req).await }.boxed_local()
    }
}

/// Writes an answer's events; when the reader has gone, the attempt is ended.
async fn write(
    driver: Rc<EngineDriver>,
    attempt: AttemptId,
    mut tokens: UnboundedReceiver<Token>,
    tx: StreamSender,
    voice: Voice,
) {
    let cut = driver.use_fault(|faults| &mut faults.cut_streams);
    let mut written = 0;
    loop {
        let token = tokio::select! {
            token = tokens.recv() => token,
            () = tx.closed() => None,
        };
        let Some(token) = token else { break };
        let last = token.last;
        if cut && written == 3 {
            break;
        }
        if tx.send(Ok(event(&token, &voice))).await.is_err() {
            break;
        }
        written += 1;
        if last {
            let _ = tx.send(Ok(Bytes::from_static(b"data: [DONE]\n\n"))).await;
            return;
        }
    }
    driver.cancel(attempt);
    let _ = tx.send(Err(StreamError)).await;
}

fn event(token: &Token, voice: &Voice) -> Bytes {
    let text = token_text(token.prompt_hash, token.index);
    let finish = if token.last { "\"length\"" } else { "null" };
    let (object, piece) = if voice.chat {
        ("chat.completion.chunk", format!("\"delta\":{{\"content\":\"{text}\"}}"))
    } else {
        ("text_completion", format!("\"text\":\"{text}\""))
    };
    let usage = if token.last {
        let (prompt, completion) = (voice.prompt_tokens, token.index + 1);
        format!(",\"usage\":{{\"prompt_tokens\":{prompt},\"completion_tokens\":{completion}}}")
    } else {
        String::new()
    };
    let (id, model) = (token.request, &voice.model);
    Bytes::from(format!(
        "data: {{\"id\":\"{id}\",\"object\":\"{object}\",\"model\":\"{model}\",\"choices\":\
         [{{\"index\":0,{piece},\"finish_reason\":{finish}}}]{usage}}}\n\n"
    ))
}

async fn whole(
    request: RequestId,
    mut tokens: UnboundedReceiver<Token>,
    voice: &Voice,
    first: u64,
) -> HttpResponse {
    let mut text = String::new();
    let mut count = first;
    let mut ended = false;
    while let Some(token) = tokens.recv().await {
        text.push_str(&token_text(token.prompt_hash, token.index));
        count += 1;
        ended = token.last;
    }
    if !ended {
        return empty(StatusCode::INTERNAL_SERVER_ERROR);
    }
    let choice = if voice.chat {
        serde_json::json!({"index": 0, "message": {"role": "assistant", "content": text}, "finish_reason": "length"})
    } else {
        serde_json::json!({"index": 0, "text": text, "finish_reason": "length"})
    };
    json(
        StatusCode::OK,
        &serde_json::json!({
            "id": request,
            "model": voice.model,
            "choices": [choice],
            "usage": {"prompt_tokens": voice.prompt_tokens, "completion_tokens": count},
        }),
    )
}

fn refused(e: SubmitError) -> HttpResponse {
    let status = match e {
        SubmitError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        SubmitError::Full => StatusCode::TOO_MANY_REQUESTS,
        SubmitError::Leaving => StatusCode::SERVICE_UNAVAILABLE,
        SubmitError::Duplicate => StatusCode::CONFLICT,
    };
    let mut res = json(status, &e.to_string());
    set(&mut res, headers::NOT_RUN, "1");
    res
}

fn set(res: &mut HttpResponse, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        res.headers_mut().insert(HeaderName::from_static(name), value);
    }
}

fn header<T: std::str::FromStr>(req: &HttpRequest, name: &str) -> Option<T> {
    req.headers().get(name)?.to_str().ok()?.parse().ok()
}

fn with_attempt(text: &str, f: impl FnOnce(AttemptId) -> HttpResponse) -> HttpResponse {
    text.parse().map_or_else(|_| empty(StatusCode::BAD_REQUEST), f)
}

fn parsed<T: for<'a> Deserialize<'a>>(
    body: &[u8],
    f: impl FnOnce(T) -> HttpResponse,
) -> HttpResponse {
    match serde_json::from_slice(body) {
        Ok(value) => f(value),
        Err(e) => json(StatusCode::BAD_REQUEST, &e.to_string()),
    }
}
