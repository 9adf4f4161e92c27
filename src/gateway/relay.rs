//! Passing a stream of events on to its caller, over every server that its run lives on.
//!
//! Whole events only, in the order of their ids, each once. When the server is about to leave,
//! the run is carried over to another one while its events go on.

use crate::gateway::admission::AdmissionClass;
use crate::gateway::core::Gateway;
use crate::gateway::events::Event;
use crate::gateway::forward::Sent;
use crate::gateway::moving::{self, Moved};
use crate::gateway::port::{Reply, RunCopy, Sending};
use crate::gateway::quarantine::RunProgress;
use crate::gateway::request::{Answer, BrokenOff, Call};
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

/// Events that wait for a slow caller before its server is held up.
const QUEUE: usize = 16;
/// Moves tried for one run at one server.
const MOST_MOVES: u32 = 4;
/// Pause before a run that could not be moved is tried again: about the time of one copy, after which
/// there may be room elsewhere.
const MOVE_PAUSE: Duration = Duration::from_millis(100);
/// Silence of a stream after which its server is asked whether the run goes on: longer than almost all
/// pauses of a sound stream, and a small part of what callers wait.
const SILENCE: Duration = Duration::from_millis(1_000);
/// Time between two such questions: reports are about so old.
const LOOK_AGAIN: Duration = Duration::from_millis(500);
/// Longest time for the answer.
const LOOK_LIMIT: Duration = Duration::from_millis(300);
/// How long the last events of a stopped run may take to arrive after the copy is complete.
const LAST_EVENTS: Duration = Duration::from_millis(60);
/// How long a run whose stream has ended is waited for by its copy.
const LAST_COPY: Duration = Duration::from_millis(2_500);

/// Time from the first event within which a run has just begun. A server that a request ends is gone 0.13 s
/// after the beginning at the latest, as seen, and a busy daemon reads that some tenths later.
const YOUNG: Duration = Duration::from_millis(500);

