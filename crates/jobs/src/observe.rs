//! What a worker's report changes: ends, progress, runs that are not there, and how fast what fills
//! beside others may work.

use crate::{
    Cell, EndRow, Need, Order, Report, RunId, RunOutcome, RunPhase, RunRow, Task, TaskId,
    TaskPhase, WorkerId,
    cell::load_of,
    name_of,
    worker::{Load, RunKind, RunState},
};
use clock::Instant;
use std::time::Duration;

/// Part of a task's target above which what fills beside it is slowed down. Tails shift within
/// seconds, and the figure is half a second old: a third of the target is kept as a margin.
const TIGHT: f64 = 0.65;

/// Part of a task's target under which what fills beside it is let go faster again.
const LOOSE: f64 = 0.4;

/// Time between two changes of a run's pace: the figures cover the last half second.
const PACE_GAP: Duration = Duration::from_millis(500);

/// Weight of one run in what is learned of its queue: about the last 50 count.
const LEARNING: f64 = 0.02;

/// Time between two looks for runs that stand still: a tenth of the time after which a run does.
const STILL_GAP: Duration = Duration::from_millis(200);

/// By how much a pace is raised at a time, in hundredths.
const PACE_UP: u64 = 20;

impl Cell {
    /// Takes in what a worker said to a question that was sent at `asked`. Returns the runs that it had said to be
    /// there and that are gone without an end.
    pub fn report(
        &mut self,
        worker: &str,
        report: &Report,
        asked: Instant,
        now: Instant,
    ) -> Vec<(TaskId, RunId)> {
        let Some(host) = self.workers.get_mut(worker) else {
            return Vec::new();
        };
        host.responsive = true;
        host.contacted = true;
        host.silent_since = None;
        host.refused_at = None;
        host.lapsed.clear();
        host.last_answer = host.last_answer.max(Some(asked));
        self.gate.expected.remove(name_of(worker));
        let noted = host.acknowledged;
        self.carry_over(worker, report, now);
        for end in report.ended.iter().filter(|end| end.number > noted) {
            self.take_end(worker, end, now);
        }
        for row in &report.running {
            self.take_row(worker, row, asked, now);
        }
        let vanished = self.drop_missing(worker, report, asked);
        self.clear_proven(worker, now);
        self.pace(worker, report, now);
        vanished
    }

    /// Stops runs that show no progress, so that they are tried elsewhere.
    pub fn stop_stalled(&mut self, now: Instant) {
        if self.still_due.is_some_and(|due| now < due) {
            return;
        }
        self.still_due = Some(now + STILL_GAP);
        let still = self.limits.still;
        let mut stuck = Vec::new();
        for worker in self.workers.values() {
            let rows = worker.runs.iter().filter(|(_, state)| {
                state.phase == RunPhase::Running
                    && now > state.progressed_at + still
                    && state.pace == 100
            });
            stuck.extend(rows.map(|((task, run), _)| (worker.info.id.clone(), *task, *run)));
        }
        for (id, task, run) in stuck {
            let lasting = self
                .jobs
                .get(&task.job)
                .is_none_or(|job| job.submission.spec.is_long_running());
            if lasting {
                continue;
            }
            self.blame(&id, now);
            self.stop_run(&id, task, run);
        }
    }

    /// Takes in an end that a worker listed for the first time.
    fn take_end(&mut self, worker: &str, end: &EndRow, now: Instant) {
        let mut took = None;
        if let Some(host) = self.workers.get_mut(worker) {
            host.acknowledged = end.number;
            took = host
                .remove(end.task, end.run)
                .map(|state| now - state.ordered_at);
            if end.how == RunOutcome::Done {
                host.failures = 0;
            }
        }
        if let (Some(took), RunOutcome::Done) = (took, end.how) {
            self.learn_pace(worker, end.task, took);
        }
        if end.how == RunOutcome::Failed {
            self.blame(worker, now);
        }
        self.note(worker, end.number);
        if end.how == RunOutcome::Done {
            self.clear(end.task, took.unwrap_or_default(), now);
        }
        self.end_run(worker, end.task, end.run, end.how, &end.saved);
    }

