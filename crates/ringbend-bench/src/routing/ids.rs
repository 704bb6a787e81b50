//! Conversions between the indexes and the identifiers of accounts, engines and instances.

use ringbend_types::{ClientAccountId, EndpointId, InstanceId, ServiceName};

pub(super) fn parse_id<T: std::str::FromStr>(text: &str) -> T {
    text.parse().unwrap_or_else(|_| unreachable!("{text} is a valid id"))
}

pub(super) fn service() -> ServiceName {
    parse_id("assistant")
}

pub(super) fn account_id(n: usize) -> ClientAccountId {
    parse_id(&format!("account-{n}"))
}

pub(super) fn endpoint_id(n: usize) -> EndpointId {
    parse_id(&format!("engine-{n}"))
}

pub(super) fn engine_index(id: &EndpointId) -> usize {
    id.as_str().trim_start_matches("engine-").parse().unwrap_or(0)
}

pub(super) fn instance_index(id: &InstanceId) -> usize {
    id.as_str().trim_start_matches("instance-").parse().unwrap_or(0)
}
