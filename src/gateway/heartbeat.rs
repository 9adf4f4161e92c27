//! Messages between daemons: heartbeats, and requests for changes of the store or for quota.

use crate::gateway::budget::Spent;
use crate::gateway::cell::CellId;
use crate::gateway::chunks::ChunkId;
use crate::gateway::clock::Echo;
use crate::gateway::continuation::StreamQuestion;
use crate::gateway::fingerprint::Fingerprint;
use crate::gateway::outcomes::Outcomes;
use crate::gateway::quarantine::Evidence;
use crate::gateway::rollout::Stratum;
use crate::gateway::rollout::tally::Tally;
use crate::gateway::roster::Daemon;
use crate::gateway::servers::{Load, Observations};
use crate::gateway::software::BegunStream;
use crate::gateway::tag::Tag;
use crate::gateway::update::CopyStatus;
use crate::platform::Position;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The message that daemons send each other regularly.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub daemon: Daemon,
    /// Identifies the sender's process; differs after a restart.
    pub boot: u64,
    /// The sender's clock, in microseconds since its start.
    pub stamp: u64,
    /// The receiver's clock as the sender last received it.
    pub echo: Option<Echo>,
    /// Whether the sender accepts callers.
    pub ready: bool,
    /// The interval within which the next heartbeat follows, in milliseconds.
    pub interval_ms: u32,
    /// Whether the sender chose the receiver as a contact and expects heartbeats in return.
    pub expects_reply: bool,
    /// The status of the sender's copy of the store.
    pub copy_status: Option<CopyStatus>,
    /// Age of the last read of the store that the sender knows of, by itself or another daemon, in
    /// milliseconds.
    pub store_read_age_ms: Option<u32>,
    /// Age of the last failed read that the sender knows of, in milliseconds.
    pub store_failure_age_ms: Option<u32>,
    /// The sender's cell.
    pub cell: CellId,
    /// The sender's own figures; empty for a receiver in another cell.
    pub stats: DaemonStats,
    /// Sums of other daemons' figures, computed or forwarded by the sender.
    pub sums: Vec<Sum>,
    /// What the sender knows of servers from other sources than the store.
    pub observations: Observations,
    /// Addresses of some reachable daemons of the sender's cell.
    pub peer_addrs: Vec<SocketAddr>,
}

impl Heartbeat {
    /// All evidence in it, of the sender and of others.
    pub fn evidence(&self) -> impl Iterator<Item = &(Fingerprint, Evidence)> {
        let stats = self.sums.iter().map(|sum| &sum.stats).chain([&self.stats]);
        stats.flat_map(|stats| &stats.evidence)
    }
}

/// The figures of one daemon or the sums of several.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct DaemonStats {
    /// The load on each server.
    pub loads: Vec<(Tag, Load)>,
    /// What was spent of each retry budget.
    pub spent: Vec<(Tag, Spent)>,
    /// The outcomes of exchanges with servers that had failures.
    pub outcomes: Vec<(Tag, Outcomes)>,
    /// What happened to the servers that ran suspected requests.
    pub evidence: Vec<(Fingerprint, Evidence)>,
    /// The results of requests in rollouts that are in progress.
    pub tallies: Vec<(Stratum, Tally)>,
    /// The minimum time since each of these rollouts was ordered, in milliseconds.
    pub rollout_ages: Vec<(Tag, u32)>,
}

/// The daemons that a sum covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Origin {
    /// The daemons of a cell; sent within its hall.
    Cell(CellId),
    /// The daemons of a hall; sent to other halls.
    Hall(Tag),
    /// The daemons of all halls but the receiver's; sent within a cell.
    OtherHalls,
}

/// The sum of several daemons' figures, computed by one of them.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Sum {
    /// The daemons that it covers.
    pub origin: Origin,
    /// Identifies the process start that computed it.
    pub boot: u64,
    /// That process's clock at the time, in microseconds: a later sum of the same maker has a
    /// higher value.
    pub stamp: u64,
    /// The age of the sum, in milliseconds.
    pub age_ms: u32,
    /// The tags of the daemons of a cell, or of the halls of `OtherHalls`, that are included.
    pub members: Vec<Tag>,
    /// How many daemons are included.
    pub daemons: u32,
    /// Addresses for callers of some of these daemons.
    pub entries: Vec<SocketAddr>,
    /// The sums of their figures.
    pub stats: DaemonStats,
}

/// A request from one daemon to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Request {
    /// The small values that a copy at this position lacks; where all keys are sent, all values as a whole. Daemons
    /// that know [`Request::ChangesAfter`] send that instead.
    SmallAfter(Position),
    /// Everything that a copy at this position lacks, as a whole. Daemons that know [`Request::ChunkedAfter`] send
    /// that instead.
    AllAfter(Position),
    /// Quota for one request at one of these limited servers; the answer names that server.
    Quota(Vec<Tag>),
    /// Streams that have begun, to be remembered; the answer is `true`.
    Begun(Vec<BegunStream>),
    /// Which software began a stream; the answer is a [`StreamAnswer`](crate::gateway::continuation::StreamAnswer).
    FindStream(StreamQuestion),
    /// The small values that a copy at this position lacks; where all keys are sent, large values as chunks.
    ChangesAfter(Position),
    /// Everything that a copy at this position lacks, large values as chunks.
    ChunkedAfter(Position),
    /// Chunks of large values; the answer holds those that the receiver has.
    Chunks(Vec<ChunkId>),
}
