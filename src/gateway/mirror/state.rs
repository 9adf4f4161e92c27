//! The data of a copy: the keys with their latest changes, and the positions up to which it is complete.

use super::retained::Retention;
use crate::gateway::behind::Behind;
use crate::gateway::outage::Outages;
use crate::gateway::port::{Change, Entry};
use crate::gateway::update::{Content, CopyStatus, KeyUpdate, Missing};
use crate::platform::Position;
use log::info;
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// After an outage of the store, server entries that expired during it have this long to be written
/// again. Live servers write theirs within about two seconds.
pub(super) const LAPSED_GRACE: Duration = Duration::from_millis(1_900);
/// Most deleted keys that are remembered, so that each deletion can be sent to peers.
const MAX_DELETED: usize = 1_024;
/// Most earlier eras for which the copy remembers its position when they ended.
const MAX_ERA_CHANGES: usize = 4;

/// The latest change of a key.
#[derive(Debug, Clone)]
pub(super) struct KeyState {
    pub(super) revision: Position,
    /// Its last significant change. A server's heartbeats since then are not sent to peers: they would
    /// take some hundred bytes a second for each server of the fleet.
    pub(super) last_significant: Position,
    pub(super) content: Content,
}

impl KeyState {
    /// Whether its last change belongs to an earlier era.
    pub(super) fn is_before(&self, era: u64) -> bool {
        self.revision.era < era
    }
}

/// The data of a copy; see the module.
#[derive(Default)]
pub(super) struct State {
    /// The latest change of each key, also of deleted ones.
    pub(super) keys: HashMap<Arc<str>, KeyState>,
    /// The keys ordered by their last significant change, to find what a peer is missing without a scan
    /// of all keys.
    pub(super) order: BTreeSet<(Position, Arc<str>)>,
    /// Number of keys that are deleted.
    pub(super) deleted: usize,
    /// The position up to which the copy is complete.
    pub(super) position: Position,
    /// The last significant change up to `position`.
    pub(super) last_change_within: Position,
    /// The last significant change beyond `position`, among those that arrived ahead of large values.
    pub(super) last_change_ahead: Position,
    /// The position up to which all small values are present, where that is ahead of `position`.
    pub(super) small_ahead: Position,
    /// The position up to which the urgent keys are present, where that is ahead of both.
    pub(super) urgent_ahead: Position,
    /// The last significant change of an urgent key.
    pub(super) last_urgent_change: Position,
    /// Deletions up to this position are forgotten, except those that an [`EraChange`] covers.
    pub(super) deletions_known_after: Position,
    /// The last changes of era that this copy went through without being replaced.
    pub(super) era_changes: VecDeque<EraChange>,
    /// When the copy was last confirmed to be current.
    pub(super) confirmed: Option<Instant>,
    pub(super) outages: Outages,
    /// Changes that peers reported and this copy lacks.
    pub(super) behind: Behind,
    /// The position of the first full read of the store in this era.
    pub(super) first_read: Position,
    /// Values that stay in effect although the store has lost them.
    pub(super) retained: HashMap<Arc<str>, Retention>,
    /// Checksums of the retained values that were fetched from peers.
    pub(super) fetched_retained: HashSet<u64>,
    /// Number of significant changes applied since the current era began.
    pub(super) changed_in_era: usize,
    /// Entries of servers that expired during an outage of the store, and when their grace period ends.
    pub(super) lapsed: HashMap<String, Instant>,
    /// Changes of servers' entries that are not logged yet.
    pub(super) server_changes: ServerChanges,
}

/// The positions of an era between which a copy knew every deletion when it entered a later era. A
/// peer's copy between the two needs only the significant changes since then.
#[derive(Debug, Clone, Copy)]
pub(super) struct EraChange {
    from: Position,
    to: Position,
}

/// A change that is to be applied to the copy.
pub(super) struct IncomingChange {
    pub(super) key: String,
    pub(super) revision: Position,
    pub(super) content: Content,
    /// The last significant change of the key, where a peer sent it.
    pub(super) last_significant: Option<Position>,
}

impl From<Change> for IncomingChange {
    fn from(change: Change) -> IncomingChange {
        let Change { key, value, revision } = change;
        let content = value.map_or(Content::Deleted, |value| Content::Value(value.into()));
        IncomingChange { key, revision, content, last_significant: None }
    }
}

impl From<Entry> for IncomingChange {
    fn from(entry: Entry) -> IncomingChange {
        let Entry { key, value, revision } = entry;
        IncomingChange::from(Change { key, value: Some(value), revision })
    }
}

impl From<KeyUpdate> for IncomingChange {
    fn from(update: KeyUpdate) -> IncomingChange {
        let KeyUpdate { key, revision, last_significant, content } = update;
        IncomingChange { key, revision, content, last_significant: Some(last_significant) }
    }
}

