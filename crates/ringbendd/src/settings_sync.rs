//! Keeps the settings in force: polls the store, takes pushes from peers, commits changes.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ringbend_policy::Backoff;
use ringbend_settings::configs::RetriesConfig;
use ringbend_settings::{
    Change, CommitOutcome, CommitStep, Committer, EffectiveSettings, NodePath, Replica,
    SettingsTree, SyncStep, Syncer,
};
use ringbend_types::{SettingsVersion, Timestamp};
use ringbend_wire::EntriesReply;

use crate::app::App;

/// Effective settings kept ready; the least used go first when there are more.
const CACHED_NODES: usize = 10_000;

/// The replica of the settings tree.
#[derive(Default)]
pub(crate) struct SettingsSync {
    replica: RefCell<Replica>,
    effective: RefCell<BTreeMap<NodePath, Arc<EffectiveSettings>>>,
    known: Cell<bool>,
    confirmed: Cell<Timestamp>,
    fetching: Cell<bool>,
}

impl SettingsSync {
    /// Whether settings have been read once, from the store or a peer.
    pub(crate) fn is_known(&self) -> bool {
        self.known.get()
    }

    /// When the store or a peer last confirmed them.
    pub(crate) fn confirmed(&self) -> Timestamp {
        self.confirmed.get()
    }

    pub(crate) fn version(&self) -> SettingsVersion {
        self.replica.borrow().version()
    }

    /// Reads the replica.
    pub(crate) fn with<T>(&self, read: impl FnOnce(&Replica) -> T) -> T {
        read(&self.replica.borrow())
    }

    /// The settings in force at a node.
    pub(crate) fn effective(&self, path: &NodePath) -> Arc<EffectiveSettings> {
        if let Some(effective) = self.effective.borrow().get(path) {
            return effective.clone();
        }
        let effective = Arc::new(self.replica.borrow().tree().effective(path));
        let mut cache = self.effective.borrow_mut();
        if cache.len() >= CACHED_NODES {
            cache.clear();
        }
        cache.insert(path.clone(), effective.clone());
        effective
    }

    /// Polls the store once.
    pub(crate) async fn poll(&self, app: &Rc<App>) {
        let mut syncer = Syncer::default();
        let mut step = syncer.start();
        while let SyncStep::Call(call) = step {
            let Ok(reply) = app.table.call(call).await else { return };
            let before = self.version();
            step = syncer.on_reply(&mut self.replica.borrow_mut(), &reply);
            self.took(app, before);
        }
        if step == SyncStep::UpToDate {
            self.confirm(app);
        }
    }

    /// Fetches what a peer has beyond this replica.
    pub(crate) fn fetch_from(&self, app: &Rc<App>, peer: SocketAddr) {
        if self.fetching.replace(true) {
            return;
        }
        let app = app.clone();
        tokio::task::spawn_local(async move {
            let after = app.settings.version();
            let reply = app.peers.entries(&app, peer, after).await;
            app.settings.fetching.set(false);
            if let Some(reply) = reply {
                app.settings.take_entries(&app, &reply);
            }
        });
    }

    fn take_entries(&self, app: &Rc<App>, reply: &EntriesReply) {
        let before = self.version();
        let taken = reply.apply_to(&mut self.replica.borrow_mut());
        if let Err(e) = taken {
            log::warn!("a peer's settings were not understood: {e}");
        }
        self.took(app, before);
        if self.version() > before {
            self.confirm(app);
        }
    }

    fn confirm(&self, app: &Rc<App>) {
        self.known.set(true);
        self.confirmed.set(app.now());
        app.check_ready();
    }

    /// New settings may be in force: forget what was derived, and tell the peers.
    fn took(&self, app: &Rc<App>, before: SettingsVersion) {
        let version = self.version();
        if version == before {
            return;
        }
        self.effective.borrow_mut().clear();
        app.metrics.settings_version.set(version.0 as i64);
        log::info!(version:% = version; "settings in force");
        app.peers.settings_in_force(app, version);
    }

    /// Commits a change. The outcome is what the operator is told.
    pub(crate) async fn commit(&self, app: &Rc<App>, change: Change) -> CommitOutcome {
        let tree: SettingsTree = self.replica.borrow().tree().clone();
        let backoff = Backoff::new(&RetriesConfig::default());
        let mut committer = Committer::new(change, tree);
        let mut step = committer.start();
        loop {
            let call = match step {
                CommitStep::Done(outcome) => {
                    self.after_commit(app, &outcome).await;
                    return outcome;
                }
                CommitStep::Call(call) => call,
                CommitStep::Backoff { attempt, call } => {
                    let delay = backoff.delay(attempt, None, &mut rand::rng());
                    actix_rt::time::sleep(delay.max(Duration::from_millis(5))).await;
                    call
                }
            };
            step = committer.on_reply(app.table.call(call).await);
        }
    }

    /// An accepted change is in force here before its operator hears of it, and is pushed.
    async fn after_commit(&self, app: &Rc<App>, outcome: &CommitOutcome) {
        if let CommitOutcome::Accepted(entry) = outcome {
            let before = self.version();
            self.replica.borrow_mut().apply(entry);
            self.took(app, before);
        }
        let version = match outcome {
            CommitOutcome::Accepted(entry) => entry.version,
            CommitOutcome::AlreadyAccepted(version) => *version,
            _ => return,
        };
        if self.version() < version {
            self.poll(app).await;
        }
    }
}
