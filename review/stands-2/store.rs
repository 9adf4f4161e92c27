//! The platform's store: keys with revisions, leases, pages, watches and transactions, as PROTOCOL says.

use crate::http::{Channel, Request};
use crate::json::{base64, quote, Json};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    made: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    /// Every change: its revision, key and item, or `None` for a removal.
    log: Vec<(u64, String, Option<Item>)>,
    revision: u64,
    /// Leases with their time to live and end.
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let made = self.items.get(key).map_or(self.revision, |item| item.made);
        let item = Item { value, revision: self.revision, made, lease };
        self.items.insert(key.into(), item.clone());
        self.log.push((self.revision, key.into(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.log.push((self.revision, key.into(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let items = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = items.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|key| self.remove(key));
        }
    }
}

/// See the module.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let store = Store { addr, state: Arc::default() };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(Channel::new(stream)));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(50));
            let mut state = expiring.state.0.lock().unwrap();
            let now = Instant::now();
            let over = state.leases.iter().filter(|(_, (_, end))| *end < now);
            let over: Vec<u64> = over.map(|(lease, _)| *lease).collect();
            over.into_iter().for_each(|lease| state.end_lease(lease));
            drop(state);
            expiring.state.1.notify_all();
        });
        store
    }

    /// Writes a key as the operator or a replica; returning is the ack.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        state.put(key, base64(value.as_bytes()), 0);
        drop(state);
        self.state.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        state.remove(key);
        drop(state);
        self.state.1.notify_all();
    }

    fn serve(&self, mut channel: Channel) {
        while let Ok(Some(request)) = channel.request() {
            let (status, body) = self.answer(&request);
            let head = format!(
                "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if channel.stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let path = request.path().to_string();
        match (request.method.as_str(), path.as_str()) {
            ("GET", "/-/kv-range") => self.range(request),
            ("GET", "/-/kv-watch") => self.watch(request),
            ("POST", "/-/kv-txn") => self.transact(request),
            ("POST", "/-/kv-lease") => {
                let body = Json::parse(&request.body_text());
                let ttl = body.and_then(|body| body.get("ttl_ms")?.number()).unwrap_or(1_000);
                let ttl = Duration::from_millis(ttl.clamp(1_000, 600_000));
                let mut state = self.state.0.lock().unwrap();
                state.next_lease += 1;
                let lease = state.next_lease;
                state.leases.insert(lease, (ttl, Instant::now() + ttl));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{}}}", ttl.as_millis()))
            }
            ("POST", path) if path.starts_with("/-/kv-keep/") => {
                let lease = path["/-/kv-keep/".len()..].parse().unwrap_or(0);
                let mut state = self.state.0.lock().unwrap();
                match state.leases.get_mut(&lease) {
                    Some((ttl, end)) => {
                        *end = Instant::now() + *ttl;
                        (200, "{}".into())
                    }
                    None => (404, "{}".into()),
                }
            }
            ("DELETE", path) if path.starts_with("/-/kv-lease-end/") => {
                let lease = path["/-/kv-lease-end/".len()..].parse().unwrap_or(0);
                self.state.0.lock().unwrap().end_lease(lease);
                self.state.1.notify_all();
                (200, "{}".into())
            }
            _ => (404, "{}".into()),
        }
    }

    fn range(&self, request: &Request) -> (u16, String) {
        let prefix = request.query("pathPrefix").unwrap_or_default();
        let after = request.query("after").unwrap_or_default();
        let state = self.state.0.lock().unwrap();
        let listed =
            state.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let rows: Vec<String> = listed.map(|(key, item)| row(key, item)).collect();
        (
            200,
            format!(
                "{{\"entries\":[{}],\"more\":false,\"at\":{}}}",
                rows.join(","),
                state.revision
            ),
        )
    }

    fn watch(&self, request: &Request) -> (u16, String) {
        let prefix = request.query("pathPrefix").unwrap_or_default();
        let number =
            |name| request.query(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let (after, wait) = (number("after"), number("waitMs").min(30_000));
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.0.lock().unwrap();
        loop {
            let new =
                state.log.iter().filter(|(at, key, _)| *at > after && key.starts_with(&prefix));
            let rows: Vec<String> = new
                .map(|(at, key, item)| match item {
                    Some(item) => row(key, item),
                    None => {
                        format!("{{\"privateKey\":{},\"revision\":{at},\"gone\":true}}", quote(key))
                    }
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return (
                    200,
                    format!("{{\"events\":[{}],\"at\":{}}}", rows.join(","), state.revision),
                );
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, request: &Request) -> (u16, String) {
        let Some(body) = Json::parse(&request.body_text()) else { return (400, "{}".into()) };
        let list = |name: &str| body.get(name).map_or(&[][..], Json::list).to_vec();
        let text = |json: &Json, name: &str| {
            json.get(name).and_then(Json::text).unwrap_or_default().to_string()
        };
        let mut state = self.state.0.lock().unwrap();
        for condition in list("ifRev") {
            let known =
                state.items.get(&text(&condition, "privateKey")).map_or(0, |item| item.revision);
            if condition.get("revision").and_then(Json::number) != Some(known) {
                return (412, "{\"entries\":[]}".into());
            }
        }
        let lease = |put: &Json| put.get("lease").and_then(Json::number).unwrap_or(0);
        if list("put").iter().any(|put| lease(put) != 0 && !state.leases.contains_key(&lease(put)))
        {
            return (404, "{}".into());
        }
        state.revision += 1;
        for put in list("put") {
            state.put(&text(&put, "privateKey"), text(&put, "value"), lease(&put));
        }
        for key in list("remove") {
            state.remove(key.text().unwrap_or_default());
        }
        let answer = (200, format!("{{\"revision\":{}}}", state.revision));
        drop(state);
        self.state.1.notify_all();
        answer
    }
}

fn row(key: &str, item: &Item) -> String {
    format!(
        "{{\"privateKey\":{},\"value\":\"{}\",\"revision\":{},\"made\":{},\"lease\":{}}}",
        quote(key),
        item.value,
        item.revision,
        item.made,
        item.lease
    )
}
