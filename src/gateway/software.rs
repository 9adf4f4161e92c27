//! The software versions of servers, and which of them began a stream.
//!
//! What two versions of a service write does not fit together, and servers do not check it. A stream therefore
//! goes on only at the version that began it. Responses are passed on unchanged, so a caller that takes a stream
//! up again, at any daemon, names only the attempt that began it; daemons remember the version of each.

use crate::gateway::server::{Server, ServerRecord};
use crate::gateway::tag::Tag;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::{Duration, Instant};

/// Maximum number of streams that are remembered, about 120 bytes each. Those that expire first make room.
pub const MAX_STREAMS: usize = 16_384;
/// Maximum number of versions without servers that are remembered; the one that left first makes room.
const MAX_GONE: usize = 1_024;

/// A version of a service's software.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Software(Tag);

impl Software {
    /// The software of a server.
    pub fn of(record: &ServerRecord) -> Software {
        Software(Tag::of(&record.service).member(Tag::of(&record.version)))
    }

    /// The group tag of the service.
    pub fn service(self) -> Tag {
        self.0.group()
    }

    /// Whether a server may continue a stream that this software began.
    pub fn may_continue_at(self, server: &Server) -> bool {
        server.software() == self
    }
}

impl fmt::Display for Software {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0.value())
    }
}

/// The group tag under which the versions of a service are known.
pub fn service_tag(service: &str) -> Tag {
    Tag::of(service).group()
}

/// A stream that a version began, as daemons report it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BegunStream {
    /// Tag of the id of the attempt that began it.
    pub stream: Tag,
    /// The software that began it.
    pub software: Software,
    /// How long its caller may still take it up again, in milliseconds.
    pub left_ms: u32,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    software: Software,
    until: Instant,
}

/// Which software began each stream that a caller may take up again.
#[derive(Debug, Default)]
pub struct BegunStreams {
    entries: BTreeMap<Tag, Entry>,
    by_expiry: BTreeSet<(Instant, Tag)>,
    /// Streams of this daemon that were not reported to others.
    unreported: BTreeSet<Tag>,
}

impl BegunStreams {
    /// Records a stream of this daemon, to be reported to others if several versions serve.
    pub fn record_own(&mut self, stream: Tag, software: Software, until: Instant, now: Instant) {
        self.record(stream, software, until, now);
        self.unreported.insert(stream);
    }

    /// Records a stream that another daemon reports.
    pub fn record_reported(&mut self, report: BegunStream, now: Instant) {
        let until = now + Duration::from_millis(report.left_ms.into());
        self.record(report.stream, report.software, until, now);
    }

    /// The first record of a stream names the software that began it; later ones extend its life.
    fn record(&mut self, stream: Tag, software: Software, until: Instant, now: Instant) {
        self.remove_expired(now);
        let known = self.entries.get(&stream).copied();
        let entry = Entry {
            software: known.map_or(software, |known| known.software),
            until: known.map_or(until, |known| known.until.max(until)),
        };
        if let Some(known) = known {
            self.by_expiry.remove(&(known.until, stream));
        } else if self.entries.len() >= MAX_STREAMS {
            self.remove_first();
        }
        self.entries.insert(stream, entry);
        self.by_expiry.insert((entry.until, stream));
    }

    fn remove_expired(&mut self, now: Instant) {
        while self.by_expiry.first().is_some_and(|(until, _)| *until <= now) {
            self.remove_first();
        }
    }

    fn remove_first(&mut self) {
        if let Some((_, stream)) = self.by_expiry.pop_first() {
            self.entries.remove(&stream);
            self.unreported.remove(&stream);
        }
    }

    /// The software that began a stream, if it is known.
    pub fn get(&self, stream: Tag, now: Instant) -> Option<Software> {
        self.entries.get(&stream).filter(|entry| entry.until > now).map(|entry| entry.software)
    }

