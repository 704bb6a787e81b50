//! The waiting requests by class, client account and slack.

use std::collections::{BTreeMap, BTreeSet};

use ringbend_types::{ClientAccountId, Timestamp};

use super::requests::WaitingRequest;
use crate::account_shares::AccountShares;
use crate::load::WorkId;

/// The client account of a request; `None` on a public route.
pub(super) type Account = Option<ClientAccountId>;

/// Where a request is in the queue.
#[derive(Debug, Clone)]
pub(super) struct Position {
    /// Its class: its priority, less what it gained by waiting.
    pub(super) rank: u8,
    account: Account,
    /// The latest start that is on time. Its order is that of slack, as time passes for all alike.
    start_by: Timestamp,
    id: WorkId,
    is_late: bool,
}

impl Position {
    pub(super) fn new(request: &WaitingRequest, is_late: bool) -> Self {
        Self {
            rank: request.priority,
            account: request.account.clone(),
            start_by: request.start_by(),
            id: request.id,
            is_late,
        }
    }

    /// Moves it to the next more urgent class.
    pub(super) fn raise(&mut self) {
        self.rank = self.rank.saturating_sub(1);
    }

    /// Moves it behind all that can be on time.
    pub(super) fn make_late(&mut self) {
        self.is_late = true;
    }
}

/// The waiting requests of one account in one class, by slack.
#[derive(Default)]
struct Slots {
    on_time: BTreeSet<(Timestamp, WorkId)>,
    late: BTreeSet<(Timestamp, WorkId)>,
}

impl Slots {
    fn of(&self, is_late: bool) -> &BTreeSet<(Timestamp, WorkId)> {
        if is_late { &self.late } else { &self.on_time }
    }

    fn of_mut(&mut self, is_late: bool) -> &mut BTreeSet<(Timestamp, WorkId)> {
        if is_late { &mut self.late } else { &mut self.on_time }
    }

    fn is_empty(&self) -> bool {
        self.on_time.is_empty() && self.late.is_empty()
    }
}

/// All waiting requests, by class.
#[derive(Default)]
pub(super) struct Classes {
    ranks: BTreeMap<u8, BTreeMap<Account, Slots>>,
}

impl Classes {
    pub(super) fn insert(&mut self, position: &Position) {
        let accounts = self.ranks.entry(position.rank).or_default();
        let slots = accounts.entry(position.account.clone()).or_default();
        slots.of_mut(position.is_late).insert((position.start_by, position.id));
    }

    pub(super) fn remove(&mut self, position: &Position) {
        let Some(accounts) = self.ranks.get_mut(&position.rank) else { return };
        let Some(slots) = accounts.get_mut(&position.account) else { return };
        slots.of_mut(position.is_late).remove(&(position.start_by, position.id));
        if slots.is_empty() {
            accounts.remove(&position.account);
        }
        if accounts.is_empty() {
            self.ranks.remove(&position.rank);
        }
    }

    pub(super) fn reposition(&mut self, position: &mut Position, change: impl Fn(&mut Position)) {
        self.remove(position);
        change(position);
        self.insert(position);
    }

    /// The classes with waiting requests, the most urgent first.
    pub(super) fn ranks(&self) -> impl Iterator<Item = u8> + '_ {
        self.ranks.keys().copied()
    }

    /// Whether a class has requests that are late, or that can be on time.
    pub(super) fn has(&self, rank: u8, is_late: bool) -> bool {
        self.slots(rank).any(|slots| !slots.of(is_late).is_empty())
    }

    /// The most urgent class that has requests which are late, or which can be on time.
    pub(super) fn first_rank(&self, is_late: bool) -> Option<u8> {
        self.ranks().find(|rank| self.has(*rank, is_late))
    }

    /// The request with the least slack of the account with the least use.
    pub(super) fn first(
        &self,
        now: Timestamp,
        rank: u8,
        is_late: bool,
        shares: &AccountShares,
    ) -> Option<WorkId> {
        let accounts = self.ranks.get(&rank)?;
        let with_requests = accounts.iter().filter(|(_, slots)| !slots.of(is_late).is_empty());
        let account = shares.least_used(now, with_requests.map(|(account, _)| account.as_ref()))?;
        accounts.get(&account.cloned())?.of(is_late).first().map(|(_, id)| *id)
    }

    /// The number of requests that can be on time.
    pub(super) fn on_time(&self) -> usize {
        self.ranks().map(|rank| self.on_time_in(rank)).sum()
    }

    /// The number of requests of more urgent classes that can be on time.
    pub(super) fn on_time_before(&self, rank: u8) -> usize {
        self.ranks().take_while(|other| *other < rank).map(|other| self.on_time_in(other)).sum()
    }

    /// The number of requests of a class that can be on time.
    pub(super) fn on_time_in(&self, rank: u8) -> usize {
        self.slots(rank).map(|slots| slots.on_time.len()).sum()
    }

    /// The number of requests of the class that start before another one of this account, if all
    /// accounts of the class have equal turns.
    pub(super) fn fair_ahead(&self, rank: u8, account: &Account, is_late: bool) -> usize {
        let Some(accounts) = self.ranks.get(&rank) else { return 0 };
        let own = accounts.get(account).map_or(0, |slots| slots.of(is_late).len());
        accounts.values().map(|slots| slots.of(is_late).len().min(own + 1)).sum()
    }

    fn slots(&self, rank: u8) -> impl Iterator<Item = &Slots> {
        self.ranks.get(&rank).into_iter().flat_map(BTreeMap::values)
    }
}
