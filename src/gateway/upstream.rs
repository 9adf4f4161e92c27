//! The stream of one server, as whole events.

use crate::gateway::core::Gateway;
use crate::gateway::events::{Event, Splitter};
use crate::gateway::port::{SendError, SendOptions};
use crate::gateway::request::{AnswerBody, Call};
use crate::gateway::servers::ServerKey;
use crate::time;
use http_body_util::BodyExt;

/// The stream of one server.
pub(crate) struct Upstream {
    body: AnswerBody,
    splitter: Splitter,
}

/// What comes next of a stream.
pub(crate) enum Step {
    /// A whole event.
    Event(Event),
    /// Its end.
    Ended,
    /// It broke off, with the reason.
    BrokeOff(String),
}

impl Upstream {
    /// A stream of which nothing has been read.
    pub(crate) fn new(body: AnswerBody) -> Upstream {
        Upstream { body, splitter: Splitter::default() }
    }

    /// The next whole event. May be dropped and called again.
    pub(crate) async fn next(&mut self) -> Step {
        loop {
            if let Some(event) = self.splitter.take() {
                return Step::Event(event);
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    if self.splitter.push(&data).is_err() {
                        return Step::BrokeOff("an event without end".into());
                    }
                }
                Some(Err(e)) => return Step::BrokeOff(e.reason),
                None if self.splitter.has_partial_event() => {
                    return Step::BrokeOff("ended inside an event".into());
                }
                None => return Step::Ended,
            }
        }
    }
}

/// Sends the request of a stream that has begun to a server.
pub(crate) async fn reopen(
    gateway: &Gateway,
    call: &Call,
    server: ServerKey,
    sending: SendOptions,
) -> Result<Upstream, String> {
    let now = time::now();
    gateway.record_store_age(now);
    gateway.log_server_remarks(call, server, now);
    let sent = gateway.wire.send(call, sending, None).await;
    if let Ok(reply) = &sent {
        gateway.handle_remarks(server, &reply.remarks, now);
    }
    match sent {
        Ok(reply) if reply.status.is_success() => Ok(Upstream::new(reply.body)),
        Ok(reply) => Err(format!("answered {}", reply.status.as_u16())),
        Err(SendError::Unsent { reason, .. } | SendError::Unanswered { reason }) => Err(reason),
    }
}
