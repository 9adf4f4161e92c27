//! Reading server-sent events, as far as completions use them.

use std::collections::VecDeque;

/// One event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its id, if it has one.
    pub id: Option<String>,
    /// Its data.
    pub data: String,
}

/// Takes bytes as they come and gives whole events.
#[derive(Debug, Default)]
pub struct Events {
    buffer: Vec<u8>,
    id: Option<String>,
    ready: VecDeque<Event>,
}

impl Events {
    /// Adds bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
        let Some(end) = self.buffer.iter().rposition(|b| *b == b'\n') else {
            return;
        };
        let whole: Vec<u8> = self.buffer.drain(..=end).collect();
        for line in String::from_utf8_lossy(&whole).lines() {
            if let Some(id) = line.strip_prefix("id: ") {
                self.id = Some(id.to_string());
            } else if let Some(data) = line.strip_prefix("data: ") {
                self.ready.push_back(Event { id: self.id.take(), data: data.to_string() });
            }
        }
    }

    /// The next whole event.
    pub fn take(&mut self) -> Option<Event> {
        self.ready.pop_front()
    }
}
