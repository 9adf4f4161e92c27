//! Claims on keys of calls that must not be repeated, in segments that only one writer can create.
//!
//! A shard's journal is a row of segments at the platform's service. Creating
//! the next one is the arbiter: a daemon that has not read all before it lands
//! on a taken number and fails. Many claims share one segment.

use crate::claim::{ClaimAsk, ClaimKey, Claimed, Nonce, StoredAnswer};
use crate::metrics::Metrics;
use crate::platform::{Expect, Platform, PlatformError, ROOT, Swap};
use crate::segment::{Claim, Record, Segment};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, timeout};

/// Shards of the journal.
pub const SHARDS: usize = 4;
/// Most outcomes that wait for the platform; past it keys stay claimed without one.
const MOST_NOTES: usize = 4_096;
/// Most bytes of outcomes in one segment; the platform holds values up to a megabyte.
const NOTE_BYTES: usize = 512 << 10;
/// Most records in one segment.
const MOST_RECORDS: usize = 512;
/// Largest body kept with an outcome, in bytes.
pub const MAX_STORED_ANSWER_BYTES: usize = 4 << 10;
/// How long an append without an answer is settled by reading before its claimants are refused.
const SETTLE: Duration = Duration::from_millis(2_000);
const SETTLE_STEP: Duration = Duration::from_millis(50);
const CALL_LIMIT: Duration = Duration::from_millis(1_500);
/// Added to retention before anything is forgotten, for clocks that differ.
pub const CLOCK_MARGIN_MS: u64 = 60_000;

/// A segment to be appended, whose claims it decides, and how many notes it writes.
struct Draft {
    segment: Segment,
    winners: Vec<Ask>,
    notes: usize,
}

struct Ask {
    claim: ClaimAsk,
    reply: oneshot::Sender<Claimed>,
}

enum Op {
    Claim(Ask),
    Note(Record),
    /// Forget what may be forgotten this much later than now, in milliseconds.
    Compact(u64, oneshot::Sender<()>),
}

/// The journal as one daemon uses it.
#[derive(Clone)]
pub struct Journal {
    shards: Vec<mpsc::Sender<Op>>,
    metrics: Arc<Metrics>,
}

impl Journal {
    /// Starts a task for each shard; `interval` is the least time between two segments of one.
    pub fn start(
        platform: Arc<dyn Platform>,
        interval: Duration,
        metrics: Arc<Metrics>,
    ) -> Journal {
        let shards = (0..SHARDS).map(|number| {
            let (tx, rx) = mpsc::channel(MOST_RECORDS * 4);
            let shard = Shard::new(number, platform.clone(), metrics.clone());
            tokio::spawn(shard.run(rx, interval));
            tx
        });
        Journal { shards: shards.collect(), metrics }
    }

    /// Claims a key. Dropping the answer releases a claim that was won.
    pub async fn claim(&self, claim: ClaimAsk) -> Claimed {
        let (reply, rx) = oneshot::channel();
        let op = Op::Claim(Ask { claim, reply });
        let answer = match self.shard(claim.key).try_send(op) {
            Ok(()) => rx.await.unwrap_or(Claimed::Unavailable),
            Err(_) => Claimed::Unavailable,
        };
        self.metrics.claims.with_label_values(&[answer.name()]).inc();
        answer
    }

    /// Keeps the outcome of a claim, or with `None` gives it back, its call not having run.
    pub async fn settle(&self, key: ClaimKey, nonce: Nonce, kept: Option<StoredAnswer>) {
        let record = match kept {
            Some(kept) => Record::Settle { key, nonce, kept },
            None => Record::Release { key, nonce },
        };
        let _ = self.shard(key).send(Op::Note(record)).await;
    }

    /// Forgets what may be forgotten `ahead_ms` later than now.
    pub async fn compact(&self, ahead_ms: u64) {
        for shard in &self.shards {
            let (done, ended) = oneshot::channel();
            if shard.send(Op::Compact(ahead_ms, done)).await.is_ok() {
                let _ = ended.await;
            }
        }
    }

    fn shard(&self, key: ClaimKey) -> &mpsc::Sender<Op> {
        &self.shards[(key.0 % SHARDS as u128) as usize]
    }
}

