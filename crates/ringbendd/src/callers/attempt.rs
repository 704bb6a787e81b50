//! An attempt of a prompt at an engine.

use std::rc::Rc;
use std::time::Duration;

use actix_http::body::SizedStream;
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use ringbend_platform::{EndpointEntry, LoadReport, headers};
use ringbend_policy::{AttemptEnd, Dispatch};
use ringbend_telemetry::TraceContext;
use ringbend_types::EndpointId;
use serde::Serialize;
use tokio::sync::mpsc;

use super::prompt::PromptBody;
use super::sse::{SseEvent, SseReader, TokenEvent};
use crate::app::App;
use crate::platform::is_unsent;

/// What an attempt reports to the request's task.
#[derive(Debug)]
pub(crate) enum AttemptEvent {
    /// A token of the response.
    Token(TokenEvent),
    /// The complete response of a plain service.
    Response(super::plain::PlainResponse),
    /// The engine reports a different number of tokens than arrived.
    TokenCountMismatch,
    /// The attempt ended.
    Ended(AttemptEnd),
}

/// The part of the response delivered by earlier attempts.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct Delivered {
    /// The number of tokens.
    pub(crate) tokens: u64,
    /// Their text.
    pub(crate) text: String,
}

/// How long the end of a response is waited for after its last event.
const RESPONSE_END_TIMEOUT: Duration = Duration::from_millis(100);

/// An attempt of a request at an engine.
pub(crate) struct PromptAttempt {
    pub(crate) app: Rc<App>,
    pub(crate) dispatch: Dispatch,
    pub(crate) entry: EndpointEntry,
    pub(crate) body: Rc<PromptBody>,
    pub(crate) delivered: Delivered,
    pub(crate) trace: TraceContext,
    pub(crate) events: mpsc::Sender<AttemptEvent>,
}

impl PromptAttempt {
    /// Runs the attempt; dropping the future closes its connection.
    pub(crate) async fn run(self) {
        let end = match self.send().await {
            Ok(res) => self.read_response(res).await,
            Err(end) => Some(end),
        };
        if let Some(end) = end {
            let _ = self.events.send(AttemptEvent::Ended(end)).await;
        }
    }

    async fn send(
        &self,
    ) -> Result<awc::ClientResponse<impl stream::Stream<Item = BodyChunk> + Unpin>, AttemptEnd>
    {
        let Dispatch { attempt, request, priority, held, .. } = &self.dispatch;
        let url = format!("http://{}{}", self.entry.address, self.body.path);
        let borrowed_tokens: u64 = held.iter().map(|h| h.tokens.0).sum();
        let mut req = self
            .app
            .http_client
            .post(url)
            .insert_header(("content-type", "application/json"))
            .insert_header((headers::ATTEMPT_ID, attempt.to_string()))
            .insert_header((headers::REQUEST_ID, request.to_string()))
            .insert_header((headers::PRIORITY, priority.to_string()))
            .insert_header((headers::BORROWED_TOKENS, borrowed_tokens.to_string()));
        if let Some(trace) = self.trace.to_header() {
            req = req.insert_header(("traceparent", trace));
        }
        let chunks = self.body.chunks(&self.delivered);
        let length = chunks.iter().map(|c| c.len() as u64).sum();
        let chunks = stream::iter(chunks.into_iter().map(Ok::<_, std::convert::Infallible>));
        let res = req.send_body(SizedStream::new(length, chunks)).await;
        let res = res.map_err(|e| {
            log::debug!(attempt:% = attempt, error:% = e; "no response to the attempt");
            if is_unsent(&e) { AttemptEnd::NotSent } else { AttemptEnd::Broken }
        })?;
        self.check_head(&res)?;
        Ok(res)
    }

    fn check_head<S>(&self, res: &awc::ClientResponse<S>) -> Result<(), AttemptEnd> {
        let header = |name| res.headers().get(name).and_then(|value| value.to_str().ok());
        self.record_load_report(&self.entry.id, header(headers::LOAD_REPORT));
        if header(headers::NOT_RUN).is_some() {
            let seconds = header("retry-after").and_then(|value| value.parse().ok());
            return Err(AttemptEnd::Refused { retry_after: seconds.map(Duration::from_secs) });
        }
        if !res.status().is_success() {
            return Err(AttemptEnd::EndpointError);
        }
        let echoed_id = header(headers::ATTEMPT_ID).and_then(|value| value.parse().ok());
        if echoed_id != Some(self.dispatch.attempt) {
            log::warn!(attempt:% = self.dispatch.attempt; "the response carries another attempt's id");
            return Err(AttemptEnd::Broken);
        }
        Ok(())
    }

    fn record_load_report(&self, endpoint: &EndpointId, report: Option<&str>) {
        let report: Option<LoadReport> = report.and_then(|r| serde_json::from_str(r).ok());
        if let Some(report) = report {
            self.app.policy.record_load(&self.app, endpoint, report);
        }
    }

    /// Reads the response to its end. Returns `None` if the end has already been reported.
    async fn read_response(
        &self,
        mut res: awc::ClientResponse<impl stream::Stream<Item = BodyChunk> + Unpin>,
    ) -> Option<AttemptEnd> {
        let mut reader = SseReader::default();
        let mut tokens = self.delivered.tokens;
        let mut finished = false;
        while let Some(chunk) = res.next().await {
            let Ok(chunk) = chunk else { break };
            reader.push(&chunk);
            loop {
                match reader.next() {
                    Ok(Some(SseEvent::Token(token))) => {
                        if token.id != self.dispatch.request.to_string() {
                            log::warn!(attempt:% = self.dispatch.attempt; "received an event of another request");
                            return Some(AttemptEnd::Broken);
                        }
                        tokens += 1;
                        if token.total.is_some_and(|total| total != tokens) {
                            let _ = self.events.send(AttemptEvent::TokenCountMismatch).await;
                            return None;
                        }
                        finished = token.finish.is_some();
                        self.events.send(AttemptEvent::Token(token)).await.ok()?;
                    }
                    Ok(Some(SseEvent::Done(_))) if finished => {
                        // Read to the end, so that the connection can be reused. The engine may
                        // not end the response, which is complete.
                        let rest = async { while let Some(Ok(_)) = res.next().await {} };
                        let _ = tokio::time::timeout(RESPONSE_END_TIMEOUT, rest).await;
                        return Some(AttemptEnd::Complete);
                    }
                    Ok(Some(SseEvent::Done(_))) | Err(_) => return Some(AttemptEnd::Broken),
                    Ok(None) => break,
                }
            }
        }
        // A connection that closes after the last token still delivered the complete response.
        Some(if finished { AttemptEnd::Complete } else { AttemptEnd::Broken })
    }
}

type BodyChunk = Result<Bytes, actix_http::error::PayloadError>;
