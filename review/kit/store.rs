//! A stand-in of the platform's store: keys with revisions, leases and reads that wait for changes.

use super::http::{Request, read_request, write_answer};
use super::json::{Json, base64};
use std::collections::{BTreeMap, HashMap};
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    made: u64,
    lease: u64,
}

#[derive(Clone)]
struct Change {
    key: String,
    revision: u64,
    value: Option<Item>,
}

#[derive(Clone)]
struct Lease {
    ttl: Duration,
    until: Instant,
}

/// The store's data.
#[derive(Default, Clone)]
pub struct State {
    /// Number of times that it was restored from a copy.
    era: u64,
    /// Whether it is away: all calls get 503.
    away: bool,
    revision: u64,
    items: BTreeMap<String, Item>,
    changes: Vec<Change>,
    leases: HashMap<u64, Lease>,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let made = self.items.get(key).map_or(revision, |item| item.made);
        let item = Item { value, revision, made, lease };
        self.items.insert(key.into(), item.clone());
        self.changes.push(Change { key: key.into(), revision, value: Some(item) });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.changes.push(Change { key: key.into(), revision: self.revision, value: None });
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> =
            self.leases.iter().filter(|(_, l)| l.until <= now).map(|(id, _)| *id).collect();
        over.into_iter().for_each(|id| self.end_lease(id));
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> =
            self.items.iter().filter(|(_, i)| i.lease == id).map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
    }
}

/// The store; clones share one state.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

fn row(key: &str, item: &Item) -> String {
    let Item { value, revision, made, lease } = item;
    format!(
        "{{\"privateKey\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"made\":{made},\"lease\":{lease}}}"
    )
}

