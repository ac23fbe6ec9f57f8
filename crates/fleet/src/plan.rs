//! The proposals and calls that an entry should make next, from the agreed state and its own observations.

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

/// The rendezvous key by which the live entries agree on the one that plans. The others are standbys.
const PLANNER_KEY: &str = "planner";

/// The maximum number of grants in one record.
const MAX_GRANTS_PER_RECORD: usize = 64;

/// The knowledge of an entry that is not part of the agreed state.
pub struct View<'a> {
    /// The entry itself.
    pub entry: &'a str,
    /// The entries that respond, with their data centres, including the entry itself.
    pub live: &'a BTreeMap<EntryId, HallId>,
    /// The current time.
    pub now: SystemTime,
    /// The duration of a lease.
    pub lease: Duration,
}

impl View<'_> {
    fn is_planner(&self) -> bool {
        let live = self.live.keys().map(String::as_str);
        ranked(live, PLANNER_KEY).first() == Some(&self.entry)
    }

    /// Returns the live entry in the VM's data centre that should carry out its operations, or `None` if
    /// there is no such entry.
    pub fn holder(&self, id: &str, vm: &Vm) -> Option<EntryId> {
        first_in_hall(self.live, &vm.hall, id).map(str::to_owned)
    }
}

/// Returns the proposals that this entry should append now.
pub fn plan(fleet: &Fleet, view: &View<'_>) -> Vec<Change> {
    let mut changes = lease_takeovers(fleet, view);
    if view.is_planner() {
        changes.extend(withdrawals(fleet));
        changes.extend(new_grants(fleet, view));
        changes.extend(finished_waves(fleet));
    }
    changes
}

/// Returns requests for the leases that have certainly expired and that this entry should take over.
fn lease_takeovers(fleet: &Fleet, view: &View<'_>) -> Vec<Change> {
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

/// Returns proposals to take back grants in pools that failures have put over their budget.
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

/// Returns proposals for new grants for moves and waves, within the budgets.
fn new_grants(fleet: &Fleet, view: &View<'_>) -> Vec<Change> {
    let mut headroom = BudgetHeadroom::new(fleet);
    let moves = next_moves(fleet, &mut headroom);
    let moving: Vec<_> = moves.iter().map(|proposed| proposed.vm.clone()).collect();
    let mut proposed = moves;
    let reboots = next_reboots(fleet, &mut headroom);
    proposed.extend(
        reboots
            .into_iter()
            .filter(|proposed| !moving.contains(&proposed.vm)),
    );
    proposed
        .into_iter()
        .filter_map(|proposed| grant_request(fleet, view, proposed))
        .take(MAX_GRANTS_PER_RECORD)
        .map(Change::Grant)
        .collect()
}

fn grant_request(fleet: &Fleet, view: &View<'_>, proposed: ProposedGrant) -> Option<GrantRequest> {
    let holder = view.holder(&proposed.vm, &fleet.vms[&proposed.vm])?;
    Some(GrantRequest {
        vm: proposed.vm,
        base: proposed.base,
        purpose: proposed.purpose,
        holder,
        deadline: view.now + view.lease,
    })
}

/// Returns proposals to close the waves that have no pending VMs.
fn finished_waves(fleet: &Fleet) -> Vec<Change> {
    fleet
        .waves
        .iter()
        .filter(|(_, wave)| wave.state == WaveState::Running)
        .filter(|(_, wave)| progress(fleet, wave).pending() == 0)
        .map(|(id, _)| Change::Wave(WaveChange::Close(*id)))
        .collect()
}

/// The state of a VM as just read from the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmObservation {
    /// The number of boots so far.
    pub boot: u64,
    /// Whether the VM is up.
    pub up: bool,
    /// Whether the VM refuses new tasks.
    pub drained: bool,
    /// The number of tasks running on the VM.
    pub running: u32,
    /// The pool whose tasks the VM's worker accepts.
    pub pool: PoolId,
    /// The highest fencing token that the VM has received.
    pub token: Offset,
}

/// The observations of a grant's holder right before it acts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// The VM, or `None` if the platform no longer lists it.
    pub observation: Option<VmObservation>,
    /// The number of slots in the VM's pool that this entry observes as down and that the agreed state
    /// still counts as up.
    pub unrecorded_down: u32,
}

