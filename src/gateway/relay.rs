//! Relays a stream of events to its caller, across all servers that run the request.
//!
//! Only complete events are relayed, in the order of their ids, each once. If the server is about to leave,
//! the run is moved to another one while its events continue.

use crate::gateway::admission::AdmissionClass;
use crate::gateway::core::Gateway;
use crate::gateway::events::Event;
use crate::gateway::forward::SendOutcome;
use crate::gateway::moving::{self, MoveOutcome};
use crate::gateway::port::{Reply, RunCopy, SendOptions};
use crate::gateway::quarantine::RunProgress;
use crate::gateway::request::{Answer, Call, IncompleteBody};
use crate::gateway::slot::Slot;
use crate::gateway::table::Service;
use crate::gateway::upstream::{StreamItem, Upstream, reopen};
use crate::time;
use bytes::Bytes;
use futures_util::future::BoxFuture;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use log::{info, warn};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Events that are queued for a slow caller before backpressure reaches the server.
const EVENT_QUEUE: usize = 16;
/// Most attempts to move one run away from one server.
const MAX_MOVES: u32 = 4;
/// Delay before another attempt to move a run: about the time of one copy, after which there may be room
/// elsewhere.
const MOVE_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Silence of a stream after which its server is asked whether the run continues: longer than almost all
/// pauses of a healthy stream, and a small part of the time that callers wait.
const SILENCE_BEFORE_PROBE: Duration = Duration::from_millis(1_000);
/// Interval between such probes: reports are about this old.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time to wait for a probe's answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// How long the last events of a stopped run may take to arrive after the copy is complete.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(60);
/// How long to wait for the last copy after the stream of the stopped run has ended.
const FINAL_COPY_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time from the first event within which a run counts as starting up. A server that a request crashes was gone at
/// most 0.13 s after the start in measurements, and a busy daemon notices some tenths of a second later.
const STARTUP_PERIOD: Duration = Duration::from_millis(500);

type EventSender = mpsc::Sender<Result<Frame<Bytes>, IncompleteBody>>;

/// Waits for the first event, so that a server that fails before it can be replaced, then passes
/// the stream on in a task of its own.
pub(crate) async fn begin(
    gateway: &Arc<Gateway>,
    call: &Arc<Call>,
    service: &Arc<Service>,
    mut slot: Slot,
    reply: Reply,
) -> SendOutcome {
    let Reply { status, headers, body, .. } = reply;
    let mut upstream = Upstream::new(body);
    let first = match upstream.next().await {
        StreamItem::Event(event) => event,
        StreamItem::Ended | StreamItem::BrokeOff(_) => {
            slot.record_result(true);
            gateway.handle_lost_run(call, &slot, RunProgress::NoEvents).await;
            return SendOutcome::Failed(None, "no_event");
        }
    };
    slot.record_result(false);
    slot.record_prompt_read();
    let (id, route) = (call.id.as_str(), call.route.name.as_str());
    let ms = time::since(call.arrived).as_millis() as u64;
    let store_age_ms = slot.store_age_ms();
    info!(id = id, route = route, server = slot.id(), ms = ms, tokens = call.size.peak_tokens(), knowledge_ms = store_age_ms; "stream begun");
    let (event_sender, events) = mpsc::channel(EVENT_QUEUE);
    let relay = Relay {
        gateway: gateway.clone(),
        call: call.clone(),
        service: service.clone(),
        slot,
        upstream,
        last_event_id: call.after,
        last_forwarded_at: time::now(),
        first_event_at: None,
        survived: false,
        event_sender,
        runs: 1,
        move_attempts: 0,
        move_failed_at: None,
        last_probe: None,
    };
    tokio::spawn(relay.run(first));
    let events = futures_util::stream::unfold(events, |mut events| async {
        events.recv().await.map(|event| (event, events))
    });
    SendOutcome::Answered(Answer { status, headers, body: StreamBody::new(events).boxed_unsync() })
}

/// How a relay ends.
enum RelayEnd {
    Complete,
    CallerLeft,
    Broken(String),
}

struct Relay {
    gateway: Arc<Gateway>,
    call: Arc<Call>,
    service: Arc<Service>,
    slot: Slot,
    upstream: Upstream,
    /// Id of the last event passed on.
    last_event_id: Option<u64>,
    /// When that event was passed on.
    last_forwarded_at: Instant,
    event_sender: EventSender,
    /// Runs begun for this answer.
    runs: u32,
    /// When the present server sent its first event.
    first_event_at: Option<Instant>,
    /// Whether the present server is recorded as having survived the request.
    survived: bool,
    /// Moves tried from the present server.
    move_attempts: u32,
    /// When the last move failed.
    move_failed_at: Option<Instant>,
    /// The last probe of a silent stream; reset by each event.
    last_probe: Option<Probe>,
}

