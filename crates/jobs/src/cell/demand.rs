//! The capacity that the jobs of a service demand: for current runs, for waiting tasks, and for expected
//! arrivals.

use crate::{
    Cell, Job, JobId, Need, Step, StepId, Submission, TaskId,
    arrivals::Inflow,
    cell::need_of,
    drain::time_left,
    permit::step_of,
    rank::Rank,
    worker::{RunKind, RunState},
};
use clock::Instant;
use std::{
    collections::{BTreeMap, HashSet},
    time::Duration,
};

/// The demand of the jobs of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// The needs of current runs.
    pub busy: Need,
    /// The needs of tasks that wait for capacity.
    pub waiting: Need,
    /// The part of `waiting` whose tasks can no longer end in time.
    pub late: Need,
    /// The needs of arriving jobs, assuming that they keep arriving at the recent rate.
    pub inflow: Need,
    /// The inflow at the time when a VM that is ordered now becomes available, assuming that the rate keeps
    /// growing as it does now.
    pub forecast_inflow: Need,
    /// Whether the service has had a job whose steps all end by themselves.
    pub has_finite_jobs: bool,
    /// The number of workers that the widest step with anti-affinity needs, plus one, so that a task whose
    /// worker is lost or disrupted finds another; 0 without such a step.
    pub anti_affinity_workers: usize,
    /// The long-running tasks that could not be placed.
    pub unschedulable: Unschedulable,
}

/// Long-running tasks that could not be placed in the last pass. Free capacity may suffice in sum and yet be
/// too small on each worker, or be on workers that anti-affinity excludes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Unschedulable {
    /// The sum of their needs.
    pub need: Need,
    /// The largest number of workers that the tasks of one step need because of anti-affinity.
    pub anti_affinity_workers: usize,
}

impl Unschedulable {
    /// Returns how many more workers of this capacity the tasks need.
    pub fn workers(&self, capacity: Need) -> usize {
        let filled = self.need.workers_of(self.need.scarcest(capacity), capacity);
        self.anti_affinity_workers.max(filled.ceil() as usize)
    }
}

/// The time until which the runs of a step must end so that their job can be in time.
#[derive(Clone, Copy, Debug)]
struct EndLimit {
    /// That time, in ms since 1970.
    latest: f64,
    /// The expected duration of a run.
    expected: Duration,
}

impl EndLimit {
    /// Returns whether a run is expected to end too late.
    fn is_missed(&self, run: &RunState, wall_ms: u64, now: Instant) -> bool {
        let left = time_left(run, self.expected, now).as_secs_f64() * 1_000.0;
        wall_ms as f64 + left > self.latest
    }
}

