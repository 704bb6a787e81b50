//! HTTP routes of the simulated engine.

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

use crate::engine_driver::{EngineDriver, GenerationRequest, Token};
use crate::token_text::token_text;

/// Largest accepted request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Bytes of prompt per token.
const BYTES_PER_TOKEN: u64 = 4;

/// Number of tokens to generate when the request has no `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 16;

/// Number of events buffered for a client that reads more slowly than the engine generates.
const STREAM_BUFFER_EVENTS: usize = 256;

#[derive(Deserialize)]
struct CompletionRequest<'a> {
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

/// Determines how a response is written.
#[derive(Clone)]
struct ResponseFormat {
    chat: bool,
    model: String,
    prompt_tokens: u64,
}

/// The HTTP handler of a simulated engine.
pub(crate) struct EngineService {
    driver: Rc<EngineDriver>,
    model: String,
}

impl EngineService {
    pub(crate) fn new(driver: Rc<EngineDriver>, model: String) -> Self {
        Self { driver, model }
    }

    async fn route(&self, mut req: HttpRequest) -> HttpResponse {
        if self.driver.has_crashed() {
            let (tx, res) = stream::<Bytes>(StatusCode::OK, 1);
            let _ = tx.try_send(Err(StreamError));
            return res;
        }
        let timeout = Duration::from_secs(30);
        let Ok(body) = read_body(req.take_payload(), MAX_BODY_BYTES, timeout).await else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let method = req.method().clone();
        let path = req.path().to_owned();
        let mut parts = path.trim_start_matches('/').splitn(2, '/');
        let (first, rest) = (parts.next().unwrap_or(""), parts.next().unwrap_or(""));
        match (method, first, rest) {
            (Method::POST, "v1", "completions") => self.run_prompt(&req, &body, false).await,
            (Method::POST, "v1", "chat/completions") => self.run_prompt(&req, &body, true).await,
            (Method::PUT, "faults", _) => with_json(&body, |faults| {
                self.driver.set_faults(faults);
                empty(StatusCode::NO_CONTENT)
            }),
            (Method::GET, "stats", _) => json(StatusCode::OK, &self.driver.stats()),
            (method, first, rest) => self.route_control(method, first, rest, &body).await,
        }
    }

