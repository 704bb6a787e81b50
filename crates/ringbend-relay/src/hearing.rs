//! Takes in what other instances tell.

use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;

use ringbend_gateway::{HealthEvent, PeerObservation, PeerStatus, Role, WorkId};
use ringbend_types::Timestamp;
use ringbend_wire::{
    EndpointResult, LoadDigest, Message, OpenWork, OwnersWork, decode_endpoint_restart,
    decode_endpoint_result, decode_placed_work, decode_role, decode_waiting_work,
};

use crate::link::MAX_DATAGRAM;
use crate::node::Node;
use crate::relayed;

/// Takes in digests for as long as the process lives.
pub(crate) async fn receive(node: Rc<Node>) {
    let Some(socket) = node.link.get().map(|link| link.socket.clone()) else { return };
    let mut buf = vec![0; MAX_DATAGRAM];
    loop {
        let (len, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(e) => {
                log::debug!(target: "peers", error:% = e; "nothing received");
                continue;
            }
        };
        let SocketAddr::V4(from) = from else { continue };
        match LoadDigest::decode(&buf[..len]) {
            Ok(digest) => node.take_in(from, &digest),
            Err(e) => log::warn!(target: "peers", peer:% = from, error:% = e; "digest refused"),
        }
    }
}

impl Node {
    fn take_in(self: &Rc<Self>, from: SocketAddrV4, digest: &LoadDigest) {
        let now = self.clock.now();
        let start = digest.incarnation;
        if start == self.incarnation() {
            return;
        }
        if digest.bye {
            self.peers.borrow_mut().remove(from);
            self.forget_start(start);
            log::info!(target: "peers", peer:% = from, start; "left");
            return;
        }
        self.note_sender(now, from, digest);
        self.greet_named(&digest.peers);
        if digest.hello {
            self.answer_hello(from, digest);
        }
        if let Some(own) = digest.hello_clock_us {
            let (own, peers) = (Timestamp(own), Timestamp(digest.clock_us));
            self.readers.borrow_mut().pair_clocks(start, own, peers);
        }
        self.note_suspicions(digest, decode_role(digest) == Role::Scheduler);
        self.note_limits(digest, decode_role(digest) == Role::Scheduler);
        self.note_drains(digest, decode_role(digest) == Role::Scheduler);
        self.note_work(now, from, digest);
        for start in &digest.gone {
            self.load.borrow_mut().forget_instance(now, *start);
        }
        self.note_unfit(now, &digest.unfit);
        self.note_restarts(digest);
        self.note_told_paces(digest);
        digest.results.iter().for_each(|result| self.note_result(now, result));
        digest.asks.iter().for_each(|ask| self.take_ask(from, start, ask));
        let own = self.incarnation();
        digest.grants.iter().for_each(|grant| self.asks.borrow().answer(own, grant));
        relayed::take_in(self, now, from, digest);
    }

    /// Notes that the sender is there, and what part it has.
    fn note_sender(self: &Rc<Self>, now: Timestamp, from: SocketAddrV4, digest: &LoadDigest) {
        let start = digest.incarnation;
        let heard = self.peers.borrow_mut().record_digest(now, from, start);
        if let Ok(data_centre) = digest.data_centre.parse() {
            self.peers.borrow_mut().describe(from, data_centre, digest.capacity);
        }
        let part = PeerStatus {
            role: decode_role(digest),
            instances: digest.instances as usize,
            fleet: digest.fleet as usize,
        };
        self.peers.borrow_mut().set_status(from, part);
        if digest.call_up && !self.schedules() {
            log::info!(target: "peers", peer:% = from; "asked to schedule");
            self.peers.borrow_mut().become_scheduler();
            self.begin_to_schedule();
        }
        self.review_role();
        if let PeerObservation::New { replaced } = heard {
            log::info!(target: "peers", peer:% = from, start, role:? = part.role; "heard");
            if let Some(replaced) = replaced {
                self.forget_start(replaced);
            }
            // Its answer pairs the clocks.
            self.say_hello(from);
        }
    }

