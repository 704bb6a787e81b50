//! Which instances schedule, and how many messages they exchange. In a fleet of a few hundred
//! instances, reporting every placement to all would use up the processor time.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};

use ringbend_gateway::{
    HEARTBEAT_INTERVAL, InstanceRank, PEER_TIMEOUT, PeerStatus, Peers, Role,
    SCHEDULERS_PER_DATA_CENTRE,
};
use ringbend_types::{DataCentre, Timestamp};
use support::{at, ms};

/// The capacity of the larger instances and of the others, in thousandths of a core.
const LARGE: u32 = 500;
const SMALL: u32 = 120;

/// The number of larger instances per data centre; they have its highest addresses.
const LARGE_PER_CENTRE: usize = 3;

fn address(centre: usize, number: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, centre as u8, number as u8), 7_000)
}

fn data_centre(centre: usize) -> DataCentre {
    format!("dc-{centre}").parse().unwrap()
}

/// Instances that exchange digests.
struct Fleet {
    now: Timestamp,
    instances: BTreeMap<SocketAddrV4, (usize, u32, Peers)>,
    sent_count: usize,
}

impl Fleet {
    /// Starts `each` instances in each of `centres` data centres. Each instance greets the
    /// best-ranked ones of all data centres, as after reading their rows.
    fn start(centres: usize, each: usize) -> Self {
        let mut fleet = Self { now: at(1_000), instances: BTreeMap::new(), sent_count: 0 };
        for centre in 0..centres {
            for number in 0..each {
                let capacity = if number + LARGE_PER_CENTRE >= each { LARGE } else { SMALL };
                let own = InstanceRank::new(capacity, address(centre, number));
                let peers = Peers::new(fleet.now, data_centre(centre), own);
                fleet.instances.insert(own.address(), (centre, capacity, peers));
            }
        }
        fleet.assign_initial_roles();
        let best =
            |c: usize| (each.saturating_sub(LARGE_PER_CENTRE)..each).map(move |n| address(c, n));
        let greeted: Vec<SocketAddrV4> = (0..centres).flat_map(best).collect();
        for from in fleet.addresses() {
            for to in &greeted {
                fleet.send_digest(from, *to);
                fleet.send_digest(*to, from);
            }
        }
        fleet
    }

    /// Each instance that the rows show to be among the best-ranked becomes a scheduler at once.
    fn assign_initial_roles(&mut self) {
        let ranks: Vec<(usize, InstanceRank)> = self
            .instances
            .iter()
            .map(|(address, (centre, capacity, _))| {
                (*centre, InstanceRank::new(*capacity, *address))
            })
            .collect();
        for (centre, _, peers) in self.instances.values_mut() {
            let local = ranks.iter().filter(|(other, _)| other == centre);
            if peers.is_needed_beside(local.map(|(_, rank)| *rank)) {
                peers.become_scheduler();
            }
        }
    }

    fn addresses(&self) -> Vec<SocketAddrV4> {
        self.instances.keys().copied().collect()
    }

    /// Sends a digest with the status of one instance to another.
    fn send_digest(&mut self, from: SocketAddrV4, to: SocketAddrV4) {
        if from == to || !self.instances.contains_key(&to) {
            return;
        }
        self.sent_count += 1;
        let (centre, capacity, peers) = &self.instances[&from];
        let (centre, capacity) = (data_centre(*centre), *capacity);
        let instances = peers.local_instances(self.now);
        let (fleet, possible) = (peers.instances(self.now), peers.possible_instances(self.now));
        let status = PeerStatus { role: peers.role(), instances, fleet, possible };
        let incarnation = u64::from(u32::from(*from.ip()));
        let (_, _, recipient) = self.instances.get_mut(&to).unwrap();
        recipient.record_digest(self.now, from, incarnation);
        recipient.describe(from, centre, capacity);
        recipient.set_status(from, status);
        recipient.update_role(self.now);
    }

    /// The instances to which an instance sends its digest.
    fn recipients(&self, from: SocketAddrV4) -> Vec<SocketAddrV4> {
        let (_, _, peers) = &self.instances[&from];
        if peers.schedules() {
            peers.other_schedulers(self.now).into_iter().chain(peers.members(self.now)).collect()
        } else {
            peers.local_schedulers(self.now).to_vec()
        }
    }

    /// One heartbeat of all instances.
    fn exchange_heartbeats(&mut self) {
        self.now = self.now + HEARTBEAT_INTERVAL;
        for from in self.addresses() {
            self.instances.get_mut(&from).unwrap().2.sweep(self.now);
            self.instances.get_mut(&from).unwrap().2.update_role(self.now);
            for to in self.recipients(from) {
                self.send_digest(from, to);
            }
            for to in self.instances[&from].2.promotion_candidates(self.now) {
                if let Some((_, _, peers)) = self.instances.get_mut(&to) {
                    peers.become_scheduler();
                }
            }
        }
    }

