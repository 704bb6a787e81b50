//! Decides whom to greet so that groups of instances that do not know each other find each other.
//!
//! Addresses come from two sources: the registry's rows, and the schedulers known from digests.
//! The rows are needed after a start without the store, the other source after a partition in which
//! the store is unavailable too. Greeting one scheduler of a group is enough: its answer names the
//! others, and they greet each other.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

use ringbend_types::{DataCentre, Timestamp};

use crate::peers::Peers;
use crate::schedulers::{InstanceRank, SCHEDULERS_PER_DATA_CENTRE};

/// The interval at which instances that are silent are considered for a greeting: a quarter of
/// the second within which instances must know each other.
pub const RECOVERY_INTERVAL: Duration = Duration::from_millis(250);

/// The interval between greetings of an instance in a data centre without a live instance: half
/// of the second within which instances must know each other, as a greeting may be lost.
const UNHEARD_CENTRE_INTERVAL: Duration = Duration::from_millis(500);

/// The interval between greetings of an instance if others of its data centre are live.
const UNHEARD_INSTANCE_INTERVAL: Duration = Duration::from_secs(1);

/// The maximum number of instances of a data centre that are greeted at once, so that many rows of
/// dead instances cost no more than a few datagrams.
const MAX_GREETED: usize = SCHEDULERS_PER_DATA_CENTRE;

/// How long an instance that others of its data centre outlive may be silent before it is presumed
/// dead and greeted rarely.
const PRESUMED_DEAD_AFTER: Duration = Duration::from_secs(600);

/// The interval between greetings of an instance that is presumed dead.
const PRESUMED_DEAD_INTERVAL: Duration = Duration::from_secs(30);

/// How long the address of a scheduler without a row is kept after it last sent a digest.
const UNREGISTERED_RETENTION: Duration = Duration::from_secs(3_600);

/// How long an instance that another one named is greeted if it has no row and never sent a digest: the
/// greeting or its answer may be lost, or the path between them may fail for a while.
const NAMED_RETENTION: Duration = Duration::from_secs(30);

/// How long an instance schedules without a row before it is asked to write one. Schedulers that
/// start write theirs within a second and a half, and surplus ones soon cease to schedule.
const REGISTRATION_GRACE: Duration = Duration::from_secs(4);

/// The interval between requests to the same instance to write its row.
const REGISTRATION_RETRY: Duration = Duration::from_secs(5);

/// How long a data centre is silent before that is reported as a split. Instances that start
/// together find each other sooner.
const SPLIT_GRACE: Duration = Duration::from_secs(2);

/// The maximum number of instances kept; larger than the fleet.
const MAX_CONTACTS: usize = 2_000;

/// A row of the registry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegisteredInstance {
    /// The address on which the instance listens for others.
    pub address: SocketAddrV4,
    /// The instance's data centre, if known.
    pub data_centre: Option<DataCentre>,
    /// The processor time available to the instance, in thousandths of a core; zero if unknown.
    pub capacity: u32,
}

/// Another instance that may be running.
#[derive(Debug, Clone)]
struct Contact {
    data_centre: Option<DataCentre>,
    capacity: u32,
    is_registered: bool,
    /// Whether it has been live as a scheduler.
    was_heard: bool,
    /// When it last sent a digest as a scheduler, or since when it is known.
    last_seen: Timestamp,
    /// Since when it has been live as a scheduler without interruption.
    schedules_since: Option<Timestamp>,
    greeted_at: Option<Timestamp>,
    /// When it was last asked to write its row.
    asked_at: Option<Timestamp>,
}

/// How many instances are known and registered, and which data centres are missing.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MembershipStatus {
    /// The number of live instances, including this one.
    pub known: usize,
    /// The number of rows when the registry was last read.
    pub registered: usize,
    /// The number of rows of instances that are silent.
    pub unheard: usize,
    /// The data centres that the settings or the rows name and without a live instance.
    pub unheard_data_centres: Vec<DataCentre>,
}

/// A change of whether the fleet is split.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SplitChange {
    /// Data centres have been silent for a while.
    Began,
    /// All data centres are live again.
    Ended,
}

