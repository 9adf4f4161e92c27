//! One revision of the configuration, immutable and whole.

use crate::platform::{Change, Entry, ROOT};
use crate::resource::{
    EnginePoolSpec, ExperimentSpec, Kind, PolicySpec, Resource, ServicePoolSpec, Spec,
    TrafficClassSpec, WorkspaceSpec,
};
use crate::seal::SealKeys;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Bound;
use std::sync::Arc;
use subtle::ConstantTimeEq;

/// Key prefix of everything that daemons follow with one watch.
pub fn prefix() -> String {
    format!("{ROOT}live/")
}

/// Key of one resource.
pub fn key(kind: Kind, name: &str) -> String {
    format!("{}config/{}/{}", prefix(), kind.name(), name)
}

/// Key of the keys that seal event ids.
pub fn seal_key() -> String {
    format!("{}keys/seal", prefix())
}

/// Key of the platform's lagging list of VMs.
pub fn vms_key() -> String {
    format!("{}vms", prefix())
}

/// The platform's lagging list of VMs, as far as it says who is leaving.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// Addresses of backend servers that are leaving.
    #[serde(default)]
    pub leaving: Vec<SocketAddr>,
}

/// Everything declared, at one revision of the platform's service.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// The service's revision.
    pub revision: u64,
    /// The keys that seal event ids, once there are any.
    pub keys: Option<SealKeys>,
    /// The lagging list of VMs.
    pub vms: VmList,
    resources: BTreeMap<Arc<str>, Arc<Resource>>,
    /// Names of workspaces by the hashes of their keys.
    by_key: BTreeMap<Arc<str>, Arc<str>>,
}

impl Snapshot {
    /// The resources found by one read of the whole prefix.
    pub fn from_entries(entries: &[Entry], revision: u64) -> Snapshot {
        let mut snapshot = Snapshot { revision, ..Snapshot::default() };
        for entry in entries {
            snapshot.take(&entry.key, Some(&entry.value), entry.revision);
        }
        snapshot
    }

    /// This snapshot with later changes applied; changes not above its revision are left out.
    pub fn apply(&self, changes: &[Change]) -> Snapshot {
        let mut next = self.clone();
        for change in changes.iter().filter(|c| c.revision > self.revision) {
            next.take(&change.key, change.value.as_deref(), change.revision);
            next.revision = next.revision.max(change.revision);
        }
        next
    }

    fn take(&mut self, key: &str, value: Option<&[u8]>, revision: u64) {
        if key == seal_key() {
            self.keys = value.and_then(|v| serde_json::from_slice(v).ok());
        } else if key == vms_key() {
            self.vms = value.and_then(|v| serde_json::from_slice(v).ok()).unwrap_or_default();
        } else {
            self.replace(key, value.and_then(|v| decode(v, revision)));
        }
    }

    fn replace(&mut self, key: &str, resource: Option<Resource>) {
        let old = self.resources.remove(key);
        for hash in old.iter().flat_map(|r| key_hashes(r)) {
            self.by_key.remove(hash.as_str());
        }
        let Some(resource) = resource else { return };
        for hash in key_hashes(&resource) {
            self.by_key.insert(hash.as_str().into(), resource.metadata.name.as_str().into());
        }
        self.resources.insert(key.into(), Arc::new(resource));
    }

    /// All resources of a kind, by name.
    pub fn list(&self, kind: Kind) -> impl Iterator<Item = &Resource> {
        let prefix = key(kind, "");
        let from =
            self.resources.range::<str, _>((Bound::Included(prefix.as_str()), Bound::Unbounded));
        from.take_while(move |(key, _)| key.starts_with(prefix.as_str())).map(|(_, r)| &**r)
    }

    /// One resource.
    pub fn get(&self, kind: Kind, name: &str) -> Option<&Resource> {
        self.resources.get(key(kind, name).as_str()).map(|r| &**r)
    }

    /// Everything, for a peer.
    pub fn to_entries(&self) -> Vec<Entry> {
        let encode = |r: &Resource| serde_json::to_vec(r).expect("a resource is JSON");
        let entry = |(key, r): (&Arc<str>, &Arc<Resource>)| Entry {
            key: key.to_string(),
            value: encode(r),
            revision: version(r),
        };
        let mut entries: Vec<Entry> = self.resources.iter().map(entry).collect();
        if let Some(keys) = &self.keys {
            let value = serde_json::to_vec(keys).expect("keys are JSON");
            entries.push(Entry { key: seal_key(), value, revision: self.revision });
        }
        let value = serde_json::to_vec(&self.vms).expect("a list is JSON");
        entries.push(Entry { key: vms_key(), value, revision: self.revision });
        entries
    }

