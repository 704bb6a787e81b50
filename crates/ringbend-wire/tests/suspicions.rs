//! Records of suspects, as exchanged with instances of this release and of the former one, and as stored.

use ringbend_gateway::{EndedProcess, Quarantine, Suspicion};
use ringbend_types::{EndpointStart, Fingerprint, PromptPartId, Timestamp};
use ringbend_wire::{
    Ask, Message, Suspicion as Encoded, WireError, decode_suspicion, encode_suspicion,
};

fn process(number: u64) -> EndedProcess {
    let endpoint = format!("i-{number}").parse().unwrap();
    EndedProcess { endpoint, start: Some(EndpointStart(number)) }
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn key(number: u8) -> Fingerprint {
    Fingerprint::from_digest(&[number; 32])
}

/// The records of a request and of a part that have two strikes each.
fn records() -> [Suspicion; 2] {
    let mut quarantine = Quarantine::default();
    let part = (key(2), PromptPartId(0xbad0_bad0));
    for number in 0..2 {
        assert!(quarantine.strike(at(1), key(1), process(number), number as usize));
        assert!(quarantine.strike_part(at(1), part, process(number), number as usize));
    }
    assert!(quarantine.note_concurrent(at(1), key(1), process(9)));
    [key(1), key(2)].map(|key| quarantine.get(key).unwrap().clone())
}

#[test]
fn records_of_requests_and_parts_are_decoded_as_they_were() {
    for record in records() {
        let bytes = encode_suspicion(&record).encode_to_vec();
        let decoded = decode_suspicion(&Encoded::decode(bytes.as_slice()).unwrap()).unwrap();
        assert_eq!(decoded, record);
    }
}

/// The former release knows neither parts nor the lists beside the strikes.
#[test]
fn a_record_of_the_former_release_is_one_of_a_request() {
    let [request, _] = records();
    let former = Encoded {
        part: String::new(),
        tested: Vec::new(),
        concurrent: Vec::new(),
        ..encode_suspicion(&request)
    };
    let decoded = decode_suspicion(&former).unwrap();
    assert_eq!((decoded.part, &decoded.ended), (None, &request.ended));
}

/// Its placement requests name a single suspect, in the field that lists them now.
#[test]
fn a_suspect_of_the_former_release_is_a_list_of_one() {
    /// The field of the former release.
    #[derive(Clone, PartialEq, Message)]
    struct FormerAsk {
        #[prost(bytes = "vec", tag = "14")]
        suspect: Vec<u8>,
    }
    let former = FormerAsk { suspect: key(1).as_bytes().to_vec() };
    let ask = Ask::decode(former.encode_to_vec().as_slice()).unwrap();
    assert_eq!(ask.suspects, [key(1).as_bytes().to_vec()]);
    let ask = Ask { suspects: vec![vec![2; 16], vec![1; 16]], ..Ask::default() };
    let former = FormerAsk::decode(ask.encode_to_vec().as_slice());
    assert_eq!(former.unwrap().suspect, vec![1; 16], "the request itself");
}

#[test]
fn a_malformed_part_is_an_error() {
    let [_, part] = records();
    let malformed = Encoded { part: "not a part".into(), ..encode_suspicion(&part) };
    assert!(matches!(decode_suspicion(&malformed), Err(WireError::Part(_))));
}
