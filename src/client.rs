//! A caller's side: picks an entry, keeps the answer, moves on at failure, resumes streams.

use crate::adapter::request;
use crate::answer::OUTCOME;
use crate::caller::CLASS;
use crate::outcome::{NotSent, Outcome};
use crate::plain::{ATTEMPT, ONCE_KEY};
use crate::sse::Events;
use crate::time;
use crate::wire::{Answer, Fault, Wire};
use bytes::Bytes;
use hyper::{Method, StatusCode};
use rand::RngExt;
use serde::Deserialize;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};
use tokio::time::sleep;

const HEAD_LIMIT: Duration = Duration::from_secs(300);
const SHORT: Duration = Duration::from_secs(2);
const MOST_BODY: usize = 64 << 20;
const BACKOFF: Duration = Duration::from_millis(50);
const MOST_TRIES: u32 = 40;
/// Times that a call in doubt is sent again with its key.
const ONCE_REPEATS: u32 = 3;
/// How long an entry that failed is passed over.
const AVOID: Duration = Duration::from_millis(2_000);

/// A caller of one workspace.
pub struct Client {
    key: String,
    seeds: Vec<SocketAddr>,
    wire: Wire,
    cache: Mutex<EntryCache>,
}

#[derive(Default)]
struct EntryCache {
    entries: Vec<Entry>,
    until: Option<Instant>,
    avoid: Vec<(SocketAddr, Instant)>,
}

#[derive(Debug, Clone, Deserialize)]
struct Entry {
    address: SocketAddr,
    weight: u32,
}

#[derive(Deserialize)]
struct Entries {
    keep_ms: u64,
    entries: Vec<Entry>,
}

/// A piece of a stream.
#[derive(Debug, Clone)]
pub struct Piece {
    /// Its text.
    pub text: String,
    /// When it came.
    pub at: Instant,
}

/// How a stream ended.
#[derive(Debug, Clone)]
pub struct Ended {
    /// The outcome told, or that follows from what was seen.
    pub outcome: Outcome,
    /// Entry that it ended at.
    pub entry: SocketAddr,
    /// How often it was gone on with after its connection broke.
    pub resumes: u32,
    /// What was said last, for the logs.
    pub message: String,
}

/// An answer to a call.
#[derive(Debug, Clone)]
pub struct Called {
    /// HTTP status.
    pub status: u16,
    /// The outcome told, or that follows from what was seen.
    pub outcome: Outcome,
    /// Body.
    pub body: Bytes,
}

enum Read {
    Done,
    Failed(Outcome, String),
    Broken,
}

impl Client {
    /// A caller with a workspace's key that asks `seeds` for the entries.
    pub fn new(key: &str, seeds: Vec<SocketAddr>) -> Client {
        Client { key: key.into(), seeds, wire: Wire::default(), cache: Mutex::default() }
    }

    /// The entry to use now.
    pub async fn entry(&self, now: Instant) -> SocketAddr {
        let fresh = self.cache.lock().expect("kept").until.is_some_and(|until| now < until);
        if !fresh {
            self.ask_entries(now).await;
        }
        let cache = self.cache.lock().expect("kept");
        let avoided = |a: &SocketAddr| cache.avoid.iter().any(|(b, until)| a == b && now < *until);
        let usable: Vec<&Entry> = cache.entries.iter().filter(|e| !avoided(&e.address)).collect();
        let total: u32 = usable.iter().map(|e| e.weight).sum();
        if total == 0 {
            return self.seeds[rand::rng().random_range(0..self.seeds.len())];
        }
        let mut at = rand::rng().random_range(0..total);
        for entry in &usable {
            if at < entry.weight {
                return entry.address;
            }
            at -= entry.weight;
        }
        usable[0].address
    }

    async fn ask_entries(&self, now: Instant) {
        let known: Vec<SocketAddr> =
            self.cache.lock().expect("kept").entries.iter().map(|e| e.address).collect();
        for addr in known.iter().chain(&self.seeds) {
            let req = request(Method::GET, *addr, "/v1/entries", Bytes::new());
            let Ok(answer) = self.wire.send(*addr, req, NotSent::begin(), SHORT).await else {
                continue;
            };
            let Ok(body) = answer.read_to_end(MOST_BODY, SHORT).await else {
                continue;
            };
            let Ok(entries) = serde_json::from_slice::<Entries>(&body) else {
                continue;
            };
            let mut cache = self.cache.lock().expect("kept");
            cache.entries = entries.entries;
            cache.until = Some(now + Duration::from_millis(entries.keep_ms));
            cache.avoid.retain(|(_, until)| now < *until);
            return;
        }
    }

