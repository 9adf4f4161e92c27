//! This daemon's in-memory copy of its keys in the store, and when the copy was last confirmed to be
//! current.
//!
//! Changes arrive from the store and from peers. A copy at [`Position`] `p` contains every change up to
//! `p`. A peer's [`CopyStatus`] with the last significant change `c`, position `p` and age `age` says
//! that there was no significant change between `c` and `p` as of `age` ago; it confirms any copy at `c`
//! or later up to `p`. A server's heartbeat, which renews its entry, is not significant. Each change
//! carries its position in the store, and never replaces a change of the same key at a higher position.
//!
//! The store may be restored from a backup, which starts a new era. Revisions of different eras can't be
//! compared: all keys are read again, and a status from an earlier era confirms nothing. Values that the
//! restored store lacks are retained for a time: they stay in effect until they are written again.
//!
//! A copy that is behind receives small values first, so that a server that is leaving is excluded at
//! once, however long a large configuration takes to transfer. The copy's position advances only once it
//! has all values. Servers' entries, closed halls and rollout orders have a position of their own,
//! which may be ahead: they are read separately while a large answer is still being received.

mod activate;
mod large;
mod retained;
mod state;

use crate::gateway::behind::Delay;
use crate::gateway::chunks::Chunks;
use crate::gateway::clock;
use crate::gateway::core::Gateway;
use crate::gateway::port::{Change, Entry, Schema};
use crate::gateway::roster::Roster;
use crate::gateway::update::{Content, CopyStatus, KeyUpdate, Missing, Update};
use crate::platform::Position;
use log::{info, warn};
use retained::Retention;
use state::{IncomingChange, KeyState, State};
use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// After this long without a confirmation, the next one is logged.
const LATE_CONFIRMATION: Duration = Duration::from_millis(1_500);
/// Largest size of a small value, in bytes: entries of servers and daemons take some hundred, a
/// configuration with a few routes some thousand.
const SMALL_VALUE_BYTES: usize = 4 << 10;
/// A copy that has not been confirmed for this long, and that a peer can't update incrementally, fetches
/// everything from that peer. Longer than two heartbeats: the daemon that reads the store for the others
/// usually sends an update sooner.
const FULL_FETCH_AFTER: Duration = Duration::from_millis(600);

/// A copy of the store's keys that puts their values into effect in a [`Gateway`]; see the module.
pub struct Mirror {
    gateway: Arc<Gateway>,
    roster: Arc<Roster>,
    schema: Arc<dyn Schema>,
    state: Mutex<State>,
    /// The chunks of large values.
    chunks: Mutex<Chunks>,
}

impl Mirror {
    /// An empty copy.
    pub fn new(gateway: Arc<Gateway>, roster: Arc<Roster>, schema: Arc<dyn Schema>) -> Mirror {
        Mirror { gateway, roster, schema, state: Mutex::default(), chunks: Mutex::default() }
    }

    /// The position up to which the copy is complete; the start for an empty copy.
    pub fn position(&self) -> Position {
        self.state().position
    }

    /// The status of this copy, which is sent to peers; `None` before the first confirmation.
    pub fn copy_status(&self, now: Instant) -> Option<CopyStatus> {
        let state = self.state();
        let age_ms = clock::millis_between(state.confirmed?, now);
        let urgent_position = state.urgent_position();
        Some(CopyStatus {
            position: state.position,
            last_change: state.last_change(),
            servers_position: urgent_position,
            // Changes beyond `urgent_position` may not all have arrived.
            last_server_change: state.last_urgent_change.min(urgent_position),
            deletions_known_after: state.deletions_known_after,
            age_ms,
            retained_checksum: state.retained_checksum(),
        })
    }

    /// Replaces the copy by all keys, read at `position`; the store had this state at `as_of`.
    pub fn replace(&self, entries: Vec<Entry>, position: Position, as_of: Instant, now: Instant) {
        let incoming = entries.into_iter().map(IncomingChange::from).collect();
        let is_new_era = self.enter_era(&mut self.state(), position, position, now);
        self.replace_all(incoming, position, is_new_era, as_of, now);
        if is_new_era {
            self.state().log_era("store");
        }
    }

