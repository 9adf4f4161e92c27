//! Listening for HTTP requests through the phases of a planned stop.

use crate::error::{Error, Result};
use crate::gateway::request::AnswerBody;
use futures_util::future::BoxFuture;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{debug, warn};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// The parser's least buffer, in bytes.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Pause after a connection could not be taken, as when descriptors run out.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// How far a planned stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Takes callers.
    Serving,
    /// Callers are sent elsewhere; those that still come are served.
    Leaving,
    /// Takes no new connections or requests; those begun go on.
    Closing,
}

/// Bounds on one connection.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    /// Largest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Longest time without a whole head, rest between requests included.
    pub idle_timeout: Duration,
}

/// Connections that are open, and how many may be.
#[derive(Debug)]
pub struct OpenConnections {
    count: AtomicUsize,
    max: usize,
}

/// What answers requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request. With `leaving` the caller should not use the connection again.
    fn answer(
        &self,
        request: Request<Incoming>,
        leaving: bool,
    ) -> BoxFuture<'static, Response<AnswerBody>>;
    /// Bounds on a new connection.
    fn limits(&self) -> ConnectionLimits;
}

impl OpenConnections {
    /// None yet, of `most`.
    pub fn new(max: usize) -> OpenConnections {
        OpenConnections { count: AtomicUsize::new(0), max }
    }

    /// How many.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::Relaxed)
    }

    /// Whether no further one is taken.
    pub fn is_full(&self) -> bool {
        self.count() >= self.max
    }

    /// Counts one more; `None` where too many are open.
    fn enter(self: &Arc<Self>) -> Option<ConnectionGuard> {
        if self.is_full() {
            return None;
        }
        self.count.fetch_add(1, Ordering::Relaxed);
        Some(ConnectionGuard(self.clone()))
    }
}

/// One connection among those that are open.
struct ConnectionGuard(Arc<OpenConnections>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.count.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Listens on an address.
pub async fn bind(addr: SocketAddr) -> Result<TcpListener> {
    let refused =
        |e: std::io::Error| Error::Listen { addr: addr.to_string(), reason: e.to_string() };
    TcpListener::bind(addr).await.map_err(refused)
}

/// Where a listener listens.
pub fn addr(listener: &TcpListener) -> Result<SocketAddr> {
    let unknown = |e: std::io::Error| Error::Listen { addr: "?".into(), reason: e.to_string() };
    listener.local_addr().map_err(unknown)
}

/// Takes connections until the phase is [`Phase::Closing`].
pub async fn serve(
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    mut phase: watch::Receiver<Phase>,
    open: Arc<OpenConnections>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_for_closing(&mut phase) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let Some(guard) = open.enter() else {
                    // Closed unread: the caller may try another daemon with any request.
                    debug!("connection over the limit closed");
                    continue;
                };
                let connection = serve_connection(stream, handler.clone(), phase.clone());
                tokio::spawn(async move {
                    connection.await;
                    drop(guard);
                });
            }
            Err(e) => {
                warn!(why = e.to_string().as_str(); "connection not taken");
                sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

/// Serves one connection.
async fn serve_connection(
    stream: TcpStream,
    handler: Arc<dyn Handler>,
    mut phase: watch::Receiver<Phase>,
) {
    if let Err(e) = stream.set_nodelay(true) {
        debug!("connection lost at once: {e}");
        return;
    }
    let limits = handler.limits();
    let now = phase.clone();
    let service = service_fn(move |request| {
        let answer = handler.answer(request, *now.borrow() >= Phase::Leaving);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = &mut connection => ended,
        () = wait_for_closing(&mut phase) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = ended {
        debug!("connection ended: {e}");
    }
}

/// Returns once no new connections or requests are taken.
async fn wait_for_closing(phase: &mut watch::Receiver<Phase>) {
    // An error means that the daemon itself has ended.
    drop(phase.wait_for(|phase| *phase == Phase::Closing).await);
}
