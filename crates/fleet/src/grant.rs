//! Grants: permissions to take a VM out of service, charged to the budgets until the VM is back.

use crate::{
    MAX_CLOCK_SKEW, MAX_LEASE,
    budget::tightest_budget,
    fold::Context,
    record::{GrantPurpose, GrantRequest, LeaseRequest, Outcome, Reason},
    state::{Fleet, Grant, Health, SPARE_POOL, Step, Vm},
};
use protocol::Offset;
use settings::admits_hall;
use std::time::SystemTime;

impl Fleet {
    /// Grants a request if the VM is unchanged and the budget of its pool allows it.
    pub(crate) fn grant(&mut self, context: &Context, request: &GrantRequest) -> Outcome {
        if let Some(reason) = self.grant_rejection(context, request) {
            return Outcome::Rejected(reason);
        }
        let offset = context.offset;
        self.change_vm(&request.vm, offset, |vm| {
            vm.grant = Some(Grant {
                id: offset,
                purpose: request.purpose.clone(),
                holder: request.holder.clone(),
                deadline: request.deadline,
                token: offset,
                step: Step::Draining,
                boot: vm.boot,
            });
        });
        Outcome::Applied
    }

    /// Renews the holder's own lease, or transfers it to another holder once it has certainly expired.
    pub(crate) fn lease(&mut self, context: &Context, request: &LeaseRequest) -> Outcome {
        let Some(grant) = self.find_grant(&request.vm, request.grant) else {
            return no_grant(&request.vm, request.grant);
        };
        if !is_valid_deadline(context.at, request.deadline) {
            return Outcome::Rejected(Reason::BadDeadline);
        }
        let renews = grant.holder == request.holder && context.at <= grant.deadline;
        let takes_over = context.at > grant.deadline + MAX_CLOCK_SKEW;
        if !renews && !takes_over {
            let holder = grant.holder.clone();
            return Outcome::Rejected(Reason::Held { holder });
        }
        self.change_grant(context, &request.vm, |grant| {
            grant.deadline = request.deadline;
            if takes_over {
                grant.holder.clone_from(&request.holder);
                grant.token = context.offset;
            }
        });
        Outcome::Applied
    }

    /// Marks the operation as begun. From then on it cannot be undone.
    pub(crate) fn begin(&mut self, context: &Context, vm: &str, id: Offset) -> Outcome {
        let Some(grant) = self.find_grant(vm, id) else {
            return no_grant(vm, id);
        };
        if grant.holder != context.by || context.at > grant.deadline {
            let holder = grant.holder.clone();
            return Outcome::Rejected(Reason::Held { holder });
        }
        if grant.step != Step::Draining || grant.purpose == GrantPurpose::Drain {
            return wrong_step(vm);
        }
        // With the new token, the platform refuses copies of the drain call that are still in flight.
        self.change_grant(context, vm, |grant| {
            grant.step = Step::Begun;
            grant.token = context.offset;
        });
        Outcome::Applied
    }

    /// Ends an operation that has begun, once there is evidence that it took effect.
    pub(crate) fn finish(&mut self, context: &Context, vm: &str, id: Offset, boot: u64) -> Outcome {
        let Some(grant) = self.find_grant(vm, id) else {
            return no_grant(vm, id);
        };
        match grant.step {
            Step::Draining => return wrong_step(vm),
            Step::Returning => {
                self.change_vm(vm, context.offset, |vm| vm.grant = None);
                return Outcome::Applied;
            }
            Step::Begun => {}
        }
        match grant.purpose.clone() {
            GrantPurpose::Reboot if boot > grant.boot => self.finish_reboot(context, vm, boot),
            GrantPurpose::Release => self.remove_vm(vm),
            GrantPurpose::Move { to } => self.finish_move(context, vm, &to),
            GrantPurpose::Reboot | GrantPurpose::Drain => return wrong_step(vm),
        }
        self.prune_gone();
        Outcome::Applied
    }

