//! Handover between the instances that read the store: an instance that reads stops only if
//! another one has since been answered.
//!
//! Walks through all short sequences of steps of three instances whose clocks agree. Digests may
//! be late, lost, repeated and reordered: a step passes on what an instance knows at that time to
//! any other one.

mod support;

use ringbend_gateway::{StoreReaders, WatchedTable};
use ringbend_types::Timestamp;
use support::{at, ms};

const INSTANCES: usize = 3;

const TABLES: [WatchedTable; 2] = [WatchedTable::Config, WatchedTable::Endpoints];

#[derive(Clone)]
struct Instance {
    incarnation: u64,
    readers: StoreReaders,
    began_at: Option<Timestamp>,
    /// When the store last answered its calls for each table.
    answered_at: [Option<Timestamp>; 2],
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Begin(usize),
    /// The store answers both calls.
    Answer(usize),
    /// The store answers the call for one table.
    AnswerOne(usize, WatchedTable),
    Fail(usize),
    Digest(usize, usize),
}

#[derive(Clone)]
struct Simulation {
    now: Timestamp,
    instances: Vec<Instance>,
}

impl Simulation {
    /// One instance reads, and all know its proofs.
    fn with_reader(reader: usize) -> Self {
        let instance = |incarnation| Instance {
            incarnation,
            readers: StoreReaders::new(incarnation),
            began_at: None,
            answered_at: [None; 2],
        };
        let instances = (1..=INSTANCES as u64).map(instance).collect();
        let mut simulation = Self { now: at(1_000), instances };
        simulation.apply(Step::Begin(reader));
        simulation.apply(Step::Answer(reader));
        (0..INSTANCES)
            .filter(|to| *to != reader)
            .for_each(|to| assert!(simulation.apply(Step::Digest(reader, to))));
        simulation
    }

    /// Whether a step can occur.
    fn allows(&self, step: Step) -> bool {
        match step {
            Step::Begin(i) => !self.instances[i].readers.reads(),
            Step::Answer(i) | Step::AnswerOne(i, _) | Step::Fail(i) => {
                self.instances[i].readers.reads()
            }
            Step::Digest(from, to) => from != to,
        }
    }

    /// Applies a step. Returns whether no instance stopped without reason.
    fn apply(&mut self, step: Step) -> bool {
        self.now = self.now + ms(10);
        let now = self.now;
        match step {
            Step::Begin(i) => {
                let instance = &mut self.instances[i];
                instance.readers.begin(now);
                instance.began_at = Some(now);
            }
            Step::Answer(i) => self.answer(i, |_| true),
            Step::AnswerOne(i, table) => self.answer(i, |answered| answered == table),
            Step::Fail(i) => self.instances[i].readers.call_failed(now),
            Step::Digest(from, to) => return self.digest(from, to),
        }
        true
    }

    fn answer(&mut self, i: usize, is_answered: impl Fn(WatchedTable) -> bool) {
        let instance = &mut self.instances[i];
        instance.readers.call_answered();
        for (table, answered_at) in TABLES.into_iter().zip(&mut instance.answered_at) {
            if is_answered(table) {
                instance.readers.proved_by(table, Some(instance.incarnation), self.now);
                *answered_at = Some(self.now);
            }
        }
    }

    fn digest(&mut self, from: usize, to: usize) -> bool {
        let sender = self.instances[from].readers.clone();
        let receiver = &mut self.instances[to].readers;
        let did_read = receiver.reads();
        for table in TABLES {
            if let Some(proved_at) = sender.proved_at(table) {
                receiver.proved_by(table, sender.reader(), proved_at);
            }
        }
        receiver.yield_to_others();
        if let Some((reader, proved_at)) = sender.reader().zip(sender.all_proved_at()) {
            receiver.yield_to_reader(reader, proved_at);
        }
        !did_read || receiver.reads() || self.may_stop(to)
    }

    /// Whether other instances were answered for both tables since this one began to read.
    fn may_stop(&self, i: usize) -> bool {
        let instance = &self.instances[i];
        let others = || self.instances.iter().filter(|o| o.incarnation != instance.incarnation);
        let was_read = |table: usize| others().any(|o| o.answered_at[table] > instance.began_at);
        (0..TABLES.len()).all(was_read)
    }

    fn walk(&self, depth: usize, path: &mut Vec<Step>) {
        if depth == 0 {
            return;
        }
        for step in steps().filter(|step| self.allows(*step)) {
            let mut next = self.clone();
            path.push(step);
            assert!(next.apply(step), "an instance stopped without reason: {path:?}");
            next.walk(depth - 1, path);
            path.pop();
        }
    }
}

fn steps() -> impl Iterator<Item = Step> {
    let own = (0..INSTANCES).flat_map(|i| {
        let one = TABLES.map(|table| Step::AnswerOne(i, table));
        [Step::Begin(i), Step::Answer(i), Step::Fail(i)].into_iter().chain(one)
    });
    let digests =
        (0..INSTANCES).flat_map(|from| (0..INSTANCES).map(move |to| Step::Digest(from, to)));
    own.chain(digests)
}

/// Guards against a reader that stops for one that is cut off from the store, because of a loss from
/// before it began, or for one that reads one table only.
#[test]
fn no_sequence_of_six_steps_stops_a_reader_without_reason() {
    // One instance has a smaller incarnation than the first reader, and one a larger.
    Simulation::with_reader(1).walk(6, &mut Vec::new());
}
