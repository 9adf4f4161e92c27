//! Finds the software at which a caller's stream may go on.

use crate::gateway::core::Gateway;
use crate::gateway::request::Call;
use crate::gateway::servers::{ServerKey, Servers};
use crate::gateway::slot::NoSlot;
use crate::gateway::software::{BegunStream, Served, Software, service_tag};
use crate::gateway::table::Service;
use crate::gateway::tag::Tag;
use crate::time;
use log::{info, warn};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How much longer than its caller's time or its route's timeout a stream may be taken up again: the next attempt may
/// arrive at the end of the one before.
const RETURN_SLACK: Duration = Duration::from_secs(3);
/// How long ago a stream of unknown origin may have begun. No request tells for how long its caller has been waiting,
/// which may be several times the route's timeout; this is far beyond the patience of a reader.
const MAX_STREAM_AGE: Duration = Duration::from_secs(600);
/// Delay before a daemon that started later asks others for the versions that served before, and between such
/// questions at first and at most.
const FIRST_CONFIRM_DELAY: Duration = Duration::from_millis(500);
const MAX_CONFIRM_DELAY: Duration = Duration::from_secs(60);
/// Age of the copy of the store up to which this daemon counts as in contact with the store, directly or through
/// others, so that a newer confirmation is worth waiting for.
const MAX_COPY_AGE: Duration = Duration::from_millis(1_500);
/// Interval of checks for that confirmation.
const CONFIRMATION_POLL: Duration = Duration::from_millis(20);

/// Why a stream does not go on: nobody can tell which software began it.
const VERSION_UNKNOWN: &str = "version_unknown";
/// Why a stream does not go on: no server of the software that began it takes work.
pub(super) const NO_SERVER_OF_VERSION: &str = "no_server_of_version";

/// Which daemons a question about a stream reaches.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// The daemon that receives it.
    Daemon,
    /// The daemons of its cell that streams are reported to.
    Cell,
    /// Those of all cells of its hall.
    Hall,
}

/// A question of one daemon to another: which software began a stream?
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamQuestion {
    /// Tag of the id of the attempt that began the stream.
    pub stream: Tag,
    /// Group tag of the service that would continue it.
    pub service: Tag,
    /// Daemons that are asked.
    pub scope: Scope,
}

/// How current this daemon's copy of the store is for a question about a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CopyState {
    /// Confirmed since the question came up.
    Current,
    /// Confirmed shortly before.
    Recent,
    /// Neither.
    Old,
}

/// What one or several daemons know of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamAnswer {
    /// The software that began it, if any of them knows.
    pub begun_by: Option<Software>,
    /// What each of them knows of the service's versions.
    pub served: Vec<Served>,
    /// Number of daemons that did not answer.
    pub silent: usize,
}

impl StreamAnswer {
    /// The answer of nobody.
    pub const NONE: StreamAnswer = StreamAnswer { begun_by: None, served: Vec::new(), silent: 0 };

    /// Adds what others know.
    pub fn merge(&mut self, other: StreamAnswer) {
        self.begun_by = self.begun_by.or(other.begun_by);
        self.served.extend(other.served);
        self.silent += other.silent;
    }

    /// The only software that served, if that is certain. A daemon that did not answer may have learnt of a version
    /// that began the stream until the caller came here, so this one's copy of the store has to be newer than that.
    /// If all answered, they know of all versions between them; an old copy may lack other daemons, though, so at
    /// least one has to answer then.
    fn only_software(&self, own: Served, copy: CopyState) -> Option<Software> {
        let is_sufficient = match copy {
            CopyState::Current => true,
            CopyState::Recent => self.silent == 0,
            CopyState::Old => self.silent == 0 && !self.served.is_empty(),
        };
        if !is_sufficient {
            return None;
        }
        let (mut only, mut is_certain) = (None, false);
        for served in self.served.iter().chain([&own]) {
            let software = match served {
                Served::Several => return None,
                Served::Only(software) => {
                    is_certain = true;
                    Some(*software)
                }
                Served::Unsure(software) => *software,
            };
            if only.is_some() && software.is_some() && only != software {
                return None;
            }
            only = only.or(software);
        }
        only.filter(|_| is_certain)
    }
}

