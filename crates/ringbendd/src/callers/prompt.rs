//! Prompts: `POST /v1/completions` and `/v1/chat/completions`.

use std::collections::BTreeMap;
use std::rc::Rc;

use bytes::Bytes;
use ringbend_platform::EndpointKind;
use ringbend_policy::RequestProfile;
use ringbend_runtime::HttpResponse;
use ringbend_settings::EffectiveSettings;
use ringbend_types::{ServiceName, TokenCount};
use serde_json::value::RawValue;
use xxhash_rust::xxh3::xxh3_64;

use super::attempt::Delivered;
use super::failure::Failure;
use super::request_task::{self, RequestKind, RequestTask};
use super::{Call, headers};
use crate::app::App;

/// Estimated bytes of prompt per token, used for all size estimates.
const BYTES_PER_TOKEN: usize = 4;

/// Number of leading bytes of a prompt that are hashed as its prefix.
const PREFIX_BYTES: usize = 8_192;

/// Value of `max_tokens` if the request has none.
const DEFAULT_MAX_TOKENS: u64 = 16;

/// A request's body. It is stored once; attempts send slices of it.
pub(crate) struct PromptBody {
    pub(crate) path: &'static str,
    field: &'static str,
    /// The other fields as JSON, each followed by a comma.
    other_fields: Bytes,
    prompt: Bytes,
}

impl PromptBody {
    /// Returns the body of an attempt that resumes after `delivered`.
    pub(crate) fn chunks(&self, delivered: &Delivered) -> Vec<Bytes> {
        let resume = if delivered.tokens > 0 {
            let resume = serde_json::to_string(delivered).unwrap_or_default();
            format!("\"resume\":{resume},")
        } else {
            String::new()
        };
        vec![
            Bytes::from_static(b"{"),
            self.other_fields.clone(),
            Bytes::from(format!("{resume}\"stream\":true,\"{}\":", self.field)),
            self.prompt.clone(),
            Bytes::from_static(b"}"),
        ]
    }
}

struct ParsedPrompt {
    body: PromptBody,
    model: ServiceName,
    stream: bool,
    max_tokens: u64,
}

/// Serves a prompt.
pub(crate) async fn serve(app: &Rc<App>, call: Call, chat: bool) -> Result<HttpResponse, Failure> {
    let parsed = parse(&call.body, chat)?;
    let entries = app.policy.entries();
    if !entries.iter().any(|e| e.kind == EndpointKind::Engine && e.service == parsed.model) {
        return Err(Failure::UnknownService(parsed.model.to_string()));
    }
    let settings = request_task::effective_settings(app, &call.headers, &parsed.model);
    check_max_tokens(&settings, parsed.max_tokens)?;
    let (id, signals) = app.policy.register_request();
    let prompt = &parsed.body.prompt;
    let profile = RequestProfile {
        id,
        account: call.headers.account.clone(),
        service: parsed.model.clone(),
        kind: EndpointKind::Engine,
        prompt_tokens: TokenCount(prompt.len().div_ceil(BYTES_PER_TOKEN) as u64),
        max_tokens: parsed.max_tokens,
        prefix: xxh3_64(&prompt[..prompt.len().min(PREFIX_BYTES)]),
        deadline: request_task::deadline(app, &call.headers, &settings),
        repeatable: !call.headers.not_repeatable && call.headers.key.is_none(),
        needs_claim: call.headers.key.is_some(),
        settings,
    };
    let kind = RequestKind::Prompt {
        body: Rc::new(parsed.body),
        stream: parsed.stream,
        chat,
        model: parsed.model,
    };
    RequestTask::new(app, call, profile, kind, signals).run().await
}

fn check_max_tokens(settings: &EffectiveSettings, max_tokens: u64) -> Result<(), Failure> {
    let max = settings.admission.max_output_tokens;
    if max_tokens > max {
        return Err(Failure::FieldTooLarge { name: "max_tokens", max });
    }
    Ok(())
}

/// Parses the few fields that are needed and keeps the rest as raw JSON. The prompt is not copied.
fn parse(body: &Bytes, chat: bool) -> Result<ParsedPrompt, Failure> {
    let mut fields: BTreeMap<String, &RawValue> =
        serde_json::from_slice(body).map_err(Failure::BadBody)?;
    let (field, path) =
        if chat { ("messages", "/v1/chat/completions") } else { ("prompt", "/v1/completions") };
    let prompt = fields.remove(field).ok_or(Failure::MissingField(field))?;
    let prompt = body.slice_ref(prompt.get().as_bytes());
    let model: ServiceName = read_field(&fields, "model")?.ok_or(Failure::MissingField("model"))?;
    let stream = read_field(&fields, "stream")?.unwrap_or(false);
    let max_tokens = read_field(&fields, "max_tokens")?.unwrap_or(DEFAULT_MAX_TOKENS);
    fields.remove("stream");
    fields.remove("resume");
    let mut other_fields = String::new();
    for (name, value) in &fields {
        let name = serde_json::to_string(name).map_err(Failure::BadBody)?;
        other_fields.push_str(&name);
        other_fields.push(':');
        other_fields.push_str(value.get());
        other_fields.push(',');
    }
    let body = PromptBody { path, field, other_fields: other_fields.into(), prompt };
    Ok(ParsedPrompt { body, model, stream, max_tokens })
}

fn read_field<T: for<'a> serde::Deserialize<'a>>(
    fields: &BTreeMap<String, &RawValue>,
    name: &str,
) -> Result<Option<T>, Failure> {
    let Some(value) = fields.get(name) else { return Ok(None) };
    serde_json::from_str(value.get()).map_err(Failure::BadBody)
}

/// Returns the digest that identifies a request under its key: the same key with another path, query
/// or body is a different request. `target` is the path, with the query if there is one.
pub(crate) fn request_digest(
    method: &str,
    target: &str,
    body: &[u8],
    headers: &headers::CallHeaders,
) -> u64 {
    let class = headers.class.as_ref().map_or("", |class| class.as_str());
    let head = format!("{method}\n{target}\n{class}\n");
    xxhash_rust::xxh3::xxh3_64_with_seed(body, xxh3_64(head.as_bytes()))
}
