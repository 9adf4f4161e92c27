//! Whole events out of the bytes of an event stream.
//!
//! Events are passed on as they came, byte for byte; only their ids are read. A stream that
//! breaks off inside an event leaves the piece behind, so that a continuation starts clean.

use bytes::{Bytes, BytesMut};

/// Most bytes that an event may take before the stream is taken as broken.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its id, where it has one.
    pub id: Option<u64>,
    /// Its bytes with the blank line that ends it.
    pub bytes: Bytes,
}

/// An event that grew past any bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLong;

/// Splits a stream into events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Bytes of `buffer` that were searched and hold no end of an event.
    searched: usize,
}

impl Splitter {
    /// Takes in the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLong> {
        if self.buffer.len() + bytes.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// The next whole event.
    pub fn take(&mut self) -> Option<Event> {
        let Some(end) = self.find_end() else {
            // The last three bytes may be the start of a blank line.
            self.searched = self.buffer.len().saturating_sub(3);
            return None;
        };
        self.searched = 0;
        let bytes = self.buffer.split_to(end).freeze();
        Some(Event { id: id(&bytes), bytes })
    }

    /// Whether the stream stands inside an event.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    fn find_end(&self) -> Option<usize> {
        let from = self.searched;
        let bytes = &self.buffer[from..];
        for (i, byte) in bytes.iter().enumerate() {
            if *byte != b'\n' {
                continue;
            }
            match (bytes.get(i + 1), bytes.get(i + 2)) {
                (Some(b'\n'), _) => return Some(from + i + 2),
                (Some(b'\r'), Some(b'\n')) => return Some(from + i + 3),
                _ => {}
            }
        }
        None
    }
}

/// The value of the last `id` line.
fn id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|b| *b == b'\n');
    let last = lines.rev().find_map(|line| line.strip_prefix(b"id:"))?;
    let text = std::str::from_utf8(last).ok()?;
    text.trim().parse().ok()
}