/// Whether a call's stream has begun at software of which no server but those excluded takes work.
pub(super) fn lacks_server_of_version(
    call: &Call,
    service: &Service,
    servers: &Servers,
    excluded: &[ServerKey],
) -> bool {
    let Some(software) = call.begun_by.get() else { return false };
    let mut open = servers.open(&service.name).filter(|(key, _)| !excluded.contains(key));
    !open.any(|(_, server)| software.may_continue_at(server))
}

impl Gateway {
    /// Records the software of the server that sent the first event of a call's stream. From then on the stream
    /// goes on only there.
    pub(super) fn note_begun(&self, call: &Call, software: Software, now: Instant) {
        call.begun_by.get_or_init(|| software);
        if !call.route.repeatable() {
            return;
        }
        let until = (now + call.route.timeout).max(call.arrived + call.caller_time) + RETURN_SLACK;
        self.begun_streams().record_own(call.stream(), software, until, now);
        if self.must_report(software.service(), now) {
            self.streams_begun.notify_one();
        }
    }

    /// Finds the software that began the stream which a call continues, and sets it in the call.
    pub(super) async fn identify_stream(
        &self,
        call: &Call,
        service: &Service,
    ) -> Result<(), NoSlot> {
        let now = time::now();
        let known = self.begun_streams().get(call.stream(), now);
        let (id, stream) = (call.id.as_str(), call.resumes.as_deref());
        let (asked, only) = match known {
            Some(_) => (StreamAnswer::NONE, None),
            None => {
                let tag = service_tag(&service.name);
                self.ask_peers(call.stream(), tag, call.caller_time, now).await
            }
        };
        let Some(software) = known.or(asked.begun_by).or(only) else {
            self.count_not_continued(VERSION_UNKNOWN);
            let ms = time::since(now).as_millis() as u64;
            warn!(id = id, stream = stream, service = &*service.name, answered = asked.served.len(), silent = asked.silent, ms = ms, why = VERSION_UNKNOWN; "stream not continued");
            // Nothing that is learnt later would tell.
            let retry_after = call.time_left(time::now());
            return Err(NoSlot { reason: VERSION_UNKNOWN, retry_after, due: None });
        };
        info!(id = id, stream = stream, software = software.to_string().as_str(), last = call.after; "continues a stream");
        call.begun_by.get_or_init(|| software);
        Ok(())
    }

    /// Asks other daemons about a stream. Returns their answers, and the only software of the service that served
    /// within the time in which a stream may have begun whose caller still waits for `left`.
    async fn ask_peers(
        &self,
        stream: Tag,
        service: Tag,
        left: Duration,
        now: Instant,
    ) -> (StreamAnswer, Option<Software>) {
        let answer = match self.peer_source() {
            Some(source) => source.find_stream(stream, service).await,
            None => StreamAnswer::NONE,
        };
        let only = |answered_at: Instant, copy: CopyState| {
            let window = self.stream_age(service).max(left) + (answered_at - now);
            answer.only_software(self.served_within(service, window, answered_at), copy)
        };
        // A current copy of the store doesn't help where several versions served or earlier ones are not known.
        let may_help = only(time::now(), CopyState::Current).is_some();
        if answer.silent > 0 && answer.begun_by.is_none() && may_help {
            self.await_confirmation(now).await;
        }
        // The copy may have changed while the others were asked, and the process may have been stopped.
        let answered_at = time::now();
        let only = only(answered_at, self.copy_state(now, answered_at));
        (answer, only)
    }

    /// Waits until the copy of the store is confirmed as of `since` or later, for as long as it is recent.
    async fn await_confirmation(&self, since: Instant) {
        while self.copy_state(since, time::now()) == CopyState::Recent {
            time::sleep(CONFIRMATION_POLL).await;
        }
    }

