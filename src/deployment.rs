//! A deployment file: halls, VMs, replicas and declared resources for replay and quickstart.

use crate::check::{self, Checker, Problem};
use crate::error::{self, Error, Result};
use crate::resource::{PolicySpec, RouteSpec, TrafficClassSpec};
use crate::standin::batch::EngineSpec;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use std::collections::BTreeMap;
use std::path::Path;

/// A deployment of stand-ins and daemons on one machine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Deployment {
    /// The halls.
    pub halls: Vec<Hall>,
    /// The entry VMs.
    pub vms: Vec<Placed>,
    /// The model engines.
    pub engines: Engines,
    /// The plain services.
    #[serde(default)]
    pub services: Vec<Service>,
    /// The workspaces; a workspace's key is its name with `-key` behind it.
    pub workspaces: Vec<Workspace>,
    /// The traffic classes by name.
    pub classes: BTreeMap<String, TrafficClassSpec>,
    /// The policies by name.
    pub policies: BTreeMap<String, PolicySpec>,
}

/// A hall.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Hall {
    /// Its name.
    pub name: String,
    /// One-way delay from clients in milliseconds, added by the replaying client.
    #[serde(default)]
    pub client_ms: f64,
}

/// A VM or replica in a hall.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Placed {
    /// Its name.
    pub name: String,
    /// Its hall.
    pub hall: String,
}

/// The engines of one model.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Engines {
    /// The model.
    pub model: String,
    /// Memory and speed of each replica.
    #[serde(default)]
    pub spec: EngineSpec,
    /// The replicas.
    pub replicas: Vec<Placed>,
}

/// A plain service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Its routes.
    pub routes: Vec<RouteSpec>,
    /// Its replicas.
    pub replicas: Vec<Placed>,
}

/// A workspace.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Workspace {
    /// Its name.
    pub name: String,
    /// Weight in the fair queue.
    #[serde(default = "one")]
    pub share: u32,
    /// Class of requests that name none.
    pub class: String,
}

fn one() -> u32 {
    1
}

impl Deployment {
    /// Reads and checks a file.
    pub fn load(path: &Path) -> Result<Deployment> {
        let text = std::fs::read_to_string(path).context(error::ReadSnafu { path })?;
        let invalid = |problems| Error::Invalid { what: path.display().to_string(), problems };
        Deployment::parse(&text).map_err(invalid)
    }

    /// Reads and checks a text.
    pub fn parse(text: &str) -> Result<Deployment, Vec<Problem>> {
        let deployment: Deployment = check::read(text)?;
        let problems = deployment.check();
        if problems.is_empty() { Ok(deployment) } else { Err(problems) }
    }

    fn check(&self) -> Vec<Problem> {
        let mut c = Checker::default();
        c.require(!self.vms.is_empty(), "vms", "empty; give one VM or more");
        c.require(!self.engines.replicas.is_empty(), "engines.replicas", "empty; give one or more");
        let mut hall = |path: String, placed: &Placed| {
            let known = self.halls.iter().any(|h| h.name == placed.hall);
            c.require(
                known,
                &path,
                format!("hall `{}` is not declared; add it to halls", placed.hall),
            );
        };
        for (i, vm) in self.vms.iter().enumerate() {
            hall(format!("vms[{i}].hall"), vm);
        }
        for (i, r) in self.engines.replicas.iter().enumerate() {
            hall(format!("engines.replicas[{i}].hall"), r);
        }
        for (i, w) in self.workspaces.iter().enumerate() {
            let known = self.classes.contains_key(&w.class);
            c.require(
                known,
                &format!("workspaces[{i}].class"),
                format!("class `{}` is not declared", w.class),
            );
        }
        c.finish()
    }

    /// The bearer key of a workspace.
    pub fn key(workspace: &str) -> String {
        format!("{workspace}-key")
    }
}
