//! Empties a worker whose VM is to go: what saves its progress goes on elsewhere, the rest runs out.

use crate::{
    Cell, Need, RunId, RunPhase, TaskId, Worker,
    place::{has_required_label, may_join},
    worker::RunState,
};
use clock::Instant;
use std::{collections::HashMap, time::Duration};

/// From how much of a run's work on, in hundredths, its progress foretells its end better than estimates
/// do, which are off by up to ten times.
const TELLING_PERCENT: u64 = 10;

/// What a move of a run costs in time: the stop, a report of it, a record, a start, and the way back to
/// the saved progress, some 0.4 to 0.7 s. A run that ends within that is left to end.
const MOVED: Duration = Duration::from_millis(600);

impl Cell {
    /// How long until the worker could be empty: runs that can go on elsewhere take 0.6 s at the
    /// most, the others until their end.
    pub fn time_left(&self, id: &str, now: Instant) -> Duration {
        let Some(worker) = self.workers.get(id) else {
            return Duration::ZERO;
        };
        let movable = self.movable_runs(worker, now);
        let left = worker.runs.iter().map(|(key, run)| {
            let left = self.run_left(key.0, run, now);
            if movable.contains(key) {
                left.min(MOVED)
            } else {
                left
            }
        });
        left.max().unwrap_or(Duration::ZERO)
    }

    /// Stops the runs on a worker that can go on elsewhere from the progress that they have saved.
    /// Returns how many.
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

    /// The runs of a worker that save their progress, will still take a while, and find room on another
    /// worker of the service.
    fn movable_runs(&self, worker: &Worker, now: Instant) -> Vec<(TaskId, RunId)> {
        let mut taken: HashMap<&str, Need> = HashMap::new();
        let mut movable = Vec::new();
        for ((task, run), state) in &worker.runs {
            let running = state.phase == RunPhase::Running;
            if !running || !self.may_move(*task) || self.run_left(*task, state, now) <= MOVED {
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

    /// Whether a task ends by itself, alone, and saves its progress.
    fn may_move(&self, task: TaskId) -> bool {
        let job = self.jobs.get(&task.job);
        let step = job.and_then(|job| job.find_step(task));
        step.is_some_and(|s| s.saves_progress && !s.gang && !s.long_running && !s.best_effort)
    }

    /// Another worker of the service with room for a run, beside what others that move take there.
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
        // One that is empty might be moved itself.
        let others = self.workers.of(&from.info.service);
        let mut candidates = others.filter(|host| !host.runs.is_empty());
        candidates.find(fits)
    }

    /// How long one run will still take: by its progress, or by what runs of its queue have taken against
    /// their estimates.
    pub(crate) fn run_left(&self, task: TaskId, run: &RunState, now: Instant) -> Duration {
        let elapsed = now.saturating_duration_since(run.ordered_at);
        if run.percent >= TELLING_PERCENT {
            // The figure is as old as the last change of it.
            let worked = run.progressed_at.saturating_duration_since(run.ordered_at);
            let whole = worked.mul_f64(100.0 / run.percent as f64);
            return whole.saturating_sub(elapsed);
        }
        let expected = self.jobs.get(&task.job).and_then(|job| {
            let estimate = job.find_step(task)?.estimate_ms as f64;
            let pace = self.pace_of(&job.submission.queue);
            Some(Duration::from_secs_f64(estimate * pace / 1_000.0))
        });
        expected.unwrap_or_default().saturating_sub(elapsed)
    }
}
