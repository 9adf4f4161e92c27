//! Relays a stream of events to its caller, across all servers that run the request.
//!
//! Only complete events are relayed, in the order of their ids, each once. While a caller has not taken earlier
//! events, nothing is read from the server, which slows down through its flow-control window. If the server is about to leave,
//! the run is moved to another one while its events continue.

mod ends;
mod resumption;

use crate::gateway::buffers::EventQueue;
use crate::gateway::core::Gateway;
use crate::gateway::events::Event;
use crate::gateway::forward::SendOutcome;
use crate::gateway::moving::{self, MoveOutcome, UnconfirmedStop};
use crate::gateway::pace::{EventTimer, Step, window_tokens};
use crate::gateway::port::Reply;
use crate::gateway::quarantine::RunProgress;
use crate::gateway::relay::ends::StreamEnd;
use crate::gateway::request::{Answer, Call, IncompleteBody};
use crate::gateway::servers::Load;
use crate::gateway::slot::Slot;
use crate::gateway::table::Service;
use crate::gateway::upstream::{StreamItem, Upstream};
use crate::time;
use bytes::Bytes;
use futures_util::future::BoxFuture;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::header::CONTENT_LENGTH;
use log::{info, warn};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Capacity of the channel to a caller's connection. [`EventQueue`] admits no more events, and an error may
/// follow them.
const EVENT_CHANNEL: usize = 17;
/// Maximum number of attempts to move one run away from one server.
const MAX_MOVES: u32 = 4;
/// Delay before another attempt to move a run: about the time of one copy, after which another server may
/// have free memory.
const MOVE_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Silence of a stream after which its server is asked whether the run continues. Longer than almost all
/// pauses of a healthy stream, and a small fraction of the time that callers wait.
const SILENCE_BEFORE_PROBE: Duration = Duration::from_millis(1_000);
/// Interval between such probes: about the age of a server's report.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time to wait for a probe's answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// How long the last events of a stopped run may take to arrive after the copy is complete.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(60);
/// Time from the first event within which a run counts as starting up. A server that is crashed by a request
/// is gone at most 0.13 s after the start, and a busy daemon notices that some tenths of a second later.
const STARTUP_PERIOD: Duration = Duration::from_millis(500);

type EventSender = mpsc::Sender<Result<Frame<Bytes>, IncompleteBody>>;

/// Waits for the first event, then relays the stream in a task of its own. If the server fails before its
/// first event, nothing has reached the caller and another server can be tried.
pub(crate) async fn begin(
    gateway: &Arc<Gateway>,
    call: &Arc<Call>,
    service: &Arc<Service>,
    mut slot: Slot,
    reply: Reply,
) -> SendOutcome {
    let Reply { status, mut headers, body, body_end, .. } = reply;
    // The events may come from several servers, whose answers differ in length.
    headers.remove(CONTENT_LENGTH);
    let mut upstream = Upstream::new(body, body_end);
    let first = match upstream.next().await {
        StreamItem::Event(event) => event,
        StreamItem::Ended | StreamItem::Closed | StreamItem::BrokeOff(_) => {
            slot.record_result(true);
            gateway.handle_lost_run(call, &slot, RunProgress::NoEvents).await;
            return SendOutcome::Failed(None, "no_event");
        }
    };
    let software = slot.place.software;
    gateway.note_begun(call, software, time::now());
    slot.record_result(false);
    slot.record_prompt_read();
    let (id, route) = (call.id.as_str(), call.route.name.as_str());
    let ms = time::since(call.arrived).as_millis() as u64;
    let store_age_ms = slot.store_age_ms();
    info!(id = id, route = route, server = slot.id(), software = software.to_string().as_str(), ms = ms, tokens = call.size.peak_tokens(), end = body_end.name(), knowledge_ms = store_age_ms; "stream begun");
    let (event_sender, events) = mpsc::channel(EVENT_CHANNEL);
    let relay = Relay {
        gateway: gateway.clone(),
        call: call.clone(),
        service: service.clone(),
        slot,
        upstream,
        last_event_id: call.after,
        last_forwarded_at: time::now(),
        reading_since: time::now(),
        first_event_at: None,
        survived: false,
        queue: EventQueue::new(gateway.buffers.clone()),
        event_sender,
        runs: 1,
        move_attempts: 0,
        move_failed_at: None,
        stop_ordered: false,
        unconfirmed: None,
        no_event_yet: false,
        may_be_over: false,
        last_probe: None,
        timer: EventTimer::default(),
        window_load: Load::default(),
    };
    tokio::spawn(relay.run(first));
    let events = futures_util::stream::unfold(events, |mut events| async {
        events.recv().await.map(|event| (event, events))
    });
    SendOutcome::Answered(Answer { status, headers, body: StreamBody::new(events).boxed_unsync() })
}

