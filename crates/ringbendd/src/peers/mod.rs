//! Between instances: membership gossip, shares of limits, settings.

mod quic;
mod tls;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use ringbend_membership::{
    Action, Event, Member, MemberState, Membership, MembershipConfig, Message,
};
use ringbend_policy::{GrantRequest, ShareEvent};
use ringbend_runtime::Subscription;
use ringbend_telemetry::{TraceContext, TraceSpanKind};
use ringbend_types::{EndpointId, Incarnation, InstanceId, Seed, SettingsVersion, Timestamp};
use ringbend_wire::{EntriesReply, EntriesRequest, Envelope, Gossip, WireError, envelope};

use crate::app::App;
use crate::config::DaemonConfig;

pub(crate) use quic::QuicPeers;
pub(crate) use tls::load_identity;

/// Instances that were alive within this time are expected back; while they are not seen, they
/// may be cut off and serve on, and limits are shared accordingly.
const EXPECTED_FOR: Duration = Duration::from_secs(3_600);

/// Why a peer gave no answer.
#[derive(Debug)]
pub(crate) enum PeerError {
    /// It cannot be reached, or did not answer in time.
    Unreachable,
    /// Its answer is not understood.
    Malformed(WireError),
}

impl std::fmt::Display for PeerError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unreachable => write!(f, "the peer cannot be reached"),
            Self::Malformed(e) => write!(f, "the peer's answer: {e}"),
        }
    }
}

impl std::error::Error for PeerError {}

/// Carries messages to other instances.
pub(crate) trait PeerLink {
    /// Sends a message that may be lost.
    fn send(&self, to: SocketAddr, envelope: Envelope);

    /// Asks and waits for the answer.
    fn ask(
        &self,
        to: SocketAddr,
        envelope: Envelope,
    ) -> LocalBoxFuture<'static, Result<Envelope, PeerError>>;
}

/// The other instances as this one sees them.
pub(crate) struct Peers {
    membership: RefCell<Membership>,
    link: RefCell<Option<Rc<dyn PeerLink>>>,
    last_alive: RefCell<BTreeMap<InstanceId, Timestamp>>,
    timer: RefCell<Option<Subscription>>,
}

impl Peers {
    pub(crate) fn new(cfg: &DaemonConfig, address: SocketAddr, incarnation: Incarnation) -> Self {
        let membership = Membership::new(
            MembershipConfig::default(),
            cfg.instance.clone(),
            address,
            incarnation,
            cfg.seeds.clone(),
            Seed(cfg.seed.unwrap_or(incarnation.0)),
        );
        Self {
            membership: RefCell::new(membership),
            link: RefCell::default(),
            last_alive: RefCell::default(),
            timer: RefCell::default(),
        }
    }

    /// Begins to gossip over `link`.
    pub(crate) fn start(app: &Rc<App>, link: Rc<dyn PeerLink>) {
        *app.peers.link.borrow_mut() = Some(link);
        app.peers.members_changed(app);
        let weak = Rc::downgrade(app);
        let timer = app.timers.subscribe(Timestamp::default(), move |_| {
            let Some(app) = weak.upgrade() else { return Timestamp::NEVER };
            app.peers.handle(&app, Event::Tick);
            app.peers.membership.borrow().next_wakeup()
        });
        *app.peers.timer.borrow_mut() = Some(timer);
    }

    /// All members known.
    pub(crate) fn members(&self) -> Vec<Member> {
        self.membership.borrow().members().cloned().collect()
    }

    /// Incarnations that may be alive, this instance's included.
    pub(crate) fn live_incarnations(&self, app: &App) -> BTreeSet<Incarnation> {
        let membership = self.membership.borrow();
        let others = membership.members().filter(|m| m.state != MemberState::Dead);
        others.map(|m| m.incarnation).chain([app.incarnation]).collect()
    }

    pub(crate) fn settings_in_force(&self, app: &Rc<App>, version: SettingsVersion) {
        self.handle(app, Event::Settings(version));
    }

    pub(crate) fn endpoint_leaving(&self, app: &Rc<App>, endpoint: EndpointId) {
        self.handle(app, Event::EndpointLeaving(endpoint));
    }

    /// Says that this instance leaves.
    pub(crate) fn leave(&self, app: &Rc<App>) {
        self.handle(app, Event::Leave);
    }

    fn handle(&self, app: &Rc<App>, event: Event) {
        let actions = self.membership.borrow_mut().handle(app.now(), event);
        let mut changed = false;
        for action in actions {
            match action {
                Action::Send(to, message) => self.send(app, to, &message),
                Action::Changed(member) => {
                    log::info!(peer:% = member.id; "{:?}", member.state);
                    changed = true;
                }
                Action::NewerSettings(peer, _) => {
                    let membership = self.membership.borrow();
                    let address = membership.members().find(|m| m.id == peer).map(|m| m.address);
                    if let Some(address) = address {
                        app.settings.fetch_from(app, address);
                    }
                }
                Action::EndpointLeaving(id) => app.decisions.endpoint_leaving(app, id),
            }
        }
        if changed {
            self.members_changed(app);
        }
        if let Some(timer) = &*self.timer.borrow() {
            timer.no_later_than(self.membership.borrow().next_wakeup());
        }
    }