    /// Replaces the copy by all keys as of a position, which may be the first in a new era.
    fn replace_all(
        &self,
        incoming: Vec<IncomingChange>,
        position: Position,
        is_new_era: bool,
        as_of: Instant,
        now: Instant,
    ) {
        let mut state = self.state();
        if position < state.position {
            // A newer state arrived while this read was under way.
            let known = state.position;
            warn!(era = position.era, revision = position.revision, known_era = known.era, known_revision = known.revision; "ignored a read of the store that is older than this copy");
            self.gateway.metrics.store_reads.with_label_values(&["older"]).inc();
            return;
        }
        let listed: HashSet<&str> = incoming.iter().map(|incoming| incoming.key.as_str()).collect();
        let is_gone = |(key, key_state): &(&Arc<str>, &KeyState)| {
            !key_state.content.is_deleted()
                && key_state.revision <= position
                && !listed.contains(&***key)
        };
        let gone: Vec<String> =
            state.keys.iter().filter(is_gone).map(|(key, _)| key.to_string()).collect();
        // Keys that were both written and deleted since this copy's last position are not in this read, so
        // this copy doesn't know all deletions before `position`.
        state.deletions_known_after = position;
        let before = state.position;
        self.confirm(&mut state, position, as_of, now);
        for key in gone {
            let change = Change { key, value: None, revision: position };
            self.apply_change(&mut state, change.into(), as_of, now);
        }
        for incoming in incoming {
            // A key written after `before` may have been deleted in between even if its value is the
            // same: peers that applied the deletion need the key again. Peers that know more of the
            // previous era than this copy get all keys.
            let last_significant =
                (!is_new_era && incoming.revision > before).then_some(incoming.revision);
            self.apply_change(
                &mut state,
                IncomingChange { last_significant, ..incoming },
                as_of,
                now,
            );
        }
        state.server_changes.log();
    }

    /// Applies all changes up to `position`; the store had this state at `as_of`.
    pub fn advance(&self, changes: Vec<Change>, position: Position, as_of: Instant, now: Instant) {
        self.apply_all(
            changes.into_iter().map(IncomingChange::from).collect(),
            position,
            as_of,
            now,
        );
    }

    /// Applies all changes up to `position`; the store had this state at `as_of`.
    fn apply_all(
        &self,
        incoming: Vec<IncomingChange>,
        position: Position,
        as_of: Instant,
        now: Instant,
    ) {
        let mut state = self.state();
        self.confirm(&mut state, position, as_of, now);
        // Of several versions of the configuration only the last one is worth parsing.
        let is_declaration = |change: &IncomingChange| change.key == self.schema.declaration();
        let last = incoming.iter().rposition(is_declaration);
        let changes = incoming.into_iter().enumerate();
        let changes = changes.filter(|(at, change)| !is_declaration(change) || Some(*at) == last);
        for (_, incoming) in changes {
            self.apply_change(&mut state, incoming, as_of, now);
        }
        state.server_changes.log();
    }

    /// Processes a peer's status that was true at `as_of` or later, and returns what this copy is
    /// missing.
    pub fn receive_status(&self, copy_status: CopyStatus, as_of: Instant, now: Instant) -> Missing {
        let mut state = self.state();
        if copy_status.last_change > state.position && !state.position.is_start() {
            state.behind.report(copy_status.last_change, now);
        }
        if copy_status.position.era != state.position.era {
            return state.missing_against(&copy_status);
        }
        if state.position < copy_status.deletions_known_after {
            // The peer no longer knows the deletions between the two positions; another peer may.
            let is_unconfirmed = state.confirmed.is_none() || state.age(now) > FULL_FETCH_AFTER;
            return if is_unconfirmed { Missing::Changes } else { Missing::Nothing };
        }
        let missing = state.missing_against(&copy_status);
        if missing == Missing::Nothing {
            // A value retained by the peer may be newer than the one in effect here.
            let known = [0, state.retained_checksum()];
            if !known.contains(&copy_status.retained_checksum)
                && !state.fetched_retained.contains(&copy_status.retained_checksum)
            {
                return Missing::Changes;
            }
            state.urgent_ahead = state.urgent_ahead.max(copy_status.servers_position);
            if copy_status.position >= state.position {
                self.confirm(&mut state, copy_status.position, as_of, now);
            }
        }
        missing
    }

    /// What this copy is missing according to a peer's status of unknown age.
    pub fn missing_against(&self, copy_status: &CopyStatus) -> Missing {
        self.state().missing_against(copy_status)
    }

