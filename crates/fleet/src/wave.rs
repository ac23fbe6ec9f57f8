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

/// Ended waves that are kept to be looked at.
const ENDED_WAVES_KEPT: usize = 32;

/// How far a wave has come.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// VMs of the scope.
    pub total: usize,
    /// VMs that have booted since the wave began.
    pub done: usize,
    /// VMs that are granted, draining or rebooting.
    pub active: usize,
    /// VMs that wait and are down, so that they cannot be rebooted in order.
    pub down: usize,
}

impl Progress {
    /// VMs that are not done yet.
    pub fn pending(&self) -> usize {
        self.total - self.done
    }
}

/// Returns how far `wave` has come.
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

/// Returns the VMs that running waves may take out of service now, as `room` allows.
///
/// VMs are taken rack by rack, so that a rack that is lost in the middle of a wave hits VMs that
/// are charged already; within a rack the largest come first, so that small ones fill what is
/// left of a budget at the end.
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
    let open = open_racks(fleet);
    waiting.sort_by_key(|(id, vm)| {
        let taken = open.get(&vm.rack).copied().unwrap_or_default();
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

/// Slots that are out of service already, by rack.
fn open_racks(fleet: &Fleet) -> BTreeMap<&RackId, u32> {
    let mut open = BTreeMap::new();
    for vm in fleet.vms.values().filter(|vm| !vm.is_available()) {
        *open.entry(&vm.rack).or_default() += vm.slots;
    }
    open
}

fn covers(wave: &Wave, vm: &Vm) -> bool {
    let below = vm.pool.strip_prefix(wave.scope.as_str());
    below.is_some_and(|rest| rest.is_empty() || rest.starts_with('/')) && vm.health != Health::Gone
}

fn is_pending(wave: &Wave, vm: &Vm) -> bool {
    covers(wave, vm) && vm.booted <= wave.from
}

impl Fleet {
    /// Starts or steers a wave.
    pub(crate) fn steer(&mut self, context: &Context, change: &WaveChange) -> Outcome {
        match change {
            WaveChange::Start { scope } => self.start(context, scope),
            WaveChange::Pause(wave) => self.set_wave(*wave, WaveState::Paused),
            WaveChange::Resume(wave) => self.set_wave(*wave, WaveState::Running),
            WaveChange::Cancel(wave) => self.set_wave(*wave, WaveState::Cancelled),
            WaveChange::Close(wave) => self.close(*wave),
        }
    }

    fn start(&mut self, context: &Context, scope: &str) -> Outcome {
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
        self.forget_waves();
        Outcome::Applied
    }

    fn set_wave(&mut self, id: WaveId, state: WaveState) -> Outcome {
        match self.waves.get_mut(&id) {
            Some(wave) if wave.state == state => Outcome::Unchanged,
            Some(wave) if matches!(wave.state, WaveState::Running | WaveState::Paused) => {
                wave.state = state;
                Outcome::Applied
            }
            _ => Outcome::Rejected(Reason::NoWave { wave: id }),
        }
    }

    fn close(&mut self, id: WaveId) -> Outcome {
        let pending = self
            .waves
            .get(&id)
            .map(|wave| progress(self, wave).pending());
        match pending {
            Some(0) => self.set_wave(id, WaveState::Done),
            _ => Outcome::Rejected(Reason::NoWave { wave: id }),
        }
    }

    fn forget_waves(&mut self) {
        let ended: Vec<WaveId> = self
            .waves
            .iter()
            .filter(|(_, wave)| matches!(wave.state, WaveState::Done | WaveState::Cancelled))
            .map(|(id, _)| *id)
            .collect();
        let surplus = ended.len().saturating_sub(ENDED_WAVES_KEPT);
        for id in &ended[..surplus] {
            self.waves.remove(id);
        }
    }
}
