//! Drives the policy: feeds it events, carries out its actions, wakes it when it asks.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use ringbend_ledger::ExistingClaim;
use ringbend_platform::{EndpointEntry, EndpointKind, EndpointState, LoadReport, Reservation};
use ringbend_policy::{
    Action, Dispatch, Dispatcher, DispatcherConfig, Event, FailureCode, HeldMemory, LimitShares,
    Policy, RequestEnd, ShareAction, ShareConfig, ShareEvent, rendezvous_weight,
};
use ringbend_runtime::Subscription;
use ringbend_types::{AttemptId, ClientAccountId, EndpointId, RequestId, Seed, Timestamp};
use tokio::sync::mpsc;

use crate::app::App;
use crate::config::DaemonConfig;

/// How often a cancel or release is tried; what is left after that is the sweeper's.
const CLEANUP_TRIES: u32 = 5;

/// Wait between those tries.
const CLEANUP_WAIT: Duration = Duration::from_millis(200);

/// Load reports are taken to be this old when they arrive.
const REPORT_AGE: Duration = Duration::from_millis(200);

/// What a request's own task is told.
#[derive(Debug)]
pub(crate) enum Signal {
    Admitted,
    Rejected { code: FailureCode, retry_after: Option<Duration> },
    Granted,
    Held(ExistingClaim),
    ClaimGivenUp,
    Dispatch(Dispatch),
    DropAttempt(AttemptId),
    Finish(RequestEnd),
    CutOff,
}

/// The policy, and who waits for its word.
pub(crate) struct Decisions {
    policy: RefCell<Dispatcher>,
    shares: RefCell<LimitShares>,
    requests: RefCell<BTreeMap<RequestId, mpsc::UnboundedSender<Signal>>>,
    running: RefCell<BTreeMap<AttemptId, RequestId>>,
    entries: RefCell<BTreeMap<EndpointId, EndpointEntry>>,
    /// The whole list, of which `entries` is this instance's subset.
    listed: RefCell<Vec<EndpointEntry>>,
    heard: RefCell<BTreeMap<EndpointId, Timestamp>>,
    timer: RefCell<Option<Subscription>>,
    share_timer: RefCell<Option<Subscription>>,
}

impl Decisions {
    pub(crate) fn new(cfg: &DaemonConfig, incarnation: ringbend_types::Incarnation) -> Self {
        let seed = Seed(cfg.seed.unwrap_or(incarnation.0));
        let instance = cfg.instance.clone();
        let policy =
            Dispatcher::new(DispatcherConfig { instance: instance.clone(), incarnation, seed });
        Self {
            policy: RefCell::new(policy),
            shares: RefCell::new(LimitShares::new(ShareConfig::default(), instance)),
            requests: RefCell::default(),
            running: RefCell::default(),
            entries: RefCell::default(),
            listed: RefCell::default(),
            heard: RefCell::default(),
            timer: RefCell::default(),
            share_timer: RefCell::default(),
        }
    }

    /// Subscribes the policy and the shares to the timer service.
    pub(crate) fn start(app: &Rc<App>) {
        let weak = Rc::downgrade(app);
        let timer = app.timers.subscribe(Timestamp::default(), move |_| {
            let Some(app) = weak.upgrade() else { return Timestamp::NEVER };
            app.decisions.decide(&app, Event::Tick);
            app.decisions.policy.borrow().next_wakeup()
        });
        *app.decisions.timer.borrow_mut() = Some(timer);
        let weak = Rc::downgrade(app);
        let timer = app.timers.subscribe(Timestamp::default(), move |_| {
            let Some(app) = weak.upgrade() else { return Timestamp::NEVER };
            app.decisions.share(&app, ShareEvent::Tick);
            app.decisions.shares.borrow().next_wakeup()
        });
        *app.decisions.share_timer.borrow_mut() = Some(timer);
    }

    /// A new request's id, and the receiver of its signals.
    pub(crate) fn open(&self) -> (RequestId, mpsc::UnboundedReceiver<Signal>) {
        let id = self.policy.borrow_mut().next_request_id();
        let (tx, rx) = mpsc::unbounded_channel();
        self.requests.borrow_mut().insert(id, tx);
        (id, rx)
    }

    /// No more signals for this request.
    pub(crate) fn close(&self, id: RequestId) {
        self.requests.borrow_mut().remove(&id);
    }

    /// Requests whose tasks run.
    pub(crate) fn open_requests(&self) -> usize {
        self.requests.borrow().len()
    }

    /// Tells a request's task; returns whether there is one.
    pub(crate) fn signal(&self, id: RequestId, signal: Signal) -> bool {
        self.requests.borrow().get(&id).is_some_and(|tx| tx.send(signal).is_ok())
    }

