//! Claims in batches: many claims and settlements of one instance in one commit.
//!
//! A claim is granted only on proof that the row holds this request's id. After an unknown
//! outcome the rows are read back. A claim that is given up was never granted, so the request was
//! not run. A granted claim ends as `Done`, `MayHaveRun` or, when the request certainly was not
//! run, deleted on condition that the row is still this request's.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use ringbend_platform::{Condition, Row, RowKey, TableError, TableReply, TableRequest, Write};
use ringbend_types::{RequestId, Timestamp};

use crate::claim::{Claim, ClaimKey, ClaimState, ExistingClaim, StoredAnswer};

/// Bounds of the batcher.
#[derive(Debug, Clone)]
pub struct ClaimBatcherConfig {
    /// Most rows in one commit.
    pub max_batch_rows: usize,
    /// Most commits under way at once.
    pub max_calls_in_flight: usize,
    /// Most claims waiting; more are refused.
    pub max_waiting: usize,
    /// Tries before a claim is given up.
    pub max_claim_attempts: u32,
    /// Tries before a settlement is given up; later arrivals then hear "may have run".
    pub max_settle_attempts: u32,
    /// Wait after a failed call.
    pub retry_delay: Duration,
    /// How long rows are kept.
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

/// Numbers the batcher's calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// How a granted claim ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Settlement {
    /// It ran, with this answer.
    Done(StoredAnswer),
    /// It reached an endpoint and no definite word came back.
    MayHaveRun,
    /// It certainly was not run; the key is free again.
    NotRun,
}

/// What happens to the batcher.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimEvent {
    /// A request wants its claim.
    Claim {
        /// The request.
        holder: RequestId,
        /// Its key.
        key: ClaimKey,
        /// Hash of the request.
        digest: u64,
        /// The request's deadline on the wall clock.
        until_unix_ms: u64,
        /// After this the claim is given up.
        abandon_at: Timestamp,
    },
    /// A granted request ended.
    Settle {
        /// The request.
        holder: RequestId,
        /// How.
        settlement: Settlement,
    },
    /// A call was answered.
    Reply {
        /// Which call.
        call: CallId,
        /// The reply.
        reply: Result<TableReply, TableError>,
    },
    /// Time has passed.
    Tick,
}

/// What the driver does.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimAction {
    /// Call the table service; answer with [`ClaimEvent::Reply`].
    Call(CallId, TableRequest),
    /// The request may be dispatched, after one more look at its deadline.
    Granted(RequestId),
    /// Another request holds the key.
    AlreadyClaimed(RequestId, ExistingClaim),
    /// No claim could be made; the request was not run and must not be.
    Abandoned(RequestId),
}

#[derive(Debug, Clone)]
struct Pending {
    holder: RequestId,
    key: ClaimKey,
    claim: Claim,
    abandon_at: Timestamp,
    tries: u32,
    /// Some commit of this claim has an unknown outcome.
    maybe_written: bool,
}

#[derive(Debug, Clone)]
struct Settling {
    key: ClaimKey,
    claim: Claim,
    /// `true` deletes the row instead of writing it.
    free: bool,
    tries: u32,
}

#[derive(Debug, Clone)]
enum Call {
    Claim(Vec<Pending>),
    ReadBack(Vec<Pending>),
    Settle(Vec<Settling>),
    ReadToFree(Vec<Settling>),
    Free(Vec<Settling>),
}