/// A server's answer when probed about a silent run.
#[derive(Debug, Clone, Copy)]
struct Probe {
    at: Instant,
    /// Events that the run had made; `None` where the server did not run it or did not answer.
    events: Option<u64>,
}

/// A move under way.
struct Moving {
    done: BoxFuture<'static, MoveOutcome>,
    /// Whether the run was told to stop at its server.
    stopping: Arc<AtomicBool>,
}

enum Wakeup {
    OutOfTime,
    Notice,
    Silence,
    Moved(Box<MoveOutcome>),
    Item(StreamItem),
}

impl Relay {
    async fn run(mut self, first: Event) {
        let caller = self.event_sender.clone();
        let end = tokio::select! {
            biased;
            // If the caller leaves, everything in progress is dropped.
            () = caller.closed() => RelayEnd::CallerLeft,
            end = self.relay_all(first) => end,
        };
        let (id, server) = (self.call.id.as_str(), self.slot.id());
        match end {
            RelayEnd::Complete => {
                let ms = time::since(self.call.arrived).as_millis() as u64;
                self.gateway.note_survived(&self.call);
                info!(id = id, server = server, last = self.last_event_id, ms = ms; "stream complete");
            }
            RelayEnd::CallerLeft => {
                info!(id = id, server = server, last = self.last_event_id; "caller left")
            }
            RelayEnd::Broken(reason) => {
                self.gateway.metrics.cut_streams.inc();
                let leaving = *self.slot.notice.borrow();
                let request = self.call.fingerprint().to_string();
                warn!(id = id, request = request.as_str(), server = server, leaving = leaving, last = self.last_event_id, why = reason.as_str(); "stream cut");
                // Refused only where the caller has left.
                let _ = self.event_sender.send(Err(IncompleteBody { reason })).await;
            }
        }
    }

    async fn relay_all(&mut self, first: Event) -> RelayEnd {
        match self.forward_event(first).await {
            Ok(()) => self.relay_events().await,
            Err(end) => end,
        }
    }

    async fn relay_events(&mut self) -> RelayEnd {
        let deadline = time::sleep_until(self.call.deadline);
        tokio::pin!(deadline);
        let mut moving: Option<Moving> = None;
        loop {
            // Events come more often than the pause between moves, so that its end is not missed.
            let may_move_now = moving.is_none() && self.may_move_now(time::now());
            let may_probe = moving.is_none() && self.can_move();
            let probe_timer = time::sleep_until(self.next_probe());
            let wakeup = tokio::select! {
                biased;
                () = &mut deadline => Wakeup::OutOfTime,
                moved = wait_for_move(&mut moving) => Wakeup::Moved(Box::new(moved)),
                () = wait_for_notice(&mut self.slot), if may_move_now => Wakeup::Notice,
                item = self.upstream.next() => Wakeup::Item(item),
                () = probe_timer, if may_probe => Wakeup::Silence,
            };
            let result = match wakeup {
                Wakeup::OutOfTime => return RelayEnd::Broken("out of time".into()),
                Wakeup::Notice => {
                    moving = Some(self.start_move("server leaves"));
                    continue;
                }
                Wakeup::Silence => {
                    if self.progresses_at_server().await {
                        moving = Some(self.start_move("connection silent"));
                    }
                    continue;
                }
                Wakeup::Moved(moved) => {
                    moving = None;
                    self.handle_move(*moved).await
                }
                Wakeup::Item(StreamItem::Event(event)) => self.forward_event(event).await,
                Wakeup::Item(StreamItem::Ended) => return RelayEnd::Complete,
                Wakeup::Item(StreamItem::BrokeOff(why)) => match is_stopping(&moving) {
                    true => self.finish_move(moving.take()).await,
                    false => {
                        moving = None;
                        if self.is_starting_up(time::now()) {
                            let run = self.first_event_at.map_or(RunProgress::NoEvents, |_| RunProgress::Begun);
                            self.gateway.handle_lost_run(&self.call, &self.slot, run).await;
                        }
                        self.restart(why).await
                    }
                },
            };
            if let Err(end) = result {
                return end;
            }
        }
    }

