//! What becomes of a value of the store that is newer than the one before it.

use super::Mirror;
use super::state::{COME_BACK, State};
use crate::gateway::fingerprint::Fingerprint;
use crate::gateway::in_force::Declared;
use crate::gateway::servers::ServerRecord;
use crate::gateway::update::Content;
use crate::platform::Position;
use bytes::Bytes;
use log::{info, warn};
use std::sync::Arc;
use std::time::Instant;

impl Mirror {
    /// Puts into force what a key holds.
    pub(super) fn enforce(
        &self,
        state: &mut State,
        key: &str,
        revision: Position,
        content: &Content,
        seen: Instant,
        now: Instant,
    ) {
        let is_server = key.starts_with(self.schema.servers());
        match content {
            Content::Server(record) => self.take_server(state, key, record.clone(), now),
            Content::Deleted if is_server => self.server_gone(state, key, now),
            Content::Value(value) if is_server => self.hide_server(state, key, value),
            Content::Deleted => self.put_in_force(key, revision, None, seen, now),
            Content::Value(value) => {
                self.put_in_force(key, revision, Some(value.clone()), seen, now);
            }
        }
    }

    /// Puts into force what is no server's entry.
    fn put_in_force(
        &self,
        key: &str,
        revision: Position,
        value: Option<Bytes>,
        seen: Instant,
        now: Instant,
    ) {
        if key == self.schema.declaration() {
            if let Some(value) = value {
                self.take_declaration(revision, &value, seen);
            }
        } else if key.starts_with(self.schema.daemons()) {
            self.take_daemon(key, value.as_deref());
        } else if let Some(hall) = key.strip_prefix(self.schema.closed_halls()) {
            self.take_hall(hall, value.is_some(), now);
        } else if let Some(request) = key.strip_prefix(self.schema.quarantine()) {
            self.take_quarantine(request, value.is_some(), now);
        } else if let Some(service) = key.strip_prefix(self.schema.rollouts()) {
            self.take_rollout(service, revision, value.as_deref(), now);
        } else if let Some(service) = key.strip_prefix(self.schema.rollout_records()) {
            self.take_rollout_record(service, revision, value.as_deref(), now);
        }
    }

    fn take_rollout(&self, service: &str, revision: Position, value: Option<&[u8]>, now: Instant) {
        match value.map(|value| self.schema.rollout(service, value)).transpose() {
            Ok(order) => self.gateway.apply_rollout_order(service, revision, order, now),
            Err(e) => {
                warn!(service = service, why = e.0.as_str(); "order for a roll-out not readable: write it again")
            }
        }
    }

    fn take_rollout_record(
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
                warn!(service = service, why = e.to_string().as_str(); "record of a roll-out not readable")
            }
        }
    }

    fn take_declaration(&self, position: Position, value: &[u8], seen: Instant) {
        let revision = position.revision;
        match self.schema.table(value) {
            Ok(table) => {
                let (version, table) = (table.version, Arc::new(table));
                if self.gateway.in_force.take(Declared { position, table }, seen) {
                    self.gateway.metrics.config_revision.set(revision as i64);
                    info!(version = version, revision = revision; "configuration in force");
                }
            }
            Err(e) => warn!(revision = revision, why = e.0.as_str(); "configuration not readable"),
        }
    }

    fn take_server(&self, state: &mut State, key: &str, record: ServerRecord, now: Instant) {
        state.missing.remove(key);
        match record.leaving {
            true => state.server_changes.leaving.push(record.id.to_string()),
            false => state.server_changes.came += 1,
        }
        self.gateway.servers().upsert(record, now);
    }

    /// A server's entry can't be read.
    fn hide_server(&self, state: &mut State, key: &str, value: &[u8]) {
        state.missing.remove(key);
        let why = self.schema.server(key, value).err().map_or_else(String::new, |e| e.0);
        warn!(key = key, why = why.as_str(); "backend server's entry not readable: it names no server to use");
        self.gateway.servers().mark_unreadable(self.id(key));
    }

    fn server_gone(&self, state: &mut State, key: &str, now: Instant) {
        let until = state.outages.returned().map(|returned| returned + COME_BACK);
        match until.filter(|until| now < *until) {
            Some(until) => {
                state.missing.insert(key.to_string(), until);
            }
            None => self.drop_server(state, key),
        }
    }

    pub(super) fn drop_server(&self, state: &mut State, key: &str) {
        let id = self.id(key);
        state.server_changes.gone.push(id.to_string());
        self.gateway.servers().remove(id);
    }

    /// The id of the server that an entry is about.
    fn id<'a>(&self, key: &'a str) -> &'a str {
        key.strip_prefix(self.schema.servers()).unwrap_or(key)
    }

    fn take_hall(&self, hall: &str, closed: bool, now: Instant) {
        info!(hall = hall, closed = closed; "hall that is to get nothing");
        let mut servers = self.gateway.servers();
        match closed {
            true => servers.close_hall(hall, now),
            false => servers.open_hall(hall, now),
        }
    }

    fn take_quarantine(&self, request: &str, quarantined: bool, now: Instant) {
        let Some(fingerprint) = Fingerprint::parse(request) else {
            warn!(key = request; "no fingerprint of a request: the key keeps nothing back");
            return;
        };
        info!(request = request, held = quarantined; "request that ends servers");
        let mut quarantine = self.gateway.quarantine();
        match quarantined {
            true => quarantine.mark_stored(fingerprint, now),
            false => quarantine.release(fingerprint, now),
        }
        drop(quarantine);
        self.gateway.quarantine_changed.notify_one();
    }

    fn take_daemon(&self, key: &str, value: Option<&[u8]>) {
        match value.map(serde_json::from_slice).transpose() {
            Ok(daemon) => self.roster.take(key, daemon),
            Err(e) => {
                warn!(key = key, why = e.to_string().as_str(); "daemon's key not readable");
                self.roster.take(key, None);
            }
        }
    }
}
