//! Large values of the copy, which are exchanged with peers as chunks.

use super::Mirror;
use crate::gateway::chunks::{Assembly, ChunkId, Chunks, LARGE_VALUE_BYTES, Packed};
use crate::gateway::update::{Content, Update};
use std::sync::MutexGuard;
use std::time::Instant;

impl Mirror {
    /// The key of the configuration.
    pub fn declaration(&self) -> &str {
        self.schema.declaration()
    }

    /// Whether the configuration is so large that an answer with several versions of it takes long to receive.
    pub fn has_large_declaration(&self) -> bool {
        let state = self.state();
        let declared = state.keys.get(self.schema.declaration());
        declared.is_some_and(|declared| declared.content.bytes() >= LARGE_VALUE_BYTES)
    }

    /// The prefixes of all keys but the configuration.
    pub fn other_prefixes(&self) -> [&str; 6] {
        let schema = &self.schema;
        let [servers, halls, rollouts] = self.urgent_prefixes();
        [servers, halls, rollouts, schema.daemons(), schema.quarantine(), schema.rollout_records()]
    }

    /// The chunks with these ids that this daemon has, as far as they fit in one answer.
    pub fn pack_chunks(&self, ids: &[ChunkId]) -> Packed {
        self.chunks().pack(ids)
    }

    /// Adds chunks that a peer sent. Returns how many were new.
    pub fn add_chunks(&self, packed: &Packed) -> usize {
        self.chunks().add_packed(packed)
    }

    /// Makes the chunks of this copy's values available for putting together the values of an update, and records
    /// which version of the configuration it has.
    pub fn prepare_for(&self, update: &Update, now: Instant) {
        let declared = update.keys.iter().find(|key| key.key == self.schema.declaration());
        if let Some(declared) = declared {
            self.gateway.in_force.announce(declared.revision, now);
        }
        let keys = update.contents().filter(|(_, content)| content.is_chunked());
        let state = self.state();
        let values = keys.filter_map(|(key, _)| match &state.keys.get(key)?.content {
            Content::Value(value) => Some((key, value.clone())),
            _ => None,
        });
        let values: Vec<_> = values.collect();
        drop(state);
        for (key, value) in values {
            self.chunks().outline(key, &value);
        }
    }

    /// Puts the values of an update together. Returns the chunks to ask a peer for next; none once it has all values.
    pub fn assemble(&self, update: &mut Update) -> Vec<ChunkId> {
        let (mut chunks, mut missing) = (self.chunks(), Vec::new());
        update.replace_contents(|_, content| match content {
            Content::Chunked(outline) => match chunks.assemble(outline) {
                Assembly::Complete(value) => Some(Content::Value(value)),
                Assembly::Missing(ids) => {
                    missing.extend(ids);
                    None
                }
            },
            _ => None,
        });
        missing
    }

    /// Replaces the large values of an update by their outlines.
    pub(super) fn outline_large(&self, update: &mut Update) {
        update.replace_contents(|key, content| match content {
            Content::Value(value) if value.len() >= LARGE_VALUE_BYTES => {
                Some(Content::Chunked(self.chunks().outline(key, value)))
            }
            _ => None,
        });
    }

    fn chunks(&self) -> MutexGuard<'_, Chunks> {
        self.chunks.lock().expect("no holder panics")
    }
}
