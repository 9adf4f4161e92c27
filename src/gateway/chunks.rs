//! Large values as chunks, so that a daemon whose copy of a value is out of date receives only what changed.
//!
//! A value is cut where its content says so: an edit moves the boundaries next to it only, and all other chunks
//! keep their ids. The ids of the chunks form a list, which is cut into chunks the same way until it is short. A
//! daemon that is sent this top list asks for the chunks that it doesn't have, level by level. Chunks are
//! identified by their content, so it makes no difference which peer sends them, which version of a value they were
//! cut from, or whether the transfer that they arrived in was completed.

use bytes::Bytes;
use fastcdc::v2020::FastCDC;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Size from which a value is sent as chunks, in bytes. Smaller ones take less time than the additional round
/// trips.
pub const LARGE_VALUE_BYTES: usize = 32 << 10;
/// Smallest, average and largest size of a chunk, in bytes. The smallest exceeds one entry of a configuration, so
/// that a changed entry changes one or two chunks.
const MIN_CHUNK_BYTES: usize = 512;
const AVERAGE_CHUNK_BYTES: usize = 1 << 10;
const MAX_CHUNK_BYTES: usize = 4 << 10;
/// Maximum length of the top list, and average number of ids in a chunk of ids.
const MAX_TOP_IDS: usize = 64;
/// Maximum depth of the lists of ids that a peer may send.
const MAX_DEPTH: u8 = 4;
/// Total size of the kept chunks that are in no current value, in bytes: those of a transfer under way, and of
/// replaced values that peers may still be fetching. While a value of more than half this size is received, it is
/// twice that value's.
const MAX_LOOSE_BYTES: usize = 1 << 20;
/// Maximum size of the chunks in one answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 10;
/// Largest value that a peer may send, in bytes.
const MAX_VALUE_BYTES: usize = 64 << 20;
const ID_BYTES: usize = 16;

/// Identifies a chunk by its content: the first half of its SHA-256.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ChunkId([u8; ID_BYTES]);

impl ChunkId {
    fn of(bytes: &[u8]) -> ChunkId {
        let digest = Sha256::digest(bytes);
        let mut id = [0; ID_BYTES];
        id.copy_from_slice(&digest[..ID_BYTES]);
        ChunkId(id)
    }

    /// Whether a list of ids is cut after this one.
    fn is_boundary(&self) -> bool {
        usize::from(self.0[0]) % MAX_TOP_IDS == 0
    }
}

/// Describes a value that is sent as chunks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outline {
    /// Size of the value in bytes.
    pub bytes: u32,
    /// Number of levels of chunks that hold ids; with zero, `top` lists the chunks of the value.
    depth: u8,
    /// Ids of the chunks of the topmost level.
    top: Vec<ChunkId>,
}

/// Chunks as a peer sends them, compressed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packed(Bytes);

impl Packed {
    fn new(chunks: &[Bytes]) -> Packed {
        let encoded = postcard::to_stdvec(chunks).expect("plain data is serializable");
        Packed(lz4_flex::block::compress_prepend_size(&encoded).into())
    }

    /// Size of the compressed chunks in bytes.
    pub fn bytes(&self) -> usize {
        self.0.len()
    }

    /// The chunks; `None` if they can't be decoded.
    fn unpack(&self) -> Option<Vec<Bytes>> {
        let (size, _) = lz4_flex::block::uncompressed_size(&self.0).ok()?;
        if size > 2 * MAX_ANSWER_BYTES {
            return None;
        }
        let encoded = lz4_flex::block::decompress_size_prepended(&self.0).ok()?;
        postcard::from_bytes(&encoded).ok()
    }
}

/// A value cut into chunks.
struct Cut {
    outline: Outline,
    /// The chunks of all levels.
    chunks: BTreeMap<ChunkId, Bytes>,
}

impl Cut {
    fn new(value: &Bytes) -> Cut {
        let mut chunks = BTreeMap::new();
        let mut add = |chunk: Bytes| {
            let id = ChunkId::of(&chunk);
            chunks.insert(id, chunk);
            id
        };
        let cut = FastCDC::new(value, MIN_CHUNK_BYTES, AVERAGE_CHUNK_BYTES, MAX_CHUNK_BYTES);
        let mut ids: Vec<ChunkId> =
            cut.map(|part| add(value.slice(part.offset..part.offset + part.length))).collect();
        let mut depth = 0;
        while ids.len() > MAX_TOP_IDS && depth < MAX_DEPTH {
            let lists = ids.split_inclusive(ChunkId::is_boundary);
            let lists = lists.flat_map(|list| list.chunks(4 * MAX_TOP_IDS));
            ids = lists.map(|list| add(list.iter().flat_map(|id| id.0).collect())).collect();
            depth += 1;
        }
        let bytes = u32::try_from(value.len()).expect("a value of the store is below 4 GiB");
        Cut { outline: Outline { bytes, depth, top: ids }, chunks }
    }
}

