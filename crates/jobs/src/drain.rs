//! Drains a worker whose VM is to be stopped: runs that save their progress continue elsewhere, the others
//! finish there.

use crate::{
    Cell, Need, RunId, RunPhase, TaskId, Worker,
    place::{has_required_label, may_join},
    worker::RunState,
};
use clock::Instant;
use std::{collections::HashMap, time::Duration};

/// The progress, in percent, above which the progress of a run predicts its end better than the estimate,
/// which is off by a factor of up to ten.
const MIN_PREDICTIVE_PERCENT: u64 = 10;

/// The time that a move costs a run: the stop, its report, a record, the start, and the way back to the saved
/// progress, about 0.4 to 0.7 s. A run that ends within this time is left to end.
const MOVE_COST: Duration = Duration::from_millis(600);

impl Cell {
    /// Returns how long it takes to drain a worker. A run that can continue elsewhere counts with at most
    /// `MOVE_COST`, any other with the time until its end.
    pub fn time_to_drain(&self, id: &str, now: Instant) -> Duration {
        let Some(worker) = self.workers.get(id) else {
            return Duration::ZERO;
        };
        let movable = self.movable_runs(worker, now);
        let left = worker.runs.iter().map(|(key, run)| {
            let left = self.run_left(key.0, run, now);
            if movable.contains(key) {
                left.min(MOVE_COST)
            } else {
                left
            }
        });
        left.max().unwrap_or(Duration::ZERO)
    }

    /// Stops the runs on a worker that can continue elsewhere from their saved progress. Returns how many
    /// were stopped.
    pub fn drain_worker(&mut self, id: &str, now: Instant) -> usize {
        let Some(worker) = self.workers.get(id) else {
            return 0;
        };
        let movable = self.movable_runs(worker, now);
        for (task, run) in &movable {
            self.stop_run(id, *task, *run);
        }
        movable.len()
    }

    /// Returns the runs of a worker that save their progress, are expected to go on for a while, and fit on
    /// another worker of the service.
    fn movable_runs(&self, worker: &Worker, now: Instant) -> Vec<(TaskId, RunId)> {
        let mut taken: HashMap<&str, Need> = HashMap::new();
        let mut movable = Vec::new();
        for ((task, run), state) in &worker.runs {
            let running = state.phase == RunPhase::Running;
            if !running || !self.may_move(*task) || self.run_left(*task, state, now) <= MOVE_COST {
                continue;
            }
            let Some(host) = self.other_host(worker, *task, state, &taken, now) else {
                continue;
            };
            taken.entry(&host.info.id).or_default().add(state.load.need);
            movable.push((*task, *run));
        }
        movable
    }

    /// Returns whether a task ends by itself, is not part of a gang, and saves its progress.
    fn may_move(&self, task: TaskId) -> bool {
        let job = self.jobs.get(&task.job);
        let step = job.and_then(|job| job.find_step(task));
        step.is_some_and(|s| s.saves_progress && !s.gang && !s.long_running && !s.best_effort)
    }

    /// Returns another worker of the service with free capacity for a run, beside what other moving runs take
    /// there.
    fn other_host(
        &self,
        from: &Worker,
        task: TaskId,
        run: &RunState,
        taken: &HashMap<&str, Need>,
        now: Instant,
    ) -> Option<&Worker> {
        let job = self.jobs.get(&task.job)?;
        let step = job.find_step(task)?;
        let fits = |host: &&Worker| {
            let id: &str = &host.info.id;
            let mut used = host.used;
            used.add(taken.get(id).copied().unwrap_or_default());
            host.info.id != from.info.id
                && host.is_open(now)
                && run.load.need.fits(used, host.info.capacity)
                && has_required_label(host, step)
                && may_join(step, || host.siblings(task))
        };
        // An idle worker might be moved itself.
        let others = self.workers.of(&from.info.service);
        let mut candidates = others.filter(|host| !host.runs.is_empty());
        candidates.find(fits)
    }

    /// Returns how long a run is expected to continue, by its progress, or else by its estimate and the
    /// estimate factor of its queue.
    pub(crate) fn run_left(&self, task: TaskId, run: &RunState, now: Instant) -> Duration {
        let expected = self.jobs.get(&task.job).and_then(|job| {
            let estimate = job.find_step(task)?.estimate_ms as f64;
            let factor = self.estimate_factor(&job.submission.queue);
            Some(Duration::from_secs_f64(estimate * factor / 1_000.0))
        });
        time_left(run, expected.unwrap_or_default(), now)
    }
}

/// Returns how long a run is expected to continue, by its progress, or else by its expected duration.
pub(crate) fn time_left(run: &RunState, expected: Duration, now: Instant) -> Duration {
    let elapsed = now.saturating_duration_since(run.ordered_at);
    if run.percent >= MIN_PREDICTIVE_PERCENT {
        // The progress is as old as its last change.
        let runtime = run.progressed_at.saturating_duration_since(run.ordered_at);
        let total = runtime.mul_f64(100.0 / run.percent as f64);
        return total.saturating_sub(elapsed);
    }
    expected.saturating_sub(elapsed)
}
