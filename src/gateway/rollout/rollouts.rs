//! All rollouts that a daemon knows, by service, with their records.

use super::record::KnownRecord;
use super::{
    Arm, Draw, Order, Pick, Record, Reports, Retired, Rollout, STOP_PERIOD, State, Step, Stratum,
    VersionCounts, tag,
};
use crate::gateway::clock::{millis_between, minus_millis};
use crate::gateway::tag::Tag;
use crate::platform::Position;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// All rollouts.
#[derive(Debug, Default)]
pub struct Rollouts {
    by_service: HashMap<Arc<str>, Rollout>,
    records: HashMap<Arc<str>, KnownRecord>,
}

impl Rollouts {
    /// Applies an order; `None` means that it was withdrawn.
    pub fn set_order(
        &mut self,
        service: &str,
        position: Position,
        order: Option<Order>,
        now: Instant,
    ) {
        match order {
            Some(order) => {
                let known = self.by_service.get(service);
                if known.is_some_and(|known| known.is_reissue(&order, position)) {
                    return;
                }
                let rollout = Rollout::new(service, position, order, now);
                self.by_service.insert(service.into(), rollout);
                self.apply_record(service, now);
            }
            None => {
                if let Some(rollout) = self.by_service.get_mut(service) {
                    rollout.halt_reason.get_or_insert("the order was withdrawn");
                }
            }
        }
    }

    /// Applies the store's record of a rollout. Returns whether the record was unknown before.
    pub fn set_record(
        &mut self,
        service: &str,
        position: Position,
        record: Record,
        now: Instant,
    ) -> bool {
        let known = self.records.get(service);
        if known.is_some_and(|known| known.position >= position) {
            return false;
        }
        let is_new = known.is_none_or(|known| known.record != record);
        let known = KnownRecord { record, position, stored: true };
        self.records.insert(service.into(), known);
        self.apply_record(service, now);
        is_new
    }

    /// Marks a record as lost by the store, so that it is written again. `position` is that of the older
    /// record in the store, or the start if there is none.
    pub fn set_lost_record(
        &mut self,
        service: &str,
        record: Record,
        position: Position,
        now: Instant,
    ) {
        self.records.insert(service.into(), KnownRecord { record, position, stored: false });
        self.apply_record(service, now);
    }

    /// Records that the store has lost, each with the position of what the store has in its place.
    pub fn lost_records(&self) -> Vec<(Arc<str>, Position, Record)> {
        let lost = self.records.iter().filter(|(_, known)| !known.stored);
        lost.map(|(service, r)| (service.clone(), r.position, r.record.clone())).collect()
    }

    fn apply_record(&mut self, service: &str, now: Instant) {
        let (Some(rollout), Some(KnownRecord { record, .. })) =
            (self.by_service.get_mut(service), self.records.get(service))
        else {
            return;
        };
        let order_position = record.order_position();
        // The operators wrote an order of an earlier era again, and this daemon started since: use the
        // position of the original order, to which the record belongs.
        if order_position.era < rollout.position.era && *record.version == *rollout.order.version {
            rollout.position = order_position;
            rollout.tag = tag(service, order_position);
        }
        let known = rollout.state.map(|(state, _)| state);
        if order_position == rollout.position
            && known.is_none_or(|known| known.may_become(record.state))
        {
            rollout.state = Some((record.state, now));
        }
    }

    /// The record that a step leads to, and the position of the record that it replaces; the start if there
    /// is none.
    pub fn next_record(&self, service: &str, step: Step) -> Option<(Position, Record)> {
        let rollout = self.by_service.get(service)?;
        let replaced = self.records.get(service).map_or(Position::START, |known| known.position);
        let Position { era, revision } = rollout.position;
        let version = rollout.order.version.to_string();
        let record = Record { order: revision, era, version, state: step.to, why: step.why.into() };
        Some((replaced, record))
    }

    /// Whether a rollout is in progress, has a lost record, or has completed so recently that its old servers
    /// are about to stop.
    pub fn is_active(&self, now: Instant) -> bool {
        let is_stopping = |rollout: &Rollout| match rollout.state {
            Some((State::Completed, since)) => now.saturating_duration_since(since) < STOP_PERIOD,
            _ => false,
        };
        let lost = self.records.values().any(|known| !known.stored);
        lost || self.in_progress().next().is_some() || self.by_service.values().any(is_stopping)
    }

    fn in_progress(&self) -> impl Iterator<Item = (&Arc<str>, &Rollout)> {
        self.by_service
            .iter()
            .filter(|(_, rollout)| rollout.state.is_none_or(|(state, _)| !state.is_final()))
    }

