//! The duty that plans errands and carries out those whose leases this entry holds.

mod strays;

use crate::{
    context::Context,
    propose::{ProposeError, propose},
};
use fleet::{
    Action, Change, Evidence, Fleet, Grant, LeaseRequest, Outcome, Sight, View, Vm, next_action,
    plan,
};
use platform::{VmCall, VmInfo, Vms};
use protocol::{EntryId, HallId, Offset, VmId};
use std::{
    collections::BTreeMap,
    sync::Arc,
    thread::sleep,
    time::{Duration, Instant, SystemTime},
};

/// Time after which a plan is made anew although nothing has changed: leases end by time alone.
const REPLAN: Duration = Duration::from_secs(1);

/// A VM with an errand that falls to this entry.
struct Task {
    id: VmId,
    vm: Vm,
    grant: Grant,
}

/// Plans and carries out until the process ends.
pub fn steward(ctx: &Arc<Context>) {
    let mut planned = Planned::default();
    loop {
        let next = Instant::now() + ctx.config.steward.interval;
        if ctx.fleet.is_loaded() && ctx.reaches_log() {
            round(ctx, &mut planned);
        }
        let left = next.saturating_duration_since(Instant::now());
        let seen = ctx.fleet.get().next;
        // A new record may be a grant; it is not left waiting for the next round.
        ctx.fleet.wait(Instant::now() + left, |next| next > seen);
        sleep(Duration::from_millis(1));
    }
}

/// What the last plan was made from.
#[derive(Default)]
struct Planned {
    next: Offset,
    members: BTreeMap<EntryId, HallId>,
    stale: Option<Instant>,
}

impl Planned {
    /// Tells whether a new plan could come to anything else, and notes that it is made now.
    fn is_due(&mut self, next: Offset, members: &BTreeMap<EntryId, HallId>) -> bool {
        let now = Instant::now();
        let is_fresh = self.stale.is_some_and(|stale| now < stale);
        if is_fresh && self.next == next && self.members == *members {
            return false;
        }
        *self = Self {
            next,
            members: members.clone(),
            stale: Some(now + REPLAN),
        };
        true
    }
}

fn round(ctx: &Context, planned: &mut Planned) {
    let members = ctx.peers.members(&ctx.config, true);
    let next = ctx.fleet.get().next;
    if planned.is_due(next, &members) {
        let changes = plan(&ctx.fleet.get(), &view(ctx, &members));
        if !changes.is_empty() {
            submit(ctx, changes);
        }
    }
    for task in tasks(ctx, &members) {
        work(ctx, &members, &task);
    }
    for (id, vm) in strays::strays(ctx, &members) {
        strays::settle_stray(ctx, &id, &vm);
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

/// Proposes changes and logs what was decided; tells whether all of them took effect.
fn submit(ctx: &Context, changes: Vec<Change>) -> bool {
    match propose(ctx, changes.clone()) {
        Ok(decided) => {
            for (change, outcome) in changes.iter().zip(&decided.outcomes) {
                tracing::info!(offset = decided.offset, ?change, ?outcome, "decided");
            }
            decided.outcomes.iter().all(|one| *one == Outcome::Applied)
        }
        Err(error @ (ProposeError::NotTaken(_) | ProposeError::Unknown)) => {
            tracing::warn!(%error, "could not propose");
            false
        }
    }
}

/// Errands whose leases this entry holds. What needs no lease falls to the first live entry of the
/// hall.
fn tasks(ctx: &Context, members: &BTreeMap<EntryId, HallId>) -> Vec<Task> {
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
        .map(|(id, vm, grant)| Task {
            id: id.clone(),
            vm: vm.clone(),
            grant: grant.clone(),
        })
        .collect()
}

fn work(ctx: &Context, members: &BTreeMap<EntryId, HallId>, task: &Task) {
    let info = match ctx.platform.look(&task.id) {
        Ok(info) => info,
        Err(error) => {
            tracing::warn!(vm = %task.id, %error, "could not look at the VM");
            return;
        }
    };
    let action = {
        let fleet = ctx.fleet.get();
        let evidence = Evidence {
            sight: info.as_ref().map(sight),
            unseen: unseen(ctx, &fleet, &task.vm),
        };
        next_action(
            &fleet,
            &task.vm,
            &task.grant,
            &evidence,
            &view(ctx, members),
        )
    };
    carry_out(ctx, task, action);
}

fn carry_out(ctx: &Context, task: &Task, action: Action) {
    let token = task.grant.token;
    let (vm, grant) = (task.id.clone(), task.grant.id);
    match action {
        Action::Wait => {}
        Action::Lapsed => tracing::warn!(%vm, grant, "the lease has ended; not acting"),
        Action::Renew => {
            submit(ctx, vec![renewal(ctx, task)]);
        }
        Action::Drain => call(ctx, task, &VmCall::Drain { token }),
        Action::Undrain => call(ctx, task, &VmCall::Undrain { token }),
        Action::Begin => {
            submit(ctx, vec![Change::Begin { vm, grant }]);
        }
        Action::Reboot(boot) => call(ctx, task, &VmCall::Reboot { token, boot }),
        Action::Release => call(ctx, task, &VmCall::Release { token }),
        Action::Assign(pool) => call(ctx, task, &VmCall::Assign { token, pool }),
        Action::Finish(boot) => {
            submit(ctx, vec![Change::Finish { vm, grant, boot }]);
        }
    }
}

fn renewal(ctx: &Context, task: &Task) -> Change {
    Change::Lease(LeaseRequest {
        vm: task.id.clone(),
        grant: task.grant.id,
        holder: ctx.config.entry.name.clone(),
        deadline: SystemTime::now() + ctx.config.steward.lease,
    })
}

/// Calls the platform; the last thing before the call is a look at the clock, so that a process
/// that was frozen over its lease does nothing.
fn call(ctx: &Context, task: &Task, call: &VmCall) {
    if task.grant.has_lease() && SystemTime::now() >= task.grant.deadline {
        tracing::warn!(vm = %task.id, ?call, "the lease ended before the call; not calling");
        return;
    }
    match ctx.platform.call(&task.id, call) {
        Ok(()) => tracing::info!(vm = %task.id, ?call, "called"),
        // The next round looks at what became of it.
        Err(error) => tracing::warn!(vm = %task.id, ?call, %error, "call failed"),
    }
}

fn sight(info: &VmInfo) -> Sight {
    Sight {
        boot: info.boot,
        up: info.up,
        drained: info.drained,
        running: info.running,
        pool: info.pool.clone(),
        token: info.token,
    }
}

/// Slots of the VM's pool that this entry finds silent and the agreed state still counts as up.
fn unseen(ctx: &Context, fleet: &Fleet, vm: &Vm) -> u32 {
    let unfit = ctx.observations.unfit();
    unfit
        .iter()
        .filter_map(|id| fleet.vms.get(id))
        .filter(|other| other.pool == vm.pool && other.is_available())
        .map(|other| other.slots)
        .sum()
}
