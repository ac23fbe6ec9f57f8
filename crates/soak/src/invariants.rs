//! What must hold, whatever went wrong, as callers and workers see it.

use crate::caller::Job;
use standin::users::events::{Event, RunEvent};
use std::{
    collections::{BTreeMap, HashMap, HashSet},
    fmt,
    time::{Duration, Instant},
};

/// How long after a cancel was told a start may still come: it may have been on its way.
const CANCEL: Duration = Duration::from_millis(3_000);

/// For how long an owner that the log does not reach may go by an older bound: the 6 s for which it goes on, and what its
/// last starts may take.
const UNHEARD: Duration = Duration::from_millis(8_000);

/// How often a task may be started that ends its workers: twice after the third of them.
const FATAL_STARTS: usize = 5;

/// After how many ends of workers under one of its tasks a job may be given up.
const GIVEN_UP_AFTER: u32 = 2;

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which.
    pub invariant: Invariant,
    /// The job, and the task if it is about one.
    pub about: String,
}

/// A promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// No two runs of a task at once, and none after an end that was acknowledged.
    RunsOnce,
    /// Nothing runs of a job that every answer refused, or that nobody handed in.
    RefusedNeverRuns,
    /// A step begins only after the steps before it.
    StepsInOrder,
    /// A job that was accepted is known, and is done or fails for a cause.
    AcceptedIsKept,
    /// Nothing starts of a job after its cancelling was told.
    NoStartAfterCancel,
    /// A job is shown as done only when all its tasks are.
    DoneMeansAllTasks,
    /// A task that ends its workers is not started again and again.
    CrashesAreBounded,
    /// A workspace has no more running than it may.
    WithinBound,
    /// A wrong key, or another workspace's, opens nothing.
    KeysAreEnforced,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.invariant, self.about)
    }
}

/// A bound of a workspace: from when on, whose, and how many cores.
type BoundChange = (Instant, String, u64);

/// Checks all promises.
pub fn check(
    jobs: &BTreeMap<u64, Job>,
    events: &[Event],
    bounds: &[BoundChange],
) -> Vec<Violation> {
    let mut violations = Vec::new();
    check_bounds(jobs, events, bounds, &mut violations);
    check_runs(events, &mut violations);
    check_order(events, &mut violations);
    for (id, job) in jobs {
        check_job(*id, job, events, &mut violations);
    }
    let unasked = events.iter().find(|e| !jobs.contains_key(&job_of(&e.task)));
    violations.extend(unasked.map(|event| violation(Invariant::RefusedNeverRuns, &event.task)));
    violations
}

/// Each task takes a core: no start may bring its workspace over the highest bound that its owner may have known.
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

/// The highest bound of a workspace that may be in force at a moment.
fn highest_bound(bounds: &[BoundChange], workspace: &str, at: Instant) -> u64 {
    let own = bounds.iter().filter(|(_, name, _)| name == workspace);
    let before = own
        .clone()
        .take_while(|(from, ..)| *from + UNHEARD < at)
        .last();
    let recent = own.filter(|(from, ..)| *from + UNHEARD >= at && *from <= at);
    let cores = before.into_iter().chain(recent).map(|(.., cores)| *cores);
    match cores.max() {
        Some(0) | None => u64::MAX,
        Some(cores) => cores,
    }
}

fn violation(invariant: Invariant, about: impl fmt::Display) -> Violation {
    Violation {
        invariant,
        about: about.to_string(),
    }
}

/// The job of a task, by the task's name.
fn job_of(task: &str) -> u64 {
    let name = task.split('.').next().unwrap_or_default();
    u64::from_str_radix(name, 16).unwrap_or(0)
}

/// The step of a task, by the task's name.
fn step_of(task: &str) -> &str {
    task.split('.').nth(2).unwrap_or_default()
}