/// How a relay ends.
enum RelayEnd {
    /// All events were relayed.
    Complete,
    /// The caller closed the connection.
    CallerLeft,
    /// The stream cannot be continued, for this reason.
    Broken(String),
}

/// The state of one relayed stream.
struct Relay {
    gateway: Arc<Gateway>,
    call: Arc<Call>,
    service: Arc<Service>,
    slot: Slot,
    upstream: Upstream,
    /// Id of the last event that the caller was sent.
    last_event_id: Option<u64>,
    /// When an event was last sent to the caller; initially, when the relay began.
    last_forwarded_at: Instant,
    /// Since when events are read from the server, after a wait for the caller; initially, when the relay began.
    reading_since: Instant,
    /// Counts the events that the caller has not taken.
    queue: Arc<EventQueue>,
    event_sender: EventSender,
    /// Number of runs started for this response.
    runs: u32,
    /// When the current server sent its first event.
    first_event_at: Option<Instant>,
    /// Whether it is recorded that the current server survived the request.
    survived: bool,
    /// Number of attempts to move the run away from the current server.
    move_attempts: u32,
    /// When the last attempt failed.
    move_failed_at: Option<Instant>,
    /// Whether the current server was told to stop the run.
    stop_ordered: bool,
    /// A move that has ended without telling if the current server stopped the run.
    unconfirmed: Option<Box<UnconfirmedStop>>,
    /// Whether nothing has come from the current server, which continues the stream.
    no_event_yet: bool,
    /// Whether the run may have been over when it was continued, so that nothing follows.
    may_be_over: bool,
    /// The last probe of a silent stream; reset by each event.
    last_probe: Option<Probe>,
    /// Measures the time between events.
    timer: EventTimer,
    /// Load of the server when the current window of events began.
    window_load: Load,
}

/// A server's answer when probed about a silent run.
#[derive(Debug, Clone, Copy)]
struct Probe {
    /// When the server answered.
    at: Instant,
    /// Number of events that the run had produced; `None` if the server did not run it or did not answer.
    events: Option<u64>,
}

/// A move in progress.
struct Moving {
    /// Completes when the move has ended.
    done: BoxFuture<'static, MoveOutcome>,
    /// Set right before the run is told to stop at its server.
    stopping: Arc<AtomicBool>,
}

/// What the relay has to handle next.
enum Wakeup {
    /// The server is about to leave.
    Notice,
    /// The stream has been silent for long enough to probe the server.
    Silence,
    /// The move in progress has ended.
    Moved(Box<MoveOutcome>),
    /// The caller has taken events, so that the server's stream can be read again.
    Room,
    /// The server's stream has delivered an item.
    Item(StreamItem),
}

impl Relay {
    /// Relays the whole stream and logs how it ended.
    async fn run(mut self, first: Event) {
        let (caller, deadline) = (self.event_sender.clone(), self.call.deadline);
        let gateway = self.gateway.clone();
        // The first three drop everything in progress, whatever it waits for.
        let end = tokio::select! {
            biased;
            () = caller.closed() => RelayEnd::CallerLeft,
            () = time::sleep_until(deadline) => RelayEnd::Broken("out of time".into()),
            () = gateway.wait_for_end() => RelayEnd::Broken("the daemon stops".into()),
            end = self.relay_all(first) => end,
        };
        let (id, server) = (self.call.id.as_str(), self.slot.id());
        let body_end = self.upstream.end().name();
        let stop_ordered = self.stop_ordered;
        match end {
            RelayEnd::Complete => {
                let ms = time::since(self.call.arrived).as_millis() as u64;
                self.gateway.note_survived(&self.call, true);
                info!(id = id, server = server, last = self.last_event_id, end = body_end, stop_ordered = stop_ordered, ms = ms; "stream complete");
            }
            RelayEnd::CallerLeft => {
                info!(id = id, server = server, last = self.last_event_id; "caller left")
            }
            RelayEnd::Broken(reason) => {
                self.gateway.metrics.cut_streams.inc();
                let leaving = *self.slot.notice.borrow();
                let request = self.call.fingerprint().to_string();
                warn!(id = id, request = request.as_str(), server = server, leaving = leaving, last = self.last_event_id, end = body_end, stop_ordered = stop_ordered, why = reason.as_str(); "stream cut");
                // The server's connection and its slot are not kept for a caller that reads slowly.
                drop(self);
                // Fails only if the caller has closed the connection.
                let _ = caller.send(Err(IncompleteBody { reason })).await;
            }
        }
    }

