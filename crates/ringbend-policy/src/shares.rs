//! Distribution of client account limits among instances without a shared counter.
//!
//! Each account has an owner, the live instance with the highest rendezvous weight. Instances
//! report their demand to the owner and are granted a share of the rate for the length of a lease.
//! The shares that an owner has granted never sum to more than one, so a shift in demand cannot
//! exceed the limit. A new owner grants at most equal shares for one lease, until shares granted by
//! its predecessor have expired. An instance that cannot reach the owner falls back to an equal
//! share.

use std::collections::BTreeMap;
use std::time::Duration;

use ringbend_types::{ClientAccountId, InstanceId, Timestamp};

use crate::choice::rendezvous_weight;

/// Intervals and limits of the share protocol.
#[derive(Debug, Clone)]
pub struct ShareConfig {
    /// How often demand is reported, up to [`ShareConfig::base_instances`] instances. With more
    /// instances the interval grows in proportion, so that what an instance sends does not grow
    /// with their number.
    pub report_interval: Duration,
    /// How long a share is valid; grows with the report interval.
    pub lease: Duration,
    /// Number of instances up to which intervals are not scaled.
    pub base_instances: usize,
    /// The fraction of the rate that owners grant; the rest covers instances without a share.
    pub leased_fraction: f64,
    /// Half-life of the demand estimate.
    pub half_life: Duration,
}

impl Default for ShareConfig {
    fn default() -> Self {
        Self {
            report_interval: Duration::from_millis(250),
            lease: Duration::from_millis(2000),
            base_instances: 10,
            leased_fraction: 0.98,
            half_life: Duration::from_millis(500),
        }
    }
}

/// One instance's demand, reported to the owner of the accounts.
#[derive(Debug, Clone, PartialEq)]
pub struct GrantRequest {
    /// The reporting instance.
    pub from: InstanceId,
    /// Demand in tokens per second, by account.
    pub demand: Vec<(ClientAccountId, f64)>,
}

/// Shares granted by an owner.
#[derive(Debug, Clone, PartialEq)]
pub struct GrantReply {
    /// Fractions of the rate, by account.
    pub shares: Vec<(ClientAccountId, f64)>,
}

/// An input to [`LimitShares`].
#[derive(Debug, Clone, PartialEq)]
pub enum ShareEvent {
    /// A wakeup that was requested through [`LimitShares::next_wakeup`].
    Tick,
    /// The live instances changed.
    Peers {
        /// The instances that are alive and reachable, this one included.
        live: Vec<InstanceId>,
        /// How many instances there should be. While fewer are visible, the others may be
        /// partitioned and keep serving with an owner of their own, so only the visible instances'
        /// fraction of the rate is granted.
        expected: usize,
    },
    /// A request of this cost arrived here, whether or not it was admitted.
    Demand(ClientAccountId, f64),
    /// Another instance reports its demand.
    Request(GrantRequest),
    /// An owner replied.
    Reply(GrantReply),
}

/// A command to the driver.
#[derive(Debug, Clone, PartialEq)]
pub enum ShareAction {
    /// Report demand to an owner.
    SendRequest(InstanceId, GrantRequest),
    /// Reply to an instance.
    SendReply(InstanceId, GrantReply),
    /// This instance's share of an account changed.
    SetShare(ClientAccountId, f64),
}

#[derive(Debug, Clone)]
struct Demand {
    rate: f64,
    at: Timestamp,
}

#[derive(Debug, Clone)]
struct Grant {
    share: f64,
    demand: f64,
    expires_at: Timestamp,
}

#[derive(Debug, Clone)]
struct OwnedAccount {
    owned_since: Timestamp,
    grants: BTreeMap<InstanceId, Grant>,
}

/// One instance's side of the share protocol, both as a requester and as an owner.
#[derive(Debug, Clone)]
pub struct LimitShares {
    cfg: ShareConfig,
    own: InstanceId,
    peers: Vec<InstanceId>,
    peers_changed_at: Timestamp,
    expected: usize,
    last_request_at: Timestamp,
    demand: BTreeMap<ClientAccountId, Demand>,
    shares: BTreeMap<ClientAccountId, (f64, Timestamp)>,
    owned: BTreeMap<ClientAccountId, OwnedAccount>,
    next_report: Timestamp,
}

