//! The protocol of one kind of engine: OpenAI-style streaming with resume, cancel, pause and load.
//!
//! `docs/ENGINE.md` describes it. Another kind of engine needs another file like this one.

use crate::engine::{
    Dispatch, Engine, EngineEvent, EngineStream, Finish, LoadReport, OpenError, OpenStream,
    ResumeError, Shape, Token,
};
use crate::outcome::NotSent;
use crate::seal::GenerationId;
use crate::sse::{Event, Events};
use crate::wire::{Answer, Fault, Wire};
use bytes::Bytes;
use futures_util::future::BoxFuture;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Header by which a backend server says that a refused request was not started.
pub const NOT_STARTED: &str = "x-not-started";
/// Header with the generation's id, on dispatch.
pub const GENERATION: &str = "x-generation";
/// Header with the priority, on dispatch.
pub const PRIORITY: &str = "x-priority";
/// Header with the life without a reader in milliseconds, on dispatch.
pub const ORPHAN_MS: &str = "x-orphan-ms";
/// Header with the cached prompt tokens, on the answer.
pub const CACHED: &str = "x-cached-tokens";

const SHORT: Duration = Duration::from_millis(2_000);
const HEAD_LIMIT: Duration = Duration::from_millis(5_000);
const SMALL_BODY: usize = 64 << 10;

/// Engines that speak HTTP.
#[derive(Clone, Default)]
pub struct HttpEngine {
    wire: Wire,
}

impl HttpEngine {
    /// An adapter over these connections.
    pub fn new(wire: Wire) -> HttpEngine {
        HttpEngine { wire }
    }

    async fn short(
        &self,
        replica: SocketAddr,
        method: Method,
        path: &str,
    ) -> Option<(StatusCode, Bytes)> {
        let req = request(method, replica, path, Bytes::new());
        let answer = self.wire.send(replica, req, NotSent::begin(), SHORT).await.ok()?;
        let status = answer.status;
        let body = answer.read_to_end(SMALL_BODY, SHORT).await.ok()?;
        Some((status, body))
    }
}

/// A request to a backend server.
pub(crate) fn request(
    method: Method,
    addr: SocketAddr,
    path: &str,
    body: Bytes,
) -> Request<Full<Bytes>> {
    let builder = Request::builder().method(method).uri(path).header("host", addr.to_string());
    let builder = builder.header("content-type", "application/json");
    builder.body(Full::new(body)).expect("checked method and path")
}

impl Engine for HttpEngine {
    fn open<'a>(
        &'a self,
        replica: SocketAddr,
        dispatch: &'a Dispatch,
        proof: NotSent,
    ) -> BoxFuture<'a, Result<OpenStream, OpenError>> {
        Box::pin(async move {
            let path = match dispatch.shape {
                Shape::Chat => "/v1/chat/completions",
                Shape::Text => "/v1/completions",
            };
            let mut req = request(Method::POST, replica, path, dispatch.body.clone());
            let headers = req.headers_mut();
            headers.insert(GENERATION, dispatch.generation.to_string().parse().expect("hex"));
            headers.insert(PRIORITY, u64::from(dispatch.priority).into());
            headers.insert(ORPHAN_MS, dispatch.orphan_ms.into());
            let answer = match self.wire.send(replica, req, proof, HEAD_LIMIT).await {
                Ok(answer) => answer,
                Err(Fault::NotSent(proof)) => return Err(OpenError::NotRun(proof)),
                Err(Fault::Unknown) => return Err(OpenError::Unknown),
            };
            if answer.status.is_success() {
                return Ok(Box::new(SseStream::new(answer)) as OpenStream);
            }
            Err(refused(answer).await)
        })
    }

    fn resume(
        &self,
        replica: SocketAddr,
        generation: GenerationId,
        after: u32,
    ) -> BoxFuture<'_, Result<OpenStream, ResumeError>> {
        Box::pin(async move {
            let path = format!("/v1/generations/{generation}?after={after}");
            let req = request(Method::GET, replica, &path, Bytes::new());
            let answer = self
                .wire
                .send(replica, req, NotSent::begin(), HEAD_LIMIT)
                .await
                .map_err(|_| ResumeError::Unreachable)?;
            match answer.status {
                StatusCode::OK => Ok(Box::new(SseStream::new(answer)) as OpenStream),
                StatusCode::NOT_FOUND => Err(ResumeError::Gone),
                _ => Err(ResumeError::Unreachable),
            }
        })
    }

    fn cancel(&self, replica: SocketAddr, generation: GenerationId) -> BoxFuture<'_, bool> {
        #[derive(Deserialize)]
        struct Cancelled {
            started: bool,
        }
        Box::pin(async move {
            let path = format!("/v1/generations/{generation}");
            let Some((status, body)) = self.short(replica, Method::DELETE, &path).await else {
                return false;
            };
            let said = serde_json::from_slice::<Cancelled>(&body);
            status.is_success() && said.is_ok_and(|c| !c.started)
        })
    }

    fn pause(&self, replica: SocketAddr, generation: GenerationId) -> BoxFuture<'_, bool> {
        Box::pin(async move {
            let path = format!("/v1/generations/{generation}/pause");
            let answer = self.short(replica, Method::POST, &path).await;
            answer.is_some_and(|(status, _)| status.is_success())
        })
    }

    fn load(&self, replica: SocketAddr) -> BoxFuture<'_, Option<LoadReport>> {
        Box::pin(async move {
            let (_, body) = self.short(replica, Method::GET, "/load").await?;
            serde_json::from_slice(&body).ok()
        })
    }
}

