//! Responses stored under a request key for later requests, and responses of plain services.

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

/// Stores a response: short text inline in the claim row, anything else in the object store.
/// Returns `None` if the object store fails.
pub(crate) async fn store(
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

/// Builds an HTTP response from a stored one; `None` if its body cannot be read now.
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

/// Builds an HTTP response from a plain service's response.
pub(crate) fn plain(response: PlainResponse) -> HttpResponse {
    let mut res = Response::with_body(response.status, response.body.boxed());
    for (name, value) in &response.headers {
        res.headers_mut().append(name.clone(), value.clone());
    }
    res
}
