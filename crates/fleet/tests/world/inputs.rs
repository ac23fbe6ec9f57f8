//! The observations of VMs by entries, and the requests of operators.

use super::{LEASE, World};
use havenladder_fleet::{
    Change, GrantPurpose, GrantRequest, Observation, ObservedState, Vm, WaveChange,
};
use rand::{Rng, seq::IndexedRandom};

impl World {
    pub(super) fn observe_all(&mut self, entry: usize) {
        let name = self.entries[entry].name.clone();
        let fleet = &self.entries[entry].fleet;
        let mut seen: Vec<Observation> = Vec::new();
        for (id, machine) in &self.machines {
            let known = fleet.vms.get(id);
            let what = if machine.up {
                ObservedState::Up {
                    hall: machine.hall.clone(),
                    rack: machine.rack.clone(),
                    addr: "addr".into(),
                    slots: machine.slots,
                    boot: machine.boot,
                }
            } else {
                ObservedState::Down
            };
            let base = known.map_or(0, |vm| vm.version);
            seen.push(Observation {
                vm: id.clone(),
                base,
                seen: what,
            });
        }
        for (id, vm) in &fleet.vms {
            if !self.machines.contains_key(id) && vm.grant.is_none() {
                let base = vm.version;
                seen.push(Observation {
                    vm: id.clone(),
                    base,
                    seen: ObservedState::Gone,
                });
            }
        }
        self.append(&name, vec![Change::Observe(seen)]);
    }

    /// Appends a random request of an operator, based on the state that some entry knows.
    pub(super) fn operator_request(&mut self, entry: usize) {
        let fleet = &self.entries[entry].fleet;
        let ids: Vec<(&String, &Vm)> = fleet.vms.iter().collect();
        let Some((id, vm)) = ids.choose(&mut self.rng) else {
            return;
        };
        let id = (*id).clone();
        let waves: Vec<u64> = fleet.waves.keys().copied().collect();
        let change = match self.rng.random_range(0..6) {
            0 => Change::Wave(WaveChange::Start {
                scope: "place".into(),
            }),
            1 if !waves.is_empty() => Change::Wave(WaveChange::Pause(waves[waves.len() - 1])),
            2 if !waves.is_empty() => Change::Wave(WaveChange::Resume(waves[waves.len() - 1])),
            3 if vm.grant.is_some() => {
                let grant = vm.grant.as_ref().map_or(0, |grant| grant.id);
                Change::Undo { vm: id, grant }
            }
            4 => Change::Grant(GrantRequest {
                base: vm.version,
                purpose: GrantPurpose::Move {
                    to: "place/two".into(),
                },
                holder: format!("entry-{}", self.rng.random_range(0..4)),
                deadline: self.now + LEASE,
                vm: id,
            }),
            _ => Change::Grant(GrantRequest {
                base: vm.version,
                purpose: GrantPurpose::Drain,
                holder: "entry-0".into(),
                deadline: self.now + LEASE,
                vm: id,
            }),
        };
        self.append("operator", vec![change]);
    }
}
