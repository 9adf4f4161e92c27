//! Fair shares of an engine pool's capacity between workspaces.
//!
//! While a pool is short of capacity, a workspace that holds more than its share of it gets no further new
//! requests, so that the others still find room. Use is measured in tokens: the memory that requests need at
//! their longest and their unprocessed prompt. Shares are max-min fair: what some workspaces leave unused goes
//! to the others. The use of all daemons counts, as reported in heartbeats.

use crate::gateway::servers::Load;
use crate::gateway::tag::Tag;
use std::cmp::Reverse;
use std::collections::HashMap;

/// Number of workspaces of a service whose use is reported by name; the use of the others is added up.
const MAX_NAMED: usize = 16;
/// Fraction of the held tokens up to which workspaces above the equal split may hold more than it. The rest is
/// freed for the others, which would otherwise find the pool as full as the largest workspace does. At 0.8,
/// eight times as many newcomers of workspaces with small demand are refused under the same load.
const DIVIDED_FRACTION: f64 = 0.9;

/// Tag under which daemons report the use of a workspace at a service. Requests without an API key count as
/// one workspace.
pub fn share_tag(service: &str, workspace: Option<&str>) -> Tag {
    let group = Tag::of(service).combined_with(Tag::of("workspace"));
    group.member(Tag::of(workspace.unwrap_or_default()))
}

/// Tokens that the workspaces of one service hold.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PoolUse {
    /// The use of each workspace that is known by name.
    pub named: Vec<u64>,
    /// The use of all others.
    pub others: u64,
}

impl PoolUse {
    /// Tokens that each workspace may hold in a pool with this many tokens of memory that is short of
    /// capacity; `None` if only one workspace holds any.
    ///
    /// A shortage may also be one of prompt processing, so the capacity that is divided is no more than what
    /// is held. The others count in full, since each of them holds less than those reported by name. The
    /// share is at least the equal split among the workspaces that are known to hold tokens.
    pub fn share(&self, memory: u64) -> Option<u64> {
        let holders = self.named.iter().filter(|held| **held > 0).count();
        let holders = (holders + usize::from(self.others > 0)) as u64;
        if holders <= 1 {
            return None;
        }
        let held = self.named.iter().fold(self.others, |sum, held| sum.saturating_add(*held));
        let capacity = held.min(memory);
        let divided = (capacity as f64 * DIVIDED_FRACTION) as u64;
        let level = max_min_level(&self.named, divided.saturating_sub(self.others));
        Some(level.max(capacity.div_ceil(holders)))
    }
}

/// The level at which `uses`, each capped at it, add up to `capacity`, rounded up; `u64::MAX` if they do not
/// fill it.
pub fn max_min_level(uses: &[u64], capacity: u64) -> u64 {
    let mut sorted = uses.to_vec();
    sorted.sort_unstable();
    let mut left = capacity;
    for (i, held) in sorted.iter().enumerate() {
        let level = left.div_ceil((sorted.len() - i) as u64);
        if *held > level {
            return level;
        }
        left = left.saturating_sub(*held);
    }
    u64::MAX
}

/// Why a workspace gets no further requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Excess {
    /// Tokens that it holds.
    pub held: u64,
    /// Tokens that it may hold.
    pub share: u64,
}

/// Requests that a workspace has running by way of this daemon.
#[derive(Debug, Clone, Copy, Default)]
struct OwnUse {
    runs: u32,
    /// Memory that they need at their longest, in tokens.
    tokens: u64,
    unread_prompt: u64,
}

/// Load by service and workspace, of this daemon and of the others.
#[derive(Debug, Default)]
pub struct Shares {
    own: HashMap<Tag, OwnUse>,
    /// Load that the other daemons reported, by the group of the service's tags.
    peers: HashMap<Tag, HashMap<Tag, Load>>,
}

