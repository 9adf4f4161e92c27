//! Structured logging to standard output, one JSON object per line, that never blocks the logging thread.
//!
//! Lines go through a bounded queue to a thread that writes them. When the queue is full, lines are dropped
//! and counted, and a later line reports how many. Lines at level `info` and below are also rate-limited;
//! warnings and errors are dropped only when the queue is full.

use crate::time;
use env_logger::{Builder, Env, Target};
use log::kv::{Error, Key, Value, VisitSource};
use log::{Level, Record};
use serde_json::{Map, Value as Json, json};
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Maximum number of lines that wait to be written: a few seconds' worth, about 0.5 MB at most.
const QUEUE_CAPACITY: usize = 2_048;
/// Maximum number of lines per second at level `info` and below, which is several for each request that a
/// small VM can serve.
const MAX_INFO_LINES_PER_SECOND: u64 = 400;
/// Pause of the writer thread after each write, so that it writes lines in batches.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Interval of checks whether all lines are written.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Number of dropped lines that no log line has reported yet.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);
/// Number of lines that were put into the queue, and of those that were written.
static QUEUED_LINES: AtomicU64 = AtomicU64::new(0);
static WRITTEN_LINES: AtomicU64 = AtomicU64::new(0);
static START_TIME: OnceLock<Instant> = OnceLock::new();

/// Installs the program's logger and starts its writer thread. The level is `info` unless `RUST_LOG` sets
/// another. `vm` goes into the line of each record.
pub fn init(vm: &str) {
    START_TIME.get_or_init(time::now);
    let (lines, queue) = sync_channel(QUEUE_CAPACITY);
    let spawned = std::thread::Builder::new()
        .name("log".into())
        .spawn(move || write_all(&queue, io::stdout()));
    if let Err(e) = spawned {
        eprintln!(
            "failed to start the log writer thread, no log lines will be written: {e}; raise the thread limit"
        );
    }
    let vm = vm.to_string();
    let rate_limiter = Mutex::new(RateLimiter::default());
    Builder::from_env(Env::default().default_filter_or("info"))
        .format(move |buf, record| {
            let since_start = uptime();
            let accepted = record.level() <= Level::Warn
                || rate_limiter.lock().expect("no holder panics").try_accept(since_start.as_secs());
            if accepted {
                return writeln!(buf, "{}", line(&vm, record, since_start));
            }
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
            Ok(())
        })
        .target(Target::Pipe(Box::new(QueueWriter(lines))))
        .init();
}

/// Waits until all lines are written, for `limit` at most. For the end of the process.
pub fn flush(limit: Duration) {
    let until = time::now() + limit;
    let is_written =
        || WRITTEN_LINES.load(Ordering::Acquire) >= QUEUED_LINES.load(Ordering::Acquire);
    while !is_written() && time::now() < until {
        std::thread::sleep(FLUSH_POLL_INTERVAL);
    }
}

fn uptime() -> Duration {
    time::since(*START_TIME.get_or_init(time::now))
}

/// Limits lines at level `info` and below to [`MAX_INFO_LINES_PER_SECOND`].
#[derive(Debug, Default)]
struct RateLimiter {
    second: u64,
    accepted: u64,
}

impl RateLimiter {
    fn try_accept(&mut self, second: u64) -> bool {
        if self.second != second {
            *self = RateLimiter { second, accepted: 0 };
        }
        self.accepted += 1;
        self.accepted <= MAX_INFO_LINES_PER_SECOND
    }
}

/// Formats a record as JSON. `up_ms` comes from the monotonic clock and orders the lines of a process;
/// `unix_ms` is wall-clock time and may jump.
fn line(vm: &str, record: &Record<'_>, since_start: Duration) -> Json {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut fields = Fields(Map::new());
    let header = [
        ("up_ms", json!(since_start.as_millis() as u64)),
        ("unix_ms", json!(unix.as_millis() as u64)),
        ("vm", json!(vm)),
        ("level", json!(record.level().as_str().to_ascii_lowercase())),
        ("what", json!(record.args().to_string())),
    ];
    fields.0.extend(header.map(|(name, value)| (name.to_string(), value)));
    if let Err(e) = record.key_values().visit(&mut fields) {
        fields.0.insert("unreadable".into(), json!(e.to_string()));
    }
    Json::Object(fields.0)
}

/// Collects a record's key-value pairs as JSON: numbers and booleans keep their type, the rest become
/// strings.
struct Fields(Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let number = value.to_u64().map(Json::from).or_else(|| value.to_f64().map(Json::from));
        let json = number.or_else(|| value.to_bool().map(Json::from));
        self.0.insert(key.to_string(), json.unwrap_or_else(|| Json::from(value.to_string())));
        Ok(())
    }
}

/// Puts formatted lines into the queue, or drops and counts them when it is full or the writer thread has
/// ended.
struct QueueWriter(SyncSender<Vec<u8>>);

impl Write for QueueWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        match self.0.try_send(line.to_vec()) {
            Ok(()) => QUEUED_LINES.fetch_add(1, Ordering::Release),
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                DROPPED_LINES.fetch_add(1, Ordering::Relaxed)
            }
        };
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes queued lines to `out` until all senders are gone or a write fails.
fn write_all(queue: &Receiver<Vec<u8>>, mut out: impl Write) {
    while let Ok(mut batch) = queue.recv() {
        let mut lines = 1;
        while let Ok(line) = queue.try_recv() {
            batch.extend(line);
            lines += 1;
        }
        let dropped = DROPPED_LINES.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let notice = json!({"up_ms": uptime().as_millis() as u64, "level": "warn", "what": "log lines dropped", "lines": dropped});
            batch.extend(format!("{notice}\n").into_bytes());
        }
        if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
            // Standard output is closed. The daemon keeps serving requests without a log.
            return;
        }
        WRITTEN_LINES.fetch_add(lines, Ordering::Release);
        std::thread::sleep(BATCH_INTERVAL);
    }
}