    /// How current the copy of the store is at `now` for a question that came up at `since`.
    fn copy_state(&self, since: Instant, now: Instant) -> CopyState {
        match self.in_force.age(now) {
            Some(age) if age <= now.saturating_duration_since(since) => CopyState::Current,
            Some(age) if age <= MAX_COPY_AGE => CopyState::Recent,
            _ => CopyState::Old,
        }
    }

    /// Asks other daemons for the versions that served before this process started, of each service of which they
    /// are not known, until the process ends. A daemon that replaces another so learns what that one knew, and so
    /// does the next one.
    pub async fn confirm_versions(self: Arc<Self>) {
        let mut delay = FIRST_CONFIRM_DELAY;
        loop {
            time::sleep(delay).await;
            for service in self.unsure_services(time::now()) {
                let now = time::now();
                let nothing = Tag::of_number(0);
                let (_, only) = self.ask_peers(nothing, service, Duration::ZERO, now).await;
                if let Some(software) = only {
                    let since = now.checked_sub(self.stream_age(service)).unwrap_or(now);
                    self.servers().confirm_versions(service, since);
                    self.metrics.confirmed_services.inc();
                    let (software, tag) = (software.to_string(), service.value());
                    info!(service = tag, software = software.as_str(); "earlier versions known from other daemons");
                }
            }
            delay = (delay * 2).min(MAX_CONFIRM_DELAY);
        }
    }

    /// Group tags of the services with streams that may be taken up again, and whose earlier versions are not known.
    fn unsure_services(&self, now: Instant) -> Vec<Tag> {
        let declared = self.in_force.get();
        let services = declared.iter().flat_map(|declared| declared.table.resumable_services());
        services.filter(|service| matches!(self.served(*service, now), Served::Unsure(_))).collect()
    }

    /// Counts a stream that does not go on, if that is because of its software version.
    pub(super) fn count_not_continued(&self, reason: &str) {
        if matches!(reason, VERSION_UNKNOWN | NO_SERVER_OF_VERSION) {
            self.metrics.not_continued.with_label_values(&[reason]).inc();
        }
    }

    /// This daemon's answer to a question about a stream.
    pub(super) fn answer_question(&self, question: &StreamQuestion, now: Instant) -> StreamAnswer {
        let begun_by = self.begun_streams().get(question.stream, now);
        let served = vec![self.served(question.service, now)];
        StreamAnswer { begun_by, served, silent: 0 }
    }

    /// Streams of this daemon that others have to know because other versions of their service serve or may have.
    pub(super) fn streams_to_report(&self, now: Instant) -> Vec<BegunStream> {
        let services = self.services_to_report(now);
        self.begun_streams().take_unreported(&services, now)
    }

    /// Whether any streams are to be reported to others.
    pub(super) fn has_streams_to_report(&self, now: Instant) -> bool {
        !self.services_to_report(now).is_empty()
    }

    /// Group tags of the services with streams to report.
    fn services_to_report(&self, now: Instant) -> BTreeSet<Tag> {
        let mut services = self.begun_streams().unreported_services();
        services.retain(|service| self.must_report(*service, now));
        services
    }

    /// Whether others have to know the streams of a service: without that knowledge, a daemon that is asked to
    /// continue one can't tell its version.
    fn must_report(&self, service: Tag, now: Instant) -> bool {
        !matches!(self.served(service, now), Served::Only(_))
    }

    /// The versions of a service that served as long ago as one of its streams may have begun.
    fn served(&self, service: Tag, now: Instant) -> Served {
        self.served_within(service, self.stream_age(service), now)
    }

    fn served_within(&self, service: Tag, window: Duration, now: Instant) -> Served {
        self.servers().versions().within(service, window, now)
    }

    /// How long ago a stream of a service may have begun that is taken up again.
    fn stream_age(&self, service: Tag) -> Duration {
        let declared = self.in_force.get();
        let timeout = declared.and_then(|declared| declared.table.stream_timeout(service));
        timeout.map_or(MAX_STREAM_AGE, |timeout| MAX_STREAM_AGE.max(timeout + RETURN_SLACK))
    }
}
