//! The operators' interface: declared resources, their watch, and the state of the fleet.

use crate::answer::refuse;
use crate::app::App;
use crate::caller::{app, bearer};
use crate::check::Problem;
use crate::config::Role;
use crate::outcome::{Outcome, Reason};
use crate::platform::{Expect, Platform, PlatformError, Swap};
use crate::resource::{Kind, Resource};
use crate::seal::SealKeys;
use crate::server::json;
use crate::snapshot::{self, key_hash, same};
use crate::status;
use crate::watch::{self, Stub, WatchObject};
use salvo::http::StatusCode;
use salvo::prelude::*;
use serde::Serialize;
use std::time::Duration;
use tokio::time::{sleep, timeout};

const BODY_LIMIT: usize = 1 << 20;
/// Largest value that the platform's service holds, with room for what the system adds.
const VALUE_LIMIT: usize = (1 << 20) - 4_096;
const CALL_LIMIT: Duration = Duration::from_millis(3_000);
const SETTLE_TRIES: u32 = 20;
const SETTLE_STEP: Duration = Duration::from_millis(250);
const DEFAULT_PAGE: usize = 500;

/// The routes of this interface.
pub fn routes() -> Router {
    Router::with_path("apis/tidestair/v1")
        .push(Router::with_path("status").get(status::get_status))
        .push(Router::with_path("rotate-keys").post(rotate_keys))
        .push(Router::with_path("{kind}").get(list_kind).post(create))
        .push(Router::with_path("{kind}/{name}").get(get).put(replace).delete(delete))
}

pub(crate) fn reason(status: u16, code: &'static str, message: impl Into<String>) -> Reason {
    Reason::new(status, code, message)
}

pub(crate) fn allowed(req: &Request, app: &App, needs: Role) -> Result<(), Reason> {
    let key = bearer(req).map(|k| key_hash(&k)).unwrap_or_default();
    let operator = app.config.operators.iter().find(|o| same(&o.key_hash, &key));
    let Some(operator) = operator else {
        return Err(reason(
            401,
            "invalid_operator_key",
            "no operator has this key; send `Authorization: Bearer KEY`",
        ));
    };
    if needs == Role::Edit && operator.role != Role::Edit {
        return Err(reason(
            403,
            "view_only",
            "this key may only read; use one with the role `edit`",
        ));
    }
    Ok(())
}

fn kind(req: &Request) -> Result<Kind, Reason> {
    let name = req.param::<String>("kind").unwrap_or_default();
    Kind::parse(&name).ok_or_else(|| {
        reason(404, "unknown_kind", format!("`{name}` is not a kind; see docs/API.md"))
    })
}

fn name(req: &Request) -> String {
    req.param::<String>("name").unwrap_or_default()
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct List<'a> {
    api_version: &'static str,
    kind: String,
    metadata: ListMetadata,
    items: Vec<&'a Resource>,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct ListMetadata {
    resource_version: String,
    #[serde(rename = "continue", skip_serializing_if = "Option::is_none")]
    next: Option<String>,
}

#[handler]
async fn list_kind(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let app = app(depot);
    let kind = match allowed(req, &app, Role::View).and_then(|()| kind(req)) {
        Ok(kind) => kind,
        Err(reason) => return refuse(res, &reason, Outcome::NotRun),
    };
    if req.query::<String>("watch").as_deref() == Some("true") {
        return watch::watch(req, app, kind, res);
    }
    let snapshot = app.in_force.get();
    let after = req.query::<String>("continue").unwrap_or_default();
    let limit = req.query::<usize>("limit").filter(|n| *n > 0).unwrap_or(DEFAULT_PAGE);
    let selector = req.query::<String>("labelSelector");
    let selected =
        snapshot.list(kind).filter(|r| r.metadata.name > after && selects(selector.as_deref(), r));
    let mut items: Vec<&Resource> = selected.take(limit + 1).collect();
    let more = items.len() > limit;
    items.truncate(limit);
    let next = if more { items.last().map(|r| r.metadata.name.clone()) } else { None };
    let metadata = ListMetadata { resource_version: snapshot.revision.to_string(), next };
    let api_version = crate::resource::API_VERSION;
    json(res, StatusCode::OK, &List { api_version, kind: format!("{kind}List"), metadata, items });
}

/// Whether a resource has all labels of a selector such as `a=b,c=d`.
fn selects(selector: Option<&str>, resource: &Resource) -> bool {
    let pairs = selector.unwrap_or_default().split(',').filter_map(|p| p.split_once('='));
    let mut pairs =
        pairs.map(|(k, v)| resource.metadata.labels.get(k).map(String::as_str) == Some(v));
    pairs.all(|holds| holds)
}

#[handler]
async fn get(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let app = app(depot);
    match allowed(req, &app, Role::View).and_then(|()| kind(req)) {
        Ok(kind) => match app.in_force.get().get(kind, &name(req)) {
            Some(resource) => json(res, StatusCode::OK, resource),
            None => refuse(res, &not_found(kind, &name(req)), Outcome::NotRun),
        },
        Err(reason) => refuse(res, &reason, Outcome::NotRun),
    }
}

