//! What an entry should propose and do next, from the agreed state and what it sees itself.

use crate::{
    MAX_CLOCK_SKEW,
    moves::{BudgetHeadroom, ProposedGrant, next_moves},
    record::{Change, GrantPurpose, GrantRequest, LeaseRequest, WaveChange},
    state::{Fleet, Grant, Health, Step, Vm, WaveState},
    wave::{next_reboots, progress},
};
use protocol::{EntryId, HallId, Offset, PoolId, first_in_hall, ranked};
use std::{
    collections::BTreeMap,
    time::{Duration, SystemTime},
};

/// Key by which the live entries find the one that plans; the others stand by.
const PLANNER_KEY: &str = "planner";

/// Grants that one record carries at the most.
const MOST_GRANTS: usize = 64;

/// What an entry knows beside the agreed state.
pub struct View<'a> {
    /// The entry itself.
    pub entry: &'a str,
    /// The entries that answer, with their halls; the entry itself is one.
    pub live: &'a BTreeMap<EntryId, HallId>,
    /// The time.
    pub now: SystemTime,
    /// How long a lease runs.
    pub lease: Duration,
}

impl View<'_> {
    fn is_planner(&self) -> bool {
        let live = self.live.keys().map(String::as_str);
        ranked(live, PLANNER_KEY).first() == Some(&self.entry)
    }

    /// The live entry of the VM's hall that should carry out its errands.
    pub fn holder(&self, id: &str, vm: &Vm) -> Option<EntryId> {
        first_in_hall(self.live, &vm.hall, id).map(str::to_owned)
    }
}

/// Returns the proposals that this entry should append now.
pub fn plan(fleet: &Fleet, view: &View<'_>) -> Vec<Change> {
    let mut changes = take_overs(fleet, view);
    if view.is_planner() {
        changes.extend(withdrawals(fleet));
        changes.extend(grants(fleet, view));
        changes.extend(closings(fleet));
    }
    changes
}

/// Leases that have ended for certain and whose errands fall to this entry.
fn take_overs(fleet: &Fleet, view: &View<'_>) -> Vec<Change> {
    fleet
        .grants()
        .filter(|(_, _, grant)| grant.has_lease())
        .filter(|(_, _, grant)| view.now > grant.deadline + MAX_CLOCK_SKEW)
        .filter(|(id, vm, _)| view.holder(id, vm).as_deref() == Some(view.entry))
        .map(|(id, _, grant)| {
            Change::Lease(LeaseRequest {
                vm: id.clone(),
                grant: grant.id,
                holder: view.entry.to_owned(),
                deadline: view.now + view.lease,
            })
        })
        .collect()
}

/// Grants to take back: those of pools that failures have put over budget.
fn withdrawals(fleet: &Fleet) -> Vec<Change> {
    let mut excess: BTreeMap<&PoolId, u32> = fleet
        .counts
        .keys()
        .filter_map(|pool| Some((pool, fleet.headroom(pool).err()?)))
        .collect();
    if excess.is_empty() {
        return Vec::new();
    }
    let mut changes = Vec::new();
    for (id, vm, grant) in fleet.grants() {
        let Some(over) = excess.get_mut(&vm.pool) else {
            continue;
        };
        if *over == 0 || vm.health != Health::Up {
            continue;
        }
        if grant.step == Step::Returning {
            *over = over.saturating_sub(vm.slots);
        } else if grant.step == Step::Draining && grant.purpose != GrantPurpose::Drain {
            *over = over.saturating_sub(vm.slots);
            changes.push(Change::Undo {
                vm: id.clone(),
                grant: grant.id,
            });
        }
    }
    changes
}

/// New grants for moves and waves, as the budgets allow.
fn grants(fleet: &Fleet, view: &View<'_>) -> Vec<Change> {
    let mut headroom = BudgetHeadroom::new(fleet);
    let moves = next_moves(fleet, &mut headroom);
    let moving: Vec<_> = moves.iter().map(|wanted| wanted.vm.clone()).collect();
    let mut wanted = moves;
    let reboots = next_reboots(fleet, &mut headroom);
    wanted.extend(
        reboots
            .into_iter()
            .filter(|wanted| !moving.contains(&wanted.vm)),
    );
    wanted
        .into_iter()
        .filter_map(|wanted| request(fleet, view, wanted))
        .take(MOST_GRANTS)
        .map(Change::Grant)
        .collect()
}

fn request(fleet: &Fleet, view: &View<'_>, wanted: ProposedGrant) -> Option<GrantRequest> {
    let holder = view.holder(&wanted.vm, &fleet.vms[&wanted.vm])?;
    Some(GrantRequest {
        vm: wanted.vm,
        base: wanted.base,
        purpose: wanted.purpose,
        holder,
        deadline: view.now + view.lease,
    })
}