    /// Whether a service has a rollout.
    pub fn contains(&self, service: &str) -> bool {
        self.by_service.contains_key(service)
    }

    /// Services with a rollout, each with its new version.
    pub fn versions(&self) -> Vec<(Arc<str>, Arc<str>)> {
        let all = self.by_service.iter();
        all.map(|(service, rollout)| (service.clone(), rollout.order.version.clone())).collect()
    }

    /// The new version of a service's rollout.
    pub fn version(&self, service: &str) -> Option<String> {
        Some(self.by_service.get(service)?.order.version.to_string())
    }

    /// The servers that a request may go to; `None` if all servers of its service are equivalent.
    pub fn pick(&self, service: &str, draw: Draw, exposure: f64, now: Instant) -> Option<Pick> {
        self.by_service.get(service)?.pick(draw, exposure, now)
    }

    /// The tally in which a request at a server of `version` counts; `None` if no rollout of the service is
    /// in progress.
    pub fn stratum(&self, service: &str, route: &str, version: &str) -> Option<Stratum> {
        let rollout = self.by_service.get(service)?;
        if rollout.state().is_final() {
            return None;
        }
        let is_candidate = *rollout.order.version == *version;
        let arm = if is_candidate { Arm::Candidate } else { Arm::Baseline };
        Some(Stratum { rollout: rollout.tag, route: Tag::of(route), arm })
    }

    /// Records the response time of a request; `None` means that it failed.
    pub fn record_outcome(&mut self, stratum: Stratum, time: Option<Duration>) {
        let rollout = self.by_service.values_mut().find(|r| r.tag == stratum.rollout);
        if let Some(rollout) = rollout {
            rollout.own_tallies.entry((stratum.route, stratum.arm)).or_default().record(time);
        }
    }

    /// What this daemon reports to its peers: the outcomes of its requests and the ages of orders.
    pub fn for_peers(&self, now: Instant) -> Reports {
        let mut reports = Reports::default();
        for (_, rollout) in self.in_progress() {
            reports.order_ages_ms.insert(rollout.tag, millis_between(rollout.ordered_at, now));
            let stratum = |(route, arm)| Stratum { rollout: rollout.tag, route, arm };
            let own = rollout.own_tallies.iter().map(|(key, tally)| (stratum(*key), *tally));
            reports.tallies.extend(own);
        }
        reports
    }

    /// Replaces the reports of the other daemons.
    pub fn set_peer_reports(&mut self, reports: &Reports, now: Instant) {
        for rollout in self.by_service.values_mut() {
            rollout.peer_tallies.clear();
            let tallies =
                reports.tallies.iter().filter(|(stratum, _)| stratum.rollout == rollout.tag);
            rollout.peer_tallies.extend(tallies.map(|(s, tally)| ((s.route, s.arm), *tally)));
            // The daemon that saw an order first determines its age.
            let age =
                reports.order_ages_ms.get(&rollout.tag).and_then(|age| minus_millis(now, *age));
            rollout.ordered_at =
                age.map_or(rollout.ordered_at, |ordered_at| ordered_at.min(rollout.ordered_at));
        }
    }

    /// Runs the test on outcomes since the last call. Responses at one moment are slow together, so this runs
    /// a few times a second and not for each response.
    pub fn evaluate(&mut self) {
        self.by_service.values_mut().for_each(Rollout::evaluate);
    }

    /// Updates the server counts of a service with a rollout.
    pub fn set_counts(&mut self, service: &str, counts: VersionCounts) {
        if let Some(rollout) = self.by_service.get_mut(service) {
            rollout.had_baseline |= counts.baseline_count > 0;
            rollout.counts = counts;
        }
    }

    /// The steps that are due, by service.
    pub fn due_steps(&self, exposure: f64, now: Instant) -> Vec<(Arc<str>, Step)> {
        let rollouts = self.in_progress();
        rollouts
            .filter_map(|(service, r)| Some((service.clone(), r.due_step(exposure, now)?)))
            .collect()
    }

    /// Servers of a service that get no more requests.
    pub fn retired(&self, service: &str, now: Instant) -> Option<Retired> {
        self.by_service.get(service)?.retired(now)
    }

    /// Why this daemon sends nothing to the candidate, if it has found it bad.
    pub fn halt_reason(&self, service: &str) -> Option<&'static str> {
        self.by_service.get(service)?.halt_reason
    }
}
