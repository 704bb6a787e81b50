//! Model of a prefix cache with a fixed number of blocks and LRU eviction.

use std::collections::{BTreeMap, VecDeque};

use ringbend_platform::CacheEvent;
use ringbend_types::TokenCount;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Tokens per cache block.
pub const BLOCK_TOKENS: u64 = 256;

/// Bytes of prompt text per token, the estimate used throughout the project.
const BYTES_PER_TOKEN: usize = 4;

/// Maximum number of retained events. Older ones are dropped, which readers see as a gap in the
/// sequence numbers.
const MAX_EVENTS: usize = 256;

/// Chained hashes of a prompt's full blocks: equal hashes mean equal prefixes.
pub fn prefix_blocks(prompt: &[u8]) -> Vec<u64> {
    let block_bytes = BLOCK_TOKENS as usize * BYTES_PER_TOKEN;
    let mut chain = 0;
    prompt
        .chunks_exact(block_bytes)
        .map(|block| {
            chain = xxh3_64_with_seed(block, chain);
            chain
        })
        .collect()
}

/// Prefix cache of one engine.
#[derive(Debug, Clone)]
pub struct PrefixCache {
    capacity: usize,
    clock: u64,
    last_used: BTreeMap<u64, u64>,
    lru_order: BTreeMap<u64, u64>,
    events: VecDeque<CacheEvent>,
    sequence: u64,
}

impl PrefixCache {
    /// Creates an empty cache of `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            clock: 0,
            last_used: BTreeMap::new(),
            lru_order: BTreeMap::new(),
            events: VecDeque::new(),
            sequence: 0,
        }
    }

    /// Number of tokens at the start of the prompt that need no prefill. Does not count as a use of
    /// the blocks.
    pub fn matched_tokens(&self, blocks: &[u64]) -> TokenCount {
        let hits = blocks.iter().take_while(|b| self.last_used.contains_key(b)).count();
        TokenCount(hits as u64 * BLOCK_TOKENS)
    }

    /// Inserts the blocks of a prefilled prompt and evicts the least recently used blocks.
    pub fn store(&mut self, blocks: &[u64]) {
        for block in blocks.iter().take(self.capacity) {
            self.touch(*block);
        }
        while self.last_used.len() > self.capacity {
            let Some((_, block)) = self.lru_order.pop_first() else { break };
            self.last_used.remove(&block);
            self.record_event(block, false);
        }
    }

    /// Events with a sequence number above `sequence`, oldest first.
    pub fn events_after(&self, sequence: u64) -> Vec<CacheEvent> {
        self.events.iter().filter(|e| e.sequence > sequence).cloned().collect()
    }

    fn touch(&mut self, block: u64) {
        self.clock += 1;
        match self.last_used.insert(block, self.clock) {
            Some(previous) => {
                self.lru_order.remove(&previous);
            }
            None => self.record_event(block, true),
        }
        self.lru_order.insert(self.clock, block);
    }

    fn record_event(&mut self, block: u64, stored: bool) {
        self.sequence += 1;
        self.events.push_back(CacheEvent { sequence: self.sequence, block, stored });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
