//! Leases with fencing tokens, each in one row of the table service.
//!
//! The holder measures the validity of its lease on its own clock, from before it sent the commit. A
//! successor takes over only after it has itself observed the row to stay unchanged for the time to live
//! plus the margin. Clocks of different instances are never compared. The margin covers the longest flight
//! time of an order, so that endpoints which ignore fencing tokens are safe as well, unless the holder is
//! paused for longer than the margin between its last check and the send.

use std::time::Duration;

use ringbend_platform::{
    Condition, Row, RowKey, RowVersion, TableError, TableReply, TableRequest, Write,
};
use ringbend_types::{FencingToken, Incarnation, InstanceId, LeaseName, Timestamp};
use serde::{Deserialize, Serialize};

/// Durations of a lease.
#[derive(Debug, Clone)]
pub struct LeaseConfig {
    /// How long a renewal is valid.
    pub ttl: Duration,
    /// Additional time that a successor waits, to cover the longest flight time of an order and clock drift.
    pub margin: Duration,
    /// Interval at which the row is read, or renewed by its holder.
    pub renew_interval: Duration,
    /// Time without renewal after which the service may delete the row. `None` keeps the row, so that fencing
    /// tokens never decrease.
    pub row_ttl: Option<Duration>,
}

impl Default for LeaseConfig {
    fn default() -> Self {
        Self {
            ttl: Duration::from_secs(10),
            margin: Duration::from_secs(5),
            renew_interval: Duration::from_secs(3),
            row_ttl: None,
        }
    }
}

/// The value of a lease row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// The holder of the lease.
    pub holder: InstanceId,
    /// The incarnation of the holder.
    pub incarnation: Incarnation,
    /// The fencing token, which increases with each new holder.
    pub fencing: FencingToken,
    /// The renewal counter, which increases with each renewal.
    pub renewal: u64,
}

/// An input of a lease.
#[derive(Debug, Clone, PartialEq)]
pub enum LeaseEvent {
    /// Time has passed.
    Tick,
    /// The reply to the pending call arrived.
    Reply(Result<TableReply, TableError>),
    /// Stop renewing, for a graceful shutdown. The row is kept, so that fencing tokens keep increasing.
    Leave,
}

/// An action to be performed by the caller.
#[derive(Debug, Clone, PartialEq)]
pub enum LeaseAction {
    /// Call the table service and pass the reply back as [`LeaseEvent::Reply`].
    Call(TableRequest),
}

#[derive(Debug, Clone, PartialEq)]
enum Phase {
    Idle { until: Timestamp },
    Reading,
    Writing { sent: Timestamp, row: LeaseRow },
}

/// One lease from the view of one instance.
#[derive(Debug, Clone)]
pub struct Lease {
    cfg: LeaseConfig,
    key: RowKey,
    holder: InstanceId,
    incarnation: Incarnation,
    phase: Phase,
    held: Option<(FencingToken, Timestamp)>,
    unconfirmed: Option<(LeaseRow, Timestamp)>,
    observed: Option<(RowVersion, Timestamp)>,
    leaving: bool,
}

impl Lease {
    /// Creates a lease that this instance does not hold yet.
    pub fn new(
        cfg: LeaseConfig,
        name: &LeaseName,
        holder: InstanceId,
        incarnation: Incarnation,
    ) -> Self {
        Self {
            cfg,
            key: RowKey::new(format!("lease/{name}")),
            holder,
            incarnation,
            phase: Phase::Idle { until: Timestamp::default() },
            held: None,
            unconfirmed: None,
            observed: None,
            leaving: false,
        }
    }

    /// The fencing token, if the lease is certain to be valid for another `flight`.
    pub fn fencing(&self, now: Timestamp, flight: Duration) -> Option<FencingToken> {
        let (fencing, valid_until) = self.held?;
        (now + flight < valid_until).then_some(fencing)
    }

