//! The decisions of entries and the calls that they make later, since an entry may be frozen in between.

use super::{Call, LEASE, World, view};
use havenladder_fleet::{
    Action, Change, Evidence, Grant, LeaseRequest, Vm, VmObservation, next_action,
    token_without_grant,
};
use rand::{Rng, seq::IndexedRandom};

impl World {
    pub(super) fn pending_grants(&self, entry: usize) -> Vec<(String, Vm, Grant)> {
        let entry = &self.entries[entry];
        let vms = entry.fleet.vms.iter();
        vms.filter_map(|(id, vm)| Some((id.clone(), vm.clone(), vm.grant.clone()?)))
            .filter(|(_, _, grant)| grant.holder == entry.name || !grant.has_lease())
            .collect()
    }

    /// Lets an entry read the platform's state and decide on a call, which is queued to be carried out
    /// later.
    pub(super) fn decide(&mut self, entry: usize) {
        let members = self.members(entry);
        let grants = self.pending_grants(entry);
        let Some((id, vm, grant)) = grants.choose(&mut self.rng).cloned() else {
            return self.settle_orphaned(entry);
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

    pub(super) fn settle_orphaned(&mut self, entry: usize) {
        let orphaned: Vec<(String, u64, String)> = self.entries[entry]
            .fleet
            .vms
            .iter()
            .filter(|(_, vm)| vm.grant.is_none())
            .map(|(id, vm)| (id.clone(), token_without_grant(vm), vm.pool.clone()))
            .collect();
        let Some((id, token, pool)) = orphaned.choose(&mut self.rng) else {
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

    /// Carries out one of the queued calls, perhaps long after the decision.
    pub(super) fn make_call(&mut self) {
        if self.calls.is_empty() {
            return;
        }
        let index = if self.faulty {
            self.rng.random_range(0..self.calls.len())
        } else {
            0
        };
        let call = self.calls.remove(index);
        let name = self.entries[call.entry].name.clone();
        let (vm, grant) = (call.vm.clone(), call.grant.id);
        match call.action {
            Action::Wait | Action::LeaseExpired => {}
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
            // The last check of the clock before the call. If the entry freezes after it, only the token
            // protects the VM.
            _ if call.grant.has_lease()
                && self.now >= call.grant.deadline
                && self.rng.random_bool(0.9) => {}
            action => self.platform_call(&call.vm, &call.grant, action),
        }
    }
}
