//! This daemon's copy of what the store holds for it, and since when it is known to be current.
//!
//! It is fed by the store and by peers alike. A copy at [`Position`] `p` holds every change up to
//! `p`; a statement "nothing that matters changed after `c`, up to `p`, and that
//! was so `age` ago" makes any copy at `c` or later current up to `p`. Changes come with the store's
//! positions, and for one key a lower position never replaces a higher one.
//!
//! The store may come back from an older copy of itself, in a new era. Its revisions then say nothing of those of
//! before: all is read anew, and statements of an earlier era confirm nothing.
//!
//! A copy that is behind is given small values first: that a server leaves is in force at once, however
//! long a large configuration takes. Only with all of them the copy's position moves on. The servers'
//! entries and the closed halls have a position of their own, which may be beyond it: they are read apart
//! from a large answer that is still on its way.

mod activate;
mod retained;
mod state;

use crate::gateway::clock;
use crate::gateway::core::Gateway;
use crate::gateway::port::{Change, Entry, Schema};
use crate::gateway::roster::Roster;
use crate::gateway::update::{Cell, Content, CopyStatus, Lack, Update};
use crate::platform::Position;
use log::{info, warn};
use retained::Retention;
use state::{IncomingChange, KeyState, State};
use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Time without confirmation after which it is logged that the copy is current again.
const LATE_CONFIRMATION: Duration = Duration::from_millis(1_500);
/// Bytes up to which a value is small: servers' and daemons' entries have some hundred, a configuration
/// of a few routes some thousand.
const SMALL_VALUE_BYTES: usize = 4 << 10;
/// Time without confirmation after which a copy that is older than a peer's asks that peer for
/// everything. Longer than two heartbeats: usually the daemon that reads for all tells sooner.
const FULL_FETCH_AFTER: Duration = Duration::from_millis(600);

/// See the module.
pub struct Mirror {
    gateway: Arc<Gateway>,
    roster: Arc<Roster>,
    schema: Arc<dyn Schema>,
    state: Mutex<State>,
}

impl Mirror {
    /// An empty copy.
    pub fn new(gateway: Arc<Gateway>, roster: Arc<Roster>, schema: Arc<dyn Schema>) -> Mirror {
        Mirror { gateway, roster, schema, state: Mutex::default() }
    }

    /// The position up to which nothing is missing; the start for an empty copy.
    pub fn position(&self) -> Position {
        self.state().position
    }

    /// What this daemon may say of its copy; `None` before the first confirmation.
    pub fn copy_status(&self, now: Instant) -> Option<CopyStatus> {
        let state = self.state();
        let age_ms = clock::millis_between(state.confirmed?, now);
        let servers = state.servers();
        Some(CopyStatus {
            position: state.position,
            changed: state.last_change(),
            servers,
            // Beyond that revision some may be missing.
            servers_changed: state.server_change.min(servers),
            since: state.deletions_known_after,
            age_ms,
            retained: state.retained_checksum(),
        })
    }

    /// Takes in all keys, read at `position`, as the store stood at `seen`.
    pub fn replace(&self, entries: Vec<Entry>, position: Position, as_of: Instant, now: Instant) {
        let incoming = entries.into_iter().map(IncomingChange::from).collect();
        let is_new_era = self.enter_era(&mut self.state(), position, position, now);
        self.replace_all(incoming, position, is_new_era, as_of, now);
        if is_new_era {
            self.state().log_era("store");
        }
    }

