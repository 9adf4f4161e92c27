//! Carries one generation from an engine to its reader: every token once, in order, from one generation.

use crate::ask::Ask;
use crate::engine::{
    Dispatch, Engine, EngineEvent, Finish, OpenError, OpenStream, ResumeError, Token,
};
use crate::grant::Placer;
use crate::metrics::Metrics;
use crate::outcome::{Failure, NotSent, Reason};
use crate::pool::Pool;
use crate::replica::Signal;
use crate::seal::GenerationId;
use crate::slot::Slot;
use crate::time;
use futures_util::future::BoxFuture;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};

const FIRST_BACKOFF: Duration = Duration::from_millis(25);
const LONGEST_BACKOFF: Duration = Duration::from_millis(500);
/// Part of the time to resume that is spent on a generation that can start over.
const RESTART_SHARE: u32 = 8;
/// Most times a generation is placed.
const MOST_PLACES: u32 = 4;

/// Who reads a generation.
pub trait Reader: Send + Sync {
    /// The engine has taken the generation; called again with another one only before any token.
    fn accepted(&mut self, generation: GenerationId, slot: &Slot) -> BoxFuture<'_, Delivery>;
    /// The next token in order.
    fn token<'a>(&'a mut self, token: &'a Token) -> BoxFuture<'a, Delivery>;
    /// A stream of the generation was opened at its engine, for the first time or again.
    fn opened(&mut self) {}
    /// Resolves once the reader has gone away.
    fn gone(&self) -> BoxFuture<'static, ()>;
    /// Whether another generation may start over: no token has gone out.
    fn may_restart(&self) -> bool;
    /// Drops what it holds, so that another generation may start over.
    fn restart(&mut self);
}

/// What became of something delivered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// The reader has it.
    Taken,
    /// The reader has gone away.
    Gone,
}

/// A generation to be made and carried.
pub struct Job {
    /// What it asks of the pool.
    pub ask: Ask,
    /// What the engine is sent; its generation id is chosen anew for each place.
    pub dispatch: Dispatch,
    /// Longest wait for a place.
    pub wait: Duration,
    /// Gap past which a stream counts as stalled.
    pub gap: Duration,
    /// Silence after which a stream is taken as broken and resumed.
    pub silence: Duration,
    /// How long a broken stream is tried at its replica.
    pub resume: Duration,
}

/// How a relay ended without failing.
pub enum End {
    /// All tokens delivered.
    Complete(Finish),
    /// The reader went away; the generation waits at its engine for a while.
    ReaderGone,
}

/// Carries generations.
pub struct Relay {
    placer: Arc<dyn Placer>,
    pool: Arc<Pool>,
    engine: Arc<dyn Engine>,
    metrics: Arc<Metrics>,
}

enum Followed {
    Finished(Finish),
    /// Broken, silent or with a gap: resume after the last token delivered.
    Broken,
    Paused,
    Gone,
}

/// How far one reader is.
struct Progress {
    generation: GenerationId,
    delivered: u32,
    began: Instant,
    last: Option<Instant>,
    gap: Duration,
}

impl Progress {
    fn new(generation: GenerationId, delivered: u32, gap: Duration, now: Instant) -> Progress {
        Progress { generation, delivered, began: now, last: None, gap }
    }

    fn saw_token(&mut self, metrics: &Metrics, now: Instant) {
        match self.last {
            None => {
                metrics.first_token_seconds.observe(now.duration_since(self.began).as_secs_f64())
            }
            Some(last) => {
                let gap = now.duration_since(last);
                metrics.token_gap_seconds.observe(gap.as_secs_f64());
                metrics.stall_ms.inc_by(gap.saturating_sub(self.gap).as_millis() as u64);
            }
        }
        self.last = Some(now);
    }
}

impl Relay {
    /// A relay for one pool.
    pub fn new(
        placer: Arc<dyn Placer>,
        pool: Arc<Pool>,
        engine: Arc<dyn Engine>,
        metrics: Arc<Metrics>,
    ) -> Relay {
        Relay { placer, pool, engine, metrics }
    }