    /// Group tags of the services with streams of this daemon that are still to be reported.
    pub fn unreported_services(&self) -> BTreeSet<Tag> {
        let entries = self.unreported.iter().filter_map(|stream| self.entries.get(stream));
        entries.map(|entry| entry.software.service()).collect()
    }

    /// Takes the streams of this daemon that are still to be reported, of the services with these group tags.
    pub fn take_unreported(&mut self, services: &BTreeSet<Tag>, now: Instant) -> Vec<BegunStream> {
        self.remove_expired(now);
        let entries = &self.entries;
        let report = |stream: &Tag| {
            let entry =
                entries.get(stream).filter(|entry| services.contains(&entry.software.service()))?;
            let left_ms = entry.until.saturating_duration_since(now).as_millis() as u32;
            Some(BegunStream { stream: *stream, software: entry.software, left_ms })
        };
        let reports: Vec<BegunStream> = self.unreported.iter().filter_map(report).collect();
        for report in &reports {
            self.unreported.remove(&report.stream);
        }
        reports
    }

    /// Number of streams that are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no stream is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// What a daemon knows of the versions of a service within some time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Served {
    /// Only this one served.
    Only(Software),
    /// Several did.
    Several,
    /// The daemon knows at most this one and has not run for that long.
    Unsure(Option<Software>),
}

/// The versions of each service's servers, now and lately.
#[derive(Debug, Default)]
pub struct ServedVersions {
    /// Since when all versions are known; `None` if the process takes part in the fleet's first start.
    since: Option<Instant>,
    /// The same for services, given by their group tags, of which other daemons know more.
    confirmed: BTreeMap<Tag, Instant>,
    /// Number of listed servers.
    listed: BTreeMap<Software, usize>,
    /// When the last server of a version left.
    gone: BTreeMap<Software, Instant>,
}

impl ServedVersions {
    /// For a process that is not part of the fleet's first start: other versions may have served before.
    pub fn assume_earlier_versions(&mut self, now: Instant) {
        self.since = Some(now);
    }

    /// Notes that other daemons know of no other version of a service since `since`.
    pub fn confirm(&mut self, service: Tag, since: Instant) {
        let known = self.confirmed.entry(service).or_insert(since);
        *known = since.min(*known);
    }

    /// Whether other versions of a service may have served within the last `window`, before this process started.
    fn is_unsure(&self, service: Tag, window: Duration, now: Instant) -> bool {
        let Some(since) = self.since else { return false };
        let since = self.confirmed.get(&service).map_or(since, |confirmed| since.min(*confirmed));
        now.saturating_duration_since(since) < window
    }

    pub(super) fn add(&mut self, software: Software) {
        *self.listed.entry(software).or_default() += 1;
        self.gone.remove(&software);
    }

    pub(super) fn remove(&mut self, software: Software, now: Instant) {
        let Some(count) = self.listed.get_mut(&software) else { return };
        *count -= 1;
        if *count > 0 {
            return;
        }
        self.listed.remove(&software);
        self.gone.insert(software, now);
        if self.gone.len() > MAX_GONE {
            let oldest = self.gone.iter().min_by_key(|(_, at)| **at).map(|(software, _)| *software);
            oldest.and_then(|oldest| self.gone.remove(&oldest));
        }
    }

    /// What is known of the versions of a service that served within the last `window`.
    pub fn within(&self, service: Tag, window: Duration, now: Instant) -> Served {
        let recent = |at: &Instant| now.saturating_duration_since(*at) < window;
        let gone = self.gone.iter().filter(|(_, at)| recent(at)).map(|(software, _)| software);
        let mut all =
            self.listed.keys().chain(gone).filter(|software| software.service() == service);
        match (all.next(), all.next()) {
            (Some(_), Some(_)) => Served::Several,
            (Some(only), None) if !self.is_unsure(service, window, now) => Served::Only(*only),
            (only, _) => Served::Unsure(only.copied()),
        }
    }
}
