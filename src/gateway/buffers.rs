//! Counts the bytes that the daemon buffers for callers and servers, and bounds them by kind.
//!
//! A buffered byte counts until it has been written to its connection: the reservation of a response's part
//! ends when its [`Bytes`] are dropped. What the kernel buffers for a socket is not counted.

use crate::gateway::metrics::GatewayMetrics;
use crate::time;
use bytes::Bytes;
use prometheus::{IntCounter, IntGauge};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;
use tokio::sync::{Notify, Semaphore};

/// Events of one stream that may wait for its caller. A caller that reads in time leaves one or two.
const MAX_EVENTS: usize = 16;
/// Bytes of one stream's events from which no further event is taken.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// What bytes are buffered for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BufferKind {
    /// Requests' bodies, until the request has ended.
    Bodies,
    /// Events of streams that their callers have not taken.
    Events,
    /// Plain responses that are completed before they are passed on, or that their callers have not taken.
    Responses,
}

/// Most bytes that may be buffered, by kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BufferLimits {
    /// For requests' bodies.
    pub bodies: usize,
    /// For events of all streams; each stream may hold one more event.
    pub events: usize,
    /// For plain responses.
    pub responses: usize,
}

impl BufferLimits {
    /// The limits of a process with this much memory: half of it in all. The rest is for connections and for
    /// what the daemon knows of the fleet.
    pub fn of_memory(bytes: usize) -> BufferLimits {
        BufferLimits { bodies: bytes / 4, events: bytes / 8, responses: bytes / 8 }
    }
}

/// Bytes of one kind.
#[derive(Debug)]
struct Pool {
    /// One permit for each byte that is free.
    free: Semaphore,
    held: IntGauge,
    waited: IntCounter,
    refused: IntCounter,
}

impl Pool {
    fn new(kind: &str, limit: usize, metrics: &GatewayMetrics) -> Arc<Pool> {
        let shortages = |outcome| metrics.buffer_shortages.with_label_values(&[kind, outcome]);
        Arc::new(Pool {
            free: Semaphore::new(limit.min(Semaphore::MAX_PERMITS)),
            held: metrics.buffered_bytes.with_label_values(&[kind]),
            waited: shortages("waited"),
            refused: shortages("refused"),
        })
    }

    /// Takes free bytes if there are enough.
    fn take(self: &Arc<Self>, bytes: usize) -> Option<Reservation> {
        let permit = self.free.try_acquire_many(u32::try_from(bytes).ok()?).ok()?;
        permit.forget();
        Some(self.hold(bytes))
    }

    fn hold(self: &Arc<Self>, bytes: usize) -> Reservation {
        self.held.add(bytes as i64);
        Reservation { pool: self.clone(), bytes }
    }
}

/// Bytes that count as buffered until this is dropped.
#[derive(Debug)]
pub struct Reservation {
    pool: Arc<Pool>,
    bytes: usize,
}

impl Reservation {
    /// Adds the bytes of another reservation of the same kind.
    pub fn merge(&mut self, mut other: Reservation) {
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Makes the reservation last until `bytes` and all its clones and slices are dropped.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(Attached { bytes, _reservation: self })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.pool.held.sub(self.bytes as i64);
        self.pool.free.add_permits(self.bytes);
    }
}

/// Bytes with their reservation.
struct Attached {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Attached {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// All bytes that the daemon buffers for callers and servers.
#[derive(Debug)]
pub struct Buffers {
    bodies: Arc<Pool>,
    events: Arc<Pool>,
    responses: Arc<Pool>,
    /// Bytes of the events that streams hold in addition to the limit.
    extra_events: IntGauge,
}

impl Buffers {
    /// Buffers without content, which are counted in `metrics`.
    pub fn new(limits: BufferLimits, metrics: &GatewayMetrics) -> Arc<Buffers> {
        Arc::new(Buffers {
            bodies: Pool::new("bodies", limits.bodies, metrics),
            events: Pool::new("events", limits.events, metrics),
            responses: Pool::new("responses", limits.responses, metrics),
            extra_events: metrics.buffered_bytes.with_label_values(&["extra_events"]),
        })
    }

    fn pool(&self, kind: BufferKind) -> &Arc<Pool> {
        match kind {
            BufferKind::Bodies => &self.bodies,
            BufferKind::Events => &self.events,
            BufferKind::Responses => &self.responses,
        }
    }

