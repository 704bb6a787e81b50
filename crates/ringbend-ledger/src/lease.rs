//! One lease row with a rising fencing number.
//!
//! The holder counts its validity from before it sent the commit, on its own clock. A successor
//! takes over only after it has itself watched the row stay unchanged for the time to live plus
//! the margin. No clocks are compared. The margin covers the longest flight of an order, so that
//! endpoints which ignore fencing numbers are safe as well, up to a pause of the holder between
//! its last check and the send that is longer than the margin.

use std::time::Duration;

use ringbend_platform::{
    Condition, Row, RowKey, RowVersion, TableError, TableReply, TableRequest, Write,
};
use ringbend_types::{FencingToken, Incarnation, InstanceId, LeaseName, Timestamp};
use serde::{Deserialize, Serialize};

/// Times of a lease.
#[derive(Debug, Clone)]
pub struct LeaseConfig {
    /// How long one renewal lasts.
    pub ttl: Duration,
    /// How much longer a successor waits: the longest order's flight and the clocks' drift.
    pub margin: Duration,
    /// How often the row is read, or renewed by its holder.
    pub renew_interval: Duration,
    /// After how long without renewal the service may delete the row; `None` keeps it, so that
    /// fencing numbers rise for ever.
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
    /// Who holds it.
    pub holder: InstanceId,
    /// Which start of the holder.
    pub incarnation: Incarnation,
    /// Rises with each new holder.
    pub fencing: FencingToken,
    /// Rises with each renewal.
    pub renewal: u64,
}

/// What happens to a lease.
#[derive(Debug, Clone, PartialEq)]
pub enum LeaseEvent {
    /// Time has passed.
    Tick,
    /// The call under way was answered.
    Reply(Result<TableReply, TableError>),
    /// Stop renewing, for a graceful shutdown. The row stays, so that fencing numbers keep rising.
    Leave,
}

/// What the driver does.
#[derive(Debug, Clone, PartialEq)]
pub enum LeaseAction {
    /// Call the table service; answer with [`LeaseEvent::Reply`].
    Call(TableRequest),
}

#[derive(Debug, Clone, PartialEq)]
enum Phase {
    Idle { until: Timestamp },
    Reading,
    Writing { sent: Timestamp, row: LeaseRow },
}

/// One instance's side of one lease.
#[derive(Debug, Clone)]
pub struct Lease {
    cfg: LeaseConfig,
    key: RowKey,
    holder: InstanceId,
    incarnation: Incarnation,
    phase: Phase,
    held: Option<(FencingToken, Timestamp)>,
    unproved: Option<(LeaseRow, Timestamp)>,
    watched: Option<(RowVersion, Timestamp)>,
    leaving: bool,
}

impl Lease {
    /// A lease that this instance does not hold yet.
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
            unproved: None,
            watched: None,
            leaving: false,
        }
    }

    /// The fencing number, when the lease is sure to last `flight` longer.
    pub fn fencing(&self, now: Timestamp, flight: Duration) -> Option<FencingToken> {
        let (fencing, valid_until) = self.held?;
        (now + flight < valid_until).then_some(fencing)
    }

    /// When [`LeaseEvent::Tick`] is wanted next.
    pub fn next_wakeup(&self) -> Timestamp {
        match self.phase {
            Phase::Idle { until } => until,
            _ => Timestamp::NEVER,
        }
    }

    /// Takes an event.
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
                self.unproved = Some((row, sent));
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
            self.prove(&current);
            let renewed = self.row(current.fencing, current.renewal + 1);
            return self.write(now, unchanged, renewed);
        }
        self.held = None;
        let wait = self.cfg.ttl + self.cfg.margin;
        match self.watched {
            Some((version, since)) if version == row.version => {
                if now.since(since) < wait {
                    return None;
                }
                let next = self.row(current.fencing.next(), 0);
                self.write(now, unchanged, next)
            }
            _ => {
                self.watched = Some((row.version, now));
                None
            }
        }
    }

    /// A commit whose answer was lost did take effect: it holds from when it was sent.
    fn prove(&mut self, current: &LeaseRow) {
        if let Some((row, sent)) = self.unproved.take()
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
