//! Brings about the faults of a trace in a running fleet.

use crate::fleet::Fleet;
use crate::standin::engine::EngineStandin;
use crate::trace::{Fault, FaultKind};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::sleep;

/// Brings about one fault and, after its time, its end. Returns the entry of a VM that was stopped as planned.
pub async fn bring_about(fleet: &Fleet, fault: &Fault) -> Option<SocketAddr> {
    let time = Duration::from_millis(fault.for_ms).div_f64(fleet.speed());
    let target = fault.target.as_str();
    match fault.fault {
        FaultKind::EngineCrash => {
            with_engine(fleet, target, async |e| {
                e.crash().await;
                sleep(time).await;
                restart(e).await;
            })
            .await
        }
        FaultKind::EngineSlow => {
            with_engine(fleet, target, async |e| {
                e.fault(|f| f.slow = fault.amount);
                sleep(time).await;
                e.fault(|f| f.slow = 1.0);
            })
            .await
        }
        FaultKind::EngineReclaim => {
            with_engine(fleet, target, async |e| {
                e.fault(|f| f.leaving = true);
                sleep(time).await;
                e.crash().await;
                e.fault(|f| f.leaving = false);
                restart(e).await;
            })
            .await
        }
        FaultKind::EngineMemory => {
            with_engine(fleet, target, async |e| {
                let before = e.memory();
                e.set_memory(fault.amount as u32);
                sleep(time).await;
                e.set_memory(before);
            })
            .await
        }
        FaultKind::LinkStall => {
            with_engine(fleet, target, async |e| {
                e.fault(|f| f.stalled = true);
                sleep(time).await;
                e.fault(|f| f.stalled = false);
            })
            .await
        }
        FaultKind::ServiceLostAnswer => {
            if let Some(service) = fleet.services.get(target) {
                service.fault(|f| f.lose_answers += fault.amount as u32);
            }
        }
        FaultKind::PlatformDown => {
            fleet.kv.fault(|f| f.down = true);
            sleep(time).await;
            fleet.kv.fault(|f| f.down = false);
        }
        FaultKind::PlatformSlow => {
            fleet.kv.fault(|f| {
                f.slow = Duration::from_millis(fault.amount as u64).div_f64(fleet.speed())
            });
            sleep(time).await;
            fleet.kv.fault(|f| f.slow = Duration::ZERO);
        }
        FaultKind::PlatformLostAnswer => fleet.kv.fault(|f| f.lose_answers += fault.amount as u32),
        FaultKind::VmPause => {
            if let Some(vm) = fleet.vms().get(target) {
                vm.freeze(time);
            }
        }
        FaultKind::VmPartition => partition(fleet, target, time).await,
        FaultKind::VmCrash => {
            if let Some(vm) = fleet.remove_vm(target) {
                vm.kill();
                sleep(time).await;
                replace(fleet, target).await;
            }
        }
        FaultKind::VmDrain => return drain(fleet, target, time).await,
    }
    None
}

async fn with_engine(fleet: &Fleet, name: &str, act: impl AsyncFnOnce(&EngineStandin)) {
    match fleet.engines.get(name) {
        Some(engine) => act(engine).await,
        None => log::warn!("the trace names `{name}`, which is not in the deployment"),
    }
}

async fn restart(engine: &EngineStandin) {
    if let Err(e) = engine.restart().await {
        log::warn!("{e}");
    }
}

async fn replace(fleet: &Fleet, name: &str) {
    if let Err(e) = fleet.start_vm(name).await {
        log::warn!("{e}");
    }
}

async fn partition(fleet: &Fleet, name: &str, time: Duration) {
    let vms = fleet.vms();
    let Some(vm) = vms.get(name) else { return };
    let others = || vms.iter().filter(|(other, _)| *other != name).map(|(_, v)| v);
    for cut in [true, false] {
        for other in others() {
            vm.cut(other.peer_addr, cut);
            other.cut(vm.peer_addr, cut);
        }
        if cut {
            sleep(time).await;
        }
    }
}

async fn drain(fleet: &Fleet, name: &str, time: Duration) -> Option<SocketAddr> {
    let vm = fleet.remove_vm(name)?;
    let entry = vm.caller_addr;
    vm.drain();
    sleep(time).await;
    replace(fleet, name).await;
    // The old one ends by itself once its last stream has.
    Some(entry)
}