fn check_runs(events: &[Event], violations: &mut Vec<Violation>) {
    let mut running: HashMap<&str, (&str, u64)> = HashMap::new();
    let mut noted: HashSet<&str> = HashSet::new();
    for event in events {
        let run = (event.worker.as_str(), event.run);
        match event.kind {
            RunEvent::Started => {
                if running.insert(&event.task, run).is_some() || noted.contains(event.task.as_str())
                {
                    violations.push(violation(Invariant::RunsOnce, &event.task));
                }
            }
            RunEvent::Done | RunEvent::Ended | RunEvent::Lost => {
                if running.get(event.task.as_str()) == Some(&run) {
                    running.remove(event.task.as_str());
                }
            }
            RunEvent::Acknowledged => {
                noted.insert(&event.task);
            }
        }
    }
}

/// Tasks of the second step must start after the last end of the first step's tasks.
fn check_order(events: &[Event], violations: &mut Vec<Violation>) {
    let mut open: HashMap<u64, HashSet<&str>> = HashMap::new();
    for event in events {
        let first = step_of(&event.task) == "0";
        let waiting = open.entry(job_of(&event.task)).or_default();
        match event.kind {
            RunEvent::Started if first => {
                waiting.insert(&event.task);
            }
            RunEvent::Done if first => {
                waiting.remove(event.task.as_str());
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
    check_kept(&name, job, own(), violations);
    if job.fatal && own().filter(started).count() > FATAL_STARTS {
        violations.push(violation(Invariant::CrashesAreBounded, &name));
    }
    if let Some(told) = job.cancelled {
        let late = |event: &&Event| started(event) && event.at > told + CANCEL;
        violations.extend(
            own()
                .find(late)
                .map(|e| violation(Invariant::NoStartAfterCancel, &e.task)),
        );
    }
    if let Some(shown) = job.succeeded {
        check_done(&name, shown, own(), violations);
    }
}

/// Whether so many workers have ended under a task that the users allow its job to be given up.
fn may_be_given_up<'e>(own: impl Iterator<Item = &'e Event>) -> bool {
    let mut lost: HashMap<&str, u32> = HashMap::new();
    for event in own.filter(|event| event.kind == RunEvent::Lost) {
        *lost.entry(&event.task).or_default() += 1;
    }
    lost.values().any(|count| *count >= GIVEN_UP_AFTER)
}

/// A job that was accepted must be known until its end, which must not be a failure but for a cause.
fn check_kept<'e>(
    name: &str,
    job: &Job,
    own: impl Iterator<Item = &'e Event>,
    violations: &mut Vec<Violation>,
) {
    if job.denied.is_some() && job.cancelling.is_none() {
        violations.push(violation(
            Invariant::AcceptedIsKept,
            format!("{name} is denied"),
        ));
    }
    if job.is_open() {
        violations.push(violation(
            Invariant::AcceptedIsKept,
            format!("{name} is not over"),
        ));
    }
    if job.failed && !may_be_given_up(own) {
        violations.push(violation(
            Invariant::AcceptedIsKept,
            format!("{name} failed without a cause"),
        ));
    }
}

/// All tasks that ever started of a job must have ended well before it was shown as done.
fn check_done<'e>(
    name: &str,
    shown: Instant,
    own: impl Iterator<Item = &'e Event>,
    violations: &mut Vec<Violation>,
) {
    let mut open: HashSet<&str> = HashSet::new();
    let mut done: HashSet<&str> = HashSet::new();
    for event in own.filter(|event| event.at < shown) {
        match event.kind {
            RunEvent::Started => {
                open.insert(&event.task);
            }
            RunEvent::Done => {
                done.insert(&event.task);
            }
            RunEvent::Ended | RunEvent::Lost | RunEvent::Acknowledged => {}
        }
    }
    if open.is_empty() || open.iter().any(|task| !done.contains(task)) {
        violations.push(violation(Invariant::DoneMeansAllTasks, name));
    }
}
