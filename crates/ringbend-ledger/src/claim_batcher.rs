//! Batching of claims, with many claims and settlements of one instance in one commit.
//!
//! A claim is granted only once the row is known to hold this request's id. After an unknown outcome the
//! rows are read back. An abandoned claim was never granted, so its request was not run. A granted claim
//! ends as `Done` or `MayHaveRun`; if the request was certainly not run, the row is deleted, on the
//! condition that it still belongs to this request.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use ringbend_platform::{Condition, Row, TableError, TableReply, TableRequest, Write};
use ringbend_types::{RequestId, Timestamp};

use crate::claim::{Claim, ClaimKey, ClaimState, ExistingClaim, StoredAnswer};

/// Limits and delays of the batcher.
#[derive(Debug, Clone)]
pub struct ClaimBatcherConfig {
    /// Maximum number of rows in one commit.
    pub max_batch_rows: usize,
    /// Maximum number of concurrent calls to the table service.
    pub max_calls_in_flight: usize,
    /// Maximum number of waiting claims. Further ones are rejected.
    pub max_waiting: usize,
    /// Number of attempts after which a claim is abandoned.
    pub max_claim_attempts: u32,
    /// Number of attempts after which a settlement is abandoned. Later requests with the same key are then
    /// told that the request may have run.
    pub max_settle_attempts: u32,
    /// Delay after a call that failed or whose reply did not advance its batch.
    pub retry_delay: Duration,
    /// Time to live of claim rows.
    pub row_ttl: Duration,
}

impl Default for ClaimBatcherConfig {
    fn default() -> Self {
        Self {
            max_batch_rows: 50,
            max_calls_in_flight: 2,
            max_waiting: 10_000,
            max_claim_attempts: 4,
            max_settle_attempts: 200,
            retry_delay: Duration::from_millis(100),
            row_ttl: Duration::from_secs(24 * 3600),
        }
    }
}

/// Identifies a call of the batcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// The outcome of a granted claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Settlement {
    /// The request ran and got this answer.
    Done(StoredAnswer),
    /// The request reached an endpoint, but its outcome is unknown.
    MayHaveRun,
    /// The request was certainly not run, and its key becomes available again.
    NotRun,
}

/// An input of the batcher.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimEvent {
    /// A request asks for its claim.
    Claim {
        /// The request that asks.
        holder: RequestId,
        /// The key of the claim.
        key: ClaimKey,
        /// Hash of method, path and body of the request.
        digest: u64,
        /// The request's deadline on the wall clock.
        until_unix_ms: u64,
        /// The time at which the claim is abandoned if it has not been granted.
        abandon_at: Timestamp,
    },
    /// A request with a granted claim ended.
    Settle {
        /// The request that ended.
        holder: RequestId,
        /// How it ended.
        settlement: Settlement,
    },
    /// The reply to a call arrived.
    Reply {
        /// The call.
        call: CallId,
        /// The reply.
        reply: Result<TableReply, TableError>,
    },
    /// Time has passed.
    Tick,
}

/// An action to be performed by the caller.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimAction {
    /// Call the table service and pass the reply back as [`ClaimEvent::Reply`].
    Call(CallId, TableRequest),
    /// The request may be dispatched, after checking its deadline again.
    Granted(RequestId),
    /// Another request has already claimed the key.
    AlreadyClaimed(RequestId, ExistingClaim),
    /// The claim was abandoned. The request was not run and must not be run.
    Abandoned(RequestId),
}

#[derive(Debug, Clone)]
struct Pending {
    holder: RequestId,
    key: ClaimKey,
    claim: Claim,
    abandon_at: Timestamp,
    attempts: u32,
    /// A commit of this claim had an unknown outcome.
    maybe_written: bool,
}

#[derive(Debug, Clone)]
struct Settling {
    key: ClaimKey,
    claim: Claim,
    /// Whether to delete the row instead of writing it.
    free: bool,
    attempts: u32,
}

#[derive(Debug, Clone)]
enum Call {
    Claim(Vec<Pending>),
    ReadBack(Vec<Pending>),
    Settle(Vec<Settling>),
    ReadToFree(Vec<Settling>),
    Free(Vec<Settling>),
}

