//! The object store and its HTTP client.

use async_trait::async_trait;
use awc::http::Method;
use bytes::Bytes;

use super::http::{CallError, HttpClient};
use crate::base_url::BaseUrl;

/// The platform's object store.
#[async_trait(?Send)]
pub(crate) trait ObjectStore {
    /// Stores an object.
    async fn put(&self, name: &str, object: Bytes) -> Result<(), CallError>;

    /// Reads an object.
    async fn get(&self, name: &str) -> Result<Bytes, CallError>;
}

/// The object store over HTTP: `PUT` and `GET URL/objects/NAME`.
pub(crate) struct HttpObjects {
    http: HttpClient,
    base: BaseUrl,
}

impl HttpObjects {
    pub(crate) fn new(http: HttpClient, base: BaseUrl) -> Self {
        Self { http, base }
    }
}

#[async_trait(?Send)]
impl ObjectStore for HttpObjects {
    async fn put(&self, name: &str, object: Bytes) -> Result<(), CallError> {
        let url = self.base.join(&["objects", name]);
        self.http.call(Method::PUT, &url, object).await.map(drop)
    }

    async fn get(&self, name: &str) -> Result<Bytes, CallError> {
        let url = self.base.join(&["objects", name]);
        self.http.call(Method::GET, &url, Bytes::new()).await
    }
}
