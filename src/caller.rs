//! The callers' interface: completions, streams, plain services, entries.

use crate::answer::{Head, OUTCOME, failure, refuse, unix_secs};
use crate::app::{App, OpenStream};
use crate::ask::Ask;
use crate::engine::{Dispatch, Shape};
use crate::forecast::LengthKey;
use crate::outcome::{Failure, Outcome, Reason};
use crate::pool::Pool;
use crate::prompt::{self, Prompt};
use crate::reader::{CompleteReader, DEPTH, EventReader};
use crate::relay::{End, Job, Relay};
use crate::resource::{Delivery, ExperimentSpec, TrafficClassSpec, Unit, WorkspaceSpec};
use crate::seal::{GenerationId, Position};
use crate::server::{event_stream, json};
use crate::snapshot::Snapshot;
use crate::{entries, plain};
use salvo::http::{HeaderValue, StatusCode, header};
use salvo::prelude::*;
use serde::Serialize;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Header by which a caller names the class of a request.
pub const CLASS: &str = "x-tidestair-class";
/// How long an event id can be resumed from, in seconds.
const EVENT_LIFE_SECS: u64 = 900;

/// The routes of this interface.
pub fn routes() -> Router {
    Router::with_path("v1")
        .push(Router::with_path("chat/completions").post(chat))
        .push(Router::with_path("completions").post(text))
        .push(Router::with_path("streams/{id}").get(resume))
        .push(Router::with_path("models").get(list_models))
        .push(Router::with_path("entries").get(entries::list_entries))
        .push(Router::with_path("services/{service}/{**path}").goal(plain::call_service))
}

pub(crate) fn app(depot: &Depot) -> Arc<App> {
    depot.get_typed::<Arc<App>>().expect("injected by the router").clone()
}

/// Who asks, by which revision.
pub(crate) struct Caller {
    pub(crate) app: Arc<App>,
    pub(crate) snapshot: Arc<Snapshot>,
    pub(crate) workspace: String,
    spec: WorkspaceSpec,
}

impl Caller {
    pub(crate) fn known(req: &Request, depot: &Depot) -> Result<Caller, Reason> {
        let app = app(depot);
        let snapshot = app.in_force.get();
        if snapshot.revision == 0 || snapshot.keys.is_none() {
            let reason = Reason::new(
                503,
                "not_ready",
                "this entry has no configuration yet; use another entry",
            );
            return Err(reason.retry_after(1_000));
        }
        let found = bearer(req).and_then(|key| {
            snapshot.workspace_of(&key).map(|(name, spec)| (name.to_string(), spec.clone()))
        });
        let denied = || {
            Reason::new(
                401,
                "invalid_api_key",
                "no workspace has this key; send `Authorization: Bearer KEY`",
            )
        };
        let (workspace, spec) = found.ok_or_else(denied)?;
        Ok(Caller { app, snapshot, workspace, spec })
    }

    fn class(&self, req: &Request) -> Result<(String, TrafficClassSpec), Reason> {
        let named = req.headers().get(CLASS).and_then(|v| v.to_str().ok());
        let name = named.unwrap_or(&self.spec.default_class);
        let missing = || {
            Reason::new(
                400,
                "unknown_class",
                format!("class `{name}` is not declared; correct {CLASS}"),
            )
        };
        let class = self.snapshot.class(name).ok_or_else(missing)?;
        Ok((name.to_string(), class.clone()))
    }

    fn policy(&self, model: &str, class: &TrafficClassSpec, default: &str) -> String {
        if let Some((_, experiment)) = self.snapshot.experiment(model) {
            let arm =
                if self.on_trial(experiment) { &experiment.candidate } else { &experiment.control };
            return arm.clone();
        }
        class.policy.clone().unwrap_or_else(|| default.to_string())
    }

    fn on_trial(&self, experiment: &ExperimentSpec) -> bool {
        let mut hasher = DefaultHasher::new();
        experiment.candidate.hash(&mut hasher);
        match experiment.unit {
            Unit::Workspace => self.workspace.hash(&mut hasher),
            Unit::Stream => rand::random::<u64>().hash(&mut hasher),
        }
        (hasher.finish() % 10_000) as f64 / 10_000.0 < experiment.share
    }
}