impl LimitShares {
    /// Creates the state of instance `own`, which is alone until it learns of peers.
    pub fn new(cfg: ShareConfig, own: InstanceId) -> Self {
        Self {
            cfg,
            peers: vec![own.clone()],
            own,
            peers_changed_at: Timestamp::default(),
            expected: 1,
            last_request_at: Timestamp::default(),
            demand: BTreeMap::new(),
            shares: BTreeMap::new(),
            owned: BTreeMap::new(),
            next_report: Timestamp::default(),
        }
    }

    /// Returns when the next [`ShareEvent::Tick`] is needed.
    pub fn next_wakeup(&self) -> Timestamp {
        if self.demand.is_empty() { Timestamp::NEVER } else { self.next_report }
    }

    /// Handles an event and returns the resulting actions.
    pub fn handle(&mut self, now: Timestamp, event: ShareEvent) -> Vec<ShareAction> {
        match event {
            ShareEvent::Tick => self.tick(now),
            ShareEvent::Peers { live, expected } => {
                self.expected = expected.max(live.len());
                if live != self.peers {
                    self.peers = live;
                    self.peers_changed_at = now;
                }
                Vec::new()
            }
            ShareEvent::Demand(account, cost) => self.record_demand(now, account, cost),
            ShareEvent::Request(request) => self.handle_request(now, request),
            ShareEvent::Reply(reply) => self.apply_reply(reply),
        }
    }

    /// The factor by which intervals grow with the number of instances.
    fn interval_scale(&self) -> f64 {
        (self.expected as f64 / self.cfg.base_instances as f64).max(1.0)
    }

    fn half_life_s(&self) -> f64 {
        self.cfg.half_life.as_secs_f64() * self.interval_scale()
    }

    fn report_interval(&self) -> Duration {
        self.cfg.report_interval.mul_f64(self.interval_scale())
    }

    fn lease(&self) -> Duration {
        self.cfg.lease.mul_f64(self.interval_scale())
    }

    /// Returns the owner of an account among the known peers.
    pub fn owner(&self, account: &ClientAccountId) -> &InstanceId {
        let key = rendezvous_weight(account.as_str(), 0);
        self.peers.iter().max_by_key(|p| rendezvous_weight(p.as_str(), key)).unwrap_or(&self.own)
    }

    fn record_demand(
        &mut self,
        now: Timestamp,
        account: ClientAccountId,
        cost: f64,
    ) -> Vec<ShareAction> {
        let half_life = self.half_life_s();
        let first_seen = !self.demand.contains_key(&account);
        let demand = self.demand.entry(account.clone()).or_insert(Demand { rate: 0.0, at: now });
        demand.rate = decayed(demand, now, half_life) + cost * std::f64::consts::LN_2 / half_life;
        demand.at = now;
        if first_seen { self.request_shares(now, vec![account]) } else { Vec::new() }
    }

    fn tick(&mut self, now: Timestamp) -> Vec<ShareAction> {
        if now < self.next_report {
            return Vec::new();
        }
        self.next_report = now + self.report_interval();
        let half_life = self.half_life_s();
        self.demand.retain(|_, d| decayed(d, now, half_life) >= 1.0);
        let accounts = self.demand.keys().cloned().collect();
        let mut actions = self.request_shares(now, accounts);
        actions.extend(self.replace_expired(now));
        actions
    }

    /// Replaces expired shares by an equal share, because their owner cannot be reached. Without
    /// demand the entry is removed as well.
    fn replace_expired(&mut self, now: Timestamp) -> Vec<ShareAction> {
        let expired: Vec<ClientAccountId> = self
            .shares
            .iter()
            .filter(|(_, (_, expires_at))| *expires_at <= now)
            .map(|(account, _)| account.clone())
            .collect();
        let equal = self.equal_share();
        let mut actions = Vec::new();
        for account in expired {
            if self.demand.contains_key(&account) {
                actions.push(ShareAction::SetShare(account, equal));
            } else {
                self.shares.remove(&account);
                actions.push(ShareAction::SetShare(account, equal));
            }
        }
        actions
    }

