//! Readers of a generation: one that streams events, one that holds the answer until it is whole.

use crate::answer::Head;
use crate::engine::{Finish, Token};
use crate::outcome::Failure;
use crate::relay::{Delivery, Reader};
use crate::seal::{GenerationId, Position, SealKeys};
use crate::server::BodySender;
use crate::slot::Slot;
use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use tokio::sync::{mpsc, oneshot};

/// Pieces buffered for a slow reader before the relay waits.
pub const DEPTH: usize = 32;

/// Streams each token as a server-sent event with a sealed id.
pub struct EventReader {
    head: Head,
    keys: SealKeys,
    position: Position,
    tx: BodySender,
    begun: Option<oneshot::Sender<()>>,
    sent: bool,
}

impl EventReader {
    /// A reader at `position`; `begun` is told once the stream has opened at its engine.
    pub fn new(
        head: Head,
        keys: SealKeys,
        position: Position,
        tx: BodySender,
        begun: oneshot::Sender<()>,
    ) -> EventReader {
        EventReader { head, keys, position, tx, begun: Some(begun), sent: false }
    }

    /// Sends the proper end.
    pub async fn finish(self, finish: &Finish) {
        let id = self.keys.seal(&self.position);
        let _ = self.tx.send(Ok(self.head.closing(&id, finish))).await;
    }

    /// Says plainly that the stream failed; nothing if it has not begun.
    pub async fn fail(self, failure: &Failure) {
        if self.begun.is_none() {
            let _ = self.tx.send(Ok(self.head.failed(failure))).await;
        }
    }

    async fn send(&mut self, bytes: Bytes) -> Delivery {
        match self.tx.send(Ok(bytes)).await {
            Ok(()) => Delivery::Taken,
            Err(mpsc::error::SendError(_)) => Delivery::Gone,
        }
    }
}

impl Reader for EventReader {
    fn accepted(&mut self, generation: GenerationId, slot: &Slot) -> BoxFuture<'_, Delivery> {
        self.position.generation = generation;
        self.position.replica = slot.addr();
        let opening = self.head.opening(&self.keys.seal(&self.position));
        self.opened();
        self.send(opening).boxed()
    }

    fn token<'a>(&'a mut self, token: &'a Token) -> BoxFuture<'a, Delivery> {
        self.position.index = token.index;
        self.sent = true;
        let event = self.head.text(&self.keys.seal(&self.position), &token.text);
        self.send(event).boxed()
    }

    fn opened(&mut self) {
        if let Some(begun) = self.begun.take() {
            let _ = begun.send(());
        }
    }

    fn gone(&self) -> BoxFuture<'static, ()> {
        let tx = self.tx.clone();
        async move { tx.closed().await }.boxed()
    }

    fn may_restart(&self) -> bool {
        !self.sent
    }

    fn restart(&mut self) {}
}

/// Holds the answer until it is whole, so that it can be placed anew at any point.
#[derive(Default)]
pub struct CompleteReader {
    text: String,
}

impl CompleteReader {
    /// The text so far.
    pub fn text(&self) -> &str {
        &self.text
    }
}

impl Reader for CompleteReader {
    fn accepted(&mut self, _: GenerationId, _: &Slot) -> BoxFuture<'_, Delivery> {
        std::future::ready(Delivery::Taken).boxed()
    }

    fn token<'a>(&'a mut self, token: &'a Token) -> BoxFuture<'a, Delivery> {
        self.text.push_str(&token.text);
        std::future::ready(Delivery::Taken).boxed()
    }

    fn gone(&self) -> BoxFuture<'static, ()> {
        // The task that reads is dropped with its caller.
        std::future::pending().boxed()
    }

    fn may_restart(&self) -> bool {
        true
    }

    fn restart(&mut self) {
        self.text.clear();
    }
}
