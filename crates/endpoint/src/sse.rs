//! Server-sent events of engines.

use crate::prelude::*;

/// Largest event taken, in bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// One event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// The data, without its field name.
    pub data: Bytes,
    /// The index behind the last colon of the id, if there is one.
    pub index: Option<u32>,
}

/// Cuts a byte stream into the blocks of events, each with its empty line.
#[derive(Debug, Default)]
pub struct EventSplitter {
    rest: BytesMut,
}

impl EventSplitter {
    /// Takes a part of the stream in and returns the blocks it completes, as written.
    ///
    /// # Errors
    ///
    /// A block is larger than [`MAX_EVENT_BYTES`].
    pub fn feed(&mut self, part: Bytes) -> Result<Vec<Bytes>, Error> {
        let mut part = if self.rest.is_empty() {
            part
        } else {
            self.rest.extend_from_slice(&part);
            self.rest.split().freeze()
        };
        let mut blocks = Vec::new();
        while let Some(end) = end(&part) {
            blocks.push(part.split_to(end));
        }
        if part.len() > MAX_EVENT_BYTES {
            return Err(Error::TooLarge);
        }
        self.rest.extend_from_slice(&part);
        Ok(blocks)
    }

    /// Whether part of a block is left over.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.rest.is_empty()
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

/// Cuts a byte stream into events.
#[derive(Debug, Default)]
pub struct Parser {
    cutter: EventSplitter,
}

impl Parser {
    /// Takes a part of the stream in and returns the events it completes.
    ///
    /// # Errors
    ///
    /// An event is larger than [`MAX_EVENT_BYTES`].
    pub fn feed(&mut self, part: Bytes) -> Result<Vec<Event>, Error> {
        let blocks = self.cutter.feed(part)?;
        Ok(blocks.iter().filter_map(parse).collect())
    }
}

/// Length of the first event with its empty line, if it is complete.
fn end(bytes: &[u8]) -> Option<usize> {
    let mut from = 0;
    while let Some(place) = bytes[from..].iter().position(|byte| *byte == b'\n') {
        let line = from + place + 1;
        match &bytes[line..] {
            [b'\n', ..] => return Some(line + 1),
            [b'\r', b'\n', ..] => return Some(line + 2),
            _ => from = line,
        }
    }
    None
}

fn parse(block: &Bytes) -> Option<Event> {
    let mut data = None;
    let mut index = None;
    for line in block.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if let Some(value) = field(line, b"data:") {
            // A copy: a slice would keep the whole read buffer, 8 KiB for one token.
            data = Some(Bytes::copy_from_slice(value));
        } else if let Some(value) = field(line, b"id:") {
            index = number(value);
        }
    }
    data.map(|data| Event { data, index })
}

fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

fn number(id: &[u8]) -> Option<u32> {
    let digits = id.rsplit(|byte| *byte == b':').next()?;
    std::str::from_utf8(digits).ok()?.parse().ok()
}