    /// Cuts every open request off.
    pub(crate) fn cut_off_all(&self) -> usize {
        let requests = self.requests.borrow();
        requests.values().filter(|tx| tx.send(Signal::CutOff).is_ok()).count()
    }

    pub(crate) fn has_endpoints(&self) -> bool {
        !self.entries.borrow().is_empty()
    }

    pub(crate) fn entry(&self, id: &EndpointId) -> Option<EndpointEntry> {
        self.entries.borrow().get(id).cloned()
    }

    pub(crate) fn entries(&self) -> Vec<EndpointEntry> {
        self.entries.borrow().values().cloned().collect()
    }

    /// Every endpoint of the list, whether this instance uses it or not.
    pub(crate) fn listed(&self) -> Vec<EndpointEntry> {
        self.listed.borrow().clone()
    }

    pub(crate) fn is_leaving(&self, id: &EndpointId) -> bool {
        self.policy.borrow().is_leaving(id)
    }

    /// Endpoints, whether each takes new work, and this instance's requests there.
    pub(crate) fn endpoints(&self, app: &App) -> Vec<(EndpointEntry, bool, usize)> {
        self.policy.borrow().endpoints(app.now())
    }

    /// Gives the policy an event and carries out what it wants.
    pub(crate) fn decide(&self, app: &Rc<App>, event: Event) {
        if let Event::Ended { attempt, .. } = &event {
            self.running.borrow_mut().remove(attempt);
        }
        let actions = self.policy.borrow_mut().handle(app.now(), event);
        for action in actions {
            self.act(app, action);
        }
        let policy = self.policy.borrow();
        if let Some(timer) = &*self.timer.borrow() {
            timer.no_later_than(policy.next_wakeup());
        }
        app.metrics.open_requests.set(policy.open_requests() as i64);
        app.metrics.queued_requests.set(policy.queued_requests() as i64);
    }

    fn act(&self, app: &Rc<App>, action: Action) {
        match action {
            Action::Admitted(id) => {
                app.metrics.admitted();
                self.signal(id, Signal::Admitted);
            }
            Action::Rejected { request, code, retry_after } => {
                self.signal(request, Signal::Rejected { code, retry_after });
            }
            Action::Reserve { attempt, memory } => self.reserve(app, attempt, memory),
            Action::Release { attempt, endpoint } => self.release(app, attempt, &endpoint),
            Action::Dispatch(dispatch) => {
                app.metrics.attempt(dispatch.number);
                self.running.borrow_mut().insert(dispatch.attempt, dispatch.request);
                self.signal(dispatch.request, Signal::Dispatch(dispatch));
            }
            Action::Cancel { attempt, endpoint } => self.cancel(app, attempt, &endpoint),
            Action::Finish { request, end } => {
                self.signal(request, Signal::Finish(end));
            }
        }
    }

    fn reserve(&self, app: &Rc<App>, attempt: AttemptId, memory: HeldMemory) {
        let HeldMemory { endpoint, tokens } = memory;
        let entry = self.entry(&endpoint);
        let app = app.clone();
        tokio::task::spawn_local(async move {
            let held = match &entry {
                Some(entry) => {
                    let reservation = Reservation { attempt, tokens };
                    app.control.reserve(entry.address, reservation).await
                }
                None => Err(crate::platform::CallError::NotSent),
            };
            if matches!(held, Err(crate::platform::CallError::Unknown)) {
                // It may be held; a reservation is released before it is asked for again.
                app.decisions.release(&app, attempt, &endpoint);
            }
            let held = held.is_ok();
            app.decisions.decide(&app, Event::Reserved { attempt, endpoint, held });
        });
    }

    fn release(&self, app: &Rc<App>, attempt: AttemptId, endpoint: &EndpointId) {
        let Some(entry) = self.entry(endpoint) else { return };
        let control = app.control.clone();
        tokio::task::spawn_local(async move {
            for _ in 0..CLEANUP_TRIES {
                if control.release(entry.address, attempt).await.is_ok() {
                    return;
                }
                actix_rt::time::sleep(CLEANUP_WAIT).await;
            }
            log::warn!(attempt:% = attempt; "a reservation could not be released; left to the sweep");
        });
    }

    fn cancel(&self, app: &Rc<App>, attempt: AttemptId, endpoint: &EndpointId) {
        let request = self.running.borrow_mut().remove(&attempt);
        if let Some(request) = request {
            self.signal(request, Signal::DropAttempt(attempt));
        }
        let Some(entry) = self.entry(endpoint) else { return };
        if entry.kind == EndpointKind::Service {
            return;
        }
        let control = app.control.clone();
        tokio::task::spawn_local(async move {
            for _ in 0..CLEANUP_TRIES {
                if control.cancel(entry.address, attempt).await.is_ok() {
                    return;
                }
                actix_rt::time::sleep(CLEANUP_WAIT).await;
            }
            log::warn!(attempt:% = attempt; "a cancel was not confirmed");
        });
    }

