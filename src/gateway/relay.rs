//! Relays a stream of events to its caller, across all servers that run the request.
//!
//! Only complete events are relayed, in the order of their ids, each once. If the server is about to leave,
//! the run is moved to another one while its events continue.

use crate::gateway::admission::AdmissionClass;
use crate::gateway::core::Gateway;
use crate::gateway::events::Event;
use crate::gateway::forward::Sent;
use crate::gateway::moving::{self, MoveOutcome};
use crate::gateway::port::{Reply, RunCopy, SendOptions};
use crate::gateway::quarantine::RunProgress;
use crate::gateway::request::{Answer, Call, IncompleteBody};
use crate::gateway::slot::Slot;
use crate::gateway::table::Service;
use crate::gateway::upstream::{Step, Upstream, reopen};
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
) -> Sent {
    let Reply { status, headers, body, .. } = reply;
    let mut upstream = Upstream::new(body);
    let first = match upstream.next().await {
        Step::Event(event) => event,
        Step::Ended | Step::BrokeOff(_) => {
            slot.record_result(true);
            gateway.handle_lost_run(call, &slot, RunProgress::NoEvents).await;
            return Sent::Failed(None, "no_event");
        }
    };
    slot.record_result(false);
    slot.record_prompt_read();
    let (id, route) = (call.id.as_str(), call.route.name.as_str());
    let ms = time::since(call.arrived).as_millis() as u64;
    let knew = slot.store_age_ms();
    info!(id = id, route = route, server = slot.id(), ms = ms, tokens = call.size.peak_tokens(), knowledge_ms = knew; "stream begun");
    let (out, events) = mpsc::channel(EVENT_QUEUE);
    let relay = Relay {
        gateway: gateway.clone(),
        call: call.clone(),
        service: service.clone(),
        slot,
        upstream,
        last: call.after,
        passed_at: time::now(),
        began: None,
        survived: false,
        out,
        runs: 1,
        moves: 0,
        failed_move: None,
        last_probe: None,
    };
    tokio::spawn(relay.run(first));
    let events = futures_util::stream::unfold(events, |mut events| async {
        events.recv().await.map(|event| (event, events))
    });
    Sent::Answered(Answer { status, headers, body: StreamBody::new(events).boxed_unsync() })
}

/// How a relay ends.
enum End {
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
    last: Option<u64>,
    /// When that event was passed on.
    passed_at: Instant,
    out: EventSender,
    /// Runs begun for this answer.
    runs: u32,
    /// When the present server sent its first event.
    began: Option<Instant>,
    /// Whether the present server is recorded as having survived the request.
    survived: bool,
    /// Moves tried from the present server.
    moves: u32,
    /// When the last move failed.
    failed_move: Option<Instant>,
    /// The last probe of a silent stream; reset by each event.
    last_probe: Option<Probe>,
}

/// A server's answer when probed about a silent run.
#[derive(Debug, Clone, Copy)]
struct Probe {
    at: Instant,
    /// Events that the run had made; `None` where the server did not run it or did not answer.
    made: Option<u64>,
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
    Step(Step),
}

impl Relay {
    async fn run(mut self, first: Event) {
        let caller = self.out.clone();
        let end = tokio::select! {
            biased;
            // If the caller leaves, everything in progress is dropped.
            () = caller.closed() => End::CallerLeft,
            end = self.relay_all(first) => end,
        };
        let (id, server) = (self.call.id.as_str(), self.slot.id());
        match end {
            End::Complete => {
                let ms = time::since(self.call.arrived).as_millis() as u64;
                self.gateway.note_survived(&self.call);
                info!(id = id, server = server, last = self.last, ms = ms; "stream complete");
            }
            End::CallerLeft => info!(id = id, server = server, last = self.last; "caller left"),
            End::Broken(reason) => {
                self.gateway.metrics.cut_streams.inc();
                let leaving = *self.slot.notice.borrow();
                let request = self.call.fingerprint().to_string();
                warn!(id = id, request = request.as_str(), server = server, leaving = leaving, last = self.last, why = reason.as_str(); "stream cut");
                // Refused only where the caller has left.
                let _ = self.out.send(Err(IncompleteBody { reason })).await;
            }
        }
    }

    async fn relay_all(&mut self, first: Event) -> End {
        match self.pass_on(first).await {
            Ok(()) => self.follow().await,
            Err(end) => end,
        }
    }

