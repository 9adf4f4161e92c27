//! A daemon on a thread and runtime of its own, as if on a VM: it can be drained, killed and frozen.

use crate::config::Config;
use crate::daemon::Daemon;
use crate::error::{Error, Result};
use crate::platform::Platform;
use crate::tls::Identity;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::sync::{mpsc, oneshot};

enum Command {
    Drain,
    Kill,
    Freeze(Duration),
    Cut(SocketAddr, bool),
    Revision(oneshot::Sender<u64>),
    Metrics(oneshot::Sender<String>),
    Ready(oneshot::Sender<bool>),
}

/// A daemon on its own thread.
pub struct Vm {
    /// Where callers reach it.
    pub caller_addr: SocketAddr,
    /// Where daemons reach it.
    pub peer_addr: SocketAddr,
    commands: mpsc::UnboundedSender<Command>,
    thread: Option<JoinHandle<()>>,
}

struct Started {
    caller_addr: SocketAddr,
    peer_addr: SocketAddr,
}

impl Vm {
    /// Starts a daemon and waits until it listens.
    pub async fn start(
        config: Config,
        platform: Arc<dyn Platform>,
        identity: Arc<Identity>,
    ) -> Result<Vm> {
        let (commands, rx) = mpsc::unbounded_channel();
        let (started_tx, started) = oneshot::channel();
        let name = config.vm.clone();
        let thread = std::thread::Builder::new().name(name.clone()).spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
            runtime.block_on(run(config, platform, &identity, started_tx, rx));
        });
        let thread =
            thread.map_err(|e| Error::Listen { addr: name.clone(), reason: e.to_string() })?;
        let ended = |_| Error::Listen { addr: name, reason: "its thread ended".into() };
        let Started { caller_addr, peer_addr } = started.await.map_err(ended)??;
        Ok(Vm { caller_addr, peer_addr, commands, thread: Some(thread) })
    }

    /// Begins a planned stop.
    pub fn drain(&self) {
        let _ = self.commands.send(Command::Drain);
    }

    /// Dies at once, as a process that is killed.
    pub fn kill(&self) {
        let _ = self.commands.send(Command::Kill);
    }

    /// Stops running for a while, as a paused VM.
    pub fn freeze(&self, time: Duration) {
        let _ = self.commands.send(Command::Freeze(time));
    }

    /// Cuts (or heals) its link to another daemon.
    pub fn cut(&self, peer: SocketAddr, cut: bool) {
        let _ = self.commands.send(Command::Cut(peer, cut));
    }

    /// The revision it has in force; `None` once it has ended.
    pub async fn revision(&self) -> Option<u64> {
        let (tx, rx) = oneshot::channel();
        self.commands.send(Command::Revision(tx)).ok()?;
        rx.await.ok()
    }

    /// Whether it is ready for callers.
    pub async fn ready(&self) -> bool {
        let (tx, rx) = oneshot::channel();
        self.commands.send(Command::Ready(tx)).is_ok() && rx.await.unwrap_or(false)
    }

    /// Its metrics as text; `None` once it has ended.
    pub async fn metrics(&self) -> Option<String> {
        let (tx, rx) = oneshot::channel();
        self.commands.send(Command::Metrics(tx)).ok()?;
        rx.await.ok()
    }

    /// Waits until it has ended.
    pub async fn ended(mut self) {
        if let Some(thread) = self.thread.take() {
            let _ = tokio::task::spawn_blocking(move || thread.join()).await;
        }
    }
}

async fn run(
    config: Config,
    platform: Arc<dyn Platform>,
    identity: &Identity,
    started: oneshot::Sender<Result<Started>>,
    mut commands: mpsc::UnboundedReceiver<Command>,
) {
    let daemon = match Daemon::start(config, platform, identity).await {
        Ok(daemon) => daemon,
        Err(e) => {
            let _ = started.send(Err(e));
            return;
        }
    };
    let (caller_addr, peer_addr) = (daemon.caller_addr(), daemon.peer_addr());
    let _ = started.send(Ok(Started { caller_addr, peer_addr }));
    let app = daemon.app().clone();
    let mut daemon = Some(daemon);
    let mut draining = None;
    loop {
        let command = tokio::select! {
            command = commands.recv() => command,
            () = finished(&mut draining) => return,
        };
        match command {
            // The runtime goes, and with it every task and socket.
            None | Some(Command::Kill) => return,
            Some(Command::Freeze(time)) => std::thread::sleep(time),
            Some(Command::Cut(peer, cut)) => app.gossip.peers().cut(peer, cut),
            Some(Command::Drain) => {
                if let Some(daemon) = daemon.take() {
                    draining = Some(tokio::spawn(daemon.drain()));
                }
            }
            Some(Command::Revision(tx)) => {
                let _ = tx.send(app.in_force.get().revision);
            }
            Some(Command::Ready(tx)) => {
                let _ = tx.send(app.unready().is_none());
            }
            Some(Command::Metrics(tx)) => {
                let _ = tx.send(app.metrics.render());
            }
        }
    }
}

async fn finished(draining: &mut Option<tokio::task::JoinHandle<()>>) {
    match draining {
        Some(task) => {
            let _ = task.await;
        }
        None => std::future::pending().await,
    }
}
