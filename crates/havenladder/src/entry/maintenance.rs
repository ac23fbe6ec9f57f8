//! Takes VMs down for maintenance in waves, within each wave's bound and the disruption budgets of long-running
//! steps.

use super::{
    fleet::{ORDER_TIMEOUT, Vm, VmList},
    logs::kind,
    losses::abandon_worker,
    owner::Owner,
    vm_orders::{self, VmOperation, VmOrder},
    wave_status::publish,
};
use adapter::{
    cloud::{OrderOutcome, VmState},
    operator::{Wave, WaveState},
};
use clock::Instant;
use fleet::{WaveVmState, wave_headroom};
use jobs::{Disruption, Loss, Need, WorkerId};
use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};
use tracing::info;

/// Weight of a VM whose long-running tasks must not be interrupted now, where each run that would be lost weighs 1.
/// Such VMs go last, and they get no new runs while they wait.
const GUARDED_WEIGHT: usize = 1_000;

/// Maximum time for which a VM waits for its runs to end before it goes down.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(1_500);

/// First part of a wave's time in which busy VMs are deferred if jobs of their pool are waiting for capacity. A VM is
/// down for 2 s and a wave takes about 25 s, so the rest of the time is enough.
const DEFERRAL_SHARE: f64 = 0.4;

/// Interval between two rounds of log lines about the VMs that a wave is waiting for.
const LOG_INTERVAL: Duration = Duration::from_millis(3_000);

/// Progress of one wave.
#[derive(Default)]
struct Progress {
    /// When the wave started.
    started_at: Option<Instant>,
    /// VMs that have started their maintenance, or that are no longer listed.
    done: BTreeSet<String>,
    /// VMs that are or may be down: they were ordered down and have not been seen up with a new worker.
    down: BTreeMap<String, DownVm>,
    /// VMs whose workers get no new runs, with the time at which this began.
    draining: BTreeMap<String, Instant>,
    /// When the VMs that the wave is waiting for were last logged.
    last_logged: Option<Instant>,
    /// The state that was last published to operators.
    published: Option<WaveState>,
}

/// A VM that was ordered down.
struct DownVm {
    /// The worker that the VM had.
    worker: Option<WorkerId>,
    /// When the order was sent.
    since: Instant,
    /// When the platform reported that the order was carried out.
    answered: Option<Instant>,
    /// Whether the list of VMs has shown what happened to the worker.
    confirmed: bool,
}

/// The waves in progress.
#[derive(Default)]
pub struct Waves {
    /// Progress of each wave, by its number.
    progress: BTreeMap<u64, Progress>,
}

impl Waves {
    /// Returns whether any wave that operators requested has not succeeded yet.
    pub fn is_open(&self, owner: &Owner) -> bool {
        let in_force = owner.node.in_force.borrow();
        let mut requested = in_force.waves();
        requested.any(|wave| !self.has_succeeded(wave.number))
    }

    /// Returns whether a VM is down, or about to go down, for a wave.
    pub fn is_disrupting(&self, vm: &str) -> bool {
        let busy = |wave: &Progress| wave.draining.contains_key(vm) || wave.down.contains_key(vm);
        // A wave that has succeeded is not updated any more, so its last VMs would be included forever.
        let open = |wave: &&Progress| wave.published != Some(WaveState::Succeeded);
        self.progress.values().filter(open).any(busy)
    }

    /// Returns since when a VM has been down for a wave, or may have been, as the order was sent then.
    pub fn down_since(&self, vm: &str) -> Option<Instant> {
        let down = self.progress.values().filter_map(|wave| wave.down.get(vm));
        down.map(|down| down.since).max()
    }

    /// Returns whether the success of a wave has been published to operators.
    fn has_succeeded(&self, number: u64) -> bool {
        let progress = self.progress.get(&number);
        progress.is_some_and(|wave| wave.published == Some(WaveState::Succeeded))
    }

    /// Advances all waves. Returns whether the list of VMs must be read again because orders have changed it.
    pub async fn advance(&mut self, owner: &Rc<Owner>, vms: &VmList) -> bool {
        let waves: Vec<Wave> = owner.node.in_force.borrow().waves().cloned().collect();
        let mut changed = false;
        for wave in &waves {
            if self.has_succeeded(wave.number) {
                continue;
            }
            let progress = self.progress.entry(wave.number).or_default();
            changed |= advance(owner, wave, progress, vms).await;
        }
        changed
    }
}

