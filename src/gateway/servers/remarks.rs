//! What servers say of themselves in their answers.

use super::{ServerKey, Servers};
use crate::gateway::condition::Remarks;
use std::time::Instant;

/// What of an answer's words was not known before.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct News {
    /// That the server leaves.
    pub leaves: bool,
    /// That it rests, or rests longer.
    pub rests: bool,
    /// A limit, its end, or another one.
    pub limit: bool,
}

impl Servers {
    /// Takes in what an answer to something that was sent at `asked` says of its server.
    pub fn hear(
        &mut self,
        key: ServerKey,
        remarks: &Remarks,
        asked: Instant,
        now: Instant,
    ) -> News {
        let limit = self.says_limit(key, remarks.limit, asked, now);
        let leaves = remarks.leaving && self.leaves(key, now);
        let Some(server) = self.arena.get_mut(key) else {
            return News::default();
        };
        let condition = &mut server.condition;
        if let Some(left) = remarks.cold {
            condition.cold.told(left, now);
        }
        let rests = remarks.rest.is_some_and(|time| condition.rests(time, now));
        News { leaves, rests, limit }
    }
}
