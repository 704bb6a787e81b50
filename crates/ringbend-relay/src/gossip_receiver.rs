//! Processes datagrams from other instances.

use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;

use ringbend_gateway::{HealthEvent, PeerObservation, PeerStatus, Role, WorkId};
use ringbend_types::Timestamp;
use ringbend_wire::{
    EndpointResult, LoadDigest, Message, OpenWork, OwnersWork, decode_endpoint_restart,
    decode_endpoint_result, decode_placed_work, decode_role, decode_waiting_work,
};

use crate::node::Node;
use crate::peer_socket::MAX_DATAGRAM;
use crate::table_gossip;

/// Receives digests for as long as the process lives.
pub(crate) async fn receive_digests(node: Rc<Node>) {
    let Some(socket) = node.peer_socket.get().map(|peer| peer.socket.clone()) else { return };
    let mut buf = vec![0; MAX_DATAGRAM];
    loop {
        let (len, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(e) => {
                log::debug!(target: "peers", error:% = e; "receiving a datagram failed");
                continue;
            }
        };
        let SocketAddr::V4(from) = from else { continue };
        if node.peer_socket.get().is_some_and(|peer| peer.dropped.borrow().contains(&from)) {
            continue;
        }
        match LoadDigest::decode(&buf[..len]) {
            Ok(digest) => node.handle_digest(from, &digest),
            Err(e) => log::warn!(target: "peers", peer:% = from, error:% = e; "invalid digest"),
        }
    }
}

impl Node {
    fn handle_digest(self: &Rc<Self>, from: SocketAddrV4, digest: &LoadDigest) {
        let now = self.clock.now();
        let start = digest.incarnation;
        if start == self.incarnation() {
            return;
        }
        if digest.bye {
            self.peers.borrow_mut().remove(from);
            self.membership.borrow_mut().remove(from);
            self.forget_incarnation(start);
            log::info!(target: "peers", peer:% = from, start; "peer stopped");
            return;
        }
        self.update_sender(now, from, digest);
        self.greet_named(&digest.peers);
        if digest.hello {
            self.reply_to_hello(from, digest);
        }
        if let Some(own_us) = digest.hello_clock_us {
            let (own_time, peer_time) = (Timestamp(own_us), Timestamp(digest.clock_us));
            self.readers.borrow_mut().pair_clocks(start, own_time, peer_time);
        }
        self.merge_suspicions(digest, decode_role(digest) == Role::Scheduler);
        self.merge_limits(digest, decode_role(digest) == Role::Scheduler);
        self.merge_drains(digest, decode_role(digest) == Role::Scheduler);
        self.apply_work(now, from, digest);
        if digest.unregistered {
            self.registration_due.notify_one();
        }
        for incarnation in &digest.gone {
            self.load.borrow_mut().forget_instance(now, *incarnation);
        }
        self.apply_unfit(now, &digest.unfit);
        self.apply_restarts(digest);
        self.merge_paces(digest);
        digest.results.iter().for_each(|result| self.apply_result(now, result));
        digest.asks.iter().for_each(|ask| self.handle_placement_request(from, start, ask));
        let own = self.incarnation();
        digest.grants.iter().for_each(|grant| self.placement_requests.borrow().deliver(own, grant));
        table_gossip::handle_digest(self, now, from, digest);
    }

    /// Records that the sender is alive, and its role.
    fn update_sender(self: &Rc<Self>, now: Timestamp, from: SocketAddrV4, digest: &LoadDigest) {
        let start = digest.incarnation;
        let observation = self.peers.borrow_mut().record_digest(now, from, start);
        if let Ok(data_centre) = digest.data_centre.parse() {
            self.peers.borrow_mut().describe(from, data_centre, digest.capacity);
        }
        let status = PeerStatus {
            role: decode_role(digest),
            instances: digest.instances as usize,
            fleet: digest.fleet as usize,
            possible: digest.possible as usize,
        };
        self.peers.borrow_mut().set_status(from, status);
        if digest.call_up && !self.is_scheduler() {
            log::info!(target: "peers", peer:% = from; "asked to become a scheduler");
            self.peers.borrow_mut().become_scheduler();
            self.become_scheduler();
        }
        self.review_role();
        if let PeerObservation::New { replaced } = observation {
            log::info!(target: "peers", peer:% = from, start, role:? = status.role; "new peer");
            if let Some(replaced) = replaced {
                self.forget_incarnation(replaced);
            }
        }
        // The reply lets this instance convert the times that the peer reports, and names others. It
        // may be lost.
        let is_answered = digest.hello_clock_us.is_some() || self.readers.borrow().is_paired(start);
        if !is_answered && self.peers.borrow_mut().begin_hello(now, from) {
            self.send_hello(from);
        }
    }

