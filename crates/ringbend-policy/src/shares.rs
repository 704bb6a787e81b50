//! How the limits of a client account are shared out between instances without a counter.
//!
//! Each account has an owner, the live instance with the highest rendezvous weight. Instances
//! tell the owner their demand and get a share of the rate for the time of a lease. The shares
//! that an owner has out never sum to more than one, so moving demand cannot overshoot; an owner
//! that is new waits out one lease, giving equal shares, before it trusts its books. An instance
//! that reaches no owner falls back to an equal share.

use std::collections::BTreeMap;
use std::time::Duration;

use ringbend_types::{ClientAccountId, InstanceId, Timestamp};

use crate::choice::rendezvous_weight;

/// Times and sizes of the sharing.
#[derive(Debug, Clone)]
pub struct ShareConfig {
    /// How often demand is told, among up to [`ShareConfig::base_instances`] instances; among more, less
    /// often in proportion, so that what an instance sends does not grow with their number.
    pub report_interval: Duration,
    /// How long a share lasts; grows with the time between tellings.
    pub lease: Duration,
    /// Up to this many instances are few.
    pub base_instances: usize,
    /// The part of the rate that owners give out; the rest covers instances without a share.
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

/// Demand of one instance, told to an owner.
#[derive(Debug, Clone, PartialEq)]
pub struct GrantRequest {
    /// Who asks.
    pub from: InstanceId,
    /// Tokens a second wanted, by account.
    pub demand: Vec<(ClientAccountId, f64)>,
}

/// Shares given by an owner.
#[derive(Debug, Clone, PartialEq)]
pub struct GrantReply {
    /// Parts of one, by account.
    pub shares: Vec<(ClientAccountId, f64)>,
}

/// What happens to the sharing.
#[derive(Debug, Clone, PartialEq)]
pub enum ShareEvent {
    /// Time has passed.
    Tick,
    /// The instances that take part.
    Peers {
        /// Those that live and can be reached, this one included.
        live: Vec<InstanceId>,
        /// How many there should be. While fewer are seen, the others may be cut off and serve on
        /// with an owner of their own, so only the seen ones' part of the rate is given out.
        expected: usize,
    },
    /// A request of this cost arrived here, taken in or not.
    Demand(ClientAccountId, f64),
    /// Another instance tells its demand.
    Request(GrantRequest),
    /// An owner answered.
    Reply(GrantReply),
}

/// What the driver does.
#[derive(Debug, Clone, PartialEq)]
pub enum ShareAction {
    /// Tell demand to an owner.
    SendRequest(InstanceId, GrantRequest),
    /// Answer an instance.
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
struct Given {
    share: f64,
    demand: f64,
    until: Timestamp,
}

#[derive(Debug, Clone)]
struct Owned {
    since: Timestamp,
    given: BTreeMap<InstanceId, Given>,
}

/// One instance's part in sharing, as asker and as owner.
#[derive(Debug, Clone)]
pub struct LimitShares {
    cfg: ShareConfig,
    own: InstanceId,
    peers: Vec<InstanceId>,
    peers_since: Timestamp,
    expected: usize,
    asked: Timestamp,
    demand: BTreeMap<ClientAccountId, Demand>,
    shares: BTreeMap<ClientAccountId, (f64, Timestamp)>,
    owned: BTreeMap<ClientAccountId, Owned>,
    next: Timestamp,
}

impl LimitShares {
    /// The part of `own`, alone until told of peers.
    pub fn new(cfg: ShareConfig, own: InstanceId) -> Self {
        Self {
            cfg,
            peers: vec![own.clone()],
            own,
            peers_since: Timestamp::default(),
            expected: 1,
            asked: Timestamp::default(),
            demand: BTreeMap::new(),
            shares: BTreeMap::new(),
            owned: BTreeMap::new(),
            next: Timestamp::default(),
        }
    }

    /// When [`ShareEvent::Tick`] is wanted next.
    pub fn next_wakeup(&self) -> Timestamp {
        if self.demand.is_empty() { Timestamp::NEVER } else { self.next }
    }

    /// Takes an event.
    pub fn handle(&mut self, now: Timestamp, event: ShareEvent) -> Vec<ShareAction> {
        match event {
            ShareEvent::Tick => self.tick(now),
            ShareEvent::Peers { live, expected } => {
                self.expected = expected.max(live.len());
                if live != self.peers {
                    self.peers = live;
                    self.peers_since = now;
                }
                Vec::new()
            }
            ShareEvent::Demand(account, cost) => self.note_demand(now, account, cost),
            ShareEvent::Request(request) => self.answer(now, request),
            ShareEvent::Reply(reply) => self.take_shares(reply),
        }
    }

    /// How much longer the times are than among few instances.
    fn stretch(&self) -> f64 {
        (self.expected as f64 / self.cfg.base_instances as f64).max(1.0)
    }

    fn half_life_s(&self) -> f64 {
        self.cfg.half_life.as_secs_f64() * self.stretch()
    }

    fn report_interval(&self) -> Duration {
        self.cfg.report_interval.mul_f64(self.stretch())
    }