async fn refused(answer: Answer) -> OpenError {
    let status = answer.status;
    let not_started = answer.headers.contains_key(NOT_STARTED);
    if not_started && status == StatusCode::SERVICE_UNAVAILABLE {
        return OpenError::Leaving(NotSent::declared());
    }
    if status.is_client_error() {
        let body = answer.read_to_end(SMALL_BODY, SHORT).await.unwrap_or_default();
        let message = String::from_utf8_lossy(&body).into_owned();
        return OpenError::Rejected { status: status.as_u16(), message };
    }
    OpenError::Unknown
}

/// The server-sent events of one generation.
struct SseStream {
    answer: Answer,
    events: Events,
    accepted: bool,
}

#[derive(Deserialize)]
struct Chunk<'a> {
    #[serde(borrow)]
    choices: Vec<Choice<'a>>,
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Choice<'a> {
    delta: Option<Delta>,
    text: Option<String>,
    #[serde(borrow)]
    finish_reason: Option<&'a str>,
}

#[derive(Deserialize)]
struct Delta {
    content: Option<String>,
}

#[derive(Deserialize)]
struct Usage {
    prompt_tokens: u32,
    completion_tokens: u32,
}

impl SseStream {
    fn new(answer: Answer) -> SseStream {
        SseStream { answer, events: Events::default(), accepted: false }
    }

    fn cached(&self) -> u32 {
        let header = self.answer.headers.get(CACHED).and_then(|v| v.to_str().ok());
        header.and_then(|v| v.parse().ok()).unwrap_or_default()
    }
}

/// What an event says, if it is one that counts.
fn parse(event: &Event) -> Result<Option<EngineEvent>, Fault> {
    if event.data == "[DONE]" {
        return Ok(None);
    }
    let chunk: Chunk = serde_json::from_str(&event.data).map_err(|_| Fault::Unknown)?;
    let Some(choice) = chunk.choices.into_iter().next() else {
        return Ok(None);
    };
    if let (Some(reason), Some(usage)) = (choice.finish_reason, chunk.usage) {
        let (prompt_tokens, output_tokens) = (usage.prompt_tokens, usage.completion_tokens);
        let finish = Finish { reason: reason.into(), prompt_tokens, output_tokens };
        return Ok(Some(EngineEvent::Finished(finish)));
    }
    let text = choice.text.or(choice.delta.and_then(|d| d.content));
    let (Some(text), Some(id)) = (text, &event.id) else {
        return Ok(None);
    };
    let (generation, index) = id.split_once(':').ok_or(Fault::Unknown)?;
    let generation = GenerationId::parse(generation).ok_or(Fault::Unknown)?;
    let index = index.parse().map_err(|_| Fault::Unknown)?;
    Ok(Some(EngineEvent::Token(Token { generation, index, text })))
}

impl EngineStream for SseStream {
    fn next(&mut self) -> BoxFuture<'_, Result<Option<EngineEvent>, Fault>> {
        Box::pin(async move {
            if !self.accepted {
                self.accepted = true;
                return Ok(Some(EngineEvent::Accepted { cached: self.cached() }));
            }
            loop {
                while let Some(event) = self.events.take() {
                    if let Some(event) = parse(&event)? {
                        return Ok(Some(event));
                    }
                }
                match self.answer.chunk().await? {
                    Some(data) => self.events.push(&data),
                    None => return Ok(None),
                }
            }
        })
    }
}
