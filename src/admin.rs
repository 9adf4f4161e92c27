//! The operators' side of the resource API.

use crate::adapter::request;
use crate::error::{Error, ReadSnafu, Result};
use crate::escape;
use crate::outcome::NotSent;
use crate::resource::{Kind, Resource};
use crate::status::FleetStatus;
use crate::time;
use crate::wire::{Answer, Wire};
use bytes::Bytes;
use hyper::{Method, StatusCode};
use serde::Deserialize;
use serde_json::Value;
use snafu::ResultExt;
use std::io::{Read, Write};
use std::net::{SocketAddr, ToSocketAddrs};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::time::sleep;

const LIMIT: Duration = Duration::from_secs(15);
const BODY_LIMIT: usize = 256 << 20;
const WAIT_LIMIT: Duration = Duration::from_secs(30);
const WAIT_STEP: Duration = Duration::from_millis(100);
/// The order in which kinds are applied, so that references hold.
const ORDER: [Kind; 6] = [
    Kind::Policy,
    Kind::TrafficClass,
    Kind::EnginePool,
    Kind::ServicePool,
    Kind::Workspace,
    Kind::Experiment,
];

/// One daemon's operator interface.
pub struct Admin {
    addr: SocketAddr,
    key: String,
    wire: Wire,
}

/// What applying a resource came to.
#[derive(Debug)]
pub enum Applied {
    /// It was so already.
    Unchanged,
    /// It is new, at this revision.
    Created(u64),
    /// It was changed.
    Changed {
        /// Revision of the change; 0 on a dry run.
        revision: u64,
        /// The differing lines.
        diff: String,
    },
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorDetail,
}

#[derive(Deserialize)]
struct ErrorDetail {
    message: String,
}

#[derive(Deserialize)]
struct List {
    items: Vec<Resource>,
    metadata: ListMetadata,
}

#[derive(Deserialize)]
struct ListMetadata {
    #[serde(rename = "continue")]
    next: Option<String>,
}

impl Admin {
    /// For the daemon at `addr`, as `127.0.0.1:8080`.
    pub fn new(addr: &str, key: &str) -> Result<Admin> {
        let found = addr.to_socket_addrs().ok().and_then(|mut all| all.next());
        let wrong = || Error::Usage {
            message: format!("`{addr}` is not an address such as 127.0.0.1:8080"),
        };
        Ok(Admin { addr: found.ok_or_else(wrong)?, key: key.into(), wire: Wire::default() })
    }

    async fn send(&self, method: Method, path: &str, body: Bytes) -> Result<Answer> {
        let mut req = request(method, self.addr, path, body);
        let wrong =
            |_| Error::Usage { message: "the key holds characters that a header cannot".into() };
        req.headers_mut()
            .insert("authorization", format!("Bearer {}", self.key).parse().map_err(wrong)?);
        let sent = self.wire.send(self.addr, req, NotSent::begin(), LIMIT).await;
        sent.map_err(|_| self.unreachable("no answer"))
    }

    async fn ask(&self, method: Method, path: &str, body: Bytes) -> Result<Bytes> {
        let answer = self.send(method, path, body).await?;
        let status = answer.status;
        let broken = |_| self.unreachable("the answer broke off");
        let bytes = answer.read_to_end(BODY_LIMIT, LIMIT).await.map_err(broken)?;
        if status.is_success() {
            return Ok(bytes);
        }
        let said = serde_json::from_slice::<ErrorBody>(&bytes).map(|b| b.error.message);
        let message = said.unwrap_or_else(|_| String::from_utf8_lossy(&bytes).into_owned());
        Err(Error::Refused { server: self.addr.to_string(), status: status.as_u16(), message })
    }

    fn unreachable(&self, reason: impl Into<String>) -> Error {
        Error::Unreachable { server: self.addr.to_string(), reason: reason.into() }
    }

    fn parse<T: for<'de> Deserialize<'de>>(&self, bytes: &[u8]) -> Result<T> {
        let refused = |e: serde_json::Error| self.unreachable(format!("unexpected answer: {e}"));
        serde_json::from_slice(bytes).map_err(refused)
    }

    /// One resource.
    pub async fn get(&self, kind: Kind, name: &str) -> Result<Resource> {
        let bytes = self.ask(Method::GET, &path(kind, name), Bytes::new()).await?;
        self.parse(&bytes)
    }

    /// All resources of a kind.
    pub async fn list(&self, kind: Kind) -> Result<Vec<Resource>> {
        let mut all = Vec::new();
        let mut after = String::new();
        loop {
            let page = format!("/apis/tidestair/v1/{kind}?continue={}", escape::query(&after));
            let list: List = self.parse(&self.ask(Method::GET, &page, Bytes::new()).await?)?;
            all.extend(list.items);
            match list.metadata.next {
                Some(next) if next > after => after = next,
                Some(_) => return Err(self.unreachable("the pages of the list have no end")),
                None => return Ok(all),
            }
        }
    }

    /// Makes a resource as declared; does nothing where it is so already.
    pub async fn apply(&self, resource: &Resource, dry: bool) -> Result<Applied> {
        let (kind, name) = (resource.kind(), &resource.metadata.name);
        let found = match self.get(kind, name).await {
            Ok(found) => Some(found),
            Err(Error::Refused { status: 404, .. }) => None,
            Err(e) => return Err(e),
        };
        let Some(found) = found else {
            let revision = if dry { 0 } else { self.create(resource).await? };
            return Ok(Applied::Created(revision));
        };
        if found.spec == resource.spec && found.metadata.labels == resource.metadata.labels {
            return Ok(Applied::Unchanged);
        }
        let diff = diff(&found, resource);
        let revision = if dry { 0 } else { self.replace(&found, resource).await? };
        Ok(Applied::Changed { revision, diff })
    }

