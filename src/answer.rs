//! What callers are sent: errors, whole answers and chunks, in the shapes of the OpenAI interface.

use crate::engine::{Finish, Shape};
use crate::outcome::{Failure, Outcome, Reason};
use crate::seal::GenerationId;
use crate::server::json;
use bytes::Bytes;
use salvo::http::header::CONNECTION;
use salvo::http::{HeaderValue, StatusCode};
use salvo::prelude::Response;
use serde::Serialize;
use serde_json::json as value;
use std::time::{SystemTime, UNIX_EPOCH};

/// Header with the outcome.
pub const OUTCOME: &str = "x-tidestair-outcome";

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    message: &'a str,
    #[serde(rename = "type")]
    kind: &'static str,
    code: &'static str,
    outcome: Outcome,
}

fn error_body<'a>(reason: &'a Reason, outcome: Outcome) -> ErrorBody<'a> {
    let kind = match reason.status {
        401 | 403 => "authentication_error",
        429 => "rate_limit_error",
        400..=499 => "invalid_request_error",
        _ => "server_error",
    };
    ErrorBody { error: ErrorDetail { message: &reason.message, kind, code: reason.code, outcome } }
}

/// Answers with a failure and its outcome.
pub fn failure(res: &mut Response, failure: &Failure) {
    refuse(res, failure.reason(), failure.outcome());
}

/// Answers that a request was refused before anything ran.
pub fn refuse(res: &mut Response, reason: &Reason, outcome: Outcome) {
    res.headers_mut().insert(OUTCOME, HeaderValue::from_static(outcome.name()));
    if let Some(ms) = reason.retry_ms {
        res.headers_mut().insert("retry-after", ms.div_ceil(1_000).into());
        res.headers_mut().insert("retry-after-ms", ms.into());
    }
    let status = StatusCode::from_u16(reason.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    if status == StatusCode::PAYLOAD_TOO_LARGE {
        // The rest of the body is not read, and the connection is reset by it: a caller that was not told
        // would lose its next request on it.
        res.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    json(res, status, &error_body(reason, outcome));
}

/// Seconds since 1970.
pub fn unix_secs() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
}

/// What all parts of one answer have in common.
#[derive(Debug, Clone)]
pub struct Head {
    /// The caller's interface.
    pub shape: Shape,
    /// Id of the answer.
    pub id: GenerationId,
    /// Model that the caller named.
    pub model: String,
    /// Seconds since 1970.
    pub created: u64,
}

impl Head {
    fn name(&self) -> String {
        match self.shape {
            Shape::Chat => format!("chatcmpl-{}", self.id),
            Shape::Text => format!("cmpl-{}", self.id),
        }
    }

    fn chunk(
        &self,
        choice: serde_json::Value,
        usage: Option<serde_json::Value>,
    ) -> serde_json::Value {
        let object = match self.shape {
            Shape::Chat => "chat.completion.chunk",
            Shape::Text => "text_completion",
        };
        let mut chunk = value!({"id": self.name(), "object": object, "created": self.created, "model": self.model, "choices": [choice]});
        if let Some(usage) = usage {
            chunk["usage"] = usage;
        }
        chunk
    }

    /// The event that opens a stream.
    pub fn opening(&self, event_id: &str) -> Bytes {
        let choice = match self.shape {
            Shape::Chat => {
                value!({"index": 0, "delta": {"role": "assistant", "content": ""}, "finish_reason": null})
            }
            Shape::Text => value!({"index": 0, "text": "", "finish_reason": null}),
        };
        event(event_id, &self.chunk(choice, None))
    }

    /// The event of one token, or of a whole text at once.
    pub fn text(&self, event_id: &str, text: &str) -> Bytes {
        let choice = match self.shape {
            Shape::Chat => value!({"index": 0, "delta": {"content": text}, "finish_reason": null}),
            Shape::Text => value!({"index": 0, "text": text, "finish_reason": null}),
        };
        event(event_id, &self.chunk(choice, None))
    }

    /// The last events of a complete stream.
    pub fn closing(&self, event_id: &str, finish: &Finish) -> Bytes {
        let choice = match self.shape {
            Shape::Chat => value!({"index": 0, "delta": {}, "finish_reason": finish.reason}),
            Shape::Text => value!({"index": 0, "text": "", "finish_reason": finish.reason}),
        };
        let chunk = self.chunk(choice, Some(usage(finish)));
        Bytes::from(format!("id: {event_id}\ndata: {chunk}\n\ndata: [DONE]\n\n"))
    }

    /// The last event of a stream that failed after it began.
    pub fn failed(&self, failure: &Failure) -> Bytes {
        let body = serde_json::to_string(&error_body(failure.reason(), failure.outcome()))
            .expect("an error is JSON");
        Bytes::from(format!("data: {body}\n\n"))
    }

    /// A whole answer that was not streamed.
    pub fn complete_body(&self, text: &str, finish: &Finish) -> serde_json::Value {
        let (object, choice) = match self.shape {
            Shape::Chat => {
                let message = value!({"role": "assistant", "content": text});
                (
                    "chat.completion",
                    value!({"index": 0, "message": message, "finish_reason": finish.reason}),
                )
            }
            Shape::Text => (
                "text_completion",
                value!({"index": 0, "text": text, "finish_reason": finish.reason}),
            ),
        };
        value!({"id": self.name(), "object": object, "created": self.created, "model": self.model, "choices": [choice], "usage": usage(finish)})
    }
}

fn event(id: &str, chunk: &serde_json::Value) -> Bytes {
    Bytes::from(format!("id: {id}\ndata: {chunk}\n\n"))
}

fn usage(finish: &Finish) -> serde_json::Value {
    let total = finish.prompt_tokens + finish.output_tokens;
    value!({"prompt_tokens": finish.prompt_tokens, "completion_tokens": finish.output_tokens, "total_tokens": total})
}
