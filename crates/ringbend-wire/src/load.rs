//! Encoding of load digests, placement requests and their results.

use std::time::Duration;

use ringbend_gateway::{
    AllowedDataCentres, Demand, HealthEvent, HelperMemory, Job, MAX_SUSPECTS, Pace, Role, Suspects,
    WaitingPrompt, Work, WorkId,
};
use ringbend_types::{
    ClientAccountId, DataCentre, EndpointId, Fingerprint, ParseFingerprintError, ParseIdError,
    Timestamp,
};

use crate::convert::WireError;
use crate::generated::{
    self as wire, Ask, EndpointResult, EnginePace, HeldMemory, LoadDigest, PlacedWork, ResultKind,
    WaitingWork,
};

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Encodes placed work for peers, with times relative to `now`.
pub fn encode_placed_work(now: Timestamp, id: WorkId, work: &Work, writing: bool) -> PlacedWork {
    PlacedWork {
        sequence: id.sequence,
        lead: work.lead.to_string(),
        helpers: work.helpers.iter().map(EndpointId::to_string).collect(),
        part_us: u64::try_from(work.part.as_micros()).unwrap_or(u64::MAX),
        memory_tokens: work.memory_tokens,
        gap_ms: millis(work.gap),
        first_in_ms: millis(work.first_by.since(now)),
        left_ms: millis(work.until.since(now)),
        stake: work.stake,
        writing,
        held: work.held.iter().map(encode_held_memory).collect(),
        long: work.long,
        suspects: encode_suspects(&work.suspects),
    }
}

fn encode_fingerprint(fingerprint: Option<Fingerprint>) -> Vec<u8> {
    fingerprint.map_or_else(Vec::new, |fingerprint| fingerprint.as_bytes().to_vec())
}

fn decode_fingerprint(bytes: &[u8]) -> Result<Option<Fingerprint>, ParseFingerprintError> {
    if bytes.is_empty() { Ok(None) } else { bytes.try_into().map(Some) }
}

fn encode_suspects(suspects: &Suspects) -> Vec<Vec<u8>> {
    suspects.iter().map(|suspect| suspect.as_bytes().to_vec()).collect()
}

/// Decodes suspects. Those beyond the number that an instance sends are dropped.
fn decode_suspects(suspects: &[Vec<u8>]) -> Result<Suspects, ParseFingerprintError> {
    suspects.iter().take(MAX_SUSPECTS).map(|suspect| suspect.as_slice().try_into()).collect()
}

fn encode_held_memory(held: &HelperMemory) -> HeldMemory {
    HeldMemory { endpoint: held.endpoint.to_string(), tokens: held.tokens }
}

fn decode_held_memory(held: &HeldMemory) -> Result<HelperMemory, ParseIdError> {
    Ok(HelperMemory { endpoint: held.endpoint.parse()?, tokens: held.tokens })
}

/// Decodes placed work that was received from a peer at `now`.
///
/// # Errors
///
/// Fails if an endpoint's id or the fingerprint is malformed.
pub fn decode_placed_work(now: Timestamp, placed: &PlacedWork) -> Result<Work, WireError> {
    let helpers = placed.helpers.iter().map(|id| id.parse());
    Ok(Work {
        lead: placed.lead.parse()?,
        helpers: helpers.collect::<Result<_, ParseIdError>>()?,
        part: Duration::from_micros(placed.part_us),
        memory_tokens: placed.memory_tokens,
        held: placed.held.iter().map(decode_held_memory).collect::<Result<_, _>>()?,
        gap: Duration::from_millis(placed.gap_ms),
        first_by: now + Duration::from_millis(placed.first_in_ms),
        stake: placed.stake,
        until: now + Duration::from_millis(placed.left_ms),
        long: placed.long,
        suspects: decode_suspects(&placed.suspects)?,
    })
}

/// Encodes a queued long prompt for peers, with times relative to `now`.
pub fn encode_waiting_work(now: Timestamp, id: WorkId, waiting: &WaitingPrompt) -> WaitingWork {
    WaitingWork {
        sequence: id.sequence,
        read_us: u64::try_from(waiting.read_time.as_micros()).unwrap_or(u64::MAX),
        age_ms: millis(now.since(waiting.since)),
        first_in_ms: millis(waiting.first_by.since(now)),
        left_ms: millis(waiting.until.since(now)),
        service: waiting.service.to_string(),
        priority: waiting.priority.into(),
        account: encode_account(waiting.account.as_ref()),
    }
}

/// Decodes a queued long prompt that was received from a peer at `now`.
///
/// # Errors
///
/// Fails if the service's name or the account is malformed.
pub fn decode_waiting_work(
    now: Timestamp,
    waiting: &WaitingWork,
) -> Result<WaitingPrompt, WireError> {
    Ok(WaitingPrompt {
        service: waiting.service.parse()?,
        read_time: Duration::from_micros(waiting.read_us),
        since: now - Duration::from_millis(waiting.age_ms),
        first_by: now + Duration::from_millis(waiting.first_in_ms),
        until: now + Duration::from_millis(waiting.left_ms),
        priority: u8::try_from(waiting.priority).unwrap_or(u8::MAX),
        account: decode_account(&waiting.account)?,
    })
}

