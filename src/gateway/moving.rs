//! Carrying a running generation over from a server that is about to leave.
//!
//! Its memory is copied while it runs; then it is stopped, and the little that is new is copied.
//! The pause that its caller sees is this last copy and one round trip, as long as no other copy
//! lies before it on the server's link. So runs are moved one after the other: a daemon waits for
//! those that rank before it, by what they say they still have there.

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
use tokio::time::sleep;

/// Pause before a copy is asked for again where the server was busy with it or had not begun the run.
const RETRY_PAUSE: Duration = Duration::from_millis(25);
/// A copy of what is new that takes no longer finds the links quiet: the run can be stopped for the
/// last copy, and its caller sees about such a pause.
const QUIET_COPY_TIME: Duration = Duration::from_millis(70);
/// Time after the notice at which a run is stopped even on busy links. A server is gone 1.5 s after
/// it gives notice, sometimes a little later.
const STOP_AFTER: Duration = Duration::from_millis(1_250);
/// Copies take up to this many times as long as the link's bandwidth says: twice to other halls, and
/// a little for each exchange.
const COPY_SLACK: f64 = 2.2;
/// Time between two looks at what other daemons still have at a server.
const POLL_INTERVAL: Duration = Duration::from_millis(4);
/// Tries of one copy that is refused for such a passing reason.
const MAX_TRIES: u32 = 12;

/// What a move came to.
pub(crate) enum MoveOutcome {
    /// The run was stopped and its memory is whole at the server of the slot.
    Stopped {
        /// The copy.
        kept: RunCopy,
        /// The server that holds it.
        slot: Box<Slot>,
    },
    /// The run was stopped, and only its own server holds its memory.
    KeptAtSource(RunCopy),
    /// The run goes on where it is.
    NotMoved(&'static str),
}

/// Moves a run to another server. `stopping` turns true right before the run is told to stop.
pub(crate) async fn move_run(
    gateway: Arc<Gateway>,
    call: Arc<Call>,
    service: Arc<Service>,
    source: Placement,
    stopping: Arc<AtomicBool>,
) -> MoveOutcome {
    let noticed = time::now();
    let turn = gateway.move_permit(source.key);
    let _turn = turn.acquire().await;
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
        match copier.copy_until_quiet(noticed).await {
            Ok(copy) => {
                slot.record_copy_done();
                break (slot, copy);
            }
            Err(NotCopied::NoRoom(_)) => refused.push(slot.key()),
            Err(_) => return MoveOutcome::NotMoved("copy_refused"),
        }
    };
    // Copies may have taken a second, and a run that has stopped must go on somewhere.
    if !gateway.servers().accepts_in_flight(slot.key(), time::now()) {
        return MoveOutcome::NotMoved("target_rests");
    }
    // Only what goes on elsewhere is a repeat, and other runs may have spent the last one meanwhile.
    if !gateway.spend_retry(&service.name, RetryKind::Continuation, time::now()) {
        return MoveOutcome::NotMoved("no_repeat_left");
    }
    stopping.store(true, Ordering::Relaxed);
    let copier = Copier { gateway: &gateway, run: &call.id, from: &source, to: &slot };
    let kept = |handle| RunCopy { server: source.destination.addr, handle };
    match copier.copy(true).await {
        Ok(copied) => {
            copy.handle = None;
            MoveOutcome::Stopped { kept: kept(copied.handle), slot: Box::new(slot) }
        }
        Err(NotCopied::NoRoom(Some(handle))) => {
            copy.handle = None;
            MoveOutcome::KeptAtSource(kept(handle))
        }
        Err(_) => MoveOutcome::NotMoved("last_copy"),
    }
}

/// A copy that was made ahead; it is freed where nothing comes of the move.
struct PreCopy {
    gateway: Arc<Gateway>,
    from: SocketAddr,
    /// `None` once it is needed.
    handle: Option<String>,
}

impl Drop for PreCopy {
    fn drop(&mut self) {
        if let Some(handle) = self.handle.take() {
            let (gateway, from) = (self.gateway.clone(), self.from);
            tokio::spawn(async move { gateway.wire.free(from, &handle).await });
        }
    }
}

/// Waits until the daemons that rank before this one have moved their runs away from the server, or
/// until that should have been done.
async fn wait_for_others(gateway: &Gateway, service: &Service, source: &Placement) {
    let Some(engine) = &service.engine else {
        return;
    };
    let (mut since, mut before) = (time::now(), u32::MAX);
    loop {
        let ahead = gateway.higher_ranked_load(source.key, time::now()).non_repeatable;
        if ahead < before {
            (since, before) = (time::now(), ahead);
        }
        if ahead == 0 || time::since(since) >= copy_time(ahead, engine) {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Time to copy so many tokens, with time for those that go to other halls.
fn copy_time(tokens: u32, engine: &Engine) -> Duration {
    let bits = f64::from(tokens) * engine.token_bytes as f64 * 8.0;
    Duration::from_secs_f64(bits / (engine.link_mbps.max(1.0) * 1e6) * COPY_SLACK)
}

/// Copies of one run to one server.
struct Copier<'a> {
    gateway: &'a Arc<Gateway>,
    run: &'a str,
    from: &'a Placement,
    to: &'a Slot,
}

impl Copier<'_> {
    /// Copies while the run goes on, until a copy finds the links quiet or time is short.
    async fn copy_until_quiet(&self, noticed: Instant) -> Result<PreCopy, NotCopied> {
        let mut ahead = PreCopy {
            gateway: self.gateway.clone(),
            from: self.from.destination.addr,
            handle: None,
        };
        loop {
            let began = time::now();
            ahead.handle = Some(self.copy(false).await?.handle);
            if time::since(began) <= QUIET_COPY_TIME || time::since(noticed) >= STOP_AFTER {
                return Ok(ahead);
            }
        }
    }

    /// One copy; passing refusals are waited out.
    async fn copy(&self, last: bool) -> Result<Copied, NotCopied> {
        let began = time::now();
        let mut tries = 0;
        let copied = loop {
            tries += 1;
            let (asked, target) = (time::now(), self.to.place.destination.addr);
            let answer =
                self.gateway.wire.copy(self.from.destination.addr, self.run, target, last).await;
            self.gateway.handle_remarks(self.from.key, &answer.remarks, asked);
            match answer.outcome {
                Err(NotCopied::Busy | NotCopied::NoRun) if tries < MAX_TRIES => {
                    sleep(RETRY_PAUSE).await
                }
                copied => break copied,
            }
        };
        let ms = time::since(began).as_millis() as u64;
        let outcome = copied.as_ref().map_or_else(|e| format!("{e:?}"), |_| "made".into());
        info!(id = self.run, to = self.to.id(), last = last, ms = ms, outcome = outcome.as_str(); "copy of a run");
        copied
    }
}
