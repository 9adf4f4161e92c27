//! One daemon's share of the talk between daemons: heartbeats, configuration, claims.

use crate::claim::{ClaimAsk, Claimed, StoredAnswer};
use crate::follow::InForce;
use crate::grant::Keeper;
use crate::journal::{Journal, SHARDS};
use crate::member::{Members, Record};
use crate::message::{self, Heartbeat, PlaceAsk, Reply, Request, Unreadable};
use crate::metrics::Metrics;
use crate::peer::{Handler, NoAnswer, PeerStream, Peers};
use crate::time;
use futures_util::future::BoxFuture;
use rand::RngExt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::time::sleep;

/// Daemons of a hall that watch the platform's service.
const READERS: usize = 2;
const FETCH_LIMIT: Duration = Duration::from_millis(5_000);
const CLAIM_LIMIT: Duration = Duration::from_millis(1_000);
/// Beats in which a daemon that starts meets its peers before it takes a duty.
const MEETING_BEATS: u64 = 3;
/// Beats between two greetings of the seeds.
const SEED_BEATS: u64 = 8;

/// See the module.
pub struct Gossip {
    members: Mutex<Members>,
    peers: Arc<Peers>,
    in_force: InForce,
    journal: Journal,
    seeds: Vec<SocketAddr>,
    beat: Duration,
    fetching: AtomicBool,
    reading: watch::Sender<bool>,
    pools: OnceLock<Arc<dyn Keeper>>,
    metrics: Arc<Metrics>,
}

impl Gossip {
    /// Ready to [`Gossip::run`].
    pub fn new(
        own: Record,
        seeds: Vec<SocketAddr>,
        beat: Duration,
        peers: Arc<Peers>,
        in_force: InForce,
        journal: Journal,
        metrics: Arc<Metrics>,
    ) -> Arc<Gossip> {
        let members = Mutex::new(Members::new(own, beat, time::now()));
        let reading = watch::Sender::new(false);
        Arc::new(Gossip {
            members,
            peers,
            in_force,
            journal,
            seeds,
            beat,
            fetching: AtomicBool::new(false),
            reading,
            pools: OnceLock::new(),
            metrics,
        })
    }

    /// The table of daemons.
    pub fn members(&self) -> MutexGuard<'_, Members> {
        self.members.lock().expect("no holder panics")
    }

    /// Whether this daemon reads the platform's service for its hall.
    pub fn reading(&self) -> watch::Receiver<bool> {
        self.reading.subscribe()
    }

    fn handler(self: &Arc<Self>) -> Arc<dyn Handler> {
        Arc::new(Answering(self.clone()))
    }

    /// The links, for bringing about partitions.
    pub fn peers(&self) -> &Arc<Peers> {
        &self.peers
    }

    /// Beats until the daemon ends; a new revision is told at once.
    pub async fn run(self: Arc<Self>, open: impl Fn() -> usize + Send + 'static) {
        let handler = self.handler();
        tokio::spawn(self.peers.clone().serve(handler.clone()));
        let mut revisions = self.in_force.subscribe();
        loop {
            self.beat_once(open() as u32, &handler).await;
            let jitter = rand::rng().random_range(0.8..1.2);
            tokio::select! {
                () = sleep(self.beat.mul_f64(jitter)) => {}
                changed = revisions.changed() => if changed.is_err() { return },
            }
        }
    }

    async fn beat_once(self: &Arc<Self>, open: u32, handler: &Arc<dyn Handler>) {
        let now = time::now();
        let (targets, heartbeat) = {
            let mut rng = rand::rng();
            let mut members = self.members();
            let revision = self.in_force.get().revision;
            members.update_own(|r| (r.revision, r.open) = (revision, open));
            members.tick(now);
            self.metrics.peers.set(members.alive(now).len() as i64 - 1);
            // A whole hall that starts at once must meet before it knows who reads for it.
            let met = self.seeds.is_empty() || members.own().beat > MEETING_BEATS;
            let reads = met && members.has_duty("reader", READERS, now);
            self.reading.send_if_modified(|on| std::mem::replace(on, reads) != reads);
            let mut targets = members.targets(&mut rng, now);
            if (targets.is_empty() || members.own().beat % SEED_BEATS == 1)
                && !self.seeds.is_empty()
            {
                targets.push(self.seeds[rng.random_range(0..self.seeds.len())]);
            }
            (targets, Heartbeat { records: members.rumors(&mut rng, now) })
        };
        for to in targets {
            // Each in its own task: a dead peer must not hold up the others.
            let (peers, handler, heartbeat) =
                (self.peers.clone(), handler.clone(), heartbeat.clone());
            tokio::spawn(async move { peers.tell(to, &heartbeat, &handler).await });
        }
    }

    /// Marks this daemon as leaving and tells its neighbours at once.
    pub async fn leave(self: &Arc<Self>) {
        self.members().update_own(|r| r.leaving = true);
        let handler = self.handler();
        let open = self.members().own().open;
        self.beat_once(open, &handler).await;
    }

    async fn fetch(self: Arc<Self>, from: SocketAddr) {
        let handler = self.handler();
        let have = self.in_force.get().revision;
        let reply = self.peers.ask(from, &Request::Fetch { have }, FETCH_LIMIT, &handler).await;
        self.fetching.store(false, Ordering::Release);
        match reply {
            Ok(Reply::Changes(items)) => self.in_force.take_changes(items),
            Ok(Reply::Snapshot { revision, items }) => self.in_force.replace_all(revision, items),
            _ => {}
        }
    }

    /// Claims a key: by the daemon that writes its shard, or else here.
    pub async fn claim(self: &Arc<Self>, claim: ClaimAsk) -> Claimed {
        if let Some(holder) = self.shard_holder(claim) {
            let handler = self.handler();
            let asked = self.peers.ask(holder, &Request::Claim(claim), CLAIM_LIMIT, &handler).await;
            if let Ok(Reply::Claimed(claimed)) = asked
                && claimed != Claimed::Unavailable
            {
                return claimed;
            }
        }
        // The nonce settles it if the holder's claim stands after all.
        self.journal.claim(claim).await
    }

    /// Keeps the outcome of a claim, or with `None` gives it back.
    pub async fn settle(self: &Arc<Self>, claim: ClaimAsk, kept: Option<StoredAnswer>) {
        if let Some(holder) = self.shard_holder(claim) {
            let handler = self.handler();
            let request =
                Request::Settle { key: claim.key, nonce: claim.nonce, answer: kept.clone() };
            if let Ok(Reply::Done) = self.peers.ask(holder, &request, CLAIM_LIMIT, &handler).await {
                return;
            }
        }
        self.journal.settle(claim.key, claim.nonce, kept).await;
    }

    /// The daemon that keeps a pool's queue; `None` where it is this one.
    pub fn keeper(&self, pool: &str, now: Instant) -> Option<SocketAddr> {
        let members = self.members();
        let keeper = members.gateway_for(&format!("place/{pool}"), now);
        (keeper.vm != members.own().vm).then_some(keeper.peer_addr)
    }

    /// Asks the keeper of a queue for a place; the stream stays open while it is used.
    pub async fn hold(
        self: &Arc<Self>,
        to: SocketAddr,
        ask: PlaceAsk,
    ) -> Result<PeerStream, NoAnswer> {
        let handler = self.handler();
        self.peers.hold(to, &Request::Place(ask), &handler).await
    }

    /// Sets who keeps queues here.
    pub fn set_pools(&self, pools: Arc<dyn Keeper>) {
        let _ = self.pools.set(pools);
    }

    fn shard_holder(&self, claim: ClaimAsk) -> Option<SocketAddr> {
        let shard = claim.key.0 % SHARDS as u128;
        let members = self.members();
        let holder = members.gateway_for(&format!("claims/{shard}"), time::now());
        (holder.vm != members.own().vm).then_some(holder.peer_addr)
    }
}

