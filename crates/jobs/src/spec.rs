//! What a caller hands in, and what is wrong with it.

use crate::{JobId, Need, QueueId, ServiceId, WorkspaceId};
use serde::{Deserialize, Serialize};

/// The longest text of a job, in bytes; the workers' interface takes no longer one.
const MAX_TEXT_BYTES: usize = 4_000;

/// The most tasks that one job may have; far above what a pool could hold, it keeps a slip of the
/// pen from filling the owner's memory.
const MAX_TASKS: u64 = 20_000;

/// The most repeats of one job.
const MAX_REPEATS: u32 = 10_000;

/// What the tasks of a step are and need.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// How many tasks the step has.
    pub count: u32,
    /// What each of them needs.
    pub need: Need,
    /// The caller's guess of a task's run time in ms; 0 if none was made.
    #[serde(rename = "estimate")]
    pub estimate_ms: u64,
    /// Earlier steps that must have ended before this one begins.
    pub after: Vec<u32>,
    /// Whether the tasks run only all together.
    pub gang: bool,
    /// Whether the tasks are slow unless they share a rack.
    #[serde(rename = "together")]
    pub same_rack: bool,
    /// A label that the worker must have.
    pub label: Option<String>,
    /// The rack where the data lies.
    #[serde(rename = "near")]
    pub data_rack: Option<String>,
    /// How many tasks of the step one worker may have at most.
    #[serde(rename = "apart")]
    pub max_per_worker: Option<u32>,
    /// Whether two runs of a task may go on side by side.
    #[serde(rename = "copies")]
    pub allow_duplicates: bool,
    /// Whether the tasks save their progress.
    #[serde(rename = "saves")]
    pub saves_progress: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// What the tasks run; those of one image behave alike.
    pub image: Option<String>,
    /// The tail of the answer times that a lasting task is to stay under, in ms.
    #[serde(rename = "target")]
    pub target_latency_ms: Option<u64>,
    /// Whether the tasks take only the processor that others leave.
    #[serde(rename = "fills")]
    pub best_effort: bool,
    /// How many tasks of a lasting step may be away at once by the system's own doing.
    #[serde(rename = "budget")]
    pub disruption_budget: Option<u32>,
}

/// When a job's repeats fall due, by the time of day in ms since 1970.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// When the first falls due.
    pub first: u64,
    /// How much later each next one does.
    pub interval: u64,
    /// How many there are.
    pub repeats: u32,
}

/// What a job is to do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The text that each run is started with.
    pub text: String,
    /// The steps, each naming only earlier ones as those that it waits for.
    pub steps: Vec<Step>,
    /// When its repeats fall due; none for a job that runs once, at once.
    pub schedule: Option<Schedule>,
}

/// A job as it is handed in, with what its queue says at that moment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// The job.
    pub id: JobId,
    /// Its queue.
    pub queue: QueueId,
    /// The service whose workers run it.
    pub service: ServiceId,
    /// Its priority; 0 goes first.
    pub priority: u32,
    /// How often a task may fail before the job has failed.
    pub attempts: u32,
    /// Whether only workers with a permit may run it.
    #[serde(rename = "permits")]
    pub requires_permits: bool,
    /// When it was handed in, by the time of day in ms since 1970.
    #[serde(rename = "at")]
    pub submitted_at: u64,
    /// How many times its longest chain of work it may take to be in time.
    pub stretch: f64,
    /// What it may take beyond that, in ms.
    pub slack: u64,
    /// What it is to do.
    pub spec: JobSpec,
    /// The workspace that handed it in; none for a queue that is open to all. Older records lack it.
    #[serde(default)]
    pub workspace: Option<WorkspaceId>,
}

/// Why a job is not taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SpecError {
    /// The text is too long.
    #[error("the text has {0} bytes; {MAX_TEXT_BYTES} is the limit")]
    Text(usize),
    /// The job has no steps.
    #[error("the job has no steps")]
    Empty,
    /// A step has no tasks.
    #[error("step {0} has no tasks")]
    NoTasks(usize),
    /// A step waits for itself, a later or a missing step.
    #[error("step {step} waits for step {after}, which is not before it")]
    After {
        /// The step.
        step: usize,
        /// What it waits for.
        after: u32,
    },
    /// The job has too many tasks.
    #[error("the job has {0} tasks; {MAX_TASKS} is the limit")]
    TooMany(u64),
    /// The job repeats too often.
    #[error("the job repeats {0} times; {MAX_REPEATS} is the limit")]
    Repeats(u32),
}

impl JobSpec {
    /// Checks what a caller handed in.
    ///
    /// # Errors
    ///
    /// Names the first thing that is wrong, with the step that holds it.
    pub fn check(&self) -> Result<(), SpecError> {
        if self.text.len() > MAX_TEXT_BYTES {
            return Err(SpecError::Text(self.text.len()));
        }
        if self.steps.is_empty() {
            return Err(SpecError::Empty);
        }
        for (number, step) in self.steps.iter().enumerate() {
            check_step(number, step)?;
        }
        let tasks = self.steps.iter().map(|s| u64::from(s.count)).sum::<u64>();
        if tasks > MAX_TASKS {
            return Err(SpecError::TooMany(tasks));
        }
        match self.schedule {
            Some(s) if s.repeats > MAX_REPEATS => Err(SpecError::Repeats(s.repeats)),
            _ => Ok(()),
        }
    }

    /// How often the steps run.
    pub fn rounds(&self) -> u32 {
        self.schedule.map_or(1, |s| s.repeats.max(1))
    }

    /// Whether any step runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|s| s.long_running)
    }
}

/// Checks a step: it has tasks, and waits only for steps before it.
fn check_step(number: usize, step: &Step) -> Result<(), SpecError> {
    if step.count == 0 {
        return Err(SpecError::NoTasks(number));
    }
    match step.after.iter().find(|after| **after as usize >= number) {
        Some(after) => Err(SpecError::After {
            step: number,
            after: *after,
        }),
        None => Ok(()),
    }
}
