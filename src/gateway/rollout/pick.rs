//! Which servers a request may go to while its service has a rollout.

use crate::gateway::server::Server;
use crate::gateway::servers::ServerKey;
use crate::gateway::tag::Tag;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The two groups of servers that a rollout compares.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Arm {
    /// Servers of the old versions.
    Baseline,
    /// Servers of the new version.
    Candidate,
}

/// The servers that a request may go to while its service has a rollout.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pick {
    pub(super) version: Arc<str>,
    /// The group of servers.
    pub arm: Arm,
    /// The only servers allowed within the arm; if empty, all of them are.
    pub(super) canaries: Vec<ServerKey>,
}

impl Pick {
    /// Whether the request may go to this server, by version and key.
    pub fn admits(&self, key: ServerKey, server: &Server) -> bool {
        let is_candidate = server.record.version == self.version;
        is_candidate == (self.arm == Arm::Candidate) && self.allows(key)
    }

    /// Like [`Pick::admits`], for a server that is known to be of the right version.
    pub fn allows(&self, key: ServerKey) -> bool {
        self.canaries.is_empty() || self.canaries.contains(&key)
    }

    /// Replaces the selection by all baseline servers.
    pub fn baseline(self) -> Pick {
        Pick { arm: Arm::Baseline, canaries: Vec::new(), ..self }
    }
}

/// Servers of a service that get no more requests and whose running requests move away.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Retired {
    /// Servers of this version.
    Version(Arc<str>),
    /// Servers of all versions but this one.
    Others(Arc<str>),
}

impl Retired {
    /// Whether servers of `version` are retired.
    pub fn includes(&self, version: &str) -> bool {
        match self {
            Retired::Version(retired) => **retired == *version,
            Retired::Others(target) => **target != *version,
        }
    }
}

/// Input for assigning a request to an arm.
#[derive(Debug, Clone, Copy)]
pub enum Draw {
    /// A request that was not sent before: its route, and a number between 0 and 1 derived from its route and
    /// id.
    First(Tag, f64),
    /// A request that was sent before, or a running request that moves.
    Retry,
}

impl Draw {
    /// Input for the first attempt of a request.
    pub fn first(route: &str, id: &str) -> Draw {
        let route = Tag::of(route);
        let drawn = route.combined_with(Tag::of(id)).value() as f64 / u64::MAX as f64;
        Draw::First(route, drawn)
    }
}