    /// How far this copy is behind its peers' copies; `None` if it lacks nothing that they reported.
    pub fn delay(&self, now: Instant) -> Option<Delay> {
        self.state().behind.delay(now)
    }

    /// Records at `now` that the store answered some daemon at `at`.
    pub fn store_answered(&self, at: Instant, now: Instant) {
        self.state().outages.note_answer(at, now);
    }

    /// Records that a request of some daemon to the store failed at `at`.
    pub fn store_failed(&self, at: Instant) {
        self.state().outages.note_failure(at);
    }

    /// Whether the store currently answers no daemon, as far as known.
    pub fn is_store_unreachable(&self) -> bool {
        self.state().outages.is_unreachable()
    }

    /// When a request of any daemon to the store last failed, as far as known.
    pub fn last_failure(&self) -> Option<Instant> {
        self.state().outages.last_failure()
    }

    /// The changes that a copy at `after` is missing, without large values.
    pub fn small_update_after(&self, after: Position, now: Instant) -> Option<Update> {
        self.update(after, SMALL_VALUE_BYTES, now)
    }

    /// All changes that a copy at `after` is missing.
    pub fn complete_update_after(&self, after: Position, now: Instant) -> Option<Update> {
        self.update(after, usize::MAX, now)
    }

    /// All changes that a copy at `after` is missing, with large values as outlines.
    pub fn chunked_update_after(&self, after: Position, now: Instant) -> Option<Update> {
        let mut update = self.complete_update_after(after, now)?;
        self.outline_large(&mut update);
        Some(update)
    }

    /// The changes that a copy at `after` is missing, limited to values of up to `max_bytes` bytes.
    fn update(&self, after: Position, max_bytes: usize, now: Instant) -> Option<Update> {
        let copy_status = self.copy_status(now)?;
        let state = self.state();
        let full = !state.can_update_from(after);
        // Split before any value is cloned: a large one may take a megabyte.
        let is_included =
            |(_, key_state): &(&Arc<str>, &KeyState)| key_state.content.bytes() <= max_bytes;
        let (included, omitted): (Vec<_>, Vec<_>) = match full {
            true => state.keys.iter().partition(is_included),
            false => state.changed_after(after).partition(is_included),
        };
        let key_update = |(key, key_state): (&Arc<str>, &KeyState)| KeyUpdate {
            key: key.to_string(),
            revision: key_state.revision,
            last_significant: key_state.last_significant,
            content: key_state.content.clone(),
        };
        let keys = included.into_iter().map(key_update).collect();
        let (retained, all_retained) = state.retained_for_peer(max_bytes, now);
        let (first_read, complete) = (state.first_read, omitted.is_empty() && all_retained);
        Some(Update { copy_status, full, complete, first_read, keys, retained })
    }

    /// Applies an update from a peer that was true at `as_of` or later.
    pub fn apply(&self, update: Update, as_of: Instant, now: Instant) {
        let position = update.copy_status.position;
        let is_new_era = {
            let mut state = self.state();
            if position.era < state.position.era {
                return;
            }
            state.fetched_retained.insert(update.copy_status.retained_checksum);
            self.enter_era(&mut state, position, update.first_read, now)
        };
        match update.full && update.complete {
            true => {
                let live = update.keys.into_iter().filter(|key| !key.content.is_deleted());
                self.replace_all(
                    live.map(IncomingChange::from).collect(),
                    position,
                    is_new_era,
                    as_of,
                    now,
                );
                self.adopt(&mut self.state(), update.retained, now);
            }
            false => self.apply_changes(update, is_new_era, as_of, now),
        }
        if is_new_era {
            self.state().log_era("peer");
        }
    }

    /// Applies an update that does not hold all keys.
    fn apply_changes(&self, update: Update, is_new_era: bool, as_of: Instant, now: Instant) {
        let CopyStatus { position, servers_position, deletions_known_after, .. } =
            update.copy_status;
        if is_new_era && !update.full {
            self.state().deletions_known_after = deletions_known_after;
        }
        let mut incoming: Vec<IncomingChange> =
            update.keys.into_iter().map(IncomingChange::from).collect();
        incoming.sort_by_key(|incoming| incoming.revision);
        let is_behind_era = self.state().position.era < position.era;
        match update.complete {
            true => self.apply_all(incoming, position, as_of, now),
            false => self.apply_ahead(incoming, as_of, now),
        }
        let mut state = self.state();
        if is_behind_era && update.complete {
            state.restamp_keys(deletions_known_after);
        }
        self.adopt(&mut state, update.retained, now);
        if !update.full {
            state.small_ahead = state.small_ahead.max(position);
            state.urgent_ahead = state.urgent_ahead.max(servers_position);
        }
    }

