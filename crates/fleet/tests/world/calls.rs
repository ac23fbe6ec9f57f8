//! What entries decide on, and the calls that they make later: they may be frozen in between.

use super::{Call, LEASE, World, view};
use havenladder_fleet::{
    Action, Change, Evidence, Grant, LeaseRequest, Vm, VmObservation, next_action,
    token_without_grant,
};
use rand::{Rng, seq::IndexedRandom};

impl World {
    pub(super) fn tasks(&self, entry: usize) -> Vec<(String, Vm, Grant)> {
        let entry = &self.entries[entry];
        let vms = entry.fleet.vms.iter();
        vms.filter_map(|(id, vm)| Some((id.clone(), vm.clone(), vm.grant.clone()?)))
            .filter(|(_, _, grant)| grant.holder == entry.name || !grant.has_lease())
            .collect()
    }

    /// An entry looks at the platform and decides; what it decided waits to be carried out.
    pub(super) fn decide(&mut self, entry: usize) {
        let members = self.members(entry);
        let tasks = self.tasks(entry);
        let Some((id, vm, grant)) = tasks.choose(&mut self.rng).cloned() else {
            return self.settle_stray(entry);
        };
        let name = self.entries[entry].name.clone();
        let view = view(&name, &members, self.now);
        let observation = self.machines.get(&id).map(|machine| VmObservation {
            boot: machine.boot,
            up: machine.up,
            drained: machine.drained,
            running: machine.running,
            pool: machine.pool.clone(),
            token: machine.token,
        });
        let evidence = Evidence {
            observation,
            unrecorded_down: 0,
        };
        let action = next_action(&self.entries[entry].fleet, &vm, &grant, &evidence, &view);
        self.calls.push(Call {
            entry,
            vm: id,
            grant,
            action,
        });
    }

    pub(super) fn settle_stray(&mut self, entry: usize) {
        let strays: Vec<(String, u64, String)> = self.entries[entry]
            .fleet
            .vms
            .iter()
            .filter(|(_, vm)| vm.grant.is_none())
            .map(|(id, vm)| (id.clone(), token_without_grant(vm), vm.pool.clone()))
            .collect();
        let Some((id, token, pool)) = strays.choose(&mut self.rng) else {
            return;
        };
        if let Some(machine) = self.machines.get_mut(id)
            && *token >= machine.token
        {
            machine.token = *token;
            machine.drained = false;
            machine.pool.clone_from(pool);
        }
    }

    /// Carries out some decision, perhaps long after it was made.
    pub(super) fn make_call(&mut self) {
        if self.calls.is_empty() {
            return;
        }
        let place = if self.faulty {
            self.rng.random_range(0..self.calls.len())
        } else {
            0
        };
        let call = self.calls.remove(place);
        let name = self.entries[call.entry].name.clone();
        let (vm, grant) = (call.vm.clone(), call.grant.id);
        match call.action {
            Action::Wait | Action::Lapsed => {}
            Action::Renew => {
                let deadline = self.now + LEASE;
                let request = LeaseRequest {
                    vm,
                    grant,
                    holder: name.clone(),
                    deadline,
                };
                self.append(&name, vec![Change::Lease(request)]);
            }
            Action::Begin => {
                self.append(&name, vec![Change::Begin { vm, grant }]);
            }
            Action::Finish(boot) => {
                self.append(&name, vec![Change::Finish { vm, grant, boot }]);
            }
            // The last look at the clock. In a freeze after it, the token is what holds.
            _ if call.grant.has_lease()
                && self.now >= call.grant.deadline
                && self.rng.random_bool(0.9) => {}
            action => self.platform_call(&call.vm, &call.grant, action),
        }
    }
}
