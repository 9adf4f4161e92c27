//! What daemons tell each other: heartbeats, and requests for what a copy of the store lacks.

use crate::gateway::budget::Spent;
use crate::gateway::cell::CellId;
use crate::gateway::clock::Echo;
use crate::gateway::fingerprint::Fingerprint;
use crate::gateway::outcomes::Outcomes;
use crate::gateway::quarantine::Evidence;
use crate::gateway::rollout::Stratum;
use crate::gateway::rollout::tally::Tally;
use crate::gateway::roster::Daemon;
use crate::gateway::servers::{Load, Observations};
use crate::gateway::tag::Tag;
use crate::gateway::update::CopyStatus;
use crate::platform::Position;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A heartbeat.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub daemon: Daemon,
    /// Tells this start of the process from others.
    pub boot: u64,
    /// The sender's clock, in microseconds since its start.
    pub stamp: u64,
    /// The receiver's clock as the sender last had it.
    pub echo: Option<Echo>,
    /// Whether callers may be sent to it.
    pub ready: bool,
    /// Time within which the next one follows, in milliseconds.
    pub interval_ms: u32,
    /// Whether the receiver is a contact of the sender's choice, which should answer.
    pub expects_reply: bool,
    /// How the sender's copy of the store stands.
    pub copy_status: Option<CopyStatus>,
    /// Age of the last read of the store that the sender knows of, its own or another daemon's, in
    /// milliseconds.
    pub store_read_age_ms: Option<u32>,
    /// Age of the last read that failed, in the same way.
    pub store_failure_age_ms: Option<u32>,
    /// The sender's cell.
    pub cell: CellId,
    /// What it has running and has spent; nothing for a receiver of another cell.
    pub stats: DaemonStats,
    /// Sums of other daemons' words, made by the sender or passed on.
    pub sums: Vec<Sum>,
    /// What the sender knows of servers otherwise than from the store.
    pub observations: Observations,
    /// Some of the daemons of its cell that it hears.
    pub peer_addrs: Vec<SocketAddr>,
}

/// What one daemon, or several together, have running and have spent.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct DaemonStats {
    /// What runs where.
    pub loads: Vec<(Tag, Load)>,
    /// What was spent of the budget for repeats.
    pub spent: Vec<(Tag, Spent)>,
    /// How exchanges with servers went where some failed.
    pub outcomes: Vec<(Tag, Outcomes)>,
    /// What became of the servers that ran requests under which some ended.
    pub evidence: Vec<(Fingerprint, Evidence)>,
    /// How requests went in roll-outs that are under way.
    pub tallies: Vec<(Stratum, Tally)>,
    /// How long ago those were ordered at least, in milliseconds.
    pub rollout_ages: Vec<(Tag, u32)>,
}

/// Whose words a sum adds up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Origin {
    /// The daemons of a cell; told in its hall.
    Cell(CellId),
    /// The daemons of a hall; told to other halls.
    Hall(Tag),
    /// The daemons of all halls but the receiver's; told in a cell.
    OtherHalls,
}

/// What several daemons told, added up by one of them.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Sum {
    /// Whose words it adds up.
    pub origin: Origin,
    /// The start of the process that made it.
    pub boot: u64,
    /// That process's clock then, in microseconds: a later sum of the same maker has a higher one.
    pub stamp: u64,
    /// How long ago that was, in milliseconds.
    pub age_ms: u32,
    /// Names of the daemons of a cell, or of the halls of `OtherHalls`, that it holds.
    pub members: Vec<Tag>,
    /// How many daemons it holds.
    pub daemons: u32,
    /// Where callers may be sent: some of these daemons.
    pub entries: Vec<SocketAddr>,
    /// What they have running and have spent.
    pub stats: DaemonStats,
}

/// A request between daemons.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Request {
    /// What a copy at this position lacks, large values left out.
    SmallAfter(Position),
    /// All that a copy at this position lacks.
    AllAfter(Position),
    /// Room for one request at one of these servers, which are in need; the answer names that one.
    Quota(Vec<Tag>),
}
