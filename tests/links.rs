//! Links between daemons whose way falls silent for good, while a new way works.

use futures_util::future::BoxFuture;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tidestair::peer::{Handler, LinkLimits, PeerStream, Peers, Traffic};
use tidestair::tls::Identity;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

/// Silence after which the test's links are given up.
const IDLE_MS: u32 = 300;
/// Time after which a test that waits for a state is given up as hung.
const PATIENCE: Duration = Duration::from_secs(20);
/// Larger than any datagram of QUIC.
const DATAGRAM: usize = 64 << 10;

/// Counts the datagrams that came.
#[derive(Default)]
struct Counting(AtomicUsize);

impl Handler for Counting {
    fn on_message(&self, _: &[u8]) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    fn stream(&self, _: Vec<u8>, _: PeerStream) -> BoxFuture<'_, ()> {
        Box::pin(async {})
    }
}

/// Passes datagrams on, each sender's over a socket of its own.
struct Way {
    front: Arc<UdpSocket>,
    to: SocketAddr,
    /// The sockets of senders; `None` where their way has fallen silent.
    senders: Mutex<HashMap<SocketAddr, Option<Arc<UdpSocket>>>>,
}

impl Way {
    async fn to(to: SocketAddr) -> Arc<Way> {
        let front = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
        let way = Arc::new(Way { front: Arc::new(front), to, senders: Mutex::default() });
        tokio::spawn(way.clone().run());
        way
    }

    fn addr(&self) -> SocketAddr {
        self.front.local_addr().expect("it is bound")
    }

    /// Lets the ways of all present senders fall silent for good.
    fn silence(&self) {
        for socket in self.senders.lock().unwrap().values_mut() {
            *socket = None;
        }
    }

    async fn run(self: Arc<Self>) {
        let mut bytes = vec![0; DATAGRAM];
        loop {
            // A refused datagram of an earlier sender may come back as an error.
            let Ok((size, from)) = self.front.recv_from(&mut bytes).await else { continue };
            if let Some(socket) = self.clone().socket(from).await {
                let _ = socket.send(&bytes[..size]).await;
            }
        }
    }

    async fn socket(self: Arc<Self>, from: SocketAddr) -> Option<Arc<UdpSocket>> {
        if let Some(known) = self.senders.lock().unwrap().get(&from) {
            return known.clone();
        }
        let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await.expect("a free port"));
        socket.connect(self.to).await.expect("an address");
        self.senders.lock().unwrap().insert(from, Some(socket.clone()));
        tokio::spawn(self.back(socket.clone(), from));
        Some(socket)
    }

    async fn back(self: Arc<Self>, socket: Arc<UdpSocket>, to: SocketAddr) {
        let mut bytes = vec![0; DATAGRAM];
        loop {
            let Ok(size) = socket.recv(&mut bytes).await else { continue };
            let heard = self.senders.lock().unwrap().get(&to).is_some_and(Option::is_some);
            if heard {
                let _ = self.front.send_to(&bytes[..size], to).await;
            }
        }
    }
}

fn peers() -> Arc<Peers> {
    let counter = || {
        let opts = prometheus::Opts::new("messages", "Of a test");
        prometheus::IntCounterVec::new(opts, &["direction"]).expect("a valid name")
    };
    let traffic = Traffic { messages: counter(), bytes: counter() };
    let identity = Identity::unauthenticated().expect("an identity");
    let limits = LinkLimits { idle_ms: IDLE_MS, streams: 4 };
    let addr = "127.0.0.1:0".parse().expect("an address");
    Arc::new(Peers::bind(addr, &identity, limits, traffic).expect("a free port"))
}

/// Sends datagrams until one more than before has come.
async fn gets_through(from: &Arc<Peers>, to: SocketAddr, came: &Counting) {
    let handler: Arc<dyn Handler> = Arc::new(Counting::default());
    let before = came.0.load(Ordering::Relaxed);
    let sending = async {
        while came.0.load(Ordering::Relaxed) == before {
            from.tell(to, &1u8, &handler).await;
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(PATIENCE, sending).await.expect("nothing gets through");
}

#[tokio::test]
async fn a_link_that_falls_silent_for_good_is_made_anew_on_another_way() {
    let (sender, receiver) = (peers(), peers());
    let came = Arc::new(Counting::default());
    tokio::spawn(receiver.clone().serve(came.clone()));
    let way = Way::to(receiver.addr().expect("it listens")).await;
    gets_through(&sender, way.addr(), &came).await;
    for _ in 0..2 {
        way.silence();
        // What was under way when the silence began.
        sleep(Duration::from_millis(50)).await;
        gets_through(&sender, way.addr(), &came).await;
    }
}

#[tokio::test]
async fn what_does_not_fit_a_datagram_is_told_all_the_same() {
    let (sender, receiver) = (peers(), peers());
    let came = Arc::new(Counting::default());
    tokio::spawn(receiver.clone().serve(came.clone()));
    let to = receiver.addr().expect("it listens");
    let handler: Arc<dyn Handler> = Arc::new(Counting::default());
    // As the loads of some hundred servers.
    let message = vec![7u8; 20_000];
    let sending = async {
        while came.0.load(Ordering::Relaxed) < 3 {
            sender.tell(to, &message, &handler).await;
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(PATIENCE, sending).await.expect("nothing gets through");
}
