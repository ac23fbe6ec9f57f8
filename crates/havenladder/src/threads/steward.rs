//! Thread that plans the grants of VMs and carries out those whose leases this entry holds.

mod drift;

use crate::{
    context::Context,
    propose::{ProposeError, propose},
};
use fleet::{
    Action, Change, Evidence, Fleet, Grant, LeaseRequest, Outcome, View, Vm, VmObservation,
    next_action, plan,
};
use platform::{VmCall, VmInfo, Vms};
use protocol::{EntryId, HallId, Offset, VmId};
use std::{
    collections::BTreeMap,
    sync::Arc,
    thread::sleep,
    time::{Duration, Instant, SystemTime},
};

/// Interval after which a new plan is made even if nothing has changed, since leases expire without
/// a record in the log.
const REPLAN_INTERVAL: Duration = Duration::from_secs(1);

/// Granted VM for which this entry is responsible.
struct AssignedGrant {
    id: VmId,
    vm: Vm,
    grant: Grant,
}

/// Plans and carries out grants until the process ends.
pub fn steward(ctx: &Arc<Context>) {
    let mut plan_inputs = PlanInputs::default();
    loop {
        let next = Instant::now() + ctx.config.steward.interval;
        if ctx.fleet.is_loaded() && ctx.reaches_log() {
            round(ctx, &mut plan_inputs);
        }
        let remaining = next.saturating_duration_since(Instant::now());
        let applied = ctx.fleet.get().next;
        // A new record may hold a grant, which is then carried out without waiting for the next
        // round.
        ctx.fleet
            .wait(Instant::now() + remaining, |next| next > applied);
        sleep(Duration::from_millis(1));
    }
}

/// Inputs of the last plan, and the time until which the plan is used.
#[derive(Default)]
struct PlanInputs {
    next: Offset,
    members: BTreeMap<EntryId, HallId>,
    expires: Option<Instant>,
}

impl PlanInputs {
    /// Returns whether a new plan could differ from the last one. If so, records the new inputs.
    fn is_due(&mut self, next: Offset, members: &BTreeMap<EntryId, HallId>) -> bool {
        let now = Instant::now();
        let is_fresh = self.expires.is_some_and(|expires| now < expires);
        if is_fresh && self.next == next && self.members == *members {
            return false;
        }
        *self = Self {
            next,
            members: members.clone(),
            expires: Some(now + REPLAN_INTERVAL),
        };
        true
    }
}

fn round(ctx: &Context, plan_inputs: &mut PlanInputs) {
    let members = ctx.peers.members(&ctx.config, true);
    let next = ctx.fleet.get().next;
    if plan_inputs.is_due(next, &members) {
        let changes = plan(&ctx.fleet.get(), &view(ctx, &members));
        if !changes.is_empty() {
            propose_changes(ctx, changes);
        }
    }
    for assigned in assigned_grants(ctx, &members) {
        advance(ctx, &members, &assigned);
    }
    for (id, vm) in drift::drifted_vms(ctx, &members) {
        drift::correct(ctx, &id, &vm);
    }
}

fn view<'a>(ctx: &'a Context, members: &'a BTreeMap<EntryId, HallId>) -> View<'a> {
    View {
        entry: &ctx.config.entry.name,
        live: members,
        now: SystemTime::now(),
        lease: ctx.config.steward.lease,
    }
}

/// Proposes changes and logs their outcomes. Returns whether all of them took effect.
fn propose_changes(ctx: &Context, changes: Vec<Change>) -> bool {
    match propose(ctx, changes.clone()) {
        Ok(decided) => {
            for (change, outcome) in changes.iter().zip(&decided.outcomes) {
                tracing::info!(offset = decided.offset, ?change, ?outcome, "decided");
            }
            decided
                .outcomes
                .iter()
                .all(|outcome| *outcome == Outcome::Applied)
        }
        Err(error @ (ProposeError::NotTaken(_) | ProposeError::Unknown)) => {
            tracing::warn!(%error, "could not propose changes");
            false
        }
    }
}