impl Store {
    /// Starts the store on a free port of a loopback address.
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let store = Store { addr, state: Arc::default() };
        let accepting = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        std::thread::spawn(move || {
            loop {
                super::sleep_ms(100);
                expiring.state.0.lock().unwrap().expire();
                expiring.state.1.notify_all();
            }
        });
        store
    }

    /// Writes a key as the operator or a replica does.
    pub fn put(&self, key: &str, text: &str) {
        self.state.0.lock().unwrap().put(key, base64(text.as_bytes()), 0);
        self.state.1.notify_all();
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.state.0.lock().unwrap().remove(key);
        self.state.1.notify_all();
    }

    /// A copy of all data.
    pub fn copy(&self) -> State {
        self.state.0.lock().unwrap().clone()
    }

    /// The store is away from now on.
    pub fn go_away(&self) {
        self.state.0.lock().unwrap().away = true;
    }

    /// The store is back, with the data of an earlier copy.
    pub fn come_back(&self, copy: State) {
        let mut state = self.state.0.lock().unwrap();
        let era = state.era + 1;
        *state = State { era, away: false, ..copy };
        drop(state);
        self.state.1.notify_all();
    }

    /// The keys below a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state.0.lock().unwrap();
        state.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else { return };
        let mut from = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut from) {
            let (status, body) = self.answer(&request);
            let (era, away) = {
                let state = self.state.0.lock().unwrap();
                (state.era.to_string(), state.away)
            };
            let status = if away { "503 Service Unavailable" } else { status };
            let headers = [("content-type", "application/json"), ("store-era", era.as_str())];
            if write_answer(&mut out, status, &headers, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (&'static str, String) {
        let path = request.path().to_string();
        let body = std::str::from_utf8(&request.body).ok().and_then(Json::parse);
        match (request.method.as_str(), path.as_str()) {
            ("GET", "/-/kv-key") => self.key(request.query("privateKey").unwrap_or_default()),
            ("GET", "/-/kv-range") => self.range(request),
            ("GET", "/-/kv-watch") => self.watch(request),
            ("POST", "/-/kv-txn") => self.transaction(&body.unwrap_or(Json::Null)),
            ("POST", "/-/kv-lease") => self.grant(&body.unwrap_or(Json::Null)),
            ("POST", _) if path.starts_with("/-/kv-keep/") => self.keep(&path),
            ("DELETE", _) if path.starts_with("/-/kv-lease-end/") => self.end(&path),
            _ => ("404 Not Found", "{}".into()),
        }
    }

    fn key(&self, key: &str) -> (&'static str, String) {
        let state = self.state.0.lock().unwrap();
        match state.items.get(key) {
            Some(item) => ("200 OK", row(key, item)),
            None => ("404 Not Found", format!("{{\"at\":{}}}", state.revision)),
        }
    }

    fn range(&self, request: &Request) -> (&'static str, String) {
        let prefix = request.query("pathPrefix").unwrap_or_default();
        let after = request.query("after").unwrap_or_default();
        let state = self.state.0.lock().unwrap();
        let all = state.items.iter().filter(|(key, _)| key.starts_with(prefix));
        let mut rows: Vec<String> =
            all.filter(|(key, _)| key.as_str() > after).map(|(key, item)| row(key, item)).collect();
        let more = rows.len() > 500;
        rows.truncate(500);
        let (rows, at) = (rows.join(","), state.revision);
        ("200 OK", format!("{{\"entries\":[{rows}],\"more\":{more},\"at\":{at}}}"))
    }

    fn watch(&self, request: &Request) -> (&'static str, String) {
        let prefix = request.query("pathPrefix").unwrap_or_default();
        let number = |name| request.query(name).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
        let (after, wait) = (number("after"), Duration::from_millis(number("waitMs")));
        let until = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            if after > state.revision {
                return ("410 Gone", "{}".into());
            }
            let new = |change: &&Change| change.revision > after && change.key.starts_with(prefix);
            let rows: Vec<String> = state
                .changes
                .iter()
                .filter(new)
                .map(|change| match &change.value {
                    Some(item) => row(&change.key, item),
                    None => format!(
                        "{{\"privateKey\":\"{}\",\"revision\":{},\"gone\":true}}",
                        change.key, change.revision
                    ),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let (rows, at) = (rows.join(","), state.revision);
                return ("200 OK", format!("{{\"events\":[{rows}],\"at\":{at}}}"));
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transaction(&self, body: &Json) -> (&'static str, String) {
        let key = |row: &Json| row.get("privateKey").and_then(Json::text).map(str::to_string);
        let number =
            |row: &Json, name: &str| row.get(name).and_then(Json::number).unwrap_or(0.0) as u64;
        let list = |name| body.get(name).map(Json::list).unwrap_or_default();
        let mut state = self.state.0.lock().unwrap();
        let holds = |row: &Json| {
            let known = key(row).and_then(|key| state.items.get(&key).map(|item| item.revision));
            known.unwrap_or(0) == number(row, "revision")
        };
        if !list("ifRev").iter().all(holds) {
            return ("412 Precondition Failed", "{\"entries\":[]}".into());
        }
        let has_lease = |row: &Json| {
            let lease = number(row, "lease");
            lease == 0 || state.leases.contains_key(&lease)
        };
        if !list("put").iter().all(has_lease) {
            return ("404 Not Found", "{}".into());
        }
        for row in list("put") {
            let value = row.get("value").and_then(Json::text).unwrap_or_default().to_string();
            state.put(&key(row).unwrap_or_default(), value, number(row, "lease"));
        }
        for row in list("remove") {
            state.remove(row.text().unwrap_or_default());
        }
        self.state.1.notify_all();
        ("200 OK", format!("{{\"revision\":{}}}", state.revision))
    }

    fn grant(&self, body: &Json) -> (&'static str, String) {
        let ttl_ms = body.get("ttl_ms").and_then(Json::number).unwrap_or(1_000.0) as u64;
        let ttl = Duration::from_millis(ttl_ms);
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let id = state.revision;
        state.leases.insert(id, Lease { ttl, until: Instant::now() + ttl });
        ("200 OK", format!("{{\"lease\":{id},\"ttl_ms\":{ttl_ms}}}"))
    }

    fn lease_id(path: &str) -> u64 {
        path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0)
    }

    fn keep(&self, path: &str) -> (&'static str, String) {
        let mut state = self.state.0.lock().unwrap();
        match state.leases.get_mut(&Store::lease_id(path)) {
            Some(lease) => {
                lease.until = Instant::now() + lease.ttl;
                ("200 OK", format!("{{\"ttl_ms\":{}}}", lease.ttl.as_millis()))
            }
            None => ("404 Not Found", "{}".into()),
        }
    }

    fn end(&self, path: &str) -> (&'static str, String) {
        self.state.0.lock().unwrap().end_lease(Store::lease_id(path));
        self.state.1.notify_all();
        ("200 OK", "{}".into())
    }
}
