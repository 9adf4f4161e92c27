//! Handles messages from peers: heartbeats, requests for missing changes of the store and for quota, and reports and
//! questions about streams.

use super::Cluster;
use crate::gateway::heartbeat::{Heartbeat, Request};
use crate::gateway::mirror::Mirror;
use crate::gateway::update::Update;
use crate::message;
use crate::peer::{Handler, PeerStream};
use crate::platform::Position;
use crate::time;
use futures_util::future::BoxFuture;
use log::warn;
use serde::Serialize;
use std::sync::Arc;
use std::time::Instant;

/// Makes an update of everything that a copy lacks, with large values as a whole or as outlines.
type AllAfter = fn(&Mirror, Position, Instant) -> Option<Update>;

/// Handles messages from peers for a [`Cluster`].
pub(super) struct PeerHandler(pub(super) Arc<Cluster>);

impl PeerHandler {
    /// Sends the small values that a copy at `position` lacks. A full copy is sent only if an
    /// update permit is free.
    async fn send_small_values(
        &self,
        position: Position,
        all: AllAfter,
        peer_stream: &mut PeerStream,
    ) {
        let now = time::now();
        match self.0.mirror.small_update_after(position, now).filter(|update| !update.full) {
            Some(update) => send(&Some(update), peer_stream).await,
            None => self.send_all_values(position, all, peer_stream).await,
        }
    }

    /// Sends everything that a copy at `position` lacks, or nothing if too many updates are being
    /// sent already.
    async fn send_all_values(
        &self,
        position: Position,
        all: AllAfter,
        peer_stream: &mut PeerStream,
    ) {
        let permit = self.0.update_permits.try_acquire();
        let update = match &permit {
            Ok(_) => all(&self.0.mirror, position, time::now()),
            Err(_) => None,
        };
        send(&update, peer_stream).await;
    }
}

/// Sends the whole answer to a request.
async fn send(answer: &impl Serialize, peer_stream: &mut PeerStream) {
    if peer_stream.send(answer).await.is_ok() {
        peer_stream.finish().await;
    }
}

impl Handler for PeerHandler {
    fn on_message(&self, bytes: &[u8]) {
        match message::decode::<Heartbeat>(bytes) {
            Ok(heartbeat) => self.0.receive(heartbeat, time::now()),
            Err(e) => warn!(why = format!("{e:?}").as_str(); "cannot decode heartbeat"),
        }
    }

    fn stream(&self, first: Vec<u8>, mut peer_stream: PeerStream) -> BoxFuture<'_, ()> {
        Box::pin(async move {
            match message::decode::<Request>(&first) {
                Ok(Request::SmallAfter(position)) => {
                    self.send_small_values(
                        position,
                        Mirror::complete_update_after,
                        &mut peer_stream,
                    )
                    .await
                }
                Ok(Request::AllAfter(position)) => {
                    self.send_all_values(position, Mirror::complete_update_after, &mut peer_stream)
                        .await
                }
                Ok(Request::ChangesAfter(position)) => {
                    self.send_small_values(position, Mirror::chunked_update_after, &mut peer_stream)
                        .await
                }
                Ok(Request::ChunkedAfter(position)) => {
                    self.send_all_values(position, Mirror::chunked_update_after, &mut peer_stream)
                        .await
                }
                Ok(Request::Chunks(ids)) => {
                    send(&self.0.mirror.pack_chunks(&ids), &mut peer_stream).await
                }
                Ok(Request::Quota(wanted)) => {
                    let given = self.0.gateway.lend_quota(&wanted, time::now());
                    send(&given, &mut peer_stream).await;
                }
                Ok(Request::Begun(begun)) => {
                    self.0.receive_streams(&begun, time::now());
                    send(&true, &mut peer_stream).await;
                }
                Ok(Request::FindStream(question)) => {
                    let mut answer = self.0.gateway.answer_question(&question, time::now());
                    if answer.begun_by.is_none() {
                        answer.merge(self.0.ask_about(question).await);
                    }
                    send(&answer, &mut peer_stream).await;
                }
                Err(e) => warn!(why = format!("{e:?}").as_str(); "cannot decode request from peer"),
            }
        })
    }
}