/// Waves whose last VM is done.
fn closings(fleet: &Fleet) -> Vec<Change> {
    fleet
        .waves
        .iter()
        .filter(|(_, wave)| wave.state == WaveState::Running)
        .filter(|(_, wave)| progress(fleet, wave).pending() == 0)
        .map(|(id, _)| Change::Wave(WaveChange::Close(*id)))
        .collect()
}

/// The platform's own view of a VM, read afresh.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmObservation {
    /// Its count of boots.
    pub boot: u64,
    /// Whether it is up.
    pub up: bool,
    /// Whether it refuses new tasks.
    pub drained: bool,
    /// Tasks that run on it.
    pub running: u32,
    /// The pool that its worker takes tasks for.
    pub pool: PoolId,
    /// The highest fencing token that it has met.
    pub token: Offset,
}

/// What the holder of a grant sees right before it acts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// The VM; `None` when the platform lists it no longer.
    pub observation: Option<VmObservation>,
    /// Slots of the VM's pool that this entry sees down and the agreed state does not yet.
    pub unrecorded_down: u32,
}

/// The next step of an errand.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Nothing can be done now.
    Wait,
    /// The lease has ended; whoever holds it must not act.
    Lapsed,
    /// The lease should be renewed first.
    Renew,
    /// Tell the platform to send the VM no more tasks.
    Drain,
    /// Tell the platform to send the VM tasks again.
    Undrain,
    /// Announce the call that cannot be undone.
    Begin,
    /// Tell the platform to reboot the VM, if its count of boots is still this one.
    Reboot(u64),
    /// Tell the platform to take the VM back.
    Release,
    /// Tell the platform that the VM's worker serves another pool.
    Assign(PoolId),
    /// Record that the errand took effect; the count of boots goes with it.
    Finish(u64),
}

/// Returns the next step of the errand that `grant` allows on `vm`.
pub fn next_action(
    fleet: &Fleet,
    vm: &Vm,
    grant: &Grant,
    evidence: &Evidence,
    view: &View<'_>,
) -> Action {
    if grant.has_lease() {
        if view.now >= grant.deadline {
            return Action::Lapsed;
        }
        if view.now + view.lease / 2 > grant.deadline {
            return Action::Renew;
        }
    }
    let Some(observed) = &evidence.observation else {
        return without_vm(grant);
    };
    match grant.step {
        Step::Draining => drain(fleet, vm, grant, observed, evidence.unrecorded_down),
        Step::Begun => after_begin(grant, observed),
        // Only a token that has arrived shuts out a drain call that is still on its way.
        Step::Returning if observed.drained || observed.token < grant.token => Action::Undrain,
        Step::Returning => Action::Finish(observed.boot),
    }
}

fn drain(
    fleet: &Fleet,
    vm: &Vm,
    grant: &Grant,
    observed: &VmObservation,
    unrecorded_down: u32,
) -> Action {
    if !observed.drained {
        return Action::Drain;
    }
    let idle = observed.running == 0;
    if grant.purpose == GrantPurpose::Drain || !idle || is_short(fleet, vm, unrecorded_down) {
        return Action::Wait;
    }
    Action::Begin
}

fn without_vm(grant: &Grant) -> Action {
    match grant.step {
        Step::Begun if grant.purpose == GrantPurpose::Release => Action::Finish(grant.boot),
        Step::Returning => Action::Finish(grant.boot),
        Step::Begun | Step::Draining => Action::Wait,
    }
}

fn after_begin(grant: &Grant, observed: &VmObservation) -> Action {
    match &grant.purpose {
        // A VM that is not up is on its way; a second call could only hit the boot after that.
        GrantPurpose::Reboot if !observed.up => Action::Wait,
        GrantPurpose::Reboot if observed.boot == grant.boot => Action::Reboot(grant.boot),
        GrantPurpose::Reboot => Action::Finish(observed.boot),
        GrantPurpose::Release => Action::Release,
        GrantPurpose::Move { to } if observed.pool != *to => Action::Assign(to.clone()),
        GrantPurpose::Move { .. } => Action::Finish(observed.boot),
        GrantPurpose::Drain => Action::Wait,
    }
}

/// Tells whether failures that are not in the log yet would put the pool over its budget.
fn is_short(fleet: &Fleet, vm: &Vm, unrecorded_down: u32) -> bool {
    fleet
        .headroom(&vm.pool)
        .map_or(true, |headroom| headroom < unrecorded_down)
}

impl Grant {
    /// Tells whether only the holder may act, and only until its deadline. Ending a drain does no
    /// harm whoever does it, and an operator's drain lasts until an operator says otherwise.
    pub fn has_lease(&self) -> bool {
        self.purpose != GrantPurpose::Drain && self.step != Step::Returning
    }
}

/// Returns the token for a call that needs no grant, such as the end of a drain.
pub fn token_without_grant(vm: &Vm) -> Offset {
    vm.version
}
