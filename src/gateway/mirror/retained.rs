//! Values that the store has lost and that stay in effect.
//!
//! A store that is restored from a backup lacks the writes since then, such as a closed hall, a deleted
//! server or a version of the configuration, until their writers repeat them. Until then the lost value
//! overrides what the store has, and daemons that start meanwhile receive it from their peers.

use super::Mirror;
use super::state::State;
use crate::gateway::fingerprint::Fingerprint;
use crate::gateway::tag::Tag;
use crate::gateway::update::{Content, Retained};
use crate::platform::Position;
use log::{info, warn};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long a value that operators or a daemon wrote is retained. They repeat the write within seconds;
/// a value that is not repeated was withdrawn before any daemon read of the withdrawal.
const REWRITE_TIME: Duration = Duration::from_secs(30);

/// How long a deleted server stays deleted although the store lists it. An entry that only the restore
/// brought back expires within three server heartbeats; if it is still listed after that, the server is
/// alive.
const ENTRY_LAPSE: Duration = Duration::from_secs(8);

/// A retained value.
#[derive(Debug, Clone)]
pub(super) struct Retention {
    /// The value in effect.
    pub(super) content: Content,
    /// The position of its write, in an earlier era.
    pub(super) position: Position,
    /// The position of the store's change that it overrides; a later change ends the retention.
    pub(super) overridden: Position,
    /// When the retention expires; `None` if it lasts until the key is written.
    pub(super) until: Option<Instant>,
}

impl State {
    /// A checksum of the retained values; zero where there are none.
    pub(super) fn retained_checksum(&self) -> u64 {
        let checksum = |(key, retention): (&Arc<str>, &Retention)| {
            let tag = Tag::of(key).combined_with(Tag::of_number(retention.position.era));
            tag.combined_with(Tag::of_number(retention.position.revision)).value()
        };
        self.retained.iter().map(checksum).fold(0, |all, one| all ^ one)
    }

    /// The retained values of up to `max_bytes` bytes, for a peer, and whether these are all.
    pub(super) fn retained_for_peer(
        &self,
        max_bytes: usize,
        now: Instant,
    ) -> (Vec<Retained>, bool) {
        let remaining = |until: Instant| until.saturating_duration_since(now).as_millis() as u32;
        let included =
            self.retained.iter().filter(|(_, retention)| retention.content.bytes() <= max_bytes);
        let included = included.map(|(key, retention)| Retained {
            key: key.to_string(),
            content: retention.content.clone(),
            position: retention.position,
            overridden: retention.overridden,
            remaining_ms: retention.until.map(remaining),
        });
        let included: Vec<Retained> = included.collect();
        let is_complete = included.len() == self.retained.len();
        (included, is_complete)
    }
}

impl Mirror {
    /// Whether the store's value, though of a later era, is older than the value in effect.
    pub(super) fn is_lost(&self, key: &str, in_effect: &Content, content: &Content) -> bool {
        if in_effect == content {
            return false;
        }
        if key == self.schema.declaration() {
            return self.is_outdated(content);
        }
        if !key.starts_with(self.schema.servers()) {
            return true;
        }
        match (in_effect, content) {
            (Content::Deleted, Content::Server(_)) => true,
            (Content::Server(in_effect), Content::Server(stored)) => {
                stored.started_ms < in_effect.started_ms
            }
            // Live servers soon write their entries again; until then they are kept as lapsed.
            _ => false,
        }
    }

    /// Whether a configuration is older than the one in force.
    fn is_outdated(&self, content: &Content) -> bool {
        let Some(in_force) = self.gateway.in_force.get() else {
            return false;
        };
        match content {
            Content::Value(value) => {
                let table = self.schema.table(value);
                table.is_ok_and(|table| table.version < in_force.table.version)
            }
            _ => true,
        }
    }