    fn avoid(&self, entry: SocketAddr, now: Instant) {
        self.cache.lock().expect("kept").avoid.push((entry, now + AVOID));
    }

    /// Sends a streamed completion and hands each piece on; goes on elsewhere where it breaks.
    pub async fn stream(
        &self,
        path: &str,
        class: &str,
        body: Bytes,
        mut each: impl FnMut(Piece),
    ) -> Ended {
        let mut last_id: Option<String> = None;
        let mut resumes = 0;
        let mut pieces = 0u64;
        for _ in 0..MOST_TRIES {
            let entry = self.entry(time::now()).await;
            let ended = |outcome, message| Ended { outcome, entry, resumes, message };
            let answer = match self.open(entry, path, class, &body, last_id.as_deref()).await {
                Ok(answer) => answer,
                Err(_) => {
                    self.avoid(entry, time::now());
                    sleep(BACKOFF).await;
                    continue;
                }
            };
            if !answer.status.is_success() {
                let (outcome, message) = refused(answer).await;
                if last_id.is_some() && pieces > 0 {
                    return ended(Outcome::Cut, message);
                }
                if last_id.take().is_some() {
                    // Nothing was delivered yet: a new generation does no harm.
                    continue;
                }
                return ended(outcome, message);
            }
            let mut counted = |piece| {
                pieces += 1;
                each(piece);
            };
            match read(answer, &mut last_id, &mut counted).await {
                Read::Done => return ended(Outcome::Complete, String::new()),
                Read::Failed(outcome, message) => return ended(outcome, message),
                Read::Broken => {
                    self.avoid(entry, time::now());
                    resumes += 1;
                }
            }
        }
        let outcome = if pieces > 0 { Outcome::Cut } else { Outcome::Unknown };
        Ended { outcome, entry: self.seeds[0], resumes, message: "no entry answered".into() }
    }