    /// Learns how long the runs of a queue take, against what their callers estimate.
    fn learn_pace(&mut self, worker: &str, task: TaskId, took: Duration) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let Some(step) = job.find_step(task) else {
            return;
        };
        if step.estimate_ms == 0 || step.long_running {
            return;
        }
        let near = took.as_millis() as f64 / self.far_factor(worker, step);
        let seen = near / step.estimate_ms as f64;
        let pace = self.pace.entry(job.submission.queue.clone()).or_insert(1.0);
        *pace += (seen.min(10.0) - *pace) * LEARNING;
    }

    /// Counts a bad end against a worker and sets it aside after several in a row.
    fn blame(&mut self, worker: &str, now: Instant) {
        let limits = self.limits.clone();
        let Some(host) = self.workers.get_mut(worker) else {
            return;
        };
        host.failures += 1;
        if host.failures < limits.failures {
            return;
        }
        let service = host.info.service.clone();
        let of_service = || self.workers.of(&service);
        let aside = of_service()
            .filter(|w| w.excluded_until.is_some_and(|until| until > now))
            .count();
        // At most a third of a pool: where all fail, the fault is not the workers'.
        if (aside + 1) * 3 > of_service().count() {
            return;
        }
        if let Some(host) = self.workers.get_mut(worker) {
            host.excluded_until = Some(now + limits.aside);
            host.failures = 0;
        }
    }

    /// Takes in what a worker said of a run that it has, to a question that was sent at `asked`.
    fn take_row(&mut self, worker: &str, row: &RunRow, asked: Instant, now: Instant) {
        self.note_begun(row.task.job);
        if self.run_mut(worker, row.task, row.run).is_none() {
            self.adopt(worker, row, now);
        } else if !self.is_current(worker, row.task, row.run) {
            // Its job may have been cancelled before the worker was met.
            self.stop_run(worker, row.task, row.run);
        }
        self.stop_again(worker, row, asked);
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
                task.saved.clone_from(&row.saved);
            }
        }
    }

    /// Has a run stopped once more that goes on although the worker has taken a stop and had its time for it:
    /// what nobody asked for any more is told to stop until a report shows it gone.
    fn stop_again(&mut self, worker: &str, row: &RunRow, asked: Instant) {
        let Some(state) = self.run_mut(worker, row.task, row.run) else {
            return;
        };
        let goes_on = state.answered_at.is_some_and(|at| asked > at);
        if state.phase == RunPhase::Stopping && goes_on {
            self.order_stop(worker, row.task, row.run);
        }
    }

    /// A run that was not known to be there: one of ours that was given up too early, or one that
    /// nobody wants any more.
    fn adopt(&mut self, worker: &str, row: &RunRow, now: Instant) {
        let job = self.jobs.get(&row.task.job);
        let free = Load {
            need: Need::default(),
            kind: RunKind::Finite,
        };
        let load = job.map_or(free, |job| load_of(job, row.task));
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
            self.reclaim(worker, row.task, row.run);
        } else if !self.is_current(worker, row.task, row.run) {
            self.stop_run(worker, row.task, row.run);
        }
    }

    /// Takes a run for the current one of its task.
    fn reclaim(&mut self, worker: &str, task: TaskId, run: RunId) {
        let job = self.jobs.get_mut(&task.job);
        let state = job.and_then(|job| job.task_mut(task.round, task.step, task.index));
        if let Some(state) = state {
            state.phase = TaskPhase::Placed(worker.into());
            state.run = run;
            self.mark_dirty(task.job);
        }
    }

    /// Runs that the worker no longer has and whose end it has not listed: they never came there. Returns those that
    /// it had said to be there.
    fn drop_missing(
        &mut self,
        worker: &str,
        report: &Report,
        asked: Instant,
    ) -> Vec<(TaskId, RunId)> {
        let Some(host) = self.workers.get(worker) else {
            return Vec::new();
        };
        let listed = |task: TaskId, run: RunId| {
            report
                .running
                .iter()
                .any(|row| row.task == task && row.run == run)
        };
        let gone: Vec<(TaskId, RunId)> = host
            .runs
            .iter()
            .filter(|(_, state)| state.answered_at.is_some_and(|at| asked > at))
            .map(|(key, _)| *key)
            .filter(|(task, run)| !listed(*task, *run))
            .collect();
        let mut vanished = Vec::new();
        for (task, run) in gone {
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

    /// Slows down what fills beside tasks whose answers take too long, and lets it go again.
    fn pace(&mut self, worker: &str, report: &Report, now: Instant) {
        let mut tightest: f64 = 0.0;
        let mut fillers = Vec::new();
        for row in &report.running {
            let Some(job) = self.jobs.get(&row.task.job) else {
                continue;
            };
            let Some(step) = job.find_step(row.task) else {
                continue;
            };
            if let Some(target) = step.target_latency_ms {
                tightest = tightest.max(row.figure as f64 / target.max(1) as f64);
            }
            if step.best_effort {
                fillers.push((row.task, row.run));
            }
        }
        for (task, run) in fillers {
            self.pace_run(worker, task, run, tightest, now);
        }
    }

    /// Sets the pace of a run by how tight the tightest task beside it is: 1 is at its target.
    fn pace_run(&mut self, worker: &str, task: TaskId, run: RunId, tightest: f64, now: Instant) {
        let Some(state) = self.run_mut(worker, task, run) else {
            return;
        };
        if state.paced_at.is_some_and(|at| now < at + PACE_GAP) {
            return;
        }
        let percent = match state.pace {
            pace if tightest > 1.0 => pace / 4,
            pace if tightest > TIGHT => pace / 2,
            pace if tightest < LOOSE => (pace + PACE_UP).min(100),
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

/// Whether a run was started after what is known of its task: an earlier owner that could not record
/// it starts a next run only once the end of the one before was listed.
fn is_newer(task: &Task, run: RunId) -> bool {
    match task.phase {
        TaskPhase::Waiting => run >= task.run,
        TaskPhase::Placed(_) => run > task.run,
        TaskPhase::Done => false,
    }
}