    /// Bytes held of a kind, without the events that streams hold in addition to the limit.
    pub fn held(&self, kind: BufferKind) -> usize {
        self.pool(kind).held.get().try_into().unwrap_or(0)
    }

    /// Bytes of the events that streams hold in addition to the limit.
    pub fn held_extra(&self) -> usize {
        self.extra_events.get().try_into().unwrap_or(0)
    }

    /// Reserves bytes if they are free now; counts a refusal otherwise.
    pub fn try_reserve(&self, kind: BufferKind, bytes: usize) -> Option<Reservation> {
        let pool = self.pool(kind);
        let reserved = pool.take(bytes);
        if reserved.is_none() {
            pool.refused.inc();
        }
        reserved
    }

    /// Reserves bytes as soon as they are free, in the order of the calls; `None` if they aren't until then.
    pub async fn reserve_by(
        &self,
        kind: BufferKind,
        bytes: usize,
        until: Instant,
    ) -> Option<Reservation> {
        let pool = self.pool(kind);
        if let Some(reserved) = pool.take(bytes) {
            return Some(reserved);
        }
        pool.waited.inc();
        // The cast can't truncate: parts of a body are smaller than 4 GB.
        let freed = time::timeout_at(until, pool.free.acquire_many(bytes as u32)).await;
        let Some(Ok(permit)) = freed else {
            pool.refused.inc();
            return None;
        };
        permit.forget();
        Some(pool.hold(bytes))
    }
}

/// Events of one stream that its caller has not taken. The stream's relay takes the next event from the server
/// only while there is room. Streams don't wait for each other: with no event queued there is always room.
#[derive(Debug)]
pub struct EventQueue {
    buffers: Arc<Buffers>,
    queued: Mutex<Queued>,
    /// Notified when an event has been taken.
    taken: Notify,
}

#[derive(Debug, Default)]
struct Queued {
    events: usize,
    bytes: usize,
    /// Whether one of the events is held in addition to the limit for all streams.
    extra: bool,
    /// Whether the relay waits for room, so that each wait is counted once.
    waiting: bool,
}

impl EventQueue {
    /// The empty queue of a new stream.
    pub fn new(buffers: Arc<Buffers>) -> Arc<EventQueue> {
        Arc::new(EventQueue { buffers, queued: Mutex::default(), taken: Notify::new() })
    }

    /// Whether another event may be taken from the server.
    pub fn has_room(&self) -> bool {
        let queued = self.lock();
        let fits = queued.events < MAX_EVENTS && queued.bytes < MAX_EVENT_BYTES && !queued.extra;
        queued.events == 0 || fits && self.buffers.events.free.available_permits() > 0
    }

    /// Waits until there is room. Only the stream's own caller is waited for: whoever reads nothing needs no
    /// further events, even if other streams free some memory.
    pub async fn wait_for_room(&self) {
        loop {
            let taken = self.taken.notified();
            if self.has_room() {
                return;
            }
            self.note_wait();
            taken.await;
        }
    }

    /// Counts an event as queued until the returned bytes are dropped.
    pub fn push(self: &Arc<Self>, event: Bytes) -> Bytes {
        let reserved = self.buffers.events.take(event.len());
        let mut queued = self.lock();
        queued.events += 1;
        queued.bytes += event.len();
        queued.waiting = false;
        if reserved.is_none() {
            queued.extra = true;
            self.buffers.extra_events.add(event.len() as i64);
        }
        drop(queued);
        Bytes::from_owner(QueuedEvent { bytes: event, reserved, queue: self.clone() })
    }

    fn note_wait(&self) {
        if !std::mem::replace(&mut self.lock().waiting, true) {
            self.buffers.events.waited.inc();
        }
    }

    fn lock(&self) -> MutexGuard<'_, Queued> {
        self.queued.lock().expect("no holder panics")
    }
}

/// An event that its caller has not taken.
struct QueuedEvent {
    bytes: Bytes,
    /// `None` if the event is held in addition to the limit.
    reserved: Option<Reservation>,
    queue: Arc<EventQueue>,
}

impl AsRef<[u8]> for QueuedEvent {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for QueuedEvent {
    fn drop(&mut self) {
        let is_extra = self.reserved.take().is_none();
        let mut queued = self.queue.lock();
        queued.events -= 1;
        queued.bytes -= self.bytes.len();
        if is_extra {
            queued.extra = false;
            self.queue.buffers.extra_events.sub(self.bytes.len() as i64);
        }
        drop(queued);
        self.queue.taken.notify_one();
    }
}
