//! Which servers of a service with a roll-out a request may go to.

use crate::gateway::server::Server;
use crate::gateway::servers::ServerKey;
use crate::gateway::tag::Tag;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The servers that a request goes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Arm {
    /// Those of the old versions.
    Baseline,
    /// Those of the new version.
    Candidate,
}

/// The servers that a request may go to, of a service with a roll-out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pick {
    pub(super) version: Arc<str>,
    /// Where the request goes.
    pub arm: Arm,
    /// Only these; any of the arm where there are none.
    pub(super) canaries: Vec<ServerKey>,
}

impl Pick {
    /// Whether a server is among them.
    pub fn admits(&self, key: ServerKey, server: &Server) -> bool {
        let is_candidate = server.record.version == self.version;
        is_candidate == (self.arm == Arm::Candidate) && self.allows(key)
    }

    /// Whether a server of the right version is among them.
    pub fn allows(&self, key: ServerKey) -> bool {
        self.canaries.is_empty() || self.canaries.contains(&key)
    }

    /// The baseline's servers instead.
    pub fn baseline(self) -> Pick {
        Pick { arm: Arm::Baseline, canaries: Vec::new(), ..self }
    }
}

/// Servers of a service that are to get nothing more, and whose runs move away.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Retired {
    /// Those of this version.
    Version(Arc<str>),
    /// Those of all others.
    Others(Arc<str>),
}

impl Retired {
    /// Whether a server of such a version is among them.
    pub fn includes(&self, version: &str) -> bool {
        match self {
            Retired::Version(retired) => **retired == *version,
            Retired::Others(target) => **target != *version,
        }
    }
}

/// How the servers of a request are drawn.
#[derive(Debug, Clone, Copy)]
pub enum Draw {
    /// A request that was not sent yet: its route, and a number from zero to one of its own.
    First(Tag, f64),
    /// One that was sent before, or a run that moves.
    Retry,
}

impl Draw {
    /// The draw of a request by its route and id.
    pub fn first(route: &str, id: &str) -> Draw {
        let route = Tag::of(route);
        let drawn = route.combined_with(Tag::of(id)).value() as f64 / u64::MAX as f64;
        Draw::First(route, drawn)
    }
}