/// Advances a wave. Returns whether the list of VMs must be read again because orders have changed it.
async fn advance(owner: &Rc<Owner>, wave: &Wave, progress: &mut Progress, vms: &VmList) -> bool {
    if progress.started_at.is_none() {
        progress.started_at = Some(Instant::now());
        progress.done = owner.cell.borrow().maintained_vms(wave.number);
        publish_state(owner, wave, progress, WaveState::Running).await;
    }
    confirm_orders(owner, progress, vms);
    remove_returned(progress, vms);
    for name in &wave.vms {
        if !vms.contains_key(name) {
            // A VM that is no longer listed needs no maintenance.
            progress.done.insert(name.clone());
        }
    }
    log_waiting(owner, wave, progress, vms);
    drain_next(owner, wave, progress, vms);
    owner.wake();
    order_maintenance(owner, wave, progress, vms).await;
    // A finished wave is not updated any more, so the runs of its last VMs must be dealt with first.
    let all = wave.vms.iter().all(|name| progress.done.contains(name));
    if all && progress.down.values().all(|down| down.confirmed) {
        publish_state(owner, wave, progress, WaveState::Succeeded).await;
    }
    let unconfirmed = |down: &DownVm| down.answered.is_some() && !down.confirmed;
    progress.down.values().any(unconfirmed)
}

/// Determines the effect of orders from the list of VMs. If a VM is not up with its earlier worker, that incarnation
/// of the worker has ended; if the maintenance had been done before the order, nothing changes.
fn confirm_orders(owner: &Rc<Owner>, progress: &mut Progress, vms: &VmList) {
    for (name, down) in progress.down.iter_mut().filter(|(_, down)| !down.confirmed) {
        let Some(vm) = vms.get(name) else {
            continue;
        };
        let same = vm.is_up_with(down.worker.as_ref());
        if same && !has_answered_since(owner, down) {
            continue;
        }
        down.confirmed = true;
        let Some(id) = &down.worker else { continue };
        if same {
            info!(target: kind::WORKER, vm = name, worker = %id, "the VM had already had its maintenance");
            owner.cell.borrow_mut().set_disrupted(id, false);
            owner.cell.borrow_mut().set_closed(id, false);
        } else {
            abandon_worker(owner, id, Loss::Ordered);
        }
        owner.wake();
    }
    progress.down.retain(|name, down| {
        let same = |vm: &Vm| vm.is_up_with(down.worker.as_ref());
        !(down.confirmed && vms.get(name).is_some_and(same))
    });
}

/// Returns whether the worker of a VM has responded since the platform reported its order as carried out, or has had
/// enough time to do so; the maintenance was then done earlier. The list alone does not show this, since the next
/// incarnation may already be back under the same id.
fn has_answered_since(owner: &Owner, down: &DownVm) -> bool {
    let Some(answered) = down.answered else {
        return false;
    };
    let cell = owner.cell.borrow();
    let worker = down.worker.as_ref().and_then(|id| cell.workers.get(id));
    let has_answered = worker.is_none_or(|worker| worker.last_seen.is_some_and(|at| at > answered));
    has_answered || answered.elapsed() >= ORDER_TIMEOUT
}

/// Removes VMs that are up again with a new worker, and those whose order was not carried out.
fn remove_returned(progress: &mut Progress, vms: &VmList) {
    progress.down.retain(|name, down| {
        let Some(vm) = vms.get(name) else {
            return false;
        };
        let back = vm.state == VmState::Up && !vm.is_up_with(down.worker.as_ref());
        // An order without a response that has shown no effect for this long was not carried out.
        let not_executed = down.answered.is_none()
            && vm.state == VmState::Up
            && down.since.elapsed() >= ORDER_TIMEOUT;
        !back && !not_executed
    });
}

/// Logs from time to time which VMs a wave is waiting for, and why.
fn log_waiting(owner: &Owner, wave: &Wave, progress: &mut Progress, vms: &VmList) {
    let last = progress.last_logged.get_or_insert_with(Instant::now);
    if last.elapsed() < LOG_INTERVAL {
        return;
    }
    *last = Instant::now();
    let cell = owner.cell.borrow();
    for name in wave
        .vms
        .iter()
        .filter(|name| !progress.done.contains(*name))
    {
        let Some(vm) = vms.get(name) else { continue };
        let cost = vm.worker.as_deref().map(|id| cell.disruption(id));
        let (closing, down) = (
            progress.draining.contains_key(name),
            progress.down.contains_key(name),
        );
        info!(
            target: kind::WORKER,
            wave = wave.number,
            vm = name,
            worker = vm.worker.as_deref(),
            state = ?vm.state,
            ?cost,
            closing,
            down,
            "wave is waiting for a VM"
        );
    }
}