/// All claims of one instance.
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
    /// A batcher without claims.
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

    /// Takes an event. `now_unix_ms` is the wall clock, used only to word [`ExistingClaim`].
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
                let pending = Pending { holder, key, claim, abandon_at, tries: 0, maybe_written };
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

    /// When [`ClaimEvent::Tick`] is wanted next.
    pub fn next_wakeup(&self) -> Timestamp {
        let queued = self.waiting.iter().chain(&self.uncertain);
        let abandon_at = queued.map(|p| p.abandon_at).min().unwrap_or(Timestamp::NEVER);
        if self.has_work() && self.calls.len() < self.cfg.max_calls_in_flight {
            return abandon_at.min(self.pause_until);
        }
        abandon_at
    }

    /// Claims and settlements that are not yet over; a graceful shutdown waits for zero.
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
        let settling = Settling { key, claim, free, tries: 0 };
        let queue = if free { &mut self.freeing } else { &mut self.settling };
        queue.push_back(settling);
    }

    fn abandon_expired(&mut self, now: Timestamp, actions: &mut Vec<ClaimAction>) {
        let mut late = take_expired(&mut self.waiting, now);
        late.extend(take_expired(&mut self.uncertain, now));
        for pending in late {
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
        let most = self.cfg.max_batch_rows;
        if !self.uncertain.is_empty() {
            let batch = take(&mut self.uncertain, most);
            let keys = batch.iter().map(|p| p.key.row()).collect();
            return Some((Call::ReadBack(batch), TableRequest::Read { keys }));
        }
        if !self.waiting.is_empty() {
            let batch = self.take_distinct_keys(most);
            let request = self.claim_request(&batch);
            return Some((Call::Claim(batch), request));
        }
        if !self.settling.is_empty() {
            let batch = take(&mut self.settling, most);
            let writes = batch.iter().map(|s| self.put(&s.key, &s.claim)).collect();
            let request = TableRequest::Commit { conditions: Vec::new(), writes };
            return Some((Call::Settle(batch), request));
        }
        if !self.freeing.is_empty() {
            let batch = take(&mut self.freeing, most);
            let keys = batch.iter().map(|s| s.key.row()).collect();
            return Some((Call::ReadToFree(batch), TableRequest::Read { keys }));
        }
        None
    }

    /// The next claims, no key twice: of two with one key, the second waits for the next batch.
    fn take_distinct_keys(&mut self, most: usize) -> Vec<Pending> {
        let mut batch: Vec<Pending> = Vec::new();
        let mut rest = VecDeque::new();
        while let Some(pending) = self.waiting.pop_front() {
            let fits = batch.len() < most && batch.iter().all(|p| p.key != pending.key);
            if fits {
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
            writes: batch.iter().map(|p| self.put(&p.key, &p.claim)).collect(),
        }
    }

    fn put(&self, key: &ClaimKey, claim: &Claim) -> Write {
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
            self.pause_until = now + self.cfg.retry_delay;
        }
        match (call, reply) {
            (Call::Claim(batch), Ok(TableReply::Committed)) => {
                batch.into_iter().for_each(|p| self.grant(p, actions));
            }
            (Call::Claim(batch), Ok(TableReply::ConditionsFailed(rows))) => {
                for pending in batch {
                    match claim_in(&rows, &pending.key.row()) {
                        Some(held) => self.resolve(pending, &held, now_unix_ms, actions),
                        None => self.waiting.push_front(pending),
                    }
                }
            }
            (Call::Claim(batch) | Call::ReadBack(batch), Err(TableError::OutcomeUnknown)) => {
                self.retry_claims(batch, true, actions);
            }
            (Call::Claim(batch), _) => self.retry_claims(batch, false, actions),
            (Call::ReadBack(batch), Ok(TableReply::Rows(rows))) => {
                for pending in batch {
                    match claim_in(&rows, &pending.key.row()) {
                        Some(held) => self.resolve(pending, &held, now_unix_ms, actions),
                        // The lost commit may still land; the next one then finds this very claim.
                        None => self.waiting.push_front(pending),
                    }
                }
            }
            (Call::ReadBack(batch), _) => self.retry_claims(batch, true, actions),
            (Call::Settle(_) | Call::Free(_), Ok(TableReply::Committed)) => {}
            (Call::Settle(batch), _) => self.retry_settlements(batch),
            (Call::ReadToFree(batch), Ok(TableReply::Rows(rows))) => {
                self.free(batch, &rows, actions);
            }
            (Call::ReadToFree(batch) | Call::Free(batch), _) => self.retry_settlements(batch),
        }
    }

    fn grant(&mut self, pending: Pending, actions: &mut Vec<ClaimAction>) {
        self.granted.insert(pending.holder, (pending.key, pending.claim));
        actions.push(ClaimAction::Granted(pending.holder));
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
        let word = held.status_for(pending.claim.digest, now_unix_ms);
        actions.push(ClaimAction::AlreadyClaimed(pending.holder, word));
    }

    fn retry_claims(
        &mut self,
        batch: Vec<Pending>,
        uncertain: bool,
        actions: &mut Vec<ClaimAction>,
    ) {
        for mut pending in batch {
            pending.tries += 1;
            pending.maybe_written |= uncertain;
            if pending.tries >= self.cfg.max_claim_attempts {
                self.abandon(pending, actions);
            } else if uncertain {
                self.uncertain.push_back(pending);
            } else {
                self.waiting.push_back(pending);
            }
        }
    }

    /// Gives a claim up. One in doubt may lie in the table; it is taken away, so that the caller's
    /// next try is not told "in progress".
    fn abandon(&mut self, pending: Pending, actions: &mut Vec<ClaimAction>) {
        let Pending { holder, key, claim, maybe_written, .. } = pending;
        actions.push(ClaimAction::Abandoned(holder));
        if maybe_written {
            self.freeing.push_back(Settling { key, claim, free: true, tries: 0 });
        }
    }

    fn retry_settlements(&mut self, batch: Vec<Settling>) {
        for mut settling in batch {
            settling.tries += 1;
            if settling.tries >= self.cfg.max_settle_attempts {
                continue;
            }
            let queue = if settling.free { &mut self.freeing } else { &mut self.settling };
            queue.push_back(settling);
        }
    }

    fn free(&mut self, batch: Vec<Settling>, rows: &[Row], actions: &mut Vec<ClaimAction>) {
        let mut conditions = Vec::new();
        let mut writes = Vec::new();
        let mut ours = Vec::new();
        for settling in batch {
            let key = settling.key.row();
            let Some(row) = rows.iter().find(|row| row.key == key) else { continue };
            let held = serde_json::from_str::<Claim>(&row.value);
            if held.is_ok_and(|held| held.holder == settling.claim.holder) {
                conditions.push(Condition::VersionIs(key.clone(), row.version));
                writes.push(Write::Delete { key });
                ours.push(settling);
            }
        }
        if ours.is_empty() {
            return;
        }
        self.next_call += 1;
        let id = CallId(self.next_call);
        self.calls.insert(id, Call::Free(ours));
        actions.push(ClaimAction::Call(id, TableRequest::Commit { conditions, writes }));
    }
}

/// Takes the claims whose time is over out of a queue.
fn take_expired(queue: &mut VecDeque<Pending>, now: Timestamp) -> Vec<Pending> {
    let (late, rest): (Vec<Pending>, Vec<Pending>) =
        queue.drain(..).partition(|pending| pending.abandon_at <= now);
    *queue = rest.into();
    late
}

fn take<T>(queue: &mut VecDeque<T>, most: usize) -> Vec<T> {
    let n = queue.len().min(most);
    queue.drain(..n).collect()
}

fn claim_in(rows: &[Row], key: &RowKey) -> Option<Claim> {
    let row = rows.iter().find(|row| row.key == *key)?;
    serde_json::from_str(&row.value).ok()
}
