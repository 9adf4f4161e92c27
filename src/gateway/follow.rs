//! Following the store: the declared configuration and the backend servers' entries.
//!
//! A daemon reads both whole once and then asks for what has changed. Each answer that comes
//! says that nothing else has changed, so it also confirms the configuration in force, as of the
//! moment at which the question was asked.

use crate::gateway::core::Gateway;
use crate::gateway::in_force::Declared;
use crate::gateway::port::{Schema, Store};
use crate::gateway::roster::Roster;
use crate::platform::{Change, PlatformError, PlatformResult};
use bytes::Bytes;
use log::{info, warn};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Longest wait of one question for changes: the age that a confirmation may reach by waiting.
const WAIT: Duration = Duration::from_millis(400);
/// Least time between two questions, so that changes which come together are asked for once.
const SPACING: Duration = Duration::from_millis(200);
/// Pause after a question that failed.
const AFTER_FAILURE: Duration = Duration::from_millis(150);
/// Time without an answer after which the store counts as having been away.
const AWAY: Duration = Duration::from_millis(1_000);
/// After the store was away, entries that lapsed meanwhile have this long to come back. Servers that
/// live write again within about two seconds.
const COME_BACK: Duration = Duration::from_millis(1_900);
/// All keys: one question then covers configuration, servers and daemons.
const EVERYTHING: &str = "";

/// See the module.
pub struct Follower {
    gateway: Arc<Gateway>,
    roster: Arc<Roster>,
    store: Arc<dyn Store>,
    schema: Arc<dyn Schema>,
    /// The revision up to which all changes were taken in.
    revision: Option<u64>,
    /// The last answer of the store.
    answered: Instant,
    /// When the store last came back.
    returned: Option<Instant>,
    /// Servers whose entries are missing since the store came back, and until when they are waited for.
    missing: HashMap<String, Instant>,
    /// Whether the store answers.
    reached: bool,
}

impl Follower {
    /// A follower that has read nothing.
    pub fn new(
        gateway: Arc<Gateway>,
        roster: Arc<Roster>,
        store: Arc<dyn Store>,
        schema: Arc<dyn Schema>,
        now: Instant,
    ) -> Follower {
        Follower {
            gateway,
            roster,
            store,
            schema,
            revision: None,
            answered: now,
            returned: None,
            missing: HashMap::new(),
            reached: true,
        }
    }

    /// Follows until the process ends.
    pub async fn run(mut self) {
        loop {
            let asked = Instant::now();
            let read = match self.revision {
                None => self.read_whole(asked).await,
                Some(after) => self.read_changes(after, asked).await,
            };
            match read {
                Ok(()) => sleep(SPACING.saturating_sub(asked.elapsed())).await,
                Err(e) => {
                    self.lost(&e);
                    sleep(AFTER_FAILURE).await;
                }
            }
            self.drop_missing(Instant::now());
        }
    }

    async fn read_whole(&mut self, asked: Instant) -> PlatformResult<()> {
        let servers = self.store.range(self.schema.servers()).await?;
        let daemons = self.store.range(self.schema.daemons()).await?;
        let declared = self.store.range(self.schema.declaration()).await?;
        self.heard(Instant::now());
        let now = Instant::now();
        let listed: Vec<String> = servers.entries.iter().map(|e| e.key.clone()).collect();
        for entry in servers.entries {
            self.take_server(&entry.key, Some(&entry.value), now);
        }
        let gone: Vec<String> = {
            let servers = self.gateway.servers();
            let keys = servers.ids().map(|id| format!("{}{id}", self.schema.servers()));
            keys.filter(|key| !listed.contains(key)).collect()
        };
        for key in gone {
            self.take_server(&key, None, now);
        }
        for key in self.roster.keys() {
            if !daemons.entries.iter().any(|e| e.key == key) {
                self.roster.take(&key, None);
            }
        }
        for entry in daemons.entries {
            self.take_daemon(&entry.key, Some(&entry.value));
        }
        for entry in declared.entries {
            self.take_declaration(entry.revision, entry.value, asked);
        }
        // Pages and the reads are no snapshot: changes since the first read are asked for again.
        self.revision = Some(servers.revision);
        Ok(())
    }