/// Returns how many more VMs of a wave may go down now.
fn remaining_disruptions(owner: &Owner, wave: &Wave, progress: &Progress, vms: &VmList) -> usize {
    let wave_vm_state = |name: &String| match vms.get(name).map(|vm| vm.state) {
        _ if progress.down.contains_key(name) => WaveVmState::Ordered,
        // A VM in an unknown state counts against the bound.
        Some(VmState::Upkeep | VmState::Down | VmState::Other) => WaveVmState::Down,
        Some(VmState::Up) if owner.has_unconfirmed_order(name) => WaveVmState::Unconfirmed,
        Some(VmState::Up | VmState::Moving) | None => WaveVmState::Up,
    };
    wave_headroom(wave.max_down, wave.vms.iter().map(wave_vm_state))
}

/// Starts to drain the VMs that go down next: those with the least weight, as many as the bound allows and one more.
fn drain_next(owner: &Owner, wave: &Wave, progress: &mut Progress, vms: &VmList) {
    let remaining = remaining_disruptions(owner, wave, progress, vms);
    let is_up = |name: &String| vms.get(name).is_some_and(|vm| vm.state == VmState::Up);
    progress.draining.retain(|name, _| is_up(name));
    let waits = |name: &&String| {
        !progress.done.contains(*name)
            && !progress.draining.contains_key(*name)
            && !progress.down.contains_key(*name)
            && is_up(name)
    };
    let waiting = wave.vms.iter().filter(waits);
    // Maintenance that an earlier owner ordered may begin at any time, and an order of this owner replaces it.
    let mut next: Vec<(bool, usize, &String)> = waiting
        .map(|name| {
            let weight = weight(disruption(owner, &vms[name]));
            (!owner.has_pending_maintenance(name), weight, name)
        })
        .collect();
    next.sort();
    // One VM beyond the bound is drained in advance.
    let wanted = remaining
        .saturating_add(1)
        .saturating_sub(progress.draining.len());
    for (.., name) in next.into_iter().take(wanted) {
        if let Some(id) = &vms[name].worker {
            let mut cell = owner.cell.borrow_mut();
            cell.set_closed(id, true);
            cell.drain_worker(id, Instant::now());
        }
        progress.draining.insert(name.clone(), Instant::now());
    }
}

/// Returns the weight of a VM in the order of disruption. VMs with the lowest weight go first.
fn weight(cost: Disruption) -> usize {
    match cost {
        Disruption::Free => 0,
        Disruption::Busy(runs) => 1 + runs,
        Disruption::Guarded => GUARDED_WEIGHT,
    }
}

/// Returns whether a VM with runs may be deferred until its pool is less busy. This holds in the first part of a
/// wave's time, while jobs of the pool are waiting for capacity.
fn may_defer(owner: &Owner, wave: &Wave, progress: &Progress, vm: &Vm) -> bool {
    let early = progress
        .started_at
        .is_some_and(|started| started.elapsed() < wave.time_limit().mul_f64(DEFERRAL_SHARE));
    early && owner.cell.borrow().demand(&vm.pool).waiting != Need::default()
}

/// Orders maintenance for drained VMs whose runs may be interrupted now, as many as the bound and the order rate
/// allow.
async fn order_maintenance(owner: &Rc<Owner>, wave: &Wave, progress: &mut Progress, vms: &VmList) {
    let mut remaining = remaining_disruptions(owner, wave, progress, vms);
    let max_orders = vm_orders::available(owner);
    let draining: Vec<String> = progress.draining.keys().cloned().collect();
    let mut ready: Vec<&Vm> = Vec::new();
    for vm in draining.iter().filter_map(|name| vms.get(name)) {
        // A VM whose maintenance may begin anyway is counted as unconfirmed already.
        let counted = owner.has_pending_maintenance(&vm.name);
        let allowed = (counted || remaining > 0) && ready.len() < max_orders;
        if allowed && may_take_down(owner, wave, progress, vm) {
            ready.push(vm);
            remaining -= usize::from(!counted);
        }
    }
    let names: Vec<&str> = ready.iter().map(|vm| vm.name.as_str()).collect();
    if names.is_empty() || !owner.claim_for_maintenance(&names).await {
        return;
    }
    // Runs may have changed while the record was being written, and each VM that goes down uses up disruption
    // budgets.
    let mut orders = Vec::new();
    for vm in &ready {
        if disruption(owner, vm) != Disruption::Guarded {
            orders.push(begin_order(owner, wave, progress, vm));
        } else {
            owner.withdraw_maintenance(&[vm.name.as_str()]);
        }
    }
    ready.retain(|vm| progress.down.contains_key(&vm.name));
    let outcomes = vm_orders::send_all(owner, orders).await;
    for (vm, outcome) in ready.into_iter().zip(outcomes) {
        apply_outcome(owner, wave, progress, vm, outcome);
    }
}

