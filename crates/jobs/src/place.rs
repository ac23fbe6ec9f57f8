//! Which waiting task gets room where.

use crate::{
    Cell, Job, Need, Order, Phase, RunId, Step, Task, TaskId, TaskPhase, Worker, WorkerId,
    cell::{load_of, room_of},
    permit::{StepId, step_of},
    rank::Rank,
    worker::{RunKind, RunState},
};
use std::{collections::HashMap, ops::Bound, time::Instant};

/// How many tasks that find no room are tried in one pass of a service before the rest wait for the
/// next: enough to find small ones behind large ones, few enough to bound a pass in an overload.
const MISFITS: usize = 32;

/// How many tasks that wait for room near their data are passed over in one pass; beyond that, they count
/// as tasks that find no room.
const MOST_LATER: usize = 256;

/// What placing a task elsewhere than near its data weighs against a worker's free share, which
/// lies between 0 and 1: data that is near always goes first.
const FAR: f64 = 4.0;

/// What another lasting task of the same step on the worker weighs: one VM that goes must not take two.
const SAME_WORKER: f64 = 8.0;

/// What a worker weighs that has lasting tasks: its VM stays in any case, and the fewer others are
/// used, the more VMs are idle and can be moved.
const ANCHORED: f64 = 1.0;

/// What another task of the same step in the rack weighs: lasting tasks are spread over racks, so
/// that a rack that is lost takes as few of them as can be.
const SAME_RACK: f64 = 2.0;

/// What a serving task on the worker weighs for a task that takes what others leave, and the other
/// way round: they disturb each other.
const DISTURBS: f64 = 1.0;

/// What became of a waiting task in a pass.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Placing {
    /// It has got room, or does not wait any more.
    Done,
    /// It has room only far from its data, and waits for better.
    Later,
    /// There is no room.
    NoRoom,
    /// Its turn has not come: it may run somewhere, or must not start yet.
    Held,
}

/// Whether what is decided now can be recorded.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Log {
    /// It can.
    There,
    /// It cannot, for the time being.
    Away,
}

impl Cell {
    /// Gives room to waiting tasks, in order, and notes the orders that follow.
    pub fn schedule(&mut self, now: Instant) {
        self.schedule_all(now, Log::There);
    }

    /// The same while the log is away. There may be a newer owner then, which may have met the workers
    /// that this one has lost from sight: what ran there is not tried again.
    pub fn schedule_unrecorded(&mut self, now: Instant) {
        self.schedule_all(now, Log::Away);
    }

    /// Gives room to the waiting tasks of all services.
    fn schedule_all(&mut self, now: Instant, log: Log) {
        self.duty.forget_old(now);
        let services: Vec<_> = self.waiting.keys().cloned().collect();
        for service in services {
            self.schedule_service(&service, now, log);
        }
        self.reserved.clear();
    }

    /// Gives room to the waiting tasks of a service, in order.
    fn schedule_service(&mut self, service: &str, now: Instant, log: Log) {
        self.demote_late(service);
        self.near.begin_pass();
        self.misfits.clear();
        if let Some(roomless) = self.roomless.get_mut(service) {
            roomless.clear();
        }
        let mut misfits = 0;
        let mut later = 0;
        let mut after: Option<Rank> = None;
        while misfits < MISFITS {
            // What is placed leaves the queue: the next is the first behind the one before.
            let Some(rank) = self.next_rank(service, after) else {
                break;
            };
            after = Some(rank);
            match self.try_rank(service, &rank, now, log) {
                Placing::Held => {}
                Placing::Done => {
                    self.near.forget(rank.task());
                    self.drop_rank(service, &rank);
                }
                Placing::Later if later < MOST_LATER => later += 1,
                Placing::Later | Placing::NoRoom => {
                    misfits += 1;
                    self.note_misfit(service, &rank, now);
                }
            }
        }
    }

    /// The first of a service's waiting tasks behind one; the first of all without one.
    fn next_rank(&self, service: &str, after: Option<Rank>) -> Option<Rank> {
        let queue = self.waiting.get(service)?;
        match after {
            None => queue.first().copied(),
            Some(rank) => queue
                .range((Bound::Excluded(rank), Bound::Unbounded))
                .next()
                .copied(),
        }
    }

    /// Places a waiting task if its turn has come.
    fn try_rank(&mut self, service: &str, rank: &Rank, now: Instant, log: Log) -> Placing {
        let task = rank.task();
        let lost = log == Log::Away && self.lost.contains(&task);
        if lost || self.is_gated(rank.order(), service, now) || self.has_run(task) {
            Placing::Held
        } else if self.is_stale(task) {
            Placing::Done
        } else {
            self.place(task, now)
        }
    }

