//! Communication between instances: membership gossip, limit shares and settings.

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

pub(crate) use quic::QuicTransport;
pub(crate) use tls::load_identity;

/// Instances that were alive within this time are expected to come back. While they are not visible
/// they may be partitioned and still serving, so they keep counting in the distribution of limits.
const EXPECTED_MEMBER_TTL: Duration = Duration::from_secs(3_600);

/// Why a request to a peer failed.
#[derive(Debug)]
pub(crate) enum PeerError {
    /// The peer cannot be reached, or did not respond in time.
    Unreachable,
    /// The peer's response cannot be parsed.
    Malformed(WireError),
}

impl std::fmt::Display for PeerError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unreachable => write!(f, "the peer cannot be reached"),
            Self::Malformed(e) => write!(f, "the peer sent an invalid response: {e}"),
        }
    }
}

impl std::error::Error for PeerError {}

/// Transport of messages between instances.
pub(crate) trait PeerTransport {
    /// Sends a message without delivery guarantee.
    fn send(&self, to: SocketAddr, envelope: Envelope);

    /// Sends a request and waits for the response.
    fn request(
        &self,
        to: SocketAddr,
        envelope: Envelope,
    ) -> LocalBoxFuture<'static, Result<Envelope, PeerError>>;
}

/// The other instances as seen by this one.
pub(crate) struct Peers {
    membership: RefCell<Membership>,
    transport: RefCell<Option<Rc<dyn PeerTransport>>>,
    last_seen: RefCell<BTreeMap<InstanceId, Timestamp>>,
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
            transport: RefCell::default(),
            last_seen: RefCell::default(),
            timer: RefCell::default(),
        }
    }

    /// Starts gossiping over `transport`.
    pub(crate) fn start(app: &Rc<App>, transport: Rc<dyn PeerTransport>) {
        *app.peers.transport.borrow_mut() = Some(transport);
        app.peers.members_changed(app);
        let weak = Rc::downgrade(app);
        let timer = app.timers.subscribe(Timestamp::default(), move |_| {
            let Some(app) = weak.upgrade() else { return Timestamp::NEVER };
            app.peers.handle(&app, Event::Tick);
            app.peers.membership.borrow().next_wakeup()
        });
        *app.peers.timer.borrow_mut() = Some(timer);
    }

    /// Returns all known members.
    pub(crate) fn members(&self) -> Vec<Member> {
        self.membership.borrow().members().cloned().collect()
    }

    /// Returns the incarnations that may be alive, including this instance's own.
    pub(crate) fn live_incarnations(&self, app: &App) -> BTreeSet<Incarnation> {
        let membership = self.membership.borrow();
        let others = membership.members().filter(|m| m.state != MemberState::Dead);
        others.map(|m| m.incarnation).chain([app.incarnation]).collect()
    }

    pub(crate) fn announce_settings(&self, app: &Rc<App>, version: SettingsVersion) {
        self.handle(app, Event::Settings(version));
    }

    pub(crate) fn announce_endpoint_leaving(&self, app: &Rc<App>, endpoint: EndpointId) {
        self.handle(app, Event::EndpointLeaving(endpoint));
    }

    /// Announces that this instance is leaving.
    pub(crate) fn announce_leaving(&self, app: &Rc<App>) {
        self.handle(app, Event::Leave);
    }

    fn handle(&self, app: &Rc<App>, event: Event) {
        let actions = self.membership.borrow_mut().handle(app.now(), event);
        let mut changed = false;
        for action in actions {
            match action {
                Action::Send(to, message) => self.send_gossip(app, to, &message),
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
                Action::EndpointLeaving(id) => app.policy.handle_endpoint_leaving(app, id),
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
        let mut last_seen = self.last_seen.borrow_mut();
        for instance in &live {
            last_seen.insert(instance.clone(), now);
        }
        last_seen.retain(|_, at| now.since(*at) < EXPECTED_MEMBER_TTL);
        let expected = last_seen.len();
        drop(last_seen);
        app.metrics.live_instances.set(live.len() as i64);
        app.policy.handle(app, ringbend_policy::Event::Peers(live.clone()));
        app.policy.handle_share_event(app, ShareEvent::Peers { live, expected });
        let share = app.policy.equal_share();
        app.policy.handle(app, ringbend_policy::Event::Share { account: None, share });
    }

    fn send_gossip(&self, app: &App, to: SocketAddr, message: &Message) {
        let Some(transport) = self.transport.borrow().clone() else { return };
        let envelope = Envelope { body: Some(envelope::Body::Gossip(message.into())) };
        app.metrics.peer_bytes(ringbend_wire::Message::encoded_len(&envelope) as u64);
        transport.send(to, envelope);
    }

    fn address_of(&self, instance: &InstanceId) -> Option<SocketAddr> {
        self.membership.borrow().members().find(|m| m.id == *instance).map(|m| m.address)
    }

    /// Reports demand to the owner of the accounts and applies the shares it grants.
    pub(crate) fn request_shares(&self, app: &Rc<App>, owner: &InstanceId, request: &GrantRequest) {
        let Some(transport) = self.transport.borrow().clone() else { return };
        let Some(to) = self.address_of(owner) else { return };
        let envelope = Envelope { body: Some(envelope::Body::GrantRequest(request.into())) };
        app.metrics.peer_bytes(ringbend_wire::Message::encoded_len(&envelope) as u64);
        let app = app.clone();
        let mut span =
            app.tracing.start_span("peer", TraceSpanKind::Client, &TraceContext::default());
        span.set_attribute("peer", owner);
        tokio::task::spawn_local(async move {
            let _span = span;
            let Ok(Envelope { body: Some(envelope::Body::GrantReply(reply)) }) =
                transport.request(to, envelope).await
            else {
                return;
            };
            if let Ok(reply) = reply.try_into() {
                app.policy.handle_share_event(&app, ShareEvent::Reply(reply));
            }
        });
    }

    /// Requests the settings changes after a version from a peer.
    pub(crate) async fn fetch_entries(
        &self,
        app: &App,
        peer: SocketAddr,
        after: SettingsVersion,
    ) -> Option<EntriesReply> {
        let transport = self.transport.borrow().clone()?;
        let mut span =
            app.tracing.start_span("peer", TraceSpanKind::Client, &TraceContext::default());
        span.set_attribute("peer", peer);
        let request = EntriesRequest { after: after.0 };
        let envelope = Envelope { body: Some(envelope::Body::EntriesRequest(request)) };
        match transport.request(peer, envelope).await {
            Ok(Envelope { body: Some(envelope::Body::EntriesReply(reply)) }) => Some(reply),
            Ok(_) => None,
            Err(e) => {
                log::debug!(peer:% = peer; "{e}");
                None
            }
        }
    }

    /// Handles gossip from a peer.
    pub(crate) fn handle_gossip(&self, app: &Rc<App>, gossip: Gossip) {
        match Message::try_from(gossip) {
            Ok(message) => self.handle(app, Event::Received(message)),
            Err(e) => log::debug!("cannot parse gossip: {e}"),
        }
    }

    /// Handles a peer's request and returns the response.
    pub(crate) fn handle_request(&self, app: &Rc<App>, request: Envelope) -> Option<Envelope> {
        let body = match request.body? {
            envelope::Body::GrantRequest(request) => {
                let reply = app.policy.grant_shares(app, request.try_into().ok()?)?;
                envelope::Body::GrantReply((&reply).into())
            }
            envelope::Body::EntriesRequest(request) => {
                let after = SettingsVersion(request.after);
                let reply = app.settings.read(|replica| EntriesReply::from_replica(replica, after));
                envelope::Body::EntriesReply(reply)
            }
            _ => return None,
        };
        Some(Envelope { body: Some(body) })
    }
}
