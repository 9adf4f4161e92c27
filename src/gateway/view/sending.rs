//! Composes heartbeats, with the sums that are due in them.

use super::{HALLS_SUM_CACHE_MS, MAX_PEER_ADDRS, OwnState, View, is_cell, is_hall};
use crate::gateway::clock::millis_between;
use crate::gateway::heartbeat::{DaemonStats, Heartbeat, Origin, Sum};
use crate::gateway::partner::{self, Relation, SumSchedule};
use crate::gateway::servers::Observations;
use crate::gateway::sums::{SumBuilder, SumSource};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

impl View {
    /// Sets the speed of this VM's link in bytes per second.
    pub fn set_link_speed(&mut self, speed: Option<f64>) {
        self.link_speed = speed;
    }

    /// The interval of heartbeats to a partner, given the size of the last one. A relay on a narrow link sends its
    /// cell fewer of them while they are large, so that they don't fill its link.
    pub fn paced_interval(
        &self,
        to: SocketAddr,
        relation: Relation,
        bytes: usize,
        now: Instant,
    ) -> Duration {
        let interval = self.heartbeat_interval(to, relation, now);
        let speed =
            self.link_speed.filter(|_| relation == Relation::SameCell && self.layout.is_relay());
        let Some(speed) = speed else {
            return interval;
        };
        let to_cell = bytes * self.layout.cell_peers.len();
        partner::paced(interval, to_cell, speed)
    }

    /// A heartbeat to a partner without the status of the store's copy and the observations of
    /// servers, which the caller adds.
    pub fn heartbeat(
        &mut self,
        to: SocketAddr,
        relation: Relation,
        own: OwnState,
        schedule: &mut SumSchedule,
        now: Instant,
    ) -> Heartbeat {
        let sums = self.sums_for(to, relation, &own, schedule, now);
        let near = relation == Relation::SameCell;
        let layout = &self.layout;
        let chosen = layout.sibling_relays.contains(&to) || layout.hall_relays.contains(&to);
        let peer_addrs = self.reachable_in_cell(now).map(|p| p.daemon.peers).take(MAX_PEER_ADDRS);
        Heartbeat {
            daemon: self.own.clone(),
            boot: self.clock.boot(),
            stamp: self.clock.stamp(now),
            echo: self.echo(to, now),
            ready: own.ready,
            // The actual intervals vary by up to a tenth.
            interval_ms: self.heartbeat_interval(to, relation, now).mul_f64(1.1).as_millis() as u32,
            expects_reply: chosen || relation == Relation::Unknown,
            copy_status: None,
            store_read_age_ms: self.store_read.map(|at| millis_between(at, now)),
            store_failure_age_ms: None,
            cell: layout.own_cell,
            peer_addrs: if near { peer_addrs.collect() } else { Vec::new() },
            sums,
            stats: if near { own.stats } else { DaemonStats::default() },
            observations: Observations::default(),
        }
    }

    /// The sums that are due with a heartbeat to a partner.
    fn sums_for(
        &mut self,
        to: SocketAddr,
        relation: Relation,
        own: &OwnState,
        schedule: &mut SumSchedule,
        now: Instant,
    ) -> Vec<Sum> {
        let mut sums = Vec::new();
        match relation {
            Relation::SameCell if self.layout.is_relay() => {
                let last = schedule.mark_forwarded(now);
                sums.extend(self.sums.to_forward(|origin, _| is_cell(origin), last, now));
                if schedule.is_due(relation, now) {
                    sums.extend(self.halls_sum(now));
                }
            }
            Relation::SameCell if self.layout.relay == Some(to) => {
                let last = schedule.mark_forwarded(now);
                sums.extend(self.sums.to_forward(
                    |_, source| source != SumSource::OwnCell,
                    last,
                    now,
                ));
            }
            Relation::SameHall => {
                let last = schedule.mark_forwarded(now);
                let wanted = |origin, source| is_hall(origin) && source != SumSource::OwnHall;
                sums.extend(self.sums.to_forward(wanted, last, now));
                if schedule.is_due(relation, now) {
                    sums.push(self.cell_sum(own, now));
                }
            }
            Relation::OtherHall if schedule.is_due(relation, now) => {
                sums.push(self.hall_sum(own, now))
            }
            Relation::SameCell | Relation::OtherHall | Relation::Unknown => {}
        }
        if relation == Relation::SameCell {
            sums.extend(self.ended_sums(now));
        }
        sums
    }

    /// The sum of this daemon's cell.
    fn cell_sum(&self, own: &OwnState, now: Instant) -> Sum {
        let mut adder = SumBuilder::default();
        adder.add_daemon(self.tag, &own.stats, own.ready.then_some(self.own.callers));
        for peer in self.reachable_in_cell(now) {
            adder.add_daemon(peer.tag, &peer.stats, peer.ready.then_some(peer.daemon.callers));
        }
        self.ended_spending(now).for_each(|spent| adder.add_spent(spent));
        adder.sum(Origin::Cell(self.layout.own_cell), &self.clock, now)
    }

    /// The sum of this daemon's hall.
    fn hall_sum(&self, own: &OwnState, now: Instant) -> Sum {
        let mut adder = SumBuilder::default();
        for cell in self.other_cells(now).into_iter().chain([&self.cell_sum(own, now)]) {
            adder.add_sum(cell);
        }
        adder.drop_light_loads(self.interval_scale.min_reported_runs());
        adder.sum(Origin::Hall(self.layout.own_cell.hall), &self.clock, now)
    }

    /// The sum of the other halls, cached for a short time; `None` if none is known.
    fn halls_sum(&mut self, now: Instant) -> Option<Sum> {
        let age = |sum: &Sum| self.clock.stamp(now).saturating_sub(sum.stamp) / 1_000;
        let recent = self.cached_halls_sum.take().filter(|sum| age(sum) < HALLS_SUM_CACHE_MS);
        let sum = recent.or_else(|| self.make_halls_sum(now))?;
        self.cached_halls_sum = Some(sum.clone());
        // It is below `HALLS_SUM_CACHE_MS`.
        Some(Sum { age_ms: age(&sum) as u32, ..sum })
    }

    fn make_halls_sum(&self, now: Instant) -> Option<Sum> {
        let halls = self.other_halls(now);
        let mut adder = SumBuilder::default();
        halls.iter().for_each(|hall| adder.add_sum(hall));
        (!halls.is_empty()).then(|| adder.sum(Origin::OtherHalls, &self.clock, now))
    }
}