    /// Takes back a grant whose operation has not begun. The VM may already be drained, or a drain call that
    /// is still in flight may yet drain it. Therefore it stays charged until the drain is known to have ended.
    pub(crate) fn undo(&mut self, context: &Context, vm: &str, id: Offset) -> Outcome {
        let Some(grant) = self.find_grant(vm, id) else {
            return no_grant(vm, id);
        };
        match grant.step {
            Step::Begun => return wrong_step(vm),
            Step::Returning => return Outcome::Unchanged,
            Step::Draining => {}
        }
        self.change_grant(context, vm, |grant| {
            grant.step = Step::Returning;
            grant.token = context.offset;
        });
        Outcome::Applied
    }

    /// Returns the budget that would be exceeded if `vm` were out of service as well.
    pub fn over_budget(&self, vm: &Vm) -> Option<Reason> {
        let tightest = tightest_budget(self, &vm.pool)?;
        let added = if vm.is_available() { vm.slots } else { 0 };
        let wanted = self.count(&vm.pool).unavailable + added;
        (wanted > tightest.budget).then_some(Reason::OverBudget {
            service: tightest.service,
            budget: tightest.budget,
            wanted,
        })
    }

    fn grant_rejection(&self, context: &Context, request: &GrantRequest) -> Option<Reason> {
        let id = request.vm.clone();
        let Some(vm) = self.vms.get(&id) else {
            return Some(Reason::NoVm { vm: id });
        };
        if vm.version != request.base {
            let version = vm.version;
            return Some(Reason::VmMoved { vm: id, version });
        }
        if vm.grant.is_some() || vm.health == Health::Gone {
            return Some(Reason::Busy { vm: id });
        }
        if !is_valid_deadline(context.at, request.deadline) {
            return Some(Reason::BadDeadline);
        }
        if let GrantPurpose::Move { to } = &request.purpose
            && let Some(reason) = self.move_rejection(vm, to)
        {
            return Some(reason);
        }
        self.over_budget(vm)
    }

    /// Rejects moves beyond the desired size of a pool: planners that do not know of each other may each
    /// fill it.
    fn move_rejection(&self, vm: &Vm, to: &str) -> Option<Reason> {
        let pool = to.to_owned();
        if !self.admits(to, vm) {
            return Some(Reason::NoPool { pool });
        }
        let asked = self.tree.nodes.get(to).and_then(|node| node.vms)?;
        (self.expected(to) >= asked).then_some(Reason::PoolFull { pool, asked })
    }

    /// Returns whether `vm` could be moved to `pool`.
    pub fn admits(&self, pool: &str, vm: &Vm) -> bool {
        if pool == vm.pool {
            return false;
        }
        pool == SPARE_POOL
            || (self.tree.pools().any(|known| known == pool)
                && admits_hall(&self.tree, pool, &vm.hall))
    }

    fn finish_reboot(&mut self, context: &Context, vm: &str, boot: u64) {
        let at = context.at;
        self.change_vm(vm, context.offset, |vm| {
            vm.grant = None;
            vm.health = Health::Up;
            if boot > vm.boot {
                vm.boot = boot;
                vm.booted = at;
            }
        });
    }

    /// Moves the VM to its new pool. If that pool was removed in the meantime, the VM stays in its old one.
    fn finish_move(&mut self, context: &Context, vm: &str, to: &str) {
        let admitted = self.vms.get(vm).is_some_and(|vm| self.admits(to, vm));
        self.change_vm(vm, context.offset, |vm| {
            vm.grant = None;
            if admitted {
                to.clone_into(&mut vm.pool);
            }
        });
    }

    fn find_grant(&self, vm: &str, id: Offset) -> Option<&Grant> {
        let grant = self.vms.get(vm)?.grant.as_ref()?;
        (grant.id == id).then_some(grant)
    }

    fn change_grant(&mut self, context: &Context, vm: &str, change: impl FnOnce(&mut Grant)) {
        self.change_vm(vm, context.offset, |vm| {
            if let Some(grant) = &mut vm.grant {
                change(grant);
            }
        });
    }
}

fn is_valid_deadline(at: SystemTime, deadline: SystemTime) -> bool {
    deadline > at && deadline <= at + MAX_LEASE
}

fn no_grant(vm: &str, grant: Offset) -> Outcome {
    let vm = vm.to_owned();
    Outcome::Rejected(Reason::NoGrant { vm, grant })
}

fn wrong_step(vm: &str) -> Outcome {
    Outcome::Rejected(Reason::WrongStep { vm: vm.to_owned() })
}
