//! Fetches the changes that this daemon's copy of the store lacks from peers.
//!
//! Small values come first and by themselves. Large ones come as chunks, a batch at a time and each from any peer of
//! the cell that has the value: a slow peer delays one batch only, and chunks that have arrived are kept if the
//! transfer ends or a further version follows.

use super::Cluster;
use super::awaited::Transfer;
use crate::gateway::chunks::{ChunkId, Packed};
use crate::gateway::clock::minus_millis;
use crate::gateway::heartbeat::Request;
use crate::gateway::update::{Content, Missing, Update};
use crate::peer::NoAnswer;
use crate::platform::Position;
use crate::time;
use log::warn;
use rand::seq::IteratorRandom;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// Timeout for a peer to start sending the missing changes, and for each gap within the transfer. A
/// complete copy takes as long as the links need.
const FETCH_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout for a batch of chunks. The whole cell may ask a peer on a narrow link at once.
const BATCH_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Number of chunks in a batch: some 50 KB, half of the smallest VM's link for a tenth of a second.
const BATCH_CHUNKS: usize = 48;
/// Batches in a row that brought nothing after which the transfer is given up, until the next heartbeat tells
/// of a peer that is ahead.
const MAX_EMPTY_BATCHES: u32 = 3;

impl Cluster {
    /// Fetches the missing changes from a peer, unless that is already under way.
    pub(super) fn start_fetch(self: &Arc<Self>, from: SocketAddr, missing: Missing) {
        match missing {
            Missing::Nothing => {}
            Missing::LargeValues => self.start_large_fetch(from),
            Missing::Changes => {
                if !self.fetching.swap(true, Ordering::AcqRel) {
                    tokio::spawn(self.clone().fetch_changes(from));
                }
            }
        }
    }

    fn start_large_fetch(self: &Arc<Self>, from: SocketAddr) {
        if !self.fetching_large.swap(true, Ordering::AcqRel) {
            tokio::spawn(self.clone().fetch_large_values(from));
        }
    }

    async fn fetch_changes(self: Arc<Self>, from: SocketAddr) {
        let after = self.mirror.position();
        let complete = self.fetch_update(from, Request::ChangesAfter(after)).await;
        self.fetching.store(false, Ordering::Release);
        if complete == Some(false) {
            self.start_large_fetch(from);
        }
    }

    async fn fetch_large_values(self: Arc<Self>, from: SocketAddr) {
        let after = self.mirror.position();
        self.fetch_update(from, Request::ChunkedAfter(after)).await;
        self.fetching_large.store(false, Ordering::Release);
    }

    /// Fetches an update from a peer and applies it. Returns whether all changes were applied, or `None` if the peer
    /// sent nothing.
    async fn fetch_update(self: &Arc<Self>, from: SocketAddr, request: Request) -> Option<bool> {
        let asked = time::now();
        let limits = (FETCH_TIMEOUT, FETCH_TIMEOUT);
        let transfer = Transfer { peer: from, since: asked, received: 0, total: 0 };
        let answer = self.receive_from::<Option<Update>>(transfer, &request, limits).await;
        let Ok(received) = answer else {
            warn!(peer = from.to_string().as_str(); "peer did not send the missing changes");
            return None;
        };
        let update = received?;
        // Nothing can have been confirmed before this process's clock started.
        let confirmed_at = minus_millis(asked, update.copy_status.age_ms)
            .unwrap_or_else(|| self.view().clock().started());
        if !update.is_chunked() {
            return Some(self.apply_update(update, confirmed_at));
        }
        self.apply_update(update.without_chunked(), confirmed_at);
        match self.fetch_chunks(from, update).await {
            Some(assembled) => Some(self.apply_update(assembled, confirmed_at)),
            None => {
                warn!(peer = from.to_string().as_str(); "peers did not send all chunks of a large value");
                Some(false)
            }
        }
    }

    /// Applies an update. Returns whether it holds all changes.
    fn apply_update(&self, update: Update, confirmed_at: Instant) -> bool {
        let complete = update.complete;
        self.mirror.apply(update, confirmed_at, time::now());
        if complete {
            *self.behind_since.lock().expect("no holder panics") = None;
        }
        complete
    }

    /// Fetches the chunks of an update's large values and puts the values together; `None` if peers don't send
    /// them.
    async fn fetch_chunks(
        self: &Arc<Self>,
        from: SocketAddr,
        mut update: Update,
    ) -> Option<Update> {
        self.mirror.prepare_for(&update, time::now());
        let position = update.copy_status.position;
        let total = update.contents().map(|(_, content)| chunked_bytes(content)).sum();
        let (mut received, mut empty) = (0, 0);
        loop {
            let missing = self.mirror.assemble(&mut update);
            if missing.is_empty() {
                return Some(update);
            }
            for batch in missing.chunks(BATCH_CHUNKS) {
                let peer = self.chunk_source(from, position, time::now());
                let transfer = Transfer { peer, since: time::now(), received, total };
                let (added, bytes) = self.fetch_batch(transfer, batch).await;
                received += bytes;
                empty = if added == 0 { empty + 1 } else { 0 };
                if empty == MAX_EMPTY_BATCHES {
                    return None;
                }
            }
        }
    }

    /// Fetches chunks from a peer. Returns the number that were new, and their size before they were unpacked.
    async fn fetch_batch(self: &Arc<Self>, transfer: Transfer, ids: &[ChunkId]) -> (usize, usize) {
        let request = Request::Chunks(ids.to_vec());
        let limits = (BATCH_TIMEOUT, BATCH_TIMEOUT);
        let answer = self.receive_from::<Packed>(transfer, &request, limits);
        match timeout(BATCH_TIMEOUT, answer).await {
            Ok(Ok(packed)) => (self.mirror.add_chunks(&packed), packed.bytes()),
            _ => (0, 0),
        }
    }

    /// Asks a peer and waits for its answer, which may be large.
    async fn receive_from<A: DeserializeOwned>(
        self: &Arc<Self>,
        transfer: Transfer,
        request: &Request,
        limits: (Duration, Duration),
    ) -> Result<A, NoAnswer> {
        self.awaited().transfer = Some(transfer);
        let progress = |received, total| {
            let total = transfer.total.max(total);
            let received = transfer.received + received;
            self.awaited().transfer = Some(Transfer { received, total, ..transfer });
            // While a peer is sending, the store is not read.
            let mut behind = self.behind_since.lock().expect("no holder panics");
            *behind = behind.map(|_| time::now());
        };
        let handler = self.handler();
        let answer = self.links.ask_large(transfer.peer, request, limits, &handler, progress).await;
        self.awaited().transfer = None;
        answer
    }

    /// A peer to ask for chunks of a copy at `position`: a random one of the cell whose copy is as recent, or
    /// `from`.
    fn chunk_source(&self, from: SocketAddr, position: Position, now: Instant) -> SocketAddr {
        let view = self.view();
        let sources = view.holders_in_cell(position, now).chain([from]);
        sources.choose(&mut rand::rng()).unwrap_or(from)
    }
}

fn chunked_bytes(content: &Content) -> usize {
    match content {
        Content::Chunked(outline) => outline.bytes as usize,
        _ => 0,
    }
}