    /// Passes an event on unless the caller already has it.
    async fn forward_event(&mut self, event: Event) -> Result<(), RelayEnd> {
        let now = time::now();
        self.first_event_at.get_or_insert(now);
        if !self.survived && !self.is_starting_up(now) {
            self.survived = true;
            self.gateway.note_survived(&self.call);
        }
        if event.id.is_some() && event.id <= self.last_event_id {
            return Ok(());
        }
        self.last_event_id = event.id.or(self.last_event_id);
        let pause = now.saturating_duration_since(self.last_forwarded_at);
        self.last_forwarded_at = now;
        self.last_probe = None;
        let kind = self.call.route.kind.name();
        self.gateway.metrics.pause_seconds.with_label_values(&[kind]).observe(pause.as_secs_f64());
        let sent = self.event_sender.send(Ok(Frame::data(event.bytes))).await;
        sent.map_err(|_| RelayEnd::CallerLeft)
    }

    fn may_move_now(&self, now: Instant) -> bool {
        let repeatable = self.call.route.repeatable();
        let paused = self
            .move_failed_at
            .is_some_and(|at| now.saturating_duration_since(at) < MOVE_RETRY_PAUSE);
        !repeatable && !paused && self.can_move()
    }

    fn can_move(&self) -> bool {
        self.move_attempts < MAX_MOVES
            && self.service.engine.as_ref().is_some_and(|e| e.supports_moves)
    }

    /// When to probe the server about a silent stream.
    fn next_probe(&self) -> Instant {
        self.last_probe.map_or(self.last_forwarded_at + SILENCE_BEFORE_PROBE, |probe| {
            probe.at + PROBE_INTERVAL
        })
    }

    /// Whether a run whose stream is silent goes on at its server: then it is the connection that is
    /// silent. A run that makes nothing, as one that waits for memory, stays where it is.
    async fn progresses_at_server(&mut self) -> bool {
        let now = time::now();
        if self.gateway.servers().is_backing_off(self.slot.key(), now) {
            self.last_probe = Some(Probe { at: now, events: None });
            return false;
        }
        let (server, run) = (self.slot.place.destination.addr, self.call.id.as_str());
        let asked = time::now();
        let events = match self.gateway.wire.report(server, PROBE_TIMEOUT).await {
            Ok(report) => {
                self.gateway.handle_remarks(self.slot.key(), &report.remarks, asked);
                report.runs.get(run).copied()
            }
            Err(why) => {
                info!(id = run, server = self.slot.id(), why = why.as_str(); "silent stream, no report");
                None
            }
        };
        let earlier = self.last_probe.and_then(|probe| probe.events);
        self.last_probe = Some(Probe { at: time::now(), events });
        events.zip(earlier).is_some_and(|(events, earlier)| events > earlier)
    }

    fn start_move(&mut self, why: &str) -> Moving {
        self.move_attempts += 1;
        info!(id = self.call.id.as_str(), server = self.slot.id(), last = self.last_event_id, why = why; "run is to be moved");
        let stopping = Arc::new(AtomicBool::new(false));
        let done = moving::move_run(
            self.gateway.clone(),
            self.call.clone(),
            self.service.clone(),
            self.slot.place.clone(),
            stopping.clone(),
        );
        Moving { done: Box::pin(done), stopping }
    }

    /// The run's stream has closed because the run was stopped: waits for its copy.
    async fn finish_move(&mut self, moving: Option<Moving>) -> Result<(), RelayEnd> {
        let Some(moving) = moving else {
            return Err(RelayEnd::Broken("stopped without a copy".into()));
        };
        match timeout(FINAL_COPY_TIMEOUT, moving.done).await {
            Ok(MoveOutcome::NotMoved(why)) => self.restart(why.into()).await,
            Ok(moved) => self.handle_move(moved).await,
            Err(_) => self.restart("the copy did not end".into()).await,
        }
    }

    async fn handle_move(&mut self, moved: MoveOutcome) -> Result<(), RelayEnd> {
        match moved {
            MoveOutcome::NotMoved(why) => {
                self.count_move_outcome(why);
                self.move_failed_at = Some(time::now());
                info!(id = self.call.id.as_str(), server = self.slot.id(), why = why; "run not moved");
                Ok(())
            }
            MoveOutcome::Stopped { copy, slot } => {
                self.drain_upstream().await?;
                self.resume(copy, Some(*slot)).await
            }
            MoveOutcome::KeptAtSource(copy) => {
                self.drain_upstream().await?;
                self.resume(copy, None).await
            }
        }
    }