/// The instances that may be running, live or silent.
#[derive(Debug, Clone)]
pub struct Membership {
    home: DataCentre,
    own: Option<SocketAddrV4>,
    has_read_registry: bool,
    is_registered: bool,
    /// Since when data centres are silent, and whether that was reported.
    split: Option<(Timestamp, bool)>,
    contacts: BTreeMap<SocketAddrV4, Contact>,
}

impl Membership {
    /// Creates the membership of an instance in data centre `home` that knows no others.
    pub fn new(home: DataCentre) -> Self {
        Self {
            home,
            own: None,
            has_read_registry: false,
            is_registered: false,
            split: None,
            contacts: BTreeMap::new(),
        }
    }

    /// Sets the address of this instance once its socket is bound.
    pub fn set_own_address(&mut self, address: SocketAddrV4) {
        self.own = Some(address);
    }

    /// Replaces the rows of the registry.
    pub fn set_rows(&mut self, now: Timestamp, rows: &[RegisteredInstance]) {
        self.has_read_registry = true;
        self.is_registered = rows.iter().any(|row| Some(row.address) == self.own);
        self.contacts.values_mut().for_each(|contact| contact.is_registered = false);
        let own = self.own;
        for row in rows.iter().filter(|row| Some(row.address) != own) {
            let Some(contact) = self.contact(now, row.address) else { return };
            contact.is_registered = true;
            contact.data_centre = row.data_centre.clone().or(contact.data_centre.take());
            contact.capacity = row.capacity;
        }
    }

    fn contact(&mut self, now: Timestamp, address: SocketAddrV4) -> Option<&mut Contact> {
        if self.contacts.len() >= MAX_CONTACTS && !self.contacts.contains_key(&address) {
            return None;
        }
        Some(self.contacts.entry(address).or_insert_with(|| Contact {
            data_centre: None,
            capacity: 0,
            is_registered: false,
            was_heard: false,
            last_seen: now,
            schedules_since: None,
            greeted_at: None,
            asked_at: None,
        }))
    }

    /// Records which schedulers are live, and drops those without a row that were silent for
    /// long.
    pub fn observe(&mut self, now: Timestamp, peers: &Peers) {
        for (address, contact) in &mut self.contacts {
            if !peers.is_alive(now, *address) {
                contact.schedules_since = None;
            }
        }
        for (address, data_centre, capacity) in peers.scheduling_peers(now) {
            let Some(contact) = self.contact(now, address) else { break };
            contact.data_centre = Some(data_centre.clone());
            contact.capacity = capacity;
            contact.was_heard = true;
            contact.last_seen = now;
            contact.schedules_since.get_or_insert(now);
        }
        self.contacts.retain(|_, contact| {
            let retention =
                if contact.was_heard { UNREGISTERED_RETENTION } else { NAMED_RETENTION };
            contact.is_registered || now.since(contact.last_seen) < retention
        });
    }

    /// Adds schedulers that another instance named.
    pub fn add_named(&mut self, now: Timestamp, named: &[SocketAddrV4]) {
        let own = self.own;
        for address in named.iter().filter(|address| Some(**address) != own) {
            self.contact(now, *address);
        }
    }

    /// Removes an instance that has announced that it stops.
    pub fn remove(&mut self, address: SocketAddrV4) {
        self.contacts.remove(&address);
    }

    /// The instances to greet now: of each data centre the ones that were greeted longest ago, the
    /// best-ranked first.
    pub fn greetings(&mut self, now: Timestamp, peers: &Peers) -> Vec<SocketAddrV4> {
        let heard: BTreeSet<&DataCentre> = peers.heard_data_centres(now).collect();
        let mut due: BTreeMap<Option<DataCentre>, Vec<_>> = BTreeMap::new();
        for (address, contact) in &self.contacts {
            if peers.is_alive(now, *address) || !contact.is_due(now, &heard) {
                continue;
            }
            let order = (contact.greeted_at, InstanceRank::new(contact.capacity, *address));
            due.entry(contact.data_centre.clone()).or_default().push(order);
        }
        let mut addresses = Vec::new();
        for mut centre in due.into_values() {
            centre.sort_unstable();
            addresses.extend(centre.into_iter().take(MAX_GREETED).map(|(_, rank)| rank.address()));
        }
        for address in &addresses {
            if let Some(contact) = self.contacts.get_mut(address) {
                contact.greeted_at = Some(now);
            }
        }
        addresses
    }

