//! The backend servers that this daemon knows, with their entries in the store, load, outcomes, limits and
//! backoffs, which of them are leaving or cold, and which halls are closed.

pub(super) mod brittle;
mod index;
mod limits;
mod paces;
mod past;
mod reachable;
mod remarks;
mod reports;

use crate::gateway::fingerprint::Fingerprint;
use crate::gateway::halls::ClosedHalls;
use crate::gateway::limit::LimitReport;
use crate::gateway::outcomes::Outcomes;
use crate::gateway::port::Destination;
use crate::gateway::quarantine::Evidence;
use crate::gateway::rollout::{self, Retired};
pub use crate::gateway::server::{Load, Server, ServerRecord};
use crate::gateway::software::{ServedVersions, Software};
use crate::gateway::tag::Tag;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Instant;

use index::Index;
use past::Past;
pub use remarks::{Backoffs, NewRemarks};

slotmap::new_key_type! {
    /// Key of a backend server in this process's arena.
    pub struct ServerKey;
}

/// What a daemon has learnt about servers from other sources than the store, as it is sent to peers.
#[derive(Debug, Clone, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Observations {
    /// Servers that are leaving, because they said so or because another server answers at their address.
    pub leaving: Vec<Tag>,
    /// Servers that refuse connections, and for how many milliseconds they are still skipped.
    pub refusing: Vec<(Tag, u32)>,
    /// Rate limits that servers named lately, or that ended lately.
    pub limits: Vec<(Tag, LimitReport)>,
}

/// Sums of what the other daemons reported on servers, on requests that may crash servers, and on rollouts.
#[derive(Debug, Default)]
pub struct PeerStats {
    /// Work that they have running at each server.
    pub loads: HashMap<Tag, Load>,
    /// Outcomes of their exchanges with each server.
    pub outcomes: HashMap<Tag, Outcomes>,
    /// What happened to the servers that ran suspected requests.
    pub evidence: HashMap<Fingerprint, Evidence>,
    /// Outcomes of requests in rollouts that are in progress.
    pub rollouts: rollout::Reports,
}

/// A server that is due for a health check or a report.
#[derive(Debug, Clone)]
pub struct HealthCheckTarget {
    /// Key of the server.
    pub key: ServerKey,
    /// Where to send the request.
    pub to: Destination,
    /// Its service.
    pub service: Arc<str>,
    /// Since when it is suspected of leaving.
    pub suspected: Option<Instant>,
    /// When it last turned out not to be leaving although its health check had failed.
    pub cleared: Option<Instant>,
}

/// All backend servers.
#[derive(Debug, Default)]
pub struct Servers {
    arena: slotmap::SlotMap<ServerKey, Server>,
    by_id: HashMap<Arc<str>, ServerKey>,
    by_tag: HashMap<Tag, ServerKey>,
    by_pace_tag: HashMap<Tag, ServerKey>,
    /// Listed servers by service and hall.
    index: Index,
    /// Servers about which this daemon may have something to report. The cost of a report thus grows with the
    /// servers that this daemon uses, not with the size of the fleet.
    reportable: HashSet<ServerKey>,
    /// Servers that the latest reports of the other daemons name.
    reported: Vec<ServerKey>,
    /// Servers that the store no longer lists, but that still have runs of this daemon.
    unlisted: Vec<ServerKey>,
    /// Servers that have a rate limit.
    limited: HashSet<ServerKey>,
    /// Servers that crash when they have to decline many requests.
    brittle: HashSet<ServerKey>,
    /// Servers that asked this daemon to back off.
    backing_off: HashSet<ServerKey>,
    /// Services in which the relative latency of some server differs from 1.
    uneven: HashSet<Arc<str>>,
    past: Past,
    versions: ServedVersions,
    halls: ClosedHalls,
    /// Versions of each service that a rollout has retired.
    retired: HashMap<Arc<str>, Retired>,
}

impl Servers {
    /// Applies the store's entry of a server. A server that is leaving stays so until its process is
    /// restarted. After a restart, the same id stands for a new server, without the runs and the state of the
    /// one before.
    pub fn upsert(&mut self, record: ServerRecord, now: Instant) {
        let known = self.by_id.get(&record.id).copied();
        match known.filter(|key| self.arena[*key].record.started_ms == record.started_ms) {
            Some(key) => {
                let before = &self.arena[key].record;
                if (&before.service, &before.hall) != (&record.service, &record.hall) {
                    self.index.remove(before, key);
                    self.index.add(&record, key);
                }
                let software = Software::of(&record);
                if self.arena[key].software() != software {
                    self.versions.remove(self.arena[key].software(), now);
                    self.versions.add(software);
                }
                self.arena[key].update(record, now);
                self.update_retired(key);
            }
            None => {
                self.remove(&record.id.clone(), now);
                self.add(record, now);
            }
        }
    }

