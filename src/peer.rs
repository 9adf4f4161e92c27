//! Links between daemons over QUIC: one connection for each peer, datagrams and request streams.

use crate::error::{Error, Result};
use crate::message;
use crate::tls::{Identity, NAME};
use futures_util::future::BoxFuture;
use log::{debug, warn};
use prometheus::IntCounterVec;
use quinn::{
    ClientConfig, Connection, ConnectionError, Endpoint, IdleTimeout, RecvStream, SendStream,
    ServerConfig, TransportConfig, VarInt,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::timeout;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Largest request or answer, in bytes.
const MAX_STREAM_MESSAGE_BYTES: usize = 64 << 20;
/// Largest message that is told unasked, in bytes: one with the loads of some 20,000 servers.
const MAX_MESSAGE_BYTES: usize = 512 << 10;
/// Such messages that one peer may have on their way, each on its stream: one heartbeat follows the other.
const MAX_CONCURRENT_MESSAGES: u32 = 4;
const LENGTH_PREFIX_BYTES: usize = 4;

/// How connections to peers are kept.
#[derive(Debug, Clone, Copy)]
pub struct LinkLimits {
    /// Silence after which a connection is given up, in milliseconds.
    pub idle_ms: u32,
    /// Streams open at once from one peer. quinn keeps a slot for each that it allows, on every
    /// connection, so a generous number costs megabytes a peer.
    pub streams: u32,
}

/// Counters of what goes between daemons, by direction.
#[derive(Debug, Clone)]
pub struct Traffic {
    /// Messages.
    pub messages: IntCounterVec,
    /// Bytes.
    pub bytes: IntCounterVec,
}

impl Traffic {
    fn count(&self, direction: &str, bytes: usize) {
        self.messages.with_label_values(&[direction]).inc();
        self.bytes.with_label_values(&[direction]).inc_by(bytes as u64);
    }
}

/// What a daemon does with what its peers send.
pub trait Handler: Send + Sync + 'static {
    /// A message came that was told unasked.
    fn on_message(&self, bytes: &[u8]);
    /// A stream was opened; `first` is its first message.
    fn stream(&self, first_message: Vec<u8>, peer_stream: PeerStream) -> BoxFuture<'_, ()>;
}

/// A peer that gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoAnswer;

/// All links of one daemon.
pub struct Peers {
    endpoint: Endpoint,
    connections: Mutex<HashMap<SocketAddr, Connection>>,
    /// Peers that were last not reached, or fell silent, on the way between the two usual ports. Such a
    /// way may be silent for good, and only a new one works.
    unresponsive: Mutex<HashSet<SocketAddr>>,
    partitioned: Mutex<HashSet<SocketAddr>>,
    /// For connections from other ports than the one that is listened on.
    client: ClientConfig,
    traffic: Traffic,
}

impl Peers {
    /// Listens on `addr`.
    pub fn bind(
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
        let mut endpoint = Endpoint::server(server, addr).map_err(refused)?;
        endpoint.set_default_client_config(client.clone());
        Ok(Peers {
            endpoint,
            connections: Mutex::default(),
            unresponsive: Mutex::default(),
            partitioned: Mutex::default(),
            client,
            traffic,
        })
    }

    /// Where it listens.
    pub fn addr(&self) -> Result<SocketAddr> {
        self.endpoint
            .local_addr()
            .map_err(|e| Error::Listen { addr: "peer".into(), reason: e.to_string() })
    }

    /// Takes connections from peers until the endpoint closes.
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

    /// Sends a message that may be lost without harm: as a datagram, or on a stream of its own where
    /// it is too large for one.
    pub async fn tell(
        self: &Arc<Self>,
        to: SocketAddr,
        message: &impl Serialize,
        handler: &Arc<dyn Handler>,
    ) {
        let Some(connection) = self.connection(to, handler).await else {
            return;
        };
        let bytes = message::encode(message);
        self.traffic.count("out", bytes.len());
        let fits = connection.max_datagram_size().is_some_and(|max| bytes.len() <= max);
        let sent = match fits {
            true => connection.send_datagram(bytes.into()).map_err(|e| e.to_string()),
            false => timeout(CONNECT_TIMEOUT, send_on_stream(&connection, &bytes))
                .await
                .unwrap_or_else(|_| Err("no stream in time".into())),
        };
        if let Err(why) = sent {
            debug!(peer = to.to_string().as_str(), why = why.as_str(); "message not sent");
        }
    }