    /// Reviews whether this instance should be a scheduler.
    pub(crate) fn review_role(self: &Rc<Self>) {
        let now = self.clock.now();
        if !self.peers.borrow_mut().update_role(now) {
            return;
        }
        if self.is_scheduler() { self.become_scheduler() } else { self.become_member() }
    }

    /// Requests the open work from the other schedulers, and reports this instance's own to them.
    pub(crate) fn become_scheduler(&self) {
        log::info!(target: "peers", schedules = true; "role changed");
        self.role_changed.notify_waiters();
        let other_schedulers = self.peers.borrow().likely_other_schedulers(self.clock.now());
        other_schedulers.into_iter().for_each(|scheduler| self.send_hello(scheduler));
        self.greet_other_data_centres();
        self.outbox.borrow_mut().placed.extend(self.own_placed_work());
        self.flush.immediate.notify_one();
    }

    /// Leaves placement to the other schedulers, which no longer report their work to this
    /// instance.
    fn become_member(&self) {
        log::info!(target: "peers", schedules = false; "role changed");
        self.role_changed.notify_waiters();
        self.load.borrow_mut().keep_instance(self.clock.now(), self.incarnation());
        let queued = self.placement_grants.borrow_mut().clear();
        for (address, grant) in queued {
            self.send_digest(&LoadDigest { grants: vec![grant], ..self.digest() }, address);
        }
        // Tells the members served so far which other schedulers there are.
        let now = self.clock.now();
        let peers = self.peers.borrow();
        let named = peers.local_schedulers(now).iter().map(SocketAddrV4::to_string).collect();
        let digest = LoadDigest { peers: named, ..self.digest() };
        self.send_digest_to_all(&digest, peers.members(now));
        self.flush.immediate.notify_one();
    }

    /// Removes all state of an incarnation that has ended, and informs other schedulers.
    pub(crate) fn forget_incarnation(&self, incarnation: u64) {
        let had_work = self.load.borrow_mut().forget_instance(self.clock.now(), incarnation);
        self.placement_grants.borrow_mut().forget(incarnation);
        self.readers.borrow_mut().forget(incarnation);
        if had_work && self.is_scheduler() {
            self.outbox.borrow_mut().ended_instances.push(incarnation);
            self.flush.batched.notify_one();
        }
    }

    /// Removes work that was reported by a scheduler and by no other one since.
    pub(crate) fn forget_reported_by(&self, scheduler: SocketAddrV4) {
        let now = self.clock.now();
        for owner in self.placement_grants.borrow_mut().take_reported_by(scheduler) {
            self.load.borrow_mut().forget_instance(now, owner);
        }
    }

    fn reply_to_hello(&self, from: SocketAddrV4, hello: &LoadDigest) {
        let schedules = decode_role(hello) == Role::Scheduler;
        let reply = LoadDigest {
            hello_clock_us: Some(hello.clock_us),
            peers: self.schedulers_except(from, schedules),
            ..self.introduction()
        };
        let work = if schedules { self.work_of_data_centre() } else { Vec::new() };
        let snapshots = self
            .limit_snapshot()
            .into_iter()
            .chain(self.drain_snapshot())
            .chain(self.suspect_snapshot());
        for digest in self.pack_work(reply, work).into_iter().chain(snapshots) {
            self.send_digest(&digest, from);
        }
    }

    /// The addresses of the schedulers of this data centre, or of all data centres, without
    /// `excluded`.
    fn schedulers_except(&self, excluded: SocketAddrV4, all_data_centres: bool) -> Vec<String> {
        let (now, peers) = (self.clock.now(), self.peers.borrow());
        let named = if all_data_centres {
            peers.other_schedulers(now)
        } else {
            peers.local_schedulers(now).to_vec()
        };
        named.into_iter().filter(|a| *a != excluded).map(|a| a.to_string()).collect()
    }

    /// Greets instances that another one named, unless they are known already.
    fn greet_named(&self, named: &[String]) {
        let mut addresses: Vec<SocketAddrV4> = Vec::new();
        for address in named {
            match address.parse() {
                Ok(address) => addresses.push(address),
                Err(e) => {
                    log::warn!(target: "peers", address, error:% = e; "invalid peer address in digest")
                }
            }
        }
        self.membership.borrow_mut().add_named(self.clock.now(), &addresses);
        self.greet(&addresses);
    }

