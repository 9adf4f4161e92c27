//! The response stream of one server, split into complete events.

use crate::gateway::core::Gateway;
use crate::gateway::events::{Event, Splitter};
use crate::gateway::port::{BodyEnd, ConnectFailure, Destination, SendError, SendOptions};
use crate::gateway::request::{AnswerBody, Call};
use crate::gateway::servers::ServerKey;
use crate::time;
use http_body_util::BodyExt;
use std::time::Duration;

/// How long a connection may take that tells whether a server has ended: several round trips.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// The response stream of one server.
pub(crate) struct Upstream {
    body: AnswerBody,
    end: BodyEnd,
    splitter: Splitter,
    /// Whether the stream has failed.
    broken: bool,
}

/// The next item of a stream.
pub(crate) enum StreamItem {
    /// A complete event.
    Event(Event),
    /// The stream ended as its framing marks it, between two events: it is complete.
    Ended,
    /// The connection ended between two events, where nothing else marks the end. A run that was stopped ends so, too.
    Closed,
    /// The stream failed or ended inside an event, with the reason.
    BrokeOff(String),
}

impl Upstream {
    /// Wraps a response body of which nothing has been read.
    pub(crate) fn new(body: AnswerBody, end: BodyEnd) -> Upstream {
        Upstream { body, end, splitter: Splitter::default(), broken: false }
    }

    /// How the end of the stream is recognized.
    pub(crate) fn end(&self) -> BodyEnd {
        self.end
    }

    /// Reads the next complete event. Cancel-safe: a dropped call loses no data.
    pub(crate) async fn next(&mut self) -> StreamItem {
        loop {
            if let Some(event) = self.splitter.take() {
                return StreamItem::Event(event);
            }
            if self.broken {
                return StreamItem::BrokeOff("the stream has broken off".into());
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    if self.splitter.push(&data).is_err() {
                        return self.break_off("an event exceeds the size limit".into());
                    }
                }
                Some(Err(e)) => return self.break_off(e.reason),
                None if self.splitter.has_partial_event() => {
                    return self.break_off("the stream ended inside an event".into());
                }
                None if let Some(blank) = self.splitter.take_blank_lines() => {
                    return StreamItem::Event(blank);
                }
                None if self.end == BodyEnd::Close => return StreamItem::Closed,
                None => return StreamItem::Ended,
            }
        }
    }

    /// Fails the stream for good: a body that has failed looks complete when it is read again.
    fn break_off(&mut self, why: String) -> StreamItem {
        self.broken = true;
        StreamItem::BrokeOff(why)
    }
}

impl Gateway {
    /// Whether nothing listens at a server's address any more. Asked when a body without length or chunks has ended:
    /// the system closes the connections of a server that crashes, too, and a part of the body then looks complete.
    pub(super) async fn has_ended(&self, server: &Destination) -> bool {
        let connected = self.wire.connect(server.addr, CONNECT_TIMEOUT).await;
        connected == Err(ConnectFailure::Refused)
    }
}

/// Sends the request of a stream that has already begun to a server, to continue it there.
pub(crate) async fn reopen(
    gateway: &Gateway,
    call: &Call,
    server: ServerKey,
    options: SendOptions,
) -> Result<Upstream, String> {
    let now = time::now();
    gateway.record_store_age(now);
    gateway.log_server_remarks(call, server, now);
    let sent = gateway.wire.send(call, options, None).await;
    if let Ok(reply) = &sent {
        gateway.handle_remarks(server, &reply.remarks, now);
    }
    match sent {
        Ok(reply) if reply.status.is_success() => Ok(Upstream::new(reply.body, reply.body_end)),
        Ok(reply) => Err(format!("answered {}", reply.status.as_u16())),
        Err(SendError::Unsent { reason, .. } | SendError::Unanswered { reason }) => Err(reason),
    }
}
