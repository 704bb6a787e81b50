//! Runs the policy: passes it events, executes its actions and wakes it when it asks for it.

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

/// Attempts at a cancel or release. What is still held after them is freed by the sweep.
const CLEANUP_TRIES: u32 = 5;

/// Delay between those attempts.
const CLEANUP_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Assumed age of a load report when it arrives.
const ASSUMED_REPORT_AGE: Duration = Duration::from_millis(200);

/// A message to a request's task.
#[derive(Debug)]
pub(crate) enum RequestSignal {
    Admitted,
    Rejected { code: FailureCode, retry_after: Option<Duration> },
    ClaimGranted,
    AlreadyClaimed(ExistingClaim),
    ClaimAbandoned,
    Dispatch(Dispatch),
    DropAttempt(AttemptId),
    Finish(RequestEnd),
    CutOff,
}

/// The policy, the limit shares and the tasks of the open requests.
pub(crate) struct PolicyDriver {
    dispatcher: RefCell<Dispatcher>,
    shares: RefCell<LimitShares>,
    request_signals: RefCell<BTreeMap<RequestId, mpsc::UnboundedSender<RequestSignal>>>,
    running_attempts: RefCell<BTreeMap<AttemptId, RequestId>>,
    entries: RefCell<BTreeMap<EndpointId, EndpointEntry>>,
    /// The complete list; `entries` is the subset that this instance uses.
    all_endpoints: RefCell<Vec<EndpointEntry>>,
    last_reports: RefCell<BTreeMap<EndpointId, Timestamp>>,
    timer: RefCell<Option<Subscription>>,
    share_timer: RefCell<Option<Subscription>>,
}

impl PolicyDriver {
    pub(crate) fn new(cfg: &DaemonConfig, incarnation: ringbend_types::Incarnation) -> Self {
        let seed = Seed(cfg.seed.unwrap_or(incarnation.0));
        let instance = cfg.instance.clone();
        let dispatcher =
            Dispatcher::new(DispatcherConfig { instance: instance.clone(), incarnation, seed });
        Self {
            dispatcher: RefCell::new(dispatcher),
            shares: RefCell::new(LimitShares::new(ShareConfig::default(), instance)),
            request_signals: RefCell::default(),
            running_attempts: RefCell::default(),
            entries: RefCell::default(),
            all_endpoints: RefCell::default(),
            last_reports: RefCell::default(),
            timer: RefCell::default(),
            share_timer: RefCell::default(),
        }
    }

    /// Subscribes the policy and the limit shares to the timer service.
    pub(crate) fn start(app: &Rc<App>) {
        let weak = Rc::downgrade(app);
        let timer = app.timers.subscribe(Timestamp::default(), move |_| {
            let Some(app) = weak.upgrade() else { return Timestamp::NEVER };
            app.policy.handle(&app, Event::Tick);
            app.policy.dispatcher.borrow().next_wakeup()
        });
        *app.policy.timer.borrow_mut() = Some(timer);
        let weak = Rc::downgrade(app);
        let timer = app.timers.subscribe(Timestamp::default(), move |_| {
            let Some(app) = weak.upgrade() else { return Timestamp::NEVER };
            app.policy.handle_share_event(&app, ShareEvent::Tick);
            app.policy.shares.borrow().next_wakeup()
        });
        *app.policy.share_timer.borrow_mut() = Some(timer);
    }

    /// Registers a new request and returns its id and the receiver of its signals.
    pub(crate) fn register_request(&self) -> (RequestId, mpsc::UnboundedReceiver<RequestSignal>) {
        let id = self.dispatcher.borrow_mut().next_request_id();
        let (tx, rx) = mpsc::unbounded_channel();
        self.request_signals.borrow_mut().insert(id, tx);
        (id, rx)
    }

    /// Stops sending signals to a request.
    pub(crate) fn unregister_request(&self, id: RequestId) {
        self.request_signals.borrow_mut().remove(&id);
    }

    /// Returns the number of requests with a running task.
    pub(crate) fn open_requests(&self) -> usize {
        self.request_signals.borrow().len()
    }

    /// Sends a signal to a request's task; returns false if there is none.
    pub(crate) fn signal(&self, id: RequestId, signal: RequestSignal) -> bool {
        self.request_signals.borrow().get(&id).is_some_and(|tx| tx.send(signal).is_ok())
    }

