//! Moves a running generation away from a server that is about to leave.
//!
//! The run's memory is copied while it runs. Then the run is stopped and what it has added since is copied.
//! The pause that the caller sees is this last copy and one round trip, provided that no other copy is queued
//! before it on the server's link. Runs are therefore moved one after another: a daemon waits for the daemons
//! that rank before it, judging by the memory that they report to have left at the server.

use crate::gateway::budget::RetryKind;
use crate::gateway::core::Gateway;
use crate::gateway::port::{Copied, NotCopied, RunCopy};
use crate::gateway::request::Call;
use crate::gateway::slot::{Placement, Slot};
use crate::gateway::table::{Engine, Service};
use crate::time;
use log::info;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};

/// Delay before a copy is requested again if the server was busy with another copy or had not begun the run.
const RETRY_PAUSE: Duration = Duration::from_millis(25);
/// If an incremental copy takes no longer than this, the links are idle enough: the run can be stopped for
/// the last copy, and its caller sees a pause of about this length.
const QUIET_COPY_TIME: Duration = Duration::from_millis(70);
/// Time after the server's notice at which a run is stopped even on busy links. A server is gone 1.5 s after
/// it gives notice, sometimes a little later.
const STOP_AFTER: Duration = Duration::from_millis(1_250);
/// Factor by which a copy may take longer than the link's bandwidth suggests: up to 2 to other halls, plus
/// some time for each exchange.
const COPY_SLACK: f64 = 2.2;
/// Longest time for the last copy of a run, from the order to stop it.
const LAST_COPY_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long an order to stop that is repeated may take: the copy is made already if the run was stopped.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between checks of how much memory other daemons' runs still have at a server.
const POLL_INTERVAL: Duration = Duration::from_millis(4);
/// Maximum number of tries of one copy that is refused for a temporary reason.
const MAX_TRIES: u32 = 12;

/// The outcome of a move.
pub(crate) enum MoveOutcome {
    /// The run was stopped, and all its memory is at the slot's server.
    Stopped {
        /// The last copy.
        copy: HeldCopy,
        /// The slot at the server that holds it.
        slot: Box<Slot>,
    },
    /// The run was stopped, and its memory is only at the server it ran on.
    KeptAtSource(HeldCopy),
    /// The run was not stopped, for this reason.
    NotMoved(&'static str),
    /// The run has ended or was stopped, and its server doesn't know it any more.
    Gone {
        /// The last copy that was made while it ran.
        copy: HeldCopy,
        /// The slot at the server that holds it.
        slot: Box<Slot>,
    },
    /// The run may have been stopped: the order was not answered, or not conclusively.
    Unconfirmed(Box<UnconfirmedStop>),
}

/// Moves a run to another server. `stopping` is set right before the run is told to stop.
pub(crate) async fn move_run(
    gateway: Arc<Gateway>,
    call: Arc<Call>,
    service: Arc<Service>,
    source: Placement,
    stopping: Arc<AtomicBool>,
) -> MoveOutcome {
    let started = time::now();
    let permits = gateway.move_permit(source.key);
    let _permit = permits.acquire().await;
    wait_for_others(&gateway, &service, &source).await;
    if !gateway.allows_retry(&service.name, RetryKind::Continuation, time::now()) {
        return MoveOutcome::NotMoved("no_repeat_left");
    }
    let mut refused = vec![source.key];
    let (slot, mut copy) = loop {
        let now = time::now();
        let Some(mut slot) = gateway.slot_for_copy(&service, &call, &source, &refused, now) else {
            return MoveOutcome::NotMoved("no_server");
        };
        let copier = Copier { gateway: &gateway, run: &call.id, from: &source, to: &slot };
        match copier.copy_until_quiet(started).await {
            Ok(copy) => {
                slot.record_copy_done();
                break (slot, copy);
            }
            Err(NotCopied::NoRoom(_)) => refused.push(slot.key()),
            Err(_) => return MoveOutcome::NotMoved("copy_refused"),
        }
    };
    // Copying may have taken a second, and a stopped run must be able to continue somewhere.
    if !gateway.servers().accepts_in_flight(slot.key(), time::now()) {
        return MoveOutcome::NotMoved("target_rests");
    }
    // The budget is charged only now, as only a run that continues elsewhere counts as a repeat. Other runs
    // may have used up the budget meanwhile.
    if !gateway.spend_retry(&service.name, RetryKind::Continuation, time::now()) {
        return MoveOutcome::NotMoved("no_repeat_left");
    }
    stopping.store(true, Ordering::Relaxed);
    let copier = Copier { gateway: &gateway, run: &call.id, from: &source, to: &slot };
    match timeout(LAST_COPY_TIMEOUT, copier.copy(true)).await {
        Ok(Err(NotCopied::NoRun)) => MoveOutcome::NotMoved("no_run"),
        Ok(Ok(copied)) => {
            copy.renew(copied.handle);
            MoveOutcome::Stopped { copy, slot: Box::new(slot) }
        }
        Ok(Err(NotCopied::NoRoom(Some(handle)))) => {
            copy.renew(handle);
            MoveOutcome::KeptAtSource(copy)
        }
        Ok(Err(_)) | Err(_) => MoveOutcome::Unconfirmed(Box::new(UnconfirmedStop {
            gateway,
            call,
            source,
            slot,
            copy,
        })),
    }
}

/// A run that may have been stopped, with the copy of its memory that was made before.
pub(crate) struct UnconfirmedStop {
    gateway: Arc<Gateway>,
    call: Arc<Call>,
    source: Placement,
    slot: Slot,
    copy: HeldCopy,
}

impl UnconfirmedStop {
    /// Replaces an earlier order whose copy may be the same.
    pub(crate) fn supersede(&self, earlier: Option<Box<UnconfirmedStop>>) {
        if let Some(earlier) = earlier {
            earlier.leave_to(&self.copy);
        }
    }

