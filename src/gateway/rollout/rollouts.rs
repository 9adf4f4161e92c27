//! All roll-outs of a daemon, by service, and what the store has of them.

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

/// All roll-outs.
#[derive(Debug, Default)]
pub struct Rollouts {
    by_service: HashMap<Arc<str>, Rollout>,
    records: HashMap<Arc<str>, KnownRecord>,
}

impl Rollouts {
    /// Takes in an order, or with `None` that it was withdrawn.
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

    /// Takes in what the store says of how far a roll-out has come. Says whether that was not known before.
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

    /// The store has lost the record of a roll-out, which is to be written again; it has an older one there, or none
    /// where that is the start.
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

    /// Records that the store has lost, each with the position of what it has there.
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
        // An order of an earlier era that the operators have written again, as a daemon that started since knows it.
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

    /// The record that a step leads to, and the position of the one that it replaces; the start where there is none.
    pub fn next_record(&self, service: &str, step: Step) -> Option<(Position, Record)> {
        let rollout = self.by_service.get(service)?;
        let replaced = self.records.get(service).map_or(Position::START, |known| known.position);
        let Position { era, revision } = rollout.position;
        let version = rollout.order.version.to_string();
        let record = Record { order: revision, era, version, state: step.to, why: step.why.into() };
        Some((replaced, record))
    }

    /// Whether any roll-out is under way, or its old servers are about to stop.
    pub fn is_active(&self, now: Instant) -> bool {
        let is_stopping = |rollout: &Rollout| match rollout.state {
            Some((State::Completed, since)) => now.saturating_duration_since(since) < STOP_PERIOD,
            _ => false,
        };
        let lost = self.records.values().any(|known| !known.stored);
        lost || self.active().next().is_some() || self.by_service.values().any(is_stopping)
    }

    fn active(&self) -> impl Iterator<Item = (&Arc<str>, &Rollout)> {
        self.by_service
            .iter()
            .filter(|(_, rollout)| rollout.state.is_none_or(|(state, _)| !state.is_final()))
    }

    /// Whether a service has a roll-out.
    pub fn contains(&self, service: &str) -> bool {
        self.by_service.contains_key(service)
    }

    /// Services with a roll-out, each with its new version.
    pub fn versions(&self) -> Vec<(Arc<str>, Arc<str>)> {
        let all = self.by_service.iter();
        all.map(|(service, rollout)| (service.clone(), rollout.order.version.clone())).collect()
    }

    /// The new version of a service's roll-out.
    pub fn version(&self, service: &str) -> Option<String> {
        Some(self.by_service.get(service)?.order.version.to_string())
    }

    /// Where a request goes; `None` where all servers of its service are alike to it.
    pub fn pick(&self, service: &str, draw: Draw, exposure: f64, now: Instant) -> Option<Pick> {
        self.by_service.get(service)?.pick(draw, exposure, now)
    }

    /// Under which heading a request at a server of such a version counts; `None` where that tells nothing.
    pub fn stratum(&self, service: &str, route: &str, version: &str) -> Option<Stratum> {
        let rollout = self.by_service.get(service)?;
        if rollout.state().is_final() {
            return None;
        }
        let is_candidate = *rollout.order.version == *version;
        let arm = if is_candidate { Arm::Candidate } else { Arm::Baseline };
        Some(Stratum { rollout: rollout.tag, route: Tag::of(route), arm })
    }

    /// Notes an answer with its time, or with `None` a failure.
    pub fn record_outcome(&mut self, stratum: Stratum, time: Option<Duration>) {
        let rollout = self.by_service.values_mut().find(|r| r.tag == stratum.rollout);
        if let Some(rollout) = rollout {
            rollout.own_tallies.entry((stratum.route, stratum.arm)).or_default().record(time);
        }
    }

    /// What this daemon tells others: how its requests went, and how old orders are.
    pub fn for_peers(&self, now: Instant) -> Reports {
        let mut reports = Reports::default();
        for (_, rollout) in self.active() {
            reports.order_ages_ms.insert(rollout.tag, millis_between(rollout.ordered_at, now));
            let stratum = |(route, arm)| Stratum { rollout: rollout.tag, route, arm };
            let own = rollout.own_tallies.iter().map(|(key, tally)| (stratum(*key), *tally));
            reports.tallies.extend(own);
        }
        reports
    }

    /// Takes over what the other daemons told.
    pub fn set_peer_reports(&mut self, reports: &Reports, now: Instant) {
        for rollout in self.by_service.values_mut() {
            rollout.peer_tallies.clear();
            let tallies =
                reports.tallies.iter().filter(|(stratum, _)| stratum.rollout == rollout.tag);
            rollout.peer_tallies.extend(tallies.map(|(s, tally)| ((s.route, s.arm), *tally)));
            // An order is as old as any daemon knows it to be.
            let age =
                reports.order_ages_ms.get(&rollout.tag).and_then(|age| minus_millis(now, *age));
            rollout.ordered_at =
                age.map_or(rollout.ordered_at, |ordered_at| ordered_at.min(rollout.ordered_at));
        }
    }

    /// Tests what was counted since the last time. Answers of one moment are late together, so that this is done some
    /// times a second and not for each of them.
    pub fn evaluate(&mut self) {
        self.by_service.values_mut().for_each(Rollout::evaluate);
    }

    /// Takes in which servers a service with a roll-out has.
    pub fn set_counts(&mut self, service: &str, counts: VersionCounts) {
        if let Some(rollout) = self.by_service.get_mut(service) {
            rollout.had_baseline |= counts.baseline_count > 0;
            rollout.counts = counts;
        }
    }

    /// The steps that are due.
    pub fn due_steps(&self, exposure: f64, now: Instant) -> Vec<(Arc<str>, Step)> {
        let due = self.active();
        due.filter_map(|(service, r)| Some((service.clone(), r.due_step(exposure, now)?))).collect()
    }

    /// Servers of a service that get nothing more.
    pub fn retired(&self, service: &str, now: Instant) -> Option<Retired> {
        self.by_service.get(service)?.retired(now)
    }

    /// Whether this daemon has found the candidate bad, and why.
    pub fn halt_reason(&self, service: &str) -> Option<&'static str> {
        self.by_service.get(service)?.halt_reason
    }
}
