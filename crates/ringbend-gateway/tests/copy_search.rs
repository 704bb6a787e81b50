//! The search for a newer copy among instances that may name one that they do not have.

use std::net::{Ipv4Addr, SocketAddrV4};

use ringbend_gateway::{CopySearch, CopySearchStep};
use ringbend_types::Timestamp;

fn instance(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number), 7_400)
}

fn ms(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// Guards against asking an instance with an older copy than it names until the time limit.
#[test]
fn an_instance_with_a_stale_copy_is_asked_once() {
    let mut search = CopySearch::new(ms(800));
    let both = || vec![instance(1), instance(2)];
    assert_eq!(search.next(ms(0), both()), CopySearchStep::Fetch(both()));
    search.record_stale(instance(1));
    assert_eq!(search.next(ms(1), both()), CopySearchStep::Fetch(vec![instance(2)]));
    search.record_stale(instance(2));
    assert_eq!(search.next(ms(2), both()), CopySearchStep::Wait);
    let third = vec![instance(1), instance(3)];
    assert_eq!(search.next(ms(3), third), CopySearchStep::Fetch(vec![instance(3)]));
}

#[test]
fn a_search_ends_when_no_newer_copy_is_known_or_in_time() {
    let mut search = CopySearch::new(ms(800));
    assert_eq!(search.next(ms(0), Vec::new()), CopySearchStep::UpToDate);
    assert_eq!(search.next(ms(900), Vec::new()), CopySearchStep::UpToDate);
    assert_eq!(search.next(ms(800), vec![instance(1)]), CopySearchStep::GiveUp);
    search.record_stale(instance(1));
    assert_eq!(search.next(ms(799), vec![instance(1)]), CopySearchStep::Wait);
    assert_eq!(search.next(ms(800), vec![instance(1)]), CopySearchStep::GiveUp);
}