    /// Retains a value in place of a change read from the store.
    pub(super) fn retain(&self, state: &mut State, key: &str, retention: Retention, now: Instant) {
        if let Some(service) = key.strip_prefix(self.schema.rollout_records()) {
            self.rewrite_lost_record(state, key, service, &retention.content, now);
        }
        if state.retained.contains_key(key) {
            state.retained.insert(key.into(), retention);
            return;
        }
        info!(key = key, over = retention.overridden.revision; "the store has lost a value: retaining it");
        let request = key.strip_prefix(self.schema.quarantine()).and_then(Fingerprint::parse);
        if let Some(request) = request.filter(|_| !retention.content.is_deleted()) {
            self.gateway.quarantine().mark_lost(request, now);
            self.gateway.quarantine_changed.notify_one();
        }
        state.retained.insert(key.into(), retention);
    }

    /// Has the record of a rollout written again.
    fn rewrite_lost_record(
        &self,
        state: &State,
        key: &str,
        service: &str,
        content: &Content,
        now: Instant,
    ) {
        let key_state = state.keys.get(key).filter(|key_state| !key_state.content.is_deleted());
        let revision = key_state.map_or(Position::START, |key_state| key_state.revision);
        let Content::Value(value) = content else {
            return;
        };
        match serde_json::from_slice(value) {
            Ok(record) => {
                self.gateway.rollouts().set_lost_record(service, record, revision, now);
                self.gateway.rollout_changed.notify_one();
            }
            Err(e) => {
                warn!(service = service, why = e.to_string().as_str(); "cannot parse roll-out record")
            }
        }
    }

    /// When the retention of a lost value expires, unless the key is written earlier.
    pub(super) fn retained_until(&self, key: &str, now: Instant) -> Option<Instant> {
        let schema = &self.schema;
        let rewritten = [schema.closed_halls(), schema.rollouts(), schema.daemons()];
        match () {
            () if key.starts_with(schema.servers()) => Some(now + ENTRY_LAPSE),
            () if rewritten.iter().any(|prefix| key.starts_with(prefix)) => {
                Some(now + REWRITE_TIME)
            }
            () => None,
        }
    }

    /// Adopts the values that a peer retains.
    pub(super) fn adopt(&self, state: &mut State, retained: Vec<Retained>, now: Instant) {
        for value in retained {
            let Retained { key, content, position, overridden, remaining_ms } = value;
            let key_state = state.keys.get(&*key);
            let is_written = key_state.is_some_and(|key_state| key_state.revision > overridden);
            let own = state.retained.get(&*key).map(|retention| retention.position);
            let is_same = key_state.is_some_and(|key_state| key_state.content == content);
            if is_written || is_same || own.is_some_and(|own| own >= position) {
                continue;
            }
            let until = remaining_ms.map(|ms| now + Duration::from_millis(ms.into()));
            let retention = Retention { content: content.clone(), position, overridden, until };
            self.retain(state, &key, retention, now);
            if key.starts_with(self.schema.rollout_records()) {
                continue;
            }
            match content.is_deleted() && key.starts_with(self.schema.servers()) {
                true => self.remove_server(state, &key, now),
                false => self.activate(state, &key, position, &content, now, now),
            }
        }
    }

    /// Ends expired retentions: the store's values take effect.
    pub(super) fn expire_retained(&self, state: &mut State, now: Instant) {
        let is_due = |retention: &Retention| retention.until.is_some_and(|until| now >= until);
        let due = state.retained.iter().filter(|(_, retention)| is_due(retention));
        let due: Vec<Arc<str>> = due.map(|(key, _)| key.clone()).collect();
        for key in due {
            state.retained.remove(&key);
            info!(key = &*key; "retained value expired: it was not written again");
            let key_state = state.keys.get(&key).cloned();
            let (revision, content) = key_state
                .map_or((state.position, Content::Deleted), |key_state| {
                    (key_state.revision, key_state.content)
                });
            self.activate(state, &key, revision, &content, now, now);
        }
    }
}
