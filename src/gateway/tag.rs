//! Hashes of names: short in messages between daemons, and an order that is the same in all
//! daemons.

use serde::{Deserialize, Serialize};
use std::hash::{DefaultHasher, Hash, Hasher};

/// The hash of a name; the same in every daemon of one build.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Tag(u64);

impl Tag {
    /// The tag of a name.
    pub fn of(name: &str) -> Tag {
        Tag::hashed(name)
    }

    /// The tag of a number.
    pub fn of_number(number: u64) -> Tag {
        Tag::hashed(&number)
    }

    /// The tag of a pair. Combined with different tags, the same set of tags gets different orders.
    pub fn combined_with(self, other: Tag) -> Tag {
        Tag::hashed(&(self, other))
    }

    /// The hash value.
    pub fn value(self) -> u64 {
        self.0
    }

    fn hashed(value: &(impl Hash + ?Sized)) -> Tag {
        let mut hasher = DefaultHasher::new();
        value.hash(&mut hasher);
        Tag(hasher.finish())
    }
}