/// Encodes a placement request for a scheduler, with times relative to `now`.
pub fn encode_ask(now: Timestamp, id: WorkId, job: &Job) -> Ask {
    Ask {
        sequence: id.sequence,
        request: job.request.to_string(),
        service: job.service.to_string(),
        prompt_tokens: job.demand.map(|demand| demand.prompt_tokens),
        answer_tokens: job.demand.map_or(0, |demand| demand.answer_tokens),
        age_ms: millis(now.since(job.since)),
        first_in_ms: millis(job.first_by.since(now)),
        gap_ms: millis(job.gap),
        patience_ms: millis(job.caller_timeout_at.since(now)),
        left_ms: millis(job.deadline.since(now)),
        tried: job.tried.iter().map(EndpointId::to_string).collect(),
        at_once: job.at_once,
        owner: None,
        suspects: encode_suspects(&job.suspects),
        rank: job.priority.into(),
        closed: job.backing_off.iter().map(EndpointId::to_string).collect(),
        data_centres: encode_data_centres(&job.data_centres),
        account: encode_account(job.account.as_ref()),
        fingerprint: encode_fingerprint(job.fingerprint),
    }
}

/// Decodes a placement request that was received from an instance at `now`.
///
/// # Errors
///
/// Fails if the service's name, the account, an endpoint's id or the fingerprint is malformed.
pub fn decode_ask(now: Timestamp, ask: &Ask) -> Result<Job, WireError> {
    let answer_tokens = ask.answer_tokens;
    let tried = ask.tried.iter().map(|id| id.parse());
    let closed = ask.closed.iter().map(|id| id.parse());
    Ok(Job {
        request: ask.request.as_str().into(),
        service: ask.service.parse()?,
        demand: ask.prompt_tokens.map(|prompt_tokens| Demand { prompt_tokens, answer_tokens }),
        since: now - Duration::from_millis(ask.age_ms),
        first_by: now + Duration::from_millis(ask.first_in_ms),
        gap: Duration::from_millis(ask.gap_ms),
        caller_timeout_at: now + Duration::from_millis(ask.patience_ms),
        deadline: now + Duration::from_millis(ask.left_ms),
        tried: tried.collect::<Result<_, ParseIdError>>()?,
        backing_off: closed.collect::<Result<_, ParseIdError>>()?,
        data_centres: decode_data_centres(&ask.data_centres)?,
        at_once: ask.at_once,
        priority: u8::try_from(ask.rank).unwrap_or(u8::MAX),
        account: decode_account(&ask.account)?,
        fingerprint: decode_fingerprint(&ask.fingerprint)?,
        suspects: decode_suspects(&ask.suspects)?,
    })
}

fn encode_account(account: Option<&ClientAccountId>) -> String {
    account.map(ClientAccountId::to_string).unwrap_or_default()
}

fn decode_account(account: &str) -> Result<Option<ClientAccountId>, WireError> {
    if account.is_empty() { Ok(None) } else { Ok(Some(account.parse()?)) }
}

/// A request that may run nowhere is not placed, so an empty list means any.
fn encode_data_centres(allowed: &AllowedDataCentres) -> Vec<String> {
    match allowed {
        AllowedDataCentres::Any => Vec::new(),
        AllowedDataCentres::Only(allowed) => allowed.iter().map(DataCentre::to_string).collect(),
    }
}

fn decode_data_centres(names: &[String]) -> Result<AllowedDataCentres, ParseIdError> {
    if names.is_empty() {
        return Ok(AllowedDataCentres::Any);
    }
    let allowed = names.iter().map(|name| name.parse());
    Ok(AllowedDataCentres::Only(allowed.collect::<Result<_, ParseIdError>>()?))
}

/// Encodes the result of a request at an endpoint for a scheduler.
pub fn encode_endpoint_result(endpoint: &EndpointId, event: HealthEvent) -> EndpointResult {
    let kind = match event {
        HealthEvent::Good => ResultKind::Good,
        HealthEvent::Bad => ResultKind::Bad,
        HealthEvent::Full => ResultKind::Full,
        HealthEvent::Foreign => ResultKind::Foreign,
    };
    EndpointResult { endpoint: endpoint.to_string(), kind: kind.into() }
}

/// Decodes the result of a request at an endpoint from an instance.
///
/// # Errors
///
/// Fails if the endpoint's id is malformed.
pub fn decode_endpoint_result(
    result: &EndpointResult,
) -> Result<(EndpointId, HealthEvent), WireError> {
    let event = match result.kind() {
        ResultKind::Good => HealthEvent::Good,
        ResultKind::Bad => HealthEvent::Bad,
        ResultKind::Full => HealthEvent::Full,
        ResultKind::Foreign => HealthEvent::Foreign,
    };
    Ok((result.endpoint.parse()?, event))
}

/// Decodes an engine's slowdown from a peer.
///
/// # Errors
///
/// Fails if the engine's id is malformed.
pub fn decode_engine_pace(pace: &EnginePace) -> Result<(EndpointId, Pace), WireError> {
    Ok((pace.endpoint.parse()?, Pace::from_percent(pace.percent)))
}

/// Encodes the role of an instance for peers.
pub fn encode_role(role: Role) -> i32 {
    let role = match role {
        Role::Starting => wire::Role::Starting,
        Role::Scheduler => wire::Role::Scheduler,
        Role::Member => wire::Role::Member,
    };
    role.into()
}

/// Decodes the role of the sender of a digest. A role that this version does not know is decoded as
/// [`Role::Starting`], so that nothing relies on it.
pub fn decode_role(digest: &LoadDigest) -> Role {
    match digest.role() {
        wire::Role::Starting => Role::Starting,
        wire::Role::Scheduler => Role::Scheduler,
        wire::Role::Member => Role::Member,
    }
}