    /// Places a generation and carries it to its end.
    pub async fn run(&self, mut job: Job, reader: &mut dyn Reader) -> Result<End, Failure> {
        let mut proof = Some(NotSent::begin());
        let began = time::now();
        for place in 0..MOST_PLACES {
            if place > 0 && !self.pool.may_retry() {
                break;
            }
            if place > 0 {
                self.metrics.retries.inc();
            }
            let wait = job.wait.saturating_sub(time::since(began));
            let slot = match self.placer.place(&self.pool, job.ask.clone(), wait).await {
                Ok(slot) => slot,
                Err(shed) => return Err(lost(proof, Reason::no_capacity(shed.retry_ms))),
            };
            job.dispatch.generation = GenerationId::random(&mut rand::rng());
            let attempt = proof.take();
            let untouched = attempt.is_some();
            let opened = self
                .engine
                .open(slot.addr(), &job.dispatch, attempt.unwrap_or_else(NotSent::begin))
                .await;
            let stream = match opened {
                Ok(stream) => stream,
                Err(OpenError::NotRun(p)) => {
                    slot.failed(time::now());
                    // An earlier attempt that may have run spoils the proof of a later one.
                    proof = untouched.then_some(p);
                    continue;
                }
                Err(OpenError::Leaving(p)) => {
                    slot.leaving();
                    proof = untouched.then_some(p);
                    continue;
                }
                Err(OpenError::Unknown) => {
                    slot.failed(time::now());
                    let not_started =
                        self.engine.cancel(slot.addr(), job.dispatch.generation).await;
                    proof = (untouched && not_started).then(NotSent::declared);
                    continue;
                }
                Err(OpenError::Rejected { status, message }) => {
                    return Err(Failure::not_run(
                        NotSent::declared(),
                        Reason::new(status, "invalid_request", message),
                    ));
                }
            };
            let mut progress = Progress::new(job.dispatch.generation, 0, job.gap, began);
            if reader.accepted(job.dispatch.generation, &slot).await == Delivery::Gone {
                self.engine.cancel(slot.addr(), job.dispatch.generation).await;
                return Ok(End::ReaderGone);
            }
            let addr = slot.addr();
            match self.carry(&job, slot, Some(stream), &mut progress, reader).await {
                Some(end) => return Ok(end),
                None if reader.may_restart() => {
                    reader.restart();
                    self.cancel_later(progress.generation, addr);
                }
                None => return Err(cut()),
            }
        }
        let reason = Reason::new(
            503,
            "replicas_failing",
            "the replicas tried did not answer; send the request again later",
        )
        .retry_after(1_000);
        Err(lost(proof, reason))
    }

    /// Goes on with a generation that another daemon may have begun.
    pub async fn resume(
        &self,
        job: Job,
        slot: Slot,
        after: u32,
        reader: &mut dyn Reader,
    ) -> Result<End, Failure> {
        let mut progress = Progress::new(job.dispatch.generation, after, job.gap, time::now());
        self.carry(&job, slot, None, &mut progress, reader).await.ok_or_else(cut)
    }

    /// Follows a generation to its end, resuming it at its replica; `None` where it is lost.
    async fn carry(
        &self,
        job: &Job,
        mut slot: Slot,
        mut open: Option<OpenStream>,
        progress: &mut Progress,
        reader: &mut dyn Reader,
    ) -> Option<End> {
        loop {
            let stream = match open.take() {
                Some(stream) => stream,
                None => {
                    // One that can start over elsewhere need not wait long for a dead replica.
                    let share = if reader.may_restart() { RESTART_SHARE } else { 1 };
                    self.reopen(job.resume / share, &slot, progress).await?
                }
            };
            reader.opened();
            match self.follow(job, &mut slot, stream, progress, reader).await {
                Followed::Finished(finish) => {
                    slot.complete(finish.output_tokens);
                    return Some(End::Complete(finish));
                }
                Followed::Gone => return Some(End::ReaderGone),
                Followed::Broken => slot.interrupted(),
                Followed::Paused => {
                    slot.interrupted();
                    if self.pause(&mut slot, progress, reader).await == Delivery::Gone {
                        return Some(End::ReaderGone);
                    }
                }
            }
        }
    }