    /// Takes a load report that has just arrived.
    pub(crate) fn load(&self, app: &Rc<App>, endpoint: &EndpointId, report: LoadReport) {
        let at = app.now() - REPORT_AGE;
        self.heard.borrow_mut().insert(endpoint.clone(), app.now());
        if report.state == EndpointState::Leaving {
            self.endpoint_leaving(app, endpoint.clone());
        }
        self.decide(app, Event::Load { endpoint: endpoint.clone(), report, at });
    }

    /// An endpoint is leaving, by its own word or a peer's; the others are told at once.
    pub(crate) fn endpoint_leaving(&self, app: &Rc<App>, endpoint: EndpointId) {
        if self.is_leaving(&endpoint) {
            return;
        }
        log::info!(endpoint:% = endpoint; "endpoint is leaving");
        self.decide(app, Event::EndpointLeaving(endpoint.clone()));
        app.peers.endpoint_leaving(app, endpoint);
    }

    /// Takes the instance list, reduced to this instance's subset.
    pub(crate) fn take_list(&self, app: &Rc<App>, list: Vec<EndpointEntry>) {
        *self.listed.borrow_mut() = list.clone();
        let list = subset(list, app.cfg.platform.endpoint_subset, app.cfg.instance.as_str());
        let entries = list.iter().map(|e| (e.id.clone(), e.clone())).collect();
        *self.entries.borrow_mut() = entries;
        self.heard.borrow_mut().retain(|id, _| list.iter().any(|e| e.id == *id));
        self.decide(app, Event::Endpoints(list));
        app.check_ready();
    }

    /// Engines that have not reported since `since`.
    pub(crate) fn unheard(&self, since: Timestamp) -> Vec<EndpointEntry> {
        let heard = self.heard.borrow();
        let late = |e: &EndpointEntry| heard.get(&e.id).is_none_or(|at| *at < since);
        let entries = self.entries.borrow();
        entries.values().filter(|e| e.kind == EndpointKind::Engine && late(e)).cloned().collect()
    }

    /// A request of this cost arrived for a limited account.
    pub(crate) fn note_demand(&self, app: &Rc<App>, account: &ClientAccountId, cost: u64) {
        self.share(app, ShareEvent::Demand(account.clone(), cost as f64));
    }

    /// Gives the sharing of limits an event and carries out what it wants.
    pub(crate) fn share(&self, app: &Rc<App>, event: ShareEvent) {
        let actions = self.shares.borrow_mut().handle(app.now(), event);
        for action in actions {
            match action {
                ShareAction::SendRequest(owner, request) => {
                    app.peers.ask_owner(app, &owner, &request)
                }
                ShareAction::SendReply(..) => {}
                ShareAction::SetShare(account, share) => {
                    let account = Some(account);
                    self.decide(app, Event::Share { account, share });
                }
            }
        }
        if let Some(timer) = &*self.share_timer.borrow() {
            timer.no_later_than(self.shares.borrow().next_wakeup());
        }
    }

    /// Answers another instance that tells its demand to this one as owner.
    pub(crate) fn answer_share(
        &self,
        app: &App,
        request: ringbend_policy::GrantRequest,
    ) -> Option<ringbend_policy::GrantReply> {
        let event = ShareEvent::Request(request);
        let actions = self.shares.borrow_mut().handle(app.now(), event);
        actions.into_iter().find_map(|action| match action {
            ShareAction::SendReply(_, reply) => Some(reply),
            _ => None,
        })
    }

    /// The share of accounts that no owner has given one for.
    pub(crate) fn equal_share(&self) -> f64 {
        self.shares.borrow().equal_share()
    }
}

/// The endpoints that this instance uses: of each service the `most` with the highest rendezvous
/// weight for it.
fn subset(list: Vec<EndpointEntry>, most: usize, instance: &str) -> Vec<EndpointEntry> {
    if most == 0 {
        return list;
    }
    let services: BTreeSet<_> = list.iter().map(|e| e.service.clone()).collect();
    let mut kept = Vec::new();
    for service in services {
        let mut of: Vec<&EndpointEntry> = list.iter().filter(|e| e.service == service).collect();
        let key = rendezvous_weight(instance, 0);
        of.sort_by_key(|e| std::cmp::Reverse(rendezvous_weight(e.id.as_str(), key)));
        kept.extend(of.into_iter().take(most).cloned());
    }
    kept
}