/// The claims of one instance.
#[derive(Debug, Clone)]
pub struct ClaimBatcher {
    cfg: ClaimBatcherConfig,
    waiting: VecDeque<Pending>,
    uncertain: VecDeque<Pending>,
    granted: BTreeMap<RequestId, (ClaimKey, Claim)>,
    settling: VecDeque<Settling>,
    freeing: VecDeque<Settling>,
    calls: BTreeMap<CallId, Call>,
    next_call: u64,
    pause_until: Timestamp,
}

impl ClaimBatcher {
    /// Creates a batcher without claims.
    pub fn new(cfg: ClaimBatcherConfig) -> Self {
        Self {
            cfg,
            waiting: VecDeque::new(),
            uncertain: VecDeque::new(),
            granted: BTreeMap::new(),
            settling: VecDeque::new(),
            freeing: VecDeque::new(),
            calls: BTreeMap::new(),
            next_call: 0,
            pause_until: Timestamp::default(),
        }
    }

    /// Handles an event. `now_unix_ms` is the wall clock time, used only to determine the
    /// [`ExistingClaim`] that is reported.
    pub fn handle(
        &mut self,
        now: Timestamp,
        now_unix_ms: u64,
        event: ClaimEvent,
    ) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        match event {
            ClaimEvent::Claim { holder, key, digest, until_unix_ms, abandon_at } => {
                if self.waiting.len() >= self.cfg.max_waiting {
                    return vec![ClaimAction::Abandoned(holder)];
                }
                let state = ClaimState::Claimed { until_unix_ms };
                let claim = Claim { holder, digest, state };
                let maybe_written = false;
                let pending =
                    Pending { holder, key, claim, abandon_at, attempts: 0, maybe_written };
                self.waiting.push_back(pending);
            }
            ClaimEvent::Settle { holder, settlement } => self.settle(holder, settlement),
            ClaimEvent::Reply { call, reply } => {
                if let Some(call) = self.calls.remove(&call) {
                    self.on_reply(now, now_unix_ms, call, reply, &mut actions);
                }
            }
            ClaimEvent::Tick => {}
        }
        self.abandon_expired(now, &mut actions);
        self.start_calls(now, &mut actions);
        actions
    }

    /// When the next [`ClaimEvent::Tick`] is due.
    pub fn next_wakeup(&self) -> Timestamp {
        let queued = self.waiting.iter().chain(&self.uncertain);
        let abandon_at = queued.map(|p| p.abandon_at).min().unwrap_or(Timestamp::NEVER);
        if self.has_work() && self.calls.len() < self.cfg.max_calls_in_flight {
            return abandon_at.min(self.pause_until);
        }
        abandon_at
    }

    /// The number of unfinished claims and settlements. A graceful shutdown waits until it is zero.
    pub fn unsettled(&self) -> usize {
        self.granted.len() + self.settling.len() + self.freeing.len() + self.calls.len()
    }

    fn has_work(&self) -> bool {
        !(self.waiting.is_empty()
            && self.uncertain.is_empty()
            && self.settling.is_empty()
            && self.freeing.is_empty())
    }

    fn settle(&mut self, holder: RequestId, settlement: Settlement) {
        let Some((key, mut claim)) = self.granted.remove(&holder) else { return };
        let free = settlement == Settlement::NotRun;
        match settlement {
            Settlement::Done(answer) => claim.state = ClaimState::Done(answer),
            Settlement::MayHaveRun => claim.state = ClaimState::MayHaveRun,
            Settlement::NotRun => {}
        }
        let settling = Settling { key, claim, free, attempts: 0 };
        let queue = if free { &mut self.freeing } else { &mut self.settling };
        queue.push_back(settling);
    }

    fn abandon_expired(&mut self, now: Timestamp, actions: &mut Vec<ClaimAction>) {
        let mut expired = take_expired(&mut self.waiting, now);
        expired.extend(take_expired(&mut self.uncertain, now));
        for pending in expired {
            self.abandon(pending, actions);
        }
    }

    fn start_calls(&mut self, now: Timestamp, actions: &mut Vec<ClaimAction>) {
        while now >= self.pause_until && self.calls.len() < self.cfg.max_calls_in_flight {
            let Some((call, request)) = self.next_call() else { return };
            self.next_call += 1;
            let id = CallId(self.next_call);
            self.calls.insert(id, call);
            actions.push(ClaimAction::Call(id, request));
        }
    }

    fn next_call(&mut self) -> Option<(Call, TableRequest)> {
        let max = self.cfg.max_batch_rows;
        if !self.uncertain.is_empty() {
            let batch = take_up_to(&mut self.uncertain, max);
            let keys = batch.iter().map(|p| p.key.row()).collect();
            return Some((Call::ReadBack(batch), TableRequest::Read { keys }));
        }
        if !self.waiting.is_empty() {
            let batch = self.take_distinct_keys(max);
            let request = self.claim_request(&batch);
            return Some((Call::Claim(batch), request));
        }
        if !self.settling.is_empty() {
            let batch = take_up_to(&mut self.settling, max);
            let writes = batch.iter().map(|s| self.put_claim(&s.key, &s.claim)).collect();
            let request = TableRequest::Commit { conditions: Vec::new(), writes };
            return Some((Call::Settle(batch), request));
        }
        if !self.freeing.is_empty() {
            let batch = take_up_to(&mut self.freeing, max);
            let keys = batch.iter().map(|s| s.key.row()).collect();
            return Some((Call::ReadToFree(batch), TableRequest::Read { keys }));
        }
        None
    }

    /// The next claims with distinct keys. Of two claims with the same key, the second one waits for the
    /// next batch.
    fn take_distinct_keys(&mut self, max: usize) -> Vec<Pending> {
        let mut batch: Vec<Pending> = Vec::new();
        let mut rest = VecDeque::new();
        while let Some(pending) = self.waiting.pop_front() {
            let fits_batch = batch.len() < max && batch.iter().all(|p| p.key != pending.key);
            if fits_batch {
                batch.push(pending);
            } else {
                rest.push_back(pending);
            }
        }
        self.waiting = rest;
        batch
    }

    fn claim_request(&self, batch: &[Pending]) -> TableRequest {
        TableRequest::Commit {
            conditions: batch.iter().map(|p| Condition::Absent(p.key.row())).collect(),
            writes: batch.iter().map(|p| self.put_claim(&p.key, &p.claim)).collect(),
        }
    }

    fn put_claim(&self, key: &ClaimKey, claim: &Claim) -> Write {
        let value = serde_json::to_string(claim).unwrap_or_default().into();
        Write::Put { key: key.row(), value, ttl_s: Some(self.cfg.row_ttl.as_secs()) }
    }

    fn on_reply(
        &mut self,
        now: Timestamp,
        now_unix_ms: u64,
        call: Call,
        reply: Result<TableReply, TableError>,
        actions: &mut Vec<ClaimAction>,
    ) {
        if reply.is_err() {
            self.pause(now);
        }
        match (call, reply) {
            (Call::Claim(batch), Ok(TableReply::Committed)) => {
                batch.into_iter().for_each(|p| self.grant(p, actions));
            }
            (Call::Claim(batch), Ok(TableReply::ConditionsFailed(rows))) => {
                let count = batch.len();
                let unclaimed = self.resolve_existing(batch, &rows, now_unix_ms, actions);
                if unclaimed.len() == count {
                    // Without a delay and a limit, the same commit would be repeated forever.
                    self.pause(now);
                    self.retry_claims(unclaimed, false, actions);
                } else {
                    unclaimed.into_iter().for_each(|pending| self.waiting.push_front(pending));
                }
            }
            (Call::Claim(batch) | Call::ReadBack(batch), Err(TableError::OutcomeUnknown)) => {
                self.retry_claims(batch, true, actions);
            }
            (Call::Claim(batch), _) => {
                self.pause(now);
                self.retry_claims(batch, false, actions);
            }
            (Call::ReadBack(batch), Ok(TableReply::Rows(rows))) => {
                let unclaimed = self.resolve_existing(batch, &rows, now_unix_ms, actions);
                // A lost commit may still take effect, in which case the next one finds this request's
                // own claim.
                unclaimed.into_iter().for_each(|pending| self.waiting.push_front(pending));
            }
            (Call::ReadBack(batch), _) => {
                self.pause(now);
                self.retry_claims(batch, true, actions);
            }
            (Call::Settle(_) | Call::Free(_), Ok(TableReply::Committed)) => {}
            (Call::Settle(batch), _) => self.retry_settlements(now, batch),
            (Call::ReadToFree(batch), Ok(TableReply::Rows(rows))) => {
                self.free_claims(batch, &rows, actions);
            }
            (Call::ReadToFree(batch) | Call::Free(batch), _) => self.retry_settlements(now, batch),
        }
    }

    fn pause(&mut self, now: Timestamp) {
        self.pause_until = now + self.cfg.retry_delay;
    }

    fn grant(&mut self, pending: Pending, actions: &mut Vec<ClaimAction>) {
        self.granted.insert(pending.holder, (pending.key, pending.claim));
        actions.push(ClaimAction::Granted(pending.holder));
    }

    /// Resolves the claims whose rows exist, and returns the others.
    fn resolve_existing(
        &mut self,
        batch: Vec<Pending>,
        rows: &[Row],
        now_unix_ms: u64,
        actions: &mut Vec<ClaimAction>,
    ) -> Vec<Pending> {
        let mut unclaimed = Vec::new();
        for pending in batch {
            let key = pending.key.row();
            let Some(row) = rows.iter().find(|row| row.key == key) else {
                unclaimed.push(pending);
                continue;
            };
            match serde_json::from_str::<Claim>(&row.value) {
                Ok(held) => self.resolve(pending, &held, now_unix_ms, actions),
                // The row may be of a later release. This request's own would be readable, and the
                // key is claimed, so the request must not run.
                Err(_) => {
                    let status = ExistingClaim::MayHaveRun;
                    actions.push(ClaimAction::AlreadyClaimed(pending.holder, status));
                }
            }
        }
        unclaimed
    }

    fn resolve(
        &mut self,
        pending: Pending,
        held: &Claim,
        now_unix_ms: u64,
        actions: &mut Vec<ClaimAction>,
    ) {
        if held.holder == pending.holder {
            return self.grant(pending, actions);
        }
        let status = held.status_for(pending.claim.digest, now_unix_ms);
        actions.push(ClaimAction::AlreadyClaimed(pending.holder, status));
    }

    fn retry_claims(
        &mut self,
        batch: Vec<Pending>,
        uncertain: bool,
        actions: &mut Vec<ClaimAction>,
    ) {
        for mut pending in batch {
            pending.attempts += 1;
            pending.maybe_written |= uncertain;
            if pending.attempts >= self.cfg.max_claim_attempts {
                self.abandon(pending, actions);
            } else if uncertain {
                self.uncertain.push_back(pending);
            } else {
                self.waiting.push_back(pending);
            }
        }
    }

    /// Abandons a claim. If the claim may have been written, its row is deleted, so that the caller's next
    /// attempt is not told that the request is in progress.
    fn abandon(&mut self, pending: Pending, actions: &mut Vec<ClaimAction>) {
        let Pending { holder, key, claim, maybe_written, .. } = pending;
        actions.push(ClaimAction::Abandoned(holder));
        if maybe_written {
            self.freeing.push_back(Settling { key, claim, free: true, attempts: 0 });
        }
    }

    fn retry_settlements(&mut self, now: Timestamp, batch: Vec<Settling>) {
        self.pause(now);
        for mut settling in batch {
            settling.attempts += 1;
            if settling.attempts >= self.cfg.max_settle_attempts {
                continue;
            }
            let queue = if settling.free { &mut self.freeing } else { &mut self.settling };
            queue.push_back(settling);
        }
    }

    fn free_claims(&mut self, batch: Vec<Settling>, rows: &[Row], actions: &mut Vec<ClaimAction>) {
        let mut conditions = Vec::new();
        let mut writes = Vec::new();
        let mut owned = Vec::new();
        for settling in batch {
            let key = settling.key.row();
            let Some(row) = rows.iter().find(|row| row.key == key) else { continue };
            let held = serde_json::from_str::<Claim>(&row.value);
            if held.is_ok_and(|held| held.holder == settling.claim.holder) {
                conditions.push(Condition::VersionIs(key.clone(), row.version));
                writes.push(Write::Delete { key });
                owned.push(settling);
            }
        }
        if owned.is_empty() {
            return;
        }
        self.next_call += 1;
        let id = CallId(self.next_call);
        self.calls.insert(id, Call::Free(owned));
        actions.push(ClaimAction::Call(id, TableRequest::Commit { conditions, writes }));
    }
}

/// Removes the expired claims from a queue.
fn take_expired(queue: &mut VecDeque<Pending>, now: Timestamp) -> Vec<Pending> {
    let (expired, rest): (Vec<Pending>, Vec<Pending>) =
        queue.drain(..).partition(|pending| pending.abandon_at <= now);
    *queue = rest.into();
    expired
}

fn take_up_to<T>(queue: &mut VecDeque<T>, max: usize) -> Vec<T> {
    let n = queue.len().min(max);
    queue.drain(..n).collect()
}
