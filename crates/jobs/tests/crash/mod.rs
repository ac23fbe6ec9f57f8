//! A step-by-step simulation of one cell and a fleet in which some tasks crash every worker that starts them.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

use crate::fixture::{job, step, worker};
use clock::Instant;
use havenladder_jobs::{
    Cell, Decoded, EndRow, Entry, JobId, Limits, Loss, Need, Order, Phase, Report, RunId,
    RunOutcome, RunRow, Step, Submission, TaskId, WorkerId, WorkerInfo, decode_entry,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Length of a simulation step, in ms.
const TICK_MS: u64 = 10;

/// Time between two reports of a worker on which no run ends, in ms.
const REPORT_INTERVAL_MS: u64 = 500;

/// Time from the crash of a worker until its end is detected, in ms.
const DETECTION_DELAY_MS: u64 = 1_600;

/// Time from the crash of a worker until a new one replaces it, in ms.
const RESTART_DELAY_MS: u64 = 3_000;

/// Time at which the last job is submitted, in ms.
const LAST_SUBMISSION_AT_MS: u64 = 40_000;

/// Time at which all jobs must have ended, in ms.
const END_MS: u64 = 60_000;

/// Number of tasks of a job.
const TASKS: u32 = 6;

/// Parameters of a simulation.
#[derive(Clone, Copy)]
pub struct Plan {
    /// Number of workers.
    pub workers: u32,
    /// Number of jobs with one task that crashes every worker that starts it.
    pub crashing_jobs: u32,
    /// Time from the start of such a task to the crash, in ms.
    pub crash_delay: u64,
    /// Time between two changes of owner, in ms.
    pub owner_change_interval: u64,
    /// Mean time between two crashes of workers that no task causes, in ms; 0 for none.
    pub accident_interval: u64,
    /// Whether the tasks of a job form a gang, which starts and ends together.
    pub gang: bool,
    /// Whether the tasks run until their jobs are cancelled.
    pub long_running: bool,
}

/// Result of a simulation.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Number of starts of each task that crashes its workers.
    pub starts: BTreeMap<TaskId, u32>,
    /// Number of runs of other tasks that were lost when a worker crashed.
    pub lost_runs: u32,
    /// Number of other jobs, which have no crashing task.
    pub others: usize,
    /// Number of other jobs that failed.
    pub failed_others: usize,
    /// Number of other jobs that have neither ended nor are running as long-running jobs.
    pub open_jobs: usize,
    /// Number of jobs with a crashing task that have not failed.
    pub unfailed_crashers: usize,
}

/// The actual state of a simulated worker, independent of what the cell knows.
struct Host {
    running: BTreeMap<(TaskId, RunId), Run>,
    last_report_at: u64,
    /// Time of an additional report that is due for a run in quarantine there.
    next_check: Option<u64>,
    number: u64,
}

/// Returns the rows in which a worker reports the ends of the given runs.
fn list_ends(host: &mut Host, ended_runs: Vec<(TaskId, RunId)>, how: RunOutcome) -> Vec<EndRow> {
    let first = host.number + 1;
    host.number += ended_runs.len() as u64;
    let end = |(number, (task, run))| EndRow {
        number,
        task,
        run,
        how,
        saved: String::new(),
    };
    (first..).zip(ended_runs).map(end).collect()
}

/// A run on a simulated worker.
struct Run {
    ends: u64,
    crashes: bool,
}

/// The state of a simulation.
struct Fleet {
    plan: Plan,
    rng: StdRng,
    start: Instant,
    now: u64,
    cell: Cell,
    log: BTreeMap<String, Vec<u8>>,
    hosts: BTreeMap<WorkerId, Host>,
    /// The workers that have crashed, and the times at which their ends are detected.
    ended: Vec<(WorkerId, u64)>,
    /// Times at which new workers replace crashed ones.
    restarts_at: Vec<u64>,
    booted: u32,
    /// The jobs with a task that crashes its workers.
    crashing_jobs: BTreeSet<JobId>,
    next: JobId,
    outcome: Outcome,
}

