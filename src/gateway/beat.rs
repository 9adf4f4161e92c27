//! What daemons tell each other: heartbeats, and requests for what a copy of the store lacks.

use crate::gateway::budget::Spent;
use crate::gateway::cell::CellId;
use crate::gateway::outcomes::Outcomes;
use crate::gateway::roster::Daemon;
use crate::gateway::servers::{Load, Signs};
use crate::gateway::tag::Tag;
use crate::gateway::update::Statement;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A heartbeat.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Beat {
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
    /// Whether the receiver is a contact of the sender's choice, which should answer.
    pub chosen: bool,
    /// How the sender's copy of the store stands.
    pub statement: Option<Statement>,
    /// Age of the last read of the store that the sender knows of, its own or another daemon's, in
    /// milliseconds.
    pub read_ms: Option<u32>,
    /// Age of the last read that failed, in the same way.
    pub failed_ms: Option<u32>,
    /// The sender's cell.
    pub cell: CellId,
    /// Of how many daemons `told` is the sum; `None` where it is the sender's own.
    pub members: Option<u32>,
    /// What it, or its cell, has running and has spent.
    pub told: Told,
    /// What the sender knows of servers otherwise than from the store.
    pub signs: Signs,
    /// Some of the daemons of its cell that it hears.
    pub others: Vec<SocketAddr>,
}

/// What one daemon, or all of a cell, have running and have spent.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Told {
    /// What runs where.
    pub loads: Vec<(Tag, Load)>,
    /// What was spent of the budget for repeats.
    pub spent: Vec<(Tag, Spent)>,
    /// How exchanges with servers went where some failed.
    pub outcomes: Vec<(Tag, Outcomes)>,
}

/// A clock that is returned to its owner.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Echo {
    /// The start of the process whose clock it is.
    pub boot: u64,
    /// The clock, in microseconds since that start.
    pub stamp: u64,
    /// How long the returning daemon has had it, in microseconds.
    pub held: u64,
}

/// A request between daemons.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub enum Request {
    /// What a copy at this position lacks, large values left out.
    After(u64),
    /// All that a copy at this position lacks.
    AllAfter(u64),
}
