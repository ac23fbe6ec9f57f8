//! Simulations of a worker that crashes under hundreds of small tasks, all of which are suspected of the crash.
//!
//! Guards against jobs that wait on idle workers. The suspects were started one at a time on each worker, before all
//! other tasks and on all idle workers. With 500 tasks of 100 ms on 8 workers, nothing else started for 6 s; tasks that
//! ran for longer were suspected for more than a minute.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

mod fixture;
#[expect(dead_code, reason = "runs are not stopped here")]
mod harness;

use clock::Instant;
use fixture::{job, step};
use harness::{Harness, row, task};
use havenladder_jobs::{
    EndRow, JobId, Loss, Phase, Report, RunId, RunOutcome, Step, TaskId, WorkerId,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use yare::parameterized;

const TICK: Duration = Duration::from_millis(10);

/// Number of workers with four cores each.
const WORKERS: u32 = 8;

/// Number of jobs with [`SMALL_TASKS`] small tasks each, all of which run on the worker that crashes.
const SMALL_JOBS: JobId = 10;

const SMALL_TASKS: u32 = 50;

/// Id of the first job that did not run on the worker that crashes.
const OTHER_JOB: JobId = 1_000;

/// Time from the crash of a worker until its end is detected.
const DETECTION_DELAY: Duration = Duration::from_millis(1_600);

/// Time between two reports of a worker on which no run ends.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of starts of a task that crashes its workers.
const MAX_STARTS: u32 = 5;

/// Maximum time until all suspects of one crash are cleared where no task crashes its workers.
const MAX_CLEARING: Duration = Duration::from_secs(10);

/// Maximum time until all suspects are cleared or have failed where some tasks crash their workers.
const MAX_ATTRIBUTION: Duration = Duration::from_secs(25);

/// Maximum wait of a job for runs in quarantine that began when no other job waited.
const MAX_WAIT: Duration = Duration::from_millis(400);

/// A simulation of one cell and its workers.
struct Fleet {
    harness: Harness,
    /// The runs on each worker and when they started.
    hosts: BTreeMap<WorkerId, BTreeMap<(TaskId, RunId), Instant>>,
    last_reports: BTreeMap<WorkerId, Instant>,
    /// The number of the last end that each worker has reported.
    end_numbers: BTreeMap<WorkerId, u64>,
    /// The workers that have crashed, and when that is detected.
    crashed: Vec<(WorkerId, Instant)>,
    /// The tasks that crash their workers, and how often each was started.
    crashing_tasks: BTreeMap<TaskId, u32>,
    small_runtime: Duration,
    booted: u32,
    /// When each job started its last task.
    started_at: BTreeMap<JobId, Instant>,
}

impl Fleet {
    fn new(crashing_tasks: &[TaskId], small_runtime: Duration) -> Self {
        Fleet {
            harness: Harness::new(&[]),
            hosts: BTreeMap::new(),
            last_reports: BTreeMap::new(),
            end_numbers: BTreeMap::new(),
            crashed: Vec::new(),
            crashing_tasks: crashing_tasks.iter().map(|task| (*task, 0)).collect(),
            small_runtime,
            booted: 0,
            started_at: BTreeMap::new(),
        }
    }

    /// Returns a fleet in which one worker has all small tasks and has just crashed.
    fn after_crash(crashing_tasks: &[TaskId], small_runtime: Duration) -> Self {
        let mut fleet = Fleet::new(crashing_tasks, small_runtime);
        fleet.boot();
        fleet.start_small_jobs();
        fleet.crash_first();
        (1..WORKERS).for_each(|_| fleet.boot());
        fleet
    }

    /// Starts all small tasks on the only worker.
    fn start_small_jobs(&mut self) {
        for id in 1..=SMALL_JOBS {
            self.harness.cell.accept(job(id, vec![small_tasks()]));
        }
        self.start();
        assert_eq!(
            self.runs_on_first(),
            SMALL_JOBS as usize * SMALL_TASKS as usize
        );
    }

    fn runs_on_first(&self) -> usize {
        self.hosts.values().next().unwrap().len()
    }

    /// Crashes the first worker, which is detected at once.
    fn crash_first(&mut self) {
        let id = self.hosts.keys().next().unwrap().clone();
        self.crash(&id, Duration::ZERO);
        let now = self.harness.now;
        self.harness.cell.abandon_worker(&id, Loss::Ended, now);
        self.crashed.clear();
    }

    fn boot(&mut self) {
        self.booted += 1;
        let id = format!("w{:05}", self.booted);
        self.harness.add_worker(&id);
        self.hosts.insert(id.as_str().into(), BTreeMap::new());
    }

    /// Crashes a worker with all its runs. Another one replaces it at once.
    fn crash(&mut self, id: &str, detection_delay: Duration) {
        self.hosts.remove(id).unwrap();
        self.harness.advance(10);
        let now = self.harness.now;
        self.harness.cell.mark_silent(id, now);
        self.crashed.push((id.into(), now + detection_delay));
        self.boot();
    }

    /// Schedules, and starts what the cell orders.
    fn start(&mut self) {
        for (worker, task, run) in self.harness.start_tasks() {
            let now = self.harness.now;
            self.started_at.insert(task.job, now);
            if let Some(count) = self.crashing_tasks.get_mut(&task) {
                *count += 1;
            }
            let host = self.hosts.get_mut(&worker).unwrap();
            host.insert((task, run), now);
        }
    }

    /// Replaces the owner by a new one that loads the log. The list still names workers that crashed recently.
    fn take_over(&mut self) {
        self.harness.take_over();
        let now = self.harness.now;
        for (id, _) in &self.crashed {
            self.harness.cell.upsert_worker(fixture::worker(id), now);
            self.harness.cell.mark_silent(id, now);
        }
        let ids: Vec<WorkerId> = self.hosts.keys().cloned().collect();
        for id in ids {
            self.harness.cell.upsert_worker(fixture::worker(&id), now);
            self.report(&id, &[]);
        }
        self.harness.cell.mark_listed();
        // Workers that only the records name no longer run on any VM.
        let orphans = self.harness.cell.orphaned_workers().into_iter();
        self.crashed
            .extend(orphans.map(|id| (id, now + DETECTION_DELAY)));
    }

    fn step(&mut self) {
        self.harness.now += TICK;
        let now = self.harness.now;
        let ended = self.crashed.extract_if(.., |(_, at)| *at <= now);
        for (id, _) in ended.collect::<Vec<_>>() {
            self.harness.cell.abandon_worker(&id, Loss::Ended, now);
        }
        let crashes = |runs: &BTreeMap<(TaskId, RunId), Instant>| {
            let mut tasks = runs.keys().map(|(task, _)| task);
            tasks.any(|task| self.crashing_tasks.contains_key(task))
        };
        let ids: Vec<(WorkerId, bool)> = self
            .hosts
            .iter()
            .map(|(id, runs)| (id.clone(), crashes(runs)))
            .collect();
        for (id, crashes) in ids {
            match crashes {
                true => self.crash(&id, DETECTION_DELAY),
                false => self.report_if_due(&id),
            }
        }
        self.start();
    }

    /// Lets a worker report if runs have ended, a quarantine is old enough or its regular report is due.
    fn report_if_due(&mut self, id: &WorkerId) {
        let now = self.harness.now;
        let small_runtime = self.small_runtime;
        let runtime = |task: &TaskId| match task.job {
            ..OTHER_JOB => small_runtime,
            OTHER_JOB.. => Duration::from_millis(200),
        };
        let host = self.hosts.get_mut(id).unwrap();
        let ended = host.extract_if(.., |(task, _), at| *at + runtime(task) <= now);
        let ended: Vec<(TaskId, RunId)> = ended.map(|(key, _)| key).collect();
        let worker = self.harness.cell.workers.get(id).unwrap();
        let is_proven = worker.quarantine.is_some_and(|quarantine| {
            let run = worker.runs.get(&quarantine.key);
            let sent = run.and_then(|run| run.sent_at);
            sent.is_none_or(|sent| sent + quarantine.threshold <= now)
        });
        let is_due = *self.last_reports.entry(id.clone()).or_insert(now) + REPORT_INTERVAL <= now;
        if is_proven || is_due || !ended.is_empty() {
            self.report(id, &ended);
        }
    }

    fn report(&mut self, id: &WorkerId, ended: &[(TaskId, RunId)]) {
        let now = self.harness.now;
        self.last_reports.insert(id.clone(), now);
        let number = self.end_numbers.entry(id.clone()).or_default();
        let end = |(task, run): &(TaskId, RunId)| {
            *number += 1;
            EndRow {
                number: *number,
                task: *task,
                run: *run,
                how: RunOutcome::Done,
                saved: String::new(),
            }
        };
        let ended = ended.iter().map(end).collect();
        let running = self.hosts[id].keys();
        let running = running.map(|(task, run)| row(*task, *run, 50)).collect();
        let report = Report {
            running,
            ended,
            ..Report::default()
        };
        self.harness.cell.apply_report(id, &report, now, now);
    }

    /// Returns whether a crash counts against a task of a job that is not over.
    fn has_suspects(&self) -> bool {
        let jobs = self.harness.cell.jobs.values();
        let steps = jobs
            .flat_map(|job| &job.rounds)
            .flat_map(|round| &round.steps);
        let mut tasks = steps.flatten();
        tasks.any(|state| !state.history.crashes.is_empty())
    }

    /// Returns how long it takes until nothing is suspected any more, with a new owner each so many steps.
    fn time_to_clear(&mut self, change_every: u32, limit: Duration) -> Duration {
        let start = self.harness.now;
        let mut steps = 0;
        while (self.has_suspects() || !self.crashed.is_empty()) && self.harness.now < start + limit
        {
            self.step();
            steps += 1;
            if change_every > 0 && steps % change_every == 0 {
                self.take_over();
            }
        }
        self.harness.now - start
    }

    /// Checks that exactly the jobs with a crashing task have failed, after few starts. Returns the most starts.
    fn check_crashing_tasks(&self) -> u32 {
        let crashing_jobs: BTreeSet<JobId> =
            self.crashing_tasks.keys().map(|task| task.job).collect();
        for (id, job) in &self.harness.cell.jobs {
            let failed = job.phase == Phase::Failed;
            assert_eq!(failed, crashing_jobs.contains(id), "job {id}");
        }
        let starts = self.crashing_tasks.values().max().copied().unwrap_or(0);
        assert!(starts <= MAX_STARTS, "started {starts} times");
        starts
    }
}

fn small_tasks() -> Step {
    let mut step = step(SMALL_TASKS);
    step.need.cpu = 5;
    step.need.memory = 1;
    step
}

#[parameterized(
    short_tasks = { 20 },
    tasks_of_100_ms = { 100 },
    long_tasks = { 5_000 },
)]
fn jobs_that_fit_on_half_of_the_workers_do_not_wait_for_suspects(small_runtime: u64) {
    let mut fleet = Fleet::after_crash(&[], Duration::from_millis(small_runtime));
    for number in 0..20 {
        let accepted = fleet.harness.now;
        let id = OTHER_JOB + number;
        // Half of the cores.
        let other = job(id, vec![step(WORKERS * 2)]);
        fleet.harness.cell.accept(other);
        (0..70).for_each(|_| fleet.step());
        let is_done = fleet.harness.cell.jobs[&id].phase == Phase::Succeeded;
        let wait = fleet.started_at.get(&id).map(|at| *at - accepted);
        assert!(
            is_done && wait.is_some_and(|wait| wait <= MAX_WAIT),
            "job {number} after the crash waited for {wait:?}"
        );
    }
}

