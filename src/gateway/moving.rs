//! Carrying a running generation over from a server that is about to leave.
//!
//! Its memory is copied while it runs; then it is stopped, and the little that is new is copied.
//! The pause that its caller sees is this last copy and one round trip.

use crate::gateway::budget::Repeat;
use crate::gateway::core::{Gateway, Seat};
use crate::gateway::port::{Copied, Destination, KeptRun, NotCopied};
use crate::gateway::request::Call;
use crate::gateway::servers::ServerKey;
use crate::gateway::table::Service;
use log::info;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Pause before a copy is asked for again where the server was busy with it or had not begun the run.
const AGAIN: Duration = Duration::from_millis(25);
/// A copy of what is new that takes no longer finds the links quiet: the run can be stopped for the
/// last copy, and its caller sees about such a pause.
const QUIET: Duration = Duration::from_millis(70);
/// Time after the notice at which a run is stopped even on busy links. A server is gone 1.5 s after
/// it gives notice, sometimes a little later.
const STOP_BY: Duration = Duration::from_millis(1_250);
/// Tries of one copy that is refused for such a passing reason.
const MOST_TRIES: u32 = 12;

/// Where a run lives now.
pub(crate) struct Source {
    /// The server.
    pub to: Destination,
    /// Its hall.
    pub hall: String,
    /// Its key.
    pub key: ServerKey,
}

/// What a move came to.
pub(crate) enum Moved {
    /// The run was stopped and its memory is whole at the server of the seat.
    Stopped {
        /// The copy.
        kept: KeptRun,
        /// The server that holds it.
        seat: Seat,
    },
    /// The run was stopped, and only its own server holds its memory.
    SourceKeeps(KeptRun),
    /// The run goes on where it is.
    NotMoved(&'static str),
}

/// Moves a run to another server. `stopping` turns true right before the run is told to stop.
pub(crate) async fn move_run(
    gateway: Arc<Gateway>,
    call: Arc<Call>,
    service: Arc<Service>,
    source: Source,
    stopping: Arc<AtomicBool>,
) -> Moved {
    let noticed = Instant::now();
    if !gateway.take_repeat(&service.name, Repeat::Continuation, noticed) {
        return Moved::NotMoved("no_repeat_left");
    }
    let mut refused = vec![source.key];
    let seat = loop {
        let now = Instant::now();
        let tokens = call.size.tokens();
        let Some(seat) = gateway.seat_for_copy(&service, &source.hall, tokens, &refused, now)
        else {
            return Moved::NotMoved("no_server");
        };
        let copier = Copier { gateway: &gateway, run: &call.id, from: source.to.addr, to: &seat };
        match copier.copy_until_quiet(noticed).await {
            Ok(()) => break seat,
            Err(NotCopied::NoRoom(_)) => refused.push(seat.key()),
            Err(_) => return Moved::NotMoved("copy_refused"),
        }
    };
    stopping.store(true, Ordering::Relaxed);
    let copier = Copier { gateway: &gateway, run: &call.id, from: source.to.addr, to: &seat };
    let kept = |handle| KeptRun { server: source.to.addr, handle };
    match copier.copy(true).await {
        Ok(copied) => Moved::Stopped { kept: kept(copied.handle), seat },
        Err(NotCopied::NoRoom(Some(handle))) => Moved::SourceKeeps(kept(handle)),
        Err(_) => Moved::NotMoved("last_copy"),
    }
}

/// Copies of one run to one server.
struct Copier<'a> {
    gateway: &'a Gateway,
    run: &'a str,
    from: std::net::SocketAddr,
    to: &'a Seat,
}

impl Copier<'_> {
    /// Copies while the run goes on, until a copy finds the links quiet or time is short.
    async fn copy_until_quiet(&self, noticed: Instant) -> Result<(), NotCopied> {
        loop {
            let began = Instant::now();
            self.copy(false).await?;
            if began.elapsed() <= QUIET || noticed.elapsed() >= STOP_BY {
                return Ok(());
            }
        }
    }

    /// One copy; passing refusals are waited out.
    async fn copy(&self, last: bool) -> Result<Copied, NotCopied> {
        let began = Instant::now();
        let mut tries = 0;
        let copied = loop {
            tries += 1;
            let copied = self.gateway.wire.copy(self.from, self.run, self.to.to.addr, last).await;
            match copied {
                Err(NotCopied::Busy | NotCopied::NoRun) if tries < MOST_TRIES => sleep(AGAIN).await,
                copied => break copied,
            }
        };
        let ms = began.elapsed().as_millis() as u64;
        let outcome = copied.as_ref().map_or_else(|e| format!("{e:?}"), |_| "made".into());
        info!(id = self.run, to = &*self.to.to.id, last = last, ms = ms, outcome = outcome.as_str(); "copy of a run");
        copied
    }
}
