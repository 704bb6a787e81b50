//! Keeps the settings up to date: polls the store, applies updates pushed by peers and commits
//! changes.

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

/// Maximum number of cached effective settings; the cache is cleared when it is full.
const MAX_CACHED_NODES: usize = 10_000;

/// This instance's replica of the settings tree.
#[derive(Default)]
pub(crate) struct SettingsSync {
    replica: RefCell<Replica>,
    effective: RefCell<BTreeMap<NodePath, Arc<EffectiveSettings>>>,
    loaded: Cell<bool>,
    confirmed_at: Cell<Timestamp>,
    fetching: Cell<bool>,
    /// A scan of the store that ended with a failed call.
    unfinished: RefCell<Option<Syncer>>,
}

impl SettingsSync {
    /// Returns whether settings have been loaded at least once, from the store or a peer.
    pub(crate) fn is_loaded(&self) -> bool {
        self.loaded.get()
    }

    /// Returns when the store or a peer last confirmed the settings.
    pub(crate) fn confirmed_at(&self) -> Timestamp {
        self.confirmed_at.get()
    }

    pub(crate) fn version(&self) -> SettingsVersion {
        self.replica.borrow().version()
    }

    /// Calls `read` with the replica.
    pub(crate) fn read<T>(&self, read: impl FnOnce(&Replica) -> T) -> T {
        read(&self.replica.borrow())
    }

    /// Returns the effective settings at a node.
    pub(crate) fn effective(&self, path: &NodePath) -> Arc<EffectiveSettings> {
        if let Some(effective) = self.effective.borrow().get(path) {
            return effective.clone();
        }
        let effective = Arc::new(self.replica.borrow().tree().effective(path));
        let mut cache = self.effective.borrow_mut();
        if cache.len() >= MAX_CACHED_NODES {
            cache.clear();
        }
        cache.insert(path.clone(), effective.clone());
        effective
    }

    /// Polls the store once, after finishing a scan that ended with a failed call.
    pub(crate) async fn poll(&self, app: &Rc<App>) {
        let unfinished = self.unfinished.take();
        if let Some(syncer) = unfinished
            && !self.sync(app, syncer).await
        {
            return;
        }
        if self.sync(app, Syncer::default()).await {
            self.mark_confirmed(app);
        }
    }

    /// Returns whether the replica has become as new as the first read of the sync.
    async fn sync(&self, app: &Rc<App>, mut syncer: Syncer) -> bool {
        let mut step = syncer.start();
        while let SyncStep::Call(call) = step {
            let Ok(reply) = app.table.call(call).await else {
                if syncer.is_scanning_nodes() {
                    self.unfinished.replace(Some(syncer));
                }
                return false;
            };
            let before = self.version();
            step = syncer.on_reply(&mut self.replica.borrow_mut(), &reply);
            self.on_update(app, before);
        }
        if step != SyncStep::UpToDate {
            log::warn!("cannot read the settings: unexpected reply of the table service");
        }
        step == SyncStep::UpToDate
    }

    /// Fetches the changes that a peer has and this replica does not.
    pub(crate) fn fetch_from(&self, app: &Rc<App>, peer: SocketAddr) {
        if self.fetching.replace(true) {
            return;
        }
        let app = app.clone();
        tokio::task::spawn_local(async move {
            let after = app.settings.version();
            let reply = app.peers.fetch_entries(&app, peer, after).await;
            app.settings.fetching.set(false);
            if let Some(reply) = reply {
                app.settings.apply_entries(&app, &reply);
            }
        });
    }

    fn apply_entries(&self, app: &Rc<App>, reply: &EntriesReply) {
        let before = self.version();
        let applied = reply.apply_to(&mut self.replica.borrow_mut());
        if let Err(e) = applied {
            log::warn!("cannot apply settings received from a peer: {e}");
        }
        self.on_update(app, before);
        if self.version() > before {
            self.mark_confirmed(app);
        }
    }

    fn mark_confirmed(&self, app: &Rc<App>) {
        self.loaded.set(true);
        self.confirmed_at.set(app.now());
        app.check_ready();
    }

    /// If the version changed, clears the cache of effective settings and announces the version to
    /// the peers.
    fn on_update(&self, app: &Rc<App>, before: SettingsVersion) {
        let version = self.version();
        if version == before {
            return;
        }
        self.effective.borrow_mut().clear();
        app.metrics.settings_version.set(version.0 as i64);
        log::info!(version:% = version; "settings updated");
        app.peers.announce_settings(app, version);
    }

    /// Commits a change and returns the outcome for the operator.
    pub(crate) async fn commit(&self, app: &Rc<App>, change: Change) -> CommitOutcome {
        let tree: SettingsTree = self.replica.borrow().tree().clone();
        let backoff = Backoff::new(&RetriesConfig::default());
        let mut committer = Committer::new(change, tree);
        let mut step = committer.start();
        loop {
            let call = match step {
                CommitStep::Done(outcome) => {
                    self.apply_outcome(app, &outcome).await;
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

    /// Applies an accepted change here before its operator is told, and announces it to the peers.
    async fn apply_outcome(&self, app: &Rc<App>, outcome: &CommitOutcome) {
        if let CommitOutcome::Accepted(entry) = outcome {
            let before = self.version();
            self.replica.borrow_mut().apply(entry);
            self.on_update(app, before);
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