    /// Looks whether this instance should schedule.
    pub(crate) fn review_role(self: &Rc<Self>) {
        let now = self.clock.now();
        if !self.peers.borrow_mut().update_role(now) {
            return;
        }
        if self.schedules() { self.begin_to_schedule() } else { self.cease_to_schedule() }
    }

    /// Asks the other schedulers for what runs where, and tells them of the own requests.
    pub(crate) fn begin_to_schedule(&self) {
        log::info!(target: "peers", schedules = true; "role");
        let fellows = self.peers.borrow().likely_other_schedulers(self.clock.now());
        fellows.into_iter().for_each(|fellow| self.say_hello(fellow));
        self.greet_elsewhere();
        self.outbox.borrow_mut().placed.extend(self.own_work());
        self.signals.now.notify_one();
    }

    /// Leaves to others what was asked for here. What others run is no longer told to this instance.
    fn cease_to_schedule(&self) {
        log::info!(target: "peers", schedules = false; "role");
        self.load.borrow_mut().keep_instance(self.clock.now(), self.incarnation());
        let queued = self.grants.borrow_mut().clear();
        for (address, grant) in queued {
            self.tell(&LoadDigest { grants: vec![grant], ..self.digest() }, address);
        }
        // Those that this instance scheduled for find the others by this.
        let now = self.clock.now();
        let peers = self.peers.borrow();
        let named = peers.local_schedulers(now).iter().map(SocketAddrV4::to_string).collect();
        let digest = LoadDigest { peers: named, ..self.digest() };
        self.tell_all(&digest, peers.members(now));
        self.signals.now.notify_one();
    }

    /// Forgets all that belongs to a start that has ended, and tells other schedulers of it.
    pub(crate) fn forget_start(&self, start: u64) {
        let had_work = self.load.borrow_mut().forget_instance(self.clock.now(), start);
        self.grants.borrow_mut().forget(start);
        self.readers.borrow_mut().forget(start);
        if had_work && self.schedules() {
            self.outbox.borrow_mut().ended_instances.push(start);
            self.signals.soon.notify_one();
        }
    }

    /// Forgets work that a scheduler told of and that none has told of since.
    pub(crate) fn forget_told_by(&self, scheduler: SocketAddrV4) {
        let now = self.clock.now();
        for owner in self.grants.borrow_mut().take_told_by(scheduler) {
            self.load.borrow_mut().forget_instance(now, owner);
        }
    }

    fn answer_hello(&self, from: SocketAddrV4, hello: &LoadDigest) {
        let schedules = decode_role(hello) == Role::Scheduler;
        let answer = LoadDigest {
            hello_clock_us: Some(hello.clock_us),
            peers: self.schedulers_besides(from, schedules),
            ..self.introduction()
        };
        let work = if schedules { self.work_of_home() } else { Vec::new() };
        let known =
            self.all_limits().into_iter().chain(self.all_drains()).chain(self.all_suspects());
        for digest in self.with_work(answer, work).into_iter().chain(known) {
            self.tell(&digest, from);
        }
    }

    /// The addresses of the schedulers but for one: of all data centres, or of this one.
    fn schedulers_besides(&self, one: SocketAddrV4, of_all: bool) -> Vec<String> {
        let (now, peers) = (self.clock.now(), self.peers.borrow());
        let named =
            if of_all { peers.other_schedulers(now) } else { peers.local_schedulers(now).to_vec() };
        named.into_iter().filter(|a| *a != one).map(|a| a.to_string()).collect()
    }

    /// Greets instances that another one named, if they are not heard.
    fn greet_named(&self, named: &[String]) {
        let mut addresses: Vec<SocketAddrV4> = Vec::new();
        for address in named {
            match address.parse() {
                Ok(address) => addresses.push(address),
                Err(e) => log::warn!(target: "peers", address, error:% = e; "no address"),
            }
        }
        self.greet(&addresses);
    }

    fn note_unfit(&self, now: Timestamp, unfit: &[String]) {
        for id in unfit {
            match id.parse() {
                Ok(id) => self.trust.borrow_mut().note(now, &id, HealthEvent::Bad),
                Err(e) => log::warn!(target: "peers", id, error:% = e; "no endpoint's id"),
            }
        }
    }

