//! Changes of VMs that are proposed to the agreed state, each by one entry only.

use crate::{context::Context, local_observations::LocalObservation};
use fleet::{Health, Observation, ObservedState, Vm};
use platform::{VmInfo, VmLifecycle};
use protocol::{EntryId, HallId, VmId, first_in_hall, ranked};
use std::collections::{BTreeMap, BTreeSet};

/// Returns the changes to propose for the VMs for which this entry is responsible.
pub fn changes(
    ctx: &Context,
    listed: &[VmInfo],
    observations: &BTreeMap<VmId, LocalObservation>,
    boots: &BTreeMap<VmId, u64>,
) -> Vec<Observation> {
    let members = ctx.peers.members(&ctx.config, true);
    let is_responsible =
        |id: &str, hall: &str| reporter(&members, id, hall) == Some(ctx.config.entry.name.as_str());
    let fleet = ctx.fleet.get();
    let mut changes = Vec::new();
    for info in listed
        .iter()
        .filter(|info| is_responsible(&info.id, &info.hall))
    {
        let vm = fleet.vms.get(&info.id);
        let observation = observations.get(&info.id).copied();
        let seen = observe(info, vm, observation, boots.get(&info.id).copied());
        let base = vm.map_or(0, |vm| vm.version);
        if let Some(seen) = seen.filter(|seen| is_update(vm, seen)) {
            changes.push(Observation {
                vm: info.id.clone(),
                base,
                seen,
            });
        }
    }
    let ids: BTreeSet<&VmId> = listed.iter().map(|info| &info.id).collect();
    let halls: BTreeSet<&HallId> = listed.iter().map(|info| &info.hall).collect();
    for (id, vm) in fleet.vms.iter().filter(|(_, vm)| halls.contains(&vm.hall)) {
        let is_missing = !ids.contains(id) && vm.health != Health::Gone && vm.grant.is_none();
        let is_silent = observations
            .get(id)
            .is_none_or(|observation| observation.is_suspect());
        if is_missing && is_silent && is_responsible(id, &vm.hall) {
            changes.push(Observation {
                vm: id.clone(),
                base: vm.version,
                seen: ObservedState::Gone,
            });
        }
    }
    changes
}

/// Returns the live entry that reports changes of a VM: one in the VM's data centre, or the one
/// that is responsible for the data centre if it has no live entry.
fn reporter<'m>(members: &'m BTreeMap<EntryId, HallId>, id: &str, hall: &str) -> Option<&'m str> {
    first_in_hall(members, hall, id).or_else(|| {
        let all = members.keys().map(String::as_str);
        ranked(all, hall).first().copied()
    })
}

/// Combines the platform's list, which lags behind, with this entry's probes. The list alone never
/// marks a VM that fails the probes as up, and an outdated list never decreases the boot count.
fn observe(
    info: &VmInfo,
    vm: Option<&Vm>,
    observation: Option<LocalObservation>,
    boot: Option<u64>,
) -> Option<ObservedState> {
    if observation.is_some_and(LocalObservation::is_suspect) {
        return Some(ObservedState::Down);
    }
    if info.state == VmLifecycle::Leaving {
        return Some(ObservedState::Leaving);
    }
    let known_boot = vm.map_or(0, |vm| vm.boot);
    let boot = boot.unwrap_or(info.boot).max(info.boot);
    let answered = observation.is_some_and(|observation| observation.misses == 0);
    if boot < known_boot || !(info.up || answered) {
        return None;
    }
    Some(ObservedState::Up {
        hall: info.hall.clone(),
        rack: info.rack.clone(),
        addr: info.addr.clone(),
        slots: info.slots,
        boot,
    })
}

fn is_update(vm: Option<&Vm>, seen: &ObservedState) -> bool {
    let Some(vm) = vm else {
        return matches!(seen, ObservedState::Up { .. });
    };
    match seen {
        ObservedState::Up {
            addr, slots, boot, ..
        } => vm.health != Health::Up || vm.boot != *boot || vm.addr != *addr || vm.slots != *slots,
        ObservedState::Leaving => vm.health != Health::Leaving,
        ObservedState::Down => vm.health != Health::Down && vm.health != Health::Gone,
        ObservedState::Gone => vm.health != Health::Gone,
    }
}
