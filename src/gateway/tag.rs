//! Short names for messages between daemons, and an order that all daemons see alike.

use serde::{Deserialize, Serialize};
use std::hash::{DefaultHasher, Hash, Hasher};

/// A name by its hash; the same in every daemon of one build.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Tag(u64);

impl Tag {
    /// The tag of a name.
    pub fn of(name: &str) -> Tag {
        let mut hasher = DefaultHasher::new();
        name.hash(&mut hasher);
        Tag(hasher.finish())
    }
}