#[parameterized(
    short_tasks = { 20 },
    long_tasks = { 5_000 },
)]
fn five_hundred_suspects_are_cleared_while_other_jobs_wait(small_runtime: u64) {
    let mut fleet = Fleet::after_crash(&[], Duration::from_millis(small_runtime));
    let others = job(OTHER_JOB, vec![step(10_000)]);
    fleet.harness.cell.accept(others);
    let time = fleet.time_to_clear(0, Duration::from_secs(60));
    println!("cleared after {time:?}");
    assert!(time <= MAX_CLEARING, "cleared after {time:?}");
    assert_eq!(fleet.check_crashing_tasks(), 0);
}

/// Workers crash by accident, so that one crash makes nothing suspected and two crashes of one worker after the other
/// leave hundreds of suspects with two crashes each.
#[test]
fn suspects_of_two_crashes_are_cleared_while_other_jobs_wait() {
    let mut fleet = Fleet::new(&[], Duration::from_secs(5));
    fleet.boot();
    for id in 1..=2 {
        let long_running = Step {
            long_running: true,
            ..step(1)
        };
        fleet
            .harness
            .cell
            .accept(job(OTHER_JOB - id, vec![long_running]));
        (0..200).for_each(|_| fleet.step());
        fleet.crash_first();
        fleet.harness.cell.cancel(OTHER_JOB - id);
        (0..2).for_each(|_| fleet.step());
    }
    assert_eq!(fleet.hosts.len(), 1);
    fleet.start_small_jobs();
    fleet.crash_first();
    fleet.step();
    assert_eq!(fleet.runs_on_first(), 500, "one crash is no evidence here");
    fleet.crash_first();
    (1..WORKERS).for_each(|_| fleet.boot());
    let others = job(OTHER_JOB, vec![step(10_000)]);
    fleet.harness.cell.accept(others);
    let time = fleet.time_to_clear(0, Duration::from_secs(60));
    println!("cleared after {time:?}");
    assert!(time <= MAX_CLEARING, "cleared after {time:?}");
    assert_eq!(fleet.check_crashing_tasks(), 0);
}

#[parameterized(
    one_task = { 1, 0 },
    a_task_of_each_second_job = { 5, 0 },
    owner_change_every_3_s = { 1, 300 },
    five_tasks_and_an_owner_change_every_3_s = { 5, 300 },
)]
fn a_task_that_crashes_workers_is_found_among_five_hundred(count: JobId, change_every: u32) {
    let crashing: Vec<TaskId> = (1..=count).map(|id| task(2 * id, 0, 17)).collect();
    let mut fleet = Fleet::after_crash(&crashing, Duration::from_secs(2));
    let others = job(OTHER_JOB, vec![step(10_000)]);
    fleet.harness.cell.accept(others);
    let time = fleet.time_to_clear(change_every, Duration::from_secs(100));
    let starts = fleet.check_crashing_tasks();
    println!("over after {time:?}, at most {starts} starts");
    assert!(time <= MAX_ATTRIBUTION, "over after {time:?}");
}
