//! Three instances and a lossless network without time of its own.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use ringbend_membership::{
    Action, Event, MemberState, Membership, MembershipConfig, Message, Update,
};
use ringbend_types::{Incarnation, InstanceId, Seed, SettingsVersion, Timestamp};

struct Net {
    now: Timestamp,
    nodes: Vec<Membership>,
    silent: Vec<bool>,
    seen: Vec<Action>,
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

impl Net {
    fn joined(n: usize) -> Self {
        let nodes = (0..n).map(node).collect();
        let mut net = Self { now: Timestamp(0), nodes, silent: vec![false; n], seen: Vec::new() };
        net.run(Duration::from_secs(5));
        net
    }

    fn give(&mut self, at: usize, event: Event) {
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
                self.seen.push(action);
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + Duration::from_millis(50);
            for at in 0..self.nodes.len() {
                if self.nodes[at].next_wakeup() <= self.now {
                    self.give(at, Event::Tick);
                }
            }
        }
    }

    fn state(&self, seen_by: usize, of: usize) -> Option<MemberState> {
        self.nodes[seen_by].members().find(|m| m.id == id(of)).map(|m| m.state)
    }
}

#[test]
fn all_learn_of_all_from_one_seed() {
    let net = Net::joined(6);
    for at in 0..6 {
        assert_eq!(net.nodes[at].live().count(), 5, "instance {at}");
    }
}

#[test]
fn a_silent_instance_is_suspected_then_dead() {
    let mut net = Net::joined(4);
    net.silent[3] = true;
    net.run(Duration::from_secs(4));
    assert_eq!(net.state(0, 3), Some(MemberState::Suspect));
    net.run(Duration::from_secs(8));
    assert_eq!(net.state(0, 3), Some(MemberState::Dead));
    assert_eq!(net.nodes[0].live().count(), 2);
}

#[test]
fn an_instance_that_answers_again_refutes_the_suspicion() {
    let mut net = Net::joined(4);
    net.silent[3] = true;
    net.run(Duration::from_secs(3));
    net.silent[3] = false;
    net.run(Duration::from_secs(6));
    for at in 0..3 {
        assert_eq!(net.state(at, 3), Some(MemberState::Alive), "seen by {at}");
    }
    assert!(net.nodes[3].refuted_suspicions() > 0);
}

#[test]
fn old_news_does_not_revive_the_dead() {
    let mut net = Net::joined(3);
    net.silent[2] = true;
    net.run(Duration::from_secs(12));
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
    net.give(0, Event::Received(old));
    assert_eq!(net.state(0, 2), Some(MemberState::Dead));
}

#[test]
fn a_restarted_instance_is_taken_in_again() {
    let mut net = Net::joined(3);
    net.silent[2] = true;
    net.run(Duration::from_secs(12));
    let cfg = MembershipConfig::default();
    let seeds = vec![address(0)];
    net.nodes[2] = Membership::new(cfg, id(2), address(2), Incarnation(20), seeds, Seed(9));
    net.silent[2] = false;
    net.run(Duration::from_secs(3));
    assert_eq!(net.state(1, 2), Some(MemberState::Alive));
}

#[test]
fn a_leave_is_known_at_once() {
    let mut net = Net::joined(4);
    net.give(1, Event::Leave);
    for at in [0, 2, 3] {
        assert_eq!(net.state(at, 1), Some(MemberState::Leaving), "seen by {at}");
    }
}

#[test]
fn newer_settings_are_known_at_once() {
    let mut net = Net::joined(4);
    net.seen.clear();
    net.give(2, Event::Settings(SettingsVersion(5)));
    let told = |a: &Action| matches!(a, Action::NewerSettings(_, v) if *v == SettingsVersion(5));
    assert_eq!(net.seen.iter().filter(|a| told(a)).count(), 3);
}

#[test]
fn a_pause_of_its_own_does_not_make_others_suspect() {
    let mut net = Net::joined(3);
    net.silent[0] = true;
    net.run(Duration::from_secs(2));
    net.silent[0] = false;
    net.seen.clear();
    net.give(0, Event::Tick);
    let suspects = |a: &Action| matches!(a, Action::Changed(m) if m.state >= MemberState::Suspect && m.id != id(0));
    assert!(!net.seen.iter().any(suspects), "{:?}", net.seen);
}

#[test]
fn a_message_stays_small_however_many_instances_there_are() {
    let mut net = Net::joined(40);
    net.seen.clear();
    net.run(Duration::from_secs(5));
    let most = MembershipConfig::default().max_updates_per_message + 2;
    for action in &net.seen {
        if let Action::Send(_, message) = action {
            assert!(message.updates.len() <= most, "{} updates", message.updates.len());
        }
    }
}
