//! What is read of a caller's body before it is handed to an engine as it came.

use crate::engine::Shape;
use crate::outcome::Reason;

use bytes::Bytes;
use serde::Deserialize;
use serde_json::Value;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Bytes of text that are taken as one token.
pub const TOKEN_BYTES: usize = 4;

/// What placing needs to know of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// Model named.
    pub model: String,
    /// Whether tokens are to be streamed.
    pub streamed: bool,
    /// Estimated tokens of the prompt.
    pub tokens: u32,
    /// Hash of its system message, which others may share.
    pub prefix: Option<u64>,
    /// Estimated tokens of that.
    pub prefix_tokens: u32,
    /// Most tokens asked for.
    pub most: Option<u64>,
}

#[derive(Deserialize)]
struct Body {
    model: String,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    messages: Option<Vec<Message>>,
    prompt: Option<Value>,
}

#[derive(Deserialize)]
struct Message {
    role: String,
    #[serde(default)]
    content: Value,
}

/// Reads a body; what is wrong with it is told with the remedy.
pub fn read(body: &Bytes, shape: Shape) -> Result<Prompt, Reason> {
    let wrong = |e: serde_json::Error| {
        Reason::new(
            400,
            "invalid_json",
            format!("the body is not a completion request: {e}; correct it"),
        )
    };
    let body: Body = serde_json::from_slice(body).map_err(wrong)?;
    let (tokens, prefix) = match shape {
        Shape::Chat => {
            let messages = body.messages.filter(|m| !m.is_empty());
            let messages = messages.ok_or_else(|| {
                Reason::new(
                    400,
                    "missing_messages",
                    "`messages` is missing or empty; give one message or more",
                )
            })?;
            let tokens = messages.iter().map(|m| estimate(&m.content)).sum();
            let system = messages.into_iter().next().filter(|m| m.role == "system");
            (tokens, system.map(|m| m.content))
        }
        Shape::Text => {
            let prompt = body.prompt.ok_or_else(|| {
                Reason::new(400, "missing_prompt", "`prompt` is missing; give a text")
            })?;
            (estimate(&prompt), None)
        }
    };
    let prefix_tokens = prefix.as_ref().map_or(0, estimate);
    let prefix = prefix.map(|p| hash(&p.to_string()));
    let most = body.max_completion_tokens.or(body.max_tokens);
    Ok(Prompt {
        model: body.model,
        streamed: body.stream,
        tokens: tokens.max(1),
        prefix,
        prefix_tokens,
        most,
    })
}

/// The reason of a body over the limit.
pub fn too_large(limit: usize) -> Reason {
    Reason::new(
        413,
        "body_too_large",
        format!("the body could not be read within {limit} bytes; send a smaller one"),
    )
}

/// Estimated tokens of a content: a text, or parts with texts.
fn estimate(content: &Value) -> u32 {
    let bytes = match content {
        Value::String(text) => text.len(),
        Value::Array(parts) => {
            parts.iter().filter_map(|p| p.get("text")?.as_str()).map(str::len).sum()
        }
        _ => 0,
    };
    (bytes / TOKEN_BYTES) as u32
}

fn hash(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}