    /// Applies all changes of urgent keys up to `position`, ahead of all other changes; the store had
    /// this state at `as_of`.
    pub fn advance_urgent(
        &self,
        changes: Vec<Change>,
        position: Position,
        as_of: Instant,
        now: Instant,
    ) {
        self.apply_ahead(changes.into_iter().map(IncomingChange::from).collect(), as_of, now);
        let mut state = self.state();
        state.urgent_ahead = state.urgent_ahead.max(position);
    }

    /// The position up to which the urgent keys are complete.
    pub fn urgent_position(&self) -> Position {
        self.state().urgent_position()
    }

    /// The prefixes of the urgent keys, which are read separately from large values: servers' entries,
    /// closed halls and rollout orders.
    pub fn urgent_prefixes(&self) -> [&str; 3] {
        [self.schema.servers(), self.schema.closed_halls(), self.schema.rollouts()]
    }

    /// Applies changes without advancing the copy's position.
    fn apply_ahead(&self, incoming: Vec<IncomingChange>, as_of: Instant, now: Instant) {
        let mut state = self.state();
        for incoming in incoming {
            self.apply_change(&mut state, incoming, as_of, now);
        }
        state.server_changes.log();
    }

    /// Applies the keys read so far, before all of them have been read; doesn't confirm the copy.
    pub fn apply_early(&self, entries: Vec<Entry>, as_of: Instant, now: Instant) {
        self.apply_ahead(entries.into_iter().map(IncomingChange::from).collect(), as_of, now);
    }

    /// Time since this copy was last confirmed to be current; zero before the first confirmation.
    pub fn age(&self, now: Instant) -> Duration {
        self.state().age(now)
    }

    /// Whether the store has a key, as far as this copy knows.
    pub fn lists(&self, key: &str) -> bool {
        self.state().keys.get(key).is_some_and(|key_state| !key_state.content.is_deleted())
    }

    /// The prefix of the daemon keys of a hall.
    pub fn daemons_of(&self, hall: &str) -> String {
        format!("{}{hall}/", self.schema.daemons())
    }

