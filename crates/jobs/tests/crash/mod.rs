//! A fleet in which some tasks end each worker that starts them, played step by step around one cell.

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

/// Length of a step, in ms.
const TICK: u64 = 10;

/// Time between two reports of a worker on which nothing ends, in ms.
const ASK: u64 = 500;

/// Time from the end of a worker without notice to when its runs are known to be gone, in ms.
const KNOWN: u64 = 1_600;

/// Time from its end to when another life of it comes, in ms.
const BACK: u64 = 3_000;

/// When the last job is handed in, in ms.
const LAST: u64 = 40_000;

/// When all must be over, in ms.
const END: u64 = 60_000;

/// Tasks of a job.
const TASKS: u32 = 6;

/// What is played.
#[derive(Clone, Copy)]
pub struct Plan {
    /// How many workers there are.
    pub workers: u32,
    /// How many jobs have one task that ends each worker that starts it.
    pub crashers: u32,
    /// How long after its start such a task does so, in ms.
    pub delay: u64,
    /// Time between two changes of the owner, in ms.
    pub owners: u64,
    /// The mean time between two ends of workers for which no task is the cause, in ms; 0 for none.
    pub accidents: u64,
    /// Whether the tasks of a job start and end only together.
    pub gang: bool,
    /// Whether the tasks last until their jobs are cancelled.
    pub lasting: bool,
}

/// What came of it.
#[derive(Debug, Default)]
pub struct Outcome {
    /// How often each task was started that ends its workers.
    pub starts: BTreeMap<TaskId, u32>,
    /// Runs of other tasks that ended with a worker.
    pub lost: u32,
    /// Jobs without such a task.
    pub others: usize,
    /// Those of them that are shown as failed.
    pub refused: usize,
    /// Those of them that are not over.
    pub open: usize,
    /// Jobs with such a task that are not shown as failed.
    pub kept: usize,
}

/// A worker as it is.
struct Host {
    running: BTreeMap<(TaskId, RunId), Run>,
    asked: u64,
    /// When it is asked once more, for a run in quarantine there.
    look: Option<u64>,
    number: u64,
}

/// The ends that a worker lists of some of its runs.
fn list_ends(host: &mut Host, over: Vec<(TaskId, RunId)>, how: RunOutcome) -> Vec<EndRow> {
    let first = host.number + 1;
    host.number += over.len() as u64;
    let end = |(number, (task, run))| EndRow {
        number,
        task,
        run,
        how,
        saved: String::new(),
    };
    (first..).zip(over).map(end).collect()
}

/// A run on a worker.
struct Run {
    ends: u64,
    crashes: bool,
}

/// The fleet so far.
struct Fleet {
    plan: Plan,
    rng: StdRng,
    start: Instant,
    now: u64,
    cell: Cell,
    log: BTreeMap<String, Vec<u8>>,
    hosts: BTreeMap<WorkerId, Host>,
    /// The workers that have ended, and when that is known.
    ended: Vec<(WorkerId, u64)>,
    /// When other lives of workers come.
    back: Vec<u64>,
    lives: u32,
    /// The jobs that have a task that ends its workers.
    crashers: BTreeSet<JobId>,
    next: JobId,
    outcome: Outcome,
}

