//! Hashes of a prompt's leading blocks.

use xxhash_rust::xxh3;

use crate::id;

/// Length of a block in bytes.
pub const BLOCK_BYTES: usize = 256;

/// Most leading blocks that are hashed.
pub const MAX_BLOCKS: usize = 128;

/// Returns the hash of every prefix of complete blocks, shortest first.
///
/// The hash of a prefix is the XXH3-64 of its last block, seeded by the hash of
/// the prefix one block shorter; the first is seeded by the hash of the model's
/// name.
#[must_use]
pub fn hashes(model: &str, prompt: &str) -> Vec<id::Prefix> {
    let mut seed = xxh3::xxh3_64(model.as_bytes());
    let mut hashes = Vec::new();
    for block in prompt.as_bytes().chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS) {
        seed = xxh3::xxh3_64_with_seed(block, seed);
        hashes.push(id::Prefix(seed));
    }
    hashes
}