/// The next step in carrying out a grant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Nothing can be done now.
    Wait,
    /// The lease has expired, so that its holder must not act.
    LeaseExpired,
    /// The lease should be renewed first.
    Renew,
    /// Tell the platform to send no more tasks to the VM.
    Drain,
    /// Tell the platform to send tasks to the VM again.
    Undrain,
    /// Announce the call that cannot be undone.
    Begin,
    /// Tell the platform to reboot the VM if its number of boots is still this one.
    Reboot(u64),
    /// Tell the platform to take the VM back.
    Release,
    /// Tell the platform that the VM's worker serves another pool.
    Assign(PoolId),
    /// Record that the operation took effect, with the current number of boots.
    Finish(u64),
}

/// Returns the next step that `grant` allows for `vm`.
pub fn next_action(
    fleet: &Fleet,
    vm: &Vm,
    grant: &Grant,
    evidence: &Evidence,
    view: &View<'_>,
) -> Action {
    if grant.has_lease() {
        if view.now >= grant.deadline {
            return Action::LeaseExpired;
        }
        if view.now + view.lease / 2 > grant.deadline {
            return Action::Renew;
        }
    }
    let Some(observed) = &evidence.observation else {
        return on_unlisted(grant);
    };
    match grant.step {
        Step::Draining => on_draining(fleet, vm, grant, observed, evidence.unrecorded_down),
        Step::Begun => on_begun(grant, observed),
        // Only once this token has arrived does the platform refuse a drain call that is still in flight.
        Step::Returning if observed.drained || observed.token < grant.token => Action::Undrain,
        Step::Returning => Action::Finish(observed.boot),
    }
}

/// Returns whether a VM whose operation has begun is drained, or may be by a drain call that is still in flight: the
/// platform refuses it only once a call with a newer token than that of the drain has arrived. A token of the operation
/// suffices, whichever holder sent it.
fn may_be_drained(grant: &Grant, observed: &VmObservation) -> bool {
    observed.drained || observed.token <= grant.id
}

fn on_draining(
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
    if grant.purpose == GrantPurpose::Drain
        || !idle
        || would_exceed_budget(fleet, vm, unrecorded_down)
    {
        return Action::Wait;
    }
    Action::Begin
}

fn on_unlisted(grant: &Grant) -> Action {
    match grant.step {
        Step::Begun if grant.purpose == GrantPurpose::Release => Action::Finish(grant.boot),
        Step::Returning => Action::Finish(grant.boot),
        Step::Begun | Step::Draining => Action::Wait,
    }
}

fn on_begun(grant: &Grant, observed: &VmObservation) -> Action {
    match &grant.purpose {
        // A VM that is not up may be rebooting already, and a second call could only cause another reboot.
        GrantPurpose::Reboot if !observed.up => Action::Wait,
        GrantPurpose::Reboot if observed.boot == grant.boot => Action::Reboot(grant.boot),
        // The VM was booted by something else, such as a failure, and may have been drained since. Once the grant has
        // ended, it would no longer be charged.
        GrantPurpose::Reboot if may_be_drained(grant, observed) => Action::Undrain,
        GrantPurpose::Reboot => Action::Finish(observed.boot),
        GrantPurpose::Release => Action::Release,
        GrantPurpose::Move { to } if observed.pool != *to || may_be_drained(grant, observed) => {
            Action::Assign(to.clone())
        }
        GrantPurpose::Move { .. } => Action::Finish(observed.boot),
        GrantPurpose::Drain => Action::Wait,
    }
}

/// Returns whether failures that are not in the log yet would put the pool over its budget.
fn would_exceed_budget(fleet: &Fleet, vm: &Vm, unrecorded_down: u32) -> bool {
    fleet
        .headroom(&vm.pool)
        .map_or(true, |headroom| headroom < unrecorded_down)
}

impl Grant {
    /// Returns whether only the holder may act, and only until its deadline. Anyone may end a drain without
    /// harm, and an operator's drain lasts until an operator ends it.
    pub fn has_lease(&self) -> bool {
        self.purpose != GrantPurpose::Drain && self.step != Step::Returning
    }
}

/// Returns the token for a call that needs no grant, such as the end of a drain.
pub fn token_without_grant(vm: &Vm) -> Offset {
    vm.version
}