/// One shard as one daemon knows it; changed only by its own task.
struct Shard {
    number: usize,
    platform: Arc<dyn Platform>,
    metrics: Arc<Metrics>,
    loaded: bool,
    next: u64,
    floor: u64,
    claims: HashMap<ClaimKey, Claim>,
    forget: BTreeMap<u64, u64>,
    /// Batches given up while their effect was unknown: if they land, their claims are released.
    abandoned: HashSet<Nonce>,
    notes: Vec<Record>,
}

enum Appended {
    Won,
    /// Another writer's segments were read instead; decide anew.
    Behind,
    Unavailable,
}

impl Shard {
    fn new(number: usize, platform: Arc<dyn Platform>, metrics: Arc<Metrics>) -> Shard {
        Shard {
            number,
            platform,
            metrics,
            loaded: false,
            next: 0,
            floor: 0,
            claims: HashMap::new(),
            forget: BTreeMap::new(),
            abandoned: HashSet::new(),
            notes: Vec::new(),
        }
    }

    async fn run(mut self, mut ops: mpsc::Receiver<Op>, interval: Duration) {
        let mut last = Instant::now().checked_sub(interval).unwrap_or_else(Instant::now);
        let mut buffer = Vec::new();
        while ops.recv_many(&mut buffer, MOST_RECORDS).await > 0 {
            // Group commit: what comes while the interval runs shares the segment.
            let wait = interval.saturating_sub(last.elapsed());
            if !wait.is_zero() {
                sleep(wait).await;
                while buffer.len() < MOST_RECORDS {
                    let Ok(op) = ops.try_recv() else { break };
                    buffer.push(op);
                }
            }
            last = Instant::now();
            self.commit(std::mem::take(&mut buffer)).await;
            self.compact(unix_ms()).await;
        }
    }

    async fn commit(&mut self, ops: Vec<Op>) {
        let mut asks = Vec::new();
        for op in ops {
            match op {
                Op::Claim(ask) => asks.push(ask),
                Op::Note(record) => self.note(record),
                Op::Compact(ahead_ms, done) => {
                    self.compact(unix_ms() + ahead_ms).await;
                    let _ = done.send(());
                }
            }
        }
        if !self.loaded && self.catch_up().await.is_err() {
            return refuse(asks);
        }
        let open = |a: &Ask| self.claims.get(&a.claim.key).is_some_and(|c| c.answer.is_none());
        if asks.iter().any(open) && self.catch_up().await.is_err() {
            return refuse(asks);
        }
        loop {
            let now_ms = unix_ms();
            let Draft { segment, winners, notes } = self.draft(asks, now_ms);
            if segment.records.is_empty() {
                return;
            }
            match self.append(&segment).await {
                Appended::Won => {
                    self.notes.drain(..notes);
                    self.reply(winners);
                    if self.notes.is_empty() {
                        return;
                    }
                    asks = Vec::new();
                }
                Appended::Behind => asks = winners,
                Appended::Unavailable => return refuse(winners),
            }
        }
    }

    /// Answers what the state already decides and drafts a segment for the rest.
    fn draft(&mut self, asks: Vec<Ask>, now_ms: u64) -> Draft {
        let mut records = self.first_notes();
        let notes = records.len();
        let mut winners = Vec::new();
        let mut drafted: HashMap<ClaimKey, u128> = HashMap::new();
        let mut forget_ms = now_ms;
        for ask in asks {
            let ClaimAsk { key, nonce, body, retention_ms } = ask.claim;
            if let Some(standing) = self.claims.get(&key) {
                let _ = ask.reply.send(standing.answer(nonce, body));
                continue;
            }
            if let Some(first) = drafted.get(&key) {
                let _ =
                    ask.reply.send(if *first == body { Claimed::Taken } else { Claimed::Mismatch });
                continue;
            }
            let until = now_ms + retention_ms;
            forget_ms = forget_ms.max(until);
            drafted.insert(key, body);
            records.push(Record::Claim { key, nonce, body });
            winners.push(ask);
        }
        let segment = Segment { nonce: Nonce::random(), forget_ms, records };
        Draft { segment, winners, notes }
    }