    /// Whether this instance, which schedules, has to write its row: the registry was read and
    /// contains none.
    pub fn lacks_own_row(&self) -> bool {
        self.has_read_registry && !self.is_registered
    }

    /// The schedulers that are live and have no row although they have had time to write one.
    /// Records that they are asked to.
    pub fn unregistered(&mut self, now: Timestamp) -> Vec<SocketAddrV4> {
        if !self.has_read_registry {
            return Vec::new();
        }
        let has_passed =
            |since: Option<Timestamp>, time| since.is_some_and(|since| now.since(since) >= time);
        let mut addresses = Vec::new();
        for (address, contact) in &mut self.contacts {
            let was_asked = contact.asked_at.is_some();
            if contact.is_registered
                || !has_passed(contact.schedules_since, REGISTRATION_GRACE)
                || (was_asked && !has_passed(contact.asked_at, REGISTRATION_RETRY))
            {
                continue;
            }
            contact.asked_at = Some(now);
            addresses.push(*address);
        }
        addresses
    }

    /// Updates whether data centres are missing. Returns a change to be reported.
    pub fn update_split(&mut self, now: Timestamp, is_split: bool) -> Option<SplitChange> {
        if !is_split {
            let was_reported = self.split.take().is_some_and(|(_, reported)| reported);
            return was_reported.then_some(SplitChange::Ended);
        }
        let (since, reported) = self.split.get_or_insert((now, false));
        let is_due = !*reported && now.since(*since) >= SPLIT_GRACE;
        *reported |= is_due;
        is_due.then_some(SplitChange::Began)
    }

    /// The data centres that the settings or the rows name and without a live instance.
    fn missing_data_centres(&self, now: Timestamp, peers: &Peers) -> BTreeSet<DataCentre> {
        let rows = self.contacts.values().filter(|contact| contact.is_registered);
        let in_rows = rows.filter_map(|contact| contact.data_centre.as_ref());
        let named = peers.expected_data_centres().chain(in_rows);
        let mut missing: BTreeSet<&DataCentre> =
            named.filter(|centre| **centre != self.home).collect();
        if !missing.is_empty() {
            let heard: BTreeSet<&DataCentre> = peers.heard_data_centres(now).collect();
            missing.retain(|centre| !heard.contains(centre));
        }
        missing.into_iter().cloned().collect()
    }

    /// How many instances are known and registered, and which data centres are missing.
    pub fn status(&self, now: Timestamp, peers: &Peers) -> MembershipStatus {
        let rows = || self.contacts.iter().filter(|(_, contact)| contact.is_registered);
        MembershipStatus {
            known: peers.instances(now),
            registered: rows().count() + usize::from(self.is_registered),
            unheard: rows().filter(|(address, _)| !peers.is_alive(now, **address)).count(),
            unheard_data_centres: self.missing_data_centres(now, peers).into_iter().collect(),
        }
    }
}

impl Contact {
    /// Whether to greet the instance, which is silent, with these data centres being heard.
    fn is_due(&self, now: Timestamp, heard: &BTreeSet<&DataCentre>) -> bool {
        let is_centre_heard = match &self.data_centre {
            Some(centre) => heard.contains(centre),
            // Rows of earlier versions name no data centre.
            None => self.is_registered,
        };
        let interval = match is_centre_heard {
            false => UNHEARD_CENTRE_INTERVAL,
            true if now.since(self.last_seen) < PRESUMED_DEAD_AFTER => UNHEARD_INSTANCE_INTERVAL,
            true => PRESUMED_DEAD_INTERVAL,
        };
        self.greeted_at.is_none_or(|at| now.since(at) >= interval)
    }
}
