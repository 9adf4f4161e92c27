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
use log::debug;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Pause before a copy is asked for again where the server was busy with it or had not begun the run.
const AGAIN: Duration = Duration::from_millis(25);
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
    let now = Instant::now();
    let tokens = call.size.tokens();
    let Some(seat) = gateway.seat(&service, &source.hall, tokens, &[source.key], now) else {
        return Moved::NotMoved("no_server");
    };
    if !gateway.take_repeat(&service.name, Repeat::Continuation, now) {
        return Moved::NotMoved("no_repeat_left");
    }
    let copier = Copier { gateway: &gateway, run: &call.id, from: source.to.addr, to: &seat };
    if let Err(refused) = copier.copy(false).await {
        debug!(id = call.id.as_str(), to = &*seat.to.id; "first copy refused: {refused:?}");
        return Moved::NotMoved("first_copy");
    }
    stopping.store(true, Ordering::Relaxed);
    let kept = |handle| KeptRun { server: source.to.addr, handle };
    match copier.copy(true).await {
        Ok(copied) => Moved::Stopped { kept: kept(copied.handle), seat },
        Err(NotCopied::NoRoom(Some(handle))) => Moved::SourceKeeps(kept(handle)),
        Err(refused) => {
            debug!(id = call.id.as_str(), to = &*seat.to.id; "last copy refused: {refused:?}");
            Moved::NotMoved("last_copy")
        }
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
    /// One copy; passing refusals are waited out.
    async fn copy(&self, last: bool) -> Result<Copied, NotCopied> {
        let mut tries = 0;
        loop {
            tries += 1;
            let copied = self.gateway.wire.copy(self.from, self.run, self.to.to.addr, last).await;
            match copied {
                Err(NotCopied::Busy | NotCopied::NoRun) if tries < MOST_TRIES => sleep(AGAIN).await,
                copied => return copied,
            }
        }
    }
}
