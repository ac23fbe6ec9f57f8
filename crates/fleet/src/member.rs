//! Membership: which VMs exist, whether they are up, and which pool each of them belongs to.

use crate::{
    fold::Context,
    record::{Observation, ObservedState, Outcome, Reason},
    state::{Fleet, Health, SPARE_POOL, Vm},
};
use protocol::{PoolId, VmId};
use settings::admits_hall;
use std::cmp::Reverse;

impl Fleet {
    /// Applies the observations of an entry, except those of VMs that have changed since the observation.
    pub(crate) fn observe(&mut self, context: &Context, observations: &[Observation]) -> Outcome {
        let mut changed = false;
        for observation in observations {
            changed |= self.observe_one(context, observation);
        }
        if changed {
            self.prune_gone();
            Outcome::Applied
        } else {
            Outcome::Unchanged
        }
    }

    /// Removes a VM that the platform no longer lists.
    pub(crate) fn forget(&mut self, vm: &str) -> Outcome {
        match self.vms.get(vm).map(|vm| vm.health) {
            Some(Health::Gone) => {
                self.remove_vm(vm);
                Outcome::Applied
            }
            Some(_) => Outcome::Rejected(Reason::Busy { vm: vm.to_owned() }),
            None => Outcome::Rejected(Reason::NoVm { vm: vm.to_owned() }),
        }
    }

    fn observe_one(&mut self, context: &Context, observation: &Observation) -> bool {
        let Some(vm) = self.vms.get(&observation.vm) else {
            return self.join(context, observation);
        };
        if vm.version != observation.base {
            return false;
        }
        match &observation.seen {
            ObservedState::Up {
                hall,
                rack,
                addr,
                slots,
                boot,
            } => {
                let booted = if *boot == vm.boot {
                    vm.booted
                } else {
                    context.at
                };
                let up = Vm {
                    hall: hall.clone(),
                    rack: rack.clone(),
                    addr: addr.clone(),
                    slots: *slots,
                    boot: *boot,
                    booted,
                    health: Health::Up,
                    ..vm.clone()
                };
                if up == *vm {
                    return false;
                }
                self.change_vm(&observation.vm, context.offset, |vm| *vm = up);
                true
            }
            ObservedState::Leaving => self.set_health(context, &observation.vm, Health::Leaving),
            ObservedState::Down => self.set_health(context, &observation.vm, Health::Down),
            ObservedState::Gone => self.set_health(context, &observation.vm, Health::Gone),
        }
    }

    fn set_health(&mut self, context: &Context, id: &str, health: Health) -> bool {
        if self.vms.get(id).is_none_or(|vm| vm.health == health) {
            return false;
        }
        self.change_vm(id, context.offset, |vm| vm.health = health);
        true
    }

    fn join(&mut self, context: &Context, observation: &Observation) -> bool {
        let ObservedState::Up {
            hall,
            rack,
            addr,
            slots,
            boot,
        } = &observation.seen
        else {
            return false;
        };
        let vm = Vm {
            hall: hall.clone(),
            rack: rack.clone(),
            addr: addr.clone(),
            slots: *slots,
            boot: *boot,
            booted: context.at,
            pool: self.pool_for_new_vm(hall),
            health: Health::Up,
            grant: None,
            version: context.offset,
        };
        self.insert_vm(observation.vm.clone(), vm);
        true
    }

    /// Returns the pool that lacks the most VMs among those that admit `hall`, or the spare pool if none
    /// lacks any.
    fn pool_for_new_vm(&self, hall: &str) -> PoolId {
        self.tree
            .pools()
            .filter(|pool| admits_hall(&self.tree, pool, hall))
            .map(|pool| (self.desired(pool).saturating_sub(self.expected(pool)), pool))
            .filter(|(shortage, _)| *shortage > 0)
            .max_by_key(|(shortage, pool)| (*shortage, Reverse(*pool)))
            .map_or_else(|| SPARE_POOL.to_owned(), |(_, pool)| pool.clone())
    }

    /// Returns the number of VMs that the settings ask for in a pool.
    pub fn desired(&self, pool: &str) -> u32 {
        self.tree
            .nodes
            .get(pool)
            .and_then(|node| node.vms)
            .unwrap_or_default()
    }

    /// Returns the number of VMs in a pool, without those that the platform no longer lists.
    pub fn present(&self, pool: &str) -> u32 {
        let count = self.count(pool);
        count.vms - count.gone
    }

    /// Returns the number of VMs in a pool, including those that are being moved to it.
    pub fn expected(&self, pool: &str) -> u32 {
        self.present(pool) + self.count(pool).incoming
    }

    /// Removes VMs that the platform no longer lists from pools that have reached their desired size
    /// without them, since they have been replaced.
    pub(crate) fn prune_gone(&mut self) {
        let replaced: Vec<PoolId> = self
            .counts
            .iter()
            .filter(|(_, count)| count.gone > 0)
            .map(|(pool, _)| pool.clone())
            .filter(|pool| self.present(pool) >= self.desired(pool))
            .collect();
        for pool in replaced {
            for vm in self.gone_vms(&pool) {
                self.remove_vm(&vm);
            }
        }
    }

    fn gone_vms(&self, pool: &str) -> Vec<VmId> {
        self.vms
            .iter()
            .filter(|(_, vm)| vm.health == Health::Gone && vm.pool == pool)
            .map(|(id, _)| id.clone())
            .collect()
    }
}