    /// Drops the order, and frees its copy unless `other` is the same one.
    pub(crate) fn leave_to(mut self, other: &HeldCopy) {
        self.copy.leave_to(other);
    }

    /// Orders the stop again after the run's stream has ended, which a server that has stopped it may answer with the same
    /// copy. If it doesn't, the run goes on from the copy made before. A server that doesn't know the run any more may
    /// have stopped it, or the run had ended.
    pub(crate) async fn confirm(self) -> MoveOutcome {
        let UnconfirmedStop { gateway, call, source, slot, mut copy } = self;
        let copier = Copier { gateway: &gateway, run: &call.id, from: &source, to: &slot };
        match timeout(CONFIRM_TIMEOUT, copier.copy_once(true)).await {
            Ok(Err(NotCopied::NoRun)) => {
                return MoveOutcome::Gone { copy, slot: Box::new(slot) };
            }
            Ok(Err(NotCopied::NoRoom(Some(handle)))) => {
                copy.renew(handle);
                return MoveOutcome::KeptAtSource(copy);
            }
            Ok(Ok(copied)) => copy.renew(copied.handle),
            Ok(Err(_)) | Err(_) => {}
        }
        MoveOutcome::Stopped { copy, slot: Box::new(slot) }
    }
}

/// A copy of a run's memory. It is freed on drop unless the run has gone on from it.
pub(crate) struct HeldCopy {
    gateway: Arc<Gateway>,
    /// The copy to free; `None` once it is used.
    copy: Option<RunCopy>,
}

impl HeldCopy {
    fn new(gateway: &Arc<Gateway>, server: SocketAddr, handle: String) -> HeldCopy {
        HeldCopy { gateway: gateway.clone(), copy: Some(RunCopy { server, handle }) }
    }

    /// Where to continue from; `None` once the copy is used.
    pub(crate) fn get(&self) -> Option<&RunCopy> {
        self.copy.as_ref()
    }

