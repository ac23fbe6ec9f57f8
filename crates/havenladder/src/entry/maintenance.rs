//! Takes VMs through waves of upkeep, within their bounds and the budgets of lasting steps.

use super::{
    fleet::{ORDER_TIMEOUT, Vm, VmList},
    losses::abandon_worker,
    owner::Owner,
    vm_orders::{self, VmOperation, VmOrder},
    wave_status::publish,
};
use adapter::{
    cloud::{Ordered, VmState},
    operator::{Wave, WaveState},
};
use clock::Instant;
use fleet::{Whereabouts, room_to_go};
use jobs::{Loss, Need, Takeout, WorkerId};
use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};
use tracing::info;

/// What a VM weighs whose lasting tasks cannot be away now, against one run that is thrown away: such
/// VMs go last, and while they wait to go they get nothing new.
const GUARDED_WEIGHT: usize = 1_000;

/// How long a VM that is to go may wait for its runs to end.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Part of a wave's time in which VMs of a pool whose jobs wait for room are spared. A VM is down for
/// 2 s and a wave takes some 25 s, so that what is left suffices.
const DEFERRAL_SHARE: f64 = 0.4;

/// Time between two log lines about what a wave waits for.
const LOG_INTERVAL: Duration = Duration::from_millis(3_000);

/// How far one wave is.
#[derive(Default)]
struct WaveProgress {
    /// When its first step was taken.
    started_at: Option<Instant>,
    /// VMs that have begun their upkeep, or have left.
    done: BTreeSet<String>,
    /// VMs that are down, or may be: told to go, and not seen up again with another worker.
    down: BTreeMap<String, DownVm>,
    /// VMs whose workers get no new runs, and since when.
    draining: BTreeMap<String, Instant>,
    /// When it was last told which VMs the wave waits for.
    last_logged: Option<Instant>,
    /// What operators have been told.
    published: Option<WaveState>,
}

/// A VM that was told to go down.
struct DownVm {
    /// The worker that it had.
    worker: Option<WorkerId>,
    /// When the order was sent.
    since: Instant,
    /// When the platform said that the order is carried out.
    answered: Option<Instant>,
    /// Whether the list has shown what became of the worker.
    confirmed: bool,
}

/// The waves that are under way.
#[derive(Default)]
pub struct Waves {
    /// How far each is, by its number.
    progress: BTreeMap<u64, WaveProgress>,
}

impl Waves {
    /// Whether a wave that operators asked for has not succeeded.
    pub fn is_open(&self, owner: &Owner) -> bool {
        let in_force = owner.node.in_force.borrow();
        let mut asked = in_force.waves();
        asked.any(|wave| !self.has_succeeded(wave.number))
    }

    /// Whether a VM is about to go down, or is down.
    pub fn is_disrupting(&self, vm: &str) -> bool {
        let busy = |progress: &WaveProgress| {
            progress.draining.contains_key(vm) || progress.down.contains_key(vm)
        };
        // A wave that has succeeded is not looked at again, and would hold its last VMs for ever.
        let open = |c: &&WaveProgress| c.published != Some(WaveState::Succeeded);
        self.progress.values().filter(open).any(busy)
    }

    /// Whether operators have been told that a wave has succeeded.
    fn has_succeeded(&self, number: u64) -> bool {
        let progress = self.progress.get(&number);
        progress.is_some_and(|c| c.published == Some(WaveState::Succeeded))
    }