    fn apply_unfit(&self, now: Timestamp, unfit: &[String]) {
        for id in unfit {
            match id.parse() {
                Ok(id) => self.health.borrow_mut().note(now, &id, HealthEvent::Bad),
                Err(e) => {
                    log::warn!(target: "peers", id, error:% = e; "invalid endpoint id in digest")
                }
            }
        }
    }

    fn apply_restarts(&self, digest: &LoadDigest) {
        for encoded in &digest.restarts {
            match decode_endpoint_restart(encoded) {
                Ok((endpoint, start)) => self.record_endpoint_start(&endpoint, start),
                Err(e) => {
                    log::warn!(target: "peers", error:% = e; "invalid endpoint restart in digest")
                }
            }
        }
    }

    fn apply_result(&self, now: Timestamp, result: &EndpointResult) {
        match decode_endpoint_result(result) {
            Ok((id, event)) => self.health.borrow_mut().note(now, &id, event),
            Err(e) => log::warn!(target: "peers", error:% = e; "invalid endpoint result in digest"),
        }
    }

    /// Applies work reported by its own instance or by the scheduler of that instance. Work of
    /// members is forwarded.
    fn apply_work(&self, now: Timestamp, from: SocketAddrV4, digest: &LoadDigest) {
        let is_scheduler = decode_role(digest) == Role::Scheduler;
        let forwards = self.is_scheduler() && !is_scheduler;
        for owners in &digest.work {
            if is_scheduler {
                self.record_reporter(now, owners.instance, from);
            } else {
                self.placement_grants.borrow_mut().record_served(owners.instance);
            }
            self.apply_owner_work(now, owners, forwards);
        }
        if let (Some(open), true) = (&digest.open, forwards) {
            self.end_unlisted(now, digest.incarnation, open);
        }
        if !digest.work.is_empty() {
            self.load_changed.notify_waiters();
        }
        if forwards && !digest.work.is_empty() {
            let has_new = digest.work.iter().any(|owners| !owners.placed.is_empty());
            if has_new {
                self.flush.immediate.notify_one()
            } else {
                self.flush.batched.notify_one()
            }
        }
    }

    /// Records which scheduler reports an instance's work. A scheduler that plans a long prompt for
    /// another one reports its owner's work as well; the first reporter remains in place as long as
    /// it is alive.
    fn record_reporter(&self, now: Timestamp, owner: u64, from: SocketAddrV4) {
        let previous = self.placement_grants.borrow().reporter(owner);
        if previous.is_none_or(|previous| !self.peers.borrow().is_alive(now, previous)) {
            self.placement_grants.borrow_mut().record_reported_by(owner, from);
        }
    }

    fn apply_owner_work(&self, now: Timestamp, owners: &OwnersWork, forwards: bool) {
        let instance = owners.instance;
        if instance == self.incarnation() {
            return;
        }
        let id = |sequence: u64| WorkId { instance, sequence };
        let mut load = self.load.borrow_mut();
        let mut outbox = self.outbox.borrow_mut();
        for waiting in &owners.waiting {
            match decode_waiting_work(now, waiting) {
                Ok(prompt) => load.add_waiting(id(waiting.sequence), prompt),
                Err(e) => {
                    log::warn!(target: "peers", instance, error:% = e; "invalid waiting work in digest")
                }
            }
        }
        for placed in &owners.placed {
            match decode_placed_work(now, placed) {
                Ok(work) => load.merge_placed(now, id(placed.sequence), work, placed.writing),
                Err(e) => {
                    log::warn!(target: "peers", instance, error:% = e; "invalid work in digest")
                }
            }
            if forwards {
                outbox.placed.push(id(placed.sequence));
            }
        }
        owners.writing.iter().for_each(|sequence| load.first_event(id(*sequence)));
        owners.ended.iter().for_each(|sequence| load.end(now, id(*sequence)));
        if forwards {
            outbox.writing.extend(owners.writing.iter().map(|sequence| id(*sequence)));
            outbox.ended.extend(owners.ended.iter().map(|sequence| id(*sequence)));
        }
        let mut grants = self.placement_grants.borrow_mut();
        owners.ended.iter().for_each(|sequence| grants.end(id(*sequence)));
    }

    /// Ends work that the instance no longer lists, as the message about its end was lost.
    fn end_unlisted(&self, now: Timestamp, instance: u64, open: &OpenWork) {
        let unlisted = self.load.borrow().unlisted(now, instance, &open.sequences);
        for id in unlisted {
            self.placement_grants.borrow_mut().end(id);
            self.end_work(id);
        }
    }
}
