//! The gossip protocol, as a state machine without I/O.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::seq::{IteratorRandom, SliceRandom};
use rand_chacha::ChaCha8Rng;
use ringbend_types::{EndpointId, Incarnation, InstanceId, Seed, SettingsVersion, Timestamp};

use crate::broadcasts::BroadcastQueue;
use crate::config::MembershipConfig;
use crate::member::{Member, MemberState};
use crate::message::{Message, MessageKind, Update};
use crate::ring::Ring;

/// Number of the random stream that is used for membership.
const RANDOM_STREAM: u64 = 2;

/// Maximum number of members in one message to a joining instance.
const MAX_MEMBERS_PER_MESSAGE: usize = 64;

/// An input of the protocol.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message arrived.
    Received(Message),
    /// This version of the settings is now in force at this instance.
    Settings(SettingsVersion),
    /// An endpoint announced to this instance that it is leaving.
    EndpointLeaving(EndpointId),
    /// This instance starts to leave.
    Leave,
}

/// An action to be performed by the caller.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a message, without guaranteed delivery.
    Send(SocketAddr, Message),
    /// The state of an instance has changed.
    Changed(Member),
    /// A peer has a newer version of the settings in force, to be fetched from it or from the store.
    NewerSettings(InstanceId, SettingsVersion),
    /// A peer reported that an endpoint is leaving.
    EndpointLeaving(EndpointId),
}

#[derive(Debug, Clone)]
struct Probe {
    target: InstanceId,
    sequence: u64,
    sent: Timestamp,
    indirect: bool,
}

/// A ping sent on behalf of another instance.
#[derive(Debug, Clone)]
struct RelayedProbe {
    sequence: u64,
    requester: SocketAddr,
    requester_sequence: u64,
    sent: Timestamp,
}

/// The view that one instance has of the others.
#[derive(Debug, Clone)]
pub struct Membership {
    cfg: MembershipConfig,
    id: InstanceId,
    address: SocketAddr,
    incarnation: Incarnation,
    state: MemberState,
    settings: SettingsVersion,
    seeds: Vec<SocketAddr>,
    members: BTreeMap<InstanceId, Member>,
    ring: Ring,
    broadcasts: BroadcastQueue,
    rng: ChaCha8Rng,
    sequence: u64,
    round: Vec<InstanceId>,
    probe: Option<Probe>,
    relayed_probes: Vec<RelayedProbe>,
    next_probe: Timestamp,
    last_tick: Option<Timestamp>,
    refuted_suspicions: u64,
}

impl Membership {
    /// Creates a view that knows only this instance and the addresses of the seeds.
    pub fn new(
        cfg: MembershipConfig,
        id: InstanceId,
        address: SocketAddr,
        incarnation: Incarnation,
        seeds: Vec<SocketAddr>,
        seed: Seed,
    ) -> Self {
        Self {
            cfg,
            id,
            address,
            incarnation,
            state: MemberState::Alive,
            settings: SettingsVersion(0),
            seeds,
            members: BTreeMap::new(),
            ring: Ring::default(),
            broadcasts: BroadcastQueue::default(),
            rng: seed.rng(RANDOM_STREAM),
            sequence: 0,
            round: Vec::new(),
            probe: None,
            relayed_probes: Vec::new(),
            next_probe: Timestamp::default(),
            last_tick: None,
            refuted_suspicions: 0,
        }
    }