type Out = mpsc::Sender<Result<Frame<Bytes>, BrokenOff>>;

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
        Step::Ended | Step::Broke(_) => {
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
    info!(id = id, route = route, server = slot.id(), ms = ms, tokens = call.size.tokens(), knowledge_ms = knew; "stream begun");
    let (out, events) = mpsc::channel(QUEUE);
    let relay = Relay {
        gateway: gateway.clone(),
        call: call.clone(),
        service: service.clone(),
        slot,
        upstream,
        last: call.after,
        passed: time::now(),
        began: None,
        survived: false,
        out,
        runs: 1,
        moves: 0,
        stays: None,
        looked: None,
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
    /// When it was passed on.
    passed: Instant,
    out: Out,
    /// Runs begun for this answer.
    runs: u32,
    /// When the present server sent its first event.
    began: Option<Instant>,
    /// Whether it was noted that the present server survived the run.
    survived: bool,
    /// Moves tried from the present server.
    moves: u32,
    /// When the last of them came to nothing.
    stays: Option<Instant>,
    /// What the server last said of a run whose stream is silent.
    looked: Option<Looked>,
}

/// What a server said of a run.
#[derive(Debug, Clone, Copy)]
struct Looked {
    at: Instant,
    /// Events that the run had made; `None` where the server did not run it or did not answer.
    made: Option<u64>,
}

/// A move under way.
struct Moving {
    done: BoxFuture<'static, Moved>,
    /// Whether the run was told to stop at its server.
    stopping: Arc<AtomicBool>,
}

enum Happened {
    OutOfTime,
    Notice,
    Silence,
    Moved(Box<Moved>),
    Step(Step),
}

impl Relay {
    async fn run(mut self, first: Event) {
        let caller = self.out.clone();
        let end = tokio::select! {
            biased;
            // Whatever is under way is given up with its caller.
            () = caller.closed() => End::CallerLeft,
            end = self.pass_all_on(first) => end,
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
                let _ = self.out.send(Err(BrokenOff { reason })).await;
            }
        }
    }

    async fn pass_all_on(&mut self, first: Event) -> End {
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
            let may_look = moving.is_none() && self.can_move();
            let look = time::sleep_until(self.next_look());
            let happened = tokio::select! {
                biased;
                () = &mut deadline => Happened::OutOfTime,
                moved = finished(&mut moving) => Happened::Moved(Box::new(moved)),
                () = noticed(&mut self.slot), if may_move => Happened::Notice,
                step = self.upstream.next() => Happened::Step(step),
                () = look, if may_look => Happened::Silence,
            };
            let ended = match happened {
                Happened::OutOfTime => return End::Broken("out of time".into()),
                Happened::Notice => {
                    moving = Some(self.start_moving("server leaves"));
                    continue;
                }
                Happened::Silence => {
                    if self.goes_on_unheard().await {
                        moving = Some(self.start_moving("connection silent"));
                    }
                    continue;
                }
                Happened::Moved(moved) => {
                    moving = None;
                    self.moved(*moved).await
                }
                Happened::Step(Step::Event(event)) => self.pass_on(event).await,
                Happened::Step(Step::Ended) => return End::Complete,
                Happened::Step(Step::Broke(why)) => match is_stopping(&moving) {
                    true => self.finish_moving(moving.take()).await,
                    false => {
                        moving = None;
                        if self.is_young(time::now()) {
                            let run =
                                self.began.map_or(RunProgress::NoEvents, |_| RunProgress::Begun);
                            self.gateway.handle_lost_run(&self.call, &self.slot, run).await;
                        }
                        self.run_again(why).await
                    }
                },
            };
            if let Err(end) = ended {
                return end;
            }
        }
    }

    /// Passes an event on unless the caller has it.
    async fn pass_on(&mut self, event: Event) -> Result<(), End> {
        let now = time::now();
        self.began.get_or_insert(now);
        if !self.survived && !self.is_young(now) {
            self.survived = true;
            self.gateway.note_survived(&self.call);
        }
        if event.id.is_some() && event.id <= self.last {
            return Ok(());
        }
        self.last = event.id.or(self.last);
        let pause = now.saturating_duration_since(self.passed);
        self.passed = now;
        self.looked = None;
        let kind = self.call.route.kind.name();
        self.gateway.metrics.pause_seconds.with_label_values(&[kind]).observe(pause.as_secs_f64());
        let sent = self.out.send(Ok(Frame::data(event.bytes))).await;
        sent.map_err(|_| End::CallerLeft)
    }

    fn may_move(&self, now: Instant) -> bool {
        let again = self.call.route.repeatable();
        let paused = self.stays.is_some_and(|at| now.saturating_duration_since(at) < MOVE_PAUSE);
        !again && !paused && self.can_move()
    }

    fn can_move(&self) -> bool {
        self.moves < MOST_MOVES && self.service.engine.as_ref().is_some_and(|e| e.supports_moves)
    }

    /// When the server is to be asked about a silent stream.
    fn next_look(&self) -> Instant {
        self.looked.map_or(self.passed + SILENCE, |looked| looked.at + LOOK_AGAIN)
    }

    /// Whether a run whose stream is silent goes on at its server: then it is the connection that is
    /// silent. A run that makes nothing, as one that waits for memory, stays where it is.
    async fn goes_on_unheard(&mut self) -> bool {
        let now = time::now();
        if self.gateway.servers().is_backing_off(self.slot.key(), now) {
            self.looked = Some(Looked { at: now, made: None });
            return false;
        }
        let (server, run) = (self.slot.place.destination.addr, self.call.id.as_str());
        let asked = time::now();
        let made = match self.gateway.wire.report(server, LOOK_LIMIT).await {
            Ok(report) => {
                self.gateway.handle_remarks(self.slot.key(), &report.remarks, asked);
                report.runs.get(run).copied()
            }
            Err(why) => {
                info!(id = run, server = self.slot.id(), why = why.as_str(); "silent stream, no report");
                None
            }
        };
        let before = self.looked.and_then(|looked| looked.made);
        self.looked = Some(Looked { at: time::now(), made });
        made.zip(before).is_some_and(|(made, before)| made > before)
    }

    fn start_moving(&mut self, why: &str) -> Moving {
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
    async fn finish_moving(&mut self, moving: Option<Moving>) -> Result<(), End> {
        let Some(moving) = moving else {
            return Err(End::Broken("stopped without a copy".into()));
        };
        match timeout(LAST_COPY, moving.done).await {
            Ok(Moved::Stays(why)) => self.run_again(why.into()).await,
            Ok(moved) => self.moved(moved).await,
            Err(_) => self.run_again("the copy did not end".into()).await,
        }
    }

    async fn moved(&mut self, moved: Moved) -> Result<(), End> {
        match moved {
            Moved::Stays(why) => {
                self.count_move(why);
                self.stays = Some(time::now());
                info!(id = self.call.id.as_str(), server = self.slot.id(), why = why; "run not moved");
                Ok(())
            }
            Moved::Stopped { kept, slot } => {
                self.drain_upstream().await?;
                self.go_on(kept, Some(*slot)).await
            }
            Moved::SourceKeeps(kept) => {
                self.drain_upstream().await?;
                self.go_on(kept, None).await
            }
        }
    }

    /// Passes on what a stopped run still sent.
    async fn drain_upstream(&mut self) -> Result<(), End> {
        let until = time::now() + LAST_EVENTS;
        while let Some(Step::Event(event)) = time::timeout_at(until, self.upstream.next()).await {
            self.pass_on(event).await?;
        }
        Ok(())
    }

    /// Goes on from a copy at another server, or from what the stopped run left at its own. It is
    /// the same run, accepted while its key held: a key that was taken away since does not cut it.
    async fn go_on(&mut self, kept: RunCopy, slot: Option<Slot>) -> Result<(), End> {
        let to = slot
            .as_ref()
            .map_or(&self.slot.place.destination, |slot| &slot.place.destination)
            .clone();
        let now = time::now();
        let key = slot.as_ref().map_or(self.slot.key(), Slot::key);
        let sending =
            Sending { to, left: self.call.left(now), from: Some(kept.clone()), after: self.last };
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
        if elsewhere { Box::pin(self.go_on(kept, None)).await } else { self.run_again(why).await }
    }

    fn count_move(&self, outcome: &str) {
        self.gateway.metrics.moves.with_label_values(&[outcome]).inc();
    }

    /// Whether the run has begun at its present server just now.
    fn is_young(&self, now: Instant) -> bool {
        self.began.is_none_or(|began| now.saturating_duration_since(began) < YOUNG)
    }

    /// Runs the request anew at another server, from the last event on, where it may run again.
    async fn run_again(&mut self, why: String) -> Result<(), End> {
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
        let sending = Sending {
            to: slot.place.destination.clone(),
            left: self.call.left(now),
            from: None,
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

async fn finished(moving: &mut Option<Moving>) -> Moved {
    match moving {
        Some(moving) => moving.done.as_mut().await,
        None => std::future::pending().await,
    }
}

/// Returns once the server is about to leave.
async fn noticed(slot: &mut Slot) {
    // An error means that the server is no longer in the table: it has gone as well.
    drop(slot.notice.wait_for(|leaving| *leaving).await);
}