    /// Relays the first event and all that follow.
    async fn relay_all(&mut self, first: Event) -> RelayEnd {
        match self.forward_event(first).await {
            Ok(()) => self.relay_events().await,
            Err(end) => end,
        }
    }

    /// Relays events until the stream ends, moving or restarting the run where needed.
    async fn relay_events(&mut self) -> RelayEnd {
        let mut moving: Option<Moving> = None;
        loop {
            // No timer is needed for the end of `MOVE_RETRY_PAUSE`: each event comes back here, and events
            // arrive more often than that.
            let may_move_now = moving.is_none() && self.may_move_now(time::now());
            let may_read = self.queue.has_room();
            let may_probe = moving.is_none() && may_read && self.can_move();
            let probe_timer = time::sleep_until(self.next_probe());
            let wakeup = tokio::select! {
                biased;
                moved = wait_for_move(&mut moving) => Wakeup::Moved(Box::new(moved)),
                () = wait_for_notice(&mut self.slot), if may_move_now => Wakeup::Notice,
                () = self.queue.wait_for_room(), if !may_read => Wakeup::Room,
                item = self.upstream.next(), if may_read => Wakeup::Item(item),
                () = probe_timer, if may_probe => Wakeup::Silence,
            };
            self.stop_ordered |= is_stopping(moving.as_ref());
            let result = match wakeup {
                Wakeup::Notice => {
                    moving = Some(self.start_move("server is leaving"));
                    continue;
                }
                Wakeup::Silence => {
                    if self.progresses_at_server().await {
                        moving = Some(self.start_move("connection is silent"));
                    }
                    continue;
                }
                Wakeup::Room => {
                    self.reading_since = time::now();
                    continue;
                }
                Wakeup::Moved(moved) => {
                    moving = None;
                    self.handle_move(*moved).await
                }
                Wakeup::Item(StreamItem::Event(event)) => self.forward_event(event).await,
                Wakeup::Item(StreamItem::Ended) => return RelayEnd::Complete,
                Wakeup::Item(StreamItem::Closed) => {
                    self.handle_end(StreamEnd::Closed, moving.take()).await
                }
                Wakeup::Item(StreamItem::BrokeOff(why)) => {
                    self.handle_end(StreamEnd::BrokeOff(why), moving.take()).await
                }
            };
            if let Err(end) = result {
                return end;
            }
        }
    }

