//! A stand-in weight store that gives out so many megabytes a second and refuses the rest.

use crate::error::Result;
use crate::server::{self, Serving, json};
use salvo::affix_state;
use salvo::http::StatusCode;
use salvo::prelude::*;
use serde::Deserialize;
use serde_json::json as value;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::time::Instant;

/// Seconds of its rate that the store saves up.
const BURST_SECONDS: f64 = 1.0;

/// A running weight store.
pub struct WeightStandin {
    serving: Serving,
}

struct Bucket {
    rate: f64,
    saved: f64,
    at: Instant,
}

#[derive(Deserialize)]
struct Pull {
    megabytes: f64,
}

impl WeightStandin {
    /// Starts a store on `addr` with `rate` megabytes a second.
    pub async fn start(addr: SocketAddr, rate: f64) -> Result<WeightStandin> {
        let bucket = Bucket { rate, saved: rate * BURST_SECONDS, at: Instant::now() };
        let router = Router::with_path("pull")
            .hoop(affix_state::inject(Arc::new(Mutex::new(bucket))))
            .post(take_pull);
        Ok(WeightStandin { serving: server::serve(addr, router).await? })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.serving.addr
    }
}

impl Bucket {
    /// Takes megabytes, or says after how many seconds to come back.
    fn take(&mut self, megabytes: f64, now: Instant) -> Result<(), f64> {
        let earned = now.duration_since(self.at).as_secs_f64() * self.rate;
        self.saved = (self.saved + earned).min(self.rate * BURST_SECONDS);
        self.at = now;
        // A pull larger than the burst may overdraw a full bucket.
        if self.saved >= megabytes.min(self.rate * BURST_SECONDS) {
            self.saved -= megabytes;
            return Ok(());
        }
        Err((megabytes - self.saved) / self.rate)
    }
}

#[handler]
async fn take_pull(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let bucket = depot.get_typed::<Arc<Mutex<Bucket>>>().expect("injected by the router").clone();
    let Ok(pull) = req.parse_json::<Pull>().await else {
        return json(res, StatusCode::BAD_REQUEST, &value!({"error": "say how many megabytes"}));
    };
    let taken = bucket.lock().expect("bucket").take(pull.megabytes, Instant::now());
    match taken {
        Ok(()) => json(res, StatusCode::OK, &value!({})),
        Err(seconds) => {
            res.headers_mut().insert("retry-after", (seconds.ceil() as u64).into());
            json(res, StatusCode::TOO_MANY_REQUESTS, &value!({"error": "over the rate"}));
        }
    }
}
