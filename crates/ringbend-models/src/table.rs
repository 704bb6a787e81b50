//! Model of the transactional table service, with rate limits and injected faults.

use std::collections::BTreeMap;

use ringbend_platform::{
    Condition, Row, RowKey, RowVersion, TableError, TableReply, TableRequest, Write,
};
use ringbend_types::Timestamp;
use serde::{Deserialize, Serialize};

/// Rate limits of the service, in calls per second; calls above them are refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRates {
    /// Commits per second.
    pub writes_per_s: u32,
    /// Reads and scans per second.
    pub reads_per_s: u32,
}

impl Default for TableRates {
    fn default() -> Self {
        Self { writes_per_s: 400, reads_per_s: 2_000 }
    }
}

/// Maximum size of the reply to a scan, whatever limit the request has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TablePage {
    /// Maximum number of rows.
    pub max_rows: usize,
    /// Maximum size of the keys and values, in bytes. The first row is returned whatever its size.
    pub max_bytes: usize,
}

impl Default for TablePage {
    fn default() -> Self {
        Self { max_rows: 500, max_bytes: 1_000_000 }
    }
}

/// Faults that tests inject.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TableFaults {
    /// Refuses every call.
    pub outage: bool,
    /// Number of upcoming commits that take effect but whose answers are lost.
    pub lose_answers: u32,
    /// Number of upcoming commits that are lost before they take effect.
    pub lose_commits: u32,
    /// Delay of each answer; the caller of the model applies it.
    pub delay_ms: u64,
}

#[derive(Debug, Clone, Copy, Default)]
struct RateWindow {
    second: u64,
    writes: u32,
    reads: u32,
}

/// State of one table.
#[derive(Debug, Clone, Default)]
pub struct TableModel {
    rows: BTreeMap<RowKey, Row>,
    last_version: u64,
    rates: TableRates,
    page: TablePage,
    window: RateWindow,
    /// Active faults.
    pub faults: TableFaults,
    commits: u64,
    reads: u64,
}

impl TableModel {
    /// Creates an empty table with the given rate limits.
    pub fn new(rates: TableRates) -> Self {
        Self { rates, ..Self::default() }
    }

    /// Sets the maximum size of the reply to a scan.
    pub fn set_page(&mut self, page: TablePage) {
        self.page = page;
    }

    /// Executes one call.
    pub fn call(
        &mut self,
        now: Timestamp,
        request: &TableRequest,
    ) -> Result<TableReply, TableError> {
        if self.faults.outage || !self.within_rate(now, request.is_write()) {
            return Err(TableError::NotApplied);
        }
        match request {
            TableRequest::Read { keys } => {
                self.reads += 1;
                let rows = keys.iter().filter_map(|key| self.rows.get(key).cloned());
                Ok(TableReply::Rows(rows.collect()))
            }
            TableRequest::Scan { prefix, after, limit, paged } => {
                self.reads += 1;
                let (rows, has_more) = self.scan(prefix, after.as_ref(), *limit);
                Ok(if *paged {
                    TableReply::Page { rows, has_more }
                } else {
                    TableReply::Rows(rows)
                })
            }
            TableRequest::Commit { conditions, writes } => self.commit(conditions, writes),
        }
    }

    /// Number of commits that took effect.
    pub fn commits(&self) -> u64 {
        self.commits
    }

    /// Number of reads and scans answered.
    pub fn reads(&self) -> u64 {
        self.reads
    }

    fn within_rate(&mut self, now: Timestamp, write: bool) -> bool {
        let second = now.0 / 1_000_000;
        if self.window.second != second {
            self.window = RateWindow { second, writes: 0, reads: 0 };
        }
        let (used, max) = if write {
            (&mut self.window.writes, self.rates.writes_per_s)
        } else {
            (&mut self.window.reads, self.rates.reads_per_s)
        };
        *used += 1;
        *used <= max
    }

    /// Returns a page of rows and whether there are further ones.
    fn scan(&self, prefix: &str, after: Option<&RowKey>, limit: usize) -> (Vec<Row>, bool) {
        let start = after.cloned().unwrap_or_else(|| RowKey::new(prefix));
        let found = self
            .rows
            .range(start..)
            .filter(|(key, _)| Some(*key) != after)
            .take_while(|(key, _)| key.as_str().starts_with(prefix));
        let max_rows = limit.min(self.page.max_rows);
        let (mut page, mut bytes) = (Vec::new(), 0);
        for (key, row) in found {
            bytes += key.as_str().len() + row.value.len();
            let fits = page.is_empty() || bytes <= self.page.max_bytes;
            if page.len() >= max_rows || !fits {
                return (page, true);
            }
            page.push(row.clone());
        }
        (page, false)
    }

    fn commit(
        &mut self,
        conditions: &[Condition],
        writes: &[Write],
    ) -> Result<TableReply, TableError> {
        if self.faults.lose_commits > 0 {
            self.faults.lose_commits -= 1;
            return Err(TableError::OutcomeUnknown);
        }
        let failed: Vec<&Condition> =
            conditions.iter().filter(|c| !self.condition_holds(c)).collect();
        if !failed.is_empty() {
            let current = failed.iter().filter_map(|c| self.rows.get(c.key()).cloned());
            return Ok(TableReply::ConditionsFailed(current.collect()));
        }
        for write in writes {
            self.write(write);
        }
        self.commits += 1;
        if self.faults.lose_answers > 0 {
            self.faults.lose_answers -= 1;
            return Err(TableError::OutcomeUnknown);
        }
        Ok(TableReply::Committed)
    }

    fn condition_holds(&self, condition: &Condition) -> bool {
        match condition {
            Condition::Absent(key) => !self.rows.contains_key(key),
            Condition::VersionIs(key, version) => {
                self.rows.get(key).is_some_and(|row| row.version == *version)
            }
        }
    }

    fn write(&mut self, write: &Write) {
        self.last_version += 1;
        match write {
            Write::Put { key, value, .. } => {
                let version = RowVersion(self.last_version);
                let row = Row { key: key.clone(), version, value: value.clone() };
                self.rows.insert(key.clone(), row);
            }
            Write::Delete { key } => {
                self.rows.remove(key);
            }
        }
    }
}