    /// When the next [`LeaseEvent::Tick`] is due.
    pub fn next_wakeup(&self) -> Timestamp {
        match self.phase {
            Phase::Idle { until } => until,
            _ => Timestamp::NEVER,
        }
    }

    /// Handles an event.
    pub fn handle(&mut self, now: Timestamp, event: LeaseEvent) -> Option<LeaseAction> {
        match event {
            LeaseEvent::Tick => self.tick(now),
            LeaseEvent::Reply(reply) => self.on_reply(now, reply),
            LeaseEvent::Leave => {
                self.leaving = true;
                self.held = None;
                None
            }
        }
    }

    fn tick(&mut self, now: Timestamp) -> Option<LeaseAction> {
        let Phase::Idle { until } = self.phase else { return None };
        if now < until || self.leaving {
            return None;
        }
        self.phase = Phase::Reading;
        Some(self.read())
    }

    fn read(&self) -> LeaseAction {
        LeaseAction::Call(TableRequest::Read { keys: vec![self.key.clone()] })
    }

    fn on_reply(
        &mut self,
        now: Timestamp,
        reply: Result<TableReply, TableError>,
    ) -> Option<LeaseAction> {
        let idle = self.idle(now);
        let phase = std::mem::replace(&mut self.phase, idle);
        match (phase, reply) {
            (Phase::Reading, Ok(TableReply::Rows(rows))) => self.on_row(now, rows.first()),
            (Phase::Writing { sent, row }, Ok(TableReply::Committed)) => {
                self.held = Some((row.fencing, sent + self.cfg.ttl));
                None
            }
            (Phase::Writing { sent, row }, Err(TableError::OutcomeUnknown)) => {
                self.unconfirmed = Some((row, sent));
                None
            }
            _ => None,
        }
    }

    fn idle(&self, now: Timestamp) -> Phase {
        Phase::Idle { until: now + self.cfg.renew_interval }
    }

    fn on_row(&mut self, now: Timestamp, row: Option<&Row>) -> Option<LeaseAction> {
        let Some(row) = row else {
            let first = self.row(FencingToken(1), 0);
            return self.write(now, Condition::Absent(self.key.clone()), first);
        };
        let Ok(current) = serde_json::from_str::<LeaseRow>(&row.value) else { return None };
        let unchanged = Condition::VersionIs(self.key.clone(), row.version);
        if current.holder == self.holder && current.incarnation == self.incarnation {
            self.confirm_write(&current);
            let renewed = self.row(current.fencing, current.renewal + 1);
            return self.write(now, unchanged, renewed);
        }
        self.held = None;
        let wait = self.cfg.ttl + self.cfg.margin;
        match self.observed {
            Some((version, since)) if version == row.version => {
                if now.since(since) < wait {
                    return None;
                }
                let next = self.row(current.fencing.next(), 0);
                self.write(now, unchanged, next)
            }
            _ => {
                self.observed = Some((row.version, now));
                None
            }
        }
    }

    /// Confirms a commit whose reply was lost, if it took effect. The lease then counts from when the commit
    /// was sent.
    fn confirm_write(&mut self, current: &LeaseRow) {
        if let Some((row, sent)) = self.unconfirmed.take()
            && row == *current
        {
            self.held = Some((row.fencing, sent + self.cfg.ttl));
        }
    }

    fn row(&self, fencing: FencingToken, renewal: u64) -> LeaseRow {
        LeaseRow { holder: self.holder.clone(), incarnation: self.incarnation, fencing, renewal }
    }

    fn write(
        &mut self,
        now: Timestamp,
        condition: Condition,
        row: LeaseRow,
    ) -> Option<LeaseAction> {
        let value = serde_json::to_string(&row).unwrap_or_default().into();
        let put = Write::Put { key: self.key.clone(), value, ttl_s: None };
        self.phase = Phase::Writing { sent: now, row };
        Some(LeaseAction::Call(TableRequest::Commit {
            conditions: vec![condition],
            writes: vec![put],
        }))
    }
}
