//! A wire and a store's schema for tests of the mirror.

use futures_util::future::BoxFuture;
use std::net::SocketAddr;
use std::time::Duration;
use tidestair::gateway::condition::Remarks;
use tidestair::gateway::port::{
    CopyAnswer, Destination, Health, Lost, NotCopied, Reply, Report, Schema, Sending, Undecodable,
    Wire,
};
use tidestair::gateway::request::Call;
use tidestair::gateway::rollout::{Order, State};
use tidestair::gateway::servers::ServerRecord;
use tidestair::gateway::table::{Limits, Table};
use tidestair::outcome::NotSent;

/// A wire that is never used.
pub struct NoWire;

impl Wire for NoWire {
    fn send<'a>(
        &'a self,
        _: &'a Call,
        _: Sending,
        proof: Option<NotSent>,
    ) -> BoxFuture<'a, Result<Reply, Lost>> {
        Box::pin(
            async move { Err(Lost::Unsent { proof, refused: false, reason: "no wire".into() }) },
        )
    }

    fn copy<'a>(
        &'a self,
        _: SocketAddr,
        _: &'a str,
        _: SocketAddr,
        _: bool,
    ) -> BoxFuture<'a, CopyAnswer> {
        let answer = CopyAnswer { outcome: Err(NotCopied::NoRun), remarks: Remarks::default() };
        Box::pin(async { answer })
    }

    fn health<'a>(
        &'a self,
        _: &'a Destination,
        _: &'a str,
        _: Duration,
    ) -> BoxFuture<'a, Result<Health, String>> {
        Box::pin(async { Ok(Health { well: true, remarks: Remarks::default() }) })
    }

    fn report(&self, _: SocketAddr, _: Duration) -> BoxFuture<'_, Result<Report, String>> {
        Box::pin(async { Ok(Report::default()) })
    }

    fn is_gone(&self, _: SocketAddr, _: Duration) -> BoxFuture<'_, bool> {
        Box::pin(async { false })
    }

    fn free<'a>(&'a self, _: SocketAddr, _: &'a str) -> BoxFuture<'a, ()> {
        Box::pin(async {})
    }
}

/// The hall of a server.
pub fn hall_of(id: &str) -> String {
    id.parse().map_or(String::new(), |n: u8| format!("hall-{}", n % 2))
}

/// Values are numbers; a server's sign of life is what stands behind a dot, its start what stands behind
/// an `@`, and its hall the parity of its number. A question mark can't be read.
pub struct Plain;

impl Schema for Plain {
    fn declaration(&self) -> &str {
        "config"
    }

    fn servers(&self) -> &str {
        "servers/"
    }

    fn daemons(&self) -> &str {
        "daemons/"
    }

    fn closed_halls(&self) -> &str {
        "closed/"
    }

    fn quarantine(&self) -> &str {
        "quarantine/"
    }

    fn rollouts(&self) -> &str {
        "orders/"
    }

    fn rollout_records(&self) -> &str {
        "rollouts/"
    }

    fn rollout(&self, _: &str, value: &[u8]) -> Result<Order, Undecodable> {
        let version = String::from_utf8_lossy(value);
        Ok(Order { version: version.into(), time: Duration::from_secs(10) })
    }

    fn rollout_status(&self, service: &str, _: &str, state: State) -> (String, Vec<u8>) {
        (format!("status/{service}"), state.name().into())
    }

    fn table(&self, value: &[u8]) -> Result<Table, Undecodable> {
        let text = String::from_utf8_lossy(value);
        let version = text.parse().map_err(|_| Undecodable(text.into_owned()))?;
        let limits = Limits {
            header_bytes: 1,
            body_bytes: 1,
            header_time: Duration::ZERO,
            idle_time: Duration::ZERO,
        };
        Ok(Table::new(version, limits, Vec::new(), Vec::new(), Vec::new()))
    }

    fn server(&self, key: &str, value: &[u8]) -> Result<ServerRecord, Undecodable> {
        let text = String::from_utf8_lossy(value);
        if text.starts_with('?') {
            return Err(Undecodable(text.into_owned()));
        }
        let id = key.trim_start_matches("servers/");
        let start = text.split('.').next().and_then(|text| text.split_once('@'));
        Ok(ServerRecord {
            id: id.into(),
            born: start.and_then(|(_, born)| born.parse().ok()),
            service: "app".into(),
            version: "v1".into(),
            addr: "127.0.0.1:9".parse().expect("an address"),
            hall: hall_of(id),
            slots: 1,
            leaving: text.starts_with("leaving"),
            cold: Duration::ZERO,
        })
    }
}
