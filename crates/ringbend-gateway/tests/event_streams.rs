//! Events are cut the same way however their bytes come.

use quickcheck::quickcheck;
use ringbend_gateway::{Event, EventSplitter};

const STREAM: &[u8] =
    b"id: 7\ndata: a\n\nid:8\r\ndata: b\r\n\r\n: comment\n\nversion: 3\nid: 10\n\n";

fn cut(pieces: &[&[u8]]) -> (Vec<Event>, bool) {
    let mut cutter = EventSplitter::default();
    let events = pieces.iter().flat_map(|piece| cutter.push(piece).unwrap()).collect();
    (events, cutter.is_between_events())
}

#[test]
fn events_have_their_ids_and_their_bytes() {
    let (events, whole) = cut(&[STREAM]);
    assert_eq!(events.iter().map(|e| e.id).collect::<Vec<_>>(), [Some(7), Some(8), None, Some(10)]);
    assert_eq!(events.iter().flat_map(|e| e.bytes.clone()).collect::<Vec<_>>(), STREAM);
    assert!(whole);
}

#[test]
fn half_an_event_is_none() {
    let (events, whole) = cut(&[b"id: 7\ndata: a\n\nid: 8\nda"]);
    assert_eq!(events.len(), 1);
    assert!(!whole);
}

#[test]
fn an_event_without_end_is_refused() {
    let mut cutter = EventSplitter::default();
    let long = vec![b'x'; 600_000];
    assert!(cutter.push(&long).is_ok());
    assert!(cutter.push(&long).is_err());
}

quickcheck! {
    fn pieces_make_no_difference(cuts: Vec<u8>) -> bool {
        let mut ends: Vec<usize> = cuts.iter().map(|c| usize::from(*c) % STREAM.len()).collect();
        ends.push(STREAM.len());
        ends.sort_unstable();
        let mut start = 0;
        let mut pieces = Vec::new();
        for end in ends {
            pieces.push(&STREAM[start..end]);
            start = end;
        }
        cut(&pieces) == cut(&[STREAM])
    }
}