fn not_found(kind: Kind, name: &str) -> Reason {
    reason(404, "not_found", format!("{kind} `{name}` is not declared; create it first"))
}

/// What an operator's write comes to.
enum Written {
    Accepted(Box<Resource>, StatusCode),
    Deleted(u64),
}

#[handler]
async fn create(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let app = app(depot);
    let written = create_one(req, &app).await;
    reply(res, written);
}

#[handler]
async fn replace(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let app = app(depot);
    let written = replace_one(req, &app).await;
    reply(res, written);
}

#[handler]
async fn delete(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let app = app(depot);
    let written = delete_one(req, &app).await;
    reply(res, written);
}

fn reply(res: &mut Response, written: Result<Written, Refusal>) {
    match written {
        Ok(Written::Accepted(resource, status)) => json(res, status, &*resource),
        Ok(Written::Deleted(revision)) => {
            let metadata = Stub { name: String::new(), resource_version: revision.to_string() };
            json(res, StatusCode::OK, &WatchObject::Stub { metadata });
        }
        Err(Refusal::Reason(reason, outcome)) => refuse(res, &reason, outcome),
        Err(Refusal::Invalid(problems)) => {
            let list: Vec<String> = problems.iter().map(Problem::to_string).collect();
            refuse(res, &reason(422, "invalid_resource", list.join("; ")), Outcome::NotRun);
        }
    }
}

enum Refusal {
    Reason(Reason, Outcome),
    Invalid(Vec<Problem>),
}

impl From<Reason> for Refusal {
    fn from(reason: Reason) -> Refusal {
        Refusal::Reason(reason, Outcome::NotRun)
    }
}

async fn read(req: &mut Request, app: &App, kind: Kind) -> Result<Resource, Refusal> {
    let body = req.payload_with_max_size(BODY_LIMIT).await;
    let body = body.map_err(|_| crate::prompt::too_large(BODY_LIMIT))?;
    let resource = Resource::parse(&String::from_utf8_lossy(body)).map_err(Refusal::Invalid)?;
    if resource.kind() != kind {
        return Err(reason(
            400,
            "wrong_kind",
            format!("the body is a {}; use its own path", resource.kind()),
        )
        .into());
    }
    let missing = app.in_force.get().missing_references(&resource);
    if missing.is_empty() { Ok(resource) } else { Err(Refusal::Invalid(missing)) }
}

async fn create_one(req: &mut Request, app: &App) -> Result<Written, Refusal> {
    allowed(req, app, Role::Edit)?;
    let kind = kind(req)?;
    let mut resource = read(req, app, kind).await?;
    resource.metadata.generation = 1;
    let revision = write(app, &mut resource, Expect::Absent).await?;
    resource.metadata.resource_version = Some(revision.to_string());
    Ok(Written::Accepted(Box::new(resource), StatusCode::CREATED))
}

async fn replace_one(req: &mut Request, app: &App) -> Result<Written, Refusal> {
    allowed(req, app, Role::Edit)?;
    let kind = kind(req)?;
    let mut resource = read(req, app, kind).await?;
    if resource.metadata.name != name(req) {
        return Err(
            reason(400, "wrong_name", "metadata.name differs from the path; use one name").into()
        );
    }
    let given = resource.metadata.resource_version.as_deref().and_then(|v| v.parse::<u64>().ok());
    let missing = || {
        reason(400, "missing_version", "metadata.resourceVersion is missing; send the one you read")
    };
    let given = given.ok_or_else(missing)?;
    resource.metadata.generation += 1;
    let revision = write(app, &mut resource, Expect::Revision(given)).await?;
    resource.metadata.resource_version = Some(revision.to_string());
    Ok(Written::Accepted(Box::new(resource), StatusCode::OK))
}

async fn delete_one(req: &mut Request, app: &App) -> Result<Written, Refusal> {
    allowed(req, app, Role::Edit)?;
    let kind = kind(req)?;
    let key = snapshot::key(kind, &name(req));
    let found = timeout(CALL_LIMIT, app.platform.get(&key)).await;
    let found = found.map_err(|_| unavailable())?.map_err(|_| unavailable())?;
    let found = found.ok_or_else(|| not_found(kind, &name(req)))?;
    let given = req.query::<u64>("resourceVersion").unwrap_or(found.revision);
    match timeout(CALL_LIMIT, app.platform.swap(&key, Expect::Revision(given), None, None)).await {
        Ok(Ok(Swap::Won(revision))) => Ok(Written::Deleted(revision)),
        Ok(Ok(Swap::Lost)) => Err(conflict(given, Some(found.revision)).into()),
        Ok(Err(PlatformError::Unavailable { .. })) => Err(unavailable().into()),
        // Deleting again does no harm, so a lost answer needs no settling.
        Ok(Err(PlatformError::NoAnswer { .. })) | Err(_) => {
            Err(Refusal::Reason(unsettled(), Outcome::Unknown))
        }
    }
}