    /// Creates a resource; returns the revision of the change.
    pub async fn create(&self, resource: &Resource) -> Result<u64> {
        let body = serde_json::to_vec(resource).expect("a resource is JSON");
        let path = format!("/apis/tidestair/v1/{}", resource.kind());
        let created: Resource = self.parse(&self.ask(Method::POST, &path, body.into()).await?)?;
        Ok(version(&created))
    }

    /// Replaces `found` by what is declared; returns the revision of the change.
    pub async fn replace(&self, found: &Resource, declared: &Resource) -> Result<u64> {
        let mut next = declared.clone();
        next.metadata.resource_version = found.metadata.resource_version.clone();
        next.metadata.generation = found.metadata.generation;
        let body = serde_json::to_vec(&next).expect("a resource is JSON");
        let path = path(next.kind(), &next.metadata.name);
        let replaced: Resource = self.parse(&self.ask(Method::PUT, &path, body.into()).await?)?;
        Ok(version(&replaced))
    }

    /// Deletes a resource.
    pub async fn delete(&self, kind: Kind, name: &str) -> Result<()> {
        self.ask(Method::DELETE, &path(kind, name), Bytes::new()).await.map(drop)
    }

    /// Exchanges the keys that seal event ids.
    pub async fn rotate_keys(&self) -> Result<()> {
        self.ask(Method::POST, "/apis/tidestair/v1/rotate-keys", Bytes::new()).await.map(drop)
    }

    /// The fleet as the daemon sees it.
    pub async fn status(&self) -> Result<FleetStatus> {
        let bytes = self.ask(Method::GET, "/apis/tidestair/v1/status", Bytes::new()).await?;
        self.parse(&bytes)
    }

    /// Waits until a revision is in force everywhere; names the daemons that lag after the limit.
    pub async fn wait(&self, revision: u64) -> Result<Vec<String>> {
        let until = time::now() + WAIT_LIMIT;
        loop {
            let status = self.status().await?;
            if status.in_force >= revision {
                return Ok(Vec::new());
            }
            if time::now() >= until {
                let lagging = status.daemons.into_iter().filter(|d| d.revision < revision);
                return Ok(lagging.map(|d| d.vm).collect());
            }
            sleep(WAIT_STEP).await;
        }
    }

    /// Copies the changes of a kind to `out`, a line each, until the daemon ends.
    pub async fn watch(&self, kind: Kind, out: &mut dyn Write) -> Result<()> {
        let path = format!("/apis/tidestair/v1/{kind}?watch=true");
        let mut answer = self.send(Method::GET, &path, Bytes::new()).await?;
        if answer.status != StatusCode::OK {
            let status = answer.status.as_u16();
            return Err(Error::Refused {
                server: self.addr.to_string(),
                status,
                message: "the watch was refused".into(),
            });
        }
        while let Ok(Some(data)) = answer.chunk().await {
            if out.write_all(&data).and_then(|()| out.flush()).is_err() {
                return Ok(());
            }
        }
        Ok(())
    }
}

fn path(kind: Kind, name: &str) -> String {
    format!("/apis/tidestair/v1/{kind}/{}", escape::segment(name))
}

fn version(resource: &Resource) -> u64 {
    let version = resource.metadata.resource_version.as_deref();
    version.and_then(|v| v.parse().ok()).unwrap_or(0)
}

/// The lines of the spec that differ.
fn diff(old: &Resource, new: &Resource) -> String {
    let lines = |r: &Resource| -> Vec<String> {
        let text = serde_json::to_string_pretty(&r.spec).expect("a spec is JSON");
        text.lines().map(str::to_string).collect()
    };
    let (old, new) = (lines(old), lines(new));
    let gone = old.iter().filter(|l| !new.contains(l)).map(|l| format!("  - {}", l.trim()));
    let come = new.iter().filter(|l| !old.contains(l)).map(|l| format!("  + {}", l.trim()));
    gone.chain(come).collect::<Vec<_>>().join("\n")
}

/// Reads all resources of a file, a folder or (`-`) the standard input, in the order to apply them.
pub fn read_all(from: &Path) -> Result<Vec<Resource>> {
    let mut all = Vec::new();
    if from == Path::new("-") {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text).context(ReadSnafu { path: from })?;
        all.extend(parse_text(&text, "standard input")?);
    } else {
        for path in files(from)? {
            let text = std::fs::read_to_string(&path).context(ReadSnafu { path: &path })?;
            all.extend(parse_text(&text, &path.display().to_string())?);
        }
    }
    all.sort_by_key(|r: &Resource| ORDER.iter().position(|k| *k == r.kind()));
    Ok(all)
}

fn files(from: &Path) -> Result<Vec<PathBuf>> {
    if !from.is_dir() {
        return Ok(vec![from.to_path_buf()]);
    }
    let mut files = Vec::new();
    for entry in std::fs::read_dir(from).context(ReadSnafu { path: from })? {
        let path = entry.context(ReadSnafu { path: from })?.path();
        if path.extension().is_some_and(|e| e == "json") {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}

/// A text holds one resource, or an array of them.
fn parse_text(text: &str, what: &str) -> Result<Vec<Resource>> {
    let invalid = |problems| Error::Invalid { what: what.into(), problems };
    let value: Value = crate::check::read(text).map_err(invalid)?;
    let values = match value {
        Value::Array(values) => values,
        one => vec![one],
    };
    values.into_iter().map(|v| Resource::from_value(v).map_err(invalid)).collect()
}