    /// How many resources there are.
    pub fn len(&self) -> usize {
        self.resources.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.resources.is_empty()
    }

    /// The pool that serves `model`, with its name.
    pub fn engine_pool(&self, model: &str) -> Option<(&str, &EnginePoolSpec)> {
        self.engine_pools().find(|(_, p)| p.model == model)
    }

    /// All engine pools with their names.
    pub fn engine_pools(&self) -> impl Iterator<Item = (&str, &EnginePoolSpec)> {
        self.list(Kind::EnginePool).filter_map(|r| match &r.spec {
            Spec::EnginePool(p) => Some((r.metadata.name.as_str(), p)),
            _ => None,
        })
    }

    /// All pools of plain services.
    pub fn service_pools(&self) -> impl Iterator<Item = &ServicePoolSpec> {
        self.list(Kind::ServicePool).filter_map(|r| match &r.spec {
            Spec::ServicePool(p) => Some(p),
            _ => None,
        })
    }

    /// The pool of a plain service.
    pub fn service_pool(&self, service: &str) -> Option<&ServicePoolSpec> {
        self.service_pools().find(|p| p.service == service)
    }

    /// A traffic class by name.
    pub fn class(&self, name: &str) -> Option<&TrafficClassSpec> {
        match &self.get(Kind::TrafficClass, name)?.spec {
            Spec::TrafficClass(t) => Some(t),
            _ => None,
        }
    }

    /// A policy by name.
    pub fn policy(&self, name: &str) -> Option<&PolicySpec> {
        match &self.get(Kind::Policy, name)?.spec {
            Spec::Policy(p) => Some(p),
            _ => None,
        }
    }

    /// The experiment on `model`, with its name.
    pub fn experiment(&self, model: &str) -> Option<(&str, &ExperimentSpec)> {
        self.list(Kind::Experiment).find_map(|r| match &r.spec {
            Spec::Experiment(e) if e.model == model => Some((r.metadata.name.as_str(), e)),
            _ => None,
        })
    }

    /// The workspace whose credential `key` is. Found by the key's hash, which tells a guesser nothing.
    pub fn workspace_of(&self, key: &str) -> Option<(&str, &WorkspaceSpec)> {
        let name = self.by_key.get(key_hash(key).as_str())?;
        let resource = self.get(Kind::Workspace, name)?;
        match &resource.spec {
            Spec::Workspace(w) => Some((resource.metadata.name.as_str(), w)),
            _ => None,
        }
    }

    /// What `resource` refers to and is not declared.
    pub fn missing_references(&self, resource: &Resource) -> Vec<crate::check::Problem> {
        let mut c = crate::check::Checker::default();
        let mut policy = |name: &str, path: &str| {
            let declared = self.get(Kind::Policy, name).is_some();
            c.require(declared, path, format!("Policy `{name}` is not declared; apply it first"));
        };
        match &resource.spec {
            Spec::EnginePool(p) => policy(&p.policy, "spec.policy"),
            Spec::TrafficClass(t) => {
                if let Some(name) = &t.policy {
                    policy(name, "spec.policy");
                }
            }
            Spec::Experiment(e) => {
                policy(&e.control, "spec.control");
                policy(&e.candidate, "spec.candidate");
            }
            Spec::Workspace(w) => {
                let declared = self.class(&w.default_class).is_some();
                let message =
                    format!("TrafficClass `{}` is not declared; apply it first", w.default_class);
                c.require(declared, "spec.defaultClass", message);
            }
            Spec::Policy(_) | Spec::ServicePool(_) => {}
        }
        c.finish()
    }
}

fn key_hashes(resource: &Resource) -> &[String] {
    match &resource.spec {
        Spec::Workspace(w) => &w.key_hashes,
        _ => &[],
    }
}

/// SHA-256 of a bearer key, in hex.
pub fn key_hash(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    digest.iter().map(|b| format!("{b:02x}")).collect()
}

/// Compares two hashes in constant time.
pub fn same(a: &str, b: &str) -> bool {
    bool::from(a.as_bytes().ct_eq(b.as_bytes()))
}

fn decode(value: &[u8], revision: u64) -> Option<Resource> {
    let mut resource: Resource = serde_json::from_slice(value).ok()?;
    resource.metadata.resource_version = Some(revision.to_string());
    Some(resource)
}

fn version(resource: &Resource) -> u64 {
    let version = resource.metadata.resource_version.as_deref();
    version.and_then(|v| v.parse().ok()).unwrap_or_default()
}