    /// Cuts off all open requests and returns their number.
    pub(crate) fn cut_off_all(&self) -> usize {
        let requests = self.request_signals.borrow();
        requests.values().filter(|tx| tx.send(RequestSignal::CutOff).is_ok()).count()
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

    /// Returns all endpoints in the list, whether or not this instance uses them.
    pub(crate) fn all_endpoints(&self) -> Vec<EndpointEntry> {
        self.all_endpoints.borrow().clone()
    }

    pub(crate) fn is_leaving(&self, id: &EndpointId) -> bool {
        self.dispatcher.borrow().is_leaving(id)
    }

    /// Returns the known endpoints, each with whether it accepts new requests and how many requests
    /// of this instance it has.
    pub(crate) fn endpoint_states(&self, app: &App) -> Vec<(EndpointEntry, bool, usize)> {
        self.dispatcher.borrow().endpoints(app.now())
    }

    /// Passes an event to the policy and executes the resulting actions.
    pub(crate) fn handle(&self, app: &Rc<App>, event: Event) {
        if let Event::Ended { attempt, .. } = &event {
            self.running_attempts.borrow_mut().remove(attempt);
        }
        let actions = self.dispatcher.borrow_mut().handle(app.now(), event);
        for action in actions {
            self.execute(app, action);
        }
        let dispatcher = self.dispatcher.borrow();
        if let Some(timer) = &*self.timer.borrow() {
            timer.no_later_than(dispatcher.next_wakeup());
        }
        app.metrics.open_requests.set(dispatcher.open_requests() as i64);
        app.metrics.queued_requests.set(dispatcher.queued_requests() as i64);
    }

    fn execute(&self, app: &Rc<App>, action: Action) {
        match action {
            Action::Admitted(id) => {
                app.metrics.admitted();
                self.signal(id, RequestSignal::Admitted);
            }
            Action::Rejected { request, code, retry_after } => {
                self.signal(request, RequestSignal::Rejected { code, retry_after });
            }
            Action::Reserve { attempt, memory } => self.reserve(app, attempt, memory),
            Action::Release { attempt, endpoint } => self.release(app, attempt, &endpoint),
            Action::Dispatch(dispatch) => {
                app.metrics.attempt(dispatch.number);
                self.running_attempts.borrow_mut().insert(dispatch.attempt, dispatch.request);
                self.signal(dispatch.request, RequestSignal::Dispatch(dispatch));
            }
            Action::Cancel { attempt, endpoint } => self.cancel(app, attempt, &endpoint),
            Action::Finish { request, end } => {
                self.signal(request, RequestSignal::Finish(end));
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
                    app.endpoint_control.reserve(entry.address, reservation).await
                }
                None => Err(crate::platform::CallError::NotSent),
            };
            if matches!(held, Err(crate::platform::CallError::Unknown)) {
                // The memory may be held. Release it before it is reserved again.
                app.policy.release(&app, attempt, &endpoint);
            }
            let held = held.is_ok();
            app.policy.handle(&app, Event::Reserved { attempt, endpoint, held });
        });
    }

    fn release(&self, app: &Rc<App>, attempt: AttemptId, endpoint: &EndpointId) {
        let Some(entry) = self.entry(endpoint) else { return };
        let endpoint_control = app.endpoint_control.clone();
        tokio::task::spawn_local(async move {
            for _ in 0..CLEANUP_TRIES {
                if endpoint_control.release(entry.address, attempt).await.is_ok() {
                    return;
                }
                actix_rt::time::sleep(CLEANUP_RETRY_DELAY).await;
            }
            log::warn!(attempt:% = attempt; "cannot release a memory reservation; leaving it to the sweep");
        });
    }

    fn cancel(&self, app: &Rc<App>, attempt: AttemptId, endpoint: &EndpointId) {
        let request = self.running_attempts.borrow_mut().remove(&attempt);
        if let Some(request) = request {
            self.signal(request, RequestSignal::DropAttempt(attempt));
        }
        let Some(entry) = self.entry(endpoint) else { return };
        if entry.kind == EndpointKind::Service {
            return;
        }
        let endpoint_control = app.endpoint_control.clone();
        tokio::task::spawn_local(async move {
            for _ in 0..CLEANUP_TRIES {
                if endpoint_control.cancel(entry.address, attempt).await.is_ok() {
                    return;
                }
                actix_rt::time::sleep(CLEANUP_RETRY_DELAY).await;
            }
            log::warn!(attempt:% = attempt; "cannot confirm that an attempt was cancelled");
        });
    }

    /// Passes a newly received load report to the policy.
    pub(crate) fn record_load(&self, app: &Rc<App>, endpoint: &EndpointId, report: LoadReport) {
        let at = app.now() - ASSUMED_REPORT_AGE;
        self.last_reports.borrow_mut().insert(endpoint.clone(), app.now());
        if report.state == EndpointState::Leaving {
            self.handle_endpoint_leaving(app, endpoint.clone());
        }
        self.handle(app, Event::Load { endpoint: endpoint.clone(), report, at });
    }

    /// Handles an endpoint that is leaving, as reported by itself or by a peer, and announces it to
    /// the other instances.
    pub(crate) fn handle_endpoint_leaving(&self, app: &Rc<App>, endpoint: EndpointId) {
        if self.is_leaving(&endpoint) {
            return;
        }
        log::info!(endpoint:% = endpoint; "endpoint is leaving");
        self.handle(app, Event::EndpointLeaving(endpoint.clone()));
        app.peers.announce_endpoint_leaving(app, endpoint);
    }

    /// Replaces the endpoint list, reduced to this instance's subset.
    pub(crate) fn update_endpoint_list(&self, app: &Rc<App>, list: Vec<EndpointEntry>) {
        *self.all_endpoints.borrow_mut() = list.clone();
        let list =
            endpoint_subset(list, app.cfg.platform.endpoint_subset, app.cfg.instance.as_str());
        let entries = list.iter().map(|e| (e.id.clone(), e.clone())).collect();
        *self.entries.borrow_mut() = entries;
        self.last_reports.borrow_mut().retain(|id, _| list.iter().any(|e| e.id == *id));
        self.handle(app, Event::Endpoints(list));
        app.check_ready();
    }

    /// Returns the engines that have not reported since `since`.
    pub(crate) fn engines_without_report(&self, since: Timestamp) -> Vec<EndpointEntry> {
        let last_reports = self.last_reports.borrow();
        let overdue = |e: &EndpointEntry| last_reports.get(&e.id).is_none_or(|at| *at < since);
        let entries = self.entries.borrow();
        entries.values().filter(|e| e.kind == EndpointKind::Engine && overdue(e)).cloned().collect()
    }

    /// Records demand of `cost` tokens for a limited account.
    pub(crate) fn record_demand(&self, app: &Rc<App>, account: &ClientAccountId, cost: u64) {
        self.handle_share_event(app, ShareEvent::Demand(account.clone(), cost as f64));
    }

    /// Passes an event to the limit shares and executes the resulting actions.
    pub(crate) fn handle_share_event(&self, app: &Rc<App>, event: ShareEvent) {
        let actions = self.shares.borrow_mut().handle(app.now(), event);
        for action in actions {
            match action {
                ShareAction::SendRequest(owner, request) => {
                    app.peers.request_shares(app, &owner, &request)
                }
                ShareAction::SendReply(..) => {}
                ShareAction::SetShare(account, share) => {
                    let account = Some(account);
                    self.handle(app, Event::Share { account, share });
                }
            }
        }
        if let Some(timer) = &*self.share_timer.borrow() {
            timer.no_later_than(self.shares.borrow().next_wakeup());
        }
    }

    /// Grants shares to another instance that reported its demand, as the owner of the accounts.
    pub(crate) fn grant_shares(
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

    /// Returns the share of accounts that have no granted share.
    pub(crate) fn equal_share(&self) -> f64 {
        self.shares.borrow().equal_share()
    }
}

/// Returns the endpoints that this instance uses: of each service the `max` endpoints with the
/// highest rendezvous weight.
fn endpoint_subset(list: Vec<EndpointEntry>, max: usize, instance: &str) -> Vec<EndpointEntry> {
    if max == 0 {
        return list;
    }
    let services: BTreeSet<_> = list.iter().map(|e| e.service.clone()).collect();
    let mut subset = Vec::new();
    for service in services {
        let mut ranked: Vec<&EndpointEntry> =
            list.iter().filter(|e| e.service == service).collect();
        let key = rendezvous_weight(instance, 0);
        ranked.sort_by_key(|e| std::cmp::Reverse(rendezvous_weight(e.id.as_str(), key)));
        subset.extend(ranked.into_iter().take(max).cloned());
    }
    subset
}