/// The side of [`Gossip`] that answers peers.
struct Answering(Arc<Gossip>);

impl Handler for Answering {
    fn on_message(&self, bytes: &[u8]) {
        // One that can't be read is of a newer version or broken; the next heartbeat comes soon.
        if let Ok(heartbeat) = message::decode::<Heartbeat>(bytes) {
            self.heartbeat(heartbeat);
        }
    }

    fn stream(&self, first: Vec<u8>, mut peer_stream: PeerStream) -> BoxFuture<'_, ()> {
        Box::pin(async move {
            let reply = match message::decode::<Request>(&first) {
                Ok(Request::Place(ask)) => return self.place(ask, peer_stream).await,
                Ok(request) => self.request(request).await,
                Err(Unreadable::Version(_)) => Reply::NotUnderstood,
                Err(Unreadable::Broken) => return,
            };
            if peer_stream.send(&reply).await.is_ok() {
                peer_stream.finish().await;
            }
        })
    }
}

impl Answering {
    fn heartbeat(&self, heartbeat: Heartbeat) {
        let now = time::now();
        let gossip = &self.0;
        let sender = heartbeat.records.first().map(|r| (r.revision, r.peer_addr));
        {
            let mut members = gossip.members();
            for record in heartbeat.records {
                members.merge(record, now);
            }
        }
        let Some((revision, from)) = sender else {
            return;
        };
        if revision > gossip.in_force.get().revision
            && !gossip.fetching.swap(true, Ordering::AcqRel)
        {
            tokio::spawn(gossip.clone().fetch(from));
        }
    }

    fn request(&self, request: Request) -> BoxFuture<'_, Reply> {
        Box::pin(async move {
            match request {
                Request::Fetch { have } => self.0.in_force.since(have),
                // Handed to `place` before it gets here.
                Request::Place(_) => Reply::NotUnderstood,
                Request::Claim(claim) => Reply::Claimed(self.0.journal.claim(claim).await),
                Request::Settle { key, nonce, answer: kept } => {
                    self.0.journal.settle(key, nonce, kept).await;
                    Reply::Done
                }
            }
        })
    }

    fn place(&self, ask: PlaceAsk, peer_stream: PeerStream) -> BoxFuture<'_, ()> {
        match self.0.pools.get() {
            Some(keeper) => keeper.keep(ask, peer_stream),
            None => Box::pin(std::future::ready(())),
        }
    }
}