impl Shares {
    /// Adds the load of a request that was admitted.
    pub fn add(&mut self, tag: Tag, load: Load) {
        let own = self.own.entry(tag).or_default();
        own.runs += 1;
        own.tokens += u64::from(load.tokens);
        own.unread_prompt += u64::from(load.unread_prompt);
    }

    /// Notes that prompt tokens have been processed.
    pub fn note_prompt_read(&mut self, tag: Tag, tokens: u32) {
        if let Some(own) = self.own.get_mut(&tag) {
            own.unread_prompt -= u64::from(tokens);
        }
    }

    /// Removes the load of a request that has ended.
    pub fn remove(&mut self, tag: Tag, load: Load) {
        let Some(own) = self.own.get_mut(&tag) else {
            return;
        };
        own.runs -= 1;
        own.tokens -= u64::from(load.tokens);
        own.unread_prompt -= u64::from(load.unread_prompt);
        if own.runs == 0 {
            self.own.remove(&tag);
        }
    }

    /// This daemon's load by service and workspace, for reports to peers.
    pub fn own_loads(&self) -> Vec<(Tag, Load)> {
        let saturated = |tokens| u32::try_from(tokens).unwrap_or(u32::MAX);
        let entries = self.own.iter().map(|(tag, own)| {
            let (tokens, unread_prompt) = (saturated(own.tokens), saturated(own.unread_prompt));
            (*tag, Load { tokens, unread_prompt, ..Load::default() })
        });
        largest_by_name(entries)
    }

    /// Replaces the load that the other daemons reported. Entries of servers are ignored.
    pub fn set_peer_loads(&mut self, loads: &HashMap<Tag, Load>) {
        self.peers.clear();
        for (tag, load) in loads.iter().filter(|(_, load)| !load.is_of_server()) {
            self.peers.entry(tag.group()).or_default().insert(*tag, *load);
        }
    }

    /// By how much a workspace holds more than its share of a pool with this many tokens of memory, if it
    /// does. `load` is that of the request that asks for admission: a share is never smaller.
    pub fn excess(&self, tag: Tag, load: Load, memory: u64) -> Option<Excess> {
        let group = tag.group();
        let empty = HashMap::new();
        let peers = self.peers.get(&group).unwrap_or(&empty);
        let own_use = |tag| self.own.get(tag).map_or(0, |own| own.tokens + own.unread_prompt);
        let peer_use = |tag| peers.get(tag).map_or(0, |load| load.held());
        let own = self.own.keys().filter(|tag| tag.group() == group && !peers.contains_key(tag));
        let named = peers.keys().filter(|tag| **tag != group).chain(own);
        let named = named.map(|tag| own_use(tag) + peer_use(tag)).collect();
        let held = own_use(&tag) + peer_use(&tag);
        let share = PoolUse { named, others: peer_use(&group) }.share(memory)?;
        let share = share.max(load.held());
        (held > share).then_some(Excess { held, share })
    }
}

impl Load {
    /// Tokens that count against a workspace's share.
    fn held(self) -> u64 {
        u64::from(self.tokens) + u64::from(self.unread_prompt)
    }
}

/// Keeps the largest entries of each group and adds up the others under the group's own tag, so that reports
/// do not grow with the number of workspaces.
pub(crate) fn largest_by_name(entries: impl Iterator<Item = (Tag, Load)>) -> Vec<(Tag, Load)> {
    let mut groups = HashMap::<Tag, Vec<(Tag, Load)>>::new();
    for entry in entries {
        groups.entry(entry.0.group()).or_default().push(entry);
    }
    for (group, entries) in &mut groups {
        let mut others = Load::default();
        entries.retain(|(tag, load)| {
            let named = tag != group;
            if !named {
                others += *load;
            }
            named
        });
        entries.sort_unstable_by_key(|(tag, load)| (Reverse(load.held()), *tag));
        entries.drain(MAX_NAMED.min(entries.len())..).for_each(|(_, load)| others += load);
        if others != Load::default() {
            entries.push((*group, others));
        }
    }
    groups.into_values().flatten().collect()
}
