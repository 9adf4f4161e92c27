//! Sealed event ids: where a reader stands in a generation, signed, so that any daemon can go on.

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use std::net::SocketAddr;
use subtle::ConstantTimeEq;

const TAG_BYTES: usize = 16;

/// The id of one generation, chosen before its dispatch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GenerationId(pub u128);

impl GenerationId {
    /// A new random id.
    pub fn random(rng: &mut impl rand::Rng) -> GenerationId {
        let high = u128::from(rng.next_u64());
        GenerationId(high << 64 | u128::from(rng.next_u64()))
    }

    /// Reads the id as `Display` writes it.
    pub fn parse(text: &str) -> Option<GenerationId> {
        u128::from_str_radix(text, 16).ok().map(GenerationId)
    }
}

impl std::fmt::Display for GenerationId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Where a reader stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// The generation read.
    pub generation: GenerationId,
    /// Index of the last token delivered; 0 before the first.
    pub index: u32,
    /// Backend server that holds the generation.
    pub replica: SocketAddr,
    /// Model that the caller named.
    pub model: String,
    /// Class of the request.
    pub class: String,
    /// Whether chat chunks are sent, or text ones.
    pub chat: bool,
    /// Estimated tokens of the prompt.
    pub prompt: u32,
    /// Workspace whose credential opened the stream.
    pub workspace: String,
    /// Unix time in seconds after which the id is refused.
    pub expires: u64,
}

/// The keys that seal; both are kept by the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SealKeys {
    /// Seals and opens.
    pub current: [u8; 32],
    /// Opens only, until the next rotation.
    pub previous: Option<[u8; 32]>,
}

impl SealKeys {
    /// A first pair of keys.
    pub fn generate(rng: &mut impl rand::Rng) -> SealKeys {
        SealKeys { current: random_key(rng), previous: None }
    }

    /// The keys after a rotation.
    pub fn rotate(&self, rng: &mut impl rand::Rng) -> SealKeys {
        SealKeys { current: random_key(rng), previous: Some(self.current) }
    }

    /// Seals a position as an event id.
    pub fn seal(&self, position: &Position) -> String {
        let mut bytes = postcard::to_stdvec(position).expect("a position is plain data");
        let tag = tag(&self.current, &bytes);
        bytes.extend_from_slice(&tag);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Opens an event id; `None` where it is forged, foreign or expired, without saying which.
    pub fn open(&self, id: &str, workspace: &str, now_secs: u64) -> Option<Position> {
        let bytes = URL_SAFE_NO_PAD.decode(id).ok()?;
        let split = bytes.len().checked_sub(TAG_BYTES)?;
        let (body, given) = bytes.split_at(split);
        let keys = [Some(self.current), self.previous];
        let signed = keys.iter().flatten().any(|key| bool::from(tag(key, body).ct_eq(given)));
        if !signed {
            return None;
        }
        let position: Position = postcard::from_bytes(body).ok()?;
        let valid = position.workspace == workspace && now_secs <= position.expires;
        valid.then_some(position)
    }
}

fn random_key(rng: &mut impl rand::Rng) -> [u8; 32] {
    let mut key = [0; 32];
    rng.fill_bytes(&mut key);
    key
}

fn tag(key: &[u8; 32], body: &[u8]) -> [u8; TAG_BYTES] {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("any length is a key");
    mac.update(body);
    let full = mac.finalize().into_bytes();
    let mut short = [0; TAG_BYTES];
    short.copy_from_slice(&full[..TAG_BYTES]);
    short
}