    /// Passes on what a stopped run still sent.
    async fn drain_upstream(&mut self) -> Result<(), RelayEnd> {
        let until = time::now() + DRAIN_TIMEOUT;
        while let Some(StreamItem::Event(event)) =
            time::timeout_at(until, self.upstream.next()).await
        {
            self.forward_event(event).await?;
        }
        Ok(())
    }

    /// Goes on from a copy at another server, or from what the stopped run left at its own. It is
    /// the same run, accepted while its key held: a key that was taken away since does not cut it.
    async fn resume(&mut self, copy: RunCopy, slot: Option<Slot>) -> Result<(), RelayEnd> {
        let to = slot
            .as_ref()
            .map_or(&self.slot.place.destination, |slot| &slot.place.destination)
            .clone();
        let now = time::now();
        let key = slot.as_ref().map_or(self.slot.key(), Slot::key);
        let options = SendOptions {
            to,
            time_left: self.call.time_left(now),
            resume_from: Some(copy.clone()),
            after: self.last_event_id,
        };
        let elsewhere = slot.is_some();
        if !elsewhere {
            self.gateway.servers().use_quota(key);
        }
        // Nothing more is sent to a hall that was closed a while ago or to a server that rests, not even what ran
        // there.
        let accepted = self.gateway.servers().accepts_in_flight(key, now);
        let reopened = match accepted {
            true => reopen(&self.gateway, &self.call, key, options).await,
            false => Err("its hall is closed, or it rests".into()),
        };
        let why = match reopened {
            Ok(upstream) => {
                self.upstream = upstream;
                if let Some(slot) = slot {
                    (self.first_event_at, self.survived) = (None, false);
                    self.count_move_outcome("moved");
                    info!(id = self.call.id.as_str(), from = self.slot.id(), to = slot.id(), last = self.last_event_id; "run moved");
                    self.slot = slot;
                    self.move_attempts = 0;
                }
                return Ok(());
            }
            Err(why) => why,
        };
        warn!(id = self.call.id.as_str(), why = why.as_str(), elsewhere = elsewhere; "run not taken over");
        if elsewhere { Box::pin(self.resume(copy, None)).await } else { self.restart(why).await }
    }

    fn count_move_outcome(&self, outcome: &str) {
        self.gateway.metrics.moves.with_label_values(&[outcome]).inc();
    }

    /// Whether the run has begun at its present server just now.
    fn is_starting_up(&self, now: Instant) -> bool {
        self.first_event_at.is_none_or(|first_event_at| {
            now.saturating_duration_since(first_event_at) < STARTUP_PERIOD
        })
    }

    /// Restarts the request at another server after the last event, if it may run again.
    async fn restart(&mut self, why: String) -> Result<(), RelayEnd> {
        let now = time::now();
        self.slot.record_result(true);
        let allowed = self.call.route.may_run_again(self.runs);
        if !allowed || !self.gateway.is_authorized(&self.call, now) {
            return Err(RelayEnd::Broken(why));
        }
        let tried = [self.slot.key()];
        let admission_class = AdmissionClass::Begun;
        let Ok(slot) =
            self.gateway.slot_for_retry(&self.service, &self.call, admission_class, &tried, now)
        else {
            return Err(RelayEnd::Broken(why));
        };
        self.runs += 1;
        let options = SendOptions {
            to: slot.place.destination.clone(),
            time_left: self.call.time_left(now),
            resume_from: None,
            after: self.last_event_id,
        };
        let request = self.call.fingerprint().to_string();
        info!(id = self.call.id.as_str(), request = request.as_str(), server = self.slot.id(), why = why.as_str(); "stream broke off");
        let key = slot.key();
        self.upstream =
            reopen(&self.gateway, &self.call, key, options).await.map_err(RelayEnd::Broken)?;
        info!(id = self.call.id.as_str(), from = self.slot.id(), to = slot.id(), why = why.as_str(), last = self.last_event_id; "run begun anew");
        self.slot = slot;
        (self.first_event_at, self.survived) = (None, false);
        self.move_attempts = 0;
        Ok(())
    }
}

fn is_stopping(moving: &Option<Moving>) -> bool {
    moving.as_ref().is_some_and(|m| m.stopping.load(Ordering::Relaxed))
}

async fn wait_for_move(moving: &mut Option<Moving>) -> MoveOutcome {
    match moving {
        Some(moving) => moving.done.as_mut().await,
        None => std::future::pending().await,
    }
}

/// Waits until the server is about to leave.
async fn wait_for_notice(slot: &mut Slot) {
    // An error means that the server is no longer in the table: it has gone as well.
    drop(slot.notice.wait_for(|leaving| *leaving).await);
}