    /// All known members except this instance.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Members that are alive or suspected.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|m| m.state <= MemberState::Suspect)
    }

    /// The number of suspicions against this instance that it had to refute.
    pub fn refuted_suspicions(&self) -> u64 {
        self.refuted_suspicions
    }

    /// When the next [`Event::Tick`] is due.
    pub fn next_wakeup(&self) -> Timestamp {
        let ack = self.probe.as_ref().map(|p| p.sent + self.cfg.ack_timeout);
        self.next_probe.min(ack.unwrap_or(Timestamp::NEVER))
    }

    /// Handles an event.
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut actions),
            Event::Received(message) => self.receive(now, message, &mut actions),
            Event::Settings(version) => self.settings_in_force(version, &mut actions),
            Event::EndpointLeaving(id) => {
                self.broadcasts.add(Update::EndpointLeaving(id), true);
                self.push(self.cfg.push_fanout, &mut actions);
            }
            Event::Leave => {
                self.state = MemberState::Leaving;
                self.broadcasts.add(self.own_update(), true);
                self.push(self.cfg.push_fanout, &mut actions);
            }
        }
        actions
    }

    fn tick(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        self.detect_own_pause(now);
        self.check_probe(now, actions);
        self.expire_members(now, actions);
        if now >= self.next_probe {
            self.next_probe = now + self.cfg.probe_interval;
            self.start_probe(now, actions);
        }
    }

    /// After a pause of this instance itself, unanswered probes do not indicate failures of others.
    fn detect_own_pause(&mut self, now: Timestamp) {
        let late = self.last_tick.is_some_and(|last| now.since(last) > self.cfg.pause_threshold);
        self.last_tick = Some(now);
        if late {
            self.probe = None;
            for member in self.members.values_mut() {
                member.since = member.since.max(now - self.cfg.ack_timeout);
            }
        }
    }

    fn check_probe(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let Some(mut probe) = self.probe.take() else { return };
        let waited = now.since(probe.sent);
        if waited >= self.cfg.ack_timeout * 3 {
            return self.suspect(now, &probe.target, actions);
        }
        if waited >= self.cfg.ack_timeout && !probe.indirect {
            probe.indirect = true;
            self.send_indirect_probes(&probe, actions);
        }
        self.probe = Some(probe);
    }

    fn send_indirect_probes(&mut self, probe: &Probe, actions: &mut Vec<Action>) {
        let mut candidates = self.partners();
        candidates.retain(|id| *id != probe.target);
        let helpers =
            candidates.into_iter().choose_multiple(&mut self.rng, self.cfg.indirect_probes);
        for helper in helpers {
            let Some(address) = self.members.get(&helper).map(|m| m.address) else { continue };
            let kind = MessageKind::PingRequest { target: probe.target.clone() };
            let message = self.message(kind, probe.sequence);
            actions.push(Action::Send(address, message));
        }
    }

    fn suspect(&mut self, now: Timestamp, target: &InstanceId, actions: &mut Vec<Action>) {
        let Some(member) = self.members.get(target) else { return };
        if member.state == MemberState::Alive {
            let (address, incarnation) = (member.address, member.incarnation);
            let state = MemberState::Suspect;
            let id = target.clone();
            self.apply_update(now, Update::Member { id, address, incarnation, state }, actions);
        }
    }

    fn expire_members(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let timeout = self.cfg.suspicion_timeout;
        let expired =
            |m: &&Member| m.state == MemberState::Suspect && now.since(m.since) >= timeout;
        let dead: Vec<Member> = self.members.values().filter(expired).cloned().collect();
        for Member { id, address, incarnation, .. } in dead {
            let state = MemberState::Dead;
            self.apply_update(now, Update::Member { id, address, incarnation, state }, actions);
        }
        let tombstone_retention = self.cfg.tombstone_retention;
        self.members.retain(|_, m| {
            m.state < MemberState::Leaving || now.since(m.since) < tombstone_retention
        });
    }

    fn start_probe(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if self.live().next().is_none() {
            return self.join(actions);
        }
        if self.probe.is_some() {
            return;
        }
        let Some(target) = self.next_target() else { return };
        self.sequence += 1;
        let sequence = self.sequence;
        let address = self.members[&target].address;
        let suspicion = self.suspicion_update(&target);
        self.probe = Some(Probe { target, sequence, sent: now, indirect: false });
        let mut message = self.message(MessageKind::Ping, sequence);
        message.updates.extend(suspicion);
        actions.push(Action::Send(address, message));
    }

    /// The update that is included in each ping to a suspect, so that it learns of the suspicion and can
    /// refute it.
    fn suspicion_update(&self, target: &InstanceId) -> Option<Update> {
        let member = self.members.get(target)?;
        (member.state == MemberState::Suspect).then(|| member_update(member))
    }

    fn join(&mut self, actions: &mut Vec<Action>) {
        let own = self.address;
        let seeds: Vec<SocketAddr> = self.seeds.iter().copied().filter(|s| *s != own).collect();
        for address in seeds {
            let message = self.message(MessageKind::Join, 0);
            actions.push(Action::Send(address, message));
        }
    }

    /// The instances that this one probes and sends urgent updates to.
    fn partners(&mut self) -> Vec<InstanceId> {
        let live = self.members.values().filter(|m| m.state <= MemberState::Suspect);
        self.ring.partners(&self.id, live.map(|m| &m.id)).to_vec()
    }

    /// The next partner to probe. Partners are probed in a random order that visits each one once per round.
    fn next_target(&mut self) -> Option<InstanceId> {
        loop {
            if self.round.is_empty() {
                self.round = self.partners();
                self.round.shuffle(&mut self.rng);
            }
            let id = self.round.pop()?;
            if self.members.get(&id).is_some_and(|m| m.state <= MemberState::Suspect) {
                return Some(id);
            }
        }
    }

    fn receive(&mut self, now: Timestamp, message: Message, actions: &mut Vec<Action>) {
        let Message { from, from_address, incarnation, sequence, kind, settings, updates } =
            message;
        if from == self.id {
            return;
        }
        let sender = Update::Member {
            id: from.clone(),
            address: from_address,
            incarnation,
            state: MemberState::Alive,
        };
        self.apply_update(now, sender, actions);
        for update in updates {
            self.apply_update(now, update, actions);
        }
        if settings > self.settings {
            actions.push(Action::NewerSettings(from.clone(), settings));
        }
        match kind {
            MessageKind::Ping => {
                let ack = self.message(MessageKind::Ack, sequence);
                actions.push(Action::Send(from_address, ack));
            }
            MessageKind::Ack => self.handle_ack(sequence, actions),
            MessageKind::PingRequest { target } => {
                self.relay_probe(now, &target, from_address, sequence, actions);
            }
            MessageKind::Join => self.send_members(from_address, actions),
            MessageKind::News => {}
        }
    }

    fn handle_ack(&mut self, sequence: u64, actions: &mut Vec<Action>) {
        if self.probe.as_ref().is_some_and(|p| p.sequence == sequence) {
            self.probe = None;
        }
        if let Some(at) = self.relayed_probes.iter().position(|p| p.sequence == sequence) {
            let probe = self.relayed_probes.swap_remove(at);
            let ack = self.message(MessageKind::Ack, probe.requester_sequence);
            actions.push(Action::Send(probe.requester, ack));
        }
    }

    fn relay_probe(
        &mut self,
        now: Timestamp,
        target: &InstanceId,
        requester: SocketAddr,
        requester_sequence: u64,
        actions: &mut Vec<Action>,
    ) {
        let Some(address) = self.members.get(target).map(|m| m.address) else { return };
        let timeout = self.cfg.ack_timeout * 3;
        self.relayed_probes.retain(|p| now.since(p.sent) < timeout);
        self.sequence += 1;
        let sequence = self.sequence;
        self.relayed_probes.push(RelayedProbe {
            sequence,
            requester,
            requester_sequence,
            sent: now,
        });
        let ping = self.message(MessageKind::Ping, sequence);
        actions.push(Action::Send(address, ping));
    }

    fn send_members(&mut self, to: SocketAddr, actions: &mut Vec<Action>) {
        let updates: Vec<Update> = self.members.values().map(member_update).collect();
        for page in updates.chunks(MAX_MEMBERS_PER_MESSAGE) {
            let mut message = self.message(MessageKind::News, 0);
            message.updates = page.to_vec();
            actions.push(Action::Send(to, message));
        }
        if self.members.is_empty() {
            let message = self.message(MessageKind::News, 0);
            actions.push(Action::Send(to, message));
        }
    }

    /// Applies an update, and forwards it if it is new to this instance.
    fn apply_update(&mut self, now: Timestamp, update: Update, actions: &mut Vec<Action>) {
        match &update {
            Update::EndpointLeaving(id) => {
                // The caller reports the endpoint back as an event only if this is new to it, which then
                // disseminates the update.
                actions.push(Action::EndpointLeaving(id.clone()));
            }
            Update::Member { id, incarnation, state, .. } if *id == self.id => {
                self.refute(*incarnation, *state, actions);
            }
            Update::Member { id, address, incarnation, state } => {
                let known = self.members.get(id);
                if known.is_some_and(|m| !m.is_older_than(*incarnation, *state)) {
                    return;
                }
                if known.is_none() && *state == MemberState::Dead {
                    return;
                }
                let member_state = *state;
                let cleared = known.is_some_and(|m| m.state == MemberState::Suspect)
                    && *state == MemberState::Alive;
                let member = Member {
                    id: id.clone(),
                    address: *address,
                    incarnation: *incarnation,
                    state: *state,
                    since: now,
                };
                self.members.insert(id.clone(), member.clone());
                self.ring.invalidate();
                actions.push(Action::Changed(member));
                self.broadcasts.add(update, cleared || member_state > MemberState::Alive);
                if cleared {
                    // A refutation has to spread faster than the suspicion.
                    self.push(self.cfg.refutation_fanout, actions);
                }
            }
        }
    }

    fn refute(&mut self, incarnation: Incarnation, state: MemberState, actions: &mut Vec<Action>) {
        let is_current = incarnation >= self.incarnation;
        if state == MemberState::Alive || !is_current || self.state == MemberState::Leaving {
            return;
        }
        self.refuted_suspicions += 1;
        self.incarnation = incarnation.next();
        self.broadcasts.add(self.own_update(), true);
        self.push(self.cfg.push_fanout, actions);
    }

    /// Announces newer settings as soon as they are in force at this instance, so that they reach all
    /// instances within a few hops rather than a few rounds.
    fn settings_in_force(&mut self, version: SettingsVersion, actions: &mut Vec<Action>) {
        if version > self.settings {
            self.settings = version;
            self.push(self.cfg.push_fanout, actions);
        }
    }

    /// Immediately sends the queued updates to `fanout` random partners.
    fn push(&mut self, fanout: usize, actions: &mut Vec<Action>) {
        let receivers = self.partners().into_iter().choose_multiple(&mut self.rng, fanout);
        for id in receivers {
            let Some(address) = self.members.get(&id).map(|m| m.address) else { continue };
            let message = self.message(MessageKind::News, 0);
            actions.push(Action::Send(address, message));
        }
    }

    fn own_update(&self) -> Update {
        Update::Member {
            id: self.id.clone(),
            address: self.address,
            incarnation: self.incarnation,
            state: self.state,
        }
    }

    fn message(&mut self, kind: MessageKind, sequence: u64) -> Message {
        let members = self.members.len() as u32 + 2;
        let transmissions = self.cfg.retransmit_multiplier * (u32::BITS - members.leading_zeros());
        let mut updates = self.broadcasts.take(self.cfg.max_updates_per_message, transmissions);
        if self.state == MemberState::Leaving {
            updates.push(self.own_update());
        }
        Message {
            from: self.id.clone(),
            from_address: self.address,
            incarnation: self.incarnation,
            sequence,
            kind,
            settings: self.settings,
            updates,
        }
    }
}

fn member_update(member: &Member) -> Update {
    Update::Member {
        id: member.id.clone(),
        address: member.address,
        incarnation: member.incarnation,
        state: member.state,
    }
}
