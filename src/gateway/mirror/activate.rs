//! Puts changed values of the store into effect in the gateway.

use super::Mirror;
use super::state::{LAPSED_GRACE, State};
use crate::gateway::fingerprint::Fingerprint;
use crate::gateway::in_force::DeclaredConfig;
use crate::gateway::servers::ServerRecord;
use crate::gateway::update::Content;
use crate::platform::Position;
use bytes::Bytes;
use log::{info, warn};
use std::sync::Arc;
use std::time::Instant;

impl Mirror {
    /// Puts the content of a key into effect.
    pub(super) fn activate(
        &self,
        state: &mut State,
        key: &str,
        revision: Position,
        content: &Content,
        as_of: Instant,
        now: Instant,
    ) {
        let is_server = key.starts_with(self.schema.servers());
        match content {
            Content::Server(record) => self.update_server(state, key, record.clone(), now),
            Content::Deleted if is_server => self.on_server_deleted(state, key, now),
            Content::Value(value) if is_server => self.exclude_server(state, key, value),
            Content::Deleted => self.put_in_force(key, revision, None, as_of, now),
            // Updates are applied once their values are put together.
            Content::Chunked(_) => {}
            Content::Value(value) => {
                self.put_in_force(key, revision, Some(value.clone()), as_of, now);
            }
        }
    }

    /// Puts the content of a key into effect that is not a server's entry.
    fn put_in_force(
        &self,
        key: &str,
        revision: Position,
        value: Option<Bytes>,
        as_of: Instant,
        now: Instant,
    ) {
        if key == self.schema.declaration() {
            if let Some(value) = value {
                self.update_declaration(revision, &value, as_of);
            }
        } else if key.starts_with(self.schema.daemons()) {
            self.update_daemon(key, value.as_deref());
        } else if let Some(hall) = key.strip_prefix(self.schema.closed_halls()) {
            self.update_hall(hall, value.is_some(), now);
        } else if let Some(request) = key.strip_prefix(self.schema.quarantine()) {
            self.update_quarantine(request, value.is_some(), now);
        } else if let Some(service) = key.strip_prefix(self.schema.rollouts()) {
            self.update_rollout(service, revision, value.as_deref(), now);
        } else if let Some(service) = key.strip_prefix(self.schema.rollout_records()) {
            self.update_rollout_record(service, revision, value.as_deref(), now);
        }
    }

    fn update_rollout(
        &self,
        service: &str,
        revision: Position,
        value: Option<&[u8]>,
        now: Instant,
    ) {
        match value.map(|value| self.schema.rollout(service, value)).transpose() {
            Ok(order) => self.gateway.apply_rollout_order(service, revision, order, now),
            Err(e) => {
                warn!(service = service, why = e.0.as_str(); "cannot parse roll-out order: write it again");
                self.count_unreadable("rollout");
            }
        }
    }

    fn update_rollout_record(
        &self,
        service: &str,
        revision: Position,
        value: Option<&[u8]>,
        now: Instant,
    ) {
        match value.map(serde_json::from_slice).transpose() {
            Ok(Some(record)) => self.gateway.apply_rollout_record(service, revision, record, now),
            Ok(None) => {}
            Err(e) => {
                warn!(service = service, why = e.to_string().as_str(); "cannot parse roll-out record");
                self.count_unreadable("rollout_record");
            }
        }
    }

    fn update_declaration(&self, position: Position, value: &[u8], as_of: Instant) {
        let revision = position.revision;
        match self.schema.table(value) {
            Ok(table) => {
                let (version, table) = (table.version, Arc::new(table));
                if self.gateway.in_force.set_if_newer(DeclaredConfig { position, table }, as_of) {
                    self.gateway.metrics.config_revision.set(revision as i64);
                    info!(version = version, revision = revision, bytes = value.len(); "configuration in force");
                }
            }
            Err(e) => {
                warn!(revision = revision, why = e.0.as_str(); "cannot parse configuration");
                self.count_unreadable("configuration");
            }
        }
    }

    fn update_server(&self, state: &mut State, key: &str, record: ServerRecord, now: Instant) {
        state.lapsed.remove(key);
        match record.leaving {
            true => state.server_changes.leaving.push(record.id.to_string()),
            false => state.server_changes.came += 1,
        }
        self.gateway.servers().upsert(record, now);
    }

    /// Excludes a server whose entry can't be parsed.
    fn exclude_server(&self, state: &mut State, key: &str, value: &[u8]) {
        state.lapsed.remove(key);
        let why = self.schema.server(key, value).err().map_or_else(String::new, |e| e.0);
        warn!(key = key, why = why.as_str(); "cannot parse backend server's entry: server not used");
        self.count_unreadable("server");
        self.gateway.servers().mark_unreadable(self.id(key));
    }

    fn on_server_deleted(&self, state: &mut State, key: &str, now: Instant) {
        let until = state.outages.last_recovery().map(|recovered| recovered + LAPSED_GRACE);
        match until.filter(|until| now < *until) {
            Some(until) => {
                state.lapsed.insert(key.to_string(), until);
            }
            None => self.remove_server(state, key, now),
        }
    }

    pub(super) fn remove_server(&self, state: &mut State, key: &str, now: Instant) {
        let id = self.id(key);
        state.server_changes.gone.push(id.to_string());
        self.gateway.servers().remove(id, now);
    }

    /// The id of the server to which an entry belongs.
    fn id<'a>(&self, key: &'a str) -> &'a str {
        key.strip_prefix(self.schema.servers()).unwrap_or(key)
    }

    fn update_hall(&self, hall: &str, closed: bool, now: Instant) {
        info!(hall = hall, closed = closed; "hall closed or opened");
        let mut servers = self.gateway.servers();
        match closed {
            true => servers.close_hall(hall, now),
            false => servers.open_hall(hall, now),
        }
    }

    fn update_quarantine(&self, request: &str, quarantined: bool, now: Instant) {
        let Some(fingerprint) = Fingerprint::parse(request) else {
            warn!(key = request; "key is not a request fingerprint: nothing quarantined");
            self.count_unreadable("quarantine");
            return;
        };
        info!(request = request, held = quarantined; "request quarantined or released");
        let mut quarantine = self.gateway.quarantine();
        match quarantined {
            true => quarantine.mark_stored(fingerprint, now),
            false => quarantine.release(fingerprint, now),
        }
        drop(quarantine);
        self.gateway.quarantine_changed.notify_one();
    }

    fn count_unreadable(&self, kind: &str) {
        self.gateway.metrics.unreadable_entries.with_label_values(&[kind]).inc();
    }

    fn update_daemon(&self, key: &str, value: Option<&[u8]>) {
        match value.map(serde_json::from_slice).transpose() {
            Ok(daemon) => self.roster.update(key, daemon),
            Err(e) => {
                warn!(key = key, why = e.to_string().as_str(); "cannot parse daemon's entry");
                self.count_unreadable("daemon");
                self.roster.update(key, None);
            }
        }
    }
}
