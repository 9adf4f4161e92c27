//! QUIC connections between daemons: one per peer, for one-way messages and for streams that carry requests.

use crate::error::{Error, Result};
use crate::message;
use crate::tls::{Identity, NAME};
use futures_util::future::BoxFuture;
use log::{debug, warn};
use network::{Runtime, TokioRuntime};
use prometheus::IntCounterVec;
use quinn::{
    ClientConfig, Connection, ConnectionError, Endpoint, EndpointConfig, IdleTimeout, RecvStream,
    SendStream, ServerConfig, TransportConfig, VarInt,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::{HashMap, HashSet};
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::timeout;

/// What opens the UDP sockets between daemons. A replacement can model slow or lossy links.
pub mod network {
    pub use quinn::udp::{RecvMeta, Transmit};
    pub use quinn::{AsyncTimer, AsyncUdpSocket, Runtime, TokioRuntime, UdpPoller};
}

/// Time limit for connecting to a peer, for opening or sending on a stream, and for closing one.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum size of a message on a bidirectional stream, in bytes.
const MAX_STREAM_MESSAGE_BYTES: usize = 64 << 20;
/// Maximum size of a one-way message, in bytes. Enough for the loads of about 20,000 servers.
const MAX_MESSAGE_BYTES: usize = 512 << 10;
/// Maximum number of one-way messages that a peer may have in transit on streams. A few are enough, because
/// heartbeats are sent one after the other.
const MAX_CONCURRENT_MESSAGES: u32 = 4;
/// Size of the little-endian length before each message on a bidirectional stream, in bytes.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Limits on the connections to peers.
#[derive(Debug, Clone, Copy)]
pub struct LinkLimits {
    /// Idle timeout of a connection, in milliseconds.
    pub idle_ms: u32,
    /// Maximum number of concurrent bidirectional streams from one peer. quinn allocates a slot for each
    /// allowed stream on every connection, so a high limit costs megabytes per peer.
    pub streams: u32,
}

/// Counters of the traffic between daemons, by direction.
#[derive(Debug, Clone)]
pub struct Traffic {
    /// Number of messages.
    pub messages: IntCounterVec,
    /// Number of bytes.
    pub bytes: IntCounterVec,
}

impl Traffic {
    fn count(&self, direction: &str, bytes: usize) {
        self.messages.with_label_values(&[direction]).inc();
        self.bytes.with_label_values(&[direction]).inc_by(bytes as u64);
    }
}

/// Handles the messages and streams that arrive from peers.
pub trait Handler: Send + Sync + 'static {
    /// Handles a one-way message, which gets no answer.
    fn on_message(&self, bytes: &[u8]);
    /// Handles a stream opened by a peer, whose first message is `first_message`.
    fn stream(&self, first_message: Vec<u8>, peer_stream: PeerStream) -> BoxFuture<'_, ()>;
}

/// A peer did not answer, or its answer could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoAnswer;

/// A daemon's connections to all its peers.
pub struct Peers {
    endpoint: Endpoint,
    /// Connections by the address of the peer, in both directions.
    connections: Mutex<HashMap<SocketAddr, Connection>>,
    /// Peers whose last connection from the listening port timed out or could not be established. That pair
    /// of ports may stay unreachable for good, so the next attempt uses a new local port.
    unresponsive: Mutex<HashSet<SocketAddr>>,
    /// Peers with which communication is blocked; see [`Peers::cut`].
    partitioned: Mutex<HashSet<SocketAddr>>,
    /// Configuration of connections from ports other than the listening port.
    client: ClientConfig,
    traffic: Traffic,
    runtime: Arc<dyn Runtime>,
}

fn open_endpoint(
    addr: SocketAddr,
    server: Option<ServerConfig>,
    runtime: &Arc<dyn Runtime>,
) -> std::io::Result<Endpoint> {
    let socket = UdpSocket::bind(addr)?;
    Endpoint::new(EndpointConfig::default(), server, socket, runtime.clone())
}

impl Peers {
    /// Starts listening on `addr`.
    pub fn bind(
        addr: SocketAddr,
        identity: &Identity,
        limits: LinkLimits,
        traffic: Traffic,
    ) -> Result<Peers> {
        Peers::bind_with(Arc::new(TokioRuntime), addr, identity, limits, traffic)
    }

