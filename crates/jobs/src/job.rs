//! A job's state: its rounds, steps and tasks.

use crate::{Account, CrashHistory, RunId, Step, Submission, TaskId, WorkerId};
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// How far a job is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// No task has begun.
    Pending,
    /// A task has begun.
    Running,
    /// Every task has ended well.
    Succeeded,
    /// A task has failed too often.
    Failed,
    /// The caller has cancelled it.
    Cancelled,
}

impl Phase {
    /// Whether nothing of the job is to run any more.
    pub fn is_over(self) -> bool {
        matches!(self, Phase::Succeeded | Phase::Failed | Phase::Cancelled)
    }
}

/// How far a task is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskPhase {
    /// It waits for its step's turn or for room.
    Waiting,
    /// A run of it has been ordered on this worker and is not known to have ended.
    Placed(WorkerId),
    /// It has ended well.
    Done,
}

/// One task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// How far it is.
    pub phase: TaskPhase,
    /// The number of its last run; 0 before the first.
    pub run: RunId,
    /// The highest run that a worker has listed: an earlier owner may not have recorded it.
    pub top: RunId,
    /// The runs that have failed, each once however often and in whatever order workers list them.
    pub failed: Vec<RunId>,
    /// The newest saved progress; empty if none.
    pub saved: String,
    /// What the ends of workers say for and against it. Older records lack it.
    #[serde(default)]
    pub history: CrashHistory,
}

impl Task {
    /// The number of its next run.
    pub fn next_run(&self) -> RunId {
        self.run.max(self.top) + 1
    }
}

/// One repeat of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Round {
    /// Tasks by step and index.
    pub steps: Vec<Vec<Task>>,
    /// How many tasks of each step have not ended well.
    pub open: Vec<u32>,
    /// Whether its time has come.
    pub due: bool,
}

impl Round {
    /// A round in which nothing has begun.
    pub fn new(steps: &[Step]) -> Self {
        let fresh = Task {
            phase: TaskPhase::Waiting,
            run: 0,
            top: 0,
            failed: Vec::new(),
            saved: String::new(),
            history: CrashHistory::default(),
        };
        let tasks = |step: &Step| vec![fresh.clone(); step.count as usize];
        Round {
            steps: steps.iter().map(tasks).collect(),
            open: steps.iter().map(|s| s.count).collect(),
            due: false,
        }
    }

    /// Whether all steps that `step` waits for have ended well.
    pub fn is_ready(&self, step: &Step) -> bool {
        let ended = |number: &u32| self.open.get(*number as usize) == Some(&0);
        self.due && step.after.iter().all(ended)
    }

    /// Whether every task has ended well.
    pub fn is_done(&self) -> bool {
        self.open.iter().all(|open| *open == 0)
    }
}

/// One job.
#[derive(Clone, Debug)]
pub struct Job {
    /// What was handed in.
    pub submission: Submission,
    /// How far it is.
    pub phase: Phase,
    /// How far it may be said to be: what has been recorded. None before the job itself is.
    pub durable_phase: Option<Phase>,
    /// Its repeats.
    pub rounds: Vec<Round>,
    /// Its place in the order of arrival.
    pub order: u64,
    /// For each step, the longest chain of estimated work that begins with it, in ms.
    pub critical_paths: Vec<u64>,
    /// When it begins in the virtual time of its service.
    pub virtual_start: f64,
    /// Whether it is beyond what its workspace may have of a service that is full.
    pub over_share: bool,
    /// How much time it had in hand as it began, as a part of its work; none before.
    pub slack_ratio: Option<f64>,
    /// The account of its workspace; none if it belongs to none.
    pub account: Option<Rc<Account>>,
}

impl Job {
    /// A job of which nothing has begun.
    pub fn new(submission: Submission, order: u64) -> Self {
        let fresh = Round::new(&submission.spec.steps);
        let rounds = vec![fresh; submission.spec.rounds() as usize];
        let critical_paths = critical_paths(&submission.spec.steps);
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
        }
    }

    /// When a round falls due, in ms since 1970; none if at once.
    pub fn due_at(&self, round: u32) -> Option<u64> {
        let schedule = self.submission.spec.schedule?;
        Some(schedule.first + u64::from(round) * schedule.interval)
    }

    /// Until when a round is in time, in ms since 1970, if its work takes `pace` times as long as was
    /// estimated.
    pub fn target_time(&self, round: u32, pace: f64) -> f64 {
        let begin = self.due_at(round).unwrap_or(self.submission.submitted_at);
        let chain = self.critical_paths.iter().max().copied().unwrap_or(0) as f64;
        begin as f64 + self.submission.stretch * chain * pace + self.submission.slack as f64
    }

    /// Whether these are rounds of this job: as many, each with the job's steps and their tasks.
    pub fn fits(&self, rounds: &[Round]) -> bool {
        let steps = &self.submission.spec.steps;
        let is_step = |(step, tasks): (&Step, &Vec<Task>)| tasks.len() == step.count as usize;
        let is_round = |round: &Round| {
            round.steps.len() == steps.len()
                && round.open.len() == steps.len()
                && steps.iter().zip(&round.steps).all(is_step)
        };
        rounds.len() == self.submission.spec.rounds() as usize && rounds.iter().all(is_round)
    }

    /// What the tasks of a step are.
    pub fn step(&self, step: u32) -> &Step {
        &self.submission.spec.steps[step as usize]
    }

    /// What the tasks of a task's step are, if the job has the step: one that is over may have lost it.
    pub fn find_step(&self, task: TaskId) -> Option<&Step> {
        self.submission.spec.steps.get(task.step as usize)
    }

    /// A task, if the job has it.
    pub fn task(&self, round: u32, step: u32, index: u32) -> Option<&Task> {
        self.rounds
            .get(round as usize)?
            .steps
            .get(step as usize)?
            .get(index as usize)
    }

    /// The same task in all repeats.
    pub(crate) fn repeats_mut(&mut self, step: u32, index: u32) -> impl Iterator<Item = &mut Task> {
        let tasks = self.rounds.iter_mut();
        tasks.filter_map(move |round| {
            let tasks = round.steps.get_mut(step as usize)?;
            tasks.get_mut(index as usize)
        })
    }

    /// All tasks of all repeats.
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

    /// A task, if the job has it, to be changed.
    pub fn task_mut(&mut self, round: u32, step: u32, index: u32) -> Option<&mut Task> {
        let round = self.rounds.get_mut(round as usize)?;
        round.steps.get_mut(step as usize)?.get_mut(index as usize)
    }
}

/// The estimated work of a job that ends by itself: thousandths of a core times ms.
pub(crate) fn work_of_steps(steps: &[Step]) -> f64 {
    let finite = steps.iter().filter(|step| !step.long_running);
    let work = finite.map(|step| {
        let cpu = if step.best_effort { 0 } else { step.need.cpu };
        cpu as f64 * step.estimate_ms as f64 * f64::from(step.count)
    });
    work.sum()
}

/// The longest chain of estimated work of a job, in ms.
pub(crate) fn longest_chain(steps: &[Step]) -> u64 {
    critical_paths(steps).into_iter().max().unwrap_or(0)
}

/// For each step, the longest chain of estimated work that begins with it.
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