    /// Sets which versions of a service are retired. Their servers get no new work and their runs move away;
    /// servers of versions that are no longer retired take work again. Returns whether anything changed.
    pub fn retire(&mut self, service: &Arc<str>, retired: Option<Retired>) -> bool {
        if self.retired.get(service) == retired.as_ref() {
            return false;
        }
        match retired {
            Some(retired) => self.retired.insert(service.clone(), retired),
            None => self.retired.remove(service),
        };
        let keys: Vec<ServerKey> = self.listed(service).map(|(key, _)| key).collect();
        keys.into_iter().for_each(|key| self.update_retired(key));
        true
    }

    fn update_retired(&mut self, key: ServerKey) {
        let server = &mut self.arena[key];
        let retired = self.retired.get(&server.record.service);
        server.set_retired(retired.is_some_and(|r| r.includes(&server.record.version)));
    }

    /// The versions of each service's servers, now and lately.
    pub fn versions(&self) -> &ServedVersions {
        &self.versions
    }

    /// For a process that is not part of the fleet's first start: see
    /// [`ServedVersions::assume_earlier_versions`].
    pub fn assume_earlier_versions(&mut self, now: Instant) {
        self.versions.assume_earlier_versions(now);
    }

    /// Notes that other daemons know of no other version of a service, given by its group tag, since `since`.
    pub fn confirm_versions(&mut self, service: Tag, since: Instant) {
        self.versions.confirm(service, since);
    }

