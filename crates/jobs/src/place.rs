//! Which waiting task gets room where.

use crate::{
    Cell, Job, Need, Order, Phase, RunId, Step, Task, TaskId, TaskPhase, Worker, WorkerId,
    cell::{charge_of, load_of, room_of},
    worker::{Quarantine, RunKind, RunState},
};
use clock::Instant;
use std::collections::HashMap;

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
    Deferred,
    /// There is no room.
    NoFit,
    /// Its turn has not come: it may run somewhere, or must not start yet.
    MustWait,
    /// Its workspace has as much running as it may.
    AtBound,
}

impl Cell {
    /// Keeps the worker that has the most room free for a task that fits nowhere: smaller tasks
    /// would fill each gap before it is large enough.
    pub(crate) fn reserve(&mut self, task: TaskId, now: Instant) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let step = job.step(task.step);
        let room = room_of(job, task);
        let may = |w: &&Worker| {
            room.fits(Need::default(), w.info.capacity)
                && self.accepts(w, job, task, now)
                && may_join(step, || w.siblings(task))
        };
        let free = |w: &&Worker| w.info.capacity.cpu.saturating_sub(w.used.cpu);
        let freest = self
            .workers
            .of(&job.submission.service)
            .filter(may)
            .max_by_key(free);
        if let Some(id) = freest.map(|w| w.info.id.clone()) {
            self.reserved.insert(id);
        }
    }

    /// Whether a worker of the task's service may get a run of it at all.
    pub(crate) fn accepts(&self, worker: &Worker, job: &Job, task: TaskId, now: Instant) -> bool {
        worker.is_open(now)
            && has_required_label(worker, job.step(task.step))
            && !self.reserved.contains(&worker.info.id)
            && (!job.submission.requires_permits || self.has_permit(task, &worker.info.id, now))
    }

    /// Places a task, or the whole gang that it stands for.
    pub(crate) fn place(&mut self, task: TaskId, now: Instant) -> Placing {
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
            return Placing::NoFit;
        };
        if self.waits_for_data_rack(task, &worker, now) {
            return Placing::Deferred;
        }
        let Some(job) = self.jobs.get(&task.job) else {
            return Placing::Done;
        };
        let run = job
            .task(task.round, task.step, task.index)
            .map_or(1, Task::next_run);
        self.order_start(worker, task, run, now);
        Placing::Done
    }

    /// Notes that a run of a task starts on a worker.
    pub(crate) fn order_start(&mut self, worker: WorkerId, task: TaskId, run: RunId, now: Instant) {
        self.note_in_hand(task.job);
        self.pass_time(task.job);
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let load = load_of(job, task);
        let charge = charge_of(job, task);
        if job.phase == Phase::Pending {
            job.phase = Phase::Running;
        }
        if let Some(state) = job.task_mut(task.round, task.step, task.index) {
            state.phase = TaskPhase::Placed(worker.clone());
            state.run = run;
        }
        let threshold = self.quarantine_bar(task, now);
        if let Some(host) = self.workers.get_mut(&worker) {
            host.add(task, run, RunState::ordered(load, charge, now));
            host.quarantine = threshold.map(|threshold| Quarantine {
                key: (task, run),
                threshold,
            });
        }
        self.lost.remove(&task);
        self.mark_dirty(task.job);
        self.starts.push(Order::Start { worker, task, run });
    }

    /// Whether a task finds no room for certain: a plain one that needs no more found none in this pass, in
    /// which room only becomes less.
    fn is_misfit(&self, room: Need) -> bool {
        self.misfits.iter().any(|found| found.is_within(room))
    }

    /// Notes what a plain task needs that found no room; a label, or tasks that must be apart, may be why
    /// others did not.
    fn note_no_room(&mut self, task: TaskId) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let step = job.step(task.step);
        let bound = step.label.is_some()
            || step.max_per_worker.is_some()
            || job.submission.requires_permits;
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
                && self.accepts(w, job, task, now)
                && may_join(step, || w.siblings(task))
        };
        let racks = if step.long_running {
            self.racks_of(&job.submission.service, task)
        } else {
            HashMap::new()
        };
        let is_suspect = self.suspicions.tasks.contains(&task);
        let mut best: Option<(f64, &Worker)> = None;
        for worker in self.workers.of(&job.submission.service).filter(may) {
            let crowd = racks.get(worker.info.rack()).copied().unwrap_or(0);
            let siblings = if step.long_running {
                worker.siblings(task)
            } else {
                0
            };
            let score = if is_suspect {
                // As little as may be is lost with it, and others under suspicion are elsewhere.
                -(worker.runs.len() as f64)
            } else {
                score(worker, step, room, crowd, siblings)
            };
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
    let near = step.data_rack.as_ref();
    if near.is_some_and(|rack| !worker.info.has_label(rack)) {
        score -= FAR;
    }
    score -= SAME_RACK * f64::from(crowd);
    if step.long_running {
        score -= SAME_WORKER * f64::from(siblings);
    }
    score - DISTURBS * disturbing(worker, kind) as f64
}

/// How many runs on the worker a new one would disturb, or be disturbed by.
fn disturbing(worker: &Worker, kind: RunKind) -> usize {
    match kind {
        RunKind::BestEffort => worker.count(RunKind::Serving),
        RunKind::Serving => worker.count(RunKind::BestEffort),
        RunKind::Finite | RunKind::LongRunning => 0,
    }
}

/// Whether a worker that has this many tasks of a step may get one more, as far as these must be apart; they
/// are counted only where that matters.
pub(crate) fn may_join(step: &Step, siblings: impl FnOnce() -> u32) -> bool {
    step.max_per_worker.is_none_or(|most| siblings() < most)
}

/// Whether a worker has the label that a step asks for.
pub(crate) fn has_required_label(worker: &Worker, step: &Step) -> bool {
    step.label
        .as_ref()
        .is_none_or(|label| worker.info.has_label(label))
}