    async fn read_changes(&mut self, after: u64, asked: Instant) -> PlatformResult<()> {
        let Some(changes) = self.store.changes(EVERYTHING, after, WAIT).await? else {
            info!(after = after; "the store's history is gone; reading everything again");
            self.revision = None;
            return Ok(());
        };
        self.heard(Instant::now());
        self.revision = Some(changes.revision.max(after));
        for change in changes.changes {
            self.take(change, asked);
        }
        self.gateway.in_force.confirm(self.gateway.in_force.revision(), asked);
        Ok(())
    }

    fn take(&mut self, change: Change, asked: Instant) {
        if change.key == self.schema.declaration() {
            if let Some(value) = change.value {
                self.take_declaration(change.revision, value, asked);
            }
        } else if change.key.starts_with(self.schema.servers()) {
            self.take_server(&change.key, change.value.as_deref(), Instant::now());
        } else if change.key.starts_with(self.schema.daemons()) {
            self.take_daemon(&change.key, change.value.as_deref());
        }
    }

    fn take_daemon(&self, key: &str, value: Option<&[u8]>) {
        let daemon = match value.map(serde_json::from_slice).transpose() {
            Ok(daemon) => daemon,
            Err(e) => {
                warn!(key = key, why = e.to_string().as_str(); "daemon's key not readable");
                return;
            }
        };
        self.roster.take(key, daemon);
        self.gateway.set_daemons(self.roster.others().len() + 1);
    }

    fn take_declaration(&self, revision: u64, value: Vec<u8>, asked: Instant) {
        if revision <= self.gateway.in_force.revision() {
            self.gateway.in_force.confirm(revision, asked);
            return;
        }
        match self.schema.table(&value) {
            Ok(table) => {
                let (version, table) = (table.version, Arc::new(table));
                let declared = Declared { revision, bytes: Bytes::from(value), table };
                if self.gateway.in_force.take(declared, asked) {
                    info!(version = version, revision = revision; "configuration in force");
                }
            }
            Err(e) => warn!(revision = revision, why = e.0.as_str(); "configuration not readable"),
        }
    }

    fn take_server(&mut self, key: &str, value: Option<&[u8]>, now: Instant) {
        let Some(value) = value else {
            self.server_gone(key, now);
            return;
        };
        self.missing.remove(key);
        match self.schema.server(key, value) {
            Ok(record) => {
                let mut servers = self.gateway.servers();
                let known = servers.find(&record.id).and_then(|k| servers.get(k));
                if known.is_none_or(|s| s.open() == record.leaving) {
                    info!(server = &*record.id, service = &*record.service, leaving = record.leaving; "backend server");
                }
                servers.upsert(record, now);
            }
            Err(e) => warn!(key = key, why = e.0.as_str(); "backend server's entry not readable"),
        }
    }

    fn server_gone(&mut self, key: &str, now: Instant) {
        let until = self.returned.map(|returned| returned + COME_BACK);
        match until.filter(|until| now < *until) {
            Some(until) => {
                self.missing.insert(key.to_string(), until);
            }
            None => self.drop_server(key),
        }
    }

    fn drop_missing(&mut self, now: Instant) {
        let due: Vec<String> =
            self.missing.iter().filter(|(_, at)| now >= **at).map(|(key, _)| key.clone()).collect();
        for key in due {
            self.missing.remove(&key);
            self.drop_server(&key);
        }
    }

    fn drop_server(&self, key: &str) {
        let id = key.strip_prefix(self.schema.servers()).unwrap_or(key);
        info!(server = id; "backend server gone");
        self.gateway.servers().remove(id);
    }

    /// The store answered.
    fn heard(&mut self, now: Instant) {
        if now.saturating_duration_since(self.answered) > AWAY {
            self.returned = Some(now);
        }
        self.answered = now;
        if !self.reached {
            self.reached = true;
            info!("the store answers again");
        }
    }

    fn lost(&mut self, e: &PlatformError) {
        if self.reached {
            self.reached = false;
            warn!(why = e.to_string().as_str(); "the store does not answer");
        }
    }
}
