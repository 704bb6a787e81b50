//! Encoding of what engines report to run.

use std::time::Duration;

use ringbend_gateway::{self as gateway, UsageReport};
use ringbend_types::{EndpointId, Timestamp};

use crate::convert::WireError;
use crate::generated::EngineUsage;

/// Encodes an engine's report for peers.
pub fn encode_engine_usage(
    now: Timestamp,
    engine: &EndpointId,
    report: &UsageReport,
) -> EngineUsage {
    EngineUsage {
        endpoint: engine.to_string(),
        requests: report.usage.requests,
        memory_tokens: report.usage.memory_tokens,
        age_ms: u64::try_from(now.since(report.received_at).as_millis()).unwrap_or(u64::MAX),
    }
}

/// Decodes an engine's report from a peer.
///
/// # Errors
///
/// Fails if the engine's id is malformed.
pub fn decode_engine_usage(
    now: Timestamp,
    encoded: &EngineUsage,
) -> Result<(EndpointId, UsageReport), WireError> {
    let usage =
        gateway::EngineUsage { requests: encoded.requests, memory_tokens: encoded.memory_tokens };
    let age_us = Duration::from_millis(encoded.age_ms).as_micros();
    let received_at = Timestamp(now.0.saturating_sub(u64::try_from(age_us).unwrap_or(u64::MAX)));
    Ok((encoded.endpoint.parse()?, UsageReport { usage, received_at }))
}