/// Writes a resource if it is as expected; a lost answer is settled by reading the change's id.
async fn write(app: &App, resource: &mut Resource, expect: Expect) -> Result<u64, Refusal> {
    let key = snapshot::key(resource.kind(), &resource.metadata.name);
    resource.metadata.resource_version = None;
    resource.metadata.change_id = format!("{:032x}", rand::random::<u128>());
    let value = serde_json::to_vec(resource).expect("a resource is JSON");
    if value.len() > VALUE_LIMIT {
        return Err(reason(
            413,
            "too_large",
            format!("the resource is over {VALUE_LIMIT} bytes; split it"),
        )
        .into());
    }
    match timeout(CALL_LIMIT, app.platform.swap(&key, expect, Some(value), None)).await {
        Ok(Ok(Swap::Won(revision))) => Ok(revision),
        Ok(Err(PlatformError::Unavailable { .. })) => Err(unavailable().into()),
        Ok(Ok(Swap::Lost)) => settle(app, &key, resource, expect, Certain::Yes).await,
        Ok(Err(PlatformError::NoAnswer { .. })) | Err(_) => {
            settle(app, &key, resource, expect, Certain::No).await
        }
    }
}

/// Whether the write's own answer came.
#[derive(PartialEq, Eq, Clone, Copy)]
enum Certain {
    Yes,
    No,
}

async fn settle(
    app: &App,
    key: &str,
    resource: &Resource,
    expect: Expect,
    certain: Certain,
) -> Result<u64, Refusal> {
    for _ in 0..SETTLE_TRIES {
        if let Ok(Ok(found)) = timeout(CALL_LIMIT, app.platform.get(key)).await {
            let revision = found.as_ref().map(|e| e.revision);
            let change = found
                .and_then(|e| serde_json::from_slice::<Resource>(&e.value).ok())
                .map(|r| r.metadata.change_id);
            let landed = change.as_deref() == Some(&resource.metadata.change_id);
            let unchanged = match expect {
                Expect::Absent => revision.is_none(),
                Expect::Revision(at) => revision == Some(at),
            };
            match (landed, unchanged, certain, revision) {
                (true, _, _, Some(at)) => return Ok(at),
                // It may still land; whoever asks again is told by the version.
                (_, true, Certain::No, _) => {
                    return Err(Refusal::Reason(unsettled(), Outcome::Unknown));
                }
                _ => return Err(conflict(expected(expect), revision).into()),
            }
        }
        sleep(SETTLE_STEP).await;
    }
    Err(Refusal::Reason(unsettled(), Outcome::Unknown))
}

fn expected(expect: Expect) -> u64 {
    match expect {
        Expect::Absent => 0,
        Expect::Revision(at) => at,
    }
}

fn conflict(given: u64, found: Option<u64>) -> Reason {
    let found = found.map_or("gone".to_string(), |r| r.to_string());
    reason(
        409,
        "conflict",
        format!(
            "resourceVersion {given} was given and {found} is accepted; read it again and apply your change to that"
        ),
    )
}

fn unavailable() -> Reason {
    reason(
        503,
        "platform_unavailable",
        "the platform's service is unavailable, so nothing was accepted; try again later",
    )
    .retry_after(2_000)
}

fn unsettled() -> Reason {
    reason(
        504,
        "unsettled",
        "the platform's service gave no answer; read the resource to see whether the change was accepted",
    )
}

/// Exchanges the keys that seal event ids; ids sealed with the last ones stay good until the next time.
#[handler]
async fn rotate_keys(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let app = app(depot);
    if let Err(reason) = allowed(req, &app, Role::Edit) {
        return refuse(res, &reason, Outcome::NotRun);
    }
    match rotate(&app).await {
        Ok(revision) => {
            let metadata = Stub { name: "seal".into(), resource_version: revision.to_string() };
            json(res, StatusCode::OK, &WatchObject::Stub { metadata });
        }
        Err(reason) => refuse(res, &reason, Outcome::NotRun),
    }
}

async fn rotate(app: &App) -> Result<u64, Reason> {
    let key = snapshot::seal_key();
    let found = timeout(CALL_LIMIT, app.platform.get(&key))
        .await
        .map_err(|_| unavailable())?
        .map_err(|_| unavailable())?;
    let keys = found.as_ref().and_then(|e| serde_json::from_slice::<SealKeys>(&e.value).ok());
    let next = match keys {
        Some(keys) => keys.rotate(&mut rand::rng()),
        None => SealKeys::generate(&mut rand::rng()),
    };
    let expect = found.map_or(Expect::Absent, |e| Expect::Revision(e.revision));
    let value = serde_json::to_vec(&next).expect("keys are JSON");
    match timeout(CALL_LIMIT, app.platform.swap(&key, expect, Some(value), None)).await {
        Ok(Ok(Swap::Won(revision))) => Ok(revision),
        Ok(Ok(Swap::Lost)) => {
            Err(reason(409, "conflict", "the keys were rotated by somebody else meanwhile"))
        }
        _ => Err(unsettled()),
    }
}
