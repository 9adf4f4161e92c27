//! Hashes of names: short in messages between daemons, and an order that is the same in all
//! daemons.

use serde::{Deserialize, Serialize};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Bits of a tag that tell the members of a group from each other: of 5,000 members, two have the same tag in
/// one of 88,000 cases.
const MEMBER_BITS: u64 = (1 << 40) - 1;

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

    /// The tag of a member of the group that this tag names. Its upper bits are those of the group, so that
    /// daemons can tell which group an entry belongs to without knowing the members' names.
    pub fn member(self, member: Tag) -> Tag {
        Tag(self.group().0 | (self.combined_with(member).0 & MEMBER_BITS))
    }

    /// The tag that stands for the whole group of a member's tag.
    pub fn group(self) -> Tag {
        Tag(self.0 & !MEMBER_BITS)
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
