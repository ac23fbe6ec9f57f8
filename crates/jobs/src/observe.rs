//! Applies a worker's report: ends, progress, missing runs, and the pace of best-effort runs.

use crate::{
    Cell, EndRow, Need, Order, Report, RunId, RunOutcome, RunPhase, RunRow, Task, TaskId,
    TaskPhase, WorkerId,
    cell::load_of,
    name_of,
    worker::{Load, RunKind, RunState},
};
use clock::Instant;
use std::{collections::HashSet, time::Duration};

/// The part of a target latency above which best-effort runs beside the task are slowed down. Tail latencies
/// change within seconds and the figure is half a second old, so a third of the target is kept as a margin.
const SLOW_DOWN_ABOVE: f64 = 0.65;

/// The part of a target latency below which best-effort runs beside the task are sped up again.
const SPEED_UP_BELOW: f64 = 0.4;

/// The minimum time between two changes of a run's pace; reported figures cover the last half second.
const PACE_INTERVAL: Duration = Duration::from_millis(500);

/// The weight of one run in the estimate factor learned for its queue; about the last 50 runs count.
const LEARNING_RATE: f64 = 0.02;

/// The time between two checks for stalled runs: a tenth of the time after which a run counts as stalled.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The step by which a pace is raised, in percent.
const PACE_STEP: u64 = 20;

impl Cell {
    /// Applies the report with which a worker responded to a poll that was sent at `sent_at`. Returns the
    /// runs that the worker had reported before and that are gone without an end.
    pub fn apply_report(
        &mut self,
        worker: &str,
        report: &Report,
        sent_at: Instant,
        now: Instant,
    ) -> Vec<(TaskId, RunId)> {
        let Some(host) = self.workers.get_mut(worker) else {
            return Vec::new();
        };
        host.responsive = true;
        host.more_ends = report.more_ends;
        if !report.more_ends {
            host.contacted = true;
            self.takeover_barrier
                .expected_workers
                .remove(name_of(worker));
        }
        host.silent_since = None;
        host.refused_at = None;
        host.lapsed.clear();
        host.last_seen = host.last_seen.max(Some(sent_at));
        let acknowledged = host.acknowledged;
        self.adopt_runs(worker, report, now);
        for end in report.ended.iter().filter(|end| end.number > acknowledged) {
            self.apply_end(worker, end, now);
        }
        for row in &report.running {
            self.apply_row(worker, row, sent_at, now);
        }
        let vanished = self.remove_missing(worker, report, sent_at);
        self.clear_outlived_suspects(worker, now);
        self.pace(worker, report, now);
        vanished
    }

    /// Stops runs without progress, so that their tasks are tried elsewhere.
    pub fn stop_stalled(&mut self, now: Instant) {
        if self.stall_check_due.is_some_and(|due| now < due) {
            return;
        }
        self.stall_check_due = Some(now + STALL_CHECK_INTERVAL);
        let stalled_after = self.limits.stall_timeout;
        let mut stalled = Vec::new();
        for worker in self.workers.values() {
            let rows = worker.runs.iter().filter(|(_, state)| {
                state.phase == RunPhase::Running
                    && now > state.progressed_at + stalled_after
                    && state.pace == 100
            });
            stalled.extend(rows.map(|((task, run), _)| (worker.info.id.clone(), *task, *run)));
        }
        for (id, task, run) in stalled {
            let is_long_running = self
                .jobs
                .get(&task.job)
                .is_none_or(|job| job.submission.spec.is_long_running());
            if is_long_running {
                continue;
            }
            self.count_worker_failure(&id, now);
            self.stop_run(&id, task, run);
        }
    }

    /// Applies an end that a worker has listed for the first time.
    fn apply_end(&mut self, worker: &str, end: &EndRow, now: Instant) {
        let mut runtime = None;
        if let Some(host) = self.workers.get_mut(worker) {
            host.acknowledged = end.number;
            runtime = host
                .remove(end.task, end.run)
                .map(|state| now - state.ordered_at);
            if end.how == RunOutcome::Done {
                host.failures = 0;
            }
        }
        if let (Some(runtime), RunOutcome::Done) = (runtime, end.how) {
            self.learn_estimate_factor(worker, end.task, runtime);
        }
        if end.how == RunOutcome::Failed {
            self.count_worker_failure(worker, now);
        }
        self.acknowledge_ends(worker, end.number);
        if end.how == RunOutcome::Done {
            self.clear_suspicion(end.task, runtime.unwrap_or_default(), now);
        }
        self.end_run(worker, end.task, end.run, end.how, &end.saved);
    }

