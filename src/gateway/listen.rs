//! Accepts HTTP connections, and stops doing so in phases on a graceful shutdown.

use crate::error::{Error, Result};
use crate::gateway::caller_stream::CallerStream;
use crate::gateway::request::AnswerBody;
use futures_util::future::BoxFuture;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, Version};
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

/// Minimum buffer size of the HTTP parser, in bytes.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Progress of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Normal operation.
    Serving,
    /// Callers are directed to other daemons; requests that still arrive are served.
    Leaving,
    /// New connections and requests are not accepted; running requests continue.
    Closing,
}

/// Limits for one connection.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    /// Largest request head, in bytes.
    pub max_header_bytes: usize,
    /// Longest time to wait for a complete request head, including idle time between requests.
    pub idle_timeout: Duration,
}

/// Counts open connections and limits their number.
#[derive(Debug)]
pub struct OpenConnections {
    count: AtomicUsize,
    max: usize,
}

/// Answers requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request. If the phase is [`Phase::Leaving`] or later once the answer is there, the caller should
    /// not reuse the connection.
    fn answer(
        &self,
        request: Request<Incoming>,
        phase: watch::Receiver<Phase>,
    ) -> BoxFuture<'static, Response<AnswerBody>>;
    /// Limits for a new connection.
    fn limits(&self) -> ConnectionLimits;
}

impl OpenConnections {
    /// Creates a counter that admits up to `max` connections.
    pub fn new(max: usize) -> OpenConnections {
        OpenConnections { count: AtomicUsize::new(0), max }
    }

    /// Number of open connections.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::Relaxed)
    }

    /// Whether the limit is reached.
    pub fn is_full(&self) -> bool {
        self.count() >= self.max
    }

    /// Counts a new connection; `None` if the limit is reached.
    fn enter(self: &Arc<Self>) -> Option<ConnectionGuard> {
        if self.is_full() {
            return None;
        }
        self.count.fetch_add(1, Ordering::Relaxed);
        Some(ConnectionGuard(self.clone()))
    }
}

/// Counts as one open connection until dropped.
struct ConnectionGuard(Arc<OpenConnections>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.count.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Binds a listener to an address.
pub async fn bind(addr: SocketAddr) -> Result<TcpListener> {
    let refused =
        |e: std::io::Error| Error::Listen { addr: addr.to_string(), reason: e.to_string() };
    TcpListener::bind(addr).await.map_err(refused)
}

/// The address of a listener.
pub fn addr(listener: &TcpListener) -> Result<SocketAddr> {
    let unknown = |e: std::io::Error| Error::Listen { addr: "?".into(), reason: e.to_string() };
    listener.local_addr().map_err(unknown)
}

/// Accepts connections until the phase is [`Phase::Closing`].
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
                    // Closed before anything is read, so that the caller can safely send any request to
                    // another daemon.
                    debug!("connection closed: too many are open");
                    continue;
                };
                let connection = serve_connection(stream, handler.clone(), phase.clone());
                tokio::spawn(async move {
                    connection.await;
                    drop(guard);
                });
            }
            Err(e) => {
                warn!(why = e.to_string().as_str(); "could not accept connection");
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
        debug!("could not set TCP_NODELAY: {e}");
        return;
    }
    let limits = handler.limits();
    let now = phase.clone();
    let (stream, unmarked) = CallerStream::new(stream);
    let service = service_fn(move |request: Request<Incoming>| {
        let takes_chunks = request.version() >= Version::HTTP_11;
        let answer = handler.answer(request, now.clone());
        let unmarked = unmarked.clone();
        async move {
            let answer = answer.await;
            let is_unmarked = !takes_chunks && answer.body().size_hint().exact().is_none();
            unmarked.store(is_unmarked, Ordering::Relaxed);
            Ok::<_, Infallible>(answer)
        }
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
        debug!("connection failed: {e}");
    }
}

/// Returns once the phase is [`Phase::Closing`].
async fn wait_for_closing(phase: &mut watch::Receiver<Phase>) {
    // The wait fails only if the sender was dropped: the daemon itself has stopped.
    drop(phase.wait_for(|phase| *phase == Phase::Closing).await);
}
