//! How an answer reaches the caller, and how the request's claim ends.

use actix_http::StatusCode;
use actix_http::header::{CONTENT_TYPE, HeaderValue};
use bytes::{Bytes, BytesMut};
use ringbend_ledger::{ClaimEvent, Settlement};
use ringbend_policy::Event;
use ringbend_runtime::{json, stream};
use ringbend_types::{AttemptId, PromptBucket, RunState, ServiceName};

use super::{DONE, Kind, Life, STREAM_DEPTH};
use crate::callers::attempt::Delivered;
use crate::callers::failure::Failure;
use crate::callers::side::{CallerGone, CallerSide};
use crate::callers::sse::TokenEvent;
use crate::callers::stored;

impl Life {
    pub(super) async fn token(
        &mut self,
        attempt: AttemptId,
        token: TokenEvent,
        side: &mut CallerSide,
    ) -> bool {
        if self.delivered.tokens == 0 {
            let time = self.app.now().since(self.arrived);
            self.app.metrics.first_token(PromptBucket::of(self.prompt_tokens), time);
        }
        self.delivered.tokens += 1;
        self.delivered.text.push_str(&token.text);
        self.finish = token.finish;
        let tokens = self.delivered.tokens;
        self.app.decisions.decide(&self.app, Event::Progress { attempt, tokens });
        let Kind::Prompt { stream: true, .. } = self.kind else { return false };
        self.begin_stream(side);
        match self.write(token.bytes, side).await {
            Ok(()) => false,
            Err(CallerGone) => self.caller_gone(),
        }
    }

    pub(super) fn begin_stream(&self, side: &mut CallerSide) {
        if !side.is_waiting() {
            return;
        }
        let (tx, mut res) = stream(StatusCode::OK, STREAM_DEPTH);
        let events = HeaderValue::from_static("text/event-stream");
        res.headers_mut().insert(CONTENT_TYPE, events);
        side.begin(res, tx);
    }

    pub(super) async fn write(
        &mut self,
        chunk: Bytes,
        side: &mut CallerSide,
    ) -> Result<(), CallerGone> {
        if let Some(record) = &mut self.record {
            record.extend_from_slice(&chunk);
        }
        let left = self.deadline.since(self.app.now());
        side.write(chunk, left).await
    }

    pub(super) async fn answer(&mut self, side: &mut CallerSide) {
        match &self.kind {
            Kind::Prompt { stream: true, .. } => {
                self.begin_stream(side);
                let _ = self.write(Bytes::from_static(DONE), side).await;
                let record = self.record.take().map(BytesMut::freeze).unwrap_or_default();
                self.settle_done(200, "text/event-stream", record).await;
            }
            Kind::Prompt { chat, model, .. } => {
                let body = self.completion(*chat, model);
                let bytes = serde_json::to_vec(&body).unwrap_or_default();
                self.settle_done(200, "application/json", bytes.into()).await;
                side.respond(json(StatusCode::OK, &body));
            }
            Kind::Plain { .. } => {
                let Some(response) = self.response.take() else { return };
                let content_type = response.headers.get(CONTENT_TYPE);
                let content_type = content_type.and_then(|v| v.to_str().ok()).unwrap_or("");
                let status = response.status.as_u16();
                self.settle_done(status, content_type, response.body.clone()).await;
                side.respond(stored::plain(response));
            }
        }
    }

    pub(super) fn completion(&self, chat: bool, model: &ServiceName) -> serde_json::Value {
        let Delivered { tokens, text } = &self.delivered;
        let choice = if chat {
            let message = serde_json::json!({"role": "assistant", "content": text});
            serde_json::json!({"index": 0, "message": message, "finish_reason": self.finish})
        } else {
            serde_json::json!({"index": 0, "text": text, "finish_reason": self.finish})
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

    /// Keeps the answer for later arrivals with the same key.
    pub(super) async fn settle_done(&mut self, status: u16, content_type: &str, body: Bytes) {
        if !std::mem::take(&mut self.granted) {
            return;
        }
        let settlement = match stored::keep(&self.app, self.id, status, content_type, body).await {
            Some(answer) => Settlement::Done(answer),
            None => Settlement::MayHaveRun,
        };
        let holder = self.id;
        self.app.claims.handle(&self.app, ClaimEvent::Settle { holder, settlement });
    }

    pub(super) fn settle_as(&mut self, run_state: RunState) {
        if !std::mem::take(&mut self.granted) {
            return;
        }
        let settlement = match run_state {
            RunState::NotRun => Settlement::NotRun,
            RunState::MayHaveRun | RunState::Failed => Settlement::MayHaveRun,
        };
        let holder = self.id;
        self.app.claims.handle(&self.app, ClaimEvent::Settle { holder, settlement });
    }

    pub(super) async fn fail(&mut self, failure: Failure, side: &mut CallerSide) -> bool {
        self.running = None;
        log::debug!(request:% = self.id, run_state:% = failure.run_state(); "{failure}");
        self.app.metrics.failure(failure.code());
        if side.is_waiting() {
            side.respond(failure.into_response());
        } else {
            let left = self.deadline.since(self.app.now());
            let _ = side.write(failure.into_event(), left).await;
        }
        true
    }
}
