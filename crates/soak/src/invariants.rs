//! The invariants that must hold under all faults, checked from what callers and workers observed.

use crate::{caller::Job, prober::WrongRejection};
use standin::users::events::{Event, RunEvent};
use std::{
    collections::{BTreeMap, HashMap, HashSet},
    fmt,
    time::{Duration, Instant},
};

/// The time after a confirmed cancellation in which a worker may still receive the start of a task,
/// since it may already have been sent.
const CANCEL_GRACE: Duration = Duration::from_millis(3_000);

/// The time for which an owner that is isolated from the log may apply an old bound: the 6 s for
/// which it continues, plus the time that its last starts may take.
const MAX_BOUND_AGE: Duration = Duration::from_millis(8_000);

/// The maximum number of starts of a task that ends its workers: two more after the third start.
const MAX_FATAL_STARTS: usize = 5;

/// The number of times that workers must have ended under one task before its job may fail.
const MIN_LOST_WORKERS: u32 = 2;

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Violated invariant.
    pub invariant: Invariant,
    /// Job, or task, that the violation concerns.
    pub subject: String,
}

/// The invariants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// A task never has two runs at once, and no run starts after an acknowledged successful end.
    RunsOnce,
    /// A job that every response refused, or that nobody submitted, has no runs.
    RefusedNeverRuns,
    /// A step begins only after the previous step has ended.
    StepsInOrder,
    /// An accepted job stays known until it ends, and fails only for a cause.
    AcceptedIsKept,
    /// No task of a job starts after its cancellation was confirmed.
    NoStartAfterCancel,
    /// A job is reported as done only after all its tasks are done.
    DoneMeansAllTasks,
    /// A task that ends its workers is started only a limited number of times.
    CrashesAreBounded,
    /// A workspace never uses more cores than its bound.
    WithinBound,
    /// A call with an unknown key or a key of another workspace is not admitted.
    KeysAreEnforced,
    /// A route that must be in force is not reported as missing, nor a valid key as unknown.
    ChangesAreInForce,
    /// An entry never uses more memory or sockets than its machine has.
    WithinMachine,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.invariant, self.subject)
    }
}

/// A bound of a workspace: since when, for which workspace, and the number of cores.
type BoundChange = (Instant, String, u64);

/// Checks all invariants and returns the violations.
pub fn check(
    jobs: &BTreeMap<u64, Job>,
    events: &[Event],
    bounds: &[BoundChange],
    rejections: &[WrongRejection],
) -> Vec<Violation> {
    let wrong = |rejection| violation(Invariant::ChangesAreInForce, rejection);
    let mut violations: Vec<Violation> = rejections.iter().map(wrong).collect();
    check_bounds(jobs, events, bounds, &mut violations);
    check_runs(events, &mut violations);
    check_order(events, &mut violations);
    for (id, job) in jobs {
        check_job(*id, job, events, &mut violations);
    }
    let unsubmitted = events
        .iter()
        .find(|event| !jobs.contains_key(&job_of(&event.task)));
    violations.extend(unsubmitted.map(|event| violation(Invariant::RefusedNeverRuns, &event.task)));
    violations
}

/// Checks that no start brings a workspace above the highest bound that its owner may have known.
/// Each task uses one core.
fn check_bounds(
    jobs: &BTreeMap<u64, Job>,
    events: &[Event],
    bounds: &[BoundChange],
    violations: &mut Vec<Violation>,
) {
    let mut running: HashMap<&str, HashSet<(&str, &str, u64)>> = HashMap::new();
    for event in events {
        let job = jobs.get(&job_of(&event.task));
        let Some(workspace) = job.and_then(|job| job.workspace) else {
            continue;
        };
        let runs = running.entry(workspace).or_default();
        let run = (event.worker.as_str(), event.task.as_str(), event.run);
        match event.kind {
            RunEvent::Started => {
                runs.insert(run);
                if runs.len() as u64 > highest_bound(bounds, workspace, event.at) {
                    violations.push(violation(Invariant::WithinBound, &event.task));
                }
            }
            RunEvent::Done | RunEvent::Ended | RunEvent::Lost => {
                runs.remove(&run);
            }
            RunEvent::Acknowledged => {}
        }
    }
}

/// Returns the highest bound of a workspace that may be in force at a time.
fn highest_bound(bounds: &[BoundChange], workspace: &str, at: Instant) -> u64 {
    let own = bounds.iter().filter(|(_, name, _)| name == workspace);
    let before = own
        .clone()
        .take_while(|(from, ..)| *from + MAX_BOUND_AGE < at)
        .last();
    let recent = own.filter(|(from, ..)| *from + MAX_BOUND_AGE >= at && *from <= at);
    let cores = before.into_iter().chain(recent).map(|(.., cores)| *cores);
    match cores.max() {
        Some(0) | None => u64::MAX,
        Some(cores) => cores,
    }
}

fn violation(invariant: Invariant, subject: impl fmt::Display) -> Violation {
    Violation {
        invariant,
        subject: subject.to_string(),
    }
}

/// Returns the id of the job in a task's name; 0 if there is none.
fn job_of(task: &str) -> u64 {
    let name = task.split('.').next().unwrap_or_default();
    u64::from_str_radix(name, 16).unwrap_or(0)
}

/// Returns the number of the step in a task's name.
fn step_of(task: &str) -> &str {
    task.split('.').nth(2).unwrap_or_default()
}

