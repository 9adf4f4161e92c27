//! Watches of declared resources: a line for each change.

use crate::answer::refuse;
use crate::app::App;
use crate::operator::reason;
use crate::outcome::Outcome;
use crate::resource::{Kind, Resource};
use crate::server::stream_body;
use crate::snapshot;
use bytes::Bytes;
use salvo::prelude::*;
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

const WATCH_DEPTH: usize = 16;
const BOOKMARK_EVERY: Duration = Duration::from_secs(10);

#[derive(Serialize)]
struct WatchEvent<'a> {
    #[serde(rename = "type")]
    kind: &'static str,
    object: WatchObject<'a>,
}

#[derive(Serialize)]
#[serde(untagged)]
pub(crate) enum WatchObject<'a> {
    Resource(&'a Resource),
    Stub { metadata: Stub },
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Stub {
    #[serde(skip_serializing_if = "String::is_empty")]
    pub(crate) name: String,
    pub(crate) resource_version: String,
}

/// Sends changes of a kind from a revision on, a line each, with a bookmark now and then.
pub(crate) fn watch(req: &Request, app: Arc<App>, kind: Kind, res: &mut Response) {
    let now = app.in_force.get().revision;
    let mut at = req.query::<u64>("resourceVersion").unwrap_or(now);
    if app.in_force.changes_after(at).is_none() {
        let message = "resourceVersion is too old to watch from; list again and watch from its resourceVersion";
        return refuse(res, &reason(410, "too_old", message), Outcome::NotRun);
    }
    let tx = stream_body(res, WATCH_DEPTH);
    let prefix = snapshot::key(kind, "");
    tokio::spawn(async move {
        let mut revisions = app.in_force.subscribe();
        loop {
            // Falling behind by more than is kept ends the watch; the caller lists again.
            let Some(changes) = app.in_force.changes_after(at) else {
                return;
            };
            let seen = app.in_force.get().revision;
            for change in &changes {
                let Some(name) = change.key.strip_prefix(&prefix) else {
                    continue;
                };
                let line = change_line(name, change.value.as_deref(), change.revision);
                if tx.send(Ok(line)).await.is_err() {
                    return;
                }
            }
            at = changes.last().map_or(at, |c| c.revision).max(at);
            let woken = tokio::select! {
                changed = revisions.changed() => changed.is_ok(),
                () = sleep(BOOKMARK_EVERY) => tx.send(Ok(bookmark(seen.max(at)))).await.is_ok(),
                () = tx.closed() => false,
            };
            if !woken {
                return;
            }
        }
    });
}

fn change_line(name: &str, value: Option<&[u8]>, revision: u64) -> Bytes {
    let resource = value.and_then(|v| serde_json::from_slice::<Resource>(v).ok());
    let stub = || WatchObject::Stub {
        metadata: Stub { name: name.into(), resource_version: revision.to_string() },
    };
    match resource {
        Some(mut resource) => {
            resource.metadata.resource_version = Some(revision.to_string());
            let kind = if resource.metadata.generation <= 1 { "ADDED" } else { "MODIFIED" };
            line(&WatchEvent { kind, object: WatchObject::Resource(&resource) })
        }
        None => line(&WatchEvent { kind: "DELETED", object: stub() }),
    }
}

fn bookmark(revision: u64) -> Bytes {
    let metadata = Stub { name: String::new(), resource_version: revision.to_string() };
    line(&WatchEvent { kind: "BOOKMARK", object: WatchObject::Stub { metadata } })
}

fn line(event: &impl Serialize) -> Bytes {
    let mut bytes = serde_json::to_vec(event).expect("an event is JSON");
    bytes.push(b'\n');
    Bytes::from(bytes)
}
