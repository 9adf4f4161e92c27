//! An HTTP server that can be stopped gracefully or at once.

use crate::error::{Error, Result};
use bytes::Bytes;
use salvo::conn::tcp::TcpAcceptor;
use salvo::http::{HeaderValue, StatusCode, header};
use salvo::prelude::*;
use salvo::server::ServerHandle;
use serde::Serialize;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// A running server.
pub struct Serving {
    /// Where it listens.
    pub addr: SocketAddr,
    handle: ServerHandle,
    task: JoinHandle<()>,
}

/// Listens on `addr` and serves `router`.
pub async fn serve(addr: SocketAddr, router: Router) -> Result<Serving> {
    let refused =
        |e: std::io::Error| Error::Listen { addr: addr.to_string(), reason: e.to_string() };
    let listener = listen(addr).map_err(refused)?;
    let addr = listener.local_addr().map_err(refused)?;
    let acceptor = TcpAcceptor::try_from(listener).map_err(refused)?;
    let server = Server::new(acceptor);
    let handle = server.handle();
    let task = tokio::spawn(server.serve(router));
    Ok(Serving { addr, handle, task })
}

/// Small pieces of a stream must not wait for the reader's acknowledgement: connections inherit
/// `TCP_NODELAY` from the listening socket.
fn listen(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

impl Serving {
    /// Closes the listener and every connection at once.
    pub async fn stop_now(self) {
        self.handle.stop_forceful();
        let _ = self.task.await;
    }

    /// Takes no new connection and waits for the open ones.
    pub async fn stop_graceful(self) {
        self.handle.stop_graceful(None);
        let _ = self.task.await;
    }
}

/// Pieces of a body that a task sends while the answer goes out.
pub type BodySender = mpsc::Sender<Result<Bytes, std::io::Error>>;

/// Makes `res` a streamed answer; `depth` pieces are buffered before the sender waits.
pub fn stream_body(res: &mut Response, depth: usize) -> BodySender {
    let (tx, rx) = mpsc::channel::<Result<Bytes, std::io::Error>>(depth);
    let next = |mut rx: mpsc::Receiver<_>| async { rx.recv().await.map(|item| (item, rx)) };
    res.stream(futures_util::stream::unfold(rx, next));
    tx
}

/// Answers with server-sent events.
pub fn event_stream(res: &mut Response, depth: usize) -> BodySender {
    let headers = res.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    stream_body(res, depth)
}

/// Answers with JSON.
pub fn json(res: &mut Response, status: StatusCode, body: &impl Serialize) {
    res.status_code(status);
    res.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let bytes = serde_json::to_vec(body).expect("answers are JSON");
    let _ = res.write_body(bytes);
}