/// The bearer key of a request.
pub(crate) fn bearer(req: &Request) -> Option<String> {
    let value = req.headers().get(header::AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix("Bearer ").map(str::to_string)
}

#[handler]
async fn chat(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    complete(req, depot, res, Shape::Chat).await;
}

#[handler]
async fn text(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    complete(req, depot, res, Shape::Text).await;
}

/// One generation, ready to be placed.
struct Generation {
    caller: Caller,
    pool: Arc<Pool>,
    class: TrafficClassSpec,
    job: Job,
    head: Head,
    streamed: bool,
    counted: OpenStream,
}

async fn complete(req: &mut Request, depot: &Depot, res: &mut Response, shape: Shape) {
    let _open = app(depot).begin();
    let generation = match generation(req, depot, shape).await {
        Ok(generation) => generation,
        Err(reason) => {
            app(depot).metrics.ended("generation", Outcome::NotRun);
            return refuse(res, &reason, Outcome::NotRun);
        }
    };
    match (generation.streamed, generation.class.delivery) {
        (true, Delivery::Stream) => stream(generation, res).await,
        (true, Delivery::Whole) => respond_complete(generation, res, true).await,
        (false, _) => respond_complete(generation, res, false).await,
    }
}

async fn generation(req: &mut Request, depot: &Depot, shape: Shape) -> Result<Generation, Reason> {
    let caller = Caller::known(req, depot)?;
    let (class_name, class) = caller.class(req)?;
    let limit = caller.app.config.body_bytes as usize;
    let body =
        req.payload_with_max_size(limit).await.map_err(|_| prompt::too_large(limit))?.clone();
    let Prompt { model, streamed, tokens, prefix, prefix_tokens, most } =
        prompt::read(&body, shape)?;
    let unknown = || {
        Reason::new(
            404,
            "model_not_found",
            format!("model `{model}` is not served; see /v1/models"),
        )
    };
    let (_, spec) = caller.snapshot.engine_pool(&model).ok_or_else(unknown)?;
    let pool = caller.app.pool(&model).ok_or_else(unknown)?;
    if most.is_some_and(|m| m == 0 || m > u64::from(spec.max_tokens)) {
        return Err(Reason::new(
            400,
            "invalid_max_tokens",
            format!("max_tokens must be 1 to {}", spec.max_tokens),
        ));
    }
    let full = || {
        Reason::new(
            429,
            "too_many_streams",
            "the workspace has its most streams open; close one first",
        )
        .retry_after(1_000)
    };
    let counted =
        caller.app.begin_stream(&caller.workspace, caller.spec.max_streams).ok_or_else(full)?;
    let ask = Ask {
        lengths: LengthKey { workspace: caller.workspace.clone(), class: class_name },
        share: caller.spec.share,
        priority: class.priority,
        streamed: streamed && class.delivery == Delivery::Stream,
        policy: caller.policy(&model, &class, &spec.policy),
        prompt: tokens,
        prefix,
        prefix_tokens,
    };
    let id = GenerationId::random(&mut rand::rng());
    let orphan_ms = caller.app.config.orphan_ms;
    let dispatch = Dispatch { generation: id, shape, body, priority: class.priority, orphan_ms };
    let job = Job {
        ask,
        dispatch,
        wait: Duration::from_millis(class.wait_ms),
        gap: Duration::from_millis(class.gap_ms),
        silence: Duration::from_millis(caller.app.config.silence_ms),
        resume: Duration::from_millis(orphan_ms),
    };
    let head = Head { shape, id, model, created: unix_secs() };
    Ok(Generation { caller, pool, class, job, head, streamed, counted })
}

impl Generation {
    fn relay(&self) -> Relay {
        let app = &self.caller.app;
        Relay::new(app.placer(), self.pool.clone(), app.engine.clone(), app.metrics.clone())
    }

    fn position(&self) -> Position {
        Position {
            generation: self.head.id,
            index: 0,
            replica: SocketAddr::from(([0, 0, 0, 0], 0)),
            model: self.head.model.clone(),
            class: self.job.ask.lengths.class.clone(),
            chat: self.head.shape == Shape::Chat,
            prompt: self.job.ask.prompt,
            workspace: self.caller.workspace.clone(),
            expires: unix_secs() + EVENT_LIFE_SECS,
        }
    }
}

/// Streams a generation; failures before its first event get a proper status.
async fn stream(generation: Generation, res: &mut Response) {
    let relay = generation.relay();
    let position = generation.position();
    let Generation { caller, job, head, counted, .. } = generation;
    let work = |relay: Relay, mut reader: EventReader| async move {
        let ended = relay.run(job, &mut reader).await;
        (ended, reader)
    };
    carry(caller, head, position, counted, res, |reader| work(relay, reader)).await;
}

/// Runs a relay in a task of its own and hands its events to the caller.
async fn carry<F>(
    caller: Caller,
    head: Head,
    position: Position,
    counted: OpenStream,
    res: &mut Response,
    work: impl FnOnce(EventReader) -> F,
) where
    F: Future<Output = (Result<End, Failure>, EventReader)> + Send + 'static,
{
    let keys = caller.snapshot.keys.clone().expect("checked for each caller");
    let tx = event_stream(res, DEPTH);
    let (begun_tx, begun) = oneshot::channel();
    let reader = EventReader::new(head, keys, position, tx, begun_tx);
    let open = caller.app.begin();
    let metrics = caller.app.metrics.clone();
    let work = work(reader);
    let task = tokio::spawn(async move {
        let _held = (open, counted);
        let (ended, reader) = work.await;
        match ended {
            Ok(End::Complete(finish)) => {
                reader.finish(&finish).await;
                metrics.ended("generation", Outcome::Complete);
                None
            }
            Ok(End::ReaderGone) => {
                metrics.ended("reader_gone", Outcome::Unknown);
                None
            }
            Err(failure) => {
                metrics.ended("generation", failure.outcome());
                reader.fail(&failure).await;
                Some(failure)
            }
        }
    });
    if begun.await.is_err()
        && let Ok(Some(ended)) = task.await
    {
        // Nothing was sent yet: an ordinary error answer.
        failure(res, &ended);
        res.headers_mut().remove(header::CACHE_CONTROL);
    }
}

/// Holds a generation until it is whole.
async fn respond_complete(generation: Generation, res: &mut Response, as_events: bool) {
    let relay = generation.relay();
    let position = generation.position();
    let Generation { caller, job, head, counted: _counted, .. } = generation;
    let mut reader = CompleteReader::default();
    let ended = relay.run(job, &mut reader).await;
    let metrics = &caller.app.metrics;
    match ended {
        Ok(End::Complete(finish)) => {
            metrics.ended("generation", Outcome::Complete);
            res.headers_mut().insert(OUTCOME, HeaderValue::from_static(Outcome::Complete.name()));
            if as_events {
                let keys = caller.snapshot.keys.as_ref().expect("checked for each caller");
                let id = keys.seal(&Position { index: finish.output_tokens, ..position });
                let tx = event_stream(res, DEPTH);
                let _ = tx.try_send(Ok(head.text(&id, reader.text())));
                let _ = tx.try_send(Ok(head.closing(&id, &finish)));
            } else {
                json(res, StatusCode::OK, &head.complete_body(reader.text(), &finish));
            }
        }
        Ok(End::ReaderGone) => {}
        Err(ended) => {
            metrics.ended("generation", ended.outcome());
            failure(res, &ended);
        }
    }
}

/// Goes on with a stream that broke, whichever daemon began it.
#[handler]
async fn resume(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let _open = app(depot).begin();
    if let Err(reason) = resume_stream(req, depot, res).await {
        refuse(res, &reason, Outcome::Unknown);
    }
}

async fn resume_stream(req: &Request, depot: &Depot, res: &mut Response) -> Result<(), Reason> {
    let caller = Caller::known(req, depot)?;
    let sealed =
        req.headers().get("last-event-id").and_then(|v| v.to_str().ok()).unwrap_or_default();
    let keys = caller.snapshot.keys.as_ref().expect("checked for each caller");
    // Forged, foreign and expired ids are told apart for nobody.
    let refused = || {
        Reason::new(
            404,
            "no_such_stream",
            "Last-Event-ID does not name a stream of this workspace; send the request again",
        )
    };
    let position = keys.open(sealed, &caller.workspace, unix_secs()).ok_or_else(refused)?;
    let pool = caller.app.pool(&position.model).ok_or_else(refused)?;
    let class = caller.snapshot.class(&position.class).cloned().ok_or_else(refused)?;
    let shape = if position.chat { Shape::Chat } else { Shape::Text };
    let ask = Ask {
        lengths: LengthKey { workspace: caller.workspace.clone(), class: position.class.clone() },
        share: caller.spec.share,
        priority: class.priority,
        streamed: true,
        policy: String::new(),
        prompt: position.prompt,
        prefix: None,
        prefix_tokens: 0,
    };
    let slot =
        pool.adopt(position.replica, ask.clone(), position.index, None).ok_or_else(refused)?;
    let orphan_ms = caller.app.config.orphan_ms;
    let dispatch = Dispatch {
        generation: position.generation,
        shape,
        body: Default::default(),
        priority: class.priority,
        orphan_ms,
    };
    let job = Job {
        ask,
        dispatch,
        wait: Duration::ZERO,
        gap: Duration::from_millis(class.gap_ms),
        silence: Duration::from_millis(caller.app.config.silence_ms),
        resume: Duration::from_millis(orphan_ms),
    };
    let head = Head {
        shape,
        id: position.generation,
        model: position.model.clone(),
        created: unix_secs(),
    };
    let full = || {
        Reason::new(
            429,
            "too_many_streams",
            "the workspace has its most streams open; close one first",
        )
        .retry_after(1_000)
    };
    let counted =
        caller.app.begin_stream(&caller.workspace, caller.spec.max_streams).ok_or_else(full)?;
    let relay = Relay::new(
        caller.app.placer(),
        pool,
        caller.app.engine.clone(),
        caller.app.metrics.clone(),
    );
    let after = position.index;
    let work = |mut reader: EventReader| async move {
        let ended = relay.resume(job, slot, after, &mut reader).await;
        (ended, reader)
    };
    carry(caller, head, position, counted, res, work).await;
    Ok(())
}

#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<Model>,
}

#[derive(Serialize)]
struct Model {
    id: String,
    object: &'static str,
    owned_by: &'static str,
}

#[handler]
async fn list_models(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    match Caller::known(req, depot) {
        Ok(caller) => {
            let pools = caller.snapshot.engine_pools();
            let data = pools
                .map(|(_, p)| Model { id: p.model.clone(), object: "model", owned_by: "tidestair" })
                .collect();
            json(res, StatusCode::OK, &ModelList { object: "list", data });
        }
        Err(reason) => refuse(res, &reason, Outcome::NotRun),
    }
}
