//! How much room the jobs of a service ask for: what runs, what waits, and what comes.

use crate::{
    Cell, Job, JobId, Need, Step, StepId, Submission, arrivals::Inflow, cell::room_of,
    permit::step_of, rank::Rank,
};
use std::collections::BTreeMap;

/// What the jobs of a service ask for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// What runs take.
    pub busy: Need,
    /// What waits for room.
    pub waiting: Need,
    /// The part of it that cannot be in time any more.
    pub late: Need,
    /// What the jobs that came of late will take, as long as as many come.
    pub inflow: Need,
    /// The same once a VM that is ordered now is there, if what comes goes on growing as it does.
    pub ahead: Need,
    /// Whether the service has had a job that ends by itself.
    pub begun: bool,
    /// How many workers the widest step needs whose tasks must be apart, and one more, so that a
    /// task whose worker is lost or taken out finds another.
    pub spread: usize,
    /// The lasting tasks that found no room.
    pub roomless: Roomless,
}

/// Lasting tasks that found no room at the last look, however much room the workers have in sum: what is free
/// may be too small on each of them, or on workers that have such a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Roomless {
    /// What they need.
    pub need: Need,
    /// How many workers the most of one step need that must be apart.
    pub apart: usize,
}

impl Roomless {
    /// How many more workers with this room they need.
    pub fn workers(&self, room: Need) -> usize {
        let filled = self.need.workers_of(self.need.scarcest(room), room);
        self.apart.max(filled.ceil() as usize)
    }
}

impl Cell {
    /// What the jobs of a service take, and what more they wait for.
    pub fn demand(&self, service: &str) -> Demand {
        let busy = Need::sum(self.workers.of(service).map(|worker| worker.used));
        let needs = |rank: &Rank| {
            let task = rank.task();
            let job = self
                .jobs
                .get(&task.job)
                .filter(|job| !job.phase.is_over())?;
            let step = job.step(task.step);
            let members = if step.gang {
                f64::from(step.count)
            } else {
                1.0
            };
            Some(room_of(job, task).times(members))
        };
        let queue = || self.waiting.get(service).into_iter().flatten();
        let late = queue().filter(|rank| rank.is_late()).filter_map(needs);
        let inflow = self.inflow(service);
        Demand {
            busy,
            waiting: Need::sum(queue().filter_map(needs)),
            late: Need::sum(late),
            inflow: inflow.now,
            ahead: inflow.ahead,
            begun: self.begun.contains(service),
            spread: self.spread(service),
            roomless: self.roomless(service),
        }
    }

    /// The lasting tasks of a service that found no room at the last look.
    fn roomless(&self, service: &str) -> Roomless {
        let mut roomless = Roomless::default();
        let mut steps: BTreeMap<StepId, u32> = BTreeMap::new();
        for task in self.roomless.get(service).into_iter().flatten() {
            let Some(job) = self.jobs.get(&task.job).filter(|job| !job.phase.is_over()) else {
                continue;
            };
            roomless.need.add(room_of(job, *task));
            if let Some(most) = job.step(task.step).max_per_worker {
                let tasks = steps.entry(step_of(*task)).or_default();
                *tasks += 1;
                let workers = tasks.div_ceil(most.max(1)) as usize;
                roomless.apart = roomless.apart.max(workers);
            }
        }
        roomless
    }

    /// What the jobs that come take, as long as as many come.
    fn inflow(&self, service: &str) -> Inflow {
        let came = self.came.get(service);
        came.map_or(Inflow::default(), |came| came.inflow(self.wall))
    }

    /// Notes the work of a job: what it needs, times seconds.
    pub(super) fn note_inflow(&mut self, given: &Submission) {
        let pace = self.pace_of(&given.queue);
        let finite = given.spec.steps.iter().filter(|step| !step.long_running);
        let work = |step: &Step| {
            let cpu = if step.best_effort { 0 } else { step.need.cpu };
            let seconds = step.estimate_ms as f64 * pace / 1_000.0;
            Need { cpu, ..step.need }.times(f64::from(step.count) * seconds)
        };
        let work = Need::sum(finite.map(work));
        let came = self.came.entry(given.service.clone()).or_default();
        came.record(self.wall, work);
    }

    /// How many workers the widest step of a service's live jobs needs whose tasks must be apart, and one
    /// more; 0 if there is no such step.
    fn spread(&self, service: &str) -> usize {
        let of_service = |id: &JobId| {
            self.jobs
                .get(id)
                .is_some_and(|job| job.submission.service == service)
        };
        let spreads = self.spreads.iter().filter(|(id, _)| of_service(id));
        let widest = spreads.map(|(_, spread)| *spread).max();
        widest.map_or(0, |widest| widest + 1)
    }

    /// Notes what a job asks for whose tasks must be apart.
    pub(super) fn note_spread(&mut self, id: JobId) {
        let spread = self.jobs.get(&id).and_then(widest_spread);
        self.spreads.extend(spread.map(|spread| (id, spread)));
    }
}

/// How many workers the widest step of a job needs whose tasks must be apart; none if it has no such step.
fn widest_spread(job: &Job) -> Option<usize> {
    let steps = job.submission.spec.steps.iter();
    let apart = steps.filter_map(|step| Some(step.count.div_ceil(step.max_per_worker?)));
    apart.max().map(|widest| widest as usize)
}
