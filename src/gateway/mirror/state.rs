//! What a copy consists of: the keys with their latest changes, and up to where it is complete.

use super::retained::Retention;
use crate::gateway::outage::Outages;
use crate::gateway::port::{Change, Entry};
use crate::gateway::update::{Cell, Content, CopyStatus, Lack};
use crate::platform::Position;
use log::info;
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// After the store was away, entries that lapsed meanwhile have this long to come back. Servers that
/// live write again within about two seconds.
pub(super) const LAPSED_GRACE: Duration = Duration::from_millis(1_900);
/// Deleted keys that are remembered, so that peers can be told of each deletion.
const MAX_DELETED: usize = 1_024;
/// Eras of which it is remembered where this copy left them.
const MAX_ERA_CHANGES: usize = 4;

#[derive(Debug, Clone)]
pub(super) struct KeyState {
    pub(super) revision: Position,
    /// Its last change that matters: a server's signs of life since then are not given to
    /// peers, which would get some hundred bytes a second for each server of the fleet.
    pub(super) mattered: Position,
    pub(super) content: Content,
}

impl KeyState {
    /// Whether its last change is of an earlier era.
    pub(super) fn is_before(&self, era: u64) -> bool {
        self.revision.era < era
    }
}

#[derive(Default)]
pub(super) struct State {
    pub(super) keys: HashMap<Arc<str>, KeyState>,
    /// The keys by their last change that matters: what a peer lacks is found without a look at all.
    pub(super) order: BTreeSet<(Position, Arc<str>)>,
    /// How many of the keys are deleted ones.
    pub(super) deleted: usize,
    pub(super) position: Position,
    /// The last change that matters among those up to the position.
    pub(super) changed: Position,
    /// The last one beyond the position, of those that were given ahead of large values.
    pub(super) last_change_ahead: Position,
    /// The position up to which no small value is missing, where that is beyond the copy's.
    pub(super) small_ahead: Position,
    /// The same of servers' entries and closed halls, where that is beyond both.
    pub(super) servers: Position,
    /// The last change that matters of those.
    pub(super) server_change: Position,
    /// Deletions up to this position are forgotten, but for those that a crossing spans.
    pub(super) deletions_known_after: Position,
    /// The last eras that this copy came through without being made anew.
    pub(super) era_changes: VecDeque<EraChange>,
    pub(super) confirmed: Option<Instant>,
    pub(super) outages: Outages,
    /// Where the first read of the whole store in this era stood.
    pub(super) base: Position,
    /// Values that stand though the store has lost them.
    pub(super) retained: HashMap<Arc<str>, Retention>,
    /// Checksums of peers' retained values that were fetched.
    pub(super) fetched_retained: HashSet<u64>,
    /// Keys that mattered since the last era began, as far as they have been taken in.
    pub(super) changed_in_era: usize,
    /// Servers whose entries lapsed while the store was away, and until when they are waited for.
    pub(super) lapsed: HashMap<String, Instant>,
    /// What of servers' entries is not logged yet.
    pub(super) server_changes: ServerChanges,
}

/// What a copy knew of an era when it went over to a later one: a peer's copy that stands between the two positions
/// lacks what has mattered since then, and nothing else.
#[derive(Debug, Clone, Copy)]
pub(super) struct EraChange {
    from: Position,
    to: Position,
}

/// A change on its way into the copy.
pub(super) struct IncomingChange {
    pub(super) key: String,
    pub(super) revision: Position,
    pub(super) content: Content,
    /// The last change of the key that matters, where a peer told it.
    pub(super) mattered: Option<Position>,
}

impl From<Change> for IncomingChange {
    fn from(change: Change) -> IncomingChange {
        let Change { key, value, revision } = change;
        let content = value.map_or(Content::Deleted, |value| Content::Value(value.into()));
        IncomingChange { key, revision, content, mattered: None }
    }
}

impl From<Entry> for IncomingChange {
    fn from(entry: Entry) -> IncomingChange {
        let Entry { key, value, revision } = entry;
        IncomingChange::from(Change { key, value: Some(value), revision })
    }
}

impl From<Cell> for IncomingChange {
    fn from(cell: Cell) -> IncomingChange {
        let Cell { key, revision, mattered, content } = cell;
        IncomingChange { key, revision, content, mattered: Some(mattered) }
    }
}

/// Changes of servers' entries that came together, for one log line: with a line for each, a daemon's
/// lines would grow with the fleet.
#[derive(Default)]
pub(super) struct ServerChanges {
    pub(super) came: usize,
    pub(super) leaving: Vec<String>,
    pub(super) gone: Vec<String>,
}

impl ServerChanges {
    pub(super) fn log(&mut self) {
        let ServerChanges { came, leaving, gone } = std::mem::take(self);
        if came > 0 || !leaving.is_empty() || !gone.is_empty() {
            let (leaving, gone) = (leaving.join(","), gone.join(","));
            info!(came = came, leaving_ids = leaving.as_str(), gone_ids = gone.as_str(); "backend servers");
        }
    }
}