    fn lease(&self) -> Duration {
        self.cfg.lease.mul_f64(self.stretch())
    }

    /// The owner of an account among the peers known.
    pub fn owner(&self, account: &ClientAccountId) -> &InstanceId {
        let key = rendezvous_weight(account.as_str(), 0);
        self.peers.iter().max_by_key(|p| rendezvous_weight(p.as_str(), key)).unwrap_or(&self.own)
    }

    fn note_demand(
        &mut self,
        now: Timestamp,
        account: ClientAccountId,
        cost: f64,
    ) -> Vec<ShareAction> {
        let half_life = self.half_life_s();
        let new = !self.demand.contains_key(&account);
        let demand = self.demand.entry(account.clone()).or_insert(Demand { rate: 0.0, at: now });
        demand.rate = decayed(demand, now, half_life) + cost * std::f64::consts::LN_2 / half_life;
        demand.at = now;
        if new { self.ask(now, vec![account]) } else { Vec::new() }
    }

    fn tick(&mut self, now: Timestamp) -> Vec<ShareAction> {
        if now < self.next {
            return Vec::new();
        }
        self.next = now + self.report_interval();
        let half_life = self.half_life_s();
        self.demand.retain(|_, d| decayed(d, now, half_life) >= 1.0);
        let accounts = self.demand.keys().cloned().collect();
        let mut actions = self.ask(now, accounts);
        actions.extend(self.drop_lapsed(now));
        actions
    }

    /// A share that lapsed becomes an equal one while there is demand: its owner is out of reach.
    fn drop_lapsed(&mut self, now: Timestamp) -> Vec<ShareAction> {
        let lapsed: Vec<ClientAccountId> = self
            .shares
            .iter()
            .filter(|(_, (_, until))| *until <= now)
            .map(|(account, _)| account.clone())
            .collect();
        let equal = self.equal_share();
        let mut actions = Vec::new();
        for account in lapsed {
            if self.demand.contains_key(&account) {
                actions.push(ShareAction::SetShare(account, equal));
            } else {
                self.shares.remove(&account);
                actions.push(ShareAction::SetShare(account, equal));
            }
        }
        actions
    }

    /// The share of an instance that no owner has given one.
    pub fn equal_share(&self) -> f64 {
        1.0 / self.expected.max(1) as f64
    }

    /// The part of the rate that this side's owners give out in all.
    fn given_out(&self) -> f64 {
        if self.expected <= 1 {
            return 1.0;
        }
        self.cfg.leased_fraction * self.peers.len() as f64 / self.expected as f64
    }

    fn ask(&mut self, now: Timestamp, accounts: Vec<ClientAccountId>) -> Vec<ShareAction> {
        self.asked = now;
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
            for action in self.answer(now, request) {
                if let ShareAction::SendReply(_, reply) = action {
                    actions.extend(self.take_shares(reply));
                }
            }
        }
        actions
    }

    fn answer(&mut self, now: Timestamp, request: GrantRequest) -> Vec<ShareAction> {
        let mut shares = Vec::new();
        for (account, demand) in request.demand {
            let share = self.give(now, &account, &request.from, demand);
            shares.push((account, share));
        }
        vec![ShareAction::SendReply(request.from, GrantReply { shares })]
    }

    fn give(
        &mut self,
        now: Timestamp,
        account: &ClientAccountId,
        to: &InstanceId,
        demand: f64,
    ) -> f64 {
        let all = self.given_out();
        let equal = all / self.peers.len().max(1) as f64;
        let lease = self.lease();
        let owned = self
            .owned
            .entry(account.clone())
            .or_insert_with(|| Owned { since: now, given: BTreeMap::new() });
        owned.given.retain(|_, g| g.until > now);
        let others: f64 = owned.given.iter().filter(|(i, _)| *i != to).map(|(_, g)| g.share).sum();
        let wanted_by_others: f64 =
            owned.given.iter().filter(|(i, _)| *i != to).map(|(_, g)| g.demand).sum();
        let fair = all * demand / (demand + wanted_by_others).max(1e-9);
        let since = owned.since.max(self.peers_since);
        let young = self.peers.len() > 1 && now.since(since) < lease;
        let most = if young { equal } else { all };
        let share = fair.min(most).min((all - others).max(0.0));
        let until = now + lease;
        owned.given.insert(to.clone(), Given { share, demand, until });
        share
    }

    /// Shares last from when they were asked for, so that they end here before they do at the
    /// owner.
    fn take_shares(&mut self, reply: GrantReply) -> Vec<ShareAction> {
        let until = self.asked + self.lease();
        let mut actions = Vec::new();
        for (account, share) in reply.shares {
            self.shares.insert(account.clone(), (share, until));
            actions.push(ShareAction::SetShare(account, share));
        }
        actions
    }
}

fn decayed(demand: &Demand, now: Timestamp, half_life_s: f64) -> f64 {
    demand.rate * 0.5_f64.powf(now.since(demand.at).as_secs_f64() / half_life_s)
}