    async fn follow(&mut self) -> End {
        let deadline = time::sleep_until(self.call.deadline);
        tokio::pin!(deadline);
        let mut moving: Option<Moving> = None;
        loop {
            // Events come more often than the pause between moves, so that its end is not missed.
            let may_move = moving.is_none() && self.may_move(time::now());
            let may_probe = moving.is_none() && self.can_move();
            let look = time::sleep_until(self.next_probe());
            let wakeup = tokio::select! {
                biased;
                () = &mut deadline => Wakeup::OutOfTime,
                moved = wait_for_move(&mut moving) => Wakeup::Moved(Box::new(moved)),
                () = wait_for_notice(&mut self.slot), if may_move => Wakeup::Notice,
                step = self.upstream.next() => Wakeup::Step(step),
                () = look, if may_probe => Wakeup::Silence,
            };
            let ended = match wakeup {
                Wakeup::OutOfTime => return End::Broken("out of time".into()),
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
                Wakeup::Step(Step::Event(event)) => self.pass_on(event).await,
                Wakeup::Step(Step::Ended) => return End::Complete,
                Wakeup::Step(Step::BrokeOff(why)) => match is_stopping(&moving) {
                    true => self.finish_move(moving.take()).await,
                    false => {
                        moving = None;
                        if self.is_starting_up(time::now()) {
                            let run =
                                self.began.map_or(RunProgress::NoEvents, |_| RunProgress::Begun);
                            self.gateway.handle_lost_run(&self.call, &self.slot, run).await;
                        }
                        self.restart(why).await
                    }
                },
            };
            if let Err(end) = ended {
                return end;
            }
        }
    }

    /// Passes an event on unless the caller already has it.
    async fn pass_on(&mut self, event: Event) -> Result<(), End> {
        let now = time::now();
        self.began.get_or_insert(now);
        if !self.survived && !self.is_starting_up(now) {
            self.survived = true;
            self.gateway.note_survived(&self.call);
        }
        if event.id.is_some() && event.id <= self.last {
            return Ok(());
        }
        self.last = event.id.or(self.last);
        let pause = now.saturating_duration_since(self.passed_at);
        self.passed_at = now;
        self.last_probe = None;
        let kind = self.call.route.kind.name();
        self.gateway.metrics.pause_seconds.with_label_values(&[kind]).observe(pause.as_secs_f64());
        let sent = self.out.send(Ok(Frame::data(event.bytes))).await;
        sent.map_err(|_| End::CallerLeft)
    }

    fn may_move(&self, now: Instant) -> bool {
        let again = self.call.route.repeatable();
        let paused =
            self.failed_move.is_some_and(|at| now.saturating_duration_since(at) < MOVE_RETRY_PAUSE);
        !again && !paused && self.can_move()
    }

    fn can_move(&self) -> bool {
        self.moves < MAX_MOVES && self.service.engine.as_ref().is_some_and(|e| e.supports_moves)
    }

    /// When to probe the server about a silent stream.
    fn next_probe(&self) -> Instant {
        self.last_probe.map_or(self.passed_at + SILENCE_BEFORE_PROBE, |last_probe| {
            last_probe.at + PROBE_INTERVAL
        })
    }

    /// Whether a run whose stream is silent goes on at its server: then it is the connection that is
    /// silent. A run that makes nothing, as one that waits for memory, stays where it is.
    async fn progresses_at_server(&mut self) -> bool {
        let now = time::now();
        if self.gateway.servers().is_backing_off(self.slot.key(), now) {
            self.last_probe = Some(Probe { at: now, made: None });
            return false;
        }
        let (server, run) = (self.slot.place.destination.addr, self.call.id.as_str());
        let asked = time::now();
        let made = match self.gateway.wire.report(server, PROBE_TIMEOUT).await {
            Ok(report) => {
                self.gateway.handle_remarks(self.slot.key(), &report.remarks, asked);
                report.runs.get(run).copied()
            }
            Err(why) => {
                info!(id = run, server = self.slot.id(), why = why.as_str(); "silent stream, no report");
                None
            }
        };
        let before = self.last_probe.and_then(|last_probe| last_probe.made);
        self.last_probe = Some(Probe { at: time::now(), made });
        made.zip(before).is_some_and(|(made, before)| made > before)
    }

