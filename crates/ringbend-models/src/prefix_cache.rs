//! A prefix cache of limited memory, in blocks, evicting the least recently used.

use std::collections::{BTreeMap, VecDeque};

use ringbend_platform::CacheEvent;
use ringbend_types::TokenCount;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Tokens per cache block.
pub const BLOCK_TOKENS: u64 = 256;

/// Bytes of prompt text per token, the estimate used throughout.
const BYTES_PER_TOKEN: usize = 4;

/// Events kept for readers; older ones are lost, which readers see as a gap.
const EVENTS_KEPT: usize = 256;

/// Chained hashes of a prompt's whole blocks: equal hashes mean equal prefixes.
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

/// The cache of one engine.
#[derive(Debug, Clone)]
pub struct PrefixCache {
    capacity: usize,
    clock: u64,
    used_at: BTreeMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    events: VecDeque<CacheEvent>,
    sequence: u64,
}

impl PrefixCache {
    /// A cache of `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            clock: 0,
            used_at: BTreeMap::new(),
            by_use: BTreeMap::new(),
            events: VecDeque::new(),
            sequence: 0,
        }
    }

    /// Tokens at the prompt's start that need no prefill, without touching the cache.
    pub fn matched(&self, blocks: &[u64]) -> TokenCount {
        let hits = blocks.iter().take_while(|b| self.used_at.contains_key(b)).count();
        TokenCount(hits as u64 * BLOCK_TOKENS)
    }

    /// Stores the blocks of a prompt that was prefilled, evicting the oldest ones.
    pub fn store(&mut self, blocks: &[u64]) {
        for block in blocks.iter().take(self.capacity) {
            self.touch(*block);
        }
        while self.used_at.len() > self.capacity {
            let Some((_, block)) = self.by_use.pop_first() else { break };
            self.used_at.remove(&block);
            self.emit(block, false);
        }
    }

    /// Events after `sequence`, oldest first.
    pub fn events_after(&self, sequence: u64) -> Vec<CacheEvent> {
        self.events.iter().filter(|e| e.sequence > sequence).cloned().collect()
    }

    fn touch(&mut self, block: u64) {
        self.clock += 1;
        match self.used_at.insert(block, self.clock) {
            Some(old) => {
                self.by_use.remove(&old);
            }
            None => self.emit(block, true),
        }
        self.by_use.insert(self.clock, block);
    }

    fn emit(&mut self, block: u64, stored: bool) {
        self.sequence += 1;
        self.events.push_back(CacheEvent { sequence: self.sequence, block, stored });
        if self.events.len() > EVENTS_KEPT {
            self.events.pop_front();
        }
    }
}
