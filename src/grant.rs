//! Places granted by the daemon that keeps a pool's queue, so that daemons do not overfill replicas together.
//!
//! One daemon at a time keeps the queue of a pool for all, chosen by rendezvous hash. It holds soft
//! state only: a place lasts as long as the stream over which it was asked for, and whoever cannot
//! reach the keeper places by its own view.

use crate::ask::{Ask, Shed};
use crate::gossip::Gossip;
use crate::message::{PlaceAsk, PlaceReply, PlaceUpdate};
use crate::peer::{NoAnswer, PeerStream};
use crate::pool::Pool;
use crate::replica::Signal;
use crate::slot::Slot;
use crate::time;
use futures_util::future::BoxFuture;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tokio::time::{sleep, timeout};

/// How often the keeper tells a waiting daemon that it still lives.
const ALIVE_EVERY: Duration = Duration::from_millis(250);
/// Silence after which the keeper is not waited for any longer.
const SILENCE: Duration = Duration::from_millis(1_000);

/// Keeps queues for other daemons.
pub trait Keeper: Send + Sync {
    /// Waits for a place and holds it as long as the asker needs it.
    fn keep(&self, ask: PlaceAsk, peer_stream: PeerStream) -> BoxFuture<'static, ()>;
}

/// A place granted by another daemon; dropping it gives the place back.
pub struct Grant {
    done: Option<oneshot::Sender<u32>>,
    signal: watch::Receiver<Signal>,
}

impl Grant {
    /// The generation ended properly after `tokens`.
    pub fn complete(mut self, tokens: u32) {
        if let Some(done) = self.done.take() {
            let _ = done.send(tokens);
        }
    }

    /// Waits until the keeper wants something else; forever where it is gone.
    pub async fn signalled(&mut self) -> Signal {
        if self.signal.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
        *self.signal.borrow_and_update()
    }
}

enum Asked {
    Granted(SocketAddr, Grant),
    Shed(Shed),
    /// The keeper cannot be reached or does not know the pool.
    Alone,
}

/// Finds places for generations.
pub trait Placer: Send + Sync {
    /// Waits at most `wait` for a place in a pool.
    fn place<'a>(
        &'a self,
        pool: &'a Arc<Pool>,
        ask: Ask,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Slot, Shed>>;
}

/// Places by this daemon's own view.
pub struct Alone;

impl Placer for Alone {
    fn place<'a>(
        &'a self,
        pool: &'a Arc<Pool>,
        ask: Ask,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Slot, Shed>> {
        Box::pin(pool.place(ask, wait))
    }
}

/// Places at the pool's keeper, or without one by this daemon's own view.
pub struct Granted(pub Arc<Gossip>);

impl Placer for Granted {
    fn place<'a>(
        &'a self,
        pool: &'a Arc<Pool>,
        ask: Ask,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Slot, Shed>> {
        Box::pin(place(&self.0, pool, ask, wait))
    }
}

async fn place(
    gossip: &Arc<Gossip>,
    pool: &Arc<Pool>,
    ask: Ask,
    wait: Duration,
) -> Result<Slot, Shed> {
    let began = time::now();
    let shared = pool.has_keeper(&ask.policy);
    if let Some(keeper) = gossip.keeper(pool.name(), began).filter(|_| shared) {
        match ask_keeper(gossip, keeper, pool, &ask, wait).await {
            Asked::Granted(addr, grant) => {
                if let Some(slot) = pool.adopt(addr, ask.clone(), 0, Some(grant)) {
                    pool.count_place("keeper");
                    return Ok(slot);
                }
            }
            Asked::Shed(shed) => return Err(shed),
            Asked::Alone => {}
        }
    }
    pool.count_place("own");
    pool.place(ask, wait.saturating_sub(time::since(began))).await
}

async fn ask_keeper(
    gossip: &Arc<Gossip>,
    keeper: SocketAddr,
    pool: &Pool,
    ask: &Ask,
    wait: Duration,
) -> Asked {
    let request = PlaceAsk {
        pool: pool.name().to_string(),
        ask: ask.clone(),
        wait_ms: wait.as_millis() as u64,
    };
    let Ok(mut peer_stream) = gossip.hold(keeper, request).await else {
        return Asked::Alone;
    };
    loop {
        match timeout(SILENCE, peer_stream.receive::<PlaceReply>()).await {
            Ok(Ok(PlaceReply::Waiting)) => {}
            Ok(Ok(PlaceReply::Granted(addr))) => return Asked::Granted(addr, granted(peer_stream)),
            Ok(Ok(PlaceReply::Shed { retry_ms })) => return Asked::Shed(Shed { retry_ms }),
            Ok(Ok(PlaceReply::Signal(_)) | Err(NoAnswer)) | Err(_) => return Asked::Alone,
        }
    }
}

/// Holds the place open in a task of its own until the grant is used up or dropped.
fn granted(mut peer_stream: PeerStream) -> Grant {
    let (done, mut ended) = oneshot::channel();
    let (signal_tx, signal) = watch::channel(Signal::Run);
    tokio::spawn(async move {
        loop {
            tokio::select! {
                tokens = &mut ended => {
                    if let Ok(tokens) = tokens {
                        let _ = peer_stream.send(&PlaceUpdate::Done { tokens }).await;
                    }
                    peer_stream.finish().await;
                    return;
                }
                reply = peer_stream.receive::<PlaceReply>() => match reply {
                    Ok(PlaceReply::Signal(signal)) => {
                        signal_tx.send_replace(signal);
                    }
                    Ok(_) => {}
                    // The keeper is gone: the stream goes on without it.
                    Err(NoAnswer) => {
                        signal_tx.send_replace(Signal::Run);
                        return;
                    }
                },
            }
        }
    });
    Grant { done: Some(done), signal }
}

/// The keeper's side of one place.
pub async fn keep(pool: Arc<Pool>, ask: PlaceAsk, mut peer_stream: PeerStream) {
    let Some(mut slot) = wait_for_place(&pool, ask, &mut peer_stream).await else {
        return;
    };
    if peer_stream.send(&PlaceReply::Granted(slot.addr())).await.is_err() {
        return;
    }
    loop {
        tokio::select! {
            signal = slot.signalled() => {
                if peer_stream.send(&PlaceReply::Signal(signal)).await.is_err() {
                    return;
                }
            }
            update = peer_stream.receive::<PlaceUpdate>() => match update {
                Ok(PlaceUpdate::Done { tokens }) => return slot.complete(tokens),
                Err(NoAnswer) => return,
            },
        }
    }
}

async fn wait_for_place(
    pool: &Arc<Pool>,
    ask: PlaceAsk,
    peer_stream: &mut PeerStream,
) -> Option<Slot> {
    let placing = pool.place_for_other(ask.ask, Duration::from_millis(ask.wait_ms));
    tokio::pin!(placing);
    loop {
        tokio::select! {
            placed = &mut placing => match placed {
                Ok(slot) => return Some(slot),
                Err(shed) => {
                    let _ = peer_stream.send(&PlaceReply::Shed { retry_ms: shed.retry_ms }).await;
                    peer_stream.finish().await;
                    return None;
                }
            },
            () = sleep(ALIVE_EVERY) => peer_stream.send(&PlaceReply::Waiting).await.ok()?,
            // The asker gave up.
            _ = peer_stream.receive::<PlaceUpdate>() => return None,
        }
    }
}
