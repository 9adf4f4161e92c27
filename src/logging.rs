//! Structured log lines on standard output, one JSON object each, that never hold up their writer.
//!
//! Lines wait in a bounded queue for a thread that writes them. Where the queue is full they are
//! dropped and counted, and a line says how many. Of ordinary lines (level `info` and below) only
//! so many are taken in a second; warnings and errors always are, while the queue has room.

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

/// Lines that wait to be written: some seconds' worth, about 0.5 MB at most.
const QUEUE_CAPACITY: usize = 2_048;
/// Ordinary lines taken in a second: several for each request that a small VM can serve.
const MAX_INFO_LINES_PER_SECOND: u64 = 400;
/// Pause of the writer after a batch, so that lines are written together.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Lines dropped and not yet told.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);
static START_TIME: OnceLock<Instant> = OnceLock::new();

/// Writes the program's log lines, at level `info` unless `RUST_LOG` says otherwise.
pub fn init(vm: &str) {
    START_TIME.get_or_init(time::now);
    let (lines, queue) = sync_channel(QUEUE_CAPACITY);
    let spawned = std::thread::Builder::new()
        .name("log".into())
        .spawn(move || write_all(&queue, io::stdout()));
    if let Err(e) = spawned {
        eprintln!("no thread for log lines ({e}); raise the limit on threads to have them");
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

fn uptime() -> Duration {
    time::since(*START_TIME.get_or_init(time::now))
}

/// Ordinary lines of the present second.
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

/// One line. `up_ms` is by the steady clock and orders the lines of a process; `unix_ms` may jump.
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

/// The key-values of a line as JSON.
struct Fields(Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let number = value.to_u64().map(Json::from).or_else(|| value.to_f64().map(Json::from));
        let json = number.or_else(|| value.to_bool().map(Json::from));
        self.0.insert(key.to_string(), json.unwrap_or_else(|| Json::from(value.to_string())));
        Ok(())
    }
}

/// The way of a formatted line into the queue.
struct QueueWriter(SyncSender<Vec<u8>>);

impl Write for QueueWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) =
            self.0.try_send(line.to_vec())
        {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines until there are no writers left.
fn write_all(queue: &Receiver<Vec<u8>>, mut out: impl Write) {
    while let Ok(mut batch) = queue.recv() {
        while let Ok(line) = queue.try_recv() {
            batch.extend(line);
        }
        let dropped = DROPPED_LINES.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let notice = json!({"up_ms": uptime().as_millis() as u64, "level": "warn", "what": "log lines dropped", "lines": dropped});
            batch.extend(format!("{notice}\n").into_bytes());
        }
        if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
            // Nobody reads any more; requests go on without lines.
            return;
        }
        std::thread::sleep(BATCH_INTERVAL);
    }
}
