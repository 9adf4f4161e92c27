//! A place of one stream at a replica.

use crate::grant::Grant;
use crate::pool::{Placement, Pool};
use crate::replica::Signal;
use crate::time;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

/// A place held for one stream; dropping it gives the place back.
pub struct Slot {
    pool: Arc<Pool>,
    placement: Placement,
    last_token: Option<Instant>,
    grant: Option<Grant>,
}

impl Slot {
    pub(crate) fn new(pool: Arc<Pool>, placement: Placement, grant: Option<Grant>) -> Slot {
        Slot { pool, placement, last_token: None, grant }
    }

    /// The replica's address.
    pub fn addr(&self) -> SocketAddr {
        self.placement.addr
    }

    /// Waits until the policy wants something else.
    pub async fn signalled(&mut self) -> Signal {
        if let Some(grant) = &mut self.grant {
            return grant.signalled().await;
        }
        if self.placement.signal.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
        *self.placement.signal.borrow_and_update()
    }

    /// The engine has taken the generation and found `cached` prompt tokens.
    pub fn accepted(&mut self, prefix: Option<u64>, cached: u32) {
        let mut state = self.pool.lock();
        let r = &mut state.replicas[self.placement.replica];
        r.health.succeeded();
        if let Some(prefix) = prefix.filter(|_| cached == 0) {
            // It was not there; it is from now on.
            r.forget(prefix);
            r.remember(prefix);
        }
    }

    /// One token came.
    pub fn token(&mut self, index: u32, now: Instant) {
        let mut state = self.pool.lock();
        state.made_since += 1;
        if let Some(s) = state.streams.get_mut(self.placement.stream) {
            s.made = index;
        }
        if let Some(last) = self.last_token {
            state.replicas[self.placement.replica].saw_gap(now.duration_since(last));
        }
        self.last_token = Some(now);
    }

    /// The stream was interrupted; the next gap says nothing about the replica.
    pub fn interrupted(&mut self) {
        self.last_token = None;
    }

    /// The generation ended properly after `tokens`.
    pub fn complete(mut self, tokens: u32) {
        if let Some(grant) = self.grant.take() {
            grant.complete(tokens);
        }
        let mut state = self.pool.lock();
        state.retries.succeeded();
        state.replicas[self.placement.replica].health.succeeded();
        if let Some(lengths) = state.streams.get(self.placement.stream).map(|s| s.lengths.clone()) {
            state.forecasts.record(&lengths, tokens);
        }
    }

    /// The replica failed.
    pub fn failed(&self, now: Instant) {
        self.pool.lock().replicas[self.placement.replica].health.failed(now);
    }

    /// The replica says that it is leaving.
    pub fn leaving(&self) {
        self.pool.lock().replicas[self.placement.replica].leaving = true;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = time::now();
        let mut state = self.pool.lock();
        state.end(self.placement.stream, now);
        state.pump(&self.pool.metrics, now);
    }
}