/// The chunks that a daemon has.
#[derive(Default)]
pub struct Chunks {
    /// The current large values by their keys.
    values: BTreeMap<Arc<str>, (Bytes, Cut)>,
    /// Chunks that are in none of them.
    loose: BTreeMap<ChunkId, Bytes>,
    /// The same in the order in which they were added.
    loose_order: VecDeque<ChunkId>,
    loose_bytes: usize,
    /// Size of the last value that was put together.
    awaited_bytes: usize,
}

impl Chunks {
    /// Describes the current value of a key for a peer.
    pub fn outline(&mut self, key: &str, value: &Bytes) -> Outline {
        if let Some((known, cut)) = self.values.get(key)
            && (known.as_ptr(), known.len()) == (value.as_ptr(), value.len())
        {
            return cut.outline.clone();
        }
        let cut = Cut::new(value);
        let outline = cut.outline.clone();
        for id in cut.chunks.keys() {
            let known = self.loose.remove(id);
            self.loose_bytes -= known.map_or(0, |chunk| chunk.len());
        }
        self.loose_order.retain(|id| self.loose.contains_key(id));
        let replaced = self.values.insert(key.into(), (value.clone(), cut));
        // Copied, because a slice would keep the whole replaced value in memory.
        let replaced = replaced.into_iter().flat_map(|(_, cut)| cut.chunks);
        let replaced: Vec<Bytes> = replaced
            .filter(|(id, _)| !self.is_in_value(id))
            .map(|(_, chunk)| Bytes::copy_from_slice(&chunk))
            .collect();
        replaced.into_iter().for_each(|chunk| self.add(chunk));
        outline
    }

    /// The chunks with these ids that this daemon has, as far as they fit in one answer.
    pub fn pack(&self, ids: &[ChunkId]) -> Packed {
        let mut bytes = 0;
        let chunks = ids.iter().filter_map(|id| self.get(id)).take_while(|chunk| {
            bytes += chunk.len();
            bytes <= MAX_ANSWER_BYTES
        });
        Packed::new(&chunks.cloned().collect::<Vec<Bytes>>())
    }

    /// Adds chunks that a peer sent. Returns how many were new.
    pub fn add_packed(&mut self, packed: &Packed) -> usize {
        let before = self.loose.len();
        for chunk in packed.unpack().into_iter().flatten() {
            self.add(chunk);
        }
        self.loose.len().saturating_sub(before)
    }

    /// Puts the value of an outline together, or tells which chunks to ask a peer for next.
    pub fn assemble(&mut self, outline: &Outline) -> Assembly {
        self.awaited_bytes = (outline.bytes as usize).min(MAX_VALUE_BYTES);
        let mut ids = outline.top.clone();
        for _ in 0..outline.depth.min(MAX_DEPTH) {
            let Some(lists) = self.all(&ids) else {
                return Assembly::Missing(self.missing(&ids));
            };
            ids = lists.iter().flat_map(|list| parse_ids(list)).collect();
        }
        match self.all(&ids) {
            Some(chunks) => {
                let mut value = Vec::with_capacity(self.awaited_bytes);
                chunks.iter().for_each(|chunk| value.extend_from_slice(chunk));
                Assembly::Complete(value.into())
            }
            None => Assembly::Missing(self.missing(&ids)),
        }
    }

    fn is_in_value(&self, id: &ChunkId) -> bool {
        self.values.values().any(|(_, cut)| cut.chunks.contains_key(id))
    }

    fn get(&self, id: &ChunkId) -> Option<&Bytes> {
        let in_values = self.values.values().find_map(|(_, cut)| cut.chunks.get(id));
        in_values.or_else(|| self.loose.get(id))
    }

    /// The chunks with these ids; `None` if any is missing.
    fn all(&self, ids: &[ChunkId]) -> Option<Vec<&Bytes>> {
        ids.iter().map(|id| self.get(id)).collect()
    }

    fn missing(&self, ids: &[ChunkId]) -> Vec<ChunkId> {
        let mut listed = BTreeSet::new();
        let missing = ids.iter().filter(|id| self.get(id).is_none() && listed.insert(**id));
        missing.copied().collect()
    }

    fn add(&mut self, chunk: Bytes) {
        let id = ChunkId::of(&chunk);
        if self.get(&id).is_some() {
            return;
        }
        self.loose_bytes += chunk.len();
        self.loose.insert(id, chunk);
        self.loose_order.push_back(id);
        while self.loose_bytes > MAX_LOOSE_BYTES.max(2 * self.awaited_bytes)
            && let Some(oldest) = self.loose_order.pop_front()
        {
            let removed = self.loose.remove(&oldest);
            self.loose_bytes -= removed.map_or(0, |chunk| chunk.len());
        }
    }
}

/// The result of putting a value together.
#[derive(Debug, PartialEq, Eq)]
pub enum Assembly {
    /// The value.
    Complete(Bytes),
    /// These chunks are needed first.
    Missing(Vec<ChunkId>),
}

fn parse_ids(list: &[u8]) -> impl Iterator<Item = ChunkId> + '_ {
    let (ids, _) = list.as_chunks::<ID_BYTES>();
    ids.iter().map(|id| ChunkId(*id))
}
