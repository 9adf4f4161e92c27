//! Fenced orders to a stand-in engine: load a model, adapter or version, or change role.

use serde::{Deserialize, Serialize};

/// An order, fenced by the epoch of the lease under which it was given.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// Epoch of the holder's lease.
    pub epoch: u64,
    /// What to do.
    pub action: Action,
    /// Name of the model, adapter, version or role.
    pub name: String,
}

/// What an order asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Load a model.
    LoadModel,
    /// Load an adapter.
    LoadAdapter,
    /// Load a version.
    LoadVersion,
    /// Change role.
    ChangeRole,
}

/// Orders that an engine took.
#[derive(Debug, Default)]
pub struct Orders {
    highest: u64,
    taken: Vec<Order>,
}

impl Orders {
    /// Takes an order; one below the highest epoch seen is refused where the fence is checked.
    pub fn take(&mut self, order: Order, checks_fence: bool) -> bool {
        if checks_fence && order.epoch < self.highest {
            return false;
        }
        self.highest = self.highest.max(order.epoch);
        self.taken.push(order);
        true
    }

    /// All orders taken, in order.
    pub fn taken(&self) -> &[Order] {
        &self.taken
    }
}