    /// Removes servers whose entries lapsed and were not written again in time, and ends expired
    /// retentions.
    pub fn expire(&self, now: Instant) {
        let mut state = self.state();
        self.expire_retained(&mut state, now);
        let due: Vec<String> =
            state.lapsed.iter().filter(|(_, at)| now >= **at).map(|(key, _)| key.clone()).collect();
        for key in due {
            state.lapsed.remove(&key);
            self.remove_server(&mut state, &key, now);
        }
        state.server_changes.log();
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Records that data of an era arrives. Returns whether that era is newer than the copy's.
    fn enter_era(
        &self,
        state: &mut State,
        position: Position,
        first_read: Position,
        now: Instant,
    ) -> bool {
        let is_new_era = state.enter_era(position, first_read, now);
        if is_new_era {
            self.gateway.set_era(position.era);
        }
        is_new_era
    }

    /// Records that the copy is complete up to `position`, where the store was at `as_of`.
    fn confirm(&self, state: &mut State, position: Position, as_of: Instant, now: Instant) {
        self.gateway.metrics.store_era.set(state.position.era.max(position.era) as i64);
        state.position = state.position.max(position);
        let reached = state.position;
        state.behind.reach(reached);
        self.gateway.in_force.reach(reached);
        let late = state.age(now);
        state.confirmed = state.confirmed.max(Some(as_of));
        if state.age(now) <= LATE_CONFIRMATION {
            let longest_gap = state.outages.take_longest_gap();
            if late > LATE_CONFIRMATION {
                let (late, longest_gap) = (millis(late), millis(longest_gap));
                info!(late_ms = late, unheard_ms = longest_gap; "copy of the store is current again");
            }
        }
        self.gateway.in_force.confirm(self.gateway.in_force.position(), as_of);
    }

    /// Applies one change, unless the copy has it or a later one of its key.
    fn apply_change(
        &self,
        state: &mut State,
        incoming: IncomingChange,
        as_of: Instant,
        now: Instant,
    ) {
        let IncomingChange { key, revision, content, last_significant } = incoming;
        if !self.is_mirrored(&key) {
            return;
        }
        let known = state.keys.get(&*key);
        if known.is_some_and(|key_state| key_state.revision >= revision) {
            return;
        }
        let is_server = key.starts_with(self.schema.servers());
        // A server's entry is parsed once, by the daemon that reads it from the store.
        let content = match content {
            Content::Value(value) if is_server => match self.schema.server(&key, &value) {
                Ok(record) => Content::Server(record),
                Err(_) => Content::Value(value),
            },
            content => content,
        };
        let is_of_later_era = known.is_some_and(|known| known.is_before(revision.era));
        // Between two deletions the key had a value, which a peer may still have.
        let is_new = known.is_none_or(|known| match (&known.content, &content) {
            (Content::Deleted, Content::Deleted) => true,
            (Content::Value(_), Content::Value(_)) if is_server => false,
            (before, after) => before != after,
        });
        // A rollout's next record is written on condition that the revision of this one is unchanged. After
        // a restore, a new revision therefore counts as a change even if the content is the same.
        let is_record = key.starts_with(self.schema.rollout_records());
        let is_new = is_new || (is_of_later_era && is_record);
        let retention = state.retained.get(&*key);
        let lost = self.lost_value(state, &key, known, revision, &content, now);
        let previous = known.map_or(Position::START, |key_state| key_state.last_significant);
        let last_significant = match last_significant {
            // A peer that kept its copy across a restore sends the position that the change had before.
            Some(last_significant) if is_new && last_significant <= previous => revision,
            Some(last_significant) => last_significant.max(previous),
            None if is_new || (retention.is_some() && lost.is_none()) => revision,
            None => previous,
        };
        let is_significant = is_new || last_significant > previous;
        state.set_key(&key, KeyState { revision, last_significant, content: content.clone() });
        let is_overridden = lost.is_some();
        match lost {
            Some(retention) => self.retain(state, &key, retention, now),
            None => drop(state.retained.remove(&*key)),
        }
        if !is_significant {
            return;
        }
        state.changed_in_era += 1;
        if self.is_urgent(&key) {
            state.last_urgent_change = state.last_urgent_change.max(last_significant);
        }
        match last_significant > state.position {
            true => state.last_change_ahead = state.last_change_ahead.max(last_significant),
            false => state.last_change_within = state.last_change_within.max(last_significant),
        }
        if !is_overridden {
            self.activate(state, &key, revision, &content, as_of, now);
        }
        state.forget_deleted();
        self.gateway.signal_copy_change();
    }

    /// The value that overrides a change read from the store, if the store has lost a later change of
    /// the key.
    fn lost_value(
        &self,
        state: &State,
        key: &str,
        known: Option<&KeyState>,
        revision: Position,
        content: &Content,
        now: Instant,
    ) -> Option<Retention> {
        let retention = state.retained.get(key);
        let is_of_later_era = known.is_some_and(|known| known.is_before(revision.era));
        // Lost versions of the configuration may be written again one by one, after the first read.
        let is_read = revision <= state.first_read || key == self.schema.declaration();
        if !is_read || !(is_of_later_era || retention.is_some()) {
            return None;
        }
        let (in_effect, position) = match (retention, known) {
            (Some(retention), _) => (&retention.content, retention.position),
            (None, Some(known)) => (&known.content, known.revision),
            (None, None) => return None,
        };
        let until = retention.map_or_else(|| self.retained_until(key, now), |r| r.until);
        let is_lost = self.is_lost(key, in_effect, content);
        is_lost.then(|| Retention {
            content: in_effect.clone(),
            position,
            overridden: revision,
            until,
        })
    }

    /// Whether the copy includes a key.
    fn is_mirrored(&self, key: &str) -> bool {
        let schema = &self.schema;
        let prefixes =
            [schema.servers(), schema.daemons(), schema.closed_halls(), schema.quarantine()];
        let prefixes = prefixes.into_iter().chain([schema.rollouts(), schema.rollout_records()]);
        key == schema.declaration() || prefixes.into_iter().any(|prefix| key.starts_with(prefix))
    }

    /// Whether a key is read and sent separately from large values: a server's entry, a closed hall or a
    /// rollout order.
    fn is_urgent(&self, key: &str) -> bool {
        self.urgent_prefixes().iter().any(|prefix| key.starts_with(prefix))
    }
}

/// Milliseconds, for log lines.
fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