/// Returns whether a VM may go down now. If its long-running tasks must not be interrupted, starts to move them away.
fn may_take_down(owner: &Rc<Owner>, wave: &Wave, progress: &mut Progress, vm: &Vm) -> bool {
    let drained = progress.draining[&vm.name].elapsed() >= DRAIN_TIMEOUT;
    match disruption(owner, vm) {
        _ if owner.must_skip(&vm.name) => false,
        Disruption::Free => true,
        Disruption::Busy(_) => drained && !may_defer(owner, wave, progress, vm),
        Disruption::Guarded => {
            relieve_guarded(owner, progress, vm, drained);
            false
        }
    }
}

/// Returns the disruption that taking a VM down would cause now.
fn disruption(owner: &Owner, vm: &Vm) -> Disruption {
    let worker = vm.worker.as_deref();
    worker.map_or(Disruption::Free, |id| owner.cell.borrow().disruption(id))
}

/// Moves long-running tasks off a VM where they must not be interrupted now, or puts the VM back into use.
fn relieve_guarded(owner: &Rc<Owner>, progress: &mut Progress, vm: &Vm, drained: bool) {
    // If the VM runs several tasks of a long-running step, they are moved one by one.
    if let Some(id) = &vm.worker
        && owner.cell.borrow_mut().shed(id) > 0
    {
        return owner.wake();
    }
    // Another VM may go first; this one is put back into use in the meantime.
    if drained {
        progress.draining.remove(&vm.name);
        if let Some(id) = &vm.worker {
            owner.cell.borrow_mut().set_closed(id, false);
        }
    }
}

/// Builds the order that takes a VM down. The VM's worker gets no new runs from now on.
fn begin_order(owner: &Owner, wave: &Wave, progress: &mut Progress, vm: &Vm) -> VmOrder {
    if let Some(id) = &vm.worker {
        owner.cell.borrow_mut().set_disrupted(id, true);
    }
    let down = DownVm {
        worker: vm.worker.clone(),
        since: Instant::now(),
        answered: None,
        confirmed: false,
    };
    progress.down.insert(vm.name.clone(), down);
    progress.draining.remove(&vm.name);
    VmOrder {
        vm: vm.name.clone(),
        operation: VmOperation::Upkeep(wave.number),
    }
}

/// Applies what the response to an order shows about the VM.
fn apply_outcome(
    owner: &Rc<Owner>,
    wave: &Wave,
    progress: &mut Progress,
    vm: &Vm,
    outcome: Option<OrderOutcome>,
) {
    match outcome {
        Some(OrderOutcome::Done) => owner.cell.borrow_mut().settle_maintenance(&vm.name),
        Some(_) => owner.withdraw_maintenance(&[vm.name.as_str()]),
        None => {}
    }
    match outcome {
        Some(OrderOutcome::Done) => {
            progress.done.insert(vm.name.clone());
            owner
                .cell
                .borrow_mut()
                .record_maintenance(wave.number, &vm.name);
            owner.wake();
            if let Some(down) = progress.down.get_mut(&vm.name) {
                down.answered = Some(Instant::now());
            }
        }
        Some(OrderOutcome::Fenced) => owner.end("a newer owner gave orders for a VM"),
        Some(OrderOutcome::Busy | OrderOutcome::Later | OrderOutcome::Rejected) => {
            progress.down.remove(&vm.name);
            if let Some(id) = &vm.worker {
                let mut cell = owner.cell.borrow_mut();
                cell.set_disrupted(id, false);
                cell.set_closed(id, false);
            }
        }
        // The order may still be carried out at any time: the VM counts as down until the list shows otherwise.
        None => {}
    }
}

/// Publishes the state of a wave to operators. If this fails for the final state, the next round retries it.
async fn publish_state(owner: &Owner, wave: &Wave, progress: &mut Progress, state: WaveState) {
    if publish(owner, wave.number, state).await {
        progress.published = Some(state);
    }
}