    /// Sends a request and waits for its answer.
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

    /// The same for an answer that may be large: it begins within `first` and then never pauses for longer than
    /// `pause`, however long it takes in all. Each part of it is told to `progress`.
    pub async fn ask_large<A: DeserializeOwned>(
        self: &Arc<Self>,
        to: SocketAddr,
        request: &impl Serialize,
        (start_timeout, stall_timeout): (Duration, Duration),
        handler: &Arc<dyn Handler>,
        progress: impl Fn(),
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
            progress();
        }
        peer_stream.traffic.count("in", length + LENGTH_PREFIX_BYTES);
        message::decode(&bytes).map_err(discard_reason)
    }

    /// Sends a request whose stream stays open.
    pub async fn hold(
        self: &Arc<Self>,
        to: SocketAddr,
        request: &impl Serialize,
        handler: &Arc<dyn Handler>,
    ) -> Result<PeerStream, NoAnswer> {
        let connection = self.connection(to, handler).await.ok_or(NoAnswer)?;
        timeout(CONNECT_TIMEOUT, self.open(&connection, request)).await.unwrap_or(Err(NoAnswer))
    }

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

    /// Cuts (or heals) the link to a peer, to bring about a partition.
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

    /// Connects from the usual port, or from a new one where that way was silent the last time.
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

    /// An endpoint that lasts as long as its connections.
    fn endpoint_on_new_port(&self) -> Option<Endpoint> {
        let ip = self.endpoint.local_addr().ok()?.ip();
        let bound = Endpoint::client(SocketAddr::new(ip, 0));
        let mut endpoint = bound
            .inspect_err(|e| warn!(why = e.to_string().as_str(); "no new port for a peer"))
            .ok()?;
        endpoint.set_default_client_config(self.client.clone());
        Some(endpoint)
    }

    fn add_connection(&self, connection: Connection) {
        let mut connections = self.connections.lock().expect("connections");
        connections.retain(|_, c| c.close_reason().is_none());
        connections.insert(connection.remote_address(), connection);
    }

    async fn read_owned(self: Arc<Self>, connection: Connection, handler: Arc<dyn Handler>) {
        self.read(connection, handler).await;
    }

    /// Reads one connection until it closes.
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
                            Err(e) => debug!(peer = from.to_string().as_str(), why = e.to_string().as_str(); "message not received"),
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

    /// A message came, as a datagram or on a stream of its own.
    fn receive(&self, from: SocketAddr, bytes: &[u8], handler: &dyn Handler) {
        self.traffic.count("in", bytes.len());
        if !self.is_cut(from) {
            handler.on_message(bytes);
        }
    }

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

/// Sends a message on a stream of its own.
async fn send_on_stream(connection: &Connection, bytes: &[u8]) -> Result<(), String> {
    let mut stream = connection.open_uni().await.map_err(|e| e.to_string())?;
    stream.write_all(bytes).await.map_err(|e| e.to_string())?;
    stream.finish().map_err(|e| e.to_string())
}

/// A stream to a peer that carries messages both ways, each behind its length.
pub struct PeerStream {
    send: SendStream,
    recv: RecvStream,
    traffic: Traffic,
}

impl PeerStream {
    /// Sends a message.
    pub async fn send(&mut self, message: &impl Serialize) -> Result<(), NoAnswer> {
        let body = message::encode(message);
        let mut bytes = (body.len() as u32).to_le_bytes().to_vec();
        bytes.extend(body);
        self.traffic.count("out", bytes.len());
        self.send.write_all(&bytes).await.map_err(discard_reason)
    }

    /// Receives a message. Not to be given up halfway, except to end the stream.
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

    /// Says that nothing more comes and waits until the peer has it all.
    pub async fn finish(&mut self) {
        if self.send.finish().is_ok() {
            let _ = timeout(CONNECT_TIMEOUT, self.send.stopped()).await;
        }
    }
}

fn discard_reason<E>(_: E) -> NoAnswer {
    NoAnswer
}
