//! A stand-in plain service that counts what it ran.

use crate::adapter::NOT_STARTED;
use crate::error::Result;
use crate::server::{self, Serving, json};
use salvo::affix_state;
use salvo::http::StatusCode;
use salvo::prelude::*;
use serde_json::json as value;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Mutex as AsyncMutex;
use tokio::time::sleep;

/// Faults of a service.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServiceFaults {
    /// Runs this many calls and breaks the connection instead of answering.
    pub lose_answers: u32,
    /// Time before each answer.
    pub delay: Duration,
    /// Refuses new calls and says that they were not started.
    pub leaving: bool,
}

/// A running stand-in service. Calls are counted by the `x-call` header or else the path.
#[derive(Clone)]
pub struct ServiceStandin {
    addr: SocketAddr,
    core: Arc<Core>,
    serving: Arc<AsyncMutex<Option<Serving>>>,
}

#[derive(Default)]
struct Core {
    runs: Mutex<HashMap<String, u64>>,
    faults: Mutex<ServiceFaults>,
}

impl ServiceStandin {
    /// Starts a service on `addr`.
    pub async fn start(addr: SocketAddr) -> Result<ServiceStandin> {
        let core = Arc::new(Core::default());
        let serving = server::serve(addr, router(core.clone())).await?;
        Ok(ServiceStandin {
            addr: serving.addr,
            core,
            serving: Arc::new(AsyncMutex::new(Some(serving))),
        })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Changes the faults.
    pub fn fault(&self, change: impl FnOnce(&mut ServiceFaults)) {
        change(&mut self.core.faults.lock().expect("faults"));
    }

    /// How often each call ran.
    pub fn runs(&self) -> HashMap<String, u64> {
        self.core.runs.lock().expect("runs").clone()
    }

    /// Dies; what it counted is kept for judging.
    pub async fn crash(&self) {
        if let Some(serving) = self.serving.lock().await.take() {
            serving.stop_now().await;
        }
    }

    /// Comes back at the same address.
    pub async fn restart(&self) -> Result<()> {
        let mut slot = self.serving.lock().await;
        if slot.is_none() {
            *slot = Some(server::serve(self.addr, router(self.core.clone())).await?);
        }
        Ok(())
    }
}

fn router(core: Arc<Core>) -> Router {
    Router::with_path("{**path}").hoop(affix_state::inject(core)).goal(call)
}

#[handler]
async fn call(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let core = depot.get_typed::<Arc<Core>>().expect("injected by the router").clone();
    let path = req.uri().path().to_string();
    let label = req.headers().get("x-call").and_then(|v| v.to_str().ok());
    let label = label.map_or(path.clone(), str::to_string);
    let body = req.payload().await.map(|b| b.len()).unwrap_or(0);
    let faults = *core.faults.lock().expect("faults");
    if faults.leaving {
        res.headers_mut().insert(NOT_STARTED, "leaving".parse().expect("ascii"));
        return json(res, StatusCode::SERVICE_UNAVAILABLE, &value!({"error": "leaving"}));
    }
    *core.runs.lock().expect("runs").entry(label.clone()).or_default() += 1;
    sleep(faults.delay).await;
    if lose(&core) {
        let tx = server::stream_body(res, 1);
        let _ = tx.send(Err(std::io::Error::other("answer lost"))).await;
        return;
    }
    json(res, StatusCode::OK, &value!({"ran": label, "path": path, "bytes": body}));
}

fn lose(core: &Core) -> bool {
    let mut faults = core.faults.lock().expect("faults");
    let lose = faults.lose_answers > 0;
    faults.lose_answers = faults.lose_answers.saturating_sub(1);
    lose
}
