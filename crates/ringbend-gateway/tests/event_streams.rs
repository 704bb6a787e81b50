//! Events are split in the same way however their bytes are fragmented.

use quickcheck::quickcheck;
use ringbend_gateway::{Event, EventSplitter};

const STREAM: &[u8] =
    b"id: 7\ndata: a\n\nid:8\r\ndata: b\r\n\r\n: comment\n\nversion: 3\nid: 10\n\n";

fn split(pieces: &[&[u8]]) -> (Vec<Event>, bool) {
    let mut splitter = EventSplitter::default();
    let events = pieces.iter().flat_map(|piece| splitter.push(piece).unwrap()).collect();
    (events, splitter.is_between_events())
}

#[test]
fn events_keep_their_ids_and_bytes() {
    let (events, is_complete) = split(&[STREAM]);
    assert_eq!(events.iter().map(|e| e.id).collect::<Vec<_>>(), [Some(7), Some(8), None, Some(10)]);
    assert_eq!(events.iter().flat_map(|e| e.bytes.clone()).collect::<Vec<_>>(), STREAM);
    assert!(is_complete);
}

#[test]
fn an_incomplete_event_is_not_returned() {
    let (events, is_complete) = split(&[b"id: 7\ndata: a\n\nid: 8\nda"]);
    assert_eq!(events.len(), 1);
    assert!(!is_complete);
}

#[test]
fn an_event_without_end_is_rejected() {
    let mut splitter = EventSplitter::default();
    let long = vec![b'x'; 600_000];
    assert!(splitter.push(&long).is_ok());
    assert!(splitter.push(&long).is_err());
}

quickcheck! {
    fn fragmentation_makes_no_difference(lengths: Vec<u8>) -> bool {
        let mut ends: Vec<usize> = lengths.iter().map(|c| usize::from(*c) % STREAM.len()).collect();
        ends.push(STREAM.len());
        ends.sort_unstable();
        let mut start = 0;
        let mut pieces = Vec::new();
        for end in ends {
            pieces.push(&STREAM[start..end]);
            start = end;
        }
        split(&pieces) == split(&[STREAM])
    }
}