    /// Takes in all keys as of a position, which `crosses` into a later era or doesn't.
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
            // Older than what is known: a read that was overtaken.
            let known = state.position;
            warn!(era = position.era, revision = position.revision, known_era = known.era, known_revision = known.revision; "a read of the store is older than this copy and changes nothing");
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
        // Keys that were written and deleted since this copy's last position were never seen.
        state.deletions_known_after = position;
        let before = state.position;
        self.confirm(&mut state, position, as_of, now);
        for key in gone {
            let change = Change { key, value: None, revision: position };
            self.apply_change(&mut state, change.into(), as_of, now);
        }
        for incoming in incoming {
            // What was written since may have gone in between, however it looks: peers that saw it go must be
            // told that it is back. Those that saw more of the era before than this copy are given everything.
            let mattered = (!is_new_era && incoming.revision > before).then_some(incoming.revision);
            self.apply_change(&mut state, IncomingChange { mattered, ..incoming }, as_of, now);
        }
        state.server_changes.log();
    }

    /// Takes in all changes up to `position`, as the store stood at `seen`.
    pub fn advance(&self, changes: Vec<Change>, position: Position, as_of: Instant, now: Instant) {
        self.apply_all(
            changes.into_iter().map(IncomingChange::from).collect(),
            position,
            as_of,
            now,
        );
    }

    fn apply_all(
        &self,
        incoming: Vec<IncomingChange>,
        position: Position,
        as_of: Instant,
        now: Instant,
    ) {
        let mut state = self.state();
        self.confirm(&mut state, position, as_of, now);
        for incoming in incoming {
            self.apply_change(&mut state, incoming, as_of, now);
        }
        state.server_changes.log();
    }

    /// Hears a peer's statement that was true at `seen` or later. Says what this copy lacks.
    pub fn hear(&self, copy_status: CopyStatus, as_of: Instant, now: Instant) -> Lack {
        let mut state = self.state();
        if copy_status.position.era != state.position.era {
            return state.lack(&copy_status);
        }
        if state.position < copy_status.since {
            // The peer can't tell what was deleted between the two; another one may.
            let is_unconfirmed = state.confirmed.is_none() || state.age(now) > FULL_FETCH_AFTER;
            return if is_unconfirmed { Lack::Changes } else { Lack::Nothing };
        }
        let lack = state.lack(&copy_status);
        if lack == Lack::Nothing {
            // What stands at the peer may be newer than what is in force here.
            let known = [0, state.retained_checksum()];
            if !known.contains(&copy_status.retained)
                && !state.fetched_retained.contains(&copy_status.retained)
            {
                return Lack::Changes;
            }
            state.servers = state.servers.max(copy_status.servers);
            if copy_status.position >= state.position {
                self.confirm(&mut state, copy_status.position, as_of, now);
            }
        }
        lack
    }

    /// What this copy lacks against a peer's statement of which it is not known when it was true.
    pub fn lack(&self, copy_status: &CopyStatus) -> Lack {
        self.state().lack(copy_status)
    }

    /// Notes at `now` that the store answered some daemon at `at`.
    pub fn store_answered(&self, at: Instant, now: Instant) {
        self.state().outages.note_answer(at, now);
    }

    /// Notes that some daemon asked the store in vain at `at`.
    pub fn store_failed(&self, at: Instant) {
        self.state().outages.note_failure(at);
    }

    /// Whether the store answers no daemon at present, as far as known.
    pub fn store_is_away(&self) -> bool {
        self.state().outages.is_unreachable()
    }

    /// When some daemon last asked the store in vain, as far as known.
    pub fn last_failure(&self) -> Option<Instant> {
        self.state().outages.last_failure()
    }

    /// What a copy at `after` lacks, large values left out.
    pub fn update_after(&self, after: Position, now: Instant) -> Option<Update> {
        self.update(after, SMALL_VALUE_BYTES, now)
    }

    /// All that a copy at `after` lacks.
    pub fn all_after(&self, after: Position, now: Instant) -> Option<Update> {
        self.update(after, usize::MAX, now)
    }

    /// What a copy at `after` lacks, of values with up to `most` bytes.
    fn update(&self, after: Position, max_bytes: usize, now: Instant) -> Option<Update> {
        let copy_status = self.copy_status(now)?;
        let state = self.state();
        let whole = !state.can_update_from(after);
        // Told apart before any value is copied: a large one may have a megabyte.
        let is_given =
            |(_, key_state): &(&Arc<str>, &KeyState)| key_state.content.bytes() <= max_bytes;
        let (given, left): (Vec<_>, Vec<_>) = match whole {
            true => state.keys.iter().partition(is_given),
            false => state.changed_after(after).partition(is_given),
        };
        let cell = |(key, key_state): (&Arc<str>, &KeyState)| Cell {
            key: key.to_string(),
            revision: key_state.revision,
            mattered: key_state.mattered,
            content: key_state.content.clone(),
        };
        let cells = given.into_iter().map(cell).collect();
        let (retained, all_retained) = state.retained_for_peer(max_bytes, now);
        let (base, complete) = (state.base, left.is_empty() && all_retained);
        Some(Update { copy_status, full: whole, complete, base, cells, retained })
    }

    /// Takes in what a peer gave, true at `seen` or later.
    pub fn apply(&self, update: Update, as_of: Instant, now: Instant) {
        let position = update.copy_status.position;
        let is_new_era = {
            let mut state = self.state();
            if position.era < state.position.era {
                return;
            }
            state.fetched_retained.insert(update.copy_status.retained);
            self.enter_era(&mut state, position, update.base, now)
        };
        match update.full && update.complete {
            true => {
                let live = update.cells.into_iter().filter(|cell| !cell.content.is_deleted());
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

    /// Takes in some keys that a peer gave.
    fn apply_changes(&self, update: Update, is_new_era: bool, as_of: Instant, now: Instant) {
        let CopyStatus { position, servers, since, .. } = update.copy_status;
        if is_new_era && !update.full {
            self.state().deletions_known_after = since;
        }
        let mut incoming: Vec<IncomingChange> =
            update.cells.into_iter().map(IncomingChange::from).collect();
        incoming.sort_by_key(|incoming| incoming.revision);
        let is_behind_era = self.state().position.era < position.era;
        match update.complete {
            true => self.apply_all(incoming, position, as_of, now),
            false => self.apply_ahead(incoming, as_of, now),
        }
        let mut state = self.state();
        if is_behind_era && update.complete {
            state.restamp_keys(since);
        }
        self.adopt(&mut state, update.retained, now);
        if !update.full {
            state.small_ahead = state.small_ahead.max(position);
            state.servers = state.servers.max(servers);
        }
    }

    /// Takes in all changes of servers' entries and of closed halls up to `position`, as the store stood at
    /// `seen`, ahead of all else.
    pub fn advance_urgent(
        &self,
        changes: Vec<Change>,
        position: Position,
        as_of: Instant,
        now: Instant,
    ) {
        self.apply_ahead(changes.into_iter().map(IncomingChange::from).collect(), as_of, now);
        let mut state = self.state();
        state.servers = state.servers.max(position);
    }

    /// The position up to which no server's entry and no closed hall is missing.
    pub fn urgent_position(&self) -> Position {
        self.state().servers()
    }

    /// The prefixes of what is read apart from large values.
    pub fn urgent(&self) -> [&str; 3] {
        [self.schema.servers(), self.schema.closed_halls(), self.schema.rollouts()]
    }

    fn apply_ahead(&self, incoming: Vec<IncomingChange>, as_of: Instant, now: Instant) {
        let mut state = self.state();
        for incoming in incoming {
            self.apply_change(&mut state, incoming, as_of, now);
        }
        state.server_changes.log();
    }

    /// Takes in some keys before all have been read.
    pub fn apply_early(&self, entries: Vec<Entry>, as_of: Instant, now: Instant) {
        self.apply_ahead(entries.into_iter().map(IncomingChange::from).collect(), as_of, now);
    }

    /// Whether the store holds a key, as far as known.
    pub fn lists(&self, key: &str) -> bool {
        self.state().keys.get(key).is_some_and(|key_state| !key_state.content.is_deleted())
    }

    /// The prefix of the keys of a hall's daemons.
    pub fn daemons_of(&self, hall: &str) -> String {
        format!("{}{hall}/", self.schema.daemons())
    }

    /// Gives up servers whose entries did not come back in time, and values that were not written again.
    pub fn tick(&self, now: Instant) {
        let mut state = self.state();
        self.expire_retained(&mut state, now);
        let due: Vec<String> =
            state.lapsed.iter().filter(|(_, at)| now >= **at).map(|(key, _)| key.clone()).collect();
        for key in due {
            state.lapsed.remove(&key);
            self.remove_server(&mut state, &key);
        }
        state.server_changes.log();
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Notes that news of another era come in. Says whether it is a later one.
    fn enter_era(
        &self,
        state: &mut State,
        position: Position,
        base: Position,
        now: Instant,
    ) -> bool {
        let is_new_era = state.enter_era(position, base, now);
        if is_new_era {
            self.gateway.set_era(position.era);
        }
        is_new_era
    }

    fn confirm(&self, state: &mut State, position: Position, as_of: Instant, now: Instant) {
        self.gateway.metrics.store_era.set(state.position.era.max(position.era) as i64);
        state.position = state.position.max(position);
        let late = state.age(now);
        state.confirmed = state.confirmed.max(Some(as_of));
        if state.age(now) <= LATE_CONFIRMATION {
            let unheard = state.outages.take_longest_gap();
            if late > LATE_CONFIRMATION {
                let (late, unheard) = (millis(late), millis(unheard));
                info!(late_ms = late, unheard_ms = unheard; "copy of the store is current again");
            }
        }
        self.gateway.in_force.confirm(self.gateway.in_force.position(), as_of);
    }

    fn apply_change(
        &self,
        state: &mut State,
        incoming: IncomingChange,
        as_of: Instant,
        now: Instant,
    ) {
        let IncomingChange { key, revision, content, mattered } = incoming;
        if !self.is_mirrored(&key) {
            return;
        }
        let known = state.keys.get(&*key);
        if known.is_some_and(|key_state| key_state.revision >= revision) {
            return;
        }
        let is_server = key.starts_with(self.schema.servers());
        // A server's entry is read once, where it comes from the store.
        let content = match content {
            Content::Value(value) if is_server => match self.schema.server(&key, &value) {
                Ok(record) => Content::Server(record),
                Err(_) => Content::Value(value),
            },
            content => content,
        };
        let is_of_later_era = known.is_some_and(|known| known.is_before(revision.era));
        // Between two deletions something was there, which a peer may still have.
        let is_new = known.is_none_or(|known| match (&known.content, &content) {
            (Content::Deleted, Content::Deleted) => true,
            (Content::Value(_), Content::Value(_)) if is_server => false,
            (before, after) => before != after,
        });
        // The next record is written under the condition that this one stands where it does.
        let is_record = key.starts_with(self.schema.rollout_records());
        let is_new = is_new || (is_of_later_era && is_record);
        let kept = state.retained.get(&*key);
        let lost = self.lost_value(state, &key, known, revision, &content, now);
        let last = known.map_or(Position::START, |key_state| key_state.mattered);
        let mattered = match mattered {
            // Told by a copy that came through a loss, with the change's place of before.
            Some(mattered) if is_new && mattered <= last => revision,
            Some(mattered) => mattered.max(last),
            None if is_new || (kept.is_some() && lost.is_none()) => revision,
            None => last,
        };
        let matters = is_new || mattered > last;
        state.set_key(&key, KeyState { revision, mattered, content: content.clone() });
        let stays = lost.is_some();
        match lost {
            Some(kept) => self.retain(state, &key, kept, now),
            None => drop(state.retained.remove(&*key)),
        }
        if !matters {
            return;
        }
        state.changed_in_era += 1;
        if self.is_urgent(&key) {
            state.server_change = state.server_change.max(mattered);
        }
        match mattered > state.position {
            true => state.last_change_ahead = state.last_change_ahead.max(mattered),
            false => state.changed = state.changed.max(mattered),
        }
        if !stays {
            self.activate(state, &key, revision, &content, as_of, now);
        }
        state.forget_deleted();
        self.gateway.signal_copy_change();
    }

    /// What stands in place of a change that the store has, if it has lost a later one.
    fn lost_value(
        &self,
        state: &State,
        key: &str,
        known: Option<&KeyState>,
        revision: Position,
        content: &Content,
        now: Instant,
    ) -> Option<Retention> {
        let kept = state.retained.get(key);
        let is_of_later_era = known.is_some_and(|known| known.is_before(revision.era));
        // Versions that were lost may be written again one by one.
        let is_read = revision <= state.base || key == self.schema.declaration();
        if !is_read || !(is_of_later_era || kept.is_some()) {
            return None;
        }
        let (stands, position) = match (kept, known) {
            (Some(kept), _) => (&kept.content, kept.position),
            (None, Some(known)) => (&known.content, known.revision),
            (None, None) => return None,
        };
        let until = kept.map_or_else(|| self.retained_until(key, now), |kept| kept.until);
        let is_lost = self.is_lost(key, stands, content);
        is_lost.then(|| Retention { content: stands.clone(), position, over: revision, until })
    }

    fn is_mirrored(&self, key: &str) -> bool {
        let schema = &self.schema;
        let prefixes =
            [schema.servers(), schema.daemons(), schema.closed_halls(), schema.quarantine()];
        let prefixes = prefixes.into_iter().chain([schema.rollouts(), schema.rollout_records()]);
        key == schema.declaration() || prefixes.into_iter().any(|prefix| key.starts_with(prefix))
    }

    /// Whether a key is read and told apart from large values: a server's entry, that a hall is closed, or an order
    /// for a roll-out.
    fn is_urgent(&self, key: &str) -> bool {
        self.urgent().iter().any(|prefix| key.starts_with(prefix))
    }
}

/// Whole milliseconds, for log lines.
fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