    fn schedulers(&self, centre: usize) -> Vec<SocketAddrV4> {
        let local = self.instances.iter().filter(|(_, (home, _, _))| *home == centre);
        local.filter(|(_, (_, _, peers))| peers.schedules()).map(|(a, _)| *a).collect()
    }
}

#[test]
fn all_instances_of_a_small_fleet_schedule() {
    let mut fleet = Fleet::start(3, SCHEDULERS_PER_DATA_CENTRE);
    fleet.exchange_heartbeats();
    assert!(fleet.instances.values().all(|(_, _, peers)| peers.schedules()));
    assert!(
        fleet.instances.values().all(|(_, _, peers)| peers.other_schedulers(fleet.now).len() == 8)
    );
}

/// Guards against too many schedulers after a loss of all instances. When each instance that heard
/// no scheduler became one, all did, and each received the reports of all others.
#[test]
fn only_instances_with_the_most_processor_time_schedule_from_the_start() {
    let fleet = Fleet::start(5, 59);
    for centre in 0..5 {
        let best: Vec<SocketAddrV4> = (56..59).map(|number| address(centre, number)).collect();
        assert_eq!(fleet.schedulers(centre), best);
    }
}

/// Other instances schedule until the best-ranked ones, which may be the last to start, do so.
#[test]
fn instances_that_hear_no_other_schedule_until_better_ranked_ones_do() {
    let own = |number| InstanceRank::new(SMALL, address(0, number));
    let mut late = Peers::new(at(0), data_centre(0), own(9));
    assert!(!late.update_role(at(100)));
    assert_eq!(late.role(), Role::Starting);
    assert!(late.update_role(at(300)));
    assert!(late.schedules());
    for number in 0..SCHEDULERS_PER_DATA_CENTRE {
        let status = PeerStatus { role: Role::Scheduler, ..PeerStatus::default() };
        late.record_digest(at(400), address(0, number), number as u64);
        late.describe(address(0, number), data_centre(0), LARGE);
        late.set_status(address(0, number), status);
        assert_eq!(late.update_role(at(400)), number + 1 == SCHEDULERS_PER_DATA_CENTRE);
    }
    assert_eq!(late.role(), Role::Member);
}

/// Guards against surplus schedulers that continue: each of five would, if it heard only the
/// best-ranked of the others.
#[test]
fn surplus_schedulers_hear_the_best_ranked_and_become_members() {
    let mut fleet = Fleet::start(1, 8);
    for number in 0..4 {
        let (_, _, peers) = fleet.instances.get_mut(&address(0, number)).unwrap();
        peers.become_scheduler();
    }
    (0..3).for_each(|_| fleet.exchange_heartbeats());
    assert_eq!(fleet.schedulers(0).len(), SCHEDULERS_PER_DATA_CENTRE);
}

/// A peer that did not answer may have started since; a peer that is alive needs no greeting.
#[test]
fn an_instance_that_did_not_answer_is_greeted_again() {
    let mut peers = Peers::new(at(0), data_centre(0), InstanceRank::new(SMALL, address(0, 0)));
    let other = address(0, 1);
    assert!(peers.begin_greeting(at(0), other));
    assert!(!peers.begin_greeting(at(10), other));
    assert!(peers.begin_greeting(at(100), other));
    peers.record_digest(at(101), other, 7);
    assert!(!peers.begin_greeting(at(300), other));
    assert!(peers.begin_greeting(at(101) + PEER_TIMEOUT, other));
}

/// A placement is reported to the other schedulers only. With 300 instances and as many placements
/// per second, reporting it to all would take 90,000 datagrams per second, and as many for
/// heartbeats.
#[test]
fn messages_per_instance_do_not_grow_with_the_fleet() {
    for each in [6, 20, 60] {
        let mut fleet = Fleet::start(5, each);
        fleet.exchange_heartbeats();
        fleet.sent_count = 0;
        fleet.exchange_heartbeats();
        let instances = 5 * each;
        // Three schedulers in each of five data centres, and for each instance three in its own.
        assert!(
            fleet.sent_count <= 15 * 14 + 2 * SCHEDULERS_PER_DATA_CENTRE * instances,
            "{} by {instances}",
            fleet.sent_count
        );
        let other_schedulers = |peers: &Peers| peers.other_schedulers(fleet.now).len();
        assert!(fleet.instances.values().all(|(_, _, peers)| other_schedulers(peers) <= 15));
    }
}

