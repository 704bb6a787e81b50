//! Separation of end-to-end headers from hop-by-hop headers.

use actix_http::ResponseHead;
use actix_http::header::{self, HeaderMap, HeaderName};

/// Hop-by-hop headers, which apply to a single connection.
const HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
];

/// The end-to-end headers.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named = headers.get_all(header::CONNECTION).filter_map(|value| value.to_str().ok());
    let named: Vec<String> = named
        .flat_map(|names| names.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut result = HeaderMap::new();
    for (name, value) in headers {
        let is_hop = HOP_HEADERS.contains(name)
            || name.as_str() == "keep-alive"
            || name.as_str() == "proxy-connection"
            || named.iter().any(|n| n == name.as_str());
        if !is_hop {
            result.append(name.clone(), value.clone());
        }
    }
    result
}

/// The size of a body that is not chunked, in bytes.
pub(crate) fn content_length(headers: &HeaderMap) -> Option<usize> {
    headers.get(header::CONTENT_LENGTH)?.to_str().ok()?.trim().parse().ok()
}

/// Copies the end-to-end headers of a response.
pub(crate) fn copy_headers(head: &ResponseHead, to: &mut HeaderMap) {
    for (name, value) in &end_to_end(&head.headers) {
        to.append(name.clone(), value.clone());
    }
}

pub(crate) fn clone_head(head: &ResponseHead) -> ResponseHead {
    let mut copy = ResponseHead::new(head.status);
    copy.headers = head.headers.clone();
    copy
}