    /// Returns the share of an instance that has not been granted one.
    pub fn equal_share(&self) -> f64 {
        1.0 / self.expected.max(1) as f64
    }

    /// Returns the fraction of the rate that the owners on this side of a partition grant in total.
    fn grantable(&self) -> f64 {
        if self.expected <= 1 {
            return 1.0;
        }
        self.cfg.leased_fraction * self.peers.len() as f64 / self.expected as f64
    }

    fn request_shares(
        &mut self,
        now: Timestamp,
        accounts: Vec<ClientAccountId>,
    ) -> Vec<ShareAction> {
        self.last_request_at = now;
        let half_life = self.half_life_s();
        let mut by_owner: BTreeMap<InstanceId, Vec<(ClientAccountId, f64)>> = BTreeMap::new();
        for account in accounts {
            let rate = self.demand.get(&account).map_or(0.0, |d| decayed(d, now, half_life));
            by_owner.entry(self.owner(&account).clone()).or_default().push((account, rate));
        }
        let mut actions = Vec::new();
        for (owner, demand) in by_owner {
            let request = GrantRequest { from: self.own.clone(), demand };
            if owner != self.own {
                actions.push(ShareAction::SendRequest(owner, request));
                continue;
            }
            for action in self.handle_request(now, request) {
                if let ShareAction::SendReply(_, reply) = action {
                    actions.extend(self.apply_reply(reply));
                }
            }
        }
        actions
    }

    fn handle_request(&mut self, now: Timestamp, request: GrantRequest) -> Vec<ShareAction> {
        let mut shares = Vec::new();
        for (account, demand) in request.demand {
            let share = self.grant(now, &account, &request.from, demand);
            shares.push((account, share));
        }
        vec![ShareAction::SendReply(request.from, GrantReply { shares })]
    }

    fn grant(
        &mut self,
        now: Timestamp,
        account: &ClientAccountId,
        to: &InstanceId,
        demand: f64,
    ) -> f64 {
        let total = self.grantable();
        let equal = total / self.peers.len().max(1) as f64;
        let lease = self.lease();
        let owned = self
            .owned
            .entry(account.clone())
            .or_insert_with(|| OwnedAccount { owned_since: now, grants: BTreeMap::new() });
        owned.grants.retain(|_, g| g.expires_at > now);
        let granted_to_others: f64 =
            owned.grants.iter().filter(|(i, _)| *i != to).map(|(_, g)| g.share).sum();
        let demand_of_others: f64 =
            owned.grants.iter().filter(|(i, _)| *i != to).map(|(_, g)| g.demand).sum();
        let fair = total * demand / (demand + demand_of_others).max(1e-9);
        let since = owned.owned_since.max(self.peers_changed_at);
        let within_first_lease = self.peers.len() > 1 && now.since(since) < lease;
        let max_share = if within_first_lease { equal } else { total };
        let share = fair.min(max_share).min((total - granted_to_others).max(0.0));
        let expires_at = now + lease;
        owned.grants.insert(to.clone(), Grant { share, demand, expires_at });
        share
    }

    /// Applies granted shares. They are valid from the time of the request, so that they expire
    /// here before they expire at the owner.
    fn apply_reply(&mut self, reply: GrantReply) -> Vec<ShareAction> {
        let expires_at = self.last_request_at + self.lease();
        let mut actions = Vec::new();
        for (account, share) in reply.shares {
            self.shares.insert(account.clone(), (share, expires_at));
            actions.push(ShareAction::SetShare(account, share));
        }
        actions
    }
}

fn decayed(demand: &Demand, now: Timestamp, half_life_s: f64) -> f64 {
    demand.rate * 0.5_f64.powf(now.since(demand.at).as_secs_f64() / half_life_s)
}