/// Changes of servers' entries that arrived together, for one log line: with a line for each, a daemon's
/// log would grow with the fleet.
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
    /// Stores the latest change of a key.
    pub(super) fn set_key(&mut self, key: &str, key_state: KeyState) {
        let shared = self.keys.get_key_value(key).map(|(key, _)| key.clone());
        let shared = shared.unwrap_or_else(|| key.into());
        let (last_significant, deleted) =
            (key_state.last_significant, key_state.content.is_deleted());
        let before = self.keys.insert(shared.clone(), key_state);
        self.deleted += usize::from(deleted);
        if let Some(before) = before {
            self.deleted -= usize::from(before.content.is_deleted());
            if before.last_significant == last_significant {
                return;
            }
            self.order.remove(&(before.last_significant, shared.clone()));
        }
        self.order.insert((last_significant, shared));
    }

    /// Forgets the older half of the deleted keys if there are too many.
    pub(super) fn forget_deleted(&mut self) {
        if self.deleted <= MAX_DELETED {
            return;
        }
        let gone = self.keys.values().filter(|key_state| key_state.content.is_deleted());
        let mut gone: Vec<Position> = gone.map(|key_state| key_state.revision).collect();
        gone.sort_unstable();
        let median = gone[gone.len() / 2];
        let order = &mut self.order;
        self.keys.retain(|key, key_state| {
            let is_kept = !key_state.content.is_deleted() || key_state.revision > median;
            if !is_kept {
                order.remove(&(key_state.last_significant, key.clone()));
            }
            is_kept
        });
        self.deleted =
            self.keys.values().filter(|key_state| key_state.content.is_deleted()).count();
        self.deletions_known_after = self.deletions_known_after.max(median);
    }

    /// Keys whose last significant change came after a position.
    pub(super) fn changed_after(
        &self,
        after: Position,
    ) -> impl Iterator<Item = (&Arc<str>, &KeyState)> {
        let newer = self.order.range((after.next(), Arc::from(""))..);
        newer.map(|(_, key)| (key, &self.keys[key]))
    }

    /// Whether a copy at this position can be brought up to date with only the significant changes since
    /// then.
    pub(super) fn can_update_from(&self, after: Position) -> bool {
        let is_covered = |change: &EraChange| change.from <= after && after <= change.to;
        after >= self.deletions_known_after || self.era_changes.iter().any(is_covered)
    }

    /// Moves keys whose last change is of an earlier era to a position of this era: an incremental
    /// update left them out because they are unchanged.
    pub(super) fn restamp_keys(&mut self, position: Position) {
        for key_state in
            self.keys.values_mut().filter(|key_state| key_state.is_before(position.era))
        {
            key_state.revision = position;
        }
    }

    /// Time since this copy was last confirmed to be current; zero before the first confirmation.
    pub(super) fn age(&self, now: Instant) -> Duration {
        self.confirmed.map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }

    /// What this copy is missing according to a peer's status.
    pub(super) fn missing_against(&self, copy_status: &CopyStatus) -> Missing {
        // In another era any key may have changed.
        let era_start = Position::new(copy_status.position.era, 0);
        let is_urgent_missing =
            copy_status.last_server_change.max(era_start) > self.urgent_position();
        match copy_status.last_change.max(era_start) {
            last_change if last_change <= self.position && !is_urgent_missing => Missing::Nothing,
            last_change
                if last_change <= self.position.max(self.small_ahead) && !is_urgent_missing =>
            {
                Missing::LargeValues
            }
            _ => Missing::Changes,
        }
    }

    /// The position up to which the urgent keys are complete.
    pub(super) fn urgent_position(&self) -> Position {
        self.urgent_ahead.max(self.small_ahead).max(self.position)
    }

    /// The latest era of the store from which this copy has data.
    pub(super) fn era(&self) -> u64 {
        self.urgent_position().era
    }

    /// Records that data of an era arrives, whose first full read was at `first_read`. Writes that a
    /// restored store lost are repeated, as after an outage. Returns whether the era is newer than the
    /// copy's.
    pub(super) fn enter_era(
        &mut self,
        position: Position,
        first_read: Position,
        now: Instant,
    ) -> bool {
        if self.position.is_start() {
            self.first_read = first_read;
            return false;
        }
        if position.era <= self.era() {
            return false;
        }
        self.first_read = first_read;
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

    /// Logs that this copy has entered a later era, learned from the store or a peer.
    pub(super) fn log_era(&self, learned: &str) {
        let before = self.era_changes.back().map_or(Position::START, |change| change.to);
        let (after, retained) = (self.urgent_position(), self.retained.len());
        info!(era = before.era, revision = before.revision, new_era = after.era, new_revision = after.revision, learned_from = learned, differing = self.changed_in_era, retained = retained; "the store was restored from an older state");
    }

    /// An upper bound of the last significant change up to the copy's position.
    pub(super) fn last_change(&self) -> Position {
        // Only the last change that arrived ahead is known; earlier ones may lie below the position by
        // now.
        if self.last_change_ahead > self.position {
            self.position
        } else {
            self.last_change_within.max(self.last_change_ahead)
        }
    }
}
