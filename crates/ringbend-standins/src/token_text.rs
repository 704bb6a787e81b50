//! The text of generated tokens. It depends only on the prompt and the token's index, so that any
//! engine can continue any answer and a client can verify each token.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the text of the token at `index` in the answer to the prompt with this hash.
pub fn token_text(prompt_hash: u64, index: u64) -> String {
    let hash_part = xxh3_64_with_seed(&prompt_hash.to_le_bytes(), index) & 0xffff;
    format!(" t{hash_part:04x}")
}