/// Returns the list entry of a worker with 16 cores.
fn entry(id: &str) -> WorkerInfo {
    let capacity = Need {
        cpu: 16_000,
        memory: 16_000,
        gpu: 0,
    };
    WorkerInfo {
        capacity,
        ..worker(id)
    }
}

impl Fleet {
    fn new(plan: Plan, seed: u64) -> Self {
        let mut fleet = Fleet {
            plan,
            rng: StdRng::seed_from_u64(seed),
            start: Instant::now(),
            now: 0,
            cell: Cell::new(Limits::default()),
            log: BTreeMap::new(),
            hosts: BTreeMap::new(),
            ended: Vec::new(),
            restarts_at: Vec::new(),
            booted: 0,
            crashing_jobs: BTreeSet::new(),
            next: 1,
            outcome: Outcome::default(),
        };
        (0..plan.workers).for_each(|_| fleet.boot());
        fleet
    }

    fn instant(&self) -> Instant {
        self.start + Duration::from_millis(self.now)
    }

    fn boot(&mut self) {
        self.booted += 1;
        let id = format!("w{:05}", self.booted);
        let last_report_at = self.now + self.rng.random_range(0..REPORT_INTERVAL_MS);
        let host = Host {
            running: BTreeMap::new(),
            last_report_at,
            next_check: None,
            number: 0,
        };
        self.hosts.insert(id.as_str().into(), host);
        self.cell.upsert_worker(entry(&id), self.instant());
        self.report(&id, Vec::new());
    }

    /// Crashes a worker together with all its runs.
    fn crash(&mut self, id: &str) {
        let host = self.hosts.remove(id).unwrap();
        let others = host.running.values().filter(|run| !run.crashes);
        self.outcome.lost_runs += others.count() as u32;
        self.cell.mark_silent(id, self.instant());
        self.ended.push((id.into(), self.now + DETECTION_DELAY_MS));
        self.restarts_at.push(self.now + RESTART_DELAY_MS);
        if self.plan.gang {
            let gangs: BTreeSet<JobId> = host.running.keys().map(|(task, _)| task.job).collect();
            self.end_gangs(&gangs);
        }
    }

    /// Ends the remaining members of gangs that lost a member in a crash.
    fn end_gangs(&mut self, gangs: &BTreeSet<JobId>) {
        let ids: Vec<WorkerId> = self.hosts.keys().cloned().collect();
        for id in ids {
            let host = self.hosts.get_mut(&id).unwrap();
            let ended_runs = host
                .running
                .extract_if(.., |(task, _), _| gangs.contains(&task.job));
            let ended_runs: Vec<_> = ended_runs.map(|(key, _)| key).collect();
            if !ended_runs.is_empty() {
                let ended = list_ends(host, ended_runs, RunOutcome::Broken);
                self.report(&id, ended);
            }
        }
    }

    fn step(&mut self) {
        self.now += TICK_MS;
        let due = self
            .restarts_at
            .extract_if(.., |at| *at <= self.now)
            .count();
        (0..due).for_each(|_| self.boot());
        self.end_workers();
        self.abandon_ended();
        self.end_runs();
        self.submit_jobs();
        if self.now.is_multiple_of(self.plan.owner_change_interval) {
            self.take_over();
        }
        self.decide();
    }

    /// Crashes the workers of crashing tasks that are due, and occasionally a random worker.
    fn end_workers(&mut self) {
        let now = self.now;
        let is_due = |host: &Host| {
            host.running
                .values()
                .any(|run| run.crashes && run.ends <= now)
        };
        let due: Vec<WorkerId> = self
            .hosts
            .iter()
            .filter(|(_, host)| is_due(host))
            .map(|(id, _)| id.clone())
            .collect();
        due.iter().for_each(|id| self.crash(id));
        let accident_interval = self.plan.accident_interval;
        if accident_interval > 0
            && now < LAST_SUBMISSION_AT_MS
            && self
                .rng
                .random_ratio(TICK_MS as u32, accident_interval as u32)
        {
            let place = self.rng.random_range(0..self.hosts.len().max(1));
            if let Some(id) = self.hosts.keys().nth(place).cloned() {
                self.crash(&id);
            }
        }
    }