    /// Whether a task finds no room for certain: a plain one that needs no more found none in this pass, in
    /// which room only becomes less.
    fn is_misfit(&self, room: Need) -> bool {
        self.misfits.iter().any(|found| found.is_within(room))
    }

    /// Does what brings a task that finds no room nearer to some.
    fn note_misfit(&mut self, service: &str, rank: &Rank, now: Instant) {
        self.ask_permits(rank.task(), now);
        if rank.is_lasting() {
            self.reserve(rank.task(), now);
            if self.wants_room(rank.task()) {
                let roomless = self.roomless.entry(service.to_owned()).or_default();
                roomless.push(rank.task());
            }
        }
    }

    /// Whether more workers would do for a task: a permit, or a label, may be what it lacks.
    fn wants_room(&self, task: TaskId) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        !job.given.permits && job.step(task.step).label.is_none()
    }

    /// Puts the tasks that cannot be in time any more behind those that can.
    fn demote_late(&mut self, service: &str) {
        let mut late: Vec<Rank> = Vec::new();
        // The tasks of a step stand one after the other and are late together.
        let mut last: Option<(StepId, bool)> = None;
        for rank in &self.waiting[service] {
            if rank.is_late() {
                break;
            }
            if rank.is_lasting() {
                continue;
            }
            let step = step_of(rank.task());
            let known = last.filter(|(other, _)| *other == step);
            let is_late = known.map_or_else(|| self.is_late(rank.task()), |(_, late)| late);
            last = Some((step, is_late));
            if is_late {
                late.push(*rank);
            }
        }
        if let Some(queue) = self.waiting.get_mut(service) {
            for rank in late {
                queue.remove(&rank);
                queue.insert(rank.to_late());
            }
        }
    }

    /// Keeps the worker that has the most room free for a task that fits nowhere: smaller tasks
    /// would fill each gap before it is large enough.
    fn reserve(&mut self, task: TaskId, now: Instant) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let step = job.step(task.step);
        let room = room_of(job, task);
        let may = |w: &&Worker| {
            room.fits(Need::default(), w.info.capacity)
                && self.takes(w, job, task, now)
                && may_join(step, w, task)
        };
        let free = |w: &&Worker| w.info.capacity.cpu.saturating_sub(w.used.cpu);
        let freest = self
            .workers
            .of(&job.given.service)
            .filter(may)
            .max_by_key(free);
        if let Some(id) = freest.map(|w| w.info.id.clone()) {
            self.reserved.insert(id);
        }
    }

    /// Whether a worker of the task's service may get a run of it at all.
    pub(crate) fn takes(&self, worker: &Worker, job: &Job, task: TaskId, now: Instant) -> bool {
        worker.is_open(now)
            && allows(worker, job.step(task.step))
            && !self.reserved.contains(&worker.info.id)
            && (!job.given.permits || self.has_permit(task, &worker.info.id, now))
    }

    /// Whether a worker may still have a run of a task of which there must not be two.
    fn has_run(&self, task: TaskId) -> bool {
        let Some(job) = self.jobs.get(&task.job).filter(|job| !job.phase.is_over()) else {
            return false;
        };
        let step = job.step(task.step);
        let state = job.task(task.round, task.step, task.index);
        // A worker's run of a task that is none of a gang is known to the task once it is reported.
        if !step.gang && state.is_some_and(|state| state.run == 0 && state.top == 0) {
            return false;
        }
        let last = if step.gang {
            step.count - 1
        } else {
            task.index
        };
        let span = (task, 0)
            ..=(
                TaskId {
                    index: last,
                    ..task
                },
                RunId::MAX,
            );
        let there = |w: &Worker| w.runs.range(span.clone()).next().is_some();
        !step.copies && self.workers.of(&job.given.service).any(there)
    }

    /// Takes a task out of those that wait.
    fn drop_rank(&mut self, service: &str, rank: &Rank) {
        if let Some(queue) = self.waiting.get_mut(service) {
            queue.remove(rank);
        }
    }

    /// Whether a task does not wait any more.
    fn is_stale(&self, task: TaskId) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return true;
        };
        let state = job.task(task.round, task.step, task.index);
        job.phase.is_over() || state.is_none_or(|s| s.phase != TaskPhase::Waiting)
    }

    /// Places a task, or the whole gang that it stands for.
    fn place(&mut self, task: TaskId, now: Instant) -> Placing {
        match self.jobs.get(&task.job) {
            None => Placing::Done,
            Some(job) if job.step(task.step).gang => self.place_gang(task, now),
            Some(_) => self.place_one(task, now),
        }
    }

    /// Places a task that is none of a gang.
    fn place_one(&mut self, task: TaskId, now: Instant) -> Placing {
        let Some(worker) = self.best_worker(task, now) else {
            self.note_no_room(task);
            return Placing::NoRoom;
        };
        if self.waits_for_near(task, &worker, now) {
            return Placing::Later;
        }
        let Some(job) = self.jobs.get(&task.job) else {
            return Placing::Done;
        };
        let run = job
            .task(task.round, task.step, task.index)
            .map_or(1, Task::next_run);
        self.order(worker, task, run, now);
        Placing::Done
    }

    /// Notes that a run of a task starts on a worker.
    pub(crate) fn order(&mut self, worker: WorkerId, task: TaskId, run: RunId, now: Instant) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let load = load_of(job, task);
        if job.phase == Phase::Pending {
            job.phase = Phase::Running;
        }
        if let Some(state) = job.task_mut(task.round, task.step, task.index) {
            state.phase = TaskPhase::Placed(worker.clone());
            state.run = run;
        }
        if let Some(host) = self.workers.get_mut(&worker) {
            host.add(task, run, RunState::ordered(load, now));
        }
        self.lost.remove(&task);
        self.mark_dirty(task.job);
        self.starts.push(Order::Start { worker, task, run });
    }

    /// Notes what a plain task needs that found no room; a label, or tasks that must be apart, may be why
    /// others did not.
    fn note_no_room(&mut self, task: TaskId) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let step = job.step(task.step);
        let bound = step.label.is_some() || step.apart.is_some() || job.given.permits;
        if !bound {
            let room = room_of(job, task);
            self.misfits.retain(|found| !room.is_within(*found));
            self.misfits.push(room);
        }
    }

    /// The worker that suits a task best, of those that have room for it.
    fn best_worker(&self, task: TaskId, now: Instant) -> Option<WorkerId> {
        let job = self.jobs.get(&task.job)?;
        let step = job.step(task.step);
        let room = room_of(job, task);
        if self.is_misfit(room) {
            return None;
        }
        // The cheapest first: in an overload, nearly all workers are full.
        let may = |w: &&Worker| {
            room.fits(w.used, w.info.capacity)
                && self.takes(w, job, task, now)
                && may_join(step, w, task)
        };
        let racks = if step.lasting {
            self.racks_of(&job.given.service, task)
        } else {
            HashMap::new()
        };
        let mut best: Option<(f64, &Worker)> = None;
        for worker in self.workers.of(&job.given.service).filter(may) {
            let crowd = racks.get(worker.info.rack()).copied().unwrap_or(0);
            let siblings = if step.lasting {
                worker.siblings(task)
            } else {
                0
            };
            let score = score(worker, step, room, crowd, siblings);
            if best.is_none_or(|(top, _)| score > top) {
                best = Some((score, worker));
            }
        }
        best.map(|(_, worker)| worker.info.id.clone())
    }

    /// How many tasks of the same step each rack has on workers of a service.
    fn racks_of(&self, service: &str, task: TaskId) -> HashMap<&str, u32> {
        let mut racks = HashMap::new();
        for worker in self.workers.of(service) {
            *racks.entry(worker.info.rack()).or_insert(0) += worker.siblings(task);
        }
        racks
    }
}

