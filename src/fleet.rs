//! A whole deployment on one machine: stand-ins as tasks, daemons on threads of their own.

use crate::config::{Config, Operator, Role};
use crate::deployment::Deployment;
use crate::error::{Error, PlatformSnafu, Result};
use crate::platform::{Expect, Platform};
use crate::resource::{
    EnginePoolSpec, ReplicaSpec, Resource, ServicePoolSpec, Spec, WorkspaceSpec,
};
use crate::snapshot::{self, key_hash};
use crate::standin::batch::EngineSpec;
use crate::standin::engine::EngineStandin;
use crate::standin::kv::Kv;
use crate::standin::service::ServiceStandin;
use crate::time;
use crate::tls::Authority;
use crate::vm::Vm;
use snafu::ResultExt;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::sleep;

/// Bearer key of the operator in every fleet.
pub const OPERATOR_KEY: &str = "operator-key";
const READY_LIMIT: Duration = Duration::from_secs(20);
const READY_STEP: Duration = Duration::from_millis(10);

/// A running deployment.
pub struct Fleet {
    /// The platform's service.
    pub kv: Kv,
    /// The engines by name.
    pub engines: BTreeMap<String, EngineStandin>,
    /// The services' replicas by name.
    pub services: BTreeMap<String, ServiceStandin>,
    deployment: Deployment,
    authority: Authority,
    vms: Mutex<BTreeMap<String, Arc<Vm>>>,
    speed: f64,
}

impl Fleet {
    /// Starts everything, `speed` times as fast as declared, and waits until all VMs are ready.
    /// Generations without a policy of their own are placed by `policy`.
    pub async fn start(deployment: &Deployment, policy: &str, speed: f64) -> Result<Fleet> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut engines = BTreeMap::new();
        for replica in &deployment.engines.replicas {
            let spec: EngineSpec = deployment.engines.spec.clone();
            engines.insert(replica.name.clone(), EngineStandin::start(any, spec, speed).await?);
        }
        let mut services = BTreeMap::new();
        for replica in deployment.services.iter().flat_map(|s| &s.replicas) {
            services.insert(replica.name.clone(), ServiceStandin::start(any).await?);
        }
        let fleet = Fleet {
            kv: Kv::new(),
            engines,
            services,
            deployment: deployment.clone(),
            authority: Authority::generate()?,
            vms: Mutex::default(),
            speed,
        };
        for resource in fleet.resources(policy) {
            fleet.declare(&resource).await?;
        }
        for vm in &deployment.vms {
            fleet.start_vm(&vm.name).await?;
        }
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    /// Writes a resource as an accepted change.
    pub async fn declare(&self, resource: &Resource) -> Result<()> {
        let key = snapshot::key(resource.kind(), &resource.metadata.name);
        let value = serde_json::to_vec(resource).expect("a resource is JSON");
        let found = self.kv.get(&key).await.context(PlatformSnafu)?;
        let expect = found.map_or(Expect::Absent, |e| Expect::Revision(e.revision));
        self.kv.swap(&key, expect, Some(value), None).await.context(PlatformSnafu)?;
        Ok(())
    }

    /// Starts (or replaces) a VM; it meets the others through the ones that run.
    pub async fn start_vm(&self, name: &str) -> Result<()> {
        let placed = self.deployment.vms.iter().find(|v| v.name == name);
        let unknown = || Error::Usage { message: format!("VM `{name}` is not in the deployment") };
        let hall = &placed.ok_or_else(unknown)?.hall;
        let mut config = Config::local(name, hall);
        config.seeds = self.vms().values().map(|vm| vm.peer_addr).collect();
        for ms in [
            &mut config.poll_ms,
            &mut config.heartbeat_ms,
            &mut config.orphan_ms,
            &mut config.keep_ms,
            &mut config.silence_ms,
        ] {
            *ms = scale(*ms, self.speed);
        }
        config.operators = vec![Operator {
            name: "operator".into(),
            key_hash: key_hash(OPERATOR_KEY),
            role: Role::Edit,
        }];
        let identity = Arc::new(self.authority.sign()?);
        let vm = Vm::start(config, Arc::new(self.kv.clone()), identity).await?;
        self.vms.lock().expect("vms").insert(name.into(), Arc::new(vm));
        Ok(())
    }

    /// The VMs that run, by name.
    pub fn vms(&self) -> BTreeMap<String, Arc<Vm>> {
        self.vms.lock().expect("vms").clone()
    }

    /// Takes a VM off the list, for one that is going.
    pub fn remove_vm(&self, name: &str) -> Option<Arc<Vm>> {
        self.vms.lock().expect("vms").remove(name)
    }

    /// Where callers may ask for entries.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.vms().values().map(|vm| vm.caller_addr).collect()
    }

    /// How many times as fast as declared it runs.
    pub fn speed(&self) -> f64 {
        self.speed
    }

    async fn wait_ready(&self) -> Result<()> {
        let until = time::now() + READY_LIMIT;
        for (name, vm) in self.vms() {
            while !vm.ready().await {
                if time::now() > until {
                    return Err(Error::Unreachable {
                        server: name,
                        reason: "not ready in time".into(),
                    });
                }
                sleep(READY_STEP).await;
            }
        }
        // The first load reports.
        sleep(Duration::from_millis(scale(600, self.speed))).await;
        Ok(())
    }

    fn resources(&self, policy: &str) -> Vec<Resource> {
        let d = &self.deployment;
        let mut all = Vec::new();
        for (name, spec) in &d.policies {
            let mut spec = spec.clone();
            spec.headroom.max_pause_ms = scale(spec.headroom.max_pause_ms, self.speed);
            all.push(Resource::new(name, Spec::Policy(spec)));
        }
        for (name, spec) in &d.classes {
            let mut spec = spec.clone();
            spec.gap_ms = scale(spec.gap_ms, self.speed);
            spec.wait_ms = scale(spec.wait_ms, self.speed);
            all.push(Resource::new(name, Spec::TrafficClass(spec)));
        }
        for w in &d.workspaces {
            let key_hashes = vec![key_hash(&Deployment::key(&w.name))];
            let spec = WorkspaceSpec {
                key_hashes,
                share: w.share,
                default_class: w.class.clone(),
                max_streams: 10_000,
            };
            all.push(Resource::new(&w.name, Spec::Workspace(spec)));
        }
        let replicas = d.engines.replicas.iter().map(|r| ReplicaSpec {
            name: r.name.clone(),
            address: self.engines[&r.name].addr(),
            hall: r.hall.clone(),
        });
        let model = d.engines.model.clone();
        let pool = EnginePoolSpec {
            model: model.clone(),
            policy: policy.into(),
            replicas: replicas.collect(),
            max_tokens: 32_768,
            queue_length: 5_000,
        };
        all.push(Resource::new(&model, Spec::EnginePool(pool)));
        for s in &d.services {
            let replicas = s.replicas.iter().map(|r| ReplicaSpec {
                name: r.name.clone(),
                address: self.services[&r.name].addr(),
                hall: r.hall.clone(),
            });
            let spec = ServicePoolSpec {
                service: s.name.clone(),
                replicas: replicas.collect(),
                routes: s.routes.clone(),
                retention_ms: 24 * 3_600_000,
            };
            all.push(Resource::new(&s.name, Spec::ServicePool(spec)));
        }
        all
    }
}

/// A time of the deployment in real milliseconds at this speed, at least one.
pub fn scale(ms: u64, speed: f64) -> u64 {
    ((ms as f64 / speed) as u64).max(1)
}
