//! Splits the bytes of a server-sent event stream into complete events.
//!
//! Events are forwarded byte for byte; only their ids are parsed. If a stream breaks off inside an event, the
//! partial event is not forwarded, so that a continuation starts at an event boundary.

use bytes::{Bytes, BytesMut};

/// Size limit of buffered data, in bytes; a stream that exceeds it is treated as broken.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A complete event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The event's id, if it has a numeric one.
    pub id: Option<u64>,
    /// The raw bytes, including the blank line that ends the event.
    pub bytes: Bytes,
}

/// The buffered data exceeds the size limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLong;

/// Splits a stream into events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Number of leading bytes of `buffer` known to contain no end of an event.
    searched: usize,
    /// Whether an event has been removed.
    began: bool,
}

impl Splitter {
    /// Appends the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLong> {
        if self.buffer.len() + bytes.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// Removes and returns the next complete event.
    pub fn take(&mut self) -> Option<Event> {
        let Some(end) = self.find_end() else {
            // The last three bytes may be the start of a blank line, so they are searched again.
            self.searched = self.buffer.len().saturating_sub(3);
            return None;
        };
        (self.searched, self.began) = (0, true);
        let bytes = self.buffer.split_to(end).freeze();
        Some(Event { id: id(&bytes), bytes })
    }

    /// Whether a partial event is buffered.
    pub fn has_partial_event(&self) -> bool {
        self.buffer.iter().any(|byte| !matches!(byte, b'\r' | b'\n'))
    }

    /// Removes and returns blank lines that follow the last event.
    pub fn take_blank_lines(&mut self) -> Option<Event> {
        let is_blank = self.began && !self.buffer.is_empty() && !self.has_partial_event();
        is_blank.then(|| Event { id: None, bytes: self.buffer.split().freeze() })
    }

    /// Returns the offset just after the blank line that ends the first event.
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

/// Parses the value of the event's last `id` line.
fn id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|b| *b == b'\n');
    let last = lines.rev().find_map(|line| line.strip_prefix(b"id:"))?;
    let text = std::str::from_utf8(last).ok()?;
    text.trim().parse().ok()
}
