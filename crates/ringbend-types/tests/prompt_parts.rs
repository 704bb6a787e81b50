//! Lists of prompt parts.

use ringbend_types::{PromptPart, PromptPartId, SharedParts, TokenCount};

fn part(id: u128) -> Option<PromptPart> {
    Some(PromptPart { id: PromptPartId(id), tokens: TokenCount(10) })
}

fn ids(parts: &SharedParts) -> Vec<u128> {
    parts.as_slice().iter().map(|part| part.id.0).collect()
}

#[test]
fn the_last_part_is_not_shared() {
    assert_eq!(ids(&SharedParts::of_prompt([])), []);
    assert_eq!(ids(&SharedParts::of_prompt([part(1)])), []);
    assert_eq!(ids(&SharedParts::of_prompt([part(1), part(2), part(3)])), [1, 2]);
    // A last part that cannot be parsed is still the last one.
    assert_eq!(ids(&SharedParts::of_prompt([part(1), part(2), None])), [1, 2]);
}

#[test]
fn malformed_parts_are_skipped_and_repeated_ones_count_once() {
    let parts = SharedParts::of_prompt([part(1), None, part(2), part(1), part(9)]);
    assert_eq!(ids(&parts), [1, 2]);
}

#[test]
fn the_number_of_parts_is_bounded() {
    let parts = SharedParts::of_prompt((0..1_000).map(part));
    assert_eq!(ids(&parts), (0..64).collect::<Vec<_>>());
    assert_eq!(
        parts.to_string(),
        "00000000 00000001 00000002 00000003 00000004 00000005 00000006 00000007 +56"
    );
    assert_eq!(SharedParts::default().to_string(), "-");
}

#[test]
fn ids_have_up_to_thirty_two_hexadecimal_digits() {
    assert_eq!("5c1e07a2".parse(), Ok(PromptPartId(0x5c1e_07a2)));
    assert_eq!("f".repeat(32).parse(), Ok(PromptPartId(u128::MAX)));
    assert_eq!(PromptPartId(0x0c1e_07a2).to_string(), "0c1e07a2");
    for text in ["", "+1", "0x1", "g", "-1", &"f".repeat(33)] {
        assert!(text.parse::<PromptPartId>().is_err(), "{text}");
    }
}