    /// Servers of a service that the store lists, whether or not they take work.
    pub fn listed<'a>(&'a self, service: &'a str) -> impl Iterator<Item = (ServerKey, &'a Server)> {
        let halls = self.index.halls(service);
        halls.flat_map(|(_, keys)| keys.iter().map(|key| (*key, &self.arena[*key])))
    }

    /// Number of servers of a service that the store lists.
    pub fn count(&self, service: &str) -> usize {
        self.index.halls(service).map(|(_, keys)| keys.len()).sum()
    }

    /// Draws random servers of a service: `count` in `hall` and `count` in all other halls, fewer where there
    /// are fewer. A server may be drawn more than once.
    pub fn sample<'a>(
        &'a self,
        service: &'a str,
        hall: &'a str,
        count: usize,
        rng: &mut impl rand::Rng,
    ) -> Vec<(ServerKey, &'a Server)> {
        let keys = self.index.sample(service, hall, count, rng);
        keys.into_iter().map(|key| (key, &self.arena[key])).collect()
    }

    /// Draws `count` random servers of a service from all halls alike. A server may be drawn more than once.
    pub fn sample_all(
        &self,
        service: &str,
        count: usize,
        rng: &mut impl rand::Rng,
    ) -> Vec<(ServerKey, &Server)> {
        let keys = self.index.sample_all(service, count, rng);
        keys.into_iter().map(|key| (key, &self.arena[key])).collect()
    }

    /// Adds a server that is not listed. If the same server process was listed before and still has runs of
    /// this daemon, its entry had only expired: it is listed again and keeps its state.
    fn add(&mut self, record: ServerRecord, now: Instant) {
        let id = record.id.clone();
        let is_it = |server: &Server| {
            server.record.id == id && server.record.started_ms == record.started_ms
        };
        let known = self.unlisted.iter().position(|key| is_it(&self.arena[*key]));
        let key = match known.map(|at| self.unlisted.swap_remove(at)) {
            Some(key) => {
                self.arena[key].relist();
                self.arena[key].update(record, now);
                key
            }
            None => self.insert_with_past(record, now),
        };
        self.by_id.insert(id, key);
        self.index.add(&self.arena[key].record, key);
        self.versions.add(self.arena[key].software());
        self.update_retired(key);
    }

    /// Inserts a server, and restores what it said about itself if the same process was listed before.
    fn insert_with_past(&mut self, record: ServerRecord, now: Instant) -> ServerKey {
        let mut server = Server::new(record, now);
        let past = self.past.take(server.tag);
        if let Some(condition) = past {
            server.restore(condition, now);
        }
        let key = self.insert(server);
        if past.is_some() {
            self.reportable.insert(key);
            self.refresh_limited(key, now);
            self.backing_off.insert(key);
        }
        key
    }

    fn insert(&mut self, server: Server) -> ServerKey {
        let (tag, pace_tag) = (server.tag, server.pace_tag);
        let key = self.arena.insert(server);
        self.by_tag.insert(tag, key);
        self.by_pace_tag.insert(pace_tag, key);
        key
    }

    fn forget(&mut self, key: ServerKey) {
        if let Some(server) = self.arena.remove(key) {
            self.by_tag.remove(&server.tag);
            self.by_pace_tag.remove(&server.pace_tag);
            self.reportable.remove(&key);
            self.limited.remove(&key);
            self.brittle.remove(&key);
            self.past.keep(server.tag, server.condition);
        }
    }

    /// Whether the store lists a server.
    fn is_listed(&self, key: ServerKey) -> bool {
        let server = self.arena.get(key);
        server.is_some_and(|server| self.by_id.get(&server.record.id) == Some(&key))
    }

    /// Drops backoffs that are over, and removes servers about which there is nothing to report from the
    /// reportable ones.
    pub fn prune(&mut self, now: Instant) {
        self.end_backoffs(now);
        let arena = &self.arena;
        self.reportable
            .retain(|key| arena.get(*key).is_some_and(|server| server.has_unreported(now)));
    }

    /// Unlists a server whose entry is gone from the store: its runs go on, and it gets no new work.
    pub fn remove(&mut self, id: &str, now: Instant) {
        let Some(key) = self.by_id.remove(id) else {
            return;
        };
        self.index.remove(&self.arena[key].record, key);
        self.versions.remove(self.arena[key].software(), now);
        self.arena[key].unlist();
        match self.arena[key].own_load.runs {
            0 => self.forget(key),
            _ => self.unlisted.push(key),
        }
    }

    /// Marks a server whose entry in the store can't be parsed: it gets no new work until the entry can be
    /// read. Its runs go on.
    pub fn mark_unreadable(&mut self, id: &str) {
        if let Some(key) = self.by_id.get(id) {
            self.arena[*key].readable = false;
        }
    }

    /// Closes a hall on the operators' request: it gets no new work.
    pub fn close_hall(&mut self, hall: &str, now: Instant) {
        self.halls.close(hall, now);
    }

    /// Reopens a hall. Its servers may just have started and be cold, which their entries show only later.
    pub fn open_hall(&mut self, hall: &str, now: Instant) {
        if !self.halls.open(hall) {
            return;
        }
        for server in self.arena.values_mut().filter(|s| s.record.hall == hall) {
            server.condition.cold.note_started(now);
        }
    }

    /// Whether work in flight may still be sent to a server: its hall is open or has only just been closed,
    /// and it is not backing off.
    pub fn accepts_in_flight(&self, key: ServerKey, now: Instant) -> bool {
        self.arena.get(key).is_some_and(|server| {
            self.halls.accepts_in_flight(&server.record.hall, now) && !server.is_backing_off(now)
        })
    }

    /// Marks a server as leaving or gone, because it said so or because another server answers at its
    /// address. Returns whether that is new.
    pub fn mark_leaving(&mut self, key: ServerKey, now: Instant) -> bool {
        let Some(server) = self.arena.get_mut(key) else {
            return false;
        };
        self.reportable.insert(key);
        server.mark_leaving(now)
    }

    /// Suspects a server of leaving after a failed health check, which leaving servers fail as well: it is
    /// treated as leaving until its report says otherwise.
    pub fn suspect(&mut self, key: ServerKey, now: Instant) {
        if let Some(server) = self.arena.get_mut(key).filter(|s| s.is_open()) {
            server.suspected = Some(now);
            server.leaving.send_replace(true);
            self.reportable.insert(key);
        }
    }

    /// Ends the suspicion of a server that turned out not to leave.
    pub fn clear_suspicion(&mut self, key: ServerKey, now: Instant) {
        if let Some(server) = self.arena.get_mut(key).filter(|s| s.suspected.is_some()) {
            server.suspected = None;
            server.cleared = Some(now);
            server.leaving.send_replace(false);
        }
    }

    /// Notes that a request is sent to a cold server.
    pub fn note_cold_request(&mut self, key: ServerKey, now: Instant) {
        if let Some(server) = self.arena.get_mut(key) {
            server.cold_requests.record(now);
        }
    }

    /// Servers to check: those that take new work and have runs of this daemon that must not be repeated, and
    /// those that are suspected. Servers that are backing off are left out, since they want no requests of
    /// any kind.
    pub fn health_check_targets(&self, now: Instant) -> Vec<HealthCheckTarget> {
        let has_runs = |s: &Server| s.is_open() && s.own_load.non_repeatable > 0;
        let matters = |s: &Server| (has_runs(s) || s.suspected.is_some()) && !s.is_backing_off(now);
        // A server that has runs of this daemon or is suspected is always among the reportable ones.
        let watched = self.reportable().filter(|(_, s)| matters(s));
        let watched = watched.map(|(key, s)| HealthCheckTarget {
            key,
            to: s.destination(),
            service: s.record.service.clone(),
            suspected: s.suspected,
            cleared: s.cleared,
        });
        watched.collect()
    }

    /// Whether there may be servers to check soon.
    pub fn may_have_targets(&self) -> bool {
        self.reportable().any(|(_, s)| s.own_load.non_repeatable > 0 || s.suspected.is_some())
    }

    /// A server by key; `None` once it has been dropped.
    pub fn get(&self, key: ServerKey) -> Option<&Server> {
        self.arena.get(key)
    }

    /// A server by its tag, which differs after each restart.
    pub fn get_by_tag(&self, tag: Tag) -> Option<&Server> {
        self.arena.get(*self.by_tag.get(&tag)?)
    }

    /// Key of the listed server with this id.
    pub fn find(&self, id: &str) -> Option<ServerKey> {
        self.by_id.get(id).copied()
    }

    /// Ids of all listed servers.
    pub fn ids(&self) -> impl Iterator<Item = &Arc<str>> {
        self.by_id.keys()
    }

    /// Servers of a service that take new work.
    pub fn open<'a>(&'a self, service: &'a str) -> impl Iterator<Item = (ServerKey, &'a Server)> {
        self.listed(service).filter(move |(_, server)| self.is_open(service, server))
    }

    /// Whether a server belongs to a service and takes new work.
    pub fn is_open(&self, service: &str, server: &Server) -> bool {
        let serves = server.is_open() && *server.record.service == *service;
        serves && !self.halls.is_closed(&server.record.hall)
    }

    /// Adds work that this daemon sends to a server.
    pub fn add_load(&mut self, key: ServerKey, load: Load) {
        if let Some(server) = self.arena.get_mut(key) {
            server.own_load += load;
            self.reportable.insert(key);
        }
    }

    /// Notes that prompt tokens have been processed.
    pub fn note_prompt_read(&mut self, key: ServerKey, tokens: u32) {
        if let Some(server) = self.arena.get_mut(key) {
            server.own_load -= Load { unread_prompt: tokens, ..Load::default() };
        }
    }

    /// Notes that a run's memory has been copied to the server.
    pub fn note_copy_arrived(&mut self, key: ServerKey, tokens: u32) {
        if let Some(server) = self.arena.get_mut(key) {
            server.own_load -= Load { incoming_copies: tokens, ..Load::default() };
        }
    }

    /// Removes work that has ended. An unlisted server is dropped with its last run.
    pub fn remove_load(&mut self, key: ServerKey, load: Load) {
        let Some(server) = self.arena.get_mut(key) else {
            return;
        };
        server.own_load -= load;
        if server.own_load.runs > 0 {
            return;
        }
        if let Some(at) = self.unlisted.iter().position(|unlisted| *unlisted == key) {
            self.unlisted.swap_remove(at);
            self.forget(key);
        }
    }

    /// Records the outcome of an exchange with a server.
    pub fn record_outcome(&mut self, key: ServerKey, failed: bool, now: Instant) {
        if let Some(server) = self.arena.get_mut(key) {
            server.record_outcome(failed, now);
            self.reportable.insert(key);
        }
    }
}

fn get_by_tag_mut<'a>(
    by_tag: &HashMap<Tag, ServerKey>,
    arena: &'a mut slotmap::SlotMap<ServerKey, Server>,
    tag: Tag,
) -> Option<(ServerKey, &'a mut Server)> {
    let key = *by_tag.get(&tag)?;
    Some((key, arena.get_mut(key)?))
}