/// The allowance of the retry budget is divided by the number of instances.
#[test]
fn each_instance_knows_the_size_of_the_fleet() {
    let mut fleet = Fleet::start(5, 60);
    (0..3).for_each(|_| fleet.exchange_heartbeats());
    for (address, (_, _, peers)) in &fleet.instances {
        assert_eq!(peers.instances(fleet.now), 300, "{address}");
    }
    (0..30).for_each(|number| drop(fleet.instances.remove(&address(2, number))));
    (0..8).for_each(|_| fleet.exchange_heartbeats());
    for (address, (_, _, peers)) in &fleet.instances {
        assert_eq!(peers.instances(fleet.now), 270, "{address}");
    }
}

#[test]
fn instances_share_the_schedulers_of_their_data_centre() {
    let mut fleet = Fleet::start(1, 60);
    fleet.exchange_heartbeats();
    let mut asked: BTreeMap<SocketAddrV4, usize> = BTreeMap::new();
    for (_, _, peers) in fleet.instances.values().filter(|(_, _, peers)| !peers.schedules()) {
        *asked.entry(peers.scheduler(fleet.now, &[]).unwrap()).or_default() += 1;
    }
    assert_eq!(asked.len(), SCHEDULERS_PER_DATA_CENTRE);
    assert!(asked.values().all(|count| (10..=30).contains(count)), "{asked:?}");
}

#[test]
fn lost_schedulers_are_replaced_by_as_many_next_best_ones() {
    let mut fleet = Fleet::start(2, 20);
    fleet.exchange_heartbeats();
    fleet.instances.remove(&address(0, 19));
    fleet.instances.remove(&address(0, 18));
    let beats = PEER_TIMEOUT.as_millis() / HEARTBEAT_INTERVAL.as_millis() + 2;
    (0..beats).for_each(|_| fleet.exchange_heartbeats());
    assert_eq!(fleet.schedulers(0), [address(0, 0), address(0, 1), address(0, 17)]);
    assert_eq!(fleet.schedulers(1).len(), SCHEDULERS_PER_DATA_CENTRE);
}

/// No remaining instance knows the others of that data centre, so each starts to schedule by
/// itself.
#[test]
fn instances_that_lost_all_their_schedulers_start_to_schedule() {
    let mut fleet = Fleet::start(2, 20);
    fleet.exchange_heartbeats();
    (17..20).for_each(|number| drop(fleet.instances.remove(&address(0, number))));
    let beats = PEER_TIMEOUT.as_millis() / HEARTBEAT_INTERVAL.as_millis() + 2;
    (0..beats).for_each(|_| fleet.exchange_heartbeats());
    assert_eq!(fleet.schedulers(0).len(), 17);
    // Once they hear each other again, as after reading their rows, three suffice.
    for from in fleet.addresses() {
        for number in 0..3 {
            fleet.send_digest(address(0, number), from);
        }
    }
    assert_eq!(fleet.schedulers(0), (0..3).map(|n| address(0, n)).collect::<Vec<_>>());
}

#[test]
fn an_unresponsive_scheduler_is_skipped_until_it_is_heard_again() {
    let mut fleet = Fleet::start(1, 10);
    fleet.exchange_heartbeats();
    let member = address(0, 0);
    let first = fleet.instances[&member].2.scheduler(fleet.now, &[]).unwrap();
    let now = fleet.now;
    fleet.instances.get_mut(&member).unwrap().2.mark_unresponsive(now, first);
    let second = fleet.instances[&member].2.scheduler(now, &[]).unwrap();
    assert_ne!(second, first);
    let third = fleet.instances[&member].2.scheduler(now, &[second]).unwrap();
    assert!(![first, second].contains(&third));
    // Time without a digest does not make it usable again; a digest after a while does.
    let later = now + ms(1_500);
    assert_eq!(fleet.instances[&member].2.scheduler(later, &[]), Some(second));
    fleet.now = later;
    fleet.send_digest(first, member);
    assert_eq!(fleet.instances[&member].2.scheduler(later, &[]), Some(first));
}

/// The same scheduler queries an engine whichever instance suspects it, and no scheduler queries
/// most of them.
#[test]
fn one_scheduler_queries_each_engine_whichever_instance_suspects_it() {
    let fleet = Fleet::start(3, 10);
    let schedulers: Vec<SocketAddrV4> = (0..3).flat_map(|c| fleet.schedulers(c)).collect();
    let mut queries: BTreeMap<SocketAddrV4, usize> = BTreeMap::new();
    for engine in support::fleet(60) {
        let prober = |own: &SocketAddrV4| {
            let (_, _, peers) = &fleet.instances[own];
            peers.probing_scheduler(fleet.now, &engine.id).unwrap_or(*own)
        };
        let probers: BTreeSet<SocketAddrV4> = schedulers.iter().map(prober).collect();
        assert_eq!(probers.len(), 1, "{engine:?}");
        probers.into_iter().for_each(|prober| *queries.entry(prober).or_default() += 1);
    }
    assert!(queries.len() >= 7 && queries.values().all(|asked| *asked <= 20), "{queries:?}");
}