impl State {
    /// Holds a key's latest change.
    pub(super) fn set_key(&mut self, key: &str, key_state: KeyState) {
        let shared = self.keys.get_key_value(key).map(|(key, _)| key.clone());
        let shared = shared.unwrap_or_else(|| key.into());
        let (mattered, deleted) = (key_state.mattered, key_state.content.is_deleted());
        let before = self.keys.insert(shared.clone(), key_state);
        self.deleted += usize::from(deleted);
        if let Some(before) = before {
            self.deleted -= usize::from(before.content.is_deleted());
            if before.mattered == mattered {
                return;
            }
            self.order.remove(&(before.mattered, shared.clone()));
        }
        self.order.insert((mattered, shared));
    }

    /// Forgets the older half of the deleted keys where there are too many.
    pub(super) fn forget_deleted(&mut self) {
        if self.deleted <= MAX_DELETED {
            return;
        }
        let gone = self.keys.values().filter(|key_state| key_state.content.is_deleted());
        let mut gone: Vec<Position> = gone.map(|key_state| key_state.revision).collect();
        gone.sort_unstable();
        let middle = gone[gone.len() / 2];
        let order = &mut self.order;
        self.keys.retain(|key, key_state| {
            let kept = !key_state.content.is_deleted() || key_state.revision > middle;
            if !kept {
                order.remove(&(key_state.mattered, key.clone()));
            }
            kept
        });
        self.deleted =
            self.keys.values().filter(|key_state| key_state.content.is_deleted()).count();
        self.deletions_known_after = self.deletions_known_after.max(middle);
    }

    /// Keys whose last change that matters came after a position.
    pub(super) fn changed_after(
        &self,
        after: Position,
    ) -> impl Iterator<Item = (&Arc<str>, &KeyState)> {
        let newer = self.order.range((after.next(), Arc::from(""))..);
        newer.map(|(_, key)| (key, &self.keys[key]))
    }

    /// Whether a copy at such a position can be told all that it lacks by what has mattered since.
    pub(super) fn can_update_from(&self, after: Position) -> bool {
        let is_covered = |change: &EraChange| change.from <= after && after <= change.to;
        after >= self.deletions_known_after || self.era_changes.iter().any(is_covered)
    }

    /// Notes that all keys are as the store had them at a position of this era: those that were not told of are as
    /// they were before.
    pub(super) fn restamp_keys(&mut self, since: Position) {
        for key_state in self.keys.values_mut().filter(|key_state| key_state.is_before(since.era)) {
            key_state.revision = since;
        }
    }

    /// How long ago the copy was known to be current; nothing before the first time.
    pub(super) fn age(&self, now: Instant) -> Duration {
        self.confirmed.map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }

    /// What this copy lacks against one of which a peer states so much.
    pub(super) fn lack(&self, statement: &CopyStatus) -> Lack {
        // In another era nothing is known to be as it was.
        let begun = Position::new(statement.position.era, 0);
        let servers = statement.servers_changed.max(begun) > self.servers();
        match statement.changed.max(begun) {
            changed if changed <= self.position && !servers => Lack::Nothing,
            changed if changed <= self.position.max(self.small_ahead) && !servers => {
                Lack::LargeValues
            }
            _ => Lack::Changes,
        }
    }

    /// The position up to which no server's entry is missing.
    pub(super) fn servers(&self) -> Position {
        self.servers.max(self.small_ahead).max(self.position)
    }

    /// The last era of the store of which anything is known.
    pub(super) fn era(&self) -> u64 {
        self.servers().era
    }

    /// Notes that news of a later era come in, where the first read of all stood at `base`. What the store lacks of the
    /// last moments is written again, as after an absence. Says whether the era is a later one.
    pub(super) fn enter_era(&mut self, position: Position, base: Position, now: Instant) -> bool {
        if self.position.is_start() {
            self.base = base;
            return false;
        }
        if position.era <= self.era() {
            return false;
        }
        self.base = base;
        self.fetched_retained.clear();
        self.era_changes
            .push_back(EraChange { from: self.deletions_known_after, to: self.position });
        self.era_changes.drain(..self.era_changes.len().saturating_sub(MAX_ERA_CHANGES));
        self.changed_in_era = 0;
        self.outages.note_restored(now);
        for until in self.lapsed.values_mut() {
            *until = now + LAPSED_GRACE;
        }
        true
    }

    /// Logs that this copy has gone over to a later era, as the store or a peer told.
    pub(super) fn log_era(&self, learned: &str) {
        let before = self.era_changes.back().map_or(Position::START, |change| change.to);
        let (after, retained) = (self.servers(), self.retained.len());
        info!(era = before.era, revision = before.revision, new_era = after.era, new_revision = after.revision, learned_from = learned, differing = self.changed_in_era, retained = retained; "the store came back from an older copy of itself");
    }

    /// The last position up to the copy's that may have changed something that matters.
    pub(super) fn last_change(&self) -> Position {
        // Changes that were given ahead are not told apart: some may lie below the position by now.
        if self.last_change_ahead > self.position {
            self.position
        } else {
            self.changed.max(self.last_change_ahead)
        }
    }
}