    /// As many notes as fit a segment, from the oldest on.
    fn first_notes(&self) -> Vec<Record> {
        let mut bytes = 0;
        let fits = |record: &&Record| {
            bytes += record.bytes();
            bytes <= NOTE_BYTES
        };
        self.notes.iter().take_while(fits).cloned().collect()
    }

    fn reply(&mut self, winners: Vec<Ask>) {
        for ask in winners {
            let ClaimAsk { key, nonce, .. } = ask.claim;
            if ask.reply.send(Claimed::Yours).is_err() {
                // The claimant is gone and will never dispatch.
                self.note(Record::Release { key, nonce });
            }
        }
    }

    async fn append(&mut self, segment: &Segment) -> Appended {
        let value = postcard::to_stdvec(segment).expect("a segment is plain data");
        let number = self.next;
        let key = self.segment_key(number);
        let give_up = Instant::now() + SETTLE;
        loop {
            let swap = self.platform.swap(&key, Expect::Absent, Some(value.clone()), None);
            match timeout(CALL_LIMIT, swap).await {
                Ok(Ok(Swap::Won(_))) => return self.won(number, segment).await,
                Ok(Ok(Swap::Lost)) => return self.read_taken(number, segment).await,
                Ok(Err(PlatformError::Unavailable { .. }))
                    if !self.abandoned.contains(&segment.nonce) =>
                {
                    return Appended::Unavailable;
                }
                Ok(Err(_)) | Err(_) => {
                    // From here on it may have landed, or may land yet.
                    self.abandoned.insert(segment.nonce);
                }
            }
            if Instant::now() >= give_up {
                return Appended::Unavailable;
            }
            sleep(SETTLE_STEP).await;
        }
    }

    /// Our create landed; it counts unless the shard was compacted past it meanwhile.
    async fn won(&mut self, number: u64, segment: &Segment) -> Appended {
        self.metrics.segments.inc();
        match self.read_floor().await {
            Ok(floor) if floor <= number => {
                self.abandoned.remove(&segment.nonce);
                self.apply(number, segment);
                Appended::Won
            }
            Ok(_) => {
                self.forget_all();
                match self.catch_up().await {
                    Ok(()) => Appended::Behind,
                    Err(()) => Appended::Unavailable,
                }
            }
            Err(()) => {
                self.abandoned.insert(segment.nonce);
                self.forget_all();
                Appended::Unavailable
            }
        }
    }

    /// The number was taken: by an earlier try of ours, or by another writer.
    async fn read_taken(&mut self, number: u64, segment: &Segment) -> Appended {
        match self.read_segment(number).await {
            Ok(Some(found)) if found.nonce == segment.nonce => self.won(number, segment).await,
            Ok(_) => match self.catch_up().await {
                Ok(()) => Appended::Behind,
                Err(()) => Appended::Unavailable,
            },
            Err(()) => Appended::Unavailable,
        }
    }

    /// Reads every segment not yet read.
    async fn catch_up(&mut self) -> Result<(), ()> {
        if !self.loaded {
            return self.load().await;
        }
        while let Some(segment) = self.read_segment(self.next).await? {
            self.apply(self.next, &segment);
        }
        // Compacted past us while we were away: start over.
        if self.read_floor().await? > self.next {
            self.forget_all();
            return self.load().await;
        }
        Ok(())
    }

    async fn load(&mut self) -> Result<(), ()> {
        let floor = self.read_floor().await?;
        let range = timeout(CALL_LIMIT, self.platform.range(&self.prefix()))
            .await
            .map_err(drop)?
            .map_err(drop)?;
        self.forget_all();
        self.floor = floor;
        self.next = floor;
        for entry in &range.entries {
            let number = entry.key.rsplit('/').next().and_then(|n| n.parse::<u64>().ok());
            let segment = postcard::from_bytes::<Segment>(&entry.value).ok();
            if let (Some(number), Some(segment)) = (number.filter(|n| *n >= floor), segment) {
                self.apply(number, &segment);
            }
        }
        self.loaded = true;
        for record in self.notes.clone() {
            self.apply_record(&record, self.next);
        }
        Ok(())
    }

