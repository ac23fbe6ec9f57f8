//! Maintenance waves: which VMs a wave still has to reboot, and in which order.

use crate::{
    fold::Context,
    moves::{BudgetHeadroom, ProposedGrant},
    record::{GrantPurpose, Outcome, Reason, WaveChange},
    state::{Fleet, Health, Vm, Wave, WaveId, WaveState},
};
use protocol::{RackId, VmId};
use serde::{Deserialize, Serialize};
use std::{cmp::Reverse, collections::BTreeMap};

/// The number of ended waves that are kept for inspection.
const ENDED_WAVES_KEPT: usize = 32;

/// The progress of a wave.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The number of VMs in the scope.
    pub total: usize,
    /// The number of VMs that have booted since the start of the wave.
    pub done: usize,
    /// The number of VMs that are granted, draining or rebooting.
    pub active: usize,
    /// The number of pending VMs that are down, so that they cannot be rebooted regularly.
    pub down: usize,
}

impl Progress {
    /// Returns the number of VMs that are not done yet.
    pub fn pending(&self) -> usize {
        self.total - self.done
    }
}

/// Returns the progress of `wave`.
pub fn progress(fleet: &Fleet, wave: &Wave) -> Progress {
    let mut progress = Progress::default();
    for vm in fleet.vms.values().filter(|vm| covers(wave, vm)) {
        progress.total += 1;
        if vm.booted > wave.from {
            progress.done += 1;
        } else if vm.grant.is_some() {
            progress.active += 1;
        } else if vm.health != Health::Up {
            progress.down += 1;
        }
    }
    progress
}

/// Returns the VMs that running waves may take out of service now, as far as `headroom` allows.
///
/// VMs are taken rack by rack, so that the loss of a rack during a wave mostly affects VMs that are already
/// charged. Within a rack, the largest VMs come first, so that small ones fill the rest of the budget at
/// the end.
pub fn next_reboots<'f>(fleet: &'f Fleet, headroom: &mut BudgetHeadroom<'f>) -> Vec<ProposedGrant> {
    let waves: Vec<&Wave> = fleet
        .waves
        .values()
        .filter(|wave| wave.state == WaveState::Running)
        .collect();
    if waves.is_empty() {
        return Vec::new();
    }
    let mut waiting: Vec<(&VmId, &Vm)> = fleet
        .vms
        .iter()
        .filter(|(_, vm)| vm.is_available())
        .filter(|(_, vm)| waves.iter().any(|wave| is_pending(wave, vm)))
        .collect();
    let unavailable = unavailable_slots_by_rack(fleet);
    waiting.sort_by_key(|(id, vm)| {
        let taken = unavailable.get(&vm.rack).copied().unwrap_or_default();
        (Reverse(taken), &vm.rack, Reverse(vm.slots), *id)
    });
    waiting
        .into_iter()
        .filter(|(_, vm)| headroom.take(vm))
        .map(|(id, vm)| ProposedGrant {
            vm: id.clone(),
            base: vm.version,
            purpose: GrantPurpose::Reboot,
        })
        .collect()
}

/// Returns the number of slots that are already out of service in each rack.
fn unavailable_slots_by_rack(fleet: &Fleet) -> BTreeMap<&RackId, u32> {
    let mut unavailable = BTreeMap::new();
    for vm in fleet.vms.values().filter(|vm| !vm.is_available()) {
        *unavailable.entry(&vm.rack).or_default() += vm.slots;
    }
    unavailable
}

fn covers(wave: &Wave, vm: &Vm) -> bool {
    let below_scope = vm.pool.strip_prefix(wave.scope.as_str());
    below_scope.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
        && vm.health != Health::Gone
}

fn is_pending(wave: &Wave, vm: &Vm) -> bool {
    covers(wave, vm) && vm.booted <= wave.from
}

impl Fleet {
    /// Starts, pauses, resumes, cancels or closes a wave.
    pub(crate) fn change_wave(&mut self, context: &Context, change: &WaveChange) -> Outcome {
        match change {
            WaveChange::Start { scope } => self.start_wave(context, scope),
            WaveChange::Pause(wave) => self.set_wave_state(*wave, WaveState::Paused),
            WaveChange::Resume(wave) => self.set_wave_state(*wave, WaveState::Running),
            WaveChange::Cancel(wave) => self.set_wave_state(*wave, WaveState::Cancelled),
            WaveChange::Close(wave) => self.close_wave(*wave),
        }
    }

    fn start_wave(&mut self, context: &Context, scope: &str) -> Outcome {
        let known = self.tree.nodes.contains_key(scope) && scope.matches('/').count() < 2;
        if !known {
            let scope = scope.to_owned();
            return Outcome::Rejected(Reason::NoScope { scope });
        }
        let wave = Wave {
            scope: scope.to_owned(),
            from: context.at,
            state: WaveState::Running,
        };
        self.waves.insert(context.offset, wave);
        self.prune_ended_waves();
        Outcome::Applied
    }

    fn set_wave_state(&mut self, id: WaveId, state: WaveState) -> Outcome {
        match self.waves.get_mut(&id) {
            Some(wave) if wave.state == state => Outcome::Unchanged,
            Some(wave) if matches!(wave.state, WaveState::Running | WaveState::Paused) => {
                wave.state = state;
                Outcome::Applied
            }
            _ => Outcome::Rejected(Reason::NoWave { wave: id }),
        }
    }

    fn close_wave(&mut self, id: WaveId) -> Outcome {
        let pending = self
            .waves
            .get(&id)
            .map(|wave| progress(self, wave).pending());
        match pending {
            Some(0) => self.set_wave_state(id, WaveState::Done),
            _ => Outcome::Rejected(Reason::NoWave { wave: id }),
        }
    }

    fn prune_ended_waves(&mut self) {
        let ended: Vec<WaveId> = self
            .waves
            .iter()
            .filter(|(_, wave)| matches!(wave.state, WaveState::Done | WaveState::Cancelled))
            .map(|(id, _)| *id)
            .collect();
        let excess = ended.len().saturating_sub(ENDED_WAVES_KEPT);
        for id in &ended[..excess] {
            self.waves.remove(id);
        }
    }
}