    fn note_restarts(&self, digest: &LoadDigest) {
        for told in &digest.restarts {
            match decode_endpoint_restart(told) {
                Ok((endpoint, start)) => self.note_start(&endpoint, start),
                Err(e) => log::warn!(target: "peers", error:% = e; "restart refused"),
            }
        }
    }

    fn note_result(&self, now: Timestamp, result: &EndpointResult) {
        match decode_endpoint_result(result) {
            Ok((id, event)) => self.trust.borrow_mut().note(now, &id, event),
            Err(e) => log::warn!(target: "peers", error:% = e; "result refused"),
        }
    }

    /// Notes work of the sender and of others that it schedules for. Work of an instance that does not
    /// schedule is told on.
    fn note_work(&self, now: Timestamp, from: SocketAddrV4, digest: &LoadDigest) {
        let is_scheduler = decode_role(digest) == Role::Scheduler;
        let tells_on = self.schedules() && !is_scheduler;
        for owners in &digest.work {
            if is_scheduler {
                self.note_teller(now, owners.instance, from);
            } else {
                self.grants.borrow_mut().serve(owners.instance);
            }
            self.note_owners_work(now, owners, tells_on);
        }
        if let (Some(open), true) = (&digest.open, tells_on) {
            self.end_unlisted(now, digest.incarnation, open);
        }
        if !digest.work.is_empty() {
            self.load_news.notify_waiters();
        }
        if tells_on && !digest.work.is_empty() {
            let has_new = digest.work.iter().any(|owners| !owners.placed.is_empty());
            if has_new { self.signals.now.notify_one() } else { self.signals.soon.notify_one() }
        }
    }

    /// Notes which scheduler tells of an instance's work. One that plans a long prompt for another tells
    /// of its owner as well, and the first one stays the one that does while it is there.
    fn note_teller(&self, now: Timestamp, owner: u64, from: SocketAddrV4) {
        let before = self.grants.borrow().teller(owner);
        if before.is_none_or(|before| !self.peers.borrow().is_alive(now, before)) {
            self.grants.borrow_mut().told_by(owner, from);
        }
    }

    fn note_owners_work(&self, now: Timestamp, owners: &OwnersWork, tells_on: bool) {
        let instance = owners.instance;
        if instance == self.incarnation() {
            return;
        }
        let id = |sequence: u64| WorkId { instance, sequence };
        let mut load = self.load.borrow_mut();
        let mut outbox = self.outbox.borrow_mut();
        for waiting in &owners.waiting {
            match decode_waiting_work(now, waiting) {
                Ok(told) => load.wait(id(waiting.sequence), told),
                Err(e) => {
                    log::warn!(target: "peers", instance, error:% = e; "waiting work refused")
                }
            }
        }
        for placed in &owners.placed {
            match decode_placed_work(now, placed) {
                Ok(work) => load.merge_placed(now, id(placed.sequence), work, placed.writing),
                Err(e) => log::warn!(target: "peers", instance, error:% = e; "work refused"),
            }
            if tells_on {
                outbox.placed.push(id(placed.sequence));
            }
        }
        owners.writing.iter().for_each(|sequence| load.first_event(id(*sequence)));
        owners.ended.iter().for_each(|sequence| load.end(now, id(*sequence)));
        if tells_on {
            outbox.writing.extend(owners.writing.iter().map(|sequence| id(*sequence)));
            outbox.ended.extend(owners.ended.iter().map(|sequence| id(*sequence)));
        }
        let mut grants = self.grants.borrow_mut();
        owners.ended.iter().for_each(|sequence| grants.end(id(*sequence)));
    }

    /// Ends what is believed of an instance's work and it does not tell of any more: word of its end
    /// was lost.
    fn end_unlisted(&self, now: Timestamp, instance: u64, open: &OpenWork) {
        let unlisted = self.load.borrow().unlisted(now, instance, &open.sequences);
        for id in unlisted {
            self.grants.borrow_mut().end(id);
            self.end(id);
        }
    }
}