/// Checks that no run of a task starts beside another one or after an acknowledged end, and reports each run that goes
/// on at its start.
fn check_runs(events: &[Event], violations: &mut Vec<Violation>) {
    let mut running: HashMap<&str, Vec<(&str, u64)>> = HashMap::new();
    let mut acknowledged: HashSet<&str> = HashSet::new();
    for event in events {
        let Event {
            worker, task, run, ..
        } = event;
        let runs = running.entry(task).or_default();
        match event.kind {
            RunEvent::Started => {
                let subject = |reason: String| format!("{task} run {run} on {worker} {reason}");
                if acknowledged.contains(task.as_str()) {
                    let reason = "after an acknowledged end".to_owned();
                    violations.push(violation(Invariant::RunsOnce, subject(reason)));
                }
                for (other_worker, other_run) in runs.iter() {
                    let reason = format!("beside run {other_run} on {other_worker}");
                    violations.push(violation(Invariant::RunsOnce, subject(reason)));
                }
                runs.push((worker, *run));
            }
            RunEvent::Done | RunEvent::Ended | RunEvent::Lost => {
                if let Some(index) = runs.iter().position(|known| *known == (worker, *run)) {
                    runs.swap_remove(index);
                }
            }
            RunEvent::Acknowledged => {
                acknowledged.insert(task);
            }
        }
    }
}

/// Checks that tasks of the second step start only after all started tasks of the first step are
/// done.
fn check_order(events: &[Event], violations: &mut Vec<Violation>) {
    let mut unfinished: HashMap<u64, HashSet<&str>> = HashMap::new();
    let mut done: HashSet<&str> = HashSet::new();
    for event in events {
        let first = step_of(&event.task) == "0";
        let waiting = unfinished.entry(job_of(&event.task)).or_default();
        match event.kind {
            // A task stays done, even if its owner learns of it only after it has started another run.
            RunEvent::Started if first && !done.contains(event.task.as_str()) => {
                waiting.insert(&event.task);
            }
            RunEvent::Started if first => {}
            RunEvent::Done if first => {
                waiting.remove(event.task.as_str());
                done.insert(&event.task);
            }
            RunEvent::Started if !waiting.is_empty() => {
                violations.push(violation(Invariant::StepsInOrder, &event.task));
            }
            _ => {}
        }
    }
}

fn check_job(id: u64, job: &Job, events: &[Event], violations: &mut Vec<Violation>) {
    let name = format!("{id:016x}");
    let own = || events.iter().filter(|event| event.task.starts_with(&name));
    let started = |event: &&Event| event.kind == RunEvent::Started;
    if job.refused && job.accepted.is_none() && own().any(|event| started(&event)) {
        violations.push(violation(Invariant::RefusedNeverRuns, &name));
    }
    if job.leaked {
        violations.push(violation(Invariant::KeysAreEnforced, &name));
    }
    check_accepted(&name, job, own(), violations);
    if job.fatal && own().filter(started).count() > MAX_FATAL_STARTS {
        violations.push(violation(Invariant::CrashesAreBounded, &name));
    }
    if let Some(cancelled_at) = job.cancelled {
        let latest = cancelled_at + CANCEL_GRACE;
        let late = |event: &&Event| started(event) && event.called_at > latest;
        violations.extend(
            own()
                .find(late)
                .map(|event| violation(Invariant::NoStartAfterCancel, &event.task)),
        );
    }
    if let Some(reported_at) = job.succeeded {
        check_done(&name, reported_at, own(), violations);
    }
}

/// Returns whether enough workers have ended under one task that the users allow its job to fail.
fn may_fail<'e>(own: impl Iterator<Item = &'e Event>) -> bool {
    let mut lost: HashMap<&str, u32> = HashMap::new();
    for event in own.filter(|event| event.kind == RunEvent::Lost) {
        *lost.entry(&event.task).or_default() += 1;
    }
    lost.values().any(|count| *count >= MIN_LOST_WORKERS)
}

/// Checks that an accepted job was known until it ended, has ended, and failed only for a cause.
fn check_accepted<'e>(
    name: &str,
    job: &Job,
    own: impl Iterator<Item = &'e Event>,
    violations: &mut Vec<Violation>,
) {
    if job.denied.is_some() && job.cancel_sent.is_none() {
        violations.push(violation(
            Invariant::AcceptedIsKept,
            format!("{name} is reported as unknown"),
        ));
    }
    if job.is_open() {
        violations.push(violation(
            Invariant::AcceptedIsKept,
            format!("{name} has not ended"),
        ));
    }
    if job.failed && !may_fail(own) {
        violations.push(violation(
            Invariant::AcceptedIsKept,
            format!("{name} failed without a cause"),
        ));
    }
}

/// Checks that some task started before the job was reported as done, and that every such task had
/// completed by then.
fn check_done<'e>(
    name: &str,
    reported_at: Instant,
    own: impl Iterator<Item = &'e Event>,
    violations: &mut Vec<Violation>,
) {
    let mut started: HashSet<&str> = HashSet::new();
    let mut done: HashSet<&str> = HashSet::new();
    for event in own.filter(|event| event.at < reported_at) {
        match event.kind {
            RunEvent::Started => {
                started.insert(&event.task);
            }
            RunEvent::Done => {
                done.insert(&event.task);
            }
            RunEvent::Ended | RunEvent::Lost | RunEvent::Acknowledged => {}
        }
    }
    if started.is_empty() || started.iter().any(|task| !done.contains(task)) {
        violations.push(violation(Invariant::DoneMeansAllTasks, name));
    }
}