    /// Abandons the crashed workers whose ends are already detected, as the platform reports them after some time.
    fn abandon_ended(&mut self) {
        let now = self.now;
        let known: Vec<_> = self.ended.extract_if(.., |(_, at)| *at <= now).collect();
        for (id, _) in known {
            self.cell.abandon_worker(&id, Loss::Ended, self.instant());
        }
    }

    /// Ends the runs that are due, and lets workers report their ends or their regular report.
    fn end_runs(&mut self) {
        let ids: Vec<WorkerId> = self.hosts.keys().cloned().collect();
        for id in ids {
            let host = self.hosts.get_mut(&id).unwrap();
            let ended_runs = host
                .running
                .extract_if(.., |_, run| !run.crashes && run.ends <= self.now);
            let ended_runs: Vec<_> = ended_runs.map(|(key, _)| key).collect();
            let ended = list_ends(host, ended_runs, RunOutcome::Done);
            let check_due = host.next_check.take_if(|at| *at <= self.now).is_some();
            if check_due
                || !ended.is_empty()
                || host.last_report_at + REPORT_INTERVAL_MS <= self.now
            {
                self.report(&id, ended);
            }
        }
    }

    fn report(&mut self, id: &str, ended: Vec<EndRow>) {
        let host = self.hosts.get_mut(id).unwrap();
        host.last_report_at = self.now;
        let row = |(task, run): &(TaskId, RunId)| RunRow {
            task: *task,
            run: *run,
            saved: String::new(),
            percent: self.now / REPORT_INTERVAL_MS,
            measurement: 0,
        };
        let running = host.running.keys().map(row).collect();
        let now = self.instant();
        self.cell.apply_report(
            id,
            &Report {
                running,
                ended,
                ..Report::default()
            },
            now,
            now,
        );
    }

    /// Submits the jobs with a crashing task, and other jobs that use half of the fleet's capacity.
    fn submit_jobs(&mut self) {
        if self.now >= LAST_SUBMISSION_AT_MS {
            return;
        }
        let crashing_jobs =
            self.plan.crashing_jobs * self.now as u32 / LAST_SUBMISSION_AT_MS as u32;
        while (self.crashing_jobs.len() as u32)
            < crashing_jobs + u32::from(self.plan.crashing_jobs > 0)
        {
            self.crashing_jobs.insert(self.next);
            self.submit();
        }
        // Half of the 16 tasks for which a worker has capacity; a task takes 2.25 s on average.
        let load = self.plan.workers * 8 * TICK_MS as u32;
        if self
            .rng
            .random_ratio(load.min(2_250 * TASKS), 2_250 * TASKS)
            && !self.plan.long_running
        {
            self.submit();
        }
        if self.plan.long_running && self.next < u64::from(self.plan.workers) {
            self.submit();
        }
    }

    fn submit(&mut self) {
        let step = Step {
            gang: self.plan.gang,
            long_running: self.plan.long_running,
            estimate_ms: 2_250,
            ..step(TASKS)
        };
        let submission: Submission = job(self.next, vec![step]);
        self.next += 1;
        self.cell.accept(submission);
    }

