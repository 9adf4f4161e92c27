//! Requests that a daemon without a path to any server passes on to another daemon.

#[path = "common/servers.rs"]
mod servers;
#[path = "common/wire.rs"]
mod wire;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::future::{BoxFuture, ready};
use futures_util::stream::{once, pending};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::{HeaderMap, StatusCode};
use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};
use tidestair::gateway::continuation::StreamAnswer;
use tidestair::gateway::core::{LimitedServer, PeerSource};
use tidestair::gateway::port::{DaemonTransport, SendError};
use tidestair::gateway::request::{Answer, Call};
use tidestair::gateway::servers::{Load, PeerStats};
use tidestair::gateway::table::RouteKind;
use tidestair::gateway::tag::Tag;
use tidestair::outcome::NotSent;
use tidestair::time;
use wire::{Wire, call, gateway, route};

/// Ends a test of an answer that is left without an end; its deadline has long passed by then.
const PATIENCE: Duration = Duration::from_secs(20);

/// One other daemon.
struct OnePeer;

impl PeerSource for OnePeer {
    fn peer_stats(&self, _: Instant) -> Option<PeerStats> {
        None
    }

    fn higher_ranked_load(&self, _: Tag, _: Instant) -> Load {
        Load::default()
    }

    fn ready_peers(&self, _: Instant) -> Vec<SocketAddr> {
        vec!["127.0.0.1:9".parse().unwrap()]
    }

    fn find_stream(&self, _: Tag, _: Tag) -> BoxFuture<'_, StreamAnswer> {
        Box::pin(ready(StreamAnswer::NONE))
    }

    fn borrow_quota(&self, _: Vec<LimitedServer>) -> BoxFuture<'_, Option<Tag>> {
        Box::pin(ready(None))
    }
}

/// A daemon that sends one event and then nothing more.
struct FallsSilent;

impl DaemonTransport for FallsSilent {
    fn forward<'a>(
        &'a self,
        _: &'a Call,
        _: SocketAddr,
        _: Duration,
        proof: Option<NotSent>,
    ) -> BoxFuture<'a, Result<Answer, SendError>> {
        proof.into_iter().for_each(NotSent::spend);
        let event = Frame::data(Bytes::from_static(b"id: 1\n\n"));
        let body = StreamBody::new(once(ready(Ok(event))).chain(pending())).boxed_unsync();
        Box::pin(ready(Ok(Answer { status: StatusCode::OK, headers: HeaderMap::new(), body })))
    }
}

/// Guards against an answer that waits without limit for a daemon which the request was passed on to.
#[tokio::test]
async fn an_answer_of_a_daemon_that_falls_silent_ends_at_its_deadline() {
    let route = route(RouteKind::Streaming);
    let gateway = gateway(Wire::refusing(), &route, &[Load::default(); 4]);
    let peers: Arc<dyn PeerSource> = Arc::new(OnePeer);
    gateway.set_peer_source(Arc::downgrade(&peers) as Weak<dyn PeerSource>);
    gateway.set_daemon_transport(Arc::new(FallsSilent));
    let call = call(&route, "/x", 100, Duration::from_secs(2), time::now());
    let answer = gateway.answer(call).await.expect("it is passed on");
    let read = tokio::time::timeout(PATIENCE, answer.body.collect()).await;
    assert!(read.expect("the answer ends").is_err(), "it must not look complete");
}
