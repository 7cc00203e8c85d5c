//! Parsing of server-sent events from engines.

use crate::prelude::*;

/// Largest event accepted, in bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Length of the longest end of a block, the end of its last line and an empty line.
const MAX_END_BYTES: usize = b"\n\r\n".len();

/// One event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Value of the `data` field.
    pub data: Bytes,
    /// The number after the last colon of the `id` field, if there is one.
    pub index: Option<u32>,
}

/// Splits a byte stream into event blocks, each with its terminating empty line.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    /// Number of bytes of `partial` after which no block ends.
    searched: usize,
}

impl EventSplitter {
    /// Adds a chunk of the stream and returns the blocks that it completes, unchanged.
    ///
    /// # Errors
    ///
    /// A block is larger than [`MAX_EVENT_BYTES`].
    pub fn feed(&mut self, chunk: Bytes) -> Result<Vec<Bytes>, Error> {
        let mut unparsed = if self.partial.is_empty() {
            chunk
        } else {
            self.partial.extend_from_slice(&chunk);
            if block_end(&self.partial, self.searched).is_none() {
                return self.keep_partial();
            }
            self.partial.split().freeze()
        };
        let mut blocks = Vec::new();
        let mut searched = self.searched;
        while let Some(end) = block_end(&unparsed, searched) {
            blocks.push(unparsed.split_to(end));
            searched = 0;
        }
        self.partial.extend_from_slice(&unparsed);
        self.keep_partial()?;
        Ok(blocks)
    }

    /// Keeps an incomplete block until more of it is added.
    fn keep_partial(&mut self) -> Result<Vec<Bytes>, Error> {
        if self.partial.len() > MAX_EVENT_BYTES {
            return Err(Error::TooLarge);
        }
        self.searched = self.partial.len().saturating_sub(MAX_END_BYTES);
        Ok(Vec::new())
    }

    /// Whether the start of an incomplete block is buffered.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Number of bytes that are allocated for the incomplete block; none if there is none.
    #[must_use]
    pub fn partial_bytes(&self) -> usize {
        if self.partial.is_empty() {
            return 0;
        }
        self.partial.capacity()
    }
}

/// The `id` of a block, if it has one.
#[must_use]
pub fn event_id(block: &[u8]) -> Option<&str> {
    let mut lines = block.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| field(line, b"id:"))?;
    let value = value.strip_suffix(b"\r").unwrap_or(value);
    std::str::from_utf8(value).ok()
}

/// Whether a block has data; others are comments or settings of the connection.
#[must_use]
pub fn has_data(block: &[u8]) -> bool {
    let mut lines = block.split(|byte| *byte == b'\n');
    lines.any(|line| line.starts_with(b"data:") || line.trim_ascii_end() == b"data")
}

/// Parses a byte stream into events.
#[derive(Debug, Default)]
pub struct Parser {
    splitter: EventSplitter,
}

impl Parser {
    /// Adds a chunk of the stream and returns the events that it completes.
    ///
    /// # Errors
    ///
    /// An event is larger than [`MAX_EVENT_BYTES`].
    pub fn feed(&mut self, chunk: Bytes) -> Result<Vec<Event>, Error> {
        let blocks = self.splitter.feed(chunk)?;
        Ok(blocks.iter().filter_map(parse_event).collect())
    }
}

/// Length of the first block, including its empty line, if it is complete and its end does not begin before `from`.
fn block_end(bytes: &[u8], from: usize) -> Option<usize> {
    let mut from = from;
    while let Some(newline) = bytes[from..].iter().position(|byte| *byte == b'\n') {
        let line = from + newline + 1;
        match &bytes[line..] {
            [b'\n', ..] => return Some(line + 1),
            [b'\r', b'\n', ..] => return Some(line + 2),
            _ => from = line,
        }
    }
    None
}

fn parse_event(block: &Bytes) -> Option<Event> {
    let mut data = None;
    let mut index = None;
    for line in block.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if let Some(value) = field(line, b"data:") {
            // Copied: a slice would keep the whole 8 KiB read buffer alive for one token.
            data = Some(Bytes::copy_from_slice(value));
        } else if let Some(value) = field(line, b"id:") {
            index = index_of_id(value);
        }
    }
    data.map(|data| Event { data, index })
}

fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

fn index_of_id(id: &[u8]) -> Option<u32> {
    let digits = id.rsplit(|byte| *byte == b':').next()?;
    std::str::from_utf8(digits).ok()?.parse().ok()
}