    fn forget_all(&mut self) {
        self.claims.clear();
        self.forget.clear();
        self.loaded = false;
    }

    fn apply(&mut self, number: u64, segment: &Segment) {
        self.next = number + 1;
        self.forget.insert(number, segment.forget_ms);
        let given_up = self.abandoned.remove(&segment.nonce);
        for record in &segment.records {
            self.apply_record(record, number);
            if let (true, Record::Claim { key, nonce, .. }) = (given_up, record) {
                self.note(Record::Release { key: *key, nonce: *nonce });
            }
        }
    }

    fn apply_record(&mut self, record: &Record, segment: u64) {
        match record {
            Record::Claim { key, nonce, body } => {
                let claim = Claim { nonce: *nonce, body: *body, answer: None, segment };
                self.claims.entry(*key).or_insert(claim);
            }
            Record::Settle { key, nonce, kept } => {
                if let Some(claim) = self.claims.get_mut(key).filter(|c| c.nonce == *nonce) {
                    claim.answer = Some(kept.clone());
                }
            }
            Record::Release { key, nonce } => {
                let open = |c: &Claim| c.nonce == *nonce && c.answer.is_none();
                if self.claims.get(key).is_some_and(open) {
                    self.claims.remove(key);
                }
            }
        }
    }

    /// Takes in an outcome or release: true at once, written with the next segment.
    fn note(&mut self, record: Record) {
        self.apply_record(&record, self.next);
        if self.notes.len() < MOST_NOTES {
            self.notes.push(record);
        }
    }

    /// Drops segments of which everything may be forgotten; the last one always stays.
    async fn compact(&mut self, now_ms: u64) {
        let old: Vec<u64> = self
            .forget
            .iter()
            .take_while(|(_, until)| **until + CLOCK_MARGIN_MS < now_ms)
            .map(|(n, _)| *n)
            .collect();
        let Some(last) = old.into_iter().rfind(|n| n + 1 < self.next) else {
            return;
        };
        if self.raise_floor(last + 1).await.is_err() {
            return;
        }
        for number in self.floor..=last {
            let key = self.segment_key(number);
            let Ok(Some(found)) = self.platform.get(&key).await else {
                continue;
            };
            let _ = self.platform.swap(&key, Expect::Revision(found.revision), None, None).await;
        }
        self.floor = last + 1;
        self.forget = self.forget.split_off(&self.floor);
        let floor = self.floor;
        self.claims.retain(|_, c| c.segment >= floor);
    }

    async fn raise_floor(&self, floor: u64) -> Result<(), ()> {
        let key = self.floor_key();
        let found = self.platform.get(&key).await.map_err(drop)?;
        let expect = found.as_ref().map_or(Expect::Absent, |e| Expect::Revision(e.revision));
        let value = floor.to_string().into_bytes();
        match self.platform.swap(&key, expect, Some(value), None).await {
            Ok(Swap::Won(_)) => Ok(()),
            _ => Err(()),
        }
    }

    async fn read_floor(&self) -> Result<u64, ()> {
        let found = timeout(CALL_LIMIT, self.platform.get(&self.floor_key()))
            .await
            .map_err(drop)?
            .map_err(drop)?;
        let text = found.map(|e| String::from_utf8_lossy(&e.value).into_owned());
        Ok(text.and_then(|t| t.parse().ok()).unwrap_or(0))
    }

    async fn read_segment(&self, number: u64) -> Result<Option<Segment>, ()> {
        let key = self.segment_key(number);
        let found =
            timeout(CALL_LIMIT, self.platform.get(&key)).await.map_err(drop)?.map_err(drop)?;
        Ok(found.and_then(|e| postcard::from_bytes(&e.value).ok()))
    }

    fn prefix(&self) -> String {
        format!("{ROOT}claims/{}/", self.number)
    }

    fn segment_key(&self, number: u64) -> String {
        format!("{}{number:016}", self.prefix())
    }

    fn floor_key(&self) -> String {
        format!("{ROOT}floors/{}", self.number)
    }
}

fn refuse(asks: Vec<Ask>) {
    for ask in asks {
        let _ = ask.reply.send(Claimed::Unavailable);
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