/// Returns the grants whose leases this entry holds. A grant without a lease is carried out by the
/// first live entry of the VM's data centre by rank.
fn assigned_grants(ctx: &Context, members: &BTreeMap<EntryId, HallId>) -> Vec<AssignedGrant> {
    let view = view(ctx, members);
    let fleet = ctx.fleet.get();
    fleet
        .grants()
        .filter(|(id, vm, grant)| {
            if grant.has_lease() {
                grant.holder == view.entry
            } else {
                view.holder(id, vm).as_deref() == Some(view.entry)
            }
        })
        .map(|(id, vm, grant)| AssignedGrant {
            id: id.clone(),
            vm: vm.clone(),
            grant: grant.clone(),
        })
        .collect()
}

fn advance(ctx: &Context, members: &BTreeMap<EntryId, HallId>, assigned: &AssignedGrant) {
    let info = match ctx.platform.fetch(&assigned.id) {
        Ok(info) => info,
        Err(error) => {
            tracing::warn!(vm = %assigned.id, %error, "could not read the state of the VM");
            return;
        }
    };
    let action = {
        let fleet = ctx.fleet.get();
        let evidence = Evidence {
            observation: info.as_ref().map(observation),
            unrecorded_down: unreported_slots(ctx, &fleet, &assigned.vm),
        };
        next_action(
            &fleet,
            &assigned.vm,
            &assigned.grant,
            &evidence,
            &view(ctx, members),
        )
    };
    carry_out(ctx, assigned, action);
}

fn carry_out(ctx: &Context, assigned: &AssignedGrant, action: Action) {
    let token = assigned.grant.token;
    let (vm, grant) = (assigned.id.clone(), assigned.grant.id);
    match action {
        Action::Wait => {}
        Action::LeaseExpired => {
            tracing::warn!(%vm, grant, "the lease has expired; taking no action")
        }
        Action::Renew => {
            propose_changes(ctx, vec![renewal(ctx, assigned)]);
        }
        Action::Drain => call(ctx, assigned, &VmCall::Drain { token }),
        Action::Undrain => call(ctx, assigned, &VmCall::Undrain { token }),
        Action::Begin => {
            propose_changes(ctx, vec![Change::Begin { vm, grant }]);
        }
        Action::Reboot(boot) => call(ctx, assigned, &VmCall::Reboot { token, boot }),
        Action::Release => call(ctx, assigned, &VmCall::Release { token }),
        Action::Assign(pool) => call(ctx, assigned, &VmCall::Assign { token, pool }),
        Action::Finish(boot) => {
            propose_changes(ctx, vec![Change::Finish { vm, grant, boot }]);
        }
    }
}

fn renewal(ctx: &Context, assigned: &AssignedGrant) -> Change {
    Change::Lease(LeaseRequest {
        vm: assigned.id.clone(),
        grant: assigned.grant.id,
        holder: ctx.config.entry.name.clone(),
        deadline: SystemTime::now() + ctx.config.steward.lease,
    })
}

/// Calls the platform. The lease is checked right before the call, so that a process that was
/// suspended beyond the end of its lease does nothing.
fn call(ctx: &Context, assigned: &AssignedGrant, call: &VmCall) {
    if assigned.grant.has_lease() && SystemTime::now() >= assigned.grant.deadline {
        tracing::warn!(vm = %assigned.id, ?call, "the lease expired before the call; not calling");
        return;
    }
    match ctx.platform.call(&assigned.id, call) {
        Ok(()) => tracing::info!(vm = %assigned.id, ?call, "called"),
        // The next round checks whether the call took effect.
        Err(error) => tracing::warn!(vm = %assigned.id, ?call, %error, "call failed"),
    }
}

fn observation(info: &VmInfo) -> VmObservation {
    VmObservation {
        boot: info.boot,
        up: info.up,
        drained: info.drained,
        running: info.running,
        pool: info.pool.clone(),
        token: info.token,
    }
}

/// Returns the number of slots in the VM's pool that this entry observes as down or leaving while
/// the agreed state still counts them as available.
fn unreported_slots(ctx: &Context, fleet: &Fleet, vm: &Vm) -> u32 {
    let unusable = ctx.observations.unusable();
    unusable
        .iter()
        .filter_map(|id| fleet.vms.get(id))
        .filter(|other| other.pool == vm.pool && other.is_available())
        .map(|other| other.slots)
        .sum()
}