    /// Streams from one server without moving on or resuming, for measuring an engine by itself.
    pub async fn stream_from(
        &self,
        server: SocketAddr,
        path: &str,
        body: Bytes,
        headers: &[(&'static str, &str)],
        mut each: impl FnMut(Piece),
    ) -> Outcome {
        let mut req = request(Method::POST, server, path, body);
        for (name, value) in headers {
            req.headers_mut().insert(*name, value.parse().expect("ascii"));
        }
        let Ok(answer) = self.wire.send(server, req, NotSent::begin(), HEAD_LIMIT).await else {
            return Outcome::Unknown;
        };
        match read(answer, &mut None, &mut each).await {
            Read::Done => Outcome::Complete,
            Read::Failed(outcome, _) => outcome,
            Read::Broken => Outcome::Unknown,
        }
    }

    async fn open(
        &self,
        entry: SocketAddr,
        path: &str,
        class: &str,
        body: &Bytes,
        last_id: Option<&str>,
    ) -> Result<Answer, Fault> {
        let mut req = match last_id {
            None => request(Method::POST, entry, path, body.clone()),
            Some(_) => request(Method::GET, entry, "/v1/streams/last", Bytes::new()),
        };
        let headers = req.headers_mut();
        headers.insert("authorization", format!("Bearer {}", self.key).parse().expect("ascii"));
        headers.insert(CLASS, class.parse().expect("ascii"));
        if let Some(id) = last_id {
            headers.insert("last-event-id", id.parse().expect("ascii"));
        }
        self.wire.send(entry, req, NotSent::begin(), HEAD_LIMIT).await
    }

    /// Sends a call that must not run twice, again with the same key while its outcome is unknown.
    pub async fn call_once(
        &self,
        path: &str,
        key: &str,
        body: Bytes,
        headers: &[(&'static str, &str)],
        pause: Duration,
    ) -> Called {
        let mut outcome = Outcome::NotRun;
        let mut attempt = 1u32;
        loop {
            let number = attempt.to_string();
            let mut all = vec![(ONCE_KEY, key), (ATTEMPT, number.as_str())];
            all.extend_from_slice(headers);
            let called = self.call(Method::POST, path, body.clone(), &all).await;
            outcome = after_repeat(outcome, called.outcome);
            if outcome != Outcome::Unknown || attempt > ONCE_REPEATS {
                return Called { outcome, ..called };
            }
            attempt += 1;
            sleep(pause).await;
        }
    }

    /// Sends a call once, to one entry, moving on only where nothing was sent.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        headers: &[(&'static str, &str)],
    ) -> Called {
        for _ in 0..MOST_TRIES {
            let entry = self.entry(time::now()).await;
            let mut req = request(method.clone(), entry, path, body.clone());
            req.headers_mut()
                .insert("authorization", format!("Bearer {}", self.key).parse().expect("ascii"));
            for (name, value) in headers {
                req.headers_mut().insert(*name, value.parse().expect("ascii"));
            }
            match self.wire.send(entry, req, NotSent::begin(), HEAD_LIMIT).await {
                Ok(answer) => return read_call(answer).await,
                Err(Fault::NotSent(_)) => {
                    self.avoid(entry, time::now());
                    sleep(BACKOFF).await;
                }
                Err(Fault::Unknown) => {
                    self.avoid(entry, time::now());
                    return Called { status: 0, outcome: Outcome::Unknown, body: Bytes::new() };
                }
            }
        }
        Called { status: 0, outcome: Outcome::NotRun, body: Bytes::new() }
    }
}

/// The outcome of a key after one more sending: once in doubt, a later `not_run` proves nothing.
fn after_repeat(earlier: Outcome, last: Outcome) -> Outcome {
    match (earlier, last) {
        (Outcome::Unknown, Outcome::NotRun) => Outcome::Unknown,
        _ => last,
    }
}

async fn read_call(answer: Answer) -> Called {
    let status = answer.status.as_u16();
    let outcome = outcome_of(&answer);
    match answer.read_to_end(MOST_BODY, HEAD_LIMIT).await {
        Ok(body) => Called { status, outcome, body },
        Err(_) => Called { status, outcome: Outcome::Unknown, body: Bytes::new() },
    }
}

fn outcome_of(answer: &Answer) -> Outcome {
    let name = answer.headers.get(OUTCOME).and_then(|v| v.to_str().ok()).unwrap_or_default();
    let all = [Outcome::Complete, Outcome::NotRun, Outcome::Unknown, Outcome::Cut];
    all.into_iter().find(|o| o.name() == name).unwrap_or(Outcome::Unknown)
}

async fn refused(answer: Answer) -> (Outcome, String) {
    let outcome = outcome_of(&answer);
    let status: StatusCode = answer.status;
    let body = answer.read_to_end(MOST_BODY, SHORT).await.unwrap_or_default();
    (outcome, format!("{status}: {}", String::from_utf8_lossy(&body)))
}

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
    error: Option<ErrorDetail>,
}

#[derive(Deserialize)]
struct Choice {
    delta: Option<Delta>,
    text: Option<String>,
}

#[derive(Deserialize)]
struct Delta {
    content: Option<String>,
}

#[derive(Deserialize)]
struct ErrorDetail {
    message: String,
    outcome: Outcome,
}

async fn read(
    mut answer: Answer,
    last_id: &mut Option<String>,
    each: &mut impl FnMut(Piece),
) -> Read {
    let mut events = Events::default();
    loop {
        while let Some(event) = events.take() {
            if event.data == "[DONE]" {
                return Read::Done;
            }
            let Ok(chunk) = serde_json::from_str::<Chunk>(&event.data) else {
                return Read::Broken;
            };
            if let Some(error) = chunk.error {
                return Read::Failed(error.outcome, error.message);
            }
            if event.id.is_some() {
                *last_id = event.id;
            }
            let choice = chunk.choices.into_iter().next();
            let text = choice.and_then(|c| c.text.or(c.delta.and_then(|d| d.content)));
            if let Some(text) = text.filter(|t| !t.is_empty()) {
                each(Piece { text, at: time::now() });
            }
        }
        match answer.chunk().await {
            Ok(Some(data)) => events.push(&data),
            Ok(None) | Err(_) => return Read::Broken,
        }
    }
}