/// How well a worker suits a run; the highest is best.
fn score(worker: &Worker, step: &Step, room: Need, crowd: u32, siblings: u32) -> f64 {
    let capacity = worker.info.capacity.cpu.max(1) as f64;
    let used = (worker.used.cpu + room.cpu) as f64;
    let kind = RunKind::of(step);
    let mut score = used / capacity;
    if worker.anchors > 0 {
        score += ANCHORED;
    }
    let near = step.near.as_ref();
    if near.is_some_and(|rack| !worker.info.has_label(rack)) {
        score -= FAR;
    }
    score -= SAME_RACK * f64::from(crowd);
    if step.lasting {
        score -= SAME_WORKER * f64::from(siblings);
    }
    score - DISTURBS * disturbing(worker, kind) as f64
}

/// How many runs on the worker a new one would disturb, or be disturbed by.
fn disturbing(worker: &Worker, kind: RunKind) -> usize {
    match kind {
        RunKind::Filling => worker.count(RunKind::Serving),
        RunKind::Serving => worker.count(RunKind::Filling),
        RunKind::Finite | RunKind::Lasting => 0,
    }
}

/// Whether a worker may get one more task of a step, as far as these must be apart.
pub(crate) fn may_join(step: &Step, worker: &Worker, task: TaskId) -> bool {
    step.apart.is_none_or(|most| worker.siblings(task) < most)
}

/// Whether a worker has the label that a step asks for.
pub(crate) fn allows(worker: &Worker, step: &Step) -> bool {
    step.label
        .as_ref()
        .is_none_or(|label| worker.info.has_label(label))
}
