//! The callers' interface to plain services.

use crate::answer::{self, OUTCOME};
use crate::caller::{Caller, app};
use crate::calls::{self, OnceKey, ServiceCall};
use crate::outcome::{Failure, NotSent, Outcome, Reason};
use crate::prompt;
use crate::resource::RouteSpec;
use salvo::http::{HeaderValue, header};
use salvo::prelude::*;
use std::time::Duration;

/// Header with a caller's key of a call that must not run twice.
pub const ONCE_KEY: &str = "idempotency-key";
/// Header by which a caller says how often it has sent a key, from [`FIRST_ATTEMPT`] on.
pub const ATTEMPT: &str = "x-tidestair-attempt";
/// The first sending of a key.
pub const FIRST_ATTEMPT: &str = "1";
#[handler]
pub(crate) async fn call_service(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let _open = app(depot).begin();
    let metrics = app(depot).metrics.clone();
    let ended = match service_call(req, depot).await {
        Ok(ended) => ended,
        Err(reason) if once_key(req).is_some() => {
            Err(calls::unclaimed(NotSent::begin(), first_sending(req), reason))
        }
        Err(reason) => Err(Failure::not_run(NotSent::begin(), reason)),
    };
    match ended {
        Ok(done) => {
            metrics.ended("call", Outcome::Complete);
            res.headers_mut().insert(OUTCOME, HeaderValue::from_static(Outcome::Complete.name()));
            res.status_code(done.status);
            let kind = done.kind.and_then(|k| HeaderValue::from_str(&k).ok());
            res.headers_mut().insert(
                header::CONTENT_TYPE,
                kind.unwrap_or(HeaderValue::from_static("application/octet-stream")),
            );
            let _ = res.write_body(done.body);
        }
        Err(ended) => {
            metrics.ended("call", ended.outcome());
            answer::failure(res, &ended);
        }
    }
}

fn once_key(req: &Request) -> Option<String> {
    let key = req.headers().get(ONCE_KEY)?.to_str().ok()?;
    Some(key.to_string())
}

fn first_sending(req: &Request) -> bool {
    req.headers().get(ATTEMPT).is_some_and(|v| v == FIRST_ATTEMPT)
}

type Called = Result<calls::ServiceAnswer, Failure>;

/// The path of a call at its service, as the caller sent it: without `v1/services/` and the service.
fn path_at_service(path: &str) -> &str {
    (0..3).fold(path, |rest, _| {
        rest.trim_start_matches('/').split_once('/').map_or("", |(_, rest)| rest)
    })
}

async fn service_call(req: &mut Request, depot: &Depot) -> Result<Called, Reason> {
    let caller = Caller::known(req, depot)?;
    let name = req.param::<String>("service").unwrap_or_default();
    let unknown = || {
        Reason::new(
            404,
            "unknown_service",
            format!("service `{name}` is not declared; correct the path"),
        )
    };
    let pool = caller.snapshot.service_pool(&name).ok_or_else(unknown)?.clone();
    let backends = caller.app.service(&name).ok_or_else(unknown)?;
    let path = path_at_service(req.uri().path()).to_string();
    let decoded = req.param::<String>("path").unwrap_or_default();
    let first = decoded.split('/').next().unwrap_or_default();
    let route = pool.routes.iter().find(|r| r.path == first).cloned();
    let RouteSpec { repeatable, timeout_ms, .. } = route.unwrap_or_else(|| RouteSpec {
        path: first.into(),
        repeatable: false,
        timeout_ms: 10_000,
    });
    let limit = caller.app.config.body_bytes as usize;
    let body =
        req.payload_with_max_size(limit).await.map_err(|_| prompt::too_large(limit))?.clone();
    let query = req.uri().query().map(|q| format!("?{q}")).unwrap_or_default();
    let call = ServiceCall {
        method: req.method().clone(),
        path: format!("/{path}{query}"),
        headers: req.headers().clone(),
        body,
        repeatable,
        limit: Duration::from_millis(timeout_ms),
    };
    let (key, first) = (once_key(req), first_sending(req));
    let open = caller.app.begin();
    // In a task of its own, so that it ends and is kept though its caller may leave.
    let task = tokio::spawn(async move {
        let _open = open;
        let app = &caller.app;
        match key.filter(|_| !repeatable) {
            Some(key) => {
                let once = OnceKey {
                    workspace: &caller.workspace,
                    service: &name,
                    key: &key,
                    first,
                    retention_ms: pool.retention_ms,
                };
                calls::call_once(&app.wire, &backends, &app.gossip, once, &call).await
            }
            None => calls::call(&app.wire, &backends, &call).await,
        }
    });
    let gone = |_| {
        Failure::unknown(Reason::new(
            500,
            "internal",
            "the call ended unexpectedly; ask the service before sending it again",
        ))
    };
    Ok(task.await.unwrap_or_else(|e| Err(gone(e))))
}