    /// The run has gone on from the copy, which its server frees itself.
    pub(crate) fn mark_used(&mut self) {
        self.copy = None;
    }

    /// Forgets the copy if `other` is the same one, so that it is freed with `other`.
    pub(crate) fn leave_to(&mut self, other: &HeldCopy) {
        if self.copy == other.copy {
            self.copy = None;
        }
    }

    /// A later copy of the same run.
    fn renew(&mut self, handle: String) {
        if let Some(copy) = &mut self.copy {
            copy.handle = handle;
        }
    }
}

impl Drop for HeldCopy {
    fn drop(&mut self) {
        if let Some(copy) = self.copy.take() {
            let gateway = self.gateway.clone();
            tokio::spawn(async move { gateway.wire.free(copy.server, &copy.handle).await });
        }
    }
}

/// Waits until the daemons that rank before this one have moved their runs away from the server, or until
/// they make no progress for the time that this should take.
async fn wait_for_others(gateway: &Gateway, service: &Service, source: &Placement) {
    let Some(engine) = &service.engine else {
        return;
    };
    let (mut progress_at, mut least) = (time::now(), u32::MAX);
    loop {
        let ahead = gateway.higher_ranked_load(source.key, time::now()).non_repeatable;
        if ahead < least {
            (progress_at, least) = (time::now(), ahead);
        }
        if ahead == 0 || time::since(progress_at) >= copy_time(ahead, engine) {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Time to copy the memory of this many tokens, allowing for copies to other halls.
fn copy_time(tokens: u32, engine: &Engine) -> Duration {
    let bits = f64::from(tokens) * engine.token_bytes as f64 * 8.0;
    Duration::from_secs_f64(bits / (engine.link_mbps.max(1.0) * 1e6) * COPY_SLACK)
}

/// Copies one run's memory to one server.
struct Copier<'a> {
    gateway: &'a Arc<Gateway>,
    run: &'a str,
    from: &'a Placement,
    to: &'a Slot,
}

impl Copier<'_> {
    /// Copies while the run continues, until a copy is fast enough (see [`QUIET_COPY_TIME`]) or time is
    /// short.
    async fn copy_until_quiet(&self, started: Instant) -> Result<HeldCopy, NotCopied> {
        let mut began = time::now();
        let handle = self.copy(false).await?.handle;
        let mut held = HeldCopy::new(self.gateway, self.from.destination.addr, handle);
        while time::since(began) > QUIET_COPY_TIME && time::since(started) < STOP_AFTER {
            began = time::now();
            held.renew(self.copy(false).await?.handle);
        }
        Ok(held)
    }

    /// Makes one copy, without another try. With `stop_run`, the run is stopped first.
    async fn copy_once(&self, stop_run: bool) -> Result<Copied, NotCopied> {
        let (asked, target) = (time::now(), self.to.place.destination.addr);
        let (from, wire) = (self.from.destination.addr, &self.gateway.wire);
        let answer = wire.copy(from, self.run, target, stop_run).await;
        self.gateway.handle_remarks(self.from.key, &answer.remarks, asked);
        answer.outcome
    }

    /// Makes one copy, retrying after temporary refusals. With `stop_run`, the run is stopped first.
    async fn copy(&self, stop_run: bool) -> Result<Copied, NotCopied> {
        let began = time::now();
        let mut tries = 0;
        let result = loop {
            tries += 1;
            match self.copy_once(stop_run).await {
                Err(NotCopied::Busy | NotCopied::NoRun) if tries < MAX_TRIES => {
                    sleep(RETRY_PAUSE).await
                }
                result => break result,
            }
        };
        let ms = time::since(began).as_millis() as u64;
        let outcome = result.as_ref().map_or_else(|e| format!("{e:?}"), |_| "made".into());
        info!(id = self.run, to = self.to.id(), last = stop_run, ms = ms, outcome = outcome.as_str(); "copy of a run");
        result
    }
}