    /// Updates the ratio of actual to estimated run time of a queue with a run that has succeeded.
    fn learn_estimate_factor(&mut self, worker: &str, task: TaskId, runtime: Duration) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let Some(step) = job.find_step(task) else {
            return;
        };
        if step.estimate_ms == 0 || step.long_running {
            return;
        }
        let near_runtime = runtime.as_millis() as f64 / self.far_factor(worker, step);
        let ratio = (near_runtime / step.estimate_ms as f64).min(10.0);
        let factor = self
            .estimate_factors
            .entry(job.submission.queue.clone())
            .or_insert(1.0);
        let expected = *factor;
        *factor += (ratio - *factor) * LEARNING_RATE;
        self.record_duration(worker, ratio / expected);
    }

    /// Counts a failed run of a worker and excludes the worker for a while after several in a row.
    fn count_worker_failure(&mut self, worker: &str, now: Instant) {
        let limits = self.limits.clone();
        let Some(host) = self.workers.get_mut(worker) else {
            return;
        };
        host.failures += 1;
        if host.failures < limits.max_failures {
            return;
        }
        let service = host.info.service.clone();
        let of_service = || self.workers.of(&service);
        let excluded = of_service()
            .filter(|w| w.excluded_until.is_some_and(|until| until > now))
            .count();
        // At most a third of a service's workers is excluded: if all workers fail, the fault is not theirs.
        if (excluded + 1) * 3 > of_service().count() {
            return;
        }
        if let Some(host) = self.workers.get_mut(worker) {
            host.excluded_until = Some(now + limits.exclusion);
            host.failures = 0;
        }
    }

    /// Applies what a worker reports about a running run in response to a poll that was sent at `sent_at`.
    fn apply_row(&mut self, worker: &str, row: &RunRow, sent_at: Instant, now: Instant) {
        self.mark_begun(row.task.job);
        if self.run_mut(worker, row.task, row.run).is_none() {
            self.add_unknown_run(worker, row, now);
        } else if !self.is_current(worker, row.task, row.run) {
            // The job may have been cancelled before the worker was contacted.
            self.stop_run(worker, row.task, row.run);
        }
        self.retry_stop(worker, row, sent_at);
        let Some(state) = self.run_mut(worker, row.task, row.run) else {
            return;
        };
        state.confirmed = true;
        state.reported = true;
        if state.phase == RunPhase::Ordered {
            state.phase = RunPhase::Running;
            state.answered_at = Some(now);
        }
        if state.percent != row.percent {
            state.percent = row.percent;
            state.progressed_at = now;
        }
        if !row.saved.is_empty() && self.is_current(worker, row.task, row.run) {
            let TaskId {
                round, step, index, ..
            } = row.task;
            let job = self.jobs.get_mut(&row.task.job);
            if let Some(task) = job.and_then(|job| job.task_mut(round, step, index)) {
                task.save_progress(&row.saved);
            }
        }
    }

    /// Stops a run again that continues although the worker accepted a stop and had time to carry it out.
    /// This is repeated until a report no longer lists the run.
    fn retry_stop(&mut self, worker: &str, row: &RunRow, sent_at: Instant) {
        let Some(state) = self.run_mut(worker, row.task, row.run) else {
            return;
        };
        let continues = state.answered_at.is_some_and(|at| sent_at > at);
        if state.phase == RunPhase::Stopping && continues {
            self.order_stop(worker, row.task, row.run);
        }
    }

    /// Adds a run that was not known. It becomes the current run of its task if it is newer than what is
    /// known of the task, and is stopped if it is not the current one.
    fn add_unknown_run(&mut self, worker: &str, row: &RunRow, now: Instant) {
        let job = self.jobs.get(&row.task.job);
        // The submission of a job that is over is forgotten. What its run takes is then not known, so nothing else fits
        // until the run has been stopped.
        let all = Load {
            need: self
                .workers
                .get(worker)
                .map_or_else(Need::default, |host| host.info.capacity),
            kind: RunKind::Finite,
        };
        let described = job.filter(|job| job.find_step(row.task).is_some());
        let load = described.map_or(all, |job| load_of(job, row.task));
        let charge = self.charge(row.task);
        let TaskId {
            round, step, index, ..
        } = row.task;
        let newer = job.filter(|job| !job.phase.is_over()).is_some_and(|job| {
            let task = job.task(round, step, index);
            !job.step(step).gang && task.is_some_and(|task| is_newer(task, row.run))
        });
        if let Some(host) = self.workers.get_mut(worker) {
            host.add(row.task, row.run, RunState::inherited(load, charge, now));
        }
        if newer {
            self.make_current(worker, row.task, row.run);
        } else if !self.is_current(worker, row.task, row.run) {
            self.stop_run(worker, row.task, row.run);
        }
    }

    /// Makes a run the current one of its task.
    fn make_current(&mut self, worker: &str, task: TaskId, run: RunId) {
        let job = self.jobs.get_mut(&task.job);
        let state = job.and_then(|job| job.task_mut(task.round, task.step, task.index));
        if let Some(state) = state {
            state.phase = TaskPhase::Placed(worker.into());
            state.run = run;
            self.mark_dirty(task.job);
        }
    }

    /// Removes runs that the worker no longer reports and whose end it has not listed, since their starts
    /// never arrived. Returns those that it had reported before. Does nothing while the worker may have further
    /// ends, which may be those of such runs.
    fn remove_missing(
        &mut self,
        worker: &str,
        report: &Report,
        sent_at: Instant,
    ) -> Vec<(TaskId, RunId)> {
        let Some(host) = self.workers.get(worker).filter(|host| !host.more_ends) else {
            return Vec::new();
        };
        let listed: HashSet<(TaskId, RunId)> = report
            .running
            .iter()
            .map(|row| (row.task, row.run))
            .collect();
        let missing: Vec<(TaskId, RunId)> = host
            .runs
            .iter()
            .filter(|(_, state)| state.answered_at.is_some_and(|at| sent_at > at))
            .map(|(key, _)| *key)
            .filter(|key| !listed.contains(key))
            .collect();
        let mut vanished = Vec::new();
        for (task, run) in missing {
            let state = self
                .workers
                .get_mut(worker)
                .and_then(|host| host.remove(task, run));
            if state.is_some_and(|state| state.confirmed) {
                vanished.push((task, run));
            }
            if self.is_current(worker, task, run) {
                self.requeue(task);
            }
        }
        vanished
    }

    /// Slows down best-effort runs beside tasks that exceed their target latency, and speeds them up again.
    fn pace(&mut self, worker: &str, report: &Report, now: Instant) {
        let mut max_ratio: f64 = 0.0;
        let mut best_effort_runs = Vec::new();
        for row in &report.running {
            let Some(job) = self.jobs.get(&row.task.job) else {
                continue;
            };
            let Some(step) = job.find_step(row.task) else {
                continue;
            };
            if let Some(target) = step.target_latency_ms {
                max_ratio = max_ratio.max(row.measurement as f64 / target.max(1) as f64);
            }
            if step.best_effort {
                best_effort_runs.push((row.task, row.run));
            }
        }
        for (task, run) in best_effort_runs {
            self.pace_run(worker, task, run, max_ratio, now);
        }
    }

    /// Sets the pace of a run by the highest ratio of latency to target among the tasks beside it.
    fn pace_run(&mut self, worker: &str, task: TaskId, run: RunId, max_ratio: f64, now: Instant) {
        let Some(state) = self.run_mut(worker, task, run) else {
            return;
        };
        if state.paced_at.is_some_and(|at| now < at + PACE_INTERVAL) {
            return;
        }
        let percent = match state.pace {
            pace if max_ratio > 1.0 => pace / 4,
            pace if max_ratio > SLOW_DOWN_ABOVE => pace / 2,
            pace if max_ratio < SPEED_UP_BELOW => (pace + PACE_STEP).min(100),
            pace => pace,
        };
        if percent == state.pace {
            return;
        }
        state.pace = percent;
        state.paced_at = Some(now);
        let worker = WorkerId::from(worker);
        self.urgent.push(Order::Pace {
            worker,
            task,
            run,
            percent,
        });
    }
}

/// Returns whether a run is newer than what is known of its task. An earlier owner without access to the log
/// starts the next run only after the end of the one before was listed.
fn is_newer(task: &Task, run: RunId) -> bool {
    match task.phase {
        TaskPhase::Waiting => run >= task.run,
        TaskPhase::Placed(_) => run > task.run,
        TaskPhase::Done => false,
    }
}