    /// Handles the load report, cancellation, cache, reservation and order routes.
    async fn route_control(
        &self,
        method: Method,
        first: &str,
        rest: &str,
        body: &[u8],
    ) -> HttpResponse {
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
                with_json(body, |reservation: Reservation| {
                    match model.borrow_mut().reserve(reservation) {
                        Ok(()) => empty(StatusCode::CREATED),
                        Err(e) => rejection(e),
                    }
                })
            }
            (Method::DELETE, "reservations", attempt) => with_attempt(attempt, |attempt| {
                self.driver.release(attempt);
                empty(StatusCode::NO_CONTENT)
            }),
            (Method::POST, "orders", _) => {
                with_json(body, |order: Order| match self.driver.order(order) {
                    Ok(()) => empty(StatusCode::NO_CONTENT),
                    Err(refusal) => json(StatusCode::CONFLICT, &refusal),
                })
            }
            _ => empty(StatusCode::NOT_FOUND),
        }
    }

    async fn run_prompt(&self, req: &HttpRequest, body: &[u8], chat: bool) -> HttpResponse {
        let faults = self.driver.faults();
        if faults.freeze {
            std::future::pending::<()>().await;
        }
        if faults.refuse {
            return rejection(SubmitError::Full);
        }
        if faults.error {
            return empty(StatusCode::INTERNAL_SERVER_ERROR);
        }
        let Ok(prompt) = serde_json::from_slice::<CompletionRequest<'_>>(body) else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let Some((generation, format)) = self.parse_prompt(req, &prompt, chat) else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let (attempt, request) = (generation.sequence_request.attempt, generation.request);
        let resume_from = generation.sequence_request.resume_from;
        let tokens = match self.driver.submit(generation) {
            Ok(tokens) => tokens,
            Err(e) => return rejection(e),
        };
        if faults.delay_ms > 0 {
            actix_rt::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        let mut res = if prompt.stream {
            let (tx, res) = stream(StatusCode::OK, STREAM_BUFFER_EVENTS);
            let driver = self.driver.clone();
            tokio::task::spawn_local(write_events(driver, attempt, tokens, tx, format));
            res
        } else {
            collect_response(request, tokens, &format, resume_from).await
        };
        self.add_headers(&mut res, attempt, prompt.stream);
        res
    }

    /// Returns `None` if the prompt is missing, or if the text to resume from is not the one that
    /// the prompt generates.
    fn parse_prompt(
        &self,
        req: &HttpRequest,
        prompt: &CompletionRequest<'_>,
        chat: bool,
    ) -> Option<(GenerationRequest, ResponseFormat)> {
        let raw = if chat { prompt.messages } else { prompt.prompt }?.get().as_bytes();
        let prompt_hash = xxh3_64(raw);
        let resume_from = prompt.resume.as_ref().map_or(0, |r| r.tokens);
        let resumed_text: String = (0..resume_from).map(|i| token_text(prompt_hash, i)).collect();
        if prompt.resume.as_ref().is_some_and(|r| r.text != resumed_text) {
            return None;
        }
        let prompt_tokens = (raw.len() as u64).div_ceil(BYTES_PER_TOKEN);
        let sequence_request = SequenceRequest {
            attempt: parse_header(req, headers::ATTEMPT_ID)
                .unwrap_or_else(|| self.new_attempt_id()),
            prompt_tokens: TokenCount(prompt_tokens),
            max_tokens: prompt.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
            resume_from,
            priority: parse_header(req, headers::PRIORITY).unwrap_or(0),
            blocks: prefix_blocks(raw),
            reserved_elsewhere: parse_header(req, headers::BORROWED_TOKENS).unwrap_or_default(),
        };
        let request = parse_header(req, headers::REQUEST_ID).unwrap_or(RequestId {
            incarnation: sequence_request.attempt.incarnation,
            sequence: sequence_request.attempt.sequence,
        });
        let format = ResponseFormat { chat, model: self.model.clone(), prompt_tokens };
        Some((GenerationRequest { request, prompt_hash, sequence_request }, format))
    }

    /// Returns an attempt id for a request without one.
    fn new_attempt_id(&self) -> AttemptId {
        AttemptId { incarnation: 0, sequence: self.driver.stats().submitted + 1 }
    }

    /// Adds the attempt id, the load report and the content type of streamed responses.
    fn add_headers(&self, res: &mut HttpResponse, attempt: AttemptId, streamed: bool) {
        let wrong = self.driver.consume_fault(|faults| &mut faults.wrong_attempt);
        let echo = AttemptId { sequence: attempt.sequence + u64::from(wrong), ..attempt };
        set_header(res, headers::ATTEMPT_ID, &echo.to_string());
        let report = serde_json::to_string(&self.driver.report()).unwrap_or_default();
        set_header(res, headers::LOAD_REPORT, &report);
        if streamed {
            let events = HeaderValue::from_static("text/event-stream");
            res.headers_mut().insert(CONTENT_TYPE, events);
        }
    }
}

impl Handler for EngineService {
    fn handle(self: Rc<Self>, req: HttpRequest) -> LocalBoxFuture<'static, HttpResponse> {
        async move { self.route(req).await }.boxed_local()
    }
}

/// Writes a response's events. Cancels the attempt if the client closes the connection or a fault
/// cuts the stream.
async fn write_events(
    driver: Rc<EngineDriver>,
    attempt: AttemptId,
    mut tokens: UnboundedReceiver<Token>,
    tx: StreamSender,
    format: ResponseFormat,
) {
    let cut_stream = driver.consume_fault(|faults| &mut faults.cut_streams);
    let mut written = 0;
    loop {
        let token = tokio::select! {
            token = tokens.recv() => token,
            () = tx.closed() => None,
        };
        let Some(token) = token else { break };
        let last = token.last;
        if cut_stream && written == 3 {
            break;
        }
        if tx.send(Ok(format_event(&token, &format))).await.is_err() {
            break;
        }
        written += 1;
        if last {
            let _ = tx.send(Ok(Bytes::from_static(b"data: [DONE]\n\n"))).await;
            return tx.finish();
        }
    }
    driver.cancel(attempt);
    let _ = tx.send(Err(StreamError)).await;
}