    /// Replaces the owner by a new one that loads the log. The list still names workers that crashed recently.
    fn take_over(&mut self) {
        let decoded: Vec<Decoded> = self
            .log
            .iter()
            .map(|(key, value)| decode_entry(key, value).unwrap())
            .collect();
        self.cell = Cell::new(Limits::default());
        self.cell.load_records(decoded);
        let now = self.instant();
        let ended_ids: Vec<WorkerId> = self.ended.iter().map(|(id, _)| id.clone()).collect();
        for id in &ended_ids {
            self.cell.upsert_worker(entry(id), now);
            self.cell.mark_silent(id, now);
        }
        let ids: Vec<WorkerId> = self.hosts.keys().cloned().collect();
        for id in ids {
            self.cell.upsert_worker(entry(&id), now);
            self.report(&id, Vec::new());
        }
        self.cell.mark_listed();
        // Workers that only the records name no longer run on any VM.
        let known = self.now + DETECTION_DELAY_MS;
        let orphans = self.cell.orphaned_workers().into_iter();
        self.ended.extend(orphans.map(|id| (id, known)));
    }

    fn decide(&mut self) {
        let now = self.instant();
        self.cell.schedule(now);
        let batch = self.cell.take_batch();
        self.append(&batch.entries);
        self.cell.confirm(&batch);
        for order in batch.starts {
            if let Order::Start { worker, task, run } = order {
                self.start(&worker, task, run);
            }
        }
        for order in self.cell.take_urgent() {
            if let Order::Stop { worker, task, run } = order {
                self.stop(&worker, task, run);
            }
        }
    }

    fn append(&mut self, entries: &[Entry]) {
        for entry in entries {
            match &entry.value {
                Some(value) => self.log.insert(entry.key.clone(), value.clone()),
                None => self.log.remove(&entry.key),
            };
        }
    }

    fn start(&mut self, id: &str, task: TaskId, run: RunId) {
        let now = self.instant();
        if !self.cell.prepare_start(id, task, run, now) {
            return;
        }
        let crashes = self.crashing_jobs.contains(&task.job) && task.index == 0;
        let duration = match self.plan.gang {
            // All members of a gang end at the same time.
            true => 1_500 + task.job * 7_919 % 1_500,
            false => self.rng.random_range(1_500..3_000),
        };
        let Some(host) = self.hosts.get_mut(id) else {
            return self.cell.unacked(id, task, run);
        };
        let ends = match (crashes, self.plan.long_running) {
            (true, _) => self.now + self.plan.crash_delay,
            (false, true) => u64::MAX,
            (false, false) => self.now + duration,
        };
        host.running.insert((task, run), Run { ends, crashes });
        if crashes {
            *self.outcome.starts.entry(task).or_default() += 1;
        }
        self.cell.start_accepted(id, task, run, now);
        let quarantine = self
            .cell
            .workers
            .get(id)
            .and_then(|worker| worker.quarantine);
        if let Some(quarantine) = quarantine.filter(|quarantine| quarantine.key == (task, run)) {
            let host = self.hosts.get_mut(id).unwrap();
            host.next_check = Some(self.now + quarantine.threshold.as_millis() as u64);
        }
    }

    fn stop(&mut self, id: &str, task: TaskId, run: RunId) {
        let now = self.instant();
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        host.running.remove(&(task, run));
        self.cell.stop_accepted(id, task, run, now);
        // The next report no longer lists the run.
        host.last_report_at = 0;
    }

    fn evaluate(mut self) -> Outcome {
        for (id, job) in &self.cell.jobs {
            let failed = job.phase == Phase::Failed;
            if self.crashing_jobs.contains(id) {
                self.outcome.unfailed_crashers += usize::from(!failed);
            } else {
                self.outcome.others += 1;
                self.outcome.failed_others += usize::from(failed);
                let is_running = self.plan.long_running && job.phase == Phase::Running;
                self.outcome.open_jobs += usize::from(!job.phase.is_over() && !is_running);
            }
        }
        self.outcome
    }
}

/// Runs a simulation to its end and returns its outcome.
pub fn play(plan: Plan, seed: u64) -> Outcome {
    let mut fleet = Fleet::new(plan, seed);
    while fleet.now < END_MS {
        fleet.step();
    }
    fleet.evaluate()
}
