//! Gossip among a few instances over a lossless network with simulated time.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use ringbend_membership::{
    Action, Event, MemberState, Membership, MembershipConfig, Message, Update,
};
use ringbend_types::{Incarnation, InstanceId, Seed, SettingsVersion, Timestamp};

struct Network {
    now: Timestamp,
    nodes: Vec<Membership>,
    silent: Vec<bool>,
    actions: Vec<Action>,
}

fn id(n: usize) -> InstanceId {
    format!("instance-{n}").parse().unwrap()
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n as u8], 7_000))
}

fn node(n: usize) -> Membership {
    let cfg = MembershipConfig::default();
    Membership::new(cfg, id(n), address(n), Incarnation(10), vec![address(0)], Seed(n as u64))
}

impl Network {
    fn joined(n: usize) -> Self {
        let nodes = (0..n).map(node).collect();
        let mut network =
            Self { now: Timestamp(0), nodes, silent: vec![false; n], actions: Vec::new() };
        network.run(Duration::from_secs(5));
        network
    }

    fn deliver(&mut self, at: usize, event: Event) {
        let mut events = VecDeque::from([(at, event)]);
        while let Some((at, event)) = events.pop_front() {
            if self.silent[at] {
                continue;
            }
            for action in self.nodes[at].handle(self.now, event) {
                if let Action::Send(to, message) = &action {
                    let to = (0..self.nodes.len()).find(|n| address(*n) == *to).unwrap();
                    events.push_back((to, Event::Received(message.clone())));
                }
                self.actions.push(action);
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + Duration::from_millis(50);
            for at in 0..self.nodes.len() {
                if self.nodes[at].next_wakeup() <= self.now {
                    self.deliver(at, Event::Tick);
                }
            }
        }
    }

    fn state(&self, observer: usize, of: usize) -> Option<MemberState> {
        self.nodes[observer].members().find(|m| m.id == id(of)).map(|m| m.state)
    }
}

#[test]
fn all_instances_discover_each_other_through_one_seed() {
    let network = Network::joined(6);
    for at in 0..6 {
        assert_eq!(network.nodes[at].live().count(), 5, "instance {at}");
    }
}

#[test]
fn a_silent_instance_is_suspected_and_then_declared_dead() {
    let mut network = Network::joined(4);
    network.silent[3] = true;
    network.run(Duration::from_secs(4));
    assert_eq!(network.state(0, 3), Some(MemberState::Suspect));
    network.run(Duration::from_secs(8));
    assert_eq!(network.state(0, 3), Some(MemberState::Dead));
    assert_eq!(network.nodes[0].live().count(), 2);
}

#[test]
fn an_instance_that_responds_again_refutes_the_suspicion() {
    let mut network = Network::joined(4);
    network.silent[3] = true;
    network.run(Duration::from_secs(3));
    network.silent[3] = false;
    network.run(Duration::from_secs(6));
    for at in 0..3 {
        assert_eq!(network.state(at, 3), Some(MemberState::Alive), "seen by {at}");
    }
    assert!(network.nodes[3].refuted_suspicions() > 0);
}

#[test]
fn an_outdated_update_does_not_revive_a_dead_instance() {
    let mut network = Network::joined(3);
    network.silent[2] = true;
    network.run(Duration::from_secs(12));
    let old = Message {
        from: id(1),
        from_address: address(1),
        incarnation: Incarnation(10),
        sequence: 0,
        kind: ringbend_membership::MessageKind::News,
        settings: SettingsVersion(0),
        updates: vec![Update::Member {
            id: id(2),
            address: address(2),
            incarnation: Incarnation(10),
            state: MemberState::Alive,
        }],
    };
    network.deliver(0, Event::Received(old));
    assert_eq!(network.state(0, 2), Some(MemberState::Dead));
}

#[test]
fn a_restarted_instance_is_accepted_again() {
    let mut network = Network::joined(3);
    network.silent[2] = true;
    network.run(Duration::from_secs(12));
    let cfg = MembershipConfig::default();
    let seeds = vec![address(0)];
    network.nodes[2] = Membership::new(cfg, id(2), address(2), Incarnation(20), seeds, Seed(9));
    network.silent[2] = false;
    network.run(Duration::from_secs(3));
    assert_eq!(network.state(1, 2), Some(MemberState::Alive));
}

#[test]
fn a_leave_is_propagated_immediately() {
    let mut network = Network::joined(4);
    network.deliver(1, Event::Leave);
    for at in [0, 2, 3] {
        assert_eq!(network.state(at, 1), Some(MemberState::Leaving), "seen by {at}");
    }
}

#[test]
fn newer_settings_are_announced_immediately() {
    let mut network = Network::joined(4);
    network.actions.clear();
    network.deliver(2, Event::Settings(SettingsVersion(5)));
    let announces =
        |a: &Action| matches!(a, Action::NewerSettings(_, v) if *v == SettingsVersion(5));
    assert_eq!(network.actions.iter().filter(|a| announces(a)).count(), 3);
}

#[test]
fn a_pause_of_an_instance_does_not_make_it_suspect_others() {
    let mut network = Network::joined(3);
    network.silent[0] = true;
    network.run(Duration::from_secs(2));
    network.silent[0] = false;
    network.actions.clear();
    network.deliver(0, Event::Tick);
    let suspects = |a: &Action| matches!(a, Action::Changed(m) if m.state >= MemberState::Suspect && m.id != id(0));
    assert!(!network.actions.iter().any(suspects), "{:?}", network.actions);
}

#[test]
fn message_size_does_not_depend_on_the_number_of_instances() {
    let mut network = Network::joined(40);
    network.actions.clear();
    network.run(Duration::from_secs(5));
    let max_updates = MembershipConfig::default().max_updates_per_message + 2;
    for action in &network.actions {
        if let Action::Send(_, message) = action {
            assert!(message.updates.len() <= max_updates, "{} updates", message.updates.len());
        }
    }
}
