//! What the stand-in engine reads of a request and writes of an answer.

use super::batch::{Ask, Prefix};
use crate::engine::Shape;
use crate::prompt::TOKEN_BYTES;
use crate::seal::GenerationId;
use bytes::Bytes;
use serde::Deserialize;
use serde_json::json as value;
use std::hash::{DefaultHasher, Hash, Hasher};

/// The parts of a caller's body that the stand-in reads.
#[derive(Deserialize)]
struct Body {
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    prompt: String,
    max_tokens: Option<u32>,
    #[serde(default)]
    metadata: Metadata,
}

#[derive(Deserialize)]
struct Message {
    role: String,
    #[serde(default)]
    content: String,
}

#[derive(Deserialize, Default)]
struct Metadata {
    standin_output_tokens: Option<String>,
}

pub(super) fn ask(body: &Bytes, priority: u8) -> Option<Ask> {
    let body: Body = serde_json::from_slice(body).ok()?;
    let text: usize =
        body.prompt.len() + body.messages.iter().map(|m| m.content.len()).sum::<usize>();
    let prompt = (text / TOKEN_BYTES).max(1) as u32;
    let system = body.messages.first().filter(|m| m.role == "system");
    let prefix = system
        .map(|m| Prefix { key: hash(&m.content), tokens: (m.content.len() / TOKEN_BYTES) as u32 });
    let known = body.metadata.standin_output_tokens.and_then(|n| n.parse().ok());
    let natural = known.unwrap_or_else(|| 20 + (hash(&text) % 60) as u32);
    let output = natural.min(body.max_tokens.unwrap_or(u32::MAX)).max(1);
    Some(Ask { prompt, output, prefix, priority })
}

fn hash(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// The text of one token: the generation and index can be read from it, so a reader can judge.
pub fn token_text(generation: GenerationId, index: u32) -> String {
    format!("{:08x}.{index} ", generation.0 as u32)
}

pub(super) fn token_event(generation: GenerationId, shape: Shape, index: u32) -> Bytes {
    let text = token_text(generation, index);
    let choice = match shape {
        Shape::Chat => value!({"index": 0, "delta": {"content": text}, "finish_reason": null}),
        Shape::Text => value!({"index": 0, "text": text, "finish_reason": null}),
    };
    let chunk = value!({"id": generation.to_string(), "object": "chat.completion.chunk", "choices": [choice]});
    Bytes::from(format!("id: {generation}:{index}\ndata: {chunk}\n\n"))
}

pub(super) fn finish_event(generation: GenerationId, prompt: u32, made: u32) -> Bytes {
    let choice = value!({"index": 0, "delta": {}, "text": "", "finish_reason": "stop"});
    let usage =
        value!({"prompt_tokens": prompt, "completion_tokens": made, "total_tokens": prompt + made});
    let chunk = value!({"id": generation.to_string(), "choices": [choice], "usage": usage});
    Bytes::from(format!("data: {chunk}\n\ndata: [DONE]\n\n"))
}
