//! The state of a job: its rounds, steps and tasks.

use crate::{
    Account, CrashHistory, RunId, Step, Submission, TaskId, WorkerId,
    parts::{MAX_PROGRESS_BYTES, Parts},
};
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// The phase of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// No task has started.
    Pending,
    /// A task has started.
    Running,
    /// All tasks have succeeded.
    Succeeded,
    /// A task has failed too often.
    Failed,
    /// The caller has cancelled the job.
    Cancelled,
}

impl Phase {
    /// Returns whether the job is over, so that nothing of it is to run any more.
    pub fn is_over(self) -> bool {
        matches!(self, Phase::Succeeded | Phase::Failed | Phase::Cancelled)
    }
}

/// The phase of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskPhase {
    /// The task waits for other steps or for capacity.
    Waiting,
    /// A run has been ordered on this worker and is not known to have ended.
    Placed(WorkerId),
    /// The task has succeeded.
    Done,
}

/// The state of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// The phase of the task.
    pub phase: TaskPhase,
    /// The number of the last run; 0 before the first.
    pub run: RunId,
    /// The highest run number that a worker has reported. An earlier owner may not have recorded that run.
    #[serde(rename = "top")]
    pub max_reported_run: RunId,
    /// The runs that have failed. Each is listed once, however often and in whatever order workers report it.
    pub failed: Vec<RunId>,
    /// The latest saved progress; empty if there is none.
    pub saved: String,
    /// The worker crashes that count for and against the task. Older records lack the field.
    #[serde(default)]
    pub history: CrashHistory,
}

impl Task {
    /// Returns the number of the next run.
    pub fn next_run(&self) -> RunId {
        self.run.max(self.max_reported_run) + 1
    }

    /// Keeps the latest saved progress of the current run, if there is any and a record can hold it.
    pub(crate) fn save_progress(&mut self, saved: &str) {
        if !saved.is_empty() && saved.len() <= MAX_PROGRESS_BYTES {
            saved.clone_into(&mut self.saved);
        }
    }
}

/// One round (repeat) of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Round {
    /// The tasks, by step and index.
    pub steps: Vec<Vec<Task>>,
    /// The number of tasks of each step that have not succeeded.
    #[serde(rename = "open")]
    pub unfinished: Vec<u32>,
    /// Whether the round is due.
    pub due: bool,
}

impl Round {
    /// Creates a round in which nothing has started.
    pub fn new(steps: &[Step]) -> Self {
        let fresh = Task {
            phase: TaskPhase::Waiting,
            run: 0,
            max_reported_run: 0,
            failed: Vec::new(),
            saved: String::new(),
            history: CrashHistory::default(),
        };
        let tasks = |step: &Step| vec![fresh.clone(); step.count as usize];
        Round {
            steps: steps.iter().map(tasks).collect(),
            unfinished: steps.iter().map(|s| s.count).collect(),
            due: false,
        }
    }

    /// Returns whether the round is due and all steps that `step` depends on have succeeded.
    pub fn is_ready(&self, step: &Step) -> bool {
        let ended = |number: &u32| self.unfinished.get(*number as usize) == Some(&0);
        self.due && step.after.iter().all(ended)
    }

    /// Counts the tasks of each step that have not succeeded. The tasks of a gang succeed together, although not all
    /// of their records may have become durable.
    pub(crate) fn recount(&mut self, steps: &[Step]) {
        let open = |task: &&Task| task.phase != TaskPhase::Done;
        for (_, tasks) in steps
            .iter()
            .zip(&mut self.steps)
            .filter(|(step, _)| step.gang)
        {
            if !tasks.iter().all(|task| open(&task)) {
                tasks
                    .iter_mut()
                    .for_each(|task| task.phase = TaskPhase::Done);
            }
        }
        let counts = self.steps.iter();
        self.unfinished = counts
            .map(|tasks| tasks.iter().filter(open).count() as u32)
            .collect();
    }

    /// Returns the number of tasks that have not succeeded.
    pub fn unfinished_count(&self) -> u64 {
        self.unfinished.iter().map(|open| u64::from(*open)).sum()
    }

    /// Returns whether all tasks have succeeded.
    pub fn is_done(&self) -> bool {
        self.unfinished.iter().all(|open| *open == 0)
    }
}

/// A job and its state.
#[derive(Clone, Debug)]
pub struct Job {
    /// The job as it was submitted.
    pub submission: Submission,
    /// The phase of the job.
    pub phase: Phase,
    /// The phase that is durable and may be reported to callers; `None` until the job itself is durable.
    pub durable_phase: Option<Phase>,
    /// The rounds of the job.
    pub rounds: Vec<Round>,
    /// The position of the job in the order of arrival.
    pub order: u64,
    /// For each step, the length of its critical path in ms: the longest chain of estimated work that starts
    /// with the step.
    pub critical_paths: Vec<u64>,
    /// The start of the job in the virtual time of its service.
    pub virtual_start: f64,
    /// Whether the job exceeds its workspace's share of a service that is full.
    pub over_share: bool,
    /// The slack of the job when it started, as a fraction of its work; `None` before.
    pub slack_ratio: Option<f64>,
    /// The account of its workspace; `None` if it belongs to no workspace.
    pub account: Option<Rc<Account>>,
    /// The parts in which the tasks are recorded; `None` if they are in the record of the state.
    pub(crate) parts: Option<Parts>,
}