    /// Ends a generation that was given up, in case its replica comes back with it.
    fn cancel_later(&self, generation: GenerationId, addr: SocketAddr) {
        let engine = self.engine.clone();
        tokio::spawn(async move { engine.cancel(addr, generation).await });
    }

    async fn reopen(
        &self,
        limit: Duration,
        slot: &Slot,
        progress: &Progress,
    ) -> Option<OpenStream> {
        let until = time::now() + limit;
        let mut backoff = FIRST_BACKOFF;
        self.metrics.resumes.inc();
        loop {
            match self.engine.resume(slot.addr(), progress.generation, progress.delivered).await {
                Ok(stream) => return Some(stream),
                Err(ResumeError::Gone) => return None,
                Err(ResumeError::Unreachable) if time::now() >= until => {
                    slot.failed(time::now());
                    return None;
                }
                Err(ResumeError::Unreachable) => sleep(backoff).await,
            }
            backoff = (backoff * 2).min(LONGEST_BACKOFF);
        }
    }

    async fn follow(
        &self,
        job: &Job,
        slot: &mut Slot,
        mut stream: OpenStream,
        progress: &mut Progress,
        reader: &mut dyn Reader,
    ) -> Followed {
        let mut gone = reader.gone();
        loop {
            let event = tokio::select! {
                event = timeout(job.silence, stream.next()) => event,
                signal = slot.signalled() => match signal {
                    Signal::Pause => return Followed::Paused,
                    Signal::Run => continue,
                },
                () = &mut gone => return Followed::Gone,
            };
            match event {
                Ok(Ok(Some(EngineEvent::Accepted { cached }))) => {
                    slot.accepted(job.ask.prefix, cached)
                }
                Ok(Ok(Some(EngineEvent::Token(token)))) => match self.check(&token, progress) {
                    Checked::Next => {
                        if reader.token(&token).await == Delivery::Gone {
                            return Followed::Gone;
                        }
                        let now = time::now();
                        progress.delivered = token.index;
                        progress.saw_token(&self.metrics, now);
                        slot.token(token.index, now);
                        self.metrics.tokens.inc();
                    }
                    Checked::Drop => {}
                    Checked::Resume => return Followed::Broken,
                },
                Ok(Ok(Some(EngineEvent::Finished(finish))))
                    if finish.output_tokens == progress.delivered =>
                {
                    return Followed::Finished(finish);
                }
                // Finished with tokens missing, ended without its proper end, broken or silent.
                _ => return Followed::Broken,
            }
        }
    }

    fn check(&self, token: &Token, progress: &Progress) -> Checked {
        if token.generation != progress.generation {
            self.metrics.foreign.inc();
            return Checked::Resume;
        }
        if token.index <= progress.delivered {
            self.metrics.duplicates.inc();
            return Checked::Drop;
        }
        if token.index > progress.delivered + 1 {
            self.metrics.gaps.inc();
            return Checked::Resume;
        }
        Checked::Next
    }

    async fn pause(&self, slot: &mut Slot, progress: &Progress, reader: &dyn Reader) -> Delivery {
        self.engine.pause(slot.addr(), progress.generation).await;
        let mut gone = reader.gone();
        loop {
            tokio::select! {
                signal = slot.signalled() => if signal == Signal::Run { return Delivery::Taken },
                () = &mut gone => return Delivery::Gone,
            }
        }
    }
}

enum Checked {
    Next,
    Drop,
    Resume,
}

fn lost(proof: Option<NotSent>, reason: Reason) -> Failure {
    match proof {
        Some(proof) => Failure::not_run(proof, reason),
        None => Failure::unknown(reason),
    }
}

fn cut() -> Failure {
    let message = "the generation was lost at its engine after tokens were delivered; send the request again for a new answer";
    Failure::Cut { reason: Reason::new(502, "cut", message) }
}