    /// Starts listening on `addr`, on a socket that `runtime` opens.
    pub fn bind_with(
        runtime: Arc<dyn Runtime>,
        addr: SocketAddr,
        identity: &Identity,
        limits: LinkLimits,
        traffic: Traffic,
    ) -> Result<Peers> {
        let mut transport = TransportConfig::default();
        transport.max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(limits.idle_ms))));
        transport.max_concurrent_bidi_streams(VarInt::from_u32(limits.streams));
        transport.max_concurrent_uni_streams(VarInt::from_u32(MAX_CONCURRENT_MESSAGES));
        let transport = Arc::new(transport);
        let mut server = ServerConfig::with_crypto(identity.server()?);
        server.transport_config(transport.clone());
        let mut client = ClientConfig::new(identity.client()?);
        client.transport_config(transport);
        let refused =
            |e: std::io::Error| Error::Listen { addr: addr.to_string(), reason: e.to_string() };
        let mut endpoint = open_endpoint(addr, Some(server), &runtime).map_err(refused)?;
        endpoint.set_default_client_config(client.clone());
        Ok(Peers {
            endpoint,
            connections: Mutex::default(),
            unresponsive: Mutex::default(),
            partitioned: Mutex::default(),
            client,
            traffic,
            runtime,
        })
    }

    /// Returns the listening address.
    pub fn addr(&self) -> Result<SocketAddr> {
        self.endpoint
            .local_addr()
            .map_err(|e| Error::Listen { addr: "peer".into(), reason: e.to_string() })
    }

    /// Accepts connections from peers until the endpoint closes.
    pub async fn serve(self: Arc<Self>, handler: Arc<dyn Handler>) {
        while let Some(incoming) = self.endpoint.accept().await {
            let peers = self.clone();
            let handler = handler.clone();
            tokio::spawn(async move {
                if let Ok(connection) = incoming.await {
                    peers.add_connection(connection.clone());
                    peers.read(connection, handler).await;
                }
            });
        }
    }

    /// Sends a one-way message without a delivery guarantee: as a datagram, or on a stream of its own if it
    /// is too large for a datagram. Returns its size in bytes; zero if there is no connection.
    pub async fn tell(
        self: &Arc<Self>,
        to: SocketAddr,
        message: &impl Serialize,
        handler: &Arc<dyn Handler>,
    ) -> usize {
        let Some(connection) = self.connection(to, handler).await else {
            return 0;
        };
        let bytes = message::encode(message);
        let size = bytes.len();
        self.traffic.count("out", size);
        let fits = connection.max_datagram_size().is_some_and(|max| bytes.len() <= max);
        let sent = match fits {
            true => connection.send_datagram(bytes.into()).map_err(|e| e.to_string()),
            false => timeout(CONNECT_TIMEOUT, send_on_stream(&connection, &bytes))
                .await
                .unwrap_or_else(|_| Err("timed out sending on a stream".into())),
        };
        if let Err(why) = sent {
            debug!(peer = to.to_string().as_str(), why = why.as_str(); "failed to send a message to a peer");
        }
        size
    }

    /// Sends a request and waits up to `limit` for the answer.
    pub async fn ask<A: DeserializeOwned>(
        self: &Arc<Self>,
        to: SocketAddr,
        request: &impl Serialize,
        limit: Duration,
        handler: &Arc<dyn Handler>,
    ) -> Result<A, NoAnswer> {
        let exchange = async {
            let connection = self.connection(to, handler).await.ok_or(NoAnswer)?;
            let mut peer_stream = self.open(&connection, request).await?;
            peer_stream.receive().await
        };
        timeout(limit, exchange).await.unwrap_or(Err(NoAnswer))
    }

    /// Like [`Peers::ask`], but for answers that may be large. The answer must start within `start_timeout`
    /// and must not stall for longer than `stall_timeout`; its total duration is not limited. Calls
    /// `progress` with the number of bytes received and the total for each chunk.
    pub async fn ask_large<A: DeserializeOwned>(
        self: &Arc<Self>,
        to: SocketAddr,
        request: &impl Serialize,
        (start_timeout, stall_timeout): (Duration, Duration),
        handler: &Arc<dyn Handler>,
        progress: impl Fn(usize, usize),
    ) -> Result<A, NoAnswer> {
        let begin = async {
            let connection = self.connection(to, handler).await.ok_or(NoAnswer)?;
            let mut peer_stream = self.open(&connection, request).await?;
            let length = peer_stream.receive_length().await?;
            Ok((peer_stream, length))
        };
        let (mut peer_stream, length) =
            timeout(start_timeout, begin).await.unwrap_or(Err(NoAnswer))?;
        let mut bytes = vec![0; length];
        let mut received = 0;
        while received < length {
            let chunk = timeout(stall_timeout, peer_stream.recv.read(&mut bytes[received..])).await;
            let chunk = chunk.map_err(discard_reason)?.map_err(discard_reason)?;
            received += chunk.ok_or(NoAnswer)?;
            progress(received, length);
        }
        peer_stream.traffic.count("in", length + LENGTH_PREFIX_BYTES);
        message::decode(&bytes).map_err(discard_reason)
    }

    /// Sends a request and returns its stream, which stays open.
    pub async fn hold(
        self: &Arc<Self>,
        to: SocketAddr,
        request: &impl Serialize,
        handler: &Arc<dyn Handler>,
    ) -> Result<PeerStream, NoAnswer> {
        let connection = self.connection(to, handler).await.ok_or(NoAnswer)?;
        timeout(CONNECT_TIMEOUT, self.open(&connection, request)).await.unwrap_or(Err(NoAnswer))
    }

    /// Opens a stream on a connection and sends a request on it.
    async fn open(
        &self,
        connection: &Connection,
        request: &impl Serialize,
    ) -> Result<PeerStream, NoAnswer> {
        let (send, recv) = connection.open_bi().await.map_err(discard_reason)?;
        let mut peer_stream = PeerStream { send, recv, traffic: self.traffic.clone() };
        peer_stream.send(request).await?;
        Ok(peer_stream)
    }

    /// Blocks or restores communication with a peer, to simulate a network partition.
    pub fn cut(&self, addr: SocketAddr, cut: bool) {
        let mut partitioned = self.partitioned.lock().expect("partitioned");
        if cut {
            partitioned.insert(addr);
            if let Some(connection) = self.connections.lock().expect("connections").remove(&addr) {
                connection.close(VarInt::from_u32(0), b"cut");
            }
        } else {
            partitioned.remove(&addr);
        }
    }

    fn is_cut(&self, addr: SocketAddr) -> bool {
        self.partitioned.lock().expect("partitioned").contains(&addr)
    }

    /// Returns the open connection to a peer, or establishes one. `None` if the peer is blocked or
    /// unreachable.
    async fn connection(
        self: &Arc<Self>,
        to: SocketAddr,
        handler: &Arc<dyn Handler>,
    ) -> Option<Connection> {
        if self.is_cut(to) {
            return None;
        }
        let existing = self.connections.lock().expect("connections").get(&to).cloned();
        match existing.as_ref().map(Connection::close_reason) {
            Some(None) => return existing,
            Some(Some(ConnectionError::TimedOut)) => {
                self.connections.lock().expect("connections").remove(&to);
                self.unresponsive.lock().expect("unresponsive").insert(to);
            }
            _ => {}
        }
        let connection = self.connect(to).await?;
        self.add_connection(connection.clone());
        tokio::spawn(self.clone().read_owned(connection.clone(), handler.clone()));
        Some(connection)
    }

    /// Connects from the listening port, or from a new port if the peer did not respond to the listening port
    /// last time.
    async fn connect(&self, to: SocketAddr) -> Option<Connection> {
        let was_unresponsive = self.unresponsive.lock().expect("unresponsive").remove(&to);
        let endpoint =
            if was_unresponsive { self.endpoint_on_new_port()? } else { self.endpoint.clone() };
        let connecting = endpoint.connect(to, NAME).ok()?;
        let connection = timeout(CONNECT_TIMEOUT, connecting).await.ok().and_then(Result::ok);
        if connection.is_none() && !was_unresponsive {
            self.unresponsive.lock().expect("unresponsive").insert(to);
        }
        connection
    }

    /// Opens an endpoint on a new port. It lives as long as its connections.
    fn endpoint_on_new_port(&self) -> Option<Endpoint> {
        let ip = self.endpoint.local_addr().ok()?.ip();
        let bound = open_endpoint(SocketAddr::new(ip, 0), None, &self.runtime);
        let mut endpoint = bound
            .inspect_err(
                |e| warn!(why = e.to_string().as_str(); "failed to open a new port to a peer"),
            )
            .ok()?;
        endpoint.set_default_client_config(self.client.clone());
        Some(endpoint)
    }

    /// Stores a connection under the address of its peer and removes closed ones.
    fn add_connection(&self, connection: Connection) {
        let mut connections = self.connections.lock().expect("connections");
        connections.retain(|_, c| c.close_reason().is_none());
        connections.insert(connection.remote_address(), connection);
    }

    async fn read_owned(self: Arc<Self>, connection: Connection, handler: Arc<dyn Handler>) {
        self.read(connection, handler).await;
    }

    /// Handles the incoming messages and streams of a connection until it closes.
    async fn read(self: &Arc<Self>, connection: Connection, handler: Arc<dyn Handler>) {
        let from = connection.remote_address();
        loop {
            tokio::select! {
                datagram = connection.read_datagram() => {
                    let Ok(bytes) = datagram else { return };
                    self.receive(from, &bytes, &*handler);
                }
                stream = connection.accept_uni() => {
                    let Ok(mut recv) = stream else { return };
                    let (peers, handler) = (self.clone(), handler.clone());
                    tokio::spawn(async move {
                        match recv.read_to_end(MAX_MESSAGE_BYTES).await {
                            Ok(bytes) => peers.receive(from, &bytes, &*handler),
                            Err(e) => debug!(peer = from.to_string().as_str(), why = e.to_string().as_str(); "failed to receive a message from a peer"),
                        }
                    });
                }
                stream = connection.accept_bi() => {
                    let Ok((send, recv)) = stream else { return };
                    if !self.is_cut(from) {
                        tokio::spawn(self.clone().answer(send, recv, handler.clone()));
                    }
                }
            }
        }
    }

    /// Passes a one-way message to the handler, unless communication with the sender is blocked.
    fn receive(&self, from: SocketAddr, bytes: &[u8], handler: &dyn Handler) {
        self.traffic.count("in", bytes.len());
        if !self.is_cut(from) {
            handler.on_message(bytes);
        }
    }

    /// Reads the first message of a stream opened by a peer and passes both to the handler.
    async fn answer(
        self: Arc<Self>,
        send: SendStream,
        recv: RecvStream,
        handler: Arc<dyn Handler>,
    ) {
        let mut peer_stream = PeerStream { send, recv, traffic: self.traffic.clone() };
        if let Ok(first_message) = peer_stream.receive_bytes().await {
            handler.stream(first_message, peer_stream).await;
        }
    }
}