impl Job {
    /// Creates a job of which nothing has started.
    pub fn new(submission: Submission, order: u64) -> Self {
        let fresh = Round::new(&submission.spec.steps);
        let rounds = vec![fresh; submission.spec.rounds() as usize];
        let critical_paths = critical_paths(&submission.spec.steps);
        let parts = Parts::new(&submission.spec, submission.max_attempts);
        Job {
            submission,
            phase: Phase::Pending,
            durable_phase: None,
            rounds,
            order,
            critical_paths,
            virtual_start: 0.0,
            over_share: false,
            slack_ratio: None,
            account: None,
            parts,
        }
    }

    /// Returns when a round is due, in ms since 1970; `None` if it is due at once.
    pub fn due_at(&self, round: u32) -> Option<u64> {
        let schedule = self.submission.spec.schedule?;
        Some(schedule.first_due_ms + u64::from(round) * schedule.interval_ms)
    }

    /// Returns until when a round is in time, in ms since 1970, if its work takes `factor` times as long as
    /// estimated.
    pub fn target_time(&self, round: u32, factor: f64) -> f64 {
        let begin = self.due_at(round).unwrap_or(self.submission.submitted_at);
        let critical_path = self.critical_paths.iter().max().copied().unwrap_or(0) as f64;
        begin as f64
            + self.submission.stretch * critical_path * factor
            + self.submission.slack as f64
    }

    /// Returns whether `rounds` match this job: their number, and the steps and tasks of each.
    pub fn fits(&self, rounds: &[Round]) -> bool {
        let steps = &self.submission.spec.steps;
        let is_step = |(step, tasks): (&Step, &Vec<Task>)| tasks.len() == step.count as usize;
        let is_round = |round: &Round| {
            round.steps.len() == steps.len()
                && round.unfinished.len() == steps.len()
                && steps.iter().zip(&round.steps).all(is_step)
        };
        rounds.len() == self.submission.spec.rounds() as usize && rounds.iter().all(is_round)
    }

    /// Returns the specification of a step.
    pub fn step(&self, step: u32) -> &Step {
        &self.submission.spec.steps[step as usize]
    }

    /// Returns the specification of a task's step, if the job has it; the steps of a job that is over may
    /// have been dropped.
    pub fn find_step(&self, task: TaskId) -> Option<&Step> {
        self.submission.spec.steps.get(task.step as usize)
    }

    /// Returns a task, if the job has it.
    pub fn task(&self, round: u32, step: u32, index: u32) -> Option<&Task> {
        self.rounds
            .get(round as usize)?
            .steps
            .get(step as usize)?
            .get(index as usize)
    }

    /// Returns the task with this step and index in each round, for modification.
    pub(crate) fn repeats_mut(&mut self, step: u32, index: u32) -> impl Iterator<Item = &mut Task> {
        if let Some(parts) = &mut self.parts {
            let rounds = 0..self.rounds.len() as u32;
            rounds.for_each(|round| parts.mark_changed(round, step, index));
        }
        let tasks = self.rounds.iter_mut();
        tasks.filter_map(move |round| {
            let tasks = round.steps.get_mut(step as usize)?;
            tasks.get_mut(index as usize)
        })
    }

    /// Returns all tasks of all rounds.
    pub(crate) fn tasks(&self) -> impl Iterator<Item = (TaskId, &Task)> {
        let job = self.submission.id;
        (0..).zip(&self.rounds).flat_map(move |(round, state)| {
            (0..).zip(&state.steps).flat_map(move |(step, tasks)| {
                (0..).zip(tasks).map(move |(index, task)| {
                    let id = TaskId {
                        job,
                        round,
                        step,
                        index,
                    };
                    (id, task)
                })
            })
        })
    }

    /// Returns a task for modification, if the job has it.
    pub fn task_mut(&mut self, round: u32, step: u32, index: u32) -> Option<&mut Task> {
        let state = self.rounds.get_mut(round as usize)?;
        let tasks = state.steps.get_mut(step as usize)?;
        if let Some(parts) = &mut self.parts {
            parts.mark_changed(round, step, index);
        }
        tasks.get_mut(index as usize)
    }
}

/// Returns the estimated work of the steps that end by themselves, in thousandths of a core times ms.
pub(crate) fn work_of_steps(steps: &[Step]) -> f64 {
    let finite = steps.iter().filter(|step| !step.long_running);
    let work = finite.map(|step| {
        let cpu = if step.best_effort { 0 } else { step.need.cpu };
        cpu as f64 * step.estimate_ms as f64 * f64::from(step.count)
    });
    work.sum()
}

/// Returns the length of the critical path of a job, in ms: its longest chain of estimated work.
pub(crate) fn critical_path_ms(steps: &[Step]) -> u64 {
    critical_paths(steps).into_iter().max().unwrap_or(0)
}

/// Returns for each step the length of its critical path in ms: the longest chain of estimated work that
/// starts with the step.
fn critical_paths(steps: &[Step]) -> Vec<u64> {
    let mut critical_paths: Vec<u64> = steps.iter().map(|step| step.estimate_ms).collect();
    for number in (0..steps.len()).rev() {
        for before in steps[number].after.iter().map(|before| *before as usize) {
            critical_paths[before] =
                critical_paths[before].max(steps[before].estimate_ms + critical_paths[number]);
        }
    }
    critical_paths
}