/// A worker's entry: 16 cores.
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
            back: Vec::new(),
            lives: 0,
            crashers: BTreeSet::new(),
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
        self.lives += 1;
        let id = format!("w{:05}", self.lives);
        let asked = self.now + self.rng.random_range(0..ASK);
        let host = Host {
            running: BTreeMap::new(),
            asked,
            look: None,
            number: 0,
        };
        self.hosts.insert(id.as_str().into(), host);
        self.cell.upsert_worker(entry(&id), self.instant());
        self.report(&id, Vec::new());
    }

    /// A worker ends without notice, with all that runs there.
    fn crash(&mut self, id: &str) {
        let host = self.hosts.remove(id).unwrap();
        let others = host.running.values().filter(|run| !run.crashes);
        self.outcome.lost += others.count() as u32;
        self.cell.mark_silent(id, self.instant());
        self.ended.push((id.into(), self.now + KNOWN));
        self.back.push(self.now + BACK);
        if self.plan.gang {
            let gangs: BTreeSet<JobId> = host.running.keys().map(|(task, _)| task.job).collect();
            self.break_gangs(&gangs);
        }
    }

    /// Members of gangs end with the one whose worker has ended.
    fn break_gangs(&mut self, gangs: &BTreeSet<JobId>) {
        let ids: Vec<WorkerId> = self.hosts.keys().cloned().collect();
        for id in ids {
            let host = self.hosts.get_mut(&id).unwrap();
            let over = host
                .running
                .extract_if(.., |(task, _), _| gangs.contains(&task.job));
            let over: Vec<_> = over.map(|(key, _)| key).collect();
            if !over.is_empty() {
                let ended = list_ends(host, over, RunOutcome::Broken);
                self.report(&id, ended);
            }
        }
    }

    fn step(&mut self) {
        self.now += TICK;
        let due = self.back.extract_if(.., |at| *at <= self.now).count();
        (0..due).for_each(|_| self.boot());
        self.end_workers();
        self.note_ended();
        self.end_runs();
        self.hand_in();
        if self.now.is_multiple_of(self.plan.owners) {
            self.take_over();
        }
        self.decide();
    }

    /// Workers end under tasks that do that, and by accident.
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
        let accidents = self.plan.accidents;
        if accidents > 0 && now < LAST && self.rng.random_ratio(TICK as u32, accidents as u32) {
            let place = self.rng.random_range(0..self.hosts.len().max(1));
            if let Some(id) = self.hosts.keys().nth(place).cloned() {
                self.crash(&id);
            }
        }
    }

    /// What the platform shows some time after the end of a worker.
    fn note_ended(&mut self) {
        let now = self.now;
        let known: Vec<_> = self.ended.extract_if(.., |(_, at)| *at <= now).collect();
        for (id, _) in known {
            self.cell.abandon_worker(&id, Loss::Ended, self.instant());
        }
    }

    /// Runs end, and workers report.
    fn end_runs(&mut self) {
        let ids: Vec<WorkerId> = self.hosts.keys().cloned().collect();
        for id in ids {
            let host = self.hosts.get_mut(&id).unwrap();
            let over = host
                .running
                .extract_if(.., |_, run| !run.crashes && run.ends <= self.now);
            let over: Vec<_> = over.map(|(key, _)| key).collect();
            let ended = list_ends(host, over, RunOutcome::Done);
            let look = host.look.take_if(|at| *at <= self.now).is_some();
            if look || !ended.is_empty() || host.asked + ASK <= self.now {
                self.report(&id, ended);
            }
        }
    }

    fn report(&mut self, id: &str, ended: Vec<EndRow>) {
        let host = self.hosts.get_mut(id).unwrap();
        host.asked = self.now;
        let row = |(task, run): &(TaskId, RunId)| RunRow {
            task: *task,
            run: *run,
            saved: String::new(),
            percent: self.now / ASK,
            measurement: 0,
        };
        let running = host.running.keys().map(row).collect();
        let now = self.instant();
        self.cell
            .apply_report(id, &Report { running, ended }, now, now);
    }

    /// Hands in as much as half of the fleet can do, and the jobs with a task that ends its workers.
    fn hand_in(&mut self) {
        if self.now >= LAST {
            return;
        }
        let crashers = self.plan.crashers * self.now as u32 / LAST as u32;
        while (self.crashers.len() as u32) < crashers + u32::from(self.plan.crashers > 0) {
            self.crashers.insert(self.next);
            self.submit();
        }
        // Half of 16 tasks a worker, each of 2.25 s in the mean.
        let each = self.plan.workers * 8 * TICK as u32;
        if self
            .rng
            .random_ratio(each.min(2_250 * TASKS), 2_250 * TASKS)
            && !self.plan.lasting
        {
            self.submit();
        }
        if self.plan.lasting && self.next < u64::from(self.plan.workers) {
            self.submit();
        }
    }

    fn submit(&mut self) {
        let step = Step {
            gang: self.plan.gang,
            long_running: self.plan.lasting,
            estimate_ms: 2_250,
            ..step(TASKS)
        };
        let given: Submission = job(self.next, vec![step]);
        self.next += 1;
        self.cell.accept(given);
    }

    /// The owner ends, and another takes what the log holds; it is listed which workers lived a moment ago.
    fn take_over(&mut self) {
        let decoded: Vec<Decoded> = self
            .log
            .iter()
            .map(|(key, value)| decode_entry(key, value).unwrap())
            .collect();
        self.cell = Cell::new(Limits::default());
        self.cell.load_records(decoded);
        let now = self.instant();
        let gone: Vec<WorkerId> = self.ended.iter().map(|(id, _)| id.clone()).collect();
        for id in &gone {
            self.cell.upsert_worker(entry(id), now);
            self.cell.mark_silent(id, now);
        }
        let ids: Vec<WorkerId> = self.hosts.keys().cloned().collect();
        for id in ids {
            self.cell.upsert_worker(entry(&id), now);
            self.report(&id, Vec::new());
        }
        self.cell.mark_listed();
        // No VM has the workers any more that only the records name.
        let known = self.now + KNOWN;
        let orphans = self.cell.orphaned_workers().into_iter();
        self.ended.extend(orphans.map(|id| (id, known)));
    }

    fn decide(&mut self) {
        let now = self.instant();
        self.cell.schedule(now);
        let batch = self.cell.take_batch();
        self.keep(&batch.entries);
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

    fn keep(&mut self, entries: &[Entry]) {
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
        let crashes = self.crashers.contains(&task.job) && task.index == 0;
        let took = match self.plan.gang {
            // Its members end together.
            true => 1_500 + task.job * 7_919 % 1_500,
            false => self.rng.random_range(1_500..3_000),
        };
        let Some(host) = self.hosts.get_mut(id) else {
            return self.cell.unacked(id, task, run);
        };
        let ends = match (crashes, self.plan.lasting) {
            (true, _) => self.now + self.plan.delay,
            (false, true) => u64::MAX,
            (false, false) => self.now + took,
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
            host.look = Some(self.now + quarantine.threshold.as_millis() as u64);
        }
    }

    fn stop(&mut self, id: &str, task: TaskId, run: RunId) {
        let now = self.instant();
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        host.running.remove(&(task, run));
        self.cell.stop_accepted(id, task, run, now);
        // The next report shows it gone.
        host.asked = 0;
    }

    fn judge(mut self) -> Outcome {
        for (id, job) in &self.cell.jobs {
            let failed = job.phase == Phase::Failed;
            if self.crashers.contains(id) {
                self.outcome.kept += usize::from(!failed);
            } else {
                self.outcome.others += 1;
                self.outcome.refused += usize::from(failed);
                let goes_on = self.plan.lasting && job.phase == Phase::Running;
                self.outcome.open += usize::from(!job.phase.is_over() && !goes_on);
            }
        }
        self.outcome
    }
}

/// Plays a fleet to its end.
pub fn play(plan: Plan, seed: u64) -> Outcome {
    let mut fleet = Fleet::new(plan, seed);
    while fleet.now < END {
        fleet.step();
    }
    fleet.judge()
}
