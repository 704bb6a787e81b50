//! The instance list service and its HTTP client.

use std::cell::RefCell;

use async_trait::async_trait;
use ringbend_platform::EndpointEntry;
use serde_json::value::RawValue;

use super::http::{CallError, HttpClient};
use crate::base_url::BaseUrl;

/// Maximum length of a logged decoding error, in characters. The error may quote the entry.
const MAX_LOGGED_CHARS: usize = 200;

/// The platform's list of endpoints, which is delayed.
#[async_trait(?Send)]
pub(crate) trait InstanceList {
    /// Reads the complete list; `None` if it has not changed since the last read.
    async fn read(&self) -> Result<Option<Vec<EndpointEntry>>, CallError>;
}

/// The list over HTTP: `GET URL/v1/endpoints` with the entity tag of the last read, so that polling
/// an unchanged list of hundreds of endpoints costs only a few hundred bytes.
pub(crate) struct HttpInstanceList {
    http: HttpClient,
    url: String,
    tag: RefCell<Option<String>>,
}

impl HttpInstanceList {
    pub(crate) fn new(http: HttpClient, base: &BaseUrl) -> Self {
        Self { http, url: base.join(&["v1", "endpoints"]), tag: RefCell::default() }
    }
}

#[async_trait(?Send)]
impl InstanceList for HttpInstanceList {
    async fn read(&self) -> Result<Option<Vec<EndpointEntry>>, CallError> {
        let tag = self.tag.borrow().clone();
        let Some((list, tag)) = self.http.get_if_changed(&self.url, tag.as_deref()).await? else {
            return Ok(None);
        };
        let list: Vec<&RawValue> =
            serde_json::from_slice(&list).map_err(|_| CallError::Malformed)?;
        *self.tag.borrow_mut() = tag;
        Ok(Some(decode_entries(&list)))
    }
}

/// Decodes the valid entries. Each is decoded separately, so that an invalid one affects no other.
fn decode_entries(list: &[&RawValue]) -> Vec<EndpointEntry> {
    let mut entries = Vec::with_capacity(list.len());
    let mut errors = Vec::new();
    for entry in list {
        match serde_json::from_str(entry.get()) {
            Ok(entry) => entries.push(entry),
            Err(e) => errors.push(e),
        }
    }
    if let Some(first) = errors.first() {
        let why: String = first.to_string().chars().take(MAX_LOGGED_CHARS).collect();
        log::warn!(count = errors.len(), why; "skipping invalid entries of the instance list");
    }
    entries
}
