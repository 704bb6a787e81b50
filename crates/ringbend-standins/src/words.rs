//! The text of generated tokens: a function of the prompt and the place, so that any engine
//! continues any answer, and a reader can check each token.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The text of the token at `index` of the answer to a prompt with this hash.
pub fn token_text(prompt_hash: u64, index: u64) -> String {
    let word = xxh3_64_with_seed(&prompt_hash.to_le_bytes(), index) & 0xffff;
    format!(" t{word:04x}")
}
