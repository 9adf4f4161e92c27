//! HTTP exchanges with backend servers, one request at a time on a connection.
//!
//! A connection goes back to the idle list only after its whole answer was
//! read; one on which an exchange was abandoned is closed, so a late answer
//! can never meet another request. The proof [`NotSent`] is consumed by the
//! write and given back only where hyper says that nothing was serialized.

use crate::outcome::NotSent;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{HeaderMap, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

const IDLE_PER_SERVER: usize = 64;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

type Sender = SendRequest<Full<Bytes>>;

/// Why an exchange gave no answer.
#[derive(Debug)]
pub enum Fault {
    /// Nothing left this process.
    NotSent(NotSent),
    /// The request may have arrived.
    Unknown,
}

/// Idle connections to backend servers.
#[derive(Clone, Default)]
pub struct Wire {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Sender>>>>,
}

/// An answer whose head has arrived.
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    body: Incoming,
    sender: Option<Sender>,
    addr: SocketAddr,
    wire: Wire,
}

impl Wire {
    /// Sends one request and waits for the head of its answer.
    pub async fn send(
        &self,
        addr: SocketAddr,
        req: Request<Full<Bytes>>,
        proof: NotSent,
        limit: Duration,
    ) -> Result<Answer, Fault> {
        let mut req = req;
        let mut proof = proof;
        // An idle connection may have been closed by its server; only then is a fresh one tried.
        while let Some(sender) = self.take(addr) {
            match self.exchange(addr, sender, req, proof, limit).await {
                Err(Unsent::Returned(back, p)) => (req, proof) = (*back, p),
                Err(Unsent::Gone) => return Err(Fault::Unknown),
                Ok(answer) => return Ok(answer),
            }
        }
        let Some(sender) = connect(addr).await else {
            return Err(Fault::NotSent(proof));
        };
        match self.exchange(addr, sender, req, proof, limit).await {
            Err(Unsent::Returned(_, p)) => Err(Fault::NotSent(p)),
            Err(Unsent::Gone) => Err(Fault::Unknown),
            Ok(answer) => Ok(answer),
        }
    }

    fn take(&self, addr: SocketAddr) -> Option<Sender> {
        let mut idle = self.idle.lock().expect("idle");
        let list = idle.get_mut(&addr)?;
        while let Some(sender) = list.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    fn give(&self, addr: SocketAddr, sender: Sender) {
        let mut idle = self.idle.lock().expect("idle");
        let list = idle.entry(addr).or_default();
        if list.len() < IDLE_PER_SERVER {
            list.push(sender);
        }
    }

    async fn exchange(
        &self,
        addr: SocketAddr,
        mut sender: Sender,
        req: Request<Full<Bytes>>,
        proof: NotSent,
        limit: Duration,
    ) -> Result<Answer, Unsent> {
        match timeout(limit, sender.try_send_request(req)).await {
            Ok(Ok(res)) => {
                let (head, body) = res.into_parts();
                let wire = self.clone();
                Ok(Answer {
                    status: head.status,
                    headers: head.headers,
                    body,
                    sender: Some(sender),
                    addr,
                    wire,
                })
            }
            Ok(Err(mut e)) => match e.take_message() {
                // hyper returns the message only where it serialized none of it.
                Some(back) => Err(Unsent::Returned(Box::new(back), proof)),
                None => Err(Unsent::Gone),
            },
            Err(_) => Err(Unsent::Gone),
        }
    }
}

enum Unsent {
    Returned(Box<Request<Full<Bytes>>>, NotSent),
    Gone,
}

async fn connect(addr: SocketAddr) -> Option<Sender> {
    let tcp = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await.ok()?.ok()?;
    tcp.set_nodelay(true).ok()?;
    let (sender, conn) = handshake(TokioIo::new(tcp)).await.ok()?;
    tokio::spawn(async move {
        // Errors reach the exchange itself.
        let _ = conn.await;
    });
    Some(sender)
}

impl Answer {
    /// The next piece of the body; `None` at its proper end, `Err` where it broke off.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, Fault> {
        loop {
            match self.body.frame().await {
                None => {
                    if let Some(sender) = self.sender.take() {
                        self.wire.give(self.addr, sender);
                    }
                    return Ok(None);
                }
                Some(Err(_)) => return Err(Fault::Unknown),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    /// The whole body, at most `most` bytes, within `limit`.
    pub async fn read_to_end(mut self, most: usize, limit: Duration) -> Result<Bytes, Fault> {
        let mut whole = Vec::new();
        let read = async {
            while let Some(data) = self.chunk().await? {
                whole.extend_from_slice(&data);
                if whole.len() > most {
                    return Err(Fault::Unknown);
                }
            }
            Ok(())
        };
        timeout(limit, read).await.unwrap_or(Err(Fault::Unknown))?;
        Ok(Bytes::from(whole))
    }
}