fn format_event(token: &Token, format: &ResponseFormat) -> Bytes {
    let text = token_text(token.prompt_hash, token.index);
    let finish = if token.last { "\"length\"" } else { "null" };
    let (object, choice_text) = if format.chat {
        ("chat.completion.chunk", format!("\"delta\":{{\"content\":\"{text}\"}}"))
    } else {
        ("text_completion", format!("\"text\":\"{text}\""))
    };
    let usage = if token.last {
        let (prompt, completion) = (format.prompt_tokens, token.index + 1);
        format!(",\"usage\":{{\"prompt_tokens\":{prompt},\"completion_tokens\":{completion}}}")
    } else {
        String::new()
    };
    let (id, model) = (token.request, &format.model);
    Bytes::from(format!(
        "data: {{\"id\":\"{id}\",\"object\":\"{object}\",\"model\":\"{model}\",\"choices\":\
         [{{\"index\":0,{choice_text},\"finish_reason\":{finish}}}]{usage}}}\n\n"
    ))
}

/// Waits for all tokens and returns them in one JSON response.
async fn collect_response(
    request: RequestId,
    mut tokens: UnboundedReceiver<Token>,
    format: &ResponseFormat,
    resume_from: u64,
) -> HttpResponse {
    let mut text = String::new();
    let mut count = resume_from;
    let mut ended = false;
    while let Some(token) = tokens.recv().await {
        text.push_str(&token_text(token.prompt_hash, token.index));
        count += 1;
        ended = token.last;
    }
    if !ended {
        return empty(StatusCode::INTERNAL_SERVER_ERROR);
    }
    let choice = if format.chat {
        serde_json::json!({"index": 0, "message": {"role": "assistant", "content": text}, "finish_reason": "length"})
    } else {
        serde_json::json!({"index": 0, "text": text, "finish_reason": "length"})
    };
    json(
        StatusCode::OK,
        &serde_json::json!({
            "id": request,
            "model": format.model,
            "choices": [choice],
            "usage": {"prompt_tokens": format.prompt_tokens, "completion_tokens": count},
        }),
    )
}

/// Returns the response to a request that was rejected without being run.
fn rejection(e: SubmitError) -> HttpResponse {
    let status = match e {
        SubmitError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        SubmitError::Full => StatusCode::TOO_MANY_REQUESTS,
        SubmitError::Leaving => StatusCode::SERVICE_UNAVAILABLE,
        SubmitError::Duplicate => StatusCode::CONFLICT,
    };
    let mut res = json(status, &e.to_string());
    set_header(&mut res, headers::NOT_RUN, "1");
    res
}

fn set_header(res: &mut HttpResponse, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        res.headers_mut().insert(HeaderName::from_static(name), value);
    }
}

fn parse_header<T: std::str::FromStr>(req: &HttpRequest, name: &str) -> Option<T> {
    req.headers().get(name)?.to_str().ok()?.parse().ok()
}

fn with_attempt(text: &str, handle: impl FnOnce(AttemptId) -> HttpResponse) -> HttpResponse {
    text.parse().map_or_else(|_| empty(StatusCode::BAD_REQUEST), handle)
}

fn with_json<T: for<'a> Deserialize<'a>>(
    body: &[u8],
    handle: impl FnOnce(T) -> HttpResponse,
) -> HttpResponse {
    match serde_json::from_slice(body) {
        Ok(value) => handle(value),
        Err(e) => json(StatusCode::BAD_REQUEST, &e.to_string()),
    }
}