/// Sends a one-way message on a new unidirectional stream.
async fn send_on_stream(connection: &Connection, bytes: &[u8]) -> Result<(), String> {
    let mut stream = connection.open_uni().await.map_err(|e| e.to_string())?;
    stream.write_all(bytes).await.map_err(|e| e.to_string())?;
    stream.finish().map_err(|e| e.to_string())
}

/// A bidirectional stream to a peer. Each message is preceded by its length.
pub struct PeerStream {
    send: SendStream,
    recv: RecvStream,
    traffic: Traffic,
}

impl PeerStream {
    /// Sends a message on the stream.
    pub async fn send(&mut self, message: &impl Serialize) -> Result<(), NoAnswer> {
        let body = message::encode(message);
        let mut bytes = (body.len() as u32).to_le_bytes().to_vec();
        bytes.extend(body);
        self.traffic.count("out", bytes.len());
        self.send.write_all(&bytes).await.map_err(discard_reason)
    }

    /// Receives the next message. Not cancel-safe: if the future is dropped midway, the stream cannot be read
    /// any further.
    pub async fn receive<T: DeserializeOwned>(&mut self) -> Result<T, NoAnswer> {
        let bytes = self.receive_bytes().await?;
        message::decode(&bytes).map_err(discard_reason)
    }

    async fn receive_length(&mut self) -> Result<usize, NoAnswer> {
        let mut length = [0; LENGTH_PREFIX_BYTES];
        self.recv.read_exact(&mut length).await.map_err(discard_reason)?;
        let length = u32::from_le_bytes(length) as usize;
        if length <= MAX_STREAM_MESSAGE_BYTES { Ok(length) } else { Err(NoAnswer) }
    }

    async fn receive_bytes(&mut self) -> Result<Vec<u8>, NoAnswer> {
        let length = self.receive_length().await?;
        let mut bytes = vec![0; length];
        self.recv.read_exact(&mut bytes).await.map_err(discard_reason)?;
        self.traffic.count("in", length + LENGTH_PREFIX_BYTES);
        Ok(bytes)
    }

    /// Closes the sending side and waits, for a limited time, until the peer has received everything.
    pub async fn finish(&mut self) {
        if self.send.finish().is_ok() {
            let _ = timeout(CONNECT_TIMEOUT, self.send.stopped()).await;
        }
    }
}

fn discard_reason<E>(_: E) -> NoAnswer {
    NoAnswer
}
