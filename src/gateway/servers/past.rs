//! What servers that the store no longer lists had said about themselves.
//!
//! A server's entry may expire while it still runs, because it could not write for a while or the store was
//! unavailable. When the same process is listed again, possibly as ready because it could not write since, its
//! notice that it leaves, its backoff and its limit still apply.

use crate::gateway::condition::Condition;
use crate::gateway::tag::Tag;
use std::collections::{HashMap, VecDeque};

/// Maximum number of server processes kept: more than a fleet has servers, so that all may be
/// replaced while the store is unavailable.
const MAX_PAST: usize = 8_192;

/// The conditions of server processes that are not listed.
#[derive(Debug, Default)]
pub(super) struct Past {
    conditions: HashMap<Tag, Condition>,
    /// The processes, in the order in which they were dropped.
    order: VecDeque<Tag>,
}

impl Past {
    /// Keeps the condition of a server process that is dropped, if anything in it has to last.
    pub(super) fn keep(&mut self, start: Tag, condition: Condition) {
        if !condition.has_lasting_remarks() {
            return;
        }
        self.conditions.insert(start, condition);
        self.order.push_back(start);
        while self.order.len() > MAX_PAST {
            let oldest = self.order.pop_front();
            oldest.and_then(|start| self.conditions.remove(&start));
        }
    }

    /// Removes and returns the condition of a server process that is listed again.
    pub(super) fn take(&mut self, start: Tag) -> Option<Condition> {
        let condition = self.conditions.remove(&start)?;
        self.order.retain(|other| *other != start);
        Some(condition)
    }
}
