//! Writing the response to the caller and settling the request's claim.

use actix_http::StatusCode;
use actix_http::header::{CONTENT_TYPE, HeaderValue};
use bytes::{Bytes, BytesMut};
use ringbend_ledger::{ClaimEvent, Settlement};
use ringbend_policy::Event;
use ringbend_runtime::{json, stream};
use ringbend_types::{AttemptId, PromptBucket, RunState, ServiceName};

use super::{RequestKind, RequestTask, SSE_DONE, STREAM_QUEUE_CAPACITY};
use crate::callers::attempt::Delivered;
use crate::callers::failure::Failure;
use crate::callers::response_sink::{CallerGone, ResponseSink};
use crate::callers::sse::TokenEvent;
use crate::callers::stored;

impl RequestTask {
    pub(super) async fn on_token(
        &mut self,
        attempt: AttemptId,
        token: TokenEvent,
        sink: &mut ResponseSink,
    ) -> bool {
        if self.delivered.tokens == 0 {
            let time = self.app.now().since(self.arrived);
            self.app.metrics.first_token(PromptBucket::of(self.prompt_tokens), time);
        }
        self.delivered.tokens += 1;
        self.delivered.text.push_str(&token.text);
        self.finish_reason = token.finish;
        let tokens = self.delivered.tokens;
        self.app.policy.handle(&self.app, Event::Progress { attempt, tokens });
        let RequestKind::Prompt { stream: true, .. } = self.kind else { return false };
        self.begin_stream(sink);
        match self.write(token.bytes, sink).await {
            Ok(()) => false,
            Err(CallerGone) => self.on_caller_gone(),
        }
    }

    pub(super) fn begin_stream(&self, sink: &mut ResponseSink) {
        if !sink.is_waiting() {
            return;
        }
        let (tx, mut res) = stream(StatusCode::OK, STREAM_QUEUE_CAPACITY);
        let events = HeaderValue::from_static("text/event-stream");
        res.headers_mut().insert(CONTENT_TYPE, events);
        sink.begin(res, tx);
    }

    pub(super) async fn write(
        &mut self,
        chunk: Bytes,
        sink: &mut ResponseSink,
    ) -> Result<(), CallerGone> {
        if let Some(recorded) = &mut self.recorded {
            recorded.extend_from_slice(&chunk);
        }
        let remaining = self.deadline.since(self.app.now());
        sink.write(chunk, remaining).await
    }

    pub(super) async fn respond(&mut self, sink: &mut ResponseSink) {
        match &self.kind {
            RequestKind::Prompt { stream: true, .. } => {
                self.begin_stream(sink);
                let written = self.write(Bytes::from_static(SSE_DONE), sink).await;
                let recorded = self.recorded.take().map(BytesMut::freeze).unwrap_or_default();
                self.settle_with_response(200, "text/event-stream", recorded).await;
                if written.is_ok() {
                    sink.finish();
                }
            }
            RequestKind::Prompt { chat, model, .. } => {
                let body = self.completion(*chat, model);
                let bytes = serde_json::to_vec(&body).unwrap_or_default();
                self.settle_with_response(200, "application/json", bytes.into()).await;
                sink.respond(json(StatusCode::OK, &body));
            }
            RequestKind::Plain { .. } => {
                let Some(response) = self.response.take() else { return };
                let content_type = response.headers.get(CONTENT_TYPE);
                let content_type = content_type.and_then(|v| v.to_str().ok()).unwrap_or("");
                let status = response.status.as_u16();
                self.settle_with_response(status, content_type, response.body.clone()).await;
                sink.respond(stored::plain(response));
            }
        }
    }

    pub(super) fn completion(&self, chat: bool, model: &ServiceName) -> serde_json::Value {
        let Delivered { tokens, text } = &self.delivered;
        let choice = if chat {
            let message = serde_json::json!({"role": "assistant", "content": text});
            serde_json::json!({"index": 0, "message": message, "finish_reason": self.finish_reason})
        } else {
            serde_json::json!({"index": 0, "text": text, "finish_reason": self.finish_reason})
        };
        let object = if chat { "chat.completion" } else { "text_completion" };
        let prompt_tokens = self.prompt_tokens;
        serde_json::json!({
            "id": self.id,
            "object": object,
            "model": model,
            "choices": [choice],
            "usage": {"prompt_tokens": prompt_tokens, "completion_tokens": tokens},
        })
    }

    /// Settles the claim with the response, which is stored for later requests with the same key.
    pub(super) async fn settle_with_response(
        &mut self,
        status: u16,
        content_type: &str,
        body: Bytes,
    ) {
        if !std::mem::take(&mut self.claim_granted) {
            return;
        }
        let settlement = match stored::store(&self.app, self.id, status, content_type, body).await {
            Some(answer) => Settlement::Done(answer),
            None => Settlement::MayHaveRun,
        };
        let holder = self.id;
        self.app.claims.handle(&self.app, ClaimEvent::Settle { holder, settlement });
    }

    pub(super) fn settle_claim(&mut self, run_state: RunState) {
        if !std::mem::take(&mut self.claim_granted) {
            return;
        }
        let settlement = match run_state {
            RunState::NotRun => Settlement::NotRun,
            RunState::MayHaveRun | RunState::Failed => Settlement::MayHaveRun,
        };
        let holder = self.id;
        self.app.claims.handle(&self.app, ClaimEvent::Settle { holder, settlement });
    }

    pub(super) async fn fail(&mut self, failure: Failure, sink: &mut ResponseSink) -> bool {
        self.running = None;
        log::debug!(request:% = self.id, run_state:% = failure.run_state(); "{failure}");
        self.app.metrics.failure(failure.code());
        if sink.is_waiting() {
            sink.respond(failure.into_response());
        } else {
            let remaining = self.deadline.since(self.app.now());
            if sink.write(failure.into_event(), remaining).await.is_ok() {
                sink.finish();
            }
        }
        true
    }
}
