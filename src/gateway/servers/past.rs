//! What servers that the store no longer lists had said of themselves.
//!
//! Entries lapse while a server lives: it could not write for a while, or the store was away. The same start may be
//! listed again, as ready where it could not write since, and then still leaves, rests and needs what it said.

use crate::gateway::condition::Condition;
use crate::gateway::tag::Tag;
use std::collections::{HashMap, VecDeque};

/// Starts of which it is kept: more than a fleet's servers, so that all may be replaced while the store is away.
const MAX_PAST: usize = 8_192;

/// The conditions of starts that are not listed.
#[derive(Debug, Default)]
pub(super) struct Past {
    conditions: HashMap<Tag, Condition>,
    /// The starts in the order in which they went.
    order: VecDeque<Tag>,
}

impl Past {
    /// A start is no longer listed.
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

    /// What a start that is listed again had said.
    pub(super) fn take(&mut self, start: Tag) -> Option<Condition> {
        let condition = self.conditions.remove(&start)?;
        self.order.retain(|other| *other != start);
        Some(condition)
    }
}