    /// Sends an event to the caller, unless the caller already has it. The event was taken from the server while
    /// the queue had room.
    async fn forward_event(&mut self, event: Event) -> Result<(), RelayEnd> {
        let now = time::now();
        self.no_event_yet = false;
        self.first_event_at.get_or_insert(now);
        if !self.survived && !self.is_starting_up(now) {
            self.survived = true;
            self.gateway.note_survived(&self.call, true);
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
        self.measure(now);
        let bytes = self.queue.push(event.bytes);
        if !self.queue.has_room() {
            self.timer.stop();
        }
        let sent = self.event_sender.send(Ok(Frame::data(bytes))).await;
        sent.map_err(|_| RelayEnd::CallerLeft)
    }

    /// Notes an event of the stream for the pace of its server.
    fn measure(&mut self, now: Instant) {
        let (Some(engine), step) = (&self.service.engine, self.timer.event(now)) else {
            return;
        };
        let key = self.slot.key();
        match step {
            Step::None => {}
            Step::Begun => self.window_load = self.gateway.servers().load(key),
            Step::Ended(actual) => {
                let tokens = window_tokens(engine);
                self.gateway.durations().tokens.record(&self.service.name, actual, tokens);
                let mut servers = self.gateway.servers();
                servers.record_gaps(key, actual, engine, self.window_load, now);
                self.window_load = servers.load(key);
            }
        }
    }

    /// Whether to move the run if its server gives notice. A request that may run again is not moved.
    fn may_move_now(&self, now: Instant) -> bool {
        let repeatable = self.call.route.repeatable();
        let paused = self
            .move_failed_at
            .is_some_and(|at| now.saturating_duration_since(at) < MOVE_RETRY_PAUSE);
        !repeatable && !paused && self.can_move()
    }

    /// Whether the service's engine can move runs and this run has attempts left.
    fn can_move(&self) -> bool {
        self.move_attempts < MAX_MOVES
            && self.service.engine.as_ref().is_some_and(|e| e.supports_moves)
    }

    /// When to probe the server about a silent stream.
    fn next_probe(&self) -> Instant {
        let quiet_since = self.last_forwarded_at.max(self.reading_since);
        self.last_probe
            .map_or(quiet_since + SILENCE_BEFORE_PROBE, |probe| probe.at + PROBE_INTERVAL)
    }

    /// Whether a run whose stream is silent has produced events at its server since the last probe. If so,
    /// the connection is at fault. A run that produces nothing, for example while it waits for memory, is not
    /// moved.
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
                info!(id = run, server = self.slot.id(), why = why.as_str(); "server of a silent stream sent no report");
                None
            }
        };
        let earlier = self.last_probe.and_then(|probe| probe.events);
        self.last_probe = Some(Probe { at: time::now(), events });
        events.zip(earlier).is_some_and(|(events, earlier)| events > earlier)
    }

    /// Starts to move the run to another server; `why` is logged.
    fn start_move(&mut self, why: &str) -> Moving {
        self.move_attempts += 1;
        info!(id = self.call.id.as_str(), server = self.slot.id(), last = self.last_event_id, why = why; "moving run");
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

    /// Continues the stream after a move has ended.
    async fn handle_move(&mut self, moved: MoveOutcome) -> Result<(), RelayEnd> {
        match moved {
            MoveOutcome::NotMoved(why) => {
                self.count_move_outcome(why);
                self.move_failed_at = Some(time::now());
                info!(id = self.call.id.as_str(), server = self.slot.id(), why = why; "run not moved");
                Ok(())
            }
            MoveOutcome::Unconfirmed(stop) => {
                self.note_unconfirmed();
                self.move_failed_at = Some(time::now());
                stop.supersede(self.unconfirmed.take());
                self.unconfirmed = Some(stop);
                Ok(())
            }
            MoveOutcome::Stopped { copy, slot } => {
                self.drain_upstream().await?;
                self.resume(copy, Some(*slot)).await
            }
            MoveOutcome::Gone { copy, slot } => {
                self.resume(copy, Some(*slot)).await?;
                self.may_be_over = true;
                Ok(())
            }
            MoveOutcome::KeptAtSource(copy) => {
                self.drain_upstream().await?;
                self.resume(copy, None).await
            }
        }
    }

    /// Relays the events that a stopped run has still sent.
    async fn drain_upstream(&mut self) -> Result<(), RelayEnd> {
        let until = time::now() + DRAIN_TIMEOUT;
        loop {
            match time::timeout_at(until, next_item(&self.queue, &mut self.upstream)).await {
                Some(StreamItem::Event(event)) => self.forward_event(event).await?,
                // The run ended before it was stopped.
                Some(StreamItem::Ended) => return Err(RelayEnd::Complete),
                Some(StreamItem::Closed | StreamItem::BrokeOff(_)) | None => return Ok(()),
            }
        }
    }

    fn note_unconfirmed(&self) {
        self.count_move_outcome("unconfirmed");
        info!(id = self.call.id.as_str(), server = self.slot.id(); "order to stop a run not confirmed");
    }

    fn count_move_outcome(&self, outcome: &str) {
        self.gateway.metrics.moves.with_label_values(&[outcome]).inc();
    }

    /// Whether the run has only just started at its current server (see [`STARTUP_PERIOD`]).
    fn is_starting_up(&self, now: Instant) -> bool {
        self.first_event_at.is_none_or(|first_event_at| {
            now.saturating_duration_since(first_event_at) < STARTUP_PERIOD
        })
    }
}

/// Reads the next item once the queue has room.
async fn next_item(queue: &EventQueue, upstream: &mut Upstream) -> StreamItem {
    queue.wait_for_room().await;
    upstream.next().await
}

/// Whether a move is in progress and its run was told to stop.
fn is_stopping(moving: Option<&Moving>) -> bool {
    moving.is_some_and(|moving| moving.stopping.load(Ordering::Relaxed))
}

/// Waits for the end of a move; forever if none is in progress.
async fn wait_for_move(moving: &mut Option<Moving>) -> MoveOutcome {
    match moving {
        Some(moving) => moving.done.as_mut().await,
        None => std::future::pending().await,
    }
}

/// Waits until the server is about to leave.
async fn wait_for_notice(slot: &mut Slot) {
    // An error means that the server is no longer in the table, which is treated as a notice, too.
    drop(slot.notice.wait_for(|leaving| *leaving).await);
}
