//! Tells other daemons of the cell which software began streams, and asks them.
//!
//! Each stream is reported to a few daemons that a hash of its attempt's id selects, so that it is known after
//! its daemon has ended. Only connections that heartbeats keep open are used: questions reach the hall's other
//! cells through the relays. Nothing is sent while each service has servers of one version only.

use super::Cluster;
use crate::gateway::continuation::{Scope, StreamAnswer, StreamQuestion};
use crate::gateway::heartbeat::Request;
use crate::gateway::software::BegunStream;
use crate::peer::NoAnswer;
use crate::time;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use log::{debug, warn};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Number of daemons that a stream is reported to.
const HOLDERS: usize = 3;
/// Number of daemons that are asked: the holders and those that were holders before some of the cell's daemons
/// ended or started.
const MAX_ASKED: usize = 8;
/// Time for which streams are collected into one report. A caller needs longer to notice a break and to come
/// back.
const COLLECT_TIME: Duration = Duration::from_millis(20);
/// Timeout for a daemon to confirm a report, before it goes to the next one: several round trips within a region.
const REPORT_TIMEOUT: Duration = Duration::from_millis(100);
/// Timeout for a daemon to answer a question: a busy VM takes some hundred milliseconds, and the caller is turned away
/// if nobody answers. All daemons are asked at once, and the first that knows the stream ends the wait.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout of a question that the receiver passes on.
const PASSED_ON_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Maximum number of streams in one report.
const MAX_REPORTED: usize = 1_024;

impl Cluster {
    /// Reports streams to other daemons until the process ends.
    pub(super) async fn report_streams(self: Arc<Self>) {
        loop {
            self.gateway.streams_begun.notified().await;
            sleep(COLLECT_TIME).await;
            let begun = self.gateway.streams_to_report(time::now());
            for part in begun.chunks(MAX_REPORTED) {
                self.report(part).await;
            }
        }
    }

    /// Reports streams to their holders, and those of a holder that does not answer to the next daemon.
    async fn report(&self, begun: &[BegunStream]) {
        let mut rank = HOLDERS;
        let first = begun.iter().flat_map(|stream| (0..HOLDERS).map(|rank| (*stream, rank)));
        let mut due: Vec<(BegunStream, usize)> = first.collect();
        while !due.is_empty() && rank < MAX_ASKED {
            let reports = self.by_holder(&due, time::now());
            let sent = reports.into_iter().map(|(to, streams)| self.send_report(to, streams));
            let failed = futures_util::future::join_all(sent).await;
            due = failed.into_iter().flatten().map(|stream| (stream, rank)).collect();
            rank += 1;
        }
        if !due.is_empty() {
            warn!(streams = due.len(); "streams not reported to enough daemons");
        }
    }

    /// Groups streams by the daemons of the given ranks for them; there may be fewer daemons.
    fn by_holder(
        &self,
        due: &[(BegunStream, usize)],
        now: Instant,
    ) -> HashMap<SocketAddr, Vec<BegunStream>> {
        let view = self.view();
        let mut by_holder: HashMap<SocketAddr, Vec<BegunStream>> = HashMap::new();
        for (stream, rank) in due {
            if let Some(holder) = view.ranked_in_cell(stream.stream, now).get(*rank) {
                by_holder.entry(*holder).or_default().push(*stream);
            }
        }
        by_holder
    }

    /// Sends a report and returns the streams that were not confirmed.
    async fn send_report(&self, to: SocketAddr, streams: Vec<BegunStream>) -> Vec<BegunStream> {
        let Some(cluster) = self.weak_self.upgrade() else { return Vec::new() };
        let request = Request::Begun(streams.clone());
        let answer = self.links.ask::<bool>(to, &request, REPORT_TIMEOUT, &cluster.handler()).await;
        if answer == Ok(true) { Vec::new() } else { streams }
    }

    /// Asks the cell's other daemons, and then those of the hall's other cells, until one knows the stream.
    pub(super) async fn ask_about(&self, question: StreamQuestion) -> StreamAnswer {
        let mut answer = StreamAnswer::NONE;
        if question.scope == Scope::Daemon {
            return answer;
        }
        let asked = StreamQuestion { scope: Scope::Daemon, ..question };
        let cell: Vec<SocketAddr> = {
            let ranked = self.view().ranked_in_cell(question.stream, time::now());
            ranked.into_iter().take(MAX_ASKED).collect()
        };
        answer.merge(self.ask_all(cell, asked, ANSWER_TIMEOUT).await);
        answer.silent += self.unreachable_in_cell(time::now());
        if answer.begun_by.is_some() || question.scope == Scope::Cell {
            return answer;
        }
        let (relays, scope) = {
            let view = self.view();
            let layout = view.layout();
            match layout.relay {
                Some(relay) if layout.divided => (vec![relay], Scope::Hall),
                _ => (layout.sibling_relays.iter().copied().collect(), Scope::Cell),
            }
        };
        let asked = StreamQuestion { scope, ..question };
        answer.merge(self.ask_all(relays, asked, PASSED_ON_TIMEOUT).await);
        answer
    }

    /// Asks all of these daemons at once. Returns when all have answered or one knows the stream.
    async fn ask_all(
        &self,
        daemons: Vec<SocketAddr>,
        question: StreamQuestion,
        limit: Duration,
    ) -> StreamAnswer {
        let mut all = StreamAnswer::NONE;
        let Some(cluster) = self.weak_self.upgrade() else { return all };
        let (handler, request) = (cluster.handler(), Request::FindStream(question));
        let ask = |to| self.links.ask::<StreamAnswer>(to, &request, limit, &handler);
        let mut asked: FuturesUnordered<_> = daemons.into_iter().map(ask).collect();
        while let Some(answer) = asked.next().await {
            match answer {
                Ok(answer) => all.merge(answer),
                Err(NoAnswer) => {
                    debug!("no answer to a question about a stream");
                    all.silent += 1;
                }
            }
            if all.begun_by.is_some() {
                break;
            }
        }
        all
    }

    /// Number of daemons that the store lists in this cell and that are not reachable.
    fn unreachable_in_cell(&self, now: Instant) -> usize {
        let view = self.view();
        view.layout().cell_peers.iter().filter(|peer| !view.can_reach(**peer, now)).count()
    }

    /// Stores what another daemon reports.
    pub(super) fn receive_streams(&self, begun: &[BegunStream], now: Instant) {
        let mut streams = self.gateway.begun_streams();
        begun.iter().for_each(|report| streams.record_reported(*report, now));
    }
}