impl Cell {
    /// Returns the demand of the jobs of a service.
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
            Some(need_of(job, task).times(members))
        };
        let queue = || self.waiting.get(service).into_iter().flatten();
        let late = queue().filter(|rank| rank.is_late()).filter_map(needs);
        let inflow = self.inflow(service);
        Demand {
            busy,
            waiting: Need::sum(queue().filter_map(needs)),
            late: Need::sum(late),
            inflow: inflow.now,
            forecast_inflow: inflow.ahead,
            has_finite_jobs: self.finite_services.contains(service),
            anti_affinity_workers: self.anti_affinity_workers(service),
            unschedulable: self.unschedulable_demand(service),
        }
    }

    /// Returns the part of [`Demand::busy`] that runs for jobs which can no longer be in time: one of their
    /// runs ends too late even if all later steps start at once, or one of their waiting tasks is late.
    ///
    /// This iterates over all runs of the service, which other users of [`Cell::demand`] do not need.
    pub fn late_running(&self, service: &str, now: Instant) -> Need {
        let queue = self.waiting.get(service).into_iter().flatten();
        let late = queue.filter(|rank| rank.is_late()).map(Rank::task);
        let mut late: HashSet<(JobId, u32)> = late.map(|task| (task.job, task.round)).collect();
        let mut needs: Vec<((JobId, u32), Need)> = Vec::new();
        for worker in self.workers.of(service) {
            // The runs of a step are adjacent. With a look-up of the job for each run, 64,000 runs took twice as long (13 ms).
            let mut last: Option<(StepId, Option<EndLimit>)> = None;
            for ((task, _), run) in &worker.runs {
                if run.load.kind != RunKind::Finite {
                    continue;
                }
                let (round, step) = ((task.job, task.round), step_of(*task));
                let known = last.filter(|(other, _)| *other == step);
                let limit = known.map_or_else(|| self.end_limit(*task), |(_, limit)| limit);
                last = Some((step, limit));
                if limit.is_some_and(|limit| limit.is_missed(run, self.wall_ms, now)) {
                    late.insert(round);
                }
                match needs.last_mut().filter(|(other, _)| *other == round) {
                    Some((_, need)) => need.add(run.load.need),
                    None => needs.push((round, run.load.need)),
                }
            }
        }
        if late.is_empty() {
            return Need::default();
        }
        let of_late = needs.iter().filter(|(round, _)| late.contains(round));
        Need::sum(of_late.map(|(_, need)| *need))
    }

    /// Returns until when the runs of a task's step must end so that its job can be in time.
    fn end_limit(&self, task: TaskId) -> Option<EndLimit> {
        let job = self.jobs.get(&task.job)?;
        let estimate = job.find_step(task)?.estimate_ms;
        let factor = self.estimate_factor(&job.submission.queue);
        let later = job.critical_paths[task.step as usize].saturating_sub(estimate);
        Some(EndLimit {
            latest: job.target_time(task.round, factor) - later as f64 * factor,
            expected: Duration::from_secs_f64(estimate as f64 * factor / 1_000.0),
        })
    }

    /// Returns the long-running tasks of a service that could not be placed in its last pass.
    fn unschedulable_demand(&self, service: &str) -> Unschedulable {
        let mut unschedulable = Unschedulable::default();
        let mut steps: BTreeMap<StepId, u32> = BTreeMap::new();
        for task in self.unschedulable.get(service).into_iter().flatten() {
            let Some(job) = self.jobs.get(&task.job).filter(|job| !job.phase.is_over()) else {
                continue;
            };
            unschedulable.need.add(need_of(job, *task));
            if let Some(max_per_worker) = job.step(task.step).max_per_worker {
                let tasks = steps.entry(step_of(*task)).or_default();
                *tasks += 1;
                let workers = tasks.div_ceil(max_per_worker.max(1)) as usize;
                unschedulable.anti_affinity_workers =
                    unschedulable.anti_affinity_workers.max(workers);
            }
        }
        unschedulable
    }

    /// Returns the needs of arriving jobs, now and forecast.
    fn inflow(&self, service: &str) -> Inflow {
        let arrivals = self.arrivals.get(service);
        arrivals.map_or(Inflow::default(), |arrivals| arrivals.inflow(self.wall_ms))
    }

    /// Records a job that was rejected because it would have been done too late. It is part of the inflow: without it, a
    /// pool with few VMs rejects most jobs and therefore never shows that it needs more. A job that waits for its
    /// workspace's bound or for the owner's link does not count, since more VMs would not help it.
    pub fn record_rejected(&mut self, submission: &Submission) {
        let waits_for_link = self.dispatch_wait_ms(submission) > submission.slack as f64;
        if !waits_for_link && !submission.spec.is_long_running() && !self.is_at_bound(submission) {
            self.record_inflow(submission);
        }
    }

    /// Records the work of an arriving job, as needs times seconds.
    pub(super) fn record_inflow(&mut self, submission: &Submission) {
        let factor = self.estimate_factor(&submission.queue);
        let finite = submission
            .spec
            .steps
            .iter()
            .filter(|step| !step.long_running);
        let work = |step: &Step| {
            let cpu = if step.best_effort { 0 } else { step.need.cpu };
            let seconds = step.estimate_ms as f64 * factor / 1_000.0;
            Need { cpu, ..step.need }.times(f64::from(step.count) * seconds)
        };
        let work = Need::sum(finite.map(work));
        let arrivals = self.arrivals.entry(submission.service.clone()).or_default();
        arrivals.record(self.wall_ms, work);
    }

    /// Returns the number of workers that the widest step with anti-affinity among a service's live jobs
    /// needs, plus one; 0 if there is no such step.
    fn anti_affinity_workers(&self, service: &str) -> usize {
        let of_service = |id: &JobId| {
            self.jobs
                .get(id)
                .is_some_and(|job| job.submission.service == service)
        };
        let of_jobs = self
            .anti_affinity_jobs
            .iter()
            .filter(|(id, _)| of_service(id));
        let widest = of_jobs.map(|(_, workers)| *workers).max();
        widest.map_or(0, |widest| widest + 1)
    }

    /// Records how many workers a job needs because of anti-affinity.
    pub(super) fn record_anti_affinity(&mut self, id: JobId) {
        let workers = self.jobs.get(&id).and_then(widest_anti_affinity);
        self.anti_affinity_jobs
            .extend(workers.map(|workers| (id, workers)));
    }
}

/// Returns the number of workers that the widest step of a job with anti-affinity needs; `None` without such
/// a step.
fn widest_anti_affinity(job: &Job) -> Option<usize> {
    let steps = job.submission.spec.steps.iter();
    let widths = steps.filter_map(|step| Some(step.count.div_ceil(step.max_per_worker?)));
    widths.max().map(|widest| widest as usize)
}
