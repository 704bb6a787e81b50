//! URLs of the platform's services, and of the resources below them.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use serde::{Deserialize, Serialize};

/// The characters that are escaped in a segment of a path: all but the unreserved ones of RFC 3986.
const SEGMENT_ESCAPES: &AsciiSet =
    &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');

/// The URL of a service: `http`, an authority and perhaps a path, without a slash at the end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct BaseUrl(Arc<str>);

impl BaseUrl {
    /// The URL of the resource with these path segments, each of which may be any text.
    pub fn join(&self, segments: &[&str]) -> String {
        let mut url = self.0.to_string();
        for segment in segments {
            url.push('/');
            url.extend(utf8_percent_encode(segment, SEGMENT_ESCAPES));
        }
        url
    }
}

impl fmt::Display for BaseUrl {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The reason why a string is not the URL of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ParseBaseUrlError {
    /// The string is not a URL.
    NotAUrl,
    /// The scheme is not `http`.
    NotHttp,
    /// The URL has a query or a fragment, which would hold the path of every call.
    QueryOrFragment,
}

impl fmt::Display for ParseBaseUrlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotAUrl => "not a URL; expected http://IP:port",
            Self::NotHttp => "the URL must start with http://",
            Self::QueryOrFragment => "the URL must not have a query or a fragment",
        })
    }
}

impl std::error::Error for ParseBaseUrlError {}

impl FromStr for BaseUrl {
    type Err = ParseBaseUrlError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        // The parser drops a fragment.
        if text.contains(['?', '#']) {
            return Err(ParseBaseUrlError::QueryOrFragment);
        }
        let uri: http::Uri = text.parse().map_err(|_| ParseBaseUrlError::NotAUrl)?;
        if uri.scheme() != Some(&http::uri::Scheme::HTTP) {
            return Err(ParseBaseUrlError::NotHttp);
        }
        Ok(Self(text.trim_end_matches('/').into()))
    }
}

impl TryFrom<String> for BaseUrl {
    type Error = ParseBaseUrlError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<BaseUrl> for String {
    fn from(url: BaseUrl) -> String {
        url.0.to_string()
    }
}