    /// Takes the next steps of all waves; true if the list of VMs has changed by that.
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

/// Takes the next steps of a wave; true if the list of VMs has changed by that.
async fn advance(
    owner: &Rc<Owner>,
    wave: &Wave,
    progress: &mut WaveProgress,
    vms: &VmList,
) -> bool {
    if progress.started_at.is_none() {
        progress.started_at = Some(Instant::now());
        progress.done = owner.cell.borrow().upkept(wave.number);
        publish_state(owner, wave, progress, WaveState::Running).await;
    }
    confirm_orders(owner, progress, vms);
    remove_returned(progress, vms);
    for name in &wave.vms {
        if !vms.contains_key(name) {
            // It has left: there is nothing to do for it.
            progress.done.insert(name.clone());
        }
    }
    log_waiting(owner, wave, progress, vms);
    drain_next(owner, wave, progress, vms);
    owner.wake();
    order_maintenance(owner, wave, progress, vms).await;
    // A wave that is over is not looked at again: what its last VM carried must be dealt with first.
    let all = wave.vms.iter().all(|name| progress.done.contains(name));
    if all && progress.down.values().all(|down| down.confirmed) {
        publish_state(owner, wave, progress, WaveState::Succeeded).await;
    }
    let unconfirmed = |down: &DownVm| down.answered.is_some() && !down.confirmed;
    progress.down.values().any(unconfirmed)
}

/// Draws from the list what an order did: where the VM is not up with the worker that it had, that
/// worker's life is over. An order that had been carried out before changes nothing.
fn confirm_orders(owner: &Rc<Owner>, progress: &mut WaveProgress, vms: &VmList) {
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
            info!(vm = name, worker = %id, "the VM had already had its maintenance");
            owner.cell.borrow_mut().take_worker(id, false);
            owner.cell.borrow_mut().close_worker(id, false);
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

/// Whether the worker of a VM that was told to go down has answered since the platform said that this is done: then the
/// VM had had its upkeep before. A list that shows the VM up with its worker does not tell that, since the next life
/// may be back under the same id.
fn has_answered_since(owner: &Owner, down: &DownVm) -> bool {
    let Some(answered) = down.answered else {
        return false;
    };
    let cell = owner.cell.borrow();
    let worker = down.worker.as_ref().and_then(|id| cell.workers.get(id));
    let has_answered = worker.is_none_or(|worker| {
        worker
            .heard
            .is_some_and(|last_answer| last_answer > answered)
    });
    has_answered || answered.elapsed() >= ORDER_TIMEOUT
}

/// Notes VMs that are up again with a new worker.
fn remove_returned(progress: &mut WaveProgress, vms: &VmList) {
    progress.down.retain(|name, down| {
        let Some(vm) = vms.get(name) else {
            return false;
        };
        let back = vm.state == VmState::Up && !vm.is_up_with(down.worker.as_ref());
        // An order without an answer that shows nothing for so long was not carried out.
        let not_executed = down.answered.is_none()
            && vm.state == VmState::Up
            && down.since.elapsed() >= ORDER_TIMEOUT;
        !back && !not_executed
    });
}

/// Tells now and then which VMs a wave waits for, and what keeps them.
fn log_waiting(owner: &Owner, wave: &Wave, progress: &mut WaveProgress, vms: &VmList) {
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
        let cost = vm.worker.as_deref().map(|id| cell.takeout(id));
        let (closing, down) = (
            progress.draining.contains_key(name),
            progress.down.contains_key(name),
        );
        info!(wave = wave.number, vm = name, worker = vm.worker.as_deref(), state = ?vm.state, ?cost, closing, down, "wave is waiting for a VM");
    }
}

/// How many more VMs of a wave may go down now.
fn remaining_disruptions(
    owner: &Owner,
    wave: &Wave,
    progress: &WaveProgress,
    vms: &VmList,
) -> usize {
    let whereabouts = |name: &String| match vms.get(name).map(|vm| vm.state) {
        _ if progress.down.contains_key(name) => Whereabouts::Told,
        // One in a state that is not known is counted against the bound.
        Some(VmState::Upkeep | VmState::Down | VmState::Other) => Whereabouts::Down,
        Some(VmState::Up) if owner.is_doubtful(name) => Whereabouts::Doubtful,
        Some(VmState::Up | VmState::Moving) | None => Whereabouts::Up,
    };
    room_to_go(wave.most, wave.vms.iter().map(whereabouts))
}

/// Chooses the VMs to go next: those that carry the least, as many as the bound has room for.
fn drain_next(owner: &Owner, wave: &Wave, progress: &mut WaveProgress, vms: &VmList) {
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
    let mut next: Vec<(usize, &String)> = waiting
        .map(|name| (weight(disruption(owner, &vms[name])), name))
        .collect();
    next.sort();
    // One more than there is room for drains already.
    let wanted = (remaining + 1).saturating_sub(progress.draining.len());
    for (_, name) in next.into_iter().take(wanted) {
        if let Some(id) = &vms[name].worker {
            let mut cell = owner.cell.borrow_mut();
            cell.close_worker(id, true);
            cell.evacuate(id, Instant::now());
        }
        progress.draining.insert(name.clone(), Instant::now());
    }
}

/// What a VM weighs in the order in which VMs go; the lowest goes first.
fn weight(cost: Takeout) -> usize {
    match cost {
        Takeout::Free => 0,
        Takeout::Busy(runs) => 1 + runs,
        Takeout::Guarded => GUARDED_WEIGHT,
    }
}

/// Whether a VM with runs may wait for its pool to be quieter: in the first part of a wave's time, while
/// jobs of its pool wait for room.
fn may_defer(owner: &Owner, wave: &Wave, progress: &WaveProgress, vm: &Vm) -> bool {
    let early = progress
        .started_at
        .is_some_and(|started| started.elapsed() < wave.span().mul_f64(DEFERRAL_SHARE));
    early && owner.cell.borrow().demand(&vm.pool).waiting != Need::default()
}

/// Takes VMs down, as many as the bound has room for, where what they carry may be away now.
async fn order_maintenance(
    owner: &Rc<Owner>,
    wave: &Wave,
    progress: &mut WaveProgress,
    vms: &VmList,
) {
    let max_orders =
        remaining_disruptions(owner, wave, progress, vms).min(vm_orders::available(owner));
    let draining: Vec<String> = progress.draining.keys().cloned().collect();
    let mut ready: Vec<&Vm> = Vec::new();
    for vm in draining.iter().filter_map(|name| vms.get(name)) {
        if ready.len() < max_orders && may_take_down(owner, wave, progress, vm) {
            ready.push(vm);
        }
    }
    let names: Vec<&str> = ready.iter().map(|vm| vm.name.as_str()).collect();
    if names.is_empty() || !owner.claim_vms(&names).await {
        return;
    }
    // What they carry may have changed while the record was written, and each that goes uses up budgets.
    let mut orders = Vec::new();
    for vm in &ready {
        if disruption(owner, vm) != Takeout::Guarded {
            orders.push(begin_order(owner, wave, progress, vm));
        }
    }
    ready.retain(|vm| progress.down.contains_key(&vm.name));
    let outcomes = vm_orders::send_all(owner, orders).await;
    for (vm, outcome) in ready.into_iter().zip(outcomes) {
        apply_outcome(owner, wave, progress, vm, outcome);
    }
}

/// Whether a VM may go down now; one whose lasting tasks cannot be away is relieved of them.
fn may_take_down(owner: &Rc<Owner>, wave: &Wave, progress: &mut WaveProgress, vm: &Vm) -> bool {
    let drained = progress.draining[&vm.name].elapsed() >= DRAIN_TIMEOUT;
    match disruption(owner, vm) {
        _ if owner.must_spare(&vm.name) => false,
        Takeout::Free => true,
        Takeout::Busy(_) => drained && !may_defer(owner, wave, progress, vm),
        Takeout::Guarded => {
            relieve_guarded(owner, progress, vm, drained);
            false
        }
    }
}

/// What it costs to take a VM down now.
fn disruption(owner: &Owner, vm: &Vm) -> Takeout {
    let worker = vm.worker.as_deref();
    worker.map_or(Takeout::Free, |id| owner.cell.borrow().takeout(id))
}

/// Deals with a VM whose lasting tasks cannot be away now.
fn relieve_guarded(owner: &Rc<Owner>, progress: &mut WaveProgress, vm: &Vm, drained: bool) {
    // Its lasting tasks are moved one by one where it has several of a step.
    if let Some(id) = &vm.worker
        && owner.cell.borrow_mut().shed(id) > 0
    {
        return owner.wake();
    }
    // Another VM may go first; this one is used meanwhile.
    if drained {
        progress.draining.remove(&vm.name);
        if let Some(id) = &vm.worker {
            owner.cell.borrow_mut().close_worker(id, false);
        }
    }
}

/// Begins to take a VM down. Its worker gets nothing more from now on.
fn begin_order(owner: &Owner, wave: &Wave, progress: &mut WaveProgress, vm: &Vm) -> VmOrder {
    if let Some(id) = &vm.worker {
        owner.cell.borrow_mut().take_worker(id, true);
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

/// Draws from the answer to an order what is certain about the VM.
fn apply_outcome(
    owner: &Rc<Owner>,
    wave: &Wave,
    progress: &mut WaveProgress,
    vm: &Vm,
    outcome: Option<Ordered>,
) {
    match outcome {
        Some(Ordered::Done) => {
            progress.done.insert(vm.name.clone());
            owner.cell.borrow_mut().note_upkeep(wave.number, &vm.name);
            owner.wake();
            if let Some(down) = progress.down.get_mut(&vm.name) {
                down.answered = Some(Instant::now());
            }
        }
        Some(Ordered::Fenced) => owner.end("a newer owner gave orders for a VM"),
        Some(Ordered::Busy | Ordered::Later | Ordered::Rejected) => {
            progress.down.remove(&vm.name);
            if let Some(id) = &vm.worker {
                let mut cell = owner.cell.borrow_mut();
                cell.take_worker(id, false);
                cell.close_worker(id, false);
            }
        }
        // It may be carried out at any moment: the VM counts as down until the list tells.
        None => {}
    }
}

/// Tells operators how far a wave is. An end that was not taken is told again with the next look.
async fn publish_state(owner: &Owner, wave: &Wave, progress: &mut WaveProgress, state: WaveState) {
    if publish(owner, wave.number, state).await {
        progress.published = Some(state);
    }
}