    fn members_changed(&self, app: &Rc<App>) {
        let now = app.now();
        let others = self.membership.borrow().live().map(|m| m.id.clone()).collect::<Vec<_>>();
        let mut live = vec![app.cfg.instance.clone()];
        live.extend(others);
        live.sort();
        let mut last_alive = self.last_alive.borrow_mut();
        for instance in &live {
            last_alive.insert(instance.clone(), now);
        }
        last_alive.retain(|_, at| now.since(*at) < EXPECTED_FOR);
        let expected = last_alive.len();
        drop(last_alive);
        app.metrics.live_instances.set(live.len() as i64);
        app.decisions.decide(app, ringbend_policy::Event::Peers(live.clone()));
        app.decisions.share(app, ShareEvent::Peers { live, expected });
        let share = app.decisions.equal_share();
        app.decisions.decide(app, ringbend_policy::Event::Share { account: None, share });
    }

    fn send(&self, app: &App, to: SocketAddr, message: &Message) {
        let Some(link) = self.link.borrow().clone() else { return };
        let envelope = Envelope { body: Some(envelope::Body::Gossip(message.into())) };
        app.metrics.peer_bytes(ringbend_wire::Message::encoded_len(&envelope) as u64);
        link.send(to, envelope);
    }

    fn address_of(&self, instance: &InstanceId) -> Option<SocketAddr> {
        self.membership.borrow().members().find(|m| m.id == *instance).map(|m| m.address)
    }

    /// Tells demand to the owner of a limit, and takes its answer.
    pub(crate) fn ask_owner(&self, app: &Rc<App>, owner: &InstanceId, request: &GrantRequest) {
        let Some(link) = self.link.borrow().clone() else { return };
        let Some(to) = self.address_of(owner) else { return };
        let envelope = Envelope { body: Some(envelope::Body::GrantRequest(request.into())) };
        app.metrics.peer_bytes(ringbend_wire::Message::encoded_len(&envelope) as u64);
        let app = app.clone();
        let mut hop =
            app.tracing.start_span("peer", TraceSpanKind::Client, &TraceContext::default());
        hop.set_attribute("peer", owner);
        tokio::task::spawn_local(async move {
            let _hop = hop;
            let Ok(Envelope { body: Some(envelope::Body::GrantReply(reply)) }) =
                link.ask(to, envelope).await
            else {
                return;
            };
            if let Ok(reply) = reply.try_into() {
                app.decisions.share(&app, ShareEvent::Reply(reply));
            }
        });
    }

    /// Asks a peer for settings after a version.
    pub(crate) async fn entries(
        &self,
        app: &App,
        peer: SocketAddr,
        after: SettingsVersion,
    ) -> Option<EntriesReply> {
        let link = self.link.borrow().clone()?;
        let mut hop =
            app.tracing.start_span("peer", TraceSpanKind::Client, &TraceContext::default());
        hop.set_attribute("peer", peer);
        let request = EntriesRequest { after: after.0 };
        let envelope = Envelope { body: Some(envelope::Body::EntriesRequest(request)) };
        match link.ask(peer, envelope).await {
            Ok(Envelope { body: Some(envelope::Body::EntriesReply(reply)) }) => Some(reply),
            Ok(_) => None,
            Err(e) => {
                log::debug!(peer:% = peer; "{e}");
                None
            }
        }
    }

    /// A peer's gossip arrived.
    pub(crate) fn received(&self, app: &Rc<App>, gossip: Gossip) {
        match Message::try_from(gossip) {
            Ok(message) => self.handle(app, Event::Received(message)),
            Err(e) => log::debug!("gossip was not understood: {e}"),
        }
    }

    /// Answers a peer's question.
    pub(crate) fn answer(&self, app: &Rc<App>, question: Envelope) -> Option<Envelope> {
        let body = match question.body? {
            envelope::Body::GrantRequest(request) => {
                let reply = app.decisions.answer_share(app, request.try_into().ok()?)?;
                envelope::Body::GrantReply((&reply).into())
            }
            envelope::Body::EntriesRequest(request) => {
                let after = SettingsVersion(request.after);
                let reply = app.settings.with(|replica| EntriesReply::from_replica(replica, after));
                envelope::Body::EntriesReply(reply)
            }
            _ => return None,
        };
        Some(Envelope { body: Some(body) })
    }
}
