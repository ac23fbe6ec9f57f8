//! Takes VMs through waves of upkeep, within their bounds and the budgets of lasting steps.

use super::{
    fleet::{ORDER_LOST, Vm, VmList},
    losses::give_up,
    owner::Owner,
    vm_orders::{self, Errand, VmOrder},
    wave_status::publish,
};
use adapter::{
    cloud::{OrderOutcome, VmState},
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
const GUARDED: usize = 1_000;

/// How long a VM that is to go may wait for its runs to end.
const DRAIN: Duration = Duration::from_millis(1_500);

/// Part of a wave's time in which VMs of a pool whose jobs wait for room are spared. A VM is down for
/// 2 s and a wave takes some 25 s, so that what is left suffices.
const SPARED_SHARE: f64 = 0.4;

/// Time between two log lines about what a wave waits for.
const LOG_INTERVAL: Duration = Duration::from_millis(3_000);

/// How far one wave is.
#[derive(Default)]
struct Course {
    /// When its first step was taken.
    began: Option<Instant>,
    /// VMs that have begun their upkeep, or have left.
    done: BTreeSet<String>,
    /// VMs that are down, or may be: told to go, and not seen up again with another worker.
    down: BTreeMap<String, Down>,
    /// VMs whose workers get no new runs, and since when.
    closing: BTreeMap<String, Instant>,
    /// When it was last told which VMs the wave waits for.
    complained: Option<Instant>,
    /// What operators have been told.
    said: Option<WaveState>,
}

/// A VM that was told to go down.
struct Down {
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
    courses: BTreeMap<u64, Course>,
}

impl Waves {
    /// Whether a wave that operators asked for has not succeeded.
    pub fn is_open(&self, owner: &Owner) -> bool {
        let in_force = owner.node.in_force.borrow();
        let mut asked = in_force.waves();
        asked.any(|wave| !self.has_succeeded(wave.number))
    }

    /// Whether a VM is about to go down, or is down.
    pub fn holds(&self, vm: &str) -> bool {
        let busy = |c: &Course| c.closing.contains_key(vm) || c.down.contains_key(vm);
        // A wave that has succeeded is not looked at again, and would hold its last VMs for ever.
        let open = |c: &&Course| c.said != Some(WaveState::Succeeded);
        self.courses.values().filter(open).any(busy)
    }

    /// Whether operators have been told that a wave has succeeded.
    fn has_succeeded(&self, number: u64) -> bool {
        let course = self.courses.get(&number);
        course.is_some_and(|c| c.said == Some(WaveState::Succeeded))
    }

    /// Takes the next steps of all waves; true if the list of VMs has changed by that.
    pub async fn advance(&mut self, owner: &Rc<Owner>, vms: &VmList) -> bool {
        let waves: Vec<Wave> = owner.node.in_force.borrow().waves().cloned().collect();
        let mut changed = false;
        for wave in &waves {
            if self.has_succeeded(wave.number) {
                continue;
            }
            let course = self.courses.entry(wave.number).or_default();
            changed |= advance(owner, wave, course, vms).await;
        }
        changed
    }
}

/// Takes the next steps of a wave; true if the list of VMs has changed by that.
async fn advance(owner: &Rc<Owner>, wave: &Wave, course: &mut Course, vms: &VmList) -> bool {
    if course.began.is_none() {
        course.began = Some(Instant::now());
        course.done = owner.cell.borrow().upkept(wave.number);
        say(owner, wave, course, WaveState::Running).await;
    }
    confirm(owner, course, vms);
    see_returned(course, vms);
    for name in &wave.vms {
        if !vms.contains_key(name) {
            // It has left: there is nothing to do for it.
            course.done.insert(name.clone());
        }
    }
    complain(owner, wave, course, vms);
    close_next(owner, wave, course, vms);
    owner.wake();
    take_down(owner, wave, course, vms).await;
    // A wave that is over is not looked at again: what its last VM carried must be dealt with first.
    let all = wave.vms.iter().all(|name| course.done.contains(name));
    if all && course.down.values().all(|down| down.confirmed) {
        say(owner, wave, course, WaveState::Succeeded).await;
    }
    let unconfirmed = |down: &Down| down.answered.is_some() && !down.confirmed;
    course.down.values().any(unconfirmed)
}

/// Draws from the list what an order did: where the VM is not up with the worker that it had, that
/// worker's life is over. An order that had been carried out before changes nothing.
fn confirm(owner: &Rc<Owner>, course: &mut Course, vms: &VmList) {
    for (name, down) in course.down.iter_mut().filter(|(_, down)| !down.confirmed) {
        let Some(vm) = vms.get(name) else {
            continue;
        };
        let same = vm.is_up_with(down.worker.as_ref());
        if same && !is_there_since(owner, down) {
            continue;
        }
        down.confirmed = true;
        let Some(id) = &down.worker else { continue };
        if same {
            info!(vm = name, worker = %id, "the VM had had its upkeep before");
            owner.cell.borrow_mut().take_worker(id, false);
            owner.cell.borrow_mut().close_worker(id, false);
        } else {
            give_up(owner, id, Loss::Ordered);
        }
        owner.wake();
    }
    course.down.retain(|name, down| {
        let same = |vm: &Vm| vm.is_up_with(down.worker.as_ref());
        !(down.confirmed && vms.get(name).is_some_and(same))
    });
}

/// Whether the worker of a VM that was told to go down has answered since the platform said that this is done: then the
/// VM had had its upkeep before. A list that shows the VM up with its worker does not tell that, since the next life
/// may be back under the same id.
fn is_there_since(owner: &Owner, down: &Down) -> bool {
    let Some(answered) = down.answered else {
        return false;
    };
    let cell = owner.cell.borrow();
    let worker = down.worker.as_ref().and_then(|id| cell.workers.get(id));
    let heard = worker.is_none_or(|worker| worker.heard.is_some_and(|heard| heard > answered));
    heard || answered.elapsed() >= ORDER_LOST
}

/// Notes VMs that are up again with a new worker.
fn see_returned(course: &mut Course, vms: &VmList) {
    course.down.retain(|name, down| {
        let Some(vm) = vms.get(name) else {
            return false;
        };
        let back = vm.state == VmState::Up && !vm.is_up_with(down.worker.as_ref());
        // An order without an answer that shows nothing for so long was not carried out.
        let never = down.answered.is_none()
            && vm.state == VmState::Up
            && down.since.elapsed() >= ORDER_LOST;
        !back && !never
    });
}

/// Tells now and then which VMs a wave waits for, and what keeps them.
fn complain(owner: &Owner, wave: &Wave, course: &mut Course, vms: &VmList) {
    let last = course.complained.get_or_insert_with(Instant::now);
    if last.elapsed() < LOG_INTERVAL {
        return;
    }
    *last = Instant::now();
    let cell = owner.cell.borrow();
    for name in wave.vms.iter().filter(|name| !course.done.contains(*name)) {
        let Some(vm) = vms.get(name) else { continue };
        let cost = vm.worker.as_deref().map(|id| cell.takeout(id));
        let (closing, down) = (
            course.closing.contains_key(name),
            course.down.contains_key(name),
        );
        info!(wave = wave.number, vm = name, worker = vm.worker.as_deref(), state = ?vm.state, ?cost, closing, down, "wave waits");
    }
}

/// How many more VMs of a wave may go down now.
fn room(owner: &Owner, wave: &Wave, course: &Course, vms: &VmList) -> usize {
    let whereabouts = |name: &String| match vms.get(name).map(|vm| vm.state) {
        _ if course.down.contains_key(name) => Whereabouts::Told,
        // One in a state that is not known is counted against the bound.
        Some(VmState::Upkeep | VmState::Down | VmState::Other) => Whereabouts::Down,
        Some(VmState::Up) if owner.has_unconfirmed_order(name) => Whereabouts::Doubtful,
        Some(VmState::Up | VmState::Moving) | None => Whereabouts::Up,
    };
    room_to_go(wave.max_down, wave.vms.iter().map(whereabouts))
}

/// Chooses the VMs to go next: those that carry the least, as many as the bound has room for.
fn close_next(owner: &Owner, wave: &Wave, course: &mut Course, vms: &VmList) {
    let room = room(owner, wave, course, vms);
    let is_up = |name: &String| vms.get(name).is_some_and(|vm| vm.state == VmState::Up);
    course.closing.retain(|name, _| is_up(name));
    let waits = |name: &&String| {
        !course.done.contains(*name)
            && !course.closing.contains_key(*name)
            && !course.down.contains_key(*name)
            && is_up(name)
    };
    let waiting = wave.vms.iter().filter(waits);
    let mut next: Vec<(usize, &String)> = waiting
        .map(|name| (weight(cost(owner, &vms[name])), name))
        .collect();
    next.sort();
    // One more than there is room for drains already.
    let wanted = (room + 1).saturating_sub(course.closing.len());
    for (_, name) in next.into_iter().take(wanted) {
        if let Some(id) = &vms[name].worker {
            let mut cell = owner.cell.borrow_mut();
            cell.close_worker(id, true);
            cell.evacuate(id, Instant::now());
        }
        course.closing.insert(name.clone(), Instant::now());
    }
}

/// What a VM weighs in the order in which VMs go; the lowest goes first.
fn weight(cost: Takeout) -> usize {
    match cost {
        Takeout::Free => 0,
        Takeout::Busy(runs) => 1 + runs,
        Takeout::Guarded => GUARDED,
    }
}

/// Whether a VM with runs may wait for its pool to be quieter: in the first part of a wave's time, while
/// jobs of its pool wait for room.
fn may_wait(owner: &Owner, wave: &Wave, course: &Course, vm: &Vm) -> bool {
    let early = course
        .began
        .is_some_and(|began| began.elapsed() < wave.time_limit().mul_f64(SPARED_SHARE));
    early && owner.cell.borrow().demand(&vm.pool).waiting != Need::default()
}

/// Takes VMs down, as many as the bound has room for, where what they carry may be away now.
async fn take_down(owner: &Rc<Owner>, wave: &Wave, course: &mut Course, vms: &VmList) {
    let most = room(owner, wave, course, vms).min(vm_orders::available(owner));
    let closing: Vec<String> = course.closing.keys().cloned().collect();
    let mut ready: Vec<&Vm> = Vec::new();
    for vm in closing.iter().filter_map(|name| vms.get(name)) {
        if ready.len() < most && may_go(owner, wave, course, vm) {
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
        if cost(owner, vm) != Takeout::Guarded {
            orders.push(begin(owner, wave, course, vm));
        }
    }
    ready.retain(|vm| course.down.contains_key(&vm.name));
    let outcomes = vm_orders::give_all(owner, orders).await;
    for (vm, outcome) in ready.into_iter().zip(outcomes) {
        settle(owner, wave, course, vm, outcome);
    }
}

/// Whether a VM may go down now; one whose lasting tasks cannot be away is relieved of them.
fn may_go(owner: &Rc<Owner>, wave: &Wave, course: &mut Course, vm: &Vm) -> bool {
    let drained = course.closing[&vm.name].elapsed() >= DRAIN;
    match cost(owner, vm) {
        _ if owner.must_skip(&vm.name) => false,
        Takeout::Free => true,
        Takeout::Busy(_) => drained && !may_wait(owner, wave, course, vm),
        Takeout::Guarded => {
            relieve(owner, course, vm, drained);
            false
        }
    }
}

/// What it costs to take a VM down now.
fn cost(owner: &Owner, vm: &Vm) -> Takeout {
    let worker = vm.worker.as_deref();
    worker.map_or(Takeout::Free, |id| owner.cell.borrow().takeout(id))
}

/// Deals with a VM whose lasting tasks cannot be away now.
fn relieve(owner: &Rc<Owner>, course: &mut Course, vm: &Vm, drained: bool) {
    // Its lasting tasks are moved one by one where it has several of a step.
    if let Some(id) = &vm.worker
        && owner.cell.borrow_mut().shed(id) > 0
    {
        return owner.wake();
    }
    // Another VM may go first; this one is used meanwhile.
    if drained {
        course.closing.remove(&vm.name);
        if let Some(id) = &vm.worker {
            owner.cell.borrow_mut().close_worker(id, false);
        }
    }
}

/// Begins to take a VM down. Its worker gets nothing more from now on.
fn begin(owner: &Owner, wave: &Wave, course: &mut Course, vm: &Vm) -> VmOrder {
    if let Some(id) = &vm.worker {
        owner.cell.borrow_mut().take_worker(id, true);
    }
    let down = Down {
        worker: vm.worker.clone(),
        since: Instant::now(),
        answered: None,
        confirmed: false,
    };
    course.down.insert(vm.name.clone(), down);
    course.closing.remove(&vm.name);
    VmOrder {
        vm: vm.name.clone(),
        errand: Errand::Upkeep(wave.number),
    }
}

/// Draws from the answer to an order what is certain about the VM.
fn settle(
    owner: &Rc<Owner>,
    wave: &Wave,
    course: &mut Course,
    vm: &Vm,
    outcome: Option<OrderOutcome>,
) {
    match outcome {
        Some(OrderOutcome::Done) => {
            course.done.insert(vm.name.clone());
            owner.cell.borrow_mut().note_upkeep(wave.number, &vm.name);
            owner.wake();
            if let Some(down) = course.down.get_mut(&vm.name) {
                down.answered = Some(Instant::now());
            }
        }
        Some(OrderOutcome::Fenced) => owner.end("a newer owner gave orders for a VM"),
        Some(OrderOutcome::Busy | OrderOutcome::Later | OrderOutcome::Rejected) => {
            course.down.remove(&vm.name);
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
async fn say(owner: &Owner, wave: &Wave, course: &mut Course, state: WaveState) {
    if publish(owner, wave.number, state).await {
        course.said = Some(state);
    }
}
