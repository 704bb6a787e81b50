//! When an instance reads the store, and which reader it names.

mod support;

use ringbend_gateway::{MIN_OUTAGE, StoreReaders, WatchedTable, read_age};
use ringbend_types::Timestamp;
use support::{at, ms};

/// Records a read of both tables.
fn proved_by(readers: &mut StoreReaders, reader: Option<u64>, at: Timestamp) {
    for table in [WatchedTable::Config, WatchedTable::Endpoints] {
        readers.proved_by(table, reader, at);
    }
}

/// Guards against naming a previous reader beside a later proof: the current reader would stop
/// because of it, and no instance would read for two seconds.
#[test]
fn previous_reader_is_not_named_beside_a_later_proof() {
    let mut readers = StoreReaders::new(5);
    proved_by(&mut readers, Some(3), Timestamp::from_millis(100));
    assert_eq!(readers.reader(), Some(3));
    proved_by(&mut readers, Some(3), Timestamp::from_millis(50));
    proved_by(&mut readers, Some(5), Timestamp::from_millis(200));
    assert_eq!(readers.reader(), None);
    proved_by(&mut readers, Some(7), Timestamp::from_millis(300));
    assert_eq!(readers.reader(), Some(7));
    proved_by(&mut readers, None, Timestamp::from_millis(400));
    assert_eq!(readers.reader(), None);
}

/// Guards against a reader that lost the store and continues as reader. With 85 instances, half of
/// which the store rejected while endpoints were replaced, the reader polled the lost store after a
/// delay that grows with the number of instances, and only then checked whether others had reached
/// it. It sent requests to an endpoint 3.4 s after that endpoint had announced that it was leaving.
#[test]
fn reader_that_lost_the_store_stops_at_the_first_proof_of_another_instance() {
    let mut readers = StoreReaders::new(1);
    readers.begin(at(800));
    proved_by(&mut readers, Some(1), at(900));
    assert!(!readers.yield_to_others(), "the store is not lost");
    readers.call_failed(at(1_000));
    assert!(!readers.yield_to_others(), "the proof is its own");
    assert!(readers.reads());
    readers.call_failed(at(1_300));
    readers.proved_by(WatchedTable::Config, Some(2), at(1_200));
    assert!(!readers.yield_to_others(), "the other one may not read endpoints");
    readers.proved_by(WatchedTable::Endpoints, Some(2), at(1_200));
    assert!(readers.yield_to_others());
    assert!(!readers.reads());
    assert!(!readers.yield_to_others(), "it stops only once");
}

/// Guards against a new reader that stops before its first response because it lost the store in an
/// earlier outage.
#[test]
fn a_loss_before_an_instance_began_to_read_does_not_stop_it() {
    let mut readers = StoreReaders::new(1);
    readers.begin(at(800));
    readers.call_failed(at(1_000));
    proved_by(&mut readers, Some(2), at(1_200));
    assert!(readers.yield_to_others());
    readers.begin(at(9_000));
    proved_by(&mut readers, Some(2), at(9_001));
    assert!(!readers.yield_to_others());
    readers.call_failed(at(9_500));
    readers.call_answered();
    proved_by(&mut readers, Some(2), at(9_600));
    assert!(!readers.yield_to_others(), "it reaches the store again");
}

/// Guards against a reader that names itself beside a proof of another instance: it may be cut off
/// from the store, and the instance that made the proof would stop reading.
#[test]
fn reader_names_the_instance_that_made_the_proof() {
    let mut readers = StoreReaders::new(1);
    readers.begin(at(1_000));
    proved_by(&mut readers, Some(1), at(1_010));
    assert_eq!(readers.reader(), Some(1));
    proved_by(&mut readers, Some(5), at(2_700));
    assert_eq!(readers.reader(), Some(5));
}

/// Guards against a new reader that stops for one that has not answered since: it may have lost the
/// store.
#[test]
fn new_reader_stops_only_for_a_later_read() {
    let mut readers = StoreReaders::new(5);
    readers.begin(at(2_600));
    assert!(!readers.yield_to_reader(1, at(2_599)));
    assert!(!readers.yield_to_reader(7, at(2_700)), "the smallest incarnation continues");
    assert!(readers.yield_to_reader(1, at(2_700)));
    assert!(!readers.reads());
}

/// Guards against a reader of one table that counts as the reader of both: endpoint changes would
/// not be read by any instance.
#[test]
fn an_instance_that_reads_only_one_table_is_not_named_as_the_reader() {
    let mut readers = StoreReaders::new(5);
    proved_by(&mut readers, Some(3), at(1_000));
    assert_eq!(readers.reader(), Some(3));
    readers.proved_by(WatchedTable::Config, Some(2), at(2_000));
    assert_eq!(readers.reader(), None);
    assert_eq!(readers.all_proved_at(), Some(at(1_000)));
    readers.proved_by(WatchedTable::Endpoints, Some(2), at(1_900));
    assert_eq!((readers.reader(), readers.all_proved_at()), (Some(2), Some(at(1_900))));
}

#[test]
fn a_new_reader_has_read_a_table_once_its_own_response_proves_it() {
    let mut readers = StoreReaders::new(5);
    proved_by(&mut readers, Some(3), at(1_000));
    readers.begin(at(2_500));
    assert!(!readers.has_read(WatchedTable::Endpoints));
    readers.proved_by(WatchedTable::Endpoints, Some(5), at(2_500));
    assert!(readers.has_read(WatchedTable::Endpoints));
    assert!(!readers.has_read(WatchedTable::Config));
}

/// Guards against copies that grow too old after the loss of a reader: within two seconds no
/// request may reach an endpoint that has announced its leaving.
#[test]
fn copies_are_read_again_before_they_are_too_old() {
    // The store takes some milliseconds; instances that lack processor time take longer.
    let (read, digest) = (ms(10), ms(50));
    let poll = ms(1_000) + ms(200) + read + digest;
    assert!(read_age(true, 0.0) > poll, "a reader in good order is not replaced");
    assert!(read_age(true, 1.0) + read + digest < ms(1_800));
    assert!(read_age(true, 1.0) < read_age(false, 0.0), "schedulers read first");
    assert!(read_age(false, 1.0) + read + digest < ms(2_000));
    // The loss of a reader is no outage, even if the store is slow.
    assert!(read_age(false, 1.0) + ms(350) + digest <= MIN_OUTAGE);
}

/// Guards against instances that all read the store while thousands of endpoints change: copies
/// take seconds to reach all where all have just started, and others read the table meanwhile.
#[test]
fn endpoints_that_another_instance_has_read_need_no_read() {
    let mut readers = StoreReaders::new(5);
    assert_eq!(readers.unread_since(), None);
    readers.proved_by(WatchedTable::Config, Some(3), at(3_000));
    assert_eq!(readers.unread_since(), Some(at(3_000)), "the first copy is on its way");
    readers.proved_by(WatchedTable::Endpoints, Some(3), at(1_000));
    assert_eq!(readers.unread_since(), Some(at(1_000)));
    readers.endpoints_proved_elsewhere(at(2_000));
    assert_eq!(readers.unread_since(), Some(at(2_000)));
    assert_eq!(readers.proved_at(WatchedTable::Endpoints), Some(at(1_000)), "of this copy");
}
