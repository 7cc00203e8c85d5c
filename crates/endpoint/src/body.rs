//! Bodies that are read in full.

use crate::prelude::*;

/// Largest block that a body is gathered in, in bytes.
const MAX_BLOCK_BYTES: usize = 16 << 10;

/// A body that is being read, in blocks. A single buffer that grows would take up to three times the length of the body while it
/// is copied.
#[derive(Debug, Default)]
pub struct Gathered {
    blocks: Vec<BytesMut>,
    /// Number of bytes in all blocks.
    pub len: usize,
}

impl Gathered {
    /// Number of bytes that have to be allocated before `more` bytes can be added.
    pub fn missing(&self, more: usize) -> usize {
        let missing = more.saturating_sub(self.room());
        if missing == 0 {
            return 0;
        }
        missing.max(self.len.min(MAX_BLOCK_BYTES))
    }

    /// Adds a chunk, after the allocation of `missing` bytes.
    pub fn push(&mut self, chunk: &[u8], missing: usize) {
        let (head, tail) = chunk.split_at(chunk.len().min(self.room()));
        if let Some(last) = self.blocks.last_mut() {
            last.extend_from_slice(head);
        }
        if !tail.is_empty() {
            let mut block = BytesMut::with_capacity(missing.max(tail.len()));
            block.extend_from_slice(tail);
            self.blocks.push(block);
        }
        self.len += chunk.len();
    }

    /// The blocks, in order.
    pub fn into_blocks(self) -> Vec<Bytes> {
        self.blocks.into_iter().map(BytesMut::freeze).collect()
    }

    /// Number of bytes that fit into the last block.
    fn room(&self) -> usize {
        let last = self.blocks.last();
        last.map_or(0, |block| block.capacity() - block.len())
    }
}
