//! Answers kept for later arrivals with the same request key, and plain answers as responses.

use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::MessageBody;
use actix_http::header::{CONTENT_TYPE, HeaderValue};
use bytes::Bytes;
use ringbend_ledger::{AnswerBody, MAX_INLINE_ANSWER_BYTES, StoredAnswer};
use ringbend_runtime::HttpResponse;
use ringbend_types::RequestId;

use super::plain::PlainResponse;
use crate::app::App;

/// Keeps an answer: small text in the claim row, the rest in the object store. `None` when the
/// object store does not take it.
pub(crate) async fn keep(
    app: &App,
    id: RequestId,
    status: u16,
    content_type: &str,
    body: Bytes,
) -> Option<StoredAnswer> {
    let inline = std::str::from_utf8(&body).ok().filter(|_| body.len() <= MAX_INLINE_ANSWER_BYTES);
    let body = match inline {
        Some(text) => AnswerBody::Inline(text.into()),
        None => {
            let name = format!("answer-{id}");
            app.objects.put(&name, body.clone()).await.ok()?;
            AnswerBody::Object(name.into())
        }
    };
    Some(StoredAnswer { status, content_type: content_type.into(), body })
}

/// A kept answer as a response; `None` when its body cannot be read now.
pub(crate) async fn response(app: &App, answer: &StoredAnswer) -> Option<HttpResponse> {
    let body = match &answer.body {
        AnswerBody::Inline(text) => Bytes::copy_from_slice(text.as_bytes()),
        AnswerBody::Object(name) => app.objects.get(name).await.ok()?,
    };
    let status = StatusCode::from_u16(answer.status).ok()?;
    let mut res = Response::with_body(status, body.boxed());
    if let Ok(content_type) = HeaderValue::from_str(&answer.content_type) {
        res.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    Some(res)
}

/// A plain service's answer as a response.
pub(crate) fn plain(response: PlainResponse) -> HttpResponse {
    let mut res = Response::with_body(response.status, response.body.boxed());
    for (name, value) in &response.headers {
        res.headers_mut().append(name.clone(), value.clone());
    }
    res
}