    fn start_move(&mut self, why: &str) -> Moving {
        self.moves += 1;
        info!(id = self.call.id.as_str(), server = self.slot.id(), last = self.last, why = why; "run is to be moved");
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
    async fn finish_move(&mut self, moving: Option<Moving>) -> Result<(), End> {
        let Some(moving) = moving else {
            return Err(End::Broken("stopped without a copy".into()));
        };
        match timeout(FINAL_COPY_TIMEOUT, moving.done).await {
            Ok(MoveOutcome::NotMoved(why)) => self.restart(why.into()).await,
            Ok(moved) => self.handle_move(moved).await,
            Err(_) => self.restart("the copy did not end".into()).await,
        }
    }

    async fn handle_move(&mut self, moved: MoveOutcome) -> Result<(), End> {
        match moved {
            MoveOutcome::NotMoved(why) => {
                self.count_move(why);
                self.failed_move = Some(time::now());
                info!(id = self.call.id.as_str(), server = self.slot.id(), why = why; "run not moved");
                Ok(())
            }
            MoveOutcome::Stopped { kept, slot } => {
                self.drain_upstream().await?;
                self.resume(kept, Some(*slot)).await
            }
            MoveOutcome::KeptAtSource(kept) => {
                self.drain_upstream().await?;
                self.resume(kept, None).await
            }
        }
    }

    /// Passes on what a stopped run still sent.
    async fn drain_upstream(&mut self) -> Result<(), End> {
        let until = time::now() + DRAIN_TIMEOUT;
        while let Some(Step::Event(event)) = time::timeout_at(until, self.upstream.next()).await {
            self.pass_on(event).await?;
        }
        Ok(())
    }

    /// Goes on from a copy at another server, or from what the stopped run left at its own. It is
    /// the same run, accepted while its key held: a key that was taken away since does not cut it.
    async fn resume(&mut self, kept: RunCopy, slot: Option<Slot>) -> Result<(), End> {
        let to = slot
            .as_ref()
            .map_or(&self.slot.place.destination, |slot| &slot.place.destination)
            .clone();
        let now = time::now();
        let key = slot.as_ref().map_or(self.slot.key(), Slot::key);
        let sending = SendOptions {
            to,
            time_left: self.call.time_left(now),
            resume_from: Some(kept.clone()),
            after: self.last,
        };
        let elsewhere = slot.is_some();
        if !elsewhere {
            self.gateway.servers().use_quota(key);
        }
        // Nothing more is sent to a hall that was closed a while ago or to a server that rests, not even what ran
        // there.
        let may_follow = self.gateway.servers().accepts_in_flight(key, now);
        let reopened = match may_follow {
            true => reopen(&self.gateway, &self.call, key, sending).await,
            false => Err("its hall is closed, or it rests".into()),
        };
        let why = match reopened {
            Ok(upstream) => {
                self.upstream = upstream;
                if let Some(slot) = slot {
                    (self.began, self.survived) = (None, false);
                    self.count_move("moved");
                    info!(id = self.call.id.as_str(), from = self.slot.id(), to = slot.id(), last = self.last; "run moved");
                    self.slot = slot;
                    self.moves = 0;
                }
                return Ok(());
            }
            Err(why) => why,
        };
        warn!(id = self.call.id.as_str(), why = why.as_str(), elsewhere = elsewhere; "run not taken over");
        if elsewhere { Box::pin(self.resume(kept, None)).await } else { self.restart(why).await }
    }

    fn count_move(&self, outcome: &str) {
        self.gateway.metrics.moves.with_label_values(&[outcome]).inc();
    }

    /// Whether the run has begun at its present server just now.
    fn is_starting_up(&self, now: Instant) -> bool {
        self.began.is_none_or(|began| now.saturating_duration_since(began) < STARTUP_PERIOD)
    }

    /// Restarts the request at another server after the last event, if it may run again.
    async fn restart(&mut self, why: String) -> Result<(), End> {
        let now = time::now();
        self.slot.record_result(true);
        let allowed = self.call.route.may_run_again(self.runs);
        if !allowed || !self.gateway.is_authorized(&self.call, now) {
            return Err(End::Broken(why));
        }
        let tried = [self.slot.key()];
        let begun = AdmissionClass::Begun;
        let Ok(slot) = self.gateway.slot_for_retry(&self.service, &self.call, begun, &tried, now)
        else {
            return Err(End::Broken(why));
        };
        self.runs += 1;
        let sending = SendOptions {
            to: slot.place.destination.clone(),
            time_left: self.call.time_left(now),
            resume_from: None,
            after: self.last,
        };
        let request = self.call.fingerprint().to_string();
        info!(id = self.call.id.as_str(), request = request.as_str(), server = self.slot.id(), why = why.as_str(); "stream broke off");
        let key = slot.key();
        self.upstream =
            reopen(&self.gateway, &self.call, key, sending).await.map_err(End::Broken)?;
        info!(id = self.call.id.as_str(), from = self.slot.id(), to = slot.id(), why = why.as_str(), last = self.last; "run begun anew");
        self.slot = slot;
        (self.began, self.survived) = (None, false);
        self.moves = 0;
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
